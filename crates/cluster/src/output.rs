//! Actions that a [`Node`](crate::node::Node) asks its caller to carry out.

use crate::member_lease::Lease;
use crate::message::Message;
use crate::persistence::Persist;
use crate::state_machine::{Effect, StateMachine};

/// An action for the caller. Actions are carried out in order; if [`Output::Persist`] fails, none after it may be.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to disk and sync.
    Persist(Persist),
    /// Send a message; it may get lost.
    Send {
        /// Raft node id of the receiving member.
        to: u64,
        /// The message.
        message: Message,
    },
    /// Apply the effect of a committed command.
    Effect(Effect),
    /// Replace the application's state by a snapshot's. A change that the state machine holds is to be validated, or fenced where its
    /// phase says so, as its effect was in an entry that this member never saw.
    Restore {
        /// State machine at the snapshot.
        state_machine: StateMachine,
        /// The application's state at the snapshot.
        application_state: String,
    },
    /// Use this lease from now on; none means that nothing may be decided.
    LeaseChanged(Option<Lease>),
    /// Answer these reads from the present state, oldest first.
    ReadsConfirmed(Vec<u64>),
    /// Reject these reads, as this member does not lead.
    ReadsRejected(Vec<u64>),
    /// Provide the application's state by [`Node::compact`](crate::node::Node::compact), for a snapshot.
    SnapshotNeeded,
    /// Remove this member and join as a new one: it has acknowledged more than its disk has, as when a disk was restored from a copy.
    AmnesiaDetected {
        /// Index of the last entry on disk.
        last_index: u64,
        /// Index of the last entry that the member has acknowledged.
        acknowledged_index: u64,
    },
}
