//! Memory of a proxy whose clients and endpoints keep as many bytes in it as they can. The platform kills a process that
//! exceeds its memory limit.
mod long_bodies;
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::Limits;
use scripted_peer::{ReceivedRequest, ScriptedPeer};
use sockets::*;

/// The longest body of the protocol.
const BODY_BYTES: usize = 64 << 10;
/// The smallest memory limit of the platform with its largest descriptor limit.
const SMALL_LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};
const CLIENT_STACK_BYTES: usize = 128 << 10;

/// Starts endpoints that answer each request after a while.
fn slow_backends(answer_bytes: usize) -> Vec<Backend> {
    let answer = ok(&"y".repeat(answer_bytes));
    (0..10)
        .map(|_| {
            let answer = answer.clone();
            Backend::with(move |_| {
                thread::sleep(Duration::from_millis(100));
                BackendAction::Write(answer.clone())
            })
        })
        .collect()
}

fn proxy_for(backends: &[Backend], limits: &Limits) -> (Discovery, Proxy) {
    let addresses: Vec<_> = backends.iter().map(|b| b.address).collect();
    start_proxy_for(&addresses, &limits.setup())
}

/// Runs one client per thread and returns the status codes of their answers.
fn run_clients(
    count: usize,
    client: impl Fn(usize) -> Vec<u16> + Send + Sync + Clone + 'static,
) -> Vec<u16> {
    let threads: Vec<_> = (0..count)
        .map(|number| {
            let client = client.clone();
            thread::Builder::new()
                .stack_size(CLIENT_STACK_BYTES)
                .spawn(move || client(number))
                .expect("a thread starts")
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no panic"))
        .collect()
}

fn connect(address: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    stream
}

/// Sends requests one after another and returns the status codes of the answers.
fn ask(address: std::net::SocketAddr, request: &str, rounds: usize) -> Vec<u16> {
    let mut codes = Vec::new();
    let mut stream = connect(address);
    for _ in 0..rounds {
        stream
            .write_all(request.as_bytes())
            .expect("the bytes are accepted");
        let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
        codes.push(answer.status());
        if answer.header("connection") == Some("close") {
            stream = connect(address);
        }
    }
    codes
}

/// Sends long bodies from all clients at a time and checks the limit.
fn check_long_bodies(limits: &Limits, body_bytes: usize) {
    let backends = slow_backends(10);
    let (_discovery, mut proxy) = proxy_for(&backends, limits);
    let (address, body) = (proxy.address, "x".repeat(body_bytes));
    let codes = run_clients(limits.clients(), move |number| {
        ask(address, &submit(&format!("r-{number}"), "2", &body), 4)
    });
    let served = codes.iter().filter(|code| **code == 200).count();
    assert!(codes.iter().all(|code| [200, 502, 503].contains(code)));
    assert!(served >= limits.clients(), "{served} served");
    assert!(proxy.is_running());
    limits.check(&proxy);
}

/// Guards against bodies up to the protocol's length that no limit counts: the platform killed the proxy with all
/// requests that it had taken.
#[test]
fn long_bodies_from_a_third_of_the_descriptors_stay_within_the_limit() {
    let limits = Limits {
        memory_mb: 48,
        sockets: 672,
    };
    check_long_bodies(&limits, BODY_BYTES);
}

/// Guards against the same where memory is scarcest, and against bodies just below the size of a unit of memory.
#[test]
fn long_bodies_stay_within_the_smallest_limit() {
    check_long_bodies(&SMALL_LIMITS, BODY_BYTES);
    check_long_bodies(&SMALL_LIMITS, BODY_BYTES - 1);
}

/// Guards against answers that are kept in the buffers into which their pieces were read.
#[test]
fn answers_in_small_pieces_stay_within_the_smallest_limit() {
    const PIECES: usize = 200;
    let addresses: Vec<_> = (0..10).map(|_| start_endpoint_in_pieces(PIECES)).collect();
    let (_discovery, mut proxy) = start_proxy_for(&addresses, &SMALL_LIMITS.setup());
    let address = proxy.address;
    let codes = run_clients(SMALL_LIMITS.clients(), move |number| {
        ask(address, &page(&format!("r-{number}")), 2)
    });
    assert!(codes.iter().all(|code| [200, 502, 503].contains(code)));
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
}

/// Starts an endpoint that writes each answer in pieces of 100 bytes, one at a time.
fn start_endpoint_in_pieces(pieces: usize) -> std::net::SocketAddr {
    const PIECE: [u8; 100] = [b'y'; 100];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            stream.set_nodelay(true).expect("the option is set");
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while read_message(&mut reader).is_some() {
                    let length = PIECE.len() * pieces;
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    // The proxy may have closed the connection.
                    let mut written = stream.write_all(head.as_bytes());
                    for _ in 0..pieces {
                        thread::sleep(Duration::from_millis(2));
                        written = written.and_then(|()| stream.write_all(&PIECE));
                    }
                    if written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against answers that are kept for clients that do not read them.
#[test]
fn long_answers_that_clients_do_not_read_stay_within_the_smallest_limit() {
    let backends = slow_backends(BODY_BYTES);
    let (_discovery, mut proxy) = proxy_for(&backends, &SMALL_LIMITS);
    let streams: Vec<TcpStream> = (0..SMALL_LIMITS.clients())
        .map(|number| {
            let mut stream = connect(proxy.address);
            for request in 0..4 {
                let id = format!("r-{number}-{request}");
                stream
                    .write_all(page(&id).as_bytes())
                    .expect("the bytes are accepted");
            }
            stream
        })
        .collect();
    wait_for("the requests to end", || {
        proxy.metric("node_current") == 0.0
    });
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
    drop(streams);
}

/// Guards against bytes behind a request that are kept until its answer.
#[test]
fn bytes_behind_requests_stay_within_the_smallest_limit() {
    let backends = slow_backends(10);
    let (_discovery, mut proxy) = proxy_for(&backends, &SMALL_LIMITS);
    let address = proxy.address;
    run_clients(SMALL_LIMITS.clients(), move |_| {
        let mut stream = connect(address);
        let mut bytes = page("r-1");
        while bytes.len() < BODY_BYTES {
            bytes += &page("r-2");
        }
        let _ = stream.write_all(bytes.as_bytes()); // the proxy may close the connection before
        let answer = read_message(&mut BufReader::new(&stream));
        answer.map(|a| a.status()).into_iter().collect()
    });
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
}

/// Guards against long heads, which clients send on any connection; each of them gets an answer.
#[test]
fn long_heads_stay_within_the_smallest_limit() {
    const CONNECTIONS: usize = 600;
    let backends = slow_backends(10);
    let (_discovery, mut proxy) = proxy_for(&backends, &SMALL_LIMITS);
    let long_line = format!("X-Long: {}\r\n\r\n", "x".repeat(BODY_BYTES - 1000));
    let request = page("r-1").replace("\r\n\r\n", &format!("\r\n{long_line}"));
    let (begin, end) = request.split_at(request.len() - 10);
    let mut streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut stream = connect(proxy.address);
            let _ = stream.write_all(begin.as_bytes()); // the proxy may close the connection before
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    for stream in &mut streams {
        let _ = stream.write_all(end.as_bytes());
    }
    for stream in &streams {
        let answer = read_message(&mut BufReader::new(stream)).expect("an answer");
        assert!([200, 502, 503].contains(&answer.status()));
    }
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
}

/// Guards against connections without a request that take memory as well as a descriptor.
#[test]
fn idle_connections_stay_within_the_smallest_limit() {
    let backends = slow_backends(10);
    let (_discovery, mut proxy) = proxy_for(&backends, &SMALL_LIMITS);
    let address = proxy.address;
    let streams: Vec<TcpStream> = (0..SMALL_LIMITS.sockets)
        .map(|_| connect(address))
        .collect();
    let codes = run_clients(SMALL_LIMITS.clients(), move |_| {
        let Ok(mut stream) = TcpStream::connect(address) else {
            return Vec::new();
        };
        let _ = stream.set_read_timeout(Some(LIMIT));
        let _ = stream.write_all(page("r-1").as_bytes());
        let answer = read_message(&mut BufReader::new(&stream));
        answer.map(|a| a.status()).into_iter().collect()
    });
    assert!(codes.iter().all(|code| [200, 502, 503].contains(code)));
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
    drop(streams);
}

/// Guards against parts of the memory that stay within their own limits and exceed that of the process together.
#[test]
fn bodies_streams_heads_and_idle_connections_together_stay_within_the_smallest_limit() {
    const LONG_ANSWER_BYTES: usize = 2 << 20;
    const HEADS: usize = 100;
    let long_answer = ok(&"y".repeat(LONG_ANSWER_BYTES));
    let backends: Vec<_> = (0..10)
        .map(|_| {
            let long_answer = long_answer.clone();
            Backend::with(move |message| {
                thread::sleep(Duration::from_millis(100));
                BackendAction::Write(match message.id() {
                    "r-long" => long_answer.clone(),
                    _ => ok(&"y".repeat(BODY_BYTES)),
                })
            })
        })
        .collect();
    let (_discovery, mut proxy) = proxy_for(&backends, &SMALL_LIMITS);
    let address = proxy.address;
    let idle: Vec<TcpStream> = (0..SMALL_LIMITS.sockets / 4)
        .map(|_| connect(address))
        .collect();
    let long_head = format!("GET /page HTTP/1.1\r\nX-Long: {}", "x".repeat(BODY_BYTES));
    let heads: Vec<TcpStream> = (0..HEADS)
        .map(|_| {
            let mut stream = connect(address);
            let _ = stream.write_all(long_head.as_bytes()); // the proxy may close the connection before
            stream
        })
        .collect();
    let body = "x".repeat(BODY_BYTES);
    run_clients(SMALL_LIMITS.clients(), move |number| {
        if number % 3 > 0 {
            return ask(address, &submit(&format!("r-{number}"), "4", &body), 6);
        }
        // A client that takes its answer slowly.
        let mut stream = connect(address);
        let _ = stream.write_all(page("r-long").as_bytes()); // idle connections may leave no room
        let mut buffer = [0; 4 << 10];
        for _ in 0..300 {
            thread::sleep(Duration::from_millis(10));
            if stream.read(&mut buffer).unwrap_or(0) == 0 {
                break;
            }
        }
        Vec::new()
    });
    assert!(proxy.is_running());
    SMALL_LIMITS.check(&proxy);
    drop((idle, heads));
}

/// A proxy whose memory for bodies is taken by requests that its endpoint has not answered yet.
struct FullProxy {
    server: ScriptedPeer,
    proxy: Proxy,
    _discovery: Discovery,
    _clients: Vec<TcpStream>,
}

/// Number of bodies of [`BODY_BYTES`] for which a proxy with the least memory has room.
const BODIES_IN_LEAST_MEMORY: usize = 16;

impl FullProxy {
    fn new() -> Self {
        let server = ScriptedPeer::new();
        let setup = Setup {
            memory_mb: 1,
            operations_enabled: true,
            ..Setup::default()
        };
        let (discovery, proxy) = start_proxy_for(&[server.address], &setup);
        let clients = (0..BODIES_IN_LEAST_MEMORY)
            .map(|_| send_body(proxy.address, "r-first", 5.0))
            .collect();
        wait_for("the requests to be read", || {
            proxy.metric("node_current") == BODIES_IN_LEAST_MEMORY as f64
        });
        FullProxy {
            server,
            proxy,
            _discovery: discovery,
            _clients: clients,
        }
    }

    /// Answers the first requests and returns the requests that are received until `ended`.
    fn answer_first(
        &self,
        ended: impl Fn(&Option<ReceivedRequest>) -> bool,
    ) -> Vec<ReceivedRequest> {
        let mut others = Vec::new();
        loop {
            let mut received = self.server.try_next_request();
            let has_ended = ended(&received);
            match &mut received {
                Some(request) if request.message.id() == "r-first" => {
                    request.write(&ok("first"));
                }
                Some(_) => others.extend(received),
                None => thread::sleep(Duration::from_millis(5)),
            }
            if has_ended {
                return others;
            }
        }
    }
}

fn send_body(address: std::net::SocketAddr, id: &str, timeout: f64) -> TcpStream {
    let mut stream = connect(address);
    let request = submit(id, &timeout.to_string(), &"x".repeat(BODY_BYTES));
    stream
        .write_all(request.as_bytes())
        .expect("the bytes are accepted");
    stream
}

/// Guards against requests that are kept waiting for memory until their time is over.
#[test]
fn a_request_for_whose_body_there_is_no_memory_is_rejected_in_its_time() {
    let full = FullProxy::new();
    let sent_at = Instant::now();
    let client = send_body(full.proxy.address, "r-late", 2.0);
    let answer = read_message(&mut BufReader::new(&client)).expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(sent_at.elapsed() < Duration::from_secs(2));
}

/// Guards against a timeout that counts from the time at which a body that waited for memory is read.
#[test]
fn the_wait_for_memory_counts_as_part_of_the_clients_time() {
    let full = FullProxy::new();
    let sent_at = Instant::now();
    let client = send_body(full.proxy.address, "r-late", 4.0);
    thread::sleep(Duration::from_millis(700));
    let is_late = |received: &Option<ReceivedRequest>| {
        received
            .as_ref()
            .is_some_and(|r| r.message.id() == "r-late")
    };
    let mut others = full.answer_first(is_late);
    let late = others.last_mut().expect("the request");
    let told: f64 = late
        .message
        .header("x-timeout")
        .and_then(|text| text.parse().ok())
        .expect("a timeout");
    let left = 4.0 - (late.at - sent_at).as_secs_f64();
    // The slack that the platform allows.
    assert!(told <= left + 0.15, "{told} s of {left} s");
    late.write(&ok("late"));
    let answer = read_message(&mut BufReader::new(&client)).expect("an answer");
    assert_eq!(answer.text(), "late");
}

/// Guards against a request that is forwarded although its client left while it waited for memory.
#[test]
fn a_client_that_leaves_while_it_waits_for_memory_is_not_forwarded() {
    let full = FullProxy::new();
    drop(send_body(full.proxy.address, "r-late", 5.0));
    thread::sleep(Duration::from_millis(200));
    let others = full
        .answer_first(|received| received.is_none() && full.proxy.metric("node_current") == 0.0);
    assert!(others.is_empty());
}
