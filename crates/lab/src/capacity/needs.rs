//! What a sweep needs of the machine, worked out before anything starts, and what the machine is.

use std::fs;
use std::io;
use std::path::Path;

use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// A sweep takes this part of the machine's memory and of the disk's room at most.
const PART: f64 = 0.5;
/// A sweep starts so many processes at most.
const PROCESSES: f64 = 300.0;

/// What the machine is.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Machine {
    /// Its kind of processor.
    pub processor: String,
    /// Its cores, as far as this process may use them.
    pub cores: usize,
    /// Its memory in MiB.
    pub memory_mib: f64,
    /// Descriptors that a process may have.
    pub descriptors: f64,
    /// Room on the disk for a sweep's files, in MiB.
    pub disk_mib: f64,
    /// The system's release.
    pub system: String,
    /// Tasks that wanted to run over the last minute: much more than this sweep's own means that times are disturbed.
    pub load: f64,
}

/// The load average of the last minute; not a number where the system does not tell.
pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|l| l.parse().ok())
        .unwrap_or(f64::NAN)
}

impl Machine {
    /// This one; a sweep's files go below `dir`, or below the first directory above it that is there.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn here(dir: &Path) -> io::Result<Self> {
        let cpus = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let processor = cpus
            .lines()
            .find_map(|l| l.strip_prefix("model name")?.split_once(": "));
        let memory = fs::read_to_string("/proc/meminfo")?;
        let total = memory.lines().find_map(|l| l.strip_prefix("MemTotal:"));
        let kib: Option<f64> = total.and_then(|l| l.split_whitespace().next()?.parse().ok());
        let there = dir
            .ancestors()
            .find(|d| d.exists())
            .unwrap_or(Path::new("/"));
        let disk = rustix::fs::statvfs(there)?;
        Ok(Machine {
            processor: processor.map_or("unknown", |(_, name)| name).to_owned(),
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mib: kib
                .ok_or_else(|| io::Error::other("the system does not tell its memory"))?
                / 1024.0,
            descriptors: getrlimit(Resource::Nofile)
                .current
                .map_or(f64::INFINITY, |n| n as f64),
            disk_mib: disk.f_bavail as f64 * disk.f_frsize as f64 / f64::from(1 << 20),
            system: fs::read_to_string("/proc/sys/kernel/osrelease")
                .unwrap_or_default()
                .trim()
                .to_owned(),
            load: load(),
        })
    }
}

/// The most that a sweep needs at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Needs {
    /// Memory of all its processes in MiB.
    pub memory_mib: f64,
    /// Processes.
    pub processes: f64,
    /// Descriptors of the process that has most of them.
    pub descriptors: f64,
    /// Bytes of its files in MiB.
    pub disk_mib: f64,
}

impl Needs {
    /// What either needs, whichever is more.
    #[must_use]
    pub fn or(self, other: Needs) -> Needs {
        Needs {
            memory_mib: self.memory_mib.max(other.memory_mib),
            processes: self.processes.max(other.processes),
            descriptors: self.descriptors.max(other.descriptors),
            disk_mib: self.disk_mib.max(other.disk_mib),
        }
    }

    /// What of it goes beyond half of the machine's memory, half of the disk's room, a few hundred processes or the descriptors
    /// that a process may have.
    pub fn beyond(&self, machine: &Machine) -> Option<String> {
        let all = [
            (
                "MiB of memory",
                self.memory_mib,
                PART * machine.memory_mib,
                "half of this machine's",
            ),
            (
                "processes",
                self.processes,
                PROCESSES,
                "the most that a sweep starts",
            ),
            (
                "descriptors in one process",
                self.descriptors,
                machine.descriptors,
                "its limit here (RLIMIT_NOFILE)",
            ),
            (
                "MiB of files",
                self.disk_mib,
                PART * machine.disk_mib,
                "half of the disk's room",
            ),
        ];
        let over = all.iter().find(|(_, needs, has, _)| needs > has)?;
        let (what, needs, has, which) = over;
        Some(format!(
            "it needs about {needs:.0} {what}, and {which} is {has:.0}"
        ))
    }
}
