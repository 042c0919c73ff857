//! The life cycle: each state, each event in it, and all short orders of events.

mod event_orders;
mod lame_duck;
mod log_lines;
mod readiness;
mod reload;
mod shutdown;
mod support;
