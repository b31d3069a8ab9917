//! Documents in memory and in the store: each is packed once, a change packs only its own, the format of an older
//! program is read unchanged, and damage in memory is repaired.
mod service;

use std::time::Duration;

use admin_api::{AdminState, Problem, snapshot_interval};
use config_parser::ValidationError;
use config_store::{Retention, Store};
use multi_tenant::catalog::{Catalog, Difference};
use multi_tenant::document::Service;
use serde_json::{Value, json};
use service::{KEEP, NOW, TempDirectory, TestClient, file, tenant};

/// A state exported by the program of commit 2b8906c, and the snapshot that it wrote of this state.
const OLDER_EXPORT: &str = include_str!("older/export.jsonl");
const OLDER_SNAPSHOT: &[u8] = include_bytes!("older/last-good.snapshot");

/// Imports an export into a new store, and opens the state.
fn state_from_export(file: &Service, text: &str, directory: &TempDirectory) -> AdminState {
    let keep = Retention {
        versions: KEEP,
        ..Retention::default()
    };
    let path = directory.path().join("exported");
    let (mut store, _) = Store::open(&path, keep).unwrap();
    config_store::import(&mut store, text.as_bytes()).unwrap();
    drop(store);
    let (store, state) = Store::open(&path, keep).unwrap();
    AdminState::with_store(
        file,
        Some(store),
        state,
        None,
        directory.path().to_owned(),
        NOW,
    )
    .unwrap()
}

fn name(i: usize) -> String {
    format!("t{i:05}")
}

/// Returns an export with this number of tenants, as a store would write it.
fn export_with_tenants(count: usize) -> String {
    let text = TestClient::new(&["model"]).export();
    let row = text
        .lines()
        .find(|l| l.starts_with("{\"row\""))
        .unwrap()
        .to_owned();
    let head = text
        .lines()
        .find(|l| l.starts_with("{\"head\""))
        .unwrap()
        .to_owned();
    let all = |line: &str| -> String {
        (0..count)
            .map(|i| line.replace("model", &name(i)) + "\n")
            .collect()
    };
    let edited = |i| json!({ "scope": format!("tenant/{}", name(i)), "rev": 1 });
    let edits: Vec<Value> = (0..count).map(edited).collect();
    let audit = json!({ "audit": {
        "n": 1, "at_ms": NOW, "by": { "id": "start", "name": "start" }, "action": "start", "version": 1, "edits": edits,
    } });
    let token = text.lines().find(|l| l.starts_with("{\"token\"")).unwrap();
    let first = "{\"canvascart-state\":{\"format\":2}}\n";
    format!(
        "{first}{}{}{{\"version\":{{\"version\":1,\"entry\":1}}}}\n{audit}\n{token}\n",
        all(&row),
        all(&head)
    )
}

/// Returns a client of a state with this number of tenants.
fn client_with_tenants(count: usize) -> TestClient {
    let mut client = TestClient::new(&["model"]);
    client.admin = state_from_export(&file(&[]), &export_with_tenants(count), &client.directory);
    client
}

#[test]
fn five_thousand_documents_are_loaded_one_by_one_and_listed_in_pages() {
    let mut client = client_with_tenants(5000);
    assert_eq!(
        (
            client.admin.catalog().len(),
            client.admin.packed_count(),
            client.version()
        ),
        (5000, 5000, 1)
    );
    let (mut after, mut seen) = (String::new(), Vec::new());
    loop {
        let page = client
            .ok(
                "GET",
                &format!("/v1/tenants?limit=700&after={after}"),
                Value::Null,
            )
            .body;
        let names = page["items"]
            .as_array()
            .unwrap()
            .iter()
            .map(|t| t["name"].as_str().unwrap().to_owned());
        seen.extend(names);
        match page["next"].as_str() {
            Some(next) => next.clone_into(&mut after),
            None => break,
        }
    }
    assert_eq!(seen, (0..5000).map(name).collect::<Vec<_>>());
    assert_eq!(client.admin.packed_count(), 5000, "reading packs nothing");
}

#[test]
fn changing_one_of_twenty_thousand_tenants_packs_only_that_tenant() {
    let mut client = client_with_tenants(20_000);
    let before = client.admin.catalog().clone();
    let packed = client.admin.packed_count();
    // All other tenants are damaged in memory, so a change that read one of them would read it again from the store
    // and pack it.
    let mut damaged_catalog = before.clone();
    (0..20_000)
        .filter(|i| *i != 777)
        .for_each(|i| damaged_catalog.corrupt(&name(i)));
    client.admin.finish_reload(damaged_catalog.clone());
    client.ok("PUT", "/v1/tenants/t00777/limits", json!({ "weight": 4.0 }));
    client
        .with_if_match("*")
        .ok("DELETE", "/v1/tenants/t00777", Value::Null);
    client.ok("POST", "/v1/tenants", tenant("t00777"));
    let hosts = client.fails("PUT", "/v1/tenants/t00777/hosts", json!(["t00042.example"]));
    assert_eq!(
        (hosts.status, hosts.faults[0].pointer.as_str()),
        (422, "/0")
    );
    assert_eq!(
        client.admin.packed_count() - packed,
        2,
        "one tenant packed for each stored document"
    );
    let changed = Catalog::differences(&damaged_catalog, client.admin.catalog());
    let changed: Vec<String> = changed
        .map(|d| match d {
            Difference::Added(n) | Difference::Changed(n) | Difference::Removed(n) => n.to_string(),
        })
        .collect();
    assert!(changed.is_empty() || changed == ["t00777"], "{changed:?}");
}

#[test]
fn an_export_of_an_older_program_keeps_its_entity_tags() {
    let mut client = TestClient::new(&["model"]);
    client.admin = state_from_export(&file(&[]), OLDER_EXPORT, &client.directory);
    // Entity tags as returned by the program of commit 2b8906c.
    for (tenant, tag) in [
        ("north", "\"2-08c95901\""),
        ("south", "\"1-e4a4be80\""),
        ("rich", RICH_ETAG),
    ] {
        let got = client.ok("GET", &format!("/v1/tenants/{tenant}"), Value::Null);
        assert_eq!(got.etag.as_deref(), Some(tag), "{tenant}");
    }
    let first = client.ok("GET", "/v1/tenants/north/versions/1", Value::Null);
    assert_eq!(first.etag.as_deref(), Some("\"1-d09c3eb0\""));
    assert_eq!(client.export(), OLDER_EXPORT, "the export is unchanged");
}

#[test]
fn entity_tags_of_documents_with_many_kinds_of_values_are_stable() {
    let mut client = TestClient::new(&["north"]);
    let made = client.ok("PUT", "/v1/tenants/rich", rich_tenant());
    let read = client.ok("GET", "/v1/tenants/rich", Value::Null);
    assert_eq!(
        (made.etag.as_deref(), read.etag.as_deref()),
        (Some(RICH_ETAG), Some(RICH_ETAG))
    );
    // The packed document equals the stored one.
    let stored = client.ok("GET", "/v1/tenants/rich/versions/1", Value::Null);
    assert_eq!(
        (stored.etag.as_deref(), stored.body),
        (Some(RICH_ETAG), read.body)
    );
}

#[test]
fn an_older_snapshot_replaces_a_damaged_store_and_is_written_unchanged() {
    let client = TestClient::new(&["model"]);
    let path = client.directory.path();
    std::fs::write(path.join(config_store::FILE_NAME), "no store").unwrap();
    std::fs::write(path.join(config_store::snapshot::FILE_NAME), OLDER_SNAPSHOT).unwrap();
    let mut service = file(&[]);
    let durable = json!({ "directory": path.display().to_string() });
    service.state = Some(serde_json::from_value(durable).unwrap());
    assert!(AdminState::open(&service, false, NOW).is_err());
    let mut admin = AdminState::open(&service, true, NOW).unwrap();
    assert_eq!(
        (admin.version(), admin.last_entry(), admin.catalog().len()),
        (3, 3, 3)
    );
    assert!(admin.read_only().is_some() && admin.take_snapshot().is_none());
    // A read-only state repairs damage from the snapshot.
    let good = admin.catalog().clone();
    let mut damaged_catalog = good.clone();
    damaged_catalog.corrupt("rich");
    admin.finish_reload(damaged_catalog);
    assert_eq!(
        admin.tenant("rich").unwrap(),
        good.get("rich").transpose().unwrap()
    );
    // The same state gives the same snapshot, byte for byte.
    let mut admin = state_from_export(&file(&[]), OLDER_EXPORT, &client.directory);
    let bytes = admin
        .take_snapshot()
        .unwrap()
        .write()
        .map_err(|(e, _)| e)
        .unwrap();
    let written = std::fs::read(path.join(config_store::snapshot::FILE_NAME)).unwrap();
    assert_eq!(
        (written.as_slice(), bytes),
        (OLDER_SNAPSHOT, OLDER_SNAPSHOT.len() as u64)
    );
    assert!(admin.take_snapshot().is_none(), "nothing has changed since");
}

#[test]
fn a_document_damaged_in_memory_is_read_again_from_the_store() {
    let mut client = TestClient::new(&["north", "south"]);
    client.ok("PUT", "/v1/tenants/north/limits", json!({ "weight": 3.0 }));
    let good = client.admin.catalog().clone();
    let tag = client.ok("GET", "/v1/tenants/north", Value::Null).etag;
    let damage = |client: &mut TestClient| {
        let mut damaged_catalog = client.admin.catalog().clone();
        damaged_catalog.corrupt("north");
        assert!(damaged_catalog.get("north").unwrap().is_err());
        client.admin.finish_reload(damaged_catalog);
    };
    // The damaged document is read, listed, changed and removed.
    damage(&mut client);
    assert_eq!(client.ok("GET", "/v1/tenants/north", Value::Null).etag, tag);
    assert_eq!(client.admin.catalog().get("north"), good.get("north"));
    damage(&mut client);
    let listed = client.ok("GET", "/v1/tenants", Value::Null).body;
    assert_eq!(
        listed["items"][0],
        json!({ "name": "north", "rev": 2, "classes": 1, "servers": 1 })
    );
    damage(&mut client);
    // A snapshot is not written from a damaged document.
    let (_, damaged) = client.admin.take_snapshot().unwrap().write().unwrap_err();
    assert_eq!(damaged.as_deref(), Some("north"));
    client.ok(
        "PUT",
        "/v1/tenants/north/servers/a",
        json!({ "address": "127.0.0.1:9009", "zone": "z1" }),
    );
    let now = client.admin.catalog().get("north").unwrap().unwrap();
    assert_eq!(
        (now.0, now.1.limits.weight),
        (3, 3.0),
        "the other parts are as they were stored"
    );
    damage(&mut client);
    client
        .with_if_match("*")
        .ok("DELETE", "/v1/tenants/north", Value::Null);
    assert!(
        client
            .admin
            .catalog()
            .tenant_of_host("north.example")
            .is_none()
    );
    client.ok("PUT", "/v1/tenants/south/hosts", json!(["north.example"]));
}

#[test]
fn a_problem_document_truncates_long_texts() {
    let long = "x".repeat(50_000);
    let many = (0..5000)
        .map(|i| ValidationError {
            pointer: format!("/{i}"),
            message: long.clone(),
        })
        .collect();
    for problem in [Problem::conflict(long.clone()), Problem::from_faults(many)] {
        let body = problem.body("/v1/apply");
        assert!(body["detail"].as_str().unwrap().len() <= 1024);
        assert!(
            body.to_string().len() < 200_000,
            "{}",
            body.to_string().len()
        );
    }
    let body = Problem::conflict(long).body("/");
    assert!(
        body["detail"]
            .as_str()
            .unwrap()
            .ends_with("(cut: it has 50000 bytes)")
    );
    let fault = Problem::from_faults(vec![ValidationError {
        pointer: "/hosts/3".into(),
        message: "ü".repeat(9000),
    }])
    .body("/");
    assert!(fault["detail"].as_str().unwrap().starts_with("/hosts/3: ü"));
    assert!(
        fault["errors"][0]["detail"]
            .as_str()
            .unwrap()
            .contains("18000 bytes")
    );
}

#[test]
fn the_interval_between_snapshots_grows_with_their_size() {
    assert_eq!(snapshot_interval(0), Duration::from_secs(1));
    assert_eq!(snapshot_interval(256 << 10), Duration::from_secs(1));
    assert_eq!(snapshot_interval(50 << 20), Duration::from_secs(200));
}

#[test]
fn thirty_three_thousand_tenants_are_added_in_batches_of_a_thousand() {
    let mut client = TestClient::new(&[]);
    let all: Vec<Value> = (0..33_000).map(|i| tenant(&name(i))).collect();
    for batch in all.chunks(1000) {
        let reply = client.ok(
            "POST",
            "/v1/apply",
            json!({ "tenant": batch, "prune": false }),
        );
        assert_eq!(reply.body["tenants"].as_array().unwrap().len(), 1000);
    }
    assert_eq!(
        (
            client.admin.catalog().len(),
            client.admin.packed_count(),
            client.version()
        ),
        (33_000, 33_000, 33)
    );
    let again = client.ok(
        "POST",
        "/v1/apply",
        json!({ "tenant": all[..1000], "prune": false }),
    );
    assert_eq!(
        (again.body["changed"].clone(), client.admin.packed_count()),
        (json!(false), 33_000)
    );
}

/// Entity tag of a tenant with values of many kinds.
const RICH_ETAG: &str = "\"1-ce124967\"";

fn rich_tenant() -> Value {
    json!({
        "name": "rich", "hosts": ["Rich.Example", "r.example"],
        "limits": { "weight": 2.5, "burst": "30 ms", "loop-share": "12.5 %" },
        "rules": { "max-attempts": 2, "cold": "1.5 s", "dial-timeout": "333 ms" },
        "class": [{ "name": "lookup", "effect": "safe", "aim": "0.1 s", "deadline": "1 min" },
                  { "name": "book", "effect": "unsafe", "aim": "123.456 ms", "deadline": "2.75 s" }],
        "server": [{ "name": "a", "address": "127.0.0.1:9001", "zone": "z1", "connections": 7, "size": 2.0 },
                   { "name": "b", "address": "127.0.0.1:9002", "state": "draining", "warm": true }],
    })
}
