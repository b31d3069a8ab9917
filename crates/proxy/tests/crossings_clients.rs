//! Clients that leave while their request waits, is on its way out or is about to be tried again; and what comes behind a request.
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

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
    /// It ends its sending and still reads: that can't be told from a close, and is read as one.
    HalfClose,
}

/// Sends these bytes on a new connection, as much as is taken at once.
fn sends(proxy: &Proxy, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.write_all(text.as_bytes()).expect("it takes it");
    stream
}

/// Leaves; what is given back is still open.
fn leaves(stream: TcpStream, how: Leave) -> Option<TcpStream> {
    match how {
        Leave::Close => {}
        Leave::Reset => reset(&stream),
        Leave::HalfClose => {
            stream
                .shutdown(std::net::Shutdown::Write)
                .expect("a connection");
            return Some(stream);
        }
    }
    None
}

/// A proxy whose only server drains, so that all requests wait.
fn waiting(peer: &Peer) -> (Discovery, Proxy) {
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
fn a_request_whose_client_left_while_it_waited_is_not_sent_on() {
    let much = format!(
        "{}{}",
        page("r-behind"),
        "GET /page HTTP/1.1\r\n".to_owned() + &"X: y\r\n".repeat(20_000)
    );
    for how in [Leave::Close, Leave::Reset, Leave::HalfClose] {
        let (peer, mut ids) = (Peer::new(), Vec::new());
        let (discovery, proxy) = waiting(&peer);
        let mut open = Vec::new();
        for (n, behind) in ["", &page("r-behind"), &page("r-behind")[..30], &much]
            .into_iter()
            .enumerate()
        {
            let stream = sends(
                &proxy,
                &format!("{}{behind}", submit(&format!("r-{n}"), "20", "x")),
            );
            wait_for("it to be taken", || proxy.metric("node_current") == 1.0);
            open.extend(leaves(stream, how));
            wait_for("it to be gone", || proxy.metric("node_current") == 0.0);
        }
        assert_eq!(
            proxy.metric("node_abandoned{group=\"submit\"}"),
            4.0,
            "{how:?}"
        );
        discovery.publish(&list(2, false, &[host("s-0", peer.address, "up", 0)]));
        let mut last = Client::new(&proxy);
        last.send(&submit("r-last", "20", "x"));
        let mut call = peer.next();
        ids.push(call.message.id().to_owned());
        call.write(&ok(""));
        assert_eq!(status(last.answer()), 200);
        ids.extend(peer.come().map(|c| c.message.id().to_owned()));
        assert_eq!(ids, ["r-last"], "{how:?}");
    }
}

#[test]
fn nothing_is_written_for_clients_that_left_while_the_connection_came_up() {
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
    // Enough to fill the server's slots: none comes up, and the last ones wait.
    let clients: Vec<TcpStream> = (0..12)
        .map(|n| sends(&proxy, &submit(&format!("r-{n}"), "40", "x")))
        .collect();
    wait_for("all to be taken", || proxy.metric("node_current") == 12.0);
    drop(clients);
    wait_for("all to be gone", || proxy.metric("node_current") == 0.0);
    let mut last = Client::new(&proxy);
    last.send(&submit("r-last", "40", "x"));
    wait_for("it to be taken", || proxy.metric("node_current") == 1.0);
    // Now there is room.
    for _ in &full {
        slow.accept().expect("one that filled the queue");
    }
    let mut seen = Vec::new();
    while seen.is_empty() {
        let (stream, _) = slow.accept().expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a time-out");
        if let Some(message) = read_message(&mut BufReader::new(&stream)) {
            seen.push(message.id().to_owned());
            (&stream).write_all(ok("").as_bytes()).expect("it is there");
        }
    }
    assert_eq!(seen, ["r-last"]);
    assert_eq!(status(last.answer()), 200);
    assert_eq!(
        proxy.metric("node_sends"),
        1.0,
        "nothing went out for those that left"
    );
}

/// The next request at any of them.
fn any(servers: &[Peer]) -> Call {
    let mut call = None;
    wait_for("a request", || {
        call = servers.iter().find_map(Peer::come);
        call.is_some()
    });
    call.expect("just seen")
}

#[test]
fn no_further_attempt_begins_for_a_client_that_left_during_the_first() {
    let servers = [Peer::new(), Peer::new()];
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
    for (gone, behind) in [String::new(), page("r-behind")].into_iter().enumerate() {
        let stream = sends(&proxy, &format!("{}{behind}", page("r-1")));
        let first = any(&servers);
        let before = proxy.metric("node_sends");
        drop(stream);
        let left = || proxy.metric("node_abandoned{group=\"page\"}");
        wait_for("it to be gone", || proxy.metric("node_current") == 0.0);
        assert_eq!(
            left(),
            gone as f64 + 1.0,
            "it has left, and its time was not over"
        );
        first.reset();
        // A request that is served shows that the end of that attempt has been dealt with.
        let mut next = Client::new(&proxy);
        next.send(&page("r-next"));
        let mut call = any(&servers);
        assert_eq!(call.message.id(), "r-next");
        call.write(&ok(""));
        assert_eq!(status(next.answer()), 200);
        assert_eq!(proxy.metric("node_sends"), before + 1.0);
        assert!(servers.iter().all(|s| s.come().is_none()));
    }
}

#[test]
fn requests_that_come_one_behind_the_other_are_answered_in_their_order() {
    let backend = Backend::with(|m| BackendAction::Write(ok(m.id())));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    let mut client = Client::new(&proxy);
    let all: String = (0..50)
        .map(|n| match n % 3 {
            0 => page(&format!("r-{n}")),
            1 => submit(&format!("r-{n}"), "5", "body"),
            // With a chunked body, and an empty line behind it.
            _ => submit(&format!("r-{n}"), "5", "").replace(
                "Content-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\r\n",
            ),
        })
        .collect();
    // Cut where it may fall, and the last one comes only when all others have their answers.
    let (most, last) = all.split_at(all.len() - 30);
    most.as_bytes()
        .chunks(777)
        .for_each(|piece| client.send(&String::from_utf8_lossy(piece)));
    for n in 0..49 {
        assert_eq!(client.answer().expect("an answer").text(), format!("r-{n}"));
    }
    client.send(last);
    assert_eq!(client.answer().expect("the last answer").text(), "r-49");
}

#[test]
fn bytes_that_nobody_reads_do_not_cut_the_last_answer_of_a_connection() {
    let peer = Peer::new();
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
    socket.set_recv_buffer_size(4096).expect("an option"); // the answer has to wait in the proxy's socket
    socket
        .connect(&proxy.address.into())
        .expect("the proxy accepts");
    let mut stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(LIMIT)).expect("an option");
    stream
        .write_all(submit("r-1", "5", "x").as_bytes())
        .expect("it takes it");
    let mut call = peer.next();
    // It is the last answer as the process leaves, or as more has come behind the request than is kept.
    proxy.terminate();
    wait_for("the signal to be seen", || !proxy.is_up());
    let behind = page("r-behind").repeat(3000);
    stream
        .write_all(behind.as_bytes())
        .expect("all of it is taken");
    let body = "0123456789abcdef".repeat(4000);
    call.write(&ok(&body));
    // It goes on sending while its answer is on its way.
    let mut more = stream.try_clone().expect("a handle");
    let floods = std::thread::spawn(move || while more.write_all(&[b'x'; 1000]).is_ok() {});
    let whole = read_out(&mut stream).unwrap_or_else(|cut| cut);
    assert!(
        String::from_utf8_lossy(&whole).ends_with(&body),
        "{} bytes came",
        whole.len()
    );
    let _ = stream.shutdown(std::net::Shutdown::Both); // it may be closed by now
    floods.join().expect("it ends with the connection");
    assert!(peer.come().is_none(), "nothing behind it was served");
}
