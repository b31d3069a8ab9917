//! Tenants at rest, their waking and their going to rest again, with changes, drains, crowds, damage and a restart in between.

#[path = "data_plane/mod.rs"]
mod stage;

use std::rc::Rc;
use std::time::Duration;

use config_parser::units::Milliseconds;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use multi_tenant::catalog::PartInterner;
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::{DiscoverySettings, Process, State, Tenant};
use multi_tenant::plan::PreparedChange;
use proxy_core::service::{RouteError, Router};
use stage::{Backend, ask, local, plane, server, tenant};
use tokio::time::sleep;

fn named(name: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-tenant-id", HeaderValue::from_str(name).expect("a name"));
    headers
}

/// Finds a tenant's pool as a front does.
async fn pool(way: &impl Router, name: &str) -> Result<Rc<proxy_core::pool::Pool>, RouteError> {
    let uri = "/lookup".parse().expect("a target");
    match way.pool(&uri, &named(name), false) {
        Err(RouteError::NeedsTurn) => {
            way.wait_for_turn().await;
            way.pool(&uri, &named(name), true)
        }
        found => found,
    }
}

/// A resident's servers: name, whether it has just started, whether it takes new work.
fn fresh(plane: &DataPlane, name: &str) -> Vec<(String, bool, bool)> {
    plane
        .endpoints_of(name)
        .into_iter()
        .map(|(name, born, up)| (name, born > 0.0, up))
        .collect()
}

fn names(plane: &DataPlane) -> Vec<String> {
    plane
        .status(usize::MAX)
        .into_iter()
        .filter(|t| t.active)
        .map(|t| t.name)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn nobody_is_resident_before_the_first_request_nor_long_after_the_last() {
    local(async {
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
        let way = plane.router("all");
        let held = pool(&way, "t00007").await.expect("it wakes");
        assert!(matches!(
            pool(&way, "nobody").await,
            Err(RouteError::Status(StatusCode::NOT_FOUND, _))
        ));
        assert_eq!(names(&plane), ["t00007"]);
        let status = plane.status_of("t00007").expect("it is there");
        sleep(Duration::from_secs(1)).await;
        assert!(status.active && plane.status_of("t00007").expect("it is there").ready);
        // While somebody holds it, it stays.
        sleep(Duration::from_secs(3600)).await;
        assert_eq!(plane.activation_status().active, 1);
        let before = plane.status_of("t00007").expect("it is there").loop_ms;
        drop(held);
        sleep(Duration::from_secs(120)).await;
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().deactivations
            ),
            (0, 1)
        );
        let after = plane.status_of("t00007").expect("it is there");
        assert!(!after.active && after.ready && after.servers == [2, 2]);
        assert!(
            before > 0.0 && after.loop_ms >= before,
            "figures go on: {before}, {}",
            after.loop_ms
        );
        drop(pool(&way, "t00007").await.expect("it wakes again"));
        assert!(plane.status_of("t00007").expect("it is there").loop_ms >= after.loop_ms);
        // The list of all is bounded, residents first.
        let some: Vec<String> = plane.status(3).into_iter().map(|t| t.name).collect();
        assert_eq!(some, ["t00007", "t00000", "t00001"]);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn the_bound_holds_and_who_waits_is_told_when_to_come() {
    local(async {
        let process = Process {
            max_active_tenants: 4,
            ..Process::default()
        };
        let plane = plane(process, (0..50).map(|n| tenant(n, &[])).collect());
        let way = plane.router("all");
        let mut held = Vec::new();
        for n in 0..4 {
            held.push(
                pool(&way, &format!("t{n:05}"))
                    .await
                    .expect("there is a place"),
            );
        }
        sleep(Duration::from_secs(1)).await;
        // All have something under way.
        let Err(RouteError::RetryAfter(wait)) = pool(&way, "t00010").await else {
            panic!("there is no place")
        };
        assert!((1.0..=10_000.0).contains(&wait), "{wait}");
        assert!(matches!(
            pool(&way, "t00011").await,
            Err(RouteError::RetryAfter(_))
        ));
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().waiting
            ),
            (4, 2)
        );
        drop(held.swap_remove(1));
        // The one that asked first gets the place that has come free, whoever else asks.
        assert!(matches!(
            pool(&way, "t00012").await,
            Err(RouteError::RetryAfter(_))
        ));
        assert!(matches!(
            pool(&way, "t00011").await,
            Err(RouteError::RetryAfter(_))
        ));
        drop(pool(&way, "t00010").await.expect("it is its turn"));
        assert_eq!(names(&plane), ["t00000", "t00002", "t00003", "t00010"]);
        let figures = plane.activation_status();
        assert_eq!(
            (figures.evictions, figures.deferrals, figures.activations),
            (1, 4, 5)
        );
        // A resident one is served all the while.
        drop(pool(&way, "t00000").await.expect("it is resident"));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_thousand_that_wake_in_one_moment_leave_others_their_turns() {
    local(async {
        let plane = plane(
            Process::default(),
            (0..1001).map(|n| tenant(n, &[])).collect(),
        );
        let way = Rc::new(plane.router("all"));
        drop(pool(&*way, "t01000").await.expect("it wakes"));
        sleep(Duration::from_secs(1)).await;
        let wakes = Rc::new(std::cell::Cell::new(0));
        let crowd: Vec<_> = (0..1000)
            .map(|n| {
                let (way, wakes) = (way.clone(), wakes.clone());
                tokio::task::spawn_local(async move {
                    drop(
                        pool(&*way, &format!("t{n:05}"))
                            .await
                            .expect("there is a place"),
                    );
                    wakes.set(wakes.get() + 1);
                })
            })
            .collect();
        // The busy one takes a turn with each round of the loop, and few are woken between two of them.
        let (mut turns, mut most, mut before) = (0, 0, 0);
        while wakes.get() < 1000 {
            drop(pool(&*way, "t01000").await.expect("it is resident"));
            tokio::task::yield_now().await;
            most = most.max(wakes.get() - before);
            before = wakes.get();
            turns += 1;
        }
        for one in crowd {
            one.await.expect("it has its turn");
        }
        assert!(
            most <= 8,
            "{most} were woken between two turns of the busy one"
        );
        assert!(turns >= 125, "the busy one had {turns} turns meanwhile");
        assert_eq!(plane.activation_status().activations, 1001);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_change_of_what_is_at_rest_wakes_nobody_and_holds_from_the_next_request_on() {
    local(async {
        let plane = plane(Process::default(), (0..9).map(|n| tenant(n, &[])).collect());
        let way = plane.router("all");
        let mut parts = PartInterner::default();
        let change = |parts: &mut PartInterner, tenant: &Tenant| {
            let mut next = plane.catalog();
            next.insert(parts, tenant, 1);
            plane
                .apply_prepared(PreparedChange::between(&plane.catalog(), next))
                .expect("it can be carried out");
        };
        // Its servers, its classes.
        let mut other = tenant(1, &[]);
        other.servers.push(server("s9", "127.0.0.1:9"));
        other.servers[0].state = State::Draining;
        other.classes[0].name = "search".into();
        change(&mut parts, &other);
        assert_eq!(plane.activation_status().active, 0);
        let status = plane.status_of("t00001").expect("it is there");
        assert_eq!((status.servers, status.active), ([2, 3], false));
        // What it brings has just started, and that is remembered until it wakes.
        assert_eq!(plane.activation_status().retained_entries, 1);
        drop(pool(&way, "t00001").await.expect("it wakes"));
        sleep(Duration::from_millis(10)).await;
        assert_eq!(plane.activation_status().retained_entries, 0);
        let told: Vec<(String, bool, bool)> = fresh(&plane, "t00001");
        let told: Vec<(&str, bool, bool)> =
            told.iter().map(|(n, new, up)| (&**n, *new, *up)).collect();
        assert_eq!(
            told,
            [
                ("s0", false, false),
                ("s1", false, true),
                ("s9", true, true)
            ]
        );
        // It goes and comes back while it is at rest: all its servers are new.
        let mut next = plane.catalog();
        next.remove("t00002");
        plane.apply_catalog(next).expect("it can be carried out");
        assert!(matches!(
            pool(&way, "t00002").await,
            Err(RouteError::Status(StatusCode::NOT_FOUND, _))
        ));
        change(&mut parts, &tenant(2, &[]));
        drop(pool(&way, "t00002").await.expect("it is back"));
        assert!(fresh(&plane, "t00002").iter().all(|(_, new, _)| *new));
        // A version that comes between route and wake can't be: the same turn does both, and a later one renews the pool.
        let before = pool(&way, "t00003").await.expect("it wakes");
        let mut third = tenant(3, &[]);
        third.classes[0].name = "search".into();
        change(&mut parts, &third);
        let after = pool(&way, "t00003").await.expect("it is resident");
        assert!(
            !Rc::ptr_eq(&before, &after),
            "a request that was routed before is decided by the former pool or asked anew"
        );
        // And it may not rest before that has ended.
        drop(after);
        sleep(Duration::from_secs(3600)).await;
        assert!(plane.status_of("t00003").expect("it is there").active);
        drop(before);
        sleep(Duration::from_secs(120)).await;
        assert_eq!(plane.activation_status().active, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_version_that_comes_between_route_and_wake_is_the_one_that_wakes() {
    local(async {
        let plane = plane(
            Process::default(),
            (0..20).map(|n| tenant(n, &[])).collect(),
        );
        let way = plane.router("all");
        let uri = "/lookup".parse().expect("a target");
        let find = |name: &str, turn| way.pool(&uri, &named(name), turn);
        // All turns of this round are taken, so that who is routed now wakes in a later one.
        let mut held = Vec::new();
        let waits = (0..20).find(|n| match find(&format!("t{n:05}"), false) {
            Ok(pool) => {
                held.push(pool);
                false
            }
            Err(why) => why == RouteError::NeedsTurn,
        });
        assert!(
            waits.is_some_and(|n| n < 10),
            "turns are bounded: {waits:?}"
        );
        for name in ["t00010", "t00011", "t00012"] {
            assert_eq!(
                find(name, false).err(),
                Some(RouteError::NeedsTurn),
                "{name}"
            );
        }
        // Meanwhile one has another list and other classes, one is gone, and one goes and comes back as another.
        let mut parts = PartInterner::default();
        let mut other = tenant(10, &[]);
        other.servers[0].state = State::Draining;
        other.servers.push(server("s9", "127.0.0.1:9"));
        other.classes[0].name = "search".into();
        let mut next = plane.catalog();
        next.insert(&mut parts, &other, 2);
        next.remove("t00011");
        next.remove("t00012");
        plane.apply_catalog(next).expect("it can be carried out");
        let mut next = plane.catalog();
        next.insert(&mut parts, &tenant(12, &[]), 3);
        plane.apply_catalog(next).expect("it can be carried out");
        assert_eq!(
            plane.activation_status().active,
            held.len(),
            "no version wakes anybody"
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
            way.wait_for_turn().await;
            let found = find(name, true);
            assert_eq!(found.is_ok(), servers.is_some(), "{name}");
            if let Err(why) = found {
                assert!(
                    matches!(why, RouteError::Status(StatusCode::NOT_FOUND, _)),
                    "{name}: {why:?}"
                );
            }
            let told = fresh(&plane, name);
            let told: Vec<(&str, bool, bool)> =
                told.iter().map(|(n, new, up)| (&**n, *new, *up)).collect();
            assert_eq!(told, servers.unwrap_or_default(), "{name}");
        }
        assert_eq!(plane.activation_status().active, held.len() + 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_drain_told_while_it_wakes_or_rests_holds() {
    local(async {
        let plane = plane(Process::default(), (0..3).map(|n| tenant(n, &[])).collect());
        let way = plane.router("all");
        let off = |name: &str| [(name.to_owned(), ["s0".to_owned()].into())].into();
        plane.set_pending_drains(&off("t00001"));
        let up = |name: &str| {
            plane
                .endpoints_of(name)
                .into_iter()
                .map(|(_, _, up)| up)
                .collect::<Vec<_>>()
        };
        drop(pool(&way, "t00001").await.expect("it wakes"));
        assert_eq!(up("t00001"), [false, true], "held off while at rest");
        drop(pool(&way, "t00002").await.expect("it wakes"));
        plane.set_pending_drains(&off("t00002")); // its driver has not had its first turn yet
        assert_eq!(
            (up("t00001"), up("t00002")),
            (vec![true, true], vec![false, true])
        );
        sleep(Duration::from_secs(120)).await;
        assert_eq!(plane.activation_status().active, 0);
        drop(pool(&way, "t00002").await.expect("it wakes"));
        assert_eq!(up("t00002"), [false, true], "and over its rest");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn damage_is_one_tenants_until_it_is_changed() {
    local(async {
        let plane = plane(Process::default(), (0..3).map(|n| tenant(n, &[])).collect());
        let way = plane.router("all");
        let mut spoilt = plane.catalog();
        spoilt.corrupt("t00001");
        plane.apply_catalog(spoilt).expect("it can be carried out");
        for _ in 0..3 {
            let found = pool(&way, "t00001").await.err();
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
        assert!(!plane.status_of("t00001").expect("it is there").ready);
        drop(pool(&way, "t00000").await.expect("others are whole"));
        let mut next = plane.catalog();
        next.insert(&mut PartInterner::default(), &tenant(1, &[]), 2);
        plane.apply_catalog(next).expect("it can be carried out");
        drop(pool(&way, "t00001").await.expect("it is whole again"));
        assert_eq!(plane.activation_status().damaged, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_tenant_whose_list_is_followed_stays_resident() {
    local(async {
        let fleet = DiscoverySettings {
            etcd: vec!["http://127.0.0.1:1".into()],
            prefix: "/p".into(),
            pool: None,
            user_file: None,
            mass_expiry_ratio: config_parser::units::Fraction(0.5),
            retention: Milliseconds(60_000.0),
        };
        let mut tenants: Vec<Tenant> = (0..3).map(|n| tenant(n, &[])).collect();
        (tenants[1].discovery, tenants[1].servers) = (Some(fleet), Vec::new());
        let plane = plane(
            Process {
                max_active_tenants: 1,
                ..Process::default()
            },
            tenants,
        );
        assert_eq!(
            (names(&plane), plane.activation_status().pinned),
            (vec!["t00001".to_owned()], 1)
        );
        sleep(Duration::from_secs(3600)).await;
        drop(
            pool(&plane.router("all"), "t00000")
                .await
                .expect("a place is left for others"),
        );
        assert_eq!(plane.activation_status().active, 2);
        let mut next = plane.catalog();
        next.insert(&mut PartInterner::default(), &tenant(1, &[]), 1);
        plane.apply_catalog(next).expect("it can be carried out");
        sleep(Duration::from_secs(3600)).await;
        assert_eq!(
            (
                plane.activation_status().active,
                plane.activation_status().pinned
            ),
            (0, 0),
            "it is like others now"
        );
    })
    .await;
}

#[tokio::test]
async fn an_ejected_server_gets_nothing_right_after_waking_and_a_restart_believes_nothing() {
    local(async {
        let sound = Backend::start().await;
        let dead = Backend::dead().await;
        let servers = [server("dead", &dead), server("sound", &sound.address)];
        let process = Process {
            idle_timeout: Milliseconds(100.0),
            ..Process::default()
        };
        let service = || vec![tenant(0, &servers)];
        let plane = plane(process.clone(), service());
        let address = plane.listener_addresses()["all"];
        // Until the dead one was tried and closed.
        let closed = |plane: &DataPlane| {
            plane
                .health_of("t00000")
                .endpoints
                .iter()
                .any(|s| s.overall.is_some())
        };
        while !closed(&plane) {
            assert_eq!(
                ask(address, "t00000").await,
                200,
                "the other serves what it can't"
            );
        }
        let before = plane.health_of("t00000");
        while plane.activation_status().active > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(plane.activation_status().retained_entries > 0);
        // Before it decides anything it knows what the module before it knew.
        let held = pool(&plane.router("all"), "t00000")
            .await
            .expect("it wakes");
        for _ in 0..1000 {
            if closed(&plane) {
                break;
            }
            tokio::task::yield_now().await;
        }
        let (was, is) = (
            before.endpoints[0].overall.expect("it is closed"),
            plane.health_of("t00000"),
        );
        assert_eq!(
            (is.endpoints.len(), is.endpoints[0].id),
            (1, before.endpoints[0].id)
        );
        assert_eq!(is.endpoints[0].overall, Some(was));
        drop(held);
        assert_eq!(ask(address, "t00000").await, 200);
        // Another process knows nothing, and serves.
        let other = stage::plane(process, service());
        assert_eq!(ask(other.listener_addresses()["all"], "t00000").await, 200);
    })
    .await;
}

#[tokio::test]
async fn a_cold_server_gets_no_second_budget_by_a_rest() {
    local(async {
        let (old, new) = (Backend::start().await, Backend::start().await);
        let process = Process {
            idle_timeout: Milliseconds(100.0),
            ..Process::default()
        };
        let plane = plane(process, vec![tenant(0, &[server("old", &old.address)])]);
        let address = plane.listener_addresses()["all"];
        assert_eq!(ask(address, "t00000").await, 200);
        let mut next = plane.catalog();
        let mut both = tenant(
            0,
            &[server("old", &old.address), server("new", &new.address)],
        );
        both.rules.warm_up = Milliseconds(600_000.0);
        next.insert(&mut PartInterner::default(), &both, 1);
        plane.apply_catalog(next).expect("it can be carried out");
        assert_eq!(ask(address, "t00000").await, 200);
        let cold = |plane: &DataPlane| {
            let standing = plane.health_of("t00000");
            standing
                .endpoints
                .iter()
                .find_map(|s| s.slow_start)
                .expect("one is cold")
        };
        let before = cold(&plane);
        while plane.activation_status().active > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        let held = pool(&plane.router("all"), "t00000")
            .await
            .expect("it wakes");
        sleep(Duration::from_millis(1)).await;
        let after = cold(&plane);
        assert_eq!(
            (after.max_cost, after.updated_at >= before.updated_at),
            (before.max_cost, true),
            "it is the same budget"
        );
        assert!(
            fresh(&plane, "t00000")
                .iter()
                .any(|(name, new, _)| name == "new" && *new)
        );
        drop(held);
    })
    .await;
}

#[tokio::test]
async fn a_servers_limit_holds_for_one_that_is_awake_among_users_at_rest() {
    local(async {
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
        backend.answers.send_replace(false);
        let asks: Vec<_> = (0..6)
            .map(|_| tokio::task::spawn_local(ask(address, "t00000")))
            .collect();
        while backend.seen.get() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(plane.activation_status().active, 1, "the other one rests");
        // One that wakes beside it finds what is held there.
        let other = tokio::task::spawn_local(ask(address, "t00001"));
        while plane.activation_status().active < 2 {
            tokio::task::yield_now().await;
        }
        sleep(Duration::from_millis(50)).await;
        backend.answers.send_replace(true);
        let mut served = 0;
        for one in asks.into_iter().chain([other]) {
            let status = one.await.expect("an answer");
            assert!(
                status == 200 || status == 503,
                "{status}: served, or refused as the server is full"
            );
            served += usize::from(status == 200);
        }
        assert!(served >= 2, "{served}");
        assert_eq!(backend.most.get(), 2);
    })
    .await;
}

#[tokio::test]
async fn with_fewer_places_than_tenants_that_ask_each_is_served_in_its_turn() {
    local(async {
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
        let asks: Vec<_> = (0..12)
            .map(|n| {
                tokio::task::spawn_local(async move {
                    let mut refused = 0;
                    // As told: a client that is refused comes again.
                    while ask(address, &format!("t{n:05}")).await != 200 {
                        refused += 1;
                        assert!(refused < 100, "t{n:05} is never served");
                        sleep(Duration::from_millis(300)).await;
                    }
                    refused
                })
            })
            .collect();
        let mut refused = 0;
        for one in asks {
            refused += one.await.expect("an answer");
        }
        let figures = plane.activation_status();
        assert!(
            refused > 0 && figures.deferrals >= refused,
            "{refused}, {figures:?}"
        );
        assert!(
            figures.active <= 3 && figures.activations == 12 && figures.evictions >= 9,
            "{figures:?}"
        );
    })
    .await;
}
