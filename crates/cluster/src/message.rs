//! Messages between members, and their classification for metrics.

use raft::eraftpb::MessageType;
use serde::{Deserialize, Serialize};

use crate::codec::decode;
use crate::member_lease::{Grant, Report};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// An encoded raft message.
    #[serde(rename = "log")]
    Raft(Vec<u8>),
    /// A member's report to the leader.
    #[serde(rename = "report")]
    Report(Report),
    /// The leader's answer to a report.
    #[serde(rename = "grant")]
    Grant(Grant),
    /// Request of a restarted member to the voters to check whether its disk lacks entries that it has acknowledged.
    #[serde(rename = "hello")]
    DiskCheck,
    /// A voter's answer to [`Message::DiskCheck`].
    #[serde(rename = "welcome")]
    DiskCheckReply(DiskCheckReply),
}

/// State that a voter has recorded about a restarted member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiskCheckReply {
    /// Index of the last entry that the restarted member is known to have acknowledged.
    #[serde(rename = "acknowledged")]
    pub acknowledged_index: u64,
    /// Current term of the voter.
    pub term: u64,
    /// Raft node ids of all voters in the voter's configuration.
    pub voters: Vec<u64>,
}

/// Kind of a message, by which traffic is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Log entries and the commit index.
    Append,
    /// Response to [`MessageKind::Append`].
    AppendResponse,
    /// Heartbeat without a ReadIndex request.
    Heartbeat,
    /// Response to [`MessageKind::Heartbeat`].
    HeartbeatResponse,
    /// Heartbeat by which the leader confirms its leadership for a ReadIndex request.
    ReadIndex,
    /// Response to [`MessageKind::ReadIndex`].
    ReadIndexResponse,
    /// Snapshot.
    Snapshot,
    /// Vote requests and all other raft messages.
    Election,
    /// Report of a member to the leader.
    Report,
    /// Grant of a lease.
    Grant,
    /// All other messages: disk checks, joins, discovery and calls.
    Other,
}

impl MessageKind {
    /// Number of kinds.
    pub const COUNT: usize = 11;
    /// All kinds, each at the index of its discriminant.
    pub const ALL: [MessageKind; MessageKind::COUNT] = [
        MessageKind::Append,
        MessageKind::AppendResponse,
        MessageKind::Heartbeat,
        MessageKind::HeartbeatResponse,
        MessageKind::ReadIndex,
        MessageKind::ReadIndexResponse,
        MessageKind::Snapshot,
        MessageKind::Election,
        MessageKind::Report,
        MessageKind::Grant,
        MessageKind::Other,
    ];

    /// Returns the label of the kind in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Append => "append",
            MessageKind::AppendResponse => "append answer",
            MessageKind::Heartbeat => "heartbeat",
            MessageKind::HeartbeatResponse => "heartbeat answer",
            MessageKind::ReadIndex => "confirmation",
            MessageKind::ReadIndexResponse => "confirmation answer",
            MessageKind::Snapshot => "snapshot",
            MessageKind::Election => "election",
            MessageKind::Report => "report",
            MessageKind::Grant => "grant",
            MessageKind::Other => "other",
        }
    }
}

impl Message {
    /// Returns the kind of the message. Decodes only heartbeats, which are small.
    pub fn kind(&self) -> MessageKind {
        match self {
            Message::Raft(bytes) => raft_message_kind(bytes),
            Message::Report(_) => MessageKind::Report,
            Message::Grant(_) => MessageKind::Grant,
            Message::DiskCheck | Message::DiskCheckReply(_) => MessageKind::Other,
        }
    }
}

fn raft_message_kind(bytes: &[u8]) -> MessageKind {
    if has_type(bytes, MessageType::MsgAppend) {
        MessageKind::Append
    } else if has_type(bytes, MessageType::MsgAppendResponse) {
        MessageKind::AppendResponse
    } else if has_type(bytes, MessageType::MsgSnapshot) {
        MessageKind::Snapshot
    } else if has_type(bytes, MessageType::MsgHeartbeat) {
        if carries_read_index(bytes) {
            MessageKind::ReadIndex
        } else {
            MessageKind::Heartbeat
        }
    } else if has_type(bytes, MessageType::MsgHeartbeatResponse) {
        if carries_read_index(bytes) {
            MessageKind::ReadIndexResponse
        } else {
            MessageKind::HeartbeatResponse
        }
    } else {
        MessageKind::Election
    }
}

/// Compares the type of an encoded raft message without decoding it.
fn has_type(bytes: &[u8], message_type: MessageType) -> bool {
    // Protobuf tag of field 1 as a varint. The type is the first field, and its values fit into one byte.
    const TYPE_FIELD_TAG: u8 = 8;
    bytes.starts_with(&[TYPE_FIELD_TAG, message_type as u8])
}

fn carries_read_index(bytes: &[u8]) -> bool {
    decode::<raft::eraftpb::Message>(bytes).is_ok_and(|message| !message.context.is_empty())
}
