//! Carries the simulator's wire to the decision module and back. Translation only.

mod wire;

use saffronpaddle_policy::interface::{
    Action, AttemptNumber, ClassId, CustomerId, DeduplicationDomainId, Endpoint, EndpointStatus,
    EndpointUpdate, Event, NodeId, Outcome, PlanId, RequestId, ServerId, ZoneId,
};
use saffronpaddle_policy::{setup, PolicyEngine};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Fault, Line, Result};

/// An entry as listed; its zone gets a number only by an instance's settings.
struct Item {
    campus: String,
    entry: Endpoint,
}

struct Instance {
    gateway: PolicyEngine,
    named: setup::PlatformSettings,
}

#[derive(Default)]
struct Link {
    lists: BTreeMap<u8, Vec<Item>>,
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("saffronpaddle-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Reads lines and keeps their number.
struct Reader<R> {
    input: R,
    number: usize,
}

impl<R: BufRead> Reader<R> {
    fn next(&mut self, buffer: &mut String) -> Result<bool> {
        buffer.clear();
        self.number += 1;
        let fault = |what: String| Fault {
            line: self.number,
            what,
        };
        let read = self.input.read_line(buffer);
        if read.map_err(|error| fault(format!("cannot be read: {error}")))? == 0 {
            return Ok(false);
        }
        if buffer.pop() != Some('\n') {
            return Err(fault("the line breaks off".to_owned()));
        }
        if buffer.ends_with('\r') {
            buffer.pop();
        }
        Ok(true)
    }

    fn inside(&mut self, buffer: &mut String) -> Result<()> {
        if self.next(buffer)? {
            return Ok(());
        }
        Err(Fault {
            line: self.number,
            what: "input ends inside a batch; eof_batch is missing".to_owned(),
        })
    }
}

fn run() -> Result<()> {
    let mut reader = Reader {
        input: io::stdin().lock(),
        number: 0,
    };
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut link = Link::default();
    let mut buffer = String::new();
    while reader.next(&mut buffer)? {
        let line = Line::parse(reader.number, &buffer);
        if line.name != "frame" {
            return line.fault(format!("expected frame, found {:?}", line.name));
        }
        let now: u64 = line.number("nowUs")?;
        let mut reply = String::new();
        loop {
            reader.inside(&mut buffer)?;
            let line = Line::parse(reader.number, &buffer);
            match line.name {
                "eof_batch" => break,
                "register" => {
                    let list: u8 = line.number("list")?;
                    if list > 15 {
                        return line.bad("list");
                    }
                    let count: usize = line.number("items")?;
                    let mut items = Vec::new();
                    for _ in 0..count {
                        reader.inside(&mut buffer)?;
                        items.push(item(&Line::parse(reader.number, &buffer))?);
                    }
                    link.lists.insert(list, items);
                }
                _ => link.event(now, &line, &mut reply)?,
            }
        }
        reply.push_str("finished\n");
        let sent = output.write_all(reply.as_bytes());
        if let Err(error) = sent.and_then(|()| output.flush()) {
            return Err(Fault {
                line: reader.number,
                what: format!("the reply cannot be written: {error}"),
            });
        }
    }
    Ok(())
}

fn item(line: &Line) -> Result<Item> {
    if line.name != "item" {
        return line.fault(format!("expected item, found {:?}", line.name));
    }
    let size = line.measure("capacityHint")?;
    Ok(Item {
        campus: line.text("campus")?.to_owned(),
        entry: Endpoint {
            server: ServerId(line.number("server")?),
            zone: ZoneId(0),
            domain: DeduplicationDomainId(line.number("bay")?),
            status: match line.text("readiness")? {
                "Ready" => EndpointStatus::Ready,
                "Terminating" => EndpointStatus::Draining,
                "Gone" => EndpointStatus::Removed,
                _ => return line.bad("readiness"),
            },
            size,
            started_at: match line.number_or("cameUpUs", 0)? {
                0 => None,
                at => Some(at),
            },
        },
    })
}

fn request_id(line: &Line) -> Result<RequestId> {
    match line.text("call")? {
        "" => line.bad("call"),
        id => Ok(RequestId(id.into())),
    }
}

fn outcome(line: &Line) -> Result<Outcome> {
    Ok(match line.number("ending")? {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::TimedOut,
        304 => Outcome::Unreachable,
        305 => Outcome::ConnectionLost,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return line.bad("ending"),
    })
}

fn place(line: &Line, field: &str, names: &[String]) -> Result<usize> {
    let name = line.text(field)?;
    match names.iter().position(|known| known == name) {
        Some(place) => Ok(place),
        None => line.bad(field),
    }
}

impl Link {
    fn event(&mut self, now: u64, line: &Line, reply: &mut String) -> Result<()> {
        let number: u64 = line.number("i")?;
        match line.name {
            "hello" => {
                let seed: i128 = line.number("randomSeed")?;
                let named = match setup::read(line.tail("setup")?) {
                    Ok(named) => named,
                    Err(what) => return line.fault(format!("hello: field setup: {what}")),
                };
                match PolicyEngine::new(seed as u64, named.settings.clone(), now) {
                    Ok(gateway) => {
                        let instance = Instance { gateway, named };
                        self.instances.insert(number, instance);
                        return Ok(());
                    }
                    Err(error) => return line.fault(format!("hello: field setup: {error}")),
                }
            }
            "teardown" => {
                return match self.instances.remove(&number) {
                    Some(_) => Ok(()),
                    None => line.fault(format!("teardown: field i: {number} was never started")),
                };
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return line.fault(format!(
                "{}: field i: {number} was never started",
                line.name
            ));
        };
        let Some(event) = translate(line, &instance.named, &self.lists)? else {
            return Ok(());
        };
        self.actions.clear();
        instance.gateway.handle(now, event, &mut self.actions);
        for action in &self.actions {
            write_action(number, action, reply);
        }
        Ok(())
    }
}

fn translate(
    line: &Line,
    named: &setup::PlatformSettings,
    lists: &BTreeMap<u8, Vec<Item>>,
) -> Result<Option<Event>> {
    Ok(Some(match line.name {
        "update" => {
            let kind = match line.text("kind")? {
                "Error" => return Ok(Some(Event::EndpointsUnavailable)),
                "Partial" => EndpointUpdate::Delta,
                "Complete" | "Persisted" => EndpointUpdate::Snapshot,
                _ => return line.bad("kind"),
            };
            let Some(items) = lists.get(&line.number("list")?) else {
                return line.bad("list");
            };
            let mut entries = Vec::with_capacity(items.len());
            for item in items {
                let Some(zone) = named.zones.iter().position(|name| *name == item.campus) else {
                    return line.fault(format!("update: field list: no zone {:?}", item.campus));
                };
                entries.push(Endpoint {
                    zone: ZoneId(zone as u32),
                    ..item.entry
                });
            }
            Event::EndpointsChanged {
                update: kind,
                endpoints: entries,
            }
        }
        "knock" => Event::RequestArrived {
            id: request_id(line)?,
            class: ClassId(place(line, "grade", &named.classes)?),
            plan: PlanId(place(line, "package", &named.plans)?),
            customer: CustomerId(line.number("clientId")?),
            units: line.measure("quotaUnits")?,
            subset_first: NodeId(line.number("base")?),
            subset_size: line.number("setSize")?,
            timeout: line.number("ttlUs")?,
            complete: true,
        },
        "opened" => Event::ResponseStarted {
            id: request_id(line)?,
        },
        "finished" => Event::AttemptEnded {
            id: request_id(line)?,
            attempt: AttemptNumber(line.number("shot")?),
            outcome: outcome(line)?,
            request_closed: line.flag("doneFlag")?,
        },
        "gone" => Event::RequestAbandoned {
            id: request_id(line)?,
        },
        "elapsed" => Event::TimerFired {
            token: line.number("nonce")?,
        },
        "whisper" => Event::PeerMessage {
            from: NodeId(line.number("originPeer")?),
            bytes: line.hex("blob")?,
        },
        // The module neither probes nor calls the counter: answers are checked and passed over.
        "echo" | "counter_reply" => {
            outcome(line)?;
            return Ok(None);
        }
        other => return line.fault(format!("{other:?} is no known message")),
    }))
}

fn write_action(number: u64, action: &Action, reply: &mut String) {
    use std::fmt::Write;
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send {
            id,
            server,
            timeout: time_out,
        } => {
            let _ = write!(
                reply,
                "send\ti={number}\tcall={}\tserver={}",
                id.0, server.0
            );
            match time_out {
                Some(span) => writeln!(reply, "\ttryForUs={span}"),
                None => writeln!(reply),
            }
        }
        Action::Reject {
            id,
            retry_after: retry_in,
        } => {
            let _ = write!(reply, "not_now\ti={number}\tcall={}", id.0);
            match retry_in {
                Some(span) => writeln!(reply, "\tretryInUs={span}"),
                None => writeln!(reply),
            }
        }
        Action::Fail { id } => writeln!(reply, "finish_error\ti={number}\tcall={}", id.0),
        Action::Cancel { id, attempt } => {
            writeln!(
                reply,
                "revoke\ti={number}\tcall={}\tshot={}",
                id.0, attempt.0
            )
        }
        Action::Broadcast { bytes } => {
            writeln!(
                reply,
                "tell\ti={number}\taddressee=*\tblob={}",
                wire::to_hex(bytes)
            )
        }
        Action::SendToPeer { to, bytes } => {
            writeln!(
                reply,
                "tell\ti={number}\taddressee={}\tblob={}",
                to.0,
                wire::to_hex(bytes)
            )
        }
        Action::SetTimer { after, token } => {
            writeln!(reply, "defer\ti={number}\tdelayUs={after}\tnonce={token}")
        }
        Action::Subscribe => writeln!(reply, "track\ti={number}\tactive=1"),
        // No other process of the same gateway is ever told of.
        Action::SendToSiblings(_) => Ok(()),
        Action::Report(diagnostic) => {
            writeln!(reply, "say_log\ti={number}\twords={diagnostic}")
        }
    };
}
