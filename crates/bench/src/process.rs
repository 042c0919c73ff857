//! Processes that are measured: what they cost, and on which core they run.

use anyhow::{Context, Result};
use nix::sched::{sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use saffronpaddle_test_doubles::process::{cpu_seconds, memory_bytes};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig, Plan};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Descriptors that a measured node may hold, if nothing else is said.
const DESCRIPTORS: usize = 4096;

/// A process that ends with this value.
pub struct Measured {
    child: Child,
    pub address: SocketAddr,
    config: Option<PathBuf>,
}

impl Measured {
    fn pid(&self) -> Result<Pid> {
        Ok(Pid::from_raw(
            i32::try_from(self.child.id()).context("a process id")?,
        ))
    }

    /// CPU time of its main thread, in ns (`/proc/PID/schedstat`); it has no other that works.
    pub fn spent(&self) -> Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        text.split(' ')
            .next()
            .and_then(|word| word.parse().ok())
            .context("schedstat")
    }

    /// CPU time in ns and runs of its threads so far, by their names (`/proc/PID/task/*/schedstat`). A thread that has ended
    /// is not among them.
    pub fn threads(&self) -> Result<BTreeMap<String, (u64, u64)>> {
        let mut threads = BTreeMap::new();
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let task = task?.path();
            // It may have ended meanwhile.
            let read = |file| std::fs::read_to_string(task.join(file));
            let (Ok(name), Ok(text)) = (read("comm"), read("schedstat")) else {
                continue;
            };
            let mut words = text.split_whitespace().map(str::parse::<u64>);
            let (Some(Ok(spent)), Some(Ok(runs))) = (words.next(), words.nth(1)) else {
                continue;
            };
            let sum = threads.entry(name.trim_end().to_owned()).or_insert((0, 0));
            *sum = (sum.0 + spent, sum.1 + runs);
        }
        Ok(threads)
    }

    /// CPU seconds of all its threads.
    pub fn spent_all(&self) -> Result<f64> {
        cpu_seconds(self.child.id()).context("its CPU time")
    }

    /// Memory in use, in bytes.
    pub fn memory(&self) -> Result<u64> {
        memory_bytes(self.child.id()).context("its memory")
    }

    /// Keeps it to one core.
    pub fn pin(&self, core: usize) -> Result<()> {
        let mut set = CpuSet::new();
        set.set(core)?;
        sched_setaffinity(self.pid()?, &set).context("one core")
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.config
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path));
        // Only some have one.
        self.config
            .iter()
            .for_each(|path| _ = std::fs::remove_file(path.with_extension("toml")));
    }
}

/// A fleet of one node whose customers' quotas bind nobody.
pub fn unbound() -> Fleet {
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

/// Starts one node that knows these servers.
pub fn node(program: &Path, fleet: &Fleet, discovery: SocketAddr, known: &str) -> Result<Measured> {
    start(program, fleet, discovery, Some(known), None, DESCRIPTORS)
}

/// Starts one node with an operator file, which knows no servers.
pub fn operated(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    operator: Option<&Path>,
) -> Result<Measured> {
    start(program, fleet, discovery, None, operator, DESCRIPTORS)
}

/// The same with so many descriptors.
pub fn with_descriptors(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    operator: Option<&Path>,
    descriptors: usize,
) -> Result<Measured> {
    start(program, fleet, discovery, None, operator, descriptors)
}

fn start(
    program: &Path,
    fleet: &Fleet,
    discovery: SocketAddr,
    known: Option<&str>,
    operator: Option<&Path>,
    sockets: usize,
) -> Result<Measured> {
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let datagrams = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
    let places = NodeConfig {
        name: "n0".to_owned(),
        listen: address,
        discovery,
        peer_listen: datagrams,
        peers: vec![datagrams],
        sockets,
        memory_mb: 192,
    };
    let text = configuration(&places, &fleet.settings(0), known, 1);
    let path = std::env::temp_dir().join(format!("saffronpaddle-bench-{}.json", address.port()));
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
    let child = command.spawn().context("the node")?;
    Ok(Measured {
        child,
        address,
        config: Some(path),
    })
}

/// Starts one of several nodes, with this configuration.
pub fn member(program: &Path, address: SocketAddr, text: &str) -> Result<Measured> {
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
    let child = command.spawn().context("the node")?;
    Ok(Measured {
        child,
        address,
        config: Some(path),
    })
}

/// Starts a bare relay before these servers, as a job of this program.
pub fn relay(job: &str, servers: &[SocketAddr]) -> Result<Measured> {
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let mut command = Command::new(std::env::current_exe()?);
    command
        .arg(job)
        .arg(address.to_string())
        .args(servers.iter().map(SocketAddr::to_string));
    let child = command.stdin(Stdio::null()).spawn().context("the relay")?;
    Ok(Measured {
        child,
        address,
        config: None,
    })
}
