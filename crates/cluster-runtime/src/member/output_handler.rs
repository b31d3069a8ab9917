//! Carrying out the node's outputs: log writes, messages, lease and events for the application.

use std::collections::BTreeSet;

use cluster::machine::{Effect, Machine, Outcome};
use cluster::node::{Node, Output, Persist, Refusal};
use config_store::log::Append;

use super::error::MemberError;
use super::event::MemberEvent;
use super::runtime::MemberRuntime;
use crate::message::Body;

impl MemberRuntime {
    /// Carries out all outputs of the node, in their order, until there are none.
    pub(super) fn process_outputs(&mut self) -> Result<(), MemberError> {
        loop {
            let outputs = match &mut self.joined {
                Some(joined) => joined.node.outputs(),
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

    /// Ends the proposals that wait here unless this member leads: they may get lost, so the callers ask the leader.
    pub(super) fn abort_proposals_unless_leader(&mut self) {
        let is_leader = self.node().is_some_and(Node::leads);
        if self.proposals.is_empty() || is_leader {
            return;
        }
        let proposals = std::mem::take(&mut self.proposals);
        for reply in proposals.into_values().flatten() {
            let _ = reply.send(Err(Refusal::NotLeading(None))); // the caller may have left
        }
    }

    fn process_output(&mut self, output: Output) -> Result<(), MemberError> {
        match output {
            Output::Persist(persist) => self.persist(&persist)?,
            Output::Send(to, message) => self.send_to_id(to, Body::Node(to, message)),
            Output::Effect(effect) => self.process_effect(effect),
            Output::Restore(machine, state) => self.restore(machine, state),
            Output::Right(lease) => self.lease.replace(lease),
            Output::Confirmed(reads) => self.notify_reads(reads, true),
            Output::Unconfirmed(reads) => self.notify_reads(reads, false),
            Output::Long => self.notify(MemberEvent::ExportState),
            Output::Forgotten { has, acknowledged } => {
                self.rejoin_with_empty_log(has, acknowledged)?;
            }
        }
        Ok(())
    }

    fn persist(&mut self, persist: &Persist) -> Result<(), MemberError> {
        let snapshot = persist.snapshot.as_ref();
        let append = Append {
            snapshot: snapshot.map(|(index, bytes)| (*index, bytes.as_slice())),
            whole: persist.whole,
            entries: &persist.entries,
            hard: persist.hard.as_deref(),
            identity: None,
            acknowledged: persist.acknowledged.as_deref(),
        };
        // Tests delay the write here.
        fail::fail_point!("cluster-log");
        self.log.append(append).map_err(MemberError::Log)
    }

    fn process_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Check(proposal) => self.notify(MemberEvent::CheckProposal(proposal)),
            Effect::Close(proposal) => self.notify(MemberEvent::CloseVersion(proposal)),
            Effect::Open(version, proposal) => {
                self.notify(MemberEvent::ActivateVersion { version, proposal });
            }
            Effect::Note(proposal) => self.notify(MemberEvent::StoreEntry(proposal)),
            Effect::Ended(id, outcome) => self.finish_proposal(&id, &outcome),
            Effect::Members => self.update_members(),
        }
    }

    fn finish_proposal(&mut self, id: &str, outcome: &Outcome) {
        match outcome {
            Outcome::InEffect(_) => self.changes.in_effect += 1,
            Outcome::GivenUp(_) => {
                self.changes.aborted += 1;
                self.notify(MemberEvent::ProposalAborted);
            }
            Outcome::Stored | Outcome::Overtaken => {}
        }
        for reply in self.proposals.remove(id).unwrap_or_default() {
            let _ = reply.send(Ok(outcome.clone())); // the caller may have left
        }
    }

    /// Reports the members to the application and closes connections to those that have left.
    fn update_members(&mut self) {
        let machine = self.node().and_then(Node::machine);
        let names = machine.map(member_names).unwrap_or_default();
        self.notify_members(&names);
        let peers = &self.settings.peers;
        self.transport
            .retain_peers(|name| names.contains(name) || peers.contains_key(name));
    }

    fn restore(&mut self, machine: Machine, state: String) {
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

fn member_names(machine: &Machine) -> BTreeSet<String> {
    machine.members.keys().cloned().collect()
}
