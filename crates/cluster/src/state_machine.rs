//! The replicated state machine: members, the version in effect and the change in progress.
//!
//! Every member applies the same commands in the same order and so has the same state. The module does no replication:
//! [`Node`](crate::node::Node) passes it the commands from the raft log.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{AbortReason, Command, Member, Proposal};
use crate::rules::Rules;

/// Number of a version of the configuration. Only a change that took effect gets one, and no number is reused.
pub type Version = u64;

/// Number of outcomes kept for callers that retry.
const MAX_OUTCOMES: usize = 1024;
/// Number of reasons kept for one aborted change.
const MAX_ABORT_REASONS: usize = 64;

/// Phase of a change in progress.
///
/// Invariant: a change can be aborted only while validating. Once fencing, it can only be activated: each member with a lease has
/// accepted it, and some members may already have stopped deciding. Only recovery from a lost quorum
/// ([`recover_log`](crate::log_recovery::recover_log)) drops a fencing change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members validate the change and still decide under the current version.
    #[serde(rename = "checking")]
    Validating,
    /// The change will take effect; members stop deciding under the current version.
    #[serde(rename = "closing")]
    Fencing,
}

/// A change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Proposal of the change.
    pub proposal: Proposal,
    /// Phase of the change.
    pub phase: Phase,
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The change took effect as this version.
    #[serde(rename = "in-effect")]
    Activated(Version),
    /// The payload was stored.
    #[serde(rename = "stored")]
    Stored,
    /// The change was aborted and took effect on no member.
    #[serde(rename = "given-up")]
    Aborted(Vec<AbortReason>),
    /// The proposal was based on another revision, or another change was in progress.
    #[serde(rename = "overtaken")]
    Conflict,
}

/// Consequence of a command for the application.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Validate a change and report the result to [`Node::change_validated`](crate::node::Node::change_validated).
    Validate(Proposal),
    /// Stop deciding under the current version, then call [`Node::change_fenced`](crate::node::Node::change_fenced); the lease remains
    /// until then.
    Fence(Proposal),
    /// Switch to a version.
    Activate {
        /// New version.
        version: Version,
        /// Proposal of the change that creates the version.
        proposal: Proposal,
    },
    /// Store a payload.
    Store(Proposal),
    /// A proposal is complete.
    Completed {
        /// Id of the proposal.
        id: String,
        /// Outcome of the proposal.
        outcome: Outcome,
    },
    /// Members were added or removed.
    MembersChanged,
}

/// Recorded outcome of a proposal; serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(String, Outcome)", into = "(String, Outcome)")]
struct CompletedProposal {
    id: String,
    outcome: Outcome,
}

impl From<(String, Outcome)> for CompletedProposal {
    fn from((id, outcome): (String, Outcome)) -> Self {
        CompletedProposal { id, outcome }
    }
}

impl From<CompletedProposal> for (String, Outcome) {
    fn from(completed: CompletedProposal) -> Self {
        (completed.id, completed.outcome)
    }
}

/// The replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    /// Random id of the cluster, which distinguishes clusters of the same name.
    #[serde(rename = "cluster")]
    pub cluster_id: String,
    /// Rules of the cluster.
    pub rules: Rules,
    /// Members by name.
    pub members: BTreeMap<String, Member>,
    /// Raft node id of the next member; ids are never reused.
    pub next_id: u64,
    /// Version in effect.
    pub version: Version,
    /// Number of stored proposals.
    #[serde(rename = "entry")]
    pub revision: u64,
    /// Change in progress.
    pub change: Option<Change>,
    /// Outcomes of the latest proposals, oldest first.
    outcomes: VecDeque<CompletedProposal>,
}

impl StateMachine {
    /// Creates the state of a cluster with one member at an initial version and revision.
    pub fn bootstrap(
        cluster_id: String,
        rules: Rules,
        name: String,
        member: Member,
        version: Version,
        revision: u64,
    ) -> Self {
        let next_id = member.id + 1;
        StateMachine {
            cluster_id,
            rules,
            members: BTreeMap::from([(name, member)]),
            next_id,
            version,
            revision,
            change: None,
            outcomes: VecDeque::new(),
        }
    }

    /// Applies a command. A command that does not match the current state has no effect.
    pub fn apply(&mut self, command: &Command) -> Vec<Effect> {
        match command {
            Command::AddMember { name, member } => self.add_member(name, member),
            Command::RemoveMember { name, id } => self.remove_member(name, *id),
            Command::Propose(proposal) => self.begin_change(proposal),
            Command::Fence { change } => self.fence_change(change),
            Command::Activate { change } => self.activate_change(change),
            Command::Abort { change, reasons } => self.abort_change(change, reasons),
            Command::Store(proposal) => self.store(proposal),
        }
    }

    /// Returns the outcome of a proposal, if it is complete and still recorded.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|completed| completed.id == id)
            .map(|completed| &completed.outcome)
    }

    /// Returns true if the change with this id is in progress.
    pub fn is_in_progress(&self, id: &str) -> bool {
        self.change
            .as_ref()
            .is_some_and(|change| change.proposal.id == id)
    }

    /// Returns the phase of the change in progress.
    pub fn change_phase(&self) -> Option<Phase> {
        self.change.as_ref().map(|change| change.phase)
    }

    /// Returns the name of the member with a raft node id.
    pub fn name_of(&self, id: u64) -> Option<&str> {
        self.members
            .iter()
            .find(|(_, member)| member.id == id)
            .map(|(name, _)| name.as_str())
    }

    fn add_member(&mut self, name: &str, member: &Member) -> Vec<Effect> {
        self.members.insert(name.to_owned(), member.clone());
        self.next_id = self.next_id.max(member.id + 1);
        vec![Effect::MembersChanged]
    }

    fn remove_member(&mut self, name: &str, id: u64) -> Vec<Effect> {
        if self.members.get(name).is_some_and(|member| member.id == id) {
            self.members.remove(name);
        }
        vec![Effect::MembersChanged]
    }

    fn begin_change(&mut self, proposal: &Proposal) -> Vec<Effect> {
        let is_duplicate =
            self.outcome(&proposal.id).is_some() || self.is_in_progress(&proposal.id);
        if is_duplicate {
            return Vec::new();
        }
        if self.conflicts(proposal) {
            return self.complete(&proposal.id, Outcome::Conflict);
        }
        self.change = Some(Change {
            proposal: proposal.clone(),
            phase: Phase::Validating,
        });
        vec![Effect::Validate(proposal.clone())]
    }

    fn fence_change(&mut self, id: &str) -> Vec<Effect> {
        match &mut self.change {
            Some(change) if change.proposal.id == id && change.phase == Phase::Validating => {
                change.phase = Phase::Fencing;
                vec![Effect::Fence(change.proposal.clone())]
            }
            _ => Vec::new(),
        }
    }

    fn activate_change(&mut self, id: &str) -> Vec<Effect> {
        let Some(change) = self.take_change(id, Phase::Fencing) else {
            return Vec::new();
        };
        self.version += 1;
        self.revision += 1;
        let mut effects = vec![Effect::Activate {
            version: self.version,
            proposal: change.proposal,
        }];
        effects.extend(self.complete(id, Outcome::Activated(self.version)));
        effects
    }

    /// Aborts a change that is still being validated. Aborting a fencing change has no effect; see [`Phase`].
    fn abort_change(&mut self, id: &str, reasons: &[AbortReason]) -> Vec<Effect> {
        if self.take_change(id, Phase::Validating).is_none() {
            return Vec::new();
        }
        let reasons = reasons.iter().take(MAX_ABORT_REASONS).cloned().collect();
        self.complete(id, Outcome::Aborted(reasons))
    }

    fn store(&mut self, proposal: &Proposal) -> Vec<Effect> {
        if self.outcome(&proposal.id).is_some() {
            return Vec::new();
        }
        if self.conflicts(proposal) {
            return self.complete(&proposal.id, Outcome::Conflict);
        }
        self.revision += 1;
        let mut effects = vec![Effect::Store(proposal.clone())];
        effects.extend(self.complete(&proposal.id, Outcome::Stored));
        effects
    }

    fn conflicts(&self, proposal: &Proposal) -> bool {
        self.change.is_some() || proposal.base_revision != self.revision
    }

    /// Takes the change in progress if it has this id and phase.
    fn take_change(&mut self, id: &str, phase: Phase) -> Option<Change> {
        self.change
            .take_if(|change| change.proposal.id == id && change.phase == phase)
    }

    fn complete(&mut self, id: &str, outcome: Outcome) -> Vec<Effect> {
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(CompletedProposal {
            id: id.to_owned(),
            outcome: outcome.clone(),
        });
        vec![Effect::Completed {
            id: id.to_owned(),
            outcome,
        }]
    }
}
