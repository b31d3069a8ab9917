//! Resource use of a process and of a directory: memory, CPU time by thread, bytes written, sockets, file sizes.

use std::fs;
use std::io;
use std::path::Path;

/// Memory of a process in MiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Memory {
    /// Resident memory.
    pub resident: f64,
    /// Peak of resident memory.
    pub peak: f64,
}

/// CPU time in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// Main thread, which serves requests.
    pub serving: f64,
    /// Thread of the administration API.
    pub admin: f64,
    /// All other threads.
    pub others: f64,
}

impl CpuTime {
    /// Returns the CPU time of all threads.
    pub fn all(&self) -> f64 {
        self.serving + self.admin + self.others
    }

    /// Returns the CPU time spent since an earlier reading.
    pub fn since(&self, before: &CpuTime) -> CpuTime {
        CpuTime {
            serving: self.serving - before.serving,
            admin: self.admin - before.admin,
            others: self.others - before.others,
        }
    }
}

fn unavailable(what: &str) -> io::Error {
    io::Error::other(format!(
        "the system does not provide the {what} of the process"
    ))
}

/// Reads the memory of a process.
///
/// # Errors
/// The process does not run.
pub fn memory(id: u32) -> io::Result<Memory> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let value = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key));
        let kib: Option<f64> = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        kib.map(|kib| kib / 1024.0)
            .ok_or_else(|| unavailable("memory"))
    };
    Ok(Memory {
        resident: value("VmRSS:")?,
        peak: value("VmHWM:")?,
    })
}

/// Reads the CPU time of a process. That of the serving and the API thread is exact to the ns, as counted by the scheduler.
/// Other threads may have ended, so theirs is the time of the whole process, in units of 10 ms, minus these two.
///
/// # Errors
/// The process does not run.
pub fn cpu_time(id: u32) -> io::Result<CpuTime> {
    let mut cpu_time = CpuTime::default();
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let path = task?.path();
        let read = |name: &str| fs::read_to_string(path.join(name));
        let (Ok(name), Ok(times)) = (read("comm"), read("schedstat")) else {
            continue;
        }; // the thread has ended
        let ns: f64 = times
            .split(' ')
            .next()
            .and_then(|t| t.parse().ok())
            .ok_or_else(|| unavailable("processor time"))?;
        let first = path
            .file_name()
            .is_some_and(|n| n.to_str() == Some(&id.to_string()));
        let total = match name.trim_end() {
            _ if first => &mut cpu_time.serving,
            "admin" => &mut cpu_time.admin,
            _ => &mut cpu_time.others,
        };
        *total += ns / 1e6;
    }
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let ticks = stat.rsplit_once(") ").and_then(|(_, rest)| {
        let of = |n: usize| rest.split(' ').nth(n).and_then(|t| t.parse::<f64>().ok());
        Some(of(11)? + of(12)?) // user and system time
    });
    let total_ms = ticks.ok_or_else(|| unavailable("processor time"))? * 10.0;
    cpu_time.others = cpu_time
        .others
        .max(total_ms - cpu_time.serving - cpu_time.admin);
    Ok(cpu_time)
}

/// Reads the bytes that a process passed to write calls for files and pipes (not those for sockets), and the bytes of pages
/// that are written to disk for it.
///
/// # Errors
/// The process does not run.
pub fn written(id: u32) -> io::Result<[f64; 2]> {
    let text = fs::read_to_string(format!("/proc/{id}/io"))?;
    let value = |key: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim().parse().ok())
            .ok_or_else(|| unavailable("bytes written"))
    };
    Ok([value("wchar:")?, value("write_bytes:")?])
}

/// Counts the open sockets of a process.
///
/// # Errors
/// The process does not run.
pub fn sockets(id: u32) -> io::Result<usize> {
    let all = fs::read_dir(format!("/proc/{id}/fd"))?;
    let is_socket = |path: &Path| {
        fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Ok(all.flatten().filter(|e| is_socket(&e.path())).count())
}

/// Returns the size of a file in bytes; 0 if it does not exist.
pub fn file_size(file: &Path) -> u64 {
    fs::metadata(file).map_or(0, |m| m.len())
}

/// Returns the total size in bytes of all files in a directory tree; 0 if it does not exist.
pub fn directory_size(dir: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(dir) else {
        return 0;
    };
    let size = |path: &Path| {
        if path.is_dir() {
            directory_size(path)
        } else {
            file_size(path)
        }
    };
    entries.flatten().map(|e| size(&e.path())).sum()
}
