//! Model checking of member leases, the lease table and changes: explores every order of reports, grants, message losses, elections,
//! crashes and clock ticks within a budget. Injected bugs show that the check detects violations.
use cluster::command::{Command, Member, Proposal};
use cluster::lease_table::{AddressedGrant, LeaseTable};
use cluster::member_lease::{Grant, LeaseDuration, MemberLease, Report, Validation};
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::state_machine::{Effect, Phase, StateMachine, Version};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const NAMES: [&str; 2] = ["a", "b"];
/// Limit on the number of states of one run, so that it does not exhaust the memory.
const MAX_STATES: usize = 6_000_000;
/// Clock units per tick, by member. The clocks deviate by the maximum that the rules allow: the first runs fast, the second slow.
const CLOCK_RATES: [Micros; 2] = [1500, 500];

/// Remaining number of events by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Budget {
    ticks: u8,
    /// Reports by member.
    reports: [u8; 2],
    elections: u8,
    crashes: u8,
    changes: u8,
}

/// Bug that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// A member ignores the expiry of its lease.
    IgnoredLeaseExpiry,
    /// A member activates the new version when the change is fenced, before all members are fenced.
    ActivatedWhenFenced,
    /// The leader waits for the expiry of a lease without a margin for clock drift.
    NoDriftMargin,
    /// A member accepts a grant regardless of the report that it answers.
    StaleGrantAccepted,
    /// A leader grants leases without confirming its leadership.
    UnconfirmedLeadership,
    /// A new leader assumes that no member has a lease.
    NoLeaseAssumed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SimulatedMember {
    lease: MemberLease,
    applied: usize,
    incarnation: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    lease_table: LeaseTable,
    /// Number of log entries that the leader has applied; the elected leader has applied all of them.
    applied: usize,
    /// Reports received before the leader's latest confirmation of leadership, which may be answered.
    confirmed: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Report {
        from: usize,
        seq: u64,
    },
    Grant {
        to: usize,
        seq: u64,
        version: Version,
        duration: LeaseDuration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterState {
    now: u64,
    log: Vec<Command>,
    members: [SimulatedMember; 2],
    /// Member that is the leader. Deposed leaders may still consider themselves the leader.
    elected: usize,
    leaders: [Option<Leader>; 2],
    messages_in_flight: BTreeSet<Message>,
    reports: BTreeMap<u64, (usize, Report)>,
    budget: Budget,
    /// Latest version under which a member has decided.
    newest_version: Version,
    is_violated: bool,
    is_activated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Report(usize),
    Deliver(Message, usize),
    Apply(usize),
    Confirm(usize),
    Grant(usize),
    Propose(usize),
    BeginChange,
    Elect(usize),
    Crash(usize),
    Decide(usize),
}

/// Initial state of a run. Some bugs show only many steps after the start; their runs start closer to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InitialState {
    /// A change is proposed.
    Proposed,
    /// The second member was the leader, the first has been elected since, and a change is proposed to the first.
    Deposed,
    /// A grant to the second member is in flight, and a change is proposed.
    GrantInFlight,
}

struct ClusterModel {
    policy: PartitionPolicy,
    injected_bug: InjectedBug,
    budget: Budget,
    initial: InitialState,
}

impl ClusterModel {
    fn rules(&self) -> Rules {
        Rules {
            lease: 1000,
            change_lease: 500,
            clock_drift_ppm: 500_000,
            change_deadline: 100_000,
            partition_policy: self.policy,
            voters: 1,
        }
    }

    fn lease_table_rules(&self) -> Rules {
        match self.injected_bug {
            // Without the margin, the leader does not wait long enough for a member with a slower clock.
            InjectedBug::NoDriftMargin => Rules {
                clock_drift_ppm: 0,
                ..self.rules()
            },
            _ => self.rules(),
        }
    }

    fn clock(of: usize, now: u64) -> Micros {
        now * CLOCK_RATES[of]
    }

    fn new_leader(&self, state: &ClusterState, at: usize) -> Leader {
        let state_machine = state_after(&state.log);
        let mut lease_table = LeaseTable::new(
            Self::clock(at, state.now),
            &state_machine,
            &self.lease_table_rules(),
        );
        if self.injected_bug == InjectedBug::NoLeaseAssumed {
            state_machine
                .members
                .values()
                .for_each(|m| lease_table.member_added(m.id));
        }
        Leader {
            lease_table,
            applied: state.log.len(),
            confirmed: BTreeMap::new(),
        }
    }

    /// Returns a leader and its state machine. The elected leader has applied the whole log.
    fn leader_state(state: &mut ClusterState, at: usize) -> Option<(&mut Leader, StateMachine)> {
        let all = state.log.len();
        let leader = state.leaders[at].as_mut()?;
        if at == state.elected {
            leader.applied = all;
        }
        let state_machine = state_after(&state.log[..leader.applied]);
        Some((leader, state_machine))
    }

    fn process_effects(member: &mut SimulatedMember, at: usize, now: u64, effects: Vec<Effect>) {
        let clock = Self::clock(at, now);
        for effect in effects {
            match effect {
                Effect::Validate(p) => accept(&mut member.lease, clock, p.id),
                Effect::Fence(p) => member.lease.fence(&p.id),
                Effect::Activate { version, .. } => member.lease.serve_version(version),
                _ => {}
            }
        }
    }

    /// Delivers reports of `members` to the leader, which grants leases.
    fn exchange_reports(&self, state: &mut ClusterState, members: &[usize], leader: usize) {
        members
            .iter()
            .for_each(|i| _ = self.apply_action(state, &Action::Report(*i)));
        let reports: Vec<Message> = state.messages_in_flight.iter().cloned().collect();
        reports
            .into_iter()
            .for_each(|message| _ = self.apply_action(state, &Action::Deliver(message, leader)));
        [Action::Confirm(leader), Action::Grant(leader)]
            .iter()
            .for_each(|a| _ = self.apply_action(state, a));
    }

    /// Delivers all grants in flight.
    fn deliver_grants(&self, state: &mut ClusterState) {
        let grants: Vec<Message> = state.messages_in_flight.iter().cloned().collect();
        grants
            .into_iter()
            .for_each(|message| _ = self.apply_action(state, &Action::Deliver(message, 0)));
    }

    fn apply_action(&self, state: &mut ClusterState, action: &Action) -> Option<()> {
        let now = state.now;
        match action {
            Action::Tick => {
                state.budget.ticks = state.budget.ticks.checked_sub(1)?;
                state.now += 1;
            }
            Action::Report(i) => {
                state.budget.reports[*i] = state.budget.reports[*i].checked_sub(1)?;
                let report = state.members[*i].lease.next_report(Self::clock(*i, now));
                let key = report.sequence << 1 | *i as u64;
                state
                    .messages_in_flight
                    .insert(Message::Report { from: *i, seq: key });
                state.reports.insert(key, (*i, report));
            }
            Action::Deliver(message, to) => {
                if !state.messages_in_flight.remove(message) {
                    return None;
                }
                match message {
                    Message::Report { seq, .. } => {
                        let (from, report) = state.reports.remove(seq)?;
                        let clock = Self::clock(*to, now);
                        let (leader, state_machine) = Self::leader_state(state, *to)?;
                        leader.lease_table.record_report(
                            clock,
                            from as u64 + 1,
                            &report,
                            &state_machine,
                        );
                    }
                    Message::Grant {
                        to,
                        seq,
                        version,
                        duration,
                    } => {
                        let lease = &mut state.members[*to].lease;
                        let mut grant = Grant {
                            report_sequence: *seq,
                            version: *version,
                            duration: *duration,
                        };
                        if self.injected_bug == InjectedBug::StaleGrantAccepted {
                            // The grant is taken for an answer to the latest report.
                            let report = lease.clone().next_report(Self::clock(*to, now));
                            grant.report_sequence = report.sequence - 1;
                        }
                        if !lease.accept_grant(&grant) {
                            return None;
                        }
                    }
                }
            }
            Action::Apply(i) => {
                let member = &mut state.members[*i];
                let command = state.log.get(member.applied)?;
                let mut state_machine = state_after(&state.log[..member.applied]);
                let effects = state_machine.apply(command);
                member.applied += 1;
                Self::process_effects(member, *i, now, effects);
                if self.injected_bug == InjectedBug::ActivatedWhenFenced
                    && let Command::Fence { .. } = command
                {
                    member.lease.serve_version(state_machine.version + 1);
                }
            }
            Action::Confirm(i) => {
                if *i != state.elected && self.injected_bug != InjectedBug::UnconfirmedLeadership {
                    return None;
                }
                let (leader, _) = Self::leader_state(state, *i)?;
                if !leader.lease_table.has_pending_reports() {
                    return None;
                }
                leader.confirmed = leader.lease_table.take_pending_reports();
            }
            Action::Grant(i) => {
                let clock = Self::clock(*i, now);
                let (leader, state_machine) = Self::leader_state(state, *i)?;
                if leader.confirmed.is_empty() {
                    return None;
                }
                let confirmed_reports = std::mem::take(&mut leader.confirmed);
                for AddressedGrant { to, grant } in
                    leader
                        .lease_table
                        .grant_leases(clock, &confirmed_reports, &state_machine)
                {
                    let (to, seq, version, duration) = (
                        to as usize - 1,
                        grant.report_sequence,
                        grant.version,
                        grant.duration,
                    );
                    state.messages_in_flight.insert(Message::Grant {
                        to,
                        seq,
                        version,
                        duration,
                    });
                }
            }
            Action::Propose(i) => {
                if *i != state.elected {
                    return None; // A deposed leader's proposals are lost.
                }
                let clock = Self::clock(*i, now);
                let (leader, state_machine) = Self::leader_state(state, *i)?;
                let command = leader.lease_table.next_command(clock, &state_machine)?;
                state.log.push(command);
            }
            Action::BeginChange => {
                state.budget.changes = state.budget.changes.checked_sub(1)?;
                let at = state.elected;
                let (_, state_machine) = Self::leader_state(state, at)?;
                if state_machine.change.is_some() {
                    return None;
                }
                let id = format!("c{}", state.budget.changes);
                let base_revision = state_machine.revision;
                state.log.push(Command::Propose(Proposal {
                    id,
                    base_revision,
                    payload: String::new(),
                }));
            }
            Action::Elect(i) => {
                state.budget.elections = state.budget.elections.checked_sub(1)?;
                if *i == state.elected {
                    return None;
                }
                state.elected = *i;
                state.leaders[*i] = Some(self.new_leader(state, *i));
            }
            Action::Crash(i) => {
                state.budget.crashes = state.budget.crashes.checked_sub(1)?;
                let member = &mut state.members[*i];
                let state_machine = state_after(&state.log[..member.applied]);
                member.incarnation += 1;
                member.lease = MemberLease::new(
                    self.rules().lease,
                    self.rules().change_lease,
                    member.incarnation,
                );
                member.lease.serve_version(state_machine.version);
                if let Some(change) = &state_machine.change {
                    let (id, phase) = (change.proposal.id.clone(), change.phase);
                    accept(&mut member.lease, Self::clock(*i, now), id.clone());
                    if phase == Phase::Fencing {
                        member.lease.fence(&id);
                    }
                }
                // A restarted member does not lead until it is elected again.
                state.leaders[*i] = None;
            }
            Action::Decide(i) => {
                let clock = Self::clock(*i, now);
                let lease = &state.members[*i].lease;
                let version = match (self.injected_bug, lease.current()) {
                    (InjectedBug::IgnoredLeaseExpiry, Some(current)) => current.version,
                    _ => lease.may_decide(clock).ok()?,
                };
                if version == state.newest_version {
                    return None;
                }
                // A decision under a former version is a violation as soon as the next one is activated.
                state.is_violated |=
                    version < state.newest_version || version < state_after(&state.log).version;
                state.newest_version = state.newest_version.max(version);
                state.is_activated |= state.newest_version == 1;
            }
        }
        Some(())
    }
}

/// Records that a member accepts a change.
fn accept(lease: &mut MemberLease, now: Micros, change: String) {
    let validation = Validation {
        change,
        fault: None,
    };
    lease.record_validation(now, validation);
}

fn initial_state_machine() -> StateMachine {
    let rules = Rules {
        lease: 1000,
        change_lease: 500,
        clock_drift_ppm: 500_000,
        change_deadline: 100_000,
        partition_policy: PartitionPolicy::Reject,
        voters: 1,
    };
    let member = |id| Member {
        id,
        address: String::new(),
        zone: String::new(),
        join_nonce: 0,
    };
    let mut state_machine =
        StateMachine::bootstrap("m".into(), rules, NAMES[0].into(), member(1), 0, 0);
    state_machine.apply(&Command::AddMember {
        name: NAMES[1].into(),
        member: member(2),
    });
    state_machine
}

/// Returns the state after all entries of a log.
fn state_after(log: &[Command]) -> StateMachine {
    let mut state_machine = initial_state_machine();
    log.iter().for_each(|c| drop(state_machine.apply(c)));
    state_machine
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        let member = || {
            let mut lease = MemberLease::new(self.rules().lease, self.rules().change_lease, 1);
            lease.serve_version(0);
            SimulatedMember {
                lease,
                applied: 0,
                incarnation: 1,
            }
        };
        let mut state = ClusterState {
            now: 0,
            log: Vec::new(),
            members: [member(), member()],
            elected: 0,
            leaders: [None, None],
            messages_in_flight: BTreeSet::new(),
            reports: BTreeMap::new(),
            budget: Budget {
                reports: [1; 2],
                ..self.budget
            },
            newest_version: 0,
            is_violated: false,
            is_activated: false,
        };
        let first = usize::from(self.initial == InitialState::Deposed);
        state.elected = first;
        let mut leader = self.new_leader(&state, first);
        initial_state_machine()
            .members
            .values()
            .for_each(|m| leader.lease_table.member_added(m.id));
        state.leaders[first] = Some(leader);
        // Both members start with a lease.
        self.exchange_reports(&mut state, &[0, 1], first);
        self.deliver_grants(&mut state);
        assert!(state.members.iter().all(|i| i.lease.may_decide(0).is_ok()));
        match self.initial {
            InitialState::Proposed => {}
            InitialState::Deposed => {
                state.budget.elections = 1;
                let _ = self.apply_action(&mut state, &Action::Elect(0));
            }
            InitialState::GrantInFlight => {
                state.budget.reports = [0, 1];
                self.exchange_reports(&mut state, &[1], first);
            }
        }
        state.budget = Budget {
            changes: 1,
            ..self.budget
        };
        let _ = self.apply_action(&mut state, &Action::BeginChange);
        state.budget = self.budget;
        vec![state]
    }

    fn actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        actions.extend([Action::Tick, Action::BeginChange]);
        for i in 0..2 {
            actions.extend([
                Action::Report(i),
                Action::Decide(i),
                Action::Elect(i),
                Action::Crash(i),
            ]);
            // With a deposed leader, the second member receives no log entries.
            if self.initial != InitialState::Deposed || i == 0 {
                actions.push(Action::Apply(i));
            }
            if state.leaders[i].is_some() {
                actions.extend([Action::Confirm(i), Action::Grant(i), Action::Propose(i)]);
            }
        }
        for message in &state.messages_in_flight {
            match message {
                Message::Grant { .. } => actions.push(Action::Deliver(message.clone(), 0)),
                Message::Report { from, .. } => {
                    let leaders = (0..2).filter(|l| state.leaders[*l].is_some());
                    // With a deposed leader, each member reports to itself: the second is the deposed leader, the first
                    // the elected one.
                    let leaders =
                        leaders.filter(|l| self.initial != InitialState::Deposed || l == from);
                    actions.extend(leaders.map(|l| Action::Deliver(message.clone(), l)));
                }
            }
        }
    }

    fn next_state(&self, state: &ClusterState, action: Action) -> Option<ClusterState> {
        let mut next = state.clone();
        self.apply_action(&mut next, &action)?;
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no member decides under a former version",
                |_, state: &ClusterState| !state.is_violated,
            ),
            Property::sometimes("a change takes effect", |_, state: &ClusterState| {
                state.is_activated
            }),
        ]
    }
}

fn check(
    name: &str,
    policy: PartitionPolicy,
    injected_bug: InjectedBug,
    budget: Budget,
    initial: InitialState,
) -> (usize, bool, bool) {
    let model = ClusterModel {
        policy,
        injected_bug,
        budget,
        initial,
    };
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = model
        .checker()
        .threads(cores)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let is_violated = checker
        .discovery("no member decides under a former version")
        .is_some();
    let is_activated = checker.discovery("a change takes effect").is_some();
    let (states, unique) = (checker.state_count(), checker.unique_state_count());
    assert!(
        states < MAX_STATES,
        "{name}: too many states to explore all of them"
    );
    println!("{name}, {policy:?}: {states} states, {unique} unique, violated: {is_violated}");
    (unique, is_violated, is_activated)
}

const BASE_BUDGET: Budget = Budget {
    ticks: 3,
    reports: [1, 1],
    elections: 0,
    crashes: 0,
    changes: 0,
};

#[test]
fn no_member_decides_under_a_former_version() {
    let all_reporting = Budget {
        ticks: 1,
        reports: [2, 2],
        ..BASE_BUDGET
    };
    let elections = Budget {
        reports: [2, 0],
        elections: 1,
        ..BASE_BUDGET
    };
    let crashes = Budget {
        ticks: 2,
        reports: [2, 0],
        crashes: 1,
        ..BASE_BUDGET
    };
    for policy in [PartitionPolicy::Reject, PartitionPolicy::Serve] {
        let runs = [
            ("all members report", all_reporting),
            ("elections", elections),
            ("crashes", crashes),
        ];
        for (name, budget) in runs {
            let (states, is_violated, is_activated) = check(
                name,
                policy,
                InjectedBug::None,
                budget,
                InitialState::Proposed,
            );
            assert!(!is_violated && states > 1_000, "{name}, {policy:?}");
            // Without a report of the other member a change takes effect only once its lease has expired.
            assert!(
                is_activated || name != "all members report",
                "{name}, {policy:?}: no change takes effect"
            );
        }
    }
}

/// Guards against a model that can't detect violations. A run from an advanced initial state has none without the injected bug.
#[test]
fn injected_bugs_are_detected() {
    let expiry_budget = Budget {
        reports: [2, 0],
        ..BASE_BUDGET
    };
    let fencing_budget = Budget {
        ticks: 0,
        reports: [2, 2],
        ..BASE_BUDGET
    };
    let deposed_leader_budget = Budget {
        ticks: 3,
        reports: [2, 1],
        changes: 0,
        ..BASE_BUDGET
    };
    let late_grant_budget = Budget {
        ticks: 2,
        reports: [2, 1],
        changes: 0,
        ..BASE_BUDGET
    };
    let election_budget = Budget {
        elections: 1,
        reports: [0, 2],
        ..fencing_budget
    };
    for (policy, injected_bug, budget, initial) in [
        (
            PartitionPolicy::Reject,
            InjectedBug::IgnoredLeaseExpiry,
            expiry_budget,
            InitialState::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            InjectedBug::NoDriftMargin,
            expiry_budget,
            InitialState::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            InjectedBug::ActivatedWhenFenced,
            fencing_budget,
            InitialState::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            InjectedBug::NoLeaseAssumed,
            election_budget,
            InitialState::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            InjectedBug::UnconfirmedLeadership,
            deposed_leader_budget,
            InitialState::Deposed,
        ),
        (
            PartitionPolicy::Serve,
            InjectedBug::StaleGrantAccepted,
            late_grant_budget,
            InitialState::GrantInFlight,
        ),
    ] {
        let (_, is_violated, _) = check(
            &format!("{injected_bug:?}"),
            policy,
            injected_bug,
            budget,
            initial,
        );
        assert!(is_violated, "{injected_bug:?} was not detected");
        if initial != InitialState::Proposed {
            let (_, is_violated, _) = check(
                &format!("without {injected_bug:?}"),
                policy,
                InjectedBug::None,
                budget,
                initial,
            );
            assert!(!is_violated, "violation without {injected_bug:?}");
        }
    }
}
