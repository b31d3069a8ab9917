//! Commands of the replicated log, and what they carry. Their JSON is stored in logs; its names are kept by serde attributes.

use serde::{Deserialize, Serialize};

/// A member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Raft node id. A member that lost its disk gets a new one, so that it never votes with a forgotten vote.
    pub id: u64,
    /// Address on which the member listens for other members.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Random number drawn by the joining member. A repeated join with the same nonce is a retry, not a lost disk.
    #[serde(default, rename = "drawn")]
    pub join_nonce: u64,
}

/// A payload to be replicated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Id drawn by the caller; a retry of the same call has the same id.
    pub id: String,
    /// Revision for which the proposal was made; it conflicts with any other.
    #[serde(rename = "base")]
    pub base_revision: u64,
    /// Content, opaque to the cluster.
    pub payload: String,
}

/// Reason for which a change was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortReason {
    /// Name of the member that could not accept the change; empty if it concerns no single member.
    #[serde(rename = "by")]
    pub member: String,
    /// Explanation for the operator.
    #[serde(rename = "why")]
    pub detail: String,
}

impl AbortReason {
    /// Creates a reason that a member gives.
    pub fn new(member: &str, detail: &str) -> Self {
        AbortReason {
            member: member.to_owned(),
            detail: detail.to_owned(),
        }
    }
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Adds a member, or replaces one that lost its disk.
    #[serde(rename = "join")]
    AddMember {
        /// Name of the member.
        name: String,
        /// The member.
        member: Member,
    },
    /// Removes a member.
    #[serde(rename = "leave")]
    RemoveMember {
        /// Name of the member.
        name: String,
        /// Raft node id of the member; a later member of the same name is not removed.
        id: u64,
    },
    /// Proposes a change, which each member validates.
    #[serde(rename = "propose")]
    Propose(Proposal),
    /// Ends all decisions under the present version, once every member can accept the change.
    #[serde(rename = "close")]
    Fence {
        /// Id of the change.
        change: String,
    },
    /// Puts the new version into effect, once no member decides under the former one.
    #[serde(rename = "open")]
    Activate {
        /// Id of the change.
        change: String,
    },
    /// Aborts a change, which then has no effect anywhere. Has no effect itself once the change is fencing.
    #[serde(rename = "give-up")]
    Abort {
        /// Id of the change.
        change: String,
        /// Reasons, by member.
        #[serde(rename = "why")]
        reasons: Vec<AbortReason>,
    },
    /// Stores a payload that influences no decision, such as a token.
    #[serde(rename = "note")]
    Store(Proposal),
}
