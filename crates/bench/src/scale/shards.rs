//! The processes of hollow nodes, as jobs of this program.

use anyhow::{Context, Result};
use saffronpaddle_hollow::figures::Look;
use saffronpaddle_hollow::Spec;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

struct Shard {
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// How it was before it had any node.
    bare: Look,
}

/// All of them. They end with this value, or when their time is over.
pub struct Shards {
    all: Vec<Shard>,
    children: Arc<Mutex<Vec<Child>>>,
    _over: Sender<()>,
}

fn end(children: &Mutex<Vec<Child>>) {
    for mut child in children
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .drain(..)
    {
        // It may have ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Shards {
    fn drop(&mut self) {
        end(&self.children);
    }
}

impl Shards {
    /// Starts them; after `within` they are ended, whatever they do.
    pub fn start(specs: &[Spec], within: Duration) -> Result<Shards> {
        let children = Arc::new(Mutex::new(Vec::new()));
        let (over, ended) = channel::<()>();
        let late = Arc::clone(&children);
        std::thread::spawn(move || {
            if ended.recv_timeout(within) == Err(RecvTimeoutError::Timeout) {
                end(&late);
            }
        });
        let mut shards = Shards {
            all: Vec::new(),
            children,
            _over: over,
        };
        for spec in specs {
            let mut command = Command::new(std::env::current_exe()?);
            command
                .arg("hollow")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped());
            let mut child = command.spawn().context("a process of hollow nodes")?;
            let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
            shards
                .children
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(child);
            let (mut stdin, stdout) = (stdin.context("its input")?, stdout.context("its output")?);
            writeln!(stdin, "{}", serde_json::to_string(spec)?)?;
            let mut stdout = BufReader::new(stdout);
            let bare = answer(&mut stdout)?;
            shards.all.push(Shard {
                stdin,
                stdout,
                bare,
            });
        }
        Ok(shards)
    }

    /// Tells all of them a word, and waits for their answers.
    pub fn ask<T: DeserializeOwned>(&mut self, word: &str) -> Result<Vec<T>> {
        for shard in &mut self.all {
            writeln!(shard.stdin, "{word}")
                .context("a process of hollow nodes is over, or its time was")?;
        }
        self.all
            .iter_mut()
            .map(|shard| answer(&mut shard.stdout))
            .collect()
    }

    /// How they were before they had any node.
    pub fn bare(&self) -> Vec<Look> {
        self.all.iter().map(|shard| shard.bare.clone()).collect()
    }
}

fn answer<T: DeserializeOwned>(stdout: &mut BufReader<ChildStdout>) -> Result<T> {
    let mut line = String::new();
    stdout.read_line(&mut line)?;
    anyhow::ensure!(
        !line.is_empty(),
        "a process of hollow nodes is over, or its time was"
    );
    serde_json::from_str(&line).context("what a process of hollow nodes said")
}
