//! Measurements of large fleets: sweeps one parameter of a fleet at a time, with processes of the program beside
//! hollow nodes (`saffronpaddle_hollow`) on the loopback interface. Measures CPU, memory, traffic between peers and
//! the propagation of changes of the list. `docs/scale.md` describes it.

mod bounds;
mod fit;
mod plot;
mod real;
mod report;
mod service;
mod shards;

use anyhow::{bail, ensure, Context, Result};
use bounds::{Point, MAX_POINT_TIME, MAX_RUN_TIME};
use lexopt::prelude::*;
use real::{Clients, RealNode};
use report::{Measurement, PointReport, Source};
use saffronpaddle_hollow::figures::{DurationHistogram, HandlingCost, Snapshot, Totals};
use saffronpaddle_hollow::tenants::{plans, Tenants};
use saffronpaddle_hollow::Spec;
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::settings::{Fleet, Plan};
use saffronpaddle_test_doubles::World;
use serde_json::{json, Value as Json};
use service::ListService;
use shards::HollowProcesses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

/// Exit code for invalid arguments, which are rejected before the run starts anything.
const EXIT_INVALID_ARGUMENTS: i32 = 2;
/// Number of addresses that the app servers of the list share.
const DIAL_ADDRESSES: usize = 8;
/// Number of zones of the fleet. Nodes and servers are assigned to them in turn.
const ZONES: usize = 9;
/// Names of the plans.
const PLANS: [&str; 9] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];
/// Names of the zones.
const SITES: [&str; ZONES] = ["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"];
/// Most connections of a hollow node to app servers: as many as a process with 4,096 descriptors has.
const MAX_CONNECTIONS: usize = 2_000;
/// Limits up to which the machine keeps up with a point: the share of a core that a process of several hollow nodes uses,
/// and the unanswered requests, in seconds of the request rate. The event loop must not be late either (see
/// [`LATE_LOOP_US`]). The limits do not apply to a node in a separate process, which is as late as a process of the
/// program would be.
const KEEPS_UP_LIMITS: (f64, f64) = (0.85, 0.3);
/// The event loop is late if the 99th percentile of its delay exceeds this, µs. A sweep of the policy engine can block the
/// loop for a shorter time.
const LATE_LOOP_US: f64 = 10_000.0;
/// Longest wait until the last node has applied the loss of a zone, and the interval between two checks.
const ZONE_LOSS_WAIT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(100));
/// Size of the IPv4 and UDP headers of a datagram, bytes.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;
/// Datagrams that the platform lets a node receive, 1/s.
const MAX_RECEIVED_PER_S: f64 = 60.0;

/// A parameter of the fleet that can be swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sweep {
    Nodes,
    Servers,
    Tenants,
    RequestRate,
    Changes,
    Restart,
}

/// Sweeps with their names, their points, and their points with `--quick`.
const SWEEPS: [(Sweep, &str, &[f64], &[f64]); 6] = [
    (
        Sweep::Nodes,
        "nodes",
        &[30.0, 300.0, 1000.0, 2700.0],
        &[10.0, 30.0, 100.0],
    ),
    (
        Sweep::Servers,
        "servers",
        &[200.0, 2000.0, 10_000.0, 40_000.0],
        &[50.0, 200.0, 2000.0],
    ),
    (
        Sweep::Tenants,
        "tenants",
        &[1000.0, 10_000.0, 83_000.0],
        &[],
    ),
    (
        Sweep::RequestRate,
        "tries",
        &[1.0, 10.0, 40.0, 81.5, 160.0],
        &[1.0, 10.0, 40.0],
    ),
    (Sweep::Changes, "changes", &[1.0, 10.0, 16.7, 50.0], &[]),
    (Sweep::Restart, "restart", &[0.01, 0.1, 0.5], &[]),
];

impl Sweep {
    /// The fleet of the sweep's points. The other parameters are small enough not to hide the effect of the swept one.
    fn base_point(self, seconds: u64) -> Point {
        let base = Point {
            nodes: 30,
            present: 0,
            real: 1,
            servers: 200,
            tenants: 10_000,
            tries: 10.0,
            changes: 1.0,
            restart: 0.0,
            spread: 0,
            skew: 0.9,
            seconds,
        };
        match self {
            Sweep::Nodes => Point {
                tries: 4.0,
                changes: 0.4,
                ..base
            },
            // A few nodes of a fleet of the design size, each with its peak request rate in such a fleet.
            Sweep::Servers => Point {
                nodes: 2700,
                present: 3,
                tries: 81.5,
                ..base
            },
            // At this rate a node receives requests of as many tenants in a window as it tracks in a fleet of the
            // design size.
            Sweep::Tenants => Point {
                nodes: 3,
                tries: 400.0,
                ..base
            },
            Sweep::RequestRate => base,
            Sweep::Changes => Point {
                servers: 2000,
                ..base
            },
            Sweep::Restart => Point { nodes: 100, ..base },
        }
    }

    /// Sets the swept parameter of a point.
    fn set(self, point: &mut Point, x: f64) -> Result<()> {
        let whole = || {
            ensure!(
                x.fract() == 0.0 && x >= 0.0,
                "a point of this sweep is a whole number, not {x}"
            );
            Ok(x as usize)
        };
        match self {
            Sweep::Nodes => point.nodes = whole()?,
            Sweep::Servers => point.servers = whole()?,
            Sweep::Tenants => point.tenants = whole()?,
            Sweep::RequestRate => point.tries = x,
            Sweep::Changes => point.changes = x,
            Sweep::Restart => point.restart = x,
        }
        Ok(())
    }
}

/// The checked arguments of a run.
struct Options {
    /// Name of the sweep, value of the swept parameter, and the point.
    points: Vec<(&'static str, f64, Point)>,
    /// Whether nodes subscribe to the list at a central service; otherwise agents push it to them.
    subscribe: bool,
    csv: Option<PathBuf>,
    plot: Option<PathBuf>,
}

fn parse(mut arguments: lexopt::Parser) -> Result<Options> {
    let (mut quick, mut subscribe, mut csv, mut plot) = (false, false, None, None);
    let (mut sweep, mut xs, mut seconds): (Option<String>, Option<Vec<f64>>, Option<u64>) =
        (None, None, None);
    let mut others: Vec<(String, String)> = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("quick") => quick = true,
            Long("sweep") => sweep = Some(arguments.value()?.string()?),
            Long("points") => {
                let text = arguments.value()?.string()?;
                let points = text.split(',').map(|point| point.trim().parse());
                xs = Some(
                    points
                        .collect::<Result<_, _>>()
                        .with_context(|| format!("--points {text}"))?,
                );
            }
            Long("seconds") => seconds = Some(arguments.value()?.parse()?),
            Long("csv") => csv = Some(PathBuf::from(arguments.value()?)),
            Long("plot") => plot = Some(PathBuf::from(arguments.value()?)),
            Long("list") => match &*arguments.value()?.string()? {
                "agent" => subscribe = false,
                "service" => subscribe = true,
                other => bail!("--list {other}: must be agent or service"),
            },
            Long(
                name @ ("nodes" | "present" | "servers" | "tenants" | "tries" | "changes"
                | "restart" | "real" | "spread" | "skew"),
            ) => {
                let name = name.to_owned();
                others.push((name, arguments.value()?.string()?));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(xs.is_none() || sweep.is_some(), "--points needs --sweep");
    let named = SWEEPS
        .iter()
        .find(|(_, name, ..)| Some(*name) == sweep.as_deref());
    if let Some(sweep) = sweep.as_ref().filter(|_| named.is_none()) {
        let names: Vec<&str> = SWEEPS.iter().map(|(_, name, ..)| *name).collect();
        bail!("--sweep {sweep}: must be one of {}", names.join(", "));
    }
    let swept = others
        .iter()
        .find(|(other, _)| Some(other.as_str()) == sweep.as_deref());
    ensure!(
        swept.is_none(),
        "--{0} cannot be combined with --sweep {0}: give --points",
        sweep.unwrap_or_default()
    );
    let seconds = seconds.unwrap_or(if quick { 2 } else { 5 });
    let mut points = Vec::new();
    for (swept, name, full_points, quick_points) in named.map_or(&SWEEPS[..], std::slice::from_ref)
    {
        let default_points = if quick { quick_points } else { full_points };
        let xs = xs.clone().unwrap_or_else(|| default_points.to_vec());
        ensure!(
            named.is_none() || !xs.is_empty(),
            "--sweep {name} has no default points with --quick: give --points"
        );
        for x in xs {
            let mut point = swept.base_point(seconds);
            for (other, text) in &others {
                set_parameter(&mut point, other, text)
                    .with_context(|| format!("--{other} {text}"))?;
            }
            swept.set(&mut point, x)?;
            point
                .check()
                .with_context(|| format!("sweep {name}, point {x}"))?;
            ensure!(
                !points
                    .iter()
                    .any(|(other_name, other, _)| other_name == name && *other == x),
                "point {x} is given twice"
            );
            points.push((*name, x, point));
        }
    }
    let duration: Duration = points.iter().map(|(.., point)| point.min_duration()).sum();
    ensure!(
        duration < MAX_RUN_TIME,
        "{} points take {duration:?} at least; all may take {MAX_RUN_TIME:?}",
        points.len()
    );
    for path in [&csv, &plot].into_iter().flatten() {
        let folder = path
            .parent()
            .filter(|folder| !folder.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        ensure!(
            folder.is_dir() && !path.is_dir(),
            "{} is not a file in an existing folder",
            path.display()
        );
    }
    if points.iter().any(|(.., point)| point.real > 0) {
        crate::program()?;
    }
    Ok(Options {
        points,
        subscribe,
        csv,
        plot,
    })
}

/// Sets a parameter of a point by the name of its option.
fn set_parameter(point: &mut Point, name: &str, text: &str) -> Result<()> {
    match name {
        "nodes" => point.nodes = text.parse()?,
        "present" => point.present = text.parse()?,
        "servers" => point.servers = text.parse()?,
        "tenants" => point.tenants = text.parse()?,
        "tries" => point.tries = text.parse()?,
        "changes" => point.changes = text.parse()?,
        "restart" => point.restart = text.parse()?,
        "real" => point.real = text.parse()?,
        "spread" => point.spread = text.parse()?,
        _ => point.skew = text.parse()?,
    }
    Ok(())
}

/// Runs the subcommand `scale`.
pub fn measure(arguments: lexopt::Parser) -> Result<()> {
    let options = match parse(arguments) {
        Ok(options) => options,
        Err(error) => {
            // One line without a backtrace, also with RUST_BACKTRACE set.
            eprintln!("saffronpaddle-bench scale: {error:#}");
            std::process::exit(EXIT_INVALID_ARGUMENTS);
        }
    };
    println!(
        "services: not measured (the program has one list of servers, and no services or routes)"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let started = Instant::now();
    let (mut rows, mut unmeasured) = (Vec::new(), 0);
    for (sweep, x, point) in &options.points {
        let left = MAX_RUN_TIME
            .saturating_sub(started.elapsed())
            .min(MAX_POINT_TIME);
        if left < MAX_POINT_TIME / 3 {
            println!("{sweep} {x}: not run: too little of the time limit of the run remains");
            unmeasured += 1;
            continue;
        }
        let point_started = Instant::now();
        let mut report = PointReport {
            sweep,
            x: *x,
            point,
            all: Vec::new(),
        };
        let ran = runtime.block_on(async {
            tokio::time::timeout(left, run(&mut report, options.subscribe, left))
                .await
                .unwrap_or_else(|_| bail!("the time limit of the point is reached"))
        });
        match ran {
            Ok(()) => print(&report, point_started.elapsed()),
            Err(error) => {
                println!("{sweep} {x}: measurement incomplete: {error:#}");
                report.add(
                    Source::Derived,
                    ("not_measured", "point"),
                    1.0,
                    &format!("{error:#}"),
                );
                unmeasured += 1;
            }
        }
        rows.extend(report.all);
        // Written after each point, so that a failure at a later one loses nothing.
        options
            .csv
            .as_deref()
            .map_or(Ok(()), |path| report::write(path, &rows))?;
    }
    report::print_slopes(&rows);
    options
        .plot
        .as_deref()
        .map_or(Ok(()), |path| plot::draw(path, &rows))?;
    ensure!(
        unmeasured == 0,
        "{unmeasured} of {} points were not measured",
        options.points.len()
    );
    Ok(())
}

fn print(report: &PointReport, duration: Duration) {
    println!(
        "{} {}: {:?} ({:.0} s)",
        report.sweep,
        report.x,
        report.point,
        duration.as_secs_f64()
    );
    for Measurement {
        source,
        measure,
        unit,
        value,
        note,
        ..
    } in &report.all
    {
        println!(
            "  {:<8} {measure:<26} {:>10} {unit:<12} {note}",
            source.name(),
            report::format_value(*value)
        );
    }
}

fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// The fleet's settings, with the tenants' plans and as many zones as at the design size.
fn fleet(point: &Point) -> Fleet {
    let plan = |(name, (rate, burst)): (&'static str, (f64, f64))| Plan {
        name,
        rate,
        burst,
        ceiling: None,
    };
    let plans = PLANS.into_iter().zip(plans()).map(plan).collect();
    Fleet {
        plans,
        sites: SITES.to_vec(),
        ..Fleet::typical(point.nodes)
    }
}

fn settings(fleet: &Fleet, node: usize, subscribe: bool) -> Json {
    let mut settings = fleet.settings(node);
    if subscribe {
        settings["discovery"] = json!("subscribe");
    }
    settings
}

/// The processes, app servers and list service of one point.
struct Deployment {
    processes: HollowProcesses,
    real: Vec<RealNode>,
    servers: Vec<SocketAddr>,
    list_service: Arc<ListService>,
    world: Arc<World>,
    fleet: Fleet,
    tenants: Tenants,
}

/// Starts everything that a point needs.
async fn start(point: &Point, subscribe: bool, time_limit: Duration) -> Result<Deployment> {
    let world = World::start(Bounds::default());
    let fleet = fleet(point);
    let zones: Vec<String> = SITES.iter().map(|site| (*site).to_owned()).collect();
    let mut servers = Vec::new();
    for _ in 0..DIAL_ADDRESSES {
        let listener =
            TcpListener::bind(saffronpaddle_test_doubles::ports::reserve_address()?).await?;
        servers.push(listener.local_addr()?);
        tokio::spawn(crate::cost::serve_immediately(Arc::clone(&world), listener));
    }
    let (list_service, list_address) =
        ListService::start(Arc::clone(&world), point.servers, &zones, &servers).await?;
    let peers: Vec<SocketAddr> = (0..point.nodes)
        .map(|_| saffronpaddle_test_doubles::ports::reserve_address())
        .collect::<Result<_, _>>()?;
    let (hollow_nodes, process_count) = (point.hollow_nodes(), point.hollow_processes());
    let spec = |number: usize| {
        let first_node = |number: usize| point.real + hollow_nodes * number / process_count;
        Spec {
            fleet_size: point.nodes as u32,
            running_nodes: point.running_nodes() as u32,
            nodes: (
                first_node(number) as u32,
                (first_node(number + 1) - first_node(number)) as u32,
            ),
            settings: settings(&fleet, 0, subscribe).to_string(),
            zones: zones.clone(),
            peers: peers.clone(),
            list_address,
            max_connections: MAX_CONNECTIONS,
            tenants: (point.tenants, point.skew),
            min_subset_size: point.spread as u32,
            node_rate: point.tries,
            mean_work: fleet
                .classes
                .iter()
                .map(|class| class.work.as_micros() as u64)
                .collect(),
            class_shares: fleet.classes.iter().map(|class| class.share).collect(),
            client_timeouts: fleet
                .classes
                .iter()
                .map(|class| class.deadline.as_micros() as u64)
                .collect(),
            seed: number as u64 + 1,
        }
    };
    let specs: Vec<Spec> = (0..process_count).map(spec).collect();
    let processes = tokio::task::block_in_place(|| HollowProcesses::start(&specs, time_limit))?;
    let mut real = Vec::new();
    for node in 0..point.real {
        real.push(
            real::start(
                &world,
                node,
                &settings(&fleet, node, subscribe),
                &peers,
                list_address,
            )
            .await?,
        );
    }
    let tenants = Tenants::new(
        point.tenants,
        point.skew,
        (point.running_nodes() as u32, point.tries),
        point.spread as u32,
    );
    Ok(Deployment {
        processes,
        real,
        servers,
        list_service,
        world,
        fleet,
        tenants,
    })
}

/// CPU time (ns) and memory (bytes) of each process of the program.
fn resource_usage(real: &[RealNode]) -> Result<Vec<(f64, f64)>> {
    real.iter()
        .map(|real| {
            Ok((
                real.process.main_thread_cpu_ns()? as f64,
                real.process.memory()? as f64,
            ))
        })
        .collect()
}

/// Measures one point: idle, under load with changes of the list, at the loss of a zone, and with restarts.
async fn run(report: &mut PointReport<'_>, subscribe: bool, time_limit: Duration) -> Result<()> {
    let point = report.point;
    let mut deployment = start(point, subscribe, time_limit).await?;
    let hollow = point.hollow_nodes();
    let request = |deployment: &mut Deployment, command: &str| {
        tokio::task::block_in_place(|| deployment.processes.request::<Snapshot>(command))
    };
    let first: Vec<Vec<u64>> =
        tokio::task::block_in_place(|| deployment.processes.request("ready"))?;
    let mut list_times = DurationHistogram::default();
    first
        .iter()
        .flatten()
        .for_each(|time| list_times.record(*time));
    let ms =
        |histogram: &DurationHistogram, share: f64| histogram.quantile(share).map(|us| us / 1e3);
    report.add(
        Source::Hollow,
        ("first_list_p50", "ms"),
        ms(&list_times, 0.5),
        "from a node's start until it applied the list",
    );
    report.add(
        Source::Hollow,
        ("first_list_max", "ms"),
        ms(&list_times, 1.0),
        "",
    );
    for real in &deployment.real {
        let note =
            "from exec to /-/ready, which waits for a list only if the operator file says so";
        report.add(Source::Real, ("ready", "ms"), real.ready_ms, note);
    }
    let (full_size, sent_size) = deployment.list_service.list_sizes;
    let note = if sent_size < full_size {
        "longer than a node accepts, so that it is sent without optional fields"
    } else {
        ""
    };
    report.add(Source::Derived, ("list_full", "B"), full_size as f64, note);
    let note = if sent_size < full_size {
        "without class, share and born_ms"
    } else {
        ""
    };
    report.add(Source::Derived, ("list_text", "B"), sent_size as f64, note);

    // Idle window.
    tokio::time::sleep(point.settle_time()).await;
    let window = Duration::from_secs(point.seconds);
    let (before, real_before) = (
        request(&mut deployment, "look")?,
        resource_usage(&deployment.real)?,
    );
    let clock = Instant::now();
    tokio::time::sleep(window).await;
    let (after, real_after) = (
        request(&mut deployment, "look")?,
        resource_usage(&deployment.real)?,
    );
    let elapsed_s = clock.elapsed().as_secs_f64();
    let idle = snapshot_delta(&before, &after);
    if hollow > 0 {
        let baseline: u64 = deployment
            .processes
            .baselines()
            .iter()
            .map(|process| process.memory_bytes)
            .sum();
        let memory = |snapshots: &[Snapshot]| {
            snapshots
                .iter()
                .map(|process| process.memory_bytes)
                .sum::<u64>()
                .saturating_sub(baseline)
        };
        let memory_per_node = memory(&after) as f64 / hollow as f64 / 1e6;
        report.add(
            Source::Hollow,
            ("memory_idle", "MB/node"),
            memory_per_node,
            "resident memory, less that of the process without nodes",
        );
        let per_node_second = 1.0 / hollow as f64 / elapsed_s;
        report.add(
            Source::Hollow,
            ("cpu_idle", "% of a core"),
            idle.cpu_ns / 1e7 * per_node_second,
            "policy engine, exchange, list, datagrams, timers",
        );
        report.add(
            Source::Hollow,
            ("decision_idle", "% of a core"),
            idle.decision_ns() / 1e7 * per_node_second,
            "policy engine and exchange only",
        );
    }
    for (before, after) in real_before.iter().zip(&real_after) {
        report.add(
            Source::Real,
            ("memory_idle", "MB/node"),
            after.1 / 1e6,
            "resident memory of the whole process",
        );
        report.add(
            Source::Real,
            ("cpu_idle", "% of a core"),
            (after.0 - before.0) / 1e7 / elapsed_s,
            "",
        );
    }

    // Loaded window, during which the list changes.
    let _: Vec<()> = tokio::task::block_in_place(|| deployment.processes.request("load"))?;
    let mut clients = Vec::new();
    let direct = (deployment.servers[0], point.nodes);
    let addresses = deployment
        .real
        .iter()
        .map(|real| (real.process.address, real.node))
        .chain([direct]);
    let mut load = tokio::task::JoinSet::new();
    for address in addresses.collect::<Vec<_>>() {
        let address_clients = Clients::new(
            Arc::clone(&deployment.world),
            deployment.fleet.clone(),
            deployment.tenants.clone(),
            address,
        );
        if !deployment.real.is_empty() {
            load.spawn(
                Arc::clone(&address_clients)
                    .send_requests(point.tries, point.settle_time() + window),
            );
        }
        clients.push(address_clients);
    }
    tokio::time::sleep(point.settle_time()).await;
    clients.iter().for_each(|clients| _ = clients.take_stats());
    let (before, real_before) = (
        request(&mut deployment, "look")?,
        resource_usage(&deployment.real)?,
    );
    let clock = Instant::now();
    let changes = change_list(&deployment.list_service, point, window).await;
    tokio::time::sleep(window.saturating_sub(clock.elapsed())).await;
    let (after, real_after) = (
        request(&mut deployment, "look")?,
        resource_usage(&deployment.real)?,
    );
    let elapsed_s = clock.elapsed().as_secs_f64();
    let loaded = snapshot_delta(&before, &after);
    while load.join_next().await.is_some() {}
    report_hollow_nodes(report, (&deployment, &after), &loaded, &idle, elapsed_s);
    let stats: Vec<_> = clients.iter().map(|clients| clients.take_stats()).collect();
    report_real_nodes(report, &stats, (&real_before, &real_after), elapsed_s);

    // Delays of the changes. After the settle time the last ones should have been applied, too.
    if !changes.is_empty() && hollow > 0 {
        tokio::time::sleep(point.settle_time()).await;
        let command = format!("acted {}", serde_json::to_string(&changes)?);
        /// Answer of a process: for each change, the delay until the process's last node had applied it, µs, and the
        /// histogram of the delays of all its nodes, µs.
        type ListDelays = (Vec<Option<u64>>, Vec<(u64, u64)>);
        let process_delays: Vec<ListDelays> =
            tokio::task::block_in_place(|| deployment.processes.request(&command))?;
        let (mut last, mut all, mut incomplete) = (
            DurationHistogram::default(),
            DurationHistogram::default(),
            0,
        );
        for change in 0..changes.len() {
            let delays: Option<Vec<u64>> = process_delays
                .iter()
                .map(|(last, _)| last.get(change).copied().flatten())
                .collect();
            match delays {
                Some(delays) => last.record(delays.into_iter().max().unwrap_or(0)),
                None => incomplete += 1,
            }
        }
        process_delays
            .iter()
            .for_each(|(_, buckets)| all.merge(buckets));
        let note = format!(
            "{} changes, each until the last of {hollow} nodes applied it; {incomplete} not applied by all",
            changes.len()
        );
        report.add(
            Source::Hollow,
            ("change_last_p50", "ms"),
            ms(&last, 0.5),
            &note,
        );
        report.add(
            Source::Hollow,
            ("change_last_p99", "ms"),
            ms(&last, 0.99),
            "",
        );
        report.add(
            Source::Hollow,
            ("change_last_max", "ms"),
            ms(&last, 1.0),
            "",
        );
        report.add(
            Source::Hollow,
            ("change_node_p50", "ms"),
            ms(&all, 0.5),
            "over all changes and nodes",
        );
        report.add(
            Source::Hollow,
            ("change_node_p99", "ms"),
            ms(&all, 0.99),
            "",
        );
    }

    if hollow > 0 {
        measure_zone_loss(report, &mut deployment).await?;
    }

    // Restarts under load.
    if point.restart > 0.0 && hollow > 0 {
        let before = request(&mut deployment, "look")?;
        let clock = Instant::now();
        let command = format!("restart {}", point.restart);
        let restarted: Vec<Vec<u64>> =
            tokio::task::block_in_place(|| deployment.processes.request(&command))?;
        tokio::time::sleep(Duration::from_secs(2).saturating_sub(clock.elapsed())).await;
        let after = request(&mut deployment, "look")?;
        let change = snapshot_delta(&before, &after);
        let mut list_times = DurationHistogram::default();
        restarted
            .iter()
            .flatten()
            .for_each(|time| list_times.record(*time));
        let restarted_nodes = list_times.count() as f64;
        report.add(
            Source::Hollow,
            ("restarted", "nodes"),
            restarted_nodes,
            "all processes at once, the nodes of a process one after another",
        );
        report.add(
            Source::Hollow,
            ("restart_listed_p50", "ms"),
            ms(&list_times, 0.5),
            "from a node's restart until it applied the list",
        );
        report.add(
            Source::Hollow,
            ("restart_listed_max", "ms"),
            ms(&list_times, 1.0),
            "",
        );
        let per_node_second = 1.0 / clock.elapsed().as_secs_f64() / hollow as f64;
        report.add(
            Source::Hollow,
            ("restart_words_sent", "/s/node"),
            change.totals.datagrams_sent.0 as f64 * per_node_second,
            "in the 2 s after the restarts began",
        );
        report.add(
            Source::Hollow,
            ("restart_cut", "tries/node"),
            change.totals.interrupted as f64 / restarted_nodes.max(1.0),
            "requests without an answer when their node was restarted",
        );
    }
    Ok(())
}

/// Drains all servers of a zone in one version of the list and makes them ready again in the next. Measures when the
/// last node has applied the drain.
async fn measure_zone_loss(
    report: &mut PointReport<'_>,
    deployment: &mut Deployment,
) -> Result<()> {
    let point = report.point;
    let zone_servers = (0..point.servers).step_by(ZONES);
    let before = tokio::task::block_in_place(|| deployment.processes.request::<Snapshot>("look"))?;
    let (clock, now) = (Instant::now(), unix_micros());
    let seq = deployment.list_service.toggle_health(zone_servers.clone());
    let command = format!("acted [[{seq},{now}]]");
    /// Answer of a process: the delay until its last node had applied the drain, µs, and the histogram of all delays, µs.
    type ListDelays = (Vec<Option<u64>>, Vec<(u64, u64)>);
    let last = loop {
        let process_delays: Vec<ListDelays> =
            tokio::task::block_in_place(|| deployment.processes.request(&command))?;
        let last: Option<Vec<u64>> = process_delays
            .iter()
            .map(|(last, _)| last.first().copied().flatten())
            .collect();
        if last.is_some() || clock.elapsed() > ZONE_LOSS_WAIT.0 {
            break last.and_then(|last| last.into_iter().max());
        }
        tokio::time::sleep(ZONE_LOSS_WAIT.1).await;
    };
    let after = tokio::task::block_in_place(|| deployment.processes.request::<Snapshot>("look"))?;
    deployment.list_service.toggle_health(zone_servers.clone());
    let cost = snapshot_delta(&before, &after).totals.list_cost;
    let note = format!(
        "{} servers drain in one version of the list, until the last node has applied it",
        zone_servers.len()
    );
    report.add(
        Source::Hollow,
        ("zone_last", "ms"),
        last.map(|us| us as f64 / 1e3),
        &note,
    );
    let cpu_ms = (cost.events > 0).then(|| cost.cpu_ns as f64 / 1e6 / cost.events as f64);
    report.add(
        Source::Hollow,
        ("zone_decision", "ms"),
        cpu_ms,
        "CPU of the policy engine and exchange for that list",
    );
    Ok(())
}

/// Changes one server of the list at a time, at regular intervals over the window. Returns the version of each change
/// and its time of publication, Unix time in µs.
async fn change_list(
    list_service: &ListService,
    point: &Point,
    window: Duration,
) -> Vec<(u64, u64)> {
    let mut published = Vec::new();
    let count = (point.changes * window.as_secs_f64()) as usize;
    let started = Instant::now();
    for number in 0..count {
        let at = window.mul_f64(number as f64 / count as f64);
        tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
        let now = unix_micros();
        // Each server drains with one change and is ready again with the next one.
        published.push((
            list_service.toggle_health([number / 2 % point.servers].into_iter()),
            now,
        ));
    }
    published
}

/// Differences between two snapshots of all processes of hollow nodes.
struct SnapshotDelta {
    /// CPU time of all processes, ns.
    cpu_ns: f64,
    /// CPU time of the process that used most, ns.
    busiest_ns: f64,
    totals: Totals,
    loop_lag: DurationHistogram,
    added_latency: DurationHistogram,
}

impl SnapshotDelta {
    /// CPU time of the exchange and the policy engine, ns.
    fn decision_ns(&self) -> f64 {
        let Totals {
            request_cost,
            timer_cost,
            peer_message_cost,
            list_cost,
            ..
        } = self.totals;
        [request_cost, timer_cost, peer_message_cost, list_cost]
            .iter()
            .map(|cost| cost.cpu_ns as f64)
            .sum()
    }
}

/// Differences between two snapshots of each process, summed over the processes.
fn snapshot_delta(before: &[Snapshot], after: &[Snapshot]) -> SnapshotDelta {
    let (mut loop_lag, mut added_latency, mut totals) = (
        DurationHistogram::default(),
        DurationHistogram::default(),
        Totals::default(),
    );
    let (mut cpu_ns, mut busiest_ns) = (0.0, 0.0_f64);
    for (before, after) in before.iter().zip(after) {
        loop_lag.merge(&after.loop_lag);
        added_latency.merge(&after.added_latency);
        let process_ns = (after.cpu_ns - before.cpu_ns) as f64;
        (cpu_ns, busiest_ns) = (cpu_ns + process_ns, busiest_ns.max(process_ns));
        let (from, to) = (&before.totals, &after.totals);
        let difference = |to: (u64, u64), from: (u64, u64)| (to.0 - from.0, to.1 - from.1);
        let sum = |one: (u64, u64), other: (u64, u64)| (one.0 + other.0, one.1 + other.1);
        totals.offered += to.offered - from.offered;
        totals.served += to.served - from.served;
        totals.refused += to.refused - from.refused;
        totals.failed += to.failed - from.failed;
        totals.interrupted += to.interrupted - from.interrupted;
        totals.connects += to.connects - from.connects;
        totals.attempts += to.attempts - from.attempts;
        totals.reports += to.reports - from.reports;
        totals.datagrams_sent = sum(
            totals.datagrams_sent,
            difference(to.datagrams_sent, from.datagrams_sent),
        );
        totals.datagrams_received = sum(
            totals.datagrams_received,
            difference(to.datagrams_received, from.datagrams_received),
        );
        totals.list_traffic.0 += to.list_traffic.0 - from.list_traffic.0;
        totals.list_traffic.1 += to.list_traffic.1 - from.list_traffic.1;
        totals.list_traffic.2 += to.list_traffic.2 - from.list_traffic.2;
        let add_cost = |total: &mut HandlingCost, to: HandlingCost, from: HandlingCost| {
            total.events += to.events - from.events;
            total.cpu_ns += to.cpu_ns - from.cpu_ns;
        };
        add_cost(&mut totals.request_cost, to.request_cost, from.request_cost);
        add_cost(&mut totals.timer_cost, to.timer_cost, from.timer_cost);
        add_cost(
            &mut totals.peer_message_cost,
            to.peer_message_cost,
            from.peer_message_cost,
        );
        add_cost(&mut totals.list_cost, to.list_cost, from.list_cost);
    }
    SnapshotDelta {
        cpu_ns,
        busiest_ns,
        totals,
        loop_lag,
        added_latency,
    }
}

/// Adds the measurements of the hollow nodes under load.
fn report_hollow_nodes(
    report: &mut PointReport,
    (deployment, after): (&Deployment, &[Snapshot]),
    loaded: &SnapshotDelta,
    idle: &SnapshotDelta,
    elapsed_s: f64,
) {
    let point = report.point;
    let hollow = point.hollow_nodes();
    if hollow == 0 {
        return;
    }
    let per_node_second = 1.0 / hollow as f64 / elapsed_s;
    let totals = &loaded.totals;
    let baseline: u64 = deployment
        .processes
        .baselines()
        .iter()
        .map(|process| process.memory_bytes)
        .sum();
    let memory: u64 = after.iter().map(|process| process.memory_bytes).sum();
    let hollow_row = |report: &mut PointReport, name, unit, value: f64, note: &str| {
        report.add(Source::Hollow, (name, unit), value, note);
    };
    let loop_lag = |share: f64| loaded.loop_lag.quantile(share).unwrap_or(0.0);
    let shared = hollow > point.hollow_processes();
    let unanswered = totals.offered.saturating_sub(totals.completed()) as f64;
    let busiest_share = loaded.busiest_ns / 1e9 / elapsed_s;
    let answers_keep_up = unanswered <= KEEPS_UP_LIMITS.1 * hollow as f64 * point.tries.max(1.0);
    let keeps_up = !shared
        || busiest_share <= KEEPS_UP_LIMITS.0 && answers_keep_up && loop_lag(0.99) <= LATE_LOOP_US;
    let note = if keeps_up {
        ""
    } else {
        "the machine does not keep up with this point: its values are not those of a fleet in real time"
    };
    hollow_row(
        report,
        "keeps_up",
        "1 or 0",
        f64::from(u8::from(keeps_up)),
        note,
    );
    let note = if shared {
        "a process of several nodes"
    } else {
        "each node has its own process"
    };
    hollow_row(
        report,
        "busiest_process",
        "% of a core",
        busiest_share * 100.0,
        note,
    );
    hollow_row(
        report,
        "loop_lag_p50",
        "ms",
        loop_lag(0.5) / 1e3,
        "timers have a resolution of 1 ms",
    );
    let note = match loop_lag(0.99) > LATE_LOOP_US {
        true if shared => {
            "nodes in one process delay one another, which separate processes would not"
        }
        true => {
            "longer than a sweep: the policy engine blocks the loop, as in a process of the program"
        }
        false => "",
    };
    hollow_row(report, "loop_lag_p99", "ms", loop_lag(0.99) / 1e3, note);
    hollow_row(
        report,
        "offered",
        "/s/node",
        totals.offered as f64 * per_node_second,
        "",
    );
    hollow_row(
        report,
        "done",
        "/s/node",
        totals.completed() as f64 * per_node_second,
        "final answers",
    );
    let share = |count: u64| count as f64 / (totals.completed() as f64).max(1.0);
    hollow_row(report, "served_share", "of done", share(totals.served), "");
    hollow_row(
        report,
        "refused_share",
        "of done",
        share(totals.refused),
        "",
    );
    hollow_row(report, "failed_share", "of done", share(totals.failed), "");
    let memory_per_node = memory.saturating_sub(baseline) as f64 / hollow as f64 / 1e6;
    hollow_row(
        report,
        "memory_loaded",
        "MB/node",
        memory_per_node,
        "resident memory, less that of the process without nodes",
    );
    hollow_row(
        report,
        "cpu_loaded",
        "% of a core",
        loaded.cpu_ns / 1e7 * per_node_second,
        "includes the simulated clients and servers",
    );
    hollow_row(
        report,
        "decision_loaded",
        "% of a core",
        loaded.decision_ns() / 1e7 * per_node_second,
        "policy engine and exchange only",
    );
    let mean_us = |cost: HandlingCost| {
        (cost.events > 0).then(|| cost.cpu_ns as f64 / 1e3 / cost.events as f64)
    };
    if totals.offered > 0 {
        let all =
            (loaded.decision_ns() - idle.decision_ns()).max(0.0) / 1e3 / totals.offered as f64;
        hollow_row(
            report,
            "decision_try",
            "µs",
            all,
            "CPU of the policy engine and exchange, less that while idle, per request offered",
        );
        let own = totals.request_cost.cpu_ns as f64 / 1e3 / totals.offered as f64;
        hollow_row(
            report,
            "decision_try_own",
            "µs",
            own,
            "CPU of the policy engine and exchange for events of requests only, per request offered",
        );
    }
    report.add(
        Source::Hollow,
        ("decision_wake", "µs"),
        mean_us(totals.timer_cost),
        "per timer of the policy engine",
    );
    report.add(
        Source::Hollow,
        ("decision_word", "µs"),
        mean_us(totals.peer_message_cost),
        "per datagram from a peer",
    );
    report.add(
        Source::Hollow,
        ("decision_list", "µs"),
        mean_us(totals.list_cost),
        "per list or change, without parsing it",
    );
    let hollow_row = |report: &mut PointReport, name, unit, value: f64, note: &str| {
        report.add(Source::Hollow, (name, unit), value, note);
    };
    hollow_row(
        report,
        "wakes",
        "/s/node",
        totals.timer_cost.events as f64 * per_node_second,
        "",
    );
    hollow_row(
        report,
        "words_sent",
        "/s/node",
        totals.datagrams_sent.0 as f64 * per_node_second,
        "datagrams",
    );
    let note = if totals.datagrams_received.0 as f64 * per_node_second > MAX_RECEIVED_PER_S {
        "more than the 60 that the platform lets a node receive"
    } else {
        ""
    };
    hollow_row(
        report,
        "words_taken",
        "/s/node",
        totals.datagrams_received.0 as f64 * per_node_second,
        note,
    );
    hollow_row(
        report,
        "word_bytes_sent",
        "B/s/node",
        totals.datagrams_sent.1 as f64 * per_node_second,
        "payload",
    );
    hollow_row(
        report,
        "word_bytes_taken",
        "B/s/node",
        totals.datagrams_received.1 as f64 * per_node_second,
        "payload",
    );
    hollow_row(
        report,
        "list_bytes",
        "B/s/node",
        totals.list_traffic.1 as f64 * per_node_second,
        "received on the watch",
    );
    let control_bytes = (totals.datagrams_sent.0 + totals.datagrams_received.0) as f64
        * DATAGRAM_HEADER_BYTES
        + (totals.datagrams_sent.1 + totals.datagrams_received.1 + totals.list_traffic.1) as f64;
    let note =
        "datagrams sent and received, with 28 bytes of headers each, and the bytes of the list";
    report.add(
        Source::Derived,
        ("control_bytes", "B/s/node"),
        control_bytes * per_node_second,
        note,
    );
    if point.nodes > 1 && point.running_nodes() == point.nodes && totals.datagrams_sent.0 > 0 {
        let others = (point.nodes - 1) as f64;
        let to_hollow = totals.datagrams_sent.0 as f64 * (hollow as f64 - 1.0) / others;
        let lost = 1.0 - totals.datagrams_received.0 as f64 / to_hollow.max(1.0);
        let note = "of the datagrams between hollow nodes, if real nodes send and receive as many";
        report.add(
            Source::Derived,
            ("words_lost", "share"),
            lost.max(0.0),
            note,
        );
    }
    let open_connections: usize = after.iter().map(|process| process.open_connections).sum();
    let per_server = point.nodes as f64 / hollow as f64 / point.servers as f64;
    let note =
        "connections that the exchanges of hollow nodes keep, scaled to all nodes; they carry no data";
    report.add(
        Source::Derived,
        ("connections", "/server"),
        open_connections as f64 * per_server,
        note,
    );
    report.add(
        Source::Derived,
        ("handshakes", "/s/server"),
        totals.connects as f64 / elapsed_s * per_server,
        "",
    );
    if totals.attempts > 0 {
        let share = totals.connects as f64 / totals.attempts as f64;
        report.add(
            Source::Derived,
            ("handshakes_try", "/attempt"),
            share,
            "connections opened per attempt that was written",
        );
    }
    let tracked_entries: usize = after.iter().map(|process| process.tracked_entries).sum();
    hollow_row(
        report,
        "kept",
        "entries/node",
        tracked_entries as f64 / hollow as f64,
        "servers, token buckets and quota shards in the policy engine",
    );
    let note = "from due time to served answer, less the server's own work: quota messages, handshakes, queueing, loop lag";
    report.add(
        Source::Hollow,
        ("added_p50", "ms"),
        loaded.added_latency.quantile(0.5).map(|us| us / 1e3),
        note,
    );
    report.add(
        Source::Hollow,
        ("added_p99", "ms"),
        loaded.added_latency.quantile(0.99).map(|us| us / 1e3),
        "",
    );
}

/// CPU time (ns) and memory (bytes) of each process of the program.
type Usage = Vec<(f64, f64)>;

/// Adds the measurements of the processes of the program under load. The last entry of `stats` is that of the
/// requests sent directly to a server.
fn report_real_nodes(
    report: &mut PointReport,
    stats: &[real::ClientStats],
    (before, after): (&Usage, &Usage),
    elapsed_s: f64,
) {
    let Some((direct, through_nodes)) = stats.split_last() else {
        return;
    };
    let ms =
        |histogram: &DurationHistogram, share: f64| histogram.quantile(share).map(|us| us / 1e3);
    for ((node_stats, usage_before), usage_after) in through_nodes.iter().zip(before).zip(after) {
        report.add(
            Source::Real,
            ("memory_loaded", "MB/node"),
            usage_after.1 / 1e6,
            "resident memory of the whole process",
        );
        report.add(
            Source::Real,
            ("cpu_loaded", "% of a core"),
            (usage_after.0 - usage_before.0) / 1e7 / elapsed_s,
            "includes HTTP on both sides",
        );
        let answered = node_stats.served + node_stats.refused + node_stats.failed;
        if answered > 0 {
            report.add(
                Source::Real,
                ("cpu_try", "µs"),
                (usage_after.0 - usage_before.0) / 1e3 / answered as f64,
                "all CPU of the process, per request",
            );
            let share = |count: u64| count as f64 / answered as f64;
            report.add(
                Source::Real,
                ("served_share", "of done"),
                share(node_stats.served),
                "",
            );
            report.add(
                Source::Real,
                ("refused_share", "of done"),
                share(node_stats.refused),
                "",
            );
            let note = if node_stats.failed > 0 {
                format!("statuses {:?}", node_stats.failed_statuses)
            } else {
                String::new()
            };
            report.add(
                Source::Real,
                ("failed_share", "of done"),
                share(node_stats.failed),
                &note,
            );
        }
        for (quantile, [through_node, without_node, added]) in [
            (0.5, ["took_p50", "direct_p50", "added_p50"]),
            (0.99, ["took_p99", "direct_p99", "added_p99"]),
        ] {
            let (Some(node_ms), Some(direct_ms)) = (
                ms(&node_stats.latency, quantile),
                ms(&direct.latency, quantile),
            ) else {
                continue;
            };
            let note = format!(
                "{} served requests; servers answer immediately",
                node_stats.latency.count()
            );
            report.add(Source::Real, (through_node, "ms"), node_ms, &note);
            report.add(
                Source::Real,
                (without_node, "ms"),
                direct_ms,
                "requests at the same rate and time, sent directly to a server",
            );
            report.add(
                Source::Derived,
                (added, "ms"),
                node_ms - direct_ms,
                "difference of the two quantiles, real processes",
            );
        }
    }
}
