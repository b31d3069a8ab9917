//! Requests that only the leader accepts: proposals, reads and membership changes.

use crate::command::{Command, Member, Proposal};
use crate::error::NodeError;
use crate::lease_table::LeaseTable;
use crate::output::Output;
use crate::rules::Micros;
use crate::state_machine::{Effect, StateMachine};

use super::Node;
use super::raft_adapter::ConfigurationChange;
use super::request::{JoinRequest, ProposalKind};

impl Node {
    /// Proposes a payload. The outcome is reported as [`Effect::Completed`].
    ///
    /// # Errors
    /// This member is not the leader, or can't accept the proposal now.
    pub fn propose(
        &mut self,
        now: Micros,
        proposal: Proposal,
        kind: ProposalKind,
    ) -> Result<(), NodeError> {
        let state_machine = self.leader_state()?.state_machine;
        if let Some(outcome) = state_machine.outcome(&proposal.id) {
            let completed = Effect::Completed {
                id: proposal.id,
                outcome: outcome.clone(),
            };
            self.outputs.push(Output::Effect(completed));
            return Ok(());
        }
        if state_machine.is_in_progress(&proposal.id) {
            return Ok(());
        }
        // The proposal would conflict. A change started by a former leader may still wait for a lease to expire.
        if state_machine.change.is_some() {
            return Err(NodeError::ChangeInProgress);
        }
        let command = match kind {
            ProposalKind::Change => Command::Propose(proposal),
            ProposalKind::Storage => Command::Store(proposal),
        };
        self.raft.propose(&command)?;
        self.advance(now);
        Ok(())
    }

    /// Requests a confirmation that this member is still the leader, so that a read is known to be current. The result is reported as
    /// [`Output::ReadsConfirmed`] or [`Output::ReadsRejected`].
    ///
    /// # Errors
    /// This member is not the leader, or too many reads are waiting.
    pub fn confirm_read(&mut self, now: Micros, read: u64) -> Result<(), NodeError> {
        self.leader_state()?;
        self.reads.add_read(read)?;
        self.advance(now);
        Ok(())
    }

    /// Adds a member, or replaces a stopped one of the same name, for example one that lost its disk. Returns the raft node id once the
    /// member is added; the caller retries until then.
    ///
    /// # Errors
    /// This member is not the leader, the name is in use, or another membership change is in progress.
    pub fn add_member(
        &mut self,
        now: Micros,
        request: &JoinRequest<'_>,
    ) -> Result<Option<u64>, NodeError> {
        let LeaderState {
            lease_table,
            state_machine,
        } = self.leader_state()?;
        let mut changes = Vec::new();
        if let Some(previous) = state_machine.members.get(request.name) {
            let is_own_name = previous.id == self.id();
            if previous.join_nonce == request.nonce && !is_own_name {
                return Ok(Some(previous.id));
            }
            if is_own_name || !lease_table.is_unresponsive(now, previous.id) {
                return Err(NodeError::NameInUse);
            }
            changes.push(ConfigurationChange::Remove(previous.id));
        }
        let id = state_machine.next_id;
        changes.push(ConfigurationChange::AddLearner(id));
        let command = Command::AddMember {
            name: request.name.to_owned(),
            member: Member {
                id,
                address: request.address.to_owned(),
                zone: request.zone.to_owned(),
                join_nonce: request.nonce,
            },
        };
        self.raft.propose_configuration(&changes, Some(&command))?;
        self.advance(now);
        Ok(None)
    }

    /// Removes a member. Returns true once it is removed; the caller retries until then. A member is not removed while it may still
    /// decide.
    ///
    /// # Errors
    /// This member is not the leader, or it is the one to remove.
    pub fn remove_member(&mut self, now: Micros, name: &str) -> Result<bool, NodeError> {
        let state_machine = self.leader_state()?.state_machine;
        let Some(id) = state_machine.members.get(name).map(|member| member.id) else {
            return Ok(true);
        };
        if id == self.id() {
            return Err(NodeError::CannotRemoveLeader);
        }
        let may_be_removed = self
            .lease_table
            .as_mut()
            .is_some_and(|table| table.begin_removal(now, id));
        if may_be_removed {
            let command = Command::RemoveMember {
                name: name.to_owned(),
                id,
            };
            self.raft
                .propose_configuration(&[ConfigurationChange::Remove(id)], Some(&command))?;
        }
        self.advance(now);
        Ok(false)
    }

    /// Transfers leadership to the preferred voter, or to any active one.
    ///
    /// # Errors
    /// This member is not the leader, or no other voter is active.
    pub fn transfer_leadership(
        &mut self,
        now: Micros,
        preferred: Option<u64>,
    ) -> Result<(), NodeError> {
        self.leader_state()?;
        let others = self.other_voters();
        let to = preferred
            .filter(|id| others.contains(id))
            .or_else(|| {
                others
                    .iter()
                    .copied()
                    .find(|id| self.raft.is_recently_active(*id))
            })
            .ok_or(NodeError::NoOtherVoter)?;
        self.raft.transfer_leadership(to);
        self.advance(now);
        Ok(())
    }

    fn leader_state(&self) -> Result<LeaderState<'_>, NodeError> {
        match (&self.lease_table, &self.state_machine) {
            (Some(lease_table), Some(state_machine)) => Ok(LeaderState {
                lease_table,
                state_machine,
            }),
            _ => Err(NodeError::NotLeader),
        }
    }
}

/// State of a member that is the leader.
struct LeaderState<'a> {
    lease_table: &'a LeaseTable,
    state_machine: &'a StateMachine,
}
