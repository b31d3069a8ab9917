//! Encoding of raft structures, commands and snapshot contents.

use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, Snapshot};
use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::error::PersistedStateError;
use crate::state_machine::StateMachine;

/// Content of a snapshot.
#[derive(Serialize, Deserialize)]
pub(crate) struct SnapshotContent {
    #[serde(rename = "machine")]
    pub state_machine: StateMachine,
    #[serde(rename = "state")]
    pub application_state: String,
}

impl SnapshotContent {
    /// Decodes the content of a snapshot.
    ///
    /// # Errors
    /// The content is not valid JSON of this type.
    pub fn read(snapshot: &Snapshot) -> Result<Self, PersistedStateError> {
        Ok(serde_json::from_slice(snapshot.get_data())?)
    }

    /// Creates a snapshot that covers the log up to `position`.
    pub fn into_snapshot(self, position: LogPosition, configuration: ConfState) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = position.index;
        metadata.term = position.term;
        metadata.set_conf_state(configuration);
        snapshot.set_data(serde_json::to_vec(&self).unwrap_or_default().into());
        snapshot
    }
}

/// Index and term of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPosition {
    pub index: u64,
    pub term: u64,
}

impl LogPosition {
    /// Returns the position of the last entry that a snapshot covers.
    pub fn of_snapshot(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        LogPosition {
            index: metadata.index,
            term: metadata.term,
        }
    }
}

/// Encodes a raft structure; encoding to memory can't fail.
pub(crate) fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a raft structure.
///
/// # Errors
/// The bytes are not a valid encoding of the structure.
pub(crate) fn decode<T: protobuf::Message>(bytes: &[u8]) -> Result<T, PersistedStateError> {
    Ok(T::parse_from_bytes(bytes)?)
}

/// Decoded parts of a raft log entry.
pub(crate) struct DecodedEntry {
    pub configuration_change: Option<ConfChangeV2>,
    pub command: Option<Command>,
}

impl DecodedEntry {
    /// Decodes an entry. Parts that can't be decoded are absent; the empty entry that a new leader appends has none.
    pub fn of(entry: &Entry) -> Self {
        if entry.get_entry_type() == EntryType::EntryNormal {
            return DecodedEntry {
                configuration_change: None,
                command: serde_json::from_slice(&entry.data).ok(),
            };
        }
        DecodedEntry {
            configuration_change: decode(&entry.data).ok(),
            command: serde_json::from_slice(&entry.context).ok(),
        }
    }
}
