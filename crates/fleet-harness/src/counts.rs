//! Sums the counter lines in the logs of many nodes, over nodes and time.
//!
//! A node's counters only increase, and start from zero in each process. A line in which a counter or the time is lower
//! than in the line before comes from a new process; the counters of the old process are kept.

use anyhow::{Context, Result};
use saffronpaddle_admin::CounterLine;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// The busiest nodes, one in this many, have their own columns in the table.
const NODES_PER_BUSY_NODE: usize = 10;
/// Names that are gauges rather than counters and are not summed.
const GAUGES: [&str; 3] = ["open_requests", "registry_entries", "out_of_rotation"];

/// The counters of one node, over all of its processes.
#[derive(Clone, Debug, Default)]
struct Node {
    /// Sums over the processes that have ended.
    ended_processes: BTreeMap<String, u64>,
    /// The latest line of the running process.
    latest: CounterLine,
    /// Time covered by the lines of all processes, ms.
    observed_ms: u64,
}

impl Node {
    /// Adds the next counter line of the node.
    fn add_line(&mut self, line: CounterLine) {
        let decreased = |(name, value): (&String, &u64)| {
            !GAUGES.contains(&&name[..]) && line.counts.get(name).is_none_or(|now| now < value)
        };
        if line.at_ms < self.latest.at_ms || self.latest.counts.iter().any(decreased) {
            for (name, value) in std::mem::take(&mut self.latest.counts) {
                *self.ended_processes.entry(name).or_default() += value;
            }
            self.latest.at_ms = 0;
        }
        self.observed_ms += line.at_ms - self.latest.at_ms;
        self.latest = line;
    }

    /// Sum of a counter over all processes of the node.
    fn total(&self, name: &str) -> u64 {
        let count_in = |counts: &BTreeMap<String, u64>| counts.get(name).copied().unwrap_or(0);
        count_in(&self.ended_processes) + count_in(&self.latest.counts)
    }
}

/// The counters of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    nodes: BTreeMap<u32, Node>,
}

impl Counts {
    /// Adds a line of a log. Returns whether it is a counter line.
    pub fn add_line(&mut self, line: &str) -> bool {
        let Some(counter_line) = CounterLine::parse(line) else {
            return false;
        };
        self.nodes
            .entry(counter_line.node)
            .or_default()
            .add_line(counter_line);
        true
    }

    /// Reads files, and all files in folders.
    ///
    /// # Errors
    /// A file could not be read, or there is no counter line.
    pub fn read(paths: &[PathBuf]) -> Result<Counts> {
        let mut counts = Counts::default();
        for path in paths {
            for file in files(path)? {
                let shown = || file.display().to_string();
                let mut reader = BufReader::new(std::fs::File::open(&file).with_context(shown)?);
                let mut line = Vec::new();
                // A log may contain bytes of other programs that are not UTF-8.
                while reader.read_until(b'\n', &mut line).with_context(shown)? > 0 {
                    counts.add_line(&String::from_utf8_lossy(&line));
                    line.clear();
                }
            }
        }
        anyhow::ensure!(
            !counts.nodes.is_empty(),
            "no counter lines found; nodes log them only if log.counts_every_ms is set (0, the default, turns them off)"
        );
        Ok(counts)
    }

    /// Names of all counters without the gauges, sorted.
    fn names(&self) -> Vec<&str> {
        let lines = self
            .nodes
            .values()
            .flat_map(|node| node.ended_processes.keys().chain(node.latest.counts.keys()));
        let mut names: Vec<&str> = lines
            .map(|name| &name[..])
            .filter(|name| !GAUGES.contains(name))
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// One row per counter: its name, the sum, then the rates per node and second (mean, median node, mean of the
    /// busiest tenth, busiest node), and the busiest tenth's share of the sum.
    fn rows(&self) -> Vec<(String, [f64; 6])> {
        let rate = |node: &Node, name: &str| {
            node.total(name) as f64 / (node.observed_ms.max(1) as f64 / 1e3)
        };
        let all = self.nodes.len();
        let tenth = all.div_ceil(NODES_PER_BUSY_NODE);
        let row = |name: &str| {
            let mut by_rate: Vec<(f64, u64)> = self
                .nodes
                .values()
                .map(|node| (rate(node, name), node.total(name)))
                .collect();
            by_rate.sort_by(|a, b| b.0.total_cmp(&a.0));
            let sum: u64 = by_rate.iter().map(|entry| entry.1).sum();
            let mean = |nodes: &[(f64, u64)]| {
                nodes.iter().map(|entry| entry.0).sum::<f64>() / nodes.len().max(1) as f64
            };
            let busiest_share = by_rate[..tenth].iter().map(|entry| entry.1).sum::<u64>() as f64
                / (sum as f64).max(1.0);
            (
                name.to_owned(),
                [
                    sum as f64,
                    mean(&by_rate),
                    by_rate[all / 2].0,
                    mean(&by_rate[..tenth]),
                    by_rate[0].0,
                    busiest_share,
                ],
            )
        };
        self.names().into_iter().map(row).collect()
    }

    /// The sums as a text table.
    pub fn table(&self) -> String {
        let seconds = self
            .nodes
            .values()
            .map(|node| node.observed_ms)
            .sum::<u64>() as f64
            / 1e3;
        let mut text = format!("{} nodes, {seconds:.0} s of nodes\n", self.nodes.len());
        let headings = [
            "sum",
            "a node and s",
            "median",
            "busiest tenth",
            "busiest",
            "share of these",
        ];
        // Writing to a string does not fail.
        let _ = write!(text, "{:26}", "figure");
        headings
            .iter()
            .for_each(|head| _ = write!(text, "{head:>15}"));
        text.push('\n');
        for (name, row) in self.rows() {
            let _ = write!(text, "{name:26}{:>15.0}", row[0]);
            row[1..]
                .iter()
                .for_each(|value| _ = write!(text, "{value:>15.3}"));
            text.push('\n');
        }
        text
    }

    /// The sums of each node as CSV (RFC 4180), one line per node.
    pub fn csv(&self) -> String {
        let names = self.names();
        let mut text = format!("node,ran_ms,{}\r\n", names.join(","));
        for (number, node) in &self.nodes {
            let values: Vec<String> = names
                .iter()
                .map(|name| node.total(name).to_string())
                .collect();
            let _ = write!(
                text,
                "{number},{},{}\r\n",
                node.observed_ms,
                values.join(",")
            );
        }
        text
    }
}

/// The files directly in a folder, sorted; the path itself if it is not a folder.
fn files(path: &Path) -> Result<Vec<PathBuf>> {
    let shown = || path.display().to_string();
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut all = Vec::new();
    for entry in std::fs::read_dir(path).with_context(shown)? {
        let path = entry.with_context(shown)?.path();
        all.extend(path.is_file().then_some(path));
    }
    all.sort();
    Ok(all)
}

#[cfg(test)]
mod tests;
