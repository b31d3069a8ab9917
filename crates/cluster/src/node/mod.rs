//! One running member of the cluster: raft, the state machine, the member's lease and, on the leader, the lease table.
//!
//! The module does no I/O and reads no clock: the caller passes in the time and messages, and performs the [`Output`]s of
//! [`Node::take_outputs`] in order after each call.

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

/// Interval between raft ticks.
pub const TICK_INTERVAL: Micros = 100_000;
/// Delay, in ticks, from which missed ticks are skipped instead of caught up, so that a member does not start an election at once when
/// its suspended process resumes.
const MAX_LATE_TICKS: u64 = 3;
/// Odd constant that decorrelates the seeds of members (2^64 divided by the golden ratio).
const SEED_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// Identity of a member, and parameters of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeConfig {
    /// Raft node id.
    pub id: u64,
    /// Incarnation of the member: the number of its process starts.
    pub incarnation: u32,
    /// Set if the disk is known to have the member's latest state. Otherwise the member does not vote until others have confirmed it.
    pub is_disk_confirmed: bool,
    /// Seed of the member's random number generator.
    pub seed: u64,
}

/// One running member of the cluster.
pub struct Node {
    raft: RaftAdapter,
    /// `None` until a new member has received a snapshot.
    state_machine: Option<StateMachine>,
    applied: LogPosition,
    last_role: Role,
    last_tick: Micros,

    lease: MemberLease,
    /// Lease in the latest [`Output::LeaseChanged`].
    announced_lease: Option<Lease>,
    next_report: Micros,
    last_leader: Option<u64>,

    /// Present while this member is the leader and has applied all entries of earlier terms.
    lease_table: Option<LeaseTable>,
    reads: ReadConfirmation,
    next_voter_check: Micros,

    amnesia_check: AmnesiaCheck,
    compaction: Compaction,
    random: fastrand::Rng,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates the node of a member from its persisted state, which is empty if the member has just joined.
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
        // A member without a snapshot is new and can't have lost state.
        let is_disk_confirmed = config.is_disk_confirmed || persisted.snapshot.is_none();
        let seed = config.seed ^ config.id.wrapping_mul(SEED_SPREAD);
        let mut node = Node {
            raft: RaftAdapter::new(config.id, log, applied.index)?,
            state_machine: None,
            applied,
            last_role: Role::INITIAL,
            last_tick: now,
            lease: MemberLease::new(0, 0, config.incarnation),
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

    /// Takes the actions that the caller has to perform, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the replicated state; `None` until a new member has received it.
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

    /// Returns true if this member is the leader and has applied all entries of earlier terms.
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

    /// Returns the members that the change in progress waits for; empty unless this member is the leader.
    pub fn blocking_members(&self, now: Micros) -> Vec<BlockingMember> {
        match (&self.lease_table, &self.state_machine) {
            (Some(table), Some(state_machine)) => table.blocking_members(now, state_machine),
            _ => Vec::new(),
        }
    }

    /// Returns the lease table; `None` unless this member is the leader.
    pub fn lease_table(&self) -> Option<&LeaseTable> {
        self.lease_table.as_ref()
    }

    /// Returns this member's lease.
    pub fn lease(&self) -> &MemberLease {
        &self.lease
    }

    /// Returns true if the member may vote: its disk is known to have its latest state, or there is no other voter that could know of
    /// later state.
    pub fn is_disk_confirmed(&self) -> bool {
        self.amnesia_check.is_trusted(&self.raft.voters())
    }

    /// Confirms on behalf of an operator that the disk has the member's latest state, if the voters that could confirm it are lost.
    pub fn confirm_disk(&mut self) {
        self.amnesia_check.confirm_by_operator();
    }

    /// Processes timers. The caller calls it at least every [`TICK_INTERVAL`].
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
        if now < self.last_tick + TICK_INTERVAL {
            return;
        }
        self.last_tick = if now >= self.last_tick + MAX_LATE_TICKS * TICK_INTERVAL {
            now
        } else {
            self.last_tick + TICK_INTERVAL
        };
        // Ticking could start an election, in which raft votes for this member.
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

    /// Processes all work caused by the last call.
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
