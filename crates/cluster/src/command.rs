//! Commands of the replicated log and their parameters. They are stored as JSON; serde attributes keep the stored names.

use serde::{Deserialize, Serialize};

/// A member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Raft node id. A member that lost its disk gets a new id, so that it can't vote twice in a term.
    pub id: u64,
    /// Address on which the member listens for other members.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Random number drawn by the joining member. A repeated join with the same nonce is a retry; another nonce means that the member
    /// lost its disk.
    #[serde(default, rename = "drawn")]
    pub join_nonce: u64,
}

/// A payload to replicate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Id chosen by the caller; a retry has the same id.
    pub id: String,
    /// Revision on which the proposal is based; if it is not the current one, the proposal conflicts.
    #[serde(rename = "base")]
    pub base_revision: u64,
    /// Content, opaque to the cluster.
    pub payload: String,
}

/// Reason why a change was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortReason {
    /// Name of the member that could not accept the change; empty if the reason concerns no single member.
    #[serde(rename = "by")]
    pub member: String,
    /// Explanation for the operator.
    #[serde(rename = "why")]
    pub detail: String,
}

impl AbortReason {
    /// Creates a reason for `member`.
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
        /// Description of the member.
        member: Member,
    },
    /// Removes a member.
    #[serde(rename = "leave")]
    RemoveMember {
        /// Name of the member.
        name: String,
        /// Raft node id of the member, so that a later member of the same name is not removed.
        id: u64,
    },
    /// Proposes a change, which each member validates.
    #[serde(rename = "propose")]
    Propose(Proposal),
    /// Stops all decisions under the current version. Proposed once every member has accepted the change.
    #[serde(rename = "close")]
    Fence {
        /// Id of the change.
        change: String,
    },
    /// Puts the new version into effect. Proposed once no member decides under the previous one.
    #[serde(rename = "open")]
    Activate {
        /// Id of the change.
        change: String,
    },
    /// Aborts a change, which then takes effect on no member. Ignored once the change is fencing.
    #[serde(rename = "give-up")]
    Abort {
        /// Id of the change.
        change: String,
        /// Reasons, by member.
        #[serde(rename = "why")]
        reasons: Vec<AbortReason>,
    },
    /// Stores a payload that affects no decision, such as a token.
    #[serde(rename = "note")]
    Store(Proposal),
}
