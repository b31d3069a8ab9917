//! Connections to servers and what comes on them: spoilt while at rest, late, never up, reset, without an end; and attempts that may
//! not begin any more.
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

/// A request whose repeats are dropped for a while.
fn booking(id: &str, timeout: &str) -> String {
    submit(id, timeout, "x")
        .replace("/submit", "/booking")
        .replace("Host: x", "Host: x\r\nIdempotency-Key: k")
}

#[test]
fn a_connection_at_rest_is_not_used_once_anything_has_come_on_it() {
    let whole = ok("another's answer");
    for spoilt in ["HTTP/1.1 200 OK\r\nContent-Le", "\r\n", "x", &whole] {
        let server = Peer::new();
        let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
        let mut client = Client::new(&proxy);
        client.send(&submit("r-1", "5", "x"));
        let mut first = server.next();
        first.write(&ok("one"));
        assert_eq!(client.answer().expect("an answer").text(), "one");
        first.write(spoilt);
        client.send(&submit("r-2", "5", "x"));
        let mut second = server.next();
        second.write(&ok("two"));
        assert_ne!(second.connection, first.connection, "after {spoilt:?}");
        assert_eq!(
            client.answer().expect("an answer").text(),
            "two",
            "after {spoilt:?}"
        );
        assert!(server.come().is_none(), "it went out once");
    }
}

#[test]
fn a_second_answer_that_comes_late_finds_no_request_where_another_connection_has_rested() {
    // A machine that pauses lets the other connection rest, too: then it is played again.
    let quick = (0..50).any(|_| {
        let server = Peer::new();
        let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
        let mut clients = [Client::new(&proxy), Client::new(&proxy)];
        let mut calls = Vec::new();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&page(&format!("r-{n}")));
            calls.push(server.next());
        }
        let mut done = Instant::now();
        for (call, client) in calls.iter_mut().zip(&mut clients) {
            thread::sleep(Duration::from_millis(50)); // the first has rested when the second is done
            done = Instant::now();
            call.write(&ok("good"));
            assert_eq!(client.answer().expect("an answer").text(), "good");
        }
        clients[0].send(&page("r-next"));
        let mut next = server.next();
        if next.at - done > Duration::from_millis(15) {
            return false;
        }
        calls[1].write(&ok("once more")); // after the next request has come
        next.write(&ok("next"));
        assert_eq!(next.connection, calls[0].connection);
        assert_eq!(clients[0].answer().expect("an answer").text(), "next");
        true
    });
    assert!(quick, "the machine is too slow to tell");
}

#[test]
fn a_server_that_closes_as_a_request_goes_out_has_it_once_at_most() {
    let server = Peer::new();
    let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
    let mut client = Client::new(&proxy);
    for n in 0..40 {
        client.send(&submit(&format!("r-{n}"), "5", "x"));
        let mut call = server.next();
        if n % 2 == 1 {
            // It has been read; then the connection goes, and nobody knows whether it ran.
            call.reset();
            assert_eq!(status(client.answer()), 502);
        } else {
            call.write(&ok(""));
            call.close(); // this may cross the next request
            assert_eq!(status(client.answer()), 200);
        }
        assert!(server.come().is_none(), "request {n} went out twice");
    }
}

#[test]
fn a_repeat_that_is_dropped_only_for_a_while_does_not_begin_after_that() {
    let (slow, full) = full_listener();
    let first = Peer::new();
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", first.address, "up", 0)]));
    // Repeats are dropped for 2.5 s (`window`), and a connection is waited for much longer.
    let setup = Setup {
        connect_timeout: 30_000,
        deadline: 40_000,
        operations_enabled: true,
        ..Setup::default()
    };
    let proxy = Proxy::up(&discovery, &setup);
    let mut client = Client::new(&proxy);
    client.send(&booking("r-1", "40"));
    let call = first.next();
    let sent = Instant::now();
    discovery.publish(&list(
        2,
        false,
        &[host("s-1", slow.local_addr().expect("an address"), "up", 0)],
    ));
    wait_for("the other server", || {
        proxy.metric("node_cluster_size") == 2.0
    });
    call.reset(); // it may have run, and is tried where its repeat is dropped
    thread::sleep((sent + Duration::from_millis(2600)).saturating_duration_since(Instant::now()));
    for _ in &full {
        slow.accept().expect("one that filled the queue");
    }
    let (stream, _) = slow.accept().expect("the second attempt's connection");
    assert_eq!(status(client.answer()), 502, "it may have run");
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("a time-out");
    assert!(
        read_message(&mut BufReader::new(&stream)).is_none(),
        "it began after its window"
    );
    assert_eq!(proxy.metric("node_sends"), 1.0);
}

#[test]
fn one_that_never_comes_up_holds_nothing_past_its_bound() {
    let (mute, _full) = full_listener();
    let server = Peer::new();
    let at = [mute.local_addr().expect("an address"), server.address];
    let (_discovery, proxy) = start_proxy_for(
        &at,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    for n in 0..12 {
        let mut client = Client::new(&proxy);
        client.send(&submit(&format!("r-{n}"), "5", "x"));
        server.next().write(&ok(""));
        assert_eq!(status(client.answer()), 200);
    }
    let descriptors = || proxy.descriptors();
    wait_for("what hung to be let go", || descriptors() < 30);
    assert_eq!(proxy.metric("node_current"), 0.0);
}

#[test]
fn a_shortage_of_sockets_of_its_own_says_nothing_against_a_server() {
    let servers: Vec<Peer> = (0..10).map(|_| Peer::new()).collect();
    let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
    // So few sockets that a handful at most go to servers.
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
    let mut held = Vec::new();
    wait_for("those that have a socket", || {
        held.extend(servers.iter().filter_map(Peer::come));
        proxy.metric("node_current") == 9.0 - answered(&clients) as f64 && held.len() >= 2
    });
    thread::sleep(Duration::from_millis(600)); // three times what a connection may take
    assert_eq!(proxy.metric("node_cluster_unhealthy"), 0.0);
    for call in &mut held {
        call.write(&ok(""));
    }
}

/// How many have their answer by now.
fn answered(clients: &[Client]) -> usize {
    clients.iter().filter(|c| c.has_answer()).count()
}

#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let server = Peer::new();
    let (_discovery, proxy) = start_proxy_for(&[server.address], &Setup::default());
    for (n, (head, ends, wanted)) in [
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
        let mut call = server.next();
        call.write(head);
        if ends {
            call.close()
        } else {
            call.reset()
        }
        assert_eq!(status(client.answer()), wanted, "{head}");
    }
}

#[test]
fn an_answer_that_has_no_end_has_one_for_the_client() {
    let server = Peer::new();
    let (_discovery, proxy) = start_proxy_for(
        &[server.address],
        &Setup {
            memory_mb: 64,
            ..Setup::default()
        },
    );
    // One that trickles, in its head or in its body, until the request's time is over.
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
        let mut call = server.next();
        let writes = thread::spawn(move || {
            call.write(head);
            while call.write(piece) {
                thread::sleep(Duration::from_millis(10));
            }
        });
        assert_eq!(status(client.answer()), 502);
        writes.join().expect("its connection is ended");
    }
    // A head over the limit.
    let mut client = Client::new(&proxy);
    client.send(&submit("r-head", "5", "x"));
    server.next().write(&format!(
        "HTTP/1.1 200 OK\r\n{}\r\n",
        "X: yyyyyyyyyy\r\n".repeat(5000)
    ));
    assert_eq!(status(client.answer()), 502);
    // One that comes as fast as it is read: it is cut, so that its client can tell.
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .write_all(submit("r-flood", "5", "x").as_bytes())
        .expect("it takes it");
    let mut call = server.next();
    let floods = thread::spawn(move || {
        call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let piece = format!("4000\r\n{}\r\n", "z".repeat(0x4000));
        while call.write(&piece) {}
    });
    let (mut all, mut bytes) = (0, vec![0; 1 << 16]);
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut tail = Vec::new();
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        all += n;
        tail = bytes[..n].to_vec();
        if all > 40 << 20 {
            break; // it goes on for ever
        }
    }
    drop(stream);
    floods.join().expect("its connection is ended");
    assert!((32 << 20..40 << 20).contains(&all), "{all} bytes");
    assert!(!tail.ends_with(b"\r\n0\r\n\r\n"), "it does not look whole");
    assert!(proxy.memory_peak_mb() < 64.0);
}
