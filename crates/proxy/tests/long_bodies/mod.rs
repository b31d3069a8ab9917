//! Clients and endpoints of long bodies, which are written and read at a steady rate and never kept whole.
#![allow(dead_code)] // each test binary uses its part

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::sockets::{Proxy, Setup, read_message};

/// The size of the pieces that clients and endpoints write.
pub const PIECE_BYTES: usize = 16_000;
/// The time that a client waits for its answer after the last byte of its request.
const CLIENT_PATIENCE: Duration = Duration::from_secs(8);
/// The time for which an answer may come after its client's time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const THREAD_STACK_BYTES: usize = 128 << 10;

/// The limits of a process. The platform kills it above its memory limit.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: usize,
}

impl Limits {
    /// Clients hold a third of the descriptors for their requests.
    pub fn clients(&self) -> usize {
        self.sockets / 3
    }

    pub fn setup(&self) -> Setup {
        Setup {
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            operations_enabled: true,
            ..Setup::default()
        }
    }

    /// Checks the memory limit.
    pub fn check(&self, proxy: &Proxy) {
        assert!(
            self.hold(proxy),
            "{:.1} MB of {}",
            peak_mb(proxy),
            self.memory_mb
        );
    }

    /// Returns whether the memory limit has held in its smaller reading, a million bytes a MB.
    pub fn hold(&self, proxy: &Proxy) -> bool {
        peak_mb(proxy) <= f64::from(self.memory_mb)
    }
}

/// Returns the largest memory so far in millions of bytes.
pub fn peak_mb(proxy: &Proxy) -> f64 {
    proxy.memory_peak_mb() * 1.024
}

/// A body and the way in which it is written.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    pub bytes: usize,
    pub chunked: bool,
    /// `None` if it is written as fast as the peer takes it.
    pub bytes_per_second: Option<f64>,
    /// The time for which the client waits for an answer.
    pub client_timeout_seconds: u32,
}

/// The time for which most clients wait.
pub const CLIENT_TIMEOUT_SECONDS: u32 = 3;

impl Body {
    /// Returns the line of the head that announces the body.
    pub fn framing(&self) -> String {
        if self.chunked {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {}", self.bytes)
        }
    }

    /// Writes the body in pieces of up to `piece_bytes`.
    pub fn write(&self, stream: &mut TcpStream, piece_bytes: usize) -> io::Result<()> {
        self.write_and_report(stream, piece_bytes, |_| {})
    }

    /// Writes the body and calls a function with the number of bytes after each piece.
    pub fn write_and_report(
        &self,
        stream: &mut TcpStream,
        piece_bytes: usize,
        report: impl Fn(usize),
    ) -> io::Result<()> {
        let begun = Instant::now();
        let data = vec![b'x'; piece_bytes];
        let mut sent = 0;
        while sent < self.bytes {
            let piece = &data[..piece_bytes.min(self.bytes - sent)];
            if self.chunked {
                let size = format!("{:x}\r\n", piece.len());
                stream.write_all(&[size.as_bytes(), piece, b"\r\n"].concat())?;
            } else {
                stream.write_all(piece)?;
            }
            sent += piece.len();
            report(sent);
            if let Some(rate) = self.bytes_per_second {
                pace(begun, sent, rate);
            }
        }
        if self.chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

/// Returns a body that is written at a steady rate.
pub const fn steady(bytes: usize, chunked: bool, bytes_per_second: f64) -> Body {
    Body {
        bytes,
        chunked,
        bytes_per_second: Some(bytes_per_second),
        client_timeout_seconds: CLIENT_TIMEOUT_SECONDS,
    }
}

/// Returns bodies of all lengths and rates that arrive within `MAX_SWEEP_TRANSFER_SECONDS`, or as the variable
/// `SWEEP_BODY` says: `LENGTH,BYTES_PER_SECOND`.
pub fn sweep_bodies() -> Vec<Body> {
    const LENGTHS: [usize; 5] = [70_000, 300_000, 1_000_000, 5_000_000, 32_000_000];
    const RATES: [f64; 4] = [64e3, 256e3, 1e6, 8e6];
    const MAX_SWEEP_TRANSFER_SECONDS: f64 = 40.0;
    let both_framings = |bytes, rate| [false, true].map(|chunked| steady(bytes, chunked, rate));
    if let Ok(text) = std::env::var("SWEEP_BODY") {
        let (bytes, rate) = text.split_once(',').expect("LENGTH,BYTES_PER_SECOND");
        let bytes = bytes.parse().expect("a length");
        return both_framings(bytes, rate.parse().expect("a rate")).into();
    }
    let pairs = LENGTHS.into_iter().flat_map(|bytes| {
        let is_played = move |rate: &f64| bytes as f64 / rate <= MAX_SWEEP_TRANSFER_SECONDS;
        let rates = RATES.into_iter().filter(is_played);
        rates.map(move |rate| (bytes, rate))
    });
    pairs
        .flat_map(|(bytes, rate)| both_framings(bytes, rate))
        .collect()
}

/// Waits until this many bytes are due at a rate.
pub fn pace(begun: Instant, bytes: usize, bytes_per_second: f64) {
    let due = begun + Duration::from_secs_f64(bytes as f64 / bytes_per_second);
    thread::sleep(due.saturating_duration_since(Instant::now()));
}

/// The times at which requests began to arrive at endpoints.
pub type Begins = Arc<Mutex<HashMap<String, Instant>>>;

/// Starts an endpoint that reads each request, drops its body and calls a function with its id and the connection.
pub fn start_endpoint(
    answer: impl Fn(&str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    start_recording_endpoint(&Begins::default(), answer)
}

/// Starts an endpoint that also records when each request begins.
pub fn start_recording_endpoint(
    begins: &Begins,
    answer: impl Fn(&str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let begins = begins.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.expect("a connection"), answer.clone());
            let begins = begins.clone();
            let serve = move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while let Some(id) = read_request(&mut reader, &begins) {
                    if answer(&id, &mut stream).is_err() {
                        return; // the proxy has closed the connection
                    }
                }
            };
            let thread = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
            thread.spawn(serve).expect("a thread starts");
        }
    });
    address
}

/// Reads a request and returns its id; `None` if the connection ends before its last byte.
fn read_request(reader: &mut impl BufRead, begins: &Begins) -> Option<String> {
    let (mut id, mut length, mut chunked) = (String::new(), 0, false);
    let mut begun = None;
    loop {
        let line = read_line(reader)?;
        begun.get_or_insert_with(Instant::now);
        let Some((name, value)) = line.split_once(':') else {
            if line.is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => id = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().ok()?,
            "transfer-encoding" => chunked = true,
            _ => {}
        }
    }
    let mut begins = begins.lock().expect("no panic");
    begins.entry(id.clone()).or_insert(begun?);
    drop(begins);
    if !chunked {
        return skip(reader, length).then_some(id);
    }
    loop {
        let size = u64::from_str_radix(&read_line(reader)?, 16).ok()?;
        if !skip(reader, size) || !read_line(reader)?.is_empty() {
            return None;
        }
        if size == 0 {
            return Some(id);
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

/// Reads and drops this many bytes; returns false if the connection ends before.
fn skip(reader: &mut impl BufRead, bytes: u64) -> bool {
    io::copy(&mut reader.take(bytes), &mut io::sink()).is_ok_and(|read| read == bytes)
}

/// The ends of the requests of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests that got no answer.
    pub unanswered: usize,
    /// Requests whose answer came more than half a second after their time, which counts from the last byte.
    pub late: usize,
}

impl Ends {
    fn count(&mut self, answer: Option<&UploadAnswer>) {
        self.late += usize::from(answer.is_some_and(|answer| answer.is_late));
        match answer.map(|answer| answer.status) {
            Some(200) => self.served += 1,
            Some(429 | 503) => self.refused += 1,
            Some(status) => {
                println!("failed: {status}");
                self.failed += 1;
            }
            None => self.unanswered += 1,
        }
    }

    pub fn add(&mut self, others: Ends) {
        self.served += others.served;
        self.refused += others.refused;
        self.failed += others.failed;
        self.unanswered += others.unanswered;
        self.late += others.late;
    }
}

/// Sends requests with bodies from as many clients as the limits allow, one after another from each, and returns how
/// they ended. A client begins no new request after `duration`.
pub fn upload_from_all_clients(
    address: SocketAddr,
    limits: &Limits,
    body: Body,
    duration: Duration,
) -> Ends {
    let end = Instant::now() + duration;
    let clients: Vec<_> = (0..limits.clients())
        .map(|number| {
            let run = move || upload_until(address, number, body, end);
            let thread = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
            thread.spawn(run).expect("a thread starts")
        })
        .collect();
    let mut ends = Ends::default();
    for client in clients {
        ends.add(client.join().expect("no panic"));
    }
    ends
}

/// Sends requests one after another until a time.
pub fn upload_until(address: SocketAddr, number: usize, body: Body, end: Instant) -> Ends {
    let mut ends = Ends::default();
    let mut connection = None;
    let mut request = 0;
    while Instant::now() < end {
        let mut stream = connection.take().unwrap_or_else(|| connect(address));
        let answer = upload(&mut stream, &format!("r-{number}-{request}"), body);
        ends.count(answer.as_ref());
        connection = answer.filter(|answer| !answer.closes).map(|_| stream);
        request += 1;
        if connection.is_none() {
            thread::sleep(Duration::from_millis(100));
        }
    }
    ends
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the proxy accepts");
    let limit = Some(CLIENT_PATIENCE);
    stream.set_read_timeout(limit).expect("the timeout is set");
    stream.set_write_timeout(limit).expect("the timeout is set");
    stream
}

struct UploadAnswer {
    status: u16,
    closes: bool,
    is_late: bool,
}

/// Sends a request with a body and reads the answer, which may come before the last byte is written.
fn upload(stream: &mut TcpStream, id: &str, body: Body) -> Option<UploadAnswer> {
    let head = upload_head(id, &body);
    let written = stream
        .write_all(head.as_bytes())
        .and_then(|()| body.write(stream, PIECE_BYTES));
    let written_at = Instant::now();
    let answer = read_message(&mut BufReader::new(&*stream))?;
    let time = Duration::from_secs(body.client_timeout_seconds.into()) + ANSWER_SLACK;
    Some(UploadAnswer {
        is_late: written.is_ok() && written_at.elapsed() > time,
        status: answer.status(),
        closes: written.is_err() || answer.header("connection") == Some("close"),
    })
}

/// Returns the head of a request that may run once only.
pub fn upload_head(id: &str, body: &Body) -> String {
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}\r\n{}\r\n\r\n",
        body.client_timeout_seconds,
        body.framing()
    )
}

/// Reads the head of an answer and returns its status; `None` if there is none.
pub fn read_status(reader: &mut impl BufRead) -> Option<u16> {
    let status = read_line(reader)?.split(' ').nth(1)?.parse().ok()?;
    while !read_line(reader)?.is_empty() {}
    Some(status)
}
