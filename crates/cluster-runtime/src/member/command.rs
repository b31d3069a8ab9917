//! Commands from the application to its member.

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
/// Response to a call to the leader.
pub type CallResult = Result<String, CallError>;

/// Change that was in progress in a restored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingChange {
    /// Id of the change.
    pub id: String,
    /// Phase of the change.
    pub phase: Phase,
}

/// Command from the application. A reply channel that is dropped without a reply means that the member has stopped or has not joined yet.
#[derive(Debug)]
pub enum MemberCommand {
    /// The application has validated a change.
    ChangeValidated(Validation),
    /// The application has stopped deciding under the current version.
    ChangeFenced {
        /// Id of the change for which it has stopped.
        change: String,
    },
    /// The application serves a version.
    VersionServed(Version),
    /// The application serves the state of a restored snapshot.
    StateRestored {
        /// Version of the snapshot.
        version: Version,
        /// Change that was in progress.
        change: Option<PendingChange>,
    },
    /// The application has exported its state.
    StateExported(String),
    /// The application has processed a call.
    CallAnswered {
        /// Id of the call.
        id: String,
        /// Response to the call.
        answer: CallResult,
    },
    /// A call was not processed because this member is not the leader; the caller retries at the leader.
    CallUnanswered {
        /// Id of the call.
        id: String,
    },
    /// Proposes a change or a payload to store.
    Propose {
        /// Proposal to replicate.
        proposal: Proposal,
        /// Kind of the proposal.
        kind: ProposalKind,
        /// Receives the result once the proposal is committed or rejected.
        reply: oneshot::Sender<ProposalResult>,
    },
    /// Requests confirmation that a read is current; the event `ReadCompleted` with this number is the response.
    ConfirmRead(u64),
    /// Calls the leader.
    Call {
        /// Id of the call; repeated calls with the same id are processed once.
        id: String,
        /// Payload of the call.
        payload: String,
        /// Receives the response.
        reply: oneshot::Sender<CallResult>,
    },
    /// Announces a graceful shutdown: this member stops deciding, so that changes do not wait for it.
    ReleaseLease,
    /// Requests the status of the cluster.
    ReportStatus(oneshot::Sender<Status>),
    /// Removes a member.
    RemoveMember {
        /// Name of the member.
        name: String,
        /// Receives true once the member is removed, false while the removal is in progress.
        reply: oneshot::Sender<Result<bool, NodeError>>,
    },
    /// Confirms on behalf of an operator that the disk has the member's latest state; the reply is true if it was unconfirmed.
    ConfirmDisk(oneshot::Sender<bool>),
    /// Transfers leadership.
    TransferLeadership {
        /// Name of the new leader; any active voter if `None`.
        successor: Option<String>,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), NodeError>>,
    },
}
