//! Actions that a [`Node`](crate::node::Node) asks its caller to perform.

use crate::member_lease::Lease;
use crate::message::Message;
use crate::persistence::Persist;
use crate::state_machine::{Effect, StateMachine};

/// An action for the caller. The caller performs actions in order; if [`Output::Persist`] fails, it performs none of the later ones.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write state to disk and sync it.
    Persist(Persist),
    /// Send a message; delivery is not guaranteed.
    Send {
        /// Raft node id of the receiving member.
        to: u64,
        /// Message to send.
        message: Message,
    },
    /// Apply the effect of a committed command.
    Effect(Effect),
    /// Replace the application's state by that of a snapshot. If the state machine has a change in progress, the application has to
    /// validate it, or to fence if it is in that phase: the entry with that effect was compacted before this member received it.
    Restore {
        /// State machine at the snapshot.
        state_machine: StateMachine,
        /// The application's state at the snapshot.
        application_state: String,
    },
    /// Use this lease from now on; `None` means that the member may not decide.
    LeaseChanged(Option<Lease>),
    /// Answer these reads from the current state, oldest first.
    ReadsConfirmed(Vec<u64>),
    /// Reject these reads, as this member is not the leader.
    ReadsRejected(Vec<u64>),
    /// Export the application's state for a snapshot and pass it to [`Node::compact`](crate::node::Node::compact).
    SnapshotNeeded,
    /// Discard this member's state and join as a new member: its disk lacks entries that it has acknowledged, for example because the
    /// disk was restored from a copy.
    AmnesiaDetected {
        /// Index of the last entry on disk.
        last_index: u64,
        /// Index of the last entry that the member has acknowledged.
        acknowledged_index: u64,
    },
}
