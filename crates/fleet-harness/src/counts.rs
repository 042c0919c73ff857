//! Adds the lines of counts in many nodes' logs up over nodes and time.
//!
//! A node's counts only rise, and begin anew with each process. A line that shows less of anything than the one before, or an
//! earlier time, is a new process: what the old one had counted stays counted.

use anyhow::{Context, Result};
use saffronpaddle_admin::Fields;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// How many of the busiest nodes are told apart: one in ten.
const BUSIEST: usize = 10;
/// Figures that stand at a level and do not rise: they are not added up.
const LEVELS: [&str; 3] = ["open_requests", "registry_entries", "out_of_rotation"];

/// What one node has counted, over all of its processes.
#[derive(Clone, Debug, Default)]
struct Node {
    /// Of processes that have ended.
    before: BTreeMap<String, u64>,
    /// The last line of the one that runs.
    last: Fields,
    /// ms that processes were seen to run.
    ran_ms: u64,
}

impl Node {
    fn take(&mut self, line: Fields) {
        let less = |(name, value): (&String, &u64)| {
            !LEVELS.contains(&&name[..]) && line.of.get(name).is_none_or(|now| now < value)
        };
        if line.at_ms < self.last.at_ms || self.last.of.iter().any(less) {
            for (name, value) in std::mem::take(&mut self.last.of) {
                *self.before.entry(name).or_default() += value;
            }
            self.last.at_ms = 0;
        }
        self.ran_ms += line.at_ms - self.last.at_ms;
        self.last = line;
    }

    fn of(&self, name: &str) -> u64 {
        let of = |counts: &BTreeMap<String, u64>| counts.get(name).copied().unwrap_or(0);
        of(&self.before) + of(&self.last.of)
    }
}

/// The counts of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    nodes: BTreeMap<u32, Node>,
}

impl Counts {
    /// Takes a line of a log in; whether it was one of counts.
    pub fn line(&mut self, line: &str) -> bool {
        let Some(fields) = Fields::read(line) else {
            return false;
        };
        self.nodes.entry(fields.node).or_default().take(fields);
        true
    }

    /// Reads files, and all files of folders.
    ///
    /// # Errors
    /// One could not be read.
    pub fn read(paths: &[PathBuf]) -> Result<Counts> {
        let mut counts = Counts::default();
        for path in paths {
            for file in files(path)? {
                let shown = || file.display().to_string();
                let mut reader = BufReader::new(std::fs::File::open(&file).with_context(shown)?);
                let mut line = Vec::new();
                // A log may hold bytes of others that are no text.
                while reader.read_until(b'\n', &mut line).with_context(shown)? > 0 {
                    counts.line(&String::from_utf8_lossy(&line));
                    line.clear();
                }
            }
        }
        anyhow::ensure!(
            !counts.nodes.is_empty(),
            "no line of counts (log.counts_every_ms is 0 by default)"
        );
        Ok(counts)
    }

    fn names(&self) -> Vec<&str> {
        let lines = self
            .nodes
            .values()
            .flat_map(|node| node.before.keys().chain(node.last.of.keys()));
        let mut names: Vec<&str> = lines
            .map(|name| &name[..])
            .filter(|name| !LEVELS.contains(name))
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// A row a figure: its name, the sum, a node and second on the mean, at the median node, at the busiest tenth and at the
    /// busiest, and what share of the sum that tenth has.
    fn rows(&self) -> Vec<(String, [f64; 6])> {
        let rate =
            |node: &Node, name: &str| node.of(name) as f64 / (node.ran_ms.max(1) as f64 / 1e3);
        let all = self.nodes.len();
        let tenth = all.div_ceil(BUSIEST);
        let row = |name: &str| {
            let mut by: Vec<(f64, u64)> = self
                .nodes
                .values()
                .map(|node| (rate(node, name), node.of(name)))
                .collect();
            by.sort_by(|a, b| b.0.total_cmp(&a.0));
            let sum: u64 = by.iter().map(|of| of.1).sum();
            let mean =
                |of: &[(f64, u64)]| of.iter().map(|of| of.0).sum::<f64>() / of.len().max(1) as f64;
            let top = by[..tenth].iter().map(|of| of.1).sum::<u64>() as f64 / (sum as f64).max(1.0);
            (
                name.to_owned(),
                [
                    sum as f64,
                    mean(&by),
                    by[all / 2].0,
                    mean(&by[..tenth]),
                    by[0].0,
                    top,
                ],
            )
        };
        self.names().into_iter().map(row).collect()
    }

    /// The sums as a table.
    pub fn table(&self) -> String {
        let seconds = self.nodes.values().map(|node| node.ran_ms).sum::<u64>() as f64 / 1e3;
        let mut text = format!("{} nodes, {seconds:.0} s of nodes\n", self.nodes.len());
        let heads = [
            "sum",
            "a node and s",
            "median",
            "busiest tenth",
            "busiest",
            "share of these",
        ];
        // Writing to a string does not fail.
        let _ = write!(text, "{:26}", "figure");
        heads.iter().for_each(|head| _ = write!(text, "{head:>15}"));
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

    /// The sums of each node as CSV (RFC 4180), a line a node.
    pub fn csv(&self) -> String {
        let names = self.names();
        let mut text = format!("node,ran_ms,{}\r\n", names.join(","));
        for (number, node) in &self.nodes {
            let values: Vec<String> = names.iter().map(|name| node.of(name).to_string()).collect();
            let _ = write!(text, "{number},{},{}\r\n", node.ran_ms, values.join(","));
        }
        text
    }
}

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
