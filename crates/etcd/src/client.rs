//! Follows the endpoint list under a prefix of a cluster, and switches to the next member when one fails.

pub use crate::client_event::MAX_QUEUED_EVENTS;

use crate::api;
use crate::client_event::ClientEvent;
use crate::convert::{header, watch_event};
use crate::error::{MemberError, Result};
use crate::member::Member;
use crate::settings::Settings;
use saffronpaddle_endpoints::{EndpointUpdate, Follower, WatchStep};
use saffronpaddle_netio::timeout;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, MissedTickBehavior};

/// Maximum number of watches on one connection to a member. Without this limit, a member that cancels every watch
/// immediately would be called in a loop without a pause.
const MAX_WATCHES: u32 = 3;

/// Follows the endpoint list until the receiver of `sender` is dropped.
pub async fn follow(settings: Settings, sender: mpsc::Sender<ClientEvent>) {
    let follower = Follower::new(settings.prefix.clone(), settings.rules);
    let mut client = Client {
        settings,
        follower,
        sender,
        started_at: Instant::now(),
    };
    let members = client.settings.endpoints.len().max(1);
    // Each node starts at a random member, so that not all nodes connect to the first one.
    let mut next = fastrand::usize(..members);
    let (mut backoff, mut behind, mut reread) = (client.settings.timing.backoff.0, 0, true);
    let mut last_logged = String::new();
    loop {
        let Some(member) = client.settings.endpoints.get(next % members).copied() else {
            return;
        };
        let before = client.progress();
        let Err(error) = client.follow_member(member, reread).await else {
            return;
        };
        client.follower.reset_connection();
        if before != client.progress() {
            (backoff, behind, reread) = (client.settings.timing.backoff.0, 0, false);
            last_logged.clear();
        }
        reread |= error.requires_reread();
        // If every member is behind, the cluster was restored from a backup, and only a range yields its state.
        behind += usize::from(error.is_behind());
        reread |= behind > members;
        let reason = error.to_string();
        if last_logged != reason {
            let line = format!("etcd: left member {member}: {reason}");
            last_logged = reason;
            if client.send(ClientEvent::Log(line)).await.is_err() {
                return;
            }
        }
        next += 1;
        tokio::select! {
            () = sleep(backoff.mul_f64(0.5 + fastrand::f64())) => {}
            () = client.sender.closed() => return,
        }
        backoff = (backoff * 2).min(client.settings.timing.backoff.1);
    }
}

/// An event could not be sent because the receiver was dropped.
struct Closed;

/// Why a watch ended without an error of the member.
enum WatchEnd {
    /// The receiver of the events was dropped.
    Closed,
    /// All keys of the prefix must be read again.
    Reread,
}

/// Whether a watch continues after a response.
enum AfterResponse {
    Continue,
    End(WatchEnd),
}

struct Client {
    settings: Settings,
    follower: Follower,
    sender: mpsc::Sender<ClientEvent>,
    started_at: Instant,
}

impl Client {
    /// Returns the resume revision and the number of ranges read. A change shows that a member has made progress.
    fn progress(&self) -> (Option<i64>, u64) {
        (
            self.follower.resume_revision(),
            self.follower.stats().ranges,
        )
    }

    async fn send(&self, event: ClientEvent) -> std::result::Result<(), Closed> {
        self.sender.send(event).await.map_err(|_| Closed)
    }

    /// Sends a change unless it is empty, and the log lines of the follower.
    async fn send_change(
        &mut self,
        change: EndpointUpdate,
        read_at: Instant,
    ) -> std::result::Result<(), Closed> {
        if change.is_relevant() {
            self.send(ClientEvent::Changed { change, read_at }).await?;
        }
        for line in self.follower.take_events() {
            self.send(ClientEvent::Log(format!("etcd: {line}"))).await?;
        }
        Ok(())
    }

    /// Returns the time since the client's start, which is the time origin of the follower.
    fn elapsed(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.started_at)
    }

    /// Follows the list at one member. Returns `Ok` once the receiver is dropped, and an error if the member must be
    /// left.
    async fn follow_member(&mut self, address: SocketAddr, mut reread: bool) -> Result<()> {
        let mut member = Member::connect(address, &self.settings).await?;
        for _ in 0..MAX_WATCHES {
            if (reread || self.follower.resume_revision().is_none())
                && self.read_list(&mut member).await?.is_err()
            {
                return Ok(());
            }
            match self.watch(&mut member).await? {
                WatchEnd::Closed => return Ok(()),
                WatchEnd::Reread => reread = true,
            }
        }
        Err(MemberError::WatchUnstable)
    }

    /// Reads the complete list and sends the changes against the known one.
    async fn read_list(&mut self, member: &mut Member) -> Result<std::result::Result<(), Closed>> {
        let (header, listing) = member.range(|| self.follower.listing()).await?;
        let read_at = member.take_read_time();
        let received_at = self.elapsed(read_at);
        let change = self
            .follower
            .apply_listing(header, listing, received_at, unix_ms());
        let removals = self.follower.confirm_empty(self.elapsed(Instant::now()));
        if let Err(closed) = self.send_change(change, read_at).await {
            return Ok(Err(closed));
        }
        match removals {
            Some(change) => Ok(self.send_change(change, Instant::now()).await),
            None => Ok(Ok(())),
        }
    }

    /// Watches from the resume revision of the follower.
    async fn watch(&mut self, member: &mut Member) -> Result<WatchEnd> {
        let timing = self.settings.timing.clone();
        let start_revision = self.follower.resume_revision().unwrap_or(0);
        let mut stream = member.watch(start_revision).await?;
        let mut probe = interval(timing.probe_every);
        probe.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_heard_at = Instant::now();
        // One timer is reused for all responses, because setting one up for each of thousands of changes is expensive.
        let (silence, sender) = (sleep(timing.silent_after), self.sender.clone());
        let closed = sender.closed();
        tokio::pin!(silence, closed);
        loop {
            let response = tokio::select! {
                biased;
                response = stream.next() => response?,
                _ = probe.tick() => {
                    if self.follower.confirmation_due(self.elapsed(Instant::now())) {
                        return Ok(WatchEnd::Reread);
                    }
                    stream.request_progress();
                    continue;
                }
                () = &mut silence => {
                    let deadline = last_heard_at + timing.silent_after;
                    if deadline > Instant::now() {
                        silence.as_mut().reset(deadline.into());
                        continue;
                    }
                    match timeout(Duration::ZERO, stream.next()).await {
                        Ok(response) => {
                            silence.as_mut().reset((Instant::now() + timing.silent_after).into());
                            response?
                        }
                        Err(_) => return Err(MemberError::Silent),
                    }
                }
                () = &mut closed => return Ok(WatchEnd::Closed),
            };
            last_heard_at = Instant::now();
            let read_at = member.take_read_time();
            if let AfterResponse::End(end) = self.on_watch_response(response, read_at).await? {
                return Ok(end);
            }
        }
    }

    /// Applies a response and sends the resulting change.
    async fn on_watch_response(
        &mut self,
        response: api::WatchResponse,
        read_at: Instant,
    ) -> Result<AfterResponse> {
        let (change, step) = self.apply(response, read_at)?;
        if !change.is_relevant() && self.send(ClientEvent::Alive).await.is_err() {
            return Ok(AfterResponse::End(WatchEnd::Closed));
        }
        if self.send_change(change, read_at).await.is_err() {
            return Ok(AfterResponse::End(WatchEnd::Closed));
        }
        match step {
            WatchStep::Continue => Ok(AfterResponse::Continue),
            WatchStep::Reread(_) => Ok(AfterResponse::End(WatchEnd::Reread)),
            WatchStep::Leave(reason) => Err(MemberError::Behind(reason)),
        }
    }

    /// Passes a response to the follower. Returns the resulting change of the list and how the watch continues.
    fn apply(
        &mut self,
        response: api::WatchResponse,
        read_at: Instant,
    ) -> Result<(EndpointUpdate, WatchStep)> {
        let header = response
            .header
            .map(header)
            .ok_or(MemberError::WatchWithoutHeader)?;
        let step = if response.canceled && response.compact_revision > 0 {
            self.follower.on_compacted(response.compact_revision)
        } else if response.canceled {
            return Err(MemberError::WatchCancelled(response.cancel_reason));
        } else if response.created {
            self.follower.check_header(header)
        } else if response.events.is_empty() && !response.fragment {
            self.follower.apply_progress(header)
        } else {
            let events = response
                .events
                .into_iter()
                .filter_map(watch_event)
                .collect();
            let received_at = self.elapsed(read_at);
            return Ok(self.follower.apply_events(
                header,
                events,
                response.fragment,
                received_at,
                unix_ms(),
            ));
        };
        Ok((EndpointUpdate::default(), step))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
