//! The lease under which one member decides: valid for one version, until it expires on the member's own clock.
//!
//! A member sends reports, and the leader answers them with leases. A report is binding: once a member has reported that it accepts a
//! change, that it is fenced, or that it has no lease, it ignores grants that answer earlier reports. So the leader can rely on the
//! latest report regardless of messages still in flight.
//!
//! The module reads no clock and sends nothing. Main types: [`MemberLease`], [`Report`], [`Grant`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::rules::Micros;
use crate::state_machine::Version;

/// Number of reports that may still be answered; a grant for an older report is ignored.
const MAX_OPEN_REPORTS: usize = 64;

/// Expiry of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseExpiry {
    /// Time on some clock; the lease is not valid at this time any more.
    At(Micros),
    /// The lease does not expire until the member reports that it has limited or released it.
    Never,
}

/// A lease of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Version under which the member may decide.
    pub version: Version,
    /// Expiry on the member's clock.
    pub expiry: LeaseExpiry,
}

/// Result of a member's validation of a change; serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(String, Option<String>)", into = "(String, Option<String>)")]
pub struct Validation {
    /// Id of the change.
    pub change: String,
    /// Fault because of which the member can't accept the change; `None` if it accepts.
    pub fault: Option<String>,
}

impl From<(String, Option<String>)> for Validation {
    fn from((change, fault): (String, Option<String>)) -> Self {
        Validation { change, fault }
    }
}

impl From<Validation> for (String, Option<String>) {
    fn from(validation: Validation) -> Self {
        (validation.change, validation.fault)
    }
}

/// A member's report to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the report, which increases across incarnations of the member.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Version that the member serves, if it has one.
    pub version: Option<Version>,
    /// Set if the member has no lease, or an expired one.
    #[serde(rename = "holds_nothing")]
    pub has_no_lease: bool,
    /// Latest validation of a change.
    #[serde(rename = "checked")]
    pub validation: Option<Validation>,
    /// Id of the change for which the member is fenced.
    #[serde(rename = "closed")]
    pub fenced_change: Option<String>,
}

/// A lease granted by the leader in answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence number of the answered report.
    #[serde(rename = "seq")]
    pub report_sequence: u64,
    /// Version in effect; the grant is valid only for this version.
    pub version: Version,
    /// Duration of the lease, counted from the time of the report.
    #[serde(rename = "span")]
    pub duration: LeaseDuration,
}

/// Duration of a granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseDuration {
    /// [`Rules::change_lease`](crate::rules::Rules::change_lease), for a member that has accepted a change.
    #[serde(rename = "short")]
    DuringChange,
    /// [`Rules::lease`](crate::rules::Rules::lease).
    #[serde(rename = "lease")]
    Regular,
    /// No expiry until the member reports that it has limited or released the lease.
    #[serde(rename = "forever")]
    Unlimited,
}

/// Reason why a member may not decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum LeaseError {
    /// The member has no lease: it does not know the current version yet, has released its lease, or has reported that its lease
    /// has expired ([`MemberLease::next_report`] clears it).
    #[error("it does not know yet which version is current")]
    NoCurrentVersion,
    /// The member is fenced, as a change is about to take effect.
    #[error("a change is about to take hold")]
    Fenced,
    /// The lease has expired, and the member has not sent a report since.
    #[error("its lease has run out: it hears nothing of the one that leads, or there is none")]
    Expired,
}

/// A report that may still be answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenReport {
    sequence: u64,
    sent_at: Micros,
}

/// One member's lease.
///
/// Invariant: no grant that answers a report before `first_valid_report` is accepted, and none while fenced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberLease {
    regular_duration: Micros,
    change_duration: Micros,
    version: Option<Version>,
    /// Expiry of the lease; `None` until a grant for the version was accepted.
    expiry: Option<LeaseExpiry>,
    validation: Option<Validation>,
    fenced_change: Option<String>,
    last_sequence: u64,
    first_valid_report: u64,
    /// Oldest first.
    open_reports: VecDeque<OpenReport>,
}

impl MemberLease {
    /// Creates the state of a member without a lease. The incarnation keeps sequence numbers of reports unique across restarts.
    pub fn new(regular_duration: Micros, change_duration: Micros, incarnation: u32) -> Self {
        let last_sequence = u64::from(incarnation) << 32;
        MemberLease {
            regular_duration,
            change_duration,
            version: None,
            expiry: None,
            validation: None,
            fenced_change: None,
            last_sequence,
            first_valid_report: last_sequence + 1,
            open_reports: VecDeque::new(),
        }
    }

    /// Sets the durations of leases, for a member that learns them after its start.
    pub fn set_durations(&mut self, regular: Micros, during_change: Micros) {
        self.regular_duration = regular;
        self.change_duration = during_change;
    }

    /// Records that the member serves a version, either because it has caught up or because a change took effect. The remaining time of
    /// its lease continues under that version.
    pub fn serve_version(&mut self, version: Version) {
        self.version = Some(version);
        self.fenced_change = None;
        self.validation = None;
    }

    /// Records the validation of a change. A member that accepts limits its lease to the change duration.
    pub fn record_validation(&mut self, now: Micros, validation: Validation) {
        if validation.fault.is_none() {
            let latest = LeaseExpiry::At(now + self.change_duration);
            self.expiry = self.expiry.map(|expiry| expiry.min(latest));
            self.first_valid_report = self.last_sequence + 1;
        }
        self.validation = Some(validation);
    }

    /// Stops deciding under the current version, as a change is about to take effect.
    pub fn fence(&mut self, change: &str) {
        self.fenced_change = Some(change.to_owned());
        self.first_valid_report = self.last_sequence + 1;
    }

    /// Releases the lease; the member accepts no other one before it serves a version again.
    pub fn release(&mut self) {
        self.version = None;
        self.expiry = None;
    }

    /// Clears the validation of an aborted change.
    pub fn change_aborted(&mut self, change: &str) {
        self.validation
            .take_if(|validation| validation.change == change);
    }

    /// Creates the next report.
    ///
    /// Clears an expired lease, as the report states that the member has none and is binding. After that
    /// [`MemberLease::may_decide`] fails with [`LeaseError::NoCurrentVersion`] instead of [`LeaseError::Expired`].
    pub fn next_report(&mut self, now: Micros) -> Report {
        self.last_sequence += 1;
        // The remaining time of a lease at fencing continues under the next version, so a fenced member still has a lease.
        let has_no_lease = self
            .expiry
            .is_none_or(|expiry| expiry <= LeaseExpiry::At(now));
        if has_no_lease {
            self.expiry = None;
            self.first_valid_report = self.last_sequence;
        }
        if self.open_reports.len() >= MAX_OPEN_REPORTS {
            self.open_reports.pop_front();
        }
        self.open_reports.push_back(OpenReport {
            sequence: self.last_sequence,
            sent_at: now,
        });
        Report {
            sequence: self.last_sequence,
            version: self.version,
            has_no_lease,
            validation: self.validation.clone(),
            fenced_change: self.fenced_change.clone(),
        }
    }

    /// Accepts a grant if it is valid and extends the lease; returns true if it was accepted.
    pub fn accept_grant(&mut self, grant: &Grant) -> bool {
        let is_stale = grant.report_sequence < self.first_valid_report;
        if is_stale || self.version != Some(grant.version) || self.fenced_change.is_some() {
            return false;
        }
        let answered = self
            .open_reports
            .iter()
            .find(|report| report.sequence == grant.report_sequence);
        let Some(answered) = answered else {
            return false;
        };
        let expiry = match grant.duration {
            LeaseDuration::DuringChange => LeaseExpiry::At(answered.sent_at + self.change_duration),
            LeaseDuration::Regular => LeaseExpiry::At(answered.sent_at + self.regular_duration),
            LeaseDuration::Unlimited => LeaseExpiry::Never,
        };
        if self.expiry.is_some_and(|current| current >= expiry) {
            return false;
        }
        self.expiry = Some(expiry);
        true
    }

    /// Returns the version under which the member may decide at `now` on its own clock. The time at which the clock is read is the time
    /// of the decision.
    ///
    /// # Errors
    /// The member may not decide. An expired lease is reported as [`LeaseError::Expired`] until the next report and as
    /// [`LeaseError::NoCurrentVersion`] after it.
    pub fn may_decide(&self, now: Micros) -> Result<Version, LeaseError> {
        if self.fenced_change.is_some() {
            return Err(LeaseError::Fenced);
        }
        let lease = self.current().ok_or(LeaseError::NoCurrentVersion)?;
        if LeaseExpiry::At(now) < lease.expiry {
            Ok(lease.version)
        } else {
            Err(LeaseError::Expired)
        }
    }

    /// Returns the lease, for readers that compare its expiry with the clock for each decision; `None` while fenced.
    pub fn current(&self) -> Option<Lease> {
        if self.fenced_change.is_some() {
            return None;
        }
        let version = self.version?;
        let expiry = self.expiry?;
        Some(Lease { version, expiry })
    }

    /// Returns the version that the member serves, or would serve with a lease.
    pub fn version(&self) -> Option<Version> {
        self.version
    }
}
