//! Clients that disconnect while their request is queued, being sent or about to be retried, and pipelined requests.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    /// The client shuts down writing and still reads. The proxy can't distinguish this from a close.
    HalfClose,
}

/// Sends bytes on a new connection.
fn connect_and_send(proxy: &Proxy, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .write_all(text.as_bytes())
        .expect("the bytes are accepted");
    stream
}

/// Disconnects; returns the stream if it is still open for reading.
fn disconnect(stream: TcpStream, how: Leave) -> Option<TcpStream> {
    match how {
        Leave::Close => {}
        Leave::Reset => reset_on_close(&stream),
        Leave::HalfClose => {
            stream
                .shutdown(std::net::Shutdown::Write)
                .expect("a connection");
            return Some(stream);
        }
    }
    None
}

/// Starts a proxy whose only endpoint drains, so that all requests are queued.
fn proxy_with_draining_endpoint(peer: &ScriptedPeer) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", peer.address, "draining", 0)]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            deadline: 20_000,
            ..Setup::default()
        },
    );
    (discovery, proxy)
}

#[test]
fn a_queued_request_whose_client_disconnected_is_not_forwarded() {
    let large_head = format!(
        "{}{}",
        page("r-behind"),
        "GET /page HTTP/1.1\r\n".to_owned() + &"X: y\r\n".repeat(20_000)
    );
    for how in [Leave::Close, Leave::Reset, Leave::HalfClose] {
        let (peer, mut ids) = (ScriptedPeer::new(), Vec::new());
        let (discovery, proxy) = proxy_with_draining_endpoint(&peer);
        let mut open = Vec::new();
        for (n, behind) in ["", &page("r-behind"), &page("r-behind")[..30], &large_head]
            .into_iter()
            .enumerate()
        {
            let stream = connect_and_send(
                &proxy,
                &format!("{}{behind}", submit(&format!("r-{n}"), "20", "x")),
            );
            wait_for("the request to be accepted", || {
                proxy.metric("node_current") == 1.0
            });
            open.extend(disconnect(stream, how));
            wait_for("the request to be dropped", || {
                proxy.metric("node_current") == 0.0
            });
        }
        assert_eq!(
            proxy.metric("node_abandoned{group=\"submit\"}"),
            4.0,
            "{how:?}"
        );
        discovery.publish(&list(2, false, &[host("s-0", peer.address, "up", 0)]));
        let mut last = Client::new(&proxy);
        last.send(&submit("r-last", "20", "x"));
        let mut request = peer.next_request();
        ids.push(request.message.id().to_owned());
        request.write(&ok(""));
        assert_eq!(status(last.answer()), 200);
        ids.extend(peer.try_next_request().map(|c| c.message.id().to_owned()));
        assert_eq!(ids, ["r-last"], "{how:?}");
    }
}

#[test]
fn nothing_is_sent_for_clients_that_disconnected_while_the_endpoint_connection_was_established() {
    let (slow, full) = full_listener();
    let discovery = Discovery::new();
    discovery.publish(&list(
        1,
        true,
        &[host("s-0", slow.local_addr().expect("an address"), "up", 0)],
    ));
    let setup = Setup {
        operations_enabled: true,
        connect_timeout: 30_000,
        deadline: 40_000,
        ..Setup::default()
    };
    let proxy = Proxy::up(&discovery, &setup);
    // Enough to fill the endpoint's slots: no connection is established, and the last requests are queued.
    let clients: Vec<TcpStream> = (0..12)
        .map(|n| connect_and_send(&proxy, &submit(&format!("r-{n}"), "40", "x")))
        .collect();
    wait_for("all requests to be accepted", || {
        proxy.metric("node_current") == 12.0
    });
    drop(clients);
    wait_for("all requests to be dropped", || {
        proxy.metric("node_current") == 0.0
    });
    let mut last = Client::new(&proxy);
    last.send(&submit("r-last", "40", "x"));
    wait_for("the request to be accepted", || {
        proxy.metric("node_current") == 1.0
    });
    // Accepting connections makes room in the queue.
    for _ in &full {
        slow.accept().expect("a connection that filled the queue");
    }
    let mut seen = Vec::new();
    while seen.is_empty() {
        let (stream, _) = slow.accept().expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("the timeout is set");
        if let Some(message) = read_message(&mut BufReader::new(&stream)) {
            seen.push(message.id().to_owned());
            (&stream)
                .write_all(ok("").as_bytes())
                .expect("the connection is open");
        }
    }
    assert_eq!(seen, ["r-last"]);
    assert_eq!(status(last.answer()), 200);
    assert_eq!(
        proxy.metric("node_sends"),
        1.0,
        "nothing was sent for the disconnected clients"
    );
}

/// Waits for the next request at any endpoint.
fn next_request_at_any(servers: &[ScriptedPeer]) -> ReceivedRequest {
    let mut request = None;
    wait_for("a request", || {
        request = servers.iter().find_map(ScriptedPeer::try_next_request);
        request.is_some()
    });
    request.expect("a request has arrived")
}

#[test]
fn no_second_attempt_starts_for_a_client_that_disconnected_during_the_first() {
    let servers = [ScriptedPeer::new(), ScriptedPeer::new()];
    let discovery = Discovery::new();
    discovery.publish(&list(
        1,
        true,
        &[0, 1].map(|i| host(&format!("s-{i}"), servers[i].address, "up", 0)),
    ));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    for (disconnected, behind) in [String::new(), page("r-behind")].into_iter().enumerate() {
        let stream = connect_and_send(&proxy, &format!("{}{behind}", page("r-1")));
        let first = next_request_at_any(&servers);
        let before = proxy.metric("node_sends");
        drop(stream);
        let abandoned = || proxy.metric("node_abandoned{group=\"page\"}");
        wait_for("the request to be dropped", || {
            proxy.metric("node_current") == 0.0
        });
        assert_eq!(
            abandoned(),
            disconnected as f64 + 1.0,
            "the client disconnected before the deadline"
        );
        first.reset();
        // Once another request is served, the end of the first attempt has been handled.
        let mut next = Client::new(&proxy);
        next.send(&page("r-next"));
        let mut request = next_request_at_any(&servers);
        assert_eq!(request.message.id(), "r-next");
        request.write(&ok(""));
        assert_eq!(status(next.answer()), 200);
        assert_eq!(proxy.metric("node_sends"), before + 1.0);
        assert!(servers.iter().all(|s| s.try_next_request().is_none()));
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = Backend::with(|m| BackendAction::Write(ok(m.id())));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut client = Client::new(&proxy);
    let all: String = (0..50)
        .map(|n| match n % 3 {
            0 => page(&format!("r-{n}")),
            1 => submit(&format!("r-{n}"), "5", "body"),
            // With a chunked body followed by an empty line.
            _ => submit(&format!("r-{n}"), "5", "").replace(
                "Content-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\r\n",
            ),
        })
        .collect();
    // Sent in pieces that split requests; the end of the last request follows once all others are answered.
    let (first_part, last_part) = all.split_at(all.len() - 30);
    first_part
        .as_bytes()
        .chunks(777)
        .for_each(|piece| client.send(&String::from_utf8_lossy(piece)));
    for n in 0..49 {
        assert_eq!(client.answer().expect("an answer").text(), format!("r-{n}"));
    }
    client.send(last_part);
    assert_eq!(client.answer().expect("the last answer").text(), "r-49");
}

#[test]
fn unread_pipelined_bytes_do_not_truncate_the_last_answer_of_a_connection() {
    let peer = ScriptedPeer::new();
    let discovery = Discovery::new();
    discovery.publish(&list(1, true, &[host("s-0", peer.address, "up", 0)]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(4096)
        .expect("the option is set"); // so that the answer is queued in the proxy's socket
    socket
        .connect(&proxy.address.into())
        .expect("the proxy accepts");
    let mut stream = TcpStream::from(socket);
    stream
        .set_write_timeout(Some(LIMIT))
        .expect("the option is set");
    stream
        .write_all(submit("r-1", "5", "x").as_bytes())
        .expect("the bytes are accepted");
    let mut request = peer.next_request();
    // This is the last answer, because the process shuts down and because more bytes follow the request than are buffered.
    proxy.terminate();
    wait_for("the signal to be handled", || !proxy.is_up());
    let behind = page("r-behind").repeat(3000);
    stream
        .write_all(behind.as_bytes())
        .expect("all bytes are accepted");
    let body = "0123456789abcdef".repeat(4000);
    request.write(&ok(&body));
    // The client keeps sending while the answer is in transit.
    let mut more = stream.try_clone().expect("a handle");
    let flood = std::thread::spawn(move || while more.write_all(&[b'x'; 1000]).is_ok() {});
    let received = read_until_closed(&mut stream).unwrap_or_else(|truncated| truncated);
    assert!(
        String::from_utf8_lossy(&received).ends_with(&body),
        "{} bytes received",
        received.len()
    );
    let _ = stream.shutdown(std::net::Shutdown::Both); // it may already be closed
    flood.join().expect("the thread ends with the connection");
    assert!(
        peer.try_next_request().is_none(),
        "no pipelined request was forwarded"
    );
}
