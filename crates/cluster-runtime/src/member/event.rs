//! Events that a member reports to its application.

use cluster::command::Proposal;
use cluster::state_machine::{StateMachine, Version};

/// Event for the application. Events are to be handled in the order in which they arrive; each names the
/// [`MemberCommand`](super::command::MemberCommand) that acknowledges it, if any.
#[derive(Debug)]
pub enum MemberEvent {
    /// A change is to be validated; acknowledged by `ChangeValidated`.
    ValidateChange(Proposal),
    /// Decisions under the present version are to stop for a change; acknowledged by `ChangeFenced`.
    FenceVersion(Proposal),
    /// A version is in effect and is to be served; acknowledged by `VersionServed`.
    ActivateVersion {
        /// New version.
        version: Version,
        /// Proposal that led to it.
        proposal: Proposal,
    },
    /// Members have joined or left.
    MembersChanged {
        /// Position of this member among all members, by name.
        index: u32,
        /// Number of members.
        count: u32,
    },
    /// A change that was to be validated was aborted.
    ChangeAborted,
    /// A payload that influences no decision is to be stored.
    StorePayload(Proposal),
    /// The state of the application is to be replaced if it is older; acknowledged by `StateRestored`.
    RestoreState {
        /// State of the cluster at the snapshot.
        machine: StateMachine,
        /// State of the application at the snapshot.
        state: String,
    },
    /// The state after all events so far is to be exported; acknowledged by `StateExported`.
    ExportState,
    /// A read started by `ConfirmRead` has been decided.
    ReadCompleted {
        /// Number of the read.
        read: u64,
        /// Set if this member led and had applied all that was agreed before the read.
        is_current: bool,
    },
    /// A call for the leader has arrived; acknowledged by `CallAnswered` or `CallUnanswered`.
    CallReceived {
        /// Id of the call.
        id: String,
        /// Payload of the call.
        payload: String,
    },
    /// The member has stopped: nothing may be decided any more.
    Stopped {
        /// Reason, as text for the operator.
        reason: String,
    },
}
