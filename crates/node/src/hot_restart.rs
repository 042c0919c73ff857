//! The way between processes that are one node: a socket in their folder, and who is told what over it.

use crate::config::List;
use crate::node::Node;
use saffronpaddle_hot_restart::{
    read, write, LinkAction, LinkId, Message, ProcessGroup, Role, TransferredState, MAX_LINE_BYTES,
    VERSION,
};
use saffronpaddle_netio::Uninterrupted;
use saffronpaddle_policy::interface::{Event as ModuleEvent, NodeId, SiblingMessage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{error, info, warn};

/// `WatchStatuses` that may wait for a process that does not read. One that is so far behind is no part of this node any more: what
/// it draws can't be counted.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// How long an elder may take to answer a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection that could not be taken, and between tries to bind.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The other processes of this node.
pub struct ProcessLinks {
    name: String,
    /// Whether this process can meet others.
    enabled: bool,
    started_at: Instant,
    group: RefCell<ProcessGroup>,
    lines: RefCell<BTreeMap<LinkId, mpsc::Sender<Rc<str>>>>,
    succeeded: watch::Sender<bool>,
    /// An heir has gone: this process has to be found again.
    rebind: Notify,
}

impl ProcessLinks {
    /// None yet.
    pub fn new(name: &str, enabled: bool) -> ProcessLinks {
        ProcessLinks {
            name: name.to_owned(),
            enabled,
            started_at: Instant::now(),
            group: RefCell::new(ProcessGroup::new(name)),
            lines: RefCell::default(),
            succeeded: watch::channel(false).0,
            rebind: Notify::new(),
        }
    }

    /// Whether there can be any.
    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// Whether an heir takes clients.
    pub fn succeeded(&self) -> watch::Receiver<bool> {
        self.succeeded.subscribe()
    }

    /// This process's part of what the node may have: two that are one node share its descriptors.
    pub fn part(&self, all: usize) -> usize {
        if self.group.borrow().is_shared() {
            all / 2
        } else {
            all
        }
    }

    /// Tells the other processes of an attempt.
    pub fn send_to_siblings(&self, message: SiblingMessage) {
        self.broadcast(&Message::Sibling(message), None);
    }

    /// Passes a peer's datagram on to who gets none any more.
    pub fn forward_peer_message(&self, from: NodeId, bytes: &[u8]) {
        if self.group.borrow().is_shared() {
            self.broadcast(
                &Message::Peer {
                    from,
                    bytes: bytes.to_vec(),
                },
                None,
            );
        }
    }

    /// Tells a word to whom it is for, but to whom it came from.
    fn broadcast(&self, message: &Message, from: Option<LinkId>) {
        let to = self.group.borrow().recipients(message, from);
        if to.is_empty() {
            return;
        }
        let line: Rc<str> = write(message).into();
        to.into_iter()
            .for_each(|id| self.send_line(id, Rc::clone(&line)));
    }

    fn send_line(&self, id: LinkId, line: Rc<str>) {
        let full = self
            .lines
            .borrow()
            .get(&id)
            .is_some_and(|lines| lines.try_send(line).is_err());
        if full {
            // Its writer ends with it, and the reader hears of that.
            self.lines.borrow_mut().remove(&id);
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Where processes of a node meet.
pub struct Rendezvous {
    path: PathBuf,
}

/// An elder that was met at the start, and what it said.
pub struct ParentLink {
    id: LinkId,
    reader: BufReader<Uninterrupted<OwnedReadHalf>>,
    writer: Uninterrupted<OwnedWriteHalf>,
    lines: mpsc::Receiver<Rc<str>>,
}

impl Rendezvous {
    /// The place of a node's processes in a folder that they share. Its name is short: a socket's path has 107 bytes.
    pub fn new(folder: &Path, name: &str) -> Rendezvous {
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Rendezvous {
            path: folder.join(format!("node-{hash:016x}")),
        }
    }

    /// Meets the process that is there, if there is one, and hears what it keeps in mind. Whatever goes wrong, this
    /// process starts as if it were the first.
    pub async fn connect_to_parent(
        &self,
        links: &ProcessLinks,
    ) -> Option<(ParentLink, TransferredState)> {
        let stream = timeout(CONNECT_TIMEOUT, UnixStream::connect(&self.path))
            .await
            .ok()?
            .ok()?;
        let (id, out) = links.group.borrow_mut().open(links.now(), Role::Child)?;
        let (reader, writer) = stream.into_split();
        let (reader, mut writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
        let mut reader = BufReader::new(reader);
        for step in out {
            if let LinkAction::Send(message) = step {
                writer.write_all(write(&message).as_bytes()).await.ok()?;
            }
        }
        let until = links
            .group
            .borrow()
            .deadline(id)
            .map(|until| links.started_at + until)?;
        let heard = timeout_at(until, read_line(&mut reader)).await;
        let out = match heard {
            Ok(Ok(line)) => links
                .group
                .borrow_mut()
                .with(id, |link, out| link.on_message(read(&line), out)),
            Ok(Err(_)) => links
                .group
                .borrow_mut()
                .with(id, saffronpaddle_hot_restart::Link::on_disconnect),
            Err(_) => links
                .group
                .borrow_mut()
                .with(id, |link, out| link.tick(until - links.started_at, out)),
        };
        for step in out {
            match step {
                LinkAction::Restore(state) => {
                    let (tell, lines) = mpsc::channel(MAX_QUEUED_MESSAGES);
                    links.lines.borrow_mut().insert(id, tell);
                    return Some((
                        ParentLink {
                            id,
                            reader,
                            writer,
                            lines,
                        },
                        *state,
                    ));
                }
                LinkAction::End(why) => warn!("hand-over: nothing taken over, {why}"),
                _ => {}
            }
        }
        None
    }

    /// Binds it, so that the next process finds this one from now on.
    fn bind(&self) -> io::Result<UnixListener> {
        let new = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&new);
        let listener = UnixListener::bind(&new)?;
        std::fs::rename(&new, &self.path)?;
        Ok(listener)
    }
}

impl ParentLink {
    /// By which number the elder is known here.
    pub fn number(&self) -> u32 {
        self.id.0
    }
}

/// The list that a state holds.
pub fn transferred_list(state: &TransferredState) -> Option<List> {
    state
        .list
        .clone()
        .and_then(|list| serde_json::from_value(list).ok())
}

/// Speaks to the other processes of this node for ever: the elder that was met, and heirs that come.
pub async fn serve(node: Rc<Node>, rendezvous: Option<Rendezvous>, parent: Option<ParentLink>) {
    if let Some(ParentLink {
        id,
        reader,
        writer,
        lines,
    }) = parent
    {
        publish_siblings(&node, None);
        node.links.broadcast(&Message::Serving, None);
        tokio::task::spawn_local(run_link(Rc::clone(&node), id, reader, writer, lines));
    }
    let Some(rendezvous) = rendezvous else { return };
    loop {
        let listener = match rendezvous.bind() {
            Ok(listener) => listener,
            Err(error) => {
                // A node that can't be found serves all the same.
                error!(
                    path = %rendezvous.path.display(),
                    %error,
                    "hand-over: the socket cannot be bound"
                );
                return;
            }
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => on_connection(&node, stream),
                    Err(_) => sleep(RETRY_PAUSE).await,
                },
                () = node.links.rebind.notified() => break,
            }
        }
    }
}

/// Somebody has come; an heir, if it says so.
fn on_connection(node: &Rc<Node>, stream: UnixStream) {
    let opened = node
        .links
        .group
        .borrow_mut()
        .open(node.links.now(), Role::Parent);
    let Some((id, _)) = opened else { return };
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
    let (tell, lines) = mpsc::channel(MAX_QUEUED_MESSAGES);
    node.links.lines.borrow_mut().insert(id, tell);
    tokio::task::spawn_local(run_link(
        Rc::clone(node),
        id,
        BufReader::new(reader),
        writer,
        lines,
    ));
}

/// One conversation, to its end.
async fn run_link(
    node: Rc<Node>,
    id: LinkId,
    mut reader: BufReader<Uninterrupted<OwnedReadHalf>>,
    mut writer: Uninterrupted<OwnedWriteHalf>,
    mut lines: mpsc::Receiver<Rc<str>>,
) {
    let writes = tokio::task::spawn_local(async move {
        while let Some(line) = lines.recv().await {
            if writer.write_all(line.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    loop {
        let (until, live) = {
            let group = node.links.group.borrow();
            (
                group
                    .deadline(id)
                    .map(|until| node.links.started_at + until),
                group.is_live(id),
            )
        };
        let out = tokio::select! {
            heard = read_line(&mut reader) => match heard {
                Ok(line) => node.links.group.borrow_mut().with(id, |link, out| link.on_message(read(&line), out)),
                Err(_) => node.links.group.borrow_mut().with(id, saffronpaddle_hot_restart::Link::on_disconnect),
            },
            () = sleep_until_some(until) => {
                let now = node.links.now();
                node.links.group.borrow_mut().with(id, |link, out| link.tick(now, out))
            }
        };
        for step in out {
            match step {
                LinkAction::Send(message) => node.links.send_line(id, write(&message).into()),
                LinkAction::SendState => {
                    // Kept and shared in one go: no attempt lies between.
                    let list = node
                        .last_list()
                        .and_then(|list| serde_json::to_value(list).ok());
                    let (version, name) = (VERSION, node.links.name.clone());
                    let state = TransferredState {
                        version,
                        name,
                        policy: node.policy_snapshot(),
                        list,
                    };
                    node.links
                        .send_line(id, write(&Message::State(Box::new(state))).into());
                    publish_siblings(&node, None);
                }
                LinkAction::Sibling(message) => {
                    node.links
                        .broadcast(&Message::Sibling(message.clone()), Some(id));
                    node.post(ModuleEvent::SiblingMessage {
                        link: id.0,
                        message,
                    });
                }
                LinkAction::Peer(from, bytes) => {
                    node.links.broadcast(
                        &Message::Peer {
                            from,
                            bytes: bytes.clone(),
                        },
                        Some(id),
                    );
                    node.on_peer_message(from, bytes);
                }
                LinkAction::SuccessorServing => publish_siblings(&node, None),
                // It was resumed from before this conversation was taken up here.
                LinkAction::Restore(_) => {}
                LinkAction::End(why) => {
                    info!("hand-over: the other process is no part of this node any more: {why}");
                    node.links.lines.borrow_mut().remove(&id);
                    publish_siblings(&node, Some(id));
                    // Guards against one that only knocked: the place where it did is this process's still.
                    if live && node.links.group.borrow().is_last() {
                        node.links.rebind.notify_one();
                    }
                    writes.abort();
                    return;
                }
            }
        }
    }
}

/// Tells all whom it concerns who else is this node.
fn publish_siblings(node: &Rc<Node>, ended: Option<LinkId>) {
    let (shared, has_successor) = {
        let group = node.links.group.borrow();
        (group.is_shared(), group.has_successor())
    };
    node.post(ModuleEvent::SiblingsChanged {
        ended_link: ended.map(|id| id.0),
        share_attempts: shared,
        peer_messages_delegated: has_successor,
    });
    node.apply_connection_share();
    node.links.succeeded.send_replace(has_successor);
}

/// One line; an error where it has no end.
async fn read_line(reader: &mut BufReader<Uninterrupted<OwnedReadHalf>>) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64);
    bounded.read_until(b'\n', &mut line).await?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}

async fn sleep_until_some(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
