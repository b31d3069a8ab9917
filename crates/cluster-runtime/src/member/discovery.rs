//! Discovery of an existing cluster by a member that has not joined, and agreement on the member that creates a new cluster. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};

use cluster::rules::Micros;

/// Interval between attempts of a member that has not joined.
const ATTEMPT_INTERVAL: Micros = 300_000;
/// Interval between attempts of a member without a leader.
const LEADERLESS_INTERVAL: Micros = 4 * ATTEMPT_INTERVAL;

/// Name and address of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerAddress {
    pub name: String,
    pub address: String,
}

/// Response of a member to a discovery request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DiscoveryReply {
    pub leader: Option<PeerAddress>,
    /// Names of the members in the replying member's settings, including its own.
    pub names: Vec<String>,
}

/// Next step of a member that has not joined.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum DiscoveryStep {
    /// All configured members have replied, none knows a cluster, and this one has to create it.
    BootstrapCluster,
    /// A leader is known; send it a join request.
    Join(PeerAddress),
    /// No leader is known yet.
    Wait,
}

/// Discovery state of one member.
pub(super) struct Discovery {
    own_name: String,
    /// Names of the members in this member's settings, including its own, sorted.
    names: Vec<String>,
    replies: BTreeMap<String, DiscoveryReply>,
    next_attempt_at: Micros,
    /// Random number by which the leader recognizes repeated join requests of the same process.
    pub join_nonce: u64,
}

impl Discovery {
    pub(super) fn new<'a>(own_name: &str, peers: impl Iterator<Item = &'a String>) -> Self {
        let mut names: BTreeSet<String> = peers.cloned().collect();
        names.insert(own_name.to_owned());
        Discovery {
            own_name: own_name.to_owned(),
            names: names.into_iter().collect(),
            replies: BTreeMap::new(),
            next_attempt_at: 0,
            join_nonce: fastrand::u64(1..),
        }
    }

    /// Returns the names of the members in this member's settings, including its own.
    pub(super) fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns true if an attempt of a member that has not joined is due, and schedules the next one.
    pub(super) fn begin_attempt(&mut self, now: Micros) -> bool {
        self.begin_attempt_every(now, ATTEMPT_INTERVAL)
    }

    /// Returns true if an attempt of a member without a leader is due, and schedules the next one.
    pub(super) fn begin_leaderless_attempt(&mut self, now: Micros) -> bool {
        self.begin_attempt_every(now, LEADERLESS_INTERVAL)
    }

    fn begin_attempt_every(&mut self, now: Micros, interval: Micros) -> bool {
        let is_due = now >= self.next_attempt_at;
        if is_due {
            self.next_attempt_at = now + interval;
        }
        is_due
    }

    /// Records the response of a member.
    pub(super) fn record(&mut self, name: String, reply: DiscoveryReply) {
        self.replies.insert(name, reply);
    }

    /// Discards all responses and starts again at once, like a new process.
    pub(super) fn restart(&mut self) {
        self.next_attempt_at = 0;
        self.join_nonce = fastrand::u64(1..);
        self.replies.clear();
    }

    /// Returns the next step according to the responses received so far.
    pub(super) fn next_step(&self) -> DiscoveryStep {
        let is_first_by_name = self.names.first() == Some(&self.own_name);
        if is_first_by_name && self.names.iter().all(|name| self.agrees_to_bootstrap(name)) {
            return DiscoveryStep::BootstrapCluster;
        }
        let leader = self.replies.values().find_map(|reply| reply.leader.clone());
        leader.map_or(DiscoveryStep::Wait, DiscoveryStep::Join)
    }

    fn agrees_to_bootstrap(&self, name: &str) -> bool {
        if name == self.own_name {
            return true;
        }
        let reply = self.replies.get(name);
        reply.is_some_and(|reply| reply.leader.is_none() && reply.names == self.names)
    }
}
