//! What the system tells of a process and of a directory: memory, processor time by thread, bytes written, files.

use std::fs;
use std::io;
use std::path::Path;

/// A process's memory in MiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Memory {
    /// Resident now.
    pub resident: f64,
    /// The most that was.
    pub peak: f64,
}

/// Processor time in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// Of the first thread, which serves.
    pub serving: f64,
    /// Of the administration API's thread.
    pub admin: f64,
    /// Of all others that run still.
    pub others: f64,
}

impl Spent {
    /// Of all.
    pub fn all(&self) -> f64 {
        self.serving + self.admin + self.others
    }

    /// Since then.
    pub fn since(&self, before: &Spent) -> Spent {
        Spent {
            serving: self.serving - before.serving,
            admin: self.admin - before.admin,
            others: self.others - before.others,
        }
    }
}

fn gone(what: &str) -> io::Error {
    io::Error::other(format!("the system does not tell its {what}"))
}

/// A process's memory.
///
/// # Errors
/// It does not run.
pub fn memory(id: u32) -> io::Result<Memory> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let of = |key: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(key));
        let kib: Option<f64> = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        kib.map(|kib| kib / 1024.0).ok_or_else(|| gone("memory"))
    };
    Ok(Memory {
        resident: of("VmRSS:")?,
        peak: of("VmHWM:")?,
    })
}

/// A process's processor time, of its serving and its API's thread to the ns that the scheduler counts. Others may have ended, so that
/// theirs is what the whole process has spent, in hundredths of a second, less these two.
///
/// # Errors
/// It does not run.
pub fn spent(id: u32) -> io::Result<Spent> {
    let mut spent = Spent::default();
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let path = task?.path();
        let read = |name: &str| fs::read_to_string(path.join(name));
        let (Ok(name), Ok(times)) = (read("comm"), read("schedstat")) else {
            continue;
        }; // it has ended
        let ns: f64 = times
            .split(' ')
            .next()
            .and_then(|t| t.parse().ok())
            .ok_or_else(|| gone("processor time"))?;
        let first = path
            .file_name()
            .is_some_and(|n| n.to_str() == Some(&id.to_string()));
        let to = match name.trim_end() {
            _ if first => &mut spent.serving,
            "admin" => &mut spent.admin,
            _ => &mut spent.others,
        };
        *to += ns / 1e6;
    }
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let ticks = stat.rsplit_once(") ").and_then(|(_, rest)| {
        let of = |n: usize| rest.split(' ').nth(n).and_then(|t| t.parse::<f64>().ok());
        Some(of(11)? + of(12)?) // time in the program and in the system
    });
    let whole = ticks.ok_or_else(|| gone("processor time"))? * 10.0;
    spent.others = spent.others.max(whole - spent.serving - spent.admin);
    Ok(spent)
}

/// Bytes that a process gave to calls that write files and pipes (sockets' bytes go another way), and the bytes of pages that
/// go to disk for it.
///
/// # Errors
/// It does not run.
pub fn written(id: u32) -> io::Result<[f64; 2]> {
    let text = fs::read_to_string(format!("/proc/{id}/io"))?;
    let of = |key: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim().parse().ok())
            .ok_or_else(|| gone("bytes written"))
    };
    Ok([of("wchar:")?, of("write_bytes:")?])
}

/// How many sockets a process has open.
///
/// # Errors
/// It does not run.
pub fn sockets(id: u32) -> io::Result<usize> {
    let all = fs::read_dir(format!("/proc/{id}/fd"))?;
    let is_socket = |path: &Path| {
        fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Ok(all.flatten().filter(|e| is_socket(&e.path())).count())
}

/// Bytes of a file; 0 where there is none.
pub fn length(file: &Path) -> u64 {
    fs::metadata(file).map_or(0, |m| m.len())
}

/// Bytes of all files in a directory and below it; 0 where there is none.
pub fn lengths(dir: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(dir) else {
        return 0;
    };
    let of = |path: &Path| {
        if path.is_dir() {
            lengths(path)
        } else {
            length(path)
        }
    };
    entries.flatten().map(|e| of(&e.path())).sum()
}
