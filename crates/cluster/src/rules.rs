//! Timing and voting rules that all members share, agreed on when the cluster is founded.

use serde::{Deserialize, Serialize};

/// Microseconds: a duration, or a moment of one member's clock, which has no relation to another member's clock.
pub type Micros = u64;

const MILLION: u64 = 1_000_000;

/// Behaviour of a member that no longer hears from a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PartitionPolicy {
    /// The member's lease expires and it rejects requests; changes go on without it.
    #[default]
    #[serde(rename = "refuse")]
    Reject,
    /// The member goes on serving under a lease without end; a change waits for it, and is aborted at its deadline. A member that has
    /// accepted a change holds a change lease only, until it is granted an unlimited one again.
    #[serde(rename = "serve")]
    Serve,
}

/// Rules of a cluster. They never change after it is founded. All durations are stored in microseconds, under keys without a unit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// Duration of a lease in microseconds, from the report that it answers.
    pub lease: Micros,
    /// Duration in microseconds of the lease of a member that has accepted a change under way. It bounds how long the others decide
    /// nothing while they wait for a member that has stopped, and should outlast an election.
    #[serde(rename = "short")]
    pub change_lease: Micros,
    /// Largest deviation of any clock's rate from true time, in parts per million.
    #[serde(rename = "drift")]
    pub clock_drift_ppm: u32,
    /// Duration in microseconds after which a change that is still being validated is aborted. Each leader counts from when it first
    /// sees the change.
    #[serde(rename = "deadline")]
    pub change_deadline: Micros,
    /// Behaviour of a member that no longer hears from a leader.
    #[serde(rename = "when_cut_off")]
    pub partition_policy: PartitionPolicy,
    /// Number of members that have a vote.
    pub voters: usize,
}

impl Rules {
    /// Returns the time to wait by this member's clock until `duration` has passed by any other member's clock: the own clock may
    /// run fast by the drift and the other one slow. One microsecond more covers rounding.
    pub fn with_drift_margin(&self, duration: Micros) -> Micros {
        let drift_ppm = u64::from(self.clock_drift_ppm);
        let fastest_rate = MILLION + drift_ppm;
        let slowest_rate = MILLION - drift_ppm.min(MILLION - 1);
        let scaled = u128::from(duration) * u128::from(fastest_rate) / u128::from(slowest_rate);
        scaled as Micros + 1
    }
}
