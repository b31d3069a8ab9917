//! Registering servers: leases, drains, leaving, and what happens to those that are held.
mod harness;

use std::time::Duration;

use endpoint_discovery::{EndpointRecord, EndpointState, WatchLimits};
use etcd::{PlaintextConnector, Registry, RegistryError, Settings};
use etcd_fake::{FakeEtcd, NetworkState};
use harness::{WatchHarness, keys, quick, run};

async fn registry(standin: &FakeEtcd) -> Registry<PlaintextConnector> {
    Registry::connect(
        PlaintextConnector,
        Settings::new(standin.endpoints()),
        keys(),
    )
    .await
    .unwrap()
}

fn entry(port: u16) -> EndpointRecord {
    EndpointRecord::new(([127, 0, 0, 1], port).into())
}

#[test]
fn a_server_joins_drains_and_leaves_and_its_value_keeps_what_others_wrote() {
    run(async {
        let standin = FakeEtcd::start(3).await.unwrap();
        let registry = registry(&standin).await;
        let mut play = WatchHarness::follow(&standin, quick()).await;
        let registration = registry
            .register("n1", &entry(9001), Duration::from_secs(5))
            .await
            .unwrap();
        play.until("it joins", |p| p.names() == ["n1"]).await;
        let taken = registry
            .register("n1", &entry(9002), Duration::from_secs(5))
            .await;
        assert_eq!(taken, Err(RegistryError::NameInUse("n1".into())));
        // Somebody else's field is there after a drain.
        let text = r#"{"v":1,"address":"127.0.0.1:9001","rack":"r7"}"#;
        let put = etcd::api::PutRequest {
            lease: registration.lease,
            ..harness::put_request("n1", text.into())
        };
        standin.with_store(|s| s.put(0, &put).unwrap());
        registry
            .set_state("n1", EndpointState::Draining)
            .await
            .unwrap();
        let draining = |p: &WatchHarness| {
            p.server("n1")
                .is_some_and(|s| s.record.state == EndpointState::Draining)
        };
        play.until("it drains", draining).await;
        let listed = registry.list().await.unwrap();
        assert_eq!(
            listed[0].record.as_ref().unwrap().unknown_fields["rack"],
            "r7"
        );
        assert_eq!(listed[0].lease, registration.lease);
        registry.deregister("n1").await.unwrap();
        play.until("it leaves", |p| p.names().is_empty()).await;
        assert!(registry.list().await.unwrap().is_empty());
        assert_eq!(
            registry.deregister("n1").await,
            Err(RegistryError::NotFound("n1".into()))
        );
        assert_eq!(
            registry.set_state("n1", EndpointState::Up).await,
            Err(RegistryError::NotFound("n1".into()))
        );
    });
}

#[test]
fn a_lease_that_is_kept_lasts_and_one_that_is_not_ends() {
    run(async {
        let standin = FakeEtcd::start(2).await.unwrap();
        let (kept, other) = (registry(&standin).await, registry(&standin).await);
        let second = Duration::from_secs(1);
        let registration = kept.register("kept", &entry(9001), second).await.unwrap();
        other.register("left", &entry(9002), second).await.unwrap();
        let mut play = WatchHarness::follow(&standin, quick()).await;
        play.until("both", |p| p.names().len() == 2).await;
        let keeping = tokio::task::spawn_local(async move { kept.keep_alive(registration).await });
        play.until("one lease ends", |p| p.names() == ["kept"])
            .await;
        play.wait(1500).await;
        assert_eq!(play.names(), ["kept"]);
        standin.set_network_all(NetworkState::Down);
        assert!(matches!(
            keeping.await.unwrap(),
            RegistryError::Unavailable(_) | RegistryError::Rejected(_)
        ));
    });
}

#[test]
fn when_all_leases_end_with_etcd_away_the_fleet_stays_until_it_is_let_go() {
    run(async {
        let standin = FakeEtcd::start(1).await.unwrap();
        let registry = registry(&standin).await;
        for n in 0..8 {
            registry
                .register(&format!("s{n}"), &entry(9000 + n), Duration::from_secs(60))
                .await
                .unwrap();
        }
        let mut play = WatchHarness::follow(&standin, quick()).await;
        play.until("all", |p| p.names().len() == 8).await;
        standin.set_network_all(NetworkState::Down);
        standin.with_store(etcd_fake::store::Store::expire_all_leases);
        standin.set_network_all(NetworkState::Up);
        play.until("they are held", |p| p.held >= 4).await;
        assert!(play.names().len() >= 4, "{:?}", play.names());
        // One registers again and is a server like any other; the word to let go concerns those that did not.
        registry
            .register("s7", &entry(9007), Duration::from_secs(60))
            .await
            .unwrap();
        play.until("it is back", |p| p.server("s7").is_some()).await;
        registry.release_retained().await.unwrap();
        play.until("the others are let go", |p| {
            p.names() == ["s7"] && p.held == 0
        })
        .await;
        // Without the guard they are gone at once.
        let mut limits: WatchLimits = quick();
        limits.table.mass_expiry_ratio = 1.0;
        let mut bare = WatchHarness::follow(&standin, limits).await;
        bare.until("the list", |p| p.names() == ["s7"]).await;
    });
}
