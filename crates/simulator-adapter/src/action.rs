//! Encodes the policy engine's actions as lines of a reply.

use crate::line::encode_bytes;
use crate::protocol::{action, action_field, field, ALL_PEERS, SUBSCRIPTION_ACTIVE};
use saffronpaddle_policy::interface::Action;
use std::fmt::{Display, Write};

/// Appends the line for one action of `instance` to `reply`.
pub fn write_action(reply: &mut String, instance: u64, action: &Action) {
    let line = LineWriter { reply, instance };
    match action {
        Action::Send {
            id,
            server,
            timeout,
        } => line
            .start(action::SEND)
            .field(field::REQUEST, &id.0)
            .field(field::SERVER, server.0)
            .optional_field(action_field::TIMEOUT, timeout.as_ref())
            .end(),
        Action::Reject { id, retry_after } => line
            .start(action::REJECT)
            .field(field::REQUEST, &id.0)
            .optional_field(action_field::RETRY_AFTER, retry_after.as_ref())
            .end(),
        Action::Fail { id } => line.start(action::FAIL).field(field::REQUEST, &id.0).end(),
        Action::Cancel { id, attempt } => line
            .start(action::CANCEL)
            .field(field::REQUEST, &id.0)
            .field(field::ATTEMPT, attempt.0)
            .end(),
        Action::Broadcast { bytes } => line
            .start(action::SEND_TO_PEER)
            .field(action_field::RECEIVER, ALL_PEERS)
            .field(field::BYTES, encode_bytes(bytes))
            .end(),
        Action::SendToPeer { to, bytes } => line
            .start(action::SEND_TO_PEER)
            .field(action_field::RECEIVER, to.0)
            .field(field::BYTES, encode_bytes(bytes))
            .end(),
        Action::SetTimer { after, token } => line
            .start(action::SET_TIMER)
            .field(action_field::DELAY, after)
            .field(field::TIMER_TOKEN, token)
            .end(),
        Action::Subscribe => line
            .start(action::SUBSCRIBE)
            .field(action_field::ACTIVE, SUBSCRIPTION_ACTIVE)
            .end(),
        // Each simulated instance is a single process, so there are no sibling processes to send to.
        Action::SendToSiblings(_) => {}
        // Simulated requests arrive with their complete body.
        Action::ReleaseBody { .. } => {}
        Action::Report(diagnostic) => line
            .start(action::REPORT)
            .field(action_field::TEXT, diagnostic)
            .end(),
    }
}

/// Appends one line to a reply, field by field.
struct LineWriter<'a> {
    reply: &'a mut String,
    instance: u64,
}

impl LineWriter<'_> {
    fn start(self, name: &str) -> Self {
        self.reply.push_str(name);
        let instance = self.instance;
        self.field(field::INSTANCE, instance)
    }

    fn field(self, name: &str, value: impl Display) -> Self {
        // Writing to a `String` never fails.
        let _ = write!(self.reply, "\t{name}={value}");
        self
    }

    fn optional_field(self, name: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(name, value),
            None => self,
        }
    }

    fn end(self) {
        self.reply.push('\n');
    }
}
