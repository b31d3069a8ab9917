//! SIGTERM in each state: before the list, with requests queued, partly read, or sent to an endpoint that hangs; and requests
//! that arrive during the shutdown.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

fn proxy_with(servers: &[&ScriptedPeer], setup: &Setup) -> (Discovery, Proxy) {
    let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
    start_proxy_for(&addresses, setup)
}

/// Waits until the process has handled the signal and accepts no more connections.
fn wait_until_closed(proxy: &Proxy) {
    wait_for("the listener to close", || {
        TcpStream::connect(proxy.address).is_err()
    });
}

#[test]
fn a_process_terminated_before_its_list_answers_accepted_requests_and_exits() {
    let agent = ScriptedPeer::new();
    let mut proxy = Proxy::start(
        &agent.as_discovery(),
        &Setup {
            deadline: 400,
            ..Setup::default()
        },
    );
    let _watch = agent.next_request();
    let mut client = Client::new(&proxy);
    client.send(&submit("r-1", "0.4", "x"));
    proxy.terminate();
    assert_eq!(status(client.answer()), 503, "the request never ran");
    assert!(proxy.wait().success());
}

#[test]
fn a_second_signal_does_not_affect_requests_in_flight() {
    let server = ScriptedPeer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    let mut client = Client::new(&proxy);
    client.send(&submit("r-1", "5", "x"));
    let mut request = server.next_request();
    proxy.terminate();
    wait_for("the signal to be handled", || !proxy.is_up());
    proxy.terminate();
    proxy.signal("-INT");
    wait_until_closed(&proxy);
    request.write(&ok("whole"));
    assert_eq!(client.answer().expect("an answer").text(), "whole");
    assert!(proxy.wait().success());
}

#[test]
fn a_partly_read_head_is_read_to_its_end_after_the_signal() {
    let server = ScriptedPeer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    // One on a new connection and one on a connection that has had an answer.
    let mut clients = [Client::new(&proxy), Client::new(&proxy)];
    clients[1].send(&page("r-0"));
    server.next_request().write(&ok(""));
    assert_eq!(status(clients[1].answer()), 200);
    let requests = ["r-1", "r-2"].map(page);
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request[..40]);
    }
    // Once a later request is answered, the first halves have been read.
    let mut other = Client::new(&proxy);
    other.send(&page("r-other"));
    server.next_request().write(&ok(""));
    assert_eq!(status(other.answer()), 200);
    proxy.terminate();
    wait_until_closed(&proxy);
    thread::sleep(Duration::from_millis(200)); // by now a process without open requests has exited
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request[40..]);
        server.next_request().write(&ok("late"));
        assert_eq!(client.answer().expect("an answer").text(), "late");
    }
    assert!(proxy.wait().success());
}

#[test]
fn with_hanging_endpoints_each_request_is_answered_once_and_the_process_exits_in_time() {
    let servers = [ScriptedPeer::new(), ScriptedPeer::new()];
    let setup = Setup {
        deadline: 300,
        ..Setup::default()
    };
    let (_discovery, mut proxy) = proxy_with(&[&servers[0], &servers[1]], &setup);
    // More than the endpoints' slots: some requests are in flight and some are queued.
    let mut clients: Vec<Client> = (0..24).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&if n % 2 == 0 {
            page("r-a")
        } else {
            submit("r-b", "0.3", "x")
        });
    }
    let _unanswered = (servers[0].next_request(), servers[1].next_request());
    proxy.terminate();
    let terminated = Instant::now();
    // Clients send further requests on each connection that stays open.
    let floods: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let mut answers = 0;
                while let Some(answer) = client.answer() {
                    assert!([502, 503].contains(&answer.status()));
                    answers += 1;
                    if answer.header("connection") == Some("close") {
                        assert!(client.is_closed());
                        break;
                    }
                    client.send(&page("r-again"));
                }
                answers
            })
        })
        .collect();
    for flood in floods {
        assert!(
            flood.join().expect("valid answers") >= 1,
            "each client has an answer"
        );
    }
    assert!(proxy.wait().success());
    assert!(
        terminated.elapsed() < Duration::from_secs(3),
        "the process waits for a hanging endpoint: {:?}",
        terminated.elapsed()
    );
}

#[test]
fn a_request_that_races_with_the_close_of_an_idle_connection_is_answered_or_never_forwarded() {
    let backend = Backend::with(|m| BackendAction::Write(ok(m.id())));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup::default());
    let mut clients: Vec<Client> = (0..60).map(|_| Client::new(&proxy)).collect();
    for client in clients.iter_mut().step_by(2) {
        assert_eq!(status(client.ask(&page("r-first"))), 200);
    }
    proxy.terminate();
    // The clients send at different times around the close, each request in two parts.
    let senders: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250 + 8 * n as u64));
                let (id, request) = (format!("r-{n}"), page(&format!("r-{n}")));
                client.send(&request[..50]);
                client.send(&request[50..]);
                (client.answer().map(|a| a.text()), id)
            })
        })
        .collect();
    let results: Vec<_> = senders
        .into_iter()
        .map(|c| c.join().expect("no panic"))
        .collect();
    assert!(proxy.wait().success());
    let seen: Vec<String> = backend.seen().iter().map(|m| m.id().to_owned()).collect();
    for (answer, id) in results {
        assert_eq!(
            answer.as_deref(),
            seen.contains(&id).then_some(id.as_str()),
            "{id}"
        );
    }
}

#[test]
fn pipelined_requests_after_the_last_one_are_not_served() {
    let server = ScriptedPeer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .write_all(format!("{}{}", page("r-1"), page("r-2")).as_bytes())
        .expect("the bytes are accepted");
    let mut request = server.next_request();
    proxy.terminate();
    wait_for("the signal to be handled", || !proxy.is_up());
    request.write(&ok("first"));
    let received = read_until_closed(&mut stream).expect("an end without a reset");
    let received = String::from_utf8_lossy(&received);
    assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{received}");
    assert!(
        received.ends_with("first") && received.to_lowercase().contains("connection: close"),
        "{received}"
    );
    drop(stream);
    assert!(proxy.wait().success());
    assert!(server.try_next_request().is_none());
}

/// Bytes of a body that is too large to be buffered whole.
const STREAMED_BODY_BYTES: usize = 3 << 20;

/// Sends the head of a request and the first part of its body.
fn begin_upload(proxy: &Proxy, body_bytes: usize, sent_bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let head = format!(
        "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r-1\r\nX-Tenant-Id: acme\r\nX-Timeout: 4\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .expect("the bytes are accepted");
    stream
        .write_all(&vec![b'x'; sent_bytes])
        .expect("the bytes are accepted");
    stream
}

fn read_answer(stream: &TcpStream) -> Option<Message> {
    read_message(&mut BufReader::new(stream))
}

/// Guards against a streamed body whose end starts a timeout that lasts beyond the end of the process: the request ran
/// and was never answered.
#[test]
fn a_streamed_body_that_ends_late_in_a_shutdown_is_answered_before_the_process_exits() {
    let server = ScriptedPeer::new();
    let setup = Setup {
        deadline: 2000,
        ..Setup::default()
    };
    let (_discovery, mut proxy) = proxy_with(&[&server], &setup);
    let missing_bytes = 1000;
    let mut client = begin_upload(
        &proxy,
        STREAMED_BODY_BYTES,
        STREAMED_BODY_BYTES - missing_bytes,
    );
    proxy.terminate();
    thread::sleep(Duration::from_millis(1500));
    client
        .write_all(&vec![b'x'; missing_bytes])
        .expect("the bytes are accepted");
    let _unanswered = server.next_request();
    assert_eq!(status(read_answer(&client)), 502, "it may have run");
    assert!(proxy.wait().success());
}

/// Guards against bodies that are still being received when the process exits: a last byte written by then would get no
/// answer.
#[test]
fn bodies_that_are_incomplete_at_the_end_of_a_shutdown_are_answered_and_never_run() {
    let server = ScriptedPeer::new();
    let setup = Setup {
        deadline: 1000,
        ..Setup::default()
    };
    let (_discovery, mut proxy) = proxy_with(&[&server], &setup);
    let uploads: Vec<_> = [STREAMED_BODY_BYTES, 1 << 20, 60_000]
        .into_iter()
        .map(|body_bytes| begin_upload(&proxy, body_bytes, body_bytes - 1000))
        .collect();
    proxy.terminate();
    // The clients go on sending, so that no body counts as stalled.
    let answers: Vec<_> = uploads
        .into_iter()
        .map(|mut stream| {
            let reader = stream.try_clone().expect("a handle");
            let sender = thread::spawn(move || {
                for _ in 0..100 {
                    thread::sleep(Duration::from_millis(50));
                    if stream.write_all(b"x").is_err() {
                        return;
                    }
                }
            });
            (reader, sender)
        })
        .collect();
    for (reader, sender) in answers {
        let status = status(read_answer(&reader));
        assert!([408, 502, 503].contains(&status), "{status}");
        sender.join().expect("no panic");
    }
    assert!(proxy.wait().success());
    assert!(server.try_next_request().is_none());
}

/// Guards against an answer that is cut off by the end of the process while its endpoint and its client still take part.
#[test]
fn a_long_answer_is_passed_on_to_its_end_in_a_shutdown() {
    let server = ScriptedPeer::new();
    let setup = Setup {
        deadline: 300,
        ..Setup::default()
    };
    let (_discovery, mut proxy) = proxy_with(&[&server], &setup);
    let client = TcpStream::connect(proxy.address).expect("the proxy accepts");
    client
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    (&client)
        .write_all(page("r-1").as_bytes())
        .expect("the bytes are accepted");
    let mut request = server.next_request();
    let answer = ok(&"x".repeat(30 << 20));
    let endpoint = thread::spawn(move || request.write(&answer));
    wait_for("the first bytes", || {
        client.peek(&mut [0]).is_ok_and(|bytes| bytes > 0)
    });
    proxy.terminate();
    // By then a process exits that waits for the longest deadline only.
    thread::sleep(Duration::from_millis(1500));
    let answer = read_answer(&client).expect("the whole answer");
    assert_eq!(answer.body.len(), 30 << 20);
    assert!(endpoint.join().expect("no panic"));
    assert!(proxy.wait().success());
}
