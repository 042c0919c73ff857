//! Endpoint lists, which the simulator defines once and then refers to by number.

use crate::error::{ErrorKind, Result};
use crate::line::Line;
use crate::protocol::{field, message, status, MAX_LIST_NUMBER};
use crate::reader::LineReader;
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, ServerId, ZoneId,
};
use std::collections::BTreeMap;
use std::io::BufRead;

/// Number of an endpoint list, at most [`MAX_LIST_NUMBER`] where a list is defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListNumber(u8);

/// An endpoint as defined in a list. Its zone id depends on the settings of the instance that receives the list.
struct ListedEndpoint {
    zone_name: String,
    /// The zone id is a placeholder until [`EndpointLists::resolve`] sets it.
    endpoint: Endpoint,
}

/// All lists defined so far, by number. A list defined again replaces the earlier one.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<ListNumber, Vec<ListedEndpoint>>,
}

/// Fields of the line that opens the definition of a list.
pub struct ListHeader {
    number: ListNumber,
    endpoint_count: usize,
}

impl ListHeader {
    /// Parses the line that opens the definition of a list.
    ///
    /// # Errors
    /// Returns an error if a field is missing or invalid, or the list's number is above [`MAX_LIST_NUMBER`].
    pub fn parse(line: &Line) -> Result<Self> {
        let number: u8 = line.number(field::LIST)?;
        if number > MAX_LIST_NUMBER {
            return Err(line.invalid(field::LIST));
        }
        Ok(ListHeader {
            number: ListNumber(number),
            endpoint_count: line.number(field::ENDPOINT_COUNT)?,
        })
    }
}

impl EndpointLists {
    /// Reads the endpoints that follow `header` and stores them as a list.
    ///
    /// # Errors
    /// Returns an error if the input ends too early or a line is not a valid endpoint.
    pub fn define<R: BufRead>(
        &mut self,
        header: ListHeader,
        reader: &mut LineReader<R>,
    ) -> Result<()> {
        let mut endpoints = Vec::new();
        for _ in 0..header.endpoint_count {
            endpoints.push(parse_endpoint(&reader.next_in_batch()?)?);
        }
        self.lists.insert(header.number, endpoints);
        Ok(())
    }

    /// Returns the endpoints of the list that `line` refers to. A zone's id is its index in `zone_names`.
    ///
    /// # Errors
    /// Returns an error if the line refers to no defined list, or a zone of the list is not in `zone_names`.
    pub fn resolve(&self, line: &Line, zone_names: &[String]) -> Result<Vec<Endpoint>> {
        let number = ListNumber(line.number(field::LIST)?);
        let Some(listed) = self.lists.get(&number) else {
            return Err(line.invalid(field::LIST));
        };
        listed
            .iter()
            .map(|listed| {
                let zone = zone_names
                    .iter()
                    .position(|name| *name == listed.zone_name)
                    .ok_or_else(|| line.error(ErrorKind::UnknownZone(listed.zone_name.clone())))?;
                Ok(Endpoint {
                    zone: ZoneId(zone as u32),
                    ..listed.endpoint
                })
            })
            .collect()
    }
}

fn parse_endpoint(line: &Line) -> Result<ListedEndpoint> {
    line.expect(message::ENDPOINT)?;
    let size = line.non_negative(field::SIZE)?;
    Ok(ListedEndpoint {
        zone_name: line.text(field::ZONE)?.to_owned(),
        endpoint: Endpoint {
            server: ServerId(line.number(field::SERVER)?),
            zone: ZoneId(0),
            domain: DeduplicationDomainId(line.number(field::DEDUPLICATION_DOMAIN)?),
            status: parse_status(line)?,
            size,
            started_at: match line.number_or(field::STARTED_AT, 0)? {
                0 => None,
                at => Some(at),
            },
        },
    })
}

fn parse_status(line: &Line) -> Result<EndpointStatus> {
    match line.text(field::STATUS)? {
        status::READY => Ok(EndpointStatus::Ready),
        status::DRAINING => Ok(EndpointStatus::Draining),
        status::REMOVED => Ok(EndpointStatus::Removed),
        _ => Err(line.invalid(field::STATUS)),
    }
}
