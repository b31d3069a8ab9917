//! Activation and deactivation of tenants, combined with changes, drains, many simultaneous activations,
//! damage and a restart.

#[path = "data_plane/mod.rs"]
mod fixture;

use std::rc::Rc;
use std::time::Duration;

use config_parser::units::Milliseconds;
use fixture::{Backend, lookup, plane, run_local, server, tenant};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use multi_tenant::catalog::PartInterner;
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::{DiscoverySettings, Process, State, Tenant};
use multi_tenant::plan::PreparedChange;
use proxy_core::service::{RouteError, Router};
use tokio::time::sleep;

fn tenant_header(name: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-tenant-id", HeaderValue::from_str(name).expect("a name"));
    headers
}

/// Requests a tenant's pool like the proxy's listener.
async fn pool(router: &impl Router, name: &str) -> Result<Rc<proxy_core::pool::Pool>, RouteError> {
    let uri = "/lookup".parse().expect("a target");
    match router.pool(&uri, &tenant_header(name), false) {
        Err(RouteError::NeedsTurn) => {
            router.wait_for_turn().await;
            router.pool(&uri, &tenant_header(name), true)
        }
        found => found,
    }
}

/// Returns the servers of an active tenant: name, whether it has just started, whether it accepts new requests.
fn server_states(plane: &DataPlane, name: &str) -> Vec<(String, bool, bool)> {
    plane
        .endpoints_of(name)
        .into_iter()
        .map(|(name, start_time, up)| (name, start_time > 0.0, up))
        .collect()
}

fn active_names(plane: &DataPlane) -> Vec<String> {
    plane
        .status(usize::MAX)
        .into_iter()
        .filter(|status| status.active)
        .map(|status| status.name)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn tenants_are_active_from_the_first_request_until_the_idle_timeout() {
    run_local(async {
        let plane = plane(
            Process::default(),
            (0..50).map(|n| tenant(n, &[])).collect(),
        );
        assert_eq!(
            (
                plane.activation_status().tenants,
                plane.activation_status().active
            ),
            (50, 0)
        );
        let router = plane.router("all");
        let pool_in_use = pool(&router, "t00007").await.expect("activated");
        assert!(matches!(
            pool(&router, "nobody").await,
            Err(RouteError::Status(StatusCode::NOT_FOUND, _))
        ));
        assert_eq!(active_names(&plane), ["t00007"]);
        let status = plane.status_of("t00007").expect("it exists");
        sleep(Duration::from_secs(1)).await;
        assert!(status.active && plane.status_of("t00007").expect("it exists").ready);
        // The tenant stays active while its pool is in use.
        sleep(Duration::from_secs(3600)).await;
        assert_eq!(plane.activation_status().active, 1);
        let before = plane.status_of("t00007").expect("it exists").loop_ms;
        drop(pool_in_use);
        sleep(Duration::from_secs(120)).await;
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().deactivations
            ),
            (0, 1)
        );
        let after = plane.status_of("t00007").expect("it exists");
        assert!(!after.active && after.ready && after.servers == [2, 2]);
        assert!(
            before > 0.0 && after.loop_ms >= before,
            "counters continue: {before}, {}",
            after.loop_ms
        );
        drop(pool(&router, "t00007").await.expect("activated again"));
        assert!(plane.status_of("t00007").expect("it exists").loop_ms >= after.loop_ms);
        // The length of the status list is limited; active tenants come first.
        let listed: Vec<String> = plane
            .status(3)
            .into_iter()
            .map(|status| status.name)
            .collect();
        assert_eq!(listed, ["t00007", "t00000", "t00001"]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn the_limit_of_active_tenants_holds_and_waiting_ones_get_a_retry_delay() {
    run_local(async {
        let process = Process {
            max_active_tenants: 4,
            ..Process::default()
        };
        let plane = plane(process, (0..50).map(|n| tenant(n, &[])).collect());
        let router = plane.router("all");
        let mut pools = Vec::new();
        for n in 0..4 {
            pools.push(pool(&router, &format!("t{n:05}")).await.expect("activated"));
        }
        sleep(Duration::from_secs(1)).await;
        // The pools of all active tenants are in use.
        let Err(RouteError::RetryAfter(wait)) = pool(&router, "t00010").await else {
            panic!("activated beyond the limit")
        };
        assert!((1.0..=10_000.0).contains(&wait), "{wait}");
        assert!(matches!(
            pool(&router, "t00011").await,
            Err(RouteError::RetryAfter(_))
        ));
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().waiting
            ),
            (4, 2)
        );
        drop(pools.swap_remove(1));
        // The free place is for the tenant that requested it first, whatever others request.
        assert!(matches!(
            pool(&router, "t00012").await,
            Err(RouteError::RetryAfter(_))
        ));
        assert!(matches!(
            pool(&router, "t00011").await,
            Err(RouteError::RetryAfter(_))
        ));
        drop(pool(&router, "t00010").await.expect("its turn"));
        assert_eq!(
            active_names(&plane),
            ["t00000", "t00002", "t00003", "t00010"]
        );
        let status = plane.activation_status();
        assert_eq!(
            (status.evictions, status.deferrals, status.activations),
            (1, 4, 5)
        );
        // Active tenants are still served.
        drop(pool(&router, "t00000").await.expect("already active"));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_thousand_simultaneous_activations_do_not_block_active_tenants() {
    run_local(async {
        let plane = plane(
            Process::default(),
            (0..1001).map(|n| tenant(n, &[])).collect(),
        );
        let router = Rc::new(plane.router("all"));
        drop(pool(&*router, "t01000").await.expect("activated"));
        sleep(Duration::from_secs(1)).await;
        let activated = Rc::new(std::cell::Cell::new(0));
        let tasks: Vec<_> = (0..1000)
            .map(|n| {
                let (router, activated) = (router.clone(), activated.clone());
                tokio::task::spawn_local(async move {
                    drop(
                        pool(&*router, &format!("t{n:05}"))
                            .await
                            .expect("activated"),
                    );
                    activated.set(activated.get() + 1);
                })
            })
            .collect();
        // The busy tenant has a turn in each round of the event loop; few tenants are activated in between.
        let (mut turns, mut max_per_round, mut before) = (0, 0, 0);
        while activated.get() < 1000 {
            drop(pool(&*router, "t01000").await.expect("already active"));
            tokio::task::yield_now().await;
            max_per_round = max_per_round.max(activated.get() - before);
            before = activated.get();
            turns += 1;
        }
        for task in tasks {
            task.await.expect("activated");
        }
        assert!(
            max_per_round <= 8,
            "{max_per_round} activations between two turns of the busy tenant"
        );
        assert!(turns >= 125, "the busy tenant had only {turns} turns");
        assert_eq!(plane.activation_status().activations, 1001);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn changing_an_inactive_tenant_does_not_activate_it_and_applies_to_the_next_request() {
    run_local(async {
        let plane = plane(Process::default(), (0..9).map(|n| tenant(n, &[])).collect());
        let router = plane.router("all");
        let mut parts = PartInterner::default();
        let change = |parts: &mut PartInterner, tenant: &Tenant| {
            let mut next = plane.catalog();
            next.insert(parts, tenant, 1);
            plane
                .apply_prepared(PreparedChange::between(&plane.catalog(), next))
                .expect("applied");
        };
        // The change affects servers and classes.
        let mut other = tenant(1, &[]);
        other.servers.push(server("s9", "127.0.0.1:9"));
        other.servers[0].state = State::Draining;
        other.classes[0].name = "search".into();
        change(&mut parts, &other);
        assert_eq!(plane.activation_status().active, 0);
        let status = plane.status_of("t00001").expect("it exists");
        assert_eq!((status.servers, status.active), ([2, 3], false));
        // The added server has just started; its start time is retained until the activation.
        assert_eq!(plane.activation_status().retained_entries, 1);
        drop(pool(&router, "t00001").await.expect("activated"));
        sleep(Duration::from_millis(10)).await;
        assert_eq!(plane.activation_status().retained_entries, 0);
        let states: Vec<(String, bool, bool)> = server_states(&plane, "t00001");
        let states: Vec<(&str, bool, bool)> = states
            .iter()
            .map(|(n, new, up)| (&**n, *new, *up))
            .collect();
        assert_eq!(
            states,
            [
                ("s0", false, false),
                ("s1", false, true),
                ("s9", true, true)
            ]
        );
        // After a removal and addition of an inactive tenant all its servers are new.
        let mut next = plane.catalog();
        next.remove("t00002");
        plane.apply_catalog(next).expect("applied");
        assert!(matches!(
            pool(&router, "t00002").await,
            Err(RouteError::Status(StatusCode::NOT_FOUND, _))
        ));
        change(&mut parts, &tenant(2, &[]));
        drop(pool(&router, "t00002").await.expect("added again"));
        assert!(
            server_states(&plane, "t00002")
                .iter()
                .all(|(_, new, _)| *new)
        );
        // Routing and activation happen in the same turn with the same version; a later version replaces the
        // pool.
        let before = pool(&router, "t00003").await.expect("activated");
        let mut third = tenant(3, &[]);
        third.classes[0].name = "search".into();
        change(&mut parts, &third);
        let after = pool(&router, "t00003").await.expect("already active");
        assert!(
            !Rc::ptr_eq(&before, &after),
            "a request that was routed earlier uses the former pool or is routed again"
        );
        // The tenant stays active until the former pool has ended.
        drop(after);
        sleep(Duration::from_secs(3600)).await;
        assert!(plane.status_of("t00003").expect("it exists").active);
        drop(before);
        sleep(Duration::from_secs(120)).await;
        assert_eq!(plane.activation_status().active, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_tenant_is_activated_with_a_version_applied_while_it_waits_for_its_turn() {
    run_local(async {
        let plane = plane(
            Process::default(),
            (0..20).map(|n| tenant(n, &[])).collect(),
        );
        let router = plane.router("all");
        let uri = "/lookup".parse().expect("a target");
        let find = |name: &str, turn| router.pool(&uri, &tenant_header(name), turn);
        // All activation turns of this round are used, so that the next tenants are activated in a later one.
        let mut pools = Vec::new();
        let first_waiting = (0..20).find(|n| match find(&format!("t{n:05}"), false) {
            Ok(pool) => {
                pools.push(pool);
                false
            }
            Err(error) => error == RouteError::NeedsTurn,
        });
        assert!(
            first_waiting.is_some_and(|n| n < 10),
            "turns are limited: {first_waiting:?}"
        );
        for name in ["t00010", "t00011", "t00012"] {
            assert_eq!(
                find(name, false).err(),
                Some(RouteError::NeedsTurn),
                "{name}"
            );
        }
        // Meanwhile the first tenant gets other servers and classes, the second is removed, and the third is
        // removed and added again.
        let mut parts = PartInterner::default();
        let mut other = tenant(10, &[]);
        other.servers[0].state = State::Draining;
        other.servers.push(server("s9", "127.0.0.1:9"));
        other.classes[0].name = "search".into();
        let mut next = plane.catalog();
        next.insert(&mut parts, &other, 2);
        next.remove("t00011");
        next.remove("t00012");
        plane.apply_catalog(next).expect("applied");
        let mut next = plane.catalog();
        next.insert(&mut parts, &tenant(12, &[]), 3);
        plane.apply_catalog(next).expect("applied");
        assert_eq!(
            plane.activation_status().active,
            pools.len(),
            "a change activates no tenant"
        );
        for (name, servers) in [
            (
                "t00010",
                Some(vec![
                    ("s0", false, false),
                    ("s1", false, true),
                    ("s9", true, true),
                ]),
            ),
            ("t00011", None),
            ("t00012", Some(vec![("s0", true, true), ("s1", true, true)])),
        ] {
            router.wait_for_turn().await;
            let found = find(name, true);
            assert_eq!(found.is_ok(), servers.is_some(), "{name}");
            if let Err(error) = found {
                assert!(
                    matches!(error, RouteError::Status(StatusCode::NOT_FOUND, _)),
                    "{name}: {error:?}"
                );
            }
            let states = server_states(&plane, name);
            let states: Vec<(&str, bool, bool)> = states
                .iter()
                .map(|(n, new, up)| (&**n, *new, *up))
                .collect();
            assert_eq!(states, servers.unwrap_or_default(), "{name}");
        }
        assert_eq!(plane.activation_status().active, pools.len() + 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_pending_drain_holds_for_inactive_and_just_activated_tenants() {
    run_local(async {
        let plane = plane(Process::default(), (0..3).map(|n| tenant(n, &[])).collect());
        let router = plane.router("all");
        let drains = |name: &str| [(name.to_owned(), ["s0".to_owned()].into())].into();
        plane.set_pending_drains(&drains("t00001"));
        let up = |name: &str| {
            plane
                .endpoints_of(name)
                .into_iter()
                .map(|(_, _, up)| up)
                .collect::<Vec<_>>()
        };
        drop(pool(&router, "t00001").await.expect("activated"));
        assert_eq!(
            up("t00001"),
            [false, true],
            "pending drain set while inactive"
        );
        drop(pool(&router, "t00002").await.expect("activated"));
        plane.set_pending_drains(&drains("t00002")); // the pool's driver has not been polled yet
        assert_eq!(
            (up("t00001"), up("t00002")),
            (vec![true, true], vec![false, true])
        );
        sleep(Duration::from_secs(120)).await;
        assert_eq!(plane.activation_status().active, 0);
        drop(pool(&router, "t00002").await.expect("activated"));
        assert_eq!(up("t00002"), [false, true], "kept while inactive");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_damaged_tenant_is_rejected_until_it_is_changed() {
    run_local(async {
        let plane = plane(Process::default(), (0..3).map(|n| tenant(n, &[])).collect());
        let router = plane.router("all");
        let mut corrupted = plane.catalog();
        corrupted.corrupt("t00001");
        plane.apply_catalog(corrupted).expect("applied");
        for _ in 0..3 {
            let found = pool(&router, "t00001").await.err();
            assert_eq!(
                found,
                Some(RouteError::Status(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "unavailable"
                ))
            );
        }
        assert_eq!(
            (
                plane.activation_status().damaged,
                plane.activation_status().active
            ),
            (1, 0)
        );
        assert!(!plane.status_of("t00001").expect("it exists").ready);
        drop(
            pool(&router, "t00000")
                .await
                .expect("other tenants are not damaged"),
        );
        let mut next = plane.catalog();
        next.insert(&mut PartInterner::default(), &tenant(1, &[]), 2);
        plane.apply_catalog(next).expect("applied");
        drop(
            pool(&router, "t00001")
                .await
                .expect("repaired by the change"),
        );
        assert_eq!(plane.activation_status().damaged, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_tenant_with_endpoint_discovery_stays_active() {
    run_local(async {
        let discovery = DiscoverySettings {
            etcd: vec!["http://127.0.0.1:1".into()],
            prefix: "/p".into(),
            pool: None,
            user_file: None,
            mass_expiry_ratio: config_parser::units::Fraction(0.5),
            retention: Milliseconds(60_000.0),
        };
        let mut tenants: Vec<Tenant> = (0..3).map(|n| tenant(n, &[])).collect();
        (tenants[1].discovery, tenants[1].servers) = (Some(discovery), Vec::new());
        let plane = plane(
            Process {
                max_active_tenants: 1,
                ..Process::default()
            },
            tenants,
        );
        assert_eq!(
            (active_names(&plane), plane.activation_status().pinned),
            (vec!["t00001".to_owned()], 1)
        );
        sleep(Duration::from_secs(3600)).await;
        drop(
            pool(&plane.router("all"), "t00000")
                .await
                .expect("a place is left for other tenants"),
        );
        assert_eq!(plane.activation_status().active, 2);
        let mut next = plane.catalog();
        next.insert(&mut PartInterner::default(), &tenant(1, &[]), 1);
        plane.apply_catalog(next).expect("applied");
        sleep(Duration::from_secs(3600)).await;
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().pinned
            ),
            (0, 0),
            "without discovery it is deactivated like others"
        );
    })
    .await;
}

#[tokio::test]
async fn ejections_outlast_a_deactivation_but_not_a_restart() {
    run_local(async {
        let healthy = Backend::start().await;
        let unreachable = Backend::unreachable_address().await;
        let servers = [
            server("dead", &unreachable),
            server("sound", &healthy.address),
        ];
        let process = Process {
            idle_timeout: Milliseconds(100.0),
            ..Process::default()
        };
        let service = || vec![tenant(0, &servers)];
        let plane = plane(process.clone(), service());
        let address = plane.listener_addresses()["all"];
        // True once the unreachable server has been tried and ejected.
        let is_ejected = |plane: &DataPlane| {
            plane
                .health_of("t00000")
                .endpoints
                .iter()
                .any(|s| s.overall.is_some())
        };
        while !is_ejected(&plane) {
            assert_eq!(
                lookup(address, "t00000").await,
                200,
                "the healthy server handles the failed attempts"
            );
        }
        let before = plane.health_of("t00000");
        while plane.activation_status().active > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(plane.activation_status().retained_entries > 0);
        // The new pool receives the health state of the previous one before it makes a decision.
        let pool_in_use = pool(&plane.router("all"), "t00000")
            .await
            .expect("activated");
        for _ in 0..1000 {
            if is_ejected(&plane) {
                break;
            }
            tokio::task::yield_now().await;
        }
        let (health_before, health_after) = (
            before.endpoints[0].overall.expect("it is ejected"),
            plane.health_of("t00000"),
        );
        assert_eq!(
            (health_after.endpoints.len(), health_after.endpoints[0].id),
            (1, before.endpoints[0].id)
        );
        assert_eq!(health_after.endpoints[0].overall, Some(health_before));
        drop(pool_in_use);
        assert_eq!(lookup(address, "t00000").await, 200);
        // Another process has no health state, and serves requests.
        let other = fixture::plane(process, service());
        assert_eq!(
            lookup(other.listener_addresses()["all"], "t00000").await,
            200
        );
    })
    .await;
}

#[tokio::test]
async fn a_deactivation_does_not_reset_the_slow_start_budget() {
    run_local(async {
        let (old, new) = (Backend::start().await, Backend::start().await);
        let process = Process {
            idle_timeout: Milliseconds(100.0),
            ..Process::default()
        };
        let plane = plane(process, vec![tenant(0, &[server("old", &old.address)])]);
        let address = plane.listener_addresses()["all"];
        assert_eq!(lookup(address, "t00000").await, 200);
        let mut next = plane.catalog();
        let mut both = tenant(
            0,
            &[server("old", &old.address), server("new", &new.address)],
        );
        both.rules.warm_up = Milliseconds(600_000.0);
        next.insert(&mut PartInterner::default(), &both, 1);
        plane.apply_catalog(next).expect("applied");
        assert_eq!(lookup(address, "t00000").await, 200);
        let slow_start = |plane: &DataPlane| {
            let health = plane.health_of("t00000");
            health
                .endpoints
                .iter()
                .find_map(|s| s.slow_start)
                .expect("one server is in slow start")
        };
        let before = slow_start(&plane);
        while plane.activation_status().active > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        let pool_in_use = pool(&plane.router("all"), "t00000")
            .await
            .expect("activated");
        sleep(Duration::from_millis(1)).await;
        let after = slow_start(&plane);
        assert_eq!(
            (after.max_cost, after.updated_at >= before.updated_at),
            (before.max_cost, true),
            "the slow start budget is kept"
        );
        assert!(
            server_states(&plane, "t00000")
                .iter()
                .any(|(name, new, _)| name == "new" && *new)
        );
        drop(pool_in_use);
    })
    .await;
}

#[tokio::test]
async fn a_server_limit_holds_for_an_active_tenant_among_inactive_ones() {
    run_local(async {
        let backend = Backend::start().await;
        let limited = multi_tenant::document::Server {
            connections: Some(2),
            warm: true,
            ..server("both", &backend.address)
        };
        let plane = plane(
            Process::default(),
            (0..2)
                .map(|n| tenant(n, std::slice::from_ref(&limited)))
                .collect(),
        );
        let address = plane.listener_addresses()["all"];
        backend.respond.send_replace(false);
        let requests: Vec<_> = (0..6)
            .map(|_| tokio::task::spawn_local(lookup(address, "t00000")))
            .collect();
        while backend.received.get() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(
            plane.activation_status().active,
            1,
            "the other tenant is inactive"
        );
        // A second tenant that is activated shares the limit with the attempts in flight.
        let other = tokio::task::spawn_local(lookup(address, "t00001"));
        while plane.activation_status().active < 2 {
            tokio::task::yield_now().await;
        }
        sleep(Duration::from_millis(50)).await;
        backend.respond.send_replace(true);
        let mut served = 0;
        for request in requests.into_iter().chain([other]) {
            let status = request.await.expect("response received");
            assert!(
                status == 200 || status == 503,
                "{status}: served, or rejected as the server is at its limit"
            );
            served += usize::from(status == 200);
        }
        assert!(served >= 2, "{served}");
        assert_eq!(backend.max_in_flight.get(), 2);
    })
    .await;
}

#[tokio::test]
async fn more_requesting_tenants_than_places_are_all_served_in_turn() {
    run_local(async {
        let backend = Backend::start().await;
        let servers = [multi_tenant::document::Server {
            warm: true,
            ..server("one", &backend.address)
        }];
        let process = Process {
            max_active_tenants: 3,
            ..Process::default()
        };
        let plane = plane(process, (0..12).map(|n| tenant(n, &servers)).collect());
        let address = plane.listener_addresses()["all"];
        let requests: Vec<_> = (0..12)
            .map(|n| {
                tokio::task::spawn_local(async move {
                    let mut rejected = 0;
                    // Rejected clients retry.
                    while lookup(address, &format!("t{n:05}")).await != 200 {
                        rejected += 1;
                        assert!(rejected < 100, "t{n:05} is never served");
                        sleep(Duration::from_millis(300)).await;
                    }
                    rejected
                })
            })
            .collect();
        let mut rejected = 0;
        for request in requests {
            rejected += request.await.expect("response received");
        }
        let status = plane.activation_status();
        assert!(
            rejected > 0 && status.deferrals >= rejected,
            "{rejected}, {status:?}"
        );
        assert!(
            status.active <= 3 && status.activations == 12 && status.evictions >= 9,
            "{status:?}"
        );
    })
    .await;
}
