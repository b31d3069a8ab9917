//! The catalog: tenants are stored and read unchanged, changes leave earlier catalogs intact, indexes follow
//! changes, damage is detected.

use config_parser::units::Milliseconds;
use multi_tenant::catalog::{Catalog, Difference, PartInterner};
use multi_tenant::document::{
    Class, DiscoverySettings, Idempotency, Limits, Rules, Server, Service, State, Tenant,
};
use multi_tenant::{plan, validation};

fn tenant(n: usize) -> Tenant {
    let class = |name: &str, idempotency| Class {
        name: name.into(),
        idempotency,
        latency_objective: Milliseconds(300.0),
        deadline: Milliseconds(1000.0),
        priority_weight: 1.0,
        late_weight_fraction: config_parser::units::Fraction(0.5),
    };
    let server = |i: usize| Server {
        name: format!("s{i}"),
        address: format!("127.0.0.1:{}", 9000 + n % 7 * 10 + i),
        capacity: 16.0,
        zone: Some("east".into()),
        machine_type: None,
        state: if i == 3 { State::Draining } else { State::Up },
        connections: (n % 5 == 0 && i == 0).then_some(8),
        warm: i == 1,
    };
    Tenant {
        name: format!("t{n:05}"),
        hosts: vec![
            format!("t{n:05}.example"),
            format!("www.t{n:05}.example:80"),
        ],
        limits: Limits {
            weight: 1.0 + (n % 3) as f64,
            ..Limits::default()
        },
        rules: Rules::default(),
        classes: vec![
            class("lookup", Idempotency::Idempotent),
            class("checkout", Idempotency::NonIdempotent),
        ],
        discovery: None,
        servers: (0..4).map(server).collect(),
    }
}

fn service(n: usize) -> Service {
    Service {
        tenants: (0..n).map(tenant).collect(),
        ..Service::default()
    }
}

#[test]
fn tenants_are_read_as_stored() {
    let service = service(300);
    let mut parts = PartInterner::default();
    let mut catalog = Catalog::from_service(&service, &mut parts);
    let read: Vec<Tenant> = catalog.iter().map(|t| t.expect("not damaged").1).collect();
    assert_eq!(read, service.tenants);
    let discovery = DiscoverySettings {
        etcd: vec!["http://127.0.0.1:2379".into()],
        prefix: "/p".into(),
        pool: Some("p".into()),
        user_file: None,
        mass_expiry_ratio: config_parser::units::Fraction(0.5),
        retention: Milliseconds(60_000.0),
    };
    let other = Tenant {
        discovery: Some(discovery),
        servers: Vec::new(),
        hosts: Vec::new(),
        ..tenant(7)
    };
    catalog.insert(&mut parts, &other, 9);
    assert_eq!(catalog.get("t00007"), Some(Ok((9, other))));
    assert_eq!(
        catalog.tenant_of_host("t00007.example"),
        None,
        "its hosts are removed"
    );
    assert_eq!(
        catalog.tenant_of_host("WWW.T00008.example.").map(|n| &**n),
        Some("t00008")
    );
    catalog.remove("t00008");
    assert!(catalog.get("t00008").is_none() && catalog.tenant_of_host("t00008.example").is_none());
    assert_eq!(catalog.len(), 299);
}

#[test]
fn a_changed_copy_differs_only_in_the_change_and_leaves_the_original_intact() {
    let mut parts = PartInterner::default();
    let old = Catalog::from_service(&service(1000), &mut parts);
    let mut new = old.clone();
    new.insert(
        &mut parts,
        &Tenant {
            servers: Vec::new(),
            ..tenant(500)
        },
        1,
    );
    new.insert(&mut parts, &tenant(700), 1); // a different revision alone is not a difference
    new.insert(&mut parts, &tenant(1000), 1);
    new.remove("t00010");
    let all: Vec<(&str, &str)> = Catalog::differences(&old, &new)
        .map(|d| match d {
            Difference::Added(n) => ("added", &**n),
            Difference::Changed(n) => ("changed", &**n),
            Difference::Removed(n) => ("removed", &**n),
        })
        .collect();
    assert_eq!(
        all,
        [
            ("removed", "t00010"),
            ("changed", "t00500"),
            ("added", "t01000")
        ]
    );
    assert_eq!(old.get("t00500"), Some(Ok((0, tenant(500)))));
    assert_eq!((old.len(), new.len()), (1000, 1000));
    assert!(
        old != new && old == Catalog::from_service(&service(1000), &mut PartInterner::default())
    );
    // Servers that are already draining don't count, and tenants without a remaining server are left out.
    let ended = plan::ended_servers(&old, &new);
    assert!(ended.is_empty(), "{ended:?}");
    let mut fewer = tenant(600);
    fewer.servers.remove(0);
    new.insert(&mut parts, &fewer, 2);
    assert_eq!(
        plan::ended_servers(&old, &new)["t00600"],
        ["s0".to_owned()].into()
    );
}

#[test]
fn users_of_a_server_with_a_limit_follow_changes() {
    let mut parts = PartInterner::default();
    let mut catalog = Catalog::from_service(&service(36), &mut parts);
    let users = |c: &Catalog| -> Vec<String> {
        c.users_of_server("127.0.0.1:9000")
            .map(|(n, _)| n.to_string())
            .collect()
    };
    assert_eq!(
        users(&catalog),
        ["t00000", "t00035"],
        "every fifth tenant has a limit, every seventh uses this server"
    );
    catalog.insert(
        &mut parts,
        &Tenant {
            servers: Vec::new(),
            ..tenant(35)
        },
        1,
    );
    assert_eq!(users(&catalog), ["t00000"]);
    catalog.remove("t00000");
    assert!(users(&catalog).is_empty());
}

#[test]
fn damage_is_detected_and_limited_to_one_tenant() {
    let mut parts = PartInterner::default();
    let mut catalog = Catalog::from_service(&service(50), &mut parts);
    catalog.corrupt("t00020");
    let damaged = catalog
        .get("t00020")
        .expect("it exists")
        .expect_err("it is damaged");
    assert_eq!(
        (damaged.tenant.as_str(), damaged.part),
        ("t00020", "servers")
    );
    // The part that it shared with others is still intact for them.
    assert_eq!(catalog.iter().filter(Result::is_ok).count(), 49);
    // Storing the tenant again repairs it, and leaves no index entries of the damaged record.
    catalog.insert(&mut parts, &tenant(20), 1);
    assert_eq!(catalog.get("t00020"), Some(Ok((1, tenant(20)))));
    assert_eq!(catalog.users_of_server("127.0.0.1:9060").count(), 1);
    let mut without = catalog.clone();
    without.corrupt("t00020");
    without.remove("t00020");
    assert!(
        without.tenant_of_host("t00020.example").is_none()
            && without.users_of_server("127.0.0.1:9060").count() == 0
    );
}

#[test]
fn edits_are_validated_against_the_tenants_they_affect() {
    let mut parts = PartInterner::default();
    let catalog = Catalog::from_service(&service(20), &mut parts);
    let faults = |edits: &[(String, Option<Tenant>)]| -> Vec<String> {
        let all = validation::validate_edits(&catalog, edits);
        all.into_iter()
            .map(|(i, f)| format!("{i:?} {}: {}", f.key(), f.message))
            .collect()
    };
    let edit = |tenant: Tenant| (tenant.name.clone(), Some(tenant));
    assert!(faults(&[edit(tenant(3)), edit(tenant(99))]).is_empty());
    let taking = Tenant {
        hosts: vec!["T00004.example".into()],
        ..tenant(3)
    };
    assert_eq!(
        faults(&[edit(taking.clone())]),
        ["Some(0) hosts.0: the host is already used by another tenant"]
    );
    // A host that another tenant releases in the same change is free; of two that want it, the later is
    // rejected.
    let releasing = Tenant {
        hosts: Vec::new(),
        ..tenant(4)
    };
    assert!(faults(&[edit(taking.clone()), edit(releasing)]).is_empty());
    assert!(faults(&[edit(taking.clone()), ("t00004".into(), None)]).is_empty());
    let competing = Tenant {
        hosts: vec!["t00004.example".into()],
        ..tenant(5)
    };
    let messages = faults(&[edit(taking), ("t00004".into(), None), edit(competing)]);
    assert_eq!(
        messages,
        ["Some(2) hosts.0: the host is already used by another tenant"]
    );
    // All tenants that set a limit for a server have to set the same.
    let mut other = tenant(7);
    other.servers[0].connections = Some(9);
    assert_eq!(
        faults(&[edit(other.clone())]),
        ["Some(0) server.0.connections: another tenant sets a different limit for this server"]
    );
    assert!(faults(&[edit(other), ("t00000".into(), None)]).is_empty());
    let mut twice = tenant(8);
    twice.servers[1].name = "s0".into();
    twice.classes[0].latency_objective = Milliseconds(0.0);
    let messages = faults(&[edit(twice)]);
    assert!(
        messages
            .iter()
            .any(|f| f.starts_with("Some(0) server.1.name: \"s0\" is used twice")),
        "{messages:?}"
    );
    assert!(
        messages
            .iter()
            .any(|f| f.starts_with("Some(0) class.0.aim: ")),
        "{messages:?}"
    );
}
