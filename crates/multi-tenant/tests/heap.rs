//! Memory of inactive and active tenants, measured as allocated heap bytes, which are reproducible.

use std::alloc::System;

use config_parser::units::{Fraction, Milliseconds};
use multi_tenant::catalog::{Catalog, PartInterner};
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::{
    Class, Idempotency, Limits, Process, Rules, Server, Service, State, Tenant,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[path = "data_plane/mod.rs"]
mod fixture;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the currently allocated bytes.
fn allocated_bytes() -> f64 {
    let stats = HEAP.stats();
    // Reallocations are already included in both numbers.
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

/// Creates a tenant as at the target size, scaled down: 33,000 tenants of 680 services with 17 servers each,
/// and 5,300 sets of classes.
fn target_tenant(n: usize, total: usize) -> Tenant {
    tenant_of(
        n,
        (680 * total).div_ceil(33_000),
        (5_300 * total).div_ceil(33_000),
    )
}

/// Creates a tenant of one of `services` services and `sets` sets of classes.
fn tenant_of(n: usize, services: usize, sets: usize) -> Tenant {
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

/// Creates a tenant of one of `sets` sets of classes and 100 services.
fn route_tenant(n: usize, sets: usize) -> Tenant {
    tenant_of(n, 100, sets)
}

/// Creates a tenant of one of `services` services and 100 sets of classes.
fn service_tenant(n: usize, services: usize) -> Tenant {
    tenant_of(n, services, 100)
}

/// Creates a tenant as in the testbed: two classes, and four servers that no other tenant uses.
fn lab_tenant(n: usize, _: usize) -> Tenant {
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

/// Returns the bytes allocated by a data plane with `count` inactive tenants, beyond one without tenants.
fn inactive_bytes(count: usize, make_tenant: impl Fn(usize, usize) -> Tenant) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let service = Service::default();
        let plane = DataPlane::new(&service.process, fixture::no_discovery());
        let baseline = allocated_bytes();
        {
            // The store also provides the tenants one by one.
            let (mut parts, mut catalog) = (PartInterner::default(), Catalog::new(&service));
            for n in 0..count {
                catalog.insert(&mut parts, &make_tenant(n, count), 1);
            }
            plane.apply_catalog(catalog).expect("applied");
        }
        tokio::task::yield_now().await;
        assert_eq!(
            (
                plane.activation_status().tenants,
                plane.activation_status().active
            ),
            (count, 0)
        );
        allocated_bytes() - baseline
    })
}

/// Fits a line to points by least squares and returns its slope and intercept.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points
        .iter()
        .fold((0.0, 0.0), |(a, b), (x, y)| (a + x / n, b + y / n));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = covariance / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    (slope, y - slope * x)
}

/// Guards against growing memory per tenant. This is a single test, as allocations of tests that run at the
/// same time would be counted. Each bound is 20 % above the measured value in `docs/design/residency.md`.
#[test]
fn memory_per_tenant_stays_within_bounds() {
    for (shape, make_tenant, max_bytes) in [
        ("target", target_tenant as fn(usize, usize) -> Tenant, 537.0),
        ("lab", lab_tenant, 695.0),
    ] {
        let sizes = [1_000, 2_000, 4_000, 8_000];
        let points: Vec<(f64, f64)> = sizes
            .map(|n| (n as f64, inactive_bytes(n, make_tenant)))
            .to_vec();
        let (slope, base) = fit_line(&points);
        let residual = points
            .iter()
            .map(|(x, y)| (y - slope * x - base).abs() / y)
            .fold(0.0, f64::max);
        println!(
            "{shape}: {slope:.1} bytes per inactive tenant, base {base:.0}, residual at most {:.2} % of {points:?}",
            100.0 * residual
        );
        assert!(slope < max_bytes, "{shape}: {slope} bytes per tenant");
    }
    // Cost of routes and of services for a constant number of tenants: each additional one is another stored
    // list.
    const TENANTS: usize = 5_300;
    for (what, sizes, make_tenant, max_bytes) in [
        (
            "route",
            [700, 1_400, 2_800, 5_300],
            route_tenant as fn(usize, usize) -> Tenant,
            403.2,
        ),
        ("service", [85, 170, 340, 680], service_tenant, 1_447.7),
    ] {
        let points: Vec<(f64, f64)> = sizes
            .map(|count| {
                (
                    count as f64,
                    inactive_bytes(TENANTS, |n, _| make_tenant(n, count)),
                )
            })
            .to_vec();
        let (slope, base) = fit_line(&points);
        println!(
            "{what}: {slope:.1} bytes each with {TENANTS} tenants, base {base:.0}, of {points:?}"
        );
        assert!(slope > 0.0 && slope < max_bytes, "{slope} bytes per {what}");
    }
    let total = inactive_bytes(33_000, target_tenant);
    println!(
        "target: {:.1} MiB for 33000 inactive tenants",
        total / 1_048_576.0
    );
    assert!(total < 24.0 * 1_048_576.0, "{total} bytes");
    for (shape, make_tenant, max_bytes, max_remaining) in [
        (
            "target",
            target_tenant as fn(usize, usize) -> Tenant,
            45_470.0,
            80.0,
        ),
        ("lab", lab_tenant, 23_400.0, 80.0),
    ] {
        let (bytes_each, remaining, mut latencies) = measure_active(make_tenant);
        latencies.sort_by(f64::total_cmp);
        let (mean, p99) = (
            latencies.iter().sum::<f64>() / latencies.len() as f64,
            latencies[latencies.len() * 99 / 100],
        );
        println!(
            "{shape}: {bytes_each:.0} bytes per active tenant, {remaining:.1} after its deactivation; activated in {mean:.0} us, 99 % within {p99:.0} us"
        );
        assert!(
            bytes_each < max_bytes,
            "{shape}: {bytes_each} bytes per active tenant"
        );
        assert!(
            remaining < max_remaining,
            "{shape}: {remaining} bytes remain of a deactivated tenant"
        );
    }
}

/// Activates and deactivates tenants in batches of 1000. Returns the bytes per active tenant, the bytes that
/// remain per tenant after the deactivation, and the times in us from the request until the pool has its list.
fn measure_active(make_tenant: fn(usize, usize) -> Tenant) -> (f64, f64, Vec<f64>) {
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
            tenants: (0..2_000).map(|n| make_tenant(n, 2_000)).collect(),
            ..Service::default()
        };
        let plane = DataPlane::new(&service.process, fixture::no_discovery());
        plane.apply(&service).expect("applied");
        let (router, uri) = (plane.router("all"), "/lookup".parse().expect("a target"));
        let (mut latencies, mut bytes_each, mut remaining) = (Vec::new(), 0.0, 0.0);
        // The second batch reuses allocations of the first, so that only its own remaining bytes are measured.
        for batch in service.tenants.chunks(1_000) {
            latencies.reserve_exact(1_000);
            let baseline = allocated_bytes();
            for tenant in batch {
                let mut headers = hyper::header::HeaderMap::new();
                headers.insert("x-tenant-id", tenant.name.parse().expect("a name"));
                let started = std::time::Instant::now();
                router.pool(&uri, &headers, true).expect("activated");
                // The pool processes its list before the request that activated the tenant.
                while !plane.status_of(&tenant.name).expect("it exists").ready {
                    tokio::task::yield_now().await;
                }
                latencies.push(started.elapsed().as_secs_f64() * 1e6);
            }
            assert_eq!(plane.activation_status().active, 1_000);
            bytes_each = f64::max(bytes_each, (allocated_bytes() - baseline) / 1_000.0);
            while plane.activation_status().active > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            // The drivers of the pools end when they are next polled.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            remaining = (allocated_bytes() - baseline) / 1_000.0;
        }
        (bytes_each, remaining, latencies)
    })
}
