//! Simulation of a cluster in virtual time, with clock drift, delayed, lost and blocked messages, paused, killed and restarted processes,
//! and slow or restored disks. An invariant checker examines each version under which a member could decide.
//!
//! A run is determined by its seed.

mod event_queue;
mod faults;
mod invariant_checker;
mod member;
mod network;

use std::collections::BTreeMap;

use crate::command::{Member, Proposal};
use crate::error::NodeError;
use crate::member_lease::{Lease, Validation};
use crate::message::Message;
use crate::node::{JoinRequest, Node, NodeConfig, ProposalKind, TICK_INTERVAL};
use crate::output::Output;
use crate::persistence::PersistedState;
use crate::rules::{Micros, Rules};
use crate::state_machine::{Effect, Phase, StateMachine, Version};

use event_queue::{Event, EventQueue};
use invariant_checker::InvariantChecker;
use member::{Disk, SimulatedMember};
use network::{Link, Network};

pub use invariant_checker::{ChangeProgress, Completion, Violation};
pub use member::DiskCopy;
pub use network::{Environment, Traffic};

/// Simulated time at the start of a simulation.
const START_TIME: Micros = 1_000_000;
/// Interval at which the invariant checker examines all members.
const SAMPLE_INTERVAL: Micros = 10_000;
/// Interval at which a member processes its timers.
const MEMBER_TICK_INTERVAL: Micros = 20_000;
/// Time limit for a join.
const JOIN_TIMEOUT: Micros = 60_000_000;

/// A simulated cluster. Members are identified by their index.
pub struct Simulation {
    /// Simulated time, from which the members' clocks deviate.
    pub now: Micros,
    environment: Environment,
    members: Vec<SimulatedMember>,
    events: EventQueue,
    random: fastrand::Rng,
    network: Network,
    invariant_checker: InvariantChecker,
    /// Counters of all messages sent.
    pub traffic: Traffic,
    /// Number of times that a member detected its amnesia.
    pub amnesia_detections: u64,
    /// Injected bug: members ignore the expiry of their leases.
    pub ignore_lease_expiry: bool,
    /// Injected bug: a restored disk counts as confirmed.
    pub trust_restored_disks: bool,
}

impl Simulation {
    /// Creates a cluster with members spread over zones. The first member bootstraps the cluster, the others join.
    ///
    /// # Panics
    /// A member can't join, which is a bug.
    pub fn new(
        count: usize,
        zones: usize,
        rules: &Rules,
        environment: Environment,
        seed: u64,
    ) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let members = (0..count)
            .map(|index| {
                let clock_error = draw_clock_error(&mut random, environment.clock_drift_ppm);
                SimulatedMember::new(index, zones, clock_error, environment.write_duration)
            })
            .collect();
        let mut simulation = Simulation {
            now: START_TIME,
            environment,
            members,
            events: EventQueue::default(),
            random,
            network: Network::default(),
            invariant_checker: InvariantChecker::default(),
            traffic: Traffic::default(),
            amnesia_detections: 0,
            ignore_lease_expiry: false,
            trust_restored_disks: false,
        };
        simulation.bootstrap(format!("{seed:x}"), rules);
        for index in 1..count {
            simulation.join(index);
        }
        simulation
    }

    fn bootstrap(&mut self, cluster_id: String, rules: &Rules) {
        let first = &mut self.members[0];
        first.id = 1;
        let member = Member {
            id: first.id,
            address: first.name.clone(),
            zone: first.zone.clone(),
            join_nonce: 0,
        };
        let name = first.name.clone();
        let state_machine = StateMachine::bootstrap(cluster_id, rules.clone(), name, member, 0, 0);
        first.disk = Disk {
            state: PersistedState::bootstrap(&state_machine, String::new(), first.id),
            snapshot_index: 1,
        };
        self.start(0);
        self.events.push(self.now + SAMPLE_INTERVAL, Event::Sample);
    }

    /// Lets a member join, or join again with an empty disk.
    ///
    /// # Panics
    /// The member can't join within a minute.
    pub fn join(&mut self, index: usize) {
        let end = self.now + JOIN_TIMEOUT;
        let nonce = self.random.u64(1..);
        loop {
            assert!(self.now < end, "{} can't join", self.members[index].name);
            if let Some(id) = self.request_join(index, nonce) {
                let member = &mut self.members[index];
                member.id = id;
                member.disk = Disk::default();
                member.incarnation = 0;
                self.start(index);
                return;
            }
            self.run(TICK_INTERVAL);
        }
    }

    fn request_join(&mut self, index: usize, nonce: u64) -> Option<u64> {
        let leader = self.leader()?;
        let name = self.members[index].name.clone();
        let zone = self.members[index].zone.clone();
        let clock = self.clock(leader);
        let request = JoinRequest {
            name: &name,
            address: &name,
            zone: &zone,
            nonce,
        };
        let node = self.members[leader].node.as_mut();
        let joined = node.map(|node| node.add_member(clock, &request));
        self.process_outputs(leader);
        joined?.ok()?
    }

    /// Starts the process of a member with the state on its disk.
    ///
    /// # Panics
    /// The state can't be read, which is a bug.
    pub fn start(&mut self, index: usize) {
        let clock = self.clock(index);
        let seed = self.random.u64(..);
        let member = &mut self.members[index];
        member.incarnation += 1;
        member.deferred_events.clear();
        member.is_paused = false;
        let is_restored = std::mem::take(&mut member.is_disk_restored);
        let config = NodeConfig {
            id: member.id,
            incarnation: member.incarnation,
            is_disk_confirmed: !is_restored || self.trust_restored_disks,
            seed,
        };
        let node = Node::new(&config, &member.disk.state, clock);
        member.node = Some(node.expect("the state can be read"));
        self.schedule_tick(index);
        self.process_outputs(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        let tick = Event::Tick {
            member: index,
            incarnation: self.members[index].incarnation,
        };
        self.events.push(self.now, tick);
    }

    /// Returns true if a member's process is running and not paused.
    pub fn is_running(&self, index: usize) -> bool {
        self.members[index].is_running()
    }

    /// Returns the node of a member whose process is running or paused.
    pub fn node(&self, index: usize) -> Option<&Node> {
        self.members[index].node.as_ref()
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns the leader; if several members consider themselves the leader, the one with the latest term.
    pub fn leader(&self) -> Option<usize> {
        (0..self.members.len())
            .filter(|index| self.is_running(*index))
            .filter(|index| self.node(*index).is_some_and(Node::is_leader))
            .max_by_key(|index| self.node(*index).map(Node::term))
    }

    /// Returns the recorded violations of the invariant.
    pub fn violations(&self) -> &[Violation] {
        &self.invariant_checker.violations
    }

    /// Returns the progress of all proposed changes, by id.
    pub fn changes(&self) -> &BTreeMap<String, ChangeProgress> {
        &self.invariant_checker.changes
    }

    /// Proposes a change to the leader.
    ///
    /// # Errors
    /// There is no leader, or it can't accept the proposal.
    pub fn propose_change(&mut self, id: &str) -> Result<(), NodeError> {
        let leader = self.leader().ok_or(NodeError::NotLeader)?;
        let clock = self.clock(leader);
        let node = self.members[leader].node.as_mut();
        let node = node.ok_or(NodeError::NotLeader)?;
        let proposal = Proposal {
            id: id.to_owned(),
            base_revision: node.state_machine().map_or(0, |state| state.revision),
            payload: String::new(),
        };
        node.propose(clock, proposal, ProposalKind::Change)?;
        self.invariant_checker.record_proposal(self.now, id);
        self.process_outputs(leader);
        Ok(())
    }

    /// Requests the removal of a member from the leader; returns true once it is removed.
    ///
    /// # Errors
    /// There is no leader, or [`Node::remove_member`] fails.
    pub fn remove_member(&mut self, index: usize) -> Result<bool, NodeError> {
        let leader = self.leader().ok_or(NodeError::NotLeader)?;
        let clock = self.clock(leader);
        let name = self.members[index].name.clone();
        let node = self.members[leader].node.as_mut();
        let node = node.ok_or(NodeError::NotLeader)?;
        let removed = node.remove_member(clock, &name);
        self.process_outputs(leader);
        removed
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Micros) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Advances the simulation until a condition holds, or until `end`; returns true if the condition holds.
    pub fn run_until(&mut self, end: Micros, condition: impl Fn(&Simulation) -> bool) -> bool {
        while let Some(due) = self.events.pop_until(end) {
            self.now = self.now.max(due.at);
            let is_sample = matches!(due.event, Event::Sample);
            self.process(due.event);
            if is_sample && condition(self) {
                return true;
            }
        }
        self.now = self.now.max(end);
        condition(self)
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Sample => {
                (0..self.members.len()).for_each(|index| self.check_permission(index));
                self.invariant_checker
                    .record_leases(self.now, &self.running_leases());
                self.events.push(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
            Event::Tick {
                member,
                incarnation,
            } => self.process_tick(member, incarnation),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Validated {
                member,
                incarnation,
                change,
            } => self.finish_validation(member, incarnation, change),
        }
    }

    fn process_tick(&mut self, index: usize, incarnation: u32) {
        if self.members[index].incarnation != incarnation || !self.is_running(index) {
            return;
        }
        self.call_node(index, |node, clock| node.tick(clock));
        self.process_outputs(index);
        let tick = Event::Tick {
            member: index,
            incarnation,
        };
        self.events.push(self.now + MEMBER_TICK_INTERVAL, tick);
    }

    fn deliver(&mut self, to: usize, from: u64, message: Message) {
        let receiver = &mut self.members[to];
        if receiver.is_paused {
            let event = Event::Deliver { to, from, message };
            receiver.deferred_events.push(event);
            return;
        }
        self.call_node(to, |node, clock| node.receive(clock, from, message));
        self.process_outputs(to);
    }

    fn finish_validation(&mut self, index: usize, incarnation: u32, change: String) {
        let member = &mut self.members[index];
        if member.incarnation != incarnation {
            return;
        }
        if member.is_paused {
            member.deferred_events.push(Event::Validated {
                member: index,
                incarnation,
                change,
            });
            return;
        }
        let validation = Validation {
            change,
            fault: member.validation_fault.clone(),
        };
        self.call_node(index, |node, clock| {
            node.change_validated(clock, validation)
        });
        self.process_outputs(index);
    }

    /// Performs the outputs of a member's node.
    fn process_outputs(&mut self, index: usize) {
        loop {
            let Some(node) = &mut self.members[index].node else {
                return;
            };
            let outputs = node.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.process_output(index, output);
            }
        }
        self.check_permission(index);
    }

    fn process_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Persist(persist) => self.members[index].write(self.now, persist),
            Output::Send { to, message } => self.send(index, to, message),
            Output::Effect(effect) => self.process_effect(index, effect),
            Output::Restore { state_machine, .. } => self.process_restore(index, state_machine),
            Output::SnapshotNeeded => {
                self.call_node(index, |node, clock| node.compact(clock, String::new()));
            }
            // The member stays without a node until the test lets it join again.
            Output::AmnesiaDetected { .. } => {
                self.amnesia_detections += 1;
                self.members[index].node = None;
            }
            Output::LeaseChanged(_) | Output::ReadsConfirmed(_) | Output::ReadsRejected(_) => {}
        }
    }

    fn process_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Validate(proposal) => {
                let longest = self.environment.validation_duration;
                let end = self.now + self.random.u64(..=longest);
                self.schedule_validation(index, end, proposal.id);
            }
            Effect::Fence(proposal) => {
                self.call_node(index, |node, clock| node.change_fenced(clock, &proposal.id));
            }
            Effect::Activate { version, .. } => {
                self.call_node(index, |node, clock| node.version_served(clock, version));
            }
            Effect::Completed { id, outcome } => {
                self.invariant_checker
                    .record_outcome(self.now, &id, outcome);
            }
            Effect::Store(_) | Effect::MembersChanged => {}
        }
    }

    fn process_restore(&mut self, index: usize, state_machine: StateMachine) {
        let version = state_machine.version;
        self.call_node(index, |node, clock| node.version_served(clock, version));
        let Some(change) = state_machine.change else {
            return;
        };
        let id = change.proposal.id;
        match change.phase {
            Phase::Fencing => self.call_node(index, |node, clock| node.change_fenced(clock, &id)),
            Phase::Validating => self.schedule_validation(index, self.now, id),
        }
    }

    fn schedule_validation(&mut self, index: usize, at: Micros, change: String) {
        let event = Event::Validated {
            member: index,
            incarnation: self.members[index].incarnation,
            change,
        };
        self.events.push(at, event);
    }

    fn send(&mut self, from: usize, to_id: u64, message: Message) {
        self.traffic.count(&message);
        let receiver = self.members.iter().position(|member| member.id == to_id);
        let Some(to) = receiver else { return };
        let link = Link { from, to };
        let delay = self
            .network
            .draw_delay(link, &self.environment, &mut self.random);
        let Some(delay) = delay else { return };
        let sender = &self.members[from];
        let departure = sender.writes_done_at.max(self.now);
        let event = Event::Deliver {
            to,
            from: sender.id,
            message,
        };
        self.events.push(departure + delay, event);
    }

    fn clock(&self, index: usize) -> Micros {
        self.members[index].clock(self.now)
    }

    /// Calls a member's node, if it has one, with the time on its clock.
    fn call_node(&mut self, index: usize, call: impl FnOnce(&mut Node, Micros)) {
        let clock = self.clock(index);
        if let Some(node) = &mut self.members[index].node {
            call(node, clock);
        }
    }

    /// Returns the version under which a member may decide now.
    pub fn permitted_version(&self, index: usize) -> Option<Version> {
        let node = self.node(index).filter(|_| self.is_running(index))?;
        if self.ignore_lease_expiry
            && let Some(lease) = node.lease().current()
        {
            return Some(lease.version);
        }
        node.lease().may_decide(self.clock(index)).ok()
    }

    fn check_permission(&mut self, index: usize) {
        if let Some(version) = self.permitted_version(index) {
            let name = &self.members[index].name;
            self.invariant_checker
                .record_permission(self.now, name, version);
        }
    }

    fn running_leases(&self) -> Vec<Lease> {
        self.members
            .iter()
            .filter(|member| !member.is_paused)
            .filter_map(|member| member.node.as_ref()?.lease().current())
            .collect()
    }
}

/// Draws the deviation of a clock's rate in parts per million.
fn draw_clock_error(random: &mut fastrand::Rng, drift_ppm: u32) -> i64 {
    match i64::from(drift_ppm) {
        0 => 0,
        drift => random.i64(-drift..=drift),
    }
}
