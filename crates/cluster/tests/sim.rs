//! Whole nodes in virtual time, with faults between them, and the judge seen failing.
use cluster::node::Node;
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::simulation::{Completion, Environment, Simulation};
use cluster::state_machine::Outcome;

const S: Micros = 1_000_000;

fn rules(partition_policy: PartitionPolicy) -> Rules {
    Rules {
        lease: 5 * S,
        change_lease: 3 * S,
        clock_drift_ppm: 20_000,
        change_deadline: 15 * S,
        partition_policy,
        voters: 3,
    }
}

fn ready(sim: &mut Simulation) {
    let end = sim.now + 60 * S;
    let all = |s: &Simulation| {
        (0..s.count()).all(|i| !s.is_running(i) || s.permitted_version(i).is_some())
    };
    assert!(sim.run_until(end, all), "not all may decide");
}

fn fleet(count: usize, mode: PartitionPolicy, seed: u64) -> Simulation {
    let mut sim = Simulation::new(count, 3, &rules(mode), Environment::default(), seed);
    ready(&mut sim);
    let voters = |s: &Simulation| {
        s.leader()
            .and_then(|l| s.node(l))
            .is_some_and(|n| n.voters().len() == 3.min(s.count()))
    };
    let end = sim.now + 60 * S;
    assert!(sim.run_until(end, voters), "no three voters");
    sim
}

/// Plays a change to its end; returns what became of it and how long that took.
fn change(sim: &mut Simulation, id: &str, most: Micros) -> (Outcome, Micros) {
    let end = sim.now + most;
    let begin = sim.now;
    while sim.propose_change(id).is_err() {
        assert!(sim.now < end, "no leader takes {id}");
        sim.run(100_000);
    }
    let ended = |s: &Simulation| s.changes()[id].completion.is_some();
    assert!(sim.run_until(end, ended), "{id} has no end");
    let Completion { at, outcome } = sim.changes()[id].completion.clone().unwrap();
    (outcome, at - begin)
}

#[test]
fn a_change_takes_hold_everywhere_and_voters_stand_in_different_zones() {
    let mut sim = fleet(7, PartitionPolicy::Reject, 1);
    let (outcome, took) = change(&mut sim, "one", 10 * S);
    assert_eq!(outcome, Outcome::Activated(1));
    assert!(took < S, "{took} us");
    let leader: &Node = sim.node(sim.leader().unwrap()).unwrap();
    let machine = leader.state_machine().unwrap();
    let mut zones: Vec<&str> = machine
        .members
        .values()
        .filter(|m| leader.voters().contains(&m.id))
        .map(|m| m.zone.as_str())
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, ["z0", "z1", "z2"]);
    sim.run(S);
    assert!((0..7).all(|i| sim.permitted_version(i) == Some(1)));
    assert_eq!(sim.violations(), []);
}

#[test]
fn one_instance_that_can_not_take_it_is_enough() {
    let mut sim = fleet(5, PartitionPolicy::Reject, 2);
    sim.set_validation_fault(4, Some("its listener's port is taken"));
    let (outcome, _) = change(&mut sim, "one", 10 * S);
    let Outcome::Aborted(why) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(
        (why[0].member.as_str(), why[0].detail.as_str()),
        ("i4", "its listener's port is taken")
    );
    sim.set_validation_fault(4, None);
    assert_eq!(
        change(&mut sim, "two", 10 * S).0,
        Outcome::Activated(1),
        "its number was not used up"
    );
    assert_eq!(sim.violations(), []);
}

#[test]
fn where_the_cut_off_refuse_a_change_waits_for_their_leases_and_no_longer() {
    for (seed, how) in ["cut", "killed", "paused"].iter().enumerate() {
        let mut sim = fleet(6, PartitionPolicy::Reject, 10 + seed as u64);
        let one = (0..6).find(|i| Some(*i) != sim.leader()).unwrap();
        match *how {
            "cut" => sim.isolate(one, true),
            "killed" => sim.kill(one),
            _ => sim.pause(one, true),
        }
        let (outcome, took) = change(&mut sim, "one", 30 * S);
        assert_eq!(outcome, Outcome::Activated(1), "{how}");
        assert!(took > 3 * S && took < 6 * S, "{how}: {took} us");
        sim.run(2 * S);
        match *how {
            "cut" => sim.isolate(one, false),
            "killed" => sim.start(one),
            _ => sim.pause(one, false),
        }
        assert_eq!(
            sim.permitted_version(one),
            None,
            "{how}: it has not caught up yet"
        );
        ready(&mut sim);
        assert_eq!(sim.permitted_version(one), Some(1));
        assert_eq!(sim.violations(), [], "{how}");
    }
}

#[test]
fn where_the_cut_off_serve_a_change_is_given_up_and_a_removed_member_waited_for_no_more() {
    let mut sim = fleet(5, PartitionPolicy::Serve, 20);
    let one = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.isolate(one, true);
    let (outcome, took) = change(&mut sim, "one", 40 * S);
    let Outcome::Aborted(why) = outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!((why.len(), why[0].member.clone()), (1, format!("i{one}")));
    assert!(took >= 15 * S, "{took}");
    assert_eq!(sim.permitted_version(one), Some(0), "it serves on");
    sim.kill(one); // what an operator says who removes it
    let end = sim.now + 30 * S;
    while sim.remove_member(one) != Ok(true) {
        assert!(sim.now < end);
        sim.run(100_000);
    }
    assert_eq!(change(&mut sim, "two", 40 * S).0, Outcome::Activated(1));
    assert_eq!(sim.violations(), []);
}

#[test]
fn without_a_majority_they_refuse_after_a_lease_or_serve_on() {
    for (mode, serves) in [
        (PartitionPolicy::Reject, false),
        (PartitionPolicy::Serve, true),
    ] {
        let mut sim = fleet(6, mode, 30);
        let leader = sim.node(sim.leader().unwrap()).unwrap();
        let voters = leader.voters();
        let gone: Vec<usize> = (0..6)
            .filter(|i| voters.contains(&sim.node(*i).unwrap().id()))
            .take(2)
            .collect();
        gone.iter().for_each(|i| sim.kill(*i));
        sim.run(3 * S);
        let left: Vec<usize> = (0..6).filter(|i| !gone.contains(i)).collect();
        assert!(
            left.iter().all(|i| sim.permitted_version(*i) == Some(0)),
            "a lease less a report goes on"
        );
        sim.run(3 * S);
        assert!(
            left.iter()
                .all(|i| sim.permitted_version(*i).is_some() == serves),
            "{mode:?}"
        );
        gone.iter().for_each(|i| sim.start(*i));
        ready(&mut sim);
        assert_eq!(change(&mut sim, "one", 30 * S).0, Outcome::Activated(1));
        assert_eq!(sim.violations(), []);
    }
}

#[test]
fn one_that_lags_behind_a_log_that_was_shortened_gets_a_snapshot() {
    let mut sim = fleet(5, PartitionPolicy::Reject, 40);
    let one = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.isolate(one, true);
    for n in 0..400 {
        assert!(matches!(
            change(&mut sim, &format!("c{n}"), 30 * S).0,
            Outcome::Activated(_)
        ));
    }
    sim.isolate(one, false);
    ready(&mut sim);
    assert_eq!(sim.permitted_version(one), Some(400));
    // All start again from what their disks have.
    (0..5).for_each(|i| sim.kill(i));
    (0..5).for_each(|i| sim.start(i));
    ready(&mut sim);
    assert!((0..5).all(|i| sim.permitted_version(i) == Some(400)));
    assert_eq!(change(&mut sim, "last", 30 * S).0, Outcome::Activated(401));
    assert_eq!(sim.violations(), []);
}

#[test]
fn halves_that_both_get_changes_agree_once_they_are_joined() {
    let mut sim = fleet(6, PartitionPolicy::Reject, 50);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let votes = |sim: &Simulation, i: usize| voters.contains(&sim.node(i).unwrap().id());
    // The one that leads stands alone with those that have no vote.
    let (few, most): (Vec<usize>, Vec<usize>) =
        (0..6).partition(|i| *i == leader || !votes(&sim, *i));
    let cut = |sim: &mut Simulation, on| {
        for (a, b) in few.iter().flat_map(|a| most.iter().map(move |b| (*a, *b))) {
            sim.cut(a, b, on);
            sim.cut(b, a, on);
        }
    };
    cut(&mut sim, true);
    sim.propose_change("few").unwrap(); // it still takes itself for the leader
    sim.run(4 * S);
    let (outcome, _) = change(&mut sim, "most", 30 * S);
    assert_eq!(outcome, Outcome::Activated(1));
    sim.run(S);
    assert!(
        few.iter().all(|i| sim.permitted_version(*i).is_none()),
        "their leases are over"
    );
    cut(&mut sim, false);
    ready(&mut sim);
    sim.run(S);
    assert!((0..6).all(|i| sim.permitted_version(i) == Some(1)));
    assert!((0..6).all(|i| {
        sim.node(i)
            .unwrap()
            .state_machine()
            .unwrap()
            .outcome("few")
            .is_none()
    }));
    assert_eq!(sim.violations(), []);
}

#[test]
fn a_slow_disk_holds_no_change_up_for_long_and_a_removed_member_is_not_heard() {
    let mut sim = fleet(5, PartitionPolicy::Reject, 60);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let voter = (0..5)
        .find(|i| *i != leader && voters.contains(&sim.node(*i).unwrap().id()))
        .unwrap();
    sim.set_write_duration(voter, 2 * S);
    for n in 0..5 {
        let (outcome, took) = change(&mut sim, &format!("c{n}"), 30 * S);
        assert!(
            matches!(outcome, Outcome::Activated(_)) && took < 8 * S,
            "{outcome:?} after {took}"
        );
    }
    sim.set_write_duration(voter, 1000);
    sim.run(5 * S);
    let gone = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    let end = sim.now + 30 * S;
    sim.isolate(gone, true);
    while sim.remove_member(gone) != Ok(true) {
        assert!(sim.now < end);
        sim.run(100_000);
    }
    let term = sim.node(sim.leader().unwrap()).unwrap().term();
    sim.isolate(gone, false); // it does not know, and asks for an election
    sim.run(20 * S);
    assert_eq!(sim.node(sim.leader().unwrap()).unwrap().term(), term);
    assert_eq!(sim.permitted_version(gone), None);
    assert!(matches!(
        change(&mut sim, "last", 30 * S).0,
        Outcome::Activated(_)
    ));
    assert_eq!(sim.violations(), []);
}

/// Faults by chance while one change follows another.
fn storm(mode: PartitionPolicy, seed: u64, ignored: bool) -> Simulation {
    let environment = Environment {
        lost_per_thousand: 10,
        ..Environment::default()
    };
    let mut sim = Simulation::new(7, 3, &rules(mode), environment, seed);
    ready(&mut sim);
    sim.ignore_lease_expiry = ignored;
    let mut chance = fastrand::Rng::with_seed(seed ^ 0xFA);
    for round in 0..12 {
        for i in 0..7 {
            match chance.u32(..14) {
                0 => sim.kill(i),
                1 => sim.pause(i, true),
                2 => sim.isolate(i, true),
                3 => (0..7).filter(|o| *o != i).for_each(|o| sim.cut(i, o, true)),
                4 => (0..7).for_each(|o| sim.delay(o, i, 8 * S)),
                _ => {}
            }
        }
        let _ = sim.propose_change(&format!("c{round}")); // there may be no leader
        sim.run(chance.u64(S..12 * S));
        for i in 0..7 {
            sim.isolate(i, false);
            (0..7).for_each(|o| sim.delay(o, i, 0));
            if sim.node(i).is_none() {
                sim.start(i);
            }
            sim.pause(i, false);
        }
        sim.run(chance.u64(..4 * S));
    }
    sim
}

#[test]
fn under_faults_by_chance_no_former_version_is_decided_under() {
    for mode in [PartitionPolicy::Reject, PartitionPolicy::Serve] {
        let mut taken = 0;
        for seed in 0..6 {
            let mut sim = storm(mode, seed, false);
            assert_eq!(sim.violations(), [], "{mode:?} seed {seed}");
            ready(&mut sim);
            sim.run(30 * S);
            // All know the same of each change, and none is half taken.
            let machines: Vec<_> = (0..7)
                .map(|i| sim.node(i).unwrap().state_machine().unwrap())
                .collect();
            assert!(
                machines
                    .iter()
                    .all(|m| m.version == machines[0].version && m.change.is_none())
            );
            for (id, played) in sim.changes() {
                let told: Vec<_> = machines.iter().map(|m| m.outcome(id)).collect();
                assert!(told.iter().all(|o| *o == told[0]), "{id}: {told:?}");
                assert_eq!(
                    played.completion.as_ref().map(|c| &c.outcome),
                    told[0],
                    "{id}"
                );
            }
            taken += machines[0].version;
        }
        println!("{mode:?}: {taken} changes took hold");
        assert!(taken > 20, "{mode:?}: only {taken} changes took hold");
    }
}

#[test]
fn the_judge_sees_a_lease_that_is_ignored() {
    let broken = (0..6)
        .filter(|seed| {
            !storm(PartitionPolicy::Reject, *seed, true)
                .violations()
                .is_empty()
        })
        .count();
    assert!(broken > 0);
}

/// A voter that acknowledged with the one that leads, a third that lags, and the voter's disk as it was before.
fn put_back(all_vote: bool, seed: u64) -> Simulation {
    let mut sim = fleet(3, PartitionPolicy::Reject, seed);
    sim.trust_restored_disks = all_vote;
    let leader = sim.leader().unwrap();
    let [old, lags] = [1, 2].map(|n| (leader + n) % 3);
    assert_eq!(change(&mut sim, "before", 10 * S).0, Outcome::Activated(1));
    sim.run(S);
    let copy = sim.copy_disk(old);
    sim.kill(lags);
    // Acknowledged by the one that leads and by the one whose disk is put back.
    assert_eq!(
        change(&mut sim, "acknowledged", 30 * S).0,
        Outcome::Activated(2)
    );
    sim.run(S);
    [leader, old].iter().for_each(|i| sim.kill(*i));
    sim.restore_disk(old, &copy);
    // The one that has it all comes back last.
    [old, lags].iter().for_each(|i| sim.start(*i));
    sim.run(30 * S);
    if !all_vote {
        assert_eq!(
            (sim.leader(), sim.detected_amnesia),
            (None, 0),
            "two that know nothing of it choose nobody"
        );
        assert!((0..3).all(|i| sim.permitted_version(i).is_none()));
    }
    sim.start(leader);
    sim.run(30 * S);
    sim
}

#[test]
fn a_disk_that_was_put_back_votes_for_nobody_and_loses_nothing() {
    for seed in 70..74 {
        let mut sim = put_back(false, seed);
        assert_eq!(sim.detected_amnesia, 1, "it is seen");
        let old = (0..3).find(|i| sim.node(*i).is_none()).unwrap();
        let before = sim.copy_disk(old);
        sim.join(old);
        ready(&mut sim);
        assert!(
            (0..3).all(|i| sim.permitted_version(i) == Some(2)),
            "nothing is lost"
        );
        assert_ne!(
            sim.copy_disk(old).id(),
            before.id(),
            "it has joined under another number"
        );
        assert_eq!(change(&mut sim, "after", 30 * S).0, Outcome::Activated(3));
        assert_eq!(sim.violations(), []);
    }
}

#[test]
fn the_judge_sees_a_put_back_disk_that_votes() {
    // Either a version is decided under that was there before, or the change is not known any more.
    let lost = |sim: &Simulation| {
        let known = (0..3).filter_map(|i| {
            sim.node(i)?
                .state_machine()?
                .outcome("acknowledged")
                .cloned()
        });
        !sim.violations().is_empty() || known.count() < 3
    };
    assert!((70..74).any(|seed| lost(&put_back(true, seed))));
}

#[test]
fn a_disk_that_was_not_put_back_votes_once_all_others_or_a_leader_say_so() {
    let mut sim = fleet(5, PartitionPolicy::Reject, 80);
    assert_eq!(change(&mut sim, "one", 10 * S).0, Outcome::Activated(1));
    sim.run(S);
    // All machines start again: none knows its disk, and all say so of each other.
    (0..5).for_each(|i| sim.kill(i));
    (0..5).for_each(|i| {
        let copy = sim.copy_disk(i);
        sim.restore_disk(i, &copy);
    });
    (0..5).for_each(|i| sim.start(i));
    ready(&mut sim);
    assert_eq!(
        (sim.detected_amnesia, sim.permitted_version(0)),
        (0, Some(1))
    );
    // One alone is told by the one that leads.
    let one = (0..5).find(|i| Some(*i) != sim.leader()).unwrap();
    sim.kill(one);
    let copy = sim.copy_disk(one);
    sim.restore_disk(one, &copy);
    sim.start(one);
    sim.run(5 * S);
    assert!(sim.node(one).unwrap().is_disk_confirmed());
    assert_eq!(change(&mut sim, "two", 10 * S).0, Outcome::Activated(2));
    assert_eq!(sim.violations(), []);
}

#[test]
fn one_that_lost_its_disk_never_gets_its_number_back_from_a_leader_that_has_not_heard_it() {
    let mut sim = fleet(5, PartitionPolicy::Reject, 90);
    let leader = sim.leader().unwrap();
    let voters = sim.node(leader).unwrap().voters();
    let lost = (0..5)
        .find(|i| !voters.contains(&sim.copy_disk(*i).id()))
        .unwrap();
    let before = sim.copy_disk(lost).id();
    sim.kill(lost);
    sim.kill(leader);
    sim.join(lost); // at whoever leads next, which has not heard it
    assert!(sim.copy_disk(lost).id() > before);
    sim.start(leader);
    ready(&mut sim);
    assert_eq!(sim.violations(), []);
}

#[test]
fn the_one_that_leads_may_die_at_any_step_of_a_change() {
    let mut ends = [0; 2];
    for step in 0..80 {
        let mut sim = fleet(5, PartitionPolicy::Reject, 100);
        let leader = sim.leader().unwrap();
        // Before the first step nothing of it has left the one that leads.
        sim.isolate(leader, step == 0);
        sim.propose_change("one").unwrap();
        sim.run(step * 250); // a change takes 17 ms here
        sim.kill(leader);
        sim.isolate(leader, false);
        let end = sim.now + 30 * S;
        let led = |s: &Simulation| {
            s.leader()
                .is_some_and(|l| s.node(l).unwrap().state_machine().unwrap().change.is_none())
        };
        assert!(sim.run_until(end, led), "after {step} steps it has no end");
        let next = sim
            .node(sim.leader().unwrap())
            .unwrap()
            .state_machine()
            .unwrap();
        let (outcome, version) = (next.outcome("one").cloned(), next.version);
        match outcome {
            Some(Outcome::Activated(1)) => ends[1] += 1,
            None => ends[0] += 1, // it was lost with the one that led, and took hold nowhere
            other => panic!("{other:?}"),
        }
        assert_eq!(
            change(&mut sim, "two", 30 * S).0,
            Outcome::Activated(version + 1)
        );
        sim.start(leader);
        ready(&mut sim);
        sim.run(S);
        let told = |i: usize| {
            sim.node(i)
                .unwrap()
                .state_machine()
                .unwrap()
                .outcome("one")
                .cloned()
        };
        assert!(
            (0..5).all(|i| told(i) == outcome && sim.permitted_version(i) == Some(version + 1)),
            "after {step} steps"
        );
        assert_eq!(sim.violations(), [], "after {step} steps");
    }
    assert!(
        ends.iter().all(|n| *n > 0),
        "{ends:?}: steps before and after it was agreed on"
    );
}

#[test]
fn many_instances_agree_with_a_third_and_with_70_percent_down() {
    for (count, seed) in [(6, 110), (48, 111)] {
        let mut sim = fleet(count, PartitionPolicy::Reject, seed);
        let leader = sim.leader().unwrap();
        let voters = sim.node(leader).unwrap().voters();
        let votes = |sim: &Simulation, i: usize| voters.contains(&sim.copy_disk(i).id());
        // Those who vote stay: without most of them nothing is agreed on, which another test is for.
        let rest: Vec<usize> = (0..count).filter(|i| !votes(&sim, *i)).collect();
        for (n, part) in [count / 3, count * 7 / 10].into_iter().enumerate() {
            let down: Vec<usize> = rest.iter().copied().take(part).collect();
            down.iter().for_each(|i| sim.kill(*i));
            let (outcome, took) = change(&mut sim, &format!("c{n}"), 30 * S);
            assert_eq!(outcome, Outcome::Activated(n as u64 + 1));
            assert!(took < 6 * S, "{count} instances, {part} down: {took} us");
            down.iter().for_each(|i| sim.start(*i));
            ready(&mut sim);
            sim.run(S);
            assert!((0..count).all(|i| sim.permitted_version(i) == Some(n as u64 + 1)));
        }
        assert_eq!(sim.violations(), []);
    }
}
