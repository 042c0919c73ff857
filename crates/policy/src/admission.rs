//! Admission control: decides whether a new request may be forwarded, and rejects it otherwise.
//!
//! Rule: in a small fleet a request is admitted if its customer's token bucket covers it. In a large fleet it is
//! admitted if a lease covers it or an owner of the quota grants it; a request that an owner would very likely deny is
//! rejected without a grant request. A request whose body is incomplete takes nothing: it is decided again at its last
//! byte (`streaming`), when it takes its units.
//!
//! Inputs: the request (units, deadline in µs), its customer's token bucket and cached grant responses of owners, the
//! load shedding probability. Result: the request is queued, sent to an owner for a grant, or rejected with
//! `retry_after` in µs.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::idempotency::rejection_allowed;
use crate::interface::{
    Action, CustomerId, HardLimit, Micros, PlanId, RequestId, MILLISECOND, SECOND,
};
use crate::request::Request;
use crate::shard_owners::NodeSubset;
use crate::state::{ANSWER_MARGIN, MAX_RETRY_AFTER, RESTART_WINDOW};
use crate::statistics::poisson_below;
use crate::token_bucket::{count_silent_peers, TokenBucket, MIN_BUCKET_RETENTION, USAGE_WINDOW};

/// Minimum `retry_after` of a rejection.
const MIN_RETRY_AFTER: Micros = 20 * MILLISECOND;
/// Multiple of the even share of a quota that each node admits if nodes may not send each other messages. It is above
/// one because a customer's requests are distributed unevenly over the nodes of its subset.
const UNEVEN_SHARE: f64 = 2.0;
/// Maximum number of open grant requests per customer at one node. With more, an overloaded owner would receive every
/// request of its customer several times.
pub(crate) const MAX_OPEN_GRANT_REQUESTS: usize = 4;
/// Maximum expected loss, as a share of a request's value, at which a first attempt is sent although it may exceed the
/// customer's limit on attempts in flight.
const MAX_IN_FLIGHT_RISK: f64 = 0.2;
/// Time since a customer's last request below which [`Counter::SeenWithinOneSecond`] is incremented.
const SEEN_WITHIN_ONE_SECOND: Micros = SECOND;
/// Time since a customer's last request below which [`Counter::SeenWithinTenSeconds`] is incremented.
const SEEN_WITHIN_TEN_SECONDS: Micros = 10 * SECOND;

/// Decision on a new request.
enum Admission {
    /// Rejected; the counter gives the reason.
    Reject(Counter),
    /// Admitted because a lease covers the request.
    AdmitByLease,
    /// Undecided until an owner of the quota responds to a grant request.
    RequestGrant,
    /// Admitted by this node's token bucket.
    Enqueue,
}

impl PolicyEngine {
    /// Decides on a new request: queues it, requests a grant for it, or rejects it.
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        actions: &mut Actions,
    ) {
        let shed_probability = self.shed_probability(&request);
        self.prepare_bucket(now, &request);
        let Some(admission) = self.decide_admission(now, &request, shed_probability) else {
            return;
        };
        self.requests.open.insert(id.clone(), request);
        match admission {
            Admission::Reject(counter) => self.finish(&id, counter, actions),
            Admission::AdmitByLease => {
                self.admit_locally(now, id, Counter::AdmittedByLease, actions);
            }
            Admission::RequestGrant => self.request_grant(now, id, actions),
            Admission::Enqueue => self.requests.queue.push(id),
        }
    }

    /// Creates the customer's token bucket if needed, applies a change of its plan or subset, and refills it.
    fn prepare_bucket(&mut self, now: Micros, request: &Request) {
        let subset = request.subset;
        self.ensure_bucket(now, request.customer, request.plan, subset);
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        let plans = &self.settings.plans;
        if bucket.record_plan_and_subset(request.plan, subset) {
            let had_hard_limit = plans[bucket.plan.0].hard_limit.is_some();
            let hard_limit_tokens = if had_hard_limit {
                bucket.hard_limit_tokens.min(0.0)
            } else {
                0.0
            };
            let plan = &plans[request.plan.0];
            let max_units = self.settings.max_request_units;
            let replacement = TokenBucket::new(now, 0, request.plan, plan, subset, max_units);
            bucket.change_plan_and_subset(replacement, hard_limit_tokens);
        }
        let silent_peer_count = count_silent_peers(&self.peers.last_report_at, bucket, now);
        bucket.refill(now, &plans[bucket.plan.0], silent_peer_count);
        // A bucket that was just created has 0 as its time of last use.
        let since_last_use = if bucket.last_used_at == 0 {
            Micros::MAX
        } else {
            now - bucket.last_used_at
        };
        bucket.last_used_at = now;
        self.counters.add(last_seen_counter(since_last_use));
    }

    /// Creates the customer's token bucket if it has none. A bucket that would change no decision is dropped, also while a
    /// body of the customer is being received.
    pub(crate) fn ensure_bucket(
        &mut self,
        now: Micros,
        customer: CustomerId,
        plan: PlanId,
        subset: NodeSubset,
    ) {
        if !self.quotas.buckets.contains_key(&customer) {
            let bucket = self.new_bucket(now, plan, subset);
            self.quotas.buckets.insert(customer, bucket);
        }
    }

    /// Creates the bucket of a customer without one. If the node may have been restarted, the bucket starts with its
    /// even share only, until the peers' usage reports show what was used before.
    fn new_bucket(&mut self, now: Micros, plan_id: PlanId, subset: NodeSubset) -> TokenBucket {
        let uptime = self.uptime(now);
        let plan = &self.settings.plans[plan_id.0];
        let max_units = self.settings.max_request_units;
        let bucket = TokenBucket::new(now, uptime, plan_id, plan, subset, max_units);
        let may_have_restarted = self.restarted && uptime < RESTART_WINDOW;
        let tokens = if self.large_fleet || may_have_restarted {
            bucket.even_capacity
        } else {
            bucket.tokens
        };
        // In a large fleet the bucket only serves to compute `retry_after`.
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
        self.isolated_bucket(bucket)
    }

    /// Adapts a bucket to nodes that may not send each other messages: each node would admit the entire quota, so each
    /// gets a share of it. If the share is less than one request, randomly chosen nodes of the subset get one full
    /// request instead. Their number is such that together, on average, they admit no more than the quota over the
    /// time for which a bucket is kept.
    fn isolated_bucket(&mut self, bucket: TokenBucket) -> TokenBucket {
        let plan = &self.settings.plans[bucket.plan.0];
        let share = (UNEVEN_SHARE / bucket.subset_size).min(1.0);
        let quota_while_kept = plan.burst + plan.rate * MIN_BUCKET_RETENTION as f64 / 1e6;
        let even_quota_while_kept = quota_while_kept / bucket.subset_size;
        let share_below_one_request = share * plan.burst < bucket.even_capacity;
        let holds_one_request = share_below_one_request
            && self.random.f64() * bucket.even_capacity < even_quota_while_kept;
        let tokens = if holds_one_request {
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

    /// Decides on a request and debits its units from its customer's bucket. Returns `None` if the customer has no
    /// bucket.
    ///
    /// In this order: a request whose deadline is too near is rejected; in a large fleet a lease may cover the request;
    /// otherwise a grant is requested from an owner, unless the request is rejected by a cached decision, by sampling
    /// or by load shedding; in a small fleet the bucket alone decides.
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
        let takes_units = !request.body_incomplete;
        // The next firing of the timer would be too late to answer the request by its deadline.
        let deadline_too_near = request.deadline <= now.saturating_add(ANSWER_MARGIN);
        // An owner denied the customer's latest requests, or as many grant requests as allowed are open.
        let rejected_by_cached_decision = large_fleet
            && (bucket.rejections.is_rejecting(now)
                || takes_units && open_grant_requests >= MAX_OPEN_GRANT_REQUESTS);
        let sampling_probability = bucket.rejections.sampling_probability(now);
        // A single random number decides on both sampling and load shedding, so that both probabilities hold at once.
        let random_number = if large_fleet { self.random.f64() } else { 0.0 };
        // Permits under a limit on attempts in flight are issued by owners only, not by leases.
        let may_use_lease = large_fleet
            && takes_units
            && !deadline_too_near
            && plan.max_in_flight.is_none()
            && random_number <= 1.0 - shed_probability;
        let covered_by_lease =
            may_use_lease && bucket.rejections.take_from_lease(now, request.units, false);
        let sampled_out_or_shed =
            large_fleet && random_number > sampling_probability * (1.0 - shed_probability);
        let rejected_without_asking =
            !covered_by_lease && (rejected_by_cached_decision || sampled_out_or_shed);
        let reserved = bucket.reserved_for_peers(now, plan);
        // A plan with a rate of 0 has no quota.
        let over_quota = plan.rate > 0.0 && bucket.tokens - reserved < request.units;
        bucket.tokens -= request.units;
        let admission =
            if deadline_too_near || rejected_without_asking || over_quota && !large_fleet {
                Admission::Reject(if !rejected_without_asking {
                    Counter::RejectedOverQuota
                } else if rejected_by_cached_decision {
                    Counter::RejectedByCachedDecision
                } else if random_number > sampling_probability {
                    Counter::RejectedBySampling
                } else {
                    Counter::RejectedByLoadShedding
                })
            } else if covered_by_lease {
                Admission::AdmitByLease
            } else if large_fleet && takes_units {
                Admission::RequestGrant
            } else {
                Admission::Enqueue
            };
        Some(admission)
    }

    /// Returns the number of this node's open grant requests for one customer.
    pub(crate) fn open_grant_requests(&self, customer: CustomerId) -> usize {
        let requests = &self.requests.open;
        let is_of_customer = |id: &&RequestId| {
            requests
                .get(*id)
                .is_some_and(|request| request.customer == customer)
        };
        self.grants.open.values().filter(is_of_customer).count()
    }

    /// Returns whether the customer's hard limit and its limit on attempts in flight allow a first attempt now. If not,
    /// the request stays queued.
    pub(crate) fn may_start(&mut self, now: Micros, id: &RequestId) -> bool {
        let Some(request) = self.requests.open.get(id) else {
            return false;
        };
        if self.large_fleet {
            // Owners enforce these limits when they grant a request. The timer asks for a grant again if that of a queued
            // request has expired.
            return !request.awaits_release || self.is_granted(request, now);
        }
        let (customer, units) = (request.customer, request.units);
        let (plan, subset) = (request.plan, request.subset);
        self.ensure_bucket(now, customer, plan, subset);
        let Some(bucket) = self.quotas.buckets.get_mut(&customer) else {
            return false;
        };
        let plan = &self.settings.plans[bucket.plan.0];
        let silent_peer_count = count_silent_peers(&self.peers.last_report_at, bucket, now);
        bucket.refill(now, plan, silent_peer_count);
        if plan.hard_limit.is_some() && bucket.hard_limit_tokens < units {
            return false;
        }
        let Some(limit) = plan.max_in_flight else {
            return true;
        };
        // Usage reports arrive too late to count the attempts in flight at peers. Their expected number is the rate of
        // the peers times the mean latency (Little's law).
        let even_share = (f64::from(limit) / bucket.subset_size).round().max(1.0);
        let expected_at_peers =
            bucket.peer_units_per_s(now, USAGE_WINDOW) * self.load.mean_latency / 1e6;
        let probability_within_limit =
            poisson_below(limit.saturating_sub(bucket.in_flight), expected_at_peers);
        let expected_loss = (1.0 - probability_within_limit) * (1.0 + plan.over_quota_cost);
        f64::from(bucket.in_flight) < even_share && expected_loss < MAX_IN_FLIGHT_RISK
    }

    /// Ends a request without a response of a server: rejects it if that is safe (see [`rejection_allowed`]), else
    /// fails it.
    pub(crate) fn finish(&mut self, id: &RequestId, counter: Counter, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(id) else {
            return;
        };
        self.counters.add(counter);
        let answered_id = id.clone();
        actions.push(if self.is_rejection_safe(request) {
            Action::Reject {
                id: answered_id,
                retry_after: Some(self.retry_after(request)),
            }
        } else {
            Action::Fail { id: answered_id }
        });
        self.discard_request(id, actions);
    }

    /// Returns whether the client may safely repeat the request after a rejection.
    fn is_rejection_safe(&self, request: &Request) -> bool {
        let in_flight = request.in_flight.is_some() && !request.body_incomplete;
        let idempotency = self.settings.classes[request.class.0].idempotency;
        !in_flight && rejection_allowed(idempotency, request.dispatched)
    }

    /// Returns the time until the customer's bucket and hard limit are expected to cover the request.
    fn retry_after(&self, request: &Request) -> Micros {
        if let Some(after) = self.slow_start_retry_after() {
            return after;
        }
        let Some(bucket) = self.quotas.buckets.get(&request.customer) else {
            return MIN_RETRY_AFTER;
        };
        let plan = &self.settings.plans[request.plan.0];
        // The request's units are already debited from the bucket, and are credited again if it was never sent.
        let quota_wait = if plan.rate > 0.0 {
            micros_to_accrue(-bucket.tokens, plan.rate * bucket.share)
        } else {
            0.0
        };
        let hard_limit_wait = plan.hard_limit.as_ref().map_or(0.0, |limit: &HardLimit| {
            let missing = request.units - bucket.hard_limit_tokens;
            micros_to_accrue(missing, limit.rate * bucket.hard_limit_share)
        });
        (quota_wait.max(hard_limit_wait) as Micros).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Removes a request, releases its permit, and cancels its attempt in flight, as no client waits for the response.
    pub(crate) fn discard_request(&mut self, id: &RequestId, actions: &mut Actions) {
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

    /// Removes a request from all tables. If it was never sent, its units are credited to its customer's bucket.
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

/// Returns the time, µs, in which `missing` units accrue at a rate of `per_second`.
fn micros_to_accrue(missing: f64, per_second: f64) -> f64 {
    if missing > 0.0 {
        missing / per_second.max(f64::EPSILON) * 1e6
    } else {
        0.0
    }
}

fn last_seen_counter(since_last_use: Micros) -> Counter {
    match since_last_use {
        0..SEEN_WITHIN_ONE_SECOND => Counter::SeenWithinOneSecond,
        SEEN_WITHIN_ONE_SECOND..SEEN_WITHIN_TEN_SECONDS => Counter::SeenWithinTenSeconds,
        _ => Counter::NotSeenRecently,
    }
}
