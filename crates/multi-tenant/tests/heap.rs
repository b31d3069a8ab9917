//! What tenants cost in memory: at rest, and resident. Counted as bytes that are held, so that the figures are the same each time.

use std::alloc::System;

use config_parser::units::{Fraction, Milliseconds};
use multi_tenant::catalog::{Catalog, PartInterner};
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::{
    Class, Idempotency, Limits, Process, Rules, Server, Service, State, Tenant,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[path = "data_plane/mod.rs"]
mod stage;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are held now.
fn held() -> f64 {
    let stats = HEAP.stats();
    // What is reallocated counts in both already.
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

fn class(name: String, aim: f64) -> Class {
    Class {
        name,
        idempotency: Idempotency::Idempotent,
        latency_objective: Milliseconds(aim),
        deadline: Milliseconds(20_000.0),
        priority_weight: 1.0,
        late_weight_fraction: Fraction(0.0),
    }
}

fn server(name: String, address: String) -> Server {
    Server {
        name,
        address,
        capacity: 16.0,
        zone: None,
        machine_type: None,
        state: State::Up,
        connections: None,
        warm: false,
    }
}

/// As at the size ahead, scaled down: 33,000 tenants of 680 services with some 17 servers each, and of 5,300 sets of classes.
fn of_the_target(n: usize, of: usize) -> Tenant {
    of_parts(
        n,
        (680 * of).div_ceil(33_000),
        (5_300 * of).div_ceil(33_000),
    )
}

/// One of so many services and sets of classes.
fn of_parts(n: usize, services: usize, sets: usize) -> Tenant {
    let (service, set) = (n % services, n % sets);
    let servers = (0..17).map(|i| {
        server(
            format!("service{service}-{i}"),
            format!("10.{}.{}.{}:8080", service / 250, service % 250, i + 1),
        )
    });
    Tenant {
        name: format!("tenant-{n:06}"),
        hosts: vec![format!("tenant-{n:06}.service{service}.example")],
        limits: Limits::default(),
        rules: Rules::default(),
        classes: (0..2)
            .map(|i| class(format!("route{set}-{i}"), 300.0 + set as f64))
            .collect(),
        discovery: None,
        servers: servers.collect(),
    }
}

/// One of so many sets of classes, of a hundred services.
fn of_routes(n: usize, sets: usize) -> Tenant {
    of_parts(n, 100, sets)
}

/// One of so many services, of a hundred sets of classes.
fn of_services(n: usize, services: usize) -> Tenant {
    of_parts(n, services, 100)
}

/// As the lab makes them: two classes, and four servers of their own each.
fn of_the_lab(n: usize, _: usize) -> Tenant {
    let address = |i| {
        format!(
            "10.{}.{}.{}:8080",
            n >> 14,
            (n >> 6) & 255,
            (n & 63) * 4 + i
        )
    };
    Tenant {
        name: format!("t{n:05}"),
        hosts: vec![format!("t{n:05}.example")],
        limits: Limits::default(),
        rules: Rules::default(),
        classes: vec![
            class("lookup".into(), 300.0),
            class("checkout".into(), 300.0),
        ],
        discovery: None,
        servers: (0..4)
            .map(|i| server(format!("s{i}"), address(i)))
            .collect(),
    }
}

/// What a plane with so many tenants at rest holds beyond one with none.
fn at_rest(count: usize, make: impl Fn(usize, usize) -> Tenant) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let service = Service::default();
        let plane = DataPlane::new(&service.process, stage::follow());
        let empty = held();
        {
            // As the store hands them over: one by one.
            let (mut parts, mut catalog) = (PartInterner::default(), Catalog::new(&service));
            for n in 0..count {
                catalog.insert(&mut parts, &make(n, count), 1);
            }
            plane.apply_catalog(catalog).expect("it can be carried out");
        }
        tokio::task::yield_now().await;
        assert_eq!(
            (
                plane.activation_status().tenants,
                plane.activation_status().active
            ),
            (count, 0)
        );
        held() - empty
    })
}

/// The least-squares line through points: slope and base.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points
        .iter()
        .fold((0.0, 0.0), |(a, b), (x, y)| (a + x / n, b + y / n));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = over / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    (slope, y - slope * x)
}

/// One test, as what others hold meanwhile would count. Each bound is a fifth over what was measured: `docs/design/residency.md`.
#[test]
fn tenants_cost_what_the_page_says() {
    for (shape, make, most) in [
        ("target", of_the_target as fn(usize, usize) -> Tenant, 537.0),
        ("lab", of_the_lab, 695.0),
    ] {
        let sizes = [1_000, 2_000, 4_000, 8_000];
        let points: Vec<(f64, f64)> = sizes.map(|n| (n as f64, at_rest(n, make))).to_vec();
        let (slope, base) = line(&points);
        let residual = points
            .iter()
            .map(|(x, y)| (y - slope * x - base).abs() / y)
            .fold(0.0, f64::max);
        println!(
            "{shape}: {slope:.1} bytes a tenant at rest, base {base:.0}, residual at most {:.2} % of {points:?}",
            100.0 * residual
        );
        assert!(slope < most, "{shape}: {slope} bytes a tenant");
    }
    // Routes and services apart, each with as many tenants: one more of either is a list of its own, whoever has it.
    const TENANTS: usize = 5_300;
    for (what, sizes, make, most) in [
        (
            "route",
            [700, 1_400, 2_800, 5_300],
            of_routes as fn(usize, usize) -> Tenant,
            403.2,
        ),
        ("service", [85, 170, 340, 680], of_services, 1_447.7),
    ] {
        let points: Vec<(f64, f64)> = sizes
            .map(|count| (count as f64, at_rest(TENANTS, |n, _| make(n, count))))
            .to_vec();
        let (slope, base) = line(&points);
        println!(
            "{what}: {slope:.1} bytes each beside {TENANTS} tenants, base {base:.0}, of {points:?}"
        );
        assert!(slope > 0.0 && slope < most, "{slope} bytes a {what}");
    }
    let whole = at_rest(33_000, of_the_target);
    println!(
        "target: {:.1} MiB for 33000 tenants at rest",
        whole / 1_048_576.0
    );
    assert!(whole < 24.0 * 1_048_576.0, "{whole} bytes");
    for (shape, make, most, most_left) in [
        (
            "target",
            of_the_target as fn(usize, usize) -> Tenant,
            45_470.0,
            80.0,
        ),
        ("lab", of_the_lab, 23_400.0, 80.0),
    ] {
        let (each, left, mut woken) = resident(make);
        woken.sort_by(f64::total_cmp);
        let (mean, p99) = (
            woken.iter().sum::<f64>() / woken.len() as f64,
            woken[woken.len() * 99 / 100],
        );
        println!(
            "{shape}: {each:.0} bytes a resident, {left:.1} once it rests again; woken in {mean:.0} us, 99 % within {p99:.0} us"
        );
        assert!(each < most, "{shape}: {each} bytes a resident");
        assert!(
            left < most_left,
            "{shape}: {left} bytes that are left of a resident"
        );
    }
}

/// What each of a thousand residents holds and what of that is left when it rests again, in bytes; and how long it took from asking to
/// where its module has its list, in us.
fn resident(make: fn(usize, usize) -> Tenant) -> (f64, f64, Vec<f64>) {
    use proxy_core::service::Router;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let process = Process {
            idle_timeout: Milliseconds(2_000.0),
            ..Process::default()
        };
        let service = Service {
            process,
            listeners: vec![multi_tenant::document::Listener {
                name: "all".into(),
                address: "127.0.0.1:0".into(),
                tenant_by: multi_tenant::document::TenantBy::Header,
                tenant: None,
            }],
            tenants: (0..2_000).map(|n| make(n, 2_000)).collect(),
            ..Service::default()
        };
        let plane = DataPlane::new(&service.process, stage::follow());
        plane.apply(&service).expect("it can be carried out");
        let (way, uri) = (plane.router("all"), "/lookup".parse().expect("a target"));
        let (mut woken, mut each, mut left) = (Vec::new(), 0.0, 0.0);
        // The second thousand come into places of the first: what is left of them is their own.
        for wave in service.tenants.chunks(1_000) {
            woken.reserve_exact(1_000);
            let before = held();
            for tenant in wave {
                let mut headers = hyper::header::HeaderMap::new();
                headers.insert("x-tenant-id", tenant.name.parse().expect("a name"));
                let began = std::time::Instant::now();
                way.pool(&uri, &headers, true).expect("there is a place");
                // Its module takes its list before the request that woke it.
                while !plane.status_of(&tenant.name).expect("it is there").ready {
                    tokio::task::yield_now().await;
                }
                woken.push(began.elapsed().as_secs_f64() * 1e6);
            }
            assert_eq!(plane.activation_status().active, 1_000);
            each = f64::max(each, (held() - before) / 1_000.0);
            while plane.activation_status().active > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            // Their drivers end with their next turns.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            left = (held() - before) / 1_000.0;
        }
        (each, left, woken)
    })
}
