//! Power failures that leave the file's header and its length apart: torn writes of the header, and lost changes of length.
mod disk;

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use config_store::{Author, Retention, Store, StoreError, Transaction};
use disk::{Disk, TornHeader};
use fastrand::Rng;
use serde_json::json;

const COMMITS: u64 = 8;
const THREADS: u64 = 4;
/// Number of cases below which a test has not met the boundaries it is for.
const MINIMUM_CASES: u64 = 150;
/// Length of the header that the library writes, in bytes.
const HEADER_BYTES: usize = 320;
const RETENTION: Retention = Retention {
    versions: 4,
    audit_entries: 4,
    replies: 4,
    reply_ttl_ms: u64::MAX,
};

/// Length of most documents, in bytes.
const SMALL: usize = 3000;
/// Length of some documents, in bytes: the file grows and shrinks.
const LARGE: usize = 300_000;

/// A transaction whose document has the transaction's number.
fn numbered_transaction(base: u64, number: u64, padding_bytes: usize) -> Transaction {
    let document = json!({ "n": number, "padding": "x".repeat(padding_bytes) });
    Transaction {
        base_entry: base,
        at_ms: 1000 + base,
        author: Author {
            id: "t".into(),
            name: "test".into(),
        },
        action: "test".into(),
        subject: None,
        detail: None,
        edits: vec![("a".into(), Some(document))],
        tokens: Vec::new(),
        reply: None,
        minimum_version: None,
    }
}

fn new_disk() -> Disk {
    let disk = Disk::default();
    drop(Store::with_opener(disk.opener(), RETENTION).unwrap());
    disk
}

/// Commits until the disk fails; returns the number of acknowledged transactions.
fn commit_until_failure(disk: &Disk) -> u64 {
    let Ok((mut store, state)) = Store::with_opener(disk.opener(), RETENTION) else {
        return 0;
    };
    let mut acknowledged = state.version;
    while acknowledged < COMMITS {
        let number = acknowledged + 1;
        let padding_bytes = if number % 3 == 0 { LARGE } else { SMALL };
        let next = numbered_transaction(store.last_entry(), number, padding_bytes);
        if store.commit(&next).is_err() {
            break;
        }
        acknowledged += 1;
    }
    acknowledged
}

/// Opens the store after a crash, and checks that it has a complete version, the acknowledged one or the next, and accepts changes.
fn check_recovery(disk: &Disk, acknowledged: u64) -> Result<(), String> {
    let describe = |e: StoreError| e.to_string();
    let (mut store, state) = Store::with_opener(disk.opener(), RETENTION).map_err(describe)?;
    let found = state.version;
    if !(acknowledged..=acknowledged + 1).contains(&found) {
        return Err(format!(
            "version {found} after {acknowledged} were acknowledged"
        ));
    }
    let document = store.document("a").map_err(describe)?;
    let number = document.map_or(0, |(_, document)| document["n"].as_u64().unwrap());
    if number != found {
        return Err(format!(
            "version {found} has the document of version {number}"
        ));
    }
    store.verify().map_err(describe)?;
    let next = numbered_transaction(store.last_entry(), found + 1, SMALL);
    store.commit(&next).map_err(describe)?;
    drop(store);
    let (_, reopened) = Store::with_opener(disk.opener(), RETENTION).map_err(describe)?;
    if reopened.version != found + 1 {
        return Err(format!(
            "version {} after {} was acknowledged",
            reopened.version,
            found + 1
        ));
    }
    Ok(())
}

/// Operations at which the disk fails.
#[derive(Clone, Copy)]
enum Boundary {
    /// Each operation. Which writes came before it differs from run to run, as the library writes in an order of its own.
    Operation,
    /// Each sync. All writes before it are pending.
    Sync,
}

impl Boundary {
    fn count(self, disk: &Disk) -> u64 {
        match self {
            Boundary::Operation => disk.operations(),
            Boundary::Sync => disk.syncs(),
        }
    }

    fn fail(self, disk: &Disk, at: u64) {
        match self {
            Boundary::Operation => disk.fail_at(at),
            Boundary::Sync => disk.fail_at_sync(at),
        }
    }
}

/// Runs the commits with a failure at each boundary, and calls `crash` with the failed disk, the boundary and the number of
/// acknowledged transactions. `crash` returns the number of cases, and adds those that fail.
fn at_each_boundary(
    boundary: Boundary,
    crash: impl Fn(&Disk, u64, u64, &mut Vec<String>) -> u64 + Sync,
) {
    let reliable_disk = new_disk();
    let first = boundary.count(&reliable_disk) + 1;
    assert_eq!(commit_until_failure(&reliable_disk), COMMITS);
    let last = boundary.count(&reliable_disk);
    let cases = AtomicU64::new(0);
    let run_part = |part: u64| {
        let mut failures = Vec::new();
        for at in (first + part..=last).step_by(THREADS as usize) {
            let disk = new_disk();
            boundary.fail(&disk, at);
            let acknowledged = commit_until_failure(&disk);
            let count = crash(&disk, at, acknowledged, &mut failures);
            cases.fetch_add(count, Ordering::Relaxed);
        }
        failures
    };
    let run_part = &run_part;
    let failures: Vec<String> = thread::scope(|threads| {
        let parts: Vec<_> = (0..THREADS)
            .map(|part| threads.spawn(move || run_part(part)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().unwrap())
            .collect()
    });
    let cases = cases.into_inner();
    println!("{cases} cases at {} boundaries", last + 1 - first);
    assert!(cases >= MINIMUM_CASES, "{cases} cases");
    assert!(
        failures.is_empty(),
        "{} of {cases} cases fail:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

/// The header names the number of pages without a checksum: its bytes can be of two versions after a power failure.
#[test]
fn a_header_torn_at_any_byte_leaves_one_complete_version() {
    let crash = |disk: &Disk, at: u64, acknowledged: u64, failures: &mut Vec<String>| {
        let mut cases = 0;
        let mut headers = HashSet::new();
        let cuts = (0..=HEADER_BYTES)
            .flat_map(|count| [TornHeader::First(count), TornHeader::From(count)]);
        for (torn, others_survive) in cuts.flat_map(|torn| [(torn, false), (torn, true)]) {
            let Some(torn_disk) = disk.after_torn_header(torn, others_survive) else {
                return cases;
            };
            if !headers.insert((torn_disk.bytes(HEADER_BYTES), others_survive)) {
                continue; // as another cut
            }
            cases += 1;
            if let Err(e) = check_recovery(&torn_disk, acknowledged) {
                failures.push(format!(
                    "boundary {at}, {torn:?}, others survive: {others_survive}: {e}"
                ));
            }
        }
        cases
    };
    at_each_boundary(Boundary::Sync, crash);
    at_each_boundary(Boundary::Operation, crash);
}

/// The header is written in place, so that it can be durable before the file system has recorded the file's new length.
#[test]
fn a_lost_change_of_the_length_leaves_one_complete_version() {
    const SEEDS: u64 = 12;
    let crash = |disk: &Disk, at: u64, acknowledged: u64, failures: &mut Vec<String>| {
        if let Err(e) = check_recovery(&disk.after_lost_length(), acknowledged) {
            failures.push(format!("boundary {at}, all writes survive: {e}"));
        }
        for seed in 0..SEEDS {
            let mut rng = Rng::with_seed(at * 100 + seed);
            let crashed = disk.after_random_length(&mut rng);
            if let Err(e) = check_recovery(&crashed, acknowledged) {
                failures.push(format!("boundary {at}, seed {seed}: {e}"));
            }
        }
        1 + SEEDS
    };
    at_each_boundary(Boundary::Sync, crash);
    at_each_boundary(Boundary::Operation, crash);
}

/// A second power failure at each operation of the recovery.
#[test]
fn a_power_failure_during_recovery_leaves_one_complete_version() {
    at_each_boundary(Boundary::Operation, |disk, at, acknowledged, failures| {
        let crashed = || disk.after_lost_length();
        let recovered = crashed();
        drop(Store::with_opener(recovered.opener(), RETENTION));
        let operations = recovered.operations();
        for recovery_at in 1..=operations {
            let failed = crashed();
            failed.fail_at(recovery_at);
            drop(Store::with_opener(failed.opener(), RETENTION));
            let mut rng = Rng::with_seed(at * 100 + recovery_at);
            for crashed_again in [
                failed.after_lost_length(),
                failed.after_random_length(&mut rng),
            ] {
                if let Err(e) = check_recovery(&crashed_again, acknowledged) {
                    failures.push(format!(
                        "boundary {at}, operation {recovery_at} of the recovery: {e}"
                    ));
                }
            }
        }
        2 * operations
    });
}
