//! Load reports that endpoints send with their answers.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

/// Starts one of 32 proxies with four single-core endpoints that report this load with forty answers. Then four clients
/// send a request each at once. Returns the number of requests that are forwarded before the first is answered.
fn concurrent_attempts_after(load: &str) -> usize {
    let servers: Vec<ScriptedPeer> = (0..4).map(|_| ScriptedPeer::new()).collect();
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
    let next_request = || {
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(request) = servers.iter().find_map(ScriptedPeer::try_next_request) {
                return request;
            }
            assert!(Instant::now() < end, "a request");
            thread::sleep(Duration::from_millis(1));
        }
    };
    let mut clients: Vec<Client> = (0..4).map(|_| Client::new(&proxy)).collect();
    for n in 0..40 {
        clients[0].send(&submit(&format!("r-{n}"), "5", "x"));
        let mut request = next_request();
        thread::sleep(Duration::from_millis(10)); // every answer takes the same time, apart from scheduling delays
        request.write(&answer);
        let got = clients[0].answer().expect("an answer");
        assert_eq!(got.status(), 200);
        assert!(
            got.header("x-server-load").is_some(),
            "the header is forwarded like any other"
        );
    }
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("s-{n}"), "5", "x"));
    }
    let mut requests = vec![next_request()];
    thread::sleep(Duration::from_millis(300)); // by now all requests that are forwarded at once have arrived
    requests.extend(std::iter::from_fn(|| {
        servers.iter().find_map(ScriptedPeer::try_next_request)
    }));
    let count = requests.len();
    // The queued requests follow.
    let mut answered = 0;
    while answered < 4 {
        let mut request = requests.pop().unwrap_or_else(next_request);
        request.write(&answer);
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
fn a_proxy_forwards_fewer_concurrent_requests_to_endpoints_that_report_high_load() {
    assert_eq!(
        concurrent_attempts_after(r#"{"busy_reqs":30,"pending":0}"#),
        1
    );
    assert_eq!(
        concurrent_attempts_after(r#"{"busy_reqs":1,"pending":0}"#),
        4
    );
    assert_eq!(
        concurrent_attempts_after("spoilt"),
        4,
        "an invalid report is ignored"
    );
}
