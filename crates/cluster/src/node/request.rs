//! Parameters of requests to a member.

/// Kind of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalKind {
    /// A change, which every member validates and which creates a version.
    Change,
    /// A payload that affects no decision and is only stored.
    Storage,
}

/// Request to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinRequest<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Address on which the member listens for other members.
    pub address: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Random number, the same for all retries of a join.
    pub nonce: u64,
}
