//! What members cost as there are more of them: messages and bytes by kind, processor time, memory, and a change's time until it is in
//! force everywhere, with some dead, stalled or starting. Hollow members, in processes of their own.

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

use super::hollow::{Group, Kinds, Look, One, Order, Reply, Spec};
use super::{Point, Sweep, target};
use crate::service::changes::{self, DecisionLog};
use crate::service::fleet::Fleet;

/// Members with a vote.
const VOTERS: usize = 3;
/// Zones that members are spread over.
const ZONES: usize = 5;
/// Members that share a process, at most.
const SHARE: usize = 100;
/// Processes at most.
const PROCESSES: usize = 300;
/// From one look to the next while something is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// How long members may take to be a cluster: so long, and so much more for each.
const PATIENCE: Duration = Duration::from_secs(60);
/// As above.
const PATIENCE_EACH: Duration = Duration::from_millis(500);
/// Memory of a member without its state, for the estimate of what a sweep needs: twice what was measured.
const MEMBER: u64 = 1 << 20;
/// Copies of the state that a member holds at once at most, likewise.
const COPIES: u64 = 4;
/// Files and sockets of a member at most, beside those of the leader to each.
const FILES: u64 = 16;
/// Members at most, as many as have addresses.
const MOST: usize = 10_000;

/// What all members of the platform go by without a word in their configuration.
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

/// How members are played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Takes the arguments of `canvascart`; without it members run on threads of this process.
    pub command: Option<Vec<String>>,
    /// What all go by.
    pub rules: Rules,
    /// Bytes of the application's state.
    pub state_bytes: usize,
    /// Bytes of a change.
    pub change_bytes: usize,
    /// Reports of each member while they are idle.
    pub periods: u32,
    /// Changes one after another.
    pub changes: u64,
    /// How long changes come at the peak's rate; none without.
    pub peak: Duration,
    /// Whether some are killed, stopped and started, and a zone comes back with empty disks.
    pub hurt: bool,
    /// Whether sizes are played side by side: for small ones, of which counts and bytes are wanted and not times.
    pub side_by_side: bool,
    /// Where logs go.
    pub dir: PathBuf,
}

/// What the members of a sweep need, worked out before anything starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Processes, without the one that plays.
    pub processes: usize,
    /// Bytes of memory.
    pub memory: u64,
    /// Bytes on disk.
    pub disk: u64,
    /// Descriptors of the process that needs most.
    pub descriptors: u64,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Bytes of memory: half of the machine's.
    pub memory: u64,
    /// Bytes on disk: half of what is free.
    pub disk: u64,
    /// Descriptors of a process.
    pub descriptors: u64,
}

impl Room {
    /// What this machine allows, with logs in a directory that is there.
    ///
    /// # Errors
    /// The system does not say.
    pub fn here(dir: &Path) -> io::Result<Self> {
        let info = std::fs::read_to_string("/proc/meminfo")?;
        let total = info
            .lines()
            .find_map(|l| l.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
        let total: u64 = total
            .and_then(|t| t.trim().parse().ok())
            .ok_or_else(|| io::Error::other("/proc/meminfo"))?;
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
    /// What so many members with a state of so many bytes need.
    pub fn of(members: usize, state_bytes: usize, threads: bool) -> Self {
        let (count, state) = (members as u64, state_bytes as u64);
        let processes = if threads {
            0
        } else {
            shares(members, tenth(members)).len()
        };
        let own = if threads {
            count
        } else {
            count.min(SHARE as u64)
        } * FILES;
        Needs {
            processes,
            memory: count * (MEMBER + COPIES * state),
            disk: count * (2 * MEMBER + 3 * state),
            // The leader has a link to each member, and each has one to it.
            descriptors: 64 + own.max(2 * count + FILES) + if threads { 2 * count } else { 0 },
        }
    }

    /// Refuses what goes beyond the machine.
    ///
    /// # Errors
    /// What goes beyond it, in a line that names it and the limit.
    pub fn fit(&self, members: usize, room: &Room) -> io::Result<()> {
        let mib = |bytes: u64| bytes >> 20;
        let beyond = |what: String| {
            Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("members: {members} need {what}"),
            ))
        };
        if self.processes > PROCESSES {
            return beyond(format!(
                "{} processes, and {PROCESSES} are the most",
                self.processes
            ));
        }
        if self.memory > room.memory {
            let half = mib(room.memory);
            return beyond(format!(
                "{} MiB of memory, and half of the machine's is {half}",
                mib(self.memory)
            ));
        }
        if self.disk > room.disk {
            let half = mib(room.disk);
            return beyond(format!(
                "{} MiB on disk, and half of what is free is {half}",
                mib(self.disk)
            ));
        }
        if self.descriptors > room.descriptors {
            let limit = room.descriptors;
            return beyond(format!(
                "{} descriptors in a process, and its limit is {limit}",
                self.descriptors
            ));
        }
        Ok(())
    }
}

/// What a group of members is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The founder, which leads, and the two others with a vote; each alone.
    Voter,
    /// Those without a vote.
    Learners,
    /// One of a hundred, to be killed and stopped.
    Few,
    /// Nine of a hundred, likewise.
    Many,
}

/// Learners that share a process where a zone, which is a fifth of all, has to be a number of whole processes.
pub fn tenth(members: usize) -> usize {
    (members / 10).clamp(1, SHARE)
}

/// How members are divided over processes, so many learners in one at most.
fn shares(members: usize, share: usize) -> Vec<(Role, usize)> {
    let voters = members.min(VOTERS);
    let mut shares: Vec<(Role, usize)> = (0..voters).map(|_| (Role::Voter, 1)).collect();
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
            shares.push((role, count));
            left -= count;
        }
    }
    while left > 0 {
        shares.push((Role::Learners, left.min(share)));
        left -= left.min(share);
    }
    shares
}

/// Hollow members that act as one cluster.
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
        let _ = std::fs::remove_dir_all(&self.dir); // nothing but logs of the lab's
    }
}

/// What there was of all members at one moment.
#[derive(Clone, Debug)]
pub struct Sight {
    at: Instant,
    /// By group: its role, and what there was of it; none of one that does not run.
    pub groups: Vec<(Role, Option<Look>)>,
}

impl Sight {
    /// All members that were seen.
    pub fn members(&self) -> impl Iterator<Item = &super::hollow::Seen> {
        self.groups
            .iter()
            .filter_map(|(_, l)| l.as_ref())
            .flat_map(|l| &l.members)
    }

    fn sum(&self, of: fn(&Look) -> &Kinds) -> Kinds {
        let mut all = Kinds::default();
        for look in self.groups.iter().filter_map(|(_, l)| l.as_ref()) {
            add(&mut all, of(look));
        }
        all
    }
}

fn add(to: &mut Kinds, from: &Kinds) {
    to.iter_mut()
        .zip(from)
        .for_each(|(t, f)| (0..2).for_each(|i| t[i] += f[i]));
}

fn less(a: &Kinds, b: &Kinds) -> Kinds {
    let mut all = Kinds::default();
    for (k, kind) in all.iter_mut().enumerate() {
        (0..2).for_each(|i| kind[i] = a[k][i].saturating_sub(b[k][i]));
    }
    all
}

fn total(kinds: &Kinds) -> [f64; 2] {
    [0, 1].map(|i| kinds.iter().map(|k| k[i]).sum::<u64>() as f64)
}

/// All but heartbeats and confirmations, which come by time and by how busy the members are.
pub(super) fn own(kinds: &Kinds) -> [f64; 2] {
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

fn interrupted(stop: &AtomicBool) -> io::Result<()> {
    match stop.load(Ordering::Relaxed) {
        true => Err(io::ErrorKind::Interrupted.into()),
        false => Ok(()),
    }
}

impl Cluster {
    /// Starts so many members, those with a vote first, and waits until all may decide.
    ///
    /// # Errors
    /// It was stopped, a process died, or they were no cluster in time.
    pub fn start(play: &Play, members: usize, stop: &AtomicBool) -> io::Result<Self> {
        Self::shared(play, members, SHARE, stop)
    }

    /// The same with so many learners in a process at most.
    ///
    /// # Errors
    /// As [`Cluster::start`].
    pub fn shared(
        play: &Play,
        members: usize,
        share: usize,
        stop: &AtomicBool,
    ) -> io::Result<Self> {
        let dir = play
            .dir
            .join(format!("hollow-{}-{:x}", std::process::id(), drawn()));
        match std::fs::remove_dir_all(&dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => std::fs::create_dir_all(&dir)?,
        }
        // Addresses of their own, as a port that a dead member had may not be another's meanwhile.
        let (net, port) = (16 + drawn() % 200, 20_000 + drawn() % 10_000);
        let mut all = (0..members).map(|i| One {
            name: format!("i{i:04}"),
            address: format!("127.{net}.{}.{}:{port}", i / 250, 1 + i % 250),
            zone: format!("z{}", i % ZONES),
        });
        let shares = shares(members, share);
        let mut groups: Vec<(Role, Group)> = Vec::new();
        let mut peers = BTreeMap::new();
        for (role, count) in shares {
            let members: Vec<One> = all.by_ref().take(count).collect();
            if role == Role::Voter {
                peers.extend(members.iter().map(|m| (m.name.clone(), m.address.clone())));
            }
            let spec = Spec {
                members,
                peers: BTreeMap::new(),
                rules: play.rules.clone(),
                state_bytes: play.state_bytes,
                log_entries: 1024,
                directory: dir.clone(),
            };
            groups.push((role, Group::new(spec, play.command.clone())));
        }
        for (_, group) in &mut groups {
            group.know(&peers);
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
        let end = Instant::now() + PATIENCE + PATIENCE_EACH * members as u32;
        while cluster
            .status()?
            .members
            .iter()
            .filter(|m| m.is_voter)
            .count()
            < voters
        {
            cluster.wait(end, stop, "those who vote")?;
        }
        for (_, group) in &mut cluster.groups[voters..] {
            group.begin()?;
        }
        for (_, group) in &mut cluster.groups[voters..] {
            group.done()?;
        }
        cluster.all_decide(end, stop)?;
        Ok(cluster)
    }

    fn wait(&self, end: Instant, stop: &AtomicBool, what: &str) -> io::Result<()> {
        interrupted(stop)?;
        if Instant::now() > end {
            return Err(io::Error::other(format!("{what}: not in time")));
        }
        thread::sleep(LOOK);
        Ok(())
    }

    /// Waits until all members that run may decide under one version; how long that took.
    ///
    /// # Errors
    /// They do not in time, one has ended, or it was stopped.
    pub fn all_decide(&mut self, end: Instant, stop: &AtomicBool) -> io::Result<Duration> {
        let began = Instant::now();
        loop {
            let sight = self.look()?;
            if let Some(ended) = sight.members().find_map(|m| m.ended.clone()) {
                return Err(io::Error::other(format!("a member has ended: {ended}")));
            }
            let mut versions: Vec<_> = sight.members().map(|m| m.version).collect();
            versions.dedup();
            if versions.len() == 1 && sight.members().all(|m| m.decides) {
                return Ok(began.elapsed());
            }
            let left = sight.members().filter(|m| !m.decides).count();
            self.wait(end, stop, &format!("{left} members may not decide"))?;
        }
    }

    /// What there is of all members that run and are not stopped.
    ///
    /// # Errors
    /// A process has died.
    pub fn look(&mut self) -> io::Result<Sight> {
        let asked: Vec<bool> = self
            .groups
            .iter()
            .zip(&self.paused)
            .map(|((_, g), p)| g.runs() && !p)
            .collect();
        for ((_, group), _) in self
            .groups
            .iter_mut()
            .zip(&asked)
            .filter(|(_, asked)| **asked)
        {
            group.send(&Order::Look)?;
        }
        let at = Instant::now();
        let mut groups = Vec::new();
        for ((role, group), asked) in self.groups.iter_mut().zip(&asked) {
            groups.push((
                *role,
                match asked {
                    false => None,
                    true => match group.reply()? {
                        Reply::Look(look) => Some(*look),
                        other => return Err(io::Error::other(format!("{other:?}"))),
                    },
                },
            ));
        }
        Ok(Sight { at, groups })
    }

    /// How the cluster looks from a group's first member.
    ///
    /// # Errors
    /// It has died.
    pub fn status_of(&mut self, group: usize) -> io::Result<Status> {
        let (_, group) = &mut self.groups[group];
        group.send(&Order::Status)?;
        match group.reply()? {
            Reply::Status(status) => Ok(*status),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    fn status(&mut self) -> io::Result<Status> {
        self.status_of(0)
    }

    /// The group whose member leads, as a group that runs says.
    ///
    /// # Errors
    /// A process has died.
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

    /// A change, by the first member of a group: how long until its answer, and until the last member serves it, in ms.
    ///
    /// # Errors
    /// It was not made, or a process died.
    pub fn change(&mut self, by: usize, bytes: usize, stop: &AtomicBool) -> io::Result<[f64; 2]> {
        self.changes += 1;
        let before = self
            .look()?
            .members()
            .filter_map(|m| m.version)
            .max()
            .unwrap_or(0);
        let began = clock::now();
        let (id, group) = (format!("c{}", self.changes), &mut self.groups[by].1);
        group.send(&Order::Change(id, bytes))?;
        group.done()?;
        let answered = clock::now();
        let end = Instant::now() + PATIENCE;
        let last = loop {
            let sight = self.look()?;
            let at = |m: &super::hollow::Seen| {
                m.served
                    .iter()
                    .find(|(version, _)| *version > before)
                    .map(|(_, at)| *at)
            };
            let served: Option<Vec<u64>> = sight.members().map(at).collect();
            if let Some(last) = served.and_then(|s| s.into_iter().max()) {
                break last;
            }
            self.wait(end, stop, "a change's last member")?;
        };
        let ms = |at: Micros| at.saturating_sub(began) as f64 / 1000.0;
        Ok([ms(answered), ms(last)])
    }

    /// The groups of a role.
    pub fn of(&self, roles: &[Role]) -> Vec<usize> {
        (0..self.groups.len())
            .filter(|i| roles.contains(&self.groups[*i].0))
            .collect()
    }

    /// How many members a group has.
    pub fn count(&self, group: usize) -> usize {
        self.groups[group].1.count()
    }

    /// Kills a group.
    pub fn kill(&mut self, group: usize) {
        self.groups[group].1.kill();
    }

    /// Starts groups together.
    ///
    /// # Errors
    /// One does not come up.
    pub fn restart(&mut self, groups: &[usize]) -> io::Result<()> {
        groups.iter().try_for_each(|i| self.groups[*i].1.begin())?;
        groups.iter().try_for_each(|i| self.groups[*i].1.done())
    }

    /// Bytes on disk of a group's logs.
    ///
    /// # Errors
    /// They can't be read.
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

    /// Takes the logs of a group that does not run away.
    ///
    /// # Errors
    /// They can't be removed.
    pub fn empty(&self, group: usize) -> io::Result<()> {
        let spec = self.groups[group].1.spec();
        spec.members
            .iter()
            .try_for_each(|m| std::fs::remove_dir_all(spec.directory.join(&m.name)))
    }

    /// Stops a group's process, or lets it go on.
    pub fn pause(&mut self, group: usize, paused: bool) {
        self.paused[group] = paused;
        self.groups[group].1.pause(paused);
    }
}

/// Some number, another each time.
pub(super) fn drawn() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// What passed between two sights: out and in by kind, and the span in seconds.
pub fn between(before: &Sight, after: &Sight) -> (Kinds, Kinds, f64) {
    let out = less(&after.sum(|l| &l.out), &before.sum(|l| &l.out));
    let incoming = less(&after.sum(|l| &l.incoming), &before.sum(|l| &l.incoming));
    (
        out,
        incoming,
        after.at.duration_since(before.at).as_secs_f64(),
    )
}

/// Processor time of groups of a role between two sights, as a part of a core for each member, in per cent.
fn cpu(before: &Sight, after: &Sight, of: impl Fn(usize, Role) -> bool) -> f64 {
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

/// How long members are left idle to be counted: a whole number of reports.
fn idle(play: &Play) -> Duration {
    Duration::from_micros(play.rules.lease / 5) * play.periods
}

/// The figures of idle members between two sights.
fn idle_figures(point: &mut Point, before: &Sight, after: &Sight) {
    let (out, incoming, span) = between(before, after);
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
            total(&less(&a.out, &b.out)),
            total(&less(&a.incoming, &b.incoming)),
        );
        put("leader messages out /s".into(), sent[0] / span);
        put("leader bytes out /s".into(), sent[1] / span);
        put("leader bytes in /s".into(), got[1] / span);
    }
    put("leader cpu %".into(), cpu(before, after, leader));
    put(
        "voter cpu %".into(),
        cpu(before, after, |i, role| i > 0 && role == Role::Voter),
    );
    put(
        "learner cpu %".into(),
        cpu(before, after, |_, role| role != Role::Voter),
    );
    let mib = |of: &dyn Fn(usize, Role) -> bool| {
        let looks = after
            .groups
            .iter()
            .enumerate()
            .filter(|(i, (role, _))| of(*i, *role));
        let looks: Vec<&Look> = looks.filter_map(|(_, (_, l))| l.as_ref()).collect();
        let members: usize = looks.iter().map(|l| l.members.len()).sum();
        looks.iter().map(|l| l.memory).sum::<u64>() as f64
            / members.max(1) as f64
            / f64::from(1 << 20)
    };
    put("leader MiB".into(), mib(&leader));
    put(
        "learner MiB each".into(),
        mib(&|_, role| role != Role::Voter),
    );
}

/// What a change adds to what idle members send: kinds and the span in seconds, of both, and how many changes there were.
fn change_figures(point: &mut Point, idle: (&Kinds, f64), changed: (&Kinds, f64), changes: f64) {
    let each = |of: &dyn Fn(&Kinds) -> [f64; 2]| {
        let (rest, all) = (of(idle.0), of(changed.0));
        [0, 1].map(|i| (all[i] - rest[i] / idle.1 * changed.1) / changes)
    };
    let kind = |kind: MessageKind| move |kinds: &Kinds| kinds[kind as usize].map(|n| n as f64);
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    let [messages, bytes] = each(&total);
    put("change messages", messages);
    put("change bytes", bytes);
    // Heartbeats go by time, and confirmations by how the reports that ask for them fall together; what is left is
    // the change's own.
    let [messages, bytes] = each(&own);
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

/// Plays one size.
///
/// # Errors
/// A process died, something did not come in time, or it was stopped. What was measured until then stands in the point.
pub fn play(play: &Play, members: usize, point: &mut Point, stop: &AtomicBool) -> io::Result<()> {
    point.sizes.insert("members".into(), members as f64);
    let began = Instant::now();
    let mut cluster = Cluster::start(play, members, stop)?;
    point
        .figures
        .insert("all joined s".into(), began.elapsed().as_secs_f64());
    let period = Duration::from_micros(play.rules.lease / 5);
    thread::sleep(2 * period);
    interrupted(stop)?;
    let before = cluster.look()?;
    thread::sleep(idle(play));
    let after = cluster.look()?;
    idle_figures(point, &before, &after);
    let (idle_out, _, idle_span) = between(&before, &after);

    let before = cluster.look()?;
    let mut times = Vec::new();
    for _ in 0..play.changes {
        times.push(cluster.change(0, play.change_bytes, stop)?);
    }
    thread::sleep(period);
    let after = cluster.look()?;
    if !times.is_empty() {
        let (out, _, span) = between(&before, &after);
        change_figures(
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
    if !play.peak.is_zero() {
        peak(play, &mut cluster, point, stop)?;
    }
    if play.hurt {
        hurt(play, &mut cluster, point, stop)?;
    }
    Ok(())
}

/// Changes at twenty times the day's rate, one each 1.5 s.
fn peak(
    play: &Play,
    cluster: &mut Cluster,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let pace = Duration::from_secs_f64(86_400.0 / target::CHANGES / 20.0);
    let (before, began) = (cluster.look()?, Instant::now());
    let (mut times, mut late): (Vec<f64>, f64) = (Vec::new(), 0.0);
    for n in 0.. {
        let due = began + pace * n;
        if due > began + play.peak {
            break;
        }
        interrupted(stop)?;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        late = late.max(Instant::now().duration_since(due).as_secs_f64());
        times.push(cluster.change(0, play.change_bytes, stop)?[1]);
    }
    let after = cluster.look()?;
    let (out, _, span) = between(&before, &after);
    let count = after.members().count() as f64;
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    put("peak changes", times.len() as f64);
    put("peak bytes out /s member", total(&out)[1] / span / count);
    put("peak messages out /s member", total(&out)[0] / span / count);
    put("peak leader cpu %", cpu(&before, &after, |i, _| i == 0));
    put(
        "peak learner cpu %",
        cpu(&before, &after, |_, role| role != Role::Voter),
    );
    put("peak everywhere ms", median(&times));
    put(
        "peak everywhere longest ms",
        times.iter().copied().fold(0.0, f64::max),
    );
    put("peak begun late s", late);
    Ok(())
}

/// A part is killed, started and stopped; changes meanwhile.
fn hurt(
    play: &Play,
    cluster: &mut Cluster,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let patience = || Instant::now() + PATIENCE * 2;
    for (part, roles) in [
        ("1 %", &[Role::Few][..]),
        ("10 %", &[Role::Few, Role::Many]),
    ] {
        let groups = cluster.of(roles);
        let hurt: usize = groups.iter().map(|g| cluster.count(*g)).sum();
        let mut put =
            |name: &str, value: f64| _ = point.figures.insert(format!("{part} {name}"), value);
        put("are", hurt as f64);
        groups.iter().for_each(|g| cluster.kill(*g));
        put(
            "dead: first change ms",
            cluster.change(0, play.change_bytes, stop)?[1],
        );
        put(
            "dead: next change ms",
            cluster.change(0, play.change_bytes, stop)?[1],
        );
        let began = Instant::now();
        cluster.restart(&groups)?;
        put(
            "starting: change ms",
            cluster.change(0, play.change_bytes, stop)?[1],
        );
        cluster.all_decide(patience(), stop)?;
        put("starting: all decide s", began.elapsed().as_secs_f64());
        if play.command.is_some() {
            groups.iter().for_each(|g| cluster.pause(*g, true));
            put(
                "stalled: first change ms",
                cluster.change(0, play.change_bytes, stop)?[1],
            );
            put(
                "stalled: next change ms",
                cluster.change(0, play.change_bytes, stop)?[1],
            );
            groups.iter().for_each(|g| cluster.pause(*g, false));
            cluster.all_decide(patience(), stop)?;
        }
    }
    Ok(())
}

/// Refuses sizes that are none or go beyond the machine.
///
/// # Errors
/// The first of them, in a line.
pub fn fits(play: &Play, sizes: &[usize]) -> io::Result<()> {
    let bad = |what: String| Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    if sizes.is_empty() {
        return bad("members: no size is named".into());
    }
    std::fs::create_dir_all(&play.dir)?;
    let room = Room::here(&play.dir)?;
    for members in sizes {
        if *members == 0 {
            return bad("members: 0 are no cluster".into());
        }
        if *members > MOST {
            return bad(format!(
                "members: {members} are more than the {MOST} that have addresses here"
            ));
        }
        Needs::of(*members, play.state_bytes, play.command.is_none()).fit(*members, &room)?;
    }
    if play.side_by_side {
        // All at once: what they hold adds up, while descriptors are a process's.
        let all = sizes.iter().sum();
        Needs {
            descriptors: 0,
            ..Needs::of(all, play.state_bytes, play.command.is_none())
        }
        .fit(all, &room)?;
    }
    Ok(())
}

/// Plays each size, one after the other or side by side. One that fails makes a void point, one that is interrupted none.
pub(super) fn each(
    sweep: &mut Sweep,
    sizes: &[usize],
    how: &Play,
    mut tell: impl FnMut(&Sweep),
    play: impl Fn(usize, &mut Point) -> io::Result<()> + Sync,
) {
    let one = |size: usize| {
        let mut point = Point::default();
        note_load(&mut point);
        match play(size, &mut point) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return None,
            Err(e) => point.void = Some(e.to_string()),
            Ok(()) => {}
        }
        Some(point)
    };
    let panicked = || Point {
        void: Some("it panicked".into()),
        ..Point::default()
    };
    let at_once = if how.side_by_side {
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
        tell(sweep);
        if sweep.partial {
            return;
        }
    }
}

/// Sweeps over numbers of members. `tell` hears of each point; once `stop` is set the sweep ends and is partial.
///
/// # Errors
/// A size is zero or beyond the machine; nothing was started.
pub fn sweep(
    how: &Play,
    sizes: &[usize],
    stop: &AtomicBool,
    tell: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    fits(how, sizes)?;
    let list: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let command = format!("canvascart lab members members --sizes {}", list.join(","));
    let mut sweep = Sweep {
        name: "members".into(),
        command,
        ..Sweep::default()
    };
    each(&mut sweep, sizes, how, tell, |members, point| {
        play(how, members, point, stop)
    });
    for figure in LINES {
        sweep.line(figure, "members", target::PROXIES);
    }
    square(&mut sweep);
    Ok(sweep)
}

/// The line of what grows with the square of the members.
fn square(sweep: &mut Sweep) {
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

/// What lines are wanted of.
const LINES: [&str; 16] = [
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

/// What else the machine does stands beside each point.
pub(super) fn note_load(point: &mut Point) {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    if let Some(load) = load.split(' ').next().and_then(|l| l.parse().ok()) {
        point.figures.insert("load average before".into(), load);
    }
}

/// What a member's figures say that it sent, by kind.
fn kinds_in(text: &str) -> io::Result<Kinds> {
    let mut kinds = Kinds::default();
    for (i, name) in ["messages_total", "message_bytes_total"]
        .into_iter()
        .enumerate()
    {
        let (mut any, name) = (false, format!("canvascart_cluster_{name}{{kind=\""));
        for (kind, value) in text
            .lines()
            .filter_map(|l| l.strip_prefix(&name)?.split_once("\"} "))
        {
            let spoilt = || io::Error::other(format!("{name}{kind} {value}: no kind and number"));
            let kind = MessageKind::ALL
                .into_iter()
                .find(|k| k.name() == kind)
                .ok_or_else(spoilt)?;
            kinds[kind as usize][i] = value.trim().parse().map_err(|_| spoilt())?;
            any = true;
        }
        if !any {
            return Err(io::Error::other(format!("no {name} in the figures")));
        }
    }
    Ok(kinds)
}

/// The same of real processes of `serve`, counted by its figures, which asks nobody else. Returns the bytes of the
/// log's entry that holds a change as well, so that hollow members can be given as many.
///
/// # Errors
/// They do not come up, or a change can't be made.
pub fn of_processes(play: &Play, members: usize, seed: u64) -> io::Result<(Point, usize)> {
    let command = play
        .command
        .clone()
        .ok_or_else(|| io::Error::other("no program is named"))?;
    let dir = play
        .dir
        .join(format!("real-{}-{:x}", std::process::id(), drawn()));
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
    let sent = |fleet: &Fleet| -> io::Result<Kinds> {
        let mut all = Kinds::default();
        for i in 0..members {
            let (_, text) = fleet
                .admin_connection(i)?
                .call("GET", "/v1/figures", "", "")?;
            add(&mut all, &kinds_in(&String::from_utf8_lossy(&text))?);
        }
        Ok(all)
    };
    let leader = fleet
        .leader()
        .ok_or_else(|| io::Error::other("nobody leads"))?;
    let mut line = fleet.admin_connection(leader)?;
    let period = Duration::from_micros(play.rules.lease / 5);
    thread::sleep(2 * period);
    let (before, began) = (sent(&fleet)?, Instant::now());
    thread::sleep(idle(play));
    let (after, span) = (sent(&fleet)?, began.elapsed().as_secs_f64());
    let (idle, idle_span) = (less(&after, &before), span);
    let mut point = Point::default();
    point.sizes.insert("members".into(), members as f64);
    let mut put = |name: &str, value: f64| _ = point.figures.insert(name.into(), value);
    let rest = total(&idle).map(|n| n / idle_span / members as f64);
    put("messages out /s member", rest[0]);
    put("bytes out /s member", rest[1]);
    let (before, began) = (sent(&fleet)?, Instant::now());
    for n in 0..play.changes {
        let body = serde_json::json!({ "in-flight": 1001 + n });
        line.json("PUT", "/v1/tenants/a/limits", "If-Match: *\r\n", &body)?;
    }
    thread::sleep(period);
    let (after, span) = (sent(&fleet)?, began.elapsed().as_secs_f64());
    if play.changes > 0 {
        let changed = less(&after, &before);
        change_figures(
            &mut point,
            (&idle, idle_span),
            (&changed, span),
            play.changes as f64,
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
    let _ = std::fs::remove_dir_all(&dir); // nothing but the lab's own state
    Ok((point, entry))
}

/// Sweeps over numbers of members in virtual time.
///
/// # Errors
/// A size is zero.
pub fn virtual_sweep(
    how: &Play,
    sizes: &[usize],
    seed: u64,
    stop: &AtomicBool,
    mut tell: impl FnMut(&Sweep),
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
        let point =
            in_virtual_time(*members, &how.rules, how.changes, seed).unwrap_or_else(|why| Point {
                sizes,
                figures: BTreeMap::new(),
                void: Some(why),
            });
        sweep.points.push(point);
        tell(&sweep);
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
    square(&mut sweep);
    Ok(sweep)
}

/// The same in virtual time: messages and bytes a second and member, idle, by kind; and messages a change.
///
/// # Errors
/// They are no cluster in time, or a change does not end.
pub fn in_virtual_time(
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
        return Err("not all may decide".into());
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
            return Err(format!("{id} is not in force everywhere"));
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
