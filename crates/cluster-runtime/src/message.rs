//! Messages between members and their encoding, without I/O.
//!
//! Raft messages are encoded as raw bytes after a short prefix, all others as JSON. Serialized names are part of the wire protocol, also
//! between members of different versions; serde attributes map them to the names in the code.

use cluster::message::{self, MessageKind};
use serde::{Deserialize, Serialize};

/// First byte of an encoded raft message.
const RAFT_ENCODING: u8 = 1;
/// First byte of a message encoded as JSON.
const JSON_ENCODING: u8 = 2;

/// Message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Sender of the message.
    pub from: Sender,
    /// Content of the message.
    pub body: Body,
}

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the member.
    pub name: String,
    /// Address on which the member listens for other members.
    pub address: String,
    /// Raft node id of the member; 0 before it has joined.
    pub id: u64,
    /// Id of the member's cluster; empty before it has joined.
    pub cluster: String,
}

/// Reason why the leader rejected a join request, as text.
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
    /// Message from node to node, with the raft node id of the receiver.
    Node(u64, message::Message),
    /// Request for the leader of an existing cluster.
    #[serde(rename = "ask")]
    DiscoveryRequest {
        /// Names of the members in the sender's settings, including its own. Members that create a cluster must agree on them.
        names: Vec<String>,
    },
    /// Response to a discovery request.
    #[serde(rename = "tell")]
    DiscoveryReply {
        /// Name and address of the leader, if known.
        leader: Option<(String, String)>,
        /// Names of the members in the sender's settings, including its own.
        names: Vec<String>,
    },
    /// Request to join the cluster.
    Join {
        /// Zone of the joining member.
        zone: String,
        /// Random number drawn by the joining process; the same in repeated requests.
        #[serde(default, rename = "drawn")]
        nonce: u64,
    },
    /// Response to a join request: the raft node id of the new member.
    #[serde(rename = "joined")]
    JoinReply(Result<u64, JoinError>),
    /// Call to the leader: id and payload.
    Call(String, String),
    /// Notice that the receiver belongs to another cluster; contains the id of the sender's cluster.
    #[serde(rename = "foreign")]
    ForeignCluster(String),
    /// Response to a call: id and result.
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
    pub fn encode(&self) -> Vec<u8> {
        if let Body::Node(to, message::Message::Raft(raft)) = &self.body
            && let Ok(from) = serde_json::to_vec(&self.from)
        {
            return encode_raft(&from, *to, raft);
        }
        let mut bytes = vec![JSON_ENCODING];
        // Infallible: serializes strings and numbers to memory.
        let _ = serde_json::to_writer(&mut bytes, &(&self.from, &self.body));
        bytes
    }

    /// Decodes a message; `None` if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (encoding, encoded) = bytes.split_first()?;
        match *encoding {
            JSON_ENCODING => {
                let (from, body) = serde_json::from_slice(encoded).ok()?;
                Some(Message { from, body })
            }
            RAFT_ENCODING => decode_raft(encoded),
            _ => None,
        }
    }
}

fn encode_raft(from: &[u8], to: u64, raft: &[u8]) -> Vec<u8> {
    let mut bytes = vec![RAFT_ENCODING];
    bytes.extend((from.len() as u32).to_le_bytes());
    bytes.extend(from);
    bytes.extend(to.to_le_bytes());
    bytes.extend(raft);
    bytes
}

fn decode_raft(encoded: &[u8]) -> Option<Message> {
    let (from_length, rest) = encoded.split_first_chunk::<4>()?;
    let from_length = u32::from_le_bytes(*from_length) as usize;
    let (from, rest) = rest.split_at_checked(from_length)?;
    let (to, raft) = rest.split_first_chunk::<8>()?;
    let from = serde_json::from_slice(from).ok()?;
    let to = u64::from_le_bytes(*to);
    let raft = message::Message::Raft(raft.to_vec());
    Some(Message {
        from,
        body: Body::Node(to, raft),
    })
}
