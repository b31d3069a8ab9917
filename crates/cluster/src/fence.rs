//! An instance's right to decide: under one version, for as long as its lease runs by its own clock.
//!
//! The instance reports, and a leader grants by answering a report. What it tells of itself binds it: once it has reported that it
//! can take a change, that it has ended deciding, or that it holds nothing, it takes no grant that answers an earlier report.
//! So a leader that has such a report knows what the instance may still do, whatever else is on its way.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::machine::{Micros, Reason, Version};

/// Reports whose answers are still waited for; an answer to an older one is too late.
const REPORTS: usize = 64;

/// Until when an instance may decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Until {
    /// Before this moment of some clock.
    Before(Micros),
    /// Until it says otherwise.
    Forever,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Numbers its reports, over all starts of its process.
    pub seq: u64,
    /// The version that it holds; none before it has one.
    pub version: Option<Version>,
    /// It has no lease, or one that has run out.
    pub holds_nothing: bool,
    /// The change that it has checked, and why it can't be taken, if so.
    pub checked: Option<(String, Option<String>)>,
    /// The change for which it has ended deciding.
    pub closed: Option<String>,
}

/// A leader's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The report that it answers.
    pub seq: u64,
    /// The version in effect; it is good for no other.
    pub version: Version,
    /// For how long it is good, from the report on.
    pub span: Span,
}

/// For how long a grant is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Span {
    /// For the short lease of those who have said that they can take a change.
    Short,
    /// For a lease.
    Lease,
    /// Until the instance says otherwise.
    Forever,
}

/// Why nothing is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Fenced {
    /// It has no version yet that it knows to be current.
    #[error("it does not know yet which version is current")]
    Starting,
    /// A change is about to take hold.
    #[error("a change is about to take hold")]
    Closing,
    /// Its lease has run out.
    #[error("its lease has run out: it hears nothing of the one that leads, or there is none")]
    LeaseOver,
}

/// An instance's right to decide.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fence {
    lease: Micros,
    short: Micros,
    version: Option<Version>,
    /// Its right under that version; none until a grant has come for it.
    until: Option<Until>,
    checked: Option<(String, Option<String>)>,
    closed: Option<String>,
    seq: u64,
    /// Grants that answer reports before this one are not taken.
    floor: u64,
    /// When the last reports were made, newest last.
    sent: VecDeque<(u64, Micros)>,
}

impl Fence {
    /// One that holds nothing. `start` numbers the starts of this member's process, so that no two reports have one number.
    pub fn new(lease: Micros, short: Micros, start: u32) -> Self {
        let seq = u64::from(start) << 32;
        Fence {
            lease,
            short,
            version: None,
            until: None,
            checked: None,
            closed: None,
            seq,
            floor: seq + 1,
            sent: VecDeque::new(),
        }
    }

    /// The instance serves this version: the one it started with and has caught up to, or the one a change has brought. What
    /// its lease still has goes on under it.
    pub fn carried(&mut self, version: Version) {
        self.version = Some(version);
        self.closed = None;
        self.checked = None;
    }

    /// It has checked a change. If it can take it, it holds for no longer than the short lease from now on.
    pub fn checked(&mut self, now: Micros, change: &str, fault: Option<String>) {
        if fault.is_none() {
            self.until = self.until.map(|u| u.min(Until::Before(now + self.short)));
            self.floor = self.seq + 1;
        }
        self.checked = Some((change.to_owned(), fault));
    }

    /// A change takes hold: nothing is decided any more under the version that it has.
    pub fn close(&mut self, change: &str) {
        self.closed = Some(change.to_owned());
        self.floor = self.seq + 1;
    }

    /// It gives up its right, and takes no other before it serves a version again.
    pub fn rest(&mut self) {
        (self.version, self.until) = (None, None);
    }

    /// The cluster's leases, where they are known only now.
    pub fn leases(&mut self, lease: Micros, short: Micros) {
        (self.lease, self.short) = (lease, short);
    }

    /// A change was given up.
    pub fn given_up(&mut self, change: &str) {
        self.checked.take_if(|(c, _)| c == change);
    }

    /// What it says of itself now.
    pub fn report(&mut self, now: Micros) -> Report {
        self.seq += 1;
        // What is left of a lease at a closing goes on under the next version, so it is not nothing.
        let holds_nothing = self.until.is_none_or(|until| until <= Until::Before(now));
        if holds_nothing {
            self.until = None;
            self.floor = self.seq;
        }
        if self.sent.len() >= REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.seq, now));
        Report {
            seq: self.seq,
            version: self.version,
            holds_nothing,
            checked: self.checked.clone(),
            closed: self.closed.clone(),
        }
    }

    /// A leader grants; returns whether that changed anything.
    pub fn granted(&mut self, grant: &Grant) -> bool {
        if grant.seq < self.floor || self.version != Some(grant.version) || self.closed.is_some() {
            return false;
        }
        let Some((_, at)) = self.sent.iter().find(|(seq, _)| *seq == grant.seq) else {
            return false;
        };
        let until = match grant.span {
            Span::Short => Until::Before(at + self.short),
            Span::Lease => Until::Before(at + self.lease),
            Span::Forever => Until::Forever,
        };
        if self.until.is_some_and(|u| u >= until) {
            return false;
        }
        self.until = Some(until);
        true
    }

    /// The version that may be decided under at a moment of its own clock. The moment at which the clock is read is the moment
    /// of the decision.
    ///
    /// # Errors
    /// Nothing may be decided.
    pub fn may_decide(&self, now: Micros) -> Result<Version, Fenced> {
        match (self.version, self.until, &self.closed) {
            (_, _, Some(_)) => Err(Fenced::Closing),
            (None, ..) | (_, None, _) => Err(Fenced::Starting),
            (Some(version), Some(until), None) if Until::Before(now) < until => Ok(version),
            _ => Err(Fenced::LeaseOver),
        }
    }

    /// The version that it holds, and until when, for those who look at the clock for each decision.
    pub fn right(&self) -> Option<(Version, Until)> {
        match (&self.closed, self.version, self.until) {
            (None, Some(version), Some(until)) => Some((version, until)),
            _ => None,
        }
    }

    /// The version that it serves or would serve.
    pub fn version(&self) -> Option<Version> {
        self.version
    }
}

/// Why a change can't be taken, as an instance reports it.
pub fn reason(by: &str, why: &str) -> Reason {
    Reason {
        by: by.to_owned(),
        why: why.to_owned(),
    }
}
