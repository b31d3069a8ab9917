//! Handling of commands from the application.

use cluster::command::Proposal;
use cluster::error::NodeError;
use cluster::node::{Node, ProposalKind};
use cluster::rules::Micros;
use cluster::state_machine::{Phase, Version};
use tokio::sync::oneshot;

use super::command::{MemberCommand, PendingChange, ProposalResult};
use super::event::MemberEvent;
use super::runtime::MemberRuntime;
use crate::clock;

impl MemberRuntime {
    /// Handles one command. Before this member has joined, it handles only calls and status requests, and drops other reply channels.
    pub(super) fn handle_command(&mut self, command: MemberCommand) {
        let now = clock::now();
        match command {
            MemberCommand::Call { id, payload, reply } => {
                if self.calls.start(id, payload, reply) {
                    self.route_calls(now);
                }
            }
            MemberCommand::CallAnswered { id, answer } => self.answer_call(&id, &answer),
            MemberCommand::CallUnanswered { id } => _ = self.calls.take_callers(&id),
            MemberCommand::ReportStatus(reply) => _ = reply.send(self.status(now)),
            MemberCommand::ChangeValidated(validation) => {
                self.with_node(|node| node.change_validated(now, validation));
            }
            MemberCommand::ChangeFenced { change } => {
                self.with_node(|node| node.change_fenced(now, &change));
            }
            MemberCommand::VersionServed(version) => {
                self.with_node(|node| node.version_served(now, version));
            }
            MemberCommand::StateRestored { version, change } => {
                self.with_node(|node| state_restored(node, now, version, change));
            }
            MemberCommand::StateExported(state) => {
                self.with_node(|node| node.compact(now, state));
            }
            MemberCommand::ReleaseLease => self.with_node(|node| node.release_lease(now)),
            MemberCommand::ConfirmRead(read) => self.confirm_read(now, read),
            MemberCommand::Propose {
                proposal,
                kind,
                reply,
            } => self.propose(now, proposal, kind, reply),
            MemberCommand::ConfirmDisk(reply) => self.with_node(|node| confirm_disk(node, reply)),
            MemberCommand::RemoveMember { name, reply } => {
                self.with_node(|node| _ = reply.send(node.remove_member(now, &name)));
            }
            MemberCommand::TransferLeadership { successor, reply } => {
                self.with_node(|node| transfer_leadership(node, now, successor, reply));
            }
        }
    }

    /// Runs `operation` on the node. Without a node, drops `operation` and the reply channel that it owns.
    fn with_node(&mut self, operation: impl FnOnce(&mut Node)) {
        if let Some(joined) = &mut self.joined {
            operation(&mut joined.node);
        }
    }

    fn confirm_read(&mut self, now: Micros, read: u64) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        if joined.node.confirm_read(now, read).is_err() {
            self.notify(MemberEvent::ReadCompleted {
                read,
                is_current: false,
            });
        }
    }

    fn propose(
        &mut self,
        now: Micros,
        proposal: Proposal,
        kind: ProposalKind,
        reply: oneshot::Sender<ProposalResult>,
    ) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        let id = proposal.id.clone();
        match joined.node.propose(now, proposal, kind) {
            Ok(()) => self.proposals.entry(id).or_default().push(reply),
            Err(e) => _ = reply.send(Err(e)),
        }
    }
}

fn state_restored(node: &mut Node, now: Micros, version: Version, change: Option<PendingChange>) {
    node.version_served(now, version);
    if let Some(change) = change
        && change.phase == Phase::Fencing
    {
        node.change_fenced(now, &change.id);
    }
}

fn confirm_disk(node: &mut Node, reply: oneshot::Sender<bool>) {
    let was_in_doubt = !node.is_disk_confirmed();
    node.confirm_disk();
    let _ = reply.send(was_in_doubt); // the caller may have dropped the receiver
}

fn transfer_leadership(
    node: &mut Node,
    now: Micros,
    successor: Option<String>,
    reply: oneshot::Sender<Result<(), NodeError>>,
) {
    let successor_id = successor.and_then(|name| {
        let member = node.state_machine()?.members.get(&name)?;
        Some(member.id)
    });
    let _ = reply.send(node.transfer_leadership(now, successor_id)); // the caller may have dropped the receiver
}
