//! Measures the cost of cluster members by their number, with hollow members in separate processes: messages and bytes by kind,
//! CPU time, memory, and the time until a change is in effect everywhere, also while some members are dead, stalled or starting.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cluster::message::MessageKind;
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::simulation::{Environment, Simulation};
use cluster_runtime::clock;
use cluster_runtime::status::Status;
use rustix::process::{Resource, getrlimit};

use super::hollow::{Counters, Group, GroupSpec, HostRequest, MemberSpec, Reply, TrafficByKind};
use super::{Point, Sweep, target};
use crate::service::changes::{self, DecisionLog};
use crate::service::fleet::Fleet;

/// Number of voting members.
const VOTERS: usize = 3;
/// Number of zones over which members are spread.
const ZONES: usize = 5;
/// Maximum number of members per process.
const MAX_MEMBERS_PER_PROCESS: usize = 100;
/// Maximum number of processes.
const MAX_PROCESSES: usize = 300;
/// Interval at which a wait checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Base timeout until the members have formed a cluster.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Additional timeout per member.
const START_TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(500);
/// Estimated memory of a member without its state, in bytes: twice the measured use.
const MEMBER_BYTES: u64 = 1 << 20;
/// Estimated maximum number of copies of the state in the memory of a member: twice the measured number.
const MAX_STATE_COPIES: u64 = 4;
/// Maximum number of files and sockets of a member, without the leader's connections to each member.
const MAX_FILES: u64 = 16;
/// Maximum number of members, limited by the loopback addresses.
const MAX_MEMBERS: usize = 10_000;

/// Returns the default rules of a cluster.
pub fn rules() -> Rules {
    Rules {
        lease: 15_000_000,
        change_lease: 3_000_000,
        clock_drift_ppm: 20_000,
        change_deadline: 60_000_000,
        partition_policy: PartitionPolicy::Reject,
        voters: VOTERS,
    }
}

/// Options of a measurement of members.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program that takes the arguments of `canvascart`; without one members run on threads of this process.
    pub command: Option<Vec<String>>,
    /// Rules of the cluster.
    pub rules: Rules,
    /// Size of the application state in bytes.
    pub state_bytes: usize,
    /// Size of a change in bytes.
    pub change_bytes: usize,
    /// Duration of the idle measurement, in report periods.
    pub periods: u32,
    /// Number of changes made one after another.
    pub changes: u64,
    /// Duration of changes at the peak rate; zero to skip them.
    pub peak: Duration,
    /// True to measure while some members are killed, stopped and started, and while a zone restarts with empty disks.
    pub with_failures: bool,
    /// True to measure all sizes concurrently: for small sizes, of which counts and bytes are needed, but no times.
    pub concurrent_sizes: bool,
    /// Parent directory of the logs.
    pub dir: PathBuf,
}

/// Resources that the members of a sweep need, estimated before anything is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Number of processes, without the one that measures.
    pub processes: usize,
    /// Memory in bytes.
    pub memory: u64,
    /// Disk space in bytes.
    pub disk: u64,
    /// Maximum number of file descriptors of one process.
    pub descriptors: u64,
}

/// Resources that the machine allows a sweep to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Bytes of memory: half of the machine's.
    pub memory: u64,
    /// Bytes on disk: half of the free space.
    pub disk: u64,
    /// Limit of file descriptors per process.
    pub descriptors: u64,
}

impl Room {
    /// Reads the resources of this machine, with the logs in an existing directory.
    ///
    /// # Errors
    /// The system does not provide the information.
    pub fn here(dir: &Path) -> io::Result<Self> {
        let info = std::fs::read_to_string("/proc/meminfo")?;
        let total = info
            .lines()
            .find_map(|l| l.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
        let total: u64 = total
            .and_then(|t| t.trim().parse().ok())
            .ok_or_else(|| io::Error::other("/proc/meminfo has no valid MemTotal"))?;
        let disk = rustix::fs::statvfs(dir)?;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Ok(Room {
            memory: total * 1024 / 2,
            disk: disk.f_bavail * disk.f_frsize / 2,
            descriptors,
        })
    }
}

impl Needs {
    /// Estimates the resources for a number of members and the size of their state.
    pub fn of(members: usize, state_bytes: usize, threads: bool) -> Self {
        let (count, state) = (members as u64, state_bytes as u64);
        let processes = if threads {
            0
        } else {
            process_sizes(members, learners_per_process(members)).len()
        };
        let own = if threads {
            count
        } else {
            count.min(MAX_MEMBERS_PER_PROCESS as u64)
        } * MAX_FILES;
        Needs {
            processes,
            memory: count * (MEMBER_BYTES + MAX_STATE_COPIES * state),
            disk: count * (2 * MEMBER_BYTES + 3 * state),
            // The leader has a connection to each member, and each member has one to the leader.
            descriptors: 64 + own.max(2 * count + MAX_FILES) + if threads { 2 * count } else { 0 },
        }
    }

    /// Checks that the machine has these resources.
    ///
    /// # Errors
    /// A resource is exceeded; the error names it and its limit.
    pub fn fit(&self, members: usize, room: &Room) -> io::Result<()> {
        let mib = |bytes: u64| bytes >> 20;
        let exceeded = |what: String| {
            Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("members: {members} need {what}"),
            ))
        };
        if self.processes > MAX_PROCESSES {
            return exceeded(format!(
                "{} processes, and {MAX_PROCESSES} are the most",
                self.processes
            ));
        }
        if self.memory > room.memory {
            let half = mib(room.memory);
            return exceeded(format!(
                "{} MiB of memory, and half of the machine's is {half}",
                mib(self.memory)
            ));
        }
        if self.disk > room.disk {
            let half = mib(room.disk);
            return exceeded(format!(
                "{} MiB on disk, and half of what is free is {half}",
                mib(self.disk)
            ));
        }
        if self.descriptors > room.descriptors {
            let limit = room.descriptors;
            return exceeded(format!(
                "{} descriptors in a process, and its limit is {limit}",
                self.descriptors
            ));
        }
        Ok(())
    }
}

/// Role of a group of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A voting member in its own process; the first one creates the cluster and leads it.
    Voter,
    /// Members without a vote.
    Learners,
    /// One percent of the members, without a vote, to be killed and stopped.
    Few,
    /// Nine percent of the members, without a vote, to be killed and stopped.
    Many,
}

/// Returns the number of learners per process such that a zone, a fifth of all members, consists of whole processes.
pub fn learners_per_process(members: usize) -> usize {
    (members / 10).clamp(1, MAX_MEMBERS_PER_PROCESS)
}

/// Divides members over processes with at most `max_learners` learners each.
fn process_sizes(members: usize, max_learners: usize) -> Vec<(Role, usize)> {
    let voters = members.min(VOTERS);
    let mut processes: Vec<(Role, usize)> = (0..voters).map(|_| (Role::Voter, 1)).collect();
    let mut left = members - voters;
    for (role, part) in [
        (Role::Few, members.div_ceil(100)),
        (Role::Many, members / 10),
    ] {
        let more = if role == Role::Many {
            part.saturating_sub(members.div_ceil(100))
        } else {
            part
        };
        let count = more.min(left.saturating_sub(1));
        if count > 0 && members >= 2 * VOTERS {
            processes.push((role, count));
            left -= count;
        }
    }
    while left > 0 {
        processes.push((Role::Learners, left.min(max_learners)));
        left -= left.min(max_learners);
    }
    processes
}

/// Cluster of hollow members.
pub struct Cluster {
    groups: Vec<(Role, Group)>,
    paused: Vec<bool>,
    changes: u64,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (i, (_, group)) in self.groups.iter_mut().enumerate() {
            if self.paused[i] {
                group.pause(false);
            }
            group.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir); // best effort: it contains only logs of the lab
    }
}

/// Counters of all members at one time.
#[derive(Clone, Debug)]
pub struct CounterSnapshot {
    at: Instant,
    /// Role and counters of each group; `None` for a group that is not running or is suspended.
    pub groups: Vec<(Role, Option<Counters>)>,
}

impl CounterSnapshot {
    /// Returns the state of all members in the snapshot.
    pub fn members(&self) -> impl Iterator<Item = &super::hollow::MemberState> {
        self.groups
            .iter()
            .filter_map(|(_, l)| l.as_ref())
            .flat_map(|l| &l.members)
    }

    fn sum(&self, of: fn(&Counters) -> &TrafficByKind) -> TrafficByKind {
        let mut all = TrafficByKind::default();
        for counters in self.groups.iter().filter_map(|(_, l)| l.as_ref()) {
            add_traffic(&mut all, of(counters));
        }
        all
    }
}

fn add_traffic(to: &mut TrafficByKind, from: &TrafficByKind) {
    to.iter_mut()
        .zip(from)
        .for_each(|(t, f)| (0..2).for_each(|i| t[i] += f[i]));
}

fn subtract_traffic(a: &TrafficByKind, b: &TrafficByKind) -> TrafficByKind {
    let mut all = TrafficByKind::default();
    for (k, kind) in all.iter_mut().enumerate() {
        (0..2).for_each(|i| kind[i] = a[k][i].saturating_sub(b[k][i]));
    }
    all
}

fn total(kinds: &TrafficByKind) -> [f64; 2] {
    [0, 1].map(|i| kinds.iter().map(|k| k[i]).sum::<u64>() as f64)
}

/// Returns messages and bytes of all kinds except heartbeats and confirmations, which depend on time and on how busy the
/// members are.
pub(super) fn own_traffic(kinds: &TrafficByKind) -> [f64; 2] {
    let mut kinds = *kinds;
    for kind in [
        MessageKind::Heartbeat,
        MessageKind::HeartbeatResponse,
        MessageKind::ReadIndex,
        MessageKind::ReadIndexResponse,
    ] {
        kinds[kind as usize] = [0, 0];
    }
    total(&kinds)
}

fn check_stop(stop: &AtomicBool) -> io::Result<()> {
    match stop.load(Ordering::Relaxed) {
        true => Err(io::ErrorKind::Interrupted.into()),
        false => Ok(()),
    }
}

impl Cluster {
    /// Starts members, the voting ones first, and waits until all may decide.
    ///
    /// # Errors
    /// The sweep was stopped, a process ended, or the members did not form a cluster in time.
    pub fn start(options: &Options, members: usize, stop: &AtomicBool) -> io::Result<Self> {
        Self::start_with_process_size(options, members, MAX_MEMBERS_PER_PROCESS, stop)
    }

    /// Starts members with at most `max_learners` learners per process; otherwise like [`Cluster::start`].
    ///
    /// # Errors
    /// As [`Cluster::start`].
    pub fn start_with_process_size(
        options: &Options,
        members: usize,
        max_learners: usize,
        stop: &AtomicBool,
    ) -> io::Result<Self> {
        let dir = options.dir.join(format!(
            "hollow-{}-{:x}",
            std::process::id(),
            random_number()
        ));
        match std::fs::remove_dir_all(&dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => std::fs::create_dir_all(&dir)?,
        }
        // Fixed addresses, so that no other process gets the port of a member that is down.
        let (net, port) = (
            16 + random_number() % 200,
            20_000 + random_number() % 10_000,
        );
        let mut all = (0..members).map(|i| MemberSpec {
            name: format!("i{i:04}"),
            address: format!("127.{net}.{}.{}:{port}", i / 250, 1 + i % 250),
            zone: format!("z{}", i % ZONES),
        });
        let processes = process_sizes(members, max_learners);
        let mut groups: Vec<(Role, Group)> = Vec::new();
        let mut peers = BTreeMap::new();
        for (role, count) in processes {
            let members: Vec<MemberSpec> = all.by_ref().take(count).collect();
            if role == Role::Voter {
                peers.extend(members.iter().map(|m| (m.name.clone(), m.address.clone())));
            }
            let spec = GroupSpec {
                members,
                peers: BTreeMap::new(),
                rules: options.rules.clone(),
                state_bytes: options.state_bytes,
                log_entries: 1024,
                directory: dir.clone(),
            };
            groups.push((role, Group::new(spec, options.command.clone())));
        }
        for (_, group) in &mut groups {
            group.set_peers(&peers);
        }
        let paused = vec![false; groups.len()];
        let mut cluster = Cluster {
            groups,
            paused,
            changes: 0,
            dir,
        };
        let voters = members.min(VOTERS);
        for (_, group) in &mut cluster.groups[..voters] {
            group.start()?;
        }
        let end = Instant::now() + START_TIMEOUT + START_TIMEOUT_PER_MEMBER * members as u32;
        while cluster
            .status()?
            .members
            .iter()
            .filter(|m| m.is_voter)
            .count()
            < voters
        {
            cluster.wait(end, stop, "voting members")?;
        }
        for (_, group) in &mut cluster.groups[voters..] {
            group.begin()?;
        }
        for (_, group) in &mut cluster.groups[voters..] {
            group.wait_done()?;
        }
        cluster.wait_all_decide(end, stop)?;
        Ok(cluster)
    }

    /// Waits for one check interval, unless the sweep is stopped or the time has passed.
    fn wait(&self, end: Instant, stop: &AtomicBool, what: &str) -> io::Result<()> {
        check_stop(stop)?;
        if Instant::now() > end {
            return Err(io::Error::other(format!("timed out waiting for {what}")));
        }
        thread::sleep(CHECK_INTERVAL);
        Ok(())
    }

    /// Waits until all running members may decide under the same version; returns the time that took.
    ///
    /// # Errors
    /// It did not happen in time, a member has ended, or the sweep was stopped.
    pub fn wait_all_decide(&mut self, end: Instant, stop: &AtomicBool) -> io::Result<Duration> {
        let began = Instant::now();
        loop {
            let counters = self.read_counters()?;
            if let Some(ended) = counters.members().find_map(|m| m.ended.clone()) {
                return Err(io::Error::other(format!("a member has ended: {ended}")));
            }
            let mut versions: Vec<_> = counters.members().map(|m| m.version).collect();
            versions.dedup();
            if versions.len() == 1 && counters.members().all(|m| m.decides) {
                return Ok(began.elapsed());
            }
            let left = counters.members().filter(|m| !m.decides).count();
            self.wait(
                end,
                stop,
                &format!("{left} members that may not decide yet"),
            )?;
        }
    }

    /// Reads the counters of all running members whose process is not suspended.
    ///
    /// # Errors
    /// A process has ended.
    pub fn read_counters(&mut self) -> io::Result<CounterSnapshot> {
        let asked: Vec<bool> = self
            .groups
            .iter()
            .zip(&self.paused)
            .map(|((_, g), p)| g.is_running() && !p)
            .collect();
        for ((_, group), _) in self
            .groups
            .iter_mut()
            .zip(&asked)
            .filter(|(_, asked)| **asked)
        {
            group.send(&HostRequest::Look)?;
        }
        let at = Instant::now();
        let mut groups = Vec::new();
        for ((role, group), asked) in self.groups.iter_mut().zip(&asked) {
            groups.push((
                *role,
                match asked {
                    false => None,
                    true => match group.reply()? {
                        Reply::Look(counters) => Some(*counters),
                        other => return Err(io::Error::other(format!("{other:?}"))),
                    },
                },
            ));
        }
        Ok(CounterSnapshot { at, groups })
    }

    /// Reads the cluster status from the first member of a group.
    ///
    /// # Errors
    /// Its process has ended.
    pub fn status_of(&mut self, group: usize) -> io::Result<Status> {
        let (_, group) = &mut self.groups[group];
        group.send(&HostRequest::Status)?;
        match group.reply()? {
            Reply::Status(status) => Ok(*status),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    fn status(&mut self) -> io::Result<Status> {
        self.status_of(0)
    }

    /// Returns the group of the leader, according to the running group `asked`.
    ///
    /// # Errors
    /// A process has ended.
    pub fn leader(&mut self, asked: usize) -> io::Result<Option<usize>> {
        let leader = self.status_of(asked)?.leader;
        let leads = |(_, g): &(Role, Group)| {
            g.spec()
                .members
                .iter()
                .any(|m| Some(&m.name) == leader.as_ref())
        };
        Ok(self.groups.iter().position(leads))
    }

    /// Makes a change through the first member of a group; returns the times until its response and until the last member serves
    /// it, in ms.
    ///
    /// # Errors
    /// The change failed, or a process ended.
    pub fn change(&mut self, by: usize, bytes: usize, stop: &AtomicBool) -> io::Result<[f64; 2]> {
        self.changes += 1;
        let before = self
            .read_counters()?
            .members()
            .filter_map(|m| m.version)
            .max()
            .unwrap_or(0);
        let began = clock::now();
        let (id, group) = (format!("c{}", self.changes), &mut self.groups[by].1);
        group.send(&HostRequest::Change(id, bytes))?;
        group.wait_done()?;
        let answered = clock::now();
        let end = Instant::now() + START_TIMEOUT;
        let last = loop {
            let counters = self.read_counters()?;
            let at = |m: &super::hollow::MemberState| {
                m.served
                    .iter()
                    .find(|(version, _)| *version > before)
                    .map(|(_, at)| *at)
            };
            let served: Option<Vec<u64>> = counters.members().map(at).collect();
            if let Some(last) = served.and_then(|s| s.into_iter().max()) {
                break last;
            }
            self.wait(end, stop, "the last member to serve a change")?;
        };
        let ms = |at: Micros| at.saturating_sub(began) as f64 / 1000.0;
        Ok([ms(answered), ms(last)])
    }

    /// Returns the groups with one of the roles.
    pub fn of(&self, roles: &[Role]) -> Vec<usize> {
        (0..self.groups.len())
            .filter(|i| roles.contains(&self.groups[*i].0))
            .collect()
    }

    /// Returns the number of members of a group.
    pub fn count(&self, group: usize) -> usize {
        self.groups[group].1.count()
    }

    /// Kills the members of a group.
    pub fn kill(&mut self, group: usize) {
        self.groups[group].1.kill();
    }

    /// Starts groups at the same time.
    ///
    /// # Errors
    /// A group could not be started.
    pub fn restart(&mut self, groups: &[usize]) -> io::Result<()> {
        groups.iter().try_for_each(|i| self.groups[*i].1.begin())?;
        groups
            .iter()
            .try_for_each(|i| self.groups[*i].1.wait_done())
    }

    /// Returns the size on disk of a group's logs, in bytes.
    ///
    /// # Errors
    /// The logs can't be read.
    pub fn disk(&self, group: usize) -> io::Result<u64> {
        let mut bytes = 0;
        let spec = self.groups[group].1.spec();
        for member in &spec.members {
            for file in std::fs::read_dir(spec.directory.join(&member.name))? {
                bytes += file?.metadata()?.len();
            }
        }
        Ok(bytes)
    }

    /// Removes the logs of a group that is not running.
    ///
    /// # Errors
    /// The logs can't be removed.
    pub fn remove_logs(&self, group: usize) -> io::Result<()> {
        let spec = self.groups[group].1.spec();
        spec.members
            .iter()
            .try_for_each(|m| std::fs::remove_dir_all(spec.directory.join(&m.name)))
    }

    /// Suspends or resumes a group's process.
    pub fn pause(&mut self, group: usize, paused: bool) {
        self.paused[group] = paused;
        self.groups[group].1.pause(paused);
    }
}

/// Returns a random number.
pub(super) fn random_number() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// Returns the traffic between two snapshots, sent and received by kind, and the time between them in seconds.
pub fn traffic_between(
    before: &CounterSnapshot,
    after: &CounterSnapshot,
) -> (TrafficByKind, TrafficByKind, f64) {
    let out = subtract_traffic(&after.sum(|l| &l.out), &before.sum(|l| &l.out));
    let incoming = subtract_traffic(&after.sum(|l| &l.incoming), &before.sum(|l| &l.incoming));
    (
        out,
        incoming,
        after.at.duration_since(before.at).as_secs_f64(),
    )
}

/// Returns the CPU time of selected groups between two snapshots, in percent of a core per member.
fn cpu_percent(
    before: &CounterSnapshot,
    after: &CounterSnapshot,
    of: impl Fn(usize, Role) -> bool,
) -> f64 {
    let span = after.at.duration_since(before.at).as_secs_f64();
    let (mut us, mut members) = (0, 0);
    for (i, ((role, a), (_, b))) in after.groups.iter().zip(&before.groups).enumerate() {
        if let (Some(a), Some(b), true) = (a, b, of(i, *role)) {
            us += a.cpu_us.saturating_sub(b.cpu_us);
            members += a.members.len();
        }
    }
    us as f64 / 1e4 / span / members.max(1) as f64
}

/// Returns the duration of the idle measurement, a whole number of report periods.
fn idle_duration(options: &Options) -> Duration {
    Duration::from_micros(options.rules.lease / 5) * options.periods
}

/// Adds the figures of idle members between two snapshots.
fn add_idle_figures(point: &mut Point, before: &CounterSnapshot, after: &CounterSnapshot) {
    let (out, incoming, span) = traffic_between(before, after);
    let count = after.members().count() as f64;
    let mut put = |name: String, value: f64| _ = point.figures.insert(name, value);
    for (way, kinds) in [("out", &out), ("in", &incoming)] {
        let [messages, bytes] = total(kinds);
        put(format!("messages {way} /s member"), messages / span / count);
        put(format!("bytes {way} /s member"), bytes / span / count);
    }
    for kind in MessageKind::ALL {
        let [messages, bytes] = out[kind as usize];
        put(format!("{} /s", kind.name()), messages as f64 / span);
        put(format!("{} bytes /s", kind.name()), bytes as f64 / span);
    }
    let leader = |i: usize, _| i == 0;
    if let (Some(a), Some(b)) = (&after.groups[0].1, &before.groups[0].1) {
        let (sent, got) = (
            total(&subtract_traffic(&a.out, &b.out)),
            total(&subtract_traffic(&a.incoming, &b.incoming)),
        );
        put("leader messages out /s".into(), sent[0] / span);
        put("leader bytes out /s".into(), sent[1] / span);
        put("leader bytes in /s".into(), got[1] / span);
    }
    put("leader cpu %".into(), cpu_percent(before, after, leader));
    put(
        "voter cpu %".into(),
        cpu_percent(before, after, |i, role| i > 0 && role == Role::Voter),
    );
    put(
        "learner cpu %".into(),
        cpu_percent(before, after, |_, role| role != Role::Voter),
    );
    let mib = |of: &dyn Fn(usize, Role) -> bool| {
        let group_counters = after
            .groups
            .iter()
            .enumerate()
            .filter(|(i, (role, _))| of(*i, *role));
        let group_counters: Vec<&Counters> = group_counters
            .filter_map(|(_, (_, l))| l.as_ref())
            .collect();
        let members: usize = group_counters.iter().map(|l| l.members.len()).sum();
        group_counters.iter().map(|l| l.memory).sum::<u64>() as f64
            / members.max(1) as f64
            / f64::from(1 << 20)
    };
    put("leader MiB".into(), mib(&leader));
    put(
        "learner MiB each".into(),
        mib(&|_, role| role != Role::Voter),
    );
}

/// Adds the traffic of a change beyond that of idle members. `idle` and `changed` have the traffic and its duration in
/// seconds.
fn add_change_figures(
    point: &mut Point,
    idle: (&TrafficByKind, f64),
    changed: (&TrafficByKind, f64),
    changes: f64,
) {
    let each = |of: &dyn Fn(&TrafficByKind) -> [f64; 2]| {
        let (rest, all) = (of(idle.0), of(changed.0));
        [0, 1].map(|i| (all[i] - rest[i] / idle.1 * changed.1) / changes)
    };
    let kind =
        |kind: MessageKind| move |kinds: &TrafficByKind| kinds[kind as usize].map(|n| n as f64);
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    let [messages, bytes] = each(&total);
    put("change messages", messages);
    put("change bytes", bytes);
    // Heartbeats depend on time, and confirmations on how many reports are confirmed together; the rest belongs to the change.
    let [messages, bytes] = each(&own_traffic);
    put("change own messages", messages);
    put("change own bytes", bytes);
    for k in MessageKind::ALL {
        let [messages, bytes] = each(&kind(k));
        put(&format!("change {}", k.name()), messages);
        if messages >= 1.0 {
            put(&format!("bytes a change's {}", k.name()), bytes / messages);
        }
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Measures one size. On an error the point keeps the figures measured so far.
///
/// # Errors
/// A process ended, a wait timed out, or the sweep was stopped.
pub fn measure(
    options: &Options,
    members: usize,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    point.sizes.insert("members".into(), members as f64);
    let began = Instant::now();
    let mut cluster = Cluster::start(options, members, stop)?;
    point
        .figures
        .insert("all joined s".into(), began.elapsed().as_secs_f64());
    let period = Duration::from_micros(options.rules.lease / 5);
    thread::sleep(2 * period);
    check_stop(stop)?;
    let before = cluster.read_counters()?;
    thread::sleep(idle_duration(options));
    let after = cluster.read_counters()?;
    add_idle_figures(point, &before, &after);
    let (idle_out, _, idle_span) = traffic_between(&before, &after);

    let before = cluster.read_counters()?;
    let mut times = Vec::new();
    for _ in 0..options.changes {
        times.push(cluster.change(0, options.change_bytes, stop)?);
    }
    thread::sleep(period);
    let after = cluster.read_counters()?;
    if !times.is_empty() {
        let (out, _, span) = traffic_between(&before, &after);
        add_change_figures(
            point,
            (&idle_out, idle_span),
            (&out, span),
            times.len() as f64,
        );
        let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
        put(
            "change answered ms",
            median(&times.iter().map(|t| t[0]).collect::<Vec<_>>()),
        );
        put(
            "change everywhere ms",
            median(&times.iter().map(|t| t[1]).collect::<Vec<_>>()),
        );
        put(
            "change everywhere longest ms",
            times.iter().map(|t| t[1]).fold(0.0, f64::max),
        );
    }
    if !options.peak.is_zero() {
        measure_peak(options, &mut cluster, point, stop)?;
    }
    if options.with_failures {
        measure_with_failures(options, &mut cluster, point, stop)?;
    }
    Ok(())
}

/// Measures changes at twenty times the average rate of the day, one every 1.5 s.
fn measure_peak(
    options: &Options,
    cluster: &mut Cluster,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let pace = Duration::from_secs_f64(86_400.0 / target::CHANGES / 20.0);
    let (before, began) = (cluster.read_counters()?, Instant::now());
    let (mut times, mut late): (Vec<f64>, f64) = (Vec::new(), 0.0);
    for n in 0.. {
        let due = began + pace * n;
        if due > began + options.peak {
            break;
        }
        check_stop(stop)?;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        late = late.max(Instant::now().duration_since(due).as_secs_f64());
        times.push(cluster.change(0, options.change_bytes, stop)?[1]);
    }
    let after = cluster.read_counters()?;
    let (out, _, span) = traffic_between(&before, &after);
    let count = after.members().count() as f64;
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    put("peak changes", times.len() as f64);
    put("peak bytes out /s member", total(&out)[1] / span / count);
    put("peak messages out /s member", total(&out)[0] / span / count);
    put(
        "peak leader cpu %",
        cpu_percent(&before, &after, |i, _| i == 0),
    );
    put(
        "peak learner cpu %",
        cpu_percent(&before, &after, |_, role| role != Role::Voter),
    );
    put("peak everywhere ms", median(&times));
    put(
        "peak everywhere longest ms",
        times.iter().copied().fold(0.0, f64::max),
    );
    put("peak begun late s", late);
    Ok(())
}

/// Measures changes while a part of the members is killed, started and stopped.
fn measure_with_failures(
    options: &Options,
    cluster: &mut Cluster,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let deadline = || Instant::now() + START_TIMEOUT * 2;
    for (part, roles) in [
        ("1 %", &[Role::Few][..]),
        ("10 %", &[Role::Few, Role::Many]),
    ] {
        let groups = cluster.of(roles);
        let affected: usize = groups.iter().map(|g| cluster.count(*g)).sum();
        let mut put =
            |name: &str, value: f64| _ = point.figures.insert(format!("{part} {name}"), value);
        put("are", affected as f64);
        groups.iter().for_each(|g| cluster.kill(*g));
        put(
            "dead: first change ms",
            cluster.change(0, options.change_bytes, stop)?[1],
        );
        put(
            "dead: next change ms",
            cluster.change(0, options.change_bytes, stop)?[1],
        );
        let began = Instant::now();
        cluster.restart(&groups)?;
        put(
            "starting: change ms",
            cluster.change(0, options.change_bytes, stop)?[1],
        );
        cluster.wait_all_decide(deadline(), stop)?;
        put("starting: all decide s", began.elapsed().as_secs_f64());
        if options.command.is_some() {
            groups.iter().for_each(|g| cluster.pause(*g, true));
            put(
                "stalled: first change ms",
                cluster.change(0, options.change_bytes, stop)?[1],
            );
            put(
                "stalled: next change ms",
                cluster.change(0, options.change_bytes, stop)?[1],
            );
            groups.iter().for_each(|g| cluster.pause(*g, false));
            cluster.wait_all_decide(deadline(), stop)?;
        }
    }
    Ok(())
}

/// Checks that sizes are valid and that the machine has the resources for them.
///
/// # Errors
/// The first size that is zero or exceeds the resources.
pub fn check_sizes(options: &Options, sizes: &[usize]) -> io::Result<()> {
    let bad = |what: String| Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    if sizes.is_empty() {
        return bad("members: no size is named".into());
    }
    std::fs::create_dir_all(&options.dir)?;
    let room = Room::here(&options.dir)?;
    for members in sizes {
        if *members == 0 {
            return bad("members: 0 are no cluster".into());
        }
        if *members > MAX_MEMBERS {
            return bad(format!(
                "members: {members} are more than the {MAX_MEMBERS} that have addresses here"
            ));
        }
        Needs::of(*members, options.state_bytes, options.command.is_none()).fit(*members, &room)?;
    }
    if options.concurrent_sizes {
        // Memory and disk use of concurrent sizes add up; descriptors are limited per process.
        let all = sizes.iter().sum();
        Needs {
            descriptors: 0,
            ..Needs::of(all, options.state_bytes, options.command.is_none())
        }
        .fit(all, &room)?;
    }
    Ok(())
}

/// Measures each size, one after another or concurrently. A failed size adds a void point, an interrupted one no point.
pub(super) fn measure_each(
    sweep: &mut Sweep,
    sizes: &[usize],
    options: &Options,
    mut report: impl FnMut(&Sweep),
    measure_size: impl Fn(usize, &mut Point) -> io::Result<()> + Sync,
) {
    let one = |size: usize| {
        let mut point = Point::default();
        add_load_average(&mut point);
        match measure_size(size, &mut point) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return None,
            Err(e) => point.void = Some(e.to_string()),
            Ok(()) => {}
        }
        Some(point)
    };
    let panicked = || Point {
        void: Some("the measurement panicked".into()),
        ..Point::default()
    };
    let at_once = if options.concurrent_sizes {
        sizes.len().max(1)
    } else {
        1
    };
    for sizes in sizes.chunks(at_once) {
        let points: Vec<Option<Point>> = thread::scope(|threads| {
            let all: Vec<_> = sizes
                .iter()
                .map(|size| threads.spawn(|| one(*size)))
                .collect();
            all.into_iter()
                .map(|one| one.join().unwrap_or_else(|_| Some(panicked())))
                .collect()
        });
        sweep.partial |= points.contains(&None);
        sweep.points.extend(points.into_iter().flatten());
        report(sweep);
        if sweep.partial {
            return;
        }
    }
}

/// Sweeps over numbers of members. `report` is called after each point; when `stop` is set the sweep ends and is partial.
///
/// # Errors
/// A size is zero or exceeds the resources of the machine; nothing was started.
pub fn sweep(
    options: &Options,
    sizes: &[usize],
    stop: &AtomicBool,
    report: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    check_sizes(options, sizes)?;
    let list: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let command = format!("canvascart lab members members --sizes {}", list.join(","));
    let mut sweep = Sweep {
        name: "members".into(),
        command,
        ..Sweep::default()
    };
    measure_each(&mut sweep, sizes, options, report, |members, point| {
        measure(options, members, point, stop)
    });
    for figure in LINE_FIGURES {
        sweep.line(figure, "members", target::PROXIES);
    }
    add_square_line(&mut sweep);
    Ok(sweep)
}

/// Adds the line of the figure that grows with the square of the number of members.
fn add_square_line(sweep: &mut Sweep) {
    for point in &mut sweep.points {
        if let Some(n) = point.sizes.get("members").copied() {
            point.sizes.insert("members squared".into(), n * n);
        }
    }
    sweep.line(
        "confirmation /s",
        "members squared",
        target::PROXIES.powi(2),
    );
}

/// Figures for which a line is fitted.
const LINE_FIGURES: [&str; 16] = [
    "messages out /s member",
    "bytes out /s member",
    "bytes in /s member",
    "confirmation /s",
    "heartbeat /s",
    "report /s",
    "leader messages out /s",
    "leader bytes out /s",
    "leader cpu %",
    "voter cpu %",
    "learner cpu %",
    "learner MiB each",
    "change own messages",
    "change own bytes",
    "change everywhere ms",
    "peak everywhere ms",
];

/// Adds the load average of the machine to a point.
pub(super) fn add_load_average(point: &mut Point) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    if let Some(load) = load.split(' ').next().and_then(|l| l.parse().ok()) {
        point.figures.insert("load average before".into(), load);
    }
}

/// Parses the sent messages and bytes by kind from a member's figures.
fn parse_traffic(text: &str) -> io::Result<TrafficByKind> {
    let mut kinds = TrafficByKind::default();
    for (i, name) in ["messages_total", "message_bytes_total"]
        .into_iter()
        .enumerate()
    {
        let (mut any, name) = (false, format!("canvascart_cluster_{name}{{kind=\""));
        for (kind, value) in text
            .lines()
            .filter_map(|l| l.strip_prefix(&name)?.split_once("\"} "))
        {
            let invalid = || {
                io::Error::other(format!(
                    "{name}{kind} {value}: unknown kind or invalid number"
                ))
            };
            let kind = MessageKind::ALL
                .into_iter()
                .find(|k| k.name() == kind)
                .ok_or_else(invalid)?;
            kinds[kind as usize][i] = value.trim().parse().map_err(|_| invalid())?;
            any = true;
        }
        if !any {
            return Err(io::Error::other(format!("no {name} in the figures")));
        }
    }
    Ok(kinds)
}

/// Measures real `serve` processes by their figures, which cause no cluster traffic. Also returns the size in bytes of the log
/// entry of a change, so that hollow members can use changes of the same size.
///
/// # Errors
/// The processes could not be started, or a change failed.
pub fn measure_processes(
    options: &Options,
    members: usize,
    seed: u64,
) -> io::Result<(Point, usize)> {
    let command = options
        .command
        .clone()
        .ok_or_else(|| io::Error::other("the command is empty"))?;
    let dir = options
        .dir
        .join(format!("real-{}-{:x}", std::process::id(), random_number()));
    let served = changes::start_server(&DecisionLog::default())?;
    let fleet = changes::start_fleet(
        &changes::RunOptions {
            command: &command,
            instances: members,
            changes: 0,
            cluster: "",
            seed,
            dir: &dir,
            injected_fault: changes::InjectedFault::None,
        },
        served,
    )?;
    let sent = |fleet: &Fleet| -> io::Result<TrafficByKind> {
        let mut all = TrafficByKind::default();
        for i in 0..members {
            let (_, text) = fleet
                .admin_connection(i)?
                .call("GET", "/v1/figures", "", "")?;
            add_traffic(&mut all, &parse_traffic(&String::from_utf8_lossy(&text))?);
        }
        Ok(all)
    };
    let leader = fleet
        .leader()
        .ok_or_else(|| io::Error::other("the cluster has no leader"))?;
    let mut admin = fleet.admin_connection(leader)?;
    let period = Duration::from_micros(options.rules.lease / 5);
    thread::sleep(2 * period);
    let (before, began) = (sent(&fleet)?, Instant::now());
    thread::sleep(idle_duration(options));
    let (after, span) = (sent(&fleet)?, began.elapsed().as_secs_f64());
    let (idle, idle_span) = (subtract_traffic(&after, &before), span);
    let mut point = Point::default();
    point.sizes.insert("members".into(), members as f64);
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    let rest = total(&idle).map(|n| n / idle_span / members as f64);
    put("messages out /s member", rest[0]);
    put("bytes out /s member", rest[1]);
    let (before, began) = (sent(&fleet)?, Instant::now());
    for n in 0..options.changes {
        let body = serde_json::json!({ "in-flight": 1001 + n });
        admin.json("PUT", "/v1/tenants/a/limits", "If-Match: *\r\n", &body)?;
    }
    thread::sleep(period);
    let (after, span) = (sent(&fleet)?, began.elapsed().as_secs_f64());
    if options.changes > 0 {
        let changed = subtract_traffic(&after, &before);
        add_change_figures(
            &mut point,
            (&idle, idle_span),
            (&changed, span),
            options.changes as f64,
        );
    }
    let state = fleet.state(leader).to_owned();
    drop(fleet);
    let (_, logged) = config_store::raft_log::RaftLog::open(&state)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let proposes = |e: &&Vec<u8>| e.windows(11).any(|w| w == b"{\"propose\":");
    let entry = logged
        .entries
        .iter()
        .filter(proposes)
        .map(Vec::len)
        .max()
        .unwrap_or(0);
    let _ = std::fs::remove_dir_all(&dir); // best effort: it contains only state of the lab
    Ok((point, entry))
}

/// Sweeps over numbers of members, simulated in virtual time.
///
/// # Errors
/// A size is zero.
pub fn virtual_sweep(
    options: &Options,
    sizes: &[usize],
    seed: u64,
    stop: &AtomicBool,
    mut report: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    if sizes.contains(&0) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "members: 0 are no cluster",
        ));
    }
    let list: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let command = format!("canvascart lab members virtual --sizes {}", list.join(","));
    let mut sweep = Sweep {
        name: "members in virtual time".into(),
        command,
        ..Sweep::default()
    };
    for members in sizes {
        let sizes = [("members".to_owned(), *members as f64)].into();
        let point = measure_in_virtual_time(*members, &options.rules, options.changes, seed)
            .unwrap_or_else(|why| Point {
                sizes,
                figures: BTreeMap::new(),
                void: Some(why),
            });
        sweep.points.push(point);
        report(&sweep);
        if stop.load(Ordering::Relaxed) {
            sweep.partial = true;
            break;
        }
    }
    for figure in [
        "messages out /s member",
        "bytes out /s member",
        "confirmation /s",
        "report /s",
    ] {
        sweep.line(figure, "members", target::PROXIES);
    }
    add_square_line(&mut sweep);
    Ok(sweep)
}

/// Measures members in virtual time: messages and bytes per second and member when idle, messages by kind, and messages per
/// change.
///
/// # Errors
/// The members did not form a cluster in time, or a change did not end.
pub fn measure_in_virtual_time(
    members: usize,
    rules: &Rules,
    changes: u64,
    seed: u64,
) -> Result<Point, String> {
    let second = 1_000_000;
    let mut sim = Simulation::new(members, ZONES, rules, Environment::default(), seed);
    let end = sim.now + 300 * second;
    if !sim.run_until(end, |s| {
        (0..s.count()).all(|i| s.permitted_version(i).is_some())
    }) {
        return Err("not all members may decide".into());
    }
    let period = rules.lease / 5;
    sim.run(4 * period);
    let sent = sim.traffic;
    sim.run(8 * period);
    let span = (8 * period) as f64 / 1e6;
    let mut point = Point::default();
    point.sizes.insert("members".into(), members as f64);
    let mut put = |name: String, value: f64| _ = point.figures.insert(name, value);
    let rest = [
        (sim.traffic.messages - sent.messages) as f64 / span,
        (sim.traffic.bytes - sent.bytes) as f64 / span,
    ];
    put("messages out /s member".into(), rest[0] / members as f64);
    put("bytes out /s member".into(), rest[1] / members as f64);
    for kind in MessageKind::ALL {
        let n = sim.traffic.messages_by_kind[kind as usize] - sent.messages_by_kind[kind as usize];
        put(format!("{} /s", kind.name()), n as f64 / span);
    }
    let (sent, began) = (sim.traffic, sim.now);
    let mut everywhere = Vec::new();
    for n in 0..changes {
        let id = format!("c{n}");
        let end = sim.now + 120 * second;
        while sim.propose_change(&id).is_err() && sim.now < end {
            sim.run(10_000);
        }
        if !sim.run_until(end, |s| {
            s.changes()
                .get(&id)
                .is_some_and(|p| p.effective_everywhere_at.is_some())
        }) {
            return Err(format!("change {id} is not in effect everywhere"));
        }
        if let Some((Some(at), asked)) = sim
            .changes()
            .get(&id)
            .map(|p| (p.effective_everywhere_at, p.proposed_at))
        {
            everywhere.push((at - asked) as f64 / 1000.0);
        }
        sim.run(second);
    }
    if changes > 0 {
        let span = (sim.now - began) as f64 / 1e6;
        let n = changes as f64;
        put(
            "change messages".into(),
            ((sim.traffic.messages - sent.messages) as f64 - rest[0] * span) / n,
        );
        put("change everywhere ms".into(), median(&everywhere));
    }
    Ok(point)
}
