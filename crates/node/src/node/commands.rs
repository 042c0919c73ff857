//! Carries out what the exchange and the policy engine inside it ask for.

use super::Node;
use crate::answer::{Answer, Payload};
use crate::upstream_events::UpstreamEvents;
use saffronpaddle_exchange::{Command, FinalAnswer};
use saffronpaddle_policy::interface::{Action, Diagnostic, Event as PolicyEvent};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info};

impl Node {
    fn events(self: &Rc<Self>) -> Rc<dyn UpstreamEvents> {
        Rc::clone(self) as Rc<dyn UpstreamEvents>
    }

    /// Carries out a command of the exchange.
    pub(super) fn carry_out(
        self: &Rc<Self>,
        command: Command<SocketAddr>,
        payload: &mut Option<Payload>,
    ) {
        debug!(?command, "exchange");
        match command {
            Command::Connect {
                connection,
                address,
            } => self.upstream.connect(
                self.events(),
                self.registration.number(),
                connection,
                address,
            ),
            // Prepares the request; its first byte waits at the gate for `Command::Write`.
            Command::Send {
                connection,
                id,
                server,
            } => {
                if let Some(forward) = self.forward(&id) {
                    self.upstream
                        .send(self.events(), connection, server, forward);
                }
            }
            Command::Write { connection } => self.upstream.open(connection),
            Command::ReleaseBody { connection } => self.upstream.release(connection),
            Command::Close { connection } => self.upstream.close(self.events(), connection),
            Command::Answer { id, answer } => {
                let answer = match answer {
                    FinalAnswer::Served => payload.take().map_or(Answer::Failed, Answer::Served),
                    FinalAnswer::Rejected(retry_after) => {
                        Answer::Rejected(retry_after.map(Duration::from_micros))
                    }
                    FinalAnswer::Failed => Answer::Failed,
                };
                self.answer(&id, answer);
            }
            Command::PolicyAction(action) => self.apply(action),
        }
    }

    /// Carries out an action of the policy.
    fn apply(self: &Rc<Self>, action: Action) {
        match action {
            Action::Broadcast { bytes } => {
                self.peers.iter().for_each(|peers| peers.broadcast(&bytes));
            }
            Action::SendToPeer { to, bytes } => {
                self.peers
                    .iter()
                    .for_each(|peers| peers.send_to(to, &bytes));
            }
            Action::SetTimer { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.last_timer_at.set(Instant::now());
                    node.post(PolicyEvent::TimerFired { token });
                });
            }
            Action::SendToSiblings(twin) => self.links.send_to_siblings(twin),
            Action::Report(diagnostic) => report(&diagnostic),
            // Discovery is always followed, and the rest is the exchange's.
            Action::Subscribe
            | Action::Send { .. }
            | Action::Reject { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. } => {}
        }
    }
}

/// Writes what the policy engine reports to the log.
fn report(diagnostic: &Diagnostic) {
    match diagnostic {
        Diagnostic::ServerSilent { server } => info!(server = server.0, "{diagnostic}"),
        Diagnostic::ConcurrencyLimitStarted {
            normalized_latency,
            in_flight,
        } => info!(normalized_latency, in_flight, "{diagnostic}"),
    }
}
