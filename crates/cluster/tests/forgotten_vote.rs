//! A voter whose disk is restored from a copy forgets a vote. No term may have two leaders afterwards.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use cluster::node::Node;
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::simulation::{Environment, Simulation};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
const SEEDS: u64 = 40;
/// Number of seeds in which the voter has to forget a vote.
const MINIMUM_FORGOTTEN_VOTES: usize = 10;
/// Delay of the vote that is forgotten.
const VOTE_DELAY: Micros = 8 * SECOND;

/// Whether the candidate whose vote was forgotten answers the restarted voter's check of its disk.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Candidate {
    Silent,
    Answers,
}

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

/// Leaders by term, as the members see themselves.
#[derive(Default)]
struct LeaderRecord(RefCell<BTreeMap<u64, BTreeSet<u64>>>);

impl LeaderRecord {
    fn observe(&self, sim: &Simulation) {
        for node in (0..sim.count()).filter_map(|index| sim.node(index)) {
            if node.leader() == Some(node.id()) {
                let mut leaders = self.0.borrow_mut();
                leaders.entry(node.term()).or_default().insert(node.id());
            }
        }
    }

    /// Runs until a condition holds, and returns whether it does.
    fn run_until(
        &self,
        sim: &mut Simulation,
        limit: Micros,
        condition: impl Fn(&Simulation) -> bool,
    ) -> bool {
        let end = sim.now + limit;
        sim.run_until(end, |sim| {
            self.observe(sim);
            condition(sim)
        })
    }

    fn run(&self, sim: &mut Simulation, duration: Micros) {
        self.run_until(sim, duration, |_| false);
    }

    fn terms_with_two_leaders(&self) -> Vec<u64> {
        let leaders = self.0.borrow();
        let several = leaders.iter().filter(|(_, ids)| ids.len() > 1);
        several.map(|(term, _)| *term).collect()
    }
}

fn start_cluster(seed: u64) -> Simulation {
    let mut sim = Simulation::new(3, 3, &rules(), Environment::default(), seed);
    let has_voters = |sim: &Simulation| {
        let leader = sim.leader().and_then(|leader| sim.node(leader));
        leader.is_some_and(|node| node.voters().len() == 3)
            && (0..3).all(|index| sim.permitted_version(index).is_some())
    };
    let end = sim.now + 60 * SECOND;
    assert!(
        sim.run_until(end, has_voters),
        "the voters are not complete"
    );
    sim.run(2 * SECOND);
    sim
}

fn term(sim: &Simulation, index: usize) -> u64 {
    sim.node(index).map_or(0, Node::term)
}

/// Lets a voter vote for a candidate that the leader does not know of, restores the voter's disk from a copy without the vote,
/// and lets the leader lose its leadership and look for votes again. Returns `None` if the voter casts no vote, otherwise the
/// terms with two leaders.
fn forget_a_vote(seed: u64, behavior: Candidate) -> Option<Vec<u64>> {
    let leaders = LeaderRecord::default();
    let mut sim = start_cluster(seed);
    let leader = sim.leader().unwrap();
    let [voter, candidate] = [1, 2].map(|offset| (leader + offset) % 3);
    let voted_term = term(&sim, leader) + 1;
    let copy = sim.copy_disk(voter);

    sim.isolate(leader, true);
    let campaigns = |sim: &Simulation| term(sim, candidate) == voted_term;
    if !leaders.run_until(&mut sim, 2 * SECOND, campaigns) {
        return None;
    }
    sim.delay(voter, candidate, VOTE_DELAY);
    let votes = |sim: &Simulation| term(sim, voter) == voted_term;
    if !leaders.run_until(&mut sim, 100 * MILLISECOND, votes) {
        return None;
    }
    leaders.run(&mut sim, 2 * MILLISECOND);

    sim.kill(voter);
    sim.restore_disk(voter, &copy);
    if behavior == Candidate::Silent {
        sim.pause(candidate, true);
    }
    sim.delay(voter, candidate, 0);
    sim.start(voter);
    leaders.run(&mut sim, 50 * MILLISECOND);
    sim.pause(candidate, true);
    sim.cut(leader, voter, false);
    sim.cut(voter, leader, false);
    leaders.run(&mut sim, SECOND);

    sim.cut(voter, leader, true);
    leaders.run(&mut sim, 3 * SECOND);
    sim.cut(voter, leader, false);
    leaders.run(&mut sim, VOTE_DELAY);
    sim.pause(candidate, false);
    leaders.run(&mut sim, 200 * MILLISECOND);
    Some(leaders.terms_with_two_leaders())
}

fn check_all_seeds(behavior: Candidate) {
    let outcomes: Vec<_> = (0..SEEDS)
        .filter_map(|seed| Some((seed, forget_a_vote(seed, behavior)?)))
        .collect();
    println!(
        "{behavior:?}: a vote was forgotten with {} of {SEEDS} seeds",
        outcomes.len()
    );
    assert!(
        outcomes.len() >= MINIMUM_FORGOTTEN_VOTES,
        "{}",
        outcomes.len()
    );
    let violations: Vec<_> = outcomes
        .iter()
        .filter(|(_, terms)| !terms.is_empty())
        .collect();
    assert!(
        violations.is_empty(),
        "{behavior:?}: seeds and terms with two leaders: {violations:?}"
    );
}

/// The leader's confirmation of the disk must not replace the term that the candidate has named.
#[test]
fn no_term_has_two_leaders_if_the_candidate_names_its_term() {
    check_all_seeds(Candidate::Answers);
}

/// The leader alone can't know of the forgotten vote.
#[test]
fn no_term_has_two_leaders_if_the_candidate_is_silent() {
    check_all_seeds(Candidate::Silent);
}
