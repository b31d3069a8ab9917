//! The leader's table of member leases. It determines which leases may be granted, and when a change may be fenced, activated or
//! aborted.
//!
//! A table exists for one term and is not transferred: a new leader assumes the longest lease that each member may hold. The module reads
//! no clock and sends nothing; all times are on the leader's clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::{AbortReason, Command};
use crate::member_lease::{Grant, LeaseDuration, LeaseExpiry, Report, Validation};
use crate::rules::{Micros, PartitionPolicy, Rules};
use crate::state_machine::{Change, Phase, StateMachine, Version};

/// Sequence number of each member's latest unanswered report, by raft node id.
pub type ReportSequences = BTreeMap<u64, u64>;

/// Record of one member.
///
/// Invariant: the member never decides after `latest_expiry`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MemberRecord {
    /// Latest possible expiry of the member's lease; `None` if it certainly has no lease.
    latest_expiry: Option<LeaseExpiry>,
    /// Sequence number of the latest report.
    last_sequence: u64,
    last_report_at: Option<Micros>,
    version: Option<Version>,
    validation: Option<Validation>,
    fenced_change: Option<String>,
    /// Set once the member is being removed; it gets no further grants.
    is_leaving: bool,
}

impl MemberRecord {
    fn new(latest_expiry: Option<LeaseExpiry>) -> Self {
        MemberRecord {
            latest_expiry,
            last_sequence: 0,
            last_report_at: None,
            version: None,
            validation: None,
            fenced_change: None,
            is_leaving: false,
        }
    }

    /// Returns true if the member certainly does not decide any more.
    fn is_expired(&self, now: Micros) -> bool {
        self.latest_expiry
            .is_none_or(|expiry| expiry <= LeaseExpiry::At(now))
    }

    /// Returns true if the member has accepted a change.
    fn has_accepted(&self, change: &Change) -> bool {
        self.validation.as_ref().is_some_and(|validation| {
            validation.change == change.proposal.id && validation.fault.is_none()
        })
    }

    /// Returns the fault for which the member can't accept a change.
    fn fault(&self, change: &Change) -> Option<&str> {
        let validation = self.validation.as_ref()?;
        if validation.change != change.proposal.id {
            return None;
        }
        validation.fault.as_deref()
    }
}

/// The change that this leader drives to completion.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TrackedChange {
    id: String,
    first_seen_at: Micros,
}

/// The leader's table of member leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    rules: Rules,
    leader_since: Micros,
    records: BTreeMap<u64, MemberRecord>,
    /// Reports to be answered after the next confirmation of leadership.
    pending_reports: ReportSequences,
    tracked_change: Option<TrackedChange>,
    /// Command that was proposed and has not been applied yet.
    proposed: Option<Command>,
}

/// A member that a change waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BlockingMember {
    /// Name of the member.
    pub name: String,
    /// Time of its latest report.
    pub last_report_at: Option<Micros>,
    /// Latest possible expiry of its lease.
    pub latest_expiry: Option<LeaseExpiry>,
}

/// State of a member as known to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberObservation {
    /// Time of its latest report.
    pub last_report_at: Option<Micros>,
    /// Latest possible expiry of its lease.
    pub latest_expiry: Option<LeaseExpiry>,
    /// Version in its latest report.
    pub version: Option<Version>,
}

/// A grant with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedGrant {
    /// Raft node id of the receiver.
    pub to: u64,
    /// Grant to send.
    pub grant: Grant,
}

impl LeaseTable {
    /// Creates the table of a new leader that has applied all entries of earlier terms.
    pub fn new(now: Micros, state_machine: &StateMachine, rules: &Rules) -> Self {
        let mut table = LeaseTable {
            rules: rules.clone(),
            leader_since: now,
            records: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            tracked_change: None,
            proposed: None,
        };
        table.update_members(state_machine);
        table
    }

    /// Returns the latest expiry of a lease that a former leader may have granted to a member.
    ///
    /// A former leader can't have granted a lease for a report made after this leader's election: before each grant it confirmed its
    /// leadership with a quorum that had not voted in the election yet. So its leases expire within one lease duration of the election.
    /// No unlimited lease is left once a change is fencing, because each member has accepted the change before.
    fn latest_unknown_expiry(&self, state_machine: &StateMachine) -> LeaseExpiry {
        let is_fencing = state_machine.change_phase() == Some(Phase::Fencing);
        match self.rules.partition_policy {
            PartitionPolicy::Serve if !is_fencing => LeaseExpiry::Never,
            _ => {
                let longest = self.rules.with_drift_margin(self.rules.lease);
                LeaseExpiry::At(self.leader_since + longest)
            }
        }
    }

    /// Adds and removes records to match the current members.
    pub fn update_members(&mut self, state_machine: &StateMachine) {
        let unknown_expiry = self.latest_unknown_expiry(state_machine);
        let member_ids: BTreeSet<u64> = state_machine
            .members
            .values()
            .map(|member| member.id)
            .collect();
        self.records.retain(|id, _| member_ids.contains(id));
        for id in member_ids {
            self.records
                .entry(id)
                .or_insert_with(|| MemberRecord::new(Some(unknown_expiry)));
        }
    }

    /// Records that a member was added under a new raft node id, and so has no lease yet.
    pub fn member_added(&mut self, id: u64) {
        let record = self.records.get_mut(&id);
        if let Some(record) = record.filter(|record| record.last_report_at.is_none()) {
            record.latest_expiry = None;
        }
    }

    /// Records a member's report. Ignores a report that is older than the latest one.
    pub fn record_report(
        &mut self,
        now: Micros,
        id: u64,
        report: &Report,
        state_machine: &StateMachine,
    ) {
        let change_lease = self.rules.with_drift_margin(self.rules.change_lease);
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if report.sequence <= record.last_sequence {
            return;
        }
        record.last_sequence = report.sequence;
        record.last_report_at = Some(now);
        record.version = report.version;
        record.validation.clone_from(&report.validation);
        record.fenced_change.clone_from(&report.fenced_change);
        if report.has_no_lease {
            record.latest_expiry = None;
        } else if let Some(change) = &state_machine.change
            && record.has_accepted(change)
        {
            // The member limited itself to a change lease before it sent this report, and accepts no longer one.
            let bound = LeaseExpiry::At(now + change_lease);
            record.latest_expiry = record.latest_expiry.map(|expiry| expiry.min(bound));
        }
        self.pending_reports.insert(id, report.sequence);
    }

    /// Takes the reports that may be answered after a confirmation of leadership that starts now.
    pub fn take_pending_reports(&mut self) -> ReportSequences {
        std::mem::take(&mut self.pending_reports)
    }

    /// Returns true if any report is unanswered.
    pub fn has_pending_reports(&self) -> bool {
        !self.pending_reports.is_empty()
    }

    /// Grants leases for reports that were received before a successful confirmation of leadership started.
    pub fn grant_leases(
        &mut self,
        now: Micros,
        reports: &ReportSequences,
        state_machine: &StateMachine,
    ) -> Vec<AddressedGrant> {
        let is_fencing = state_machine.change_phase() == Some(Phase::Fencing);
        if is_fencing || matches!(self.proposed, Some(Command::Fence { .. })) {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (id, sequence) in reports {
            let duration = self.grant_lease(now, *id, state_machine);
            grants.extend(duration.map(|duration| AddressedGrant {
                to: *id,
                grant: Grant {
                    report_sequence: *sequence,
                    version: state_machine.version,
                    duration,
                },
            }));
        }
        grants
    }

    /// Records a grant to a member and returns its duration, or `None` if the member gets no lease.
    fn grant_lease(
        &mut self,
        now: Micros,
        id: u64,
        state_machine: &StateMachine,
    ) -> Option<LeaseDuration> {
        let record = self.records.get_mut(&id)?;
        if record.is_leaving || record.version != Some(state_machine.version) {
            return None;
        }
        let change = state_machine.change.as_ref();
        let duration = match (change, self.rules.partition_policy) {
            (Some(change), _) if record.has_accepted(change) => LeaseDuration::DuringChange,
            (None, PartitionPolicy::Serve) => LeaseDuration::Unlimited,
            _ => LeaseDuration::Regular,
        };
        let rules = &self.rules;
        let expiry = match duration {
            LeaseDuration::DuringChange => {
                LeaseExpiry::At(now + rules.with_drift_margin(rules.change_lease))
            }
            LeaseDuration::Regular => LeaseExpiry::At(now + rules.with_drift_margin(rules.lease)),
            LeaseDuration::Unlimited => LeaseExpiry::Never,
        };
        let latest = record
            .latest_expiry
            .map_or(expiry, |current| current.max(expiry));
        record.latest_expiry = Some(latest);
        Some(duration)
    }

    /// Returns the members that the change in progress waits for.
    pub fn blocking_members(
        &self,
        now: Micros,
        state_machine: &StateMachine,
    ) -> Vec<BlockingMember> {
        let Some(change) = &state_machine.change else {
            return Vec::new();
        };
        let blocking = |name: &String, id: u64| {
            let record = self.records.get(&id)?;
            let is_done = match change.phase {
                Phase::Validating => record.has_accepted(change),
                Phase::Fencing => record.fenced_change.as_ref() == Some(&change.proposal.id),
            };
            let is_blocking = !is_done && !record.is_expired(now);
            is_blocking.then(|| BlockingMember {
                name: name.clone(),
                last_report_at: record.last_report_at,
                latest_expiry: record.latest_expiry,
            })
        };
        state_machine
            .members
            .iter()
            .filter_map(|(name, member)| blocking(name, member.id))
            .collect()
    }

    /// Returns the next command to propose for the change in progress. Each command is returned once, unless
    /// [`LeaseTable::proposal_rejected`] reports that raft did not accept it.
    pub fn next_command(&mut self, now: Micros, state_machine: &StateMachine) -> Option<Command> {
        let Some(change) = &state_machine.change else {
            self.tracked_change = None;
            self.proposed = None;
            return None;
        };
        let id = &change.proposal.id;
        let is_tracked = self
            .tracked_change
            .as_ref()
            .is_some_and(|tracked| tracked.id == *id);
        if !is_tracked {
            self.tracked_change = Some(TrackedChange {
                id: id.clone(),
                first_seen_at: now,
            });
            self.proposed = None;
        }
        match (&self.proposed, change.phase) {
            (Some(Command::Fence { .. } | Command::Abort { .. }), Phase::Validating)
            | (Some(Command::Activate { .. }), Phase::Fencing) => return None,
            _ => {}
        }
        let next = match change.phase {
            Phase::Validating => self.end_of_validation(now, state_machine, change),
            Phase::Fencing => self.end_of_fencing(now, state_machine, change),
        }?;
        self.proposed = Some(next.clone());
        Some(next)
    }

    fn end_of_fencing(
        &self,
        now: Micros,
        state_machine: &StateMachine,
        change: &Change,
    ) -> Option<Command> {
        let is_fenced = self.blocking_members(now, state_machine).is_empty();
        is_fenced.then(|| Command::Activate {
            change: change.proposal.id.clone(),
        })
    }

    fn end_of_validation(
        &self,
        now: Micros,
        state_machine: &StateMachine,
        change: &Change,
    ) -> Option<Command> {
        let id = change.proposal.id.clone();
        let faults = self.faults(now, state_machine, change);
        if !faults.is_empty() {
            return Some(Command::Abort {
                change: id,
                reasons: faults,
            });
        }
        let blocking = self.blocking_members(now, state_machine);
        let is_accepted = self
            .records
            .values()
            .any(|record| record.has_accepted(change));
        if blocking.is_empty() && is_accepted {
            return Some(Command::Fence { change: id });
        }
        let first_seen_at = self
            .tracked_change
            .as_ref()
            .map_or(now, |tracked| tracked.first_seen_at);
        if now < first_seen_at + self.rules.change_deadline {
            return None;
        }
        Some(Command::Abort {
            change: id,
            reasons: deadline_reasons(&blocking),
        })
    }

    /// Returns the faults that members with a lease have found in a change. A member without a lease can't block a change.
    fn faults(
        &self,
        now: Micros,
        state_machine: &StateMachine,
        change: &Change,
    ) -> Vec<AbortReason> {
        let fault = |name: &String, id: u64| {
            let record = self.records.get(&id)?;
            if record.is_expired(now) {
                return None;
            }
            let fault = record.fault(change)?;
            Some(AbortReason::new(name, fault))
        };
        state_machine
            .members
            .iter()
            .filter_map(|(name, member)| fault(name, member.id))
            .collect()
    }

    /// Records that raft rejected the command from [`LeaseTable::next_command`], which then returns it again.
    pub fn proposal_rejected(&mut self) {
        self.proposed = None;
    }

    /// Stops granting leases to a member that is being removed. Returns true if the member may be removed because it certainly does not
    /// decide any more. Under [`PartitionPolicy::Serve`] an unlimited lease does not prevent the removal: by requesting it, the operator
    /// asserts that the member has stopped.
    pub fn begin_removal(&mut self, now: Micros, id: u64) -> bool {
        let Some(record) = self.records.get_mut(&id) else {
            return true;
        };
        record.is_leaving = true;
        record.is_expired(now) || record.latest_expiry == Some(LeaseExpiry::Never)
    }

    /// Returns true if a member has not reported for so long that any regular lease of it has expired.
    pub fn is_unresponsive(&self, now: Micros, id: u64) -> bool {
        let lease = self.rules.with_drift_margin(self.rules.lease);
        self.records
            .get(&id)
            .is_none_or(|record| record.last_report_at.unwrap_or(self.leader_since) + lease <= now)
    }

    /// Returns the state of a member as known to the leader.
    pub fn observation(&self, id: u64) -> Option<MemberObservation> {
        self.records.get(&id).map(|record| MemberObservation {
            last_report_at: record.last_report_at,
            latest_expiry: record.latest_expiry,
            version: record.version,
        })
    }
}

/// Returns the reasons for aborting a change at its deadline. Their texts are stored in the log.
fn deadline_reasons(blocking: &[BlockingMember]) -> Vec<AbortReason> {
    if blocking.is_empty() {
        let detail = "no instance has said in time that it can take it";
        return vec![AbortReason::new("", detail)];
    }
    let detail = "it has not said in time whether it can take it";
    blocking
        .iter()
        .map(|member| AbortReason::new(&member.name, detail))
        .collect()
}
