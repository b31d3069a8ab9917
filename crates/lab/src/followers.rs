//! Measures endpoint discovery through etcd against the fake etcd: the time and cost of lists and changes, and the
//! simultaneous reconnection of many followers.

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

/// Endpoints that are added and removed again with each list size.
const TIMED_CHANGES: usize = 300;
/// Followers that reconnect at the same time.
const RECONNECTING_FOLLOWERS: usize = 100;

fn key_space() -> KeySpace {
    KeySpace::new("/canvascart/v1", "t")
}

fn put_endpoint(fake_etcd: &FakeEtcd, name: &str, address: SocketAddr) {
    let record = EndpointRecord {
        capacity: 16.0,
        started_at_ms: Some(1),
        ..EndpointRecord::new(address)
    };
    let request = PutRequest {
        key: key_space().endpoint_key(name).into_bytes(),
        value: record.to_json().into_bytes(),
        ..PutRequest::default()
    };
    fake_etcd.with_store(|s| _ = s.put(0, &request)); // can't fail without a lease
}

fn delete_endpoint(fake_etcd: &FakeEtcd, name: &str) {
    let request = DeleteRangeRequest {
        key: key_space().endpoint_key(name).into_bytes(),
        ..DeleteRangeRequest::default()
    };
    fake_etcd.with_store(|s| _ = s.delete(0, &request));
}

/// Measurement of a list of one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListMeasurement {
    /// Number of servers in the list.
    pub servers: usize,
    /// Time from the first connection to the complete list, in ms.
    pub listed_ms: f64,
    /// CPU time of this process in that time, including the fake etcd, in ms.
    pub cpu_ms: f64,
    /// Increase of resident memory, in MiB.
    pub resident_mb: f64,
    /// Time from a write to the store until the change of the list, in ms: median and 99th percentile.
    pub change_ms: [f64; 2],
}

fn runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
}

/// Starts a follower and returns its updates.
fn start_follower(
    fake_etcd: &FakeEtcd,
    limits: WatchLimits,
    seed: u64,
) -> mpsc::UnboundedReceiver<DiscoveryUpdate> {
    let (to, updates) = mpsc::unbounded_channel();
    let settings = Settings::new(fake_etcd.endpoints());
    tokio::spawn(etcd::watch_endpoints(
        PlaintextConnector,
        settings,
        "lab".into(),
        key_space(),
        limits,
        seed,
        to,
    ));
    updates
}

/// Measures a list of `servers` servers.
///
/// # Errors
/// The fake etcd could not be started, or the follower ended.
pub fn measure_list(servers: usize) -> io::Result<ListMeasurement> {
    runtime()?.block_on(async {
        let fake_etcd = FakeEtcd::start(3).await?;
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        (0..servers).for_each(|n| put_endpoint(&fake_etcd, &format!("s{n:05}"), address));
        let process_id = std::process::id();
        let (cpu, mb, began) = (
            cpu_seconds(process_id),
            resident_mb(process_id),
            Instant::now(),
        );
        let no_wait = WatchLimits {
            backoff: BackoffLimits {
                initial_ms: 0,
                max_ms: 1000,
                ..BackoffLimits::default()
            },
            ..WatchLimits::default()
        };
        let mut updates = start_follower(&fake_etcd, no_wait, 1);
        let mut measured = ListMeasurement {
            servers,
            ..ListMeasurement::default()
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
        measured.cpu_ms = 1000.0 * (cpu_seconds(process_id).unwrap_or(0.0) - cpu.unwrap_or(0.0));
        measured.resident_mb = resident_mb(process_id).unwrap_or(0.0) - mb.unwrap_or(0.0);
        let mut change_times =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        for n in 0..TIMED_CHANGES {
            let name = format!("x{n}");
            for up in [true, false] {
                let began = Instant::now();
                if up {
                    put_endpoint(&fake_etcd, &name, address)
                } else {
                    delete_endpoint(&fake_etcd, &name)
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
                change_times.saturating_record(began.elapsed().as_micros() as u64);
            }
        }
        measured.change_ms = [0.5, 0.99].map(|q| change_times.value_at_quantile(q) as f64 / 1000.0);
        Ok(measured)
    })
}

/// Measures the connections to an etcd member after all connections of 100 followers were broken: the maximum in any
/// 100 ms, and the total in 5 s.
///
/// # Errors
/// The fake etcd could not be started.
pub fn measure_reconnections(jitter: bool) -> io::Result<(u64, u64)> {
    runtime()?.block_on(async {
        let fake_etcd = FakeEtcd::start(1).await?;
        put_endpoint(&fake_etcd, "a", SocketAddr::from(([127, 0, 0, 1], 9)));
        // An initial backoff of up to 2 s is a typical setting for a large fleet.
        let limits = WatchLimits {
            backoff: BackoffLimits {
                initial_ms: 2000,
                max_ms: 8000,
                jitter,
            },
            ..WatchLimits::default()
        };
        let mut followers: Vec<_> = (0..RECONNECTING_FOLLOWERS)
            .map(|n| start_follower(&fake_etcd, limits, n as u64))
            .collect();
        for updates in &mut followers {
            while let Some(update) = updates.recv().await {
                if matches!(update, DiscoveryUpdate::Status(s) if s.phase == Phase::Watching) {
                    break;
                }
            }
        }
        let before = fake_etcd.connection_count();
        fake_etcd.break_connections(0);
        let (mut max, mut last) = (0, before);
        for _ in 0..50 {
            sleep(Duration::from_millis(100)).await;
            let now = fake_etcd.connection_count();
            (max, last) = (max.max(now - last), now);
        }
        Ok((max, last - before))
    })
}

/// Server that records the time of its last request, in µs since `start`.
struct RecordingServer {
    address: SocketAddr,
    last_request_us: Arc<AtomicU64>,
}

impl RecordingServer {
    fn new(start: Instant) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, last_request_us) = (listener.local_addr()?, Arc::new(AtomicU64::new(0)));
        let recorder = last_request_us.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let recorder = recorder.clone();
                thread::spawn(move || serve(stream, start, &recorder));
            }
        });
        Ok(RecordingServer {
            address,
            last_request_us,
        })
    }
}

/// Answers requests without bodies, each after 2 ms, until the connection ends.
fn serve(mut stream: TcpStream, start: Instant, last_request_us: &AtomicU64) {
    use std::io::{Read as _, Write as _};
    let _ = stream.set_nodelay(true); // on failure responses are only slower
    let (mut bytes, mut head) = (vec![0; 4096], Vec::new());
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        head.extend_from_slice(&bytes[..n]);
        if head.ends_with(b"\r\n\r\n") {
            last_request_us.store(start.elapsed().as_micros() as u64, Ordering::Relaxed);
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

/// Measures the time from the write that removes a server from the store to the last request that the server receives, under
/// load, in ms: the median and the maximum over `removals` removals. A request later than 1 s after the removal violates the
/// rule.
///
/// # Errors
/// The service or the fake etcd could not be started, or a server received no request before its removal.
pub fn measure_removals(command: &[String], removals: usize, dir: &Path) -> io::Result<[f64; 2]> {
    let runtime = runtime()?;
    let fake_etcd = runtime.block_on(FakeEtcd::start(3))?;
    let start = Instant::now();
    let servers = [
        RecordingServer::new(start)?,
        RecordingServer::new(start)?,
        RecordingServer::new(start)?,
    ];
    let runtime_context = runtime.enter();
    servers
        .iter()
        .enumerate()
        .for_each(|(n, w)| put_endpoint(&fake_etcd, &format!("w{n}"), w.address));
    drop(runtime_context);
    let endpoints: Vec<String> = fake_etcd
        .endpoints()
        .iter()
        .map(|e| format!("{e:?}"))
        .collect();
    let config = format!(
        "[[tenant]]\nname = \"t\"\nfleet = {{ etcd = [{}] }}\n[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"300 \
         ms\"\ndeadline = \"1 s\"\n",
        endpoints.join(", ")
    );
    let files = ServiceFiles::new(dir, &config)?;
    let service = Service::start(command, &files.config, 1, true)?;
    let public_address = service
        .listeners
        .get("public")
        .copied()
        .ok_or_else(|| io::Error::other("the service has no listener `public`"))?;
    let stop = AtomicBool::new(false);
    let mut last_requests_ms = thread::scope(|threads| -> io::Result<Vec<f64>> {
        for _ in 0..8 {
            threads.spawn(|| {
                let mut connection = HttpConnection::new(public_address, "X-Tenant-Id: t\r\n");
                while !stop.load(Ordering::Relaxed) {
                    let _ = connection.call("GET", "/lookup/1", "", ""); // a rejected request does not affect the measurement
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        let mut last_requests_ms = Vec::new();
        for n in 0..removals {
            // Uses a new name each time, because the service delays an endpoint that appears and disappears repeatedly.
            let (name, next, server) = (format!("w{n}"), format!("w{}", n + 3), &servers[n % 3]);
            let removed_us = start.elapsed().as_micros() as f64;
            // A server without requests before its removal would satisfy the rule trivially.
            if server.last_request_us.swap(0, Ordering::Relaxed) == 0 {
                return Err(io::Error::other(format!(
                    "{name} received no request before its removal"
                )));
            }
            delete_endpoint(&fake_etcd, &name);
            thread::sleep(Duration::from_millis(1200));
            last_requests_ms.push(
                (server.last_request_us.load(Ordering::Relaxed) as f64 - removed_us).max(0.0)
                    / 1000.0,
            );
            put_endpoint(&fake_etcd, &next, server.address);
            let added_at = Instant::now();
            while server.last_request_us.load(Ordering::Relaxed) as f64 <= removed_us + 1.2e6
                && added_at.elapsed().as_secs() < 5
            {
                thread::sleep(Duration::from_millis(10));
            }
        }
        stop.store(true, Ordering::Relaxed);
        Ok(last_requests_ms)
    })?;
    last_requests_ms.sort_by(f64::total_cmp);
    let max = last_requests_ms.last().copied().unwrap_or(0.0);
    Ok([
        last_requests_ms
            .get(last_requests_ms.len() / 2)
            .copied()
            .unwrap_or(0.0),
        max,
    ])
}

/// Formats list measurements as a table: one line per figure, one column per list size.
pub fn table(measurements: &[ListMeasurement]) -> String {
    type Format = fn(&ListMeasurement) -> String;
    let rows: [(&str, Format); 5] = [
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
    for (name, format_value) in rows {
        let cells: String = measurements
            .iter()
            .map(|s| format!(" {:>16}", format_value(s)))
            .collect();
        let _ = writeln!(text, "{name:<30}{cells}"); // writing to a string can't fail
    }
    text
}
