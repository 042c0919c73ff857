//! Hot restart: processes of one node connect over a Unix socket in a shared directory. A parent hands its state over
//! to its child, and both keep each other up to date until the parent exits.

use crate::config::List;
use crate::deadline::reached;
use crate::hash::fnv1a;
use crate::node::Node;
use crate::process_links::ProcessLinks;
use saffronpaddle_hot_restart::{
    encode, LinkAction, LinkId, Message, Role, TransferredState, MAX_LINE_BYTES, VERSION,
};
use saffronpaddle_netio::{timeout, timeout_at, Uninterrupted};
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
use tokio::time::{sleep, Instant};
use tracing::{error, info, warn};

/// How long connecting to a parent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

type Reader = BufReader<Uninterrupted<OwnedReadHalf>>;
type Writer = Uninterrupted<OwnedWriteHalf>;

/// The Unix socket, in a directory that the processes of a node share, at which a new process finds the running one.
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
    /// Number of the link, unique within this process.
    pub fn number(&self) -> u32 {
        self.id.0
    }
}

impl Rendezvous {
    /// The rendezvous of the node `node_name` in a directory that its processes share. The file is named by a hash of
    /// the node's name, because the path of a Unix socket has at most 107 bytes.
    pub fn new(directory: &Path, node_name: &str) -> Rendezvous {
        let hash = fnv1a(node_name);
        Rendezvous {
            path: directory.join(format!("node-{hash:016x}")),
        }
    }

    /// Connects to the process that serves the node, if there is one, and reads its state. Returns `None` on any
    /// failure; this process then starts without a parent's state.
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
                writer.write_all(encode(&message).as_bytes()).await.ok()?;
            }
        }
        let deadline = links.deadline(id)?;
        let actions = match timeout_at(deadline, read_line(&mut reader)).await {
            Ok(Ok(line)) => links.on_line(id, &line),
            Ok(Err(_)) => links.on_disconnect(id),
            Err(_) => links.on_deadline(id, deadline),
        };
        for action in actions {
            match action {
                LinkAction::Restore(state) => {
                    let lines = links.create_line_queue(id);
                    let link = ParentLink {
                        id,
                        reader,
                        writer,
                        lines,
                    };
                    return Some((link, *state));
                }
                LinkAction::Close(reason) => {
                    warn!("hand-over: received no state from the parent process: {reason}");
                }
                _ => {}
            }
        }
        None
    }

    /// Binds the socket to this process: binds a temporary path and renames it, which replaces the previous owner's
    /// socket atomically.
    fn bind(&self) -> io::Result<UnixListener> {
        let temporary_path = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary_path);
        let listener = UnixListener::bind(&temporary_path)?;
        std::fs::rename(&temporary_path, &self.path)?;
        Ok(listener)
    }
}

/// The endpoint list in a transferred state; `None` if there is none or it cannot be read.
pub fn transferred_list(state: &TransferredState) -> Option<List> {
    state
        .list
        .clone()
        .and_then(|list| serde_json::from_value(list).ok())
}

/// Runs the links to the other processes of this node: the one to the parent, and those to children that connect.
/// Returns if there is no rendezvous or its socket cannot be bound.
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
                // The node still serves, but later processes of it start without its state.
                let path = rendezvous.path.display();
                error!(%path, %error, "hand-over: cannot bind the rendezvous socket; successors will start without this process's state");
                return;
            }
        };
        accept_until_rebound(&node, &listener).await;
    }
}

/// Accepts children until the rendezvous has to be bound again.
async fn accept_until_rebound(node: &Rc<Node>, listener: &UnixListener) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => on_connection(node, stream),
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            },
            () = node.links.rebind_requested() => return,
        }
    }
}

/// Opens a link to a process that has connected. It counts as a child only after its greeting.
fn on_connection(node: &Rc<Node>, stream: UnixStream) {
    let Some((id, _)) = node.links.open(Role::Parent) else {
        return;
    };
    let (reader, writer) = split(stream);
    let lines = node.links.create_line_queue(id);
    tokio::task::spawn_local(run_link(Rc::clone(node), id, reader, writer, lines));
}

fn split(stream: UnixStream) -> (Reader, Writer) {
    let (reader, writer) = stream.into_split();
    (
        BufReader::new(Uninterrupted::new(reader)),
        Uninterrupted::new(writer),
    )
}

/// Writes queued lines to a link until the task is aborted, the queue is closed or a write fails.
fn spawn_writer(mut writer: Writer, mut lines: mpsc::Receiver<Rc<str>>) -> JoinHandle<()> {
    tokio::task::spawn_local(async move {
        while let Some(line) = lines.recv().await {
            if writer.write_all(line.as_bytes()).await.is_err() {
                return;
            }
        }
    })
}

/// Runs one link until it ends.
async fn run_link(
    node: Rc<Node>,
    id: LinkId,
    mut reader: Reader,
    writer: Writer,
    lines: mpsc::Receiver<Rc<str>>,
) {
    let writer_task = spawn_writer(writer, lines);
    loop {
        let (deadline, was_live) = (node.links.deadline(id), node.links.is_live(id));
        let actions = tokio::select! {
            line = read_line(&mut reader) => match line {
                Ok(line) => node.links.on_line(id, &line),
                Err(_) => node.links.on_disconnect(id),
            },
            () = reached(deadline) => node.links.on_deadline(id, Instant::now()),
        };
        for action in actions {
            if let LinkAction::Close(reason) = action {
                info!("hand-over: link to another process of this node has ended: {reason}");
                node.links.stop_sending(id);
                publish_siblings(&node, Some(id));
                // A process that disconnected before the link was live has not bound the rendezvous, so it still
                // belongs to this process.
                if was_live {
                    node.links.rebind_if_no_child();
                }
                writer_task.abort();
                return;
            }
            execute(&node, id, action);
        }
    }
}

/// Executes an action of a link.
fn execute(node: &Rc<Node>, id: LinkId, action: LinkAction) {
    match action {
        LinkAction::Send(message) => node.links.send(id, &message),
        LinkAction::SendState => {
            // There must be no await between the snapshot and `publish_siblings`: an attempt that started in between
            // would be neither in the snapshot nor announced.
            let state = transferred_state(node);
            node.links.send(id, &Message::State(Box::new(state)));
            publish_siblings(node, None);
        }
        LinkAction::HandleSiblingMessage(message) => {
            let forwarded = Message::Sibling(message.clone());
            node.links.broadcast(&forwarded, Some(id));
            let link = id.0;
            node.record_sibling_request(&message);
            node.handle_policy_event(PolicyEvent::SiblingMessage { link, message });
        }
        LinkAction::HandlePeerDatagram(from, bytes) => {
            let forwarded = Message::Peer {
                from,
                bytes: bytes.clone(),
            };
            node.links.broadcast(&forwarded, Some(id));
            node.on_peer_message(from, bytes);
        }
        LinkAction::ChildServing => publish_siblings(node, None),
        // The state was restored before `run_link` was called, which handles the end of the link itself.
        LinkAction::Restore(_) | LinkAction::Close(_) => {}
    }
}

/// The state that is sent to a child.
fn transferred_state(node: &Node) -> TransferredState {
    let list = node
        .last_list()
        .and_then(|list| serde_json::to_value(list).ok());
    TransferredState {
        version: VERSION,
        name: node.links.node_name().to_owned(),
        policy: node.policy_snapshot(),
        list,
        finished_ids: node.used_ids(),
    }
}

/// Notifies the policy of the processes that share the node, sets this process's share of the upstream connections, and
/// notifies the life cycle whether a successor serves. `ended` is a link that has just ended.
fn publish_siblings(node: &Rc<Node>, ended: Option<LinkId>) {
    let siblings = node.links.siblings();
    node.handle_policy_event(PolicyEvent::SiblingsChanged {
        ended_link: ended.map(|id| id.0),
        share_attempts: siblings.shared,
        peer_messages_delegated: siblings.has_successor,
    });
    node.apply_shared_limits();
    node.links.publish_successor(siblings.has_successor);
}

/// Reads one line, without its line feed.
///
/// # Errors
/// The connection has failed or ended, or the line is longer than `MAX_LINE_BYTES`.
async fn read_line(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64);
    bounded.read_until(b'\n', &mut line).await?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}
