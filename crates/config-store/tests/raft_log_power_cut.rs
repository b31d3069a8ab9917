//! Power failures while a member writes its log: acknowledged entries and the hard state survive.
mod disk;

use std::collections::HashSet;

use config_store::raft_log::{LogBatch, RaftLog};
use disk::{Crash, Disk, TornHeader};
use fastrand::Rng;

/// Length of the header that the library writes, in bytes.
const HEADER_BYTES: usize = 320;
const ENTRIES: u64 = 14;
/// Every this many entries, a snapshot replaces the entries before.
const SNAPSHOT_INTERVAL: u64 = 5;
const SEEDS: u64 = 6;

/// An entry with its index. Some entries are large, so that the file grows and shrinks.
fn entry(index: u64) -> Vec<u8> {
    let padding_bytes = if index % 3 == 0 { 400_000 } else { 500 };
    let mut bytes = index.to_le_bytes().to_vec();
    bytes.resize(bytes.len() + padding_bytes, 0);
    bytes
}

/// Writes entries until the disk fails; returns the index of the last acknowledged one.
fn write_until_failure(disk: &Disk) -> u64 {
    let Ok((mut log, _)) = RaftLog::with_opener(disk.opener()) else {
        return 0;
    };
    for index in 1..=ENTRIES {
        let hard_state = index.to_le_bytes();
        let snapshot = (index % SNAPSHOT_INTERVAL == 0).then_some((index - 1, &hard_state[..]));
        let batch = LogBatch {
            entries: &[(index, entry(index))],
            hard_state: Some(&hard_state),
            snapshot,
            ..LogBatch::default()
        };
        if log.write(batch).is_err() {
            return index - 1;
        }
    }
    ENTRIES
}

/// Opens the log after a crash, and checks that it ends with the acknowledged entry or the next.
fn check_recovery(disk: &Disk, acknowledged: u64) -> Result<(), String> {
    let opened = RaftLog::with_opener(disk.opener());
    let (mut log, contents) = opened.map_err(|e| e.to_string())?;
    let number = |bytes: &[u8]| u64::from_le_bytes(bytes[..8].try_into().unwrap());
    let last = contents.hard_state.as_deref().map_or(0, number);
    if !(acknowledged..=acknowledged + 1).contains(&last) {
        return Err(format!(
            "entry {last} after {acknowledged} were acknowledged"
        ));
    }
    let after_snapshot = contents
        .snapshot
        .as_deref()
        .map_or(0, |bytes| number(bytes) - 1);
    let expected: Vec<_> = (after_snapshot + 1..=last).map(entry).collect();
    if contents.entries != expected {
        return Err(format!(
            "{} entries of {}",
            contents.entries.len(),
            expected.len()
        ));
    }
    let batch = LogBatch {
        entries: &[(last + 1, entry(last + 1))],
        ..LogBatch::default()
    };
    log.write(batch).map_err(|e| e.to_string())
}

#[test]
fn a_power_failure_loses_no_acknowledged_entry() {
    let new_disk = || {
        let disk = Disk::default();
        drop(RaftLog::with_opener(disk.opener()).unwrap());
        disk
    };
    let reliable_disk = new_disk();
    let first = reliable_disk.operations() + 1;
    assert_eq!(write_until_failure(&reliable_disk), ENTRIES);
    let boundaries = first..=reliable_disk.operations();
    let mut failures = Vec::new();
    let mut cases = 0;
    for at in boundaries {
        let disk = new_disk();
        disk.fail_at(at);
        let acknowledged = write_until_failure(&disk);
        let torn = (0..=64).flat_map(|count| [TornHeader::First(count), TornHeader::From(count)]);
        let mut headers = HashSet::new();
        let torn_disks = torn
            .filter_map(|torn| disk.after_torn_header(torn, true))
            .filter(|torn_disk| headers.insert(torn_disk.bytes(HEADER_BYTES)));
        let random = (0..SEEDS).flat_map(|seed| {
            let mut rng = Rng::with_seed(at * 100 + seed);
            [
                disk.after_crash(Crash::PowerCut, &mut rng),
                disk.after_random_length(&mut rng),
            ]
        });
        let crashed = torn_disks.chain(random).chain([disk.after_lost_length()]);
        for (case, crashed) in crashed.enumerate() {
            cases += 1;
            if let Err(e) = check_recovery(&crashed, acknowledged) {
                failures.push(format!("boundary {at}, case {case}: {e}"));
            }
        }
    }
    println!("{cases} cases");
    assert!(cases >= 1000, "{cases} cases");
    assert!(
        failures.is_empty(),
        "{} of {cases} cases fail:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
