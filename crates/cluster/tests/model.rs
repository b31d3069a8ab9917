//! Model checking of fence, lease, change and recovery: every order of reports, grants, losses, elections, crashes and clocks
//! within a bound, and planted faults that must be found.
use cluster::fence::{Fence, Grant, Report, Span};
use cluster::machine::{
    Command, Effect, Machine, Member, Micros, Proposal, Rules, Version, WhenCutOff,
};
use cluster::warden::Warden;
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
    fence: Fence,
    applied: usize,
    start: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    warden: Warden,
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
        span: Span,
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
    mode: WhenCutOff,
    fault: Fault,
    budget: Budget,
    begin: Begin,
}

impl Cluster {
    fn rules(&self) -> Rules {
        Rules {
            lease: 1000,
            short: 500,
            drift: 500_000,
            deadline: 100_000,
            when_cut_off: self.mode,
            voters: 1,
        }
    }

    fn warden_rules(&self) -> Rules {
        match self.fault {
            // As long as the slow clock's lease by the fast one, which is too short by the drift.
            Fault::NoDrift => Rules {
                drift: 0,
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
        let mut warden = Warden::new(Self::clock(at, world.now), &machine, &self.warden_rules());
        if self.fault == Fault::Trusting {
            machine.members.values().for_each(|m| warden.came(m.id));
        }
        Leader {
            warden,
            applied: world.log.len(),
            confirmed: BTreeMap::new(),
        }
    }

    /// A leader with what it knows of the log. One that is elected has applied all of it.
    fn leader(world: &mut World, at: usize) -> Option<(&mut Leader, Machine)> {
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
                Effect::Check(p) => instance.fence.checked(clock, &p.id, None),
                Effect::Close(p) => instance.fence.close(&p.id),
                Effect::Open(version, _) => instance.fence.carried(version),
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
                let report = world.instances[*i].fence.report(Self::clock(*i, now));
                let key = report.seq << 1 | *i as u64;
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
                            .warden
                            .report(clock, from as u64 + 1, &report, &machine);
                    }
                    Message::Grant {
                        to,
                        seq,
                        version,
                        span,
                    } => {
                        let fence = &mut world.instances[*to].fence;
                        let mut grant = Grant {
                            seq: *seq,
                            version: *version,
                            span: *span,
                        };
                        if self.fault == Fault::AnyGrant {
                            // As if it answered the newest report.
                            let report = fence.clone().report(Self::clock(*to, now));
                            grant.seq = report.seq - 1;
                        }
                        if !fence.granted(&grant) {
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
                    && let Command::Close { .. } = command
                {
                    instance.fence.carried(machine.version + 1);
                }
            }
            Act::Confirm(i) => {
                if *i != world.elected && self.fault != Fault::Unconfirmed {
                    return None;
                }
                let (leader, _) = Self::leader(world, *i)?;
                if !leader.warden.is_asked() {
                    return None;
                }
                leader.confirmed = leader.warden.ask();
            }
            Act::Grant(i) => {
                let clock = Self::clock(*i, now);
                let (leader, machine) = Self::leader(world, *i)?;
                if leader.confirmed.is_empty() {
                    return None;
                }
                let asked = std::mem::take(&mut leader.confirmed);
                for (to, g) in leader.warden.confirmed(clock, &asked, &machine) {
                    let (to, seq, version, span) = (to as usize - 1, g.seq, g.version, g.span);
                    world.mail.insert(Message::Grant {
                        to,
                        seq,
                        version,
                        span,
                    });
                }
            }
            Act::Say(i) => {
                if *i != world.elected {
                    return None; // what it says gets lost
                }
                let clock = Self::clock(*i, now);
                let (leader, machine) = Self::leader(world, *i)?;
                let command = leader.warden.step(clock, &machine)?;
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
                let base = machine.entry;
                world.log.push(Command::Propose(Proposal {
                    id,
                    base,
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
                instance.fence = Fence::new(self.rules().lease, self.rules().short, instance.start);
                instance.fence.carried(machine.version);
                if let Some(change) = &machine.change {
                    let (id, phase) = (change.proposal.id.clone(), change.phase);
                    instance.fence.checked(Self::clock(*i, now), &id, None);
                    if phase == cluster::machine::Phase::Closing {
                        instance.fence.close(&id);
                    }
                }
                // What led there leads no more, until it is elected anew.
                world.leaders[*i] = None;
            }
            Act::Decide(i) => {
                let clock = Self::clock(*i, now);
                let fence = &world.instances[*i].fence;
                let version = match (self.fault, fence.right()) {
                    (Fault::LeaseIgnored, Some((version, _))) => version,
                    _ => fence.may_decide(clock).ok()?,
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

fn start() -> Machine {
    let rules = Rules {
        lease: 1000,
        short: 500,
        drift: 500_000,
        deadline: 100_000,
        when_cut_off: WhenCutOff::Refuse,
        voters: 1,
    };
    let member = |id| Member {
        id,
        address: String::new(),
        zone: String::new(),
        drawn: 0,
    };
    let mut machine = Machine::found("m".into(), rules, NAMES[0].into(), member(1), 0, 0);
    machine.apply(&Command::Join {
        name: NAMES[1].into(),
        member: member(2),
    });
    machine
}

/// What the log comes to.
fn after(log: &[Command]) -> Machine {
    let mut machine = start();
    log.iter().for_each(|c| drop(machine.apply(c)));
    machine
}

impl Model for Cluster {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let instance = || {
            let mut fence = Fence::new(self.rules().lease, self.rules().short, 1);
            fence.carried(0);
            Instance {
                fence,
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
            .for_each(|m| leader.warden.came(m.id));
        world.leaders[first] = Some(leader);
        // Both have a lease to begin with.
        self.reported(&mut world, &[0, 1], first);
        self.granted(&mut world);
        assert!(
            world
                .instances
                .iter()
                .all(|i| i.fence.may_decide(0).is_ok())
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
    mode: WhenCutOff,
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
    for mode in [WhenCutOff::Refuse, WhenCutOff::Serve] {
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
            WhenCutOff::Refuse,
            Fault::LeaseIgnored,
            lapses,
            Begin::Proposed,
        ),
        (WhenCutOff::Refuse, Fault::NoDrift, lapses, Begin::Proposed),
        (
            WhenCutOff::Refuse,
            Fault::OpenedAtOnce,
            whole,
            Begin::Proposed,
        ),
        (
            WhenCutOff::Refuse,
            Fault::Trusting,
            elected,
            Begin::Proposed,
        ),
        (WhenCutOff::Refuse, Fault::Unconfirmed, led, Begin::Deposed),
        (
            WhenCutOff::Serve,
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
