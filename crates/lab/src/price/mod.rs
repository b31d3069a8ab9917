//! The price of the proxy: CPU, latency and memory of a request through it, beside a direct connection and a bare
//! pass-through, under the same closed load in the same run.
//!
//! A closed load (each connection sends its next request when it has its answer) says how much a target can do and
//! not how it fares under load that does not wait; the scenarios are for that.

mod peers;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

pub use peers::{pass_through, responder};

use crate::real::reserved_port::ReservedPort;
use crate::real::{cpu_seconds, resident_mb, settings_json};
use crate::scenario::Scenario;
use crate::shipped;

/// Size that the proxy is told of each server: large enough that no request waits for a slot.
const SIZE: u32 = 64;
/// Before a measurement, so that connections and averages have settled.
const WARM_UP: Duration = Duration::from_secs(1);

/// What was measured at one target.
#[derive(Clone, Debug)]
pub struct Price {
    /// `direct`, `pass-through` or `proxy`.
    pub target: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// CPU time of the target's process for a request, in µs; none for a direct connection.
    pub cpu_us: f64,
    /// Latency in µs: median and 99th percentile.
    pub latency_us: (f64, f64),
    /// Resident memory in MiB after the measurement.
    pub memory_mb: f64,
    /// Answers other than 200.
    pub bad: u64,
}

/// A process that is killed when it is no longer needed.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a peer and reads the line in which it tells its addresses.
    fn peer(
        program: &Path,
        arguments: &[&str],
        input: &str,
    ) -> io::Result<(Self, Vec<SocketAddr>)> {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = Process(command.spawn()?);
        if let Some(mut stdin) = process.0.stdin.take() {
            stdin.write_all(input.as_bytes())?;
        }
        let stdout = process
            .0
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("it has no output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses =
            serde_json::from_str(&line).map_err(|e| io::Error::other(format!("{line:?}: {e}")))?;
        Ok((process, addresses))
    }

    /// Starts a proxy that knows these servers.
    fn proxy(
        command: &[String],
        servers: &[SocketAddr],
        dir: &Path,
    ) -> io::Result<(Self, SocketAddr)> {
        let text =
            shipped::text("quiet").ok_or_else(|| io::Error::other("the scenario is missing"))?;
        let mut s = Scenario::parse("quiet", text).map_err(io::Error::other)?;
        s.proxies.count = 1;
        s.tenants.clear();
        s.fleet.zones.truncate(1);
        let host = |(n, address): (usize, &SocketAddr)| {
            json!({"host": format!("s-{n:06}"), "dial": address, "site": s.fleet.zones[0], "class": "current",
                "health": "up", "share": SIZE, "born_ms": 0})
        };
        let hosts: Vec<_> = servers.iter().enumerate().map(host).collect();
        // Held until the proxy is up; nobody listens at the second.
        let (port, nobody) = (ReservedPort::reserve()?, ReservedPort::reserve()?);
        let address = port.address();
        let config = json!({
            "name": "priced", "listen": address, "discovery": nobody.address(), "seed": "1",
            "limits": { "sockets": 16 * 1024 },
            "known": { "seq": 1, "whole": true, "hosts": hosts },
            "settings": settings_json(&s, 0),
        });
        std::fs::create_dir_all(dir)?;
        let file = dir.join("priced.json");
        std::fs::write(&file, config.to_string())?;
        let (program, arguments) = command
            .split_first()
            .ok_or_else(|| io::Error::other("no proxy is named"))?;
        let log = std::fs::File::create(dir.join("priced.log"))?;
        let child = Command::new(program)
            .args(arguments)
            .env("NODE_CONFIG", file)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        let process = Process(child);
        let end = Instant::now() + Duration::from_secs(10);
        while !is_up(address) {
            if Instant::now() > end {
                return Err(io::Error::other("the proxy did not come up"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok((process, address))
    }
}

fn is_up(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut said = [0; 12];
    stream
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .is_ok()
        && stream.read_exact(&mut said).is_ok()
        && &said == b"HTTP/1.1 200"
}

/// Sends requests one after the other until the time is up; latencies in µs from `from` on.
fn client(
    address: SocketAddr,
    number: usize,
    from: Instant,
    until: Instant,
) -> io::Result<(Histogram<u64>, u64)> {
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut buffer = Vec::new();
    let mut bad = 0;
    for n in 0u64.. {
        let sent = Instant::now();
        if sent >= until {
            break;
        }
        let request = format!(
            "GET /lookup?sid={:x} HTTP/1.1\r\nHost: x\r\nX-Request-ID: r-{number}-{n}\r\nX-Timeout: 2.000\r\n\r\n",
            n % 1000
        );
        stream.write_all(request.as_bytes())?;
        let ok = answer(&mut stream, &mut buffer)?;
        if sent >= from {
            latencies.saturating_record((sent.elapsed().as_micros() as u64).max(1));
            bad += u64::from(!ok);
        }
    }
    Ok((latencies, bad))
}

/// Reads one answer; tells whether it is a 200.
fn answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    buffer.clear();
    let mut chunk = [0; 2048];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(buffer).map_err(io::Error::other)?;
        if let httparse::Status::Complete(head) = status {
            let length = parsed
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case("content-length"));
            let length = length
                .and_then(|h| std::str::from_utf8(h.value).ok()?.parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= head + length {
                return Ok(parsed.code == Some(200));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Loads a target from so many connections for a while.
fn load(
    target: &'static str,
    address: SocketAddr,
    pid: Option<u32>,
    connections: usize,
    span: Duration,
) -> io::Result<Price> {
    let from = Instant::now() + WARM_UP;
    let until = from + span;
    let clients: Vec<_> = (0..connections)
        .map(|n| thread::spawn(move || client(address, n, from, until)))
        .collect();
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let cpu = || pid.and_then(cpu_seconds).unwrap_or(0.0);
    let before = cpu();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let used = cpu() - before;
    let memory_mb = pid.and_then(resident_mb).unwrap_or(0.0);
    let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let mut bad = 0;
    for c in clients {
        let (latencies, wrong) = c
            .join()
            .map_err(|_| io::Error::other("a client panicked"))??;
        all.add(&latencies).map_err(io::Error::other)?;
        bad += wrong;
    }
    let many = all.len().max(1) as f64;
    Ok(Price {
        target,
        rate: all.len() as f64 / span.as_secs_f64(),
        cpu_us: 1e6 * used / many,
        latency_us: (
            all.value_at_quantile(0.5) as f64,
            all.value_at_quantile(0.99) as f64,
        ),
        memory_mb,
        bad,
    })
}

/// Measures all three targets in turn with so many servers behind them. `own` is this program, whose peers are used.
///
/// # Errors
/// A process or a socket could not be had, or a connection broke under the load.
pub fn measure(
    own: &Path,
    proxy: &[String],
    servers: usize,
    connections: usize,
    span: Duration,
    dir: &Path,
) -> io::Result<Vec<Price>> {
    let (_responder, addresses) = Process::peer(
        own,
        &["lab", "peer", "responder", "--count", &servers.to_string()],
        "",
    )?;
    let direct = load("direct", addresses[0], None, connections, span)?;
    let passed = {
        let input = serde_json::to_string(&addresses).map_err(io::Error::other)? + "\n";
        let (process, at) = Process::peer(own, &["lab", "peer", "pass-through"], &input)?;
        load(
            "pass-through",
            at[0],
            Some(process.0.id()),
            connections,
            span,
        )?
    };
    let (process, at) = Process::proxy(proxy, &addresses, dir)?;
    let priced = load("proxy", at, Some(process.0.id()), connections, span)?;
    Ok(vec![direct, passed, priced])
}
