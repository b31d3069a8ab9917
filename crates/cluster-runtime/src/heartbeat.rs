//! Heartbeat file of a member's process, beside its log.
//!
//! The file `alive` names the boot of the machine and the moment at which the process last ran. A process that starts shortly after
//! that knows that its disk holds the newest log, without asking other members. Limit: a disk restored on the same machine within
//! [`FRESHNESS_LIMIT`], from a copy no older than that, also counts as the newest.

use std::path::{Path, PathBuf};

use cluster::rules::Micros;

use crate::clock;

/// Longest age of a heartbeat that proves a disk to be the newest.
pub const FRESHNESS_LIMIT: Micros = 60_000_000;
/// Interval between two heartbeats.
const WRITE_INTERVAL: Micros = 1_000_000;
const FILE_NAME: &str = "alive";

/// Heartbeat of this process, and the one that the process before it left.
pub struct ProcessHeartbeat {
    file: PathBuf,
    boot_id: String,
    /// Last heartbeat of the process before this one, if it is of the same boot.
    previous: Option<Micros>,
    next_write_at: Micros,
}

impl ProcessHeartbeat {
    /// Reads the heartbeat file in `directory`; a missing or damaged file counts as no heartbeat.
    pub fn read(directory: &Path) -> Self {
        let file = directory.join(FILE_NAME);
        let boot_id = boot_id();
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let previous = parse_heartbeat(&text, &boot_id);
        ProcessHeartbeat {
            file,
            boot_id,
            previous,
            next_write_at: 0,
        }
    }

    /// Returns true if the disk is known to hold the newest log of its process.
    pub fn is_disk_fresh(&self) -> bool {
        let Some(previous) = self.previous else {
            return false;
        };
        let age = clock::now().checked_sub(previous);
        age.is_some_and(|age| age <= FRESHNESS_LIMIT)
    }

    /// Writes a heartbeat if one is due. It is not synced: it need not outlast a crash of the machine.
    pub fn write_if_due(&mut self, now: Micros) {
        if now < self.next_write_at {
            return;
        }
        self.next_write_at = now + WRITE_INTERVAL;
        let line = format!("{} {now}\n", self.boot_id);
        if let Err(e) = std::fs::write(&self.file, line) {
            tracing::debug!(error = %e, "heartbeat file not written");
        }
    }
}

/// Returns the id of the current boot of the machine, as the kernel names it; empty if it is unknown.
pub fn boot_id() -> String {
    std::fs::read_to_string("/proc/sys/kernel/random/boot_id")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

fn parse_heartbeat(text: &str, boot_id: &str) -> Option<Micros> {
    let (written_boot_id, written_at) = text.trim().split_once(' ')?;
    if boot_id.is_empty() || written_boot_id != boot_id {
        return None;
    }
    written_at.parse().ok()
}
