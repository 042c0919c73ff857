//! One instance: a real process of the program, with its listener, its service manager and its costs.

use crate::manager::ServiceManager;
use anyhow::{Context, Result};
use command_fds::{CommandFdExt, FdMapping};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use saffronpaddle_test_doubles::process::{cpu_seconds, memory_bytes};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::process::Child;
use tokio::time::timeout;

/// Time within which an instance must have ended after SIGTERM; the program's own limit is 3.6 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Lines of an instance's log that a fault message quotes.
const LOG_TAIL_LINES: usize = 4;

/// Resources that an instance's processes have used, and their faults.
#[derive(Clone, Debug, Default)]
pub struct ProcessCosts {
    /// Time from exec to ready of each process.
    pub ready: Vec<Duration>,
    /// Resident memory when the first process became ready, bytes.
    pub memory_idle: u64,
    /// Highest resident memory seen, bytes.
    pub memory_peak: u64,
    /// CPU seconds of processes that have ended.
    pub cpu_ended: f64,
    /// CPU seconds of the running process.
    pub cpu_running: f64,
    /// Number of processes that were started.
    pub processes: u64,
    /// Faults, one line each.
    pub faults: Vec<String>,
}

/// An instance and the process that currently runs for it.
pub struct Instance {
    /// Index in the fleet.
    pub number: usize,
    /// Address that the instance listens on for clients.
    pub address: SocketAddr,
    /// Receives the instance's `sd_notify` messages.
    pub manager: Arc<ServiceManager>,
    /// Held by the task that starts or ends a process, so that only one does at a time.
    pub lifecycle_lock: tokio::sync::Mutex<()>,
    /// Whether the instance has an operator file and reports its state to a service manager.
    pub has_operator_file: bool,
    /// Log level (`LB_LOG`).
    pub log_level: &'static str,
    /// A library that is preloaded and makes system calls fail, and the calls with their percentages.
    pub preload: Option<(PathBuf, String)>,
    /// Whether a process was paused for longer than the platform may stall one.
    pub was_paused: AtomicBool,
    listener: Option<TcpListener>,
    program: PathBuf,
    folder: PathBuf,
    process: Mutex<Option<Arc<Process>>>,
    costs: Mutex<ProcessCosts>,
}

/// A signal that follows a SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct TimedSignal {
    /// Time since the SIGTERM.
    pub at: Duration,
    /// The signal.
    pub signal: Signal,
}

/// A process of an instance.
struct Process {
    pid: Pid,
    child: tokio::sync::Mutex<Child>,
    /// Whether the harness has sent SIGTERM or SIGKILL.
    stop_ordered: Mutex<bool>,
    /// Length of the instance's log when the process started.
    log_start: u64,
}

impl Process {
    /// The process id as [`cpu_seconds`] and [`memory_bytes`] take it.
    fn id(&self) -> u32 {
        self.pid.as_raw().unsigned_abs()
    }
}

impl Instance {
    /// Creates an instance that is not running yet. A `listener` is kept here and passed to each process;
    /// without one, the process binds `address`.
    pub fn new(
        number: usize,
        address: SocketAddr,
        listener: Option<TcpListener>,
        manager: Arc<ServiceManager>,
        program: &Path,
        folder: &Path,
    ) -> Instance {
        let (program, folder) = (program.to_owned(), folder.to_owned());
        let (lifecycle_lock, process, costs) = Default::default();
        let (has_operator_file, log_level) = (true, "info");
        Instance {
            number,
            address,
            manager,
            lifecycle_lock,
            has_operator_file,
            log_level,
            preload: None,
            was_paused: AtomicBool::new(false),
            listener,
            program,
            folder,
            process,
            costs,
        }
    }

    fn process(&self) -> Option<Arc<Process>> {
        self.process
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Costs and faults so far.
    pub fn costs(&self) -> MutexGuard<'_, ProcessCosts> {
        self.costs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a process is running.
    pub fn is_running(&self) -> bool {
        self.process().is_some()
    }

    /// Waits until the running process, if there is one, has written its first log line. Guards against a reload signal
    /// between exec and the process's first instruction, which no program can handle.
    pub async fn wait_for_first_log_line(&self) {
        let has_logged_nothing = |process: &Process| {
            std::fs::metadata(self.log()).is_ok_and(|log| log.len() <= process.log_start)
        };
        while self
            .process()
            .is_some_and(|process| has_logged_nothing(&process))
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Path of the configuration file.
    pub fn configuration(&self) -> PathBuf {
        self.folder.join(format!("node-{}.json", self.number))
    }

    /// Records a fault of the instance.
    fn fault(&self, line: impl Into<String>) {
        self.costs()
            .faults
            .push(format!("instance {}: {}", self.number, line.into()));
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("node-{}.log", self.number))
    }

    /// The last lines of the log joined into one line; they usually contain the reason why a process ended.
    fn log_tail(&self) -> String {
        let text =
            std::fs::read(self.log()).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    /// Starts a process and waits until it is ready; records a fault if it is not ready within `ready_timeout`.
    ///
    /// # Errors
    /// The process could not be started.
    pub async fn start(self: &Arc<Self>, ready_timeout: Duration) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())?;
        let log_start = log.metadata()?.len();
        let mut command = Command::new(&self.program);
        command.arg("run").env("LB_LOG", self.log_level);
        if self.has_operator_file {
            command
                .arg("--operator")
                .arg(self.folder.join("operator.toml"));
        }
        if let Some((library, failing_calls)) = &self.preload {
            let seed = (self.number as u64 + 1) * (self.costs().processes + 1);
            command
                .env("LD_PRELOAD", library)
                .env("FAILING_CALLS", failing_calls)
                .env("FAILING_SEED", seed.to_string())
                // The wake-up of a signal handler is a `send` on a Unix socket.
                .env("FAILING_UNIX", "1");
        }
        for key in [
            "LB_NAME",
            "LB_LISTEN",
            "LB_DISCOVERY",
            "LISTEN_FDS",
            "LISTEN_PID",
            "LISTEN_FDNAMES",
        ] {
            command.env_remove(key);
        }
        command
            .env("LB_CONFIG", self.configuration())
            .env("NOTIFY_SOCKET", &self.manager.address);
        command.env("WATCHDOG_USEC", "4000000");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(listener) = &self.listener {
            let parent_fd = OwnedFd::from(listener.try_clone()?);
            command.fd_mappings(vec![FdMapping {
                parent_fd,
                child_fd: 3,
            }])?;
            command
                .env("LISTEN_FDS", "1")
                .env("LISTEN_FDNAMES", "clients");
        }
        self.manager.reset_readiness();
        let started = Instant::now();
        let mut command = tokio::process::Command::from(command);
        // Guards against instances that outlive a harness that was stopped.
        command.kill_on_drop(true);
        let child = command.spawn().context("starting an instance's process")?;
        let pid = child
            .id()
            .and_then(|pid| i32::try_from(pid).ok())
            .context("the process has already ended")?;
        let child = tokio::sync::Mutex::new(child);
        let process = Arc::new(Process {
            pid: Pid::from_raw(pid),
            child,
            stop_ordered: Mutex::new(false),
            log_start,
        });
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&process));
        {
            let mut costs = self.costs();
            costs.processes += 1;
            costs.cpu_ended += costs.cpu_running;
            costs.cpu_running = 0.0;
        }
        tokio::spawn(Arc::clone(self).watch(Arc::clone(&process)));
        match timeout(ready_timeout, self.wait_until_ready()).await {
            Ok(at) => {
                let memory = memory_bytes(process.id()).unwrap_or(0);
                let mut costs = self.costs();
                costs.ready.push(at.saturating_duration_since(started));
                if costs.memory_idle == 0 {
                    costs.memory_idle = memory;
                }
            }
            Err(_)
                if *process
                    .stop_ordered
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) => {}
            Err(_) => {
                let status = self.manager.notifications().status;
                self.fault(format!(
                    "not ready within {ready_timeout:?}; last reported status: {status}; end of its log: {}",
                    self.log_tail()
                ));
            }
        }
        Ok(())
    }

    /// Returns when the process is first ready: as it reports to its service manager, or by polling `/-/ready` if it
    /// has none.
    async fn wait_until_ready(&self) -> Instant {
        if self.has_operator_file {
            return self.manager.wait_until_ready().await;
        }
        while !self.readiness_probe_succeeds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Instant::now()
    }

    /// Whether the instance answers `/-/ready` with status 200.
    async fn readiness_probe_succeeds(&self) -> bool {
        let Ok(mut stream) = tokio::net::TcpStream::connect(self.address).await else {
            return false;
        };
        let request = b"GET /-/ready HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let written = stream.write_all(request).await.is_ok();
        written
            && stream.read_to_string(&mut answer).await.is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Log lines about violated invariants. A process that was paused on purpose may answer late.
    pub fn violations(&self) -> Vec<String> {
        let text =
            std::fs::read(self.log()).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let was_paused = self.was_paused.load(Ordering::Relaxed);
        let is_excused = |line: &&str| was_paused && line.contains("answered_in_time");
        let violated = text
            .lines()
            .filter(|line| line.contains("an invariant does not hold"));
        violated
            .filter(|line| !is_excused(line))
            .map(|line| format!("instance {}: {line}", self.number))
            .collect()
    }

    /// Watches a process until it ends. An end that was not ordered and a failure status are faults.
    async fn watch(self: Arc<Self>, process: Arc<Process>) {
        let status = loop {
            {
                let mut costs = self.costs();
                if let Some(spent) = cpu_seconds(process.id()) {
                    costs.cpu_running = costs.cpu_running.max(spent);
                }
                costs.memory_peak = costs
                    .memory_peak
                    .max(memory_bytes(process.id()).unwrap_or(0));
            }
            let mut child = process.child.lock().await;
            match timeout(Duration::from_millis(500), child.wait()).await {
                Ok(status) => break status.ok(),
                Err(_) => drop(child),
            }
        };
        {
            let mut current = self.process.lock().unwrap_or_else(PoisonError::into_inner);
            if current
                .as_ref()
                .is_some_and(|current| Arc::ptr_eq(current, &process))
            {
                *current = None;
            }
        }
        let stop_ordered = *process
            .stop_ordered
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match status {
            _ if !stop_ordered => {
                self.fault(format!(
                    "ended unexpectedly: {status:?}; end of its log: {}",
                    self.log_tail()
                ));
            }
            Some(status) if !status.success() && !was_killed(status) => self.fault(format!(
                "ended with a failure: {status}; end of its log: {}",
                self.log_tail()
            )),
            _ => {}
        }
    }

    /// Sends a signal to the running process. Returns false if none is running.
    pub fn signal(&self, signal: Signal) -> bool {
        let Some(process) = self.process() else {
            return false;
        };
        if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
            *process
                .stop_ordered
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = true;
        }
        kill(process.pid, signal).is_ok()
    }

    /// Sends SIGTERM to the running process and waits until it has ended. After `STOP_TIMEOUT`, records a fault and
    /// sends SIGKILL.
    pub async fn stop(&self) {
        let Some(process) = self.process() else {
            return;
        };
        self.signal(Signal::SIGTERM);
        if timeout(STOP_TIMEOUT, wait_until_ended(&process))
            .await
            .is_err()
        {
            self.fault(format!(
                "did not end within {STOP_TIMEOUT:?} after SIGTERM; sending SIGKILL"
            ));
            self.signal(Signal::SIGKILL);
        }
    }

    /// Sends SIGTERM to the running process, then the further signals at their times, and SIGKILL after
    /// `killed_after`.
    pub async fn terminate(&self, killed_after: Duration, signals: &[TimedSignal]) {
        let Some(process) = self.process() else {
            return;
        };
        let started = Instant::now();
        let ends = wait_until_ended(&process);
        tokio::pin!(ends);
        self.signal(Signal::SIGTERM);
        for timed in signals {
            let wait = timed.at.saturating_sub(started.elapsed());
            if timeout(wait, &mut ends).await.is_ok() {
                return;
            }
            self.signal(timed.signal);
        }
        if timeout(killed_after.saturating_sub(started.elapsed()), &mut ends)
            .await
            .is_err()
        {
            self.signal(Signal::SIGKILL);
            ends.await;
        }
    }
}

/// Returns once a process has ended.
async fn wait_until_ended(process: &Process) {
    loop {
        let mut child = process.child.lock().await;
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        drop(child);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn was_killed(status: ExitStatus) -> bool {
    use std::os::unix::process::ExitStatusExt;
    status.signal() == Some(Signal::SIGKILL as i32)
}
