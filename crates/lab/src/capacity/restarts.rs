//! What restarts cost: of one member, by what it is; of a fifth of all in the same moment; and what a state costs that a new member
//! is brought up to. Hollow members, in processes of their own.

use std::io;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use cluster::message::MessageKind;

use super::members::{Cluster, Play, Role, between, each, fits, own, tenth};
use super::{Point, Sweep, target};

/// How long members may take to decide again.
const PATIENCE: Duration = Duration::from_secs(180);

/// And so much more for each.
const PATIENCE_EACH: Duration = Duration::from_millis(500);

/// What idle members say a second, heartbeats and confirmations left out: restarts are counted against it.
struct Rest {
    messages: f64,
    bytes: f64,
}

fn sum(kinds: &super::hollow::Kinds, i: usize) -> f64 {
    kinds.iter().map(|k| k[i]).sum::<u64>() as f64
}

/// Waits until the names of members that are gone for good are free: nothing of them is heard any more for a lease.
fn forget(how: &Play) {
    thread::sleep(
        Duration::from_micros(how.rules.with_drift_margin(how.rules.lease))
            + Duration::from_secs(1),
    );
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

/// Who is killed and started again.
struct Hit<'a> {
    name: &'a str,
    groups: &'a [usize],
    /// Whether they come back as new machines do, with nothing on their disks.
    empty: bool,
}

/// Kills groups and starts them again, at once if they keep their disks; what it costs.
fn restart(
    cluster: &mut Cluster,
    hit: &Hit,
    how: &Play,
    rest: &Rest,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let Hit {
        name,
        groups,
        empty,
    } = *hit;
    let period = Duration::from_micros(how.rules.lease / 5);
    let mut before = cluster.look()?;
    let members: usize = groups.iter().map(|g| cluster.count(*g)).sum();
    groups.iter().for_each(|g| cluster.kill(*g));
    if empty {
        groups.iter().try_for_each(|g| cluster.empty(*g))?;
        forget(how);
        before = cluster.look()?;
    }
    let began = Instant::now();
    cluster.restart(groups)?;
    let started = began.elapsed();
    cluster.all_decide(began + PATIENCE + PATIENCE_EACH * members as u32, stop)?;
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
    let mut put =
        |what: &str, value: f64| _ = point.figures.insert(format!("{name} {what}"), value);
    put("members", members as f64);
    put("processes started s", started.as_secs_f64());
    put("all decide s", took.as_secs_f64());
    let [messages, bytes] = own(&out);
    put("messages", messages - rest.messages * span);
    put("bytes", bytes - rest.bytes * span);
    put("messages with heartbeats and confirmations", sum(&out, 0));
    put("bytes with heartbeats and confirmations", sum(&out, 1));
    put("span s", span);
    put("snapshots", out[MessageKind::Snapshot as usize][0] as f64);
    put(
        "snapshot bytes",
        out[MessageKind::Snapshot as usize][1] as f64,
    );
    put("voters cpu ms", voters_us as f64 / 1000.0);
    Ok(())
}

fn play(how: &Play, members: usize, point: &mut Point, stop: &AtomicBool) -> io::Result<()> {
    point.sizes.insert("members".into(), members as f64);
    let mut cluster = Cluster::shared(how, members, tenth(members), stop)?;
    let rest = rest(how, &mut cluster)?;
    let mut hit = |cluster: &mut Cluster, name: &str, groups: &[usize], empty: bool| {
        restart(
            cluster,
            &Hit {
                name,
                groups,
                empty,
            },
            how,
            &rest,
            point,
            stop,
        )
    };
    let few = cluster.of(&[Role::Few]);
    hit(&mut cluster, "learners (1 %)", &few, false)?;
    let voters = cluster.of(&[Role::Voter]);
    let leads = cluster.leader(voters[0])?.unwrap_or(voters[0]);
    let other = voters
        .iter()
        .copied()
        .find(|v| *v != leads)
        .unwrap_or(leads);
    hit(&mut cluster, "a voter", &[other], false)?;
    hit(&mut cluster, "the leader", &[leads], false)?;
    // A fifth, as a zone has: whole processes, so many as come nearest from below.
    let mut zone = Vec::new();
    let mut count = 0;
    for group in cluster.of(&[Role::Few, Role::Many, Role::Learners]) {
        if count + cluster.count(group) <= members.div_ceil(5) || zone.is_empty() {
            count += cluster.count(group);
            zone.push(group);
        }
    }
    hit(&mut cluster, "a zone", &zone, false)?;
    if how.hurt {
        hit(&mut cluster, "a zone, empty disks", &zone, true)?;
    }
    Ok(())
}

/// Sweeps over numbers of members: a learner, a voter and the leader restarted, and a zone at once.
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
    let command = format!("canvascart lab members restarts --sizes {}", list.join(","));
    let mut sweep = Sweep {
        name: "restarts".into(),
        command,
        ..Sweep::default()
    };
    each(&mut sweep, sizes, how, tell, |members, point| {
        play(how, members, point, stop)
    });
    let hits = [
        "learners (1 %)",
        "a voter",
        "the leader",
        "a zone",
        "a zone, empty disks",
    ];
    for who in hits.iter().take(if how.hurt { 5 } else { 4 }) {
        for what in ["all decide s", "messages", "bytes", "voters cpu ms"] {
            sweep.line(&format!("{who} {what}"), "members", target::PROXIES);
        }
    }
    Ok(sweep)
}

/// Sweeps over sizes of the state, at a few members: what each holds of it in memory and on disk, and what it costs the leader to
/// bring a new member up to it.
///
/// # Errors
/// A size is beyond the machine; nothing was started.
pub fn snapshots(
    how: &Play,
    members: usize,
    states: &[usize],
    stop: &AtomicBool,
    tell: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    for state in states {
        fits(
            &Play {
                state_bytes: *state,
                ..how.clone()
            },
            &[members],
        )?;
    }
    let list: Vec<String> = states.iter().map(usize::to_string).collect();
    let command = format!(
        "canvascart lab members snapshots --sizes {}",
        list.join(",")
    );
    let mut sweep = Sweep {
        name: "snapshots".into(),
        command,
        ..Sweep::default()
    };
    each(&mut sweep, states, how, tell, |state, point| {
        with_state(
            &Play {
                state_bytes: state,
                ..how.clone()
            },
            members,
            point,
            stop,
        )
    });
    for figure in [
        "learner MiB",
        "leader MiB",
        "disk MiB",
        "caught up s",
        "caught up bytes",
        "leader cpu ms",
    ] {
        sweep.line(figure, "state bytes", 40e6);
    }
    Ok(sweep)
}

fn with_state(how: &Play, members: usize, point: &mut Point, stop: &AtomicBool) -> io::Result<()> {
    point
        .sizes
        .insert("state bytes".into(), how.state_bytes as f64);
    point.sizes.insert("members".into(), members as f64);
    let mut cluster = Cluster::start(how, members, stop)?;
    let idle = rest(how, &mut cluster)?;
    let mib = f64::from(1 << 20);
    let sight = cluster.look()?;
    let new = cluster.of(&[Role::Few])[0];
    let memory = |g: usize| {
        sight.groups[g]
            .1
            .as_ref()
            .map_or(0.0, |l| l.memory as f64 / mib)
    };
    point.figures.insert("leader MiB".into(), memory(0));
    point.figures.insert("learner MiB".into(), memory(new));
    point
        .figures
        .insert("disk MiB".into(), cluster.disk(new)? as f64 / mib);
    // As a new machine has it: no log. Its name is free once nothing of it is heard any more for a lease.
    cluster.kill(new);
    cluster.empty(new)?;
    forget(how);
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
    let restored = after.groups[new]
        .1
        .as_ref()
        .and_then(|l| l.members.first())
        .map_or(0, |m| m.restored);
    let mut put = |what: &str, value: f64| _ = point.figures.insert(what.into(), value);
    put("caught up s", took.as_secs_f64());
    put("caught up bytes", own(&out)[1] - idle.bytes * span);
    put("snapshots", out[MessageKind::Snapshot as usize][0] as f64);
    put(
        "snapshot bytes",
        out[MessageKind::Snapshot as usize][1] as f64,
    );
    put(
        "leader cpu ms",
        us(&after).saturating_sub(us(&before)) as f64 / 1000.0,
    );
    put("state bytes restored", restored as f64);
    Ok(())
}
