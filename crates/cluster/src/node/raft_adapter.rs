//! Adapter for the raft library: configuration, progress of members, proposals.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Message, Snapshot};
use raft::{Config, LightReady, Progress, RawNode, Ready, StateRole};

use crate::command::Command;
use crate::error::{NodeError, PersistedStateError};
use crate::raft_log::RaftLog;

/// Minimum election timeout in ticks; the maximum is twice as long.
const ELECTION_TIMEOUT_TICKS: usize = 10;
/// Heartbeat interval in ticks.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Maximum number of append messages in flight to one member.
const MAX_INFLIGHT_MESSAGES: usize = 256;
/// Maximum size of uncommitted entries; the leader rejects further proposals.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;
/// Maximum number of entries by which a member may lag to become a voter.
const MAX_LAG_OF_NEW_VOTER: u64 = 64;

/// Role of a member in a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Role {
    pub state: StateRole,
    pub term: u64,
}

impl Role {
    /// Role of a member at its start.
    pub const INITIAL: Role = Role {
        state: StateRole::Follower,
        term: 0,
    };
}

/// Change of one member in the raft configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigurationChange {
    /// Adds a voter, or promotes a learner to a voter.
    AddVoter(u64),
    /// Adds a learner, or demotes a voter to a learner.
    AddLearner(u64),
    /// Removes a member.
    Remove(u64),
}

impl From<ConfigurationChange> for ConfChangeSingle {
    fn from(change: ConfigurationChange) -> Self {
        let (change_type, id) = match change {
            ConfigurationChange::AddVoter(id) => (ConfChangeType::AddNode, id),
            ConfigurationChange::AddLearner(id) => (ConfChangeType::AddLearnerNode, id),
            ConfigurationChange::Remove(id) => (ConfChangeType::RemoveNode, id),
        };
        let mut single = ConfChangeSingle::default();
        single.set_change_type(change_type);
        single.node_id = id;
        single
    }
}

/// Node of the raft library for one member.
pub(crate) struct RaftAdapter {
    raw: RawNode<RaftLog>,
}

impl RaftAdapter {
    /// Creates the node of a member whose state machine is at `applied_index`.
    pub fn new(id: u64, log: RaftLog, applied_index: u64) -> Result<Self, PersistedStateError> {
        let config = Config {
            id,
            election_tick: ELECTION_TIMEOUT_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            // The library draws its timeouts from this range without a seed; `randomize_election_timeout` replaces each of them.
            min_election_tick: ELECTION_TIMEOUT_TICKS,
            max_election_tick: 2 * ELECTION_TIMEOUT_TICKS,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            applied: applied_index,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger)?;
        Ok(RaftAdapter { raw })
    }

    /// Returns this member's raft node id.
    pub fn id(&self) -> u64 {
        self.raw.raft.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        Role {
            state: self.raw.raft.state,
            term: self.raw.raft.term,
        }
    }

    /// Returns the raft node id of the leader, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Returns the raft node ids of the voters in ascending order.
    pub fn voters(&self) -> Vec<u64> {
        let configuration = self.raw.raft.prs().conf();
        let mut ids: Vec<u64> = configuration.voters().ids().iter().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the raft configuration.
    pub fn configuration(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.raw.raft.raft_log.last_index()
    }

    /// Returns the last index that a member has acknowledged to this leader, or 0.
    pub fn matched_index(&self, id: u64) -> u64 {
        self.progress(id).map_or(0, |progress| progress.matched)
    }

    /// Returns the last indexes that the other members have acknowledged to this leader, by raft node id.
    pub fn matched_indexes_of_others(&self) -> BTreeMap<u64, u64> {
        self.raw
            .raft
            .prs()
            .iter()
            .filter(|(id, _)| **id != self.id())
            .map(|(id, progress)| (*id, progress.matched))
            .collect()
    }

    /// Returns true if a member has sent a message within the last election timeout.
    pub fn is_recently_active(&self, id: u64) -> bool {
        self.progress(id)
            .is_some_and(|progress| progress.recent_active)
    }

    /// Returns true if a member is active and its log is nearly up to date.
    pub fn is_caught_up(&self, id: u64) -> bool {
        self.progress(id).is_some_and(|progress| {
            progress.recent_active
                && progress.matched > 0
                && progress.matched + MAX_LAG_OF_NEW_VOTER >= self.last_index()
        })
    }

    fn progress(&self, id: u64) -> Option<&Progress> {
        self.raw.raft.prs().get(id)
    }

    /// Returns the log.
    pub fn log(&self) -> &RaftLog {
        self.raw.store()
    }

    /// Returns the log for modification.
    pub fn log_mut(&mut self) -> &mut RaftLog {
        self.raw.mut_store()
    }

    /// Draws a new election timeout.
    pub fn randomize_election_timeout(&mut self, random: &mut fastrand::Rng) {
        let ticks = ELECTION_TIMEOUT_TICKS + random.usize(..ELECTION_TIMEOUT_TICKS);
        self.raw.raft.set_randomized_election_timeout(ticks);
    }

    /// Advances raft's logical clock by one tick.
    pub fn tick(&mut self) {
        self.raw.tick();
    }

    /// Processes a message.
    pub fn step(&mut self, message: Message) {
        // Raft rejects messages of earlier terms; they need no answer.
        let _ = self.raw.step(message);
    }

    /// Requests a confirmation of leadership with the current commit index; the result carries `request`.
    pub fn request_read_index(&mut self, request: u64) {
        self.raw.read_index(request.to_be_bytes().to_vec());
    }

    /// Begins a transfer of leadership.
    pub fn transfer_leadership(&mut self, to: u64) {
        self.raw.transfer_leader(to);
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// Raft rejects it.
    pub fn propose(&mut self, command: &Command) -> Result<(), NodeError> {
        let bytes = encode_command(command)?;
        self.raw
            .propose(Vec::new(), bytes)
            .map_err(|_| NodeError::ProposalRejected)
    }

    /// Returns true if a configuration change has not been applied yet.
    pub fn has_pending_configuration_change(&self) -> bool {
        self.raw.raft.has_pending_conf()
    }

    /// Proposes configuration changes together with a command.
    ///
    /// # Errors
    /// Another configuration change is pending, or raft rejects this one.
    pub fn propose_configuration(
        &mut self,
        changes: &[ConfigurationChange],
        command: Option<&Command>,
    ) -> Result<(), NodeError> {
        if self.has_pending_configuration_change() {
            return Err(NodeError::MembershipChangeInProgress);
        }
        let context = match command {
            Some(command) => encode_command(command)?,
            None => Vec::new(),
        };
        let singles: Vec<ConfChangeSingle> =
            changes.iter().map(|change| (*change).into()).collect();
        let mut change = ConfChangeV2::default();
        change.set_changes(singles.into());
        self.raw
            .propose_conf_change(context, change)
            .map_err(|_| NodeError::ProposalRejected)
    }

    /// Applies a committed configuration change.
    pub fn apply_configuration(&mut self, change: &ConfChangeV2) {
        // A leader proposes only changes that can be applied.
        let _ = self.raw.apply_conf_change(change);
    }

    /// Takes raft's pending work for this member, if any.
    pub fn take_ready(&mut self) -> Option<Ready> {
        self.raw.has_ready().then(|| self.raw.ready())
    }

    /// Reports to raft that the work of a [`Ready`] is done; returns further work.
    pub fn advance(&mut self, ready: Ready) -> LightReady {
        self.raw.advance(ready)
    }

    /// Reports to raft that all committed entries are applied.
    pub fn advance_apply(&mut self) {
        self.raw.advance_apply();
    }
}

/// Returns the snapshot of a [`Ready`], if it has one.
pub(crate) fn snapshot_of(ready: &Ready) -> Option<&Snapshot> {
    let snapshot = ready.snapshot();
    (*snapshot != Snapshot::default()).then_some(snapshot)
}

fn encode_command(command: &Command) -> Result<Vec<u8>, NodeError> {
    serde_json::to_vec(command).map_err(|_| NodeError::NotEncodable)
}
