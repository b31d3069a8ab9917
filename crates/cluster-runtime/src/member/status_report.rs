//! Status of the cluster as seen by this member.

use std::collections::BTreeMap;

use cluster::command::Member;
use cluster::member_lease::LeaseExpiry;
use cluster::message::MessageKind;
use cluster::node::Node;
use cluster::rules::Micros;
use cluster::state_machine::{Change, Phase, StateMachine};

use super::runtime::MemberRuntime;
use crate::status::{ChangeStatus, MemberStatus, MessageTotals, Status};
use crate::transport::TransportCounters;

/// Remaining time of an unlimited lease in the status.
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
        status.term = node.term();
        status.applied = node.applied_index();
        status.is_disk_unconfirmed = !node.is_disk_confirmed();
        status.leader = self.leader().map(|leader| leader.name);
        match node.lease().may_decide(now) {
            Ok(version) => status.deciding_version = Some(version),
            Err(reason) => status.fenced_reason = Some(self.fenced_reason(&reason.to_string())),
        }
        if let Some(state_machine) = node.state_machine() {
            add_membership_status(status, node, state_machine, now);
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
    MessageKind::ALL
        .into_iter()
        .map(|kind| {
            let totals = counters.sent_by_kind[kind as usize].totals();
            (kind.name().to_owned(), totals)
        })
        .filter(|(_, totals)| totals.messages > 0)
        .collect()
}

fn add_membership_status(
    status: &mut Status,
    node: &Node,
    state_machine: &StateMachine,
    now: Micros,
) {
    let voters = node.voters();
    status.version = state_machine.version;
    status.members = state_machine
        .members
        .iter()
        .map(|(name, member)| MemberStatus {
            is_voter: voters.contains(&member.id),
            ..member_status(name, member, node, now)
        })
        .collect();
    status.change = state_machine
        .change
        .as_ref()
        .map(|change| change_status(change, node, now));
}

fn member_status(name: &str, member: &Member, node: &Node, now: Micros) -> MemberStatus {
    let observation = node
        .lease_table()
        .and_then(|table| table.observation(member.id))
        .unwrap_or_default();
    MemberStatus {
        name: name.to_owned(),
        id: member.id,
        zone: member.zone.clone(),
        address: member.address.clone(),
        is_voter: false,
        version: observation.version,
        last_report_age_ms: observation
            .last_report_at
            .map(|at| now.saturating_sub(at) / 1000),
        lease_remaining_ms: observation
            .latest_expiry
            .and_then(|expiry| lease_remaining_ms(expiry, now)),
    }
}

fn lease_remaining_ms(expiry: LeaseExpiry, now: Micros) -> Option<i64> {
    match expiry {
        LeaseExpiry::Never => Some(UNLIMITED_LEASE_MS),
        LeaseExpiry::At(end) if end > now => Some(((end - now) / 1000) as i64),
        LeaseExpiry::At(_) => None,
    }
}

fn change_status(change: &Change, node: &Node, now: Micros) -> ChangeStatus {
    let phase = match change.phase {
        Phase::Validating => "checking",
        Phase::Fencing => "closing",
    };
    ChangeStatus {
        id: change.proposal.id.clone(),
        phase: phase.to_owned(),
        waits_for: node
            .blocking_members(now)
            .into_iter()
            .map(|member| member.name)
            .collect(),
    }
}
