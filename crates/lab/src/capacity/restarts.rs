//! What restarts cost: of one member, by what it is; of a fifth of all in the same moment; and what a state costs that a new member
//! is brought up to. Hollow members, in processes of their own.

use std::io;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use cluster::node::Kind;

use super::members::{Cluster, Play, Role, between, fits, note_load, own};
use super::{Point, Sweep, target};

/// How long members may take to decide again.
const PATIENCE: Duration = Duration::from_secs(180);

/// What idle members say a second, heartbeats and confirmations left out: restarts are counted against it.
struct Rest {
    messages: f64,
    bytes: f64,
}

fn sum(kinds: &super::hollow::Kinds, i: usize) -> f64 {
    kinds.iter().map(|k| k[i]).sum::<u64>() as f64
}

fn rest(play: &Play, cluster: &mut Cluster) -> io::Result<Rest> {
    let period = Duration::from_micros(play.rules.lease / 5);
    thread::sleep(2 * period);
    let before = cluster.look()?;
    thread::sleep(period * play.periods);
    let (out, _, span) = between(&before, &cluster.look()?);
    let [messages, bytes] = own(&out).map(|n| n / span);
    Ok(Rest { messages, bytes })
}

/// Kills groups and starts them again within the same two seconds; what it costs.
fn restart(
    cluster: &mut Cluster, groups: &[usize], (rest, period): (&Rest, Duration), name: &str,
    point: &mut Point, stop: &AtomicBool,
) -> io::Result<()> {
    let before = cluster.look()?;
    let members: usize = groups.iter().map(|g| cluster.count(*g)).sum();
    groups.iter().for_each(|g| cluster.kill(*g));
    let began = Instant::now();
    cluster.restart(groups)?;
    let started = began.elapsed();
    cluster.all_decide(began + PATIENCE, stop)?;
    let took = began.elapsed();
    thread::sleep(period * 2);
    let after = cluster.look()?;
    let voters = cluster.of(&[Role::Voter]);
    let us = |s: &super::members::Sight| -> u64 {
        voters
            .iter()
            .filter(|g| !groups.contains(g))
            .filter_map(|g| Some(s.groups[*g].1.as_ref()?.cpu_us))
            .sum()
    };
    let voters_us = us(&after).saturating_sub(us(&before));
    // Those that were started count from nothing.
    let mut then = before;
    groups.iter().for_each(|g| {
        if let Some(look) = &mut then.groups[*g].1 {
            (look.out, look.incoming, look.cpu_us) = Default::default();
        }
    });
    let (out, _, span) = between(&then, &after);
    let mut put = |what: &str, value: f64| _ = point.figures.insert(format!("{name} {what}"), value);
    put("members", members as f64);
    put("processes started s", started.as_secs_f64());
    put("all decide s", took.as_secs_f64());
    let [messages, bytes] = own(&out);
    put("messages", messages - rest.messages * span);
    put("bytes", bytes - rest.bytes * span);
    put("messages with heartbeats and confirmations", sum(&out, 0));
    put("bytes with heartbeats and confirmations", sum(&out, 1));
    put("span s", span);
    put("snapshots", out[Kind::Snapshot as usize][0] as f64);
    put("snapshot bytes", out[Kind::Snapshot as usize][1] as f64);
    put("voters cpu ms", voters_us as f64 / 1000.0);
    Ok(())
}

fn play(how: &Play, members: usize, point: &mut Point, stop: &AtomicBool) -> io::Result<()> {
    point.sizes.insert("members".into(), members as f64);
    let mut cluster = Cluster::start(how, members, stop)?;
    let idle = rest(how, &mut cluster)?;
    let idle = (&idle, Duration::from_micros(how.rules.lease / 5));
    let few = cluster.of(&[Role::Few]);
    restart(&mut cluster, &few, idle, "learners (1 %)", point, stop)?;
    let voters = cluster.of(&[Role::Voter]);
    let leads = cluster.leader(voters[0])?.unwrap_or(voters[0]);
    let other = voters.iter().copied().find(|v| *v != leads).unwrap_or(leads);
    restart(&mut cluster, &[other], idle, "a voter", point, stop)?;
    restart(&mut cluster, &[leads], idle, "the leader", point, stop)?;
    // A fifth, as a zone has: whole processes, so many as come nearest.
    let mut zone = Vec::new();
    let mut count = 0;
    for group in cluster.of(&[Role::Few, Role::Many, Role::Learners]) {
        if count + cluster.count(group) <= members / 5 + 1 || zone.is_empty() {
            count += cluster.count(group);
            zone.push(group);
        }
    }
    restart(&mut cluster, &zone, idle, "a zone", point, stop)
}

/// Sweeps over numbers of members: a learner, a voter and the leader restarted, and a zone at once.
///
/// # Errors
/// A size is zero or beyond the machine; nothing was started.
pub fn sweep(
    how: &Play, sizes: &[usize], stop: &AtomicBool, mut tell: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    fits(how, sizes)?;
    let list: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let command = format!("canvascart lab members restarts --sizes {}", list.join(","));
    let mut sweep = Sweep { name: "restarts".into(), command, ..Sweep::default() };
    for members in sizes {
        if !point(&mut sweep, stop, |p| play(how, *members, p, stop)) {
            break;
        }
        tell(&sweep);
    }
    for who in ["learners (1 %)", "a voter", "the leader", "a zone"] {
        for what in ["all decide s", "messages", "bytes", "voters cpu ms"] {
            sweep.line(&format!("{who} {what}"), "members", target::PROXIES);
        }
    }
    Ok(sweep)
}

/// Plays a point; whether the sweep goes on.
fn point(sweep: &mut Sweep, stop: &AtomicBool, play: impl FnOnce(&mut Point) -> io::Result<()>) -> bool {
    let mut point = Point::default();
    note_load(&mut point);
    match play(&mut point) {
        Err(e) if e.kind() == io::ErrorKind::Interrupted => {
            sweep.partial = true;
            return false;
        }
        Err(e) => point.void = Some(e.to_string()),
        Ok(()) => {}
    }
    sweep.points.push(point);
    !stop.load(std::sync::atomic::Ordering::Relaxed)
}

/// Sweeps over sizes of the state, at a few members: what each holds of it in memory and on disk, and what it costs the leader to
/// bring a new member up to it.
///
/// # Errors
/// A size is beyond the machine; nothing was started.
pub fn snapshots(
    how: &Play, members: usize, states: &[usize], stop: &AtomicBool, mut tell: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    for state in states {
        fits(&Play { state_bytes: *state, ..how.clone() }, &[members])?;
    }
    let list: Vec<String> = states.iter().map(usize::to_string).collect();
    let command = format!("canvascart lab members snapshots --sizes {}", list.join(","));
    let mut sweep = Sweep { name: "snapshots".into(), command, ..Sweep::default() };
    for state in states {
        let how = Play { state_bytes: *state, ..how.clone() };
        if !point(&mut sweep, stop, |p| with_state(&how, members, p, stop)) {
            break;
        }
        tell(&sweep);
    }
    for figure in ["learner MiB", "leader MiB", "disk MiB", "caught up s", "caught up bytes", "leader cpu ms"]
    {
        sweep.line(figure, "state bytes", 40e6);
    }
    Ok(sweep)
}

fn with_state(how: &Play, members: usize, point: &mut Point, stop: &AtomicBool) -> io::Result<()> {
    point.sizes.insert("state bytes".into(), how.state_bytes as f64);
    point.sizes.insert("members".into(), members as f64);
    let mut cluster = Cluster::start(how, members, stop)?;
    let idle = rest(how, &mut cluster)?;
    let mib = f64::from(1 << 20);
    let sight = cluster.look()?;
    let new = cluster.of(&[Role::Few])[0];
    let memory = |g: usize| sight.groups[g].1.as_ref().map_or(0.0, |l| l.memory as f64 / mib);
    point.figures.insert("leader MiB".into(), memory(0));
    point.figures.insert("learner MiB".into(), memory(new));
    point.figures.insert("disk MiB".into(), cluster.disk(new)? as f64 / mib);
    // As a new machine has it: no log. Its name is free once nothing of it is heard any more for a lease.
    cluster.kill(new);
    cluster.empty(new)?;
    thread::sleep(Duration::from_micros(how.rules.surely(how.rules.lease)) + Duration::from_secs(1));
    let before = cluster.look()?;
    let began = Instant::now();
    cluster.restart(&[new])?;
    cluster.all_decide(began + PATIENCE, stop)?;
    let took = began.elapsed();
    let after = cluster.look()?;
    let mut then = before.clone();
    then.groups[new].1 = None;
    let (out, _, span) = between(&then, &after);
    let us = |s: &super::members::Sight| s.groups[0].1.as_ref().map_or(0, |l| l.cpu_us);
    let restored = after.groups[new].1.as_ref().and_then(|l| l.members.first()).map_or(0, |m| m.restored);
    let mut put = |what: &str, value: f64| _ = point.figures.insert(what.into(), value);
    put("caught up s", took.as_secs_f64());
    put("caught up bytes", own(&out)[1] - idle.bytes * span);
    put("snapshots", out[Kind::Snapshot as usize][0] as f64);
    put("snapshot bytes", out[Kind::Snapshot as usize][1] as f64);
    put("leader cpu ms", us(&after).saturating_sub(us(&before)) as f64 / 1000.0);
    put("state bytes restored", restored as f64);
    Ok(())
}
