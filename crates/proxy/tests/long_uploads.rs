//! Long request bodies, many at a time, of any length and rate and at every limit that the platform sets.
mod long_bodies;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::*;
use sockets::*;

const fn limits(memory_mb: u32, sockets: usize) -> Limits {
    Limits { memory_mb, sockets }
}

fn start_endpoints() -> Vec<SocketAddr> {
    let start = |_| {
        start_endpoint(|_, stream| {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(ok("done").as_bytes())
        })
    };
    (0..9).map(start).collect()
}

/// Sends bodies from all clients at a time; returns how the requests ended and whether the memory limit held.
fn upload(limits: Limits, body: Body, duration: Duration) -> (Ends, bool) {
    let (_discovery, mut proxy) = start_proxy_for(&start_endpoints(), &limits.setup());
    let ends = upload_from_all_clients(proxy.address, &limits, body, duration);
    println!(
        "{limits:?} {body:?}: {ends:?}, peak {:.1} MB",
        peak_mb(&proxy)
    );
    assert!(proxy.is_running());
    (ends, limits.hold(&proxy))
}

/// Sends bodies from all clients at a time, checks the memory limit, and that each request that was read is answered.
fn check_uploads(limits: Limits, body: Body, duration: Duration) -> Ends {
    let (ends, within_limits) = upload(limits, body, duration);
    assert!(within_limits, "over the memory limit");
    assert_eq!((ends.unanswered, ends.failed), (0, 0), "{ends:?}");
    ends
}

/// Guards against room for a body that is allocated before it is reserved: the proxy grew to twice its limit within
/// seconds and was killed with all requests that it had taken.
#[test]
fn bodies_of_two_megabytes_stay_within_the_smallest_limit() {
    let body = steady(2_000_000, false, 1e6);
    check_uploads(limits(32, 256), body, Duration::from_secs(14));
}

/// Guards against the same with bodies whose length is not announced, from as many clients as there may be.
#[test]
fn chunked_bodies_from_the_most_clients_stay_within_the_smallest_limit() {
    let body = steady(300_000, true, 256e3);
    check_uploads(limits(32, 1024), body, Duration::from_secs(6));
}

/// Guards against memory that is shared evenly among bodies which together exceed it: none was complete, and those whose
/// attempt was about to begin were refused.
#[test]
fn long_bodies_that_exceed_the_memory_together_are_served_one_after_another() {
    let body = Body {
        client_timeout_seconds: 5,
        ..steady(4_000_000, true, 4e6)
    };
    for limits in [limits(192, 256), limits(32, 256)] {
        let ends = check_uploads(limits, body, Duration::from_secs(1));
        assert_eq!(ends.refused, 0, "{ends:?}");
    }
}

/// Plays bodies of all lengths and rates at a corner of the limits. `UPLOAD_SWEEP_SECONDS=20` sets how long clients begin
/// requests in each case, and `SWEEP_BODY` plays one body; without it, one body of each framing is played for a short while.
fn check_bodies_of_any_length_and_rate(limits: Limits) {
    let seconds = std::env::var("UPLOAD_SWEEP_SECONDS").ok();
    let seconds = seconds.map(|text| text.parse::<u64>().expect("a number of seconds"));
    let bodies = match seconds {
        Some(_) => sweep_bodies(),
        None => vec![steady(100_000, false, 64e3), steady(4_000_000, true, 4e6)],
    };
    let duration = Duration::from_secs(seconds.unwrap_or(1));
    let breaks_a_rule = |body: &Body| {
        let (ends, within_limits) = upload(limits, *body, duration);
        !within_limits || ends.unanswered > 0 || ends.failed > 0
    };
    let broken: Vec<Body> = bodies.into_iter().filter(breaks_a_rule).collect();
    assert!(broken.is_empty(), "{limits:?}: {broken:?}");
}

#[test]
fn bodies_of_any_length_and_rate_stay_within_32_mb_with_256_descriptors() {
    check_bodies_of_any_length_and_rate(limits(32, 256));
}

#[test]
fn bodies_of_any_length_and_rate_stay_within_32_mb_with_1024_descriptors() {
    check_bodies_of_any_length_and_rate(limits(32, 1024));
}

#[test]
fn bodies_of_any_length_and_rate_stay_within_192_mb_with_256_descriptors() {
    check_bodies_of_any_length_and_rate(limits(192, 256));
}

#[test]
fn bodies_of_any_length_and_rate_stay_within_192_mb_with_1024_descriptors() {
    check_bodies_of_any_length_and_rate(limits(192, 1024));
}

/// Clients that leave a short while after the last byte of their bodies.
const LEAVING_CLIENTS: usize = 4;
const PATIENCE: Duration = Duration::from_millis(100);
/// No attempt begins later than this after its client has left: 0.1 s, and 50 ms of slack on sockets.
const LAST_BEGIN: Duration = Duration::from_millis(150);
/// Clients whose short requests keep the endpoints busy.
const BUSY_CLIENTS: usize = 60;

/// Starts endpoints that work on two requests at a time, for 120 ms each.
fn start_busy_endpoints(begins: &Begins) -> Vec<SocketAddr> {
    let start = |_| {
        let cores = [Mutex::new(()), Mutex::new(())];
        let turn = AtomicUsize::new(0);
        start_recording_endpoint(begins, move |_, stream| {
            let core = turn.fetch_add(1, Ordering::Relaxed) % cores.len();
            let working = cores[core].lock().expect("no panic");
            thread::sleep(Duration::from_millis(120));
            drop(working);
            stream.write_all(ok("done").as_bytes())
        })
    };
    (0..9).map(start).collect()
}

/// Sends bodies from clients that leave while their requests wait for busy endpoints, and checks that no attempt begins
/// for a client that has left.
fn check_leaving_clients(limits: Limits, body: Body, duration: Duration) {
    let begins = Begins::default();
    let endpoints = start_busy_endpoints(&begins);
    let (_discovery, proxy) = start_proxy_for(&endpoints, &limits.setup());
    let (address, end) = (proxy.address, Instant::now() + duration);
    let short = steady(10, false, 1e9);
    let busy: Vec<_> = (0..BUSY_CLIENTS)
        .map(|number| thread::spawn(move || upload_until(address, number, short, end)))
        .collect();
    let leaving: Vec<_> = (0..LEAVING_CLIENTS)
        .map(|number| {
            thread::spawn(move || {
                let mut closed = Vec::new();
                while Instant::now() < end {
                    let id = format!("leaving-{number}-{}", closed.len());
                    let mut stream = connect(address);
                    let head = upload_head(&id, &body);
                    let written = stream
                        .write_all(head.as_bytes())
                        .and_then(|()| body.write(&mut stream, PIECE_BYTES));
                    thread::sleep(PATIENCE);
                    drop(stream);
                    closed.push((id, Instant::now(), written.is_ok()));
                    thread::sleep(2 * PATIENCE);
                }
                closed
            })
        })
        .collect();
    let closed: Vec<_> = leaving
        .into_iter()
        .flat_map(|client| client.join().expect("no panic"))
        .collect();
    let mut ends = Ends::default();
    for client in busy {
        ends.add(client.join().expect("no panic"));
    }
    thread::sleep(Duration::from_secs(2)); // late attempts
    let begins = begins.lock().expect("no panic");
    let is_late = |(id, closed_at, _): &&(String, Instant, bool)| {
        begins
            .get(id)
            .is_some_and(|at| *at > *closed_at + LAST_BEGIN)
    };
    let late = closed.iter().filter(is_late).count();
    let begun = closed.iter().filter(|(id, ..)| begins.contains_key(id));
    println!(
        "{limits:?} {body:?}: {} clients left, {} wrote all, {} attempts, {late} late; short: {ends:?}, peak {:.1} MB",
        closed.len(),
        closed.iter().filter(|(_, _, written)| *written).count(),
        begun.count(),
        peak_mb(&proxy)
    );
    limits.check(&proxy);
    assert_eq!(late, 0);
    assert!(closed.len() > LEAVING_CLIENTS, "clients leave");
}

/// Guards against long bodies whose rest is not read while they wait: nobody saw that the client had left, and its
/// request ran.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_its_long_body_waited() {
    let body = Body {
        bytes: 3_000_000,
        chunked: false,
        bytes_per_second: None,
        client_timeout_seconds: CLIENT_TIMEOUT_SECONDS,
    };
    check_leaving_clients(limits(128, 1024), body, Duration::from_secs(5));
    check_leaving_clients(limits(32, 256), body, Duration::from_secs(5));
}

/// Guards against a body that waited for memory from its beginning: an attempt began as soon as there was some, although
/// the client had left meanwhile.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_its_body_waited_for_memory() {
    let leaving = |bytes, chunked| Body {
        bytes,
        chunked,
        bytes_per_second: None,
        client_timeout_seconds: CLIENT_TIMEOUT_SECONDS,
    };
    check_leaving_clients_without_memory(leaving(300_000, true));
    check_leaving_clients_without_memory(leaving(60_000, false));
}

/// Sends bodies from clients that leave while they wait for memory that other bodies hold, then releases it, and checks
/// that no attempt begins for a client that has left.
fn check_leaving_clients_without_memory(body: Body) {
    const HOLDERS: usize = 125;
    const LEAVING: usize = 10;
    let begins = Begins::default();
    let endpoint =
        start_recording_endpoint(&begins, |_, stream| stream.write_all(ok("done").as_bytes()));
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &limits(32, 1024).setup());
    // These hold the memory for short bodies until they send their last bytes.
    let held = steady(65_000, false, 1e9);
    let begin = |number| {
        let mut stream = connect(proxy.address);
        let head = upload_head(&format!("holding-{number}"), &held);
        let begun = [head.into_bytes(), vec![b'x'; 60_000]].concat();
        stream.write_all(&begun).expect("the beginning is written");
        stream
    };
    let mut holders: Vec<TcpStream> = (0..HOLDERS).map(begin).collect();
    thread::sleep(PATIENCE);
    let leave = |number| {
        let id = format!("leaving-{number}");
        let mut stream = connect(proxy.address);
        let head = upload_head(&id, &body);
        stream.write_all(head.as_bytes()).expect("a head");
        body.write(&mut stream, PIECE_BYTES).expect("a body");
        (id, stream)
    };
    let leaving: Vec<_> = (0..LEAVING).map(leave).collect();
    thread::sleep(PATIENCE);
    let ids: Vec<String> = leaving.into_iter().map(|(id, _)| id).collect();
    thread::sleep(2 * PATIENCE);
    let closed_at = Instant::now() - 2 * PATIENCE;
    for holder in &mut holders {
        holder
            .write_all(&[b'x'; 5_000])
            .expect("the end is written");
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(Duration::from_secs(1)); // late attempts
    let begins = begins.lock().expect("no panic");
    let is_late = |id: &&String| {
        begins
            .get(*id)
            .is_some_and(|at| *at > closed_at + LAST_BEGIN)
    };
    let late = ids.iter().filter(is_late).count();
    println!("{body:?}: {} attempts, {late} late", begins.len());
    assert!(begins.len() >= HOLDERS, "the memory is used again");
    assert_eq!(late, 0);
}

/// The part of a body that is sent at once, which is more than is read before a request waits for an endpoint.
const SENT_AT_ONCE_BYTES: usize = 2_500_000;

/// Starts a request with a body of which `rest` has not been sent.
fn begin_upload(proxy: &Proxy, rest: &Body) -> TcpStream {
    let mut stream = connect(proxy.address);
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let body = Body {
        bytes: SENT_AT_ONCE_BYTES + rest.bytes,
        ..*rest
    };
    let head = upload_head("r-1", &body).into_bytes();
    let beginning = [head, vec![b'x'; SENT_AT_ONCE_BYTES]].concat();
    stream
        .write_all(&beginning)
        .expect("the beginning is written");
    stream
}

/// Starts a proxy whose only endpoint takes no requests, so that they wait.
fn start_proxy_without_open_endpoint() -> (Discovery, Proxy, SocketAddr) {
    let endpoint = start_endpoint(|_, stream| stream.write_all(ok("done").as_bytes()));
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", endpoint, "draining", 0)]));
    let proxy = Proxy::up(&discovery, &limits(32, 256).setup());
    (discovery, proxy, endpoint)
}

/// Guards against a refusal of a request that waits for an endpoint while its client still sends the body: its time has
/// not begun.
#[test]
fn a_request_waits_for_an_endpoint_while_its_slow_body_arrives() {
    let (discovery, proxy, endpoint) = start_proxy_without_open_endpoint();
    let rest = steady(320_000, false, 64e3);
    let mut stream = begin_upload(&proxy, &rest);
    rest.write(&mut stream, PIECE_BYTES)
        .expect("the rest is written");
    discovery.publish(&list(2, true, &[host("s-0", endpoint, "up", 0)]));
    let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// Guards against a request that is called failed at the end of its time although no attempt has sent a part of it: a
/// refusal tells the client that it may send it again.
#[test]
fn a_request_whose_attempt_has_sent_nothing_is_refused_at_the_end_of_its_time() {
    let (unresponsive, _full) = full_listener();
    let address = unresponsive.local_addr().expect("an address");
    let setup = Setup {
        connect_timeout: 5000,
        ..limits(32, 256).setup()
    };
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", address, "draining", 0)]));
    let proxy = Proxy::up(&discovery, &setup);
    let mut rest = steady(100_000, false, 8e6);
    rest.client_timeout_seconds = 2;
    let mut stream = begin_upload(&proxy, &rest);
    rest.write(&mut stream, PIECE_BYTES)
        .expect("the rest is written");
    thread::sleep(Duration::from_millis(200)); // until the whole body is received
    discovery.publish(&list(2, true, &[host("s-0", address, "up", 0)]));
    let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
    assert_eq!(answer.status(), 503);
}

/// Guards against a client that stops in the middle of its body and is waited for as long as its body may take: it is
/// owed an error within 3 s.
#[test]
fn a_client_that_stops_in_the_middle_of_a_body_that_waits_is_answered_soon() {
    let (_discovery, proxy, _endpoint) = start_proxy_without_open_endpoint();
    let mut rest = steady(320_000, false, 64e3);
    rest.client_timeout_seconds = 20;
    let stream = begin_upload(&proxy, &rest);
    let stopped = Instant::now();
    let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(stopped.elapsed() < Duration::from_secs(3));
}

/// Guards against a connection that is closed a fixed time after an early answer, while the client still sends the rest
/// of its body: the next request on it was lost.
#[test]
fn the_next_request_after_an_early_answer_to_a_slow_body_is_answered() {
    let endpoint = start_refusing_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &limits(32, 256).setup());
    let rest = steady(400_000, false, 64e3);
    let mut stream = begin_upload(&proxy, &rest);
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let answer = read_message(&mut reader).expect("an early answer");
    assert_eq!(answer.status(), 502);
    assert_ne!(answer.header("connection"), Some("close"));
    rest.write(&mut stream, PIECE_BYTES)
        .expect("the rest is written");
    stream
        .write_all(page("r-2").as_bytes())
        .expect("a request is written");
    assert!(read_message(&mut reader).is_some(), "the second answer");
}

/// Guards against an early answer without a word of the close that follows, as the body is not read: the client's next
/// request was lost.
#[test]
fn an_early_answer_to_a_body_that_is_not_read_announces_the_close() {
    let endpoints = start_endpoints();
    let (_discovery, proxy) = start_proxy_for(&endpoints, &limits(32, 256).setup());
    for head in [
        "POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n".to_owned(),
        upload_head("r-1", &steady(40_000_000, false, 1e6)),
    ] {
        let mut stream = connect(proxy.address);
        stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&[b'x'; 1000]))
            .expect("the beginning is written");
        let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
        assert!((400..500).contains(&answer.status()), "{}", answer.status());
        assert_eq!(answer.header("connection"), Some("close"), "{head}");
    }
}

/// Starts an endpoint that fails each request as soon as its head has arrived.
fn start_refusing_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4000]);
                let _ = stream.write_all(empty("500 Internal Server Error").as_bytes());
                while stream.read(&mut [0; 4000]).is_ok_and(|read| read > 0) {}
            });
        }
    });
    address
}

/// Guards against an endpoint that reads slowly and is taken for a stalled one, because the system's buffer stays full
/// for longer than the proxy waits.
#[test]
fn a_long_body_reaches_an_endpoint_that_reads_slowly() {
    const BODY_BYTES: usize = 7_000_000;
    const SLOW_TIME: Duration = Duration::from_secs(6);
    let endpoint = start_slow_endpoint(SLOW_TIME);
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &limits(32, 256).setup());
    let mut stream = connect(proxy.address);
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let body = steady(BODY_BYTES, false, 4e6);
    let head = upload_head("r-1", &body);
    stream
        .write_all(head.as_bytes())
        .expect("the head is written");
    body.write(&mut stream, PIECE_BYTES)
        .expect("the body is written");
    let answer = read_message(&mut BufReader::new(&stream)).expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// Starts an endpoint that reads at 64 kB/s for a time and then at once.
fn start_slow_endpoint(slow_time: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let (begun, mut received) = (Instant::now(), 0);
                let mut piece = [0; 4000];
                while begun.elapsed() < slow_time {
                    received += stream.read(&mut piece).unwrap_or(0);
                    pace(begun, received, 64e3);
                }
                // The head is shorter than what it has read; the end of the body is seen as a pause.
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                while stream.read(&mut piece).is_ok_and(|read| read > 0) {}
                let _ = stream.write_all(ok("done").as_bytes());
            });
        }
    });
    address
}
