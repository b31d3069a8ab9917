//! Endpoint registration: leases, draining, deregistration, and endpoints retained after mass expiry.
mod harness;

use std::time::Duration;

use endpoint_discovery::{EndpointRecord, EndpointState, WatchLimits};
use etcd::{PlaintextConnector, Registry, RegistryError, Settings};
use etcd_fake::{FakeEtcd, NetworkState};
use harness::{WatchHarness, keys, run, short_limits};

async fn registry(etcd: &FakeEtcd) -> Registry<PlaintextConnector> {
    Registry::connect(PlaintextConnector, Settings::new(etcd.endpoints()), keys())
        .await
        .unwrap()
}

fn record(port: u16) -> EndpointRecord {
    EndpointRecord::new(([127, 0, 0, 1], port).into())
}

#[test]
fn endpoint_registers_drains_and_deregisters_and_keeps_unknown_fields() {
    run(async {
        let etcd = FakeEtcd::start(3).await.unwrap();
        let registry = registry(&etcd).await;
        let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
        let registration = registry
            .register("n1", &record(9001), Duration::from_secs(5))
            .await
            .unwrap();
        watcher
            .until("the registration", |w| w.names() == ["n1"])
            .await;
        let taken = registry
            .register("n1", &record(9002), Duration::from_secs(5))
            .await;
        assert_eq!(taken, Err(RegistryError::NameInUse("n1".into())));
        // A field that another program wrote is kept by a drain.
        let text = r#"{"v":1,"address":"127.0.0.1:9001","rack":"r7"}"#;
        let put = etcd::api::PutRequest {
            lease: registration.lease,
            ..harness::put_request("n1", text.into())
        };
        etcd.with_store(|s| s.put(0, &put).unwrap());
        registry
            .set_state("n1", EndpointState::Draining)
            .await
            .unwrap();
        let draining = |w: &WatchHarness| {
            w.endpoint("n1")
                .is_some_and(|s| s.record.state == EndpointState::Draining)
        };
        watcher.until("the drain", draining).await;
        let listed = registry.list().await.unwrap();
        assert_eq!(
            listed[0].record.as_ref().unwrap().unknown_fields["rack"],
            "r7"
        );
        assert_eq!(listed[0].lease, registration.lease);
        registry.deregister("n1").await.unwrap();
        watcher.until("the removal", |w| w.names().is_empty()).await;
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
fn renewed_lease_lasts_and_unrenewed_lease_expires() {
    run(async {
        let etcd = FakeEtcd::start(2).await.unwrap();
        let (registry, other) = (registry(&etcd).await, registry(&etcd).await);
        let second = Duration::from_secs(1);
        let registration = registry
            .register("kept", &record(9001), second)
            .await
            .unwrap();
        other.register("left", &record(9002), second).await.unwrap();
        let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
        watcher.until("both", |w| w.names().len() == 2).await;
        let keeping =
            tokio::task::spawn_local(async move { registry.keep_alive(registration).await });
        watcher
            .until("the expiry of one lease", |w| w.names() == ["kept"])
            .await;
        watcher.wait(1500).await;
        assert_eq!(watcher.names(), ["kept"]);
        etcd.set_network_all(NetworkState::Down);
        assert!(matches!(
            keeping.await.unwrap(),
            RegistryError::Unavailable(_) | RegistryError::Rejected(_)
        ));
    });
}

#[test]
fn endpoints_of_mass_expiry_are_retained_until_released() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        let registry = registry(&etcd).await;
        for n in 0..8 {
            registry
                .register(&format!("s{n}"), &record(9000 + n), Duration::from_secs(60))
                .await
                .unwrap();
        }
        let mut watcher = WatchHarness::start(&etcd, short_limits()).await;
        watcher.until("all", |w| w.names().len() == 8).await;
        etcd.set_network_all(NetworkState::Down);
        etcd.with_store(etcd_fake::store::Store::expire_all_leases);
        etcd.set_network_all(NetworkState::Up);
        watcher
            .until("retained endpoints", |w| w.retained >= 4)
            .await;
        assert!(watcher.names().len() >= 4, "{:?}", watcher.names());
        // An endpoint that registers again is no longer retained; the release applies to the others only.
        registry
            .register("s7", &record(9007), Duration::from_secs(60))
            .await
            .unwrap();
        watcher
            .until("the new registration", |w| w.endpoint("s7").is_some())
            .await;
        registry.release_retained().await.unwrap();
        watcher
            .until("the release of the others", |w| {
                w.names() == ["s7"] && w.retained == 0
            })
            .await;
        // Without the mass expiry limit a watcher lists none of them.
        let mut limits: WatchLimits = short_limits();
        limits.table.mass_expiry_ratio = 1.0;
        let mut unguarded = WatchHarness::start(&etcd, limits).await;
        unguarded.until("the list", |w| w.names() == ["s7"]).await;
    });
}

/// Number of conflicts after which an operation gives up.
const CONFLICTS: usize = 8;

#[test]
fn a_failed_registration_leaves_no_lease() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        let registry = registry(&etcd).await;
        let ttl = Duration::from_secs(60);
        let lease_count = || etcd.with_store(|s| s.lease_count());
        etcd.with_store(|s| s.conflicts = CONFLICTS);
        let failed = registry.register("n1", &record(9001), ttl).await;
        assert!(
            matches!(failed, Err(RegistryError::Rejected(_))),
            "{failed:?}"
        );
        assert_eq!(lease_count(), 0, "after conflicts");
        etcd.with_store(|s| s.is_space_exceeded = true);
        let failed = registry.register("n1", &record(9001), ttl).await;
        assert!(
            matches!(failed, Err(RegistryError::Rejected(_))),
            "{failed:?}"
        );
        assert_eq!(lease_count(), 0, "after a rejected write");
        etcd.with_store(|s| s.is_space_exceeded = false);
        registry.register("n1", &record(9001), ttl).await.unwrap();
        let taken = registry.register("n1", &record(9002), ttl).await;
        assert_eq!(taken, Err(RegistryError::NameInUse("n1".into())));
        assert_eq!(lease_count(), 1);
    });
}

/// Proxies take a key that is deleted without the state before for an expired lease.
#[test]
fn an_endpoint_whose_state_is_not_set_is_not_deleted() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        let registry = registry(&etcd).await;
        let ttl = Duration::from_secs(60);
        registry.register("n1", &record(9001), ttl).await.unwrap();
        etcd.with_store(|s| s.is_space_exceeded = true);
        let failed = registry.deregister("n1").await;
        assert!(
            matches!(failed, Err(RegistryError::Rejected(_))),
            "{failed:?}"
        );
        assert_eq!(
            registry.list().await.unwrap().len(),
            1,
            "after a rejected write"
        );
        etcd.with_store(|s| (s.is_space_exceeded, s.conflicts) = (false, CONFLICTS));
        let failed = registry.deregister("n1").await;
        assert!(
            matches!(failed, Err(RegistryError::Rejected(_))),
            "{failed:?}"
        );
        assert_eq!(registry.list().await.unwrap().len(), 1, "after conflicts");
        // A record that can't be read has no state to set.
        let put = harness::put_request("n1", "not a record".into());
        etcd.with_store(|s| s.put(0, &put).unwrap());
        registry.deregister("n1").await.unwrap();
        assert!(registry.list().await.unwrap().is_empty());
    });
}
