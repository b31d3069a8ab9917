//! Long answers from slow endpoints and to slow clients, at every limit that the platform sets.
mod long_bodies;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use long_bodies::*;
use sockets::*;

/// The lowest rate at which a sound peer reads or writes.
const LOWEST_RATE: f64 = 64e3;
/// The number of bytes that a client reads at a time.
const READ_BYTES: usize = 4000;

/// Starts endpoints that write an answer with this body in pieces.
fn start_answering_endpoints(body: Body, piece_bytes: usize) -> Vec<SocketAddr> {
    let start = |_| start_endpoint(move |_, stream| write_answer(body, piece_bytes, stream));
    (0..9).map(start).collect()
}

fn write_answer(body: Body, piece_bytes: usize, stream: &mut TcpStream) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", body.framing());
    stream.write_all(head.as_bytes())?;
    body.write(stream, piece_bytes)
}

/// A client that has asked for an answer and reads its body.
struct SlowReader {
    reader: BufReader<TcpStream>,
    begun: Instant,
    received: usize,
}

impl SlowReader {
    /// Asks for an answer and reads its head.
    fn start(address: SocketAddr, id: &str) -> Self {
        Self::try_start(address, id).expect("the request is served")
    }

    /// Asks for an answer and reads its head; `None` if the request is refused.
    fn try_start(address: SocketAddr, id: &str) -> Option<Self> {
        let mut stream = connect(address);
        let request = page(id);
        stream
            .write_all(request.as_bytes())
            .expect("the request is written");
        let mut reader = BufReader::new(stream);
        let status = read_status(&mut reader);
        assert!([Some(200), Some(503)].contains(&status), "{status:?}");
        (status == Some(200)).then(|| SlowReader {
            reader,
            begun: Instant::now(),
            received: 0,
        })
    }

    /// Reads at a steady rate until the end of the body, or for a time; returns false at the end of the connection.
    fn read_steadily(&mut self, body_bytes: usize, duration: Duration) -> bool {
        let mut piece = [0; READ_BYTES];
        while self.received < body_bytes && self.begun.elapsed() < duration {
            match self.reader.read(&mut piece) {
                Ok(read @ 1..) => self.received += read,
                _ => return false,
            }
            pace(self.begun, self.received, LOWEST_RATE);
        }
        true
    }

    /// Reads the rest at once and returns the number of bytes of the whole body.
    fn read_rest(&mut self, body_bytes: usize) -> usize {
        let mut piece = [0; READ_BYTES];
        while self.received < body_bytes {
            match self.reader.read(&mut piece) {
                Ok(read @ 1..) => self.received += read,
                _ => break,
            }
        }
        self.received
    }
}

const fn at_once(bytes: usize) -> Body {
    Body {
        bytes,
        chunked: false,
        bytes_per_second: None,
        client_timeout_seconds: CLIENT_TIMEOUT_SECONDS,
    }
}

/// Guards against a steady reader that is taken for a stalled one, because the system's buffer stays full for longer
/// than the proxy waits: its answer was cut off.
#[test]
fn a_long_answer_reaches_a_client_that_reads_slowly() {
    const BODY_BYTES: usize = 5 << 20;
    let endpoints = start_answering_endpoints(at_once(BODY_BYTES), PIECE_BYTES);
    let (_discovery, proxy) = start_proxy_for(&endpoints, &short_deadline());
    let address = proxy.address;
    let clients: Vec<_> = (0..4)
        .map(|number| {
            thread::spawn(move || {
                let mut reader = SlowReader::start(address, &format!("r-{number}"));
                // The time after which a client without progress is cut off, with the longest deadline.
                reader.read_steadily(BODY_BYTES, Duration::from_secs(17));
                reader.read_rest(BODY_BYTES)
            })
        })
        .collect();
    for client in clients {
        assert_eq!(client.join().expect("no panic"), BODY_BYTES);
    }
}

/// Guards against limits for idle connections that count while the end of an answer waits for the socket. The answers
/// have many lengths, as it depends on the system's buffers which of them end there.
#[test]
fn the_end_of_an_answer_reaches_a_slow_client_after_a_shutdown() {
    const STEP_BYTES: usize = 100_000;
    let endpoints: Vec<SocketAddr> = (0..9)
        .map(|_| {
            start_endpoint(|id, stream| {
                let steps: usize = id.trim_start_matches("r-").parse().expect("a number");
                write_answer(at_once(steps * STEP_BYTES), PIECE_BYTES, stream)
            })
        })
        .collect();
    let (_discovery, proxy) = start_proxy_for(&endpoints, &short_deadline());
    let address = proxy.address;
    let clients: Vec<_> = (1..=48)
        .map(|steps| {
            thread::spawn(move || {
                let body_bytes = steps * STEP_BYTES;
                let mut reader = SlowReader::start(address, &format!("r-{steps}"));
                reader.read_steadily(body_bytes, Duration::from_secs(7));
                (body_bytes, reader.read_rest(body_bytes))
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    proxy.terminate();
    let ends: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"))
        .collect();
    let cut: Vec<_> = ends.iter().filter(|(bytes, got)| bytes != got).collect();
    assert!(cut.is_empty(), "{cut:?}");
}

/// Returns a setup in which a client without progress is given up early.
fn short_deadline() -> Setup {
    Setup {
        deadline: 1000,
        ..Setup::default()
    }
}

/// No part of an answer may be held back for longer: 2 s, and 50 ms of slack on sockets.
const MAX_HELD_BACK: Duration = Duration::from_millis(2050);

/// The number of bytes of a body that had been written or read at a time.
type Progress = Vec<(Instant, usize)>;

/// What endpoints have written, by the ids of the requests.
type Written = Arc<Mutex<HashMap<String, Progress>>>;

/// An answer as a client got it.
struct Received {
    id: String,
    status: u16,
    progress: Progress,
}

/// Reads a whole answer as it arrives.
fn read_at_once(address: SocketAddr, id: String, body: &Body) -> Received {
    let mut stream = connect(address);
    stream
        .write_all(page(&id).as_bytes())
        .expect("the request is written");
    let mut reader = BufReader::new(stream);
    let status = read_status(&mut reader).unwrap_or(0);
    let mut progress = Vec::new();
    if status == 200 && body.chunked {
        while let Some(size @ 1..) = read_chunk_size(&mut reader) {
            let is_whole = read_part(&mut reader, size, &mut progress);
            if !is_whole || reader.read_line(&mut String::new()).is_err() {
                break;
            }
        }
    } else if status == 200 {
        read_part(&mut reader, body.bytes, &mut progress);
    }
    Received {
        id,
        status,
        progress,
    }
}

/// Reads a part of a body as it arrives; returns false if the connection ends before.
fn read_part(reader: &mut impl Read, part_bytes: usize, progress: &mut Progress) -> bool {
    let received_before = progress.last().map_or(0, |(_, received)| *received);
    let (mut piece, mut received) = ([0; 16 << 10], 0);
    while received < part_bytes {
        let room = piece.len().min(part_bytes - received);
        match reader.read(&mut piece[..room]) {
            Ok(read @ 1..) => received += read,
            _ => return false,
        }
        progress.push((Instant::now(), received_before + received));
    }
    true
}

fn read_chunk_size(reader: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    usize::from_str_radix(line.trim_end(), 16).ok()
}

/// Returns the longest time between the write of a byte and its arrival.
fn longest_held_back(written: &Progress, received: &Progress) -> Duration {
    let mut arrivals = received.iter();
    let mut arrival = arrivals.next();
    let times = written.iter().map(|(at, bytes)| {
        while arrival.is_some_and(|(_, got)| got < bytes) {
            arrival = arrivals.next();
        }
        arrival.map_or(Duration::MAX, |(arrived_at, _)| {
            arrived_at.saturating_duration_since(*at)
        })
    });
    times.max().unwrap_or_default()
}

/// The rate of all answers together that a process passes on with a part of its core.
const MAX_TOTAL_BYTES_PER_SECOND: f64 = 100e6;

/// Returns the number of clients that ask for answers at a time: all, unless their rates exceed what a core can do.
fn answering_clients(limits: Limits, body: &Body) -> usize {
    let rate = body.bytes_per_second.unwrap_or(MAX_TOTAL_BYTES_PER_SECOND);
    limits
        .clients()
        .min((MAX_TOTAL_BYTES_PER_SECOND / rate) as usize)
}

/// Asks for long answers from slow endpoints with all clients at a time, and checks that none is cut off or held back,
/// and the memory limit.
fn check_answers(limits: Limits, body: Body, piece_bytes: usize) {
    let written = Written::default();
    let endpoints: Vec<SocketAddr> = (0..9)
        .map(|_| {
            let written = written.clone();
            start_endpoint(move |id, stream| {
                let head = format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", body.framing());
                stream.write_all(head.as_bytes())?;
                body.write_and_report(stream, piece_bytes, |sent| {
                    let mut written = written.lock().expect("no panic");
                    let progress = written.entry(id.to_owned()).or_default();
                    progress.push((Instant::now(), sent));
                })
            })
        })
        .collect();
    let (_discovery, mut proxy) = start_proxy_for(&endpoints, &limits.setup());
    let address = proxy.address;
    let clients: Vec<_> = (0..answering_clients(limits, &body))
        .map(|number| {
            thread::sleep(Duration::from_millis(2));
            let run = move || read_at_once(address, format!("r-{number}"), &body);
            let thread = thread::Builder::new().stack_size(256 << 10);
            thread.spawn(run).expect("a thread starts")
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"))
        .collect();
    let written = written.lock().expect("no panic");
    let served: Vec<_> = answers.iter().filter(|a| a.status == 200).collect();
    let refused = answers.iter().filter(|a| a.status == 503).count();
    let whole = |a: &&&Received| a.progress.last().is_some_and(|(_, got)| *got == body.bytes);
    let held_back = served
        .iter()
        .map(|answer| longest_held_back(&written[&answer.id], &answer.progress))
        .max()
        .unwrap_or_default();
    println!(
        "{limits:?} {body:?}: {} served, {} of these whole, {refused} refused, held back for up to {held_back:?}, peak {:.1} MB",
        served.len(),
        served.iter().filter(whole).count(),
        peak_mb(&proxy)
    );
    assert!(proxy.is_running());
    limits.check(&proxy);
    assert_eq!(served.len() + refused, answers.len());
    assert!(served.iter().all(|answer| whole(&answer)));
    assert!(held_back <= MAX_HELD_BACK, "{held_back:?}");
}

const fn slow_answer(bytes: usize) -> Body {
    Body {
        bytes,
        chunked: false,
        bytes_per_second: Some(LOWEST_RATE),
        client_timeout_seconds: CLIENT_TIMEOUT_SECONDS,
    }
}

/// Guards against long answers that wait for memory after they have begun.
#[test]
fn long_answers_from_slow_endpoints_are_not_held_back() {
    let limits = Limits {
        memory_mb: 32,
        sockets: 256,
    };
    check_answers(limits, slow_answer(256 << 10), 4 << 10);
}

/// Guards against the same, and against more memory than there is, with as many clients as there may be and in small
/// pieces.
#[test]
fn long_answers_to_the_most_clients_stay_within_the_smallest_limit() {
    let limits = Limits {
        memory_mb: 32,
        sockets: 1024,
    };
    check_answers(limits, slow_answer(256 << 10), 1000);
}

/// Plays answers of all lengths and rates at a corner of the limits if `ANSWER_SWEEP` is set; without it, one in chunks.
fn check_answers_of_any_length_and_rate(memory_mb: u32, sockets: usize) {
    let limits = Limits { memory_mb, sockets };
    let bodies = match std::env::var_os("ANSWER_SWEEP") {
        Some(_) => sweep_bodies(),
        None => vec![steady(300_000, true, 256e3)],
    };
    for body in bodies {
        check_answers(limits, body, PIECE_BYTES);
    }
}

#[test]
fn answers_of_any_length_and_rate_pass_at_32_mb_with_256_descriptors() {
    check_answers_of_any_length_and_rate(32, 256);
}

#[test]
fn answers_of_any_length_and_rate_pass_at_32_mb_with_1024_descriptors() {
    check_answers_of_any_length_and_rate(32, 1024);
}

#[test]
fn answers_of_any_length_and_rate_pass_at_192_mb_with_256_descriptors() {
    check_answers_of_any_length_and_rate(192, 256);
}

#[test]
fn answers_of_any_length_and_rate_pass_at_192_mb_with_1024_descriptors() {
    check_answers_of_any_length_and_rate(192, 1024);
}

/// Guards against answers that are kept for many slow clients at a time.
#[test]
fn long_answers_to_slow_clients_stay_within_the_smallest_limit() {
    const BODY_BYTES: usize = 5 << 20;
    let limits = Limits {
        memory_mb: 32,
        sockets: 1024,
    };
    let endpoints = start_answering_endpoints(at_once(BODY_BYTES), 1000);
    let (_discovery, mut proxy) = start_proxy_for(&endpoints, &limits.setup());
    let address = proxy.address;
    let clients: Vec<_> = (0..limits.clients())
        .map(|number| {
            let run = move || {
                let mut reader = SlowReader::try_start(address, &format!("r-{number}"))?;
                reader.read_steadily(BODY_BYTES, Duration::from_secs(5));
                Some(reader.read_rest(BODY_BYTES))
            };
            let thread = thread::Builder::new().stack_size(256 << 10);
            thread.spawn(run).expect("a thread starts")
        })
        .collect();
    let received: Vec<usize> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("no panic"))
        .collect();
    println!(
        "{} served of {}, peak {:.1} MB",
        received.len(),
        limits.clients(),
        peak_mb(&proxy)
    );
    assert!(proxy.is_running());
    limits.check(&proxy);
    assert!(!received.is_empty());
    assert!(received.iter().all(|bytes| *bytes == BODY_BYTES));
}
