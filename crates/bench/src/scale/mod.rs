//! The fleet's size, one figure at a time: real processes of the program beside hollow nodes (`saffronpaddle_hollow`) on one
//! loopback, for what they cost, say to one another, and how long a change of the list takes. `docs/scale.md` is its page.

mod bounds;
mod fit;
mod plot;
mod real;
mod report;
mod service;
mod shards;

use anyhow::{bail, ensure, Context, Result};
use bounds::{Point, ALL, POINT};
use lexopt::prelude::*;
use real::{Clients, Real};
use report::{Kind, Row, Rows};
use saffronpaddle_hollow::figures::{Look, Spans, Spent, Sums};
use saffronpaddle_hollow::tenants::{plans, Tenants};
use saffronpaddle_hollow::Spec;
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::settings::{Fleet, Plan};
use saffronpaddle_test_doubles::World;
use serde_json::{json, Value as Json};
use service::Service;
use shards::Shards;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

/// What the process ends with where a run is refused before anything was started.
const REFUSED: i32 = 2;
/// Addresses at which the app servers of the list are found.
const DIALS: usize = 8;
/// Zones of the fleet: nodes and servers are spread over them in turn.
const ZONES: usize = 9;
/// Names of the plans, as many as there may be.
const PLANS: [&str; 9] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];
const SITES: [&str; ZONES] = ["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"];
/// Connections to app servers that a hollow node may have: those of a process with 4,096 descriptors.
const LINKS: usize = 2_000;
/// The machine keeps up while no process of several hollow nodes takes more of a core, no more tries are without an answer than
/// come in this time, s, and their loop is not late. A node with a process of its own is as late as one of the program.
const KEEPS_UP: (f64, f64) = (0.85, 0.3);
/// A loop is late by more than this, µs, where something holds it: a sweep of the decision's.
const LATE: f64 = 10_000.0;
/// Longest wait for the last node to act on the loss of a zone, and between two looks.
const ZONE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(100));
/// Headers of a datagram (IPv4, UDP), bytes.
const HEADERS: f64 = 28.0;
/// Words that the platform lets a node take a second.
const INTAKE: f64 = 60.0;

/// A figure of the fleet that can be swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sweep {
    Nodes,
    Servers,
    Tenants,
    Tries,
    Changes,
    Restart,
}

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
        Sweep::Tries,
        "tries",
        &[1.0, 10.0, 40.0, 81.5, 160.0],
        &[1.0, 10.0, 40.0],
    ),
    (Sweep::Changes, "changes", &[1.0, 10.0, 16.7, 50.0], &[]),
    (Sweep::Restart, "restart", &[0.01, 0.1, 0.5], &[]),
];

impl Sweep {
    /// The fleet around which a figure is swept, so that what else is large does not hide it.
    fn base(self, seconds: u64) -> Point {
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
            // A few nodes of the size to design for, with as many tries as each has there at the peak.
            Sweep::Servers => Point {
                nodes: 2700,
                present: 3,
                tries: 81.5,
                ..base
            },
            // So many that a node meets in a look as many tenants as it keeps in mind at that size.
            Sweep::Tenants => Point {
                nodes: 3,
                tries: 400.0,
                ..base
            },
            Sweep::Tries => base,
            Sweep::Changes => Point {
                servers: 2000,
                ..base
            },
            Sweep::Restart => Point { nodes: 100, ..base },
        }
    }

    fn set(self, point: &mut Point, at: f64) -> Result<()> {
        let whole = || {
            ensure!(
                at.fract() == 0.0 && at >= 0.0,
                "a point of this sweep is a whole number, not {at}"
            );
            Ok(at as usize)
        };
        match self {
            Sweep::Nodes => point.nodes = whole()?,
            Sweep::Servers => point.servers = whole()?,
            Sweep::Tenants => point.tenants = whole()?,
            Sweep::Tries => point.tries = at,
            Sweep::Changes => point.changes = at,
            Sweep::Restart => point.restart = at,
        }
        Ok(())
    }
}

/// What was asked for, each point looked at.
struct Asked {
    points: Vec<(&'static str, f64, Point)>,
    followed: bool,
    csv: Option<PathBuf>,
    plot: Option<PathBuf>,
}

fn parse(mut arguments: lexopt::Parser) -> Result<Asked> {
    let (mut quick, mut followed, mut csv, mut plot) = (false, false, None, None);
    let (mut sweep, mut at, mut seconds): (Option<String>, Option<Vec<f64>>, Option<u64>) =
        (None, None, None);
    let mut others: Vec<(String, String)> = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("quick") => quick = true,
            Long("sweep") => sweep = Some(arguments.value()?.string()?),
            Long("points") => {
                let text = arguments.value()?.string()?;
                let points = text.split(',').map(|point| point.trim().parse());
                at = Some(
                    points
                        .collect::<Result<_, _>>()
                        .with_context(|| format!("--points {text}"))?,
                );
            }
            Long("seconds") => seconds = Some(arguments.value()?.parse()?),
            Long("csv") => csv = Some(PathBuf::from(arguments.value()?)),
            Long("plot") => plot = Some(PathBuf::from(arguments.value()?)),
            Long("list") => match &*arguments.value()?.string()? {
                "agent" => followed = false,
                "service" => followed = true,
                other => bail!("--list {other}: agent or service"),
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
    ensure!(at.is_none() || sweep.is_some(), "--points needs --sweep");
    let named = SWEEPS
        .iter()
        .find(|(_, name, ..)| Some(*name) == sweep.as_deref());
    if let Some(sweep) = sweep.as_ref().filter(|_| named.is_none()) {
        let names: Vec<&str> = SWEEPS.iter().map(|(_, name, ..)| *name).collect();
        bail!("--sweep {sweep}: one of {}", names.join(", "));
    }
    let swept = others
        .iter()
        .find(|(other, _)| Some(other.as_str()) == sweep.as_deref());
    ensure!(
        swept.is_none(),
        "--{0} beside --sweep {0}: give --points",
        sweep.unwrap_or_default()
    );
    let seconds = seconds.unwrap_or(if quick { 2 } else { 5 });
    let mut points = Vec::new();
    for (of, name, whole, few) in named.map_or(&SWEEPS[..], std::slice::from_ref) {
        let usual = if quick { few } else { whole };
        let at = at.clone().unwrap_or_else(|| usual.to_vec());
        ensure!(
            named.is_none() || !at.is_empty(),
            "--sweep {name} has no points here: give --points"
        );
        for at in at {
            let mut point = of.base(seconds);
            for (other, text) in &others {
                set(&mut point, other, text).with_context(|| format!("--{other} {text}"))?;
            }
            of.set(&mut point, at)?;
            point
                .check()
                .with_context(|| format!("sweep {name}, point {at}"))?;
            ensure!(
                !points
                    .iter()
                    .any(|(of, other, _)| of == name && *other == at),
                "point {at} is there twice"
            );
            points.push((*name, at, point));
        }
    }
    let least: Duration = points.iter().map(|(.., point)| point.least()).sum();
    ensure!(
        least < ALL,
        "{} points take {least:?} at the least; all may take {ALL:?}",
        points.len()
    );
    for path in [&csv, &plot].into_iter().flatten() {
        let folder = path
            .parent()
            .filter(|folder| !folder.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        ensure!(
            folder.is_dir() && !path.is_dir(),
            "{} is not a file in a folder that is there",
            path.display()
        );
    }
    if points.iter().any(|(.., point)| point.real > 0) {
        crate::program()?;
    }
    Ok(Asked {
        points,
        followed,
        csv,
        plot,
    })
}

fn set(point: &mut Point, name: &str, text: &str) -> Result<()> {
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

/// The job itself.
pub fn measure(arguments: lexopt::Parser) -> Result<()> {
    let asked = match parse(arguments) {
        Ok(asked) => asked,
        Err(error) => {
            // One line, whatever is wrong and however the machine is told to show errors.
            eprintln!("saffronpaddle-bench scale: {error:#}");
            std::process::exit(REFUSED);
        }
    };
    println!(
        "services: not carried by the program (there is one list of servers, and no services or routes)"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let begun = Instant::now();
    let (mut rows, mut undone) = (Vec::new(), 0);
    for (sweep, at, point) in &asked.points {
        let left = ALL.saturating_sub(begun.elapsed()).min(POINT);
        if left < POINT / 3 {
            println!("{sweep} {at}: not run, as the time for all points is over");
            undone += 1;
            continue;
        }
        let took = Instant::now();
        let mut of = Rows {
            sweep,
            at: *at,
            point,
            all: Vec::new(),
        };
        let ran = runtime.block_on(async {
            tokio::time::timeout(left, run(&mut of, asked.followed, left))
                .await
                .unwrap_or_else(|_| bail!("its time is over"))
        });
        match ran {
            Ok(()) => print(&of, took.elapsed()),
            Err(error) => {
                println!("{sweep} {at}: not measured to its end: {error:#}");
                of.add(
                    Kind::Reckoned,
                    ("not_measured", "point"),
                    1.0,
                    &format!("{error:#}"),
                );
                undone += 1;
            }
        }
        rows.extend(of.all);
        // What there is is kept, should the next point not end well.
        asked
            .csv
            .as_deref()
            .map_or(Ok(()), |path| report::write(path, &rows))?;
    }
    report::print_slopes(&rows);
    asked
        .plot
        .as_deref()
        .map_or(Ok(()), |path| plot::draw(path, &rows))?;
    ensure!(
        undone == 0,
        "{undone} of {} points were not measured",
        asked.points.len()
    );
    Ok(())
}

fn print(rows: &Rows, took: Duration) {
    println!(
        "{} {}: {:?} ({:.0} s)",
        rows.sweep,
        rows.at,
        rows.point,
        took.as_secs_f64()
    );
    for Row {
        kind,
        measure,
        unit,
        value,
        note,
        ..
    } in &rows.all
    {
        println!(
            "  {:<8} {measure:<26} {:>10} {unit:<12} {note}",
            kind.name(),
            report::figure(*value)
        );
    }
}

fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// The fleet's settings, with the tenants' plans and the zones of the size to design for.
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

fn settings(fleet: &Fleet, me: usize, followed: bool) -> Json {
    let mut settings = fleet.settings(me);
    if followed {
        settings["discovery"] = json!("subscribe");
    }
    settings
}

/// Everything of one point that has to be ended with it.
struct Rig {
    shards: Shards,
    real: Vec<Real>,
    servers: Vec<SocketAddr>,
    service: Arc<Service>,
    world: Arc<World>,
    fleet: Fleet,
    tenants: Tenants,
}

async fn begin(point: &Point, followed: bool, left: Duration) -> Result<Rig> {
    let world = World::start(Bounds::default());
    let fleet = fleet(point);
    let zones: Vec<String> = SITES.iter().map(|site| (*site).to_owned()).collect();
    let mut servers = Vec::new();
    for _ in 0..DIALS {
        let listener =
            TcpListener::bind(saffronpaddle_test_doubles::ports::reserve_address()?).await?;
        servers.push(listener.local_addr()?);
        tokio::spawn(crate::cost::answer(Arc::clone(&world), listener));
    }
    let (service, list) =
        Service::start(Arc::clone(&world), point.servers, &zones, &servers).await?;
    let peers: Vec<SocketAddr> = (0..point.nodes)
        .map(|_| saffronpaddle_test_doubles::ports::reserve_address())
        .collect::<Result<_, _>>()?;
    let (hollow, processes) = (point.hollow(), point.processes());
    let spec = |number: usize| {
        let from = |number: usize| point.real + hollow * number / processes;
        Spec {
            gateways: point.nodes as u32,
            present: point.running() as u32,
            nodes: (
                from(number) as u32,
                (from(number + 1) - from(number)) as u32,
            ),
            settings: settings(&fleet, 0, followed).to_string(),
            zones: zones.clone(),
            peers: peers.clone(),
            list,
            links: LINKS,
            tenants: (point.tenants, point.skew),
            spread: point.spread as u32,
            tries: point.tries,
            work: fleet
                .classes
                .iter()
                .map(|class| class.work.as_micros() as u64)
                .collect(),
            classes: fleet.classes.iter().map(|class| class.share).collect(),
            patience: fleet
                .classes
                .iter()
                .map(|class| class.deadline.as_micros() as u64)
                .collect(),
            seed: number as u64 + 1,
        }
    };
    let specs: Vec<Spec> = (0..processes).map(spec).collect();
    let shards = tokio::task::block_in_place(|| Shards::start(&specs, left))?;
    let mut real = Vec::new();
    for me in 0..point.real {
        real.push(real::start(&world, me, &settings(&fleet, me, followed), &peers, list).await?);
    }
    let tenants = Tenants::new(
        point.tenants,
        point.skew,
        (point.running() as u32, point.tries),
        point.spread as u32,
    );
    Ok(Rig {
        shards,
        real,
        servers,
        service,
        world,
        fleet,
        tenants,
    })
}

/// CPU and memory of real processes.
fn costs(real: &[Real]) -> Result<Vec<(f64, f64)>> {
    real.iter()
        .map(|real| Ok((real.process.spent()? as f64, real.process.memory()? as f64)))
        .collect()
}

async fn run(rows: &mut Rows<'_>, followed: bool, left: Duration) -> Result<()> {
    let point = rows.point;
    let mut rig = begin(point, followed, left).await?;
    let hollow = point.hollow();
    let ask =
        |rig: &mut Rig, word: &str| tokio::task::block_in_place(|| rig.shards.ask::<Look>(word));
    let first: Vec<Vec<u64>> = tokio::task::block_in_place(|| rig.shards.ask("ready"))?;
    let mut spans = Spans::default();
    first.iter().flatten().for_each(|span| spans.add(*span));
    let ms = |spans: &Spans, share: f64| spans.at(share).map(|us| us / 1e3);
    rows.add(
        Kind::Hollow,
        ("first_list_p50", "ms"),
        ms(&spans, 0.5),
        "from a node's start until it acted on the list",
    );
    rows.add(Kind::Hollow, ("first_list_max", "ms"), ms(&spans, 1.0), "");
    for real in &rig.real {
        let note = "from exec to /-/ready, which waits for no list unless an operator says so";
        rows.add(Kind::Real, ("ready", "ms"), real.ready_ms, note);
    }
    let (full, text) = rig.service.texts;
    let note = if text < full {
        "with all of the platform's fields it is longer than what a node takes"
    } else {
        ""
    };
    rows.add(Kind::Reckoned, ("list_full", "B"), full as f64, note);
    let note = if text < full {
        "without class, share and born_ms"
    } else {
        ""
    };
    rows.add(Kind::Reckoned, ("list_text", "B"), text as f64, note);

    // Idle.
    tokio::time::sleep(point.settles()).await;
    let window = Duration::from_secs(point.seconds);
    let (began, real_began) = (ask(&mut rig, "look")?, costs(&rig.real)?);
    let clock = Instant::now();
    tokio::time::sleep(window).await;
    let (ended, real_ended) = (ask(&mut rig, "look")?, costs(&rig.real)?);
    let span = clock.elapsed().as_secs_f64();
    let idle = between(&began, &ended);
    if hollow > 0 {
        let bare: u64 = rig.shards.bare().iter().map(|look| look.memory).sum();
        let memory = |looks: &[Look]| {
            looks
                .iter()
                .map(|look| look.memory)
                .sum::<u64>()
                .saturating_sub(bare)
        };
        let each = memory(&ended) as f64 / hollow as f64 / 1e6;
        rows.add(
            Kind::Hollow,
            ("memory_idle", "MB/node"),
            each,
            "resident, less the process without nodes",
        );
        let each = 1.0 / hollow as f64 / span;
        rows.add(
            Kind::Hollow,
            ("cpu_idle", "% of a core"),
            idle.cpu_ns / 1e7 * each,
            "decision, list, datagrams, timers",
        );
        rows.add(
            Kind::Hollow,
            ("decision_idle", "% of a core"),
            idle.decision() / 1e7 * each,
            "the decision and exchange alone",
        );
    }
    for (before, after) in real_began.iter().zip(&real_ended) {
        rows.add(
            Kind::Real,
            ("memory_idle", "MB/node"),
            after.1 / 1e6,
            "resident, the whole process",
        );
        rows.add(
            Kind::Real,
            ("cpu_idle", "% of a core"),
            (after.0 - before.0) / 1e7 / span,
            "",
        );
    }

    // Under load, while the list changes.
    let _: Vec<()> = tokio::task::block_in_place(|| rig.shards.ask("load"))?;
    let mut clients = Vec::new();
    let direct = (rig.servers[0], point.nodes);
    let through = rig
        .real
        .iter()
        .map(|real| (real.process.address, real.me))
        .chain([direct]);
    let mut offers = tokio::task::JoinSet::new();
    for place in through.collect::<Vec<_>>() {
        let of = Clients::new(
            Arc::clone(&rig.world),
            rig.fleet.clone(),
            rig.tenants.clone(),
            place,
        );
        if !rig.real.is_empty() {
            offers.spawn(Arc::clone(&of).offer(point.tries, point.settles() + window));
        }
        clients.push(of);
    }
    tokio::time::sleep(point.settles()).await;
    clients.iter().for_each(|clients| _ = clients.seen());
    let (began, real_began) = (ask(&mut rig, "look")?, costs(&rig.real)?);
    let clock = Instant::now();
    let changes = change(&rig.service, point, window).await;
    tokio::time::sleep(window.saturating_sub(clock.elapsed())).await;
    let (ended, real_ended) = (ask(&mut rig, "look")?, costs(&rig.real)?);
    let span = clock.elapsed().as_secs_f64();
    let loaded = between(&began, &ended);
    while offers.join_next().await.is_some() {}
    hollow_rows(rows, (&rig, &ended), &loaded, &idle, span);
    let seen: Vec<_> = clients.iter().map(|clients| clients.seen()).collect();
    real_rows(rows, &seen, (&real_began, &real_ended), span);

    // Changes: the last ones have had time enough by now.
    if !changes.is_empty() && hollow > 0 {
        tokio::time::sleep(point.settles()).await;
        let word = format!("acted {}", serde_json::to_string(&changes)?);
        type Acted = (Vec<Option<u64>>, Vec<(u64, u64)>);
        let acted: Vec<Acted> = tokio::task::block_in_place(|| rig.shards.ask(&word))?;
        let (mut last, mut all, mut unacted) = (Spans::default(), Spans::default(), 0);
        for change in 0..changes.len() {
            let of: Option<Vec<u64>> = acted
                .iter()
                .map(|(last, _)| last.get(change).copied().flatten())
                .collect();
            match of {
                Some(of) => last.add(of.into_iter().max().unwrap_or(0)),
                None => unacted += 1,
            }
        }
        acted.iter().for_each(|(_, pairs)| all.merge(pairs));
        let note = format!(
            "{} changes until the last of {hollow} nodes had acted; {unacted} not by all",
            changes.len()
        );
        rows.add(
            Kind::Hollow,
            ("change_last_p50", "ms"),
            ms(&last, 0.5),
            &note,
        );
        rows.add(Kind::Hollow, ("change_last_p99", "ms"), ms(&last, 0.99), "");
        rows.add(Kind::Hollow, ("change_last_max", "ms"), ms(&last, 1.0), "");
        rows.add(
            Kind::Hollow,
            ("change_node_p50", "ms"),
            ms(&all, 0.5),
            "over all changes and nodes",
        );
        rows.add(Kind::Hollow, ("change_node_p99", "ms"), ms(&all, 0.99), "");
    }

    if hollow > 0 {
        zone(rows, &mut rig).await?;
    }

    // Restarts, under load.
    if point.restart > 0.0 && hollow > 0 {
        let began = ask(&mut rig, "look")?;
        let clock = Instant::now();
        let word = format!("restart {}", point.restart);
        let again: Vec<Vec<u64>> = tokio::task::block_in_place(|| rig.shards.ask(&word))?;
        tokio::time::sleep(Duration::from_secs(2).saturating_sub(clock.elapsed())).await;
        let ended = ask(&mut rig, "look")?;
        let after = between(&began, &ended);
        let mut spans = Spans::default();
        again.iter().flatten().for_each(|span| spans.add(*span));
        let many = spans.many() as f64;
        rows.add(
            Kind::Hollow,
            ("restarted", "nodes"),
            many,
            "at one stroke, one by one in each process",
        );
        rows.add(
            Kind::Hollow,
            ("restart_listed_p50", "ms"),
            ms(&spans, 0.5),
            "from a node's new start until it acted on the list",
        );
        rows.add(
            Kind::Hollow,
            ("restart_listed_max", "ms"),
            ms(&spans, 1.0),
            "",
        );
        let per = 1.0 / clock.elapsed().as_secs_f64() / hollow as f64;
        rows.add(
            Kind::Hollow,
            ("restart_words_sent", "/s/node"),
            after.sums.sent.0 as f64 * per,
            "in the 2 s from the stroke on",
        );
        rows.add(
            Kind::Hollow,
            ("restart_cut", "tries/node"),
            after.sums.cut as f64 / many.max(1.0),
            "had no answer yet",
        );
    }
    Ok(())
}

/// A zone is lost: its servers drain in one version, and are back in the next.
async fn zone(rows: &mut Rows<'_>, rig: &mut Rig) -> Result<()> {
    let point = rows.point;
    let lost = (0..point.servers).step_by(ZONES);
    let began = tokio::task::block_in_place(|| rig.shards.ask::<Look>("look"))?;
    let (clock, now) = (Instant::now(), unix_micros());
    let seq = rig.service.change(lost.clone());
    let word = format!("acted [[{seq},{now}]]");
    type Acted = (Vec<Option<u64>>, Vec<(u64, u64)>);
    let last = loop {
        let acted: Vec<Acted> = tokio::task::block_in_place(|| rig.shards.ask(&word))?;
        let last: Option<Vec<u64>> = acted
            .iter()
            .map(|(last, _)| last.first().copied().flatten())
            .collect();
        if last.is_some() || clock.elapsed() > ZONE.0 {
            break last.and_then(|last| last.into_iter().max());
        }
        tokio::time::sleep(ZONE.1).await;
    };
    let ended = tokio::task::block_in_place(|| rig.shards.ask::<Look>("look"))?;
    rig.service.change(lost.clone());
    let spent = between(&began, &ended).sums.on_lists;
    let note = format!(
        "{} servers drain in one version, until the last node has acted",
        lost.len()
    );
    rows.add(
        Kind::Hollow,
        ("zone_last", "ms"),
        last.map(|us| us as f64 / 1e3),
        &note,
    );
    let each = (spent.times > 0).then(|| spent.ns as f64 / 1e6 / spent.times as f64);
    rows.add(
        Kind::Hollow,
        ("zone_decision", "ms"),
        each,
        "the decision's and exchange's CPU on that list",
    );
    Ok(())
}

/// Changes a server of the list at a time, evenly over the window: versions, and when each was told.
async fn change(service: &Service, point: &Point, window: Duration) -> Vec<(u64, u64)> {
    let mut told = Vec::new();
    let many = (point.changes * window.as_secs_f64()) as usize;
    let begun = Instant::now();
    for number in 0..many {
        let at = window.mul_f64(number as f64 / many as f64);
        tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
        let now = unix_micros();
        // Each server drains, and is ready again with the next change.
        told.push((
            service.change([number / 2 % point.servers].into_iter()),
            now,
        ));
    }
    told
}

/// What happened between two looks at all processes.
struct Between {
    cpu_ns: f64,
    /// CPU of the process that took most, ns.
    busiest: f64,
    sums: Sums,
    lag: Spans,
    added: Spans,
}

impl Between {
    fn decision(&self) -> f64 {
        let Sums {
            on_requests,
            on_wakes,
            on_words,
            on_lists,
            ..
        } = self.sums;
        [on_requests, on_wakes, on_words, on_lists]
            .iter()
            .map(|spent| spent.ns as f64)
            .sum()
    }
}

fn between(began: &[Look], ended: &[Look]) -> Between {
    let (mut lag, mut added, mut sums) = (Spans::default(), Spans::default(), Sums::default());
    let (mut cpu_ns, mut busiest) = (0.0, 0.0_f64);
    for (began, ended) in began.iter().zip(ended) {
        lag.merge(&ended.lag);
        added.merge(&ended.added);
        let spent = (ended.cpu_ns - began.cpu_ns) as f64;
        (cpu_ns, busiest) = (cpu_ns + spent, busiest.max(spent));
        let (from, to) = (&began.sums, &ended.sums);
        let two = |to: (u64, u64), from: (u64, u64)| (to.0 - from.0, to.1 - from.1);
        let plus = |sum: (u64, u64), more: (u64, u64)| (sum.0 + more.0, sum.1 + more.1);
        sums.offered += to.offered - from.offered;
        sums.served += to.served - from.served;
        sums.refused += to.refused - from.refused;
        sums.failed += to.failed - from.failed;
        sums.cut += to.cut - from.cut;
        sums.connects += to.connects - from.connects;
        sums.attempts += to.attempts - from.attempts;
        sums.logged += to.logged - from.logged;
        sums.sent = plus(sums.sent, two(to.sent, from.sent));
        sums.taken = plus(sums.taken, two(to.taken, from.taken));
        sums.list.0 += to.list.0 - from.list.0;
        sums.list.1 += to.list.1 - from.list.1;
        sums.list.2 += to.list.2 - from.list.2;
        let spent = |sum: &mut Spent, to: Spent, from: Spent| {
            sum.times += to.times - from.times;
            sum.ns += to.ns - from.ns;
        };
        spent(&mut sums.on_requests, to.on_requests, from.on_requests);
        spent(&mut sums.on_wakes, to.on_wakes, from.on_wakes);
        spent(&mut sums.on_words, to.on_words, from.on_words);
        spent(&mut sums.on_lists, to.on_lists, from.on_lists);
    }
    Between {
        cpu_ns,
        busiest,
        sums,
        lag,
        added,
    }
}

fn hollow_rows(
    rows: &mut Rows,
    (rig, ended): (&Rig, &[Look]),
    loaded: &Between,
    idle: &Between,
    span: f64,
) {
    let point = rows.point;
    let hollow = point.hollow();
    if hollow == 0 {
        return;
    }
    let each = 1.0 / hollow as f64 / span;
    let sums = &loaded.sums;
    let bare: u64 = rig.shards.bare().iter().map(|look| look.memory).sum();
    let memory: u64 = ended.iter().map(|look| look.memory).sum();
    let hollow_row = |rows: &mut Rows, name, unit, value: f64, note: &str| {
        rows.add(Kind::Hollow, (name, unit), value, note);
    };
    let lag = |share: f64| loaded.lag.at(share).unwrap_or(0.0);
    let shared = hollow > point.processes();
    let undone = sums.offered.saturating_sub(sums.done()) as f64;
    let busy = loaded.busiest / 1e9 / span;
    let in_time = undone <= KEEPS_UP.1 * hollow as f64 * point.tries.max(1.0);
    let kept_up = !shared || busy <= KEEPS_UP.0 && in_time && lag(0.99) <= LATE;
    let late = if kept_up {
        ""
    } else {
        "the machine does not keep up with this point: no figure of it is one of real time"
    };
    hollow_row(
        rows,
        "keeps_up",
        "1 or 0",
        f64::from(u8::from(kept_up)),
        late,
    );
    let note = if shared {
        "of several nodes"
    } else {
        "each has a process of its own"
    };
    hollow_row(rows, "busiest_process", "% of a core", busy * 100.0, note);
    hollow_row(
        rows,
        "loop_lag_p50",
        "ms",
        lag(0.5) / 1e3,
        "timers are of 1 ms",
    );
    let note = match lag(0.99) > LATE {
        true if shared => "nodes of one process wait for one another, as processes would not",
        true => "later than a sweep: the decision holds the loop, as it would a process's",
        false => "",
    };
    hollow_row(rows, "loop_lag_p99", "ms", lag(0.99) / 1e3, note);
    hollow_row(rows, "offered", "/s/node", sums.offered as f64 * each, "");
    hollow_row(
        rows,
        "done",
        "/s/node",
        sums.done() as f64 * each,
        "final answers",
    );
    let share = |of: u64| of as f64 / (sums.done() as f64).max(1.0);
    hollow_row(rows, "served_share", "of done", share(sums.served), "");
    hollow_row(rows, "refused_share", "of done", share(sums.refused), "");
    hollow_row(rows, "failed_share", "of done", share(sums.failed), "");
    let each_mb = memory.saturating_sub(bare) as f64 / hollow as f64 / 1e6;
    hollow_row(
        rows,
        "memory_loaded",
        "MB/node",
        each_mb,
        "resident, less the process without nodes",
    );
    hollow_row(
        rows,
        "cpu_loaded",
        "% of a core",
        loaded.cpu_ns / 1e7 * each,
        "with the drawn clients and servers in it",
    );
    hollow_row(
        rows,
        "decision_loaded",
        "% of a core",
        loaded.decision() / 1e7 * each,
        "the decision and exchange alone",
    );
    let us = |spent: Spent| (spent.times > 0).then(|| spent.ns as f64 / 1e3 / spent.times as f64);
    if sums.offered > 0 {
        let all = (loaded.decision() - idle.decision()).max(0.0) / 1e3 / sums.offered as f64;
        hollow_row(
            rows,
            "decision_try",
            "µs",
            all,
            "of all its entries, less idle, a try offered",
        );
        let own = sums.on_requests.ns as f64 / 1e3 / sums.offered as f64;
        hollow_row(
            rows,
            "decision_try_own",
            "µs",
            own,
            "entries for requests alone, a try offered",
        );
    }
    rows.add(
        Kind::Hollow,
        ("decision_wake", "µs"),
        us(sums.on_wakes),
        "one wake-up",
    );
    rows.add(
        Kind::Hollow,
        ("decision_word", "µs"),
        us(sums.on_words),
        "one datagram of a peer",
    );
    rows.add(
        Kind::Hollow,
        ("decision_list", "µs"),
        us(sums.on_lists),
        "one list or change, read already",
    );
    let hollow_row = |rows: &mut Rows, name, unit, value: f64, note: &str| {
        rows.add(Kind::Hollow, (name, unit), value, note);
    };
    hollow_row(
        rows,
        "wakes",
        "/s/node",
        sums.on_wakes.times as f64 * each,
        "",
    );
    hollow_row(
        rows,
        "words_sent",
        "/s/node",
        sums.sent.0 as f64 * each,
        "datagrams",
    );
    let over = if sums.taken.0 as f64 * each > INTAKE {
        "more than the 60 that the platform lets a node take"
    } else {
        ""
    };
    hollow_row(
        rows,
        "words_taken",
        "/s/node",
        sums.taken.0 as f64 * each,
        over,
    );
    hollow_row(
        rows,
        "word_bytes_sent",
        "B/s/node",
        sums.sent.1 as f64 * each,
        "payload",
    );
    hollow_row(
        rows,
        "word_bytes_taken",
        "B/s/node",
        sums.taken.1 as f64 * each,
        "payload",
    );
    hollow_row(
        rows,
        "list_bytes",
        "B/s/node",
        sums.list.1 as f64 * each,
        "of the watch",
    );
    let both = (sums.sent.0 + sums.taken.0) as f64 * HEADERS
        + (sums.sent.1 + sums.taken.1 + sums.list.1) as f64;
    let note = "words both ways with 28 bytes of headers, and the list's bytes";
    rows.add(
        Kind::Reckoned,
        ("control_bytes", "B/s/node"),
        both * each,
        note,
    );
    if point.nodes > 1 && point.running() == point.nodes && sums.sent.0 > 0 {
        let others = (point.nodes - 1) as f64;
        let to_hollow = sums.sent.0 as f64 * (hollow as f64 - 1.0) / others;
        let lost = 1.0 - sums.taken.0 as f64 / to_hollow.max(1.0);
        let note = "of the words of hollow nodes to such, if real ones say and hear as much";
        rows.add(Kind::Reckoned, ("words_lost", "share"), lost.max(0.0), note);
    }
    let links: usize = ended.iter().map(|look| look.links).sum();
    let a_server = point.nodes as f64 / hollow as f64 / point.servers as f64;
    let note =
        "connections that the exchange of hollow nodes keeps, for all nodes; nothing is sent over them";
    rows.add(
        Kind::Reckoned,
        ("connections", "/server"),
        links as f64 * a_server,
        note,
    );
    rows.add(
        Kind::Reckoned,
        ("handshakes", "/s/server"),
        sums.connects as f64 / span * a_server,
        "",
    );
    if sums.attempts > 0 {
        let share = sums.connects as f64 / sums.attempts as f64;
        rows.add(
            Kind::Reckoned,
            ("handshakes_try", "/attempt"),
            share,
            "connections made for each attempt that was written",
        );
    }
    let kept: usize = ended.iter().map(|look| look.kept).sum();
    hollow_row(
        rows,
        "kept",
        "entries/node",
        kept as f64 / hollow as f64,
        "servers, their names, stores and homes in the decision",
    );
    let note = "from due time to served answer, less the server's own work: quotas' words, handshakes, waiting, loop lag";
    rows.add(
        Kind::Hollow,
        ("added_p50", "ms"),
        loaded.added.at(0.5).map(|us| us / 1e3),
        note,
    );
    rows.add(
        Kind::Hollow,
        ("added_p99", "ms"),
        loaded.added.at(0.99).map(|us| us / 1e3),
        "",
    );
}

type Costs = Vec<(f64, f64)>;

fn real_rows(rows: &mut Rows, seen: &[real::Seen], (began, ended): (&Costs, &Costs), span: f64) {
    let Some((direct, through)) = seen.split_last() else {
        return;
    };
    let ms = |spans: &Spans, share: f64| spans.at(share).map(|us| us / 1e3);
    for ((seen, before), after) in through.iter().zip(began).zip(ended) {
        rows.add(
            Kind::Real,
            ("memory_loaded", "MB/node"),
            after.1 / 1e6,
            "resident, the whole process",
        );
        rows.add(
            Kind::Real,
            ("cpu_loaded", "% of a core"),
            (after.0 - before.0) / 1e7 / span,
            "HTTP on both sides in it",
        );
        let done = seen.served + seen.refused + seen.failed;
        if done > 0 {
            rows.add(
                Kind::Real,
                ("cpu_try", "µs"),
                (after.0 - before.0) / 1e3 / done as f64,
                "all CPU of the process, a try",
            );
            let share = |of: u64| of as f64 / done as f64;
            rows.add(
                Kind::Real,
                ("served_share", "of done"),
                share(seen.served),
                "",
            );
            rows.add(
                Kind::Real,
                ("refused_share", "of done"),
                share(seen.refused),
                "",
            );
            let note = if seen.failed > 0 {
                format!("statuses {:?}", seen.statuses)
            } else {
                String::new()
            };
            rows.add(
                Kind::Real,
                ("failed_share", "of done"),
                share(seen.failed),
                &note,
            );
        }
        for (share, [took, straight, added]) in [
            (0.5, ["took_p50", "direct_p50", "added_p50"]),
            (0.99, ["took_p99", "direct_p99", "added_p99"]),
        ] {
            let (Some(took_ms), Some(direct_ms)) = (ms(&seen.took, share), ms(&direct.took, share))
            else {
                continue;
            };
            let note = format!("{} served tries; servers answer at once", seen.took.many());
            rows.add(Kind::Real, (took, "ms"), took_ms, &note);
            rows.add(
                Kind::Real,
                (straight, "ms"),
                direct_ms,
                "the same tries without a node between, at the same time",
            );
            rows.add(
                Kind::Reckoned,
                (added, "ms"),
                took_ms - direct_ms,
                "difference of the two quantiles, real processes",
            );
        }
    }
}
