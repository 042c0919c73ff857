//! Hot restart: the processes of one node meet at a socket in their folder, hand their state over and keep in step.

use crate::config::List;
use crate::deadline::reached;
use crate::hash::fnv1a;
use crate::node::Node;
use crate::process_links::ProcessLinks;
use saffronpaddle_hot_restart::{
    write, LinkAction, LinkId, Message, Role, TransferredState, MAX_LINE_BYTES, VERSION,
};
use saffronpaddle_netio::Uninterrupted;
use saffronpaddle_policy::interface::Event as PolicyEvent;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{error, info, warn};

/// How long a parent may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

type Reader = BufReader<Uninterrupted<OwnedReadHalf>>;
type Writer = Uninterrupted<OwnedWriteHalf>;

/// Where processes of a node meet: a socket in a folder that they share.
pub struct Rendezvous {
    path: PathBuf,
}

/// The link to a parent that has sent its state.
pub struct ParentLink {
    id: LinkId,
    reader: Reader,
    writer: Writer,
    lines: mpsc::Receiver<Rc<str>>,
}

impl ParentLink {
    /// The link's number in this process.
    pub fn number(&self) -> u32 {
        self.id.0
    }
}

impl Rendezvous {
    /// The rendezvous of a node's processes in a folder that they share. Its name is a hash, as a socket's path has 107
    /// bytes at the most.
    pub fn new(folder: &Path, name: &str) -> Rendezvous {
        let hash = fnv1a(name);
        Rendezvous {
            path: folder.join(format!("node-{hash:016x}")),
        }
    }

    /// Connects to the process that is there, if there is one, and reads its state. Whatever goes wrong, this process
    /// starts as if it were the first.
    pub async fn connect_to_parent(
        &self,
        links: &ProcessLinks,
    ) -> Option<(ParentLink, TransferredState)> {
        let stream = timeout(CONNECT_TIMEOUT, UnixStream::connect(&self.path))
            .await
            .ok()?
            .ok()?;
        let (id, actions) = links.open(Role::Child)?;
        let (mut reader, mut writer) = split(stream);
        for action in actions {
            if let LinkAction::Send(message) = action {
                writer.write_all(write(&message).as_bytes()).await.ok()?;
            }
        }
        let deadline = links.deadline(id)?;
        let actions = match timeout_at(deadline, read_line(&mut reader)).await {
            Ok(Ok(line)) => links.on_line(id, &line),
            Ok(Err(_)) => links.on_disconnect(id),
            Err(_) => links.on_time(id, deadline),
        };
        for action in actions {
            match action {
                LinkAction::Restore(state) => {
                    let lines = links.lines(id);
                    let link = ParentLink {
                        id,
                        reader,
                        writer,
                        lines,
                    };
                    return Some((link, *state));
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

/// The endpoint list in a transferred state.
pub fn transferred_list(state: &TransferredState) -> Option<List> {
    state
        .list
        .clone()
        .and_then(|list| serde_json::from_value(list).ok())
}

/// Runs the links to the other processes of this node, for ever: the parent's, and those of children that connect.
pub async fn serve(node: Rc<Node>, rendezvous: Option<Rendezvous>, parent: Option<ParentLink>) {
    if let Some(parent) = parent {
        publish_siblings(&node, None);
        node.links.broadcast(&Message::Serving, None);
        let (reader, writer, lines) = (parent.reader, parent.writer, parent.lines);
        tokio::task::spawn_local(run_link(Rc::clone(&node), parent.id, reader, writer, lines));
    }
    let Some(rendezvous) = rendezvous else { return };
    loop {
        let listener = match rendezvous.bind() {
            Ok(listener) => listener,
            Err(error) => {
                // A node that no other process finds serves all the same.
                let path = rendezvous.path.display();
                error!(%path, %error, "hand-over: the socket cannot be bound");
                return;
            }
        };
        accept_until_rebound(&node, &listener).await;
    }
}

/// Accepts children until the rendezvous must be bound anew.
async fn accept_until_rebound(node: &Rc<Node>, listener: &UnixListener) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => on_connection(node, stream),
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            () = node.links.rebound() => return,
        }
    }
}

/// A process has connected; a child, if it says so.
fn on_connection(node: &Rc<Node>, stream: UnixStream) {
    let Some((id, _)) = node.links.open(Role::Parent) else {
        return;
    };
    let (reader, writer) = split(stream);
    let lines = node.links.lines(id);
    tokio::task::spawn_local(run_link(Rc::clone(node), id, reader, writer, lines));
}

fn split(stream: UnixStream) -> (Reader, Writer) {
    let (reader, writer) = stream.into_split();
    (
        BufReader::new(Uninterrupted::new(reader)),
        Uninterrupted::new(writer),
    )
}

/// Writes a link's lines until it is aborted or the link ends.
fn spawn_writer(mut writer: Writer, mut lines: mpsc::Receiver<Rc<str>>) -> JoinHandle<()> {
    tokio::task::spawn_local(async move {
        while let Some(line) = lines.recv().await {
            if writer.write_all(line.as_bytes()).await.is_err() {
                return;
            }
        }
    })
}

/// Runs one link to its end.
async fn run_link(
    node: Rc<Node>,
    id: LinkId,
    mut reader: Reader,
    writer: Writer,
    lines: mpsc::Receiver<Rc<str>>,
) {
    let writes = spawn_writer(writer, lines);
    loop {
        let (deadline, live) = (node.links.deadline(id), node.links.is_live(id));
        let actions = tokio::select! {
            line = read_line(&mut reader) => match line {
                Ok(line) => node.links.on_line(id, &line),
                Err(_) => node.links.on_disconnect(id),
            },
            () = reached(deadline) => node.links.on_time(id, Instant::now()),
        };
        for action in actions {
            if let LinkAction::End(why) = action {
                info!("hand-over: the other process is no part of this node any more: {why}");
                node.links.remove(id);
                publish_siblings(&node, Some(id));
                // One that only connected and went has not bound the rendezvous: it is still this process's.
                if live {
                    node.links.rebind_if_last();
                }
                writes.abort();
                return;
            }
            apply(&node, id, action);
        }
    }
}

/// Does what a link asks for.
fn apply(node: &Rc<Node>, id: LinkId, action: LinkAction) {
    match action {
        LinkAction::Send(message) => node.links.send(id, &message),
        LinkAction::SendState => {
            // Snapshot and publication without an await between them, so that no attempt falls in the gap.
            let state = transferred_state(node);
            node.links.send(id, &Message::State(Box::new(state)));
            publish_siblings(node, None);
        }
        LinkAction::Sibling(message) => {
            let forwarded = Message::Sibling(message.clone());
            node.links.broadcast(&forwarded, Some(id));
            let link = id.0;
            node.post(PolicyEvent::SiblingMessage { link, message });
        }
        LinkAction::Peer(from, bytes) => {
            let forwarded = Message::Peer {
                from,
                bytes: bytes.clone(),
            };
            node.links.broadcast(&forwarded, Some(id));
            node.on_peer_message(from, bytes);
        }
        LinkAction::SuccessorServing => publish_siblings(node, None),
        // The state was restored before this link was run; its end is `run_link`'s matter.
        LinkAction::Restore(_) | LinkAction::End(_) => {}
    }
}

/// The state that a child starts from.
fn transferred_state(node: &Node) -> TransferredState {
    let list = node
        .last_list()
        .and_then(|list| serde_json::to_value(list).ok());
    TransferredState {
        version: VERSION,
        name: node.links.name().to_owned(),
        policy: node.policy_snapshot(),
        list,
    }
}

/// Notifies the policy of the processes that share the node, sets this process's part of the upstream connections, and tells
/// the life cycle whether a successor serves.
fn publish_siblings(node: &Rc<Node>, ended: Option<LinkId>) {
    let siblings = node.links.siblings();
    node.post(PolicyEvent::SiblingsChanged {
        ended_link: ended.map(|id| id.0),
        share_attempts: siblings.shared,
        peer_messages_delegated: siblings.has_successor,
    });
    node.apply_connection_share();
    node.links.publish_successor(siblings.has_successor);
}

/// One line, of a bounded length.
///
/// # Errors
/// The connection failed or ended, or the line is too long.
async fn read_line(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64);
    bounded.read_until(b'\n', &mut line).await?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}
