//! Behavior of the proxy on loopback sockets, one failure per test.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::Command;

use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Starts a proxy with these endpoints, all up.
fn proxy_with(backends: &[&Backend]) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(backends));
    let proxy = Proxy::up(&discovery, &Setup::default());
    (discovery, proxy)
}

#[test]
fn requests_and_answers_are_forwarded_unchanged() {
    let backend = Backend::new(BackendAction::Write(ok("the answer")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = Client::new(&proxy);
    let request = "POST /booking/7?sid=a%20b&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: r-1\r\n\
        X-Tenant-Id: acme\r\nX-Timeout: 3.5\r\nIdempotency-Key: k-1\r\nConnection: keep-alive, X-Hop\r\n\
        X-Hop: 1\r\nContent-Length: 4\r\n\r\nbody";
    let answer = client.ask(request).expect("an answer");
    assert_eq!(
        (answer.status(), answer.text().as_str()),
        (200, "the answer")
    );
    assert_eq!(answer.header("x-own"), Some("kept"));
    let seen = &backend.seen()[0];
    assert_eq!(seen.first, "POST /booking/7?sid=a%20b&x=1 HTTP/1.1");
    assert_eq!(
        (
            seen.id(),
            seen.header("idempotency-key"),
            seen.text().as_str()
        ),
        ("r-1", Some("k-1"), "body")
    );
    assert_eq!(
        (seen.header("host"), seen.header("x-hop")),
        (Some("origin.svc"), None)
    );
    let left: f64 = seen
        .header("x-timeout")
        .expect("a time")
        .parse()
        .expect("a number");
    assert!(left > 0.0 && left <= 3.5, "{left}");
    // The connections on both sides are reused.
    assert_eq!(status(client.ask(&page("r-2"))), 200);
    assert_eq!(backend.seen().len(), 2);
    assert_eq!(backend.opened.load(std::sync::atomic::Ordering::SeqCst), 1);
}

#[test]
fn the_proxy_is_up_only_once_it_has_the_list() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    let proxy = Proxy::start(&discovery, &Setup::default());
    wait_for("the watch", || {
        !discovery.requests.lock().unwrap().is_empty()
    });
    assert!(!proxy.is_up());
    discovery.publish(&all_up(&[&backend]));
    wait_for("/up", || proxy.is_up());
}

#[test]
fn a_requested_list_is_awaited_without_repeating_the_request() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery
        .response_delay_ms
        .store(1600, std::sync::atomic::Ordering::SeqCst);
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::start(
        &discovery,
        &Setup {
            fetch_list: true,
            ..Setup::default()
        },
    );
    wait_for("/up", || proxy.is_up());
    assert_eq!(
        discovery.requests.lock().unwrap().len(),
        1,
        "the request was repeated, which puts it at the end of the queue"
    );
}

#[test]
fn without_discovery_the_remembered_list_is_used() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let mut discovery = Discovery::new();
    discovery.address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap(); // nothing listens there any more
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            cached_list: all_up(&[&backend]),
            ..Setup::default()
        },
    );
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
}

#[test]
fn invalid_and_stale_updates_are_ignored_and_the_watch_resumes() {
    let (old, new) = (
        Backend::new(BackendAction::Write(ok("old"))),
        Backend::new(BackendAction::Write(ok("new"))),
    );
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&old]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    // An invalid line may hide a change: the watch resumes after the last valid version.
    discovery.publish(r#"{"seq":2,"whole":false,"hosts":"#);
    let resumed = || {
        discovery
            .requests
            .lock()
            .unwrap()
            .iter()
            .any(|m| m.first.contains("watch=1&after=1 "))
    };
    wait_for("a watch that resumes", resumed);
    // An invalid entry doesn't affect the others.
    let invalid = [
        r#"{"host":3}"#,
        "null",
        r#"{"host":"s-odd","dial":"nowhere","health":"up","born_ms":"x"}"#,
    ];
    let mut lines: Vec<String> = invalid.iter().map(|entry| entry.to_string()).collect();
    lines.push(host("s-new", new.address, "up", 0));
    discovery.publish(&list(5, true, &lines));
    let text = |id: &str| {
        Client::new(&proxy)
            .ask(&page(id))
            .expect("an answer")
            .text()
    };
    wait_for("the new list", || text("r-1") == "new");
    discovery.publish(&list(4, true, &[host("s-0", old.address, "up", 0)]));
    wait_for("the log line", || {
        proxy.log.lock().unwrap().contains("stale")
    });
    assert_eq!(text("r-2"), "new");
}

#[test]
fn after_sighup_the_list_comes_from_the_address_of_the_new_file() {
    let (old, new) = (
        Backend::new(BackendAction::Write(ok("old"))),
        Backend::new(BackendAction::Write(ok("new"))),
    );
    let (first, mut proxy) = proxy_with(&[&old]);
    let second = Discovery::new();
    proxy.reconfigure("{\"discovery\":");
    wait_for("the log line about the file", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("is invalid and has been ignored")
    });
    proxy.reconfigure(&config(second.address, &Setup::default()));
    wait_for("a watch at the new address", || {
        !second.requests.lock().unwrap().is_empty()
    });
    drop(first);
    // The versions of the new address start again.
    second.publish(&list(0, true, &[host("s-new", new.address, "up", 0)]));
    let text = |id: &str| {
        Client::new(&proxy)
            .ask(&page(id))
            .expect("an answer")
            .text()
    };
    wait_for("the new list", || text("r-1") == "new");
    second.publish(&list(
        1,
        false,
        &[
            host("s-0", old.address, "up", 0),
            host("s-new", new.address, "removed", 0),
        ],
    ));
    wait_for("the change", || text("r-2") == "old");
    assert!(proxy.is_running());
}

#[test]
fn invalid_requests_get_a_4xx_answer_and_reach_no_endpoint() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let valid = submit("r-1", "5", "body");
    let cases = [
        (valid.replace("/submit", "/nothing"), 404),
        (valid.replace("POST", "GET"), 405),
        (page("r-1").replace("GET", "POST"), 405),
        (valid.replace("X-Request-ID: r-1\r\n", ""), 400),
        (valid.replace("X-Tenant-Id: acme\r\n", ""), 400),
        (valid.replace("acme", "nobody"), 400),
        (valid.replace("X-Timeout: 5\r\n", ""), 400),
        (valid.replace("X-Timeout: 5", "X-Timeout: soon"), 400),
        (valid.replace("X-Timeout: 5", "X-Timeout: -1"), 400),
        (valid.replace("X-Timeout: 5", "X-Timeout: inf"), 400),
        (
            valid.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Timeout: 6"),
            400,
        ),
        (
            valid.replace("X-Timeout: 5", "X-Timeout: 5\r\nX-Cost: much"),
            400,
        ),
        (
            valid.replace("Host: x", "Host: x\r\nIdempotency-Key: k"),
            400,
        ),
        (valid.replace("/submit", "/booking"), 400),
        (valid.replace("Host: x", "no header"), 400),
        ("\u{1}\u{2}\u{3}\r\n\r\n".into(), 400),
    ];
    for (request, expected) in &cases {
        assert_eq!(
            status(Client::new(&proxy).ask(request)),
            *expected,
            "{:.200}",
            request
        );
    }
    assert!(backend.seen().is_empty());
    let largest = "x".repeat(64 << 10);
    assert_eq!(
        status(Client::new(&proxy).ask(&submit("r-2", "1e300", &largest))),
        200
    );
    assert_eq!(backend.seen()[0].body.len(), 64 << 10);
    assert!(proxy.is_running());
}

/// Sends a request that must not run twice to a proxy with two endpoints that answer alike. Returns the status and the
/// number of attempts.
fn send_unrepeatable(answer: BackendAction) -> (u16, usize) {
    let (one, two) = (Backend::new(answer.clone()), Backend::new(answer));
    let (_discovery, proxy) = proxy_with(&[&one, &two]);
    let status = status(Client::new(&proxy).ask(&submit("r-1", "2", "x")));
    (status, one.seen().len() + two.seen().len())
}

#[test]
fn a_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let short = ok("0123456789").replace("0123456789", "01234");
    for answer in [
        BackendAction::Write(empty("500 Oops")),
        // 503 and 504 alone don't prove that the request never ran.
        BackendAction::Write(empty("503 Busy")),
        BackendAction::Write(empty("504 Late")),
        BackendAction::Write(empty("503 Busy\r\nX-Not-Processed: 0")),
        BackendAction::Write(empty("302 Elsewhere")),
        // Neither a truncated body nor one without a detectable end is an answer.
        BackendAction::WriteAndClose(short),
        BackendAction::WriteAndClose("HTTP/1.1 200 OK\r\n\r\nperhaps all".into()),
        BackendAction::WriteAndClose(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n".into(),
        ),
        BackendAction::WriteAndClose("garbage \u{1}\r\n\r\n".into()),
        BackendAction::WriteAndClose(String::new()),
    ] {
        let text = match &answer {
            BackendAction::Write(text)
            | BackendAction::WriteAndClose(text)
            | BackendAction::Hold(_, text) => text.clone(),
        };
        assert_eq!(send_unrepeatable(answer), (502, 1), "{text:.200}");
    }
}

#[test]
fn a_request_that_never_ran_is_retried_elsewhere_and_may_be_rejected() {
    for status in ["503 Busy", "504 Late"] {
        let full = BackendAction::Write(empty(&format!("{status}\r\nX-Not-Processed: 1")));
        assert_eq!(send_unrepeatable(full), (503, 2));
    }
}

#[test]
fn a_truncated_answer_to_a_repeatable_request_is_retried_elsewhere() {
    let short = BackendAction::WriteAndClose(ok("0123456789").replace("0123456789", "01234"));
    let (truncating, complete) = (
        Backend::new(short),
        Backend::new(BackendAction::Write(ok("0123456789"))),
    );
    let (_discovery, proxy) = proxy_with(&[&truncating, &complete]);
    let mut n = 0;
    wait_for("the endpoint that truncates", || {
        n += 1;
        let answer = Client::new(&proxy)
            .ask(&page(&format!("r-{n}")))
            .expect("an answer");
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, "0123456789")
        );
        !truncating.seen().is_empty()
    });
}

#[test]
fn an_endpoint_that_refuses_or_never_accepts_connections_fails_no_request() {
    // Nothing listens at one address; the accept queue of the other is full, so connections are never established.
    let unused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (unresponsive, _full) = full_listener();
    let at = unresponsive.local_addr().unwrap();
    for address in [unused, at] {
        let backend = Backend::new(BackendAction::Write(ok("")));
        let discovery = Discovery::new();
        let hosts = [
            host("s-0", address, "up", 0),
            host("s-1", backend.address, "up", 0),
        ];
        discovery.publish(&list(1, true, &hosts));
        let proxy = Proxy::up(&discovery, &Setup::default());
        for n in 0..6 {
            let answer = Client::new(&proxy).ask(&submit(&format!("r-{n}"), "5", "x"));
            assert_eq!(status(answer), 200, "request {n} at {address}");
        }
    }
}

#[test]
fn no_new_request_goes_to_an_endpoint_that_drains_is_removed_or_has_moved() {
    let (one, two) = (
        Backend::new(BackendAction::Write(ok("one"))),
        Backend::new(BackendAction::Write(ok("two"))),
    );
    let (discovery, proxy) = proxy_with(&[&one]);
    let text = |id: &str| Client::new(&proxy).ask(&page(id)).map(|m| m.text());
    assert_eq!(text("r-0").as_deref(), Some("one"));
    let mut seq = 1;
    let mut update = |lines: &[String], whole: bool| {
        seq += 1;
        discovery.publish(&list(seq, whole, lines));
    };
    // Drain: the pooled connection closes at once, and later requests go to the other endpoint.
    update(
        &[
            host("s-0", one.address, "draining", 0),
            host("s-1", two.address, "up", 0),
        ],
        false,
    );
    wait_for("the pooled connection to close", || one.closed_count() == 1);
    let before = one.seen().len();
    (0..5).for_each(|n| assert_eq!(text(&format!("r-a{n}")).as_deref(), Some("two")));
    assert_eq!(one.seen().len(), before);
    // Removed by a complete list.
    let three = Backend::new(BackendAction::Write(ok("three")));
    update(&[host("s-2", three.address, "up", 0)], true);
    wait_for("the pooled connection to close", || two.closed_count() == 1);
    let before = two.seen().len();
    (0..5).for_each(|n| assert_eq!(text(&format!("r-b{n}")).as_deref(), Some("three")));
    assert_eq!(two.seen().len(), before);
    // Restarted at another address.
    let four = Backend::new(BackendAction::Write(ok("four")));
    update(&[host("s-2", four.address, "up", 0)], false);
    wait_for("the pooled connection to close", || {
        three.closed_count() == 1
    });
    (0..5).for_each(|n| assert_eq!(text(&format!("r-c{n}")).as_deref(), Some("four")));
}

#[test]
fn a_drain_received_while_the_connection_is_established_still_applies() {
    let (slow, full) = full_listener();
    let discovery = Discovery::new();
    discovery.publish(&list(
        1,
        true,
        &[host("s-0", slow.local_addr().unwrap(), "up", 0)],
    ));
    let long_timeouts = Setup {
        connect_timeout: 30_000,
        deadline: 40_000,
        ..Setup::default()
    };
    let proxy = Proxy::up(&discovery, &long_timeouts);
    let mut first = Client::new(&proxy);
    first.send(&submit("r-first", "40", "x"));
    assert!(proxy.is_up()); // by now the first request has most likely been read and its connection started
    let other = Backend::new(BackendAction::Write(ok("other")));
    let draining = host("s-0", slow.local_addr().unwrap(), "draining", 0);
    discovery.publish(&list(
        2,
        false,
        &[draining, host("s-1", other.address, "up", 0)],
    ));
    // Only the other endpoint serves these requests, and only once the update is known.
    let mut n = 0;
    wait_for("the update", || {
        n += 1;
        let quick = page(&format!("r-{n}")).replace("X-Timeout: 5", "X-Timeout: 0.3");
        Client::new(&proxy)
            .ask(&quick)
            .is_some_and(|m| m.text() == "other")
    });
    for _ in &full {
        slow.accept().unwrap();
    }
    // With room in the queue the first request's connection is established, but nothing may be written to it.
    let (mut connection, _) = slow.accept().unwrap();
    connection.set_read_timeout(Some(LIMIT)).unwrap();
    let mut bytes = Vec::new();
    let _ = connection.read_to_end(&mut bytes); // ends or is reset after any bytes written
    assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
    assert_eq!(first.answer().expect("an answer").text(), "other");
}

#[test]
fn connections_with_incomplete_requests_are_closed_to_make_room_for_others() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            sockets: 64,
            ..Setup::default()
        },
    );
    // More than the budget allows, and none completes its head.
    let _incomplete: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.address).unwrap();
            stream.write_all(b"GET /page HTTP/1.1\r\nHost").unwrap();
            stream
        })
        .collect();
    wait_for("room for a complete request", || {
        Client::new(&proxy)
            .ask(&page("r-1"))
            .is_some_and(|m| m.status() == 200)
    });
}

#[test]
fn an_idle_connection_is_closed_before_the_endpoint_closes_it() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            idle_timeout: 1000,
            ..Setup::default()
        },
    );
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    wait_for("the connection to close", || backend.closed_count() == 1);
}

#[test]
fn a_connection_closed_by_the_endpoint_is_never_reused() {
    let backend = Backend::new(BackendAction::WriteAndClose(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    for n in 1..20 {
        assert_eq!(
            status(Client::new(&proxy).ask(&submit(&format!("r-{n}"), "5", "x"))),
            200
        );
        wait_for("the endpoint to close", || backend.closed_count() == n);
    }
}

#[test]
fn a_request_to_a_hanging_endpoint_fails_in_time_and_its_late_answer_is_discarded() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => BackendAction::Hold(endpoint_gate.clone(), ok("late")),
        _ => BackendAction::Write(ok("prompt")),
    });
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut client = Client::new(&proxy);
    let sent = std::time::Instant::now();
    assert_eq!(status(client.ask(&submit("r-held", "0.5", "x"))), 502);
    wait_for("the request", || backend.seen().len() == 1);
    // The proxy answers shortly before it abandons the attempt; the endpoint's answer has to arrive after both.
    wait_for("the timeout", || sent.elapsed().as_millis() > 600);
    gate.open();
    // The connection is not reused, and the client receives only the next answer.
    assert_eq!(
        client.ask(&page("r-next")).expect("an answer").text(),
        "prompt"
    );
    assert_eq!(backend.opened.load(std::sync::atomic::Ordering::SeqCst), 2);
    wait_for("the connection to close", || backend.closed_count() == 1);
}

#[test]
fn nothing_is_sent_for_a_disconnected_client() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |_| BackendAction::Hold(endpoint_gate.clone(), ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    // Enough to fill the endpoint's slots, so that the last requests are queued in the proxy.
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submit(&format!("r-{n}"), "5", "x"));
    }
    wait_for("the first", || !backend.seen().is_empty());
    for client in &mut clients {
        client.shutdown_write();
        assert!(client.is_closed(), "no answer is sent");
    }
    let before = backend.seen().len();
    assert!(before < 12, "the proxy queues");
    gate.open();
    let mut last = Client::new(&proxy);
    assert_eq!(status(last.ask(&submit("r-last", "5", "x"))), 200);
    assert_eq!(backend.seen().len(), before + 1);
}

#[test]
fn after_sigterm_accepted_requests_and_new_connections_are_answered() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => BackendAction::Hold(endpoint_gate.clone(), ok("held")),
        _ => BackendAction::Write(ok("prompt")),
    });
    let (_discovery, mut proxy) = proxy_with(&[&backend]);
    let (mut busy, mut idle) = (Client::new(&proxy), Client::new(&proxy));
    assert_eq!(status(idle.ask(&page("r-1"))), 200);
    busy.send(&submit("r-held", "5", "x"));
    wait_for("the request", || {
        backend.seen().iter().any(|m| m.id() == "r-held")
    });
    // This connection is in the accept queue or new when the signal arrives.
    let mut new_client = Client::new(&proxy);
    proxy.terminate();
    let answer = new_client.ask(&page("r-2")).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(idle.is_closed(), "an idle connection closes");
    gate.open();
    let answer = busy.answer().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(proxy.wait().success());
}

#[test]
fn beyond_the_socket_budget_every_client_still_gets_an_answer() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    // First with the proxy's own budget, then with the system's limit, at which accepting fails.
    for setup in [
        Setup {
            sockets: 64,
            ..Setup::default()
        },
        Setup {
            sockets: 1024,
            max_descriptors: Some(24),
            ..Setup::default()
        },
    ] {
        let mut proxy = Proxy::up(&discovery, &setup);
        let mut clients: Vec<Client> = (0..40).map(|_| Client::new(&proxy)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&page(&format!("r-{n}")));
        }
        for mut client in clients {
            let status = status(client.answer());
            assert!(status == 200 || status == 503, "{status}");
        }
        assert!(proxy.is_running());
        wait_for("normal service", || {
            Client::new(&proxy)
                .ask(&page("r-x"))
                .is_some_and(|m| m.status() == 200)
        });
    }
}

#[test]
fn invalid_datagrams_are_ignored_and_gossip_is_sent() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_read_timeout(Some(LIMIT)).unwrap();
    // An address that only this test uses, so that no other process takes the port meanwhile.
    let own = UdpSocket::bind("127.93.17.5:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let gossip = Some((own, other.local_addr().unwrap()));
    let mut proxy = Proxy::up(
        &discovery,
        &Setup {
            peer_addresses: gossip,
            ..Setup::default()
        },
    );
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 1, 3, 255, 256, 257, 2000] {
        for first in [0u8, 1, 255] {
            let mut bytes = vec![255; size];
            bytes.iter_mut().take(1).for_each(|b| *b = first);
            other.send_to(&bytes, own).unwrap();
            stranger.send_to(&bytes, own).unwrap();
        }
    }
    let (size, from) = other
        .recv_from(&mut [0; 512])
        .expect("a datagram of the proxy");
    assert!(size > 0 && size <= 256 && from == own);
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert!(proxy.is_running());
}

#[test]
fn an_invalid_configuration_fails_the_start_with_the_reason() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let valid = config(nowhere, &Setup::default());
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (text, reason) in [
        ("{".to_owned(), "EOF"),
        (valid.replace("\"127.0.0.1:0\"", "17"), "socket address"),
        (valid.replace("\"classes\"", "\"glasses\""), "classes"),
        (
            valid.replace("127.0.0.1:0", "192.0.2.1:1"),
            "listen on 192.0.2.1:1",
        ),
        (
            valid.replace(
                "\"seed\":\"8c1f30d27a5be964\"",
                &format!("\"seed\":{{\"x\":\"{taken}\"}}"),
            ),
            "seed",
        ),
    ] {
        let file = config_file(&text);
        let run = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"))
            .env("NODE_CONFIG", &file)
            .output()
            .unwrap();
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(
            !run.status.success() && log.contains(reason),
            "{reason}: {log}"
        );
    }
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"))
        .env_remove("NODE_CONFIG")
        .output()
        .unwrap();
    assert!(!run.status.success());
}

#[test]
fn slow_and_silent_clients_block_no_others() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend]);
    let mut slow = TcpStream::connect(proxy.address).unwrap();
    let request = submit("r-slow", "5", "body");
    let (start, rest) = request.split_at(request.len() - 2);
    slow.write_all(start.as_bytes()).unwrap();
    let _silent = TcpStream::connect(proxy.address).unwrap();
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(
        backend.seen().len(),
        1,
        "a request is forwarded only once it is complete"
    );
    slow.write_all(rest.as_bytes()).unwrap();
    wait_for("the slow request", || backend.seen().len() == 2);
    assert_eq!(backend.seen()[1].body, b"body");
}

#[test]
fn a_connection_without_a_complete_request_is_closed_early() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            deadline: 100_000,
            ..Setup::default()
        },
    );
    let whole = submit("r-1", "100", "body");
    let peers: Vec<TcpStream> = ["", "GET", &whole[..40], &whole[..whole.len() - 2]]
        .into_iter()
        .map(|part| {
            let mut peer = TcpStream::connect(proxy.address).unwrap();
            peer.write_all(part.as_bytes()).unwrap();
            // Far less than the request's timeout, and far more than the proxy should wait.
            peer.set_read_timeout(Some(LIMIT)).unwrap();
            peer
        })
        .collect();
    for mut peer in peers {
        let mut response = String::new();
        let ended = peer.read_to_string(&mut response);
        assert!(
            ended.is_ok() || response.starts_with("HTTP/1.1 4"),
            "{ended:?} after {response:?}"
        );
    }
    assert!(backend.seen().is_empty());
}
