//! Admission: whether a request that has come in may be forwarded at all, and its rejection where it may not.
//!
//! The rule, in one sentence: in a small fleet a request is admitted while its customer's token bucket covers it; in a
//! large fleet while a lease covers it or an owner of the quota grants it, and requests for which asking would be in vain
//! are rejected at once.
//!
//! Inputs: the request (units, deadline in µs), its customer's token bucket and what owners have answered, the load
//! shedding probability. Result: queued, sent to an owner for a grant, or rejected with `retry_after` in µs.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::idempotency::rejection_allowed;
use crate::interface::{Action, CustomerId, HardLimit, Micros, RequestId, MILLISECOND, SECOND};
use crate::request::Request;
use crate::shard_owners::NodeSubset;
use crate::state::{LAST_CALL, MAX_RETRY_AFTER, RESTART_WINDOW};
use crate::statistics::poisson_below;
use crate::token_bucket::{silent_peers, TokenBucket, KEEP_UNUSED_FOR, USAGE_WINDOW};

/// Shortest time after which a rejected client is told to retry.
const MIN_RETRY_AFTER: Micros = 20 * MILLISECOND;
/// Multiple of the even share that a node is given where nodes may not talk to each other: customers' requests come
/// unevenly to the nodes of their subset.
const UNEVEN_SHARE: f64 = 2.0;
/// Grant requests of one customer that a node has open at most. With more, an overloaded owner would get every request
/// of its customer several times.
const MAX_OPEN_GRANT_REQUESTS: usize = 4;
/// Expected loss, as a share of a request's value, that a first attempt may risk by exceeding the limit on attempts in
/// flight.
const MAX_IN_FLIGHT_RISK: f64 = 0.2;
/// A customer that was seen this recently counts as [`Counter::SeenWithinOneSecond`].
const SEEN_WITHIN_ONE_SECOND: Micros = SECOND;
/// A customer that was seen this recently counts as [`Counter::SeenWithinTenSeconds`].
const SEEN_WITHIN_TEN_SECONDS: Micros = 10 * SECOND;

/// What becomes of a request that has come in.
enum Admission {
    Reject(Counter),
    /// A lease covers it.
    ByLease,
    AskOwner,
    Queue,
}

impl PolicyEngine {
    /// A request has come in.
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        subset: NodeSubset,
        actions: &mut Actions,
    ) {
        let shed_probability = self.shed_probability(&request);
        self.prepare_bucket(now, &request, subset);
        let Some(admission) = self.decide_admission(now, &request, shed_probability) else {
            return;
        };
        self.requests.open.insert(id.clone(), request);
        match admission {
            Admission::Reject(counter) => self.finish(&id, counter, actions),
            Admission::ByLease => self.admit_locally(now, id, Counter::AdmittedByLease),
            Admission::AskOwner => self.request_grant(now, id, actions),
            Admission::Queue => self.requests.queue.push(id),
        }
    }

    /// Brings the customer's token bucket up to date: created, following its plan and subset, refilled.
    fn prepare_bucket(&mut self, now: Micros, request: &Request, subset: NodeSubset) {
        let uptime = self.uptime(now);
        let customer = request.customer;
        if !self.quotas.buckets.contains_key(&customer) {
            let bucket = self.new_bucket(now, uptime, request, subset);
            self.quotas.buckets.insert(customer, bucket);
        }
        let Some(bucket) = self.quotas.buckets.get_mut(&customer) else {
            return;
        };
        let plans = &self.settings.plans;
        if bucket.has_changed(request.plan, subset) {
            let had_hard_limit = plans[bucket.plan.0].hard_limit.is_some();
            let hard_limit_tokens = if had_hard_limit {
                bucket.hard_limit_tokens.min(0.0)
            } else {
                0.0
            };
            let plan = &plans[request.plan.0];
            let max_units = self.settings.max_request_units;
            let fresh = TokenBucket::new(now, 0, request.plan, plan, subset, max_units);
            bucket.follow(fresh, hard_limit_tokens);
        }
        let silent = silent_peers(&self.peers.last_report_at, bucket, now);
        bucket.refill(now, &plans[bucket.plan.0], silent);
        let unused_for = if bucket.last_used_at == 0 {
            Micros::MAX
        } else {
            now - bucket.last_used_at
        };
        bucket.last_used_at = now;
        self.counters.add(seen_counter(unused_for));
    }

    /// The bucket of a customer that was not seen before. A node that may have been restarted takes only its even share
    /// for granted.
    fn new_bucket(
        &mut self,
        now: Micros,
        uptime: Micros,
        request: &Request,
        subset: NodeSubset,
    ) -> TokenBucket {
        let plan = &self.settings.plans[request.plan.0];
        let max_units = self.settings.max_request_units;
        let bucket = TokenBucket::new(now, uptime, request.plan, plan, subset, max_units);
        let may_have_restarted = self.restarted && uptime < RESTART_WINDOW;
        let tokens = if self.large_fleet || may_have_restarted {
            bucket.even_capacity
        } else {
            bucket.tokens
        };
        // In a large fleet the bucket only tells rejected clients when to retry.
        let share = if self.large_fleet {
            1.0 / bucket.subset_size
        } else {
            bucket.share
        };
        if self.settings.permissions.peer_messages || bucket.subset_size <= 1.0 {
            return TokenBucket {
                tokens,
                share,
                ..bucket
            };
        }
        self.isolated_bucket(request, bucket)
    }

    /// A bucket where nodes may not talk to each other: each would grant the whole quota, so each gets a share. A share
    /// of less than one request is held whole by some nodes of the subset: so many that all of them together grant no
    /// more than the quota over the time for which a bucket is kept.
    fn isolated_bucket(&mut self, request: &Request, bucket: TokenBucket) -> TokenBucket {
        let plan = &self.settings.plans[request.plan.0];
        let share = (UNEVEN_SHARE / bucket.subset_size).min(1.0);
        let units_while_kept = plan.burst + plan.rate * KEEP_UNUSED_FOR as f64 / 1e6;
        let even_units = units_while_kept / bucket.subset_size;
        let below_one_request = share * plan.burst < bucket.even_capacity;
        let holds_whole =
            below_one_request && self.random.f64() * bucket.even_capacity < even_units;
        let tokens = if holds_whole {
            bucket.even_capacity
        } else {
            share * plan.burst
        };
        TokenBucket {
            tokens,
            share,
            ..bucket
        }
    }

    /// Decides on a request, and takes its units off its customer's bucket. In order: a request that would be answered too late
    /// is rejected; a lease may cover it; an owner is asked, unless it rejects for now, the customer is sampled out or load is
    /// shed; in a small fleet the bucket alone decides.
    fn decide_admission(
        &mut self,
        now: Micros,
        request: &Request,
        shed_probability: f64,
    ) -> Option<Admission> {
        let open_grant_requests = self.open_grant_requests(request.customer);
        let bucket = self.quotas.buckets.get_mut(&request.customer)?;
        let plan = &self.settings.plans[bucket.plan.0];
        let large_fleet = self.large_fleet;
        // The next timer would answer such a request too late.
        let hopeless = request.deadline <= now.saturating_add(LAST_CALL);
        let rejecting = large_fleet
            && (bucket.rejections.is_rejecting(now)
                || open_grant_requests >= MAX_OPEN_GRANT_REQUESTS);
        let sampling_probability = bucket.rejections.sampling_probability(now);
        // One draw decides on sampling and shedding together, so that both probabilities hold at once.
        let draw = if large_fleet { self.random.f64() } else { 0.0 };
        // A permit under a limit on attempts in flight is an owner's to give.
        let leasable = large_fleet
            && !hopeless
            && plan.max_in_flight.is_none()
            && draw <= 1.0 - shed_probability;
        let leased = leasable && bucket.rejections.take_from_lease(now, request.units, false);
        let not_sampled = large_fleet && draw > sampling_probability * (1.0 - shed_probability);
        let not_asking = !leased && (rejecting || not_sampled);
        let reserved = bucket.reserved_for_peers(now, plan);
        let over_quota = plan.rate > 0.0 && bucket.tokens - reserved < request.units;
        bucket.tokens -= request.units;
        let admission = if hopeless || not_asking || over_quota && !large_fleet {
            Admission::Reject(if !not_asking {
                Counter::RejectedOverQuota
            } else if rejecting {
                Counter::RejectedByCachedDecision
            } else if draw > sampling_probability {
                Counter::RejectedBySampling
            } else {
                Counter::RejectedByLoadShedding
            })
        } else if leased {
            Admission::ByLease
        } else if large_fleet {
            Admission::AskOwner
        } else {
            Admission::Queue
        };
        Some(admission)
    }

    /// Grant requests of one customer that are open here.
    fn open_grant_requests(&self, customer: CustomerId) -> usize {
        let requests = &self.requests.open;
        let is_of_customer = |id: &&RequestId| {
            requests
                .get(*id)
                .is_some_and(|request| request.customer == customer)
        };
        self.grants.open.values().filter(is_of_customer).count()
    }

    /// Whether the hard limit and the limit on attempts in flight let a first attempt go now; if not, it stays queued.
    pub(crate) fn may_start(&mut self, customer: CustomerId, units: f64, now: Micros) -> bool {
        if self.large_fleet {
            return true; // An owner has granted it.
        }
        let Some(bucket) = self.quotas.buckets.get_mut(&customer) else {
            return true;
        };
        let plan = &self.settings.plans[bucket.plan.0];
        let silent = silent_peers(&self.peers.last_report_at, bucket, now);
        bucket.refill(now, plan, silent);
        if plan.hard_limit.is_some() && bucket.hard_limit_tokens < units {
            return false;
        }
        let Some(limit) = plan.max_in_flight else {
            return true;
        };
        // Peers' attempts are not reported in time: their rate and the latency make a number likely (Little's law).
        let even_share = (f64::from(limit) / bucket.subset_size).round().max(1.0);
        let expected_at_peers =
            bucket.peer_units_per_s(now, USAGE_WINDOW) * self.load.mean_latency / 1e6;
        let within = poisson_below(limit.saturating_sub(bucket.in_flight), expected_at_peers);
        let risk = (1.0 - within) * (1.0 + plan.over_quota_cost);
        f64::from(bucket.in_flight) < even_share && risk < MAX_IN_FLIGHT_RISK
    }

    /// Gives a request its final answer: rejected where that promise holds, else failed.
    pub(crate) fn finish(&mut self, id: &RequestId, counter: Counter, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(id) else {
            return;
        };
        self.counters.add(counter);
        let id_of_answer = id.clone();
        actions.push(if self.may_reject(request) {
            Action::Reject {
                id: id_of_answer,
                retry_after: Some(self.retry_after(request)),
            }
        } else {
            Action::Fail { id: id_of_answer }
        });
        self.forget_request(id, actions);
    }

    /// Whether a rejection's promise of no effect holds.
    fn may_reject(&self, request: &Request) -> bool {
        let in_flight = request.in_flight.is_some() && !request.body_incomplete;
        let idempotency = self.settings.classes[request.class.0].idempotency;
        !in_flight && rejection_allowed(idempotency, request.dispatched)
    }

    /// When a rejected client should retry: once its bucket and hard limit are likely to hold what it asks for.
    fn retry_after(&self, request: &Request) -> Micros {
        if let Some(after) = self.slow_start_retry_after() {
            return after;
        }
        let Some(bucket) = self.quotas.buckets.get(&request.customer) else {
            return MIN_RETRY_AFTER;
        };
        let plan = &self.settings.plans[request.plan.0];
        // What the request takes is off the bucket already, and comes back if it was never sent.
        let quota = if plan.rate > 0.0 {
            micros_until(-bucket.tokens, plan.rate * bucket.share)
        } else {
            0.0
        };
        let hard_limit = plan.hard_limit.as_ref().map_or(0.0, |limit: &HardLimit| {
            let missing = request.units - bucket.hard_limit_tokens;
            micros_until(missing, limit.rate * bucket.hard_limit_share)
        });
        (quota.max(hard_limit) as Micros).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Drops a request. Nobody waits for an attempt that is still in flight, so it is cancelled.
    pub(crate) fn forget_request(&mut self, id: &RequestId, actions: &mut Actions) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        if let Some(grant) = request.grant.granted {
            self.release_permit(grant, request.customer, actions);
        }
        let Some(attempt) = request.in_flight else {
            return;
        };
        if !request.cancelled && self.settings.permissions.cancellation {
            actions.push(Action::Cancel {
                id: id.clone(),
                attempt,
            });
        }
    }

    /// Takes a request off all tables; what it took from its bucket goes back if it was never sent.
    fn remove_request(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.requests.open.remove(id)?;
        self.requests.dequeue(id);
        if request.attempts == 0 {
            if let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) {
                bucket.tokens += request.units;
            }
        }
        if let Some(open) = request.grant.open {
            self.grants.open.remove(&open.serial);
        }
        Some(request)
    }
}

/// µs until so many missing units have come in.
fn micros_until(missing: f64, per_second: f64) -> f64 {
    if missing > 0.0 {
        missing / per_second.max(f64::EPSILON) * 1e6
    } else {
        0.0
    }
}

fn seen_counter(unused_for: Micros) -> Counter {
    match unused_for {
        0..SEEN_WITHIN_ONE_SECOND => Counter::SeenWithinOneSecond,
        SEEN_WITHIN_ONE_SECOND..SEEN_WITHIN_TEN_SECONDS => Counter::SeenWithinTenSeconds,
        _ => Counter::SeenForTheFirstTime,
    }
}
