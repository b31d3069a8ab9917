//! What a member's directory keeps: who the member is, and its log; also for whoever looks at it while the process does not run.

use std::path::Path;

use cluster::log_recovery::{RecoveredLog, recover_log};
use cluster::persistence::PersistedState;
use cluster::state_machine::StateMachine;
use config_store::raft_log::{LogBatch, LogContents, RaftLog};
use serde::{Deserialize, Serialize};

/// Who a member is, as its log has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub cluster: String,
    pub id: u64,
    pub name: String,
}

/// What a member's directory tells while its process does not run.
pub struct Kept {
    log: RaftLog,
    saved: PersistedState,
    identity: Option<Identity>,
}

impl Kept {
    /// Opens the log of a directory whose process does not run.
    ///
    /// # Errors
    /// It can't be had, or is damaged.
    pub fn open(directory: &Path) -> Result<Self, String> {
        let (log, logged) = RaftLog::open(directory).map_err(|e| e.to_string())?;
        let identity = logged
            .identity
            .as_deref()
            .map(serde_json::from_slice)
            .transpose();
        let identity = identity.map_err(|e: serde_json::Error| e.to_string())?;
        Ok(Kept {
            log,
            identity,
            saved: saved(&logged),
        })
    }

    /// The cluster's id and the member's name, if it is one's.
    pub fn identity(&self) -> Option<(&str, &str)> {
        self.identity
            .as_ref()
            .map(|i| (i.cluster.as_str(), i.name.as_str()))
    }

    /// What the log tells.
    ///
    /// # Errors
    /// It can't be read.
    pub fn salvage(&self) -> Result<RecoveredLog, String> {
        recover_log(&self.saved).map_err(|e| e.to_string())
    }

    /// From here on the directory is the one member's of a cluster of its own.
    ///
    /// # Errors
    /// It can't be written; the directory is as it was, or is no member's.
    pub fn begin_anew(
        &mut self,
        machine: &StateMachine,
        name: &str,
        state: String,
    ) -> Result<(), String> {
        let id = machine.members.get(name).map_or(0, |m| m.id);
        let saved = PersistedState::bootstrap(machine, state, id);
        let identity = Identity {
            cluster: machine.cluster_id.clone(),
            id,
            name: name.to_owned(),
        };
        self.log.clear().map_err(|e| e.to_string())?;
        put_identity(&mut self.log, &identity, &saved)
    }
}

/// An id of its own for a cluster.
pub fn new_cluster() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
}

pub(crate) fn saved(logged: &LogContents) -> PersistedState {
    PersistedState {
        snapshot: logged.snapshot.clone(),
        entries: logged.entries.clone(),
        hard_state: logged.hard_state.clone(),
        acknowledged: logged.acknowledged.clone(),
    }
}

pub(crate) fn put_identity(
    log: &mut RaftLog,
    identity: &Identity,
    saved: &PersistedState,
) -> Result<(), String> {
    let identity = serde_json::to_vec(identity).map_err(|e| e.to_string())?;
    let append = LogBatch {
        snapshot: saved.snapshot.as_deref().map(|s| (1, s)),
        hard_state: saved.hard_state.as_deref(),
        identity: Some(&identity),
        ..LogBatch::default()
    };
    log.write(append).map_err(|e| e.to_string())
}
