//! One member of the cluster: raft, the state machine, the member's lease and, while it leads, the lease table.
//!
//! The module does no I/O and reads no clock: moments and messages come in by calls, and [`Output`]s tell the caller what to do, in
//! order. After each call the caller carries out [`Node::take_outputs`].

mod amnesia_check;
mod compaction;
mod leader_requests;
mod raft_adapter;
mod read_confirmation;
mod replication;
mod reporting;
mod request;
mod voter_placement;

use std::collections::BTreeMap;

use raft::eraftpb::{Entry, HardState, Snapshot};

use crate::codec::{LogPosition, SnapshotContent, decode};
use crate::error::PersistedStateError;
use crate::lease_table::{BlockingMember, LeaseTable};
use crate::member_lease::{Lease, MemberLease};
use crate::message::{DiskCheckReply, Message};
use crate::output::Output;
use crate::persistence::PersistedState;
use crate::raft_log::RaftLog;
use crate::rules::Micros;
use crate::state_machine::StateMachine;

use amnesia_check::AmnesiaCheck;
use compaction::Compaction;
use raft_adapter::{RaftAdapter, Role};
use read_confirmation::ReadConfirmation;

pub use request::{JoinRequest, ProposalKind};

/// Interval of raft's ticks.
pub const TICK: Micros = 100_000;
/// Ticks after which lost time is not made up for, so that a member that was suspended does not begin an election at once.
const MAX_LATE_TICKS: u64 = 3;
/// Odd constant by which the seeds of members are spread (2^64 divided by the golden ratio).
const SEED_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// Identity of a member, and the conditions of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// Raft node id.
    pub id: u64,
    /// Number of this start of the member.
    pub process_start: u32,
    /// Set if the disk is known to be the member's newest. Otherwise the member votes for nobody until others have confirmed it.
    pub is_disk_confirmed: bool,
    /// Seed of the member's random draws.
    pub seed: u64,
}

/// One member of the cluster.
pub struct Node {
    raft: RaftAdapter,
    /// None before a new member has received a snapshot.
    state_machine: Option<StateMachine>,
    applied: LogPosition,
    last_role: Role,
    last_tick: Micros,

    lease: MemberLease,
    /// Lease of the last [`Output::LeaseChanged`].
    announced_lease: Option<Lease>,
    next_report: Micros,
    last_leader: Option<u64>,

    /// Present while this member leads and has applied all entries of former terms.
    lease_table: Option<LeaseTable>,
    reads: ReadConfirmation,
    next_voter_check: Micros,

    amnesia_check: AmnesiaCheck,
    compaction: Compaction,
    random: fastrand::Rng,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a member from its persisted state, which is empty if it has just joined.
    ///
    /// # Errors
    /// The persisted state is damaged.
    pub fn new(
        config: &NodeConfig,
        persisted: &PersistedState,
        now: Micros,
    ) -> Result<Self, PersistedStateError> {
        let log = read_log(persisted)?;
        let acknowledged = read_acknowledged(persisted)?;
        let applied = LogPosition::of_snapshot(log.snapshot());
        let content = match persisted.snapshot {
            Some(_) => Some(SnapshotContent::read(log.snapshot())?),
            None => None,
        };
        // A member without a snapshot is new and has forgotten nothing.
        let is_disk_confirmed = config.is_disk_confirmed || persisted.snapshot.is_none();
        let seed = config.seed ^ config.id.wrapping_mul(SEED_SPREAD);
        let mut node = Node {
            raft: RaftAdapter::new(config.id, log, applied.index)?,
            state_machine: None,
            applied,
            last_role: Role::INITIAL,
            last_tick: now,
            lease: MemberLease::new(0, 0, config.process_start),
            announced_lease: None,
            next_report: now,
            last_leader: None,
            lease_table: None,
            reads: ReadConfirmation::default(),
            next_voter_check: now,
            amnesia_check: AmnesiaCheck::new(config.id, is_disk_confirmed, acknowledged, now),
            compaction: Compaction::new(),
            random: fastrand::Rng::with_seed(seed),
            outputs: Vec::new(),
        };
        if let Some(content) = content {
            node.restore_content(content);
        }
        node.raft.randomize_election_timeout(&mut node.random);
        node.advance(now);
        Ok(node)
    }

    /// Sets the number of entries after which the log is compacted.
    pub fn set_compaction_threshold(&mut self, entries: u64) {
        self.compaction.set_threshold(entries);
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the replicated state; none before a new member has received it.
    pub fn state_machine(&self) -> Option<&StateMachine> {
        self.state_machine.as_ref()
    }

    /// Returns the raft node id.
    pub fn id(&self) -> u64 {
        self.raft.id()
    }

    /// Returns the raft node id of the leader, if one is known.
    pub fn leader(&self) -> Option<u64> {
        self.raft.leader()
    }

    /// Reports if this member leads and has applied all entries of former terms.
    pub fn is_leader(&self) -> bool {
        self.lease_table.is_some()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raft.term()
    }

    /// Returns the index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied.index
    }

    /// Returns the raft node ids of the voters, in ascending order.
    pub fn voters(&self) -> Vec<u64> {
        self.raft.voters()
    }

    /// Returns the members for which the change under way waits; empty unless this member leads.
    pub fn blocking_members(&self, now: Micros) -> Vec<BlockingMember> {
        match (&self.lease_table, &self.state_machine) {
            (Some(table), Some(state_machine)) => table.blocking_members(now, state_machine),
            _ => Vec::new(),
        }
    }

    /// Returns the lease table; none unless this member leads.
    pub fn lease_table(&self) -> Option<&LeaseTable> {
        self.lease_table.as_ref()
    }

    /// Returns this member's lease.
    pub fn lease(&self) -> &MemberLease {
        &self.lease
    }

    /// Reports if the disk is known to be the member's newest, or no other voter could remember more, so that the member may vote.
    pub fn is_disk_confirmed(&self) -> bool {
        self.amnesia_check.is_trusted(&self.raft.voters())
    }

    /// Confirms by an operator's decision that the disk is the member's newest, where the voters that could do so are lost.
    pub fn confirm_disk(&mut self) {
        self.amnesia_check.confirm_by_operator();
    }

    /// Processes the passing of time. To be called each [`TICK`], or as often as possible.
    pub fn tick(&mut self, now: Micros) {
        if self.amnesia_check.has_amnesia() {
            return;
        }
        self.tick_raft(now);
        if self.amnesia_check.begin_check(now) {
            self.send_disk_checks();
        }
        self.report_if_due(now);
        self.advance(now);
    }

    fn tick_raft(&mut self, now: Micros) {
        if now < self.last_tick + TICK {
            return;
        }
        self.last_tick = if now >= self.last_tick + MAX_LATE_TICKS * TICK {
            now
        } else {
            self.last_tick + TICK
        };
        // Raft would begin an election, and vote for this member.
        if self.is_disk_confirmed() {
            self.raft.tick();
        }
    }

    fn send_disk_checks(&mut self) {
        for id in self.other_voters() {
            self.send(id, Message::DiskCheck);
        }
    }

    /// Processes a message.
    pub fn receive(&mut self, now: Micros, from: u64, message: Message) {
        if self.amnesia_check.has_amnesia() {
            return;
        }
        match message {
            Message::Raft(bytes) => self.receive_raft(from, &bytes),
            Message::DiskCheck => self.answer_disk_check(from),
            Message::DiskCheckReply(reply) => self.receive_disk_check_reply(from, &reply),
            Message::Report(report) => self.receive_report(now, from, &report),
            Message::Grant(grant) => self.receive_grant(&grant),
        }
        self.advance(now);
    }

    fn answer_disk_check(&mut self, from: u64) {
        let acknowledged = self.amnesia_check.acknowledged_by(from);
        let reply = DiskCheckReply {
            acknowledged_index: acknowledged.max(self.raft.matched_index(from)),
            term: self.raft.term(),
            voters: self.raft.voters(),
        };
        self.send(from, Message::DiskCheckReply(reply));
    }

    fn receive_disk_check_reply(&mut self, from: u64, reply: &DiskCheckReply) {
        if reply.acknowledged_index > self.raft.last_index() {
            self.detect_amnesia(reply.acknowledged_index);
        } else {
            self.amnesia_check
                .record_reply(from, reply, &self.raft.voters());
        }
    }

    fn detect_amnesia(&mut self, acknowledged_index: u64) {
        if !self.amnesia_check.record_amnesia() {
            return;
        }
        self.lease.release();
        self.announce_lease();
        self.outputs.push(Output::AmnesiaDetected {
            last_index: self.raft.last_index(),
            acknowledged_index,
        });
    }

    fn other_voters(&self) -> Vec<u64> {
        let mut voters = self.raft.voters();
        voters.retain(|id| *id != self.raft.id());
        voters
    }

    fn send(&mut self, to: u64, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Processes all work that the last call has caused.
    fn advance(&mut self, now: Micros) {
        loop {
            self.follow_role(now);
            self.place_voters(now);
            self.drive_change(now);
            self.begin_confirmation();
            self.request_snapshot();
            let Some(ready) = self.raft.take_ready() else {
                break;
            };
            self.process_ready(now, ready);
        }
    }
}

fn read_log(persisted: &PersistedState) -> Result<RaftLog, PersistedStateError> {
    let snapshot: Snapshot = match &persisted.snapshot {
        Some(bytes) => decode(bytes)?,
        None => Snapshot::default(),
    };
    let hard_state: HardState = match &persisted.hard_state {
        Some(bytes) => decode(bytes)?,
        None => HardState::default(),
    };
    let entries = persisted
        .entries
        .iter()
        .map(|bytes| decode(bytes))
        .collect::<Result<Vec<Entry>, _>>()?;
    Ok(RaftLog::new(snapshot, entries, hard_state))
}

fn read_acknowledged(
    persisted: &PersistedState,
) -> Result<BTreeMap<u64, u64>, PersistedStateError> {
    match &persisted.acknowledged {
        Some(bytes) => Ok(serde_json::from_slice(bytes)?),
        None => Ok(BTreeMap::new()),
    }
}
