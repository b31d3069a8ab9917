//! Commands that the application gives to its member.

use cluster::machine::{Outcome, Phase, Proposal, Version};
use cluster::node::Refusal;
use tokio::sync::oneshot;

use crate::message::CallError;
use crate::status::Status;

/// Result of a proposal.
pub type ProposalResult = Result<Outcome, Refusal>;
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
    /// A proposal has been validated.
    ProposalChecked {
        /// Id of the proposal.
        proposal: String,
        /// Reason against the proposal; none if it can be taken.
        rejection: Option<String>,
    },
    /// Decisions under the present version have stopped.
    VersionClosed {
        /// Id of the proposal for which they stopped.
        proposal: String,
    },
    /// A version is served.
    VersionActivated(Version),
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
    /// Proposes a change or an entry.
    Propose {
        /// Proposal.
        proposal: Proposal,
        /// Set for an entry that changes no version.
        is_note: bool,
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
    BeginShutdown,
    /// Asks for the status of the cluster.
    ReportStatus(oneshot::Sender<Status>),
    /// Removes a member.
    RemoveMember {
        /// Name of the member.
        name: String,
        /// Receives true once the member is removed, false while it is still leaving.
        reply: oneshot::Sender<Result<bool, Refusal>>,
    },
    /// Accepts the disk of this member as its newest, on the word of an operator; the reply is true if that was in doubt.
    TrustDisk(oneshot::Sender<bool>),
    /// Transfers leadership.
    StepDown {
        /// Name of the new leader; any member if none.
        successor: Option<String>,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
}
