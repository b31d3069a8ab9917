//! Simulated clusters under faults. Injected bugs show that the invariant checker of the simulation detects violations.
use cluster::node::Node;
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::simulation::{Completion, Environment, Simulation};
use cluster::state_machine::Outcome;

const SECOND: Micros = 1_000_000;

fn rules(partition_policy: PartitionPolicy) -> Rules {
    Rules {
        lease: 5 * SECOND,
        change_lease: 3 * SECOND,
        clock_drift_ppm: 20_000,
        change_deadline: 15 * SECOND,
        partition_policy,
        voters: 3,
    }
}

fn wait_until_all_may_decide(sim: &mut Simulation) {
    let end = sim.now + 60 * SECOND;
    let all = |s: &Simulation| {
        (0..s.count()).all(|i| !s.is_running(i) || s.permitted_version(i).is_some())
    };
    assert!(
        sim.run_until(end, all),
        "some running member may not decide"
    );
}

fn start_cluster(count: usize, policy: PartitionPolicy, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, 3, &rules(policy), Environment::default(), seed);
    wait_until_all_may_decide(&mut sim);
    let voters = |s: &Simulation| {
        s.leader()
            .and_then(|l| s.node(l))
            .is_some_and(|n| n.voters().len() == 3.min(s.count()))
    };
    let end = sim.now + 60 * SECOND;
    assert!(sim.run_until(end, voters), "the voters are not complete");
    sim
}

/// Proposes a change, retrying while no leader accepts it, and returns its outcome and duration.
fn complete_change(sim: &mut Simulation, id: &str, timeout: Micros) -> (Outcome, Micros) {
    let end = sim.now + timeout;
    let begin = sim.now;
    while sim.propose_change(id).is_err() {
        assert!(sim.now < end, "no leader accepts {id}");
        sim.run(100_000);
    }
    let ended = |s: &Simulation| s.changes()[id].completion.is_some();
    assert!(sim.run_until(end, ended), "{id} does not complete");
    let Completion { at, outcome } = sim.changes()[id].completion.clone().unwrap();
    (outcome, at - begin)
}

#[test]
fn a_change_takes_effect_on_all_members_and_voters_are_spread_over_zones() {
    let mut sim = start_cluster(7, PartitionPolicy::Reject, 1);
    let (outcome, duration) = complete_change(&mut sim, "one", 10 * SECOND);
    assert_eq!(outcome, Outcome::Activated(1));
    assert!(duration < SECOND, "{duration} us");
    let leader: &Node = sim.node(sim.leader().unwrap()).unwrap();
    let state_machine = leader.state_machine().unwrap();
    let mut zones: Vec<&str> = state_machine
        .members
        .values()
        .filter(|m| leader.voters().contains(&m.id))
        .map(|m| m.zone.as_str())
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, ["z0", "z1", "z2"]);
    sim.run(SECOND);
    assert!((0..7).all(|i| sim.permitted_version(i) == Some(1)));
    assert_eq!(sim.violations(), []);
}

#[test]
fn one_member_that_rejects_a_change_aborts_it() {
    let mut sim = start_cluster(5, PartitionPolicy::Reject, 2);
    sim.set_validation_fault(4, Some("its listener's port is taken"));
    let (outcome, _) = complete_change(&mut sim, "one", 10 * SECOND);
    let Outcome::Aborted(reasons) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(
        (reasons[0].member.as_str(), reasons[0].detail.as_str()),
        ("i4", "its listener's port is taken")
    );
    sim.set_validation_fault(4, None);
    assert_eq!(
        complete_change(&mut sim, "two", 10 * SECOND).0,
        Outcome::Activated(1),
        "an aborted change uses up no version"
    );
    assert_eq!(sim.violations(), []);
}

#[test]
fn under_reject_a_change_waits_for_an_unreachable_member_until_its_lease_expires() {
    for (seed, failure) in ["cut", "killed", "paused"].iter().enumerate() {
        let mut sim = start_cluster(6, PartitionPolicy::Reject, 10 + seed as u64);
        let unreachable = (0..6).find(|i| Some(*i) != sim.leader()).unwrap();
        match *failure {
            "cut" => sim.isolate(unreachable, true),
            "killed" => sim.kill(unreachable),
            _ => sim.pause(unreachable, true),
        }
        let (outcome, duration) = complete_change(&mut sim, "one", 30 * SECOND);
        assert_eq!(outcome, Outcome::Activated(1), "{failure}");
        assert!(
            duration > 3 * SECOND && duration < 6 * SECOND,
            "{failure}: {duration} us"
        );
        sim.run(2 * SECOND);
        match *failure {
            "cut" => sim.isolate(unreachable, false),
            "killed" => sim.start(unreachable),
            _ => sim.pause(unreachable, false),
        }
        assert_eq!(
            sim.permitted_version(unreachable),
            None,
            "{failure}: the member has not caught up yet"
        );
        wait_until_all_may_decide(&mut sim);
        assert_eq!(sim.permitted_version(unreachable), Some(1));
        assert_eq!(sim.violations(), [], "{failure}");
    }
}

#[test]
fn under_serve_an_unreachable_member_aborts_changes_until_it_is_removed() {
    let mut sim = start_cluster(5, PartitionPolicy::Serve, 20);
    let unreachable = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.isolate(unreachable, true);
    let (outcome, duration) = complete_change(&mut sim, "one", 40 * SECOND);
    let Outcome::Aborted(reasons) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(
        (reasons.len(), reasons[0].member.clone()),
        (1, format!("i{unreachable}"))
    );
    assert!(duration >= 15 * SECOND, "{duration}");
    assert_eq!(
        sim.permitted_version(unreachable),
        Some(0),
        "the member continues to serve"
    );
    sim.kill(unreachable); // An operator removes a member only after it has stopped.
    let end = sim.now + 30 * SECOND;
    while sim.remove_member(unreachable) != Ok(true) {
        assert!(sim.now < end);
        sim.run(100_000);
    }
    assert_eq!(
        complete_change(&mut sim, "two", 40 * SECOND).0,
        Outcome::Activated(1)
    );
    assert_eq!(sim.violations(), []);
}

#[test]
fn without_a_quorum_members_reject_after_a_lease_or_serve_on() {
    for (policy, serves) in [
        (PartitionPolicy::Reject, false),
        (PartitionPolicy::Serve, true),
    ] {
        let mut sim = start_cluster(6, policy, 30);
        let leader = sim.node(sim.leader().unwrap()).unwrap();
        let voters = leader.voters();
        let stopped: Vec<usize> = (0..6)
            .filter(|i| voters.contains(&sim.node(*i).unwrap().id()))
            .take(2)
            .collect();
        stopped.iter().for_each(|i| sim.kill(*i));
        sim.run(3 * SECOND);
        let remaining: Vec<usize> = (0..6).filter(|i| !stopped.contains(i)).collect();
        assert!(
            remaining
                .iter()
                .all(|i| sim.permitted_version(*i) == Some(0)),
            "leases hold for at least a lease less a report interval"
        );
        sim.run(3 * SECOND);
        assert!(
            remaining
                .iter()
                .all(|i| sim.permitted_version(*i).is_some() == serves),
            "{policy:?}"
        );
        stopped.iter().for_each(|i| sim.start(*i));
        wait_until_all_may_decide(&mut sim);
        assert_eq!(
            complete_change(&mut sim, "one", 30 * SECOND).0,
            Outcome::Activated(1)
        );
        assert_eq!(sim.violations(), []);
    }
}

#[test]
fn a_member_behind_the_compacted_log_receives_a_snapshot() {
    let mut sim = start_cluster(5, PartitionPolicy::Reject, 40);
    let unreachable = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.isolate(unreachable, true);
    for n in 0..400 {
        assert!(matches!(
            complete_change(&mut sim, &format!("c{n}"), 30 * SECOND).0,
            Outcome::Activated(_)
        ));
    }
    sim.isolate(unreachable, false);
    wait_until_all_may_decide(&mut sim);
    assert_eq!(sim.permitted_version(unreachable), Some(400));
    // All members restart from their disks.
    (0..5).for_each(|i| sim.kill(i));
    (0..5).for_each(|i| sim.start(i));
    wait_until_all_may_decide(&mut sim);
    assert!((0..5).all(|i| sim.permitted_version(i) == Some(400)));
    assert_eq!(
        complete_change(&mut sim, "last", 30 * SECOND).0,
        Outcome::Activated(401)
    );
    assert_eq!(sim.violations(), []);
}

#[test]
fn partitions_that_both_receive_proposals_agree_after_healing() {
    let mut sim = start_cluster(6, PartitionPolicy::Reject, 50);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let votes = |sim: &Simulation, i: usize| voters.contains(&sim.node(i).unwrap().id());
    // The leader and all members that are not voters are separated from the other voters.
    let (without_quorum, with_quorum): (Vec<usize>, Vec<usize>) =
        (0..6).partition(|i| *i == leader || !votes(&sim, *i));
    let cut = |sim: &mut Simulation, on| {
        for (a, b) in without_quorum
            .iter()
            .flat_map(|a| with_quorum.iter().map(move |b| (*a, *b)))
        {
            sim.cut(a, b, on);
            sim.cut(b, a, on);
        }
    };
    cut(&mut sim, true);
    sim.propose_change("without_quorum").unwrap(); // The old leader still considers itself the leader.
    sim.run(4 * SECOND);
    let (outcome, _) = complete_change(&mut sim, "with_quorum", 30 * SECOND);
    assert_eq!(outcome, Outcome::Activated(1));
    sim.run(SECOND);
    assert!(
        without_quorum
            .iter()
            .all(|i| sim.permitted_version(*i).is_none()),
        "their leases have expired"
    );
    cut(&mut sim, false);
    wait_until_all_may_decide(&mut sim);
    sim.run(SECOND);
    assert!((0..6).all(|i| sim.permitted_version(i) == Some(1)));
    assert!((0..6).all(|i| {
        sim.node(i)
            .unwrap()
            .state_machine()
            .unwrap()
            .outcome("without_quorum")
            .is_none()
    }));
    assert_eq!(sim.violations(), []);
}

#[test]
fn a_slow_disk_does_not_delay_changes_for_long_and_a_removed_member_is_ignored() {
    let mut sim = start_cluster(5, PartitionPolicy::Reject, 60);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let voter = (0..5)
        .find(|i| *i != leader && voters.contains(&sim.node(*i).unwrap().id()))
        .unwrap();
    sim.set_write_duration(voter, 2 * SECOND);
    for n in 0..5 {
        let (outcome, duration) = complete_change(&mut sim, &format!("c{n}"), 30 * SECOND);
        assert!(
            matches!(outcome, Outcome::Activated(_)) && duration < 8 * SECOND,
            "{outcome:?} after {duration}"
        );
    }
    sim.set_write_duration(voter, 1000);
    sim.run(5 * SECOND);
    let removed = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    let end = sim.now + 30 * SECOND;
    sim.isolate(removed, true);
    while sim.remove_member(removed) != Ok(true) {
        assert!(sim.now < end);
        sim.run(100_000);
    }
    let term = sim.node(sim.leader().unwrap()).unwrap().term();
    sim.isolate(removed, false); // The member does not know of its removal and requests votes.
    sim.run(20 * SECOND);
    assert_eq!(sim.node(sim.leader().unwrap()).unwrap().term(), term);
    assert_eq!(sim.permitted_version(removed), None);
    assert!(matches!(
        complete_change(&mut sim, "last", 30 * SECOND).0,
        Outcome::Activated(_)
    ));
    assert_eq!(sim.violations(), []);
}

/// Proposes a series of changes under random faults. `ignore_lease_expiry` injects a bug.
fn run_with_random_faults(
    policy: PartitionPolicy,
    seed: u64,
    ignore_lease_expiry: bool,
) -> Simulation {
    let environment = Environment {
        lost_per_thousand: 10,
        ..Environment::default()
    };
    let mut sim = Simulation::new(7, 3, &rules(policy), environment, seed);
    wait_until_all_may_decide(&mut sim);
    sim.ignore_lease_expiry = ignore_lease_expiry;
    let mut random = fastrand::Rng::with_seed(seed ^ 0xFA);
    for round in 0..12 {
        for i in 0..7 {
            match random.u32(..14) {
                0 => sim.kill(i),
                1 => sim.pause(i, true),
                2 => sim.isolate(i, true),
                3 => (0..7).filter(|o| *o != i).for_each(|o| sim.cut(i, o, true)),
                4 => (0..7).for_each(|o| sim.delay(o, i, 8 * SECOND)),
                _ => {}
            }
        }
        let _ = sim.propose_change(&format!("c{round}")); // There may be no leader.
        sim.run(random.u64(SECOND..12 * SECOND));
        for i in 0..7 {
            sim.isolate(i, false);
            (0..7).for_each(|o| sim.delay(o, i, 0));
            if sim.node(i).is_none() {
                sim.start(i);
            }
            sim.pause(i, false);
        }
        sim.run(random.u64(..4 * SECOND));
    }
    sim
}

#[test]
fn under_random_faults_no_member_decides_under_a_former_version() {
    for policy in [PartitionPolicy::Reject, PartitionPolicy::Serve] {
        let mut activated = 0;
        for seed in 0..6 {
            let mut sim = run_with_random_faults(policy, seed, false);
            assert_eq!(sim.violations(), [], "{policy:?} seed {seed}");
            wait_until_all_may_decide(&mut sim);
            sim.run(30 * SECOND);
            // All members have the same outcome of each change, and no change is still in progress.
            let state_machines: Vec<_> = (0..7)
                .map(|i| sim.node(i).unwrap().state_machine().unwrap())
                .collect();
            assert!(
                state_machines
                    .iter()
                    .all(|m| m.version == state_machines[0].version && m.change.is_none())
            );
            for (id, progress) in sim.changes() {
                let known_outcomes: Vec<_> = state_machines.iter().map(|m| m.outcome(id)).collect();
                assert!(
                    known_outcomes.iter().all(|o| *o == known_outcomes[0]),
                    "{id}: {known_outcomes:?}"
                );
                assert_eq!(
                    progress.completion.as_ref().map(|c| &c.outcome),
                    known_outcomes[0],
                    "{id}"
                );
            }
            activated += state_machines[0].version;
        }
        println!("{policy:?}: {activated} changes took effect");
        assert!(
            activated > 20,
            "{policy:?}: only {activated} changes took effect"
        );
    }
}

#[test]
fn an_ignored_lease_expiry_is_detected() {
    let detected = (0..6)
        .filter(|seed| {
            !run_with_random_faults(PartitionPolicy::Reject, *seed, true)
                .violations()
                .is_empty()
        })
        .count();
    assert!(detected > 0);
}

/// Replaces the disk of a voter by a copy from before a change that only the leader and this voter have acknowledged.
/// `trust_restored_disks` injects a bug.
fn restart_with_stale_disk(trust_restored_disks: bool, seed: u64) -> Simulation {
    let mut sim = start_cluster(3, PartitionPolicy::Reject, seed);
    sim.trust_restored_disks = trust_restored_disks;
    let leader = sim.leader().unwrap();
    let [stale, lagging] = [1, 2].map(|n| (leader + n) % 3);
    assert_eq!(
        complete_change(&mut sim, "before", 10 * SECOND).0,
        Outcome::Activated(1)
    );
    sim.run(SECOND);
    let copy = sim.copy_disk(stale);
    sim.kill(lagging);
    // Acknowledged by the leader and by the voter whose disk is restored.
    assert_eq!(
        complete_change(&mut sim, "acknowledged", 30 * SECOND).0,
        Outcome::Activated(2)
    );
    sim.run(SECOND);
    [leader, stale].iter().for_each(|i| sim.kill(*i));
    sim.restore_disk(stale, &copy);
    // The leader, which has all entries, restarts last.
    [stale, lagging].iter().for_each(|i| sim.start(*i));
    sim.run(30 * SECOND);
    if !trust_restored_disks {
        assert_eq!(
            (sim.leader(), sim.amnesia_detections),
            (None, 0),
            "voters without the acknowledged change elect no leader"
        );
        assert!((0..3).all(|i| sim.permitted_version(i).is_none()));
    }
    sim.start(leader);
    sim.run(30 * SECOND);
    sim
}

#[test]
fn a_member_with_a_stale_disk_does_not_vote_and_no_change_is_lost() {
    for seed in 70..74 {
        let mut sim = restart_with_stale_disk(false, seed);
        assert_eq!(sim.amnesia_detections, 1, "the amnesia is detected");
        let stale = (0..3).find(|i| sim.node(*i).is_none()).unwrap();
        let before = sim.copy_disk(stale);
        sim.join(stale);
        wait_until_all_may_decide(&mut sim);
        assert!(
            (0..3).all(|i| sim.permitted_version(i) == Some(2)),
            "the acknowledged change is in effect"
        );
        assert_ne!(
            sim.copy_disk(stale).id(),
            before.id(),
            "the member has joined under another raft node id"
        );
        assert_eq!(
            complete_change(&mut sim, "after", 30 * SECOND).0,
            Outcome::Activated(3)
        );
        assert_eq!(sim.violations(), []);
    }
}

#[test]
fn a_vote_of_a_member_with_a_stale_disk_is_detected() {
    // Either a member decides under a former version, or the acknowledged change is lost.
    let lost = |sim: &Simulation| {
        let known = (0..3).filter_map(|i| {
            sim.node(i)?
                .state_machine()?
                .outcome("acknowledged")
                .cloned()
        });
        !sim.violations().is_empty() || known.count() < 3
    };
    assert!((70..74).any(|seed| lost(&restart_with_stale_disk(true, seed))));
}

#[test]
fn a_current_disk_is_confirmed_by_all_other_voters() {
    let mut sim = start_cluster(5, PartitionPolicy::Reject, 80);
    assert_eq!(
        complete_change(&mut sim, "one", 10 * SECOND).0,
        Outcome::Activated(1)
    );
    sim.run(SECOND);
    // All members restart with unconfirmed disks and confirm each other's disks.
    (0..5).for_each(|i| sim.kill(i));
    (0..5).for_each(|i| {
        let copy = sim.copy_disk(i);
        sim.restore_disk(i, &copy);
    });
    (0..5).for_each(|i| sim.start(i));
    wait_until_all_may_decide(&mut sim);
    assert_eq!(
        (sim.amnesia_detections, sim.permitted_version(0)),
        (0, Some(1))
    );
    // So is the disk of a single member that restarts while a leader leads.
    let restarted = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.kill(restarted);
    let copy = sim.copy_disk(restarted);
    sim.restore_disk(restarted, &copy);
    sim.start(restarted);
    sim.run(5 * SECOND);
    assert!(sim.node(restarted).unwrap().is_disk_confirmed());
    assert_eq!(
        complete_change(&mut sim, "two", 10 * SECOND).0,
        Outcome::Activated(2)
    );
    assert_eq!(sim.violations(), []);
}

#[test]
fn a_member_that_lost_its_disk_never_gets_its_former_raft_node_id() {
    let mut sim = start_cluster(5, PartitionPolicy::Reject, 90);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let lost = (0..5)
        .find(|i| !voters.contains(&sim.copy_disk(*i).id()))
        .unwrap();
    let before = sim.copy_disk(lost).id();
    sim.kill(lost);
    sim.kill(leader);
    sim.join(lost); // The next leader adds the member without having received a report of it.
    assert!(sim.copy_disk(lost).id() > before);
    sim.start(leader);
    wait_until_all_may_decide(&mut sim);
    assert_eq!(sim.violations(), []);
}

#[test]
fn the_leader_may_crash_at_any_step_of_a_change() {
    let mut outcome_counts = [0; 2];
    for step in 0..80 {
        let mut sim = start_cluster(5, PartitionPolicy::Reject, 100);
        let leader = sim.leader().unwrap();
        // At step 0 no message about the change leaves the leader.
        sim.isolate(leader, step == 0);
        sim.propose_change("one").unwrap();
        sim.run(step * 250); // A change takes 17 ms here.
        sim.kill(leader);
        sim.isolate(leader, false);
        let end = sim.now + 30 * SECOND;
        let is_settled = |s: &Simulation| {
            s.leader()
                .is_some_and(|l| s.node(l).unwrap().state_machine().unwrap().change.is_none())
        };
        assert!(
            sim.run_until(end, is_settled),
            "no leader without a change in progress after {step} steps"
        );
        let next = sim
            .node(sim.leader().unwrap())
            .unwrap()
            .state_machine()
            .unwrap();
        let (outcome, version) = (next.outcome("one").cloned(), next.version);
        match outcome {
            Some(Outcome::Activated(1)) => outcome_counts[1] += 1,
            None => outcome_counts[0] += 1, // The change was lost with the leader and took effect on no member.
            other => panic!("{other:?}"),
        }
        assert_eq!(
            complete_change(&mut sim, "two", 30 * SECOND).0,
            Outcome::Activated(version + 1)
        );
        sim.start(leader);
        wait_until_all_may_decide(&mut sim);
        sim.run(SECOND);
        let outcome_known_by = |i: usize| {
            sim.node(i)
                .unwrap()
                .state_machine()
                .unwrap()
                .outcome("one")
                .cloned()
        };
        assert!(
            (0..5)
                .all(|i| outcome_known_by(i) == outcome
                    && sim.permitted_version(i) == Some(version + 1)),
            "after {step} steps"
        );
        assert_eq!(sim.violations(), [], "after {step} steps");
    }
    assert!(
        outcome_counts.iter().all(|n| *n > 0),
        "{outcome_counts:?}: steps before and after the commit"
    );
}

#[test]
fn many_members_agree_with_a_third_and_with_70_percent_down() {
    for (count, seed) in [(6, 110), (48, 111)] {
        let mut sim = start_cluster(count, PartitionPolicy::Reject, seed);
        let leader = sim.leader().unwrap();
        let voters = sim.node(leader).unwrap().voters();
        let votes = |sim: &Simulation, i: usize| voters.contains(&sim.copy_disk(i).id());
        // The voters keep running; another test covers the loss of the quorum.
        let rest: Vec<usize> = (0..count).filter(|i| !votes(&sim, *i)).collect();
        for (n, part) in [count / 3, count * 7 / 10].into_iter().enumerate() {
            let down: Vec<usize> = rest.iter().copied().take(part).collect();
            down.iter().for_each(|i| sim.kill(*i));
            let (outcome, duration) = complete_change(&mut sim, &format!("c{n}"), 30 * SECOND);
            assert_eq!(outcome, Outcome::Activated(n as u64 + 1));
            assert!(
                duration < 6 * SECOND,
                "{count} members, {part} down: {duration} us"
            );
            down.iter().for_each(|i| sim.start(*i));
            wait_until_all_may_decide(&mut sim);
            sim.run(SECOND);
            assert!((0..count).all(|i| sim.permitted_version(i) == Some(n as u64 + 1)));
        }
        assert_eq!(sim.violations(), []);
    }
}
