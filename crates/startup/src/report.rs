//! Progress of a startup for operators. The serialized names are part of the administration API.

use serde::{Deserialize, Serialize};

use crate::conditions::{Conditions, Membership};
use crate::phase::{CompletedPhase, Phase};
use crate::settings::UnknownListPolicy;

/// Maximum number of tenants named in a report.
const MAX_NAMED_TENANTS: usize = 5;
const MICROS_PER_MS: u64 = 1000;

/// Progress of a startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartupReport {
    /// Current phase.
    pub phase: Phase,
    /// Time since the start of the current phase in milliseconds.
    #[serde(rename = "for-ms")]
    pub phase_elapsed_ms: u64,
    /// Condition that the current phase waits for.
    pub waits_for: String,
    /// Timeout of the current phase in milliseconds; `None` if it has no timeout.
    #[serde(
        rename = "at-most-ms",
        skip_serializing_if = "Option::is_none",
        default
    )]
    pub timeout_ms: Option<u64>,
    /// Description of the action after the timeout.
    #[serde(rename = "then", skip_serializing_if = "Option::is_none", default)]
    pub after_timeout: Option<String>,
    /// Durations of the completed phases.
    #[serde(rename = "took")]
    pub completed: Vec<PhaseDuration>,
    /// Names of tenants whose endpoint list was unknown when the instance started to accept requests.
    #[serde(rename = "unsure")]
    pub unknown_lists: Vec<String>,
}

/// Duration of a completed phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PhaseDuration {
    /// Completed phase.
    pub phase: Phase,
    /// Duration in milliseconds.
    #[serde(rename = "ms")]
    pub duration_ms: u64,
}

impl From<&CompletedPhase> for PhaseDuration {
    fn from(completed: &CompletedPhase) -> Self {
        PhaseDuration {
            phase: completed.phase,
            duration_ms: micros_to_ms(completed.duration),
        }
    }
}

/// Converts microseconds to whole milliseconds, rounding down.
pub(crate) fn micros_to_ms(micros: u64) -> u64 {
    micros / MICROS_PER_MS
}

/// Describes the condition that a phase waits for. The texts are part of the administration API.
pub(crate) fn describe_wait(phase: Phase, conditions: &Conditions) -> String {
    match phase {
        Phase::Store => "its store".into(),
        Phase::Members if conditions.membership == Membership::NotJoined => {
            "the cluster, to join it".into()
        }
        Phase::Members => "an instance that leads".into(),
        Phase::Policy => "the word that its policy is the one in effect".into(),
        Phase::List => describe_lists(&conditions.unknown_lists),
        Phase::Serving => "nothing".into(),
    }
}

/// Describes the action after the timeout of a phase, if the phase has one. The texts are part of the administration API.
pub(crate) fn describe_timeout(phase: Phase, policy: UnknownListPolicy) -> Option<String> {
    if phase != Phase::List {
        return None;
    }
    let action = match policy {
        UnknownListPolicy::Serve => "it takes requests; those of these tenants are refused",
        UnknownListPolicy::Reject => "it goes on waiting, and refuses",
    };
    Some(action.to_owned())
}

fn describe_lists(tenants: &[String]) -> String {
    let named_count = tenants.len().min(MAX_NAMED_TENANTS);
    let (named, unnamed) = tenants.split_at(named_count);
    let named = named.join(", ");
    if unnamed.is_empty() {
        format!("the lists of {named}")
    } else {
        format!("the lists of {named} and {} more", unnamed.len())
    }
}
