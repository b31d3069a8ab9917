//! Invariant check of a simulated cluster: no member may decide under an outdated version. Also records the progress of changes.

use std::collections::BTreeMap;

use crate::member_lease::{Lease, LeaseExpiry};
use crate::rules::Micros;
use crate::state_machine::{Outcome, Version};

/// Maximum number of violations that are recorded.
const MAX_VIOLATIONS: usize = 16;

/// An observation of a member that could decide under an outdated version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time of the observation.
    pub at: Micros,
    /// Name of the member.
    pub member: String,
    /// Version under which the member could decide.
    pub version: Version,
    /// Latest version under which any member could decide before.
    pub newest_version: Version,
}

/// Completion of a change.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Simulated time at which a member first knew the outcome.
    pub at: Micros,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Progress of a change, in simulated time.
#[derive(Clone, Debug)]
pub struct ChangeProgress {
    /// Time of the proposal.
    pub proposed_at: Micros,
    /// Completion of the change; `None` while it is in progress.
    pub completion: Option<Completion>,
    /// Time from which no member can decide under an earlier version.
    pub effective_everywhere_at: Option<Micros>,
}

/// Invariant checker of a simulated cluster.
#[derive(Default)]
pub(super) struct InvariantChecker {
    newest_version: Version,
    pub violations: Vec<Violation>,
    pub changes: BTreeMap<String, ChangeProgress>,
}

impl InvariantChecker {
    /// Records that a member could decide under a version.
    pub fn record_permission(&mut self, at: Micros, member: &str, version: Version) {
        if version < self.newest_version && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                at,
                member: member.to_owned(),
                version,
                newest_version: self.newest_version,
            });
        }
        self.newest_version = self.newest_version.max(version);
    }

    /// Records a proposal; a repeated proposal keeps the time of the first.
    pub fn record_proposal(&mut self, at: Micros, change: &str) {
        self.changes
            .entry(change.to_owned())
            .or_insert(ChangeProgress {
                proposed_at: at,
                completion: None,
                effective_everywhere_at: None,
            });
    }

    /// Records the outcome of a change when it first becomes known.
    pub fn record_outcome(&mut self, at: Micros, change: &str, outcome: Outcome) {
        if let Some(progress) = self.changes.get_mut(change) {
            progress
                .completion
                .get_or_insert(Completion { at, outcome });
        }
    }

    /// Records which changes are in effect on all members, according to the leases of the running ones.
    pub fn record_leases(&mut self, now: Micros, leases: &[Lease]) {
        for progress in self.changes.values_mut() {
            let Some(completion) = &progress.completion else {
                continue;
            };
            let Outcome::Activated(version) = completion.outcome else {
                continue;
            };
            let is_everywhere = leases
                .iter()
                .all(|lease| lease.version >= version || lease.expiry < LeaseExpiry::At(now));
            if is_everywhere {
                progress.effective_everywhere_at.get_or_insert(now);
            }
        }
    }
}
