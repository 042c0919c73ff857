//! Follows a prefix of a cluster for ever, from member to member.

use crate::api::{self, path, prefix_end};
use crate::stamped::{Stamp, Stamped};
use http::uri::PathAndQuery;
use hyper_util::rt::TokioIo;
use saffronpaddle_endpoints::{
    EndpointUpdate, Follower, Header, KeyValue, Listing, Rules, WatchEvent, WatchStep,
};
use saffronpaddle_netio::Socket;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tonic::client::Grpc;
use tonic::codegen::tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};
use tonic_prost::ProstCodec;

/// Keys of one page of a range. Guards memory: a page is decoded whole.
const PAGE: i64 = 1000;
/// Most bytes of one message. A member cuts its watch into fragments of 1.5 MiB (`--max-request-bytes`).
const MESSAGE_MOST: usize = 16 << 20;
/// HTTP/2 windows, in bytes: what a member may send ahead of what is read here.
const WINDOW: u32 = 1 << 20;
/// A range that is compacted away between two of its pages, or a watch that is cancelled at once, is begun again so often
/// before the member is left.
const AGAIN: u32 = 3;
/// News that may wait to be taken. Guards memory: the watch is not read on while they do.
pub const NEWS_MOST: usize = 1024;

/// How long things may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// A connection to come up, and a call to be answered.
    pub answer_within: Duration,
    /// A member is asked how far it is this often; its answer is a sign of life.
    pub probe_every: Duration,
    /// A member that has said nothing for so long is left.
    pub silent_after: Duration,
    /// Between one member and the next: at first, doubled each time, and at the most. Spread out by half either way.
    pub backoff: (Duration, Duration),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            answer_within: Duration::from_secs(2),
            probe_every: Duration::from_secs(1),
            silent_after: Duration::from_secs(3),
            backoff: (Duration::from_millis(50), Duration::from_secs(2)),
        }
    }
}

/// Which cluster, and what of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its members' client addresses, in the order in which they are tried from a random one on.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the servers' keys, as a rule with a slash at its end.
    pub prefix: String,
    /// A user and its password (`Auth.Authenticate`); none where the cluster has no authentication.
    pub user: Option<(String, String)>,
    /// How long things may take.
    pub timing: Timing,
    /// When an empty list is believed.
    pub rules: Rules,
    /// The certificates (PEM) by which members are trusted, and the name that theirs must bear; none for no TLS.
    #[cfg(feature = "tls")]
    pub tls: Option<(Vec<u8>, String)>,
}

/// What the follower tells.
#[derive(Debug)]
pub enum News {
    /// The roster has changed. `read` is the moment of the change's `told`.
    Changed {
        /// What has changed.
        change: EndpointUpdate,
        /// When the first byte of it was read off the socket.
        read: Instant,
    },
    /// A member said something, if only that nothing has changed. Not told beside a change, which says so too.
    Alive,
    /// A line for the log.
    Log(String),
}

/// Why a member is left.
struct Left {
    why: String,
    /// Whether the list must be read whole, at whichever member comes next.
    reread: bool,
    /// Whether the member shows less than is known here.
    behind: bool,
}

impl From<Status> for Left {
    fn from(status: Status) -> Left {
        left(format!("{:?}: {}", status.code(), status.message()))
    }
}

fn left(why: impl Into<String>) -> Left {
    Left {
        why: why.into(),
        reread: false,
        behind: false,
    }
}

/// Follows the roster until nobody takes its news any more.
pub async fn follow(settings: Settings, tell: mpsc::Sender<News>) {
    let born = Instant::now();
    let follower = Follower::new(settings.prefix.clone(), settings.rules);
    let mut watcher = Watcher {
        settings,
        follower,
        tell,
        born,
    };
    let members = watcher.settings.endpoints.len().max(1);
    // Danger: all edge nodes at the first member.
    let mut place = fastrand::usize(..members);
    let (mut pause, mut lags, mut reread) = (watcher.settings.timing.backoff.0, 0, true);
    let mut told = String::new();
    loop {
        let Some(member) = watcher.settings.endpoints.get(place % members).copied() else {
            return;
        };
        let before = (watcher.follower.resume(), watcher.follower.seen().ranges);
        let Err(ended) = watcher.member(member, reread).await else {
            return;
        };
        watcher.follower.reconnected();
        if before != (watcher.follower.resume(), watcher.follower.seen().ranges) {
            (pause, lags, reread) = (watcher.settings.timing.backoff.0, 0, false);
            told.clear();
        }
        reread |= ended.reread;
        // Members that are all behind what is held here: it is the cluster that has gone back. A range tells.
        lags += usize::from(ended.behind);
        reread |= lags > members;
        if told != ended.why {
            let line = format!("etcd: left {member}: {}", ended.why);
            told.clone_from(&ended.why);
            if watcher.tell(News::Log(line)).await.is_err() {
                return;
            }
        }
        place += 1;
        tokio::select! {
            () = sleep(pause.mul_f64(0.5 + fastrand::f64())) => {}
            () = watcher.tell.closed() => return,
        }
        pause = (pause * 2).min(watcher.settings.timing.backoff.1);
    }
}

/// The roster is nobody's concern any more.
struct Unwanted;

struct Watcher {
    settings: Settings,
    follower: Follower,
    tell: mpsc::Sender<News>,
    born: Instant,
}

type Outcome<T> = Result<T, Left>;

impl Watcher {
    async fn tell(&self, news: News) -> Result<(), Unwanted> {
        self.tell.send(news).await.map_err(|_| Unwanted)
    }

    /// Tells what has changed, and what the follower has for the log.
    async fn told(&mut self, change: EndpointUpdate, read: Instant) -> Result<(), Unwanted> {
        if change.is_relevant() {
            self.tell(News::Changed { change, read }).await?;
        }
        for line in self.follower.logs() {
            self.tell(News::Log(format!("etcd: {line}"))).await?;
        }
        Ok(())
    }

    fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.born)
    }

    /// Stays with one member for as long as that is any good. Comes back without an error once nobody listens.
    async fn member(&mut self, member: SocketAddr, reread: bool) -> Outcome<()> {
        match self.stay(member, reread).await {
            Ok(Unwanted) => Ok(()),
            Err(left) => Err(left),
        }
    }

    async fn stay(&mut self, member: SocketAddr, mut reread: bool) -> Outcome<Unwanted> {
        let timing = self.settings.timing.clone();
        let stamp = Stamp::default();
        let channel = self.connect(member, &stamp).await?;
        let mut grpc = Grpc::new(channel).max_decoding_message_size(MESSAGE_MOST);
        let token = self.authenticate(&mut grpc).await?;
        for _ in 0..AGAIN {
            if reread || self.follower.resume().is_none() {
                let (header, listing) = self.range(&mut grpc, token.as_ref()).await?;
                let read = stamp.take();
                let change = self
                    .follower
                    .range_of(header, listing, self.at(read), unix_ms());
                let believed = self.follower.confirm_empty(self.at(Instant::now()));
                if self.told(change, read).await.is_err() {
                    return Ok(Unwanted);
                }
                if let Some(change) = believed {
                    if self.told(change, Instant::now()).await.is_err() {
                        return Ok(Unwanted);
                    }
                }
            }
            match self
                .watch(&mut grpc, token.as_ref(), &stamp, &timing)
                .await?
            {
                Ended::Unwanted => return Ok(Unwanted),
                Ended::Reread => reread = true,
            }
        }
        Err(Left {
            reread: true,
            ..left("its watch does not stand")
        })
    }

    async fn connect(&self, member: SocketAddr, stamp: &Stamp) -> Outcome<Channel> {
        #[cfg(feature = "tls")]
        let scheme = if self.settings.tls.is_some() {
            "https"
        } else {
            "http"
        };
        #[cfg(not(feature = "tls"))]
        let scheme = "http";
        let timing = &self.settings.timing;
        let endpoint = Endpoint::from_shared(format!("{scheme}://{member}"))
            .map_err(|error| left(error.to_string()))?
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(2 * WINDOW)
            .connect_timeout(timing.answer_within);
        #[cfg(feature = "tls")]
        let endpoint = match &self.settings.tls {
            Some((certificates, name)) => {
                let certificates = tonic::transport::Certificate::from_pem(certificates);
                let tls = tonic::transport::ClientTlsConfig::new()
                    .ca_certificate(certificates)
                    .domain_name(name);
                endpoint
                    .tls_config(tls)
                    .map_err(|error| left(error.to_string()))?
            }
            None => endpoint,
        };
        let stamp = stamp.clone();
        let connector = tower::service_fn(move |_| {
            let stamp = stamp.clone();
            async move {
                let stream = TcpStream::connect(member).await?;
                stream.set_nodelay(true)?;
                let stream = Socket::new(stream);
                Ok::<_, std::io::Error>(TokioIo::new(Stamped { stream, stamp }))
            }
        });
        let connected = timeout(
            timing.answer_within,
            endpoint.connect_with_connector(connector),
        )
        .await;
        match connected {
            Ok(Ok(channel)) => Ok(channel),
            Ok(Err(_)) => Err(left("it can't be reached")),
            Err(_) => Err(left("its connection does not come up")),
        }
    }

    async fn authenticate(&self, grpc: &mut Grpc<Channel>) -> Outcome<Option<Token>> {
        let Some((name, password)) = &self.settings.user else {
            return Ok(None);
        };
        let ask = api::AuthenticateRequest {
            name: name.clone(),
            password: password.clone(),
        };
        let answer: api::AuthenticateResponse =
            self.call(grpc, None, path::AUTHENTICATE, ask).await?;
        Ok(Some(
            answer
                .token
                .parse()
                .map_err(|_| left("its token is no text"))?,
        ))
    }

    async fn call<A: prost::Message + 'static, B: prost::Message + Default + 'static>(
        &self,
        grpc: &mut Grpc<Channel>,
        token: Option<&Token>,
        path: &'static str,
        ask: A,
    ) -> Outcome<B> {
        let answered = async {
            grpc.ready()
                .await
                .map_err(|error| Status::unavailable(error.to_string()))?;
            let request = signed(Request::new(ask), token);
            grpc.unary(
                request,
                PathAndQuery::from_static(path),
                ProstCodec::default(),
            )
            .await
        };
        match timeout(self.settings.timing.answer_within, answered).await {
            Ok(answer) => Ok(answer?.into_inner()),
            Err(_) => Err(left("it does not answer")),
        }
    }

    /// The whole prefix at one revision, linearizable, page by page.
    async fn range(
        &self,
        grpc: &mut Grpc<Channel>,
        token: Option<&Token>,
    ) -> Outcome<(Header, Listing)> {
        let mut tries = 0;
        'anew: loop {
            let (mut listing, mut found) = (self.follower.listing(), None::<Header>);
            let mut key = self.settings.prefix.clone().into_bytes();
            loop {
                let ask = api::RangeRequest {
                    key: key.clone(),
                    range_end: prefix_end(self.settings.prefix.as_bytes()),
                    limit: PAGE,
                    revision: found.map_or(0, |header| header.revision),
                    ..api::RangeRequest::default()
                };
                let answer = self
                    .call::<_, api::RangeResponse>(grpc, token, path::RANGE, ask)
                    .await;
                let answer = match answer {
                    Ok(answer) => answer,
                    // Compacted between two pages.
                    Err(_) if found.is_some() && tries < AGAIN => {
                        tries += 1;
                        continue 'anew;
                    }
                    Err(left) => return Err(left),
                };
                let header = answer
                    .header
                    .map(header)
                    .ok_or_else(|| left("a range without a header"))?;
                let header = *found.get_or_insert(header);
                let Some(last) = answer.kvs.last().map(|kv| kv.key.clone()) else {
                    return Ok((header, listing));
                };
                listing.page(answer.kvs.into_iter().map(key_value));
                if !answer.more {
                    return Ok((header, listing));
                }
                // The least key behind the last one.
                key = [&last[..], &[0]].concat();
            }
        }
    }

    /// Watches from where the follower resumes.
    async fn watch(
        &mut self,
        grpc: &mut Grpc<Channel>,
        token: Option<&Token>,
        stamp: &Stamp,
        timing: &Timing,
    ) -> Outcome<Ended> {
        let (ask, asks) = mpsc::channel(8);
        let create = api::WatchCreateRequest {
            key: self.settings.prefix.clone().into_bytes(),
            range_end: prefix_end(self.settings.prefix.as_bytes()),
            start_revision: self.follower.resume().unwrap_or(0),
            progress_notify: true,
            fragment: true,
            ..api::WatchCreateRequest::default()
        };
        let request = |request| api::WatchRequest {
            request: Some(request),
        };
        // It has room: nothing else was asked yet.
        let _ = ask.try_send(request(api::watch_request::Request::Create(create)));
        let opened = async {
            grpc.ready()
                .await
                .map_err(|error| Status::unavailable(error.to_string()))?;
            let request = signed(Request::new(ReceiverStream::new(asks)), token);
            grpc.streaming(
                request,
                PathAndQuery::from_static(path::WATCH),
                ProstCodec::default(),
            )
            .await
        };
        let mut answers: Streaming<api::WatchResponse> =
            match timeout(timing.answer_within, opened).await {
                Ok(opened) => opened?.into_inner(),
                Err(_) => return Err(left("its watch does not open")),
            };
        let mut probe = interval(timing.probe_every);
        probe.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard = Instant::now();
        // Each stands over all messages: a change sets up no timer of its own.
        let (silent, listener) = (sleep(timing.silent_after), self.tell.clone());
        let unwanted = listener.closed();
        tokio::pin!(silent, unwanted);
        loop {
            let answer = tokio::select! {
                biased;
                answer = answers.message() => answer?.ok_or_else(|| left("its watch has ended"))?,
                _ = probe.tick() => {
                    if self.follower.confirmation_due(self.at(Instant::now())) {
                        return Ok(Ended::Reread);
                    }
                    // A full queue: the member does not even read.
                    let progress = api::watch_request::Request::Progress(api::WatchProgressRequest {});
                    let _ = ask.try_send(request(progress));
                    continue;
                }
                () = &mut silent => {
                    let by = heard + timing.silent_after;
                    if by <= Instant::now() {
                        return Err(left("it is silent"));
                    }
                    silent.as_mut().reset(by.into());
                    continue;
                }
                () = &mut unwanted => return Ok(Ended::Unwanted),
            };
            heard = Instant::now();
            let read = stamp.take();
            let header = answer
                .header
                .map(header)
                .ok_or_else(|| left("a watch without a header"))?;
            let mut change = EndpointUpdate::default();
            let next = if answer.canceled && answer.compact_revision > 0 {
                self.follower.compacted(answer.compact_revision)
            } else if answer.canceled {
                return Err(left(format!(
                    "its watch was cancelled: {}",
                    answer.cancel_reason
                )));
            } else if answer.created {
                self.follower.header(header)
            } else if answer.events.is_empty() && !answer.fragment {
                self.follower.progress(header)
            } else {
                let events = answer.events.into_iter().filter_map(watch_event).collect();
                let told = self.at(read);
                let next;
                (change, next) =
                    self.follower
                        .events(header, events, answer.fragment, told, unix_ms());
                next
            };
            if !change.is_relevant() && self.tell(News::Alive).await.is_err() {
                return Ok(Ended::Unwanted);
            }
            if self.told(change, read).await.is_err() {
                return Ok(Ended::Unwanted);
            }
            match next {
                WatchStep::Continue => {}
                WatchStep::Reread(_) => return Ok(Ended::Reread),
                WatchStep::Leave(why) => {
                    return Err(Left {
                        behind: true,
                        ..left(why.to_string())
                    })
                }
            }
        }
    }
}

enum Ended {
    Unwanted,
    Reread,
}

type Token = MetadataValue<tonic::metadata::Ascii>;

/// etcd takes its token from the metadata `token`.
fn signed<T>(mut request: Request<T>, token: Option<&Token>) -> Request<T> {
    if let Some(token) = token {
        request.metadata_mut().insert("token", token.clone());
    }
    request
}

fn header(header: api::ResponseHeader) -> Header {
    let api::ResponseHeader {
        cluster_id,
        member_id,
        revision,
        raft_term,
    } = header;
    Header {
        cluster_id,
        member_id,
        revision,
        raft_term,
    }
}

fn key_value(kv: api::KeyValue) -> KeyValue {
    let api::KeyValue {
        key,
        value,
        create_revision,
        mod_revision,
        ..
    } = kv;
    KeyValue {
        key,
        value,
        create_revision,
        mod_revision,
    }
}

fn watch_event(event: api::Event) -> Option<WatchEvent> {
    let delete = event.r#type == api::EventType::Delete as i32;
    event.kv.map(|kv| WatchEvent {
        delete,
        kv: key_value(kv),
    })
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
