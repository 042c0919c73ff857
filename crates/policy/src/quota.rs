//! A customer's store at a gateway that counts for itself: how it fills and what it holds. Who may draw on it is decided in
//! `control`; what homes keep for a wide fleet is in the package `quota`.

use crate::interface::{HardLimit, Micros, NodeId, Plan, PlanId};
use crate::state::Store;

/// µs over which heard counts age out (design).
pub(crate) const HEARD_FOR: Micros = 2_000_000;

const SILENT: std::ops::Range<Micros> = 800_000..25_000_000; // µs of silence: share kept, then held dead
pub(crate) const KEEP_FOR: Micros = 60_000_000; // µs without a try for which a customer's store is kept at the least

/// How many of a customer's other gateways are silent. Danger: cut links, where each would grant the whole
/// rate; so one keeps its even share until it is taken for dead. It hurts while a gateway is down.
pub(crate) fn silent(spoke: &[Micros], store: &Store, now: Micros) -> f64 {
    let members =
        (0..store.spread as usize).map(|step| (store.first.0 as usize + step) % spoke.len());
    members
        .filter(|member| SILENT.contains(&now.saturating_sub(spoke[*member])))
        .count() as f64
}

/// s for which a gateway's share was kept back for it, as it had been silent since then.
pub(crate) fn kept_for(now: Micros, spoke: Micros) -> f64 {
    now.saturating_sub(spoke)
        .min(SILENT.end)
        .saturating_sub(SILENT.start) as f64
        / 1e6
}

impl Store {
    /// A store that has not been used for as long as this gateway is up. It holds the whole burst: with only the even
    /// part at first, what is missing stays missing for a customer that uses nearly all. Peers' use is heard soon
    /// enough. Its share of the ceiling holds what has come in since the start, when it may have been used up.
    pub(crate) fn new(
        now: Micros,
        up: Micros,
        id: PlanId,
        plan: &Plan,
        (first, spread): (NodeId, u32),
        most: f64,
    ) -> Self {
        let spread = f64::from(spread.max(1));
        let depth = (plan.burst / spread).max(most);
        let (share, ceiling_share) = (1.0, 1.0 / spread);
        let store = Store {
            plan: id,
            first,
            spread,
            depth,
            level: plan.burst.max(depth),
            filled: now,
            ..Store::default()
        };
        let mut store = Store {
            share,
            ceiling_share,
            ..store
        };
        store.fill_ceiling(plan, up as f64 / 1e6);
        store
    }

    /// Goes over to another plan or set; nothing is gained by that, and all that is out or told stays so.
    #[allow(clippy::needless_pass_by_value)]
    pub(crate) fn follow(&mut self, fresh: Store, ceiling: f64) {
        let (heard, level) = (std::mem::take(&mut self.heard), self.level.min(fresh.level));
        let (open, sent, sent_at) = (self.open, self.sent, self.sent_at);
        *self = Store {
            level,
            sent,
            sent_at,
            open,
            heard,
            ceiling,
            ..fresh
        };
    }

    pub(crate) fn fill(&mut self, now: Micros, plan: &Plan, silent: f64) {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now;
        self.level = (self.level + self.share * plan.rate * (1.0 - silent / self.spread) * span)
            .min((plan.burst * self.share).max(self.depth));
        self.fill_ceiling(plan, span);
    }

    pub(crate) fn fill_ceiling(&mut self, plan: &Plan, span: f64) {
        if let Some(ceiling) = plan.hard_limit {
            // Danger: a ceiling passed. A fixed share, empty at first, needs no word from anyone and holds
            // through lost messages and restarts; it hurts where nearly all comes in through one gateway.
            let most = self.most_under(&ceiling);
            self.ceiling = (self.ceiling + ceiling.rate * self.ceiling_share * span).min(most);
        }
    }

    fn most_under(&self, ceiling: &HardLimit) -> f64 {
        ceiling.capacity * self.ceiling_share
    }

    /// Whether nothing would be gained or given by dropping it: it has stood unused, and is full.
    pub(crate) fn is_idle(&mut self, now: Micros, plan: &Plan, silent: f64) -> bool {
        if self.open > 0 || now.saturating_sub(self.used) < KEEP_FOR {
            return false;
        }
        self.fill(now, plan, silent);
        let full = plan
            .hard_limit
            .as_ref()
            .is_none_or(|ceiling| self.ceiling >= self.most_under(ceiling));
        let refilled = plan.rate <= 0.0 || self.level >= (plan.burst * self.share).max(self.depth);
        full && refilled && self.peers(now, HEARD_FOR) <= 0.0
    }
}
