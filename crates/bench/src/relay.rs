//! A bare relay on hyper: forwards each request to the next server in turn over a pooled connection. It applies no
//! policy, so the CPU that an edge node uses beyond it is the cost of the node's policies.

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// The servers, with the idle connections to each of them.
struct Pool {
    servers: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

/// Runs the subcommand `relay`: listens on the first address and forwards to the others until the process is killed.
pub fn serve(mut arguments: lexopt::Parser) -> Result<()> {
    let mut addresses = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Value(value) => {
                addresses.push(lexopt::ValueExt::parse::<SocketAddr>(&value)?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let listen = *addresses
        .first()
        .context("the address to listen on is missing")?;
    let servers = addresses.split_off(1);
    let idle = servers.iter().map(|_| RefCell::default()).collect();
    let pool = Rc::new(Pool {
        servers,
        idle,
        next: Cell::new(0),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let pool = Rc::clone(&pool);
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| forward(Rc::clone(&pool), request));
                // The client sees the error.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn forward(pool: Rc<Pool>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
    let server = pool.next.get() % pool.servers.len();
    pool.next.set(server + 1);
    let idle = pool.idle[server]
        .borrow_mut()
        .pop()
        .filter(hyper::client::conn::http1::SendRequest::is_ready);
    let mut sender = if let Some(sender) = idle {
        sender
    } else {
        let stream = TcpStream::connect(pool.servers[server]).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            // The error is returned by the request on this connection.
            let _ = connection.await;
        });
        sender
    };
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let answer = sender
        .send_request(Request::from_parts(head, Full::new(body)))
        .await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    pool.idle[server].borrow_mut().push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
