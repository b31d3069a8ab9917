//! Processes used by the overhead measurement: a responder on many addresses, and a plain pass-through proxy on hyper
//! without any load balancing decisions.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// The responder's response; its body has the size of a short catalogue entry.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n\
    0123456789012345678901234567890123456789012345678901234567890123";
/// Initial capacity of the responder's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, future)
}

async fn bind(host: IpAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((host, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Listens on `count` ports of a host, reports their addresses, and answers each request after `work`. Runs until the
/// process is killed.
///
/// # Errors
/// A port could not be bound.
pub fn responder(
    host: IpAddr,
    count: usize,
    work: Duration,
    report_addresses: impl FnOnce(&[SocketAddr]),
) -> io::Result<()> {
    block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (listener, address) = bind(host).await?;
            addresses.push(address);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    spawn_local(respond_to_all(stream, work));
                }
            });
        }
        report_addresses(&addresses);
        std::future::pending().await
    })
}

/// Responds to each request on a connection. The requests have no body, so each one ends with a blank line.
async fn respond_to_all(mut stream: TcpStream, work: Duration) {
    let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
    loop {
        match stream.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        while let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            buffer.drain(..end + 4);
            if !work.is_zero() {
                sleep(work).await;
            }
            if stream.write_all(RESPONSE).await.is_err() {
                return;
            }
        }
    }
}

/// Idle upstream connections of the pass-through, by server.
struct Pool {
    addresses: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

/// Forwards requests to the servers round-robin over persistent connections. Runs until the process is killed.
///
/// # Errors
/// The listening socket could not be bound, or accepting a connection failed.
pub fn pass_through(
    addresses: Vec<SocketAddr>,
    report_address: impl FnOnce(SocketAddr),
) -> io::Result<()> {
    let idle = RefCell::new(addresses.iter().map(|_| Vec::new()).collect());
    let pool = Rc::new(Pool {
        addresses,
        idle,
        next: Cell::new(0),
    });
    block_on(async {
        let (listener, address) = bind(Ipv4Addr::LOCALHOST.into()).await?;
        report_address(address);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let pool = pool.clone();
            spawn_local(async move {
                let service = service_fn(move |request| forward(pool.clone(), request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn forward(
    pool: Rc<Pool>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(try_forward(&pool, request).await.unwrap_or_else(|_| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    }))
}

async fn try_forward(
    pool: &Pool,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
    let (head, body) = request.into_parts();
    let request = Request::from_parts(head, Full::new(body.collect().await?.to_bytes()));
    let server = pool
        .next
        .replace((pool.next.get() + 1) % pool.addresses.len());
    let idle = pool.idle.borrow_mut()[server]
        .pop()
        .filter(SendRequest::is_ready);
    let mut sender = match idle {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(pool.addresses[server]).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await?;
            spawn_local(async move {
                let _ = connection.await; // errors are returned by send_request
            });
            sender
        }
    };
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    sender.ready().await?;
    pool.idle.borrow_mut()[server].push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
