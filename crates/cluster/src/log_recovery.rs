//! Recovery after a permanent loss of the quorum: reads the log of one surviving member and creates a new cluster from it.
//!
//! The module does no I/O: the caller loads the log. Committed entries that the survivor never received are lost undetected.

use raft::eraftpb::{Entry, EntryType, HardState, Snapshot};

use crate::codec::{DecodedEntry, LogPosition, SnapshotContent, decode};
use crate::command::Member;
use crate::error::PersistedStateError;
use crate::persistence::PersistedState;
use crate::state_machine::{Effect, StateMachine, Version};

/// Number of versions in one epoch. A recovered cluster starts in the next epoch, so that it does not reuse a version as long as fewer
/// versions than this were created after the survivor's latest one.
pub const VERSIONS_PER_EPOCH: Version = 1_000_000;

/// Content of one member's log.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredLog {
    /// State after all entries, committed or not.
    pub state_machine: StateMachine,
    /// The application's state at the snapshot.
    pub application_state: String,
    /// Revision of `application_state`.
    pub application_revision: u64,
    /// Payloads stored after the snapshot, in order, including uncommitted ones.
    pub payloads: Vec<String>,
    /// Latest term.
    pub term: u64,
    /// Index of the last entry.
    pub last_index: u64,
    /// Index of the last entry known to be committed.
    pub committed_index: u64,
    /// Number of entries after `committed_index`. They are applied too, as a leader may have acknowledged them.
    pub uncommitted_entries: u64,
    /// Id of a change that was in progress. It is dropped in either phase, as no quorum is left to complete it.
    pub aborted_change: Option<String>,
}

/// Reads the log of a member whose process is not running.
///
/// # Errors
/// The state is damaged, or the member has never received the cluster's state.
pub fn recover_log(persisted: &PersistedState) -> Result<RecoveredLog, PersistedStateError> {
    let snapshot_bytes = persisted
        .snapshot
        .as_deref()
        .ok_or(PersistedStateError::NoSnapshot)?;
    let snapshot: Snapshot = decode(snapshot_bytes)?;
    let hard_state: HardState = decode(persisted.hard_state.as_deref().unwrap_or_default())?;
    let content = SnapshotContent::read(&snapshot)?;
    let snapshot_index = LogPosition::of_snapshot(&snapshot).index;
    let mut state_machine = content.state_machine;
    let application_revision = state_machine.revision;
    let mut payloads = Vec::new();
    let mut last_index = snapshot_index;
    for bytes in &persisted.entries {
        let entry: Entry = decode(bytes)?;
        last_index = entry.index;
        payloads.extend(apply_entry(&mut state_machine, &entry));
    }
    let committed_index = hard_state.commit.max(snapshot_index);
    let aborted_change = state_machine.change.take();
    Ok(RecoveredLog {
        state_machine,
        application_state: content.application_state,
        application_revision,
        payloads,
        term: hard_state.term,
        last_index,
        committed_index,
        uncommitted_entries: last_index.saturating_sub(committed_index),
        aborted_change: aborted_change.map(|change| change.proposal.id),
    })
}

/// Applies an entry and returns the payloads that it stored.
fn apply_entry(state_machine: &mut StateMachine, entry: &Entry) -> Vec<String> {
    let decoded = DecodedEntry::of(entry);
    let is_damaged =
        entry.get_entry_type() != EntryType::EntryNormal && decoded.configuration_change.is_none();
    let Some(command) = decoded.command.filter(|_| !is_damaged) else {
        return Vec::new();
    };
    let stored_payload = |effect| match effect {
        Effect::Activate { proposal, .. } | Effect::Store(proposal) => Some(proposal.payload),
        _ => None,
    };
    state_machine
        .apply(&command)
        .into_iter()
        .filter_map(stored_payload)
        .collect()
}

/// Returns the first version of the epoch that follows the one of `version`.
pub fn next_epoch(version: Version) -> Version {
    (version / VERSIONS_PER_EPOCH + 1) * VERSIONS_PER_EPOCH
}

/// Creates the state of a new cluster that continues from a recovered one with a single member. Raft node ids of the former members are
/// not reused.
pub fn restart_with_one_member(
    former: &StateMachine,
    cluster_id: String,
    name: String,
    member: Member,
    version: Version,
    revision: u64,
) -> StateMachine {
    let rules = former.rules.clone();
    let mut restarted = StateMachine::bootstrap(cluster_id, rules, name, member, version, revision);
    restarted.next_id = restarted.next_id.max(former.next_id);
    restarted
}
