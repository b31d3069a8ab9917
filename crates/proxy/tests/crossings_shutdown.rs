//! SIGTERM at each place: before the list, with requests queued, half read, sent to a server that hangs; and what clients send then.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

fn proxy_with(servers: &[&Peer], setup: &Setup) -> (Discovery, Proxy) {
    let addresses: Vec<_> = servers.iter().map(|s| s.address).collect();
    start_proxy_for(&addresses, setup)
}

/// Waits until the process has seen the signal and takes no more connections.
fn shut(proxy: &Proxy) {
    wait_for("the listener's end", || {
        TcpStream::connect(proxy.address).is_err()
    });
}

#[test]
fn a_process_that_is_ended_before_its_list_answers_what_it_took_and_goes() {
    let agent = Peer::new();
    let mut proxy = Proxy::start(
        &agent.as_discovery(),
        &Setup {
            deadline: 400,
            ..Setup::default()
        },
    );
    let _call = agent.next();
    let mut waits = Client::new(&proxy);
    waits.send(&submit("r-1", "0.4", "x"));
    proxy.terminate();
    assert_eq!(status(waits.answer()), 503, "it never ran");
    assert!(proxy.wait().success());
}

#[test]
fn a_second_signal_changes_nothing_for_what_is_under_way() {
    let server = Peer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    let mut client = Client::new(&proxy);
    client.send(&submit("r-1", "5", "x"));
    let mut call = server.next();
    proxy.terminate();
    wait_for("the signal to be seen", || !proxy.is_up());
    proxy.terminate();
    proxy.signal("-INT");
    shut(&proxy);
    call.write(&ok("whole"));
    assert_eq!(client.answer().expect("an answer").text(), "whole");
    assert!(proxy.wait().success());
}

#[test]
fn a_head_that_is_half_read_at_the_signal_is_waited_for() {
    let server = Peer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    // One on a fresh connection and one on a connection that has had an answer.
    let mut clients = [Client::new(&proxy), Client::new(&proxy)];
    clients[1].send(&page("r-0"));
    server.next().write(&ok(""));
    assert_eq!(status(clients[1].answer()), 200);
    let requests = ["r-1", "r-2"].map(page);
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request[..40]);
    }
    // A request that is answered shows that the halves before it have been read.
    let mut other = Client::new(&proxy);
    other.send(&page("r-other"));
    server.next().write(&ok(""));
    assert_eq!(status(other.answer()), 200);
    proxy.terminate();
    shut(&proxy);
    thread::sleep(Duration::from_millis(200)); // by now a process with nothing to wait for has ended
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request[40..]);
        server.next().write(&ok("late"));
        assert_eq!(client.answer().expect("an answer").text(), "late");
    }
    assert!(proxy.wait().success());
}

#[test]
fn with_servers_that_hang_each_request_has_one_answer_and_the_process_ends_in_time() {
    let servers = [Peer::new(), Peer::new()];
    let setup = Setup {
        deadline: 300,
        ..Setup::default()
    };
    let (_discovery, mut proxy) = proxy_with(&[&servers[0], &servers[1]], &setup);
    // More than the servers' slots: some are out, and some wait in the queue.
    let mut clients: Vec<Client> = (0..24).map(|_| Client::new(&proxy)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&if n % 2 == 0 {
            page("r-a")
        } else {
            submit("r-b", "0.3", "x")
        });
    }
    let _hangs = (servers[0].next(), servers[1].next());
    proxy.terminate();
    let told = Instant::now();
    // Clients go on on each connection that stays open.
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
            flood.join().expect("good answers") >= 1,
            "none without an answer"
        );
    }
    assert!(proxy.wait().success());
    assert!(
        told.elapsed() < Duration::from_secs(3),
        "nothing waits for a hung server: {:?}",
        told.elapsed()
    );
}

#[test]
fn what_crosses_the_closing_of_an_idle_connection_is_answered_or_never_sent_on() {
    let backend = Backend::with(|m| BackendAction::Write(ok(m.id())));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let mut proxy = Proxy::up(&discovery, &Setup::default());
    let mut clients: Vec<Client> = (0..60).map(|_| Client::new(&proxy)).collect();
    for client in clients.iter_mut().step_by(2) {
        assert_eq!(status(client.ask(&page("r-first"))), 200);
    }
    proxy.terminate();
    // Each sends in a moment of its own around the closing, half of it before and half of it after.
    let cross: Vec<_> = clients
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
    let ends: Vec<_> = cross
        .into_iter()
        .map(|c| c.join().expect("it ends"))
        .collect();
    assert!(proxy.wait().success());
    let seen: Vec<String> = backend.seen().iter().map(|m| m.id().to_owned()).collect();
    for (answer, id) in ends {
        assert_eq!(
            answer.as_deref(),
            seen.contains(&id).then_some(id.as_str()),
            "{id}"
        );
    }
}

#[test]
fn bytes_behind_the_last_request_are_not_served() {
    let server = Peer::new();
    let (_discovery, mut proxy) = proxy_with(&[&server], &Setup::default());
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .write_all(format!("{}{}", page("r-1"), page("r-2")).as_bytes())
        .expect("it takes it");
    let mut call = server.next();
    proxy.terminate();
    wait_for("the signal to be seen", || !proxy.is_up());
    call.write(&ok("first"));
    let said = read_out(&mut stream).expect("an end in order");
    let said = String::from_utf8_lossy(&said);
    assert_eq!(said.matches("HTTP/1.1 ").count(), 1, "{said}");
    assert!(
        said.ends_with("first") && said.to_lowercase().contains("connection: close"),
        "{said}"
    );
    drop(stream);
    assert!(proxy.wait().success());
    assert!(server.come().is_none());
}
