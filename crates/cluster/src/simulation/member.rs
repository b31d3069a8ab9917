//! A simulated member: its process, clock and disk.

use crate::node::Node;
use crate::persistence::{Persist, PersistedState};
use crate::rules::Micros;

use super::event_queue::Event;

const MILLION: i64 = 1_000_000;

/// A disk that holds a member's log.
#[derive(Clone, Default)]
pub(super) struct Disk {
    pub state: PersistedState,
    /// Index of the last entry that the snapshot covers.
    pub snapshot_index: u64,
}

impl Disk {
    /// Writes what a node asks for.
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

/// Copy of a member's disk at some moment.
pub struct DiskCopy {
    pub(super) id: u64,
    pub(super) disk: Disk,
}

impl DiskCopy {
    /// Returns the raft node id of the member whose disk it is.
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
    /// The running process.
    pub node: Option<Node>,
    pub disk: Disk,
    /// Set after the disk was restored from a copy, until the process starts.
    pub is_disk_restored: bool,
    /// Number of the last process start.
    pub start: u32,
    /// Deviation of the clock's rate from true time, in parts per million.
    pub clock_error_ppm: i64,
    pub is_paused: bool,
    /// Events that came while the process was paused.
    pub deferred_events: Vec<Event>,
    /// Fault that the member finds in each change.
    pub validation_fault: Option<String>,
    /// Duration of a write.
    pub write_duration: Micros,
    /// Moment at which all writes are done; messages leave after it.
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
            start: 0,
            clock_error_ppm,
            is_paused: false,
            deferred_events: Vec::new(),
            validation_fault: None,
            write_duration,
            writes_done_at: 0,
        }
    }

    /// Reports if the process runs and is not paused.
    pub fn is_running(&self) -> bool {
        self.node.is_some() && !self.is_paused
    }

    /// Returns the time of the member's clock.
    pub fn clock(&self, now: Micros) -> Micros {
        let rate = MILLION + self.clock_error_ppm;
        (now as u128 * rate as u128 / MILLION as u128) as Micros
    }

    /// Writes to the disk; later messages wait for it.
    pub fn write(&mut self, now: Micros, persist: Persist) {
        self.disk.write(persist);
        self.writes_done_at = self.writes_done_at.max(now) + self.write_duration;
    }
}
