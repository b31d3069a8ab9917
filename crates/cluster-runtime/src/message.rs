//! Messages between members and their encoding, without I/O.
//!
//! Messages of the replicated log are encoded as raw bytes behind a short prefix, all others as JSON. Serialized names are part of the
//! protocol between versions.

use cluster::message::{self, MessageKind};
use serde::{Deserialize, Serialize};

/// First byte of an encoded log message.
const LOG_ENCODING: u8 = 1;
/// First byte of a message encoded as JSON.
const JSON_ENCODING: u8 = 2;

/// Message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Member that sent it.
    pub from: Sender,
    /// Content.
    pub body: Body,
}

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the member.
    pub name: String,
    /// Address on which it listens for other members.
    pub address: String,
    /// Id of the member; 0 before it has joined.
    pub id: u64,
    /// Id of its cluster; empty before it has joined.
    pub cluster: String,
}

/// Reason why a join request is rejected, as text from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
#[serde(transparent)]
pub struct JoinError(String);

impl From<String> for JoinError {
    fn from(reason: String) -> Self {
        JoinError(reason)
    }
}

impl From<&str> for JoinError {
    fn from(reason: &str) -> Self {
        JoinError(reason.to_owned())
    }
}

/// Reason why a call has failed, as text from the member that handled it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
#[serde(transparent)]
pub struct CallError(String);

impl From<String> for CallError {
    fn from(reason: String) -> Self {
        CallError(reason)
    }
}

impl From<&str> for CallError {
    fn from(reason: &str) -> Self {
        CallError(reason.to_owned())
    }
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Message of the cluster protocol for the member with this id.
    Node(u64, message::Message),
    /// Discovery request: asks for the leader of an existing cluster.
    Ask {
        /// Names of the members that the sender's settings list, its own included; founders must agree on them.
        names: Vec<String>,
    },
    /// Answer to a discovery request.
    Tell {
        /// Name and address of the leader, if known.
        leader: Option<(String, String)>,
        /// Names of the members that the sender's settings list, its own included.
        names: Vec<String>,
    },
    /// Request to join the cluster.
    Join {
        /// Zone of the joining member.
        zone: String,
        /// Number drawn by the joining process; a repeated request carries the same.
        #[serde(default)]
        drawn: u64,
    },
    /// Result of a join request: the new member's id.
    Joined(Result<u64, JoinError>),
    /// Call for the leader: id and payload.
    Call(String, String),
    /// Notice that the receiver belongs to another cluster than the sender, whose id this is.
    Foreign(String),
    /// Answer to a call: id and result.
    Reply(String, Result<String, CallError>),
}

impl Message {
    /// Returns the kind by which the message is counted.
    pub fn kind(&self) -> MessageKind {
        match &self.body {
            Body::Node(_, message) => message.kind(),
            _ => MessageKind::Other,
        }
    }

    /// Encodes the message.
    pub fn write(&self) -> Vec<u8> {
        if let Body::Node(to, message::Message::Raft(log)) = &self.body
            && let Ok(from) = serde_json::to_vec(&self.from)
        {
            return encode_log(&from, *to, log);
        }
        let mut bytes = vec![JSON_ENCODING];
        // Infallible: strings and numbers written to memory.
        let _ = serde_json::to_writer(&mut bytes, &(&self.from, &self.body));
        bytes
    }

    /// Decodes a message; `None` if the bytes are not one.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (encoding, encoded) = bytes.split_first()?;
        match *encoding {
            JSON_ENCODING => {
                let (from, body) = serde_json::from_slice(encoded).ok()?;
                Some(Message { from, body })
            }
            LOG_ENCODING => decode_log(encoded),
            _ => None,
        }
    }
}

fn encode_log(from: &[u8], to: u64, log: &[u8]) -> Vec<u8> {
    let mut bytes = vec![LOG_ENCODING];
    bytes.extend((from.len() as u32).to_le_bytes());
    bytes.extend(from);
    bytes.extend(to.to_le_bytes());
    bytes.extend(log);
    bytes
}

fn decode_log(encoded: &[u8]) -> Option<Message> {
    let (from_length, rest) = encoded.split_first_chunk::<4>()?;
    let from_length = u32::from_le_bytes(*from_length) as usize;
    let (from, rest) = rest.split_at_checked(from_length)?;
    let (to, log) = rest.split_first_chunk::<8>()?;
    let from = serde_json::from_slice(from).ok()?;
    let to = u64::from_le_bytes(*to);
    let log = message::Message::Raft(log.to_vec());
    Some(Message {
        from,
        body: Body::Node(to, log),
    })
}
