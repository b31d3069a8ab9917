//! Endpoints that answer a request twice, or send more than an answer. No client may get an answer to another request, and no
//! request may run twice because a surplus answer was taken for its own.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

/// A connection rests for 20 ms; a surplus answer that is written later proves nothing.
const REST: Duration = Duration::from_millis(20);
/// The answer by which an endpoint proves that the request was not executed.
const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
/// Requests after which the proxy's system delays acknowledgements, so that the endpoint's holds back what is written second.
const EARLIER_REQUESTS: usize = 2;
/// Requests after which a process trusts endpoints that send no surplus answers.
const TRUST_REQUESTS: usize = 100;

fn start(server: &ScriptedPeer) -> (Discovery, Proxy) {
    let setup = Setup {
        operations_enabled: true,
        ..Setup::default()
    };
    start_proxy_for(&[server.address], &setup)
}

fn text(client: &mut Client) -> String {
    client.answer().expect("an answer").text()
}

fn ask_many(client: &mut Client, server: &ScriptedPeer, count: usize) {
    for n in 0..count {
        client.send(&page(&format!("r-before-{n}")));
        server.next_request().write(&ok("before"));
        assert_eq!(text(client), "before");
    }
}

/// Sends a request right after another one's answer, and lets the endpoint write `surplus` when it has arrived or `delay` has
/// passed. Returns the text that the second client gets, or `None` if the machine was too slow for the case.
fn answer_after_surplus(surplus: &str, delay: Duration) -> Option<String> {
    let server = ScriptedPeer::new();
    let (_discovery, proxy) = start(&server);
    let mut clients = [Client::new(&proxy), Client::new(&proxy)];
    ask_many(&mut clients[0], &server, EARLIER_REQUESTS);
    clients[0].send(&submit("r-1", "5", "x"));
    let mut first = server.next_request();
    let answered_at = Instant::now();
    first.write(&ok("one"));
    assert_eq!(text(&mut clients[0]), "one");
    clients[1].send(&submit("r-2", "5", "x"));
    thread::sleep(delay);
    first.write(surplus);
    if answered_at.elapsed() >= REST {
        return None;
    }
    server.next_request().write(&ok("two"));
    let answer = text(&mut clients[1]);
    assert!(
        server.try_next_request().is_none(),
        "the request was sent once"
    );
    Some(answer)
}

/// Guards against a surplus answer that meets the next request, as it was written to the only connection at once.
#[test]
fn a_surplus_answer_is_not_taken_for_the_answer_to_the_next_request() {
    let whole = ok("one");
    let half = &whole[..whole.len() / 2];
    let long = ok(&"one".repeat(1000));
    for (surplus, delay) in [
        (whole.as_str(), 0),
        (&whole, 2),
        (&whole, 5),
        (&whole, 12),
        (half, 5),
        (&long, 5),
        (REJECTION, 5),
        ("HTTP/1.1 103 Early Hints\r\n\r\n", 5),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 5),
    ] {
        let answer = (0..50)
            .find_map(|_| answer_after_surplus(surplus, Duration::from_millis(delay)))
            .expect("the machine is too slow for this test");
        assert_eq!(answer, "two", "after {delay} ms: {surplus:?}");
    }
}

/// What is read together with an answer shows at once that the connection is unusable.
#[test]
fn a_connection_is_closed_after_an_answer_with_surplus_bytes() {
    let answer = ok("one");
    for spoilt in [
        format!("{answer}{answer}"),
        format!("{answer}{REJECTION}"),
        format!("{answer}x"),
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none and more".to_owned(),
    ] {
        let server = ScriptedPeer::new();
        let (_discovery, proxy) = start(&server);
        let mut client = Client::new(&proxy);
        ask_many(&mut client, &server, TRUST_REQUESTS);
        client.send(&submit("r-1", "5", "x"));
        let mut first = server.next_request();
        first.write(&spoilt);
        assert_eq!(text(&mut client), "one");
        client.send(&submit("r-2", "5", "x"));
        let mut second = server.next_request();
        assert_ne!(second.connection, first.connection, "{spoilt:?}");
        second.write(&ok("two"));
        assert_eq!(text(&mut client), "two", "{spoilt:?}");
    }
}

/// A rest costs capacity, so requests don't wait for one while endpoints answer each request once.
#[test]
fn connections_rest_only_at_the_start_and_after_a_surplus_answer() {
    let server = ScriptedPeer::new();
    let (_discovery, proxy) = start(&server);
    let mut client = Client::new(&proxy);
    ask_many(&mut client, &server, TRUST_REQUESTS);
    let rests = proxy.metric("node_connection_rests");
    assert!(rests > 0.0, "no connection rested at the start");
    ask_many(&mut client, &server, TRUST_REQUESTS);
    assert_eq!(proxy.metric("node_connection_rests"), rests);
    assert_eq!(proxy.metric("node_connections_opened"), 1.0);
    assert_eq!(proxy.metric("node_surplus_responses"), 0.0);

    client.send(&page("r-spoilt"));
    let mut spoilt = server.next_request();
    spoilt.write(&ok("once"));
    assert_eq!(text(&mut client), "once");
    spoilt.write(&ok("twice"));
    wait_for("the surplus answer", || {
        proxy.metric("node_surplus_responses") == 1.0
    });
    ask_many(&mut client, &server, TRUST_REQUESTS);
    assert!(
        proxy.metric("node_connection_rests") > rests,
        "no connection rests after a surplus answer"
    );
}

const CLIENTS: u64 = 8;
const REQUESTS_PER_CLIENT: u64 = 60;

/// Counts of a run with endpoints that answer twice.
#[derive(Default)]
struct Record {
    answers: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
    foreign: Mutex<Vec<String>>,
    served: AtomicU64,
}

/// An endpoint that rejects one request in fifteen, and answers one in ten a second time.
fn start_spoilt_endpoint(record: &Arc<Record>, delay: Duration) -> SocketAddr {
    let server = ScriptedPeer::new();
    let address = server.address;
    let record = record.clone();
    server.answer_all(move |mut request| {
        let n = record.answers.fetch_add(1, Ordering::Relaxed);
        let id = request.message.id().to_owned();
        let answer = if n % 15 == 14 {
            REJECTION.to_owned()
        } else {
            *record.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            thread::sleep(Duration::from_millis(15));
            ok(&id)
        };
        request.write(&answer);
        if n % 10 == 9 {
            thread::sleep(delay);
            request.write(&answer);
        }
    });
    address
}

fn run_client(record: &Record, proxy: &Proxy, client_number: u64) {
    let mut client = Client::new(proxy);
    for n in 0..REQUESTS_PER_CLIENT {
        let id = format!("c-{client_number}-{n}");
        let answer = if n % 3 == 0 {
            client.ask(&submit(&id, "5", "x"))
        } else {
            client.ask(&page(&id))
        };
        let answer = answer.expect("an answer");
        if answer.status() == 200 && answer.text() != id {
            record
                .foreign
                .lock()
                .unwrap()
                .push(format!("{id} got {}", answer.text()));
        }
        let served = u64::from(answer.status() == 200);
        record.served.fetch_add(served, Ordering::Relaxed);
        thread::sleep(Duration::from_millis((n * 7 + client_number * 13) % 40));
    }
}

/// Guards against foreign answers and requests that run twice among many clients, endpoints and connections.
#[test]
fn each_client_gets_its_own_answer_from_endpoints_that_answer_twice() {
    for delay in [2, 5, 12] {
        let record = Arc::new(Record::default());
        let servers: Vec<SocketAddr> = (0..4)
            .map(|_| start_spoilt_endpoint(&record, Duration::from_millis(delay)))
            .collect();
        let (_discovery, proxy) = start_proxy_for(&servers, &Setup::default());
        thread::scope(|scope| {
            for n in 0..CLIENTS {
                let (record, proxy) = (&record, &proxy);
                scope.spawn(move || run_client(record, proxy, n));
            }
        });
        let foreign = record.foreign.lock().unwrap();
        assert!(foreign.is_empty(), "{delay} ms: {foreign:?}");
        let runs = record.runs.lock().unwrap();
        let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
        assert!(twice.is_empty(), "{delay} ms: {twice:?}");
        let requests = CLIENTS * REQUESTS_PER_CLIENT;
        let served = record.served.load(Ordering::Relaxed);
        assert!(
            served * 10 > requests * 9,
            "{delay} ms: {served} of {requests} served"
        );
    }
}
