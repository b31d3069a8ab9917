//! Bodies too large to be buffered, slow peers, and unusual or ambiguous HTTP/1.1, on loopback sockets.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

const LARGE_BODY_BYTES: usize = 32_000_000;

/// Starts an endpoint that calls a function for each request, whose head has been read.
fn start_endpoint(
    handler: impl Fn(&str, &mut BufReader<TcpStream>, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = std::sync::Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, handler) = (stream.expect("a connection"), handler.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while let Some(head) = read_head(&mut reader) {
                    handler(&head, &mut reader, &mut stream);
                }
            });
        }
    });
    address
}

/// Reads a head including its blank line; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn content_length(head: &str) -> Option<usize> {
    let line = head
        .lines()
        .find(|l| l.to_ascii_lowercase().starts_with("content-length:"))?;
    line.split_once(':')?.1.trim().parse().ok()
}

/// Reads a chunked body; `None` if it is truncated.
fn read_chunked(reader: &mut impl BufRead) -> Option<Vec<u8>> {
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

/// Reads the body that follows a head, by its length or in chunks; `None` if it is truncated.
fn read_body(head: &str, reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let Some(length) = content_length(head) else {
        let is_chunked = head
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked");
        return if is_chunked {
            read_chunked(reader)
        } else {
            Some(Vec::new())
        };
    };
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Returns a body of varying bytes.
fn body_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 251 + i) as u8).collect()
}

fn with_operations_listener() -> Setup {
    Setup {
        operations_enabled: true,
        ..Setup::default()
    }
}

fn connect(proxy: &Proxy) -> (BufReader<TcpStream>, TcpStream) {
    let stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    (
        BufReader::new(stream.try_clone().expect("a handle")),
        stream,
    )
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> (String, Option<Vec<u8>>) {
    let head = read_head(reader).expect("an answer");
    let body = read_body(&head, reader);
    (head, body)
}

fn upload_head(class: &str, framing: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: r-1\r\nX-Tenant-Id: acme\r\nX-Timeout: 4\r\n{framing}\r\n\r\n"
    )
}

#[test]
fn large_answers_are_streamed_in_little_memory() {
    let to = start_endpoint(|_, _, stream| {
        let _ = stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n").as_bytes(),
        );
        let _ = stream.write_all(&body_bytes(LARGE_BODY_BYTES));
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let expected = body_bytes(LARGE_BODY_BYTES);
    let readers: Vec<_> = (0..8)
        .map(|n| {
            let (mut reader, mut stream) = connect(&proxy);
            stream
                .write_all(page(&format!("r-{n}")).as_bytes())
                .expect("the bytes are accepted");
            thread::spawn(move || read_answer(&mut reader).1)
        })
        .collect();
    for reader in readers {
        assert!(reader.join().expect("no panic").expect("the whole answer") == expected);
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
fn a_started_answer_continues_after_the_deadline_and_waits_for_its_reader() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let to = start_endpoint(move |_, _, stream| {
        let body = body_bytes(300_000);
        let _ = stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(),
        );
        let _ = stream.write_all(&body[..100_000]);
        endpoint_gate.wait_until_open();
        let _ = stream.write_all(&body[100_000..]);
    });
    let (_discovery, proxy) = start_proxy_for(
        &[to],
        &Setup {
            deadline: 400,
            ..with_operations_listener()
        },
    );
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("the bytes are accepted");
    let head = read_head(&mut reader).expect("the first bytes");
    thread::sleep(Duration::from_millis(600)); // past the deadline
    gate.open();
    assert!(read_body(&head, &mut reader).expect("the whole answer") == body_bytes(300_000));
}

#[test]
fn a_slow_reader_blocks_no_other_client_and_occupies_no_slot() {
    let to = start_endpoint(|head, _, stream| {
        let size = if head.contains("r-slow") {
            LARGE_BODY_BYTES
        } else {
            10
        };
        let _ = stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        let _ = stream.write_all(&body_bytes(size));
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    // More clients than the endpoint has slots, and none of them reads the body.
    let slow: Vec<_> = (0..12)
        .map(|n| {
            let (mut reader, mut stream) = connect(&proxy);
            stream
                .write_all(page(&format!("r-slow-{n}")).as_bytes())
                .expect("the bytes are accepted");
            read_head(&mut reader).expect("the head of the answer");
            (reader, stream)
        })
        .collect();
    assert_eq!(proxy.metric("node_current"), 12.0);
    let (mut reader, mut stream) = connect(&proxy);
    let start = Instant::now();
    stream
        .write_all(page("r-1").as_bytes())
        .expect("the bytes are accepted");
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    drop(slow);
    wait_for("the clients to disconnect", || {
        proxy.metric("node_current") == 0.0
    });
    assert_eq!(proxy.metric("node_abandoned{group=\"page\"}"), 12.0);
}

#[test]
fn a_truncated_large_answer_is_truncated_for_the_client_and_not_retried() {
    let (sender, received) = channel();
    let sender = std::sync::Mutex::new(sender);
    let to = start_endpoint(move |head, reader, stream| {
        let _ = sender.lock().expect("no panic").send(head.to_owned());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n");
        let _ = stream.write_all(&body_bytes(0x20000));
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reader.read(&mut [0]);
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("the bytes are accepted");
    let (head, body) = read_answer(&mut reader);
    assert!(head.starts_with("HTTP/1.1 200") && body.is_none(), "{head}");
    wait_for("the count", || {
        proxy.metric("node_errored{group=\"page\"}") == 1.0
    });
    assert_eq!(received.try_iter().count(), 1);
}

/// Head of a request, and its body if that was complete.
type ReceivedRequest = (String, Option<Vec<u8>>);

/// Starts an endpoint that reports the requests it receives, complete or not, and answers the complete ones.
fn recording_endpoint() -> (SocketAddr, Receiver<ReceivedRequest>) {
    let (sender, received) = channel();
    let sender = std::sync::Mutex::new(sender);
    let to = start_endpoint(move |head, reader, stream| {
        let body = read_body(head, reader);
        let complete = body.is_some();
        let _ = sender
            .lock()
            .expect("no panic")
            .send((head.to_owned(), body));
        if complete {
            let _ = stream.write_all(ok("done").as_bytes());
        }
    });
    (to, received)
}

#[test]
fn large_requests_are_streamed_with_a_length_or_in_chunks() {
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let sent = body_bytes(LARGE_BODY_BYTES);
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload_head("submit", &format!("Content-Length: {LARGE_BODY_BYTES}")).as_bytes())
        .expect("the bytes are accepted");
    stream.write_all(&sent).expect("the bytes are accepted");
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    let (head, body) = received.recv_timeout(LIMIT).expect("a request");
    assert!(content_length(&head) == Some(LARGE_BODY_BYTES) && body.as_ref() == Some(&sent));
    // In chunks with extensions and trailers, after 100 Continue, on the same connection.
    let framing = "Transfer-Encoding: chunked\r\nExpect: 100-continue";
    stream
        .write_all(upload_head("submit", framing).as_bytes())
        .expect("the bytes are accepted");
    assert!(
        self::read_head(&mut reader)
            .expect("100 Continue")
            .starts_with("HTTP/1.1 100")
    );
    for piece in sent[..3_000_000].chunks(70_001) {
        stream
            .write_all(format!("{:x};x=\"y\"\r\n", piece.len()).as_bytes())
            .expect("the bytes are accepted");
        stream.write_all(piece).expect("the bytes are accepted");
        stream.write_all(b"\r\n").expect("the bytes are accepted");
    }
    stream
        .write_all(b"0\r\nX-Trailer: 1\r\n\r\n")
        .expect("the bytes are accepted");
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    let (head, body) = received.recv_timeout(LIMIT).expect("a request");
    assert!(!head.to_ascii_lowercase().contains("expect"), "{head}");
    assert!(body.as_deref() == Some(&sent[..3_000_000]));
    assert_eq!(proxy.metric("node_sends"), 2.0);
    assert!(
        proxy.memory_peak_mb() < 40.0,
        "{} MB",
        proxy.memory_peak_mb()
    );
}

#[test]
fn a_large_request_is_retried_if_nothing_of_it_has_been_sent() {
    // Nothing listens at the first address: the other endpoint gets the whole request.
    let unused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[unused, to], &with_operations_listener());
    let sent = body_bytes(500_000);
    for _ in 0..4 {
        let (mut reader, mut stream) = connect(&proxy);
        stream
            .write_all(upload_head("submit", "Content-Length: 500000").as_bytes())
            .expect("the bytes are accepted");
        stream.write_all(&sent).expect("the bytes are accepted");
        assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
        assert!(received.recv_timeout(LIMIT).expect("a request").1.as_ref() == Some(&sent));
    }
}

#[test]
fn a_large_request_that_is_cut_off_is_rejected_and_never_completed() {
    let (sender, received) = channel();
    let sender = std::sync::Mutex::new(sender);
    let to = start_endpoint(move |_, reader, stream| {
        let _ = reader.read_exact(&mut vec![0; 1_000_000]);
        let _ = sender.lock().expect("no panic").send(());
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload_head("submit", &format!("Content-Length: {LARGE_BODY_BYTES}")).as_bytes())
        .expect("the bytes are accepted");
    let writer = thread::spawn(move || {
        let _ = stream.write_all(&body_bytes(LARGE_BODY_BYTES));
        stream
    });
    let head = read_answer(&mut reader).0;
    assert!(
        head.starts_with("HTTP/1.1 503"),
        "the request never ran: {head}"
    );
    let _stream = writer.join();
    assert_eq!(received.try_iter().count(), 1);
    assert_eq!(proxy.metric("node_sends"), 0.0);
}

#[test]
fn a_client_that_disconnects_within_a_request_leaves_no_complete_one_behind() {
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let (_reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload_head("submit", "Content-Length: 8000000").as_bytes())
        .expect("the bytes are accepted");
    stream
        .write_all(&body_bytes(4_000_000))
        .expect("the bytes are accepted");
    wait_for("the request to be sent", || {
        proxy.metric("node_current") == 1.0
    });
    drop((_reader, stream));
    assert_eq!(
        received
            .recv_timeout(LIMIT)
            .expect("the start of the request")
            .1,
        None
    );
    wait_for("the request to end", || {
        proxy.metric("node_abandoned{group=\"submit\"}") == 1.0
    });
    assert_eq!(proxy.metric("node_sends"), 0.0);
}

#[test]
fn a_body_over_the_limit_is_rejected_before_it_is_read() {
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload_head("submit", "Content-Length: 60000000").as_bytes())
        .expect("the bytes are accepted");
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 413"));
    assert!(received.try_iter().next().is_none());
}

#[test]
fn slow_heads_and_bodies_in_small_pieces_are_read() {
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(page("r-1").as_bytes())
        .expect("the bytes are accepted");
    read_answer(&mut reader);
    // After a pause, a head that takes two seconds and a body of 64 kB that takes one.
    thread::sleep(Duration::from_millis(1200));
    let head = upload_head("submit", "Content-Length: 64000");
    for piece in head.as_bytes().chunks(head.len().div_ceil(20)) {
        thread::sleep(Duration::from_millis(95));
        stream.write_all(piece).expect("the bytes are accepted");
    }
    for piece in body_bytes(64_000).chunks(6_400) {
        thread::sleep(Duration::from_millis(90));
        stream.write_all(piece).expect("the bytes are accepted");
    }
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    // Pipelined requests, byte by byte.
    let all = format!("{}{}", page("r-2"), page("r-3"));
    for byte in all.as_bytes() {
        stream.write_all(&[*byte]).expect("the bytes are accepted");
    }
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert_eq!(received.try_iter().filter(|s| s.1.is_some()).count(), 4);
}

#[test]
fn answers_in_all_forms_are_accepted_except_truncated_ones() {
    let to = start_endpoint(|head, _, stream| {
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
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
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
fn ambiguous_requests_are_not_forwarded() {
    let (to, received) = recording_endpoint();
    let (_discovery, mut proxy) = start_proxy_for(&[to], &with_operations_listener());
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
        stream
            .write_all(text.as_bytes())
            .expect("the bytes are accepted");
        let start = Instant::now();
        let mut response = String::new();
        let _ = reader.read_to_string(&mut response); // a reset also ends it
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4"),
            "{text}: {response}"
        );
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{text}: {:?}",
            start.elapsed()
        );
    }
    assert!(received.try_iter().next().is_none());
    // Requests in absolute form and in HTTP/1.0 are accepted.
    let absolute = good.replace("/submit", "http://origin.svc:80/submit");
    assert_eq!(
        Client::new(&proxy)
            .ask(&absolute)
            .expect("an answer")
            .status(),
        200
    );
    assert!(
        received
            .recv_timeout(LIMIT)
            .expect("a request")
            .0
            .starts_with("POST /submit?sid=7f HTTP/1.1")
    );
    let mut http10_client = Client::new(&proxy);
    assert_eq!(
        http10_client
            .ask(&page("r-2").replace("HTTP/1.1", "HTTP/1.0"))
            .expect("an answer")
            .status(),
        200
    );
    assert!(http10_client.is_closed());
    assert!(proxy.is_running());
}

#[test]
fn requests_that_exceed_the_memory_limit_are_rejected_at_once() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let to = start_endpoint(move |head, reader, stream| {
        endpoint_gate.wait_until_open();
        if read_body(head, reader).is_some() {
            let _ = stream.write_all(ok("done").as_bytes());
        }
    });
    let (_discovery, proxy) = start_proxy_for(
        &[to],
        &Setup {
            memory_mb: 2,
            ..with_operations_listener()
        },
    );
    let mut open: Vec<_> = (0..20)
        .map(|_| {
            let (reader, mut stream) = connect(&proxy);
            stream
                .write_all(upload_head("submit", "Content-Length: 100000").as_bytes())
                .expect("the bytes are accepted");
            stream
                .write_all(&body_bytes(90_000))
                .expect("the bytes are accepted");
            (reader, stream)
        })
        .collect();
    wait_for("two rejections", || {
        proxy.metric("node_deferred{group=\"submit\"}") >= 2.0
    });
    for (_, stream) in &mut open {
        let _ = stream.write_all(&body_bytes(10_000));
    }
    gate.open();
    let heads: Vec<String> = open
        .iter_mut()
        .map(|(reader, _)| read_answer(reader).0)
        .collect();
    let rejected = heads
        .iter()
        .filter(|h| h.starts_with("HTTP/1.1 503"))
        .count();
    let served = heads
        .iter()
        .filter(|h| h.starts_with("HTTP/1.1 200"))
        .count();
    assert!(
        rejected >= 2 && served >= 8 && rejected + served == 20,
        "{heads:?}"
    );
}

#[test]
fn a_slow_large_request_occupies_no_endpoint_until_it_is_complete() {
    let (to, received) = recording_endpoint();
    let (_discovery, proxy) = start_proxy_for(&[to], &with_operations_listener());
    let sent = body_bytes(200_000);
    let (mut reader, mut stream) = connect(&proxy);
    stream
        .write_all(upload_head("submit", "Content-Length: 200000").as_bytes())
        .expect("the bytes are accepted");
    stream
        .write_all(&sent[..150_000])
        .expect("the bytes are accepted");
    let mut other = Client::new(&proxy);
    assert_eq!(other.ask(&page("r-2")).expect("an answer").status(), 200);
    assert!(
        received
            .recv_timeout(LIMIT)
            .expect("the other request")
            .0
            .contains("r-2")
    );
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        proxy.metric("node_current"),
        0.0,
        "the request was passed on before it was complete"
    );
    stream
        .write_all(&sent[150_000..])
        .expect("the bytes are accepted");
    assert!(read_answer(&mut reader).0.starts_with("HTTP/1.1 200"));
    assert!(received.recv_timeout(LIMIT).expect("a request").1.as_ref() == Some(&sent));
}
