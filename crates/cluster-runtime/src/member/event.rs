//! Events from a member to its application.

use cluster::command::Proposal;
use cluster::state_machine::{StateMachine, Version};

/// Event for the application, which handles events in the order of their arrival. The documentation of each event names the
/// [`MemberCommand`](super::command::MemberCommand) that acknowledges it, if any.
#[derive(Debug)]
pub enum MemberEvent {
    /// The application has to validate a change; acknowledged by `ChangeValidated`.
    ValidateChange(Proposal),
    /// The application has to stop deciding under the current version for a change; acknowledged by `ChangeFenced`.
    FenceVersion(Proposal),
    /// A version is in effect and the application has to serve it; acknowledged by `VersionServed`.
    ActivateVersion {
        /// New version.
        version: Version,
        /// Proposal of the change that created the version.
        proposal: Proposal,
    },
    /// Members were added or removed.
    MembersChanged {
        /// Position of this member among all members, ordered by name.
        index: u32,
        /// Number of members.
        count: u32,
    },
    /// A change was aborted during validation.
    ChangeAborted,
    /// The application has to store a payload that affects no decision.
    StorePayload(Proposal),
    /// The application has to replace its state if it is older; acknowledged by `StateRestored`.
    RestoreState {
        /// State of the cluster at the snapshot.
        machine: StateMachine,
        /// State of the application at the snapshot.
        state: String,
    },
    /// The application has to export its state after all events so far; acknowledged by `StateExported`.
    ExportState,
    /// A read that was started by `ConfirmRead` has completed.
    ReadCompleted {
        /// Number of the read.
        read: u64,
        /// Set if this member was the leader and had applied all entries committed before the read.
        is_current: bool,
    },
    /// A call to the leader was received; acknowledged by `CallAnswered` or `CallUnanswered`.
    CallReceived {
        /// Id of the call.
        id: String,
        /// Payload of the call.
        payload: String,
    },
    /// The member has stopped; the application may not decide any more.
    Stopped {
        /// Reason, as text for the operator.
        reason: String,
    },
}
