//! Soak of processes that end: clients go on sending on open connections while signals come in series, until the process has
//! ended or the earliest time at which it may be killed.
//!
//! A run takes its choices from a seed. `SOAK_SEEDS=A..B` runs other seeds than the fixed ones. A run that fails keeps the
//! clients' and the endpoints' ledgers in a directory that the message names.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use sockets::*;

const FIXED_SEEDS: Range<u64> = 1..17;
/// Runs at a time.
const PARALLEL_RUNS: u64 = 4;
/// Deadline of all requests, in ms.
const DEADLINE_MS: u32 = 1500;
/// Earliest time after SIGTERM at which the process may be killed: 3 s for deadlines up to that, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// Time after SIGTERM for which clients open new connections.
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);
/// Time after a client's close up to which an attempt may begin: 0.1 s, and 0.15 s for which a process may be held up.
const MAX_FORWARD_AFTER_CLOSE: Duration = Duration::from_millis(250);
/// Time for an answer after the deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Idle connections of a crowd: more than the proxy has descriptors for.
const CROWD: usize = 280;

/// Signal or call that the process gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Terminate,
    Interrupt,
    Reload,
    Drain,
    Undrain,
}

/// Series of steps; the first `Terminate` begins the shutdown.
const SERIES: [&[Step]; 7] = [
    &[Step::Terminate],
    &[Step::Terminate, Step::Terminate],
    &[Step::Reload, Step::Terminate],
    &[Step::Reload, Step::Reload, Step::Terminate, Step::Reload],
    &[Step::Terminate, Step::Reload, Step::Interrupt],
    &[Step::Drain, Step::Terminate],
    &[Step::Drain, Step::Undrain, Step::Reload, Step::Terminate],
];

/// End of a request as its client sees it.
#[derive(Clone, Debug, PartialEq)]
enum End {
    Answered {
        status: u16,
        body: String,
    },
    /// The connection was closed before a whole answer.
    Closed,
    /// The connection was reset before a whole answer.
    Reset,
    TimedOut,
    /// The client closed the connection.
    Left(Instant),
}

/// A request of a client.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    is_repeatable: bool,
    is_first_on_connection: bool,
    at: Instant,
    end: End,
}

/// Requests of all clients.
type ClientLedger = Arc<Mutex<Vec<Sent>>>;
/// Times at which the endpoints received each request.
type EndpointLedger = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// State that the clients of a run share.
#[derive(Clone)]
struct Run {
    address: SocketAddr,
    sent: ClientLedger,
    terminated_at: Arc<OnceLock<Instant>>,
    stop: Arc<AtomicBool>,
}

impl Run {
    fn new(address: SocketAddr) -> Self {
        Run {
            address,
            sent: ClientLedger::default(),
            terminated_at: Arc::default(),
            stop: Arc::default(),
        }
    }

    fn opens_connections(&self) -> bool {
        let terminated_at = self.terminated_at.get();
        terminated_at.is_none_or(|at| at.elapsed() < NEW_CONNECTIONS)
    }

    fn has_ended(&self) -> bool {
        let terminated_at = self.terminated_at.get();
        let killed = terminated_at.is_some_and(|at| at.elapsed() >= EARLIEST_KILL);
        killed || self.stop.load(Ordering::SeqCst)
    }
}

/// Reads an answer with a length.
fn read_answer(stream: &mut TcpStream) -> End {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(answer) = whole_answer(&bytes) {
            return answer;
        }
        match stream.read(&mut buffer) {
            Ok(0) => return End::Closed,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return End::TimedOut;
            }
            Err(_) => return End::Reset,
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<End> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    })?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = body.get(..length)?.to_owned();
    Some(End::Answered { status, body })
}

/// Sends requests one after another, on one connection as long as it stays open.
fn run_client(run: &Run, number: u64, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let is_resting = rng.u8(..4) == 0;
    let mut connection: Option<TcpStream> = None;
    let mut is_first_on_connection = true;
    for count in 0.. {
        if run.has_ended() {
            return;
        }
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None if !run.opens_connections() => return,
            None => {
                is_first_on_connection = true;
                match TcpStream::connect(run.address) {
                    Ok(stream) => stream,
                    Err(_) => {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                }
            }
        };
        stream
            .set_read_timeout(Some(
                Duration::from_millis(DEADLINE_MS.into()) + ANSWER_GRACE,
            ))
            .expect("the timeout is set");
        let id = format!("r-{number}-{count}");
        let is_repeatable = rng.bool();
        let request = if is_repeatable {
            page(&id)
        } else {
            submit(&id, "1.5", "x")
        };
        if !send_in_parts(&mut stream, &request, &mut rng) {
            continue; // closed before the request's last byte
        }
        let at = Instant::now();
        let end = if rng.u8(..12) == 0 {
            thread::sleep(Duration::from_millis(rng.u64(..40)));
            drop(stream);
            End::Left(Instant::now())
        } else {
            let end = read_answer(&mut stream);
            if matches!(end, End::Answered { .. }) {
                connection = Some(stream);
            }
            end
        };
        run.sent.lock().expect("no panic").push(Sent {
            id,
            is_repeatable,
            is_first_on_connection,
            at,
            end,
        });
        is_first_on_connection = false;
        let rest_ms = if is_resting { 900 } else { 30 };
        thread::sleep(Duration::from_millis(rng.u64(..rest_ms)));
    }
}

/// Writes a request, now and then in two parts; returns false if the connection is closed.
fn send_in_parts(stream: &mut TcpStream, request: &str, rng: &mut Rng) -> bool {
    let cut = if rng.u8(..4) == 0 {
        rng.usize(1..request.len())
    } else {
        request.len()
    };
    let (first, second) = request.split_at(cut);
    if stream.write_all(first.as_bytes()).is_err() {
        return false;
    }
    if !second.is_empty() {
        thread::sleep(Duration::from_millis(rng.u64(..8)));
    }
    stream.write_all(second.as_bytes()).is_ok()
}

/// Endpoint that answers with the request's id after a random time.
fn endpoint(arrivals: &EndpointLedger, seed: u64, longest_ms: u64) -> Backend {
    let arrivals = Arc::clone(arrivals);
    let rng = Mutex::new(Rng::with_seed(seed));
    Backend::with(move |request| {
        let id = request.id().to_owned();
        let mut arrivals = arrivals.lock().expect("no panic");
        arrivals.entry(id.clone()).or_default().push(Instant::now());
        drop(arrivals);
        let delay_ms = rng.lock().expect("no panic").u64(..longest_ms);
        thread::sleep(Duration::from_millis(delay_ms));
        BackendAction::Write(ok(&id))
    })
}

/// Rules that a request breaks.
fn violations_of(sent: &Sent, arrivals: &[Instant], is_crowded: bool) -> Vec<&'static str> {
    let mut violations = Vec::new();
    if !sent.is_repeatable && arrivals.len() > 1 {
        violations.push("a request that must not be repeated reached endpoints twice");
    }
    let may_be_unread = is_crowded && sent.is_first_on_connection && arrivals.is_empty();
    match &sent.end {
        End::Answered { status: 200, body } if *body != sent.id => {
            violations.push("the answer is another request's");
        }
        End::Answered { .. } => {}
        End::Closed | End::Reset if may_be_unread => {}
        End::Reset => violations.push("the connection was reset"),
        End::Closed if !arrivals.is_empty() => {
            violations.push("forwarded, and closed without an answer");
        }
        End::Closed if sent.is_first_on_connection => {
            violations.push("closed without an answer on a new connection");
        }
        // A request that crosses the end of a resting connection, and is not forwarded.
        End::Closed => {}
        End::TimedOut => violations.push("no answer"),
        End::Left(at) => {
            let limit = *at + MAX_FORWARD_AFTER_CLOSE;
            if arrivals.iter().any(|arrival| *arrival > limit) {
                violations.push("forwarded after its client had left");
            }
        }
    }
    violations
}

/// Returns all violations of a run, and the ledgers as text.
fn judge(run: &Run, arrivals: &EndpointLedger, is_crowded: bool) -> (Vec<String>, String) {
    let arrivals = arrivals.lock().expect("no panic");
    let sent = run.sent.lock().expect("no panic");
    let begin = sent.iter().map(|sent| sent.at).min();
    let since =
        |at: Instant| begin.map_or(0, |begin| at.saturating_duration_since(begin).as_millis());
    let terminated_ms = run.terminated_at.get().map_or(0, |at| since(*at));
    let mut violations = Vec::new();
    let mut ledger = format!("SIGTERM at {terminated_ms} ms\n");
    for sent in sent.iter() {
        let arrived = arrivals.get(&sent.id).map_or(&[][..], Vec::as_slice);
        let arrived_ms: Vec<_> = arrived.iter().map(|at| since(*at)).collect();
        let end = match &sent.end {
            End::Left(at) => format!("left at {} ms", since(*at)),
            end => format!("{end:?}"),
        };
        let line = format!(
            "{} sent at {} ms, first on its connection: {}, repeatable: {}, at endpoints {arrived_ms:?} ms, {end}",
            sent.id,
            since(sent.at),
            sent.is_first_on_connection,
            sent.is_repeatable,
        );
        for violation in violations_of(sent, arrived, is_crowded) {
            violations.push(format!("{violation}: {line}"));
        }
        _ = writeln!(ledger, "{line}");
    }
    (violations, ledger)
}

fn apply(step: Step, proxy: &Proxy, config: &str) {
    match step {
        Step::Terminate => proxy.terminate(),
        Step::Interrupt => proxy.signal("-INT"),
        Step::Reload => proxy.reconfigure(config),
        Step::Drain => _ = proxy.call_operations("PUT /_lameduck/on"),
        Step::Undrain => _ = proxy.call_operations("PUT /_lameduck/off"),
    }
}

/// Outcome of a run.
struct Outcome {
    requests: usize,
    /// Requests that were sent after SIGTERM.
    requests_during_shutdown: usize,
    violations: Vec<String>,
    ledger: String,
}

fn play(seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let arrivals = EndpointLedger::default();
    let longest_ms = [10, 60, 400][rng.usize(..3)];
    let endpoints: Vec<_> = (0..3)
        .map(|n| endpoint(&arrivals, seed * 10 + n, longest_ms))
        .collect();
    let discovery = Discovery::new();
    discovery.publish(&all_up(&endpoints.iter().collect::<Vec<_>>()));
    let setup = Setup {
        deadline: DEADLINE_MS,
        operations_enabled: true,
        ..Setup::default()
    };
    let mut proxy = Proxy::up(&discovery, &setup);
    let text = config(discovery.address, &setup);
    let is_crowded = rng.u8(..4) == 0;
    let crowd: Vec<_> = (0..if is_crowded { CROWD } else { 0 })
        .map_while(|_| TcpStream::connect(proxy.address).ok())
        .collect();
    let run = Run::new(proxy.address);
    let clients: Vec<_> = (0..rng.u64(6..24))
        .map(|number| {
            let (run, client_seed) = (run.clone(), rng.u64(..));
            thread::spawn(move || run_client(&run, number, client_seed))
        })
        .collect();
    thread::sleep(Duration::from_millis(rng.u64(300..1200)));
    let series = SERIES[rng.usize(..SERIES.len())];
    for step in series {
        // The process may have ended already.
        if run.terminated_at.get().is_some() && !proxy.is_running() {
            break;
        }
        if *step == Step::Terminate {
            run.terminated_at.get_or_init(Instant::now);
        }
        apply(*step, &proxy, &text);
        thread::sleep(Duration::from_millis(rng.u64(..200)));
    }
    let terminated_at = *run.terminated_at.get().expect("each series terminates");
    let mut has_ended = false;
    while terminated_at.elapsed() < EARLIEST_KILL && !has_ended {
        has_ended = !proxy.is_running();
        thread::sleep(Duration::from_millis(5));
    }
    let ended_well = has_ended && proxy.wait().success();
    drop(proxy);
    for client in clients {
        client.join().expect("no panic");
    }
    drop(crowd);
    let (mut violations, ledger) = judge(&run, &arrivals, is_crowded);
    if !ended_well {
        violations.push("the process has not ended by itself with success".into());
    }
    let sent = run.sent.lock().expect("no panic");
    let during_shutdown = sent.iter().filter(|sent| sent.at > terminated_at);
    let description = format!("{series:?}, crowd: {is_crowded}, endpoints up to {longest_ms} ms\n");
    Outcome {
        requests: sent.len(),
        requests_during_shutdown: during_shutdown.count(),
        violations,
        ledger: description + &ledger,
    }
}

fn keep_ledger(seed: u64, outcome: &Outcome) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("soak-{seed}.txt"));
    let text = format!("{}\n{}", outcome.violations.join("\n"), outcome.ledger);
    std::fs::write(&file, text).expect("the ledger is written");
    file
}

/// Seeds of the variable `SOAK_SEEDS`, as `A..B`, or the fixed ones.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return FIXED_SEEDS;
    };
    let parsed = text
        .split_once("..")
        .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    parsed.unwrap_or_else(|| panic!("SOAK_SEEDS is {text:?}, not A..B"))
}

#[test]
fn a_process_that_ends_under_load_answers_each_request_once() {
    let seeds = seeds();
    let counts = Mutex::new((0, 0));
    let failures = Mutex::new(Vec::new());
    thread::scope(|threads| {
        for part in 0..PARALLEL_RUNS {
            let (seeds, counts, failures) = (seeds.clone(), &counts, &failures);
            threads.spawn(move || {
                for seed in seeds.skip(part as usize).step_by(PARALLEL_RUNS as usize) {
                    let outcome = play(seed);
                    let mut counts = counts.lock().expect("no panic");
                    counts.0 += outcome.requests;
                    counts.1 += outcome.requests_during_shutdown;
                    drop(counts);
                    if !outcome.violations.is_empty() {
                        let file = keep_ledger(seed, &outcome);
                        let first = &outcome.violations[0];
                        failures.lock().expect("no panic").push(format!(
                            "SOAK_SEEDS={seed}..{} cargo test -p proxy --test soak: {} violations, ledgers in {}: {first}",
                            seed + 1,
                            outcome.violations.len(),
                            file.display()
                        ));
                    }
                }
            });
        }
    });
    let (requests, during_shutdown) = counts.into_inner().expect("no panic");
    let failures = failures.into_inner().expect("no panic");
    println!("{requests} requests, {during_shutdown} of them after SIGTERM, with seeds {seeds:?}");
    assert!(during_shutdown > 0, "no request was sent after SIGTERM");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A listener that closes its connections before it has read them is found by the judge.
#[test]
fn a_listener_that_closes_unread_connections_is_detected() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let run = Run::new(listener.local_addr().expect("local address"));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::sleep(Duration::from_millis(5)); // the request arrives meanwhile
            drop(stream);
        }
    });
    let client = {
        let run = run.clone();
        thread::spawn(move || run_client(&run, 0, 1))
    };
    thread::sleep(Duration::from_millis(500));
    run.stop.store(true, Ordering::SeqCst);
    client.join().expect("no panic");
    let (violations, ledger) = judge(&run, &EndpointLedger::default(), false);
    assert!(
        violations
            .iter()
            .any(|violation| violation.starts_with("the connection was reset")),
        "{ledger}"
    );
}
