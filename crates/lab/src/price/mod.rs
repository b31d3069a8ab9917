//! Measures the overhead of the proxy: CPU time, latency and memory per request, compared with a direct connection and
//! with a plain pass-through proxy under the same closed-loop load in the same run.
//!
//! Closed-loop load (each connection sends its next request after the response to the previous one) shows the maximum
//! throughput of a target, not its behaviour under load that does not wait; the scenarios measure that.

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

/// Capacity announced for each server, in slots: large enough that no request waits for a slot.
const SERVER_SLOTS: u32 = 64;
/// Load before the measurement begins, so that connections are open and averages are stable.
const WARM_UP: Duration = Duration::from_secs(1);

/// Measurement of one target.
#[derive(Clone, Debug)]
pub struct Price {
    /// `direct`, `pass-through` or `proxy`.
    pub target: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// CPU time of the target's process per request, in µs; 0 for a direct connection.
    pub cpu_us: f64,
    /// Latency in µs: median and 99th percentile.
    pub latency_us: (f64, f64),
    /// Resident memory in MiB after the measurement.
    pub memory_mb: f64,
    /// Responses with a status other than 200.
    pub non_200: u64,
}

/// A child process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a responder or pass-through and reads the line of JSON with its addresses.
    fn start_peer(
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
            .ok_or_else(|| io::Error::other("the peer process has no stdout"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses =
            serde_json::from_str(&line).map_err(|e| io::Error::other(format!("{line:?}: {e}")))?;
        Ok((process, addresses))
    }

    /// Starts a proxy that is configured with these servers.
    fn start_proxy(
        command: &[String],
        servers: &[SocketAddr],
        dir: &Path,
    ) -> io::Result<(Self, SocketAddr)> {
        let text = shipped::text("quiet")
            .ok_or_else(|| io::Error::other("the shipped scenario `quiet` is missing"))?;
        let mut scenario = Scenario::parse("quiet", text).map_err(io::Error::other)?;
        scenario.proxies.count = 1;
        scenario.tenants.clear();
        scenario.fleet.zones.truncate(1);
        let host = |(n, address): (usize, &SocketAddr)| {
            json!({"host": format!("s-{n:06}"), "dial": address, "site": scenario.fleet.zones[0], "class": "current",
                "health": "up", "share": SERVER_SLOTS, "born_ms": 0})
        };
        let hosts: Vec<_> = servers.iter().enumerate().map(host).collect();
        // Both ports stay reserved until the proxy is up; nothing listens on the discovery port.
        let (port, discovery_port) = (ReservedPort::reserve()?, ReservedPort::reserve()?);
        let address = port.address();
        let config = json!({
            "name": "priced", "listen": address, "discovery": discovery_port.address(), "seed": "1",
            "limits": { "sockets": 16 * 1024 },
            "known": { "seq": 1, "whole": true, "hosts": hosts },
            "settings": settings_json(&scenario, 0),
        });
        std::fs::create_dir_all(dir)?;
        let file = dir.join("priced.json");
        std::fs::write(&file, config.to_string())?;
        let (program, arguments) = command
            .split_first()
            .ok_or_else(|| io::Error::other("the proxy command is empty"))?;
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
                return Err(io::Error::other(
                    "the proxy did not respond with 200 on /up within 10 s",
                ));
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
    let mut status_line = [0; 12];
    stream
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .is_ok()
        && stream.read_exact(&mut status_line).is_ok()
        && &status_line == b"HTTP/1.1 200"
}

/// Sends requests one after another until `until`; returns the latencies in µs and the count of responses other than
/// 200, both from `from` on.
fn run_client(
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
    let mut non_200 = 0;
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
        let ok = read_response(&mut stream, &mut buffer)?;
        if sent >= from {
            latencies.saturating_record((sent.elapsed().as_micros() as u64).max(1));
            non_200 += u64::from(!ok);
        }
    }
    Ok((latencies, non_200))
}

/// Reads one response; returns true if its status is 200.
fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
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

/// Sends load to a target from `connections` connections; measures for `span` after the warm-up.
fn measure_target(
    target: &'static str,
    address: SocketAddr,
    pid: Option<u32>,
    connections: usize,
    span: Duration,
) -> io::Result<Price> {
    let from = Instant::now() + WARM_UP;
    let until = from + span;
    let clients: Vec<_> = (0..connections)
        .map(|n| thread::spawn(move || run_client(address, n, from, until)))
        .collect();
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let cpu = || pid.and_then(cpu_seconds).unwrap_or(0.0);
    let cpu_before = cpu();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let cpu_used = cpu() - cpu_before;
    let memory_mb = pid.and_then(resident_mb).unwrap_or(0.0);
    let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let mut non_200 = 0;
    for client in clients {
        let (latencies, count) = client
            .join()
            .map_err(|_| io::Error::other("a client panicked"))??;
        all.add(&latencies).map_err(io::Error::other)?;
        non_200 += count;
    }
    let requests = all.len().max(1) as f64;
    Ok(Price {
        target,
        rate: all.len() as f64 / span.as_secs_f64(),
        cpu_us: 1e6 * cpu_used / requests,
        latency_us: (
            all.value_at_quantile(0.5) as f64,
            all.value_at_quantile(0.99) as f64,
        ),
        memory_mb,
        non_200,
    })
}

/// Measures the three targets one after another with `servers` servers behind each. `own` is the path of this program,
/// which also runs the responder and the pass-through.
///
/// # Errors
/// A process could not be started, a socket could not be opened, or a connection broke under the load.
pub fn measure(
    own: &Path,
    proxy: &[String],
    servers: usize,
    connections: usize,
    span: Duration,
    dir: &Path,
) -> io::Result<Vec<Price>> {
    let (_responder, addresses) = Process::start_peer(
        own,
        &["lab", "peer", "responder", "--count", &servers.to_string()],
        "",
    )?;
    let direct = measure_target("direct", addresses[0], None, connections, span)?;
    let passed = {
        let input = serde_json::to_string(&addresses).map_err(io::Error::other)? + "\n";
        let (process, at) = Process::start_peer(own, &["lab", "peer", "pass-through"], &input)?;
        measure_target(
            "pass-through",
            at[0],
            Some(process.0.id()),
            connections,
            span,
        )?
    };
    let (process, at) = Process::start_proxy(proxy, &addresses, dir)?;
    let proxied = measure_target("proxy", at, Some(process.0.id()), connections, span)?;
    Ok(vec![direct, passed, proxied])
}
