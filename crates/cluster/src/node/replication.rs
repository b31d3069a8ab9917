//! Replication of a member's log: raft messages, persistence, application of committed entries, snapshots, and the tasks of a leader.

use raft::eraftpb::{Entry, MessageType, Snapshot};
use raft::{Ready, StateRole};

use crate::codec::{DecodedEntry, LogPosition, SnapshotContent, decode, encode};
use crate::command::Command;
use crate::lease_table::LeaseTable;
use crate::message::Message;
use crate::output::Output;
use crate::persistence::{EncodedSnapshot, Persist};
use crate::rules::Micros;
use crate::state_machine::{Effect, Outcome};

use super::raft_adapter::snapshot_of;
use super::voter_placement::VoterPlacement;
use super::{Node, TICK_INTERVAL};

impl Node {
    /// Compacts the log with the application's state as of the matching [`Output::SnapshotNeeded`].
    pub fn compact(&mut self, now: Micros, application_state: String) {
        let Some(snapshot) = self.compaction.finish(application_state, self.raft.log()) else {
            return;
        };
        let persist = Persist {
            snapshot: Some(encode_snapshot(&snapshot)),
            ..Persist::default()
        };
        self.raft.log_mut().compact(snapshot);
        self.outputs.push(Output::Persist(persist));
        self.advance(now);
    }

    pub(super) fn receive_raft(&mut self, from: u64, bytes: &[u8]) {
        let Ok(message) = decode::<raft::eraftpb::Message>(bytes) else {
            return;
        };
        let is_addressed = message.from == from && message.to == self.id();
        if !is_addressed || self.is_removed(from) || !self.may_step(&message) {
            return;
        }
        self.raft.step(message);
    }

    /// Returns true if a member was removed. An id that is not assigned yet may belong to a member that this one has not learned of.
    fn is_removed(&self, id: u64) -> bool {
        self.state_machine.as_ref().is_some_and(|state_machine| {
            id < state_machine.next_id && state_machine.name_of(id).is_none()
        })
    }

    /// Returns true if raft may process a message. A leader's heartbeat with a commit index beyond the log reveals amnesia, which raft
    /// can't handle.
    fn may_step(&mut self, message: &raft::eraftpb::Message) -> bool {
        match message.msg_type {
            MessageType::MsgHeartbeat
                if message.commit > self.raft.last_index() && message.term >= self.raft.term() =>
            {
                self.detect_amnesia(message.commit);
                false
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => self
                .amnesia_check
                .may_vote(message.term, &self.raft.voters()),
            // A leader that is not among the voters of the log on disk is asked here only.
            MessageType::MsgAppend | MessageType::MsgSnapshot
                if !self.amnesia_check.may_append_from(message.from) =>
            {
                self.send(message.from, Message::DiskCheck);
                false
            }
            // Raft would start an election and vote for this member.
            MessageType::MsgTimeoutNow => self.is_disk_confirmed(),
            _ => true,
        }
    }

    /// Creates the lease table when this member becomes the leader, and drops it when it steps down.
    pub(super) fn follow_role(&mut self, now: Micros) {
        let role = self.raft.role();
        if role != self.last_role {
            self.last_role = role;
            self.raft.randomize_election_timeout(&mut self.random);
        }
        let leads = role.state == StateRole::Leader && self.applied.term == role.term;
        match (&self.lease_table, &self.state_machine) {
            (None, Some(state_machine)) if leads => {
                let table = LeaseTable::new(now, state_machine, &state_machine.rules);
                self.lease_table = Some(table);
                self.next_report = now;
            }
            (Some(_), _) if !leads => {
                self.lease_table = None;
                let reads = self.reads.cancel();
                if !reads.is_empty() {
                    self.outputs.push(Output::ReadsRejected(reads));
                }
            }
            _ => {}
        }
    }

    /// Proposes the next change of voters, if one is due. A rejected proposal is retried later.
    pub(super) fn place_voters(&mut self, now: Micros) {
        let (Some(table), Some(state_machine)) = (&self.lease_table, &self.state_machine) else {
            return;
        };
        let has_enough_voters = self.raft.voters().len() >= state_machine.rules.voters;
        // The check iterates over all members, which is too expensive for each message.
        if has_enough_voters && now < self.next_voter_check {
            return;
        }
        self.next_voter_check = now + TICK_INTERVAL;
        if self.raft.has_pending_configuration_change() {
            return;
        }
        let placement = VoterPlacement::new(&self.raft, table, state_machine, now);
        if let Some(change) = placement.next_change() {
            let _ = self.raft.propose_configuration(&[change], None);
        }
    }

    /// Proposes the next command of the change in progress.
    pub(super) fn drive_change(&mut self, now: Micros) {
        let (Some(table), Some(state_machine)) = (&mut self.lease_table, &self.state_machine)
        else {
            return;
        };
        let Some(command) = table.next_command(now, state_machine) else {
            return;
        };
        if self.raft.propose(&command).is_err() {
            table.proposal_rejected();
        }
    }

    /// Starts a confirmation of leadership if reads or reports wait for one and none is running.
    pub(super) fn begin_confirmation(&mut self) {
        let Some(table) = &mut self.lease_table else {
            return;
        };
        let is_needed = table.has_pending_reports() || self.reads.has_waiting_reads();
        if self.reads.is_running() || !is_needed {
            return;
        }
        let round = self.reads.begin_round(table.take_pending_reports());
        self.raft.request_read_index(round);
    }

    fn end_confirmation(&mut self, now: Micros) {
        let Some(round) = self.reads.take_finished(self.applied.index) else {
            return;
        };
        let grants = match (&mut self.lease_table, &self.state_machine) {
            (Some(table), Some(state_machine)) => {
                table.grant_leases(now, &round.reports, state_machine)
            }
            _ => Vec::new(),
        };
        for addressed in grants {
            if addressed.to == self.id() {
                self.receive_grant(&addressed.grant);
            } else {
                self.send(addressed.to, Message::Grant(addressed.grant));
            }
        }
        if !round.reads.is_empty() {
            self.outputs.push(Output::ReadsConfirmed(round.reads));
        }
    }

    /// Processes one [`Ready`] of raft, in the order that the library requires.
    pub(super) fn process_ready(&mut self, now: Micros, mut ready: Ready) {
        self.send_raft_messages(ready.take_messages());
        for state in ready.take_read_states() {
            self.reads
                .record_read_index(&state.request_ctx, state.index);
        }
        self.persist_ready(&ready);
        self.send_raft_messages(ready.take_persisted_messages());
        self.apply_entries(now, &ready.take_committed_entries());
        let mut light = self.raft.advance(ready);
        if let Some(index) = light.commit_index() {
            // Not persisted separately: a restarted member learns the commit index from the leader.
            self.raft.log_mut().set_commit_index(index);
        }
        self.send_raft_messages(light.take_messages());
        self.apply_entries(now, &light.take_committed_entries());
        self.raft.advance_apply();
        self.end_confirmation(now);
    }

    fn persist_ready(&mut self, ready: &Ready) {
        let mut persist = Persist::default();
        if let Some(snapshot) = snapshot_of(ready) {
            persist.snapshot = Some(encode_snapshot(snapshot));
            persist.replaces_log = true;
            self.restore_snapshot(snapshot);
        }
        persist.entries = ready
            .entries()
            .iter()
            .map(|entry| (entry.index, encode(entry)))
            .collect();
        self.raft.log_mut().append(ready.entries());
        if let Some(hard_state) = ready.hs() {
            persist.hard_state = Some(encode(hard_state));
            self.raft.log_mut().set_hard_state(hard_state.clone());
        }
        if persist != Persist::default() {
            // Persisted only along with other state, and so may lag by one write.
            persist.acknowledged = self.changed_acknowledgements();
            self.outputs.push(Output::Persist(persist));
        }
    }

    fn changed_acknowledgements(&mut self) -> Option<Vec<u8>> {
        if self.raft.role().state != StateRole::Leader {
            return None;
        }
        let matched = self.raft.matched_indexes_of_others();
        self.amnesia_check.record_acknowledged(matched)
    }

    fn send_raft_messages(&mut self, messages: Vec<raft::eraftpb::Message>) {
        for message in messages {
            self.send(message.to, Message::Raft(encode(&message)));
        }
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        self.applied = LogPosition::of_snapshot(snapshot);
        if let Ok(content) = SnapshotContent::read(snapshot) {
            self.restore_content(content);
        }
        self.raft.log_mut().restore(snapshot.clone());
    }

    /// Replaces the state machine and the application's state by those of a snapshot.
    pub(super) fn restore_content(&mut self, content: SnapshotContent) {
        let rules = &content.state_machine.rules;
        self.lease.set_durations(rules.lease, rules.change_lease);
        self.outputs.push(Output::Restore {
            state_machine: content.state_machine.clone(),
            application_state: content.application_state,
        });
        self.state_machine = Some(content.state_machine);
    }

    fn apply_entries(&mut self, now: Micros, entries: &[Entry]) {
        for entry in entries {
            self.applied = LogPosition {
                index: entry.index,
                term: entry.term,
            };
            let decoded = DecodedEntry::of(entry);
            if let Some(change) = &decoded.configuration_change {
                self.raft.apply_configuration(change);
            }
            if let Some(command) = &decoded.command {
                self.apply_command(command);
            }
            self.follow_role(now);
        }
        self.request_snapshot();
    }

    fn apply_command(&mut self, command: &Command) {
        let Some(state_machine) = &mut self.state_machine else {
            return;
        };
        let first_unused_id = state_machine.next_id;
        let effects = state_machine.apply(command);
        if let Some(table) = &mut self.lease_table {
            if effects.contains(&Effect::MembersChanged) {
                table.update_members(state_machine);
            }
            if let Command::AddMember { member, .. } = command
                && member.id >= first_unused_id
            {
                table.member_added(member.id);
            }
        }
        for effect in effects {
            if let Effect::Completed {
                id,
                outcome: Outcome::Aborted(_),
            } = &effect
            {
                self.lease.change_aborted(id);
            }
            self.outputs.push(Output::Effect(effect));
        }
    }

    /// Requests the application's state if a snapshot is due.
    pub(super) fn request_snapshot(&mut self) {
        let Some(state_machine) = &self.state_machine else {
            return;
        };
        if !self.compaction.is_due(self.applied.index, self.raft.log()) {
            return;
        }
        self.raft.log().snapshot_requested();
        let configuration = self.raft.configuration();
        self.compaction
            .request_state(state_machine.clone(), self.applied, configuration);
        self.outputs.push(Output::SnapshotNeeded);
    }
}

fn encode_snapshot(snapshot: &Snapshot) -> EncodedSnapshot {
    EncodedSnapshot {
        index: snapshot.get_metadata().index,
        bytes: encode(snapshot),
    }
}
