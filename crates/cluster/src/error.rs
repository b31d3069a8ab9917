//! Errors of the cluster's parts.

/// Reason for which a call can't be taken here and now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// Another member leads, or none does.
    #[error("this instance does not lead")]
    NotLeader,
    /// A change is under way.
    #[error("another change is under way")]
    ChangeInProgress,
    /// A member is being added or removed.
    #[error("another member comes or goes")]
    MembershipChangeInProgress,
    /// Too many reads wait for confirmation.
    #[error("too many calls wait")]
    TooManyReads,
    /// A member of the joining member's name has reported within a lease and its drift margin. An unlimited lease of that member is not
    /// waited for: under `PartitionPolicy::Serve` the joining side has to know that the former process has ended.
    #[error("an instance of this name is heard, or was a short while ago")]
    NameInUse,
    /// The leader can't remove itself.
    #[error("it leads: let it step down first")]
    CannotRemoveLeader,
    /// No other voter is connected.
    #[error("no other member with a vote is heard")]
    NoOtherVoter,
    /// Raft rejected the proposal, for example during a leadership transfer.
    #[error("the log takes nothing now")]
    ProposalRejected,
    /// The command can't be encoded.
    #[error("the command can't be written")]
    NotEncodable,
}

/// Reason for which persisted state can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PersistedStateError {
    /// A raft structure is damaged.
    #[error("what was saved can't be read: {0}")]
    Protobuf(#[from] protobuf::ProtobufError),
    /// A JSON part is damaged.
    #[error("what was saved can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// Raft rejects the state.
    #[error("what was saved can't be read: {0}")]
    Raft(#[from] raft::Error),
    /// The member joined, but has never received the cluster's state.
    #[error(
        "what was saved can't be read: this member has joined and has not got the cluster's state yet"
    )]
    NoSnapshot,
}
