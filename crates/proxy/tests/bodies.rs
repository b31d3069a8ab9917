//! Bodies too large to be kept, slow peers and odd forms of HTTP/1.1, on loopback sockets.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

const LARGE: usize = 32_000_000;

/// A server that does this with each connection; the head of each request has been read.
fn server(
    deed: impl Fn(&str, &mut BufReader<TcpStream>, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let deed = std::sync::Arc::new(deed);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, deed) = (stream.expect("a connection"), deed.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while let Some(head) = head(&mut reader) {
                    deed(&head, &mut reader, &mut stream);
                }
            });
        }
    });
    address
}

/// A head as it came, its blank line included; `None` at the end.
fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn length(head: &str) -> Option<usize> {
    let line = head
        .lines()
        .find(|l| l.to_ascii_lowercase().starts_with("content-length:"))?;
    line.split_once(':')?.1.trim().parse().ok()
}

/// Reads a chunked body; `None` where it breaks off.
fn chunked(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&piece[..size]);
    }
}

/// The body that follows a head, whichever way it is delimited.
fn body(head: &str, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let Some(length) = length(head) else {
        let chunks = head
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked");
        return if chunks {
            chunked(reader)
        } else {
            Some(Vec::new())
        };
    };
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Bytes that are not all alike.
fn bytes(many: usize) -> Vec<u8> {
    (0..many).map(|i| (i / 251 + i) as u8).collect()
}

fn door() -> Setup {
    Setup {
        operations_enabled: true,
        ..Setup::default()
    }
}

fn connect(proxy: &Proxy) -> (BufReader<TcpStream>, TcpStream) {
    let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    (
        BufReader::new(stream.try_clone().expect("a handle")),
        stream,
    )
}

fn answer(reader: &mut BufReader<TcpStream>) -> (String, Option<Vec<u8>>) {
    let head = head(reader).expect("an answer");
    let body = body(&head, reader);
    (head, body)
}

fn upload(class: &str, framing: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: r-1\r\nX-Tenant-Id: acme\r\nX-Timeout: 4\r\n{framing}\r\n\r\n"
    )
}

#[test]
fn large_answers_pass_through_in_little_memory() {
    let to = server(|_, _, stream| {
        let _ = stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes());
        let _ = stream.write_all(&bytes(LARGE));
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let wanted = bytes(LARGE);
    let readers: Vec<_> = (0..8)
        .map(|n| {
            let (mut reader, mut stream) = connect(&proxy);
            stream
                .write_all(page(&format!("r-{n}")).as_bytes())
                .expect("it is taken");
            thread::spawn(move || answer(&mut reader).1)
        })
        .collect();
    for reader in readers {
        assert!(reader.join().expect("no panic").expect("the whole answer") == wanted);
    }
    assert!(
        proxy.memory_peak_mb() < 40.0,
        "{} MB",
        proxy.memory_peak_mb()
    );
    wait_for("the count", || {
        proxy.metric("node_answered{group=\"page\"}") == 8.0
    });
    assert_eq!(proxy.metric("node_current"), 0.0);
}

#[test]
fn an_answer_that_has_begun_outlasts_the_deadline_and_waits_for_its_reader() {
    let gate = Latch::default();
    let held = gate.clone();
    let to = server(move |_, _, stream| {
        let body = bytes(300_000);
        let _ = stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(),
        );
        let _ = stream.write_all(&body[..100_000]);
        held.wait_until_open();
        let _ = stream.write_all(&body[100_000..]);
    });
    let (_discovery, proxy) = start_proxy_for(
        &[to],
        &Setup {
            deadline: 400,
            ..door()
        },
    );
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("it is taken");
    let head = head(&mut reader).expect("the first bytes");
    thread::sleep(Duration::from_millis(600)); // past its deadline
    gate.open();
    assert!(body(&head, &mut reader).expect("the whole answer") == bytes(300_000));
}

#[test]
fn a_slow_reader_holds_up_nobody_and_no_slot() {
    let to = server(|head, _, stream| {
        let size = if head.contains("r-slow") { LARGE } else { 10 };
        let _ = stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        let _ = stream.write_all(&bytes(size));
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    // More than the server has slots, and none of them reads on.
    let slow: Vec<_> = (0..12)
        .map(|n| {
            let (mut reader, mut stream) = connect(&proxy);
            stream
                .write_all(page(&format!("r-slow-{n}")).as_bytes())
                .expect("it is taken");
            head(&mut reader).expect("it begins");
            (reader, stream)
        })
        .collect();
    assert_eq!(proxy.metric("node_current"), 12.0);
    let (mut reader, mut stream) = connect(&proxy);
    let asked = Instant::now();
    stream
        .write_all(page("r-1").as_bytes())
        .expect("it is taken");
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(
        asked.elapsed() < Duration::from_secs(2),
        "{:?}",
        asked.elapsed()
    );
    drop(slow);
    wait_for("those that left", || proxy.metric("node_current") == 0.0);
    assert_eq!(proxy.metric("node_abandoned{group=\"page\"}"), 12.0);
}

#[test]
fn a_large_answer_that_is_cut_shows_as_cut_and_is_not_asked_for_again() {
    let (told, seen) = channel();
    let told = std::sync::Mutex::new(told);
    let to = server(move |head, reader, stream| {
        let _ = told.lock().expect("no panic").send(head.to_owned());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n");
        let _ = stream.write_all(&bytes(0x20000));
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reader.read(&mut [0]);
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("it is taken");
    let (head, body) = answer(&mut reader);
    assert!(head.starts_with("HTTP/1.1 200") && body.is_none(), "{head}");
    wait_for("the count", || {
        proxy.metric("node_errored{group=\"page\"}") == 1.0
    });
    assert_eq!(seen.try_iter().count(), 1);
}

/// The head and the body of a request, if that came whole.
type Taken = (String, Option<Vec<u8>>);

/// A server that tells what it got as a whole request, and what it got of others.
fn taker() -> (SocketAddr, Receiver<Taken>) {
    let (told, seen) = channel();
    let told = std::sync::Mutex::new(told);
    let to = server(move |head, reader, stream| {
        let got = body(head, reader);
        let whole = got.is_some();
        let _ = told.lock().expect("no panic").send((head.to_owned(), got));
        if whole {
            let _ = stream.write_all(ok("done").as_bytes());
        }
    });
    (to, seen)
}

#[test]
fn large_requests_pass_through_whichever_way_they_are_delimited() {
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let sent = bytes(LARGE);
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload("submit", &format!("Content-Length: {LARGE}")).as_bytes())
        .expect("it is taken");
    stream.write_all(&sent).expect("it is taken");
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    let (head, got) = seen.recv_timeout(LIMIT).expect("a request");
    assert!(length(&head) == Some(LARGE) && got.as_ref() == Some(&sent));
    // In chunks with extensions and trailers, after a word that the proxy is ready, on the same connection.
    let framing = "Transfer-Encoding: chunked\r\nExpect: 100-continue";
    stream
        .write_all(upload("submit", framing).as_bytes())
        .expect("it is taken");
    assert!(
        self::head(&mut reader)
            .expect("a word")
            .starts_with("HTTP/1.1 100")
    );
    for piece in sent[..3_000_000].chunks(70_001) {
        stream
            .write_all(format!("{:x};x=\"y\"\r\n", piece.len()).as_bytes())
            .expect("it is taken");
        stream.write_all(piece).expect("it is taken");
        stream.write_all(b"\r\n").expect("it is taken");
    }
    stream
        .write_all(b"0\r\nX-Trailer: 1\r\n\r\n")
        .expect("it is taken");
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    let (head, got) = seen.recv_timeout(LIMIT).expect("a request");
    assert!(!head.to_ascii_lowercase().contains("expect"), "{head}");
    assert!(got.as_deref() == Some(&sent[..3_000_000]));
    assert_eq!(proxy.metric("node_sends"), 2.0);
    assert!(
        proxy.memory_peak_mb() < 40.0,
        "{} MB",
        proxy.memory_peak_mb()
    );
}

#[test]
fn a_large_request_goes_again_only_while_nothing_of_it_is_gone() {
    // Nobody listens at the one: the other gets all of it.
    let nobody = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[nobody, to], &door());
    let sent = bytes(500_000);
    for _ in 0..4 {
        let (mut reader, mut stream) = connect(&proxy);
        stream
            .write_all(upload("submit", "Content-Length: 500000").as_bytes())
            .expect("it is taken");
        stream.write_all(&sent).expect("it is taken");
        assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
        assert!(seen.recv_timeout(LIMIT).expect("a request").1.as_ref() == Some(&sent));
    }
}

#[test]
fn a_large_request_that_breaks_off_on_the_way_is_refused_and_never_whole() {
    let (told, seen) = channel();
    let told = std::sync::Mutex::new(told);
    let to = server(move |_, reader, stream| {
        let _ = reader.read_exact(&mut vec![0; 1_000_000]);
        let _ = told.lock().expect("no panic").send(());
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload("submit", &format!("Content-Length: {LARGE}")).as_bytes())
        .expect("it is taken");
    let writer = thread::spawn(move || {
        let _ = stream.write_all(&bytes(LARGE));
        stream
    });
    let head = answer(&mut reader).0;
    assert!(
        head.starts_with("HTTP/1.1 503"),
        "it surely never ran: {head}"
    );
    let _stream = writer.join();
    assert_eq!(seen.try_iter().count(), 1);
    assert_eq!(proxy.metric("node_sends"), 0.0);
}

#[test]
fn a_client_that_leaves_in_mid_request_leaves_no_whole_one_behind() {
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let (_reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload("submit", "Content-Length: 8000000").as_bytes())
        .expect("it is taken");
    stream.write_all(&bytes(4_000_000)).expect("it is taken");
    wait_for("it to go out", || proxy.metric("node_current") == 1.0);
    drop((_reader, stream));
    assert_eq!(seen.recv_timeout(LIMIT).expect("its beginning").1, None);
    wait_for("its end", || {
        proxy.metric("node_abandoned{group=\"submit\"}") == 1.0
    });
    assert_eq!(proxy.metric("node_sends"), 0.0);
}

#[test]
fn a_body_over_the_limit_is_refused_before_it_is_read() {
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload("submit", "Content-Length: 60000000").as_bytes())
        .expect("it is taken");
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 413"));
    assert!(seen.try_iter().next().is_none());
}

#[test]
fn slow_heads_and_bodies_in_small_pieces_are_waited_for() {
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("it is taken");
    answer(&mut reader);
    // After a pause, a head that takes two seconds, and a body of 64 kB that takes one.
    thread::sleep(Duration::from_millis(1200));
    let head = upload("submit", "Content-Length: 64000");
    for piece in head.as_bytes().chunks(head.len().div_ceil(20)) {
        thread::sleep(Duration::from_millis(95));
        stream.write_all(piece).expect("it is taken");
    }
    for piece in bytes(64_000).chunks(6_400) {
        thread::sleep(Duration::from_millis(90));
        stream.write_all(piece).expect("it is taken");
    }
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    // Requests one behind the other, byte by byte.
    let all = format!("{}{}", page("r-2"), page("r-3"));
    for byte in all.as_bytes() {
        stream.write_all(&[*byte]).expect("it is taken");
    }
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert_eq!(seen.try_iter().filter(|s| s.1.is_some()).count(), 4);
}

#[test]
fn answers_in_all_forms_are_taken_and_those_cut_short_are_not() {
    let to = server(|head, _, stream| {
        let answer: &[u8] = match head {
            _ if head.contains("r-close") => b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\nto the end",
            _ if head.contains("r-old") => b"HTTP/1.0 200 OK\r\n\r\nto the end",
            _ if head.contains("r-chunks") => {
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nto\r\n8\r\n the end\r\n0\r\nX: 1\r\n\r\n"
            }
            _ => b"HTTP/1.1 200 OK\r\n\r\nto the e",
        };
        for byte in answer {
            let _ = stream.write_all(&[*byte]);
        }
        let _ = stream.shutdown(std::net::Shutdown::Write);
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let ask = |id: &str| {
        Client::new(&proxy)
            .ask(&submit(id, "4", "x"))
            .expect("an answer")
    };
    for id in ["r-close", "r-old", "r-chunks"] {
        assert_eq!(
            (ask(id).status(), ask(id).text().as_str()),
            (200, "to the end"),
            "{id}"
        );
    }
    assert_eq!(ask("r-untold").status(), 502);
}

#[test]
fn requests_that_two_readers_could_see_differently_go_no_further() {
    let (to, seen) = taker();
    let (_discovery, mut proxy) = start_proxy_for(&[to], &door());
    let good = submit("r-1", "4", "body");
    let chunks = good.replace("Content-Length: 4", "Transfer-Encoding: chunked");
    for text in [
        good.replace(
            "Content-Length: 4",
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
        ),
        good.replace(
            "Content-Length: 4",
            "Transfer-Encoding: chunked\r\nContent-Length: 4",
        ),
        good.replace(
            "Content-Length: 4",
            "Content-Length: 4\r\nContent-Length: 4",
        ),
        good.replace(
            "Content-Length: 4",
            "Content-Length: 4\r\nContent-Length: 5",
        ),
        good.replace("Host: x\r\n", "Host: x\n"),
        good.replace("\r\n", "\n"),
        chunks.replace("body", "4x\r\nbody\r\n0\r\n\r\n"),
        chunks.replace("body", "-4\r\nbody\r\n0\r\n\r\n"),
        chunks.replace("body", "4\r\nbodyextra\r\n0\r\n\r\n"),
        chunks.replace("body", "ffffffffffffffffff\r\nbody\r\n0\r\n\r\n"),
    ] {
        let (mut reader, mut stream) = connect(&proxy);
        stream.write_all(text.as_bytes()).expect("it is taken");
        let asked = Instant::now();
        let mut said = String::new();
        let _ = reader.read_to_string(&mut said); // a reset is an end, too
        assert!(
            said.is_empty() || said.starts_with("HTTP/1.1 4"),
            "{text}: {said}"
        );
        assert!(
            asked.elapsed() < Duration::from_secs(5),
            "{text}: {:?}",
            asked.elapsed()
        );
    }
    assert!(seen.try_iter().next().is_none());
    // In absolute form, and as an old client asks, they are taken.
    let absolute = good.replace("/submit", "http://origin.svc:80/submit");
    assert_eq!(
        Client::new(&proxy)
            .ask(&absolute)
            .expect("an answer")
            .status(),
        200
    );
    assert!(
        seen.recv_timeout(LIMIT)
            .expect("a request")
            .0
            .starts_with("POST /submit?sid=7f HTTP/1.1")
    );
    let mut old = Client::new(&proxy);
    assert_eq!(
        old.ask(&page("r-2").replace("HTTP/1.1", "HTTP/1.0"))
            .expect("an answer")
            .status(),
        200
    );
    assert!(old.is_closed());
    assert!(proxy.is_running());
}

#[test]
fn what_there_is_no_memory_for_is_refused_at_once() {
    let gate = Latch::default();
    let held = gate.clone();
    let to = server(move |head, reader, stream| {
        held.wait_until_open();
        if body(head, reader).is_some() {
            let _ = stream.write_all(ok("done").as_bytes());
        }
    });
    let (_discovery, proxy) = start_proxy_for(
        &[to],
        &Setup {
            memory_mb: 2,
            ..door()
        },
    );
    let mut open: Vec<_> = (0..20)
        .map(|_| {
            let (reader, mut stream) = connect(&proxy);
            stream
                .write_all(upload("submit", "Content-Length: 100000").as_bytes())
                .expect("it is taken");
            stream.write_all(&bytes(90_000)).expect("it is taken");
            (reader, stream)
        })
        .collect();
    wait_for("two refusals", || {
        proxy.metric("node_deferred{group=\"submit\"}") >= 2.0
    });
    for (_, stream) in &mut open {
        let _ = stream.write_all(&bytes(10_000));
    }
    gate.open();
    let heads: Vec<String> = open
        .iter_mut()
        .map(|(reader, _)| answer(reader).0)
        .collect();
    let refused = heads
        .iter()
        .filter(|h| h.starts_with("HTTP/1.1 503"))
        .count();
    let served = heads
        .iter()
        .filter(|h| h.starts_with("HTTP/1.1 200"))
        .count();
    assert!(
        refused >= 2 && served >= 8 && refused + served == 20,
        "{heads:?}"
    );
}

#[test]
fn a_slow_large_request_takes_no_server_until_it_is_whole() {
    let (to, seen) = taker();
    let (_discovery, proxy) = start_proxy_for(&[to], &door());
    let sent = bytes(200_000);
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload("submit", "Content-Length: 200000").as_bytes())
        .expect("it is taken");
    stream.write_all(&sent[..150_000]).expect("it is taken");
    let mut other = Client::new(&proxy);
    assert_eq!(other.ask(&page("r-2")).expect("an answer").status(), 200);
    assert!(
        seen.recv_timeout(LIMIT)
            .expect("the other one")
            .0
            .contains("r-2")
    );
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        proxy.metric("node_current"),
        0.0,
        "it has been handed on before it was whole"
    );
    stream.write_all(&sent[150_000..]).expect("it is taken");
    assert!(answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(seen.recv_timeout(LIMIT).expect("a request").1.as_ref() == Some(&sent));
}
