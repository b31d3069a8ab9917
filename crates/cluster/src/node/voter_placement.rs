//! Selection of voters: as many as the rules require, spread over as many zones as possible, without unresponsive members.

use std::collections::BTreeMap;

use crate::lease_table::LeaseTable;
use crate::rules::Micros;
use crate::state_machine::StateMachine;

use super::raft_adapter::{ConfigurationChange, RaftAdapter};

/// A learner that may become a voter. The ordering prefers zones with few voters.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    voters_in_zone: usize,
    id: u64,
}

/// The leader's view of the members, used to select voters.
pub(super) struct VoterPlacement<'a> {
    raft: &'a RaftAdapter,
    lease_table: &'a LeaseTable,
    state_machine: &'a StateMachine,
    voters: Vec<u64>,
    /// Zones by raft node id, which avoids a search through all members for each lookup.
    zones: BTreeMap<u64, &'a str>,
    now: Micros,
}

impl<'a> VoterPlacement<'a> {
    /// Creates a view at `now`.
    pub fn new(
        raft: &'a RaftAdapter,
        lease_table: &'a LeaseTable,
        state_machine: &'a StateMachine,
        now: Micros,
    ) -> Self {
        VoterPlacement {
            raft,
            lease_table,
            state_machine,
            voters: raft.voters(),
            zones: state_machine
                .members
                .values()
                .map(|member| (member.id, member.zone.as_str()))
                .collect(),
            now,
        }
    }

    /// Returns the next single change of the voters. A replacement adds the new voter before it demotes the old one, so that the number of
    /// connected voters never decreases.
    pub fn next_change(&self) -> Option<ConfigurationChange> {
        let target = self.state_machine.rules.voters;
        let best = self.best_candidate();
        let promotion = best.map(|candidate| ConfigurationChange::AddVoter(candidate.id));
        if self.voters.len() < target {
            return promotion;
        }
        if self.voters.len() > target {
            return self.redundant_voter().map(ConfigurationChange::AddLearner);
        }
        let spreads_zones = best.is_some_and(|candidate| candidate.voters_in_zone == 0)
            && self.voters.iter().any(|id| self.shares_zone(*id));
        promotion.filter(|_| self.unresponsive_voter().is_some() || spreads_zones)
    }

    fn best_candidate(&self) -> Option<Candidate> {
        self.state_machine
            .members
            .values()
            .filter(|member| !self.voters.contains(&member.id))
            .filter(|member| self.raft.is_caught_up(member.id) && !self.is_unresponsive(member.id))
            .map(|member| Candidate {
                voters_in_zone: self.voters_in_zone(Some(&member.zone)),
                id: member.id,
            })
            .min()
    }

    /// Returns the voter to demote: an unresponsive one, else one of a zone with several voters, else any but the leader.
    fn redundant_voter(&self) -> Option<u64> {
        let newest_first = || self.voters.iter().rev().copied();
        self.unresponsive_voter()
            .or_else(|| newest_first().find(|id| self.shares_zone(*id)))
            .or_else(|| newest_first().find(|id| *id != self.raft.id()))
    }

    fn unresponsive_voter(&self) -> Option<u64> {
        self.voters
            .iter()
            .copied()
            .find(|id| self.is_unresponsive(*id))
    }

    fn is_unresponsive(&self, id: u64) -> bool {
        id != self.raft.id() && self.lease_table.is_unresponsive(self.now, id)
    }

    /// Returns true if a voter other than the leader shares its zone with another connected voter.
    fn shares_zone(&self, id: u64) -> bool {
        id != self.raft.id() && self.voters_in_zone(self.zone_of(id)) > 1
    }

    fn voters_in_zone(&self, zone: Option<&str>) -> usize {
        self.voters
            .iter()
            .filter(|id| !self.is_unresponsive(**id) && self.zone_of(**id) == zone)
            .count()
    }

    fn zone_of(&self, id: u64) -> Option<&str> {
        self.zones.get(&id).copied()
    }
}
