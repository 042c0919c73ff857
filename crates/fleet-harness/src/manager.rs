//! A test double of the service manager (`sd_notify(3)`): one notify socket per instance, and the messages received on
//! it.

use std::io;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram as StdDatagram};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::net::UnixDatagram;
use tokio::sync::watch;

/// The messages that the processes of an instance have sent.
#[derive(Clone, Debug, Default)]
pub struct Notifications {
    /// Number of `READY=1` messages.
    pub readies: u64,
    /// Number of `RELOADING=1` messages.
    pub reloads: u64,
    /// Number of `STOPPING=1` messages.
    pub stops: u64,
    /// Number of `WATCHDOG=1` messages.
    pub watchdog_pings: u64,
    /// Text of the last `STATUS=` message.
    pub status: String,
    /// When the instance first reported that it is ready since [`ServiceManager::reset_readiness`].
    pub ready: Option<Instant>,
}

/// The service manager of one instance.
#[derive(Debug)]
pub struct ServiceManager {
    /// Value for `NOTIFY_SOCKET`.
    pub address: String,
    notifications: Mutex<Notifications>,
    /// Number of received datagrams; wakes [`ServiceManager::wait_until_ready`].
    changed: watch::Sender<u64>,
}

impl ServiceManager {
    /// Listens on an abstract socket with this name.
    ///
    /// # Errors
    /// The name is in use.
    pub fn start(name: &str) -> io::Result<Arc<ServiceManager>> {
        let socket = StdDatagram::bind_addr(&SocketAddr::from_abstract_name(name)?)?;
        socket.set_nonblocking(true)?;
        let socket = UnixDatagram::from_std(socket)?;
        let (changed, _) = watch::channel(0);
        let manager = Arc::new(ServiceManager {
            address: format!("@{name}"),
            notifications: Mutex::default(),
            changed,
        });
        let listener = Arc::clone(&manager);
        tokio::spawn(async move {
            let mut buffer = [0; 4096];
            while let Ok(length) = socket.recv(&mut buffer).await {
                listener.record(&String::from_utf8_lossy(&buffer[..length]));
            }
        });
        Ok(manager)
    }

    /// Records the lines of a datagram.
    fn record(&self, text: &str) {
        {
            let mut notifications = self
                .notifications
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            for line in text.lines() {
                match line.split_once('=') {
                    Some(("READY", "1")) => {
                        notifications.readies += 1;
                        notifications.ready.get_or_insert_with(Instant::now);
                    }
                    Some(("RELOADING", "1")) => notifications.reloads += 1,
                    Some(("STOPPING", "1")) => notifications.stops += 1,
                    Some(("WATCHDOG", "1")) => notifications.watchdog_pings += 1,
                    Some(("STATUS", status)) => status.clone_into(&mut notifications.status),
                    _ => {}
                }
            }
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// A copy of what the instance has reported so far.
    pub fn notifications(&self) -> Notifications {
        self.notifications
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Clears the time of readiness before a new process starts.
    pub fn reset_readiness(&self) {
        self.notifications
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .ready = None;
    }

    /// Waits until the process has reported that it is ready, and returns when it did.
    pub async fn wait_until_ready(&self) -> Instant {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(ready) = self.notifications().ready {
                return ready;
            }
            // The sender is a field of `self`, so the channel is open.
            let _ = changed.changed().await;
        }
    }
}
