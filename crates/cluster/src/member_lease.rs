//! The lease under which one member decides: for one version, for as long as it lasts by the member's own clock.
//!
//! A member sends reports and a leader grants leases by answering them. A report binds the member: once it has reported that it
//! accepts a change, that it is fenced, or that it holds no lease, it takes no grant that answers an earlier report. So a leader
//! that has such a report knows what the member may still do, whatever other messages are on their way.
//!
//! The module reads no clock and sends nothing. Main types: [`MemberLease`], [`Report`], [`Grant`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::rules::Micros;
use crate::state_machine::Version;

/// Reports that may still be answered; a grant for an older one is ignored.
const MAX_OPEN_REPORTS: usize = 64;

/// End of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseExpiry {
    /// Moment of some clock; the lease no longer holds at it.
    At(Micros),
    /// No end until the member reports otherwise.
    Never,
}

/// A lease that a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Version under which the member may decide.
    pub version: Version,
    /// End of the lease by the member's clock.
    pub expiry: LeaseExpiry,
}

/// Result of a member's validation of a change; written as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(String, Option<String>)", into = "(String, Option<String>)")]
pub struct Validation {
    /// Id of the change.
    pub change: String,
    /// Fault for which the member can't accept the change; none if it accepts.
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
    /// Number of the report, increasing over all starts of the member.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Version that the member serves; none before it has one.
    pub version: Option<Version>,
    /// Set if the member has no lease, or an expired one.
    #[serde(rename = "holds_nothing")]
    pub has_no_lease: bool,
    /// Last validation of a change.
    #[serde(rename = "checked")]
    pub validation: Option<Validation>,
    /// Id of the change for which the member has ended deciding.
    #[serde(rename = "closed")]
    pub fenced_change: Option<String>,
}

/// A leader's grant, which answers a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Sequence of the answered report.
    #[serde(rename = "seq")]
    pub report_sequence: u64,
    /// Version in effect; the grant holds for no other.
    pub version: Version,
    /// Duration of the lease, from the moment of the report.
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
    /// No end until the member reports otherwise.
    #[serde(rename = "forever")]
    Unlimited,
}

/// Reason for which a member may not decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum LeaseError {
    /// The member has no lease: it does not know the current version yet, has released its lease, or has reported that its lease
    /// expired ([`MemberLease::next_report`] clears it).
    #[error("it does not know yet which version is current")]
    NoCurrentVersion,
    /// The member is fenced, as a change is about to take effect.
    #[error("a change is about to take hold")]
    Fenced,
    /// The lease has expired, and the member has not made a report since.
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
    /// End of the lease; none until a grant for the version has come.
    expiry: Option<LeaseExpiry>,
    validation: Option<Validation>,
    fenced_change: Option<String>,
    last_sequence: u64,
    first_valid_report: u64,
    /// Oldest first.
    open_reports: VecDeque<OpenReport>,
}

impl MemberLease {
    /// Creates a member's state without a lease. `start` counts the starts of the member, so that no two reports have one
    /// sequence number.
    pub fn new(regular_duration: Micros, change_duration: Micros, start: u32) -> Self {
        let last_sequence = u64::from(start) << 32;
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

    /// Sets the durations of leases, where they become known after the start.
    pub fn set_durations(&mut self, regular: Micros, during_change: Micros) {
        self.regular_duration = regular;
        self.change_duration = during_change;
    }

    /// Records that the member serves a version: one that it has caught up to, or the one that a change has brought. The rest of
    /// its lease continues under it.
    pub fn serve_version(&mut self, version: Version) {
        self.version = Some(version);
        self.fenced_change = None;
        self.validation = None;
    }

    /// Records the validation of a change. A member that accepts binds itself to a lease of at most the change duration.
    pub fn record_validation(&mut self, now: Micros, validation: Validation) {
        if validation.fault.is_none() {
            let latest = LeaseExpiry::At(now + self.change_duration);
            self.expiry = self.expiry.map(|expiry| expiry.min(latest));
            self.first_valid_report = self.last_sequence + 1;
        }
        self.validation = Some(validation);
    }

    /// Ends deciding under the present version, as a change is about to take effect.
    pub fn fence(&mut self, change: &str) {
        self.fenced_change = Some(change.to_owned());
        self.first_valid_report = self.last_sequence + 1;
    }

    /// Gives up the lease; the member takes no other before it serves a version again.
    pub fn release(&mut self) {
        self.version = None;
        self.expiry = None;
    }

    /// Forgets the validation of an aborted change.
    pub fn change_aborted(&mut self, change: &str) {
        self.validation
            .take_if(|validation| validation.change == change);
    }

    /// Creates the next report.
    ///
    /// An expired lease is cleared here, as the report says that the member has none and binds it. From then on
    /// [`MemberLease::may_decide`] fails with [`LeaseError::NoCurrentVersion`] in place of [`LeaseError::Expired`].
    pub fn next_report(&mut self, now: Micros) -> Report {
        self.last_sequence += 1;
        // The rest of a lease at fencing continues under the next version, so it counts as held.
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

    /// Accepts a grant if it is valid and extends the lease; returns if it did.
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
        if self.expiry.is_some_and(|present| present >= expiry) {
            return false;
        }
        self.expiry = Some(expiry);
        true
    }

    /// Returns the version under which the member may decide at `now` by its own clock. The moment at which the clock is read is
    /// the moment of the decision.
    ///
    /// # Errors
    /// The member may not decide. An expired lease is [`LeaseError::Expired`] up to the next report and
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

    /// Returns the lease, for readers that compare its expiry with the clock at each decision. None while fenced.
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
