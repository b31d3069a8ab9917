//! What members write to each other.

use cluster::message::{self, MessageKind};
use serde::{Deserialize, Serialize};

/// A message, with who wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Who wrote it.
    pub from: Sender,
    /// What it says.
    pub body: Body,
}

/// Who writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its number; 0 before it is a member.
    pub id: u64,
    /// The cluster's own id; empty before it is a member.
    pub cluster: String,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// From one member's part to another's, by its number.
    Node(u64, message::Message),
    /// One that is no member asks whether there is a cluster, and who leads it.
    Ask {
        /// The members that its file names, with its own name, so that those who found a cluster mean the same one.
        names: Vec<String>,
    },
    /// The answer.
    Tell {
        /// The name and address of the one that leads, if it is known.
        leader: Option<(String, String)>,
        /// The names of those that the file names, where there is no cluster yet.
        names: Vec<String>,
    },
    /// It wants to join.
    Join {
        /// Where it stands.
        zone: String,
        /// What it drew; it asks again with the same.
        #[serde(default)]
        drawn: u64,
    },
    /// It has joined, under this number; or why it has not.
    Joined(Result<u64, String>),
    /// A call for the one that leads, by its id.
    Call(String, String),
    /// Whoever wrote is of another cluster than this one.
    Foreign(String),
    /// Its answer.
    Reply(String, Result<String, String>),
}

/// The first byte of a message: the log's own messages go as they are, all others as JSON.
const LOG: u8 = 1;
const JSON: u8 = 2;

impl Message {
    /// What it is about.
    pub fn kind(&self) -> MessageKind {
        match &self.body {
            Body::Node(_, message) => message.kind(),
            _ => MessageKind::Other,
        }
    }

    /// The message's bytes.
    pub fn write(&self) -> Vec<u8> {
        if let Body::Node(to, message::Message::Raft(log)) = &self.body
            && let Ok(from) = serde_json::to_vec(&self.from)
        {
            let mut bytes = vec![LOG];
            bytes.extend((from.len() as u32).to_le_bytes());
            bytes.extend(from);
            bytes.extend(to.to_le_bytes());
            bytes.extend(log);
            return bytes;
        }
        let mut bytes = vec![JSON];
        // Names and numbers alone: nothing in it fails to be written.
        let _ = serde_json::to_writer(&mut bytes, &(&self.from, &self.body));
        bytes
    }

    /// A message from its bytes; none if it is no message.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (kind, rest) = bytes.split_first()?;
        if *kind == JSON {
            let (from, body) = serde_json::from_slice(rest).ok()?;
            return Some(Message { from, body });
        }
        if *kind != LOG {
            return None;
        }
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (from, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        let (to, log) = rest.split_first_chunk::<8>()?;
        let body = Body::Node(
            u64::from_le_bytes(*to),
            message::Message::Raft(log.to_vec()),
        );
        Some(Message {
            from: serde_json::from_slice(from).ok()?,
            body,
        })
    }
}
