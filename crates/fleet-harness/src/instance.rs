//! One instance: a real process of the program, its listener, its manager and what it has cost.

use crate::manager::Manager;
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

/// An instance that was told to stop must have ended by then: its bound is 3.6 s.
const END_WITHIN: Duration = Duration::from_secs(15);

/// Lines of an instance's log that a fault shows.
const LAST_LINES: usize = 4;

/// What an instance's processes have cost and how they went.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Spans from exec to ready.
    pub ready: Vec<Duration>,
    /// Bytes of memory when it was first ready, and the most that was seen.
    pub memory_idle: u64,
    /// See there.
    pub memory_most: u64,
    /// CPU seconds of processes that have ended, and of the one that runs.
    pub cpu_before: f64,
    /// See there.
    pub cpu_now: f64,
    /// Processes that were started.
    pub processes: u64,
    /// What went wrong, each in a line.
    pub faults: Vec<String>,
}

/// One instance.
pub struct Instance {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// What it tells its manager.
    pub manager: Arc<Manager>,
    /// Held by who starts or ends its processes: one deed at a time.
    pub turn: tokio::sync::Mutex<()>,
    /// Whether it has an operator file, and a service manager that it tells how it goes.
    pub operated: bool,
    /// What it tells its log.
    pub log_level: &'static str,
    /// A library that is loaded into its processes and makes system calls fail, and by which plan.
    pub preload: Option<(PathBuf, String)>,
    /// Whether a process of it was made to stand still, for longer than one may be held up.
    pub stood_still: AtomicBool,
    listener: Option<TcpListener>,
    program: PathBuf,
    folder: PathBuf,
    process: Mutex<Option<Arc<Process>>>,
    cost: Mutex<Cost>,
}

/// A process of an instance.
struct Process {
    pid: Pid,
    child: tokio::sync::Mutex<Child>,
    /// Whether it was told to end.
    told: Mutex<bool>,
    /// How long the instance's log was when it began.
    log_from: u64,
}

impl Process {
    fn number(&self) -> u32 {
        self.pid.as_raw().unsigned_abs()
    }
}

impl Instance {
    /// An instance that does not run yet. `listener` is kept here and handed over, or its address is bound by the
    /// instance itself.
    pub fn new(
        number: usize,
        address: SocketAddr,
        listener: Option<TcpListener>,
        manager: Arc<Manager>,
        program: &Path,
        folder: &Path,
    ) -> Instance {
        let (program, folder) = (program.to_owned(), folder.to_owned());
        let (turn, process, cost) = Default::default();
        let (operated, log_level) = (true, "info");
        Instance {
            number,
            address,
            manager,
            turn,
            operated,
            log_level,
            preload: None,
            stood_still: AtomicBool::new(false),
            listener,
            program,
            folder,
            process,
            cost,
        }
    }

    fn process(&self) -> Option<Arc<Process>> {
        self.process
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// What it has cost.
    pub fn cost(&self) -> MutexGuard<'_, Cost> {
        self.cost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a process of it runs.
    pub fn runs(&self) -> bool {
        self.process().is_some()
    }

    /// Waits until the process that runs has said a first word, if one does. Danger: a reload between its exec and its first
    /// instruction, of which no program knows.
    pub async fn speaks(&self) {
        let silent = |process: &Process| {
            std::fs::metadata(self.log()).is_ok_and(|log| log.len() <= process.log_from)
        };
        while self.process().is_some_and(|process| silent(&process)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Where its configuration stands.
    pub fn configuration(&self) -> PathBuf {
        self.folder.join(format!("node-{}.json", self.number))
    }

    fn fault(&self, line: impl Into<String>) {
        self.cost()
            .faults
            .push(format!("instance {}: {}", self.number, line.into()));
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("node-{}.log", self.number))
    }

    /// The last lines of its log, in one: why it ended stands there.
    fn last_words(&self) -> String {
        let text =
            std::fs::read(self.log()).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(LAST_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    /// Starts a process and waits until it is ready; a fault where it is not in time.
    ///
    /// # Errors
    /// It could not be started at all.
    pub async fn start(self: &Arc<Self>, ready_within: Duration) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())?;
        let log_from = log.metadata()?.len();
        let mut command = Command::new(&self.program);
        command.arg("run").env("LB_LOG", self.log_level);
        if self.operated {
            command
                .arg("--operator")
                .arg(self.folder.join("operator.toml"));
        }
        if let Some((library, plan)) = &self.preload {
            let seed = (self.number as u64 + 1) * (self.cost().processes + 1);
            command
                .env("LD_PRELOAD", library)
                .env("FAILING_CALLS", plan);
            command.env("FAILING_SEED", seed.to_string());
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
        self.manager.forget();
        let begun = Instant::now();
        let mut command = tokio::process::Command::from(command);
        // Danger: instances that outlive a rig that was ended.
        command.kill_on_drop(true);
        let child = command.spawn().context("an instance is started")?;
        let pid = child
            .id()
            .and_then(|pid| i32::try_from(pid).ok())
            .context("it has ended already")?;
        let child = tokio::sync::Mutex::new(child);
        let process = Arc::new(Process {
            pid: Pid::from_raw(pid),
            child,
            told: Mutex::new(false),
            log_from,
        });
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&process));
        {
            let mut cost = self.cost();
            cost.processes += 1;
            cost.cpu_before += cost.cpu_now;
            cost.cpu_now = 0.0;
        }
        tokio::spawn(Arc::clone(self).watch(Arc::clone(&process)));
        match timeout(ready_within, self.ready()).await {
            Ok(at) => {
                let memory = memory_bytes(process.number()).unwrap_or(0);
                let mut cost = self.cost();
                cost.ready.push(at.saturating_duration_since(begun));
                if cost.memory_idle == 0 {
                    cost.memory_idle = memory;
                }
            }
            Err(_) if *process.told.lock().unwrap_or_else(PoisonError::into_inner) => {}
            Err(_) => {
                let status = self.manager.heard().status;
                self.fault(format!(
                    "not ready in time: {status}; its log ends: {}",
                    self.last_words()
                ));
            }
        }
        Ok(())
    }

    /// When it was first ready: it says so, or is asked where it has nobody to tell.
    async fn ready(&self) -> Instant {
        if self.operated {
            return self.manager.ready().await;
        }
        while !self.answers_ready().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Instant::now()
    }

    async fn answers_ready(&self) -> bool {
        let Ok(mut stream) = tokio::net::TcpStream::connect(self.address).await else {
            return false;
        };
        let asked = b"GET /-/ready HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let written = stream.write_all(asked).await.is_ok();
        written
            && stream.read_to_string(&mut answer).await.is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Lines of its log that tell of an invariant that did not hold. One that stood still by order answers late.
    pub fn violations(&self) -> Vec<String> {
        let text =
            std::fs::read(self.log()).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let text = text.unwrap_or_default();
        let stood_still = self.stood_still.load(Ordering::Relaxed);
        let excused = |line: &&str| stood_still && line.contains("answered_in_time");
        let violated = text
            .lines()
            .filter(|line| line.contains("an invariant does not hold"));
        violated
            .filter(|line| !excused(line))
            .map(|line| format!("instance {}: {line}", self.number))
            .collect()
    }

    /// Watches a process to its end: an end that nobody ordered is a fault, and so is a bad one.
    async fn watch(self: Arc<Self>, process: Arc<Process>) {
        let status = loop {
            {
                let mut cost = self.cost();
                if let Some(spent) = cpu_seconds(process.number()) {
                    cost.cpu_now = cost.cpu_now.max(spent);
                }
                cost.memory_most = cost
                    .memory_most
                    .max(memory_bytes(process.number()).unwrap_or(0));
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
        let told = *process.told.lock().unwrap_or_else(PoisonError::into_inner);
        match status {
            _ if !told => {
                self.fault(format!(
                    "ended by itself: {status:?}; its log ends: {}",
                    self.last_words()
                ));
            }
            Some(status) if !status.success() && !killed(status) => self.fault(format!(
                "ended badly: {status}; its log ends: {}",
                self.last_words()
            )),
            _ => {}
        }
    }

    /// Sends a signal to the process that runs, if one does.
    pub fn signal(&self, signal: Signal) -> bool {
        let Some(process) = self.process() else {
            return false;
        };
        if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
            *process.told.lock().unwrap_or_else(PoisonError::into_inner) = true;
        }
        kill(process.pid, signal).is_ok()
    }

    /// Tells the process that runs to stop, and waits until it has ended; a fault where that takes too long.
    pub async fn stop(&self) {
        let Some(process) = self.process() else {
            return;
        };
        self.signal(Signal::SIGTERM);
        if timeout(END_WITHIN, ended(&process)).await.is_err() {
            self.fault("told to stop and did not end");
            self.signal(Signal::SIGKILL);
        }
    }

    /// Tells the process that runs to stop, and kills it when its time is up. It may be held up once meanwhile.
    pub async fn terminate(
        &self,
        killed_after: Duration,
        held_up_at: Option<Duration>,
        hold_up: Duration,
    ) {
        let Some(process) = self.process() else {
            return;
        };
        let begun = Instant::now();
        let ends = ended(&process);
        tokio::pin!(ends);
        self.signal(Signal::SIGTERM);
        if let Some(at) = held_up_at {
            if timeout(at, &mut ends).await.is_ok() {
                return;
            }
            self.signal(Signal::SIGSTOP);
            tokio::time::sleep(hold_up).await;
            self.signal(Signal::SIGCONT);
        }
        if timeout(killed_after.saturating_sub(begun.elapsed()), &mut ends)
            .await
            .is_err()
        {
            self.signal(Signal::SIGKILL);
            ends.await;
        }
    }
}

/// Comes back once a process has ended.
async fn ended(process: &Process) {
    loop {
        let mut child = process.child.lock().await;
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        drop(child);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn killed(status: ExitStatus) -> bool {
    use std::os::unix::process::ExitStatusExt;
    status.signal() == Some(Signal::SIGKILL as i32)
}
