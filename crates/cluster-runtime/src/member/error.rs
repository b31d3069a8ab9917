//! Errors that stop a member.

use std::io;

use cluster::error::PersistedStateError;
use config_store::StoreError;

use super::settings::InitialStateError;
use crate::storage::StorageError;

/// Reason why a member can't be opened, or has stopped.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The member can't listen on its address.
    #[error("{address}: {source}")]
    Listen {
        /// Address in the settings.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The directory belongs to another member.
    #[error("the directory belongs to the member \"{owner}\", and this one is \"{name}\"")]
    ForeignDirectory {
        /// Name of the member that owns the directory.
        owner: String,
        /// Name of this member.
        name: String,
    },
    /// The identity or the log can't be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The log can't be written while the member runs.
    #[error("the log: {0}")]
    Log(#[source] StoreError),
    /// The node can't start from the stored state.
    #[error(transparent)]
    PersistedState(#[from] PersistedStateError),
    /// The application could not provide the initial state of a new cluster.
    #[error("{0}")]
    InitialState(#[source] InitialStateError),
}
