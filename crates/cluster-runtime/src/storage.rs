//! Stored state of a member: its identity and its log.
//!
//! [`StoredMember`] opens the directory of a member whose process is not running, for recovery. The functions after it are also used by
//! the running member. `config_store::raft_log` defines the format of the log, and `cluster` that of its entries.

use std::path::Path;

use cluster::error::PersistedStateError;
use cluster::log_recovery::{RecoveredLog, recover_log};
use cluster::persistence::PersistedState;
use cluster::state_machine::StateMachine;
use config_store::StoreError;
use config_store::raft_log::{LogBatch, LogContents, RaftLog};
use serde::{Deserialize, Serialize};

/// Index of the first snapshot of a log.
const FIRST_SNAPSHOT_INDEX: u64 = 1;

/// Reason why the stored state of a member can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The log can't be opened, read or written.
    #[error(transparent)]
    Log(#[from] StoreError),
    /// The stored identity is not valid.
    #[error(transparent)]
    Identity(#[from] serde_json::Error),
    /// The entries of the log can't be decoded.
    #[error(transparent)]
    Entries(#[from] PersistedStateError),
}

/// Identity of a member as stored in its log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub cluster: String,
    pub id: u64,
    pub name: String,
}

/// Identity of the member that owns a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner<'a> {
    /// Id of the member's cluster.
    pub cluster: &'a str,
    /// Name of the member.
    pub name: &'a str,
}

/// Directory of a member whose process is not running.
pub struct StoredMember {
    log: RaftLog,
    persisted: PersistedState,
    identity: Option<Identity>,
}

impl StoredMember {
    /// Opens the log in `directory`.
    ///
    /// # Errors
    /// The log is damaged, written by a newer version, or open in another process.
    pub fn open(directory: &Path) -> Result<Self, StorageError> {
        let (log, contents) = RaftLog::open(directory)?;
        let identity = read_identity(&contents)?;
        Ok(StoredMember {
            log,
            persisted: persisted_state(&contents),
            identity,
        })
    }

    /// Returns the member that owns the directory, or `None` if no member has joined a cluster with it.
    pub fn owner(&self) -> Option<Owner<'_>> {
        let identity = self.identity.as_ref()?;
        Some(Owner {
            cluster: &identity.cluster,
            name: &identity.name,
        })
    }

    /// Reads the state that can be recovered from the log alone.
    ///
    /// # Errors
    /// The log can't be decoded, or contains no state of the cluster.
    pub fn recover(&self) -> Result<RecoveredLog, StorageError> {
        Ok(recover_log(&self.persisted)?)
    }

    /// Replaces the log by the log of a new cluster whose only member is `name`.
    ///
    /// # Errors
    /// The log can't be written; it is then either unchanged or empty.
    pub fn bootstrap_cluster(
        &mut self,
        state_machine: &StateMachine,
        name: &str,
        application_state: String,
    ) -> Result<(), StorageError> {
        let id = state_machine
            .members
            .get(name)
            .map_or(0, |member| member.id);
        let persisted = PersistedState::bootstrap(state_machine, application_state, id);
        let identity = Identity {
            cluster: state_machine.cluster_id.clone(),
            id,
            name: name.to_owned(),
        };
        self.log.clear()?;
        write_identity(&mut self.log, &identity, &persisted)
    }
}

/// Returns a random id for a new cluster.
pub fn new_cluster_id() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
}

/// Decodes the identity in a log, if there is one.
pub(crate) fn read_identity(contents: &LogContents) -> Result<Option<Identity>, StorageError> {
    let Some(bytes) = &contents.identity else {
        return Ok(None);
    };
    Ok(Some(serde_json::from_slice(bytes)?))
}

/// Returns the part of a log from which a node starts.
pub(crate) fn persisted_state(contents: &LogContents) -> PersistedState {
    PersistedState {
        snapshot: contents.snapshot.clone(),
        entries: contents.entries.clone(),
        hard_state: contents.hard_state.clone(),
        acknowledged: contents.acknowledged.clone(),
    }
}

/// Writes the identity and the initial state of a new member atomically.
pub(crate) fn write_identity(
    log: &mut RaftLog,
    identity: &Identity,
    persisted: &PersistedState,
) -> Result<(), StorageError> {
    let identity = serde_json::to_vec(identity)?;
    let snapshot = persisted.snapshot.as_deref();
    log.write(LogBatch {
        snapshot: snapshot.map(|bytes| (FIRST_SNAPSHOT_INDEX, bytes)),
        hard_state: persisted.hard_state.as_deref(),
        identity: Some(&identity),
        ..LogBatch::default()
    })?;
    Ok(())
}
