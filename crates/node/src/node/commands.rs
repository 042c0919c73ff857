//! Executes the commands of the exchange and the actions of the policy engine.

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

    /// Executes a command of the exchange.
    pub(super) fn execute(
        self: &Rc<Self>,
        command: Command<SocketAddr>,
        payload: &mut Option<Payload>,
    ) {
        debug!(?command, "executing exchange command");
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
            // Prepares the request. The gate holds back its first byte until `Command::Write`.
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
            Command::Write { connection } => self.upstream.allow_writes(connection),
            Command::ReleaseBody { connection } => self.upstream.release_body(connection),
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
            Command::PolicyAction(action) => self.execute_policy_action(action),
        }
    }

    /// Executes an action of the policy engine.
    fn execute_policy_action(self: &Rc<Self>, action: Action) {
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
                    node.handle_policy_event(PolicyEvent::TimerFired { token });
                });
            }
            Action::SendToSiblings(message) => self.links.send_to_siblings(message),
            Action::Report(diagnostic) => report(&diagnostic),
            // The node always follows discovery; the exchange handles the other actions.
            Action::Subscribe
            | Action::Send { .. }
            | Action::Reject { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. }
            | Action::ReleaseBody { .. } => {}
        }
    }
}

/// Writes a diagnostic of the policy engine to the log.
fn report(diagnostic: &Diagnostic) {
    match diagnostic {
        Diagnostic::ServerSilent { server } => info!(server = server.0, "{diagnostic}"),
        Diagnostic::ConcurrencyLimitStarted {
            normalized_latency,
            in_flight,
        } => info!(normalized_latency, in_flight, "{diagnostic}"),
    }
}
