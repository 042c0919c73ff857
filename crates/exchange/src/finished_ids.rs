//! The ids of requests that may have run, so that none runs again when its client sends it once more.

use saffronpaddle_policy::interface::{Micros, RequestId};
use std::collections::{HashMap, VecDeque};

/// How long an id is remembered, µs: longer than any client waits and tries again.
const MEMORY_DURATION: Micros = 60_000_000;
/// Most ids that are remembered; beyond that the oldest are forgotten earlier. They take about 1 MB.
const MAX_IDS: usize = 8_192;

/// The ids of requests that may have run, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct FinishedIds {
    /// When each id was recorded last, µs.
    recorded_at: HashMap<RequestId, Micros>,
    order: VecDeque<(Micros, RequestId)>,
}

impl FinishedIds {
    /// Records an id, and forgets those that are too old or too many.
    pub fn record(&mut self, now: Micros, id: RequestId) {
        self.recorded_at.insert(id.clone(), now);
        self.order.push_back((now, id));
        while let Some((at, oldest)) = self.order.front() {
            let is_old = at.saturating_add(MEMORY_DURATION) < now;
            if !is_old && self.order.len() <= MAX_IDS {
                break;
            }
            // An id that was recorded again is forgotten with its later entry.
            if self.recorded_at.get(oldest) == Some(at) {
                self.recorded_at.remove(oldest);
            }
            self.order.pop_front();
        }
    }

    /// Whether a request with this id may have run.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.recorded_at.contains_key(id)
    }

    /// The ids, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RequestId> {
        self.order.iter().map(|(_, id)| id)
    }
}

#[cfg(test)]
mod tests;
