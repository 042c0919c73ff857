//! A connection to one cluster member, and the calls of the client on it.

use crate::api::{self, path, prefix_end};
use crate::convert::{header, key_value};
use crate::error::{MemberError, Result};
use crate::read_time::{ReadTimes, TimedSocket};
use crate::settings::Settings;
use http::uri::PathAndQuery;
use hyper_util::rt::TokioIo;
use saffronpaddle_endpoints::{Header, Listing};
use saffronpaddle_netio::{timeout, Socket};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tonic::client::Grpc;
use tonic::codegen::tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};
use tonic_prost::ProstCodec;

/// Maximum number of keys in a page of a range. It bounds memory, because a page is decoded as one message.
const PAGE_KEYS: i64 = 1000;
/// Maximum length of a received message, in bytes. Members split watch responses into fragments of 1.5 MiB
/// (`--max-request-bytes`).
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// HTTP/2 flow-control window of a stream, in bytes; a connection has twice as much.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Maximum number of times a range is read again from its first page because a later page failed, as it does if the
/// revision of the range has been compacted in the meantime.
const MAX_RANGE_RESTARTS: u32 = 3;
/// Name of the gRPC metadata entry for the authentication token.
const TOKEN_METADATA: &str = "token";

type Token = MetadataValue<Ascii>;

/// A connection to one member.
pub struct Member {
    grpc: Grpc<Channel>,
    token: Option<Token>,
    prefix: String,
    response_timeout: Duration,
    read_times: ReadTimes,
}

impl Member {
    /// Connects to a member and authenticates if the settings name a user.
    ///
    /// # Errors
    /// The connection or the authentication fails or times out.
    pub async fn connect(address: SocketAddr, settings: &Settings) -> Result<Member> {
        let read_times = ReadTimes::default();
        let channel = open_channel(address, settings, read_times.clone()).await?;
        let mut member = Member {
            grpc: Grpc::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES),
            token: None,
            prefix: settings.prefix.clone(),
            response_timeout: settings.timing.answer_within,
            read_times,
        };
        if let Some((name, password)) = &settings.user {
            member.token = Some(member.authenticate(name, password).await?);
        }
        Ok(member)
    }

    /// Returns when the last decoded message was read from the socket.
    pub fn take_read_time(&self) -> Instant {
        self.read_times.take()
    }

    async fn authenticate(&mut self, name: &str, password: &str) -> Result<Token> {
        let request = api::AuthenticateRequest {
            name: name.to_owned(),
            password: password.to_owned(),
        };
        let response: api::AuthenticateResponse = self.call(path::AUTHENTICATE, request).await?;
        response
            .token
            .parse()
            .map_err(|_| MemberError::InvalidToken)
    }

    async fn call<A, B>(&mut self, path: &'static str, message: A) -> Result<B>
    where
        A: prost::Message + 'static,
        B: prost::Message + Default + 'static,
    {
        let request = with_token(Request::new(message), self.token.as_ref());
        let grpc = &mut self.grpc;
        let call = async {
            wait_until_ready(grpc).await?;
            let path = PathAndQuery::from_static(path);
            grpc.unary(request, path, ProstCodec::default()).await
        };
        match timeout(self.response_timeout, call).await {
            Ok(response) => Ok(response?.into_inner()),
            Err(_) => Err(MemberError::CallTimeout),
        }
    }

    /// Reads all keys of the prefix page by page, linearizable and at one revision, into a listing created by `empty`.
    ///
    /// # Errors
    /// A call fails, or the revision is compacted between two pages in every attempt.
    pub async fn range(&mut self, empty: impl Fn() -> Listing) -> Result<(Header, Listing)> {
        let mut restarts = 0;
        loop {
            let mut first_header = None;
            match self.range_pages(empty(), &mut first_header).await {
                Err(PageError::Call(_))
                    if first_header.is_some() && restarts < MAX_RANGE_RESTARTS =>
                {
                    restarts += 1;
                }
                Err(PageError::Call(error) | PageError::Response(error)) => return Err(error),
                Ok(listing) => return Ok(listing),
            }
        }
    }

    async fn range_pages(
        &mut self,
        mut listing: Listing,
        first_header: &mut Option<Header>,
    ) -> std::result::Result<(Header, Listing), PageError> {
        let mut key = self.prefix.clone().into_bytes();
        loop {
            let request = api::RangeRequest {
                key,
                range_end: prefix_end(self.prefix.as_bytes()),
                limit: PAGE_KEYS,
                revision: first_header.map_or(0, |header| header.revision),
                ..api::RangeRequest::default()
            };
            let response: api::RangeResponse = self
                .call(path::RANGE, request)
                .await
                .map_err(PageError::Call)?;
            let page_header = response
                .header
                .map(header)
                .ok_or(PageError::Response(MemberError::RangeWithoutHeader))?;
            let header = *first_header.get_or_insert(page_header);
            let Some(last_key) = response.kvs.last().map(|kv| kv.key.clone()) else {
                return Ok((header, listing));
            };
            listing.add_page(response.kvs.into_iter().map(key_value));
            if !response.more {
                return Ok((header, listing));
            }
            // The smallest key that is greater than the last one.
            key = [&last_key[..], &[0]].concat();
        }
    }

    /// Opens a watch of the prefix from `start_revision` on; 0 means the member's next revision.
    ///
    /// # Errors
    /// The call fails or times out.
    pub async fn watch(&mut self, start_revision: i64) -> Result<WatchStream> {
        let (requests, outgoing) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let create = api::WatchCreateRequest {
            key: self.prefix.clone().into_bytes(),
            range_end: prefix_end(self.prefix.as_bytes()),
            start_revision,
            progress_notify: true,
            fragment: true,
            ..api::WatchCreateRequest::default()
        };
        // The channel is still empty, so this cannot fail.
        let _ = requests.try_send(watch_request(api::watch_request::Request::Create(create)));
        let request = with_token(
            Request::new(ReceiverStream::new(outgoing)),
            self.token.as_ref(),
        );
        let grpc = &mut self.grpc;
        let open = async {
            wait_until_ready(grpc).await?;
            let path = PathAndQuery::from_static(path::WATCH);
            grpc.streaming(request, path, ProstCodec::default()).await
        };
        match timeout(self.response_timeout, open).await {
            Ok(opened) => Ok(WatchStream {
                requests,
                responses: opened?.into_inner(),
            }),
            Err(_) => Err(MemberError::WatchTimeout),
        }
    }
}

/// Why reading a page of a range failed.
enum PageError {
    /// The call failed, as it does if the revision of the earlier pages has been compacted.
    Call(MemberError),
    /// The response is malformed.
    Response(MemberError),
}

/// Maximum number of requests on a watch that are queued for the member.
const MAX_QUEUED_REQUESTS: usize = 8;

/// An open watch.
pub struct WatchStream {
    requests: mpsc::Sender<api::WatchRequest>,
    responses: Streaming<api::WatchResponse>,
}

impl WatchStream {
    /// Waits for the next response.
    ///
    /// # Errors
    /// The watch has failed or ended.
    pub async fn next(&mut self) -> Result<api::WatchResponse> {
        self.responses
            .message()
            .await?
            .ok_or(MemberError::WatchEnded)
    }

    /// Requests a progress response. The request is dropped if the queue is full, which means that the member does not
    /// read; the watch then ends because the member is silent.
    pub fn request_progress(&self) {
        let progress = api::watch_request::Request::Progress(api::WatchProgressRequest {});
        let _ = self.requests.try_send(watch_request(progress));
    }
}

fn watch_request(request: api::watch_request::Request) -> api::WatchRequest {
    api::WatchRequest {
        request: Some(request),
    }
}

async fn wait_until_ready(grpc: &mut Grpc<Channel>) -> std::result::Result<(), Status> {
    grpc.ready()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))
}

fn with_token<T>(mut request: Request<T>, token: Option<&Token>) -> Request<T> {
    if let Some(token) = token {
        request.metadata_mut().insert(TOKEN_METADATA, token.clone());
    }
    request
}

async fn open_channel(
    address: SocketAddr,
    settings: &Settings,
    read_times: ReadTimes,
) -> Result<Channel> {
    let connect_timeout = settings.timing.answer_within;
    let endpoint = endpoint(address, settings).map_err(MemberError::Endpoint)?;
    let connector = tower::service_fn(move |_| {
        let read_times = read_times.clone();
        async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let stream = Socket::new(stream);
            Ok::<_, std::io::Error>(TokioIo::new(TimedSocket { stream, read_times }))
        }
    });
    match timeout(connect_timeout, endpoint.connect_with_connector(connector)).await {
        Ok(Ok(channel)) => Ok(channel),
        Ok(Err(_)) => Err(MemberError::Unreachable),
        Err(_) => Err(MemberError::ConnectTimeout),
    }
}

fn endpoint(
    address: SocketAddr,
    settings: &Settings,
) -> std::result::Result<Endpoint, tonic::transport::Error> {
    #[cfg(feature = "tls")]
    let scheme = if settings.tls.is_some() {
        "https"
    } else {
        "http"
    };
    #[cfg(not(feature = "tls"))]
    let scheme = "http";
    let endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(2 * STREAM_WINDOW_BYTES)
        .connect_timeout(settings.timing.answer_within);
    #[cfg(feature = "tls")]
    if let Some((certificates, name)) = &settings.tls {
        let tls = tonic::transport::ClientTlsConfig::new()
            .ca_certificate(tonic::transport::Certificate::from_pem(certificates))
            .domain_name(name);
        return endpoint.tls_config(tls);
    }
    Ok(endpoint)
}
