//! The processes of hollow nodes, which run the subcommand `hollow` of this program.

use anyhow::{Context, Result};
use saffronpaddle_hollow::figures::Snapshot;
use saffronpaddle_hollow::Spec;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A process of hollow nodes, with the pipes over which it is controlled.
struct HollowProcess {
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// State of the process before it had started any node.
    baseline: Snapshot,
}

/// All processes of hollow nodes. They are killed when this value is dropped or their time limit is reached.
pub struct HollowProcesses {
    processes: Vec<HollowProcess>,
    children: Arc<Mutex<Vec<Child>>>,
    /// Dropping it ends the thread that waits for the time limit.
    _cancel_timeout: Sender<()>,
}

fn kill_all(children: &Mutex<Vec<Child>>) {
    for mut child in children
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .drain(..)
    {
        // Fails if the process has already ended.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for HollowProcesses {
    fn drop(&mut self) {
        kill_all(&self.children);
    }
}

impl HollowProcesses {
    /// Starts a process for each configuration. All are killed after `time_limit`.
    pub fn start(specs: &[Spec], time_limit: Duration) -> Result<HollowProcesses> {
        let children = Arc::new(Mutex::new(Vec::new()));
        let (cancel_timeout, canceled) = channel::<()>();
        let timed_out = Arc::clone(&children);
        std::thread::spawn(move || {
            if canceled.recv_timeout(time_limit) == Err(RecvTimeoutError::Timeout) {
                kill_all(&timed_out);
            }
        });
        let mut all = HollowProcesses {
            processes: Vec::new(),
            children,
            _cancel_timeout: cancel_timeout,
        };
        for spec in specs {
            let mut command = Command::new(std::env::current_exe()?);
            command
                .arg("hollow")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped());
            let mut child = command
                .spawn()
                .context("starting a process of hollow nodes")?;
            let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
            all.children
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(child);
            let (mut stdin, stdout) = (
                stdin.context("a process of hollow nodes has no standard input")?,
                stdout.context("a process of hollow nodes has no standard output")?,
            );
            writeln!(stdin, "{}", serde_json::to_string(spec)?)?;
            let mut stdout = BufReader::new(stdout);
            let baseline = read_answer(&mut stdout)?;
            all.processes.push(HollowProcess {
                stdin,
                stdout,
                baseline,
            });
        }
        Ok(all)
    }

    /// Sends a command to all processes and waits for their answers.
    pub fn request<T: DeserializeOwned>(&mut self, command: &str) -> Result<Vec<T>> {
        for process in &mut self.processes {
            writeln!(process.stdin, "{command}")
                .context("a process of hollow nodes has ended or reached its time limit")?;
        }
        self.processes
            .iter_mut()
            .map(|process| read_answer(&mut process.stdout))
            .collect()
    }

    /// The states of the processes before they had started any node.
    pub fn baselines(&self) -> Vec<Snapshot> {
        self.processes
            .iter()
            .map(|process| process.baseline.clone())
            .collect()
    }
}

fn read_answer<T: DeserializeOwned>(stdout: &mut BufReader<ChildStdout>) -> Result<T> {
    let mut line = String::new();
    stdout.read_line(&mut line)?;
    anyhow::ensure!(
        !line.is_empty(),
        "a process of hollow nodes has ended or reached its time limit"
    );
    serde_json::from_str(&line).context("decoding the answer of a process of hollow nodes")
}
