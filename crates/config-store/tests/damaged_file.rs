//! Files that are no database, or not a whole one: what is reported, and that the file is left as it was found.
use std::fs;
use std::path::{Path, PathBuf};

use config_store::raft_log::{self, RaftLog};
use config_store::{Author, FILE_NAME, Retention, Store, StoreError, Transaction};
use serde_json::json;

/// Length of a page of the library, in bytes.
const PAGE_BYTES: usize = 4096;
/// Position of the header's flags.
const FLAGS: usize = 9;
/// Flag of a database that was not closed.
const RECOVERY_REQUIRED: u8 = 2;
/// Position of the lowest byte of the number of pages.
const PAGE_COUNT: usize = 28;

struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let directory = format!("canvascart-damaged-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(directory);
        let _ = fs::remove_dir_all(&path); // left by an earlier run
        fs::create_dir_all(&path).unwrap();
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn transaction(base: u64) -> Transaction {
    Transaction {
        base_entry: base,
        at_ms: 1000,
        author: Author {
            id: "t".into(),
            name: "test".into(),
        },
        action: "test".into(),
        subject: None,
        detail: None,
        edits: vec![("a".into(), Some(json!({ "padding": "x".repeat(9000) })))],
        tokens: Vec::new(),
        reply: None,
        minimum_version: None,
    }
}

/// Creates a store with one version, and returns the bytes of its file.
fn stored(directory: &Path) -> Vec<u8> {
    let (mut store, _) = Store::open(directory, Retention::default()).unwrap();
    store.commit(&transaction(0)).unwrap();
    drop(store);
    fs::read(directory.join(FILE_NAME)).unwrap()
}

/// Files that recovery can't open.
fn unusable_files(whole: &[u8]) -> Vec<(&'static str, Vec<u8>)> {
    let mut foreign_start = whole.to_vec();
    foreign_start[0] = b'x';
    let mut without_sizes = whole.to_vec();
    without_sizes[12..24].fill(0);
    let longer = [whole, &[0; 100]].concat();
    vec![
        ("empty", Vec::new()),
        ("shorter than a header", whole[..100].to_vec()),
        ("shorter than a page", whole[..1000].to_vec()),
        (
            "without its last page",
            whole[..whole.len() - PAGE_BYTES].to_vec(),
        ),
        ("without its last byte", whole[..whole.len() - 1].to_vec()),
        ("longer by a part of a page", longer),
        ("another kind of file", b"a text\n".repeat(1000)),
        ("foreign first byte", foreign_start),
        ("without sizes", without_sizes),
        ("zeros", vec![0; whole.len()]),
    ]
}

fn names_of(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).unwrap();
    let mut names: Vec<_> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

#[test]
fn an_unusable_store_file_is_named_with_the_remedy_and_left_as_it_is() {
    let directory = Directory::new("store");
    let path = directory.0.join(FILE_NAME);
    let whole = stored(&directory.0);
    for (name, bytes) in unusable_files(&whole) {
        fs::write(&path, &bytes).unwrap();
        let opened = Store::open_existing(&directory.0, Retention::default());
        let error = opened.err().unwrap_or_else(|| panic!("{name}: it opened"));
        assert!(matches!(error, StoreError::Corrupted(_)), "{name}: {error}");
        let message = error.to_string();
        assert!(
            message.contains(&path.display().to_string())
                && message.contains("canvascart store import"),
            "{name}: {message}"
        );
        assert!(!message.contains("inconsistent"), "{name}: {message}");
        assert_eq!(fs::read(&path).unwrap(), bytes, "{name}: it was modified");
        assert_eq!(names_of(&directory.0), [FILE_NAME], "{name}");
    }
    fs::write(&path, &whole).unwrap();
    assert_eq!(
        Store::open(&directory.0, Retention::default())
            .unwrap()
            .1
            .version,
        1
    );
}

#[test]
fn an_unusable_log_file_is_named_with_the_remedy_and_left_as_it_is() {
    let directory = Directory::new("log");
    let path = directory.0.join(raft_log::FILE_NAME);
    drop(RaftLog::open(&directory.0).unwrap());
    let whole = fs::read(&path).unwrap();
    for (name, bytes) in unusable_files(&whole) {
        if bytes.is_empty() {
            continue; // as a new log
        }
        fs::write(&path, &bytes).unwrap();
        let opened = RaftLog::open(&directory.0);
        let error = opened.err().unwrap_or_else(|| panic!("{name}: it opened"));
        assert!(
            matches!(error, StoreError::CorruptedLog(_)),
            "{name}: {error}"
        );
        let message = error.to_string();
        assert!(
            message.contains(&path.display().to_string())
                && message.contains("move its directory away"),
            "{name}: {message}"
        );
        assert_eq!(fs::read(&path).unwrap(), bytes, "{name}: it was modified");
        assert_eq!(names_of(&directory.0), [raft_log::FILE_NAME], "{name}");
    }
    fs::write(&path, &whole).unwrap();
    assert_eq!(RaftLog::open(&directory.0).unwrap().1.start_count, 2);
}

/// Header and length of these files were written apart; the contents are whole.
#[test]
fn a_file_whose_header_does_not_fit_its_length_is_copied_and_recovered() {
    let directory = Directory::new("torn");
    let path = directory.0.join(FILE_NAME);
    let copy = directory.0.join(format!("{FILE_NAME}.before-recovery"));
    let whole = stored(&directory.0);
    let with_page_count = |byte: usize, value: u8| {
        let mut bytes = whole.clone();
        bytes[FLAGS] |= RECOVERY_REQUIRED;
        bytes[PAGE_COUNT + byte] = value;
        bytes
    };
    let mut without_pages = with_page_count(0, 0);
    without_pages[24..32].fill(0);
    // The library recovers a file that a killed process has extended without our help.
    let torn_files = [
        ("more pages", with_page_count(1, 0x7f), true),
        ("far more pages", with_page_count(3, 0xff), true),
        ("fewer pages", with_page_count(1, 0), false),
        ("no pages", without_pages, true),
        (
            "closed, and longer by a page",
            [&whole[..], &[0; PAGE_BYTES]].concat(),
            true,
        ),
    ];
    for (name, bytes, is_copied) in torn_files {
        fs::write(&path, &bytes).unwrap();
        let (mut store, state) = Store::open(&directory.0, Retention::default())
            .unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(state.version, 1, "{name}");
        store.verify().unwrap_or_else(|e| panic!("{name}: {e}"));
        store.commit(&transaction(store.last_entry())).unwrap();
        drop(store);
        assert_eq!(
            Store::open(&directory.0, Retention::default())
                .unwrap()
                .1
                .version,
            2,
            "{name}"
        );
        assert_eq!(copy.exists(), is_copied, "{name}");
        if is_copied {
            assert_eq!(fs::read(&copy).unwrap(), bytes, "{name}: the copy");
            fs::remove_file(&copy).unwrap();
        }
        assert_eq!(names_of(&directory.0), [FILE_NAME], "{name}");
    }
}

/// A log that was being created when the machine lost power.
#[test]
fn a_partly_created_log_is_created_anew() {
    let directory = Directory::new("partial");
    let partial = directory.0.join(format!("{}.new", raft_log::FILE_NAME));
    fs::write(&partial, vec![0; 10 * PAGE_BYTES]).unwrap();
    assert_eq!(RaftLog::open(&directory.0).unwrap().1.start_count, 1);
    assert_eq!(names_of(&directory.0), [raft_log::FILE_NAME]);
}
