//! A bare relay on hyper: each request goes on to the next server over a kept connection, and its answer comes back.
//! It decides nothing: what an edge node costs beyond it is what its rules cost.

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

struct Pool {
    servers: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

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
    let listen = *addresses.first().context("an address to listen at")?;
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
                // The client sees how it ended.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn forward(pool: Rc<Pool>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
    let place = pool.next.get() % pool.servers.len();
    pool.next.set(place + 1);
    let kept = pool.idle[place]
        .borrow_mut()
        .pop()
        .filter(hyper::client::conn::http1::SendRequest::is_ready);
    let mut sender = if let Some(sender) = kept {
        sender
    } else {
        let stream = TcpStream::connect(pool.servers[place]).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            // Its end shows in the exchange.
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
    pool.idle[place].borrow_mut().push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
