//! Settings of a member and the state with which it founds a cluster.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster::rules::Rules;
use cluster::state_machine::Version;

/// Settings of one member, from the operator's configuration.
#[derive(Clone)]
pub struct Settings {
    /// Name of the member.
    pub name: String,
    /// Name of the cluster.
    pub cluster: String,
    /// Address on which the member listens for other members.
    pub address: String,
    /// Zone of the member.
    pub zone: String,
    /// Addresses of other members by name; an entry here takes precedence over the address that the member announces.
    pub peers: BTreeMap<String, String>,
    /// Key of the cluster.
    pub key: Vec<u8>,
    /// Directory of the member's log.
    pub directory: PathBuf,
    /// Rules of the cluster, used if this member founds it.
    pub rules: Rules,
    /// Number of entries after which the log is compacted.
    pub compaction_threshold: u64,
}

/// Application state with which a cluster is founded.
pub struct InitialState {
    /// Version of the configuration in effect.
    pub version: Version,
    /// Number of entries that the application has stored.
    pub revision: u64,
    /// Exported state of the application.
    pub state: String,
}

/// Failure of the application to provide its initial state.
pub type InitialStateError = Box<dyn std::error::Error + Send + Sync>;

/// Provides the initial state; called at most once, and only by the member that founds the cluster.
pub type ProvideInitialState = Box<dyn FnOnce() -> Result<InitialState, InitialStateError> + Send>;
