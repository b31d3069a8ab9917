//! The member's side of leases: reports to the leader, accepted grants, and completion of the steps of a change by the application.
//!
//! The leader's side is [`LeaseTable`](crate::lease_table::LeaseTable).

use crate::member_lease::{Grant, Report, Validation};
use crate::message::Message;
use crate::output::Output;
use crate::rules::Micros;
use crate::state_machine::Version;

use super::{Node, TICK_INTERVAL};

/// Number of reports within one lease duration.
const REPORTS_PER_LEASE: u64 = 5;
/// Divisor of the report interval that gives the maximum jitter of a report, so that members that started together do not report at the
/// same time.
const REPORT_JITTER_DIVISOR: u64 = 4;
/// Lease duration assumed until the rules are known.
const INITIAL_LEASE: Micros = 10 * TICK_INTERVAL;

impl Node {
    /// Records the application's validation of a change and reports it to the leader.
    pub fn change_validated(&mut self, now: Micros, validation: Validation) {
        if self.is_change_in_progress(&validation.change) {
            self.lease.record_validation(now, validation);
            self.announce_lease();
            self.send_report(now);
        }
        self.advance(now);
    }

    /// Records that the application has stopped deciding under the current version for a change, and reports it to the leader.
    pub fn change_fenced(&mut self, now: Micros, change: &str) {
        if self.is_change_in_progress(change) {
            self.lease.fence(change);
            self.announce_lease();
            self.send_report(now);
        }
        self.advance(now);
    }

    /// Records that the application serves a version as far as the lease allows, and reports it to the leader.
    pub fn version_served(&mut self, now: Micros, version: Version) {
        self.lease.serve_version(version);
        self.announce_lease();
        self.send_report(now);
        self.advance(now);
    }

    /// Releases the lease for a shutdown of the member, and reports it to the leader.
    pub fn release_lease(&mut self, now: Micros) {
        self.lease.release();
        self.announce_lease();
        self.send_report(now);
        self.advance(now);
    }

    fn is_change_in_progress(&self, change: &str) -> bool {
        self.state_machine
            .as_ref()
            .is_some_and(|state_machine| state_machine.is_in_progress(change))
    }

    /// Sends a report if one is due. A new leader gets one soon, as it has no report of this member yet.
    pub(super) fn report_if_due(&mut self, now: Micros) {
        let leader = self.leader();
        if leader != self.last_leader {
            self.last_leader = leader;
            let soon = now + self.random.u64(..TICK_INTERVAL);
            self.next_report = self.next_report.min(soon);
        }
        if now >= self.next_report {
            self.send_report(now);
        }
    }

    fn send_report(&mut self, now: Micros) {
        let interval = self.report_interval();
        let jitter = self.random.u64(..=interval / REPORT_JITTER_DIVISOR);
        self.next_report = now + interval - jitter;
        let Some(leader) = self.leader() else { return };
        let report = self.lease.next_report(now);
        self.announce_lease();
        if leader == self.id() {
            self.receive_report(now, leader, &report);
        } else {
            self.send(leader, Message::Report(report));
        }
    }

    fn report_interval(&self) -> Micros {
        let lease = match &self.state_machine {
            Some(state_machine) if state_machine.change.is_some() => {
                state_machine.rules.change_lease
            }
            Some(state_machine) => state_machine.rules.lease,
            None => INITIAL_LEASE,
        };
        (lease / REPORTS_PER_LEASE).max(TICK_INTERVAL)
    }

    pub(super) fn receive_report(&mut self, now: Micros, from: u64, report: &Report) {
        if let (Some(table), Some(state_machine)) = (&mut self.lease_table, &self.state_machine) {
            table.record_report(now, from, report, state_machine);
        }
    }

    pub(super) fn receive_grant(&mut self, grant: &Grant) {
        if self.lease.accept_grant(grant) {
            self.announce_lease();
        }
    }

    /// Notifies the caller of the lease if it has changed.
    pub(super) fn announce_lease(&mut self) {
        let lease = self.lease.current();
        if lease != self.announced_lease {
            self.announced_lease = lease;
            self.outputs.push(Output::LeaseChanged(lease));
        }
    }
}
