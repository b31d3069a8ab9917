//! Detection of amnesia: a member whose disk was lost or restored from a copy has forgotten entries that it acknowledged and votes
//! that it gave.
//!
//! Until a member's disk is confirmed to be its newest it votes for nobody. It is confirmed by all other voters, by a leader whose
//! term has committed an entry that the disk has, or by an operator.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::DiskCheckReply;
use crate::rules::Micros;

/// Interval at which a member asks the voters to confirm its disk.
const CHECK_INTERVAL: Micros = 200_000;

/// Check of this member's own disk, and its knowledge of what other members have acknowledged.
pub(crate) struct AmnesiaCheck {
    own_id: u64,
    is_confirmed: bool,
    /// Voters that know of nothing that this member has forgotten.
    confirmed_by: BTreeSet<u64>,
    /// Newest term in which this member may have given a vote that it has forgotten, as far as its confirmation tells.
    last_forgettable_vote_term: u64,
    next_check: Micros,
    /// Indexes that other members have acknowledged to this one while it led, by raft node id. Their disks may be restored later.
    acknowledged: BTreeMap<u64, u64>,
    has_amnesia: bool,
}

impl AmnesiaCheck {
    /// Creates the state of a member that has started.
    pub fn new(
        own_id: u64,
        is_confirmed: bool,
        acknowledged: BTreeMap<u64, u64>,
        now: Micros,
    ) -> Self {
        AmnesiaCheck {
            own_id,
            is_confirmed,
            confirmed_by: BTreeSet::new(),
            last_forgettable_vote_term: 0,
            next_check: now,
            acknowledged,
            has_amnesia: false,
        }
    }

    /// Reports if the disk is confirmed to be the member's newest.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Reports if the disk is confirmed or no other voter exists that could remember more.
    pub fn is_trusted(&self, voters: &[u64]) -> bool {
        self.is_confirmed || voters.iter().all(|id| *id == self.own_id)
    }

    /// Reports if this member may vote in a term.
    pub fn may_vote(&self, term: u64, voters: &[u64]) -> bool {
        self.is_trusted(voters) && term > self.last_forgettable_vote_term
    }

    /// Reports if the voters are to be asked now, and schedules the next time.
    pub fn begin_check(&mut self, now: Micros) -> bool {
        let is_due = !self.is_confirmed && now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Confirms the disk by a voter's reply, once all other voters have replied.
    pub fn record_reply(&mut self, from: u64, reply: &DiskCheckReply, voters: &[u64]) {
        // A voter that knows other voters may know of later terms, of which this member knows nothing.
        if self.is_confirmed || reply.voters != voters {
            return;
        }
        self.last_forgettable_vote_term = self.last_forgettable_vote_term.max(reply.term);
        self.confirmed_by.insert(from);
        self.is_confirmed = voters
            .iter()
            .all(|id| *id == self.own_id || self.confirmed_by.contains(id));
    }

    /// Confirms the disk by a committed entry of a leader's term. The leader was elected without this member's vote, but the member
    /// may have voted in that term before it forgot.
    ///
    /// Open: a later term that a voter's reply named is overwritten, so a vote forgotten in that term is not excluded any more. It
    /// takes a leader that does not know yet of the later term; nothing here proves that none can be.
    pub fn confirm_by_leader(&mut self, term: u64) {
        self.is_confirmed = true;
        self.last_forgettable_vote_term = term;
    }

    /// Confirms the disk by an operator's decision.
    pub fn confirm_by_operator(&mut self) {
        self.is_confirmed = true;
    }

    /// Reports if amnesia was detected.
    pub fn has_amnesia(&self) -> bool {
        self.has_amnesia
    }

    /// Records that amnesia was detected; returns if it is new.
    pub fn record_amnesia(&mut self) -> bool {
        let is_new = !self.has_amnesia;
        self.has_amnesia = true;
        is_new
    }

    /// Returns the index that a member is known to have acknowledged, 0 if none.
    pub fn acknowledged_by(&self, id: u64) -> u64 {
        self.acknowledged.get(&id).copied().unwrap_or(0)
    }

    /// Records what the other members have acknowledged. Returns the encoded record if it differs from the last one.
    pub fn record_acknowledged(&mut self, matched: BTreeMap<u64, u64>) -> Option<Vec<u8>> {
        let mut acknowledged = self.acknowledged.clone();
        acknowledged.retain(|id, _| matched.contains_key(id));
        for (id, index) in matched {
            let known = acknowledged.entry(id).or_default();
            *known = (*known).max(index);
        }
        if acknowledged == self.acknowledged {
            return None;
        }
        self.acknowledged = acknowledged;
        serde_json::to_vec(&self.acknowledged).ok()
    }
}
