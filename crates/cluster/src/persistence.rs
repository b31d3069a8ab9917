//! State of a member that survives a restart. The module does no I/O: the caller writes [`Persist`] and reads [`PersistedState`].

use raft::eraftpb::{ConfState, HardState};

use crate::codec::{LogPosition, SnapshotContent, encode};
use crate::state_machine::StateMachine;

/// An encoded snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Encoded content.
    pub bytes: Vec<u8>,
}

/// State to write to disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// New snapshot, which replaces the entries that it covers.
    pub snapshot: Option<EncodedSnapshot>,
    /// Set if the snapshot was received from another member and also replaces the entries after it.
    pub replaces_log: bool,
    /// Index and encoding of new entries, which replace all entries from the first new index on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Encoded indexes that other members have acknowledged to this one while it was the leader.
    pub acknowledged: Option<Vec<u8>>,
}

/// State read from disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Latest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries after the snapshot.
    pub entries: Vec<Vec<u8>>,
    /// Encoded term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Encoded indexes that other members have acknowledged, as in [`Persist`].
    pub acknowledged: Option<Vec<u8>>,
}

impl PersistedState {
    /// Creates the state of the first member of a cluster.
    pub fn bootstrap(state_machine: &StateMachine, application_state: String, id: u64) -> Self {
        let first = LogPosition { index: 1, term: 1 };
        let mut configuration = ConfState::default();
        configuration.voters.push(id);
        let hard_state = HardState {
            term: first.term,
            commit: first.index,
            ..HardState::default()
        };
        let content = SnapshotContent {
            state_machine: state_machine.clone(),
            application_state,
        };
        let snapshot = content.into_snapshot(first, configuration);
        PersistedState {
            snapshot: Some(encode(&snapshot)),
            hard_state: Some(encode(&hard_state)),
            ..PersistedState::default()
        }
    }
}
