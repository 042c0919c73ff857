//! The links of a run and what befalls them: one table of faults for datagrams and connections alike, and the relays
//! through which connections go.
//!
//! A link leads from one [`End`] to another, and each direction is a link of its own. What lies on it is the sum of all
//! rules that name it. Datagrams pass through [`crate::peers`]; a connection passes through a [`Relay`] where a rule of
//! the run may touch it, and goes straight elsewhere.

use crate::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a lost piece of a connection's bytes takes to be sent again: the machine's least time-out for that.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// How long a relay waits for the far side to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that may wait to be accepted, as a rule; own ones that keep others out, at the most, and how long one of these
/// may take to come up before the queue counts as full.
const BACKLOG: i32 = 1024;
const MAX_FILLER_CONNECTIONS: usize = 64;
const FILLER_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Bytes that move at once.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// An edge node, by its number.
    Node(usize),
    /// An app server, by its number.
    Server(usize),
    /// The list service.
    List,
    /// The counter.
    Counter,
    /// The clients' side of all nodes.
    Clients,
}

/// What befalls what passes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Share that is lost; of a connection's bytes, that has to be sent again.
    pub loss: f64,
    /// Share of datagrams that come twice.
    pub duplicated: f64,
    /// Shortest and longest way, drawn for each: what is sent later may overtake.
    pub delay: (Duration, Duration),
    /// Connections are taken and nothing moves on them, and nothing closes; datagrams are lost.
    pub stalled: bool,
    /// Connections are reset; datagrams are lost.
    pub reset: bool,
    /// New connections never come up; those that there are go on, and datagrams are lost.
    pub drops_connects: bool,
}

impl Fault {
    fn combine(self, other: Fault) -> Fault {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Fault {
            loss: either(self.loss, other.loss),
            duplicated: either(self.duplicated, other.duplicated),
            delay: (self.delay.0 + other.delay.0, self.delay.1 + other.delay.1),
            stalled: self.stalled || other.stalled,
            reset: self.reset || other.reset,
            drops_connects: self.drops_connects || other.drops_connects,
        }
    }

    /// Whether a datagram is lost now.
    pub fn drops_datagram(&self) -> bool {
        self.stalled || self.reset || self.drops_connects || fastrand::f64() < self.loss
    }

    /// How long the way is this time.
    pub fn draw_delay(&self) -> Duration {
        let (shortest, longest) = self.delay;
        shortest + longest.saturating_sub(shortest).mul_f64(fastrand::f64())
    }
}

/// Which links a fault lies on.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkSet {
    /// From any of these to any of those.
    OneWay(BTreeSet<End>, BTreeSet<End>),
    /// Between these and those, both ways.
    BothWays(BTreeSet<End>, BTreeSet<End>),
    /// Between any two of these sides' ends that no side has both of: sides may overlap, so that one end hears two that
    /// do not hear each other.
    Partition(Vec<BTreeSet<End>>),
}

impl LinkSet {
    /// Whether the link from one end to the other is meant.
    pub fn contains(&self, from: End, to: End) -> bool {
        match self {
            LinkSet::OneWay(these, those) => {
                from != to && these.contains(&from) && those.contains(&to)
            }
            LinkSet::BothWays(these, those) => {
                let leads = |from, to| these.contains(from) && those.contains(to);
                from != to && (leads(&from, &to) || leads(&to, &from))
            }
            LinkSet::Partition(sides) => {
                let some = |end| sides.iter().any(|side| side.contains(&end));
                some(from)
                    && some(to)
                    && !sides
                        .iter()
                        .any(|side| side.contains(&from) && side.contains(&to))
            }
        }
    }
}

impl LinkSet {
    /// The same without the links of these ends: those that have healed already.
    #[must_use]
    pub fn without(&self, healed: &BTreeSet<End>) -> LinkSet {
        let rest = |ends: &BTreeSet<End>| ends.difference(healed).copied().collect();
        match self {
            LinkSet::OneWay(these, those) => LinkSet::OneWay(rest(these), rest(those)),
            LinkSet::BothWays(these, those) => LinkSet::BothWays(rest(these), rest(those)),
            LinkSet::Partition(sides) => LinkSet::Partition(sides.iter().map(rest).collect()),
        }
    }

    /// All ends that it names.
    pub fn ends(&self) -> BTreeSet<End> {
        match self {
            LinkSet::OneWay(these, those) | LinkSet::BothWays(these, those) => {
                these.union(those).copied().collect()
            }
            LinkSet::Partition(sides) => sides.iter().flatten().copied().collect(),
        }
    }
}

/// The faults of a run as they are now.
#[derive(Debug)]
pub struct Links {
    rules: Mutex<BTreeMap<u64, (LinkSet, Fault)>>,
    next: AtomicU64,
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
    /// Lays a fault on links, until it is lifted by its number.
    pub fn add_fault(&self, which: LinkSet, fault: Fault) -> u64 {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.rules).insert(number, (which, fault));
        self.changed.send_modify(|count| *count += 1);
        number
    }

    /// Lifts a fault.
    pub fn remove_fault(&self, number: u64) {
        lock(&self.rules).remove(&number);
        self.changed.send_modify(|count| *count += 1);
    }

    /// What befalls what goes from one end to the other now.
    pub fn fault_between(&self, from: End, to: End) -> Fault {
        let rules = lock(&self.rules);
        let meant = rules.values().filter(|(which, _)| which.contains(from, to));
        meant.fold(Fault::default(), |all, (_, fault)| all.combine(*fault))
    }
}

/// The relay of connections from one end, or several that no rule tells apart, to another.
#[derive(Clone, Debug)]
pub struct Relay {
    links: Arc<Links>,
    near: End,
    far: End,
    target: SocketAddr,
}

enum RelayEnd {
    /// One side has ended in good order.
    Closed,
    /// It is to be reset on both sides.
    Reset,
}

impl Relay {
    /// Listens at an address, for ever. `near` stands for all that connect there.
    ///
    /// # Errors
    /// The address can't be had.
    pub async fn start(
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
                    // The sender lives as long as the links do.
                    _ = changed.changed() => {}
                }
            }
        });
        Ok(())
    }

    /// Lets no connection come up until the fault is lifted: the queue of those that wait to be accepted is kept full, and
    /// the machine drops the first packet of any more.
    async fn block_connects(&self, listener: &TcpListener, at: SocketAddr) {
        let queue = |length| socket2::SockRef::from(listener).listen(length);
        // Where the machine does not let the queue be shortened, connections come up and stall: no run depends on more.
        let _ = queue(0);
        let mut own = Vec::new();
        // One more than the length is let in (`listen(2)`); those that wait already are in the way, too.
        while own.len() < MAX_FILLER_CONNECTIONS {
            let comes_up =
                tokio::time::timeout(FILLER_CONNECT_TIMEOUT, TcpStream::connect(at)).await;
            let Ok(Ok(stream)) = comes_up else { break };
            own.push(stream);
        }
        self.wait_for_fault(self.near, self.far, |fault| !fault.drops_connects)
            .await;
        let _ = queue(BACKLOG);
        let own: BTreeSet<SocketAddr> = own
            .iter()
            .filter_map(|stream| stream.local_addr().ok())
            .collect();
        for _ in 0..own.len() {
            match listener.accept().await {
                Ok((_, from)) if own.contains(&from) => {}
                Ok((stream, _)) => _ = tokio::spawn(self.clone().relay_connection(stream)),
                Err(_) => break,
            }
        }
    }

    /// Carries one connection to its end.
    async fn relay_connection(self, near: TcpStream) {
        if self.wait_until_passable(self.near, self.far).await.is_err() {
            // Works all the same where it can't be set: it closes then.
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
        let ended = {
            let ((from_near, to_near), (from_far, to_far)) = (near.split(), far.split());
            let there = self.copy_one_way((self.near, self.far), from_near, to_far);
            let back = self.copy_one_way((self.far, self.near), from_far, to_near);
            tokio::pin!(there, back);
            // A connection that is half closed goes on the other way; one that is reset ends both ways.
            tokio::select! {
                ended = &mut there => if matches!(ended, RelayEnd::Closed) { back.await } else { ended },
                ended = &mut back => if matches!(ended, RelayEnd::Closed) { there.await } else { ended },
            }
        };
        if matches!(ended, RelayEnd::Reset) {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }

    /// Waits until what lies on a link is such.
    async fn wait_for_fault(&self, from: End, to: End, such: impl Fn(&Fault) -> bool) -> Fault {
        let mut changed = self.links.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let fault = self.links.fault_between(from, to);
            if such(&fault) {
                return fault;
            }
            // The sender lives as long as the links do.
            let _ = changed.changed().await;
        }
    }

    /// Waits until bytes may pass one way; an error where the link resets.
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

    async fn copy_one_way(
        &self,
        (from, to): (End, End),
        mut read: ReadHalf<'_>,
        mut write: WriteHalf<'_>,
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
            let Ok(fault) = self.wait_until_passable(from, to).await else {
                return RelayEnd::Reset;
            };
            let again = if fastrand::f64() < fault.loss {
                RETRANSMIT_DELAY
            } else {
                Duration::ZERO
            };
            let way = fault.draw_delay() + again;
            if !way.is_zero() {
                tokio::time::sleep(way).await;
            }
            if length == 0 {
                // The end is passed on; where the other side has gone, that is seen the other way.
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
