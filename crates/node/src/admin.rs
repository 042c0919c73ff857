//! The admin listener: accepts callers and passes each command to the node or its life cycle for an answer.

use crate::deadline::reached;
use crate::error::NodeError;
use crate::node::Node;
use saffronpaddle_admin::{
    failure, success, AdminCommand, CallerId, CallerTable, CommandError, Line,
};
use saffronpaddle_netio::{retry_shortage, timeout, AcceptFailure, Socket};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// Maximum number of calls queued for the life cycle. Each caller makes one.
pub const MAX_QUEUED_CALLS: usize = CallerTable::MAX_CALLERS;
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for writing the reply and for the caller to close the connection. It bounds how long a caller that never
/// reads occupies a descriptor.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for reading from a caller, in bytes.
const READ_BYTES: usize = 64;

/// The admin listener.
pub struct Admin {
    listener: TcpListener,
}

/// A call that the life cycle answers, and the channel for its reply.
pub struct AdminCall {
    /// The command, other than `INFO`.
    pub command: AdminCommand,
    /// Sends the reply to the task that serves the caller.
    pub answer: oneshot::Sender<AdminReply>,
}

/// The reply to a call: whether it succeeded, and the text for the caller.
pub struct AdminReply {
    /// Whether the reply is a success.
    pub ok: bool,
    /// The text of the reply.
    pub text: String,
}

impl Admin {
    /// Descriptors reserved for the admin listener: the listener itself, waiting callers, a caller being accepted, and
    /// callers that have their reply but have not closed.
    pub const DESCRIPTORS: usize = CallerTable::MAX_CALLERS + 4;

    /// Binds the admin listener.
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
    tasks: HashMap<CallerId, AbortHandle>,
}

impl CallerTasks {
    fn remove(&mut self, caller: CallerId) {
        self.table.remove(caller);
        self.tasks.remove(&caller);
    }

    fn abort(&mut self, caller: CallerId) {
        if let Some(task) = self.tasks.remove(&caller) {
            task.abort();
        }
    }
}

/// Serves callers concurrently until it is dropped. Returns at once if there is no admin listener.
pub async fn serve(admin: Option<Admin>, node: Rc<Node>, calls: mpsc::Sender<AdminCall>) {
    let Some(Admin { listener }) = admin else {
        return;
    };
    let started_at = Instant::now();
    let callers = Rc::new(RefCell::new(CallerTasks {
        table: CallerTable::new(CallerTable::MAX_CALLERS, CallerTable::COMMAND_TIMEOUT),
        tasks: HashMap::new(),
    }));
    loop {
        let deadline = callers.borrow().table.deadline();
        let deadline = deadline.map(|elapsed| started_at + elapsed);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (caller, evicted) = callers.borrow_mut().table.add(started_at.elapsed());
                    evicted.into_iter().for_each(|caller| callers.borrow_mut().abort(caller));
                    let (callers_of_task, node, calls) = (Rc::clone(&callers), Rc::clone(&node), calls.clone());
                    let task = tokio::task::spawn_local(async move {
                        // An error means that the caller has disconnected.
                        let _ = serve_caller(stream, &node, &calls).await;
                        callers_of_task.borrow_mut().remove(caller);
                    });
                    callers.borrow_mut().tasks.insert(caller, task.abort_handle());
                }
                Err(error) if AcceptFailure::of(&error) == AcceptFailure::ConnectionFailed => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            },
            () = reached(deadline) => {
                let mut callers = callers.borrow_mut();
                while let Some(caller) = callers.table.remove_timed_out(started_at.elapsed()) {
                    callers.abort(caller);
                }
            }
        }
    }
}

/// Reads the command of one caller and answers it.
async fn serve_caller(
    stream: TcpStream,
    node: &Rc<Node>,
    calls: &mpsc::Sender<AdminCall>,
) -> std::io::Result<()> {
    let mut stream = Socket::new(stream);
    let (mut line, mut buffer) = (Line::default(), [0; READ_BYTES]);
    let command = loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            break Err(CommandError::Incomplete);
        }
        if let Some(command) = line.receive(&buffer[..length]) {
            break command;
        }
    };
    let text = match command {
        Ok(AdminCommand::Info) => node.metrics_text(),
        Ok(command) => {
            let (answer, reply) = oneshot::channel();
            // Sending fails only if the life cycle has ended; waiting for the reply fails then, too.
            let _ = calls.send(AdminCall { command, answer }).await;
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
        // Reads what the caller still sends, because closing a socket with unread data could discard the reply.
        while stream.read(&mut buffer).await? > 0 {}
        Ok::<_, std::io::Error>(())
    })
    .await;
    Ok(())
}
