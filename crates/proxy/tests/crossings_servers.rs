//! Connections to endpoints: unexpected bytes while idle, late answers, connections that are never established, resets and
//! endless answers; and attempts that must not start any more.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Returns a request whose repetitions the endpoints discard within the deduplication window.
fn booking(id: &str, timeout: &str) -> String {
    submit(id, timeout, "x")
        .replace("/submit", "/booking")
        .replace("Host: x", "Host: x\r\nIdempotency-Key: k")
}

#[test]
fn an_idle_connection_is_not_reused_after_unexpected_bytes() {
    let whole = ok("another's answer");
    for unexpected in ["HTTP/1.1 200 OK\r\nContent-Le", "\r\n", "x", &whole] {
        let server = ScriptedPeer::new();
        let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
        let mut client = Client::new(&proxy);
        client.send(&submit("r-1", "5", "x"));
        let mut first = server.next_request();
        first.write(&ok("one"));
        assert_eq!(client.answer().expect("an answer").text(), "one");
        first.write(unexpected);
        client.send(&submit("r-2", "5", "x"));
        let mut second = server.next_request();
        second.write(&ok("two"));
        assert_ne!(second.connection, first.connection, "after {unexpected:?}");
        assert_eq!(
            client.answer().expect("an answer").text(),
            "two",
            "after {unexpected:?}"
        );
        assert!(
            server.try_next_request().is_none(),
            "the request was sent once"
        );
    }
}

#[test]
fn a_late_second_answer_meets_no_request_if_another_connection_has_been_idle_for_longer() {
    // If the machine pauses, the other connection has been idle for as long; then the case is repeated.
    let in_time = (0..50).any(|_| {
        let server = ScriptedPeer::new();
        let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
        let mut clients = [Client::new(&proxy), Client::new(&proxy)];
        let mut requests = Vec::new();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&page(&format!("r-{n}")));
            requests.push(server.next_request());
        }
        let mut last_answer = Instant::now();
        for (request, client) in requests.iter_mut().zip(&mut clients) {
            thread::sleep(Duration::from_millis(50)); // the first connection has been idle when the second is done
            last_answer = Instant::now();
            request.write(&ok("good"));
            assert_eq!(client.answer().expect("an answer").text(), "good");
        }
        clients[0].send(&page("r-next"));
        let mut next = server.next_request();
        if next.at - last_answer > Duration::from_millis(15) {
            return false;
        }
        requests[1].write(&ok("once more")); // after the next request has arrived
        next.write(&ok("next"));
        assert_eq!(next.connection, requests[0].connection);
        assert_eq!(clients[0].answer().expect("an answer").text(), "next");
        true
    });
    assert!(in_time, "the machine is too slow for this test");
}

#[test]
fn a_request_is_sent_at_most_once_to_an_endpoint_that_closes_the_connection() {
    let server = ScriptedPeer::new();
    let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
    let mut client = Client::new(&proxy);
    for n in 0..40 {
        client.send(&submit(&format!("r-{n}"), "5", "x"));
        let mut request = server.next_request();
        if n % 2 == 1 {
            // The endpoint has read the request and resets the connection, so it is unknown whether the request ran.
            request.reset();
            assert_eq!(status(client.answer()), 502);
        } else {
            request.write(&ok(""));
            request.close(); // this may race with the next request
            assert_eq!(status(client.answer()), 200);
        }
        assert!(
            server.try_next_request().is_none(),
            "request {n} was sent twice"
        );
    }
}

#[test]
fn a_retry_does_not_start_after_the_deduplication_window() {
    let (slow, full) = full_listener();
    let first = ScriptedPeer::new();
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", first.address, "up", 0)]));
    // The deduplication window is 2.5 s (`window`), and the connect timeout is much longer.
    let setup = Setup {
        connect_timeout: 30_000,
        deadline: 40_000,
        operations_enabled: true,
        ..Setup::default()
    };
    let proxy = Proxy::up(&discovery, &setup);
    let mut client = Client::new(&proxy);
    client.send(&booking("r-1", "40"));
    let request = first.next_request();
    let sent = Instant::now();
    discovery.publish(&list(
        2,
        false,
        &[host("s-1", slow.local_addr().expect("an address"), "up", 0)],
    ));
    wait_for("the other endpoint", || {
        proxy.metric("node_cluster_size") == 2.0
    });
    request.reset(); // the request may have run, and is retried where a repetition is discarded
    thread::sleep((sent + Duration::from_millis(2600)).saturating_duration_since(Instant::now()));
    for _ in &full {
        slow.accept().expect("a connection that filled the queue");
    }
    let (stream, _) = slow.accept().expect("the second attempt's connection");
    assert_eq!(status(client.answer()), 502, "the request may have run");
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("the timeout is set");
    assert!(
        read_message(&mut BufReader::new(&stream)).is_none(),
        "the attempt started after the window"
    );
    assert_eq!(proxy.metric("node_sends"), 1.0);
}

#[test]
fn a_connection_that_is_never_established_is_released_after_its_timeout() {
    let (unresponsive, _full) = full_listener();
    let server = ScriptedPeer::new();
    let addresses = [
        unresponsive.local_addr().expect("an address"),
        server.address,
    ];
    let (_discovery, proxy) = start_proxy_for(
        &addresses,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    for n in 0..12 {
        let mut client = Client::new(&proxy);
        client.send(&submit(&format!("r-{n}"), "5", "x"));
        server.next_request().write(&ok(""));
        assert_eq!(status(client.answer()), 200);
    }
    let descriptors = || proxy.descriptors();
    wait_for("the connections to be released", || descriptors() < 30);
    assert_eq!(proxy.metric("node_current"), 0.0);
}

#[test]
fn exhausting_the_proxy_s_sockets_ejects_no_endpoint() {
    let servers: Vec<ScriptedPeer> = (0..10).map(|_| ScriptedPeer::new()).collect();
    let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
    // So few sockets that only a handful are left for endpoints.
    let setup = Setup {
        sockets: 64,
        operations_enabled: true,
        connect_timeout: 200,
        ..Setup::default()
    };
    let (_discovery, proxy) = start_proxy_for(&addresses, &setup);
    let mut clients: Vec<Client> = (0..9).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "3", "x"));
    }
    let mut in_flight = Vec::new();
    wait_for("the attempts that have a socket", || {
        in_flight.extend(servers.iter().filter_map(ScriptedPeer::try_next_request));
        proxy.metric("node_current") == 9.0 - answered_count(&clients) as f64
            && in_flight.len() >= 2
    });
    thread::sleep(Duration::from_millis(600)); // three times the connect timeout
    assert_eq!(proxy.metric("node_cluster_unhealthy"), 0.0);
    for request in &mut in_flight {
        request.write(&ok(""));
    }
}

/// Returns the number of clients that have received an answer.
fn answered_count(clients: &[Client]) -> usize {
    clients.iter().filter(|c| c.has_answer()).count()
}

#[test]
fn a_reset_does_not_end_an_answer_without_a_length() {
    let server = ScriptedPeer::new();
    let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
    for (n, (head, closed, expected)) in [
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it",
            true,
            200,
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of i",
            false,
            502,
        ),
        ("HTTP/1.1 200 OK\r\n\r\nhalf of i", false, 502),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            true,
            502,
        ),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = Client::new(&proxy);
        client.send(&submit(&format!("r-{n}"), "5", "x"));
        let mut request = server.next_request();
        request.write(head);
        if closed {
            request.close()
        } else {
            request.reset()
        }
        assert_eq!(status(client.answer()), expected, "{head}");
    }
}

#[test]
fn an_endless_answer_is_ended_for_the_client() {
    let server = ScriptedPeer::new();
    let (_discovery, proxy) = start_proxy_for(
        &[server.address],
        &Setup {
            memory_mb: 64,
            ..Setup::default()
        },
    );
    // An answer that arrives slowly, in its head or in its body, until the deadline.
    for (n, (head, piece)) in [
        ("HTTP/1.1 200 OK\r\nX: ", "y"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nz\r\n",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = Client::new(&proxy);
        client.send(&submit(&format!("r-{n}"), "0.5", "x"));
        let mut request = server.next_request();
        let writer = thread::spawn(move || {
            request.write(head);
            while request.write(piece) {
                thread::sleep(Duration::from_millis(10));
            }
        });
        assert_eq!(status(client.answer()), 502);
        writer.join().expect("the connection is closed");
    }
    // A head that exceeds the size limit.
    let mut client = Client::new(&proxy);
    client.send(&submit("r-head", "5", "x"));
    server.next_request().write(&format!(
        "HTTP/1.1 200 OK\r\n{}\r\n",
        "X: yyyyyyyyyy\r\n".repeat(5000)
    ));
    assert_eq!(status(client.answer()), 502);
    // An answer that arrives as fast as it is read: it is truncated in a way that the client notices.
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .write_all(submit("r-flood", "5", "x").as_bytes())
        .expect("the bytes are accepted");
    let mut request = server.next_request();
    let flood = thread::spawn(move || {
        request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let piece = format!("4000\r\n{}\r\n", "z".repeat(0x4000));
        while request.write(&piece) {}
    });
    let (mut received, mut bytes) = (0, vec![0; 1 << 16]);
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let mut tail = Vec::new();
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        received += n;
        tail = bytes[..n].to_vec();
        if received > 40 << 20 {
            break; // the answer is not truncated
        }
    }
    drop(stream);
    flood.join().expect("the connection is closed");
    assert!((32 << 20..40 << 20).contains(&received), "{received} bytes");
    assert!(
        !tail.ends_with(b"\r\n0\r\n\r\n"),
        "the answer must not look complete"
    );
    assert!(proxy.memory_peak_mb() < 64.0);
}
