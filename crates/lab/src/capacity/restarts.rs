//! Measures the cost of restarts with hollow members in separate processes: restarts of one member by its role, of a fifth of
//! all members at the same time, and the cost of transferring the state to a new member.

use std::io;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use cluster::message::MessageKind;

use super::members::{
    Cluster, Options, Role, check_sizes, learners_per_process, measure_each, own_traffic,
    traffic_between,
};
use super::{Point, Sweep, target};

/// Base timeout until all members may decide again.
const DECIDE_TIMEOUT: Duration = Duration::from_secs(180);

/// Additional timeout per restarted member.
const DECIDE_TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(500);

/// Messages and bytes per second of idle members without heartbeats and confirmations; subtracted from those of a restart.
struct IdleTraffic {
    messages: f64,
    bytes: f64,
}

fn sum(kinds: &super::hollow::TrafficByKind, i: usize) -> f64 {
    kinds.iter().map(|k| k[i]).sum::<u64>() as f64
}

/// Waits for a lease, after which the names of removed members can be used again.
fn wait_for_lease_expiry(options: &Options) {
    thread::sleep(
        Duration::from_micros(options.rules.with_drift_margin(options.rules.lease))
            + Duration::from_secs(1),
    );
}

/// Measures the traffic of idle members.
fn measure_idle_traffic(options: &Options, cluster: &mut Cluster) -> io::Result<IdleTraffic> {
    let period = Duration::from_micros(options.rules.lease / 5);
    thread::sleep(2 * period);
    let before = cluster.read_counters()?;
    thread::sleep(period * options.periods);
    let (out, _, span) = traffic_between(&before, &cluster.read_counters()?);
    let [messages, bytes] = own_traffic(&out).map(|n| n / span);
    Ok(IdleTraffic { messages, bytes })
}

/// Groups that are killed and restarted.
struct RestartTarget<'a> {
    name: &'a str,
    groups: &'a [usize],
    /// True if they restart with empty disks, like new machines.
    empty_disks: bool,
}

/// Kills groups and restarts them, immediately if they keep their disks, and adds the cost to the point.
fn measure_restart(
    cluster: &mut Cluster,
    target: &RestartTarget,
    options: &Options,
    idle: &IdleTraffic,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    let RestartTarget {
        name,
        groups,
        empty_disks,
    } = *target;
    let period = Duration::from_micros(options.rules.lease / 5);
    let mut before = cluster.read_counters()?;
    let members: usize = groups.iter().map(|g| cluster.count(*g)).sum();
    groups.iter().for_each(|g| cluster.kill(*g));
    if empty_disks {
        groups.iter().try_for_each(|g| cluster.remove_logs(*g))?;
        wait_for_lease_expiry(options);
        before = cluster.read_counters()?;
    }
    let began = Instant::now();
    cluster.restart(groups)?;
    let started = began.elapsed();
    cluster.wait_all_decide(
        began + DECIDE_TIMEOUT + DECIDE_TIMEOUT_PER_MEMBER * members as u32,
        stop,
    )?;
    let took = began.elapsed();
    thread::sleep(period * 2);
    let after = cluster.read_counters()?;
    let voters = cluster.of(&[Role::Voter]);
    let us = |s: &super::members::CounterSnapshot| -> u64 {
        voters
            .iter()
            .filter(|g| !groups.contains(g))
            .filter_map(|g| Some(s.groups[*g].1.as_ref()?.cpu_us))
            .sum()
    };
    let voters_us = us(&after).saturating_sub(us(&before));
    // The counters of restarted processes start at zero.
    let mut baseline = before;
    groups.iter().for_each(|g| {
        if let Some(counters) = &mut baseline.groups[*g].1 {
            (counters.out, counters.incoming, counters.cpu_us) = Default::default();
        }
    });
    let (out, _, span) = traffic_between(&baseline, &after);
    let mut put =
        |what: &str, value: f64| _ = point.figures.insert(format!("{name} {what}"), value);
    put("members", members as f64);
    put("processes started s", started.as_secs_f64());
    put("all decide s", took.as_secs_f64());
    let [messages, bytes] = own_traffic(&out);
    put("messages", messages - idle.messages * span);
    put("bytes", bytes - idle.bytes * span);
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

fn measure_restarts(
    options: &Options,
    members: usize,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    point.sizes.insert("members".into(), members as f64);
    let mut cluster =
        Cluster::start_with_process_size(options, members, learners_per_process(members), stop)?;
    let idle = measure_idle_traffic(options, &mut cluster)?;
    let mut measure = |cluster: &mut Cluster, name: &str, groups: &[usize], empty_disks: bool| {
        measure_restart(
            cluster,
            &RestartTarget {
                name,
                groups,
                empty_disks,
            },
            options,
            &idle,
            point,
            stop,
        )
    };
    let few_learners = cluster.of(&[Role::Few]);
    measure(&mut cluster, "learners (1 %)", &few_learners, false)?;
    let voters = cluster.of(&[Role::Voter]);
    let leader = cluster.leader(voters[0])?.unwrap_or(voters[0]);
    let follower = voters
        .iter()
        .copied()
        .find(|v| *v != leader)
        .unwrap_or(leader);
    measure(&mut cluster, "a voter", &[follower], false)?;
    measure(&mut cluster, "the leader", &[leader], false)?;
    // A zone has a fifth of the members: takes whole processes up to that number.
    let mut zone = Vec::new();
    let mut count = 0;
    for group in cluster.of(&[Role::Few, Role::Many, Role::Learners]) {
        if count + cluster.count(group) <= members.div_ceil(5) || zone.is_empty() {
            count += cluster.count(group);
            zone.push(group);
        }
    }
    measure(&mut cluster, "a zone", &zone, false)?;
    if options.with_failures {
        measure(&mut cluster, "a zone, empty disks", &zone, true)?;
    }
    Ok(())
}

/// Sweeps over numbers of members: restarts learners, a voter, the leader, and a whole zone at the same time.
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
    let command = format!("canvascart lab members restarts --sizes {}", list.join(","));
    let mut sweep = Sweep {
        name: "restarts".into(),
        command,
        ..Sweep::default()
    };
    measure_each(&mut sweep, sizes, options, report, |members, point| {
        measure_restarts(options, members, point, stop)
    });
    let names = [
        "learners (1 %)",
        "a voter",
        "the leader",
        "a zone",
        "a zone, empty disks",
    ];
    for name in names.iter().take(if options.with_failures { 5 } else { 4 }) {
        for what in ["all decide s", "messages", "bytes", "voters cpu ms"] {
            sweep.line(&format!("{name} {what}"), "members", target::PROXIES);
        }
    }
    Ok(sweep)
}

/// Sweeps over sizes of the state with a fixed number of members: memory and disk use per member, and the cost for the leader
/// of transferring the state to a new member.
///
/// # Errors
/// A size exceeds the resources of the machine; nothing was started.
pub fn snapshots(
    options: &Options,
    members: usize,
    states: &[usize],
    stop: &AtomicBool,
    report: impl FnMut(&Sweep),
) -> io::Result<Sweep> {
    for state in states {
        check_sizes(
            &Options {
                state_bytes: *state,
                ..options.clone()
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
    measure_each(&mut sweep, states, options, report, |state, point| {
        measure_with_state(
            &Options {
                state_bytes: state,
                ..options.clone()
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

fn measure_with_state(
    options: &Options,
    members: usize,
    point: &mut Point,
    stop: &AtomicBool,
) -> io::Result<()> {
    point
        .sizes
        .insert("state bytes".into(), options.state_bytes as f64);
    point.sizes.insert("members".into(), members as f64);
    let mut cluster = Cluster::start(options, members, stop)?;
    let idle = measure_idle_traffic(options, &mut cluster)?;
    let mib = f64::from(1 << 20);
    let counters = cluster.read_counters()?;
    let new_member = cluster.of(&[Role::Few])[0];
    let memory = |g: usize| {
        counters.groups[g]
            .1
            .as_ref()
            .map_or(0.0, |l| l.memory as f64 / mib)
    };
    point.figures.insert("leader MiB".into(), memory(0));
    point
        .figures
        .insert("learner MiB".into(), memory(new_member));
    point
        .figures
        .insert("disk MiB".into(), cluster.disk(new_member)? as f64 / mib);
    // A new machine has no log. The name of a removed member can be used again after a lease.
    cluster.kill(new_member);
    cluster.remove_logs(new_member)?;
    wait_for_lease_expiry(options);
    let before = cluster.read_counters()?;
    let began = Instant::now();
    cluster.restart(&[new_member])?;
    cluster.wait_all_decide(began + DECIDE_TIMEOUT, stop)?;
    let took = began.elapsed();
    let after = cluster.read_counters()?;
    let mut baseline = before.clone();
    baseline.groups[new_member].1 = None;
    let (out, _, span) = traffic_between(&baseline, &after);
    let us = |s: &super::members::CounterSnapshot| s.groups[0].1.as_ref().map_or(0, |l| l.cpu_us);
    let restored = after.groups[new_member]
        .1
        .as_ref()
        .and_then(|l| l.members.first())
        .map_or(0, |m| m.restored);
    let mut put = |what: &str, value: f64| _ = point.figures.insert(what.into(), value);
    put("caught up s", took.as_secs_f64());
    put("caught up bytes", own_traffic(&out)[1] - idle.bytes * span);
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
