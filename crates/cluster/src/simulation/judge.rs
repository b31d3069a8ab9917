//! Judgement of a simulated cluster: no member may decide under a former version; and the times that changes take.

use std::collections::BTreeMap;

use crate::member_lease::{Lease, LeaseExpiry};
use crate::rules::Micros;
use crate::state_machine::{Outcome, Version};

/// Violations that are kept.
const MAX_VIOLATIONS: usize = 16;

/// A moment at which a member could decide under a former version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// True time.
    pub at: Micros,
    /// Name of the member.
    pub member: String,
    /// Version under which it could decide.
    pub version: Version,
    /// Newest version under which any member could decide before.
    pub newest_version: Version,
}

/// End of a change.
#[derive(Clone, Debug)]
pub struct Completion {
    /// True time at which the leader knew the outcome.
    pub at: Micros,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Progress of a change, in true time.
#[derive(Clone, Debug)]
pub struct ChangeProgress {
    /// Moment of the proposal.
    pub proposed_at: Micros,
    /// End of the change; none while it is under way.
    pub completion: Option<Completion>,
    /// Moment from which on no member can decide under an earlier version.
    pub effective_everywhere_at: Option<Micros>,
}

/// Judge of a simulated cluster.
#[derive(Default)]
pub(super) struct Judge {
    newest_version: Version,
    pub violations: Vec<Violation>,
    pub changes: BTreeMap<String, ChangeProgress>,
}

impl Judge {
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

    /// Records a proposal; a repeated one counts from the first.
    pub fn record_proposal(&mut self, at: Micros, change: &str) {
        self.changes
            .entry(change.to_owned())
            .or_insert(ChangeProgress {
                proposed_at: at,
                completion: None,
                effective_everywhere_at: None,
            });
    }

    /// Records the outcome of a change, the first time it becomes known.
    pub fn record_outcome(&mut self, at: Micros, change: &str, outcome: Outcome) {
        if let Some(progress) = self.changes.get_mut(change) {
            progress
                .completion
                .get_or_insert(Completion { at, outcome });
        }
    }

    /// Records which changes are in effect everywhere, by the leases of all running members.
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
