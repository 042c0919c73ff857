//! The operator file (`deploy/operator.toml`): settings of an installation in addition to those that the platform
//! provides.
//!
//! The file documents every key with its default, unit and bounds. Unknown keys are faults. All faults are reported at
//! once, each with its key. The crate does no I/O: [`Operator::parse`] takes the text of the file.
//!
//! ```
//! let faults = saffronpaddle_operator_config::Operator::parse("[ready]\nlag = 5\nmemory_share = 7").unwrap_err();
//! assert_eq!(
//!     faults.to_string(),
//!     "ready.memory_share: must be a number from 0.1 to 1, not 7; ready.lag: unknown key"
//! );
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod discovery;
mod etcd;
mod fault;
mod operator;
mod process;
mod readiness;
mod section;
mod traffic;
mod websocket;

pub use etcd::{Etcd, EtcdTls, EtcdUser};
pub use fault::{Fault, Faults};
pub use operator::Operator;
pub use process::{Listen, Log, Manager, Reload, Stop};
pub use section::Section;
pub use traffic::{Quotas, Servers};
pub use websocket::Sockets;
