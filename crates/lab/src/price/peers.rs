//! The processes that a price is measured with: a responder that answers at once on many addresses, and a bare
//! pass-through on hyper that decides nothing.

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

/// What the responder answers: the size of a catalogue entry's short form.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n\
    0123456789012345678901234567890123456789012345678901234567890123";
/// Bytes of a request that the responder looks through at once.
const READ: usize = 4096;

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

/// Answers each request after `work` on so many ports of a host, which are told first; runs until it is killed.
///
/// # Errors
/// A port can't be had.
pub fn responder(
    host: IpAddr,
    count: usize,
    work: Duration,
    told: impl FnOnce(&[SocketAddr]),
) -> io::Result<()> {
    block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (listener, address) = bind(host).await?;
            addresses.push(address);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    spawn_local(answer_all(stream, work));
                }
            });
        }
        told(&addresses);
        std::future::pending().await
    })
}

/// Requests have no body here, so each ends with a blank line.
async fn answer_all(mut stream: TcpStream, work: Duration) {
    let mut buffer = Vec::with_capacity(READ);
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
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

/// Idle connections of the pass-through, by server.
struct Pool {
    addresses: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
    next: Cell<usize>,
}

/// Passes each request on to the next server in turn, on connections that are kept; runs until it is killed.
///
/// # Errors
/// Its own address can't be had.
pub fn pass_through(addresses: Vec<SocketAddr>, told: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let idle = RefCell::new(addresses.iter().map(|_| Vec::new()).collect());
    let pool = Rc::new(Pool {
        addresses,
        idle,
        next: Cell::new(0),
    });
    block_on(async {
        let (listener, address) = bind(Ipv4Addr::LOCALHOST.into()).await?;
        told(address);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let pool = pool.clone();
            spawn_local(async move {
                let service = service_fn(move |request| pass(pool.clone(), request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn pass(
    pool: Rc<Pool>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(try_pass(&pool, request).await.unwrap_or_else(|_| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    }))
}

async fn try_pass(
    pool: &Pool,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
    let (head, body) = request.into_parts();
    let request = Request::from_parts(head, Full::new(body.collect().await?.to_bytes()));
    let server = pool
        .next
        .replace((pool.next.get() + 1) % pool.addresses.len());
    let kept = pool.idle.borrow_mut()[server]
        .pop()
        .filter(SendRequest::is_ready);
    let mut sender = match kept {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(pool.addresses[server]).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await?;
            spawn_local(async move {
                let _ = connection.await; // its errors show at the request
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
