//! A voter restarts with an older copy of its disk while messages get lost, as they do while connections are opened again.
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::simulation::{Environment, Simulation};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
const SEEDS: u64 = 2000;
/// Number of seeds in which the voter has to restart.
const MINIMUM_RESTARTS: usize = 1000;

fn rules() -> Rules {
    Rules {
        lease: 5 * SECOND,
        change_lease: 3 * SECOND,
        clock_drift_ppm: 20_000,
        change_deadline: 15 * SECOND,
        partition_policy: PartitionPolicy::Reject,
        voters: 3,
    }
}

fn environment() -> Environment {
    Environment {
        jitter: 20 * MILLISECOND,
        lost_per_thousand: 100,
        ..Environment::default()
    }
}

fn has_three_voters(sim: &Simulation) -> bool {
    let leader = sim.leader().and_then(|leader| sim.node(leader));
    leader.is_some_and(|node| node.voters().len() == 3)
}

fn all_decide_under(sim: &Simulation, version: u64) -> bool {
    (0..3).all(|index| {
        sim.permitted_version(index)
            .is_some_and(|permitted| permitted >= version)
    })
}

fn run_until(
    sim: &mut Simulation,
    limit: Micros,
    condition: impl Fn(&Simulation) -> bool,
) -> Option<()> {
    let end = sim.now + limit;
    sim.run_until(end, condition).then_some(())
}

/// Restores the disk of a voter from a copy that lacks a change which the voter has acknowledged, and returns whether the voter
/// detects it. Returns `None` if the change is not made.
fn restart_with_outdated_disk(seed: u64) -> Option<bool> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new(3, 3, &rules(), environment(), seed);
    run_until(&mut sim, 60 * SECOND, |sim| {
        has_three_voters(sim) && all_decide_under(sim, 0)
    })?;
    sim.run(2 * SECOND);
    let leader = sim.leader()?;
    let voter = (leader + 1) % 3;
    let copy = sim.copy_disk(voter);
    sim.propose_change("acknowledged").ok()?;
    run_until(&mut sim, 10 * SECOND, |sim| all_decide_under(sim, 1))?;
    sim.run(random.u64(0..300) * MILLISECOND);
    sim.kill(voter);
    let _ = sim.propose_change("meanwhile"); // the leader has something to send
    sim.run(random.u64(0..400) * MILLISECOND);
    sim.restore_disk(voter, &copy);
    sim.start(voter);
    sim.run(5 * SECOND);
    assert_eq!(sim.violations(), []);
    Some(sim.amnesia_detections == 1)
}

/// Guards against a leader's entries that fill the gap in the log before the voters' answers show it.
#[test]
fn an_outdated_disk_is_detected_whichever_messages_are_lost() {
    let outcomes: Vec<(u64, bool)> = (0..SEEDS)
        .filter_map(|seed| Some((seed, restart_with_outdated_disk(seed)?)))
        .collect();
    assert!(outcomes.len() >= MINIMUM_RESTARTS, "{}", outcomes.len());
    let undetected: Vec<u64> = outcomes
        .iter()
        .filter_map(|(seed, is_detected)| (!is_detected).then_some(*seed))
        .collect();
    assert!(
        undetected.is_empty(),
        "not detected with seeds {undetected:?}"
    );
}
