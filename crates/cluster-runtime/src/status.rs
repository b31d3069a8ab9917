//! Status of the cluster as seen by one member, for the administration API and metrics.
//!
//! Serialized names are part of the administration API; serde attributes map them to the names in the code.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Status of the cluster as seen by one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Name of this member.
    pub name: String,
    /// Raft node id of this member; 0 before it has joined.
    pub id: u64,
    /// Id of the cluster; empty before this member has joined.
    pub cluster: String,
    /// Name of the leader, if known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Version in effect.
    pub version: u64,
    /// Version under which this member may decide; `None` while it may not.
    #[serde(rename = "decides", skip_serializing_if = "Option::is_none", default)]
    pub deciding_version: Option<u64>,
    /// Reason why this member may not decide.
    #[serde(rename = "fenced", skip_serializing_if = "Option::is_none", default)]
    pub fenced_reason: Option<String>,
    /// Members of the cluster.
    pub members: Vec<MemberStatus>,
    /// Configuration change in progress.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub change: Option<ChangeStatus>,
    /// Set until the disk is confirmed to have the latest log of this member; the member does not vote until then.
    #[serde(rename = "unproven", default)]
    pub is_disk_unconfirmed: bool,
    /// Set once the disk was found to be an older copy, so that this member has joined again as a new one.
    #[serde(rename = "put-back", default)]
    pub was_disk_restored: bool,
    /// Totals over all connections since the start.
    #[serde(rename = "messages")]
    pub connections: ConnectionTotals,
    /// Messages sent, by kind; kinds without messages are omitted.
    #[serde(default)]
    pub sent: BTreeMap<String, MessageTotals>,
    /// Completed configuration changes that this member has seen since its start.
    #[serde(default)]
    pub changes: ChangeTotals,
}

/// Totals over all connections; serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct ConnectionTotals {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes of the messages sent, including frame headers.
    pub bytes_sent: u64,
    /// Messages dropped because they could not be sent in time.
    pub messages_dropped: u64,
    /// Inbound connections closed because of invalid data.
    pub connections_rejected: u64,
}

impl From<[u64; 4]> for ConnectionTotals {
    fn from(totals: [u64; 4]) -> Self {
        let [
            messages_sent,
            bytes_sent,
            messages_dropped,
            connections_rejected,
        ] = totals;
        ConnectionTotals {
            messages_sent,
            bytes_sent,
            messages_dropped,
            connections_rejected,
        }
    }
}

impl From<ConnectionTotals> for [u64; 4] {
    fn from(totals: ConnectionTotals) -> Self {
        [
            totals.messages_sent,
            totals.bytes_sent,
            totals.messages_dropped,
            totals.connections_rejected,
        ]
    }
}

/// Numbers of messages and bytes; serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 2]", into = "[u64; 2]")]
pub struct MessageTotals {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of the messages, including frame headers.
    pub bytes: u64,
}

impl From<[u64; 2]> for MessageTotals {
    fn from([messages, bytes]: [u64; 2]) -> Self {
        MessageTotals { messages, bytes }
    }
}

impl From<MessageTotals> for [u64; 2] {
    fn from(totals: MessageTotals) -> Self {
        [totals.messages, totals.bytes]
    }
}

/// Numbers of completed configuration changes; serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 2]", into = "[u64; 2]")]
pub struct ChangeTotals {
    /// Changes that took effect.
    pub activated: u64,
    /// Changes that were aborted.
    pub aborted: u64,
}

impl From<[u64; 2]> for ChangeTotals {
    fn from([activated, aborted]: [u64; 2]) -> Self {
        ChangeTotals { activated, aborted }
    }
}

impl From<ChangeTotals> for [u64; 2] {
    fn from(totals: ChangeTotals) -> Self {
        [totals.activated, totals.aborted]
    }
}

/// Status of one member as seen by the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Raft node id of the member.
    pub id: u64,
    /// Zone of the member.
    pub zone: String,
    /// Address on which the member listens for other members.
    pub address: String,
    /// Set if the member is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Version that the member serves according to its latest report.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<u64>,
    /// Age of the member's latest report in milliseconds.
    #[serde(rename = "heard-ms", skip_serializing_if = "Option::is_none", default)]
    pub last_report_age_ms: Option<u64>,
    /// Upper bound of the member's remaining lease time in milliseconds; `None` without a lease, -1 for an unlimited lease.
    #[serde(rename = "holds-ms", skip_serializing_if = "Option::is_none", default)]
    pub lease_remaining_ms: Option<i64>,
}

/// Configuration change in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeStatus {
    /// Id of the change.
    pub id: String,
    /// Phase of the change: `checking` or `closing`.
    pub phase: String,
    /// Names of the members that the change waits for.
    pub waits_for: Vec<String>,
}
