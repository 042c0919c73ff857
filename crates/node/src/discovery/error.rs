//! Why a watch on the endpoint list failed or ended.

use super::WATCH_TIMEOUT;
use hyper::StatusCode;
use saffronpaddle_endpoints::JsonStreamError;
use saffronpaddle_netio::Elapsed;
use std::io;
use thiserror::Error;

/// Why a watch on the endpoint list failed or ended.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection was not established in time.
    #[error("connecting to the list service timed out")]
    ConnectTimeout(#[source] Elapsed),
    /// The connection failed, at the service or for a local reason.
    #[error("cannot connect to the list service")]
    Connect(#[from] io::Error),
    /// The connection broke, or the service violated HTTP.
    #[error("the HTTP connection to the list service failed")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("cannot build the request to the list service")]
    Request(#[from] hyper::http::Error),
    /// The call was not answered in time.
    #[error("waiting for the answer of the list service timed out")]
    AnswerTimeout(#[source] Elapsed),
    /// The service answered with a status other than 200.
    #[error("list service answered the watch request with status {0}")]
    Status(StatusCode),
    /// The list has been empty for long enough to be applied, so the watch is reopened to read the full list again.
    #[error("reopening the watch to confirm an empty list")]
    EmptyListSettled,
    /// The watch sent no data for [`WATCH_TIMEOUT`].
    #[error("the watch sent no data for {} s", WATCH_TIMEOUT.as_secs())]
    Silent,
    /// The data is not a sequence of JSON objects, or an object is too long.
    #[error("cannot split the watch's data into lists")]
    JsonStream(#[from] JsonStreamError),
    /// An object is not an endpoint list.
    #[error("cannot parse a list of the watch")]
    List(#[from] serde_json::Error),
    /// The service ended the watch.
    #[error("the list service ended the watch")]
    Ended,
}
