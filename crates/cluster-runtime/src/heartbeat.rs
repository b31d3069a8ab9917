//! Heartbeat file of a member's process, beside its log.
//!
//! The file `alive` contains the boot id of the machine and the time at which the process was last running. A process that starts shortly
//! after that time can assume that its disk has the latest log, without asking other members. Limitation: a disk restored on the same
//! machine within [`FRESHNESS_LIMIT`], from a copy no older than that, is also assumed to have the latest log.

use std::path::{Path, PathBuf};

use cluster::rules::Micros;

use crate::clock;

/// Maximum age of a heartbeat for which the disk counts as fresh.
pub const FRESHNESS_LIMIT: Micros = 60_000_000;
/// Interval between heartbeats.
const WRITE_INTERVAL: Micros = 1_000_000;
const FILE_NAME: &str = "alive";

/// Heartbeat of this process and of the previous one.
pub struct ProcessHeartbeat {
    file: PathBuf,
    boot_id: String,
    /// Time of the previous process's last heartbeat, if it is from the same boot.
    previous: Option<Micros>,
    next_write_at: Micros,
}

impl ProcessHeartbeat {
    /// Reads the heartbeat file in `directory`; a missing or damaged file is treated as no heartbeat.
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

    /// Returns true if the disk is known to have the latest log.
    pub fn is_disk_fresh(&self) -> bool {
        let Some(previous) = self.previous else {
            return false;
        };
        let age = clock::now().checked_sub(previous);
        age.is_some_and(|age| age <= FRESHNESS_LIMIT)
    }

    /// Writes a heartbeat if one is due. The file is not synced, as it does not have to survive a crash of the machine.
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

/// Returns the kernel's id of the current boot of the machine, or an empty string if it is unknown.
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
