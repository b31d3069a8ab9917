//! Hard cases of following a store, one at a time.
use endpoint_discovery::{
    BackoffLimits, Command, EndpointCounts, EndpointWatcher, Event, Header, KeyChange, KeySpace,
    KeyValue, ListChange, Notice, Phase, WatchLimits,
};

const CLUSTER: u64 = 1;

struct Play {
    follower: EndpointWatcher,
    now: u64,
    /// What the last event led to.
    out: Vec<Command>,
    up: std::collections::BTreeMap<String, u64>,
}

fn keys() -> KeySpace {
    KeySpace::new("/fleet", "p")
}

fn kv(name: &str, revision: i64, made: i64, lease: i64, more: &str) -> KeyValue {
    let value = format!(r#"{{"address":"127.0.0.1:9000"{more}}}"#);
    KeyValue {
        key: keys().endpoint_key(name).into_bytes(),
        value: value.into_bytes(),
        mod_revision: revision,
        create_revision: made,
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

impl Play {
    fn new() -> Self {
        let limits = WatchLimits {
            backoff: BackoffLimits {
                jitter: false,
                ..BackoffLimits::default()
            },
            ..WatchLimits::default()
        };
        let mut play = Play {
            follower: EndpointWatcher::new(keys(), limits, 1),
            now: 1,
            out: Vec::new(),
            up: Default::default(),
        };
        play.hear(Event::Timer);
        play
    }

    /// One that watches these servers from a revision on.
    fn watching(kvs: Vec<KeyValue>, revision: i64) -> Self {
        let mut play = Play::new();
        play.hear(Event::Connected);
        play.hear(Event::Page {
            header: header(revision),
            key_values: kvs,
            more: false,
        });
        play.hear(Event::WatchEstablished(header(revision)));
        assert_eq!(play.phase(), Phase::Watching);
        play
    }

    fn hear(&mut self, event: Event) {
        self.out.clear();
        self.follower
            .handle(self.now, 1_000_000 + self.now, event, &mut self.out);
        for command in &self.out {
            match command {
                Command::Publish(ListChange::Complete(all)) => {
                    self.up = all
                        .iter()
                        .map(|s| (s.name.clone(), s.started_at_ms))
                        .collect();
                }
                Command::Publish(ListChange::Upserted(s)) => {
                    _ = self.up.insert(s.name.clone(), s.started_at_ms)
                }
                Command::Publish(ListChange::Removed(name)) => _ = self.up.remove(name),
                _ => {}
            }
        }
    }

    fn changes(&mut self, revision: i64, changes: Vec<KeyChange>) {
        self.hear(Event::Changes {
            header: header(revision),
            changes,
            fragment: false,
        });
    }

    /// Lets time pass, with its timers.
    fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(next) = self.follower.next_due().filter(|n| *n <= end) {
            self.now = next.max(self.now + 1);
            self.hear(Event::Timer);
        }
        self.now = end;
    }

    fn phase(&self) -> Phase {
        self.follower.status(self.now).phase
    }

    fn has(&self, name: &str) -> bool {
        self.up.contains_key(name)
    }

    fn noted(&self, f: impl Fn(&Notice) -> bool) -> bool {
        self.out
            .iter()
            .any(|c| matches!(c, Command::Notice(n) if f(n)))
    }
}

fn counts(total: usize, quarantined: usize, retained: usize) -> EndpointCounts {
    EndpointCounts {
        total,
        quarantined,
        retained,
    }
}

fn three(lease: i64) -> Vec<KeyValue> {
    ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(i, n)| kv(n, i as i64 + 1, i as i64 + 1, lease, ""))
        .collect()
}

#[test]
fn a_removal_is_told_at_once_and_a_return_is_cold() {
    let mut play = Play::watching(three(0), 10);
    assert_eq!(
        play.up["a"], 0,
        "who was there at the first list started long ago"
    );
    play.changes(11, vec![delete("a", 11)]);
    assert!(!play.has("a") && play.has("b"));
    play.now += 500;
    play.changes(12, vec![KeyChange::Put(kv("a", 12, 12, 0, ""))]);
    assert_eq!(play.up["a"], 1_000_000 + play.now, "it has just started");
    play.changes(
        13,
        vec![KeyChange::Put(kv("b", 13, 2, 0, r#","state":"gone""#))],
    );
    assert!(
        !play.has("b"),
        "who says that it leaves is gone before its key is"
    );
}

#[test]
fn what_was_missed_by_a_compaction_is_found_by_the_next_list() {
    let mut play = Play::watching(three(0), 10);
    play.hear(Event::ConnectionLost);
    assert!(play.has("a"), "silence drops nobody");
    play.hear(Event::Connected);
    assert_eq!(play.out, [Command::Watch(11)]);
    play.hear(Event::Cancelled {
        compact_revision: 40,
    });
    assert!(play.noted(|n| *n == Notice::Compacted(40)) && play.phase() == Phase::Resyncing);
    assert!(play.has("a"));
    // A page at a time, at one revision.
    play.hear(Event::Page {
        header: header(50),
        key_values: vec![kv("b", 2, 2, 0, "")],
        more: true,
    });
    let mut from = keys().endpoint_key("b").into_bytes();
    from.push(0);
    assert_eq!(
        play.out,
        [Command::List {
            start_key: from,
            revision: 50
        }]
    );
    play.hear(Event::PageCompacted);
    assert!(
        matches!(play.out[0], Command::List { revision: 0, .. }),
        "it begins anew"
    );
    let d = kv("d", 45, 45, 0, "");
    play.hear(Event::Page {
        header: header(51),
        key_values: vec![kv("b", 2, 2, 0, ""), d],
        more: false,
    });
    let told: Vec<&Command> = play
        .out
        .iter()
        .filter(|c| matches!(c, Command::Publish(_)))
        .collect();
    assert!(
        matches!(told[0], Command::Publish(ListChange::Removed(n)) if n == "a"),
        "removals come first: {told:?}"
    );
    assert_eq!(play.up.keys().collect::<Vec<_>>(), ["b", "d"]);
    assert!(play.out.contains(&Command::Watch(52)));
}

#[test]
fn a_lagging_member_brings_nobody_back_and_a_backup_does_after_a_while_but_not_the_dead() {
    let mut play = Play::watching(three(0), 10);
    play.changes(11, vec![delete("a", 11)]);
    play.hear(Event::Cancelled {
        compact_revision: 20,
    });
    let old = || Event::Page {
        header: header(9),
        key_values: three(0),
        more: false,
    };
    play.hear(old());
    assert!(
        play.noted(|n| *n
            == Notice::Lagging {
                member_revision: 9,
                known_revision: 11
            })
            && !play.has("a")
    );
    let mut turned = false;
    for _ in 0..40 {
        play.pass(1000);
        play.hear(Event::Connected);
        play.hear(old());
        turned |= play.noted(|n| matches!(n, Notice::RolledBack { .. }));
        assert!(!play.has("a"));
        if turned {
            break;
        }
    }
    assert!(turned, "all that there is has an older state");
    assert!(
        play.noted(
            |n| matches!(n, Notice::Table(text) if text.to_string().starts_with("a is gone"))
        ),
        "{:?}",
        play.out
    );
    assert!(play.has("b") && !play.has("a"));
    play.hear(Event::WatchEstablished(header(9)));
    // Made anew in the store's new past, it is another server.
    play.changes(10, vec![delete("a", 10)]);
    play.changes(11, vec![KeyChange::Put(kv("a", 11, 11, 0, ""))]);
    assert!(play.has("a"));
}

#[test]
fn a_backup_is_noticed_by_a_watch_that_waits_for_a_future_that_does_not_come() {
    let mut play = Play::watching(three(0), 10);
    play.changes(11, vec![delete("a", 11)]);
    play.hear(Event::ConnectionLost);
    let (mut lists, mut members) = (0, 0);
    for _ in 0..60 {
        play.pass(1000);
        play.hear(Event::Connected);
        members += 1;
        if play.out.contains(&Command::Watch(12)) {
            play.hear(Event::WatchEstablished(header(9)));
            for _ in 0..3 {
                play.pass(1000);
                if matches!(play.out.last(), Some(Command::RequestProgress)) {
                    play.hear(Event::Progress(header(9)));
                }
            }
        }
        lists += play
            .out
            .iter()
            .filter(|c| matches!(c, Command::List { .. }))
            .count();
        if lists > 0 {
            break;
        }
    }
    assert!(members > 2, "other members were asked first");
    play.hear(Event::Page {
        header: header(9),
        key_values: three(0),
        more: false,
    });
    assert!(
        play.noted(|n| matches!(
            n,
            Notice::RolledBack {
                member_revision: 9,
                known_revision: 11
            }
        )),
        "{:?}",
        play.out
    );
    assert!(play.has("b") && !play.has("a"));
}

#[test]
fn another_store_at_the_same_address_is_not_believed() {
    let mut play = Play::watching(three(0), 10);
    play.hear(Event::ConnectionLost);
    play.hear(Event::Connected);
    play.hear(Event::Cancelled {
        compact_revision: 0,
    });
    play.hear(Event::Page {
        header: Header {
            cluster: 2,
            revision: 99,
        },
        key_values: Vec::new(),
        more: false,
    });
    assert!(play.noted(|n| *n == Notice::OtherCluster(2)));
    assert_eq!(play.up.len(), 3);
}

#[test]
fn silence_is_noticed_told_of_and_drops_nobody() {
    let mut play = Play::watching(three(7), 10);
    play.pass(1000);
    assert_eq!(play.out, [Command::RequestProgress]);
    play.hear(Event::Progress(header(15)));
    assert_eq!(play.follower.status(play.now).revision, 15);
    play.pass(2999);
    assert_eq!(play.phase(), Phase::Watching);
    play.pass(10);
    assert!(
        play.out
            .iter()
            .any(|c| matches!(c, Command::Connect { member: 1, .. })),
        "{:?}",
        play.out
    );
    play.pass(20_000);
    let status = play.follower.status(play.now);
    assert!(status.phase == Phase::Stale && status.stale_since.is_some() && play.up.len() == 3);
    play.hear(Event::Connected);
    assert_eq!(
        play.out.last(),
        Some(&Command::Watch(16)),
        "what was told by progress need not be told again"
    );
}

#[test]
fn fragments_are_one_change_and_what_comes_twice_is_no_news() {
    let mut play = Play::watching(three(0), 10);
    let part = |changes, fragment| Event::Changes {
        header: header(30),
        changes,
        fragment,
    };
    play.hear(part(vec![delete("a", 11)], true));
    assert!(play.has("a"), "the rest is still to come");
    play.hear(Event::ConnectionLost);
    play.hear(Event::Connected);
    assert_eq!(
        play.out.last(),
        Some(&Command::Watch(11)),
        "half of an answer is none"
    );
    play.hear(Event::WatchEstablished(header(30)));
    play.hear(part(vec![delete("a", 11)], true));
    play.hear(part(vec![KeyChange::Put(kv("a", 12, 12, 0, ""))], false));
    assert!(
        play.has("a") && play.follower.status(play.now).revision == 12,
        "the header was ahead of the changes"
    );
    play.changes(30, vec![delete("a", 11), delete("b", 13)]);
    assert!(play.has("a") && !play.has("b"));
}

#[test]
fn a_value_that_cannot_be_read_concerns_its_server_alone() {
    let mut play = Play::watching(three(0), 10);
    let mut bad = kv("a", 11, 1, 0, "");
    bad.value = b"{".to_vec();
    let mut new = kv("z", 12, 12, 0, "");
    new.value = b"\xff".to_vec();
    play.changes(12, vec![KeyChange::Put(bad), KeyChange::Put(new)]);
    assert!(play.has("a") && !play.has("z"));
    assert_eq!(play.follower.status(play.now).endpoints, counts(3, 1, 0));
    play.changes(
        13,
        vec![KeyChange::Put(kv("a", 13, 1, 0, r#","size":3.0"#))],
    );
    assert_eq!(play.follower.status(play.now).endpoints, counts(3, 0, 0));
}

#[test]
fn leases_that_end_together_do_not_empty_the_list() {
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let all = || {
        names
            .iter()
            .enumerate()
            .map(|(i, n)| kv(n, i as i64 + 1, i as i64 + 1, 5, ""))
            .collect::<Vec<_>>()
    };
    // One by one in separate answers: after half of them the others are held.
    let mut play = Play::watching(all(), 10);
    for (i, name) in names.iter().enumerate() {
        play.now += 50;
        play.changes(11 + i as i64, vec![delete(name, 11 + i as i64)]);
    }
    assert_eq!(
        (
            play.up.len(),
            play.follower.status(play.now).endpoints.retained
        ),
        (5, 5)
    );
    // Who comes back is taken, others are let go after a minute.
    play.changes(30, vec![KeyChange::Put(kv("s9", 30, 30, 6, ""))]);
    play.pass(59_000);
    assert_eq!(play.up.len(), 5);
    play.pass(2000);
    assert_eq!(play.up.keys().collect::<Vec<_>>(), ["s9"]);
    // All in one answer: all are held, until an operator says otherwise.
    let mut play = Play::watching(all(), 10);
    play.changes(11, names.iter().map(|n| delete(n, 11)).collect());
    assert_eq!(play.up.len(), 10);
    let release = KeyValue {
        key: keys().release_key().into(),
        ..kv("x", 12, 12, 0, "")
    };
    play.changes(12, vec![KeyChange::Put(release)]);
    assert!(play.up.is_empty());
    // Without leases, or on purpose, nothing is held.
    let mut play = Play::watching(all(), 10);
    let gone = names
        .iter()
        .enumerate()
        .map(|(i, n)| KeyChange::Put(kv(n, 11 + i as i64, i as i64 + 1, 5, r#","state":"gone""#)));
    play.changes(20, gone.collect());
    assert!(play.up.is_empty());
}

#[test]
fn a_server_that_comes_and_goes_must_stay_before_it_is_taken_back() {
    let mut play = Play::watching(three(0), 10);
    let mut revision = 10;
    for n in 0..8 {
        play.now += 1000;
        play.changes(revision + 1, vec![delete("a", revision + 1)]);
        assert!(!play.has("a"), "a removal is never held back");
        play.changes(
            revision + 2,
            vec![KeyChange::Put(kv("a", revision + 2, revision + 2, 0, ""))],
        );
        revision += 2;
        assert_eq!(play.has("a"), n < 3, "return {n}");
    }
    play.pass(9000);
    assert!(!play.has("a"));
    play.hear(Event::Progress(header(revision)));
    play.pass(1500);
    assert!(play.has("a") && play.has("b"));
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 500, failure_persistence: None, ..Default::default()
    })]

    /// Whatever the store says in whatever order: no panic, bounded tables, and nothing up whose removal at a newer revision
    /// was told while the past stayed the same.
    #[test]
    fn no_word_of_the_store_breaks_it(
        words in proptest::collection::vec((0..8u8, 0..6usize, 0..40i64, 0..3i64, 0..4000u64), 1..80),
    ) {
        let mut play = Play::new();
        let names = ["a", "b", "c", "d", "e", "f"];
        for (what, name, revision, lease, wait) in words {
            play.now += wait;
            let put = kv(names[name], revision, revision, lease, if revision % 7 == 3 { "," } else { "" });
            let event = match what {
                0 => Event::Timer,
                1 => Event::Connected,
                2 => Event::Page { header: header(revision), key_values: vec![put], more: lease == 1 },
                3 => Event::WatchEstablished(header(revision)),
                4 => Event::Changes { header: header(revision), changes: vec![KeyChange::Put(put)], fragment: lease == 2 },
                5 => Event::Changes { header: header(revision), changes: vec![delete(names[name], revision)], fragment: false },
                6 => Event::Cancelled { compact_revision: revision },
                _ => Event::ConnectionLost,
            };
            play.hear(event);
            let held: Vec<String> = play.follower.endpoints().into_iter().map(|s| s.name).collect();
            proptest::prop_assert_eq!(&held, &play.up.keys().cloned().collect::<Vec<_>>(), "what was told is what is there");
            proptest::prop_assert!(play.follower.next_due().is_none_or(|n| n > play.now) || play.out.len() < 50);
        }
    }
}
