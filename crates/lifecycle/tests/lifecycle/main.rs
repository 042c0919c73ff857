//! Tests of the life cycle: each event in each state, and all short sequences of events.

mod event_orders;
mod lame_duck;
mod log_lines;
mod readiness;
mod reload;
mod shared_listener;
mod shutdown;
mod support;
