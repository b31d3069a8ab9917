//! Following the stand-in over real sockets: faults one at a time, and many scripts of them.
mod harness;

use std::time::Duration;

use endpoint_discovery::{BackoffLimits, Phase, WatchLimits};
use etcd_fake::{FakeEtcd, NetworkState};
use harness::{WatchHarness, delete, put, quick, run};

#[test]
fn changes_arrive_as_they_come_and_a_compaction_hides_none() {
    run(async {
        let standin = FakeEtcd::start(3).await.unwrap();
        put(&standin, "a", 1);
        put(&standin, "b", 1);
        let mut play = WatchHarness::follow(&standin, quick()).await;
        play.until("the first list", |p| p.names() == ["a", "b"])
            .await;
        put(&standin, "c", 1);
        delete(&standin, "a");
        play.until("both changes", |p| p.names() == ["b", "c"])
            .await;
        // Cut off, changes are made and compacted away.
        standin.set_network_all(NetworkState::Down);
        play.until("it is behind", |p| p.phase() != Phase::Watching)
            .await;
        delete(&standin, "b");
        put(&standin, "d", 1);
        let now = standin.with_store(|s| s.revision());
        put(&standin, "e", 1);
        standin.with_store(|s| s.compact(now + 1).unwrap());
        assert_eq!(play.names(), ["b", "c"], "silence drops nobody");
        standin.set_network_all(NetworkState::Up);
        play.until("what was missed", |p| p.names() == ["c", "d", "e"])
            .await;
        play.until("it watches", |p| p.phase() == Phase::Watching)
            .await;
    });
}

#[test]
fn a_connection_that_is_open_and_silent_is_given_up_for_another_member() {
    run(async {
        let standin = FakeEtcd::start(3).await.unwrap();
        put(&standin, "a", 1);
        let mut play = WatchHarness::follow(&standin, quick()).await;
        play.until("it watches", |p| p.phase() == Phase::Watching)
            .await;
        for (made, net) in [(1, NetworkState::Stalled), (2, NetworkState::HalfOpen)] {
            // All but one, wherever it is connected now.
            (0..2).for_each(|m| standin.set_network(m, net));
            put(&standin, "b", made);
            play.until("news by the third", |p| p.names() == ["a", "b"])
                .await;
            standin.set_network_all(NetworkState::Up);
            delete(&standin, "b");
            play.until("the removal", |p| p.names() == ["a"]).await;
        }
    });
}

#[test]
fn a_lagging_member_another_cluster_and_a_backup_bring_nobody_back() {
    run(async {
        let standin = FakeEtcd::start(2).await.unwrap();
        put(&standin, "a", 1);
        put(&standin, "b", 1);
        let limits = WatchLimits {
            rollback_ms: 1500,
            ..quick()
        };
        let mut play = WatchHarness::follow(&standin, limits).await;
        play.until("it watches", |p| p.phase() == Phase::Watching)
            .await;
        let backup = standin.backup();
        // Both members stand still in turn; one always knows of the removal.
        standin.set_lagging(1, true);
        delete(&standin, "a");
        put(&standin, "c", 1);
        play.until("the removal", |p| p.names() == ["b", "c"]).await;
        standin.with_store(|s| s.compact(s.revision()).unwrap());
        for _ in 0..4 {
            standin.break_connections(0);
            standin.break_connections(1);
            play.wait(150).await;
            assert_eq!(play.names(), ["b", "c"]);
        }
        standin.set_lagging(1, false);
        play.until("it watches again", |p| p.phase() == Phase::Watching)
            .await;
        // Another cluster behind the same addresses is not believed, however long it is there.
        let own = standin.with_store(|s| std::mem::replace(&mut s.cluster_id, 1));
        standin.with_store(|s| s.compact(s.revision()).err());
        (0..2).for_each(|m| standin.break_connections(m));
        play.wait(600).await;
        assert_eq!(play.names(), ["b", "c"]);
        standin.with_store(|s| s.cluster_id = own);
        play.until("the own one again", |p| p.phase() == Phase::Watching)
            .await;
        // A backup of before: it is taken after a while, without the dead and without who came later.
        standin.restore(backup);
        play.until("the backup's list", |p| p.names() == ["b"])
            .await;
        delete(&standin, "a");
        put(&standin, "a", 9);
        play.until("a server made anew", |p| p.names() == ["a", "b"])
            .await;
    });
}

#[test]
fn large_lists_come_in_pages_and_large_changes_in_fragments() {
    run(async {
        let standin = FakeEtcd::start(1).await.unwrap();
        for n in 0..3000 {
            put(&standin, &format!("s{n:05}"), 1);
        }
        standin.set_list_delay(Duration::from_millis(20));
        let mut play = WatchHarness::follow(
            &standin,
            WatchLimits {
                silence_timeout_ms: 2000,
                ..quick()
            },
        )
        .await;
        play.until("all pages", |p| p.names().len() == 3000).await;
        standin.with_store(|s| {
            for n in 0..1000 {
                s.delete(0, &harness::delete_request(&format!("s{n:05}")));
            }
        });
        play.until("a thousand removals", |p| p.names().len() == 2000)
            .await;
        // One event that is larger than what gRPC takes without a word about it.
        let big = format!(
            r#"{{"address":"127.0.0.1:9","note":"{}"}}"#,
            "x".repeat(6 << 20)
        );
        standin.with_store(|s| {
            s.put(0, &harness::put_request("s02999", big.into_bytes()))
                .unwrap()
        });
        put(&standin, "last", 1);
        play.until("the change behind it", |p| {
            p.names().iter().any(|n| n == "last")
        })
        .await;
        assert!(
            play.names().iter().any(|n| n == "s02999"),
            "its last good value stays"
        );
    });
}

#[test]
fn a_token_that_ends_is_renewed_and_a_wrong_password_gets_nothing() {
    run(async {
        let standin = FakeEtcd::start(2).await.unwrap();
        standin.with_store(|s| {
            s.credentials = Some(("proxy".into(), "secret".into()));
            s.token_ttl = Duration::from_millis(300);
        });
        put(&standin, "a", 1);
        let mut play = WatchHarness::follow_as(&standin, quick(), Some(("proxy", "secret"))).await;
        play.until("the list", |p| p.names() == ["a"]).await;
        for n in 0..3 {
            play.wait(400).await;
            standin.change_leader();
            put(&standin, &format!("b{n}"), 1);
            play.until("news with a new token", |p| p.names().len() == n + 2)
                .await;
        }
        let mut wrong = WatchHarness::follow_as(&standin, quick(), Some(("proxy", "wrong"))).await;
        wrong.wait(300).await;
        assert!(wrong.names().is_empty() && wrong.phase() == Phase::Listing);
    });
}

#[test]
fn followers_do_not_come_back_in_step() {
    run(async {
        let standin = FakeEtcd::start(1).await.unwrap();
        put(&standin, "a", 1);
        let backoff = BackoffLimits {
            initial_ms: 1000,
            max_ms: 2000,
            ..BackoffLimits::default()
        };
        let mut all = Vec::new();
        for _ in 0..50 {
            all.push(WatchHarness::follow(&standin, WatchLimits { backoff, ..quick() }).await);
        }
        for play in &mut all {
            play.until("it watches", |p| p.phase() == Phase::Watching)
                .await;
        }
        let before = standin.connection_count();
        standin.break_connections(0);
        // In each of ten parts of the first second a tenth of them comes, give or take.
        let mut parts = Vec::new();
        for _ in 0..10 {
            let now = standin.connection_count();
            tokio::time::sleep(Duration::from_millis(100)).await;
            parts.push(standin.connection_count() - now);
        }
        for play in &mut all {
            play.until("it watches", |p| p.phase() == Phase::Watching)
                .await;
        }
        let most = parts.iter().max().copied().unwrap_or(0);
        assert!(
            standin.connection_count() - before >= 50 && most <= 25,
            "{parts:?}"
        );
    });
}

/// Seeded scripts of everything that can happen, side by side. What each must keep is in `WatchHarness`: nobody that was told to be gone
/// comes back as it was, and nobody that was there all the time is ever missing. In the end each has what the store has.
#[test]
fn two_hundred_scripts_of_faults() {
    run(async {
        let mut slowest = Duration::ZERO;
        for batch in 0..5 {
            let scripts = (0..40).map(|n| tokio::task::spawn_local(script(batch * 40 + n)));
            for script in scripts.collect::<Vec<_>>() {
                slowest = slowest.max(script.await.unwrap());
            }
        }
        println!(
            "200 scripts; the slowest removal took {slowest:?} from the store's word to the list"
        );
    });
}

async fn script(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed);
    let standin = FakeEtcd::start(3).await.unwrap();
    let names: Vec<String> = (0..6).map(|n| format!("s{n}")).collect();
    let mut made = 1;
    for name in ["keep0", "keep1"]
        .into_iter()
        .chain(names.iter().map(String::as_str))
    {
        put(&standin, name, made);
    }
    let mut play = WatchHarness::follow(&standin, quick()).await;
    play.until("the first list", |p| p.names().len() == 8).await;
    for _ in 0..20 {
        let (name, member) = (&names[rng.usize(..names.len())], rng.usize(..3));
        match rng.u8(..14) {
            0..=2 => delete(&standin, name),
            3..=5 => {
                made += 1;
                put(&standin, name, made);
            }
            6 => standin.break_connections(member),
            7 => standin.set_network(
                member,
                [
                    NetworkState::Down,
                    NetworkState::Stalled,
                    NetworkState::HalfOpen,
                ][rng.usize(..3)],
            ),
            8 => standin.set_network_all(NetworkState::Up),
            9 => standin.set_lagging(member, rng.bool()),
            10 => _ = standin.with_store(|s| s.compact(s.revision())),
            11 => standin.change_leader(),
            12 => standin.with_store(|s| _ = s.put(0, &harness::put_request(name, b"{".to_vec()))),
            _ => standin.set_network_all(NetworkState::Down),
        }
        play.wait(rng.u64(0..60)).await;
    }
    standin.set_network_all(NetworkState::Up);
    (0..3).for_each(|m| standin.set_lagging(m, false));
    // Values that can't be read are written anew, so that there is one truth to compare with.
    for name in &names {
        made += 1;
        put(&standin, name, made);
    }
    let gone = &names[..3];
    gone.iter().for_each(|name| delete(&standin, name));
    let mut expected: Vec<String> = ["keep0", "keep1"].map(str::to_owned).to_vec();
    expected.extend(names[3..].iter().cloned());
    play.until(
        &format!("script {seed} to end in what the store has"),
        |p| p.names() == expected,
    )
    .await;
    play.until("it watches", |p| p.phase() == Phase::Watching)
        .await;
    // In step, a removal is there at once.
    let began = std::time::Instant::now();
    delete(&standin, &names[3]);
    play.until("the last removal", |p| !p.names().contains(&names[3]))
        .await;
    let took = began.elapsed();
    assert!(took < Duration::from_secs(1), "script {seed}: {took:?}");
    assert!(play.ever_missing(&["keep0", "keep1"]).is_empty());
    took
}
