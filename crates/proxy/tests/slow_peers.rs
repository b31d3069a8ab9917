//! Endpoints that write long answers or read long requests slowly, and clients that wait for a short time.
mod long_bodies;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::{Body, Limits, pace, start_endpoint};
use sockets::*;

/// An answer may come this much after its client's time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The time for which the clients of these tests wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
const PIECE_BYTES: usize = 4000;

/// The way in which an endpoint writes a long answer.
#[derive(Clone, Copy, Debug)]
enum Writing {
    /// Pieces at this many bytes a second.
    Steady(f64),
    /// The head and this many bytes, a pause, and the rest.
    Lumps(usize),
}

/// A long answer whose length is not announced.
#[derive(Clone, Copy, Debug)]
struct Answer {
    bytes: usize,
    /// In chunks, or up to the close of the connection.
    chunked: bool,
    writing: Writing,
}

/// The pause between two lumps of an answer.
const LUMP_PAUSE: Duration = Duration::from_millis(1600);

impl Answer {
    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let framing = if self.chunked {
            "Transfer-Encoding: chunked"
        } else {
            "Connection: close"
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes())?;
        match self.writing {
            Writing::Steady(rate) => {
                let begun = Instant::now();
                let mut written = 0;
                while written < self.bytes {
                    let piece = PIECE_BYTES.min(self.bytes - written);
                    self.write_piece(stream, piece)?;
                    written += piece;
                    pace(begun, written, rate);
                }
            }
            Writing::Lumps(first) => {
                if first > 0 {
                    self.write_piece(stream, first)?;
                }
                thread::sleep(LUMP_PAUSE);
                self.write_piece(stream, self.bytes - first)?;
            }
        }
        if self.chunked {
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            stream.shutdown(std::net::Shutdown::Both)?;
        }
        Ok(())
    }

    fn write_piece(&self, stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
        let piece = "y".repeat(bytes);
        if self.chunked {
            stream.write_all(format!("{bytes:x}\r\n{piece}\r\n").as_bytes())
        } else {
            stream.write_all(piece.as_bytes())
        }
    }
}

/// What a client has got of an answer.
#[derive(Debug)]
struct Received {
    status: u16,
    first_byte_after: Duration,
    bytes: usize,
    whole: bool,
}

fn request_head(class: &str, id: &str, timeout: Duration, framing: &str) -> String {
    let method = if class == "page" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}\r\n{framing}\r\n",
        timeout.as_secs_f64()
    )
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

/// Asks for an answer and reads it to its end.
fn receive(address: SocketAddr, class: &str, id: &str) -> Received {
    receive_within(address, class, id, CLIENT_TIMEOUT)
}

/// Does the same for a client that waits this long.
fn receive_within(address: SocketAddr, class: &str, id: &str, timeout: Duration) -> Received {
    let mut stream = TcpStream::connect(address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let framing = if class == "page" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    let head = request_head(class, id, timeout, framing);
    stream
        .write_all(head.as_bytes())
        .expect("the request is written");
    let begun = Instant::now();
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader).unwrap_or_default();
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut received = Received {
        status: status.unwrap_or(0),
        first_byte_after: begun.elapsed(),
        bytes: 0,
        whole: false,
    };
    let mut chunked = false;
    while let Some(line) = read_line(&mut reader).filter(|line| !line.is_empty()) {
        chunked |= line.eq_ignore_ascii_case("transfer-encoding: chunked");
    }
    if !chunked {
        return received;
    }
    loop {
        let size = read_line(&mut reader).and_then(|line| usize::from_str_radix(&line, 16).ok());
        let Some(size) = size else { break };
        let mut piece = vec![0; size + 2];
        if reader.read_exact(&mut piece).is_err() {
            break;
        }
        received.bytes += size;
        received.whole = size == 0;
        if size == 0 {
            break;
        }
    }
    received
}

fn check_answer(answer: Answer, class: &str) {
    let endpoint = start_endpoint(move |_, stream| {
        answer.write(stream)?;
        if answer.chunked {
            return Ok(());
        }
        Err(std::io::ErrorKind::NotConnected.into())
    });
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &Setup::default());
    for number in 0..2 {
        let received = receive(proxy.address, class, &format!("r-{number}"));
        println!("{answer:?} {class}: {received:?}");
        assert_eq!(received.status, 200, "{answer:?} {class}");
        assert!(received.first_byte_after <= CLIENT_TIMEOUT, "{received:?}");
        assert!(
            received.whole && received.bytes == answer.bytes,
            "{answer:?} {class}: {received:?}"
        );
    }
}

fn check_answers(writing: Writing) {
    let checks: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|chunked| ["page", "submit"].map(|class| (chunked, class)))
        .map(|(chunked, class)| {
            let answer = Answer {
                bytes: 170_000,
                chunked,
                writing,
            };
            thread::spawn(move || check_answer(answer, class))
        })
        .collect();
    for check in checks {
        check.join().expect("no panic");
    }
}

/// Guards against a long answer without a length that is refused at its client's time, as 64 KiB have not come by then.
#[test]
fn a_steady_answer_without_a_length_is_not_cut_off_at_its_clients_time() {
    check_answers(Writing::Steady(77e3));
}

/// Guards against the same where the endpoint pauses while the client's time ends.
#[test]
fn an_answer_in_lumps_is_not_cut_off_at_its_clients_time() {
    check_answers(Writing::Lumps(16_000));
}

/// Guards against the same where only the head comes before the pause.
#[test]
fn an_answer_whose_body_begins_late_is_not_cut_off_at_its_clients_time() {
    check_answers(Writing::Lumps(0));
}

const STEADY_ANSWER: Answer = Answer {
    bytes: 170_000,
    chunked: true,
    writing: Writing::Steady(77e3),
};

/// Guards against the same with clients that wait for any time.
#[test]
fn an_answer_without_a_length_is_not_cut_off_however_long_its_client_waits() {
    let endpoint = start_endpoint(|_, stream| STEADY_ANSWER.write(stream));
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &Setup::default());
    for timeout_ms in [80, 150, 300, 900, 1500, 4000] {
        let timeout = Duration::from_millis(timeout_ms);
        let id = format!("r-{timeout_ms}");
        let received = receive_within(proxy.address, "page", &id, timeout);
        assert!(received.first_byte_after <= timeout, "{received:?}");
        let is_whole = received.whole && received.bytes == STEADY_ANSWER.bytes;
        assert!(is_whole, "{timeout:?}: {received:?}");
    }
}

/// Guards against the same in a shutdown: the process exits once its clients have their answers.
#[test]
fn an_answer_without_a_length_is_not_cut_off_in_a_shutdown() {
    for delay_ms in [50, 300, 700] {
        let endpoint = start_endpoint(|_, stream| STEADY_ANSWER.write(stream));
        let (_discovery, mut proxy) = start_proxy_for(&[endpoint], &Setup::default());
        let address = proxy.address;
        let client = thread::spawn(move || receive(address, "submit", "r-1"));
        thread::sleep(Duration::from_millis(delay_ms));
        proxy.terminate();
        let received = client.join().expect("no panic");
        let is_whole = received.whole && received.bytes == STEADY_ANSWER.bytes;
        assert!(is_whole, "{delay_ms} ms: {received:?}");
        assert!(proxy.wait().success());
    }
}

/// Guards against a request whose endpoint stops reading and that has no answer when the process exits.
#[test]
fn a_request_whose_endpoint_stops_reading_is_answered_in_time_in_a_shutdown() {
    let timeout = Duration::from_millis(600);
    for delay_ms in [100, 400] {
        let endpoint = start_reading_endpoint(STUCK);
        let (_discovery, mut proxy) = start_proxy_for(&[endpoint], &LIMITS[0].setup());
        let address = proxy.address;
        let client =
            thread::spawn(move || upload(address, "r-1", at_once(3_000_000, true), timeout));
        thread::sleep(Duration::from_millis(delay_ms));
        proxy.terminate();
        let end = client.join().expect("no panic");
        let after = end.answered_after.unwrap_or_default();
        assert!([502, 503].contains(&end.status), "{end:?}");
        assert!(after <= timeout + ANSWER_SLACK, "{end:?}");
        assert!(proxy.wait().success());
    }
}

/// Guards against the same at the process that an upgrade replaces, while the next one takes new clients.
#[test]
fn slow_answers_and_requests_of_a_replaced_process_end_as_before() {
    let timeout = Duration::from_millis(600);
    for (endpoint, is_stuck) in [
        (
            start_endpoint(|_, stream| STEADY_ANSWER.write(stream)),
            false,
        ),
        (start_reading_endpoint(STUCK), true),
    ] {
        let discovery = Discovery::new();
        discovery.publish(&list(1, true, &[host("s-0", endpoint, "up", 0)]));
        let listener = inheritable_listener();
        let address = listener.local_addr().expect("an address");
        let setup = || Setup {
            inherited_socket: Some(listener.as_raw_fd()),
            ..LIMITS[0].setup()
        };
        let mut previous = Proxy::up(&discovery, &setup());
        let client = thread::spawn(move || {
            if is_stuck {
                let end = upload(address, "r-1", at_once(3_000_000, true), timeout);
                let after = end.answered_after.unwrap_or_default();
                [502, 503].contains(&end.status) && after <= timeout + ANSWER_SLACK
            } else {
                let received = receive_within(address, "submit", "r-1", timeout);
                received.whole && received.bytes == STEADY_ANSWER.bytes
            }
        });
        thread::sleep(Duration::from_millis(150));
        let mut next = Proxy::start(&discovery, &setup());
        thread::sleep(Duration::from_millis(50));
        previous.terminate();
        assert!(client.join().expect("no panic"), "stuck: {is_stuck}");
        assert!(previous.wait().success());
        assert!(next.is_running());
    }
}

/// Guards against a short answer that is passed on without its end, in place of an answer in time.
#[test]
fn a_short_answer_that_stops_is_refused_in_time() {
    for class in ["page", "submit"] {
        let endpoint = start_endpoint(|_, stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            stream.write_all(format!("12c\r\n{}\r\n", "y".repeat(300)).as_bytes())?;
            thread::sleep(LIMIT);
            Ok(())
        });
        let (_discovery, proxy) = start_proxy_for(&[endpoint], &Setup::default());
        let received = receive(proxy.address, class, "r-1");
        assert!([502, 503].contains(&received.status), "{received:?}");
        assert!(received.first_byte_after <= CLIENT_TIMEOUT + ANSWER_SLACK);
    }
}

/// Guards against the beginning of a long answer that is held back for as long as its client waits.
#[test]
fn the_beginning_of_an_answer_without_a_length_is_not_held_back_for_long() {
    const MAX_HELD_BACK: Duration = Duration::from_secs(2);
    let answer = Answer {
        bytes: 200_000,
        chunked: true,
        writing: Writing::Steady(40e3),
    };
    let endpoint = start_endpoint(move |_, stream| answer.write(stream));
    let (_discovery, proxy) = start_proxy_for(&[endpoint], &Setup::default());
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    stream
        .write_all(page("r-1").as_bytes())
        .expect("the request is written");
    let begun = Instant::now();
    assert!(stream.read(&mut [0; 1]).is_ok_and(|read| read == 1));
    assert!(begun.elapsed() < MAX_HELD_BACK, "{:?}", begun.elapsed());
}

/// The rate at which an endpoint reads requests, and the bytes after which it stops.
#[derive(Clone, Copy, Debug)]
struct Reading {
    bytes_per_second: f64,
    stops_after: usize,
}

const STUCK: Reading = Reading {
    bytes_per_second: 1e9,
    stops_after: 30_000,
};
const SLOW: Reading = Reading {
    bytes_per_second: 200e3,
    stops_after: usize::MAX,
};

/// Starts an endpoint that reads what it gets in this way and never answers.
fn start_reading_endpoint(reading: Reading) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let (begun, mut received) = (Instant::now(), 0);
                let mut piece = [0; PIECE_BYTES];
                while received < reading.stops_after {
                    match stream.read(&mut piece) {
                        Ok(read @ 1..) => received += read,
                        _ => return,
                    }
                    pace(begun, received, reading.bytes_per_second);
                }
                thread::sleep(LIMIT);
            });
        }
    });
    address
}

/// The end of an upload as its client sees it.
#[derive(Debug)]
struct UploadEnd {
    status: u16,
    /// The time from the last byte to the answer; `None` if the client could not write the last byte before.
    answered_after: Option<Duration>,
}

/// Writes a request as fast as the proxy takes it, and waits for its answer.
fn upload(address: SocketAddr, id: &str, body: Body, timeout: Duration) -> UploadEnd {
    let stream = TcpStream::connect(address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let head = request_head("submit", id, timeout, &(body.framing() + "\r\n"));
    let mut writer = stream.try_clone().expect("a handle");
    let writing = thread::spawn(move || {
        writer.write_all(head.as_bytes()).ok()?;
        body.write(&mut writer, 64_000).ok()?;
        Some(Instant::now())
    });
    let status = read_message(&mut BufReader::new(&stream)).map_or(0, |answer| answer.status());
    let answered = Instant::now();
    let _ = stream.shutdown(std::net::Shutdown::Both); // ends the writer
    let written = writing.join().expect("no panic");
    UploadEnd {
        status,
        answered_after: written
            .filter(|written| *written <= answered)
            .map(|written| answered - written),
    }
}

const fn at_once(bytes: usize, chunked: bool) -> Body {
    Body {
        bytes,
        chunked,
        bytes_per_second: None,
        client_timeout_seconds: 1,
    }
}

/// Sends a body to endpoints that read in this way, and checks the time of its answer.
fn check_upload(limits: Limits, reading: Reading, body: Body, clients: usize) {
    let endpoints: Vec<_> = (0..6).map(|_| start_reading_endpoint(reading)).collect();
    let (_discovery, mut proxy) = start_proxy_for(&endpoints, &limits.setup());
    let timeout = Duration::from_millis(600);
    let uploads: Vec<_> = (0..clients)
        .map(|number| {
            let address = proxy.address;
            thread::spawn(move || upload(address, &format!("r-{number}"), body, timeout))
        })
        .collect();
    for run in uploads {
        let end = run.join().expect("no panic");
        println!("{limits:?} {reading:?} {body:?}: {end:?}");
        assert!([502, 503].contains(&end.status), "{body:?}: {end:?}");
        let after = end.answered_after.unwrap_or_default();
        assert!(after <= timeout + ANSWER_SLACK, "{body:?}: {end:?}");
    }
    assert!(proxy.is_running());
    limits.check(&proxy);
}

const LIMITS: [Limits; 2] = [
    Limits {
        memory_mb: 32,
        sockets: 1024,
    },
    Limits {
        memory_mb: 192,
        sockets: 256,
    },
];

fn check_uploads(reading: Reading, bytes: &[usize], clients: usize) {
    for limits in LIMITS {
        let checks: Vec<_> = bytes
            .iter()
            .flat_map(|bytes| [at_once(*bytes, true), at_once(*bytes, false)])
            .map(|body| thread::spawn(move || check_upload(limits, reading, body, clients)))
            .collect();
        for check in checks {
            check.join().expect("no panic");
        }
    }
}

/// Guards against a request whose time does not count because nobody reads its last byte while its endpoint takes nothing.
#[test]
fn a_request_is_answered_in_time_if_its_endpoints_stop_reading() {
    check_uploads(STUCK, &[100_000, 1_000_000, 2_140_000, 3_000_000], 2);
}

/// Guards against the same with an endpoint that reads all the time, but too slowly.
#[test]
fn a_request_is_answered_in_time_if_its_endpoints_read_slowly() {
    check_uploads(SLOW, &[1_000_000, 3_000_000], 2);
}

/// Guards against the same where there is no memory to receive the rest of the bodies.
#[test]
fn requests_are_answered_in_time_if_their_endpoints_stop_reading_and_memory_is_short() {
    check_uploads(STUCK, &[3_000_000], 12);
}

/// Guards against the same with bodies that neither memory nor the system's buffers hold whole.
#[test]
fn requests_of_any_length_are_answered_in_time_if_their_endpoints_stop_reading() {
    check_uploads(STUCK, &[8_000_000, 32_000_000], 2);
}

/// When an attempt's head came, and the time that it told its endpoint.
type ToldTimes = Arc<Mutex<Vec<(Instant, Duration)>>>;

/// Starts an endpoint that takes the head of a request and some of its body, and resets the connection after a while.
fn start_resetting_endpoint(told: &ToldTimes, after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let told = told.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, told) = (stream.expect("a connection"), told.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(line) = read_line(&mut reader).filter(|line| !line.is_empty()) {
                    if let Some(value) = line.to_ascii_lowercase().strip_prefix("x-timeout: ") {
                        let time = Duration::from_secs_f64(value.parse().expect("a number"));
                        told.lock().expect("no panic").push((Instant::now(), time));
                    }
                }
                thread::sleep(after);
                socket2::SockRef::from(reader.get_ref())
                    .set_linger(Some(Duration::ZERO))
                    .expect("an option");
            });
        }
    });
    address
}

/// Guards against a second attempt that tells its endpoint more time than its client has left, as the last byte was read
/// long after it was written.
#[test]
fn a_second_attempt_of_a_long_body_tells_no_more_than_its_client_has_left() {
    const MAX_EXCESS: Duration = Duration::from_millis(150);
    let timeout = Duration::from_secs(2);
    for limits in LIMITS {
        for chunked in [true, false] {
            let told = ToldTimes::default();
            let after = Duration::from_millis(500);
            let endpoints: Vec<_> = (0..4)
                .map(|_| start_resetting_endpoint(&told, after))
                .collect();
            let (_discovery, proxy) = start_proxy_for(&endpoints, &limits.setup());
            let begun = Instant::now();
            upload(proxy.address, "r-1", at_once(3_000_000, chunked), timeout);
            let told = told.lock().expect("no panic");
            for (at, time) in told.iter() {
                // The last byte was written some ms after the begin.
                let left = (begun + timeout).saturating_duration_since(*at);
                println!("{limits:?} {chunked}: told {time:?}, left {left:?}");
                assert!(*time <= left + MAX_EXCESS, "told {time:?}, left {left:?}");
            }
            assert!(told.len() > 1, "there is a second attempt");
        }
    }
}
