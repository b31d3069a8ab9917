//! Failpoints of test builds: named places at which a process is made slow, stands still or says something else. The file that
//! CANVASCART_FAILPOINTS names has a line `NAME=ACTIONS` for each, in the terms of the crate `fail`; it is followed while the
//! process runs, and what is in effect stands in a file beside it. Other builds have nothing of it.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// From one look at the file to the next.
const LOOK: Duration = Duration::from_millis(5);

/// Follows the file, if one is named. What it says at the start is in effect when this returns.
pub fn follow() {
    let Some(file) = std::env::var_os("CANVASCART_FAILPOINTS").map(PathBuf::from) else {
        return;
    };
    let (mut said, mut set) = (String::new(), BTreeSet::new());
    look(&file, &mut said, &mut set);
    thread::spawn(move || {
        loop {
            thread::sleep(LOOK);
            look(&file, &mut said, &mut set);
        }
    });
}

fn look(file: &PathBuf, said: &mut String, set: &mut BTreeSet<String>) {
    let text = std::fs::read_to_string(file).unwrap_or_default(); // none is there before one is wanted
    if text == *said {
        return;
    }
    set.iter().for_each(fail::remove);
    set.clear();
    for (name, actions) in text.lines().filter_map(|l| l.split_once('=')) {
        match fail::cfg(name, actions) {
            Ok(()) => _ = set.insert(name.to_owned()),
            Err(e) => tracing::error!(name, error = e, "a failpoint can't be set"),
        }
    }
    let _ = std::fs::write(file.with_extension("taken"), &text); // who waits for it says so
    *said = text;
}
