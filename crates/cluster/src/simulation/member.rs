//! A simulated member: its process, clock and disk.

use crate::node::Node;
use crate::persistence::{Persist, PersistedState};
use crate::rules::Micros;

use super::event_queue::Event;

const PARTS_PER_MILLION: i64 = 1_000_000;

/// Simulated disk with a member's log.
#[derive(Clone, Default)]
pub(super) struct Disk {
    pub state: PersistedState,
    /// Index of the last entry that the snapshot covers.
    pub snapshot_index: u64,
}

impl Disk {
    /// Writes the state that a node has output.
    pub fn write(&mut self, persist: Persist) {
        if let Some(snapshot) = persist.snapshot {
            let covered = if persist.replaces_log {
                usize::MAX
            } else {
                snapshot.index.saturating_sub(self.snapshot_index) as usize
            };
            let covered = covered.min(self.state.entries.len());
            self.state.entries.drain(..covered);
            self.state.snapshot = Some(snapshot.bytes);
            self.snapshot_index = snapshot.index;
        }
        if let Some((first, _)) = persist.entries.first() {
            let kept = (first - 1 - self.snapshot_index) as usize;
            self.state.entries.truncate(kept);
        }
        let entries = persist.entries.into_iter().map(|(_, bytes)| bytes);
        self.state.entries.extend(entries);
        if let Some(hard_state) = persist.hard_state {
            self.state.hard_state = Some(hard_state);
        }
        if let Some(acknowledged) = persist.acknowledged {
            self.state.acknowledged = Some(acknowledged);
        }
    }
}

/// Copy of a member's disk.
pub struct DiskCopy {
    pub(super) id: u64,
    pub(super) disk: Disk,
}

impl DiskCopy {
    /// Returns the raft node id that the member had at the time of the copy.
    pub fn id(&self) -> u64 {
        self.id
    }
}

/// A simulated member.
pub(super) struct SimulatedMember {
    pub name: String,
    pub zone: String,
    /// Raft node id; 0 before the member has joined.
    pub id: u64,
    /// Node of the running or paused process.
    pub node: Option<Node>,
    pub disk: Disk,
    /// Set from the restore of the disk from a copy until the next start of the process.
    pub is_disk_restored: bool,
    /// Number of process starts.
    pub incarnation: u32,
    /// Deviation of the clock's rate from simulated time, in parts per million.
    pub clock_error_ppm: i64,
    pub is_paused: bool,
    /// Events that were due while the process was paused.
    pub deferred_events: Vec<Event>,
    /// Fault that the member reports for each change.
    pub validation_fault: Option<String>,
    /// Duration of a disk write.
    pub write_duration: Micros,
    /// Time at which all writes are complete; messages are sent after it.
    pub writes_done_at: Micros,
}

impl SimulatedMember {
    /// Creates a member that has not joined yet.
    pub fn new(index: usize, zones: usize, clock_error_ppm: i64, write_duration: Micros) -> Self {
        SimulatedMember {
            name: format!("i{index}"),
            zone: format!("z{}", index % zones.max(1)),
            id: 0,
            node: None,
            disk: Disk::default(),
            is_disk_restored: false,
            incarnation: 0,
            clock_error_ppm,
            is_paused: false,
            deferred_events: Vec::new(),
            validation_fault: None,
            write_duration,
            writes_done_at: 0,
        }
    }

    /// Returns true if the process is running and not paused.
    pub fn is_running(&self) -> bool {
        self.node.is_some() && !self.is_paused
    }

    /// Returns the time on the member's clock.
    pub fn clock(&self, now: Micros) -> Micros {
        let rate = PARTS_PER_MILLION + self.clock_error_ppm;
        (now as u128 * rate as u128 / PARTS_PER_MILLION as u128) as Micros
    }

    /// Writes to the disk; later messages wait for the write.
    pub fn write(&mut self, now: Micros, persist: Persist) {
        self.disk.write(persist);
        self.writes_done_at = self.writes_done_at.max(now) + self.write_duration;
    }
}
