//! The endpoint lists that the simulator defines once and then refers to by number.

use crate::error::{ErrorKind, Result};
use crate::line::Line;
use crate::protocol::{field, message, status, MAX_LIST_NUMBER};
use crate::reader::LineReader;
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, ServerId, ZoneId,
};
use std::collections::BTreeMap;
use std::io::BufRead;

/// Number of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListNumber(u8);

/// An endpoint as listed. Its zone's id depends on the settings of the instance that is told of it.
struct ListedEndpoint {
    zone_name: String,
    /// The endpoint, with a zone id that is still to be set.
    endpoint: Endpoint,
}

/// All lists that were defined so far.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<ListNumber, Vec<ListedEndpoint>>,
}

/// The first line of a list.
pub struct ListHeader {
    number: ListNumber,
    endpoint_count: usize,
}

impl ListHeader {
    /// Reads the first line of a list.
    ///
    /// # Errors
    /// A field is missing or invalid.
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
    /// Reads the endpoints that follow a list's first line.
    ///
    /// # Errors
    /// A line is missing or is no endpoint.
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

    /// The endpoints of the list that a line names, with the ids that their zones have in `zone_names`.
    ///
    /// # Errors
    /// The line names no list, or the list has a zone that `zone_names` lacks.
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
