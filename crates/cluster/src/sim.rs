//! Many instances in virtual time: clocks that drift, links that delay, lose and are cut, processes that stop, die and come
//! back. A judge looks at each decision that any instance could make. The same seed plays the same.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::fence::Until;
use crate::machine::{Effect, Machine, Member, Micros, Outcome, Proposal, Rules, Version};
use crate::node::{Kind, Message, Node, Output, Persist, Refusal, Saved, TICK, found};

/// From one look of the judge at all instances to the next.
const LOOK: Micros = 10_000;
/// From one look of an instance's clock to the next.
const STEP: Micros = 20_000;

/// Bytes that a link puts around a message of the log: its frame and seal, and who sends it, as members of short names and addresses
/// on loopback were counted to send them. A report and a grant are as long as these were, in whole.
const AROUND: usize = 126;
/// As above.
const REPORT: usize = 227;
/// As above.
const GRANT: usize = 190;

/// How links and clocks are.
#[derive(Clone, Copy, Debug)]
pub struct World {
    /// One way.
    pub delay: Micros,
    /// As much more by chance, at most.
    pub jitter: Micros,
    /// Messages lost, of a thousand.
    pub lost: u32,
    /// Clocks are off by so much at most, in millionths.
    pub drift: u32,
    /// An instance takes so long to check a change, at most.
    pub check: Micros,
    /// A write takes so long at each instance.
    pub sync: Micros,
}

impl Default for World {
    fn default() -> Self {
        World {
            delay: 500,
            jitter: 500,
            lost: 0,
            drift: 10_000,
            check: 5_000,
            sync: 1_000,
        }
    }
}

enum Event {
    Clock(usize, u32),
    Deliver {
        to: usize,
        from: u64,
        message: Message,
    },
    Checked(usize, u32, String),
    Look,
}

struct Timed(Micros, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Instance {
    name: String,
    zone: String,
    id: u64,
    node: Option<Node>,
    saved: Saved,
    after: u64,
    start: u32,
    /// Its clock's rate less one, in millionths.
    rate: i64,
    paused: bool,
    /// Its disk was put back from a copy.
    put_back: bool,
    /// What came while it was paused.
    held: Vec<Event>,
    /// Faults that it finds in each change, if any.
    fault: Option<String>,
    busy_until: Micros,
    /// A write takes so long at it.
    sync: Micros,
}

/// What the judge has seen broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When.
    pub at: Micros,
    /// Who.
    pub name: String,
    /// It could decide under this version,
    pub version: Version,
    /// after this one was decided under.
    pub newest: Version,
}

/// What came of a change, in true time.
#[derive(Clone, Debug)]
pub struct Played {
    /// When it was asked for.
    pub asked: Micros,
    /// When the leader knew what became of it.
    pub ended: Option<(Micros, Outcome)>,
    /// When all that can decide did so under it.
    pub everywhere: Option<Micros>,
}

/// Many instances in virtual time.
pub struct Sim {
    /// True time.
    pub now: Micros,
    world: World,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<Timed>>,
    numbered: u64,
    chance: fastrand::Rng,
    /// Pairs whose messages, from the first to the second, get lost.
    cuts: BTreeSet<(usize, usize)>,
    /// Extra delay of messages from the first to the second.
    slow: BTreeMap<(usize, usize), Micros>,
    /// The judge.
    pub newest: Version,
    /// What it has seen broken.
    pub broken: Vec<Broken>,
    /// Changes by id.
    pub played: BTreeMap<String, Played>,
    /// Messages and their bytes.
    pub sent: (u64, u64),
    /// Messages by what they are about, in the order of [`Kind::ALL`].
    pub kinds: [u64; Kind::COUNT],
    /// Instances that could decide, and all that ran, summed over all looks.
    pub looks: (u64, u64),
    /// A fault that is planted to see the judge notice: no instance looks at its lease.
    pub lease_ignored: bool,
    /// Another: one whose disk was put back votes as if it were its newest.
    pub all_vote: bool,
    /// Members that found that they had forgotten what they acknowledged.
    pub forgotten: u64,
}

/// What a disk holds at some moment.
pub struct Copy {
    id: u64,
    saved: Saved,
    after: u64,
}

impl Copy {
    /// The member's number.
    pub fn id(&self) -> u64 {
        self.id
    }
}

impl Sim {
    /// So many instances over so many zones; the first founds the cluster, the others join.
    ///
    /// # Panics
    /// The library does not take what it is given, which is a fault of the program.
    pub fn new(count: usize, zones: usize, rules: &Rules, world: World, seed: u64) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        let drift = i64::from(world.drift);
        let instances = (0..count).map(|i| Instance {
            name: format!("i{i}"),
            zone: format!("z{}", i % zones.max(1)),
            id: 0,
            node: None,
            saved: Saved::default(),
            after: 0,
            start: 0,
            rate: if drift == 0 {
                0
            } else {
                chance.i64(-drift..=drift)
            },
            paused: false,
            put_back: false,
            held: Vec::new(),
            fault: None,
            busy_until: 0,
            sync: world.sync,
        });
        let instances = instances.collect();
        let mut sim = Sim {
            now: 1_000_000,
            world,
            instances,
            events: BinaryHeap::new(),
            numbered: 0,
            chance,
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            newest: 0,
            broken: Vec::new(),
            played: BTreeMap::new(),
            sent: (0, 0),
            kinds: [0; Kind::COUNT],
            looks: (0, 0),
            lease_ignored: false,
            all_vote: false,
            forgotten: 0,
        };
        let first = &mut sim.instances[0];
        let member = Member {
            id: 1,
            address: first.name.clone(),
            zone: first.zone.clone(),
            drawn: 0,
        };
        let machine = Machine::found(
            format!("{seed:x}"),
            rules.clone(),
            first.name.clone(),
            member,
            0,
            0,
        );
        (first.id, first.saved, first.after) = (1, found(&machine, String::new(), 1), 1);
        sim.start(0);
        sim.push(sim.now + LOOK, Event::Look);
        for i in 1..count {
            sim.join(i);
        }
        sim
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.numbered += 1;
        self.events.push(Reverse(Timed(at, self.numbered, event)));
    }

    fn clock(&self, of: usize) -> Micros {
        let rate = 1_000_000 + self.instances[of].rate;
        (self.now as u128 * rate as u128 / 1_000_000) as Micros
    }

    /// An instance joins, or comes again with an empty disk.
    ///
    /// # Panics
    /// It can't within a virtual minute.
    pub fn join(&mut self, i: usize) {
        let end = self.now + 60_000_000;
        let (name, zone) = (
            self.instances[i].name.clone(),
            self.instances[i].zone.clone(),
        );
        let drawn = self.chance.u64(1..);
        loop {
            assert!(self.now < end, "{name} can't join");
            if let Some(leader) = self.leader() {
                let clock = self.clock(leader);
                let node = self.instances[leader].node.as_mut();
                let said = node.map(|n| n.join(clock, &name, &name, &zone, drawn));
                self.carry_out(leader);
                if let Some(Ok(Some(id))) = said {
                    let instance = &mut self.instances[i];
                    (instance.id, instance.saved, instance.after) = (id, Saved::default(), 0);
                    instance.start = 0;
                    self.start(i);
                    return;
                }
            }
            self.run(TICK);
        }
    }

    /// The process of an instance starts, with what its disk has.
    ///
    /// # Panics
    /// What was saved can't be read, which is a fault of the program.
    pub fn start(&mut self, i: usize) {
        let (now, seed) = (self.clock(i), self.chance.u64(..));
        let instance = &mut self.instances[i];
        instance.start += 1;
        instance.held.clear();
        instance.paused = false;
        let saved = Saved {
            snapshot: instance.saved.snapshot.clone(),
            entries: instance.saved.entries.clone(),
            hard: instance.saved.hard.clone(),
            acknowledged: instance.saved.acknowledged.clone(),
        };
        // A process that starts again knows its disk, unless that was put back.
        let proven = !std::mem::take(&mut instance.put_back) || self.all_vote;
        let node = Node::new(instance.id, &saved, instance.start, proven, seed, now);
        instance.node = Some(node.expect("it can be read"));
        let start = instance.start;
        self.push(self.now, Event::Clock(i, start));
        self.carry_out(i);
    }

    /// A copy of what an instance's disk holds.
    pub fn copy(&self, i: usize) -> Copy {
        let one = &self.instances[i];
        Copy {
            id: one.id,
            saved: one.saved.clone(),
            after: one.after,
        }
    }

    /// An instance that does not run has its disk put back from a copy.
    pub fn put_back(&mut self, i: usize, copy: &Copy) {
        let one = &mut self.instances[i];
        (one.id, one.saved, one.after, one.put_back) =
            (copy.id, copy.saved.clone(), copy.after, true);
    }

    /// The process of an instance dies.
    pub fn kill(&mut self, i: usize) {
        self.instances[i].node = None;
    }

    /// The process of an instance stops, or goes on with all that came meanwhile.
    pub fn pause(&mut self, i: usize, paused: bool) {
        self.instances[i].paused = paused;
        for event in std::mem::take(&mut self.instances[i].held) {
            self.push(self.now, event);
        }
        let start = self.instances[i].start;
        self.push(self.now, Event::Clock(i, start));
    }

    /// Messages from one instance to another get lost, or no longer.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// An instance hears and is heard of nobody, or of all again.
    pub fn isolate(&mut self, i: usize, cut: bool) {
        for other in (0..self.instances.len()).filter(|o| *o != i) {
            self.cut(i, other, cut);
            self.cut(other, i, cut);
        }
    }

    /// Messages from one instance to another take so much longer.
    pub fn delay(&mut self, from: usize, to: usize, more: Micros) {
        self.slow.insert((from, to), more);
    }

    /// A write takes so long at an instance: nothing that follows it goes out before.
    pub fn slow_disk(&mut self, i: usize, sync: Micros) {
        self.instances[i].sync = sync;
    }

    /// An instance finds this wrong with every change.
    pub fn fault(&mut self, i: usize, fault: Option<&str>) {
        self.instances[i].fault = fault.map(str::to_owned);
    }

    /// Whether an instance runs.
    pub fn runs(&self, i: usize) -> bool {
        self.instances[i].node.is_some() && !self.instances[i].paused
    }

    /// An instance's part.
    pub fn node(&self, i: usize) -> Option<&Node> {
        self.instances[i].node.as_ref()
    }

    /// How many instances there are.
    pub fn count(&self) -> usize {
        self.instances.len()
    }

    /// The one that leads, the one of the newest term if several think so.
    pub fn leader(&self) -> Option<usize> {
        let leads = (0..self.instances.len()).filter(|i| self.runs(*i));
        let leads = leads.filter(|i| self.node(*i).is_some_and(Node::leads));
        leads.max_by_key(|i| self.node(*i).map(|n| n.position().0))
    }

    /// A change is asked for at the leader; returns its id.
    ///
    /// # Errors
    /// There is no leader, or it can't take it.
    pub fn change(&mut self, id: &str) -> Result<(), Refusal> {
        let leader = self.leader().ok_or(Refusal::NotLeading(None))?;
        let clock = self.clock(leader);
        let now = self.now;
        let Some(node) = &mut self.instances[leader].node else {
            return Err(Refusal::NotLeading(None));
        };
        let base = node.machine().map_or(0, |m| m.entry);
        let proposal = Proposal {
            id: id.to_owned(),
            base,
            payload: String::new(),
        };
        node.propose(clock, proposal, false)?;
        self.played.entry(id.to_owned()).or_insert(Played {
            asked: now,
            ended: None,
            everywhere: None,
        });
        self.carry_out(leader);
        Ok(())
    }

    /// An operator removes a member; returns whether it is gone.
    ///
    /// # Errors
    /// As [`Node::leave`].
    pub fn remove(&mut self, i: usize) -> Result<bool, Refusal> {
        let leader = self.leader().ok_or(Refusal::NotLeading(None))?;
        let (clock, name) = (self.clock(leader), self.instances[i].name.clone());
        let Some(node) = &mut self.instances[leader].node else {
            return Err(Refusal::NotLeading(None));
        };
        let gone = node.leave(clock, &name);
        self.carry_out(leader);
        gone
    }

    /// Time goes on by so much.
    pub fn run(&mut self, span: Micros) {
        self.until(self.now + span, |_| false);
    }

    /// Time goes on until something holds, or until the end; returns whether it holds.
    pub fn until(&mut self, end: Micros, holds: impl Fn(&Sim) -> bool) -> bool {
        while let Some(Reverse(Timed(at, ..))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse(Timed(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(at);
            let looked = matches!(event, Event::Look);
            self.play(event);
            if looked && holds(self) {
                return true;
            }
        }
        self.now = self.now.max(end);
        holds(self)
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Look => {
                (0..self.instances.len()).for_each(|i| self.judge(i, true));
                self.everywhere();
                self.push(self.now + LOOK, Event::Look);
            }
            Event::Clock(i, start) => {
                if self.instances[i].start != start || !self.runs(i) {
                    return;
                }
                let clock = self.clock(i);
                if let Some(node) = &mut self.instances[i].node {
                    node.tick(clock);
                }
                self.carry_out(i);
                self.push(self.now + STEP, Event::Clock(i, start));
            }
            Event::Deliver { to, from, message } => {
                if self.instances[to].paused {
                    self.instances[to]
                        .held
                        .push(Event::Deliver { to, from, message });
                    return;
                }
                let clock = self.clock(to);
                if let Some(node) = &mut self.instances[to].node {
                    node.receive(clock, from, message);
                }
                self.carry_out(to);
            }
            Event::Checked(i, start, id) => {
                if self.instances[i].start != start {
                    return;
                }
                if self.instances[i].paused {
                    self.instances[i].held.push(Event::Checked(i, start, id));
                    return;
                }
                let (clock, fault) = (self.clock(i), self.instances[i].fault.clone());
                if let Some(node) = &mut self.instances[i].node {
                    node.checked(clock, &id, fault);
                }
                self.carry_out(i);
            }
        }
    }

    /// Does what an instance has to do.
    fn carry_out(&mut self, i: usize) {
        loop {
            let Some(node) = &mut self.instances[i].node else {
                return;
            };
            let outputs = node.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.do_one(i, output);
            }
        }
        self.judge(i, false);
    }

    fn do_one(&mut self, i: usize, output: Output) {
        let clock = self.clock(i);
        match output {
            Output::Persist(persist) => {
                self.persist(i, persist);
                let instance = &mut self.instances[i];
                instance.busy_until = instance.busy_until.max(self.now) + instance.sync;
            }
            Output::Send(to, message) => self.send(i, to, message),
            Output::Effect(Effect::Check(proposal)) => {
                let at = self.now + self.chance.u64(..=self.world.check);
                let start = self.instances[i].start;
                self.push(at, Event::Checked(i, start, proposal.id));
            }
            Output::Effect(Effect::Close(proposal)) => {
                self.told(i, |n| n.closed(clock, &proposal.id))
            }
            Output::Effect(Effect::Open(version, _)) => self.told(i, |n| n.carried(clock, version)),
            Output::Restore(machine, _) => {
                self.told(i, |n| n.carried(clock, machine.version));
                let Some(change) = machine.change else { return };
                let start = self.instances[i].start;
                if change.phase == crate::machine::Phase::Closing {
                    self.told(i, |n| n.closed(clock, &change.proposal.id));
                } else {
                    self.push(self.now, Event::Checked(i, start, change.proposal.id));
                }
            }
            Output::Effect(Effect::Ended(id, outcome)) => {
                if let Some(played) = self.played.get_mut(&id) {
                    played.ended.get_or_insert((self.now, outcome));
                }
            }
            Output::Long => self.told(i, |n| n.shorten(clock, String::new())),
            // Its process goes on without a member; whoever plays lets it join anew.
            Output::Forgotten { .. } => {
                self.forgotten += 1;
                self.instances[i].node = None;
            }
            Output::Right(_) | Output::Confirmed(_) | Output::Unconfirmed(_) => {}
            Output::Effect(Effect::Note(_) | Effect::Members) => {}
        }
    }

    fn told(&mut self, i: usize, tell: impl FnOnce(&mut Node)) {
        if let Some(node) = &mut self.instances[i].node {
            tell(node);
        }
    }

    fn persist(&mut self, i: usize, persist: Persist) {
        let instance = &mut self.instances[i];
        if let Some((index, bytes)) = persist.snapshot {
            let gone = if persist.whole {
                usize::MAX
            } else {
                index.saturating_sub(instance.after) as usize
            };
            instance
                .saved
                .entries
                .drain(..gone.min(instance.saved.entries.len()));
            instance.saved.snapshot = Some(bytes);
            instance.after = index;
        }
        if let Some((first, _)) = persist.entries.first() {
            instance
                .saved
                .entries
                .truncate((first - 1 - instance.after) as usize);
        }
        instance
            .saved
            .entries
            .extend(persist.entries.into_iter().map(|(_, e)| e));
        if let Some(hard) = persist.hard {
            instance.saved.hard = Some(hard);
        }
        if let Some(acknowledged) = persist.acknowledged {
            instance.saved.acknowledged = Some(acknowledged);
        }
    }

    fn send(&mut self, from: usize, to: u64, message: Message) {
        let size = match &message {
            Message::Log(bytes) => bytes.len() + AROUND,
            Message::Report(_) => REPORT,
            _ => GRANT,
        };
        self.sent = (self.sent.0 + 1, self.sent.1 + size as u64);
        self.kinds[message.kind() as usize] += 1;
        let Some(to) = self.instances.iter().position(|i| i.id == to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.chance.u32(..1000) < self.world.lost {
            return;
        }
        let more = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let begin = self.instances[from].busy_until.max(self.now);
        let at = begin + self.world.delay + more + self.chance.u64(..=self.world.jitter);
        let id = self.instances[from].id;
        self.push(
            at,
            Event::Deliver {
                to,
                from: id,
                message,
            },
        );
    }

    /// Whether an instance could decide now, and under what.
    pub fn decides(&self, i: usize) -> Option<Version> {
        let node = self.node(i).filter(|_| self.runs(i))?;
        match (self.lease_ignored, node.fence().right()) {
            (true, Some((version, _))) => Some(version),
            _ => node.fence().may_decide(self.clock(i)).ok(),
        }
    }

    fn judge(&mut self, i: usize, counts: bool) {
        let decides = self.decides(i);
        if counts && self.instances[i].node.is_some() {
            self.looks.1 += 1;
            self.looks.0 += u64::from(decides.is_some());
        }
        let Some(version) = decides else { return };
        if version < self.newest && self.broken.len() < 16 {
            let name = self.instances[i].name.clone();
            self.broken.push(Broken {
                at: self.now,
                name,
                version,
                newest: self.newest,
            });
        }
        self.newest = self.newest.max(version);
    }

    fn everywhere(&mut self) {
        let now = self.now;
        for played in self.played.values_mut() {
            if played.everywhere.is_none()
                && let Some((_, Outcome::InEffect(version))) = &played.ended
                && (0..self.instances.len()).all(|i| {
                    let node = self.instances[i]
                        .node
                        .as_ref()
                        .filter(|_| !self.instances[i].paused);
                    let right = node.and_then(|n| n.fence().right());
                    right.is_none_or(|(v, until)| v >= *version || until < Until::Before(now))
                })
            {
                played.everywhere = Some(now);
            }
        }
    }
}
