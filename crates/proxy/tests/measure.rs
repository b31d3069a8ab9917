//! What the operators' parts cost and save, each beside a baseline in the same run. No verdict: it prints a table.
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

const LARGE: usize = 32_000_000;

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

fn calls(proxy: &Proxy, many: usize) -> Vec<Duration> {
    let call = |_| {
        let asked = Instant::now();
        assert_eq!(
            proxy
                .call_operations("GET /_vars")
                .expect("the figures")
                .status(),
            200
        );
        asked.elapsed()
    };
    (0..many).map(call).collect()
}

/// Clients that ask without a pause; what they got: answers, refusals, and requests without an answer, be it that a
/// connection closed under them.
struct Crowd {
    stop: Arc<AtomicBool>,
    got: Arc<[AtomicUsize; 3]>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(address: SocketAddr, many: usize) -> Self {
        let (stop, got) = (
            Arc::new(AtomicBool::new(false)),
            Arc::<[AtomicUsize; 3]>::default(),
        );
        let client = |_| {
            let (stop, got) = (stop.clone(), got.clone());
            thread::spawn(move || {
                let mut kept: Option<Client> = None;
                while !stop.load(Ordering::SeqCst) {
                    let mut client = match kept.take() {
                        Some(client) => client,
                        None => match TcpStream::connect(address) {
                            Ok(_) => Client::to(address),
                            Err(_) => {
                                got[2].fetch_add(1, Ordering::SeqCst);
                                thread::sleep(Duration::from_millis(5));
                                continue;
                            }
                        },
                    };
                    let kind = match client.ask(&page("r-1")) {
                        Some(m) => {
                            kept = (m.header("connection") != Some("close")).then_some(client);
                            usize::from(m.status() != 200)
                        }
                        None => 2,
                    };
                    got[kind].fetch_add(1, Ordering::SeqCst);
                }
            })
        };
        let clients = (0..many).map(client).collect();
        Crowd { stop, got, clients }
    }

    fn end(self) -> [usize; 3] {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|c| c.join().expect("no panic"));
        [0, 1, 2].map(|n| self.got[n].load(Ordering::SeqCst))
    }
}

/// CPU of a proxy for each request of a crowd, in µs.
fn cost(operations_enabled: bool) -> f64 {
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
    let crowd = Crowd::start(proxy.address, 16);
    thread::sleep(Duration::from_millis(500));
    let (before, count) = (proxy.cpu_seconds(), crowd.got[0].load(Ordering::SeqCst));
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        if operations_enabled {
            proxy.call_operations("GET /_vars");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let (used, count) = (
        proxy.cpu_seconds() - before,
        crowd.got[0].load(Ordering::SeqCst) - count,
    );
    crowd.end();
    used * 1e6 / count as f64
}

/// Peak memory of a proxy that may have 48 MB, with so many answers of this size at once.
fn peak(many: usize, size: usize) -> (f64, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let mut asked = [0; 4096];
                while stream.read(&mut asked).is_ok_and(|n| n > 0) {
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
    let began = Instant::now();
    let readers: Vec<JoinHandle<usize>> = (0..many)
        .map(|_| {
            let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
            thread::spawn(move || {
                stream
                    .write_all(
                        page("r-1")
                            .replace("X-Timeout: 5", "X-Timeout: 20")
                            .as_bytes(),
                    )
                    .expect("taken");
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
    let whole = readers
        .into_iter()
        .map(|r| r.join().expect("no panic"))
        .filter(|g| *g >= size);
    assert_eq!(whole.count(), many, "all came whole");
    (proxy.memory_peak_mb(), began.elapsed())
}

/// What a crowd got while a proxy was replaced, beside it or one after the other.
fn replaced(beside: bool) -> [usize; 3] {
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
    let crowd = Crowd::start(address, 8);
    thread::sleep(Duration::from_millis(500));
    if beside {
        let new = start();
        wait_for("the next", || ready(&new));
        old.terminate();
        old.wait();
        thread::sleep(Duration::from_millis(500));
        return crowd.end();
    }
    old.signal("-KILL"); // as a restart without an upgrade that nobody waits for
    old.wait();
    let new = start();
    wait_for("the next", || ready(&new));
    thread::sleep(Duration::from_millis(500));
    crowd.end()
}

#[test]
#[ignore = "it measures, and wants the machine to itself"]
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
        "door, idle:                {}",
        quantiles(calls(&idle, 300))
    );
    let crowd = Crowd::start(idle.address, 32);
    thread::sleep(Duration::from_millis(300));
    println!(
        "door, under full load:     {}",
        quantiles(calls(&idle, 300))
    );
    println!("  the load:                {} answers", crowd.end()[0]);
    println!("CPU a request, no door:    {:.1} us", cost(false));
    println!(
        "CPU a request, door asked: {:.1} us (figures fetched 10 times a second)",
        cost(true)
    );
    let show = |[answered, refused, lost]: [usize; 3]| {
        format!("{answered} answered, {refused} refused, {lost} without an answer")
    };
    println!("killed and started anew:   {}", show(replaced(false)));
    println!("upgraded beside:           {}", show(replaced(true)));
    let (small, _) = peak(100, 1000);
    println!("memory, 100 of 1 kB:       {small:.1} MB of 48");
    let (large, took) = peak(100, LARGE);
    println!(
        "memory, 100 of 32 MB:      {large:.1} MB of 48, {:.1} s",
        took.as_secs_f64()
    );
}
