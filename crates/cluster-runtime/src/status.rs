//! How a cluster looks from one of its members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How the cluster looks from one member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// This member's name, and its number.
    pub name: String,
    /// As above.
    pub id: u64,
    /// The cluster's own id.
    pub cluster: String,
    /// Who leads.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
    /// The term of leading, and how far the log is applied.
    pub term: u64,
    /// As above.
    pub applied: u64,
    /// The version in effect.
    pub version: u64,
    /// What this member decides under; none if it is fenced.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub decides: Option<u64>,
    /// Why it is fenced.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub fenced: Option<String>,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The change under way.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub change: Option<ChangeStatus>,
    /// It does not know yet whether its disk is its newest, and votes for nobody.
    #[serde(default)]
    pub unproven: bool,
    /// Its disk was found to have been put back from a copy since the start, and it has joined anew.
    #[serde(default)]
    pub put_back: bool,
    /// Messages sent, their bytes, messages dropped, and links ended for rubbish.
    pub messages: [u64; 4],
    /// Messages sent and their bytes, by kind; kinds of which nothing was sent are left out.
    #[serde(default)]
    pub sent: BTreeMap<String, [u64; 2]>,
    /// Changes whose end was heard of here since the start: in effect, and given up.
    #[serde(default)]
    pub changes: [u64; 2],
}

/// One member, as the one that leads sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its number.
    pub id: u64,
    /// Where it stands.
    pub zone: String,
    /// Where it listens.
    pub address: String,
    /// Whether it has a vote.
    pub votes: bool,
    /// The version that it serves, as it last said.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<u64>,
    /// When it was last heard, in ms.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub heard_ms: Option<u64>,
    /// For so long it may still decide at most, in ms; none if it surely does not, and -1 if until it says otherwise.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub holds_ms: Option<i64>,
}

/// A change under way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeStatus {
    /// Its id.
    pub id: String,
    /// `checking` or `closing`.
    pub phase: String,
    /// The members that it waits for.
    pub waits_for: Vec<String>,
}
