//! Readiness conditions observed by the caller of a startup.

/// Membership of the instance in the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// The instance has not joined the cluster.
    #[default]
    NotJoined,
    /// The instance has joined the cluster and knows no leader.
    Leaderless,
    /// The instance has joined the cluster and knows the leader.
    Led,
}

impl Membership {
    /// Derives the membership; ignores a leader that is known before the instance has joined.
    pub fn new(has_joined: bool, has_leader: bool) -> Self {
        match (has_joined, has_leader) {
            (false, _) => Membership::NotJoined,
            (true, false) => Membership::Leaderless,
            (true, true) => Membership::Led,
        }
    }
}

/// Readiness conditions at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Membership in the cluster.
    pub membership: Membership,
    /// Set if the instance's policy is known to be the one in effect.
    pub is_policy_current: bool,
    /// Names of tenants whose endpoint list is not known to be current.
    pub unknown_lists: Vec<String>,
}
