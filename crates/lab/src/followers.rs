//! Following a fleet in etcd, measured against the stand-in: how long lists and changes take, what they cost, and how followers
//! come back together.

use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use endpoint_discovery::{BackoffLimits, EndpointRecord, KeySpace, ListChange, Phase, WatchLimits};
use etcd::api::{DeleteRangeRequest, PutRequest};
use etcd::{DiscoveryUpdate, PlaintextConnector, Settings};
use etcd_fake::FakeEtcd;
use hdrhistogram::Histogram;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::real::{cpu_seconds, resident_mb};
use crate::service::{HttpConnection, Service, ServiceFiles};

/// Changes that are timed with each size.
const CHANGES: usize = 300;
/// Followers that come back together.
const MANY: usize = 100;

fn keys() -> KeySpace {
    KeySpace::new("/canvascart/v1", "t")
}

fn put(standin: &FakeEtcd, name: &str, address: SocketAddr) {
    let entry = EndpointRecord {
        capacity: 16.0,
        started_at_ms: Some(1),
        ..EndpointRecord::new(address)
    };
    let request = PutRequest {
        key: keys().endpoint_key(name).into_bytes(),
        value: entry.to_json().into_bytes(),
        ..PutRequest::default()
    };
    standin.with_store(|s| _ = s.put(0, &request)); // without a lease it can't be refused
}

fn delete(standin: &FakeEtcd, name: &str) {
    let request = DeleteRangeRequest {
        key: keys().endpoint_key(name).into_bytes(),
        ..DeleteRangeRequest::default()
    };
    standin.with_store(|s| _ = s.delete(0, &request));
}

/// What a list of one size takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// How many servers.
    pub servers: usize,
    /// From the first connection to the whole list, in ms.
    pub listed_ms: f64,
    /// CPU time of the process meanwhile, the stand-in's with it, in ms.
    pub cpu_ms: f64,
    /// Memory that came with it, in MiB.
    pub resident_mb: f64,
    /// From a write in the store to the list's change, in ms: median and 99th percentile.
    pub change_ms: [f64; 2],
}

fn runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
}

fn follow(
    standin: &FakeEtcd,
    limits: WatchLimits,
    seed: u64,
) -> mpsc::UnboundedReceiver<DiscoveryUpdate> {
    let (to, updates) = mpsc::unbounded_channel();
    let settings = Settings::new(standin.endpoints());
    tokio::spawn(etcd::watch_endpoints(
        PlaintextConnector,
        settings,
        "lab".into(),
        keys(),
        limits,
        seed,
        to,
    ));
    updates
}

/// Measures a list of so many servers.
///
/// # Errors
/// The stand-in can't be had.
pub fn size(servers: usize) -> io::Result<Size> {
    runtime()?.block_on(async {
        let standin = FakeEtcd::start(3).await?;
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        (0..servers).for_each(|n| put(&standin, &format!("s{n:05}"), address));
        let id = std::process::id();
        let (cpu, mb, began) = (cpu_seconds(id), resident_mb(id), Instant::now());
        let no_wait = WatchLimits {
            backoff: BackoffLimits {
                initial_ms: 0,
                max_ms: 1000,
                ..BackoffLimits::default()
            },
            ..WatchLimits::default()
        };
        let mut updates = follow(&standin, no_wait, 1);
        let mut measured = Size {
            servers,
            ..Size::default()
        };
        while let Some(update) = updates.recv().await {
            match update {
                DiscoveryUpdate::List(ListChange::Complete(_)) => {
                    measured.listed_ms = began.elapsed().as_secs_f64() * 1000.0
                }
                DiscoveryUpdate::Status(status) if status.phase == Phase::Watching => break,
                _ => {}
            }
        }
        measured.cpu_ms = 1000.0 * (cpu_seconds(id).unwrap_or(0.0) - cpu.unwrap_or(0.0));
        measured.resident_mb = resident_mb(id).unwrap_or(0.0) - mb.unwrap_or(0.0);
        let mut took =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        for n in 0..CHANGES {
            let name = format!("x{n}");
            for up in [true, false] {
                let began = Instant::now();
                if up {
                    put(&standin, &name, address)
                } else {
                    delete(&standin, &name)
                }
                loop {
                    let update = updates
                        .recv()
                        .await
                        .ok_or_else(|| io::Error::other("the follower has ended"))?;
                    if matches!(update, DiscoveryUpdate::List(_)) {
                        break;
                    }
                }
                took.saturating_record(began.elapsed().as_micros() as u64);
            }
        }
        measured.change_ms = [0.5, 0.99].map(|q| took.value_at_quantile(q) as f64 / 1000.0);
        Ok(measured)
    })
}

/// Connections that come to a member after it was cut, with 100 followers: the most in any 100 ms, and all in 5 s.
///
/// # Errors
/// The stand-in can't be had.
pub fn stampede(jitter: bool) -> io::Result<(u64, u64)> {
    runtime()?.block_on(async {
        let standin = FakeEtcd::start(1).await?;
        put(&standin, "a", SocketAddr::from(([127, 0, 0, 1], 9)));
        // A first wait of up to 2 s, as the operators of a large fleet would set it.
        let limits = WatchLimits {
            backoff: BackoffLimits {
                initial_ms: 2000,
                max_ms: 8000,
                jitter,
            },
            ..WatchLimits::default()
        };
        let mut all: Vec<_> = (0..MANY)
            .map(|n| follow(&standin, limits, n as u64))
            .collect();
        for updates in &mut all {
            while let Some(update) = updates.recv().await {
                if matches!(update, DiscoveryUpdate::Status(s) if s.phase == Phase::Watching) {
                    break;
                }
            }
        }
        let before = standin.connection_count();
        standin.break_connections(0);
        let (mut most, mut last) = (0, before);
        for _ in 0..50 {
            sleep(Duration::from_millis(100)).await;
            let now = standin.connection_count();
            (most, last) = (most.max(now - last), now);
        }
        Ok((most, last - before))
    })
}

/// A server that answers at once, and remembers when it was last asked, in us since a start.
struct Witness {
    address: SocketAddr,
    asked: Arc<AtomicU64>,
}

impl Witness {
    fn new(start: Instant) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, asked) = (listener.local_addr()?, Arc::new(AtomicU64::new(0)));
        let tell = asked.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let tell = tell.clone();
                thread::spawn(move || answer(stream, start, &tell));
            }
        });
        Ok(Witness { address, asked })
    }
}

/// Answers requests without bodies until the connection ends.
fn answer(mut stream: TcpStream, start: Instant, asked: &AtomicU64) {
    use std::io::{Read as _, Write as _};
    let _ = stream.set_nodelay(true); // slower without, no worse
    let (mut bytes, mut head) = (vec![0; 4096], Vec::new());
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        head.extend_from_slice(&bytes[..n]);
        if head.ends_with(b"\r\n\r\n") {
            asked.store(start.elapsed().as_micros() as u64, Ordering::Relaxed);
            head.clear();
            thread::sleep(Duration::from_millis(2));
            if stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                .is_err()
            {
                return;
            }
        }
    }
}

/// From a removal's write in the store to the last request that the server gets, under load, in ms: the median and the most of so
/// many removals. A request that came after 1 s breaks the rule.
///
/// # Errors
/// The service or the stand-in can't be had.
pub fn last_request(command: &[String], removals: usize, dir: &Path) -> io::Result<[f64; 2]> {
    let runtime = runtime()?;
    let standin = runtime.block_on(FakeEtcd::start(3))?;
    let start = Instant::now();
    let witnesses = [
        Witness::new(start)?,
        Witness::new(start)?,
        Witness::new(start)?,
    ];
    let on = runtime.enter();
    witnesses
        .iter()
        .enumerate()
        .for_each(|(n, w)| put(&standin, &format!("w{n}"), w.address));
    drop(on);
    let endpoints: Vec<String> = standin
        .endpoints()
        .iter()
        .map(|e| format!("{e:?}"))
        .collect();
    let tables = format!(
        "[[tenant]]\nname = \"t\"\nfleet = {{ etcd = [{}] }}\n[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"300 \
         ms\"\ndeadline = \"1 s\"\n",
        endpoints.join(", ")
    );
    let place = ServiceFiles::new(dir, &tables)?;
    let service = Service::start(command, &place.config, 1, true)?;
    let at = service
        .listeners
        .get("public")
        .copied()
        .ok_or_else(|| io::Error::other("it has no listener"))?;
    let stop = AtomicBool::new(false);
    let mut late = thread::scope(|threads| -> io::Result<Vec<f64>> {
        for _ in 0..8 {
            threads.spawn(|| {
                let mut line = HttpConnection::new(at, "X-Tenant-Id: t\r\n");
                while !stop.load(Ordering::Relaxed) {
                    let _ = line.call("GET", "/lookup/1", "", ""); // what is refused meanwhile is the module's word
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        let mut late = Vec::new();
        for n in 0..removals {
            // Under another name each time: one that comes and goes would be held back.
            let (name, next, witness) = (format!("w{n}"), format!("w{}", n + 3), &witnesses[n % 3]);
            let gone = start.elapsed().as_micros() as f64;
            // A server that nobody asked would keep the rule without a merit.
            if witness.asked.swap(0, Ordering::Relaxed) == 0 {
                return Err(io::Error::other(format!(
                    "{name} was not asked before its removal"
                )));
            }
            delete(&standin, &name);
            thread::sleep(Duration::from_millis(1200));
            late.push((witness.asked.load(Ordering::Relaxed) as f64 - gone).max(0.0) / 1000.0);
            put(&standin, &next, witness.address);
            let begin = Instant::now();
            while witness.asked.load(Ordering::Relaxed) as f64 <= gone + 1.2e6
                && begin.elapsed().as_secs() < 5
            {
                thread::sleep(Duration::from_millis(10));
            }
        }
        stop.store(true, Ordering::Relaxed);
        Ok(late)
    })?;
    late.sort_by(f64::total_cmp);
    let most = late.last().copied().unwrap_or(0.0);
    Ok([late.get(late.len() / 2).copied().unwrap_or(0.0), most])
}

/// The figures of lists, a line each, one column a size.
pub fn table(all: &[Size]) -> String {
    type Of = fn(&Size) -> String;
    let rows: [(&str, Of); 5] = [
        ("servers", |s| s.servers.to_string()),
        ("whole list, ms", |s| format!("{:.1}", s.listed_ms)),
        ("CPU with the stand-in's, ms", |s| {
            format!("{:.0}", s.cpu_ms)
        }),
        ("memory, MiB", |s| format!("{:.1}", s.resident_mb)),
        ("write to list p50 / p99, ms", |s| {
            format!("{:.2} / {:.2}", s.change_ms[0], s.change_ms[1])
        }),
    ];
    let mut text = String::new();
    for (name, of) in rows {
        let cells: String = all.iter().map(|s| format!(" {:>16}", of(s))).collect();
        let _ = writeln!(text, "{name:<30}{cells}"); // a string takes all
    }
    text
}
