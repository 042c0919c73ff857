//! A stand-in for the service manager, from `sd_notify(3)`: one notify socket an instance, and what it heard there.

use std::io;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram as StdDatagram};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::net::UnixDatagram;
use tokio::sync::watch;

/// What an instance has said.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// `READY=1`, how often.
    pub readies: u64,
    /// `RELOADING=1`, how often.
    pub reloads: u64,
    /// `STOPPING=1`, how often.
    pub stops: u64,
    /// `WATCHDOG=1`, how often.
    pub feeds: u64,
    /// The last `STATUS=`.
    pub status: String,
    /// When it was first ready since [`Manager::forget`].
    pub ready: Option<Instant>,
}

/// The manager's side of one instance.
#[derive(Debug)]
pub struct Manager {
    /// What `NOTIFY_SOCKET` is to say.
    pub address: String,
    heard: Mutex<Heard>,
    changed: watch::Sender<u64>,
}

impl Manager {
    /// Listens at an abstract socket of this name.
    ///
    /// # Errors
    /// The name is taken.
    pub fn start(name: &str) -> io::Result<Arc<Manager>> {
        let socket = StdDatagram::bind_addr(&SocketAddr::from_abstract_name(name)?)?;
        socket.set_nonblocking(true)?;
        let socket = UnixDatagram::from_std(socket)?;
        let (changed, _) = watch::channel(0);
        let manager = Arc::new(Manager {
            address: format!("@{name}"),
            heard: Mutex::default(),
            changed,
        });
        let listener = Arc::clone(&manager);
        tokio::spawn(async move {
            let mut buffer = [0; 4096];
            while let Ok(length) = socket.recv(&mut buffer).await {
                listener.hear(&String::from_utf8_lossy(&buffer[..length]));
            }
        });
        Ok(manager)
    }

    fn hear(&self, text: &str) {
        {
            let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
            for line in text.lines() {
                match line.split_once('=') {
                    Some(("READY", "1")) => {
                        heard.readies += 1;
                        heard.ready.get_or_insert_with(Instant::now);
                    }
                    Some(("RELOADING", "1")) => heard.reloads += 1,
                    Some(("STOPPING", "1")) => heard.stops += 1,
                    Some(("WATCHDOG", "1")) => heard.feeds += 1,
                    Some(("STATUS", status)) => status.clone_into(&mut heard.status),
                    _ => {}
                }
            }
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// What was heard so far.
    pub fn heard(&self) -> Heard {
        self.heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// A new process starts: readiness is awaited anew.
    pub fn forget(&self) {
        self.heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .ready = None;
    }

    /// Comes back once the process has said that it is ready.
    pub async fn ready(&self) -> Instant {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(ready) = self.heard().ready {
                return ready;
            }
            // The sender lives as long as this does.
            let _ = changed.changed().await;
        }
    }
}
