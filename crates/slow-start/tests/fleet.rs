//! Simulations in virtual time of entire fleets at servers of different sizes. With lost and late messages and
//! restarting nodes, the fleet's load stays below the load that overloads the server, and a server that is warming up
//! is well utilized.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, Micros, SlowStartBudget, SlowStartLimits, TransferredPermit,
    MAX_OVERLOAD_FRACTION,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Microseconds in a millisecond.
const MS: Micros = 1000;
/// Microseconds in a second.
const S: Micros = 1_000_000;
/// Length of a simulation step, µs.
const STEP: Micros = 5 * MS;
/// Capacity of a server when it starts, as a fraction of its full capacity.
const INITIAL_CAPACITY: f64 = 0.21;
/// Time in which a started server reaches its full capacity, µs.
const WARM_UP_PERIOD: Micros = 17 * S;
/// Load above which a server is overloaded, as a multiple of what it can process within `OVERLOAD_WINDOW`.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time span to which `OVERLOAD_MULTIPLE` applies, µs.
const OVERLOAD_WINDOW: Micros = S;
/// Latency objective of all requests, µs.
const LATENCY_OBJECTIVE: Micros = 800 * MS;
/// Maximum time for which a request is queued for a permit, µs: half of its client's timeout.
const QUEUE_TIMEOUT: Micros = 1500 * MS;
/// Mean processing time of a request on one core of a warm server, µs.
const MEAN_WORK: f64 = 85e3;
/// The server's number, which is the same at all nodes.
const SERVER: u64 = 7;

/// Parameters of a run.
#[derive(Clone, Debug)]
struct Scenario {
    nodes: u32,
    cores: usize,
    /// Requests per second, over all nodes.
    rate: f64,
    /// Fraction of answers, and of transfers, that are lost.
    loss_ratio: f64,
    /// Fraction of transfers that are duplicated.
    duplication_ratio: f64,
    /// Maximum additional delay of an answer, µs.
    max_answer_delay: Micros,
    /// Interval at which a random node restarts without its state, µs; 0 for never.
    restart_interval: Micros,
    /// Nodes that receive no requests at first.
    delayed_traffic: DelayedTraffic,
    seconds: u64,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct DelayedTraffic {
    nodes: u32,
    until: Micros,
}

#[derive(Debug)]
struct Outcome {
    /// Maximum load within the overload window, as a fraction of the load that overloads the server at that time.
    peak_load: f64,
    /// Work completed within the latency objective, as a fraction of what the server could process.
    utilization: f64,
    /// Fraction of requests that took longer than the latency objective.
    late_ratio: f64,
}

/// Returns the server's capacity as a fraction of its full capacity.
fn capacity_fraction(now: Micros) -> f64 {
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * now as f64 / WARM_UP_PERIOD as f64).min(1.0)
}

/// One process of a node.
struct Node {
    budget: SlowStartBudget,
    baseline: BaselineLatency,
    /// Time since which the process knows what its node has sent, µs.
    process_started_at: Micros,
}

impl Node {
    fn new(process_started_at: Micros) -> Node {
        let mut budget = SlowStartBudget::default();
        budget.on_server_start(1, WARM_UP_PERIOD);
        Node {
            budget,
            baseline: BaselineLatency::default(),
            process_started_at,
        }
    }
}

fn limits(node_count: u32, node: u32, process_started_at: Micros) -> SlowStartLimits {
    SlowStartLimits {
        node_count,
        node,
        process_started_at,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window: OVERLOAD_WINDOW,
    }
}

/// An answer in transit. The field order makes answers sort by arrival time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    arrives_at: Micros,
    node: u32,
    sent_at: Micros,
}

/// A message in transit that transfers a permit between nodes.
struct Transfer {
    arrives_at: Micros,
    to: usize,
    from: u32,
    permit: TransferredPermit,
}

/// The processing time of a request, and when the request was sent.
struct SentWork {
    at: Micros,
    work: f64,
}

/// Measurements accumulated over a run.
#[derive(Default)]
struct Totals {
    peak_load: f64,
    work_done: f64,
    work_possible: f64,
    sent: f64,
    late_count: f64,
}

/// How a node records an attempt's result.
trait RecordResult:
    Fn(&mut SlowStartBudget, Micros, &SlowStartLimits, AttemptResult, &mut BaselineLatency)
{
}

impl<F> RecordResult for F where
    F: Fn(&mut SlowStartBudget, Micros, &SlowStartLimits, AttemptResult, &mut BaselineLatency)
{
}

/// The state of a simulated fleet that sends to one server.
struct Run<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    fleet: Vec<Node>,
    /// Time at which each core of the server becomes idle.
    cores: BinaryHeap<Reverse<Micros>>,
    answers: BinaryHeap<Reverse<Answer>>,
    transfers: Vec<Transfer>,
    /// Timeout times of the requests that are queued for a permit, by node.
    queues: Vec<VecDeque<Micros>>,
    /// Requests sent within the overload window.
    recent_work: VecDeque<SentWork>,
    totals: Totals,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        Run {
            scenario,
            random: fastrand::Rng::with_seed(scenario.seed),
            // The initial processes have been up for longer than the server.
            fleet: (0..scenario.nodes).map(|_| Node::new(0)).collect(),
            cores: BinaryHeap::from(vec![Reverse(0); scenario.cores]),
            answers: BinaryHeap::new(),
            transfers: Vec::new(),
            queues: vec![VecDeque::new(); scenario.nodes as usize],
            recent_work: VecDeque::new(),
            totals: Totals::default(),
        }
    }

    fn limits_of(&self, node: usize) -> SlowStartLimits {
        limits(
            self.scenario.nodes,
            node as u32,
            self.fleet[node].process_started_at,
        )
    }

    fn step(
        &mut self,
        now: Micros,
        process_started_at: impl Fn(Micros) -> Micros,
        record_result: &impl RecordResult,
    ) {
        let scenario = self.scenario;
        self.totals.work_possible += scenario.cores as f64 * capacity_fraction(now) * STEP as f64;
        if scenario.restart_interval > 0 && now % scenario.restart_interval < STEP {
            let node = self.random.usize(0..scenario.nodes as usize);
            self.fleet[node] = Node::new(process_started_at(now));
        }
        self.deliver_answers(now, record_result);
        self.deliver_transfers(now);
        self.queue_requests(now);
        for node in 0..scenario.nodes as usize {
            self.step_node(now, node);
        }
        self.measure_load(now);
    }

    fn deliver_answers(&mut self, now: Micros, record_result: &impl RecordResult) {
        while self
            .answers
            .peek()
            .is_some_and(|next| next.0.arrives_at <= now)
        {
            let Some(Reverse(answer)) = self.answers.pop() else {
                break;
            };
            let result = AttemptResult {
                served: true,
                latency: answer.arrives_at - answer.sent_at,
                latency_objective: LATENCY_OBJECTIVE,
                capacity_fraction: capacity_fraction(answer.sent_at),
                random_fraction: self.random.f64(),
            };
            let limits = self.limits_of(answer.node as usize);
            let node = &mut self.fleet[answer.node as usize];
            record_result(&mut node.budget, now, &limits, result, &mut node.baseline);
        }
    }

    fn deliver_transfers(&mut self, now: Micros) {
        let arrived: Vec<Transfer> = self
            .transfers
            .extract_if(.., |transfer| transfer.arrives_at <= now)
            .collect();
        for transfer in arrived {
            if transfer.to as u32 != transfer.from {
                let limits = self.limits_of(transfer.to);
                self.fleet[transfer.to].budget.receive_transfer(
                    now,
                    transfer.from,
                    transfer.permit,
                    &limits,
                );
            }
        }
    }

    /// Queues the requests that clients send in this step.
    fn queue_requests(&mut self, now: Micros) {
        let delayed_traffic = self.scenario.delayed_traffic;
        let mut remaining = self.scenario.rate * STEP as f64 / 1e6;
        while remaining > 0.0 {
            let arrives = remaining >= 1.0 || self.random.f64() < remaining;
            remaining -= 1.0;
            let node = self.random.u32(0..self.scenario.nodes);
            if arrives && !(node < delayed_traffic.nodes && now < delayed_traffic.until) {
                self.queues[node as usize].push_back(now + QUEUE_TIMEOUT);
            }
        }
    }

    /// Lets a node send a queued request if it has a permit, or transfer a permit if it has no queued request.
    fn step_node(&mut self, now: Micros, node: usize) {
        let limits = self.limits_of(node);
        let queue = &mut self.queues[node];
        while queue.front().is_some_and(|timeout| *timeout <= now) {
            queue.pop_front();
        }
        let budget = &mut self.fleet[node].budget;
        if queue.is_empty() {
            if let Some(permit) = budget.transfer_unused(now, SERVER, &limits) {
                self.transfer(now, node as u32, permit);
            }
        } else if budget.take_permit(now, SERVER, &limits) {
            queue.pop_front();
            self.send(now, node as u32);
        }
    }

    /// Transfers a permit to a random node. The message may be lost, late or duplicated.
    fn transfer(&mut self, now: Micros, from: u32, permit: TransferredPermit) {
        let to = self.random.usize(0..self.scenario.nodes as usize);
        let delay = 5 * MS + self.random.u64(0..=33 * MS);
        let arrives = self.random.f64() >= self.scenario.loss_ratio;
        let is_duplicated = self.random.f64() < self.scenario.duplication_ratio;
        let copies = u64::from(arrives) + u64::from(is_duplicated);
        self.transfers.extend((1..=copies).map(|copy| Transfer {
            arrives_at: now + delay * copy,
            to,
            from,
            permit,
        }));
    }

    fn send(&mut self, now: Micros, node: u32) {
        let work = MEAN_WORK * (0.5 + self.random.f64());
        self.recent_work.push_back(SentWork { at: now, work });
        let Some(Reverse(free_at)) = self.cores.pop() else {
            return;
        };
        let ends_at = free_at.max(now) + (work / capacity_fraction(now)) as Micros;
        self.cores.push(Reverse(ends_at));
        self.totals.sent += 1.0;
        if ends_at - now <= LATENCY_OBJECTIVE {
            self.totals.work_done += work;
        } else {
            self.totals.late_count += 1.0;
        }
        if self.random.f64() >= self.scenario.loss_ratio {
            self.answers.push(Reverse(Answer {
                arrives_at: ends_at + self.random.u64(0..=self.scenario.max_answer_delay),
                node,
                sent_at: now,
            }));
        }
    }

    fn measure_load(&mut self, now: Micros) {
        while self
            .recent_work
            .front()
            .is_some_and(|sent| sent.at + OVERLOAD_WINDOW < now)
        {
            self.recent_work.pop_front();
        }
        let overload =
            OVERLOAD_MULTIPLE * self.scenario.cores as f64 * capacity_fraction(now) * 1e6;
        if self.recent_work.len() > 1 {
            let load = self.recent_work.iter().map(|sent| sent.work).sum::<f64>() / overload;
            self.totals.peak_load = self.totals.peak_load.max(load);
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            peak_load: self.totals.peak_load,
            utilization: self.totals.work_done / self.totals.work_possible,
            late_ratio: self.totals.late_count / f64::max(self.totals.sent, 1.0),
        }
    }
}

/// Runs a fleet at one server. `record_result` may inject a fault.
fn run(scenario: &Scenario, record_result: impl RecordResult) -> Outcome {
    run_with_process_start(scenario, |now| now, record_result)
}

/// Like [`run`], but `process_started_at` may inject a fault too: it returns the time since which a node that restarts
/// at a given time claims to know what it has sent.
fn run_with_process_start(
    scenario: &Scenario,
    process_started_at: impl Fn(Micros) -> Micros,
    record_result: impl RecordResult,
) -> Outcome {
    let mut run = Run::new(scenario);
    for step in 0..scenario.seconds * S / STEP {
        run.step(1 + step * STEP, &process_started_at, &record_result);
    }
    run.outcome()
}

/// Records a result without a fault.
fn record_result(
    budget: &mut SlowStartBudget,
    now: Micros,
    limits: &SlowStartLimits,
    result: AttemptResult,
    baseline: &mut BaselineLatency,
) {
    budget.record_result(now, 0, result, baseline, limits);
}

fn scenario(nodes: u32, cores: usize, rate: f64) -> Scenario {
    Scenario {
        nodes,
        cores,
        rate,
        loss_ratio: 0.0,
        duplication_ratio: 0.0,
        max_answer_delay: 2 * MS,
        restart_interval: 0,
        delayed_traffic: DelayedTraffic { nodes: 0, until: 0 },
        seconds: 17,
        seed: 1,
    }
}

/// A server starts while the fleet has more requests than it can serve. Most of its capacity is used while it warms up,
/// and it is not overloaded.
#[test]
fn fleets_of_all_sizes_utilize_a_server_that_is_warming_up() {
    for (nodes, cores) in [
        (3, 4),
        (3, 16),
        (30, 4),
        (30, 16),
        (300, 4),
        (300, 16),
        (1000, 16),
    ] {
        let outcome = run(&scenario(nodes, cores, 100.0 * cores as f64), record_result);
        println!("{nodes} nodes, {cores} cores: {outcome:?}");
        assert!(
            outcome.utilization > 0.6 && outcome.peak_load < MAX_OVERLOAD_FRACTION,
            "{nodes} nodes overload or badly utilize a server with {cores} cores: {outcome:?}"
        );
    }
}

/// More than about seven requests in its first second overload a server with one core, so a few requests that coincide
/// by chance have a large effect. None of 200 such servers is overloaded.
#[test]
fn none_of_two_hundred_small_servers_is_overloaded() {
    let peak_loads = (0..200).map(|seed| {
        let scenario = Scenario {
            seed,
            seconds: 8,
            ..scenario(300, 1, 100.0)
        };
        run(&scenario, record_result).peak_load
    });
    let peak_load = peak_loads.fold(0.0, f64::max);
    println!("highest peak load of small servers: {peak_load}");
    assert!(
        peak_load < 1.0,
        "a server is overloaded: the highest peak load is {peak_load}"
    );
}

/// Half of the fleet receives its first requests when the server is partly warm, and has earned no permits until then.
#[test]
fn a_server_is_not_overloaded_when_half_of_the_fleet_receives_requests_later() {
    let scenario = Scenario {
        delayed_traffic: DelayedTraffic {
            nodes: 20,
            until: 5 * S,
        },
        ..scenario(40, 4, 200.0)
    };
    let outcome = run(&scenario, record_result);
    assert!(
        outcome.peak_load < MAX_OVERLOAD_FRACTION && outcome.utilization > 0.6,
        "the server is overloaded or badly utilized: {outcome:?}"
    );
}

/// A server is overloaded and restarts. Permits earned before would overload it again, so they become invalid, and it
/// has at most half as many time slots as a server that has not restarted.
#[test]
fn a_restart_invalidates_permits_and_an_early_one_halves_the_time_slots() {
    let limits = limits(5, 0, 0);
    let (mut budget, mut baseline) = (SlowStartBudget::default(), BaselineLatency::default());
    budget.on_server_start(S, WARM_UP_PERIOD);
    let result = AttemptResult {
        served: true,
        latency: 100 * MS,
        latency_objective: LATENCY_OBJECTIVE,
        capacity_fraction: 0.3,
        random_fraction: 0.9,
    };
    budget.record_result(2 * S, 0, result, &mut baseline, &limits);
    assert_eq!(
        budget.earned_permits(2 * S),
        2,
        "1.35 permits plus the random fraction 0.9, rounded down"
    );
    budget.on_server_start(S, WARM_UP_PERIOD);
    assert_eq!(
        budget.earned_permits(2 * S),
        2,
        "an unchanged start time keeps the permits"
    );
    budget.on_server_start(3 * S, WARM_UP_PERIOD);
    assert_eq!(budget.earned_permits(3 * S), 0);
    let slots = |budget: &SlowStartBudget| {
        let mut budget = budget.clone();
        (0..10_000)
            .filter(|tick| budget.take_permit(3 * S + tick * 10 * MS, 0, &limits))
            .count()
    };
    let mut first_start = SlowStartBudget::default();
    first_start.on_server_start(3 * S, WARM_UP_PERIOD);
    assert!(
        slots(&budget) * 2 <= slots(&first_start) + 1,
        "{} time slots after an early restart, {} after the first start",
        slots(&budget),
        slots(&first_start)
    );
}

/// A node is suspended and reads answers seconds after they arrived. They don't reflect the server's current capacity,
/// and earn no permits.
#[test]
fn a_suspended_node_earns_no_permits_from_answers_that_it_reads_late() {
    let limits = limits(5, 3, 0);
    let (mut budget, mut baseline) = (SlowStartBudget::default(), BaselineLatency::default());
    budget.on_server_start(S, WARM_UP_PERIOD);
    for latency in [6 * S, 7 * S] {
        let result = AttemptResult {
            served: true,
            latency,
            latency_objective: LATENCY_OBJECTIVE,
            capacity_fraction: 0.3,
            random_fraction: 1.0 - 1e-9,
        };
        budget.record_result(8 * S, 0, result, &mut baseline, &limits);
    }
    assert_eq!(budget.earned_permits(8 * S), 0);
}

/// Three nodes have different clock offsets and send in any order. Each time slot of each of two servers belongs to one
/// node, so together they never send more than three requests within a second.
#[test]
fn three_nodes_send_at_most_three_requests_a_second_in_time_slots_at_each_of_two_servers() {
    let clock_offsets = [0, 40 * MS, 300 * MS];
    for server in [4_u64, 11] {
        for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
            let mut budgets = vec![SlowStartBudget::default(); 3];
            budgets
                .iter_mut()
                .for_each(|budget| budget.on_server_start(S, WARM_UP_PERIOD));
            let mut sent: VecDeque<Micros> = VecDeque::new();
            for tick in 0..2000 {
                let now = 2 * S + tick * 10 * MS;
                for node in order {
                    let limits = limits(3, node as u32, 0);
                    let local_now = now + clock_offsets[node];
                    if budgets[node].take_permit(local_now, server, &limits) {
                        sent.push_back(now);
                    }
                }
                while sent.front().is_some_and(|at| at + S <= now) {
                    sent.pop_front();
                }
                assert!(sent.len() <= 3, "{} requests within a second", sent.len());
            }
        }
    }
}

/// The runs above must detect late answers that count as fast ones, and answers that count three times. With all
/// transfers duplicated, the load must stay within its bound, because a duplicate counts once.
#[test]
fn injected_faults_overload_the_server() {
    let late_answers_count = |budget: &mut SlowStartBudget,
                              now,
                              limits: &SlowStartLimits,
                              result: AttemptResult,
                              baseline: &mut BaselineLatency| {
        let result = AttemptResult {
            latency: 1,
            ..result
        };
        budget.record_result(now, 0, result, baseline, limits);
    };
    let answers_count_three_times =
        |budget: &mut SlowStartBudget,
         now,
         limits: &SlowStartLimits,
         result: AttemptResult,
         baseline: &mut BaselineLatency| {
            let result = AttemptResult {
                random_fraction: 0.99,
                ..result
            };
            for _ in 0..3 {
                budget.record_result(now, 0, result, baseline, limits);
            }
        };
    let busy = scenario(30, 4, 800.0);
    let outcome = run(&busy, late_answers_count);
    assert!(
        outcome.late_ratio > 0.3,
        "late answers that count as fast ones: {outcome:?}"
    );
    let outcome = run(&busy, answers_count_three_times);
    assert!(
        outcome.peak_load > MAX_OVERLOAD_FRACTION,
        "answers that count three times: {outcome:?}"
    );
    let all_duplicated = Scenario {
        duplication_ratio: 1.0,
        ..scenario(300, 4, 400.0)
    };
    let outcome = run(&all_duplicated, record_result);
    assert!(
        outcome.peak_load < MAX_OVERLOAD_FRACTION,
        "duplicated transfers count once: {outcome:?}"
    );
    let outcome = run(&busy, record_result);
    assert!(
        outcome.peak_load < MAX_OVERLOAD_FRACTION && outcome.late_ratio < 0.3,
        "without a fault the server is overloaded: {outcome:?}"
    );
}

/// Parameters of a run that failed when each new process of a node wrongly claimed to know what the previous one had
/// sent: a single node that restarts at each step.
fn repeatedly_restarting_node() -> Scenario {
    let load = 3.538_448_069_805_013_6;
    Scenario {
        restart_interval: MS,
        max_answer_delay: 0,
        seconds: 8,
        seed: 0,
        ..scenario(1, 1, load * 1e6 / MEAN_WORK)
    }
}

/// A node is repeatedly killed and restarted within its time slot. A new process doesn't know whether the slot was
/// used, so it must not use it; otherwise each process would use the slot once and overload the server.
#[test]
fn a_node_that_restarts_repeatedly_does_not_overload_the_server() {
    for nodes in [1, 2, 3, 30] {
        for restart_interval_ms in [1, 7, 50, 400] {
            let scenario = Scenario {
                nodes,
                restart_interval: restart_interval_ms * MS,
                ..repeatedly_restarting_node()
            };
            let outcome = run(&scenario, record_result);
            assert!(
                outcome.peak_load < MAX_OVERLOAD_FRACTION + 0.3,
                "the load of {scenario:?} exceeds its bound: {outcome:?}"
            );
        }
    }
}

/// The same node, but each new process claims to know what the previous one sent. The run must detect this fault.
#[test]
fn a_node_that_claims_to_know_what_its_previous_process_sent_overloads_the_server() {
    let outcome = run_with_process_start(&repeatedly_restarting_node(), |_| 0, record_result);
    assert!(
        outcome.peak_load > 1.0,
        "time slots that each process uses again: {outcome:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        ..ProptestConfig::default()
    })]

    /// Answers and transfers are lost, late and duplicated, nodes restart, and some receive requests later. The fleet's
    /// load stays below its bound.
    #[test]
    fn the_load_of_a_fleet_stays_below_its_bound(
        nodes in 1_u32..400, cores in 1_usize..24, load in 0.2_f64..8.0, loss_ratio in 0.0_f64..0.9,
        duplication_ratio in 0.0_f64..1.0, max_answer_delay_ms in 0_u64..600, restart_interval_ms in 0_u64..400,
        delayed_nodes in 0_u32..300, seed: u64,
    ) {
        let scenario = Scenario {
            nodes,
            cores,
            rate: load * cores as f64 * 1e6 / MEAN_WORK,
            loss_ratio,
            duplication_ratio,
            max_answer_delay: max_answer_delay_ms * MS,
            restart_interval: restart_interval_ms * MS,
            delayed_traffic: DelayedTraffic { nodes: delayed_nodes, until: 5 * S },
            seconds: 8,
            seed,
        };
        let outcome = run(&scenario, record_result);
        // With few cores, a few requests that coincide by chance have a large effect.
        let tolerance = if cores < 4 { 0.3 } else { 0.1 };
        prop_assert!(outcome.peak_load < MAX_OVERLOAD_FRACTION + tolerance, "the load exceeds its bound: {outcome:?}");
    }
}
