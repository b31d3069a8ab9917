//! Resources that a sweep needs, estimated before anything is started, and the resources of the machine.

use std::fs;
use std::io;
use std::path::Path;

use rustix::process::{Resource, getrlimit};
use serde::Serialize;

/// Maximum fraction of the machine's memory and of its free disk space that a sweep uses.
const MAX_FRACTION: f64 = 0.5;
/// Maximum number of processes of a sweep.
const MAX_PROCESSES: f64 = 300.0;

/// Machine that runs the sweep.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Machine {
    /// Processor model.
    pub processor: String,
    /// Cores available to this process.
    pub cores: usize,
    /// Memory in MiB.
    pub memory_mib: f64,
    /// Limit of file descriptors per process.
    pub descriptors: f64,
    /// Free disk space for the files of a sweep, in MiB.
    pub disk_mib: f64,
    /// Kernel release.
    pub system: String,
    /// Load average of the last minute. A load well above that of the sweep itself means that other processes distort times.
    pub load: f64,
}

/// Returns the load average of the last minute, or NaN if it is not available.
pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|l| l.parse().ok())
        .unwrap_or(f64::NAN)
}

impl Machine {
    /// Reads the resources of this machine. Disk space is that of `dir` or of its closest existing ancestor.
    ///
    /// # Errors
    /// The system does not provide the information.
    pub fn here(dir: &Path) -> io::Result<Self> {
        let cpus = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let processor = cpus
            .lines()
            .find_map(|l| l.strip_prefix("model name")?.split_once(": "));
        let memory = fs::read_to_string("/proc/meminfo")?;
        let total = memory.lines().find_map(|l| l.strip_prefix("MemTotal:"));
        let kib: Option<f64> = total.and_then(|l| l.split_whitespace().next()?.parse().ok());
        let existing = dir
            .ancestors()
            .find(|d| d.exists())
            .unwrap_or(Path::new("/"));
        let disk = rustix::fs::statvfs(existing)?;
        Ok(Machine {
            processor: processor.map_or("unknown", |(_, name)| name).to_owned(),
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mib: kib
                .ok_or_else(|| io::Error::other("/proc/meminfo has no valid MemTotal"))?
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

/// Maximum of the resources that a sweep needs at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Needs {
    /// Memory of all its processes in MiB.
    pub memory_mib: f64,
    /// Number of processes.
    pub processes: f64,
    /// File descriptors of the process with the highest number of them.
    pub descriptors: f64,
    /// Size of its files in MiB.
    pub disk_mib: f64,
}

impl Needs {
    /// Returns the maximum of both, resource by resource.
    #[must_use]
    pub fn or(self, other: Needs) -> Needs {
        Needs {
            memory_mib: self.memory_mib.max(other.memory_mib),
            processes: self.processes.max(other.processes),
            descriptors: self.descriptors.max(other.descriptors),
            disk_mib: self.disk_mib.max(other.disk_mib),
        }
    }

    /// Describes the first resource that exceeds half of the machine's memory, half of the free disk space, the maximum number
    /// of processes or the limit of file descriptors per process; `None` if the sweep fits.
    pub fn beyond(&self, machine: &Machine) -> Option<String> {
        let all = [
            (
                "MiB of memory",
                self.memory_mib,
                MAX_FRACTION * machine.memory_mib,
                "half of this machine's",
            ),
            (
                "processes",
                self.processes,
                MAX_PROCESSES,
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
                MAX_FRACTION * machine.disk_mib,
                "half of the disk's room",
            ),
        ];
        let exceeded = all.iter().find(|(_, needs, has, _)| needs > has)?;
        let (what, needs, has, which) = exceeded;
        Some(format!(
            "it needs about {needs:.0} {what}, and {which} is {has:.0}"
        ))
    }
}
