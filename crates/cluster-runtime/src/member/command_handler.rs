//! Handling of the application's commands.

use cluster::machine::{Micros, Phase, Proposal, Version};
use cluster::node::{Node, Refusal};
use tokio::sync::oneshot;

use super::command::{MemberCommand, PendingChange, ProposalResult};
use super::event::MemberEvent;
use super::runtime::MemberRuntime;
use crate::clock;

impl MemberRuntime {
    /// Handles one command. Before this member has joined only calls and the status are handled; other replies are dropped.
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
            MemberCommand::ProposalChecked {
                proposal,
                rejection,
            } => self.with_node(|node| node.checked(now, &proposal, rejection)),
            MemberCommand::VersionClosed { proposal } => {
                self.with_node(|node| node.closed(now, &proposal));
            }
            MemberCommand::VersionActivated(version) => {
                self.with_node(|node| node.carried(now, version));
            }
            MemberCommand::StateRestored { version, change } => {
                self.with_node(|node| state_restored(node, now, version, change));
            }
            MemberCommand::StateExported(state) => {
                self.with_node(|node| node.shorten(now, state));
            }
            MemberCommand::BeginShutdown => self.with_node(|node| node.rest(now)),
            MemberCommand::ConfirmRead(read) => self.confirm_read(now, read),
            MemberCommand::Propose {
                proposal,
                is_note,
                reply,
            } => self.propose(now, proposal, is_note, reply),
            MemberCommand::TrustDisk(reply) => self.with_node(|node| trust_disk(node, reply)),
            MemberCommand::RemoveMember { name, reply } => {
                self.with_node(|node| _ = reply.send(node.leave(now, &name)));
            }
            MemberCommand::StepDown { successor, reply } => {
                self.with_node(|node| step_down(node, now, successor, reply));
            }
        }
    }

    /// Runs `operation` on the node; without one, drops it and the reply channel that it owns.
    fn with_node(&mut self, operation: impl FnOnce(&mut Node)) {
        if let Some(joined) = &mut self.joined {
            operation(&mut joined.node);
        }
    }

    fn confirm_read(&mut self, now: Micros, read: u64) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        if joined.node.confirm(now, read).is_err() {
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
        is_note: bool,
        reply: oneshot::Sender<ProposalResult>,
    ) {
        let Some(joined) = &mut self.joined else {
            return;
        };
        let id = proposal.id.clone();
        match joined.node.propose(now, proposal, is_note) {
            Ok(()) => self.proposals.entry(id).or_default().push(reply),
            Err(e) => _ = reply.send(Err(e)),
        }
    }
}

fn state_restored(node: &mut Node, now: Micros, version: Version, change: Option<PendingChange>) {
    node.carried(now, version);
    if let Some(change) = change
        && change.phase == Phase::Closing
    {
        node.closed(now, &change.id);
    }
}

fn trust_disk(node: &mut Node, reply: oneshot::Sender<bool>) {
    let was_in_doubt = !node.is_proven();
    node.vouch();
    let _ = reply.send(was_in_doubt); // the caller may have left
}

fn step_down(
    node: &mut Node,
    now: Micros,
    successor: Option<String>,
    reply: oneshot::Sender<Result<(), Refusal>>,
) {
    let successor_id = successor.and_then(|name| {
        let member = node.machine()?.members.get(&name)?;
        Some(member.id)
    });
    let _ = reply.send(node.step_down(now, successor_id)); // the caller may have left
}
