//! Readiness conditions as the driver of a startup observes them.

/// Membership of the instance in the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// The instance has not joined the cluster.
    #[default]
    NotJoined,
    /// The instance has joined and knows no leader.
    Leaderless,
    /// The instance has joined and knows the leader.
    Led,
}

impl Membership {
    /// Creates a membership from what the instance knows; without having joined, a known leader does not count.
    pub fn new(has_joined: bool, has_leader: bool) -> Self {
        match (has_joined, has_leader) {
            (false, _) => Membership::NotJoined,
            (true, false) => Membership::Leaderless,
            (true, true) => Membership::Led,
        }
    }
}

/// Readiness conditions at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Membership in the cluster.
    pub membership: Membership,
    /// Set if the policy is known to be the one in effect.
    pub is_policy_current: bool,
    /// Names of tenants whose endpoint list is not known to be current.
    pub unknown_lists: Vec<String>,
}
