//! Cost and benefit of the operations listener, upgrades and streaming, each with a baseline in the same run. It prints a
//! table and checks no limits.
//!
//!     cargo test --release -p proxy --test measure -- --ignored --nocapture
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sockets::*;

const LARGE_BODY_BYTES: usize = 32_000_000;

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |q: f64| {
        times[((times.len() as f64 * q) as usize).min(times.len() - 1)].as_secs_f64() * 1000.0
    };
    format!(
        "p50 {:.2} ms, p99 {:.2} ms of {}",
        at(0.5),
        at(0.99),
        times.len()
    )
}

fn call_durations(proxy: &Proxy, count: usize) -> Vec<Duration> {
    let call = |_| {
        let start = Instant::now();
        assert_eq!(
            proxy
                .call_operations("GET /_vars")
                .expect("the metrics")
                .status(),
            200
        );
        start.elapsed()
    };
    (0..count).map(call).collect()
}

/// Clients that send requests without a pause. They count successful answers, rejections, and requests without an answer,
/// for example because the connection was closed.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    results: Arc<[AtomicUsize; 3]>,
    clients: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    fn start(address: SocketAddr, count: usize) -> Self {
        let (stop, results) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<[AtomicUsize; 3]>::default(),
        );
        let client = |_| {
            let (stop, results) = (stop.clone(), results.clone());
            thread::spawn(move || {
                let mut kept: Option<Client> = None;
                while !stop.load(Ordering::SeqCst) {
                    let mut client = match kept.take() {
                        Some(client) => client,
                        None => match TcpStream::connect(address) {
                            Ok(_) => Client::to(address),
                            Err(_) => {
                                results[2].fetch_add(1, Ordering::SeqCst);
                                thread::sleep(Duration::from_millis(5));
                                continue;
                            }
                        },
                    };
                    let result = match client.ask(&page("r-1")) {
                        Some(m) => {
                            kept = (m.header("connection") != Some("close")).then_some(client);
                            usize::from(m.status() != 200)
                        }
                        None => 2,
                    };
                    results[result].fetch_add(1, Ordering::SeqCst);
                }
            })
        };
        let clients = (0..count).map(client).collect();
        LoadGenerator {
            stop,
            results,
            clients,
        }
    }

    fn end(self) -> [usize; 3] {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|c| c.join().expect("no panic"));
        [0, 1, 2].map(|n| self.results[n].load(Ordering::SeqCst))
    }
}

/// Returns the CPU time of a proxy for each request under load, in µs.
fn cpu_per_request(operations_enabled: bool) -> f64 {
    let backends: Vec<Backend> = (0..4)
        .map(|_| Backend::new(BackendAction::Write(ok(""))))
        .collect();
    let addresses: Vec<SocketAddr> = backends.iter().map(|b| b.address).collect();
    let (_discovery, proxy) = start_proxy_for(
        &addresses,
        &Setup {
            operations_enabled,
            ..Setup::default()
        },
    );
    let load = LoadGenerator::start(proxy.address, 16);
    thread::sleep(Duration::from_millis(500));
    let (before, count) = (proxy.cpu_seconds(), load.results[0].load(Ordering::SeqCst));
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        if operations_enabled {
            proxy.call_operations("GET /_vars");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let (used, count) = (
        proxy.cpu_seconds() - before,
        load.results[0].load(Ordering::SeqCst) - count,
    );
    load.end();
    used * 1e6 / count as f64
}

/// Returns the peak memory of a proxy limited to 48 MB, and the duration of `count` concurrent answers of this size.
fn peak_memory(count: usize, size: usize) -> (f64, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let mut request = [0; 4096];
                while stream.read(&mut request).is_ok_and(|n| n > 0) {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
                    let _ = stream.write_all(head.as_bytes());
                    let piece = vec![b'x'; size.min(1 << 20)];
                    let mut left = size;
                    while left > 0 && stream.write_all(&piece[..left.min(piece.len())]).is_ok() {
                        left -= left.min(piece.len());
                    }
                }
            });
        }
    });
    let (_discovery, proxy) = start_proxy_for(
        &[to],
        &Setup {
            sockets: 1024,
            memory_mb: 48,
            deadline: 20_000,
            ..Setup::default()
        },
    );
    let start = Instant::now();
    let readers: Vec<JoinHandle<usize>> = (0..count)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
            thread::spawn(move || {
                stream
                    .write_all(
                        page("r-1")
                            .replace("X-Timeout: 5", "X-Timeout: 20")
                            .as_bytes(),
                    )
                    .expect("the request is accepted");
                let (mut got, mut piece) = (0, vec![0; 64 << 10]);
                while got < size {
                    match stream.read(&mut piece) {
                        Ok(n @ 1..) => got += n,
                        _ => break,
                    }
                }
                got
            })
        })
        .collect();
    let complete = readers
        .into_iter()
        .map(|r| r.join().expect("no panic"))
        .filter(|g| *g >= size);
    assert_eq!(complete.count(), count, "all answers are complete");
    (proxy.memory_peak_mb(), start.elapsed())
}

/// Returns the results of clients while a proxy is replaced, by an upgrade or by a kill and a restart.
fn results_during_replacement(upgrade: bool) -> [usize; 3] {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let listener = inheritable_listener();
    let address = listener.local_addr().expect("an address");
    let start = || {
        let inherited_socket = Some(listener.as_raw_fd());
        Proxy::start(
            &discovery,
            &Setup {
                operations_enabled: true,
                inherited_socket,
                ..Setup::default()
            },
        )
    };
    let ready = |p: &Proxy| {
        p.call_operations("GET /_ready")
            .is_some_and(|m| m.status() == 200)
    };
    let mut old = start();
    wait_for("the first", || ready(&old));
    let load = LoadGenerator::start(address, 8);
    thread::sleep(Duration::from_millis(500));
    if upgrade {
        let new = start();
        wait_for("the next", || ready(&new));
        old.terminate();
        old.wait();
        thread::sleep(Duration::from_millis(500));
        return load.end();
    }
    old.signal("-KILL"); // as in a restart without an upgrade and without a drain
    old.wait();
    let new = start();
    wait_for("the next", || ready(&new));
    thread::sleep(Duration::from_millis(500));
    load.end()
}

#[test]
#[ignore = "a measurement that needs an otherwise idle machine"]
fn measure() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, idle) = start_proxy_for(
        &[backend.address],
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    println!(
        "operations, idle:          {}",
        quantiles(call_durations(&idle, 300))
    );
    let load = LoadGenerator::start(idle.address, 32);
    thread::sleep(Duration::from_millis(300));
    println!(
        "operations, full load:     {}",
        quantiles(call_durations(&idle, 300))
    );
    println!("  the load:                {} answers", load.end()[0]);
    println!(
        "CPU per request, without:  {:.1} us",
        cpu_per_request(false)
    );
    println!(
        "CPU per request, with:     {:.1} us (metrics fetched 10 times a second)",
        cpu_per_request(true)
    );
    let format_results = |[answered, rejected, lost]: [usize; 3]| {
        format!("{answered} answered, {rejected} rejected, {lost} without an answer")
    };
    println!(
        "killed and restarted:      {}",
        format_results(results_during_replacement(false))
    );
    println!(
        "upgraded:                  {}",
        format_results(results_during_replacement(true))
    );
    let (small, _) = peak_memory(100, 1000);
    println!("memory, 100 of 1 kB:       {small:.1} MB of 48");
    let (large, took) = peak_memory(100, LARGE_BODY_BYTES);
    println!(
        "memory, 100 of 32 MB:      {large:.1} MB of 48, {:.1} s",
        took.as_secs_f64()
    );
}
