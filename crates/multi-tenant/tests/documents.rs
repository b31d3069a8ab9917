//! Documents, routes and plans, without sockets.

use multi_tenant::catalog::{Catalog, PartInterner};
use multi_tenant::document::{Server, Service, State};
use multi_tenant::plan::{Change, Plan, StartTimes};
use multi_tenant::routes::{Routes, UnknownTenant};
use multi_tenant::validation;

const VALID: &str = r#"
[process]
sockets = 512
bytes = "8 MiB"

[[listener]]
name = "public"
address = "127.0.0.1:0"
tenant-by = "host"

[[listener]]
name = "inner"
address = "127.0.0.1:0 "
tenant-by = "header"

[[listener]]
name = "north-only"
address = "[::1]:0"
tenant-by = "listener"
tenant = "north"

[[tenant]]
name = "north"
hosts = ["north.example"]
limits = { weight = 2.0, in-flight = 64 }

[[tenant.class]]
name = "lookup"
effect = "safe"
aim = "300 ms"
deadline = "1 s"

[[tenant.server]]
name = "n1"
address = "127.0.0.1:9001"
connections = 8

[[tenant.server]]
name = "n2"
address = "127.0.0.1:9002"
state = "draining"

[[tenant]]
name = "south"
hosts = ["South.Example:80", "www.south.example"]

[[tenant.class]]
name = "lookup"
effect = "safe"
aim = "300 ms"
deadline = "1 s"

[[tenant.server]]
name = "s1"
address = "127.0.0.1:9001"
connections = 8
"#;

fn valid() -> Service {
    validation::parse(
        "valid.toml",
        &VALID
            .replace(":0 \"", ":0\"")
            .replacen("127.0.0.1:0", "127.0.0.1:1", 1),
    )
    .unwrap()
}

fn catalog(service: &Service) -> Catalog {
    Catalog::from_service(service, &mut PartInterner::default())
}

#[test]
fn a_valid_document_is_parsed_with_its_defaults() {
    let service = valid();
    assert_eq!(
        (service.process.sockets, service.process.in_flight),
        (512, 2048)
    );
    assert_eq!(service.tenants[0].limits.weight, 2.0);
    assert_eq!(service.tenants[0].servers[1].state, State::Draining);
    assert_eq!(service.tenants[1].rules.max_attempts, 3);
    let catalog = catalog(&service);
    let users: Vec<(&str, u64)> = catalog
        .users_of_server("127.0.0.1:9001")
        .map(|(n, limit)| (&**n, limit))
        .collect();
    assert_eq!(users, [("north", 8), ("south", 8)]);
}

#[test]
fn all_errors_are_reported_with_line_and_key() {
    let errors = |text: &str| validation::parse("x.toml", text).unwrap_err().to_string();
    // Errors that the schema detects.
    let invalid = VALID
        .replace("sockets = 512", "sockets = \"many\"")
        .replace("tenant-by = \"host\"", "tenant-by = \"colour\"")
        .replace("weight = 2.0", "wheight = 2.0")
        .replacen("aim = \"300 ms\"", "aim = \"300\"", 1)
        .replace("name = \"n1\"", "nam = \"n1\"");
    let messages = errors(&invalid);
    for part in [
        "x.toml:3: process.sockets:",
        "x.toml:9: listener.0.tenant-by: ",
        "x.toml:25: tenant.0.limits.wheight: there is no such key",
        "x.toml:30: tenant.0.class.0.aim: \"300\" is not a duration with its unit",
        "x.toml:34: tenant.0.server.0.nam: there is no such key",
        "tenant.0.server.0.name: it is missing",
    ] {
        assert!(messages.contains(part), "{part}\n{messages}");
    }
    // Errors that the validation of the whole document detects.
    let invalid = VALID
        .replace("tenant = \"north\"", "tenant = \"nowhere\"")
        .replace("\"www.south.example\"", "\"NORTH.example:8080\"")
        .replace(
            "name = \"s1\"\naddress = \"127.0.0.1:9001\"\nconnections = 8",
            "name = \"s1\"\naddress = \"127.0.0.1:9001\"\nconnections = 9",
        )
        .replace("name = \"n2\"", "name = \"n1\"")
        .replacen("deadline = \"1 s\"", "deadline = \"200 ms\"", 1)
        .replace("127.0.0.1:9002", "localhost");
    let messages = errors(&invalid);
    for part in [
        "listener.1.address: \"127.0.0.1:0 \" is not an address",
        "listener.2.tenant: unknown tenant",
        "tenant.0.server.1.name: \"n1\" is used twice",
        "tenant.0.class.0.aim: must be greater than 0 and at most the deadline",
        "tenant.0.server.1.address: \"localhost\" is not an address with a port",
        "tenant.1.hosts.1: the host is already used by another tenant",
        "tenant.1.server.0.connections: another tenant sets a different limit",
    ] {
        assert!(messages.contains(part), "{part}\n{messages}");
    }
    assert_eq!(messages.lines().count(), 7, "{messages}");
}

#[test]
fn requests_are_routed_by_host_header_or_listener() {
    let routes = Routes::new(&catalog(&valid()));
    let find = |listener, host, header| routes.find(listener, host, header).map(|name| &**name);
    for host in ["north.example", "NORTH.example.:8080"] {
        assert_eq!(find("public", Some(host), Some("south")), Ok("north"));
    }
    assert_eq!(find("public", Some("south.example"), None), Ok("south"));
    assert_eq!(
        find("inner", Some("north.example"), Some("south")),
        Ok("south")
    );
    assert_eq!(find("north-only", None, Some("south")), Ok("north"));
    for (listener, host, header) in [
        ("public", None, None),
        ("public", Some("elsewhere.example"), Some("north")),
        ("inner", Some("north.example"), None),
        ("inner", None, Some("nobody")),
        ("nowhere", Some("north.example"), Some("north")),
    ] {
        assert_eq!(
            find(listener, host, header),
            Err(UnknownTenant),
            "{listener} {host:?} {header:?}"
        );
    }
    assert_eq!(
        (
            routes.dedicated_tenant("north-only"),
            routes.dedicated_tenant("public")
        ),
        (Some("north"), None)
    );
}

#[test]
fn a_plan_contains_exactly_the_changes() {
    let old = valid();
    let between = |old: &Service, new: &Service| Plan::between(&catalog(old), &catalog(new));
    assert!(between(&old, &old).is_empty());
    let mut new = old.clone();
    new.tenants[0].servers.pop();
    new.tenants[1].limits.weight = 5.0;
    let plan = between(&old, &new);
    let servers = Change {
        servers: true,
        ..Change::default()
    };
    let limits = Change {
        limits: true,
        ..Change::default()
    };
    assert_eq!(
        plan.changed.into_iter().collect::<Vec<_>>(),
        [("north".into(), servers), ("south".into(), limits)]
    );
    assert!(!plan.routes && plan.opened.is_empty() && plan.closed.is_empty());

    let mut new = old.clone();
    new.tenants[0].classes[0].name = "search".into();
    new.tenants.remove(1);
    new.listeners[1].address = "127.0.0.1:8081".into();
    let plan = between(&old, &new);
    assert!(plan.changed["north"].settings && !plan.changed["north"].servers);
    assert_eq!(
        (plan.removed, plan.closed),
        (vec!["south".to_owned()], vec!["inner".to_owned()])
    );
    assert_eq!(plan.opened[0].address, "127.0.0.1:8081");
    assert!(plan.routes);
}

#[test]
fn an_added_server_has_just_started_unless_it_is_marked_as_warm() {
    let server = |name: &str, address: &str, warm| Server {
        name: name.into(),
        address: address.into(),
        warm,
        ..valid().tenants[0].servers[0].clone()
    };
    let mut start_times = StartTimes::default();
    start_times.update(&[server("a", "127.0.0.1:1", false)], true, 1000.0);
    assert_eq!(start_times.get("a"), 0.0, "it started before the service");
    let next = [
        server("a", "127.0.0.1:1", false),
        server("b", "127.0.0.1:2", false),
        server("c", "127.0.0.1:3", true),
    ];
    start_times.update(&next, false, 2000.0);
    assert_eq!(
        [
            start_times.get("a"),
            start_times.get("b"),
            start_times.get("c")
        ],
        [0.0, 2000.0, 0.0]
    );
    // A server with another address is another process; one that was removed and added again has restarted.
    start_times.update(&[server("a", "127.0.0.1:9", false)], false, 3000.0);
    start_times.update(
        &[
            server("a", "127.0.0.1:9", false),
            server("b", "127.0.0.1:2", false),
        ],
        false,
        4000.0,
    );
    assert_eq!(
        [start_times.get("a"), start_times.get("b")],
        [3000.0, 4000.0]
    );
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 300, failure_persistence: None, ..Default::default()
    })]

    /// A document with random edits is either parsed, and a plan and routes can be created from it, or the
    /// errors have existing lines.
    #[test]
    fn randomly_edited_documents_are_parsed_or_rejected_with_errors(
        edits in proptest::collection::vec((0..1100usize, 0..40usize, "[ -~\n]{0,12}"), 1..6),
    ) {
        let mut text = VALID.to_owned();
        for (at, cut, put) in edits {
            let at = at.min(text.len());
            let end = (at + cut).min(text.len());
            text.replace_range(at..end, &put);
        }
        match validation::parse("x.toml", &text) {
            Ok(service) => {
                let catalog = catalog(&service);
                let plan = Plan::between(&Catalog::new(&Service::default()), &catalog);
                proptest::prop_assert_eq!(plan.added.len(), service.tenants.len());
                let _ = Routes::new(&catalog);
            }
            Err(e) => {
                proptest::prop_assert!(!e.problems.is_empty());
                let lines = text.lines().count() + 1;
                proptest::prop_assert!(e.problems.iter().all(|p| (1..=lines).contains(&p.line)), "{}", e);
            }
        }
    }
}
