//! Faults on the links of a run: one table of faults for datagrams and connections, and the relays through which
//! connections pass.
//!
//! A link leads from one [`End`] to another; each direction is a separate link. The fault of a link combines all
//! rules that name it. Datagrams pass through [`crate::peers`]. A connection passes through a [`Relay`] where a rule
//! of the run may affect it, and is made directly elsewhere.

use crate::attempts::RelayedConnection;
use crate::{lock, World};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay of a read whose segment counts as lost: the minimum retransmission time-out of Linux.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// How long a relay waits for its connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the accept queue while connections are allowed.
const BACKLOG: i32 = 1024;
/// Most connections of the relay itself that fill the accept queue to keep others out.
const MAX_FILLER_CONNECTIONS: usize = 64;
/// A filler connection that takes longer than this to be established means that the queue is full.
const FILLER_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Most bytes that are copied at a time.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// An edge node, by its number.
    Node(usize),
    /// An app server, by its number.
    Server(usize),
    /// The discovery service.
    List,
    /// The counter service.
    Counter,
    /// The clients of all nodes.
    Clients,
}

/// What happens to traffic in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Share of datagrams that is lost; for a connection, the share of reads that is delayed as by a retransmission.
    pub loss: f64,
    /// Share of datagrams that is delivered twice.
    pub duplicated: f64,
    /// Shortest and longest delay, drawn for each datagram, so that datagrams may be reordered.
    pub delay: (Duration, Duration),
    /// Connections are accepted, but no data moves on them and none closes; datagrams are lost.
    pub stalled: bool,
    /// Connections are reset; datagrams are lost.
    pub reset: bool,
    /// New connections are never established; existing ones go on, and datagrams are lost.
    pub drops_connects: bool,
}

impl Fault {
    /// The fault of a link to which both faults apply.
    fn combine(self, other: Fault) -> Fault {
        let combined_share = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Fault {
            loss: combined_share(self.loss, other.loss),
            duplicated: combined_share(self.duplicated, other.duplicated),
            delay: (self.delay.0 + other.delay.0, self.delay.1 + other.delay.1),
            stalled: self.stalled || other.stalled,
            reset: self.reset || other.reset,
            drops_connects: self.drops_connects || other.drops_connects,
        }
    }

    /// Draws whether a datagram is lost.
    pub fn drops_datagram(&self) -> bool {
        self.stalled || self.reset || self.drops_connects || fastrand::f64() < self.loss
    }

    /// Draws the delay of one datagram or read.
    pub fn draw_delay(&self) -> Duration {
        let (shortest, longest) = self.delay;
        shortest + longest.saturating_sub(shortest).mul_f64(fastrand::f64())
    }
}

/// The links that a fault applies to.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkSet {
    /// From any end of the first set to any end of the second.
    OneWay(BTreeSet<End>, BTreeSet<End>),
    /// Between the ends of both sets, in both directions.
    BothWays(BTreeSet<End>, BTreeSet<End>),
    /// Between any two ends that are in different sides and share none. Sides may overlap, so that one end can reach
    /// two others that cannot reach each other.
    Partition(Vec<BTreeSet<End>>),
}

impl LinkSet {
    /// Whether the link from one end to the other is in the set.
    pub fn contains(&self, from: End, to: End) -> bool {
        match self {
            LinkSet::OneWay(first, second) => {
                from != to && first.contains(&from) && second.contains(&to)
            }
            LinkSet::BothWays(first, second) => {
                let connects = |from, to| first.contains(from) && second.contains(to);
                from != to && (connects(&from, &to) || connects(&to, &from))
            }
            LinkSet::Partition(sides) => {
                let on_any_side = |end| sides.iter().any(|side| side.contains(&end));
                on_any_side(from)
                    && on_any_side(to)
                    && !sides
                        .iter()
                        .any(|side| side.contains(&from) && side.contains(&to))
            }
        }
    }
}

impl LinkSet {
    /// The same set without the links of these ends, which have recovered already.
    #[must_use]
    pub fn without(&self, healed: &BTreeSet<End>) -> LinkSet {
        let rest = |ends: &BTreeSet<End>| ends.difference(healed).copied().collect();
        match self {
            LinkSet::OneWay(first, second) => LinkSet::OneWay(rest(first), rest(second)),
            LinkSet::BothWays(first, second) => LinkSet::BothWays(rest(first), rest(second)),
            LinkSet::Partition(sides) => LinkSet::Partition(sides.iter().map(rest).collect()),
        }
    }

    /// The ends of all links in the set.
    pub fn ends(&self) -> BTreeSet<End> {
        match self {
            LinkSet::OneWay(first, second) | LinkSet::BothWays(first, second) => {
                first.union(second).copied().collect()
            }
            LinkSet::Partition(sides) => sides.iter().flatten().copied().collect(),
        }
    }
}

/// The faults of a run that apply now.
#[derive(Debug)]
pub struct Links {
    rules: Mutex<BTreeMap<u64, (LinkSet, Fault)>>,
    /// Number of the next fault.
    next: AtomicU64,
    /// Counts the changes, so that relays check the faults again.
    changed: watch::Sender<u64>,
}

impl Default for Links {
    fn default() -> Links {
        let (rules, next) = Default::default();
        Links {
            rules,
            next,
            changed: watch::channel(0).0,
        }
    }
}

impl Links {
    /// Adds a fault to links. Returns the number with which it is removed.
    pub fn add_fault(&self, link_set: LinkSet, fault: Fault) -> u64 {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.rules).insert(number, (link_set, fault));
        self.changed.send_modify(|count| *count += 1);
        number
    }

    /// Removes a fault by its number.
    pub fn remove_fault(&self, number: u64) {
        lock(&self.rules).remove(&number);
        self.changed.send_modify(|count| *count += 1);
    }

    /// The combined fault of the link from one end to the other.
    pub fn fault_between(&self, from: End, to: End) -> Fault {
        let rules = lock(&self.rules);
        let matching = rules
            .values()
            .filter(|(link_set, _)| link_set.contains(from, to));
        matching.fold(Fault::default(), |all, (_, fault)| all.combine(*fault))
    }
}

/// Relays connections from one end, or several that all rules treat alike, to another.
#[derive(Clone, Debug)]
pub struct Relay {
    links: Arc<Links>,
    near: End,
    far: End,
    target: SocketAddr,
    /// The run whose attempts pass through the relay; `None` if it does not lead to an app server.
    world: Option<Arc<World>>,
}

/// How a relayed connection ended.
enum RelayEnd {
    /// One side was closed in order.
    Closed,
    /// Both sides are to be reset.
    Reset,
}

impl Relay {
    /// Starts to relay connections to an address for the rest of the run. `near` represents all ends that connect
    /// there.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(
        links: &Arc<Links>,
        ends: (End, End),
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<()> {
        Relay::start_observed(None, links, ends, listen, target).await
    }

    /// Starts a relay to an app server. It records the attempts that it reads, so that the run can tell whether a node
    /// has two of one request open at once.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start_to_server(
        world: &Arc<World>,
        links: &Arc<Links>,
        ends: (End, End),
        listen: SocketAddr,
        server: SocketAddr,
    ) -> std::io::Result<()> {
        Relay::start_observed(Some(Arc::clone(world)), links, ends, listen, server).await
    }

    async fn start_observed(
        world: Option<Arc<World>>,
        links: &Arc<Links>,
        (near, far): (End, End),
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let relay = Relay {
            links: Arc::clone(links),
            near,
            far,
            target,
            world,
        };
        tokio::spawn(async move {
            let mut changed = relay.links.changed.subscribe();
            loop {
                changed.borrow_and_update();
                if relay
                    .links
                    .fault_between(relay.near, relay.far)
                    .drops_connects
                {
                    relay.block_connects(&listener, listen).await;
                    continue;
                }
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        tokio::spawn(relay.clone().relay_connection(stream));
                    },
                    // The sender is not dropped before the links are.
                    _ = changed.changed() => {}
                }
            }
        });
        Ok(())
    }

    /// Lets no connection be established until the fault is removed. It keeps the accept queue full, so that the
    /// kernel drops the SYN packets of further connections.
    async fn block_connects(&self, listener: &TcpListener, at: SocketAddr) {
        let queue = |length| socket2::SockRef::from(listener).listen(length);
        // If the kernel does not shorten the queue, connections are established and stall; no run depends on more.
        let _ = queue(0);
        let mut fillers = Vec::new();
        // The kernel admits one more than the length (`listen(2)`), and connections that wait already take up the
        // queue, too.
        while fillers.len() < MAX_FILLER_CONNECTIONS {
            let connected =
                tokio::time::timeout(FILLER_CONNECT_TIMEOUT, TcpStream::connect(at)).await;
            let Ok(Ok(stream)) = connected else { break };
            fillers.push(stream);
        }
        self.wait_for_fault(self.near, self.far, |fault| !fault.drops_connects)
            .await;
        let _ = queue(BACKLOG);
        let fillers: BTreeSet<SocketAddr> = fillers
            .iter()
            .filter_map(|stream| stream.local_addr().ok())
            .collect();
        for _ in 0..fillers.len() {
            match listener.accept().await {
                Ok((_, from)) if fillers.contains(&from) => {}
                Ok((stream, _)) => _ = tokio::spawn(self.clone().relay_connection(stream)),
                Err(_) => break,
            }
        }
    }

    /// Relays one connection until it ends.
    async fn relay_connection(self, near: TcpStream) {
        if self.wait_until_passable(self.near, self.far).await.is_err() {
            // Best effort: without it the connection is closed instead of reset.
            let _ = near.set_zero_linger();
            return;
        }
        let far = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.target)).await;
        let Ok(Ok(far)) = far else {
            let _ = near.set_zero_linger();
            return;
        };
        let (mut near, mut far) = (near, far);
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let observed = self.world.as_ref();
        let observed = observed.map(|world| RelayedConnection::new(world, &near, &far));
        let Ok(mut observed) = observed.transpose() else {
            return;
        };
        let ended = {
            let ((from_near, to_near), (from_far, to_far)) = (near.split(), far.split());
            let on_bytes = |bytes: &[u8]| {
                if let Some(observed) = &mut observed {
                    observed.on_bytes(bytes);
                }
            };
            let forward = self.copy_one_way((self.near, self.far), from_near, to_far, on_bytes);
            let back = self.copy_one_way((self.far, self.near), from_far, to_near, |_| ());
            tokio::pin!(forward, back);
            // A half-closed connection goes on in the other direction; a reset one ends in both.
            tokio::select! {
                ended = &mut forward => if matches!(ended, RelayEnd::Closed) { back.await } else { ended },
                ended = &mut back => if matches!(ended, RelayEnd::Closed) { forward.await } else { ended },
            }
        };
        if matches!(ended, RelayEnd::Reset) {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }

    /// Waits until the fault of a link meets a condition.
    async fn wait_for_fault(
        &self,
        from: End,
        to: End,
        condition: impl Fn(&Fault) -> bool,
    ) -> Fault {
        let mut changed = self.links.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let fault = self.links.fault_between(from, to);
            if condition(&fault) {
                return fault;
            }
            // The sender is not dropped before the links are.
            let _ = changed.changed().await;
        }
    }

    /// Waits until data may pass in one direction; an error where the link resets connections.
    async fn wait_until_passable(&self, from: End, to: End) -> Result<Fault, ()> {
        let fault = self
            .wait_for_fault(from, to, |fault| fault.reset || !fault.stalled)
            .await;
        if fault.reset {
            Err(())
        } else {
            Ok(fault)
        }
    }

    /// Copies data in one direction, with the faults of that link, until the connection ends. `on_bytes` is called with
    /// bytes before they are written.
    async fn copy_one_way(
        &self,
        (from, to): (End, End),
        mut read: ReadHalf<'_>,
        mut write: WriteHalf<'_>,
        mut on_bytes: impl FnMut(&[u8]),
    ) -> RelayEnd {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let length = tokio::select! {
                length = read.read(&mut buffer) => length,
                _ = self.wait_for_fault(from, to, |fault| fault.reset) => return RelayEnd::Reset,
            };
            let Ok(length) = length else {
                return RelayEnd::Reset;
            };
            on_bytes(&buffer[..length]);
            let Ok(fault) = self.wait_until_passable(from, to).await else {
                return RelayEnd::Reset;
            };
            let retransmission = if fastrand::f64() < fault.loss {
                RETRANSMIT_DELAY
            } else {
                Duration::ZERO
            };
            let delay = fault.draw_delay() + retransmission;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if length == 0 {
                // Passes the end of the stream on. If the other side is gone, the other direction notices.
                let _ = write.shutdown().await;
                return RelayEnd::Closed;
            }
            if write.write_all(&buffer[..length]).await.is_err() {
                return RelayEnd::Reset;
            }
        }
    }
}

#[cfg(test)]
mod tests;
