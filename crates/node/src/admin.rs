//! The admin listener: accepts callers, and has each command answered by the node or its life cycle.

use crate::deadline::reached;
use crate::error::NodeError;
use crate::node::Node;
use saffronpaddle_admin::{failure, success, Call, CallError, Caller, CallerTable, Line};
use saffronpaddle_netio::{retry_shortage, AcceptFailure, Socket};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// Calls that may be queued for the life cycle. Each caller makes one.
pub const MAX_QUEUED_CALLS: usize = CallerTable::MOST;
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// How long a reply may take to be written, and its reader to close. It bounds how long a caller that never reads keeps
/// a descriptor.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes read of a caller at a time.
const READ_BYTES: usize = 64;

/// The admin listener.
pub struct Admin {
    listener: TcpListener,
}

/// A call, and where its reply evicted.
pub struct AdminCall {
    pub call: Call,
    pub answer: oneshot::Sender<AdminReply>,
}

/// The reply to a call.
pub struct AdminReply {
    pub ok: bool,
    pub text: String,
}

impl Admin {
    /// Descriptors set aside for it: the listener, callers that wait, one that arrives, and those that have their
    /// reply.
    pub const DESCRIPTORS: usize = CallerTable::MOST + 4;

    /// Binds the address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Admin, NodeError> {
        let bound = retry_shortage(|| TcpListener::bind(address)).await;
        let listener = bound.map_err(|source| NodeError::Bind {
            setting: "admin_addr",
            address,
            source,
        })?;
        Ok(Admin { listener })
    }
}

/// Callers and the tasks that serve them.
struct CallerTasks {
    table: CallerTable,
    tasks: HashMap<Caller, AbortHandle>,
}

impl CallerTasks {
    fn remove(&mut self, caller: Caller) {
        self.table.left(caller);
        self.tasks.remove(&caller);
    }

    fn abort(&mut self, caller: Caller) {
        if let Some(task) = self.tasks.remove(&caller) {
            task.abort();
        }
    }
}

/// Serves callers, for ever. None of them waits for another.
pub async fn serve(admin: Option<Admin>, node: Rc<Node>, calls: mpsc::Sender<AdminCall>) {
    let Some(Admin { listener }) = admin else {
        return;
    };
    let started_at = Instant::now();
    let callers = Rc::new(RefCell::new(CallerTasks {
        table: CallerTable::new(CallerTable::MOST, CallerTable::STAY),
        tasks: HashMap::new(),
    }));
    loop {
        let deadline = callers.borrow().table.deadline();
        let deadline = deadline.map(|span| started_at + span);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (caller, evicted) = callers.borrow_mut().table.arrived(started_at.elapsed());
                    evicted.into_iter().for_each(|caller| callers.borrow_mut().abort(caller));
                    let (served, node, calls) = (Rc::clone(&callers), Rc::clone(&node), calls.clone());
                    let task = tokio::task::spawn_local(async move {
                        // A caller that has gone needs nothing.
                        let _ = serve_caller(stream, &node, &calls).await;
                        served.borrow_mut().remove(caller);
                    });
                    callers.borrow_mut().tasks.insert(caller, task.abort_handle());
                }
                Err(error) if AcceptFailure::of(&error) == AcceptFailure::OfOneConnection => {}
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            () = reached(deadline) => {
                let mut callers = callers.borrow_mut();
                while let Some(caller) = callers.table.stale(started_at.elapsed()) {
                    callers.abort(caller);
                }
            }
        }
    }
}

/// Serves one caller.
async fn serve_caller(
    stream: TcpStream,
    node: &Rc<Node>,
    calls: &mpsc::Sender<AdminCall>,
) -> std::io::Result<()> {
    let mut stream = Socket::new(stream);
    let (mut line, mut piece) = (Line::default(), [0; READ_BYTES]);
    let call = loop {
        let length = stream.read(&mut piece).await?;
        if length == 0 {
            break Err(CallError::Half);
        }
        if let Some(call) = line.take(&piece[..length]) {
            break call;
        }
    };
    let text = match call {
        Ok(Call::Info) => node.figures(),
        Ok(call) => {
            let (answer, reply) = oneshot::channel();
            // Sending fails only at the node's very end.
            let _ = calls.send(AdminCall { call, answer }).await;
            match reply.await {
                Ok(AdminReply { ok: true, text }) => success(&text),
                Ok(AdminReply { ok: false, text }) => failure(&text),
                Err(_) => failure("gone"),
            }
        }
        Err(error) => failure(&error.to_string()),
    };
    let _ = timeout(CLOSE_TIMEOUT, async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        // What the caller still writes is read, so that closing the socket does not discard the reply.
        while stream.read(&mut piece).await? > 0 {}
        Ok::<_, std::io::Error>(())
    })
    .await;
    Ok(())
}
