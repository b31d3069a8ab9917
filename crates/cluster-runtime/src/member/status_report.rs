//! Status of the cluster as this member sees it.

use std::collections::BTreeMap;

use cluster::fence::Until;
use cluster::machine::{Change, Machine, Member, Micros, Phase};
use cluster::node::{Kind, Node};

use super::runtime::MemberRuntime;
use crate::status::{ChangeStatus, MemberStatus, MessageTotals, Status};
use crate::transport::TransportCounters;

/// Remaining time of a lease without an end, as the status shows it.
const UNLIMITED_LEASE_MS: i64 = -1;

impl MemberRuntime {
    /// Returns the status at `now`.
    pub(super) fn status(&self, now: Micros) -> Status {
        let sender = self.sender();
        let counters = self.transport.counters();
        let mut status = Status {
            name: sender.name,
            id: sender.id,
            cluster: sender.cluster,
            connections: counters.totals(),
            sent: sent_by_kind(counters),
            changes: self.changes,
            was_disk_restored: self.was_disk_restored,
            ..Status::default()
        };
        match self.node() {
            Some(node) => self.add_node_status(&mut status, node, now),
            None => status.fenced_reason = Some("it has not joined yet".into()),
        }
        status
    }

    fn add_node_status(&self, status: &mut Status, node: &Node, now: Micros) {
        let (term, applied) = node.position();
        status.term = term;
        status.applied = applied;
        status.is_disk_unverified = !node.is_proven();
        status.leader = self.leader().map(|leader| leader.name);
        match node.fence().may_decide(now) {
            Ok(version) => status.deciding_version = Some(version),
            Err(reason) => status.fenced_reason = Some(self.fenced_reason(&reason.to_string())),
        }
        if let Some(machine) = node.machine() {
            add_machine_status(status, node, machine, now);
        }
    }

    fn fenced_reason(&self, reason: &str) -> String {
        match &self.foreign_cluster {
            Some(cluster) => format!(
                "others are of the cluster {cluster}, as after a restore: its state directory is to be emptied, so that it joins them"
            ),
            None => reason.to_owned(),
        }
    }
}

fn sent_by_kind(counters: &TransportCounters) -> BTreeMap<String, MessageTotals> {
    Kind::ALL
        .into_iter()
        .map(|kind| {
            let totals = counters.sent_by_kind[kind as usize].totals();
            (kind.name().to_owned(), totals)
        })
        .filter(|(_, totals)| totals.messages > 0)
        .collect()
}

fn add_machine_status(status: &mut Status, node: &Node, machine: &Machine, now: Micros) {
    let voters = node.voters();
    status.version = machine.version;
    status.members = machine
        .members
        .iter()
        .map(|(name, member)| MemberStatus {
            is_voter: voters.contains(&member.id),
            ..member_status(name, member, node, now)
        })
        .collect();
    status.change = machine
        .change
        .as_ref()
        .map(|change| change_status(change, node, now));
}

fn member_status(name: &str, member: &Member, node: &Node, now: Micros) -> MemberStatus {
    let seen = node.warden().and_then(|leases| leases.seen(member.id));
    let (last_report_at, lease_end, version) = seen.unwrap_or_default();
    MemberStatus {
        name: name.to_owned(),
        id: member.id,
        zone: member.zone.clone(),
        address: member.address.clone(),
        is_voter: false,
        version,
        last_report_age_ms: last_report_at.map(|at| now.saturating_sub(at) / 1000),
        lease_remaining_ms: lease_end.and_then(|end| lease_remaining_ms(end, now)),
    }
}

fn lease_remaining_ms(lease_end: Until, now: Micros) -> Option<i64> {
    match lease_end {
        Until::Forever => Some(UNLIMITED_LEASE_MS),
        Until::Before(end) if end > now => Some(((end - now) / 1000) as i64),
        Until::Before(_) => None,
    }
}

fn change_status(change: &Change, node: &Node, now: Micros) -> ChangeStatus {
    let phase = match change.phase {
        Phase::Checking => "checking",
        Phase::Closing => "closing",
    };
    ChangeStatus {
        id: change.proposal.id.clone(),
        phase: phase.to_owned(),
        waits_for: node.waits(now).into_iter().map(|wait| wait.name).collect(),
    }
}
