//! One instance's part in the cluster: the log's library, what the log comes to, the fence, and while it leads the warden.
//! Without I/O: time and messages come in, and what is to be done comes out, in order.

use std::collections::{BTreeMap, BTreeSet};

use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState,
    MessageType, Snapshot,
};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};

use crate::fence::{Fence, Grant, Report, Until};
use crate::log::Log;
use crate::machine::{Command, Effect, Machine, Member, Micros, Outcome, Proposal, Version};
use crate::warden::{Wait, Warden};

/// One tick of the log's library.
pub const TICK: Micros = 100_000;
/// Ticks without a leader until an election, at least; as many more by chance.
const ELECTION: usize = 10;
/// Ticks from one heartbeat to the next.
const HEARTBEAT: usize = 2;
/// Bytes of entries in one message.
const BATCH: u64 = 1 << 20;
/// Bytes of entries that may wait to be agreed on.
const UNCOMMITTED: u64 = 64 << 20;
/// Entries after which the log is shortened, unless [`Node::keep`] says otherwise.
const LONG: u64 = 1024;
/// From one time that a member asks whether its disk is its newest to the next.
const HELLO: Micros = 200_000;
/// Reads that wait for confirmation at once.
const READS: usize = 4096;

/// What instances say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The log's own.
    Log(Vec<u8>),
    /// An instance tells the leader of itself.
    Report(Report),
    /// The leader answers.
    Grant(Grant),
    /// One that has started, and does not know whether its disk is its newest, asks those who vote.
    Hello,
    /// What whoever is asked knows.
    Welcome(Welcome),
}

/// What a message is about, to count by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Entries of the log, and how far it is agreed on.
    Append,
    /// The answer.
    AppendAnswer,
    /// The leader's heartbeat, without a read to confirm.
    Heartbeat,
    /// The answer.
    HeartbeatAnswer,
    /// A heartbeat by which the leader asks whether it still leads, as a read of its index wants.
    Confirmation,
    /// The answer.
    ConfirmationAnswer,
    /// A snapshot.
    Snapshot,
    /// Votes, and what else the log's library says.
    Election,
    /// A report.
    Report,
    /// A grant.
    Grant,
    /// All else: who starts, joins, or asks where the leader is, and calls.
    Other,
}

impl Kind {
    /// How many there are.
    pub const COUNT: usize = 11;
    /// All of them; each stands at its own number.
    pub const ALL: [Kind; Kind::COUNT] = [
        Kind::Append,
        Kind::AppendAnswer,
        Kind::Heartbeat,
        Kind::HeartbeatAnswer,
        Kind::Confirmation,
        Kind::ConfirmationAnswer,
        Kind::Snapshot,
        Kind::Election,
        Kind::Report,
        Kind::Grant,
        Kind::Other,
    ];

    /// What it is called.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Append => "append",
            Kind::AppendAnswer => "append answer",
            Kind::Heartbeat => "heartbeat",
            Kind::HeartbeatAnswer => "heartbeat answer",
            Kind::Confirmation => "confirmation",
            Kind::ConfirmationAnswer => "confirmation answer",
            Kind::Snapshot => "snapshot",
            Kind::Election => "election",
            Kind::Report => "report",
            Kind::Grant => "grant",
            Kind::Other => "other",
        }
    }
}

impl Message {
    /// What it is about. Of the log's own only the few that are small and common are read whole.
    pub fn kind(&self) -> Kind {
        use MessageType::{
            MsgAppend, MsgAppendResponse, MsgHeartbeat, MsgHeartbeatResponse, MsgSnapshot,
        };
        let log = match self {
            Message::Log(log) => log,
            Message::Report(_) => return Kind::Report,
            Message::Grant(_) => return Kind::Grant,
            Message::Hello | Message::Welcome(_) => return Kind::Other,
        };
        // The type is the first field, and small: its tag, and its value.
        let is = |kind: MessageType| log.starts_with(&[8, kind as u8]);
        if is(MsgAppend) {
            return Kind::Append;
        } else if is(MsgAppendResponse) {
            return Kind::AppendAnswer;
        } else if is(MsgSnapshot) {
            return Kind::Snapshot;
        } else if !is(MsgHeartbeat) && !is(MsgHeartbeatResponse) {
            return Kind::Election;
        }
        let confirms = read::<raft::eraftpb::Message>(log).is_ok_and(|m| !m.context.is_empty());
        match (is(MsgHeartbeat), confirms) {
            (true, false) => Kind::Heartbeat,
            (true, true) => Kind::Confirmation,
            (false, false) => Kind::HeartbeatAnswer,
            (false, true) => Kind::ConfirmationAnswer,
        }
    }
}

/// What a member knows of one that has started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Welcome {
    /// That one has acknowledged entries up to this one, at least.
    pub acknowledged: u64,
    /// The newest term.
    pub term: u64,
    /// Who votes, as far as the asked one knows.
    pub voters: Vec<u64>,
}

/// What is to be done, in this order. Where [`Output::Persist`] fails nothing after it may be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on disk before anything that follows.
    Persist(Persist),
    /// To be sent to a member; it may get lost.
    Send(u64, Message),
    /// What the log came to.
    Effect(Effect),
    /// A snapshot of another instance replaces what there was.
    Restore(Machine, String),
    /// The instance's right to decide is this now.
    Right(Option<(Version, Until)>),
    /// So many reads, oldest first, may be answered from what there is.
    Confirmed(Vec<u64>),
    /// These reads were given up, as this instance does not lead.
    Unconfirmed(Vec<u64>),
    /// The log is long: the instance's state is asked for, by [`Node::shorten`].
    Long,
    /// This member has acknowledged more than its disk has, as a disk does that was put back from a copy. It is to be no member
    /// any more, and to join as a new one.
    Forgotten {
        /// The last entry that it has.
        has: u64,
        /// What it has acknowledged.
        acknowledged: u64,
    },
}

/// What has to outlast the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// What the log came to up to an entry: those up to it go.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The snapshot is another instance's, and those after it go as well.
    pub whole: bool,
    /// These entries, by number, replace all from the first of them on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Term, vote and how far is agreed.
    pub hard: Option<Vec<u8>>,
    /// What others have acknowledged to this member while it led.
    pub acknowledged: Option<Vec<u8>>,
}

/// What has outlasted the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after it.
    pub entries: Vec<Vec<u8>>,
    /// As in [`Persist`].
    pub hard: Option<Vec<u8>>,
    /// As in [`Persist`].
    pub acknowledged: Option<Vec<u8>>,
}

/// Why a call can't be taken here and now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another instance leads, or none; its number, if it is known.
    #[error("this instance does not lead")]
    NotLeading(Option<u64>),
    /// It leads, but not for long enough, or something else has to end first.
    #[error("{0}")]
    Wait(&'static str),
    /// What was saved can't be read.
    #[error("what was saved can't be read: {0}")]
    Spoilt(String),
}

/// What a snapshot holds.
#[derive(Serialize, Deserialize)]
pub(crate) struct Image {
    pub machine: Machine,
    pub state: String,
}

/// One instance's part in the cluster.
pub struct Node {
    id: u64,
    raw: RawNode<Log>,
    machine: Option<Machine>,
    fence: Fence,
    right: Option<(Version, Until)>,
    warden: Option<Warden>,
    /// Reports whose answers, and reads whose answers, wait for this confirmation.
    confirming: Option<Confirming>,
    confirmations: u64,
    reads: Vec<u64>,
    applied: u64,
    applied_term: u64,
    chance: fastrand::Rng,
    last_tick: Micros,
    report_due: Micros,
    /// Who was known to lead at the last look.
    led_by: Option<u64>,
    /// When it is to be looked at next who has a vote.
    voters_due: Micros,
    /// Entries after which the log is shortened.
    most: u64,
    was: (StateRole, u64),
    /// What the log came to when the instance's state was asked for.
    long: Option<(Machine, u64, u64, ConfState)>,
    /// Whether it is known that this member's disk is its newest. Until then it votes for nobody.
    proven: bool,
    /// Members that know of nothing that this one has forgotten.
    vouched: BTreeSet<u64>,
    /// It votes in later terms than this one only: it may have voted in this one and have forgotten.
    voted: u64,
    hello_due: Micros,
    /// What others have acknowledged to this member while it led: it may be asked after their disks were put back.
    acknowledged: BTreeMap<u64, u64>,
    forgotten: bool,
    outputs: Vec<Output>,
}

struct Confirming {
    number: u64,
    reports: BTreeMap<u64, u64>,
    reads: Vec<u64>,
    /// From here on it may be answered: everything up to there is applied.
    index: Option<u64>,
}

/// The state of a cluster that is founded, as its founder saves it.
pub fn found(machine: &Machine, state: String, id: u64) -> Saved {
    let mut conf = ConfState::default();
    conf.voters.push(id);
    let mut hard = HardState::default();
    (hard.term, hard.commit) = (1, 1);
    let snapshot = image(machine, state, 1, 1, conf);
    Saved {
        snapshot: Some(bytes(&snapshot)),
        hard: Some(bytes(&hard)),
        ..Saved::default()
    }
}

fn image(machine: &Machine, state: String, index: u64, term: u64, conf: ConfState) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (index, term);
    meta.set_conf_state(conf);
    let image = Image {
        machine: machine.clone(),
        state,
    };
    snapshot.set_data(serde_json::to_vec(&image).unwrap_or_default().into());
    snapshot
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default() // into memory nothing fails
}

pub(crate) fn read<T: protobuf::Message>(bytes: &[u8]) -> Result<T, Refusal> {
    T::parse_from_bytes(bytes).map_err(|e| Refusal::Spoilt(e.to_string()))
}

impl Node {
    /// A member as it was saved; one that has just joined has nothing yet. `start` numbers the starts of its process. `proven` says
    /// that its disk is known to be its newest; otherwise it votes for nobody until others have said so.
    ///
    /// # Errors
    /// What was saved can't be read.
    pub fn new(
        id: u64,
        saved: &Saved,
        start: u32,
        proven: bool,
        seed: u64,
        now: Micros,
    ) -> Result<Self, Refusal> {
        let snapshot: Snapshot = match &saved.snapshot {
            Some(bytes) => read(bytes)?,
            None => Snapshot::default(),
        };
        let hard: HardState = match &saved.hard {
            Some(bytes) => read(bytes)?,
            None => HardState::default(),
        };
        let acknowledged = match &saved.acknowledged {
            Some(bytes) => {
                serde_json::from_slice(bytes).map_err(|e| Refusal::Spoilt(e.to_string()))?
            }
            None => BTreeMap::new(),
        };
        let entries = saved
            .entries
            .iter()
            .map(|e| read(e))
            .collect::<Result<Vec<Entry>, _>>()?;
        let (applied, applied_term) = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        let log = Log::new(snapshot, entries, hard);
        let image: Option<Image> = match saved.snapshot {
            Some(_) => Some(
                serde_json::from_slice(log.snapshot.get_data())
                    .map_err(|e| Refusal::Spoilt(e.to_string()))?,
            ),
            None => None,
        };
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            // Each draw of the library's own, within these, is replaced by one from the seed.
            min_election_tick: ELECTION,
            max_election_tick: 2 * ELECTION,
            max_size_per_msg: BATCH,
            max_inflight_msgs: 256,
            max_uncommitted_size: UNCOMMITTED,
            check_quorum: true,
            pre_vote: true,
            applied,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw =
            RawNode::new(&config, log, &logger).map_err(|e| Refusal::Spoilt(e.to_string()))?;
        let mut node = Node {
            id,
            raw,
            machine: None,
            fence: Fence::new(0, 0, start),
            right: None,
            warden: None,
            confirming: None,
            confirmations: 0,
            reads: Vec::new(),
            applied,
            applied_term,
            chance: fastrand::Rng::with_seed(seed ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            last_tick: now,
            report_due: now,
            led_by: None,
            voters_due: now,
            most: LONG,
            was: (StateRole::Follower, 0),
            long: None,
            // One that has nothing has forgotten nothing: its number is new.
            proven: proven || saved.snapshot.is_none(),
            vouched: BTreeSet::new(),
            voted: 0,
            hello_due: now,
            acknowledged,
            forgotten: false,
            outputs: Vec::new(),
        };
        if let Some(Image { machine, state }) = image {
            node.begin(machine, state);
        }
        node.draw();
        node.work(now);
        Ok(node)
    }

    /// What the log came to until now.
    fn begin(&mut self, machine: Machine, state: String) {
        self.fence.leases(machine.rules.lease, machine.rules.short);
        self.outputs.push(Output::Restore(machine.clone(), state));
        self.machine = Some(machine);
    }

    /// Draws how long this instance waits for a leader.
    fn draw(&mut self) {
        let ticks = ELECTION + self.chance.usize(..ELECTION);
        self.raw.raft.set_randomized_election_timeout(ticks);
    }

    /// The log is shortened after so many entries.
    pub fn keep(&mut self, entries: u64) {
        self.most = entries.max(1);
    }

    /// What is to be done, in order; asked for after each call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// What the log comes to here; none before a new member has heard of it.
    pub fn machine(&self) -> Option<&Machine> {
        self.machine.as_ref()
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The number of the one that leads, as far as this one knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// Whether it leads, and has applied all that was agreed on before.
    pub fn leads(&self) -> bool {
        self.warden.is_some()
    }

    /// The term, and how far the log is applied here.
    pub fn position(&self) -> (u64, u64) {
        (self.raw.raft.term, self.applied)
    }

    /// Those who have a vote.
    pub fn voters(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.raw.raft.prs().conf().voters().ids().iter().collect();
        ids.sort_unstable();
        ids
    }

    /// Whom a change waits for; only known to the leader.
    pub fn waits(&self, now: Micros) -> Vec<Wait> {
        match (&self.warden, &self.machine) {
            (Some(warden), Some(machine)) => warden.waits(now, machine),
            _ => Vec::new(),
        }
    }

    /// The leader's books.
    pub fn warden(&self) -> Option<&Warden> {
        self.warden.as_ref()
    }

    /// Its right to decide.
    pub fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Time has passed. To be called each [`TICK`], or as often as can be; time lost in between is not made up for, so that an
    /// instance that stood still does not ask for an election at once.
    pub fn tick(&mut self, now: Micros) {
        if self.forgotten {
            return;
        }
        if now >= self.last_tick + TICK {
            self.last_tick = if now >= self.last_tick + 3 * TICK {
                now
            } else {
                self.last_tick + TICK
            };
            if self.is_proven() {
                self.raw.tick(); // else it would ask for votes, its own among them
            }
        }
        if !self.proven && now >= self.hello_due {
            self.hello_due = now + HELLO;
            for other in self.voters().into_iter().filter(|id| *id != self.id) {
                self.outputs.push(Output::Send(other, Message::Hello));
            }
        }
        // Whoever leads now knows nothing of this one: it is told at once, and not when the last one would have been.
        if self.leader() != self.led_by {
            self.led_by = self.leader();
            self.report_due = self.report_due.min(now + self.chance.u64(..TICK));
        }
        if now >= self.report_due {
            self.report(now);
        }
        self.work(now);
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, from: u64, message: Message) {
        if self.forgotten {
            return;
        }
        match message {
            Message::Log(bytes) => {
                // From a member that was removed nothing is taken; one that is not known yet may know more than this one.
                let removed = self
                    .machine
                    .as_ref()
                    .is_some_and(|m| from < m.next_id && m.name_of(from).is_none());
                if let Ok(message) = read::<raft::eraftpb::Message>(&bytes)
                    && message.from == from
                    && message.to == self.id
                    && !removed
                    && self.may_step(&message)
                {
                    let told = (message.msg_type, message.term, message.commit);
                    let _ = self.raw.step(message); // what does not fit is of a former term
                    self.led(told);
                }
            }
            Message::Hello => {
                let led = self.raw.raft.prs().get(from).map_or(0, |p| p.matched);
                let acknowledged = self.acknowledged.get(&from).copied().unwrap_or(0).max(led);
                let welcome = Welcome {
                    acknowledged,
                    term: self.raw.raft.term,
                    voters: self.voters(),
                };
                self.outputs
                    .push(Output::Send(from, Message::Welcome(welcome)));
            }
            Message::Welcome(welcome) => self.welcomed(from, &welcome),
            Message::Report(report) => self.reported(now, from, &report),
            Message::Grant(grant) => self.granted(&grant),
        }
        self.work(now);
    }

    /// Whether this member knows that its disk is its newest.
    pub fn is_proven(&self) -> bool {
        self.proven || self.voters().iter().all(|id| *id == self.id)
    }

    /// An operator says that this member's disk is its newest, where those who could say so are gone for good.
    pub fn vouch(&mut self) {
        self.proven = true;
    }

    /// Whether a message of the log's may be looked at. One that has forgotten what it acknowledged is told so by a leader that
    /// counts on it; the library can't be told at all.
    fn may_step(&mut self, message: &raft::eraftpb::Message) -> bool {
        use MessageType::{MsgHeartbeat, MsgRequestPreVote, MsgRequestVote, MsgTimeoutNow};
        let last = self.raw.raft.raft_log.last_index();
        match message.msg_type {
            MsgHeartbeat if message.commit > last && message.term >= self.raw.raft.term => {
                self.forget(message.commit);
                false
            }
            MsgRequestVote | MsgRequestPreVote => self.is_proven() && message.term > self.voted,
            MsgTimeoutNow => self.is_proven(), // it is asked to lead, and would vote for itself
            _ => true,
        }
    }

    /// Whoever leads was elected without the vote of one that does not know its disk. Once something of that leader's own term is
    /// agreed on, all that was agreed on before is as well; a disk that has it has forgotten nothing that counts. It may have voted
    /// in that term, but in no later one.
    fn led(&mut self, (kind, term, commit): (MessageType, u64, u64)) {
        if self.proven || !matches!(kind, MessageType::MsgAppend | MessageType::MsgHeartbeat) {
            return;
        }
        let (log, now) = (&self.raw.raft.raft_log, self.raw.raft.term);
        if now == term && log.committed >= commit && log.term(commit).is_ok_and(|t| t == term) {
            (self.proven, self.voted) = (true, term);
        }
    }

    fn welcomed(&mut self, from: u64, welcome: &Welcome) {
        let last = self.raw.raft.raft_log.last_index();
        if welcome.acknowledged > last {
            return self.forget(welcome.acknowledged);
        }
        // Whoever knows other voters may know of a later time, of which this one knows nothing.
        if self.proven || welcome.voters != self.voters() {
            return;
        }
        self.voted = self.voted.max(welcome.term);
        self.vouched.insert(from);
        self.proven = self
            .voters()
            .iter()
            .all(|id| *id == self.id || self.vouched.contains(id));
    }

    fn forget(&mut self, acknowledged: u64) {
        if !std::mem::replace(&mut self.forgotten, true) {
            self.fence.rest();
            self.tell_right();
            let has = self.raw.raft.raft_log.last_index();
            self.outputs.push(Output::Forgotten { has, acknowledged });
        }
    }

    fn reported(&mut self, now: Micros, from: u64, report: &Report) {
        if let (Some(warden), Some(machine)) = (&mut self.warden, &self.machine) {
            warden.report(now, from, report, machine);
        }
    }

    fn granted(&mut self, grant: &Grant) {
        if self.fence.granted(grant) {
            self.tell_right();
        }
    }

    /// It tells the leader of itself now, and not only when it is due.
    fn report(&mut self, now: Micros) {
        let lease = self.machine.as_ref().map_or(TICK * 10, |m| match m.change {
            Some(_) => m.rules.short,
            None => m.rules.lease,
        });
        let part = (lease / 5).max(TICK);
        // Spread, so that instances which started together do not report together.
        self.report_due = now + part - self.chance.u64(..=part / 4);
        let Some(leader) = self.leader() else { return };
        let report = self.fence.report(now);
        self.tell_right();
        if leader == self.id {
            self.reported(now, leader, &report);
        } else {
            self.outputs
                .push(Output::Send(leader, Message::Report(report)));
        }
    }

    fn tell_right(&mut self) {
        let right = self.fence.right();
        if right != self.right {
            self.right = right;
            self.outputs.push(Output::Right(right));
        }
    }

    /// A change was checked here: it can be taken, or why not.
    pub fn checked(&mut self, now: Micros, change: &str, fault: Option<String>) {
        if self
            .machine
            .as_ref()
            .is_some_and(|m| m.is_under_way(change))
        {
            self.fence.checked(now, change, fault);
            self.tell_right();
            self.report(now);
        }
        self.work(now);
    }

    /// Nothing is decided here any more under the present version, as this change takes hold.
    pub fn closed(&mut self, now: Micros, change: &str) {
        if self
            .machine
            .as_ref()
            .is_some_and(|m| m.is_under_way(change))
        {
            self.fence.close(change);
            self.tell_right();
            self.report(now);
        }
        self.work(now);
    }

    /// This version is served here from now on, where the lease allows it.
    pub fn carried(&mut self, now: Micros, version: Version) {
        self.fence.carried(version);
        self.tell_right();
        self.report(now);
        self.work(now);
    }

    /// It decides nothing any more, as its process is ending, and says so.
    pub fn rest(&mut self, now: Micros) {
        self.fence.rest();
        self.tell_right();
        self.report(now);
        self.work(now);
    }

    fn lead(&self) -> Result<(&Warden, &Machine), Refusal> {
        match (&self.warden, &self.machine) {
            (Some(warden), Some(machine)) => Ok((warden, machine)),
            _ => Err(Refusal::NotLeading(self.leader().filter(|l| *l != self.id))),
        }
    }

    /// A change, or something to be stored, is to be agreed on. What becomes of it comes as [`Effect::Ended`].
    ///
    /// # Errors
    /// This instance does not lead, or can't take it now.
    pub fn propose(&mut self, now: Micros, proposal: Proposal, note: bool) -> Result<(), Refusal> {
        let (_, machine) = self.lead()?;
        if let Some(outcome) = machine.outcome(&proposal.id) {
            let effect = Effect::Ended(proposal.id.clone(), outcome.clone());
            self.outputs.push(Output::Effect(effect));
            return Ok(());
        }
        if machine.is_under_way(&proposal.id) {
            return Ok(());
        }
        // It would only be overtaken: one that a former leader began may wait for a lease yet.
        if machine.change.is_some() {
            return Err(Refusal::Wait("another change is under way"));
        }
        let command = if note {
            Command::Note(proposal)
        } else {
            Command::Propose(proposal)
        };
        self.put(&command)?;
        self.work(now);
        Ok(())
    }

    /// What was read here is to be known to be current: [`Output::Confirmed`] tells when.
    ///
    /// # Errors
    /// This instance does not lead, or too many wait.
    pub fn confirm(&mut self, now: Micros, read: u64) -> Result<(), Refusal> {
        self.lead()?;
        if self.reads.len() >= READS {
            return Err(Refusal::Wait("too many calls wait"));
        }
        self.reads.push(read);
        self.work(now);
        Ok(())
    }

    /// A member comes, under a name that may be known: then whoever had it has ended, or lost its disk. Returns its number once it
    /// is a member.
    ///
    /// # Errors
    /// This instance does not lead, or something else has to end first.
    pub fn join(
        &mut self,
        now: Micros,
        name: &str,
        address: &str,
        zone: &str,
        drawn: u64,
    ) -> Result<Option<u64>, Refusal> {
        let (warden, machine) = self.lead()?;
        let mut changes = Vec::new();
        if let Some(member) = machine.members.get(name) {
            if member.drawn == drawn && member.id != self.id {
                return Ok(Some(member.id)); // it joined before, and has not heard so
            }
            if member.id == self.id || !warden.is_silent(now, member.id) {
                return Err(Refusal::Wait(
                    "an instance of this name is heard, or was a short while ago",
                ));
            }
            changes.push(single(ConfChangeType::RemoveNode, member.id));
        }
        let id = machine.next_id;
        changes.push(single(ConfChangeType::AddLearnerNode, id));
        let member = Member {
            id,
            address: address.to_owned(),
            zone: zone.to_owned(),
            drawn,
        };
        self.put_members(
            &changes,
            Some(&Command::Join {
                name: name.to_owned(),
                member,
            }),
        )?;
        self.work(now);
        Ok(None)
    }

    /// A member leaves, or an operator removes it. Returns whether it is gone; until then it is to be asked again, as it may still
    /// decide.
    ///
    /// # Errors
    /// This instance does not lead, or it is the one that is to leave.
    pub fn leave(&mut self, now: Micros, name: &str) -> Result<bool, Refusal> {
        let (_, machine) = self.lead()?;
        let Some(id) = machine.members.get(name).map(|m| m.id) else {
            return Ok(true);
        };
        if id == self.id {
            return Err(Refusal::Wait("it leads: let it step down first"));
        }
        if self.warden.as_mut().is_some_and(|w| w.leave(now, id)) {
            let command = Command::Leave {
                name: name.to_owned(),
                id,
            };
            self.put_members(&[single(ConfChangeType::RemoveNode, id)], Some(&command))?;
        }
        self.work(now);
        Ok(false)
    }

    /// Another member with a vote is to lead: the named one, or the next.
    ///
    /// # Errors
    /// This instance does not lead, or no other has a vote.
    pub fn step_down(&mut self, now: Micros, to: Option<u64>) -> Result<(), Refusal> {
        self.lead()?;
        let others: Vec<u64> = self
            .voters()
            .into_iter()
            .filter(|id| *id != self.id)
            .collect();
        let to = to.filter(|id| others.contains(id)).or_else(|| {
            let active = |id: &&u64| {
                self.raw
                    .raft
                    .prs()
                    .get(**id)
                    .is_some_and(|p| p.recent_active)
            };
            others.iter().find(active).copied()
        });
        let to = to.ok_or(Refusal::Wait("no other member with a vote is heard"))?;
        self.raw.transfer_leader(to);
        self.work(now);
        Ok(())
    }

    /// The log may be shortened: this is the instance's state as it was after all that came before [`Output::Long`].
    pub fn shorten(&mut self, now: Micros, state: String) {
        let Some((machine, index, term, conf)) = self.long.take() else {
            return;
        };
        if index <= self.raw.store().snapshot.get_metadata().index {
            return; // another instance's has come meanwhile
        }
        let snapshot = image(&machine, state, index, term, conf);
        let persist = Persist {
            snapshot: Some((index, bytes(&snapshot))),
            ..Persist::default()
        };
        self.raw.mut_store().replace(snapshot);
        self.outputs.push(Output::Persist(persist));
        self.work(now);
    }

    fn put(&mut self, command: &Command) -> Result<(), Refusal> {
        let bytes = serde_json::to_vec(command).map_err(|e| Refusal::Spoilt(e.to_string()))?;
        let put = self.raw.propose(Vec::new(), bytes);
        put.map_err(|_| Refusal::Wait("the log takes nothing now"))
    }

    fn put_members(
        &mut self,
        changes: &[ConfChangeSingle],
        command: Option<&Command>,
    ) -> Result<(), Refusal> {
        if self.raw.raft.has_pending_conf() {
            return Err(Refusal::Wait("another member comes or goes"));
        }
        let context = match command {
            Some(command) => {
                serde_json::to_vec(command).map_err(|e| Refusal::Spoilt(e.to_string()))?
            }
            None => Vec::new(),
        };
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.to_vec().into());
        let put = self.raw.propose_conf_change(context, change);
        put.map_err(|_| Refusal::Wait("the log takes nothing now"))
    }

    /// Does what there is to do until nothing is left.
    fn work(&mut self, now: Micros) {
        loop {
            self.follow_role(now);
            self.keep_voters(now);
            self.drive_change(now);
            self.begin_confirmation();
            self.ask_for_state();
            if !self.raw.has_ready() {
                break;
            }
            self.take_ready(now);
        }
    }

    fn follow_role(&mut self, now: Micros) {
        let role = (self.raw.raft.state, self.raw.raft.term);
        if role != self.was {
            self.was = role;
            self.draw();
        }
        let leads = role.0 == StateRole::Leader && self.applied_term == role.1;
        match (&self.warden, &self.machine) {
            (None, Some(machine)) if leads => {
                self.warden = Some(Warden::new(now, machine, &machine.rules));
                self.report_due = now;
            }
            (Some(_), _) if !leads => {
                self.warden = None;
                let reads = self.confirming.take().map(|c| c.reads).unwrap_or_default();
                let all: Vec<u64> = reads.into_iter().chain(self.reads.drain(..)).collect();
                if !all.is_empty() {
                    self.outputs.push(Output::Unconfirmed(all));
                }
            }
            _ => {}
        }
    }

    fn drive_change(&mut self, now: Micros) {
        let (Some(warden), Some(machine)) = (&mut self.warden, &self.machine) else {
            return;
        };
        if let Some(command) = warden.step(now, machine)
            && self.put(&command).is_err()
            && let Some(warden) = &mut self.warden
        {
            warden.refused();
        }
    }

    fn begin_confirmation(&mut self) {
        let Some(warden) = &mut self.warden else {
            return;
        };
        if self.confirming.is_some() || (!warden.is_asked() && self.reads.is_empty()) {
            return;
        }
        self.confirmations += 1;
        let number = self.confirmations;
        let (reports, reads) = (warden.ask(), std::mem::take(&mut self.reads));
        self.confirming = Some(Confirming {
            number,
            reports,
            reads,
            index: None,
        });
        self.raw.read_index(number.to_be_bytes().to_vec());
    }

    fn end_confirmation(&mut self, now: Micros) {
        let done = self
            .confirming
            .take_if(|c| c.index.is_some_and(|index| index <= self.applied));
        let Some(done) = done else { return };
        if let (Some(warden), Some(machine)) = (&mut self.warden, &self.machine) {
            for (to, grant) in warden.confirmed(now, &done.reports, machine) {
                if to == self.id {
                    self.granted(&grant);
                } else {
                    self.outputs.push(Output::Send(to, Message::Grant(grant)));
                }
            }
        }
        if !done.reads.is_empty() {
            self.outputs.push(Output::Confirmed(done.reads));
        }
    }

    fn send(&mut self, messages: Vec<raft::eraftpb::Message>) {
        for message in messages {
            self.outputs
                .push(Output::Send(message.to, Message::Log(bytes(&message))));
        }
    }

    fn take_ready(&mut self, now: Micros) {
        let mut ready = self.raw.ready();
        self.send(ready.take_messages());
        for state in ready.take_read_states() {
            if let Some(c) = &mut self.confirming
                && state.request_ctx == c.number.to_be_bytes()
            {
                c.index = Some(state.index);
            }
        }
        let mut persist = Persist::default();
        if *ready.snapshot() != Snapshot::default() {
            let snapshot = ready.snapshot().clone();
            persist.snapshot = Some((snapshot.get_metadata().index, bytes(&snapshot)));
            persist.whole = true;
            self.restore(snapshot);
        }
        persist.entries = ready
            .entries()
            .iter()
            .map(|e| (e.index, bytes(e)))
            .collect();
        self.raw.mut_store().append(ready.entries());
        if let Some(hard) = ready.hs() {
            persist.hard = Some(bytes(hard));
            self.raw.mut_store().hard = hard.clone();
        }
        if persist != Persist::default() {
            persist.acknowledged = self.note_acknowledged();
            self.outputs.push(Output::Persist(persist));
        }
        self.send(ready.take_persisted_messages());
        self.apply(now, ready.take_committed_entries());
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            // Not synced for itself: what is agreed on is found again from the others.
            self.raw.mut_store().hard.commit = commit;
        }
        self.send(light.take_messages());
        self.apply(now, light.take_committed_entries());
        self.raw.advance_apply();
        self.end_confirmation(now);
    }

    /// What others have acknowledged, where that is more than was noted last. It goes along with what has to be written anyway, and so
    /// may lag by one write.
    fn note_acknowledged(&mut self) -> Option<Vec<u8>> {
        if self.raw.raft.state != StateRole::Leader {
            return None;
        }
        let others = self.raw.raft.prs().iter().filter(|(id, _)| **id != self.id);
        let now: BTreeMap<u64, u64> = others.map(|(id, p)| (*id, p.matched)).collect();
        let mut noted = self.acknowledged.clone();
        noted.retain(|id, _| now.contains_key(id));
        for (id, matched) in now {
            let known = noted.entry(id).or_default();
            *known = (*known).max(matched);
        }
        if noted == self.acknowledged {
            return None;
        }
        self.acknowledged = noted;
        serde_json::to_vec(&self.acknowledged).ok()
    }

    /// Another instance's snapshot replaces what there was.
    fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        (self.applied, self.applied_term) = (meta.index, meta.term);
        if let Ok(image) = serde_json::from_slice::<Image>(snapshot.get_data()) {
            self.begin(image.machine, image.state);
        }
        self.raw.mut_store().restore(snapshot);
    }

    fn apply(&mut self, now: Micros, entries: Vec<Entry>) {
        for entry in entries {
            (self.applied, self.applied_term) = (entry.index, entry.term);
            let command: Option<Command> = match entry.get_entry_type() {
                EntryType::EntryNormal => serde_json::from_slice(&entry.data).ok(),
                _ => {
                    let change: Option<ConfChangeV2> = read(&entry.data).ok();
                    if let Some(change) = change {
                        let _ = self.raw.apply_conf_change(&change); // the leader proposes none that can't be
                    }
                    serde_json::from_slice(&entry.context).ok()
                }
            };
            if let Some(command) = command {
                self.obey(&command);
            }
            self.follow_role(now);
        }
        self.ask_for_state();
    }

    /// Asks for the instance's state where the log is long, or a member needs a newer snapshot than there is.
    fn ask_for_state(&mut self) {
        let log = self.raw.store();
        let (held, wanted) = (log.first(), log.wanted.get());
        let due = self.applied >= held + self.most || (wanted && self.applied >= held);
        if let Some(machine) = self.machine.as_ref().filter(|_| due && self.long.is_none()) {
            log.wanted.set(false);
            let conf = self.raw.raft.prs().conf().to_conf_state();
            self.long = Some((machine.clone(), self.applied, self.applied_term, conf));
            self.outputs.push(Output::Long);
        }
    }

    fn obey(&mut self, command: &Command) {
        let Some(machine) = &mut self.machine else {
            return;
        };
        let fresh = machine.next_id;
        let effects = machine.apply(command);
        if let Some(warden) = &mut self.warden {
            if effects.contains(&Effect::Members) {
                warden.members(machine);
            }
            if let Command::Join { member, .. } = command
                && member.id >= fresh
            {
                warden.came(member.id);
            }
        }
        for effect in effects {
            if let Effect::Ended(id, Outcome::GivenUp(_)) = &effect {
                self.fence.given_up(id);
            }
            self.outputs.push(Output::Effect(effect));
        }
    }

    /// Sees that so many members have a vote as the rules say, over as many zones as can be, and that one which is lost for
    /// good has none. One step at a time, as the library takes them.
    fn keep_voters(&mut self, now: Micros) {
        // It takes a look at all members, which no message is worth while there are enough.
        let most = self.machine.as_ref().map_or(0, |m| m.rules.voters);
        if self.warden.is_none() || now < self.voters_due && self.voters().len() >= most {
            return;
        }
        self.voters_due = now + TICK;
        let Some(changes) = self.next_voters(now) else {
            return;
        };
        let _ = self.put_members(&changes, None); // it is tried again
    }

    fn next_voters(&self, now: Micros) -> Option<Vec<ConfChangeSingle>> {
        let (warden, machine) = (self.warden.as_ref()?, self.machine.as_ref()?);
        if self.raw.raft.has_pending_conf() {
            return None;
        }
        let voters = self.voters();
        let gone = |id: u64| id != self.id && warden.is_silent(now, id);
        let progress = self.raw.raft.prs();
        let last = self.raw.raft.raft_log.last_index();
        let up_to_date = |id: u64| {
            let close =
                |p: &raft::Progress| p.recent_active && p.matched > 0 && p.matched + 64 >= last;
            progress.get(id).is_some_and(close)
        };
        let zones: BTreeMap<u64, &str> = machine
            .members
            .values()
            .map(|m| (m.id, m.zone.as_str()))
            .collect();
        let zone = |id: u64| zones.get(&id).copied();
        let in_zone = |z: Option<&str>| {
            voters
                .iter()
                .filter(|v| !gone(**v) && zone(**v) == z)
                .count()
        };
        let mut candidates: Vec<(usize, u64)> = machine
            .members
            .values()
            .filter(|m| !voters.contains(&m.id) && up_to_date(m.id) && !gone(m.id))
            .map(|m| (in_zone(Some(&m.zone)), m.id))
            .collect();
        candidates.sort_unstable();
        let lost = voters.iter().copied().find(|id| gone(*id));
        let next = candidates.first().map(|(_, id)| *id);
        if voters.len() < machine.rules.voters {
            return next.map(|id| vec![single(ConfChangeType::AddNode, id)]);
        }
        // One of a zone that has others, never the one that leads.
        let crowded = |id: &&u64| **id != self.id && in_zone(zone(**id)) > 1;
        if voters.len() > machine.rules.voters {
            let spare = lost.or_else(|| voters.iter().rev().find(crowded).copied());
            let spare = spare.or_else(|| voters.iter().copied().rev().find(|id| *id != self.id))?;
            return Some(vec![single(ConfChangeType::AddLearnerNode, spare)]);
        }
        // The new one first, so that at no time fewer are heard than before.
        let better = candidates.first().is_some_and(|(others, _)| *others == 0)
            && voters.iter().any(|v| crowded(&v));
        next.filter(|_| lost.is_some() || better)
            .map(|id| vec![single(ConfChangeType::AddNode, id)])
    }
}

fn single(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = id;
    change
}
