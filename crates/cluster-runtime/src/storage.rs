//! Stored state of a member: its identity and its log.
//!
//! [`StoredMember`] opens the directory of a member whose process does not run, for recovery. The functions below it are shared with
//! the running member. The format of the log belongs to `config_store::log`, that of its entries to `cluster`.

use std::path::Path;

use cluster::machine::Machine;
use cluster::node::{Refusal, Saved, found};
use cluster::salvage::Salvage;
use config_store::StoreError;
use config_store::log::{Append, Log, Logged};
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
    Entries(#[from] Refusal),
}

/// Identity of a member as its log holds it.
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

/// Directory of a member whose process does not run.
pub struct StoredMember {
    log: Log,
    saved: Saved,
    identity: Option<Identity>,
}

impl StoredMember {
    /// Opens the log in `directory`.
    ///
    /// # Errors
    /// The log is damaged, written by a newer version, or open in another process.
    pub fn open(directory: &Path) -> Result<Self, StorageError> {
        let (log, logged) = Log::open(directory)?;
        let identity = read_identity(&logged)?;
        Ok(StoredMember {
            log,
            saved: saved_state(&logged),
            identity,
        })
    }

    /// Returns the member that owns the directory, or `None` if none has joined a cluster with it.
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
    /// The log can't be decoded, or holds no state of the cluster.
    pub fn recover(&self) -> Result<Salvage, StorageError> {
        Ok(cluster::salvage::salvage(&self.saved)?)
    }

    /// Replaces the log by that of a new cluster whose only member is `name`.
    ///
    /// # Errors
    /// The log can't be written; it then holds what it held before, or nothing.
    pub fn found_cluster(
        &mut self,
        machine: &Machine,
        name: &str,
        state: String,
    ) -> Result<(), StorageError> {
        let id = machine.members.get(name).map_or(0, |member| member.id);
        let saved = found(machine, state, id);
        let identity = Identity {
            cluster: machine.cluster.clone(),
            id,
            name: name.to_owned(),
        };
        self.log.clear()?;
        write_identity(&mut self.log, &identity, &saved)
    }
}

/// Draws the id of a new cluster.
pub fn new_cluster_id() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
}

/// Parses the identity in a log, if there is one.
pub(crate) fn read_identity(logged: &Logged) -> Result<Option<Identity>, StorageError> {
    let Some(bytes) = &logged.identity else {
        return Ok(None);
    };
    Ok(Some(serde_json::from_slice(bytes)?))
}

/// Returns the part of a log that the cluster's node starts from.
pub(crate) fn saved_state(logged: &Logged) -> Saved {
    Saved {
        snapshot: logged.snapshot.clone(),
        entries: logged.entries.clone(),
        hard: logged.hard.clone(),
        acknowledged: logged.acknowledged.clone(),
    }
}

/// Writes the identity and the first state of a new member in one step.
pub(crate) fn write_identity(
    log: &mut Log,
    identity: &Identity,
    saved: &Saved,
) -> Result<(), StorageError> {
    let identity = serde_json::to_vec(identity)?;
    let snapshot = saved.snapshot.as_deref();
    log.append(Append {
        snapshot: snapshot.map(|bytes| (FIRST_SNAPSHOT_INDEX, bytes)),
        hard: saved.hard.as_deref(),
        identity: Some(&identity),
        ..Append::default()
    })?;
    Ok(())
}
