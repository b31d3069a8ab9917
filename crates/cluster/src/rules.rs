//! Timing and voting rules that all members share, fixed when the cluster is created.

use serde::{Deserialize, Serialize};

/// Microseconds: a duration, or a time on one member's clock. Clocks of different members are not comparable.
pub type Micros = u64;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// Behaviour of a member that has lost contact with the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PartitionPolicy {
    /// The member's lease expires and it rejects requests; changes proceed without it.
    #[default]
    #[serde(rename = "refuse")]
    Reject,
    /// The member continues to serve under an unlimited lease; a change waits for the member and is aborted at its deadline. A member
    /// that has accepted a change has only a change lease until it is granted an unlimited one again.
    #[serde(rename = "serve")]
    Serve,
}

/// Rules of a cluster. They never change after its creation. All durations are stored in microseconds, under keys without a unit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// Duration of a lease in microseconds, counted from the report that the grant answers.
    pub lease: Micros,
    /// Duration in microseconds of the lease of a member that has accepted the change in progress. It bounds the time for which fenced
    /// members wait for a failed one, and should be longer than an election.
    #[serde(rename = "short")]
    pub change_lease: Micros,
    /// Largest deviation of any clock's rate from real time, in parts per million.
    #[serde(rename = "drift")]
    pub clock_drift_ppm: u32,
    /// Duration in microseconds after which a change that is still being validated is aborted. Each leader counts from the time at which
    /// it first sees the change.
    #[serde(rename = "deadline")]
    pub change_deadline: Micros,
    /// Behaviour of a member that has lost contact with the leader.
    #[serde(rename = "when_cut_off")]
    pub partition_policy: PartitionPolicy,
    /// Target number of voters.
    pub voters: usize,
}

impl Rules {
    /// Returns the time to wait on this member's clock so that `duration` has certainly elapsed on any other member's clock. This clock
    /// may run fast by the maximum drift and the other one slow by it. One extra microsecond covers rounding.
    pub fn with_drift_margin(&self, duration: Micros) -> Micros {
        let drift_ppm = u64::from(self.clock_drift_ppm);
        let fastest_rate = PARTS_PER_MILLION + drift_ppm;
        let slowest_rate = PARTS_PER_MILLION - drift_ppm.min(PARTS_PER_MILLION - 1);
        let scaled = u128::from(duration) * u128::from(fastest_rate) / u128::from(slowest_rate);
        scaled as Micros + 1
    }
}
