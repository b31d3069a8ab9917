//! Settings of a member, and the initial state of a cluster that it creates.

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
    /// Availability zone of the member.
    pub zone: String,
    /// Addresses of other members by name; they take precedence over the addresses that the members announce.
    pub peers: BTreeMap<String, String>,
    /// Key of the cluster.
    pub key: Vec<u8>,
    /// Directory of the member's log and heartbeat file.
    pub directory: PathBuf,
    /// Rules of the cluster, used if this member creates it.
    pub rules: Rules,
    /// Number of entries after which the log is compacted.
    pub compaction_threshold: u64,
}

/// Initial state of a cluster.
pub struct InitialState {
    /// Version of the configuration in effect.
    pub version: Version,
    /// Revision: the number of payloads that the application has stored.
    pub revision: u64,
    /// Exported state of the application.
    pub state: String,
}

/// Failure of the application to provide its initial state.
pub type InitialStateError = Box<dyn std::error::Error + Send + Sync>;

/// Function that provides the initial state; called at most once, and only on the member that creates the cluster.
pub type ProvideInitialState = Box<dyn FnOnce() -> Result<InitialState, InitialStateError> + Send>;
