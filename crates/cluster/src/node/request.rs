//! Parameters of requests to a member.

/// Kind of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalKind {
    /// A change, which every member validates and which becomes a version.
    Change,
    /// A payload that influences no decision and is only stored.
    Storage,
}

/// Request to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinRequest<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Address on which it listens for other members.
    pub address: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Random number that is the same in each retry.
    pub nonce: u64,
}
