//! Failure cases of the watch, one at a time.
use endpoint_discovery::{
    BackoffLimits, Command, EndpointCounts, EndpointWatcher, Event, Header, KeyChange, KeySpace,
    KeyValue, ListChange, Notice, Phase, WatchLimits,
};

const CLUSTER: u64 = 1;

struct Harness {
    watcher: EndpointWatcher,
    now: u64,
    /// Commands of the last event.
    commands: Vec<Command>,
    listed: std::collections::BTreeMap<String, u64>,
}

fn keys() -> KeySpace {
    KeySpace::new("/fleet", "p")
}

fn key_value(
    name: &str,
    revision: i64,
    create_revision: i64,
    lease: i64,
    fields: &str,
) -> KeyValue {
    let value = format!(r#"{{"address":"127.0.0.1:9000"{fields}}}"#);
    KeyValue {
        key: keys().endpoint_key(name).into_bytes(),
        value: value.into_bytes(),
        mod_revision: revision,
        create_revision,
        lease,
    }
}

fn delete(name: &str, revision: i64) -> KeyChange {
    KeyChange::Delete {
        key: keys().endpoint_key(name).into_bytes(),
        revision,
    }
}

fn header(revision: i64) -> Header {
    Header {
        cluster: CLUSTER,
        revision,
    }
}

impl Harness {
    fn new() -> Self {
        let limits = WatchLimits {
            backoff: BackoffLimits {
                jitter: false,
                ..BackoffLimits::default()
            },
            ..WatchLimits::default()
        };
        let mut harness = Harness {
            watcher: EndpointWatcher::new(keys(), limits, 1),
            now: 1,
            commands: Vec::new(),
            listed: Default::default(),
        };
        harness.handle(Event::Timer);
        harness
    }

    /// Harness whose watch is established at a revision with these endpoints.
    fn watching(key_values: Vec<KeyValue>, revision: i64) -> Self {
        let mut harness = Harness::new();
        harness.handle(Event::Connected);
        harness.handle(Event::Page {
            header: header(revision),
            key_values,
            more: false,
        });
        harness.handle(Event::WatchEstablished(header(revision)));
        assert_eq!(harness.phase(), Phase::Watching);
        harness
    }

    fn handle(&mut self, event: Event) {
        self.commands.clear();
        self.watcher
            .handle(self.now, 1_000_000 + self.now, event, &mut self.commands);
        for command in &self.commands {
            match command {
                Command::Publish(ListChange::Complete(all)) => {
                    self.listed = all
                        .iter()
                        .map(|s| (s.name.clone(), s.started_at_ms))
                        .collect();
                }
                Command::Publish(ListChange::Upserted(s)) => {
                    _ = self.listed.insert(s.name.clone(), s.started_at_ms)
                }
                Command::Publish(ListChange::Removed(name)) => _ = self.listed.remove(name),
                _ => {}
            }
        }
    }

    fn changes(&mut self, revision: i64, changes: Vec<KeyChange>) {
        self.handle(Event::Changes {
            header: header(revision),
            changes,
            fragment: false,
        });
    }

    /// Advances time and fires the timers that are due.
    fn advance(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(next) = self.watcher.next_due().filter(|n| *n <= end) {
            self.now = next.max(self.now + 1);
            self.handle(Event::Timer);
        }
        self.now = end;
    }

    fn phase(&self) -> Phase {
        self.watcher.status(self.now).phase
    }

    fn lists(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    fn has_notice(&self, matches: impl Fn(&Notice) -> bool) -> bool {
        self.commands
            .iter()
            .any(|c| matches!(c, Command::Notice(n) if matches(n)))
    }
}

fn counts(total: usize, quarantined: usize, retained: usize) -> EndpointCounts {
    EndpointCounts {
        total,
        quarantined,
        retained,
    }
}

fn three_endpoints(lease: i64) -> Vec<KeyValue> {
    ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(i, n)| key_value(n, i as i64 + 1, i as i64 + 1, lease, ""))
        .collect()
}

#[test]
fn a_removal_is_published_at_once_and_a_return_restarts_the_endpoint() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    assert_eq!(
        harness.listed["a"], 0,
        "endpoints of the first list have an unknown start time"
    );
    harness.changes(11, vec![delete("a", 11)]);
    assert!(!harness.lists("a") && harness.lists("b"));
    harness.now += 500;
    harness.changes(12, vec![KeyChange::Put(key_value("a", 12, 12, 0, ""))]);
    assert_eq!(
        harness.listed["a"],
        1_000_000 + harness.now,
        "it has just started"
    );
    harness.changes(
        13,
        vec![KeyChange::Put(key_value(
            "b",
            13,
            2,
            0,
            r#","state":"gone""#,
        ))],
    );
    assert!(
        !harness.lists("b"),
        "an endpoint whose record says that it has left is removed before its key is deleted"
    );
}

#[test]
fn changes_missed_by_a_compaction_are_in_the_next_snapshot() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    harness.handle(Event::ConnectionLost);
    assert!(harness.lists("a"), "a lost connection removes no endpoint");
    harness.handle(Event::Connected);
    assert_eq!(harness.commands, [Command::Watch(11)]);
    harness.handle(Event::Cancelled {
        compact_revision: 40,
    });
    assert!(
        harness.has_notice(|n| *n == Notice::Compacted(40)) && harness.phase() == Phase::Resyncing
    );
    assert!(harness.lists("a"));
    // The snapshot is read in pages, all at one revision.
    harness.handle(Event::Page {
        header: header(50),
        key_values: vec![key_value("b", 2, 2, 0, "")],
        more: true,
    });
    let mut from = keys().endpoint_key("b").into_bytes();
    from.push(0);
    assert_eq!(
        harness.commands,
        [Command::List {
            start_key: from,
            revision: 50
        }]
    );
    harness.handle(Event::PageCompacted);
    assert!(
        matches!(harness.commands[0], Command::List { revision: 0, .. }),
        "the snapshot starts again at the current revision"
    );
    let d = key_value("d", 45, 45, 0, "");
    harness.handle(Event::Page {
        header: header(51),
        key_values: vec![key_value("b", 2, 2, 0, ""), d],
        more: false,
    });
    let published: Vec<&Command> = harness
        .commands
        .iter()
        .filter(|c| matches!(c, Command::Publish(_)))
        .collect();
    assert!(
        matches!(published[0], Command::Publish(ListChange::Removed(n)) if n == "a"),
        "removals come first: {published:?}"
    );
    assert_eq!(harness.listed.keys().collect::<Vec<_>>(), ["b", "d"]);
    assert!(harness.commands.contains(&Command::Watch(52)));
}

#[test]
fn a_lagging_member_is_rejected_and_a_rollback_accepted_without_deleted_endpoints() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    harness.changes(11, vec![delete("a", 11)]);
    harness.handle(Event::Cancelled {
        compact_revision: 20,
    });
    let outdated_page = || Event::Page {
        header: header(9),
        key_values: three_endpoints(0),
        more: false,
    };
    harness.handle(outdated_page());
    assert!(
        harness.has_notice(|n| *n
            == Notice::Lagging {
                member_revision: 9,
                known_revision: 11
            })
            && !harness.lists("a")
    );
    let mut rolled_back = false;
    for _ in 0..40 {
        harness.advance(1000);
        harness.handle(Event::Connected);
        harness.handle(outdated_page());
        rolled_back |= harness.has_notice(|n| matches!(n, Notice::RolledBack { .. }));
        assert!(!harness.lists("a"));
        if rolled_back {
            break;
        }
    }
    assert!(rolled_back, "every member answers from an older state");
    assert!(
        harness.has_notice(
            |n| matches!(n, Notice::Table(text) if text.to_string().starts_with("a is deleted"))
        ),
        "{:?}",
        harness.commands
    );
    assert!(harness.lists("b") && !harness.lists("a"));
    harness.handle(Event::WatchEstablished(header(9)));
    // A key that is created again after the rollback belongs to another endpoint.
    harness.changes(10, vec![delete("a", 10)]);
    harness.changes(11, vec![KeyChange::Put(key_value("a", 11, 11, 0, ""))]);
    assert!(harness.lists("a"));
}

#[test]
fn an_established_watch_detects_a_rollback() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    harness.changes(11, vec![delete("a", 11)]);
    harness.handle(Event::ConnectionLost);
    let (mut list_requests, mut connections) = (0, 0);
    for _ in 0..60 {
        harness.advance(1000);
        harness.handle(Event::Connected);
        connections += 1;
        if harness.commands.contains(&Command::Watch(12)) {
            harness.handle(Event::WatchEstablished(header(9)));
            for _ in 0..3 {
                harness.advance(1000);
                if matches!(harness.commands.last(), Some(Command::RequestProgress)) {
                    harness.handle(Event::Progress(header(9)));
                }
            }
        }
        list_requests += harness
            .commands
            .iter()
            .filter(|c| matches!(c, Command::List { .. }))
            .count();
        if list_requests > 0 {
            break;
        }
    }
    assert!(connections > 2, "other members were connected to first");
    harness.handle(Event::Page {
        header: header(9),
        key_values: three_endpoints(0),
        more: false,
    });
    assert!(
        harness.has_notice(|n| matches!(
            n,
            Notice::RolledBack {
                member_revision: 9,
                known_revision: 11
            }
        )),
        "{:?}",
        harness.commands
    );
    assert!(harness.lists("b") && !harness.lists("a"));
}

#[test]
fn answers_of_another_cluster_are_dropped() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    harness.handle(Event::ConnectionLost);
    harness.handle(Event::Connected);
    harness.handle(Event::Cancelled {
        compact_revision: 0,
    });
    harness.handle(Event::Page {
        header: Header {
            cluster: 2,
            revision: 99,
        },
        key_values: Vec::new(),
        more: false,
    });
    assert!(harness.has_notice(|n| *n == Notice::OtherCluster(2)));
    assert_eq!(harness.listed.len(), 3);
}

#[test]
fn silence_leads_to_a_reconnect_and_removes_no_endpoint() {
    let mut harness = Harness::watching(three_endpoints(7), 10);
    harness.advance(1000);
    assert_eq!(harness.commands, [Command::RequestProgress]);
    harness.handle(Event::Progress(header(15)));
    assert_eq!(harness.watcher.status(harness.now).revision, 15);
    harness.advance(2999);
    assert_eq!(harness.phase(), Phase::Watching);
    harness.advance(10);
    assert!(
        harness
            .commands
            .iter()
            .any(|c| matches!(c, Command::Connect { member: 1, .. })),
        "{:?}",
        harness.commands
    );
    harness.advance(20_000);
    let status = harness.watcher.status(harness.now);
    assert!(
        status.phase == Phase::Stale && status.stale_since.is_some() && harness.listed.len() == 3
    );
    harness.handle(Event::Connected);
    assert_eq!(
        harness.commands.last(),
        Some(&Command::Watch(16)),
        "changes up to the reported progress need not be sent again"
    );
}

#[test]
fn fragments_are_applied_together_and_known_changes_ignored() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    let answer = |changes, fragment| Event::Changes {
        header: header(30),
        changes,
        fragment,
    };
    harness.handle(answer(vec![delete("a", 11)], true));
    assert!(harness.lists("a"), "the rest of the answer is missing");
    harness.handle(Event::ConnectionLost);
    harness.handle(Event::Connected);
    assert_eq!(
        harness.commands.last(),
        Some(&Command::Watch(11)),
        "fragments of an incomplete answer are discarded"
    );
    harness.handle(Event::WatchEstablished(header(30)));
    harness.handle(answer(vec![delete("a", 11)], true));
    harness.handle(answer(
        vec![KeyChange::Put(key_value("a", 12, 12, 0, ""))],
        false,
    ));
    assert!(
        harness.lists("a") && harness.watcher.status(harness.now).revision == 12,
        "the revision is that of the changes, not that of the header"
    );
    harness.changes(30, vec![delete("a", 11), delete("b", 13)]);
    assert!(harness.lists("a") && !harness.lists("b"));
}

#[test]
fn an_invalid_value_quarantines_its_endpoint_alone() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    let mut invalid = key_value("a", 11, 1, 0, "");
    invalid.value = b"{".to_vec();
    let mut new = key_value("z", 12, 12, 0, "");
    new.value = b"\xff".to_vec();
    harness.changes(12, vec![KeyChange::Put(invalid), KeyChange::Put(new)]);
    assert!(harness.lists("a") && !harness.lists("z"));
    assert_eq!(
        harness.watcher.status(harness.now).endpoints,
        counts(3, 1, 0)
    );
    harness.changes(
        13,
        vec![KeyChange::Put(key_value("a", 13, 1, 0, r#","size":3.0"#))],
    );
    assert_eq!(
        harness.watcher.status(harness.now).endpoints,
        counts(3, 0, 0)
    );
}

#[test]
fn a_mass_lease_expiry_does_not_empty_the_list() {
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let all = || {
        names
            .iter()
            .enumerate()
            .map(|(i, n)| key_value(n, i as i64 + 1, i as i64 + 1, 5, ""))
            .collect::<Vec<_>>()
    };
    // One by one in separate answers: after half of them the others are retained.
    let mut harness = Harness::watching(all(), 10);
    for (i, name) in names.iter().enumerate() {
        harness.now += 50;
        harness.changes(11 + i as i64, vec![delete(name, 11 + i as i64)]);
    }
    assert_eq!(
        (
            harness.listed.len(),
            harness.watcher.status(harness.now).endpoints.retained
        ),
        (5, 5)
    );
    // An endpoint that returns is updated; the others are removed after a minute.
    harness.changes(30, vec![KeyChange::Put(key_value("s9", 30, 30, 6, ""))]);
    harness.advance(59_000);
    assert_eq!(harness.listed.len(), 5);
    harness.advance(2000);
    assert_eq!(harness.listed.keys().collect::<Vec<_>>(), ["s9"]);
    // All in one answer: all are retained until an operator releases them.
    let mut harness = Harness::watching(all(), 10);
    harness.changes(11, names.iter().map(|n| delete(n, 11)).collect());
    assert_eq!(harness.listed.len(), 10);
    let release = KeyValue {
        key: keys().release_key().into(),
        ..key_value("x", 12, 12, 0, "")
    };
    harness.changes(12, vec![KeyChange::Put(release)]);
    assert!(harness.listed.is_empty());
    // Endpoints that leave on purpose are not retained.
    let mut harness = Harness::watching(all(), 10);
    let removals = names.iter().enumerate().map(|(i, n)| {
        KeyChange::Put(key_value(
            n,
            11 + i as i64,
            i as i64 + 1,
            5,
            r#","state":"gone""#,
        ))
    });
    harness.changes(20, removals.collect());
    assert!(harness.listed.is_empty());
}

#[test]
fn a_flapping_endpoint_must_stay_before_it_is_added_back() {
    let mut harness = Harness::watching(three_endpoints(0), 10);
    let mut revision = 10;
    for n in 0..8 {
        harness.now += 1000;
        harness.changes(revision + 1, vec![delete("a", revision + 1)]);
        assert!(!harness.lists("a"), "a removal is never delayed");
        harness.changes(
            revision + 2,
            vec![KeyChange::Put(key_value(
                "a",
                revision + 2,
                revision + 2,
                0,
                "",
            ))],
        );
        revision += 2;
        assert_eq!(harness.lists("a"), n < 3, "return {n}");
    }
    harness.advance(9000);
    assert!(!harness.lists("a"));
    harness.handle(Event::Progress(header(revision)));
    harness.advance(1500);
    assert!(harness.lists("a") && harness.lists("b"));
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 500, failure_persistence: None, ..Default::default()
    })]

    /// Guards against panics and inconsistencies for any order of events, valid or not: the published changes add up to the
    /// watcher's list, and timers do not fire without end.
    #[test]
    fn any_sequence_of_events_keeps_the_list_consistent(
        steps in proptest::collection::vec((0..8u8, 0..6usize, 0..40i64, 0..3i64, 0..4000u64), 1..80),
    ) {
        let mut harness = Harness::new();
        let names = ["a", "b", "c", "d", "e", "f"];
        for (kind, name, revision, lease, wait) in steps {
            harness.now += wait;
            let put = key_value(names[name], revision, revision, lease, if revision % 7 == 3 { "," } else { "" });
            let event = match kind {
                0 => Event::Timer,
                1 => Event::Connected,
                2 => Event::Page { header: header(revision), key_values: vec![put], more: lease == 1 },
                3 => Event::WatchEstablished(header(revision)),
                4 => Event::Changes { header: header(revision), changes: vec![KeyChange::Put(put)], fragment: lease == 2 },
                5 => Event::Changes { header: header(revision), changes: vec![delete(names[name], revision)], fragment: false },
                6 => Event::Cancelled { compact_revision: revision },
                _ => Event::ConnectionLost,
            };
            harness.handle(event);
            let names_listed: Vec<String> = harness.watcher.endpoints().into_iter().map(|s| s.name).collect();
            proptest::prop_assert_eq!(&names_listed, &harness.listed.keys().cloned().collect::<Vec<_>>(), "the published changes do not add up to the list");
            proptest::prop_assert!(harness.watcher.next_due().is_none_or(|n| n > harness.now) || harness.commands.len() < 50);
        }
    }
}
