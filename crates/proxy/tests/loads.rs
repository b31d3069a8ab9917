//! What servers tell of their load with their answers.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

/// One of 32 proxies before four servers of one core, which have told of such a load with forty answers. Then four clients
/// send something at once. Returns who was asked before any of it was answered.
fn asked_at_once_after(load: &str) -> usize {
    let servers: Vec<Peer> = (0..4).map(|_| Peer::new()).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|s| s.address).collect();
    let (_discovery, proxy) = start_proxy_for(
        &addresses,
        &Setup {
            proxy_count: 32,
            ..Setup::default()
        },
    );
    let answer = ok("x").replace(
        "X-Own: kept",
        &format!("X-Own: kept\r\nX-Server-Load: {load}"),
    );
    let come = || {
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(call) = servers.iter().find_map(Peer::come) {
                return call;
            }
            assert!(Instant::now() < end, "a request");
            thread::sleep(Duration::from_millis(1));
        }
    };
    let mut clients: Vec<Client> = (0..4).map(|_| Client::new(&proxy)).collect();
    for n in 0..40 {
        clients[0].send(&submit(&format!("r-{n}"), "5", "x"));
        let mut call = come();
        thread::sleep(Duration::from_millis(10)); // all take as long, give or take what a machine adds
        call.write(&answer);
        let got = clients[0].answer().expect("an answer");
        assert_eq!(got.status(), 200);
        assert!(
            got.header("x-server-load").is_some(),
            "a header of the answer, passed on like any other"
        );
    }
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("s-{n}"), "5", "x"));
    }
    let mut calls = vec![come()];
    thread::sleep(Duration::from_millis(300)); // nothing more is to come, or all of it has
    calls.extend(std::iter::from_fn(|| servers.iter().find_map(Peer::come)));
    let count = calls.len();
    // Whoever waits has its turn.
    let mut answered = 0;
    while answered < 4 {
        let mut call = calls.pop().unwrap_or_else(come);
        call.write(&answer);
        answered += 1;
    }
    assert!(
        clients
            .iter_mut()
            .all(|c| c.answer().is_some_and(|a| a.status() == 200))
    );
    count
}

#[test]
fn a_proxy_sends_less_at_once_to_servers_that_tell_of_a_crowd() {
    assert_eq!(asked_at_once_after(r#"{"busy_reqs":30,"pending":0}"#), 1);
    assert_eq!(asked_at_once_after(r#"{"busy_reqs":1,"pending":0}"#), 4);
    assert_eq!(
        asked_at_once_after("spoilt"),
        4,
        "what can't be read tells nothing"
    );
}
