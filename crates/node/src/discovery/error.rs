//! Why a watch on the endpoint list failed or ended.

use hyper::StatusCode;
use saffronpaddle_endpoints::Unreadable;
use std::io;
use thiserror::Error;
use tokio::time::error::Elapsed;

/// Why a watch on the endpoint list failed or ended.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection did not come up in time.
    #[error("it does not come up")]
    ConnectTimeout(#[source] Elapsed),
    /// The connection was refused, or could not be made here.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The service broke the connection off, or HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be made.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The call was not answered in time.
    #[error("the call is not answered")]
    AnswerTimeout(#[source] Elapsed),
    /// The service did not answer with a watch.
    #[error("the watch was answered {0}")]
    Status(StatusCode),
    /// An empty list has lasted long enough to be applied: the whole list is read once more.
    #[error("its empty list is settled")]
    EmptyListSettled,
    /// Nothing came for too long.
    #[error("the watch is silent")]
    Silent,
    /// What came is no list.
    #[error("the watch")]
    Unreadable(#[from] Unreadable),
    /// What came is no list of endpoints.
    #[error("a list of the watch")]
    List(#[from] serde_json::Error),
    /// The service ended the watch.
    #[error("the watch ended")]
    Ended,
}
