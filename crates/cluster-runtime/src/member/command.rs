//! Commands that the application gives to its member.

use cluster::command::Proposal;
use cluster::error::NodeError;
use cluster::member_lease::Validation;
use cluster::node::ProposalKind;
use cluster::state_machine::{Outcome, Phase, Version};
use tokio::sync::oneshot;

use crate::message::CallError;
use crate::status::Status;

/// Result of a proposal.
pub type ProposalResult = Result<Outcome, NodeError>;
/// Answer to a call for the leader.
pub type CallResult = Result<String, CallError>;

/// Change that was in progress in a restored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingChange {
    /// Id of the change.
    pub id: String,
    /// Phase of the change.
    pub phase: Phase,
}

/// Command of the application. A reply channel that is dropped unanswered means that the member has stopped or has not joined yet.
#[derive(Debug)]
pub enum MemberCommand {
    /// A change has been validated.
    ChangeValidated(Validation),
    /// Decisions under the present version have stopped.
    ChangeFenced {
        /// Id of the change for which they stopped.
        change: String,
    },
    /// A version is served.
    VersionServed(Version),
    /// A restored snapshot is served.
    StateRestored {
        /// Version of the snapshot.
        version: Version,
        /// Change that was in progress.
        change: Option<PendingChange>,
    },
    /// The state has been exported.
    StateExported(String),
    /// A call has an answer.
    CallAnswered {
        /// Id of the call.
        id: String,
        /// Answer.
        answer: CallResult,
    },
    /// A call has no answer because this member does not lead; the caller retries at the leader.
    CallUnanswered {
        /// Id of the call.
        id: String,
    },
    /// Proposes a change or a payload to store.
    Propose {
        /// Proposal.
        proposal: Proposal,
        /// Kind of the proposal.
        kind: ProposalKind,
        /// Receives the result once it is agreed.
        reply: oneshot::Sender<ProposalResult>,
    },
    /// Asks for confirmation that a read is current; answered by the event `ReadCompleted` with this number.
    ConfirmRead(u64),
    /// Calls the leader.
    Call {
        /// Id of the call; a repeated call with the same id is answered once.
        id: String,
        /// Payload of the call.
        payload: String,
        /// Receives the answer.
        reply: oneshot::Sender<CallResult>,
    },
    /// Announces a graceful shutdown: this member decides nothing any more, and no change has to wait for it.
    ReleaseLease,
    /// Asks for the status of the cluster.
    ReportStatus(oneshot::Sender<Status>),
    /// Removes a member.
    RemoveMember {
        /// Name of the member.
        name: String,
        /// Receives true once the member is removed, false while it is still leaving.
        reply: oneshot::Sender<Result<bool, NodeError>>,
    },
    /// Accepts the disk of this member as its newest, on the word of an operator; the reply is true if that was in doubt.
    ConfirmDisk(oneshot::Sender<bool>),
    /// Transfers leadership.
    TransferLeadership {
        /// Name of the new leader; any member if none.
        successor: Option<String>,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), NodeError>>,
    },
}
