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

/// Words that may wait for a process that does not read. One that is so far behind is no part of this node any more: what
/// it draws can't be counted.
const WAITING_MOST: usize = 4096;
/// How long an elder may take to answer a connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
/// Pause after a connection that could not be taken, and between tries to bind.
const AGAIN: Duration = Duration::from_millis(100);

/// The other processes of this node.
pub struct Links {
    name: String,
    /// Whether this process can meet others.
    meets: bool,
    began: Instant,
    family: RefCell<ProcessGroup>,
    lines: RefCell<BTreeMap<LinkId, mpsc::Sender<Rc<str>>>>,
    succeeded: watch::Sender<bool>,
    /// An heir has gone: this process has to be found again.
    found_no_more: Notify,
}

impl Links {
    /// None yet.
    pub fn new(name: &str, meets: bool) -> Links {
        Links {
            name: name.to_owned(),
            meets,
            began: Instant::now(),
            family: RefCell::new(ProcessGroup::new(name)),
            lines: RefCell::default(),
            succeeded: watch::channel(false).0,
            found_no_more: Notify::new(),
        }
    }

    /// Whether there can be any.
    pub fn meets(&self) -> bool {
        self.meets
    }

    /// Whether an heir takes clients.
    pub fn succeeded(&self) -> watch::Receiver<bool> {
        self.succeeded.subscribe()
    }

    /// This process's part of what the node may have: two that are one node share its descriptors.
    pub fn part(&self, all: usize) -> usize {
        if self.family.borrow().is_shared() {
            all / 2
        } else {
            all
        }
    }

    /// Tells the other processes of an attempt.
    pub fn tell_twin(&self, twin: SiblingMessage) {
        self.tell(&Message::Sibling(twin), None);
    }

    /// Passes a peer's datagram on to who gets none any more.
    pub fn pass_on(&self, from: NodeId, bytes: &[u8]) {
        if self.family.borrow().is_shared() {
            self.tell(
                &Message::Peer {
                    from,
                    bytes: bytes.to_vec(),
                },
                None,
            );
        }
    }

    /// Tells a word to whom it is for, but to whom it came from.
    fn tell(&self, word: &Message, from: Option<LinkId>) {
        let to = self.family.borrow().recipients(word, from);
        if to.is_empty() {
            return;
        }
        let line: Rc<str> = write(word).into();
        to.into_iter().for_each(|no| self.say(no, Rc::clone(&line)));
    }

    fn say(&self, no: LinkId, line: Rc<str>) {
        let full = self
            .lines
            .borrow()
            .get(&no)
            .is_some_and(|lines| lines.try_send(line).is_err());
        if full {
            // Its writer ends with it, and the reader hears of that.
            self.lines.borrow_mut().remove(&no);
        }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Where processes of a node meet.
pub struct Meeting {
    path: PathBuf,
}

/// An elder that was met at the start, and what it said.
pub struct Met {
    no: LinkId,
    reader: BufReader<Uninterrupted<OwnedReadHalf>>,
    writer: Uninterrupted<OwnedWriteHalf>,
    lines: mpsc::Receiver<Rc<str>>,
}

impl Meeting {
    /// The place of a node's processes in a folder that they share. Its name is short: a socket's path has 107 bytes.
    pub fn new(folder: &Path, name: &str) -> Meeting {
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Meeting {
            path: folder.join(format!("node-{hash:016x}")),
        }
    }

    /// Meets the process that is there, if there is one, and hears what it keeps in mind. Whatever goes wrong, this
    /// process starts as if it were the first.
    pub async fn meet(&self, links: &Links) -> Option<(Met, TransferredState)> {
        let stream = timeout(CONNECT_WITHIN, UnixStream::connect(&self.path))
            .await
            .ok()?
            .ok()?;
        let (no, out) = links.family.borrow_mut().open(links.now(), Role::Child)?;
        let (reader, writer) = stream.into_split();
        let (reader, mut writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
        let mut reader = BufReader::new(reader);
        for step in out {
            if let LinkAction::Send(word) = step {
                writer.write_all(write(&word).as_bytes()).await.ok()?;
            }
        }
        let until = links
            .family
            .borrow()
            .deadline(no)
            .map(|until| links.began + until)?;
        let heard = timeout_at(until, line(&mut reader)).await;
        let out = match heard {
            Ok(Ok(line)) => links
                .family
                .borrow_mut()
                .with(no, |link, out| link.on_message(read(&line), out)),
            Ok(Err(_)) => links
                .family
                .borrow_mut()
                .with(no, saffronpaddle_hot_restart::Link::on_disconnect),
            Err(_) => links
                .family
                .borrow_mut()
                .with(no, |link, out| link.tick(until - links.began, out)),
        };
        for step in out {
            match step {
                LinkAction::Restore(state) => {
                    let (tell, lines) = mpsc::channel(WAITING_MOST);
                    links.lines.borrow_mut().insert(no, tell);
                    return Some((
                        Met {
                            no,
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

impl Met {
    /// By which number the elder is known here.
    pub fn number(&self) -> u32 {
        self.no.0
    }
}

/// The list that a state holds.
pub fn list(state: &TransferredState) -> Option<List> {
    state
        .list
        .clone()
        .and_then(|list| serde_json::from_value(list).ok())
}

/// Speaks to the other processes of this node for ever: the elder that was met, and heirs that come.
pub async fn serve(node: Rc<Node>, meeting: Option<Meeting>, met: Option<Met>) {
    if let Some(Met {
        no,
        reader,
        writer,
        lines,
    }) = met
    {
        shared(&node, None);
        node.links.tell(&Message::Serving, None);
        tokio::task::spawn_local(talk(Rc::clone(&node), no, reader, writer, lines));
    }
    let Some(meeting) = meeting else { return };
    loop {
        let listener = match meeting.bind() {
            Ok(listener) => listener,
            Err(error) => {
                // A node that can't be found serves all the same.
                error!(
                    path = %meeting.path.display(),
                    %error,
                    "hand-over: the socket cannot be bound"
                );
                return;
            }
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => come(&node, stream),
                    Err(_) => sleep(AGAIN).await,
                },
                () = node.links.found_no_more.notified() => break,
            }
        }
    }
}

/// Somebody has come; an heir, if it says so.
fn come(node: &Rc<Node>, stream: UnixStream) {
    let opened = node
        .links
        .family
        .borrow_mut()
        .open(node.links.now(), Role::Parent);
    let Some((no, _)) = opened else { return };
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
    let (tell, lines) = mpsc::channel(WAITING_MOST);
    node.links.lines.borrow_mut().insert(no, tell);
    tokio::task::spawn_local(talk(
        Rc::clone(node),
        no,
        BufReader::new(reader),
        writer,
        lines,
    ));
}

/// One conversation, to its end.
async fn talk(
    node: Rc<Node>,
    no: LinkId,
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
            let family = node.links.family.borrow();
            (
                family.deadline(no).map(|until| node.links.began + until),
                family.is_live(no),
            )
        };
        let out = tokio::select! {
            heard = line(&mut reader) => match heard {
                Ok(line) => node.links.family.borrow_mut().with(no, |link, out| link.on_message(read(&line), out)),
                Err(_) => node.links.family.borrow_mut().with(no, saffronpaddle_hot_restart::Link::on_disconnect),
            },
            () = at(until) => {
                let now = node.links.now();
                node.links.family.borrow_mut().with(no, |link, out| link.tick(now, out))
            }
        };
        for step in out {
            match step {
                LinkAction::Send(word) => node.links.say(no, write(&word).into()),
                LinkAction::SendState => {
                    // Kept and shared in one go: no attempt lies between.
                    let list = node
                        .remembered()
                        .and_then(|list| serde_json::to_value(list).ok());
                    let (version, name) = (VERSION, node.links.name.clone());
                    let state = TransferredState {
                        version,
                        name,
                        policy: node.keep(),
                        list,
                    };
                    node.links
                        .say(no, write(&Message::State(Box::new(state))).into());
                    shared(&node, None);
                }
                LinkAction::Sibling(twin) => {
                    node.links.tell(&Message::Sibling(twin.clone()), Some(no));
                    node.post(ModuleEvent::SiblingMessage {
                        link: no.0,
                        message: twin,
                    });
                }
                LinkAction::Peer(from, bytes) => {
                    node.links.tell(
                        &Message::Peer {
                            from,
                            bytes: bytes.clone(),
                        },
                        Some(no),
                    );
                    node.heard_peer(from, bytes);
                }
                LinkAction::SuccessorServing => shared(&node, None),
                // It was resumed from before this conversation was taken up here.
                LinkAction::Restore(_) => {}
                LinkAction::End(why) => {
                    info!("hand-over: the other process is no part of this node any more: {why}");
                    node.links.lines.borrow_mut().remove(&no);
                    shared(&node, Some(no));
                    // Guards against one that only knocked: the place where it did is this process's still.
                    if live && node.links.family.borrow().is_last() {
                        node.links.found_no_more.notify_one();
                    }
                    writes.abort();
                    return;
                }
            }
        }
    }
}

/// Tells all whom it concerns who else is this node.
fn shared(node: &Rc<Node>, ended: Option<LinkId>) {
    let (shared, hushed) = {
        let family = node.links.family.borrow();
        (family.is_shared(), family.has_successor())
    };
    node.post(ModuleEvent::SiblingsChanged {
        ended_link: ended.map(|no| no.0),
        share_attempts: shared,
        peer_messages_delegated: hushed,
    });
    node.share_out();
    node.links.succeeded.send_replace(hushed);
}

/// One line; an error where it has no end.
async fn line(reader: &mut BufReader<Uninterrupted<OwnedReadHalf>>) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64);
    bounded.read_until(b'\n', &mut line).await?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}

async fn at(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
