//! Parses the ends of links in a scenario: `n3`, `n0-n11`, `s2`, `nodes`, `servers`, `list`, `counter`, `clients`, or
//! the name of a side; several are separated by commas.

use saffronpaddle_operator_config::Section;
use saffronpaddle_test_doubles::links::End;
use std::collections::BTreeSet;
use toml::Value;

/// A named group of instances and servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Side {
    /// Name by which steps and reports refer to the group.
    pub name: String,
    /// The instances and servers of the group.
    pub ends: BTreeSet<End>,
}

/// Parses a list of ends; `None` if it names one that does not exist. `counts` are the numbers of instances and
/// servers.
pub fn parse_link_ends(
    text: &str,
    counts: (usize, usize),
    sides: &[Side],
) -> Option<BTreeSet<End>> {
    let mut all = BTreeSet::new();
    for part in text.split(',').map(str::trim) {
        let side = sides.iter().find(|side| side.name == part);
        let named: BTreeSet<End> = match (part, side) {
            (_, Some(side)) => side.ends.clone(),
            ("nodes", None) => (0..counts.0).map(End::Node).collect(),
            ("servers", None) => (0..counts.1).map(End::Server).collect(),
            ("list", None) => BTreeSet::from([End::List]),
            ("counter", None) => BTreeSet::from([End::Counter]),
            ("clients", None) => BTreeSet::from([End::Clients]),
            (part, None) => {
                let (first, last) = part.split_once('-').unwrap_or((part, part));
                let (first, last) = (parse_end(first, counts)?, parse_end(last, counts)?);
                match (first, last) {
                    (End::Node(first), End::Node(last)) => (first..=last).map(End::Node).collect(),
                    (End::Server(first), End::Server(last)) => {
                        (first..=last).map(End::Server).collect()
                    }
                    _ => return None,
                }
            }
        };
        all.extend(named);
    }
    Some(all)
}

/// Parses a single node or app server, such as `n3` or `s2`; `None` if it does not exist.
fn parse_end(text: &str, (nodes, servers): (usize, usize)) -> Option<End> {
    let number = |text: &str, count: usize| text.parse().ok().filter(|number| *number < count);
    match text.split_at_checked(1)? {
        ("n", rest) => number(rest, nodes).map(End::Node),
        ("s", rest) => number(rest, servers).map(End::Server),
        _ => None,
    }
}

/// Parses the `[[side]]` sections of a scenario. Faults are added to `file`.
pub fn parse_sides(
    sections: Option<Value>,
    counts: (usize, usize),
    file: &mut Section,
) -> Vec<Side> {
    let mut all: Vec<Side> = Vec::new();
    let sections = match sections {
        None => return all,
        Some(Value::Array(sections)) => sections,
        Some(_) => {
            file.fault("side", "must be a list of [[side]] sections");
            return all;
        }
    };
    for section in sections {
        let text = |key: &str| section.get(key).and_then(Value::as_str);
        let known = section.as_table().is_some_and(|table| table.len() == 2);
        let named = text("has").and_then(|has| parse_link_ends(has, counts, &all));
        match (text("name"), named) {
            (Some(name), Some(ends)) if known && !name.contains(',') => {
                all.push(Side {
                    name: name.to_owned(),
                    ends,
                });
            }
            _ => file.fault(
                "side",
                "must consist of `name`, without commas, and `has`, a list of instances and servers that exist",
            ),
        }
    }
    all
}

#[cfg(test)]
mod tests;
