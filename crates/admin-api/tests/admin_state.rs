//! Decisions of the administration state, without sockets: lost updates, repetitions, rights, faults and rollback.
mod service;

use admin_api::operations::{Handler, OPERATIONS};
use admin_api::{Call, Problem, Reply};
use serde_json::{Value, json};
use service::{NOW, TestClient, tenant};

#[test]
fn a_change_of_an_outdated_revision_is_rejected_as_lost_update() {
    let mut client = TestClient::new(&["north", "south"]);
    let tag = client
        .ok("GET", "/v1/tenants/north", Value::Null)
        .etag
        .unwrap();
    let mut next = tenant("north");
    next["rules"] = json!({ "max-attempts": 2 });
    // Replacing a document requires the revision that it replaces.
    assert_eq!(
        client.fails("PUT", "/v1/tenants/north", next.clone()).kind,
        "precondition-required"
    );
    let first = client
        .with_if_match(&tag)
        .ok("PUT", "/v1/tenants/north", next.clone());
    assert_ne!(first.etag.as_deref(), Some(tag.as_str()));
    let lost = client
        .with_if_match(&tag)
        .fails("PUT", "/v1/tenants/north", tenant("north"));
    assert_eq!((lost.status, lost.kind), (412, "lost-update"));
    for (method, target, body) in [
        ("DELETE", "/v1/tenants/north", Value::Null),
        ("POST", "/v1/tenants/north/rollback", json!({ "to": 1 })),
        ("POST", "/v1/tenants/north/servers/a/drain", Value::Null),
        ("PUT", "/v1/tenants/north/limits", json!({ "weight": 3.0 })),
    ] {
        assert_eq!(
            client.with_if_match(&tag).fails(method, target, body).kind,
            "lost-update",
            "{method} {target}"
        );
    }
    // A change of another tenant is no lost update of this one.
    client.ok("PUT", "/v1/tenants/south/limits", json!({ "weight": 2.0 }));
    client.with_if_match(&first.etag.unwrap()).ok(
        "PUT",
        "/v1/tenants/north/limits",
        json!({ "weight": 3.0 }),
    );
}

#[test]
fn a_repeated_change_makes_no_version_and_a_key_returns_the_first_reply() {
    let mut client = TestClient::new(&["north"]);
    let server = json!({ "address": "127.0.0.1:9009" });
    let first = client
        .with_key("k")
        .ok("PUT", "/v1/tenants/north/servers/b", server.clone());
    assert_eq!(
        (first.status, first.body["version"].clone()),
        (201, json!(2))
    );
    assert_eq!(
        first.location.as_deref(),
        Some("/v1/tenants/north/servers/b")
    );
    let again = client.ok("PUT", "/v1/tenants/north/servers/b", server.clone());
    assert_eq!(
        (
            again.status,
            again.body["changed"].clone(),
            client.version()
        ),
        (200, json!(false), 2)
    );
    // The repetition gets the first reply, even though the resource has changed since.
    client.ok("DELETE", "/v1/tenants/north/servers/b", Value::Null);
    assert_eq!(
        client
            .with_key("k")
            .ok("PUT", "/v1/tenants/north/servers/b", server.clone()),
        first
    );
    assert_eq!(client.version(), 3);
    let other = client
        .with_key("k")
        .fails("PUT", "/v1/tenants/north/servers/c", server);
    assert_eq!(other.kind, "invalid");
    assert_eq!(
        client
            .with_key("")
            .fails("DELETE", "/v1/tenants/north/servers/a", Value::Null)
            .kind,
        "malformed"
    );
}

#[test]
fn a_secret_is_returned_once_and_never_stored() {
    let mut client = TestClient::new(&["north"]);
    let body = json!({ "name": "n", "role": "tenant-admin", "tenant": "north" });
    let made = client.with_key("t").ok("POST", "/v1/tokens", body.clone());
    let token_text = made.body["token"].as_str().unwrap().to_owned();
    let id = made.body["id"].as_str().unwrap().to_owned();
    // Takes everything after the id: a secret may contain a "_", and what follows that may occur elsewhere by chance.
    let (_, secret) = token_text.split_once(&format!("{id}_")).unwrap();
    assert!(secret.len() >= 40, "{secret}");
    let again = client.with_key("t").ok("POST", "/v1/tokens", body);
    assert_eq!(
        (again.body["id"].as_str(), &again.body["token"]),
        (Some(id.as_str()), &Value::Null)
    );
    assert!(
        !client.export().contains(secret),
        "the store holds a secret"
    );
    assert!(
        client
            .admin
            .authenticate(Some(&format!("Bearer {token_text}")), NOW)
            .is_ok()
    );
    let rotated = client.ok(
        "POST",
        &format!("/v1/tokens/{id}/rotate"),
        json!({ "overlap-s": 60 }),
    );
    let second = rotated.body["token"].as_str().unwrap().to_owned();
    let good = |client: &TestClient, t: &str, at| {
        client
            .admin
            .authenticate(Some(&format!("Bearer {t}")), at)
            .is_ok()
    };
    assert!(good(&client, &token_text, NOW + 59_999) && good(&client, &second, NOW));
    assert!(!good(&client, &token_text, NOW + 60_000) && good(&client, &second, NOW + 60_000));
    client.ok("DELETE", &format!("/v1/tokens/{id}"), Value::Null);
    assert!(!good(&client, &second, NOW));
    let operator = client.principal.id.clone();
    assert_eq!(
        client
            .fails("DELETE", &format!("/v1/tokens/{operator}"), Value::Null)
            .kind,
        "conflict"
    );
}

#[test]
fn removing_a_tenant_revokes_its_tokens() {
    let mut client = TestClient::new(&["north"]);
    let body = json!({ "name": "n", "role": "read-only", "tenant": "north" });
    let token_text = client.ok("POST", "/v1/tokens", body).body["token"]
        .as_str()
        .unwrap()
        .to_owned();
    client
        .with_if_match("*")
        .ok("DELETE", "/v1/tenants/north", Value::Null);
    client.ok("PUT", "/v1/tenants/north", tenant("north"));
    assert!(
        client
            .admin
            .authenticate(Some(&format!("Bearer {token_text}")), NOW)
            .is_err()
    );
}

/// Guards against leaks between tenants: a tenant's token gets the same reply for another tenant as for one that does
/// not exist, from every operation.
#[test]
fn no_operation_reveals_other_tenants_to_a_tenants_token() {
    for role in ["tenant-admin", "read-only"] {
        let mut client = TestClient::new(&["north", "qqq1"]);
        let other = client.ok(
            "POST",
            "/v1/tokens",
            json!({ "name": "o", "role": "read-only", "tenant": "qqq1" }),
        );
        client.use_token(role, Some("north"));
        let mut asked = 0;
        for operation in OPERATIONS {
            if !matches!(operation.handler, Handler::State(_)) {
                continue;
            }
            let answer = |client: &mut TestClient, name: &str, token: &str| {
                let named = |body: Value| json!({ "tenant": [body], "prune": false });
                let body = match operation.id {
                    "apply" => named(tenant(name)),
                    "putServer" => json!({ "address": "127.0.0.1:1" }),
                    "rollbackTenant" => json!({ "to": 1 }),
                    "addToken" => json!({ "name": "x", "role": "read-only", "tenant": name }),
                    "putClass" => tenant(name)["class"][0].clone(),
                    "putTenant" | "addTenant" => tenant(name),
                    _ => json!({}),
                };
                let target = operation
                    .path
                    .replace("{tenant}", name)
                    .replace("{token}", token);
                let target = target.replace("{server}", "a").replace("{class}", "lookup");
                let target = target.replace("{rev}", "1").replace("{version}", "1");
                let query = if operation.id.starts_with("diff") {
                    "?from=1"
                } else {
                    ""
                };
                let query = if operation.id == "listAudit" {
                    format!("?tenant={name}")
                } else {
                    query.into()
                };
                let got = client.with_if_match("*").call(
                    operation.method,
                    &format!("{target}{query}"),
                    body,
                );
                format!("{got:?}")
                    .replace(name, "NAME")
                    .replace(token, "TOKEN")
            };
            let there = answer(&mut client, "qqq1", other.body["id"].as_str().unwrap());
            let missing = answer(&mut client, "qqq2", "zzzzzzzzzzz");
            assert_eq!(there, missing, "{}", operation.id);
            assert!(
                !there.contains("127.0.0.1:9001"),
                "{}: {there}",
                operation.id
            );
            asked += 1;
        }
        assert!(asked > 30);
        let seen = client.ok("GET", "/v1/tenants", Value::Null);
        assert_eq!(seen.body["items"].as_array().unwrap().len(), 1);
        assert_eq!(
            seen.etag, None,
            "the service's version would reveal other tenants"
        );
        let lines = client.ok("GET", "/v1/audit", Value::Null);
        assert!(
            lines.body["items"]
                .as_array()
                .unwrap()
                .iter()
                .all(|l| l["tenant"] == "north")
        );
    }
}

#[test]
fn a_tenant_admin_changes_servers_but_not_limits_hosts_or_other_tenants() {
    let mut client = TestClient::new(&["north"]);
    client.use_token("tenant-admin", Some("north"));
    client.ok(
        "PUT",
        "/v1/tenants/north/servers/b",
        json!({ "address": "127.0.0.1:9009" }),
    );
    client.ok("POST", "/v1/tenants/north/servers/a/drain", Value::Null);
    let change = |key: &str, value: Value| {
        let mut next = tenant("north");
        next[key] = value;
        next
    };
    let with_connections = json!([{ "name": "a", "address": "127.0.0.1:9001", "connections": 5 }]);
    for (method, target, body) in [
        ("PUT", "/v1/tenants/north/limits", json!({ "weight": 9.0 })),
        (
            "PUT",
            "/v1/tenants/north",
            change("limits", json!({ "weight": 9.0 })),
        ),
        (
            "PUT",
            "/v1/tenants/north",
            change("hosts", json!(["elsewhere.example"])),
        ),
        (
            "PUT",
            "/v1/tenants/north",
            change("server", with_connections),
        ),
        (
            "POST",
            "/v1/apply",
            json!({ "tenant": [change("hosts", json!([]))] }),
        ),
        ("POST", "/v1/apply", json!({ "tenant": [], "prune": true })),
        ("DELETE", "/v1/tenants/north", Value::Null),
        (
            "POST",
            "/v1/tokens",
            json!({ "name": "x", "role": "operator" }),
        ),
        (
            "POST",
            "/v1/tokens",
            json!({ "name": "x", "role": "read-only" }),
        ),
        ("GET", "/v1/versions", Value::Null),
        ("POST", "/v1/rollback", json!({ "to": 1 })),
    ] {
        let problem = client.with_if_match("*").fails(method, target, body);
        assert_eq!(problem.kind, "forbidden", "{method} {target}: {problem:?}");
    }
    client.use_token("read-only", Some("north"));
    let problem = client.fails("POST", "/v1/tenants/north/servers/a/resume", Value::Null);
    assert_eq!(problem.kind, "forbidden");
}

#[test]
fn faults_point_into_the_body_of_the_call() {
    let mut client = TestClient::new(&["north", "south"]);
    let mut bad = tenant("north");
    bad["class"][0]["aim"] = json!("9 s");
    let pointers = |p: Problem| p.faults.into_iter().map(|f| f.pointer).collect::<Vec<_>>();
    for (target, method, body, expected) in [
        ("/v1/tenants/north", "PUT", bad.clone(), "/class/0/aim"),
        (
            "/v1/tenants/north/classes/lookup",
            "PUT",
            bad["class"][0].clone(),
            "/aim",
        ),
        (
            "/v1/tenants/north/servers/z",
            "PUT",
            json!({ "address": "nowhere" }),
            "/address",
        ),
        (
            "/v1/tenants/north/servers/z",
            "PUT",
            json!({ "name": "y", "address": "127.0.0.1:1" }),
            "/name",
        ),
        (
            "/v1/tenants/north/servers/z",
            "PUT",
            json!({ "adress": "127.0.0.1:1" }),
            "/adress",
        ),
        (
            "/v1/tenants/north/limits",
            "PUT",
            json!({ "weight": 0 }),
            "/weight",
        ),
        (
            "/v1/tenants/south/hosts",
            "PUT",
            json!(["x.example", "north.example"]),
            "/1",
        ),
        (
            "/v1/apply",
            "POST",
            json!({ "tenant": [tenant("south"), bad] }),
            "/tenant/1/class/0/aim",
        ),
        (
            "/v1/apply",
            "POST",
            json!({ "tenant": [tenant("south"), tenant("south")] }),
            "/tenant/1/name",
        ),
        (
            "/v1/tokens",
            "POST",
            json!({ "name": "x", "role": "king" }),
            "/role",
        ),
    ] {
        let problem = client.with_if_match("*").fails(method, target, body);
        assert_eq!(problem.status, 422, "{target}: {problem:?}");
        let all = pointers(problem);
        assert!(
            all.iter().any(|p| p == expected),
            "{target}: {expected} in {all:?}"
        );
    }
    assert_eq!(client.version(), 1, "nothing has changed");
    // A tenant that a listener refers to can't be removed.
    assert_eq!(
        client
            .with_if_match("*")
            .fails("DELETE", "/v1/tenants/south", Value::Null)
            .kind,
        "conflict"
    );
}

#[test]
fn a_dry_run_reports_the_change_without_making_it() {
    let mut client = TestClient::new(&["north"]);
    let dry_run = client.ok(
        "PUT",
        "/v1/tenants/north/rules?dry-run=true",
        json!({ "max-attempts": 1 }),
    );
    assert_eq!(
        dry_run.body["differences"][0]["path"],
        "/north/rules/max-attempts"
    );
    let change = &dry_run.body["tenants"][0];
    assert_eq!(
        (&change["pool"], &change["servers"], &change["rev"]),
        (&json!(true), &json!(false), &json!(2))
    );
    assert_eq!(
        (
            client.version(),
            client
                .ok("GET", "/v1/tenants/north/rules", Value::Null)
                .body["max-attempts"]
                .clone()
        ),
        (1, json!(3))
    );
}

#[test]
fn a_rollback_is_a_new_version_and_expired_versions_are_gone() {
    let mut client = TestClient::new(&["north", "west"]);
    for n in 0..service::KEEP {
        client.ok(
            "PUT",
            "/v1/tenants/north/limits",
            json!({ "weight": 2.0 + n as f64 }),
        );
    }
    client
        .with_if_match("*")
        .ok("DELETE", "/v1/tenants/west", Value::Null);
    let newest = client.version();
    assert_eq!(
        client.fails("GET", "/v1/versions/1", Value::Null).kind,
        "gone"
    );
    assert_eq!(
        client
            .fails("GET", "/v1/tenants/north/versions/1", Value::Null)
            .kind,
        "gone"
    );
    assert_eq!(
        client
            .fails("GET", "/v1/tenants/north/versions/99", Value::Null)
            .kind,
        "not-found"
    );
    assert_eq!(
        client
            .fails("GET", &format!("/v1/versions/{}", newest + 1), Value::Null)
            .kind,
        "not-found"
    );
    let compared = client.ok("GET", &format!("/v1/diff?from={}", newest - 2), Value::Null);
    let paths: Vec<&str> = compared.body["differences"]
        .as_array()
        .unwrap()
        .iter()
        .map(|d| d["path"].as_str().unwrap())
        .collect();
    assert_eq!(paths, ["/north/limits/weight", "/west"]);
    let tag = client.ok("GET", "/v1/tenants", Value::Null).etag.unwrap();
    let back = client
        .with_if_match(&tag)
        .ok("POST", "/v1/rollback", json!({ "to": newest - 2 }));
    assert_eq!(
        (
            client.version(),
            back.body["differences"].as_array().unwrap().len()
        ),
        (newest + 1, 2)
    );
    let same = client.ok(
        "GET",
        &format!("/v1/diff?from={}&to={}", newest - 2, newest + 1),
        Value::Null,
    );
    assert_eq!(same.body["differences"], json!([]));
    assert_eq!(
        client
            .with_if_match(&tag)
            .fails("POST", "/v1/rollback", json!({ "to": newest }))
            .kind,
        "lost-update"
    );
    // Rolls back one tenant to one of its own revisions.
    let versions = client.ok("GET", "/v1/tenants/north/versions?limit=2", Value::Null);
    assert_eq!(versions.body["items"].as_array().unwrap().len(), 2);
    let next = versions.body["next"].as_str().unwrap().to_owned();
    let older = client.ok(
        "GET",
        &format!("/v1/tenants/north/versions?after={next}"),
        Value::Null,
    );
    let to = older.body["items"][0]["number"].as_u64().unwrap();
    client
        .with_if_match("*")
        .ok("POST", "/v1/tenants/north/rollback", json!({ "to": to }));
    let diff = client.ok(
        "GET",
        &format!("/v1/tenants/north/diff?from={to}"),
        Value::Null,
    );
    assert_eq!(diff.body["differences"], json!([]));
}

#[test]
fn a_read_only_state_rejects_changes_and_allows_reads() {
    let mut client = TestClient::new(&["north"]);
    client.admin.set_read_only("it is closed");
    let problem = client.fails("POST", "/v1/tenants/north/servers/a/drain", Value::Null);
    assert_eq!(
        (problem.status, problem.detail.as_str()),
        (503, "it is closed")
    );
    let token = json!({ "name": "x", "role": "read-only", "tenant": "north" });
    assert_eq!(client.fails("POST", "/v1/tokens", token).status, 503);
    client.ok(
        "POST",
        "/v1/tenants/north/servers/a/drain?dry-run=true",
        Value::Null,
    );
    client.ok("GET", "/v1/tenants/north", Value::Null);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 250, failure_persistence: None, ..Default::default()
    })]

    /// Mutates parts of a body: either the change is stored and the service is valid, or nothing has changed and the
    /// reported pointers are in the body.
    #[test]
    fn a_mutated_body_is_stored_validly_or_rejected_with_valid_pointers(
        seed in proptest::prelude::any::<u64>(),
        which in 0..6usize,
        edits in proptest::collection::vec((0..40usize, 0..9usize), 1..4),
    ) {
        let mut client = TestClient::new(&["north", "south"]);
        let (method, target, mut body) = [
            ("PUT", "/v1/tenants/north", tenant("north")),
            ("POST", "/v1/tenants", tenant("east")),
            ("PUT", "/v1/tenants/north/servers/a", json!({ "address": "127.0.0.1:7", "zone": "z" })),
            ("POST", "/v1/apply", json!({ "tenant": [tenant("north"), tenant("east")], "prune": false })),
            ("PUT", "/v1/tenants/north/rules", json!({ "max-attempts": 1, "cold": "1 s" })),
            ("POST", "/v1/tokens", json!({ "name": "x", "role": "read-only", "tenant": "north" })),
        ][which].clone();
        for (place, what) in edits {
            service::mutate(&mut body, place, what, seed);
        }
        let before = client.version();
        match client.with_if_match("*").call(method, target, body.clone()) {
            Ok(reply) => {
                proptest::prop_assert!(reply.status < 300);
                proptest::prop_assert!(multi_tenant::validation::validate(&client.admin.catalog().to_service().unwrap()).is_empty());
            }
            Err(problem) => {
                proptest::prop_assert!((400..500).contains(&problem.status), "{:?}", problem);
                proptest::prop_assert_eq!(client.version(), before);
                for fault in problem.faults {
                    // A missing key is reported below the object that lacks it.
                    let above = fault.pointer.rsplit_once('/').map_or("", |(above, _)| above);
                    let there = body.pointer(&fault.pointer).or_else(|| body.pointer(above));
                    proptest::prop_assert!(there.is_some(), "{} in {}", fault.pointer, body);
                }
            }
        }
    }
}

#[test]
fn an_idempotency_key_is_bound_to_the_call_and_the_token() {
    let mut client = TestClient::new(&["north"]);
    let drain: &dyn Fn(&mut TestClient, &str) -> Result<Reply, Problem> = &|client, target| {
        let call = Call {
            idempotency_key: Some("d".into()),
            ..client.build_call("POST", target, Value::Null)
        };
        client.decide("POST", &call)
    };
    assert!(drain(&mut client, "/v1/tenants/north/servers/a/drain").is_ok());
    assert_eq!(
        drain(&mut client, "/v1/tenants/north/servers/a/resume")
            .unwrap_err()
            .kind,
        "invalid"
    );
    // Idempotency keys of another token are separate.
    client.use_token("operator", None);
    assert!(drain(&mut client, "/v1/tenants/north/servers/a/resume").is_ok());
}
