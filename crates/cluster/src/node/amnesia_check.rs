//! Detection of amnesia: a member whose disk was lost or restored from a copy lacks entries that it has acknowledged and does not know
//! of votes that it has cast.
//!
//! A member does not vote until its disk is confirmed to have its latest state. The disk is confirmed by all other voters or by an
//! operator. A leader alone can't confirm it: the member may have voted in a later term, which the leader does not know of.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::DiskCheckReply;
use crate::rules::Micros;

/// Interval between requests to the voters to confirm the disk.
const CHECK_INTERVAL: Micros = 200_000;

/// Check of this member's own disk, and record of the entries that other members have acknowledged.
pub(crate) struct AmnesiaCheck {
    own_id: u64,
    is_confirmed: bool,
    /// Voters that know of no acknowledged entry that this member's disk lacks.
    confirmed_by: BTreeSet<u64>,
    /// Members whose record has been compared with this member's log.
    compared_with: BTreeSet<u64>,
    /// Latest term, according to the confirmation, in which this member may have cast a vote that it has lost.
    latest_forgotten_vote_term: u64,
    next_check: Micros,
    /// Indexes that other members have acknowledged to this one while it was the leader, by raft node id. Used to check their disks when
    /// they restart.
    acknowledged: BTreeMap<u64, u64>,
    has_amnesia: bool,
}

impl AmnesiaCheck {
    /// Creates the check of a member that has started.
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
            compared_with: BTreeSet::new(),
            latest_forgotten_vote_term: 0,
            next_check: now,
            acknowledged,
            has_amnesia: false,
        }
    }

    /// Returns true if the disk is confirmed, or if there is no other voter that could know of later state.
    pub fn is_trusted(&self, voters: &[u64]) -> bool {
        self.is_confirmed || voters.iter().all(|id| *id == self.own_id)
    }

    /// Returns true if this member may vote in a term.
    pub fn may_vote(&self, term: u64, voters: &[u64]) -> bool {
        self.is_trusted(voters) && term > self.latest_forgotten_vote_term
    }

    /// Returns true if this member may receive entries from a leader. Before the leader's record has been compared with the log, they
    /// could fill the gap by which amnesia is detected.
    pub fn may_append_from(&self, leader: u64) -> bool {
        self.is_confirmed || self.compared_with.contains(&leader)
    }

    /// Returns true if a request to the voters is due, and schedules the next one.
    pub fn begin_check(&mut self, now: Micros) -> bool {
        let is_due = !self.is_confirmed && now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Records a voter's reply, and confirms the disk once all other voters have replied.
    pub fn record_reply(&mut self, from: u64, reply: &DiskCheckReply, voters: &[u64]) {
        self.compared_with.insert(from);
        // A voter with another set of voters may know of later terms, which this member has not seen.
        if self.is_confirmed || reply.voters != voters {
            return;
        }
        self.latest_forgotten_vote_term = self.latest_forgotten_vote_term.max(reply.term);
        self.confirmed_by.insert(from);
        self.is_confirmed = voters
            .iter()
            .all(|id| *id == self.own_id || self.confirmed_by.contains(id));
    }

    /// Confirms the disk on behalf of an operator.
    pub fn confirm_by_operator(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns true if amnesia was detected.
    pub fn has_amnesia(&self) -> bool {
        self.has_amnesia
    }

    /// Records that amnesia was detected; returns true the first time.
    pub fn record_amnesia(&mut self) -> bool {
        let is_new = !self.has_amnesia;
        self.has_amnesia = true;
        is_new
    }

    /// Returns the last index that a member is known to have acknowledged, or 0.
    pub fn acknowledged_by(&self, id: u64) -> u64 {
        self.acknowledged.get(&id).copied().unwrap_or(0)
    }

    /// Records the indexes that the other members have acknowledged. Returns the encoded record if it has changed.
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
