//! Most instances are killed in the same moment and started again under load: how long until full service, what each phase of a start
//! takes, and what servers and survivors get meanwhile.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use serde_json::Value;

use super::changes::{Ledger, judge, read};
use super::fleet::{Fleet, Terms};
use crate::random::{Purpose, stream};

/// A request takes so long at a server.
const WORK: Duration = Duration::from_millis(4);
/// Servers of the one tenant.
const SERVERS: usize = 8;
/// Clients for each instance, and from one request of a client to its next.
const CLIENTS: usize = 6;
const PACE: Duration = Duration::from_millis(30);
/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long service is watched before the kill; the first second of it warms up.
const BEFORE: Duration = Duration::from_secs(5);
/// How long it is waited for that service is full again.
const AFTER: Duration = Duration::from_secs(40);
/// Windows in which connections and requests in hand are counted, in ms.
const WINDOW: u64 = 100;
/// Part of the service before that counts as full.
const FULL: f64 = 0.99;

/// What a server saw, by windows of time since the run's start.
#[derive(Default)]
struct Server {
    in_hand: AtomicU64,
    /// Connections that came, and the most requests in hand.
    windows: Mutex<BTreeMap<u64, (u64, u64)>>,
}

struct Watch {
    began: Instant,
    ledger: Ledger,
    servers: Vec<Server>,
    /// Requests served, by the millisecond since the run's start, and the instance.
    served: Mutex<Vec<(u64, usize)>>,
    refused: AtomicU64,
    lost: AtomicU64,
    end: AtomicBool,
}

impl Watch {
    fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn note(&self, server: usize, came: u64, in_hand: u64) {
        let mut windows = self.servers[server]
            .windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(self.ms() / WINDOW).or_default();
        window.0 += came;
        window.1 = window.1.max(in_hand);
    }
}

fn serve(watch: &Arc<Watch>, number: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let watch = watch.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            watch.note(number, 1, 0);
            let watch = watch.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true); // slower without, no worse
                let mut stream = BufReader::new(stream);
                while let Ok((_, stamp)) = read(&mut stream) {
                    let in_hand = watch.servers[number]
                        .in_hand
                        .fetch_add(1, Ordering::Relaxed)
                        + 1;
                    watch.note(number, 0, in_hand);
                    stamp.into_iter().for_each(|s| watch.ledger.put(&s, None));
                    thread::sleep(WORK);
                    watch.servers[number]
                        .in_hand
                        .fetch_sub(1, Ordering::Relaxed);
                    if stream
                        .get_mut()
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// A client that asks the instance it is at, and goes to another where that one fails or refuses: as behind a front that spreads.
fn client(watch: &Watch, fleet: &Mutex<Fleet>, mut at: usize, seed: u64) {
    let mut rng = stream(seed, Purpose::Faults);
    let mut line: Option<BufReader<TcpStream>> = None;
    while !watch.end.load(Ordering::Relaxed) {
        thread::sleep(PACE);
        let ask = |line: &mut Option<BufReader<TcpStream>>| -> io::Result<(u16, Option<String>)> {
            if line.is_none() {
                let public = fleet
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .public(at);
                let to = public.ok_or(io::ErrorKind::NotConnected)?;
                let stream = TcpStream::connect_timeout(&to, PATIENCE)?;
                stream.set_read_timeout(Some(PATIENCE))?;
                stream.set_nodelay(true)?;
                *line = Some(BufReader::new(stream));
            }
            let Some(stream) = line else {
                return Err(io::ErrorKind::NotConnected.into());
            };
            stream
                .get_mut()
                .write_all(b"GET /lookup/1 HTTP/1.1\r\nHost: lab\r\nX-Tenant-Id: a\r\n\r\n")?;
            read(stream)
        };
        let moves = match ask(&mut line) {
            Ok((200, stamp)) => {
                stamp
                    .into_iter()
                    .for_each(|s| watch.ledger.put(&s, Some(at)));
                let served = (watch.ms(), at);
                watch
                    .served
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(served);
                false
            }
            Ok(_) => {
                watch.refused.fetch_add(1, Ordering::Relaxed);
                true
            }
            Err(_) => {
                watch.lost.fetch_add(1, Ordering::Relaxed);
                true
            }
        };
        if moves {
            line = None;
            let count = fleet.lock().unwrap_or_else(PoisonError::into_inner).count();
            at = rng.random_range(0..count);
        }
    }
}

/// How a run is played.
pub struct Play<'a> {
    /// Takes the arguments of `canvascart`.
    pub command: &'a [String],
    /// How many instances.
    pub instances: usize,
    /// How many of a hundred are killed.
    pub killed: usize,
    /// What chance is drawn from.
    pub seed: u64,
    /// Where files go.
    pub dir: &'a Path,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Requests a second that were served before.
    pub before: f64,
    /// From the kill until service was full for good, in s; none if it never was.
    pub full_s: Option<f64>,
    /// How long each phase took, in ms: the median and the most over those that were killed.
    pub phases: BTreeMap<String, (u64, u64)>,
    /// The most connections a second at one server, and requests in hand: before, and after the kill.
    pub connections: (f64, f64),
    /// As above.
    pub in_hand: (u64, u64),
    /// What survivors served a second until service was full, by what they served before.
    pub survivors: f64,
    /// Requests that were refused, and that got no answer.
    pub refused: u64,
    /// As above.
    pub lost: u64,
    /// What should not have been.
    pub broken: Vec<String>,
}

/// Plays one run.
///
/// # Errors
/// The fleet can't be started, or does not come back.
pub fn recover(play: &Play) -> io::Result<Recovered> {
    let watch = Arc::new(Watch {
        began: Instant::now(),
        ledger: Ledger::default(),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        served: Mutex::default(),
        refused: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        end: AtomicBool::new(false),
    });
    let mut tenants = String::from(
        "[[tenant]]\nname = \"a\"\n[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"500 ms\"\ndeadline = \"2 s\"\n",
    );
    for n in 0..SERVERS {
        let address = serve(&watch, n)?;
        tenants += &format!(
            "[[tenant.server]]\nname = \"s{n}\"\naddress = \"{address}\"\nsize = 16\nwarm = true\n"
        );
    }
    let terms = Terms {
        cluster: "lease = \"3 s\"\ndeadline = \"10 s\"".into(),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(play.command, play.instances, &terms, play.dir)?;
    (0..play.instances).try_for_each(|i| fleet.start(i))?;
    fleet.ready()?;
    let fleet = Mutex::new(fleet);
    let outcome = thread::scope(|threads| {
        for n in 0..play.instances * CLIENTS {
            let (watch, fleet) = (&watch, &fleet);
            let (at, seed) = (n % play.instances, play.seed ^ (n as u64) << 8);
            threads.spawn(move || client(watch, fleet, at, seed));
        }
        let outcome = drive(play, &fleet, &watch);
        watch.end.store(true, Ordering::Relaxed);
        outcome
    });
    let (killed_at, killed, phases) = outcome?;
    let mut recovered = count(&watch, killed_at, &killed);
    recovered.phases = phases;
    for (late, newer) in judge(&watch.ledger.sorted()).into_iter().take(8) {
        recovered.broken.push(format!("{late:?} after {newer:?}"));
    }
    Ok(recovered)
}

type Phases = BTreeMap<String, (u64, u64)>;

/// Kills and starts; returns when, whom, and how long the phases of their starts took.
fn drive(
    play: &Play,
    fleet: &Mutex<Fleet>,
    watch: &Watch,
) -> io::Result<(u64, Vec<usize>, Phases)> {
    let lock = || fleet.lock().unwrap_or_else(PoisonError::into_inner);
    thread::sleep(BEFORE);
    let mut all: Vec<usize> = (0..play.instances).collect();
    all.shuffle(&mut stream(play.seed, Purpose::Faults));
    all.truncate(play.instances * play.killed / 100);
    let killed_at = watch.ms();
    all.iter().for_each(|i| lock().kill(*i));
    for i in &all {
        lock().start(*i)?;
    }
    let end = Instant::now() + AFTER;
    loop {
        thread::sleep(Duration::from_millis(200));
        let up = all.iter().filter(|i| lock().is_up(**i)).count();
        if up == all.len() {
            break;
        }
        if Instant::now() > end {
            return Err(io::Error::other(format!(
                "{} of {} are not back in time",
                all.len() - up,
                all.len()
            )));
        }
    }
    thread::sleep(Duration::from_secs(6)); // long enough to see that service stays full
    let mut took: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for i in &all {
        let mut line = lock().line(*i)?;
        let told = line.json("GET", "/v1/cluster/recovery", "", &Value::Null)?;
        for phase in told["start"]["took"].as_array().into_iter().flatten() {
            let (name, ms) = (
                phase["phase"].as_str().unwrap_or_default(),
                phase["ms"].as_u64().unwrap_or(0),
            );
            took.entry(name.to_owned()).or_default().push(ms);
        }
    }
    let middle = |mut ms: Vec<u64>| {
        ms.sort_unstable();
        (ms[ms.len() / 2], ms[ms.len() - 1])
    };
    Ok((
        killed_at,
        all,
        took.into_iter()
            .map(|(name, ms)| (name, middle(ms)))
            .collect(),
    ))
}

fn count(watch: &Watch, killed_at: u64, killed: &[usize]) -> Recovered {
    let served = watch.served.lock().unwrap_or_else(PoisonError::into_inner);
    let from = killed_at.saturating_sub(BEFORE.as_millis() as u64 - 1000);
    let last = served.iter().map(|(ms, _)| *ms).max().unwrap_or(killed_at);
    let span = (killed_at - from) as f64 / 1000.0;
    let before: Vec<&(u64, usize)> = served
        .iter()
        .filter(|(ms, _)| (from..killed_at).contains(ms))
        .collect();
    let rate = before.len() as f64 / span;
    // The last window of 1 s, moved on by 100 ms, in which less than nearly all of it was served.
    let mut by_window: BTreeMap<u64, u64> = BTreeMap::new();
    served
        .iter()
        .for_each(|(ms, _)| *by_window.entry(ms / WINDOW).or_default() += 1);
    let sum = |w: u64| (w..w + 10).filter_map(|w| by_window.get(&w)).sum::<u64>() as f64;
    let windows = killed_at / WINDOW..(last / WINDOW).saturating_sub(10);
    // What the load itself swings by is no loss: held against the least of the windows before.
    let least = (from / WINDOW..(killed_at / WINDOW).saturating_sub(10))
        .map(sum)
        .fold(rate, f64::min);
    let full = windows
        .clone()
        .rev()
        .find(|w| sum(*w) < FULL * least)
        .map_or(windows.start, |w| w + 1);
    let full_s =
        (full < windows.end).then(|| (full * WINDOW).saturating_sub(killed_at) as f64 / 1000.0);
    let until = full_s
        .map_or(last, |s| killed_at + (s * 1000.0) as u64)
        .max(killed_at + 100);
    let survives = |i: &usize| !killed.contains(i);
    let own = before.iter().filter(|(_, i)| survives(i)).count() as f64 / span;
    let during = served
        .iter()
        .filter(|(ms, i)| (killed_at..until).contains(ms) && survives(i))
        .count();
    let during = during as f64 / ((until - killed_at) as f64 / 1000.0);
    let (mut connections, mut in_hand) = ((0.0, 0.0), (0, 0));
    for server in &watch.servers {
        let windows = server
            .windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let second = |w: u64| {
            (w..w + 10)
                .filter_map(|w| windows.get(&w))
                .map(|w| w.0)
                .sum::<u64>() as f64
        };
        for (w, (_, most)) in windows.iter().filter(|(w, _)| **w >= from / WINDOW) {
            if *w < killed_at / WINDOW {
                connections.0 = f64::max(connections.0, second(w.saturating_sub(9)));
                in_hand.0 = in_hand.0.max(*most);
            } else {
                connections.1 = f64::max(connections.1, second(*w));
                in_hand.1 = in_hand.1.max(*most);
            }
        }
    }
    Recovered {
        before: rate,
        full_s,
        connections,
        in_hand,
        survivors: during / own.max(1.0),
        refused: watch.refused.load(Ordering::Relaxed),
        lost: watch.lost.load(Ordering::Relaxed),
        ..Recovered::default()
    }
}
