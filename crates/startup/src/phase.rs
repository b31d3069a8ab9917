//! Phases of a startup.

use serde::{Deserialize, Serialize};

use crate::settings::Micros;

/// Phase of a startup. The serialized names are part of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Opens and reads the store.
    Store,
    /// Joins the cluster and waits for a leader.
    Members,
    /// Waits for the confirmation that the instance's policy is in effect.
    Policy,
    /// Waits for the endpoint lists of tenants with endpoint discovery.
    List,
    /// Accepts requests.
    Serving,
}

impl Phase {
    /// All phases in order.
    pub const ALL: [Phase; 5] = [
        Phase::Store,
        Phase::Members,
        Phase::Policy,
        Phase::List,
        Phase::Serving,
    ];

    /// Returns the name of the phase in logs, which equals the serialized name.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Store => "store",
            Phase::Members => "members",
            Phase::Policy => "policy",
            Phase::List => "list",
            Phase::Serving => "serving",
        }
    }
}

/// Completed phase, with its total duration if it was entered several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedPhase {
    /// Completed phase.
    pub phase: Phase,
    /// Total duration.
    pub duration: Micros,
}
