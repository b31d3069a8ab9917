//! Processing of the node's outputs: log writes, messages, lease changes, and events for the application.

use std::collections::BTreeSet;

use cluster::error::NodeError;
use cluster::node::Node;
use cluster::output::Output;
use cluster::persistence::Persist;
use cluster::state_machine::{Effect, Outcome, StateMachine};
use config_store::raft_log::LogBatch;

use super::error::MemberError;
use super::event::MemberEvent;
use super::runtime::MemberRuntime;
use crate::message::Body;

impl MemberRuntime {
    /// Processes all outputs of the node in order, until there are none left.
    pub(super) fn process_outputs(&mut self) -> Result<(), MemberError> {
        loop {
            let outputs = match &mut self.joined {
                Some(joined) => joined.node.take_outputs(),
                None => Vec::new(),
            };
            if outputs.is_empty() {
                self.abort_proposals_unless_leader();
                return Ok(());
            }
            for output in outputs {
                self.process_output(output)?;
            }
        }
    }

    /// Fails all waiting proposals unless this member is the leader: they may be lost, so the callers have to retry at the leader.
    pub(super) fn abort_proposals_unless_leader(&mut self) {
        let is_leader = self.node().is_some_and(Node::is_leader);
        if self.proposals.is_empty() || is_leader {
            return;
        }
        let proposals = std::mem::take(&mut self.proposals);
        for reply in proposals.into_values().flatten() {
            let _ = reply.send(Err(NodeError::NotLeader)); // the caller may have dropped the receiver
        }
    }

    fn process_output(&mut self, output: Output) -> Result<(), MemberError> {
        match output {
            Output::Persist(persist) => self.persist(&persist)?,
            Output::Send { to, message } => self.send_to_id(to, Body::Node(to, message)),
            Output::Effect(effect) => self.process_effect(effect),
            Output::Restore {
                state_machine,
                application_state,
            } => self.restore(state_machine, application_state),
            Output::LeaseChanged(lease) => self.lease.replace(lease),
            Output::ReadsConfirmed(reads) => self.notify_reads(reads, true),
            Output::ReadsRejected(reads) => self.notify_reads(reads, false),
            Output::SnapshotNeeded => self.notify(MemberEvent::ExportState),
            Output::AmnesiaDetected {
                last_index,
                acknowledged_index,
            } => {
                self.rejoin_with_empty_log(last_index, acknowledged_index)?;
            }
        }
        Ok(())
    }

    fn persist(&mut self, persist: &Persist) -> Result<(), MemberError> {
        let snapshot = persist.snapshot.as_ref();
        let batch = LogBatch {
            snapshot: snapshot.map(|snapshot| (snapshot.index, snapshot.bytes.as_slice())),
            discard_following: persist.replaces_log,
            entries: &persist.entries,
            hard_state: persist.hard_state.as_deref(),
            identity: None,
            acknowledged: persist.acknowledged.as_deref(),
        };
        // Failpoint with which tests delay the write.
        fail::fail_point!("cluster-log");
        self.log.write(batch).map_err(MemberError::Log)
    }

    fn process_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Validate(proposal) => self.notify(MemberEvent::ValidateChange(proposal)),
            Effect::Fence(proposal) => self.notify(MemberEvent::FenceVersion(proposal)),
            Effect::Activate { version, proposal } => {
                self.notify(MemberEvent::ActivateVersion { version, proposal });
            }
            Effect::Store(proposal) => self.notify(MemberEvent::StorePayload(proposal)),
            Effect::Completed { id, outcome } => self.finish_proposal(&id, &outcome),
            Effect::MembersChanged => self.update_members(),
        }
    }

    fn finish_proposal(&mut self, id: &str, outcome: &Outcome) {
        match outcome {
            Outcome::Activated(_) => self.changes.activated += 1,
            Outcome::Aborted(_) => {
                self.changes.aborted += 1;
                self.notify(MemberEvent::ChangeAborted);
            }
            Outcome::Stored | Outcome::Conflict => {}
        }
        for reply in self.proposals.remove(id).unwrap_or_default() {
            let _ = reply.send(Ok(outcome.clone())); // the caller may have dropped the receiver
        }
    }

    /// Notifies the application of the members and closes connections to removed ones.
    fn update_members(&mut self) {
        let state_machine = self.node().and_then(Node::state_machine);
        let names = state_machine.map(member_names).unwrap_or_default();
        self.notify_members(&names);
        let peers = &self.settings.peers;
        self.transport
            .retain_peers(|name| names.contains(name) || peers.contains_key(name));
    }

    fn restore(&mut self, machine: StateMachine, state: String) {
        tracing::info!(version = machine.version, "restored from snapshot");
        self.notify_members(&member_names(&machine));
        self.notify(MemberEvent::RestoreState { machine, state });
    }

    fn notify_members(&self, names: &BTreeSet<String>) {
        let index = names.iter().position(|name| *name == self.settings.name);
        if let Some(index) = index {
            self.notify(MemberEvent::MembersChanged {
                index: index as u32,
                count: names.len() as u32,
            });
        }
    }

    fn notify_reads(&self, reads: Vec<u64>, is_current: bool) {
        for read in reads {
            self.notify(MemberEvent::ReadCompleted { read, is_current });
        }
    }
}

fn member_names(state_machine: &StateMachine) -> BTreeSet<String> {
    state_machine.members.keys().cloned().collect()
}
