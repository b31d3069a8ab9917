//! Durability of commits across crashes, stability of retained versions, and errors that name the next step.
mod disk;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use config_store::snapshot::SnapshotDocument;
use config_store::{Author, Retention, Store, StoreError, Transaction, export, import, snapshot};
use disk::{Crash, Disk};
use fastrand::Rng;
use serde_json::{Value, json};

fn edit_transaction(base: u64, edits: Vec<(String, Option<Value>)>) -> Transaction {
    Transaction {
        base_entry: base,
        at_ms: 1000 + base,
        author: Author {
            id: "t".into(),
            name: "test".into(),
        },
        action: "test".into(),
        subject: edits.first().map(|(scope, _)| scope.clone()),
        detail: None,
        edits,
        tokens: Vec::new(),
        reply: None,
        minimum_version: None,
    }
}

/// A transaction of two documents, a token and a reply, all with the same number.
fn numbered_transaction(base: u64, n: u64) -> Transaction {
    let body = json!({ "n": n, "padding": "x".repeat(300 + (n as usize * 97) % 3000) });
    Transaction {
        tokens: vec![("key".into(), Some(json!(n)))],
        reply: Some((format!("reply-{n}"), json!(n))),
        ..edit_transaction(
            base,
            vec![("a".into(), Some(body.clone())), ("b".into(), Some(body))],
        )
    }
}

/// Returns the current documents.
fn documents(store: &Store) -> BTreeMap<String, (u64, Value)> {
    let mut all = BTreeMap::new();
    let each = &mut |scope: &str, rev, document| _ = all.insert(scope.to_owned(), (rev, document));
    store.visit_documents(each).unwrap();
    all
}

/// Returns the number of the last transaction, and checks that every record carries it.
fn number(store: &Store, state: &config_store::StoreState) -> u64 {
    let n = |v: Option<&(u64, Value)>| v.map_or(0, |(_, v)| v["n"].as_u64().unwrap());
    let current = documents(store);
    let (a, b) = (current.get("a"), current.get("b"));
    let found = n(a);
    assert_eq!(found, n(b), "documents of different versions are mixed");
    assert_eq!(
        state.tokens.get("key").map_or(0, |t| t.as_u64().unwrap()),
        found
    );
    assert_eq!(state.version, found);
    if found > 0 {
        assert_eq!(
            store.reply(&format!("reply-{found}")).unwrap(),
            Some(json!(found))
        );
    }
    assert_eq!(store.reply(&format!("reply-{}", found + 1)).unwrap(), None);
    found
}

/// Commits until the disk fails; returns the number of acknowledged transactions.
fn commit_until_failure(disk: &Disk, retention: Retention, max_commits: u64) -> u64 {
    let Ok((mut store, state)) = Store::with_opener(disk.opener(), retention) else {
        return 0;
    };
    let mut acknowledged = number(&store, &state);
    while acknowledged < max_commits {
        let next = acknowledged + 1;
        if store
            .commit(&numbered_transaction(store.last_entry(), next))
            .is_err()
        {
            break;
        }
        acknowledged = next;
    }
    acknowledged
}

#[test]
fn a_crash_at_any_write_boundary_leaves_one_complete_version() {
    const COMMITS: u64 = 12;
    let retention = Retention {
        versions: 4,
        audit_entries: 4,
        replies: 4,
        reply_ttl_ms: u64::MAX,
    };
    let new_disk = || {
        let disk = Disk::default();
        drop(Store::with_opener(disk.opener(), retention).unwrap());
        disk
    };
    let reliable_disk = new_disk();
    let before = reliable_disk.operations();
    assert_eq!(
        commit_until_failure(&reliable_disk, retention, COMMITS),
        COMMITS
    );
    let boundaries = reliable_disk.operations();
    let crashes = AtomicU64::new(0);
    let crash_at = &|at: u64| {
        for (crash, seeds) in [(Crash::Killed, 1), (Crash::PowerCut, 4)] {
            for seed in 0..seeds {
                let mut rng = Rng::with_seed(at * 100 + seed);
                let disk = new_disk();
                disk.fail_at(at);
                let acknowledged = commit_until_failure(&disk, retention, COMMITS);
                let crashed = disk.after_crash(crash, &mut rng);
                let case = format!(
                    "boundary {at}, {crash:?}, seed {seed}, survivors: {}",
                    crashed.survivors()
                );
                let (mut store, state) = Store::with_opener(crashed.opener(), retention)
                    .unwrap_or_else(|e| panic!("{case}: {e}"));
                let found = number(&store, &state);
                assert!(
                    (acknowledged..=acknowledged + 1).contains(&found),
                    "{case}: {found} after {acknowledged} were acknowledged"
                );
                store.verify().unwrap_or_else(|e| panic!("{case}: {e}"));
                store
                    .commit(&numbered_transaction(store.last_entry(), found + 1))
                    .unwrap();
                crashes.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    thread::scope(|threads| {
        for part in 0..4 {
            threads.spawn(move || {
                (before + 1 + part..=boundaries)
                    .step_by(4)
                    .for_each(crash_at)
            });
        }
    });
    let crashes = crashes.into_inner();
    println!("{crashes} crashes at {} boundaries", boundaries - before);
    assert!(
        crashes >= 500,
        "{crashes} crashes at {} boundaries",
        boundaries - before
    );
}

#[test]
fn retained_versions_do_not_change() {
    for seed in 0..20 {
        let mut rng = Rng::with_seed(seed);
        let retention = Retention {
            versions: 8,
            audit_entries: 12,
            ..Retention::default()
        };
        let (mut store, mut state) =
            Store::with_opener(Disk::default().opener(), retention).unwrap();
        let mut expected_versions: Vec<BTreeMap<String, Value>> = vec![BTreeMap::new()];
        for n in 0..60 {
            let mut now = expected_versions.last().unwrap().clone();
            let scope = ["x", "y", "z"][rng.usize(..3)].to_owned();
            let edit = if now.contains_key(&scope) && rng.u8(..4) == 0 {
                now.remove(&scope);
                None
            } else {
                now.insert(scope.clone(), json!(n));
                Some(json!(n))
            };
            let transaction = edit_transaction(store.last_entry(), vec![(scope, edit)]);
            let entry = store.commit(&transaction).unwrap();
            state.apply(&transaction, &entry);
            expected_versions.push(now);
        }
        let newest = expected_versions.len() as u64 - 1;
        for version in 0..=newest {
            let kept = version > newest - retention.versions;
            let expected = kept.then(|| expected_versions[version as usize].clone());
            assert_eq!(
                store.documents_at(version).unwrap(),
                expected,
                "seed {seed}, version {version}"
            );
        }
        assert_eq!(
            store.versions(u64::MAX, 100).unwrap().len() as u64,
            retention.versions
        );
        assert_eq!(
            store.audit_log(None, u64::MAX, 100).unwrap().len() as u64,
            retention.audit_entries
        );
        store.verify().unwrap();
        // The state that was updated in memory equals the state that a restart reads.
        let bytes = {
            let mut bytes = Vec::new();
            export(&store, &mut bytes).unwrap();
            bytes
        };
        let (mut copy, _) = Store::with_opener(Disk::default().opener(), retention).unwrap();
        import(&mut copy, bytes.as_slice()).unwrap();
        let mut exported_again = Vec::new();
        export(&copy, &mut exported_again).unwrap();
        assert_eq!(bytes, exported_again);
        assert!(matches!(
            import(&mut copy, bytes.as_slice()),
            Err(StoreError::Import { line: 0, .. })
        ));
        let current: BTreeMap<_, _> = documents(&copy)
            .into_iter()
            .map(|(s, (_, d))| (s, d))
            .collect();
        assert_eq!(
            (copy.documents_at(state.version).unwrap().unwrap(), &current),
            (current.clone(), expected_versions.last().unwrap())
        );
        assert_eq!(documents(&store), documents(&copy));
    }
}

#[test]
fn a_full_disk_rejects_commits_until_there_is_space() {
    let disk = Disk::default();
    let (mut store, _) = Store::with_opener(disk.opener(), Retention::default()).unwrap();
    store.commit(&numbered_transaction(0, 1)).unwrap();
    disk.set_max_length(Some(disk.length()));
    let mut version = 1;
    let full = loop {
        match store.commit(&numbered_transaction(store.last_entry(), version + 1)) {
            Ok(_) => version += 1,
            Err(e) => break e,
        }
        assert!(version < 10_000);
    };
    assert!(matches!(full, StoreError::DiskFull), "{full}");
    assert_eq!(store.version(), version);
    disk.set_max_length(None);
    store
        .commit(&numbered_transaction(store.last_entry(), version + 1))
        .unwrap();
    assert_eq!(
        store.documents_at(version).unwrap().unwrap()["a"]["n"],
        version
    );
}

/// Temporary directory of a test.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("canvascart-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // left by an earlier run
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_missing_locked_or_newer_store_is_rejected() {
    let directory = Directory::new("alone");
    let path = &directory.0;
    assert!(matches!(
        Store::open_existing(path, Retention::default()),
        Err(StoreError::Missing(_))
    ));
    // Left by a process that was killed while it created the store.
    std::fs::write(
        path.join(format!("{}.new", config_store::FILE_NAME)),
        "half",
    )
    .unwrap();
    let (store, _) = Store::open(path, Retention::default()).unwrap();
    assert!(matches!(
        Store::open(path, Retention::default()),
        Err(StoreError::Locked)
    ));
    drop(store);
    let newer = redb::Database::open(path.join(config_store::FILE_NAME)).unwrap();
    let change = newer.begin_write().unwrap();
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    change
        .open_table(meta)
        .unwrap()
        .insert("format", config_store::FORMAT_VERSION + 1)
        .unwrap();
    change.commit().unwrap();
    drop(newer);
    let message = Store::open(path, Retention::default())
        .err()
        .unwrap()
        .to_string();
    assert!(
        message.contains("use the program that wrote it"),
        "{message}"
    );
}

/// A store of format 1 has no index of the audit log.
#[test]
fn migration_of_an_older_format_is_atomic() {
    let format_1_disk = || {
        let disk = Disk::default();
        let (mut store, _) = Store::with_opener(disk.opener(), Retention::default()).unwrap();
        for n in 0..30 {
            let scope = format!("tenant/{}", ["x", "y"][n % 2]);
            let edits = vec![(scope, Some(json!(n))), ("tenant/z".into(), Some(json!(n)))];
            store
                .commit(&Transaction {
                    subject: None,
                    ..edit_transaction(store.last_entry(), edits)
                })
                .unwrap();
        }
        drop(store);
        let database = disk.opener()().unwrap();
        let change = database.begin_write().unwrap();
        let audit_index = redb::TableDefinition::<(&str, u64), ()>::new("audit-of");
        assert!(change.delete_table(audit_index).unwrap());
        let meta = redb::TableDefinition::<&str, u64>::new("meta");
        change
            .open_table(meta)
            .unwrap()
            .insert("format", 1)
            .unwrap();
        change.commit().unwrap();
        drop(database);
        disk
    };
    let check = |disk: &Disk| {
        let (mut store, state) = Store::with_opener(disk.opener(), Retention::default()).unwrap();
        assert_eq!((state.version, documents(&store).len()), (30, 3));
        let entries_of = |name| store.audit_log(Some(name), u64::MAX, 100).unwrap().len();
        assert_eq!(
            [
                entries_of("x"),
                entries_of("y"),
                entries_of("z"),
                entries_of("tenant/x")
            ],
            [15, 15, 30, 0]
        );
        assert_eq!(
            store
                .audit_log(Some("x"), 20, 3)
                .unwrap()
                .iter()
                .map(|(n, _)| *n)
                .collect::<Vec<_>>(),
            [19, 17, 15]
        );
        store.verify().unwrap();
    };
    let disk = format_1_disk();
    let before = disk.operations();
    check(&disk);
    let migration_operations = disk.operations() - before;
    let mut rng = Rng::with_seed(3);
    for at in 1..=migration_operations {
        let disk = format_1_disk();
        disk.fail_at(before + at);
        let _ = Store::with_opener(disk.opener(), Retention::default()).map(drop); // fails during the migration
        check(&disk.after_crash(Crash::PowerCut, &mut rng));
    }
}

#[test]
fn corruption_is_detected_or_harmless_and_the_snapshot_stays_readable() {
    let directory = Directory::new("damage");
    let path = &directory.0;
    let (mut store, mut state) = Store::open(path, Retention::default()).unwrap();
    for n in 1..=20 {
        let transaction = numbered_transaction(store.last_entry(), n);
        let entry = store.commit(&transaction).unwrap();
        state.apply(&transaction, &entry);
    }
    let all = documents(&store);
    drop(store);
    let stored = all.iter().map(|(scope, (rev, d))| {
        Ok(SnapshotDocument {
            scope: scope.clone(),
            revision: *rev,
            document: d.clone(),
        })
    });
    let bytes = snapshot::write(path, &state, stored).unwrap();
    assert_eq!(
        bytes,
        std::fs::metadata(path.join(snapshot::FILE_NAME))
            .unwrap()
            .len()
    );
    let mut visited = BTreeMap::new();
    let read = snapshot::read(path, &mut |s, rev, d| {
        _ = visited.insert(s.to_owned(), (rev, d))
    });
    assert_eq!((read.unwrap(), &visited), (state.clone(), &all));
    let file = path.join(config_store::FILE_NAME);
    let whole = std::fs::read(&file).unwrap();
    let mut rng = Rng::with_seed(7);
    let (mut detected, mut unharmed) = (0, 0);
    for _ in 0..60 {
        let mut bytes = whole.clone();
        let at = rng.usize(..bytes.len());
        let end = (at + 512).min(bytes.len());
        bytes[at..end].iter_mut().for_each(|b| *b = rng.u8(..));
        std::fs::write(&file, &bytes).unwrap();
        let opened = Store::open_existing(path, Retention::default())
            .and_then(|(mut store, found)| store.verify().map(|()| (documents(&store), found)));
        match opened {
            Ok((current, found)) => {
                assert_eq!(
                    (&found, &current),
                    (&state, &all),
                    "damage at {at} was not detected"
                );
                unharmed += 1;
            }
            Err(e) => {
                assert!(!e.to_string().is_empty());
                detected += 1;
            }
        }
    }
    assert!(
        detected > 0 && unharmed > 0,
        "{detected} detected, {unharmed} unharmed"
    );
    let text = std::fs::read(path.join(snapshot::FILE_NAME)).unwrap();
    std::fs::write(path.join(snapshot::FILE_NAME), &text[..text.len() - 1]).unwrap();
    let visit = &mut |_: &str, _, _| panic!("a document of a damaged snapshot was visited");
    assert!(matches!(
        snapshot::read(path, visit),
        Err(StoreError::Corrupted(_))
    ));
}

#[test]
fn a_failed_snapshot_keeps_the_previous_one() {
    let directory = Directory::new("half");
    let path = &directory.0;
    let state = config_store::StoreState {
        version: 1,
        last_entry: 1,
        ..config_store::StoreState::default()
    };
    let good = || {
        Ok(SnapshotDocument {
            scope: "a".to_owned(),
            revision: 1,
            document: json!(1),
        })
    };
    snapshot::write(path, &state, [good()].into_iter()).unwrap();
    let before = std::fs::read(path.join(snapshot::FILE_NAME)).unwrap();
    let documents = [good(), Err(StoreError::Corrupted("b".into()))].into_iter();
    let failed = snapshot::write(
        path,
        &config_store::StoreState {
            version: 2,
            ..state
        },
        documents,
    );
    assert!(matches!(failed, Err(StoreError::Corrupted(reason)) if reason == "b"));
    assert_eq!(
        std::fs::read(path.join(snapshot::FILE_NAME)).unwrap(),
        before
    );
}
