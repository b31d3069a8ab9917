//! Model checking of lease, lease, change and recovery: every order of reports, grants, losses, elections, crashes and clocks
//! within a bound, and planted faults that must be found.
use cluster::command::{Command, Member, Proposal};
use cluster::lease_table::{AddressedGrant, LeaseTable};
use cluster::member_lease::{Grant, LeaseDuration, MemberLease, Report, Validation};
use cluster::rules::{Micros, PartitionPolicy, Rules};
use cluster::state_machine::{Effect, Phase, StateMachine, Version};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const NAMES: [&str; 2] = ["a", "b"];
/// States that are looked at in one play; more would take the machine's memory.
const MOST: usize = 6_000_000;
/// Clocks that are as far apart as the rules allow: the first runs fast, the second slow.
const PACE: [Micros; 2] = [1500, 500];

/// What may still happen, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Budget {
    ticks: u8,
    /// Of each instance.
    reports: [u8; 2],
    elections: u8,
    crashes: u8,
    changes: u8,
}

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// An instance does not look at its lease.
    LeaseIgnored,
    /// The new version opens once it is decided, and not once all have closed.
    OpenedAtOnce,
    /// The leader waits for a lease as if clocks did not differ.
    NoDrift,
    /// A grant is taken whatever report it answers.
    AnyGrant,
    /// A leader grants without asking whether it still leads.
    Unconfirmed,
    /// A new leader takes it that nobody holds anything.
    Trusting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Instance {
    lease: MemberLease,
    applied: usize,
    start: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    lease_table: LeaseTable,
    /// How far it knows the log; one that leads in earnest knows all of it.
    applied: usize,
    /// Reports that a majority has let it answer.
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
struct World {
    now: u64,
    log: Vec<Command>,
    instances: [Instance; 2],
    /// Where the log's leader is; others may still take themselves for it.
    elected: usize,
    leaders: [Option<Leader>; 2],
    mail: BTreeSet<Message>,
    reports: BTreeMap<u64, (usize, Report)>,
    budget: Budget,
    /// The newest version that anybody has decided under.
    newest: Version,
    broken: bool,
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Report(usize),
    Deliver(Message, usize),
    Apply(usize),
    Confirm(usize),
    Grant(usize),
    Say(usize),
    Change,
    Elect(usize),
    Crash(usize),
    Decide(usize),
}

/// How a play begins. What a fault needs to show is often a long way from the start, so that some begin on that way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begin {
    /// A change is proposed.
    Proposed,
    /// The second has led, the first was elected since, and a change is proposed there.
    Deposed,
    /// A grant for the second is on its way, and a change is proposed.
    GrantOnItsWay,
}

struct Cluster {
    mode: PartitionPolicy,
    fault: Fault,
    budget: Budget,
    begin: Begin,
}

impl Cluster {
    fn rules(&self) -> Rules {
        Rules {
            lease: 1000,
            change_lease: 500,
            clock_drift_ppm: 500_000,
            change_deadline: 100_000,
            partition_policy: self.mode,
            voters: 1,
        }
    }

    fn lease_table_rules(&self) -> Rules {
        match self.fault {
            // As long as the slow clock's lease by the fast one, which is too short by the drift.
            Fault::NoDrift => Rules {
                clock_drift_ppm: 0,
                ..self.rules()
            },
            _ => self.rules(),
        }
    }

    fn clock(of: usize, now: u64) -> Micros {
        now * PACE[of]
    }

    fn lead(&self, world: &World, at: usize) -> Leader {
        let machine = after(&world.log);
        let mut lease_table = LeaseTable::new(
            Self::clock(at, world.now),
            &machine,
            &self.lease_table_rules(),
        );
        if self.fault == Fault::Trusting {
            machine
                .members
                .values()
                .for_each(|m| lease_table.member_added(m.id));
        }
        Leader {
            lease_table,
            applied: world.log.len(),
            confirmed: BTreeMap::new(),
        }
    }

    /// A leader with what it knows of the log. One that is elected has applied all of it.
    fn leader(world: &mut World, at: usize) -> Option<(&mut Leader, StateMachine)> {
        let all = world.log.len();
        let leader = world.leaders[at].as_mut()?;
        if at == world.elected {
            leader.applied = all;
        }
        let machine = after(&world.log[..leader.applied]);
        Some((leader, machine))
    }

    fn obey(instance: &mut Instance, at: usize, now: u64, effects: Vec<Effect>) {
        let clock = Self::clock(at, now);
        for effect in effects {
            match effect {
                Effect::Validate(p) => accept(&mut instance.lease, clock, p.id),
                Effect::Fence(p) => instance.lease.fence(&p.id),
                Effect::Activate { version, .. } => instance.lease.serve_version(version),
                _ => {}
            }
        }
    }

    /// These report to the one that leads, which answers.
    fn reported(&self, world: &mut World, who: &[usize], leader: usize) {
        who.iter()
            .for_each(|i| _ = self.act(world, &Act::Report(*i)));
        let reports: Vec<Message> = world.mail.iter().cloned().collect();
        reports
            .into_iter()
            .for_each(|l| _ = self.act(world, &Act::Deliver(l, leader)));
        [Act::Confirm(leader), Act::Grant(leader)]
            .iter()
            .for_each(|a| _ = self.act(world, a));
    }

    /// All grants that are on their way come.
    fn granted(&self, world: &mut World) {
        let grants: Vec<Message> = world.mail.iter().cloned().collect();
        grants
            .into_iter()
            .for_each(|l| _ = self.act(world, &Act::Deliver(l, 0)));
    }

    fn act(&self, world: &mut World, act: &Act) -> Option<()> {
        let now = world.now;
        match act {
            Act::Tick => {
                world.budget.ticks = world.budget.ticks.checked_sub(1)?;
                world.now += 1;
            }
            Act::Report(i) => {
                world.budget.reports[*i] = world.budget.reports[*i].checked_sub(1)?;
                let report = world.instances[*i].lease.next_report(Self::clock(*i, now));
                let key = report.sequence << 1 | *i as u64;
                world.mail.insert(Message::Report { from: *i, seq: key });
                world.reports.insert(key, (*i, report));
            }
            Act::Deliver(message, to) => {
                if !world.mail.remove(message) {
                    return None;
                }
                match message {
                    Message::Report { seq, .. } => {
                        let (from, report) = world.reports.remove(seq)?;
                        let clock = Self::clock(*to, now);
                        let (leader, machine) = Self::leader(world, *to)?;
                        leader
                            .lease_table
                            .record_report(clock, from as u64 + 1, &report, &machine);
                    }
                    Message::Grant {
                        to,
                        seq,
                        version,
                        duration,
                    } => {
                        let lease = &mut world.instances[*to].lease;
                        let mut grant = Grant {
                            report_sequence: *seq,
                            version: *version,
                            duration: *duration,
                        };
                        if self.fault == Fault::AnyGrant {
                            // As if it answered the newest report.
                            let report = lease.clone().next_report(Self::clock(*to, now));
                            grant.report_sequence = report.sequence - 1;
                        }
                        if !lease.accept_grant(&grant) {
                            return None;
                        }
                    }
                }
            }
            Act::Apply(i) => {
                let instance = &mut world.instances[*i];
                let command = world.log.get(instance.applied)?;
                let mut machine = after(&world.log[..instance.applied]);
                let effects = machine.apply(command);
                instance.applied += 1;
                Self::obey(instance, *i, now, effects);
                if self.fault == Fault::OpenedAtOnce
                    && let Command::Fence { .. } = command
                {
                    instance.lease.serve_version(machine.version + 1);
                }
            }
            Act::Confirm(i) => {
                if *i != world.elected && self.fault != Fault::Unconfirmed {
                    return None;
                }
                let (leader, _) = Self::leader(world, *i)?;
                if !leader.lease_table.has_pending_reports() {
                    return None;
                }
                leader.confirmed = leader.lease_table.take_pending_reports();
            }
            Act::Grant(i) => {
                let clock = Self::clock(*i, now);
                let (leader, machine) = Self::leader(world, *i)?;
                if leader.confirmed.is_empty() {
                    return None;
                }
                let asked = std::mem::take(&mut leader.confirmed);
                for AddressedGrant { to, grant } in
                    leader.lease_table.grant_leases(clock, &asked, &machine)
                {
                    let (to, seq, version, duration) = (
                        to as usize - 1,
                        grant.report_sequence,
                        grant.version,
                        grant.duration,
                    );
                    world.mail.insert(Message::Grant {
                        to,
                        seq,
                        version,
                        duration,
                    });
                }
            }
            Act::Say(i) => {
                if *i != world.elected {
                    return None; // what it says gets lost
                }
                let clock = Self::clock(*i, now);
                let (leader, machine) = Self::leader(world, *i)?;
                let command = leader.lease_table.next_command(clock, &machine)?;
                world.log.push(command);
            }
            Act::Change => {
                world.budget.changes = world.budget.changes.checked_sub(1)?;
                let at = world.elected;
                let (_, machine) = Self::leader(world, at)?;
                if machine.change.is_some() {
                    return None;
                }
                let id = format!("c{}", world.budget.changes);
                let base_revision = machine.revision;
                world.log.push(Command::Propose(Proposal {
                    id,
                    base_revision,
                    payload: String::new(),
                }));
            }
            Act::Elect(i) => {
                world.budget.elections = world.budget.elections.checked_sub(1)?;
                if *i == world.elected {
                    return None;
                }
                world.elected = *i;
                world.leaders[*i] = Some(self.lead(world, *i));
            }
            Act::Crash(i) => {
                world.budget.crashes = world.budget.crashes.checked_sub(1)?;
                let instance = &mut world.instances[*i];
                let machine = after(&world.log[..instance.applied]);
                instance.start += 1;
                instance.lease = MemberLease::new(
                    self.rules().lease,
                    self.rules().change_lease,
                    instance.start,
                );
                instance.lease.serve_version(machine.version);
                if let Some(change) = &machine.change {
                    let (id, phase) = (change.proposal.id.clone(), change.phase);
                    accept(&mut instance.lease, Self::clock(*i, now), id.clone());
                    if phase == Phase::Fencing {
                        instance.lease.fence(&id);
                    }
                }
                // What led there leads no more, until it is elected anew.
                world.leaders[*i] = None;
            }
            Act::Decide(i) => {
                let clock = Self::clock(*i, now);
                let lease = &world.instances[*i].lease;
                let version = match (self.fault, lease.current()) {
                    (Fault::LeaseIgnored, Some(held)) => held.version,
                    _ => lease.may_decide(clock).ok()?,
                };
                if version == world.newest {
                    return None;
                }
                // Nor before anybody has decided under the new one: from its opening on the old one is over.
                world.broken |= version < world.newest || version < after(&world.log).version;
                world.newest = world.newest.max(version);
                world.done |= world.newest == 1;
            }
        }
        Some(())
    }
}

/// The instance can take the change.
fn accept(lease: &mut MemberLease, now: Micros, change: String) {
    let validation = Validation {
        change,
        fault: None,
    };
    lease.record_validation(now, validation);
}

fn start() -> StateMachine {
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
    let mut machine = StateMachine::bootstrap("m".into(), rules, NAMES[0].into(), member(1), 0, 0);
    machine.apply(&Command::AddMember {
        name: NAMES[1].into(),
        member: member(2),
    });
    machine
}

/// What the log comes to.
fn after(log: &[Command]) -> StateMachine {
    let mut machine = start();
    log.iter().for_each(|c| drop(machine.apply(c)));
    machine
}

impl Model for Cluster {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let instance = || {
            let mut lease = MemberLease::new(self.rules().lease, self.rules().change_lease, 1);
            lease.serve_version(0);
            Instance {
                lease,
                applied: 0,
                start: 1,
            }
        };
        let mut world = World {
            now: 0,
            log: Vec::new(),
            instances: [instance(), instance()],
            elected: 0,
            leaders: [None, None],
            mail: BTreeSet::new(),
            reports: BTreeMap::new(),
            budget: Budget {
                reports: [1; 2],
                ..self.budget
            },
            newest: 0,
            broken: false,
            done: false,
        };
        let first = usize::from(self.begin == Begin::Deposed);
        world.elected = first;
        let mut leader = self.lead(&world, first);
        start()
            .members
            .values()
            .for_each(|m| leader.lease_table.member_added(m.id));
        world.leaders[first] = Some(leader);
        // Both have a lease to begin with.
        self.reported(&mut world, &[0, 1], first);
        self.granted(&mut world);
        assert!(
            world
                .instances
                .iter()
                .all(|i| i.lease.may_decide(0).is_ok())
        );
        match self.begin {
            Begin::Proposed => {}
            Begin::Deposed => {
                world.budget.elections = 1;
                let _ = self.act(&mut world, &Act::Elect(0));
            }
            Begin::GrantOnItsWay => {
                world.budget.reports = [0, 1];
                self.reported(&mut world, &[1], first);
            }
        }
        world.budget = Budget {
            changes: 1,
            ..self.budget
        };
        let _ = self.act(&mut world, &Act::Change);
        world.budget = self.budget;
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        acts.extend([Act::Tick, Act::Change]);
        for i in 0..2 {
            acts.extend([Act::Report(i), Act::Decide(i), Act::Elect(i), Act::Crash(i)]);
            // Where a former leader is the matter, the second hears nothing of the log.
            if self.begin != Begin::Deposed || i == 0 {
                acts.push(Act::Apply(i));
            }
            if world.leaders[i].is_some() {
                acts.extend([Act::Confirm(i), Act::Grant(i), Act::Say(i)]);
            }
        }
        for message in &world.mail {
            match message {
                Message::Grant { .. } => acts.push(Act::Deliver(message.clone(), 0)),
                Message::Report { from, .. } => {
                    let there = (0..2).filter(|l| world.leaders[*l].is_some());
                    // There, too, the second reports to it, and the first to the one elected.
                    let there = there.filter(|l| self.begin != Begin::Deposed || l == from);
                    acts.extend(there.map(|l| Act::Deliver(message.clone(), l)));
                }
            }
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        self.act(&mut next, &act)?;
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody decides under a former version", |_, w: &World| {
                !w.broken
            }),
            Property::sometimes("a change takes hold", |_, w: &World| w.done),
        ]
    }
}

fn check(
    name: &str,
    mode: PartitionPolicy,
    fault: Fault,
    budget: Budget,
    begin: Begin,
) -> (usize, bool, bool) {
    let model = Cluster {
        mode,
        fault,
        budget,
        begin,
    };
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = model
        .checker()
        .threads(cores)
        .target_state_count(MOST)
        .spawn_bfs()
        .join();
    let broken = checker
        .discovery("nobody decides under a former version")
        .is_some();
    let done = checker.discovery("a change takes hold").is_some();
    let (states, unique) = (checker.state_count(), checker.unique_state_count());
    assert!(
        states < MOST,
        "{name}: the play is too large to be looked at whole"
    );
    println!("{name}, {mode:?}: {states} states, {unique} unique, broken: {broken}");
    (unique, broken, done)
}

const LAPSES: Budget = Budget {
    ticks: 3,
    reports: [1, 1],
    elections: 0,
    crashes: 0,
    changes: 0,
};

#[test]
fn nobody_decides_under_a_former_version() {
    let whole = Budget {
        ticks: 1,
        reports: [2, 2],
        ..LAPSES
    };
    let elections = Budget {
        reports: [2, 0],
        elections: 1,
        ..LAPSES
    };
    let crashes = Budget {
        ticks: 2,
        reports: [2, 0],
        crashes: 1,
        ..LAPSES
    };
    for mode in [PartitionPolicy::Reject, PartitionPolicy::Serve] {
        let plays = [
            ("all are heard", whole),
            ("elections", elections),
            ("crashes", crashes),
        ];
        for (name, budget) in plays {
            let (states, broken, done) = check(name, mode, Fault::None, budget, Begin::Proposed);
            assert!(!broken && states > 1_000, "{name}, {mode:?}");
            // Without the other's word a change takes hold only where its lease runs out.
            assert!(
                done || name != "all are heard",
                "{name}, {mode:?}: no change can take hold"
            );
        }
    }
}

/// Each planted fault is found, and without it the same play breaks nothing.
#[test]
fn planted_faults_are_found() {
    let lapses = Budget {
        reports: [2, 0],
        ..LAPSES
    };
    let whole = Budget {
        ticks: 0,
        reports: [2, 2],
        ..LAPSES
    };
    let led = Budget {
        ticks: 3,
        reports: [2, 1],
        changes: 0,
        ..LAPSES
    };
    let late = Budget {
        ticks: 2,
        reports: [2, 1],
        changes: 0,
        ..LAPSES
    };
    let elected = Budget {
        elections: 1,
        reports: [0, 2],
        ..whole
    };
    for (mode, fault, budget, begin) in [
        (
            PartitionPolicy::Reject,
            Fault::LeaseIgnored,
            lapses,
            Begin::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            Fault::NoDrift,
            lapses,
            Begin::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            Fault::OpenedAtOnce,
            whole,
            Begin::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            Fault::Trusting,
            elected,
            Begin::Proposed,
        ),
        (
            PartitionPolicy::Reject,
            Fault::Unconfirmed,
            led,
            Begin::Deposed,
        ),
        (
            PartitionPolicy::Serve,
            Fault::AnyGrant,
            late,
            Begin::GrantOnItsWay,
        ),
    ] {
        let (_, broken, _) = check(&format!("{fault:?}"), mode, fault, budget, begin);
        assert!(broken, "{fault:?} was not found");
        if begin != Begin::Proposed {
            let (_, broken, _) = check(
                &format!("without {fault:?}"),
                mode,
                Fault::None,
                budget,
                begin,
            );
            assert!(!broken, "the play of {fault:?} without it");
        }
    }
}
