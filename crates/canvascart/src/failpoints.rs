//! Failpoints of test builds: named places at which a process can be delayed, stopped or made to return another value. The
//! file named by CANVASCART_FAILPOINTS has a line `NAME=ACTIONS` for each, in the syntax of the crate `fail`. It is polled while
//! the process runs; after each change its text is copied to a file with the extension `taken`. Other builds contain no
//! failpoints.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Interval between reads of the file.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts polling the file, if one is named. Its failpoints are active when this returns.
pub fn watch_file() {
    let Some(file) = std::env::var_os("CANVASCART_FAILPOINTS").map(PathBuf::from) else {
        return;
    };
    let (mut applied, mut active) = (String::new(), BTreeSet::new());
    reload(&file, &mut applied, &mut active);
    thread::spawn(move || {
        loop {
            thread::sleep(POLL_INTERVAL);
            reload(&file, &mut applied, &mut active);
        }
    });
}

fn reload(file: &PathBuf, applied: &mut String, active: &mut BTreeSet<String>) {
    let text = std::fs::read_to_string(file).unwrap_or_default(); // the file is created with the first failpoint
    if text == *applied {
        return;
    }
    active.iter().for_each(fail::remove);
    active.clear();
    for (name, actions) in text.lines().filter_map(|l| l.split_once('=')) {
        match fail::cfg(name, actions) {
            Ok(()) => _ = active.insert(name.to_owned()),
            Err(e) => tracing::error!(name, error = e, "invalid failpoint"),
        }
    }
    let _ = std::fs::write(file.with_extension("taken"), &text); // a test that waits for it times out if this fails
    *applied = text;
}
