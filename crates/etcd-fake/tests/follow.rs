//! Watching the fake etcd over real sockets: single faults, and random sequences of faults.
mod harness;

use std::time::Duration;

use endpoint_discovery::{BackoffLimits, Phase, WatchLimits};
use etcd_fake::{FakeEtcd, NetworkState};
use harness::{WatchHarness, delete, put, run, short_limits};

#[test]
fn changes_arrive_in_order_and_compaction_loses_none() {
    run(async {
        let etcd = FakeEtcd::start(3).await.unwrap();
        put(&etcd, "a", 1);
        put(&etcd, "b", 1);
        let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
        watcher
            .until("the first list", |w| w.names() == ["a", "b"])
            .await;
        put(&etcd, "c", 1);
        delete(&etcd, "a");
        watcher
            .until("both changes", |w| w.names() == ["b", "c"])
            .await;
        // Changes during an outage are compacted before the watcher reconnects.
        etcd.set_network_all(NetworkState::Down);
        watcher
            .until("the loss of the watch", |w| w.phase() != Phase::Watching)
            .await;
        delete(&etcd, "b");
        put(&etcd, "d", 1);
        let now = etcd.with_store(|s| s.revision());
        put(&etcd, "e", 1);
        etcd.with_store(|s| s.compact(now + 1).unwrap());
        assert_eq!(watcher.names(), ["b", "c"], "an outage removes no endpoint");
        etcd.set_network_all(NetworkState::Up);
        watcher
            .until("the missed changes", |w| w.names() == ["c", "d", "e"])
            .await;
        watcher
            .until("the watch", |w| w.phase() == Phase::Watching)
            .await;
    });
}

#[test]
fn watcher_leaves_a_silent_connection_for_another_member() {
    run(async {
        let etcd = FakeEtcd::start(3).await.unwrap();
        put(&etcd, "a", 1);
        let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
        watcher
            .until("the watch", |w| w.phase() == Phase::Watching)
            .await;
        for (incarnation, network) in [(1, NetworkState::Stalled), (2, NetworkState::HalfOpen)] {
            // Two of three members fail; one of them may be the connected one.
            (0..2).for_each(|m| etcd.set_network(m, network));
            put(&etcd, "b", incarnation);
            watcher
                .until("the change by member 2", |w| w.names() == ["a", "b"])
                .await;
            etcd.set_network_all(NetworkState::Up);
            delete(&etcd, "b");
            watcher.until("the removal", |w| w.names() == ["a"]).await;
        }
    });
}

#[test]
fn lagging_member_foreign_cluster_and_backup_restore_no_removed_endpoint() {
    run(async {
        let etcd = FakeEtcd::start(2).await.unwrap();
        put(&etcd, "a", 1);
        put(&etcd, "b", 1);
        let limits = WatchLimits {
            rollback_ms: 1500,
            ..short_limits()
        };
        let mut watcher = WatchHarness::start(&etcd, limits).await;
        watcher
            .until("the watch", |w| w.phase() == Phase::Watching)
            .await;
        let backup = etcd.backup();
        // Member 1 lags, so that only member 0 knows of the removal.
        etcd.set_lagging(1, true);
        delete(&etcd, "a");
        put(&etcd, "c", 1);
        watcher
            .until("the removal", |w| w.names() == ["b", "c"])
            .await;
        etcd.with_store(|s| s.compact(s.revision()).unwrap());
        for _ in 0..4 {
            etcd.break_connections(0);
            etcd.break_connections(1);
            watcher.wait(150).await;
            assert_eq!(watcher.names(), ["b", "c"]);
        }
        etcd.set_lagging(1, false);
        watcher
            .until("the watch again", |w| w.phase() == Phase::Watching)
            .await;
        // Another cluster behind the same addresses is ignored for as long as it is there.
        let own_cluster_id = etcd.with_store(|s| std::mem::replace(&mut s.cluster_id, 1));
        etcd.with_store(|s| s.compact(s.revision()).err());
        (0..2).for_each(|m| etcd.break_connections(m));
        watcher.wait(600).await;
        assert_eq!(watcher.names(), ["b", "c"]);
        etcd.with_store(|s| s.cluster_id = own_cluster_id);
        watcher
            .until("the own cluster again", |w| w.phase() == Phase::Watching)
            .await;
        // A restored backup is accepted after the rollback delay: without the endpoint removed since, and without the later one.
        etcd.restore(backup);
        watcher
            .until("the backup's list", |w| w.names() == ["b"])
            .await;
        delete(&etcd, "a");
        put(&etcd, "a", 9);
        watcher
            .until("a new incarnation", |w| w.names() == ["a", "b"])
            .await;
    });
}

#[test]
fn large_lists_arrive_in_pages_and_large_changes_in_fragments() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        for n in 0..3000 {
            put(&etcd, &format!("s{n:05}"), 1);
        }
        etcd.set_list_delay(Duration::from_millis(20));
        let mut watcher = WatchHarness::start(
            &etcd,
            WatchLimits {
                silence_timeout_ms: 2000,
                ..short_limits()
            },
        )
        .await;
        watcher
            .until("all pages", |w| w.names().len() == 3000)
            .await;
        etcd.with_store(|s| {
            for n in 0..1000 {
                s.delete(0, &harness::delete_request(&format!("s{n:05}")));
            }
        });
        watcher
            .until("a thousand removals", |w| w.names().len() == 2000)
            .await;
        // A single event above the default message limit of gRPC.
        let large_record = format!(
            r#"{{"address":"127.0.0.1:9","note":"{}"}}"#,
            "x".repeat(6 << 20)
        );
        etcd.with_store(|s| {
            s.put(
                0,
                &harness::put_request("s02999", large_record.into_bytes()),
            )
            .unwrap()
        });
        put(&etcd, "last", 1);
        watcher
            .until("the change after it", |w| {
                w.names().iter().any(|n| n == "last")
            })
            .await;
        assert!(
            watcher.names().iter().any(|n| n == "s02999"),
            "its last valid record stays"
        );
    });
}

#[test]
fn expired_token_is_refreshed_and_wrong_password_gets_no_list() {
    run(async {
        let etcd = FakeEtcd::start(2).await.unwrap();
        etcd.with_store(|s| {
            s.credentials = Some(("proxy".into(), "secret".into()));
            s.token_ttl = Duration::from_millis(300);
        });
        put(&etcd, "a", 1);
        let mut watcher =
            WatchHarness::start_with_credentials(&etcd, short_limits(), Some(("proxy", "secret")))
                .await;
        watcher.until("the list", |w| w.names() == ["a"]).await;
        for n in 0..3 {
            watcher.wait(400).await;
            etcd.change_leader();
            put(&etcd, &format!("b{n}"), 1);
            watcher
                .until("the change with a new token", |w| w.names().len() == n + 2)
                .await;
        }
        let mut rejected =
            WatchHarness::start_with_credentials(&etcd, short_limits(), Some(("proxy", "wrong")))
                .await;
        rejected.wait(300).await;
        assert!(rejected.names().is_empty() && rejected.phase() == Phase::Listing);
    });
}

#[test]
fn watchers_reconnect_at_random_times() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        put(&etcd, "a", 1);
        let backoff = BackoffLimits {
            initial_ms: 1000,
            max_ms: 2000,
            ..BackoffLimits::default()
        };
        let mut watchers = Vec::new();
        for _ in 0..50 {
            watchers.push(
                WatchHarness::start(
                    &etcd,
                    WatchLimits {
                        backoff,
                        ..short_limits()
                    },
                )
                .await,
            );
        }
        for watcher in &mut watchers {
            watcher
                .until("the watch", |w| w.phase() == Phase::Watching)
                .await;
        }
        let before = etcd.connection_count();
        etcd.break_connections(0);
        // About a tenth of the connections arrives in each of ten parts of the first second.
        let mut parts = Vec::new();
        for _ in 0..10 {
            let count = etcd.connection_count();
            tokio::time::sleep(Duration::from_millis(100)).await;
            parts.push(etcd.connection_count() - count);
        }
        for watcher in &mut watchers {
            watcher
                .until("the watch", |w| w.phase() == Phase::Watching)
                .await;
        }
        let max_per_part = parts.iter().max().copied().unwrap_or(0);
        assert!(
            etcd.connection_count() - before >= 50 && max_per_part <= 25,
            "{parts:?}"
        );
    });
}

/// Runs seeded random sequences of changes and faults concurrently. `WatchHarness` checks that no removed endpoint reappears as
/// the same incarnation; here no endpoint that was never removed may go missing, and each list ends equal to the store.
#[test]
fn lists_match_the_store_after_two_hundred_random_fault_sequences() {
    run(async {
        let mut slowest = Duration::ZERO;
        for batch in 0..5 {
            let sequences =
                (0..40).map(|n| tokio::task::spawn_local(fault_sequence(batch * 40 + n)));
            for sequence in sequences.collect::<Vec<_>>() {
                slowest = slowest.max(sequence.await.unwrap());
            }
        }
        println!(
            "200 fault sequences; the slowest removal took {slowest:?} from the store to the list"
        );
    });
}

async fn fault_sequence(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed);
    let etcd = FakeEtcd::start(3).await.unwrap();
    let names: Vec<String> = (0..6).map(|n| format!("s{n}")).collect();
    let mut incarnation = 1;
    for name in ["keep0", "keep1"]
        .into_iter()
        .chain(names.iter().map(String::as_str))
    {
        put(&etcd, name, incarnation);
    }
    let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
    watcher
        .until("the first list", |w| w.names().len() == 8)
        .await;
    for _ in 0..20 {
        let (name, member) = (&names[rng.usize(..names.len())], rng.usize(..3));
        match rng.u8(..14) {
            0..=2 => delete(&etcd, name),
            3..=5 => {
                incarnation += 1;
                put(&etcd, name, incarnation);
            }
            6 => etcd.break_connections(member),
            7 => etcd.set_network(
                member,
                [
                    NetworkState::Down,
                    NetworkState::Stalled,
                    NetworkState::HalfOpen,
                ][rng.usize(..3)],
            ),
            8 => etcd.set_network_all(NetworkState::Up),
            9 => etcd.set_lagging(member, rng.bool()),
            10 => _ = etcd.with_store(|s| s.compact(s.revision())),
            11 => etcd.change_leader(),
            12 => etcd.with_store(|s| _ = s.put(0, &harness::put_request(name, b"{".to_vec()))),
            _ => etcd.set_network_all(NetworkState::Down),
        }
        watcher.wait(rng.u64(0..60)).await;
    }
    etcd.set_network_all(NetworkState::Up);
    (0..3).for_each(|m| etcd.set_lagging(m, false));
    // Replace unreadable records, so that the list and the store can be compared.
    for name in &names {
        incarnation += 1;
        put(&etcd, name, incarnation);
    }
    let removed = &names[..3];
    removed.iter().for_each(|name| delete(&etcd, name));
    let mut expected: Vec<String> = ["keep0", "keep1"].map(str::to_owned).to_vec();
    expected.extend(names[3..].iter().cloned());
    watcher
        .until(
            &format!("the list of sequence {seed} to match the store"),
            |w| w.names() == expected,
        )
        .await;
    watcher
        .until("the watch", |w| w.phase() == Phase::Watching)
        .await;
    // Without faults a removal arrives within a second.
    let started = std::time::Instant::now();
    delete(&etcd, &names[3]);
    watcher
        .until("the last removal", |w| !w.names().contains(&names[3]))
        .await;
    let took = started.elapsed();
    assert!(took < Duration::from_secs(1), "sequence {seed}: {took:?}");
    assert!(watcher.ever_removed(&["keep0", "keep1"]).is_empty());
    took
}
