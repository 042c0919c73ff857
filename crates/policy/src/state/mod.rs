//! The engine's state, grouped by the policies that use it. The policies are implemented in other modules of this
//! crate.

mod grant_state;
mod peer_table;
mod quota_table;
mod slow_start;
mod timers;
mod zones;

pub(crate) use grant_state::{GrantState, LeaseRequest};
pub(crate) use peer_table::{messages_per_s, usage_report_interval, PeerTable, RESTART_WINDOW};
pub(crate) use quota_table::{OwnedShard, QuotaTable};
pub(crate) use slow_start::SlowStartState;
pub(crate) use timers::{
    Timers, ANSWER_MARGIN, CONTROLLER_PERIOD, CONTROLLER_PERIOD_S, MAX_RETRY_AFTER, TIMER_INTERVAL,
};
pub(crate) use zones::ZoneReachability;
