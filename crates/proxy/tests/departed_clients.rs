//! Clients that have left while nobody could see it: the process stood still, or they left bytes unread behind.
mod long_bodies;
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::{Begins, start_recording_endpoint};
use scripted_peer::reset_on_close;
use sockets::*;

/// How much of further requests stands behind a request when its client leaves.
const BEHIND: [usize; 3] = [0, 1, MOST_BEHIND];
const MOST_BEHIND: usize = 2000;
/// The time for which the process stands still.
const STANDSTILL: Duration = Duration::from_millis(800);
/// No attempt begins later than this after its client has left: 0.1 s, and 50 ms of slack on sockets.
const MAX_LATE_BEGIN: Duration = Duration::from_millis(150);

/// A way to leave.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    EndOfWriting,
}

fn start(begins: &Begins) -> (Discovery, Proxy) {
    let start_one =
        |_| start_recording_endpoint(begins, |_, stream| stream.write_all(ok("done").as_bytes()));
    let endpoints: Vec<SocketAddr> = (0..9).map(start_one).collect();
    start_proxy_for(&endpoints, &Setup::default())
}

fn request(kind: usize, id: &str) -> String {
    match kind % 3 {
        0 => page(id),
        1 => submit(id, "2", "x"),
        _ => submit(id, "2", &"z".repeat(70_000)),
    }
}

/// Guards against requests that are read after a standstill together with the ends of their clients' streams, and sent
/// on all the same.
#[test]
fn no_attempt_begins_for_clients_that_left_while_the_process_stood_still() {
    for leave in [Leave::Close, Leave::Reset, Leave::EndOfWriting] {
        for connected_before in [false, true] {
            check_standstill(leave, connected_before);
        }
    }
}

fn check_standstill(leave: Leave, connected_before: bool) {
    let begins = Begins::default();
    let (_discovery, proxy) = start(&begins);
    let connect = |number: usize| {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        if connected_before {
            let first = page(&format!("first-{number}"));
            stream.write_all(first.as_bytes()).expect("written");
            read_message(&mut BufReader::new(&stream)).expect("the first answer");
        }
        stream
    };
    let clients = 36;
    let before: Vec<_> = (0..clients)
        .filter(|_| connected_before)
        .map(connect)
        .collect();
    proxy.signal("-STOP");
    let streams = match connected_before {
        true => before,
        false => (0..clients).map(connect).collect(),
    };
    let mut kept = Vec::new();
    for (number, mut stream) in streams.into_iter().enumerate() {
        let id = format!("left-{number}");
        let mut text = request(number, &id);
        for behind in 0..BEHIND[number / 3 % 3] {
            text += &page(&format!("left-{number}-{behind}"));
        }
        write_without_waiting(&mut stream, &text);
        match leave {
            Leave::Close => drop(stream),
            Leave::Reset => reset_on_close(&stream),
            Leave::EndOfWriting => {
                let _ = stream.shutdown(std::net::Shutdown::Write);
                kept.push(stream);
            }
        }
    }
    thread::sleep(STANDSTILL);
    proxy.signal("-CONT");
    thread::sleep(Duration::from_millis(700));
    let begins = begins.lock().expect("no panic");
    let late: Vec<_> = begins.keys().filter(|id| id.starts_with("left")).collect();
    assert!(
        late.is_empty(),
        "{leave:?}, connected before: {connected_before}: {} sent on, such as {:?}",
        late.len(),
        &late[..late.len().min(8)]
    );
}

/// Guards against requests of a client that closes with many of them unread: they were sent on one after another.
#[test]
fn no_attempt_begins_for_a_client_that_closed_with_much_unread() {
    let begins = Begins::default();
    let (_discovery, proxy) = start(&begins);
    for round in 0..20 {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        let text: String = (0..4000)
            .map(|number| page(&format!("u-{round}-{number}")))
            .collect();
        stream
            .set_write_timeout(Some(Duration::from_millis(50)))
            .expect("the option is set");
        let _ = stream.write_all(text.as_bytes()); // what the system takes
        if round % 2 == 0 {
            reset_on_close(&stream);
        }
        let closed = Instant::now();
        drop(stream);
        thread::sleep(Duration::from_millis(400));
        let prefix = format!("u-{round}-");
        let begins = begins.lock().expect("no panic");
        let late = begins
            .iter()
            .filter(|(id, begun)| id.starts_with(&prefix) && **begun > closed + MAX_LATE_BEGIN)
            .count();
        assert_eq!(late, 0, "round {round}: begun after the close");
    }
}

/// The number of times that each request has run.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Starts endpoints that count how often each request runs.
fn start_counting_endpoints(runs: &Runs) -> Vec<SocketAddr> {
    let start_one = |_| {
        let runs = runs.clone();
        start_recording_endpoint(&Begins::default(), move |id, stream| {
            *runs
                .lock()
                .expect("no panic")
                .entry(id.to_owned())
                .or_insert(0) += 1;
            thread::sleep(Duration::from_millis(20));
            stream.write_all(ok("done").as_bytes())
        })
    };
    (0..3).map(start_one).collect()
}

fn check_run_once(runs: &Runs) {
    let runs = runs.lock().expect("no panic");
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Writes a request as far as the system takes it.
fn write_without_waiting(stream: &mut TcpStream, text: &str) {
    stream.set_nonblocking(true).expect("the option is set");
    let _ = stream.write(text.as_bytes());
}

/// Guards against a checkout that runs for a client that has left, and once more when its id comes again.
#[test]
fn an_id_that_comes_again_after_its_client_left_runs_once() {
    let runs = Runs::default();
    let endpoints = start_counting_endpoints(&runs);
    let (_discovery, proxy) = start_proxy_for(&endpoints, &Setup::default());
    for number in 0..30 {
        let id = format!("again-{number}");
        let text = submit(&id, "2", &"z".repeat(number % 3 * 70_000));
        proxy.signal("-STOP");
        let mut first = TcpStream::connect(proxy.address).expect("the proxy accepts");
        write_without_waiting(&mut first, &text);
        drop(first);
        let mut second = TcpStream::connect(proxy.address).expect("the proxy accepts");
        let writer = thread::spawn(move || {
            second.write_all(text.as_bytes()).expect("written");
            second
        });
        thread::sleep(Duration::from_millis(30));
        proxy.signal("-CONT");
        let second = writer.join().expect("no panic");
        let answer = read_message(&mut BufReader::new(&second)).expect("an answer");
        assert!([200, 502, 503].contains(&answer.status()));
    }
    check_run_once(&runs);
}

/// Guards against the same at the two processes of an upgrade.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    let runs = Runs::default();
    let endpoints = start_counting_endpoints(&runs);
    let lines: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(number, address)| host(&format!("s-{number}"), *address, "up", 0))
        .collect();
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &lines));
    let listener = inheritable_listener();
    let address = listener.local_addr().expect("an address");
    let setup = || Setup {
        inherited_socket: Some(listener.as_raw_fd()),
        ..Setup::default()
    };
    let previous = Proxy::up(&discovery, &setup());
    // Every other connection has had a request, and the process keeps connections to its endpoints.
    let mut kept: Vec<TcpStream> = Vec::new();
    for number in 0..30 {
        let mut stream = TcpStream::connect(address).expect("the proxy accepts");
        if number % 2 == 0 {
            let first = page(&format!("first-{number}"));
            stream.write_all(first.as_bytes()).expect("written");
            read_message(&mut BufReader::new(&stream)).expect("the first answer");
        }
        kept.push(stream);
    }
    let _next = Proxy::up(&discovery, &setup());
    previous.signal("-STOP");
    let mut ids = Vec::new();
    for (number, mut stream) in kept.into_iter().enumerate() {
        let id = format!("again-{number}");
        let behind = page("behind").repeat(MOST_BEHIND);
        write_without_waiting(&mut stream, &(submit(&id, "5", "x") + &behind));
        ids.push(id);
    }
    let again: Vec<_> = ids
        .into_iter()
        .map(|id| {
            thread::spawn(move || {
                let mut second = TcpStream::connect(address).expect("the next process accepts");
                let text = submit(&id, "5", "x");
                second.write_all(text.as_bytes()).expect("written");
                let answer = read_message(&mut BufReader::new(&second)).expect("an answer");
                assert!([200, 503].contains(&answer.status()));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(30));
    previous.signal("-CONT");
    previous.terminate();
    for client in again {
        client.join().expect("no panic");
    }
    thread::sleep(Duration::from_millis(700));
    check_run_once(&runs);
}
