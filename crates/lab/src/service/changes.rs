//! Changes of policy among many processes, some of them broken: who decided what under which version, and what became of each
//! change.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng as _;
use rustix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};

use super::fleet::{Fleet, Terms};
use crate::net::Mode;
use crate::random::{Purpose, stream};

/// From one request of a client to its next.
const PACE: Duration = Duration::from_millis(4);
/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(3);
/// Instances with a vote, without a word in the terms.
const VOTERS: usize = 3;
/// How long a change may take, from its call to its answer.
const LONG: Duration = Duration::from_secs(60);

/// One decision: its moment on the machine's clock in us, the version, and who was seen to make it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Decision {
    /// The moment.
    pub at: u64,
    /// The version.
    pub version: u64,
    /// The instance, where it is known.
    pub by: Option<usize>,
}

/// The machine's clock that decisions are told by, in us.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// What was seen of all decisions, by clients and by servers.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Vec<Decision>>>);

impl Ledger {
    pub(super) fn put(&self, stamp: &str, by: Option<usize>) {
        let mut parts = stamp.split_whitespace().map(str::parse);
        if let (Some(Ok(version)), Some(Ok(at))) = (parts.next(), parts.next()) {
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(Decision { at, version, by });
        }
    }

    /// What was seen, by its moment.
    pub fn sorted(&self) -> Vec<Decision> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_unstable();
        all
    }
}

/// Decisions under a version that were made after one under a later version, each with that one.
pub fn judge(decisions: &[Decision]) -> Vec<(Decision, Decision)> {
    let mut newest: Option<Decision> = None;
    let mut broken = Vec::new();
    for decision in decisions {
        match newest {
            Some(n) if decision.version < n.version && decision.at > n.at => {
                broken.push((*decision, n))
            }
            Some(n) if decision.version <= n.version => {}
            _ => newest = Some(*decision),
        }
    }
    broken
}

/// Reads the head of a message and its body; the value of the stamp's header, and the status.
pub(super) fn read(from: &mut BufReader<TcpStream>) -> io::Result<(u16, Option<String>)> {
    let (mut length, mut stamp, mut status, mut first) = (0, None, 0, true);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if std::mem::take(&mut first) {
            status = line
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
        }
        match line.split_once(": ") {
            Some(("content-length", n)) => length = n.parse().map_err(io::Error::other)?,
            Some(("x-canvascart-decided", s)) => stamp = Some(s.to_owned()),
            _ => {}
        }
    }
    io::copy(&mut from.take(length), &mut io::sink())?;
    Ok((status, stamp))
}

/// A server that answers all at once, and notes what each request was decided under.
///
/// # Errors
/// A port can't be had.
pub fn server(ledger: &Ledger) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let ledger = ledger.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let ledger = ledger.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true); // slower without, no worse
                let mut stream = BufReader::new(stream);
                while let Ok((_, stamp)) = read(&mut stream) {
                    stamp.into_iter().for_each(|s| ledger.put(&s, None));
                    let said = stream
                        .get_mut()
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    if said.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// What clients of an instance saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Requests that were served, refused, and not answered.
    pub served: u64,
    /// As above.
    pub refused: u64,
    /// As above.
    pub unanswered: u64,
}

/// A client of one instance, until it is told to end.
pub(super) fn client(fleet: &Mutex<Fleet>, i: usize, ledger: &Ledger, end: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut at = None;
    while !end.load(Ordering::Relaxed) {
        thread::sleep(PACE);
        if connection.is_none() {
            at = fleet
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .public(i);
        }
        let Some(to) = at else { continue };
        let ask =
            |connection: &mut Option<BufReader<TcpStream>>| -> io::Result<(u16, Option<String>)> {
                if connection.is_none() {
                    let stream = TcpStream::connect_timeout(&to, PATIENCE)?;
                    stream.set_read_timeout(Some(PATIENCE))?;
                    stream.set_nodelay(true)?;
                    *connection = Some(BufReader::new(stream));
                }
                let Some(stream) = connection else {
                    return Err(io::ErrorKind::NotConnected.into());
                };
                stream
                    .get_mut()
                    .write_all(b"GET /lookup/1 HTTP/1.1\r\nHost: lab\r\nX-Tenant-Id: a\r\n\r\n")?;
                read(stream)
            };
        match ask(&mut connection) {
            Ok((status, stamp)) => {
                if let Some(stamp) = stamp {
                    ledger.put(&stamp, Some(i));
                }
                if status == 200 {
                    seen.served += 1
                } else {
                    seen.refused += 1
                }
            }
            Err(_) => {
                connection = None;
                seen.unanswered += 1;
            }
        }
    }
    seen
}

/// The tables of the one tenant that is changed.
fn tenant(server: SocketAddr, n: u64) -> Value {
    json!({
        "name": "a",
        "limits": { "in-flight": 1000 + n },
        "class": [{ "name": "lookup", "effect": "safe", "aim": "500 ms", "deadline": "2 s" }],
        "server": [{ "name": "s", "address": server.to_string(), "size": 64, "warm": true }],
    })
}

/// What became of a change, as whoever asked for it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It was acknowledged, after so long.
    Done(Duration),
    /// It was given up everywhere, or turned down.
    GivenUp,
    /// No answer told.
    Unknown,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Played {
    /// What became of each change, by its number.
    pub changes: BTreeMap<u64, Option<Known>>,
    /// What should not have been.
    pub broken: Vec<String>,
    /// Decisions that were looked at.
    pub decisions: usize,
    /// What clients saw.
    pub seen: Vec<Seen>,
    /// What was done to the fleet.
    pub faults: u64,
}

/// A fault that is planted, to see the judge notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// Decisions are told as if those of one instance came late: as one would whose lease is not looked at.
    LateDecisions,
}

/// How a run is played.
pub struct Play<'a> {
    /// Takes the arguments of `canvascart`.
    pub command: &'a [String],
    /// How many instances.
    pub instances: usize,
    /// How many changes are asked for.
    pub changes: u64,
    /// Lines of `[cluster]`.
    pub cluster: &'a str,
    /// What chance is drawn from.
    pub seed: u64,
    /// Where files go.
    pub dir: &'a Path,
    /// A planted fault.
    pub planted: Planted,
}

/// The one tenant, as a configuration has it.
pub(super) fn tables(server: SocketAddr) -> String {
    format!(
        "[[tenant]]\nname = \"a\"\n[tenant.limits]\nin-flight = 1000\n[[tenant.class]]\nname = \"lookup\"\neffect = \
         \"safe\"\naim = \"500 ms\"\ndeadline = \"2 s\"\n[[tenant.server]]\nname = \"s\"\naddress = \"{server}\"\nsize = \
         64\nwarm = true\n"
    )
}

/// A change, as the API takes it.
pub(super) fn body(server: SocketAddr, n: u64) -> String {
    json!({ "tenant": [tenant(server, n)] }).to_string()
}

/// Starts a fleet that takes requests; its one tenant has a server of the lab's.
///
/// # Errors
/// It does not come up.
pub fn begin(play: &Play, server: SocketAddr) -> io::Result<Fleet> {
    let tenants = tables(server);
    let terms = Terms {
        cluster: play.cluster.into(),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(play.command, play.instances, &terms, play.dir)?;
    for i in 0..play.instances {
        fleet.start(i)?;
    }
    fleet.ready()?;
    // As many have a vote as will, so that what is broken next finds the cluster whole.
    let votes = |f: &Fleet| -> Option<usize> {
        let status = f.status(0).ok()?;
        Some(
            status["leader"]["members"]
                .as_array()?
                .iter()
                .filter(|m| m["votes"] == true)
                .count(),
        )
    };
    fleet.wait("those who vote", |f| {
        votes(f).is_some_and(|n| n == VOTERS.min(play.instances))
    })?;
    Ok(fleet)
}

/// Asks for a change at an instance.
fn change(fleet: &Mutex<Fleet>, i: usize, server: SocketAddr, n: u64) -> Known {
    let line = fleet.lock().unwrap_or_else(PoisonError::into_inner).line(i);
    let Ok(mut line) = line else {
        return Known::Unknown;
    };
    let began = Instant::now();
    let body = body(server, n);
    let key = format!("Idempotency-Key: change-{n}\r\n");
    match line.call("POST", "/v1/apply", &key, &body) {
        Ok((200..300, _)) => Known::Done(began.elapsed()),
        Ok((409 | 412 | 422, _)) => Known::GivenUp,
        other => {
            let what =
                other.map(|(status, said)| format!("{status}: {}", String::from_utf8_lossy(&said)));
            tracing::info!(
                n,
                instance = i,
                ?what,
                ms = began.elapsed().as_millis() as u64,
                "a change has no known end"
            );
            Known::Unknown
        }
    }
}

/// The number that an instance's API shows.
fn shown(fleet: &Mutex<Fleet>, i: usize) -> Option<u64> {
    let mut line = fleet
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .line(i)
        .ok()?;
    let limits = line
        .json("GET", "/v1/tenants/a/limits", "", &Value::Null)
        .ok()?;
    limits["in-flight"].as_u64()?.checked_sub(1000)
}

/// Plays changes under faults by chance.
///
/// # Errors
/// The fleet can't be started, or does not come back.
pub fn play(play: &Play, mut tick: impl FnMut(f64)) -> io::Result<Played> {
    let ledger = Ledger::default();
    let server = server(&ledger)?;
    let fleet = Mutex::new(begin(play, server)?);
    let end = AtomicBool::new(false);
    let mut played = Played::default();
    let outcome: io::Result<()> = thread::scope(|threads| {
        let clients: Vec<_> = (0..play.instances)
            .map(|i| {
                threads.spawn({
                    let (f, l, e) = (&fleet, &ledger, &end);
                    move || client(f, i, l, e)
                })
            })
            .collect();
        let changed = drive(play, &fleet, server, &mut played, &mut tick);
        end.store(true, Ordering::Relaxed);
        played.seen = clients.into_iter().filter_map(|c| c.join().ok()).collect();
        changed
    });
    outcome?;
    let mut decisions = ledger.sorted();
    if play.planted == Planted::LateDecisions {
        for d in decisions.iter_mut().filter(|d| d.by == Some(0)) {
            d.at += 200_000;
        }
        decisions.sort_unstable();
    }
    played.decisions = decisions.len();
    for (late, newer) in judge(&decisions).into_iter().take(8) {
        played.broken.push(format!("{late:?} after {newer:?}"));
    }
    Ok(played)
}

/// Breaks an instance in one of the ways that there are.
fn hurt(fleet: &Mutex<Fleet>, i: usize, rng: &mut impl rand::Rng) {
    let mut fleet = fleet.lock().unwrap_or_else(PoisonError::into_inner);
    let count = fleet.count();
    match rng.random_range(0..7) {
        0 => fleet.kill(i),
        1 => fleet.pause(i, true),
        2 => fleet.isolate(i, Mode::Cut),
        3 => fleet.isolate(i, Mode::Hold),
        4 => (0..count).for_each(|to| fleet.link(i, to, Mode::Cut)), // it hears, and is not heard
        5 => (0..count).for_each(|from| fleet.link(from, i, Mode::Hold)), // it is heard, and does not hear
        _ => (0..count).for_each(|to| fleet.delay(i, to, Duration::from_secs(3))), // by more than a lease
    }
}

/// Faults and changes, one after another, and what all know in the end.
fn drive(
    play: &Play,
    fleet: &Mutex<Fleet>,
    server: SocketAddr,
    played: &mut Played,
    tick: &mut impl FnMut(f64),
) -> io::Result<()> {
    let lock = || fleet.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rng = stream(play.seed, Purpose::Faults);
    let count = play.instances;
    let mut down = BTreeSet::new();
    let mut next = 1;
    while next <= play.changes {
        tick(next as f64 / play.changes as f64);
        // Mostly a third is broken at most, so that changes can take hold; now and then 70 % at once.
        let (least, most) = if rng.random_bool(0.1) {
            (count * 7 / 10, count * 7 / 10)
        } else {
            (down.len() + 1, count / 3)
        };
        if rng.random_bool(0.6) {
            while down.len() < least.min(most) {
                let i = rng.random_range(0..count);
                if down.insert(i) {
                    played.faults += 1;
                    hurt(fleet, i, &mut rng);
                }
            }
        }
        // Now and then two are asked for at once, at two instances.
        let both = next < play.changes && rng.random_bool(0.2);
        let asked: Vec<u64> = (next..=next + u64::from(both)).collect();
        next += asked.len() as u64;
        let healthy = |from: usize, down: &BTreeSet<usize>| {
            (0..count)
                .cycle()
                .skip(from)
                .take(count)
                .find(|i| !down.contains(i))
                .unwrap_or(0)
        };
        let mut known = thread::scope(|threads| -> io::Result<Vec<(u64, Known)>> {
            let (tell, told) = mpsc::channel();
            for n in &asked {
                let (n, at, tell) = (*n, healthy(rng.random_range(0..count), &down), tell.clone());
                threads.spawn(move || tell.send((n, change(fleet, at, server, n)))); // whoever drives listens to the end
            }
            drop(tell);
            // Sometimes the one that leads goes in the middle.
            if rng.random_bool(0.15) && down.len() < count / 3 {
                thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                let leader = lock().leader();
                if let Some(leader) = leader.filter(|l| down.insert(*l)) {
                    played.faults += 1;
                    lock().kill(leader);
                }
            }
            // Whatever is broken is mended sooner or later, also while a change waits for it.
            let mut known = Vec::new();
            let patience = Instant::now() + Duration::from_millis(rng.random_range(500..10_000));
            while known.len() < asked.len() {
                match told.recv_timeout(patience.saturating_duration_since(Instant::now())) {
                    Ok(one) => known.push(one),
                    Err(_) => {
                        heal(fleet, &mut down)?;
                        known.extend(told.iter());
                        break;
                    }
                }
            }
            Ok(known)
        })?;
        known.sort_by_key(|(n, _)| *n);
        if known.len() == asked.len() && known.iter().all(|(_, k)| matches!(k, Known::Done(_))) {
            // Whoever has seen a change at one instance sees it at each other.
            if let Some(shown) = shown(fleet, healthy(rng.random_range(0..count), &down))
                && !asked.contains(&shown)
            {
                played.broken.push(format!(
                    "change {shown} is shown after {asked:?} were acknowledged"
                ));
            }
        }
        played.changes.extend(asked.iter().map(|n| (*n, None)));
        played
            .changes
            .extend(known.into_iter().map(|(n, k)| (n, Some(k))));
        if rng.random_bool(0.5) {
            heal(fleet, &mut down)?;
            thread::sleep(Duration::from_millis(rng.random_range(0..400)));
        }
    }
    heal(fleet, &mut down)?;
    lock().ready()?;
    thread::sleep(Duration::from_millis(300));
    history(fleet, play, played)
}

fn heal(fleet: &Mutex<Fleet>, down: &mut BTreeSet<usize>) -> io::Result<()> {
    for i in std::mem::take(down) {
        let mut fleet = fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.isolate(i, Mode::Pass);
        (0..fleet.count()).for_each(|to| fleet.delay(i, to, Duration::ZERO));
        fleet.pause(i, false);
        if !fleet.runs(i) {
            fleet.start(i)?;
        }
    }
    Ok(())
}

/// What the versions hold in the end: each acknowledged change once, none that was given up, and the same at each instance.
fn history(fleet: &Mutex<Fleet>, play: &Play, played: &mut Played) -> io::Result<()> {
    let end = Instant::now() + LONG;
    let mut lines = Vec::new();
    for i in 0..play.instances {
        lines.push(
            fleet
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .line(i)?,
        );
    }
    let versions = |line: &mut super::Line| -> io::Result<Vec<u64>> {
        let all = line.json("GET", "/v1/versions?limit=1000", "", &Value::Null)?;
        let numbers = all["items"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v["number"].as_u64());
        Ok(numbers.collect())
    };
    let mut first = versions(&mut lines[0])?;
    for (i, line) in lines.iter_mut().enumerate() {
        while versions(line)? != first && Instant::now() < end {
            thread::sleep(Duration::from_millis(100));
        }
        if versions(line)? != first {
            played
                .broken
                .push(format!("instance {i} has other versions than the first"));
        }
    }
    first.sort_unstable();
    if first.windows(2).any(|w| w[0] + 1 != w[1]) {
        played
            .broken
            .push("versions have gaps, or were given twice".into());
    }
    let mut there: BTreeMap<u64, u64> = BTreeMap::new();
    for version in &first {
        let document =
            lines[0].json("GET", &format!("/v1/versions/{version}"), "", &Value::Null)?;
        if let Some(n) = document["tenant"][0]["limits"]["in-flight"]
            .as_u64()
            .and_then(|n| n.checked_sub(1000))
        {
            *there.entry(n).or_default() += 1;
        }
    }
    for (n, known) in &played.changes {
        let times = there.get(n).copied().unwrap_or(0);
        let good = match known {
            Some(Known::Done(_)) => times == 1,
            Some(Known::GivenUp) => times == 0,
            _ => times <= 1,
        };
        if !good {
            played.broken.push(format!(
                "change {n}, which is {known:?}, took hold {times} times"
            ));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_decision_under_a_former_version_is_seen_and_one_at_the_same_moment_is_none() {
        let d = |at, version| Decision {
            at,
            version,
            by: None,
        };
        assert_eq!(judge(&[d(1, 1), d(2, 1), d(3, 2), d(4, 2)]), []);
        assert_eq!(
            judge(&[d(1, 1), d(2, 2), d(3, 1), d(4, 2)]),
            [(d(3, 1), d(2, 2))]
        );
        assert_eq!(judge(&[d(2, 1), d(2, 2)]), []);
    }
}
