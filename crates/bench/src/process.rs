//! Processes under measurement: starting them, pinning them to a core, and reading their CPU time and memory.

use anyhow::{Context, Result};
use nix::sched::{sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::process::{cpu_seconds, memory_bytes};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig, Plan};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Default limit of descriptors of a node.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// A process that is killed when this value is dropped.
pub struct MeasuredProcess {
    child: Child,
    /// Address at which the process accepts connections.
    pub address: SocketAddr,
    /// Configuration file. It is removed when this value is dropped, as is the operator file beside it, if there is one.
    config: Option<PathBuf>,
}

impl MeasuredProcess {
    fn pid(&self) -> Result<Pid> {
        Ok(Pid::from_raw(
            i32::try_from(self.child.id()).context("a process id fits into i32")?,
        ))
    }

    /// CPU time of the main thread, ns (`/proc/PID/schedstat`). The other threads of a node are idle.
    pub fn main_thread_cpu_ns(&self) -> Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        text.split(' ')
            .next()
            .and_then(|field| field.parse().ok())
            .context("schedstat has no CPU time")
    }

    /// CPU time (ns) and time slices of the threads, by thread name (`/proc/PID/task/*/schedstat`). Threads that have
    /// ended are not included.
    pub fn thread_usage(&self) -> Result<BTreeMap<String, (u64, u64)>> {
        let mut threads = BTreeMap::new();
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let task = task?.path();
            // Reading fails if the thread has ended meanwhile.
            let read = |file| std::fs::read_to_string(task.join(file));
            let (Ok(name), Ok(text)) = (read("comm"), read("schedstat")) else {
                continue;
            };
            let mut fields = text.split_whitespace().map(str::parse::<u64>);
            let (Some(Ok(cpu_ns)), Some(Ok(slices))) = (fields.next(), fields.nth(1)) else {
                continue;
            };
            let sum = threads.entry(name.trim_end().to_owned()).or_insert((0, 0));
            *sum = (sum.0 + cpu_ns, sum.1 + slices);
        }
        Ok(threads)
    }

    /// CPU time of all threads, s.
    pub fn cpu_seconds(&self) -> Result<f64> {
        cpu_seconds(self.child.id()).context("reading the CPU time of the process")
    }

    /// Memory in use, bytes.
    pub fn memory(&self) -> Result<u64> {
        memory_bytes(self.child.id()).context("reading the memory of the process")
    }

    /// Pins the process to one core.
    pub fn pin(&self, core: usize) -> Result<()> {
        let mut set = CpuSet::new();
        set.set(core)?;
        sched_setaffinity(self.pid()?, &set)
            .with_context(|| format!("pinning the process to core {core}"))
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.config
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path));
        // The operator file, which only some processes have.
        self.config
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path.with_extension("toml")));
    }
}

/// A fleet of one node whose quotas are too large to limit any customer.
pub fn unlimited_fleet() -> Fleet {
    let plan = Plan {
        name: "free",
        rate: 1e9,
        burst: 1e9,
        ceiling: None,
    };
    Fleet {
        plans: vec![plan],
        ..Fleet::typical(1)
    }
}

/// Starts a node with a list of known servers in its configuration.
pub fn start_node(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    known: &str,
) -> Result<MeasuredProcess> {
    start(
        program,
        fleet,
        discovery,
        Some(known),
        None,
        DEFAULT_DESCRIPTORS,
    )
}

/// Starts a node with an operator file and without known servers.
pub fn start_operated_node(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    operator: Option<&Path>,
) -> Result<MeasuredProcess> {
    start(
        program,
        fleet,
        discovery,
        None,
        operator,
        DEFAULT_DESCRIPTORS,
    )
}

/// Like [`start_operated_node`], with a limit of descriptors.
pub fn start_node_with_descriptors(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    operator: Option<&Path>,
    descriptors: usize,
) -> Result<MeasuredProcess> {
    start(program, fleet, discovery, None, operator, descriptors)
}

fn start(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    known: Option<&str>,
    operator: Option<&Path>,
    sockets: usize,
) -> Result<MeasuredProcess> {
    let (address, datagrams) = (reserve_address()?, reserve_address()?);
    let config = NodeConfig {
        name: "n0".to_owned(),
        listen: address,
        discovery,
        peer_listen: datagrams,
        peers: vec![datagrams],
        sockets,
        memory_mb: 192,
    };
    let text = configuration(&config, &fleet.settings(0), known, 1);
    let path = std::env::temp_dir().join(format!("saffronpaddle-bench-{}.json", address.ip()));
    std::fs::write(&path, text)?;
    let mut command = Command::new(program);
    operator
        .iter()
        .for_each(|file| _ = command.arg("run").arg("--operator").arg(file));
    command
        .env("LB_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let child = command.spawn().context("starting the node")?;
    Ok(MeasuredProcess {
        child,
        address,
        config: Some(path),
    })
}

/// Starts one of several nodes with the given configuration, whose listen address is `address`.
pub fn start_fleet_node(
    program: &Path,
    address: SocketAddr,
    text: &str,
) -> Result<MeasuredProcess> {
    let name = format!("saffronpaddle-bench-{}-{address}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text)?;
    let operator = path.with_extension("toml");
    std::fs::write(
        &operator,
        "[ready]\nlist_within_ms = 0\npeers_within_ms = 0\n[servers]\nworking_set = true\n",
    )?;
    let mut command = Command::new(program);
    command.arg("run").arg("--operator").arg(&operator);
    command
        .env("LB_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let child = command.spawn().context("starting the node")?;
    Ok(MeasuredProcess {
        child,
        address,
        config: Some(path),
    })
}

/// Starts a bare relay to these servers by a subcommand of this program.
pub fn start_relay(subcommand: &str, servers: &[SocketAddr]) -> Result<MeasuredProcess> {
    let address = reserve_address()?;
    let mut command = Command::new(std::env::current_exe()?);
    command
        .arg(subcommand)
        .arg(address.to_string())
        .args(servers.iter().map(SocketAddr::to_string));
    let child = command
        .stdin(Stdio::null())
        .spawn()
        .context("starting the relay")?;
    Ok(MeasuredProcess {
        child,
        address,
        config: None,
    })
}
