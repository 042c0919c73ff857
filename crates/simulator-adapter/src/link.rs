//! Replies to the simulator's batches with the actions of the instances that it started.

use crate::action::write_action;
use crate::endpoint_list::{EndpointLists, ListHeader};
use crate::error::{ErrorKind, ProtocolError, Result};
use crate::event::parse_event;
use crate::line::Line;
use crate::protocol::{field, message, REPLY_END};
use crate::reader::LineReader;
use saffronpaddle_policy::interface::Action;
use saffronpaddle_policy::setup::{self, PlatformSettings};
use saffronpaddle_policy::PolicyEngine;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// A simulated node: its policy engine, and the settings that map names of classes, plans and zones to ids.
struct Instance {
    engine: PolicyEngine,
    settings: PlatformSettings,
}

/// State of a session with the simulator: the endpoint lists and instances set up so far.
#[derive(Default)]
struct Session {
    lists: EndpointLists,
    /// Running instances by their number.
    instances: BTreeMap<u64, Instance>,
    /// Actions of the event being handled. A field, so that its allocation is reused.
    actions: Vec<Action>,
}

/// Reads batches and writes the reply to each until the input ends.
///
/// # Errors
/// Returns an error if the input violates the protocol or a stream fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut reader = LineReader::new(input);
    let mut session = Session::default();
    while let Some(line) = reader.next()? {
        line.expect(message::BATCH_START)?;
        let now: u64 = line.number(field::NOW)?;
        let reply = session.answer_batch(now, &mut reader)?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| reader.error(ErrorKind::Write(error)))?;
    }
    Ok(())
}

impl Session {
    /// Reads the rest of a batch, handles its messages at the simulated time `now` (µs), and returns the reply.
    fn answer_batch<R: BufRead>(&mut self, now: u64, reader: &mut LineReader<R>) -> Result<String> {
        let mut reply = String::new();
        loop {
            let line = reader.next_in_batch()?;
            match line.name {
                message::BATCH_END => break,
                message::ENDPOINT_LIST => {
                    let header = ListHeader::parse(&line)?;
                    self.lists.define(header, reader)?;
                }
                _ => self.on_message(now, &line, &mut reply)?,
            }
        }
        reply.push_str(REPLY_END);
        Ok(reply)
    }

    fn on_message(&mut self, now: u64, line: &Line, reply: &mut String) -> Result<()> {
        let number: u64 = line.number(field::INSTANCE)?;
        match line.name {
            message::INSTANCE_START => {
                self.instances.insert(number, start_instance(now, line)?);
                Ok(())
            }
            message::INSTANCE_STOP => match self.instances.remove(&number) {
                Some(_) => Ok(()),
                None => Err(unknown_instance(line, number)),
            },
            _ => self.on_event(now, number, line, reply),
        }
    }

    fn on_event(&mut self, now: u64, number: u64, line: &Line, reply: &mut String) -> Result<()> {
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(unknown_instance(line, number));
        };
        let Some(event) = parse_event(line, &instance.settings, &self.lists)? else {
            return Ok(());
        };
        self.actions.clear();
        instance.engine.handle(now, event, &mut self.actions);
        for action in &self.actions {
            write_action(reply, number, action);
        }
        Ok(())
    }
}

fn start_instance(now: u64, line: &Line) -> Result<Instance> {
    let seed: i128 = line.number(field::SEED)?;
    let settings = setup::read(line.rest(field::SETTINGS)?)
        .map_err(|error| line.error(ErrorKind::UnreadableSettings(error)))?;
    // A seed may be negative or wider than 64 bits; the policy engine takes its low 64 bits.
    let engine = PolicyEngine::new(seed as u64, settings.settings.clone(), now)
        .map_err(|error| line.error(ErrorKind::InvalidSettings(error)))?;
    Ok(Instance { engine, settings })
}

fn unknown_instance(line: &Line, instance: u64) -> ProtocolError {
    line.error(ErrorKind::UnknownInstance {
        message: line.name.to_owned(),
        instance,
    })
}
