//! How a scenario names the ends of links: `n3`, `n0-n11`, `s2`, `nodes`, `servers`, `list`, `counter`, `clients`, or a
//! side that it has given a name; several with commas.

use saffronpaddle_operator_config::Section;
use saffronpaddle_test_doubles::links::End;
use std::collections::BTreeSet;
use toml::Value;

/// A side: a name, and what is on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Side {
    /// Its name.
    pub name: String,
    /// What is on it.
    pub ends: BTreeSet<End>,
}

/// The ends that a text names; none where it names something that there is not. `counts` are instances and servers.
pub fn ends(text: &str, counts: (usize, usize), sides: &[Side]) -> Option<BTreeSet<End>> {
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
                let (first, last) = (one(first, counts)?, one(last, counts)?);
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

fn one(text: &str, (nodes, servers): (usize, usize)) -> Option<End> {
    let number = |text: &str, most: usize| text.parse().ok().filter(|number| *number < most);
    match text.split_at_checked(1)? {
        ("n", rest) => number(rest, nodes).map(End::Node),
        ("s", rest) => number(rest, servers).map(End::Server),
        _ => None,
    }
}

/// The sides of a scenario, from its `[[side]]` sections; what is wrong with them is told to the file.
pub fn sides(written: Option<Value>, counts: (usize, usize), file: &mut Section) -> Vec<Side> {
    let mut all: Vec<Side> = Vec::new();
    let written = match written {
        None => return all,
        Some(Value::Array(sections)) => sections,
        Some(_) => {
            file.fault("side", "must be a list of sections");
            return all;
        }
    };
    for section in written {
        let text = |key: &str| section.get(key).and_then(Value::as_str);
        let known = section.as_table().is_some_and(|table| table.len() == 2);
        let named = text("has").and_then(|has| ends(has, counts, &all));
        match (text("name"), named) {
            (Some(name), Some(ends)) if known && !name.contains(',') => {
                all.push(Side {
                    name: name.to_owned(),
                    ends,
                });
            }
            _ => file.fault(
                "side",
                "must have a name without commas, and what it has: instances and servers",
            ),
        }
    }
    all
}

#[cfg(test)]
mod tests;
