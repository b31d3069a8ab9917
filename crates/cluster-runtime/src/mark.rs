//! A mark beside the log that says when its process last ran, by the machine's clock since its start. A process that starts again
//! within a short while knows by it that the disk is its newest: no copy can be older than that while.
//!
//! The bound: a disk that is put back on the same machine within [`FRESH`] from a copy no older than that passes for its newest.

use std::path::{Path, PathBuf};

use cluster::rules::Micros;

use crate::clock;

/// For so long after its process last ran a disk passes for its newest.
const FRESH: Micros = 60_000_000;
/// From one mark to the next.
const EACH: Micros = 1_000_000;

/// The mark.
pub struct Mark {
    file: PathBuf,
    /// When the process before this one last ran, if on this machine and since its start.
    found: Option<Micros>,
    due: Micros,
    boot: String,
}

/// Which start of the machine this is.
fn boot() -> String {
    std::fs::read_to_string("/proc/sys/kernel/random/boot_id")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

impl Mark {
    /// The mark in a directory.
    pub fn read(directory: &Path) -> Self {
        let (file, boot) = (directory.join("alive"), boot());
        let text = std::fs::read_to_string(&file).unwrap_or_default(); // none is no fresh one
        let found = text
            .trim()
            .split_once(' ')
            .filter(|(of, _)| !boot.is_empty() && *of == boot);
        let found = found.and_then(|(_, at)| at.parse().ok());
        Mark {
            file,
            found,
            due: 0,
            boot,
        }
    }

    /// Whether the disk is known to be its process's newest.
    pub fn is_fresh(&self) -> bool {
        self.found
            .is_some_and(|at| clock::now().checked_sub(at).is_some_and(|age| age <= FRESH))
    }

    /// Marks that the process runs, where that is due. It need not outlast the machine.
    pub fn keep(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        self.due = now + EACH;
        if let Err(e) = std::fs::write(&self.file, format!("{} {now}\n", self.boot)) {
            tracing::debug!(error = %e, "the mark can't be written; the next start asks the others");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_young_mark_of_this_start_of_the_machine_is_fresh() {
        let directory =
            std::env::temp_dir().join(format!("canvascart-mark-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let (now, boot) = (clock::now(), boot());
        let fresh = |text: String| {
            std::fs::write(directory.join("alive"), text).expect("a file");
            Mark::read(&directory).is_fresh()
        };
        assert!(fresh(format!("{boot} {now}\n")));
        assert!(
            !fresh(format!(
                "{boot} {}\n",
                now.saturating_sub(FRESH + 1_000_000)
            )),
            "it is too old"
        );
        assert!(
            !fresh(format!("{boot} {}\n", now + 3_600_000_000)),
            "it is of another time"
        );
        assert!(
            !fresh(format!("other {now}\n")),
            "it is of another start of the machine"
        );
        assert!(
            !fresh(format!("{boot} 12x")) && !fresh(String::new()),
            "it is torn"
        );
        std::fs::remove_file(directory.join("alive")).expect("it is there");
        Mark::read(&directory).keep(now);
        assert!(Mark::read(&directory).is_fresh());
        std::fs::remove_dir_all(&directory).expect("it goes");
    }
}
