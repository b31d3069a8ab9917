//! What the desk decides, without sockets: lost updates, repetitions, rights, faults, and going back.
mod service;

use admin_api::operations::{Handler, OPERATIONS};
use admin_api::{Call, Problem, Reply};
use serde_json::{Value, json};
use service::{NOW, TestClient, tenant};

#[test]
fn of_two_administrators_one_learns_that_the_other_was_first() {
    let mut it = TestClient::new(&["north", "south"]);
    let tag = it.ok("GET", "/v1/tenants/north", Value::Null).etag.unwrap();
    let mut next = tenant("north");
    next["rules"] = json!({ "max-attempts": 2 });
    // Without a word on what it replaces nothing is replaced.
    assert_eq!(
        it.fails("PUT", "/v1/tenants/north", next.clone()).kind,
        "precondition-required"
    );
    let first = it
        .with_if_match(&tag)
        .ok("PUT", "/v1/tenants/north", next.clone());
    assert_ne!(first.etag.as_deref(), Some(tag.as_str()));
    let lost = it
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
            it.with_if_match(&tag).fails(method, target, body).kind,
            "lost-update",
            "{method} {target}"
        );
    }
    // Another tenant's change is no lost update of this one.
    it.ok("PUT", "/v1/tenants/south/limits", json!({ "weight": 2.0 }));
    it.with_if_match(&first.etag.unwrap()).ok(
        "PUT",
        "/v1/tenants/north/limits",
        json!({ "weight": 3.0 }),
    );
}

#[test]
fn the_same_change_twice_is_one_version_and_a_key_makes_it_safe_to_repeat() {
    let mut it = TestClient::new(&["north"]);
    let server = json!({ "address": "127.0.0.1:9009" });
    let first = it
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
    let again = it.ok("PUT", "/v1/tenants/north/servers/b", server.clone());
    assert_eq!(
        (again.status, again.body["changed"].clone(), it.version()),
        (200, json!(false), 2)
    );
    // The repetition gets the first answer, even where that would not be true any more.
    it.ok("DELETE", "/v1/tenants/north/servers/b", Value::Null);
    assert_eq!(
        it.with_key("k")
            .ok("PUT", "/v1/tenants/north/servers/b", server.clone()),
        first
    );
    assert_eq!(it.version(), 3);
    let other = it
        .with_key("k")
        .fails("PUT", "/v1/tenants/north/servers/c", server);
    assert_eq!(other.kind, "invalid");
    assert_eq!(
        it.with_key("")
            .fails("DELETE", "/v1/tenants/north/servers/a", Value::Null)
            .kind,
        "malformed"
    );
}

#[test]
fn a_secret_is_told_once_and_kept_nowhere() {
    let mut it = TestClient::new(&["north"]);
    let body = json!({ "name": "n", "role": "tenant-admin", "tenant": "north" });
    let made = it.with_key("t").ok("POST", "/v1/tokens", body.clone());
    let whole = made.body["token"].as_str().unwrap().to_owned();
    let id = made.body["id"].as_str().unwrap().to_owned();
    // All behind the id: a secret may have a "_" in it, and what is behind that may stand anywhere by chance.
    let (_, secret) = whole.split_once(&format!("{id}_")).unwrap();
    assert!(secret.len() >= 40, "{secret}");
    let again = it.with_key("t").ok("POST", "/v1/tokens", body);
    assert_eq!(
        (again.body["id"].as_str(), &again.body["token"]),
        (Some(id.as_str()), &Value::Null)
    );
    assert!(!it.export().contains(secret), "the store holds a secret");
    assert!(
        it.admin
            .authenticate(Some(&format!("Bearer {whole}")), NOW)
            .is_ok()
    );
    let rotated = it.ok(
        "POST",
        &format!("/v1/tokens/{id}/rotate"),
        json!({ "overlap-s": 60 }),
    );
    let second = rotated.body["token"].as_str().unwrap().to_owned();
    let good = |it: &TestClient, t: &str, at| {
        it.admin
            .authenticate(Some(&format!("Bearer {t}")), at)
            .is_ok()
    };
    assert!(good(&it, &whole, NOW + 59_999) && good(&it, &second, NOW));
    assert!(!good(&it, &whole, NOW + 60_000) && good(&it, &second, NOW + 60_000));
    it.ok("DELETE", &format!("/v1/tokens/{id}"), Value::Null);
    assert!(!good(&it, &second, NOW));
    let operator = it.principal.id.clone();
    assert_eq!(
        it.fails("DELETE", &format!("/v1/tokens/{operator}"), Value::Null)
            .kind,
        "conflict"
    );
}

#[test]
fn a_tenants_token_opens_nothing_once_its_tenant_was_removed() {
    let mut it = TestClient::new(&["north"]);
    let body = json!({ "name": "n", "role": "read-only", "tenant": "north" });
    let whole = it.ok("POST", "/v1/tokens", body).body["token"]
        .as_str()
        .unwrap()
        .to_owned();
    it.with_if_match("*")
        .ok("DELETE", "/v1/tenants/north", Value::Null);
    it.ok("PUT", "/v1/tenants/north", tenant("north"));
    assert!(
        it.admin
            .authenticate(Some(&format!("Bearer {whole}")), NOW)
            .is_err()
    );
}

/// Every operation on another tenant, asked with a tenant's token: the answer is the one for a tenant that is not there.
#[test]
fn a_tenants_token_learns_nothing_of_others_from_any_operation() {
    for role in ["tenant-admin", "read-only"] {
        let mut it = TestClient::new(&["north", "qqq1"]);
        let other = it.ok(
            "POST",
            "/v1/tokens",
            json!({ "name": "o", "role": "read-only", "tenant": "qqq1" }),
        );
        it.use_token(role, Some("north"));
        let mut asked = 0;
        for operation in OPERATIONS {
            if !matches!(operation.handler, Handler::State(_)) {
                continue;
            }
            let answer = |it: &mut TestClient, name: &str, token: &str| {
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
                let got =
                    it.with_if_match("*")
                        .call(operation.method, &format!("{target}{query}"), body);
                format!("{got:?}")
                    .replace(name, "NAME")
                    .replace(token, "TOKEN")
            };
            let there = answer(&mut it, "qqq1", other.body["id"].as_str().unwrap());
            let nowhere = answer(&mut it, "qqq2", "zzzzzzzzzzz");
            assert_eq!(there, nowhere, "{}", operation.id);
            assert!(
                !there.contains("127.0.0.1:9001"),
                "{}: {there}",
                operation.id
            );
            asked += 1;
        }
        assert!(asked > 30);
        let seen = it.ok("GET", "/v1/tenants", Value::Null);
        assert_eq!(seen.body["items"].as_array().unwrap().len(), 1);
        assert_eq!(seen.etag, None, "the service's version tells of others");
        let lines = it.ok("GET", "/v1/audit", Value::Null);
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
fn a_tenants_administrator_changes_its_servers_but_not_what_it_may_have() {
    let mut it = TestClient::new(&["north"]);
    it.use_token("tenant-admin", Some("north"));
    it.ok(
        "PUT",
        "/v1/tenants/north/servers/b",
        json!({ "address": "127.0.0.1:9009" }),
    );
    it.ok("POST", "/v1/tenants/north/servers/a/drain", Value::Null);
    let change = |key: &str, value: Value| {
        let mut next = tenant("north");
        next[key] = value;
        next
    };
    let capped = json!([{ "name": "a", "address": "127.0.0.1:9001", "connections": 5 }]);
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
        ("PUT", "/v1/tenants/north", change("server", capped)),
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
        let problem = it.with_if_match("*").fails(method, target, body);
        assert_eq!(problem.kind, "forbidden", "{method} {target}: {problem:?}");
    }
    it.use_token("read-only", Some("north"));
    let problem = it.fails("POST", "/v1/tenants/north/servers/a/resume", Value::Null);
    assert_eq!(problem.kind, "forbidden");
}

#[test]
fn faults_are_named_where_the_caller_wrote_them() {
    let mut it = TestClient::new(&["north", "south"]);
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
        let problem = it.with_if_match("*").fails(method, target, body);
        assert_eq!(problem.status, 422, "{target}: {problem:?}");
        let all = pointers(problem);
        assert!(
            all.iter().any(|p| p == expected),
            "{target}: {expected} in {all:?}"
        );
    }
    assert_eq!(it.version(), 1, "nothing has changed");
    // What a listener leads to can't go.
    assert_eq!(
        it.with_if_match("*")
            .fails("DELETE", "/v1/tenants/south", Value::Null)
            .kind,
        "conflict"
    );
}

#[test]
fn a_dry_run_tells_what_would_change_and_changes_nothing() {
    let mut it = TestClient::new(&["north"]);
    let tried = it.ok(
        "PUT",
        "/v1/tenants/north/rules?dry-run=true",
        json!({ "max-attempts": 1 }),
    );
    assert_eq!(
        tried.body["differences"][0]["path"],
        "/north/rules/max-attempts"
    );
    let change = &tried.body["tenants"][0];
    assert_eq!(
        (&change["pool"], &change["servers"], &change["rev"]),
        (&json!(true), &json!(false), &json!(2))
    );
    assert_eq!(
        (
            it.version(),
            it.ok("GET", "/v1/tenants/north/rules", Value::Null).body["max-attempts"].clone()
        ),
        (1, json!(3))
    );
}

#[test]
fn going_back_is_a_new_version_and_what_is_not_kept_is_gone() {
    let mut it = TestClient::new(&["north", "west"]);
    for n in 0..service::KEEP {
        it.ok(
            "PUT",
            "/v1/tenants/north/limits",
            json!({ "weight": 2.0 + n as f64 }),
        );
    }
    it.with_if_match("*")
        .ok("DELETE", "/v1/tenants/west", Value::Null);
    let newest = it.version();
    assert_eq!(it.fails("GET", "/v1/versions/1", Value::Null).kind, "gone");
    assert_eq!(
        it.fails("GET", "/v1/tenants/north/versions/1", Value::Null)
            .kind,
        "gone"
    );
    assert_eq!(
        it.fails("GET", "/v1/tenants/north/versions/99", Value::Null)
            .kind,
        "not-found"
    );
    assert_eq!(
        it.fails("GET", &format!("/v1/versions/{}", newest + 1), Value::Null)
            .kind,
        "not-found"
    );
    let compared = it.ok("GET", &format!("/v1/diff?from={}", newest - 2), Value::Null);
    let paths: Vec<&str> = compared.body["differences"]
        .as_array()
        .unwrap()
        .iter()
        .map(|d| d["path"].as_str().unwrap())
        .collect();
    assert_eq!(paths, ["/north/limits/weight", "/west"]);
    let tag = it.ok("GET", "/v1/tenants", Value::Null).etag.unwrap();
    let back = it
        .with_if_match(&tag)
        .ok("POST", "/v1/rollback", json!({ "to": newest - 2 }));
    assert_eq!(
        (
            it.version(),
            back.body["differences"].as_array().unwrap().len()
        ),
        (newest + 1, 2)
    );
    let same = it.ok(
        "GET",
        &format!("/v1/diff?from={}&to={}", newest - 2, newest + 1),
        Value::Null,
    );
    assert_eq!(same.body["differences"], json!([]));
    assert_eq!(
        it.with_if_match(&tag)
            .fails("POST", "/v1/rollback", json!({ "to": newest }))
            .kind,
        "lost-update"
    );
    // One tenant alone, to a revision of its own.
    let versions = it.ok("GET", "/v1/tenants/north/versions?limit=2", Value::Null);
    assert_eq!(versions.body["items"].as_array().unwrap().len(), 2);
    let next = versions.body["next"].as_str().unwrap().to_owned();
    let older = it.ok(
        "GET",
        &format!("/v1/tenants/north/versions?after={next}"),
        Value::Null,
    );
    let to = older.body["items"][0]["number"].as_u64().unwrap();
    it.with_if_match("*")
        .ok("POST", "/v1/tenants/north/rollback", json!({ "to": to }));
    let diff = it.ok(
        "GET",
        &format!("/v1/tenants/north/diff?from={to}"),
        Value::Null,
    );
    assert_eq!(diff.body["differences"], json!([]));
}

#[test]
fn what_is_read_only_is_told_and_read() {
    let mut it = TestClient::new(&["north"]);
    it.admin.set_read_only("it is closed");
    let problem = it.fails("POST", "/v1/tenants/north/servers/a/drain", Value::Null);
    assert_eq!(
        (problem.status, problem.detail.as_str()),
        (503, "it is closed")
    );
    let token = json!({ "name": "x", "role": "read-only", "tenant": "north" });
    assert_eq!(it.fails("POST", "/v1/tokens", token).status, 503);
    it.ok(
        "POST",
        "/v1/tenants/north/servers/a/drain?dry-run=true",
        Value::Null,
    );
    it.ok("GET", "/v1/tenants/north", Value::Null);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 250, failure_persistence: None, ..Default::default()
    })]

    /// Whatever is put in place of whatever part of a body: it is taken and the service is right, or nothing has changed
    /// and the places that are named are in the body.
    #[test]
    fn no_body_breaks_the_desk(
        seed in proptest::prelude::any::<u64>(),
        which in 0..6usize,
        edits in proptest::collection::vec((0..40usize, 0..9usize), 1..4),
    ) {
        let mut it = TestClient::new(&["north", "south"]);
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
        let before = it.version();
        match it.with_if_match("*").call(method, target, body.clone()) {
            Ok(reply) => {
                proptest::prop_assert!(reply.status < 300);
                proptest::prop_assert!(multi_tenant::validation::validate(&it.admin.catalog().to_service().unwrap()).is_empty());
            }
            Err(problem) => {
                proptest::prop_assert!((400..500).contains(&problem.status), "{:?}", problem);
                proptest::prop_assert_eq!(it.version(), before);
                for fault in problem.faults {
                    // A place that is missing is named below the one that lacks it.
                    let above = fault.pointer.rsplit_once('/').map_or("", |(above, _)| above);
                    let there = body.pointer(&fault.pointer).or_else(|| body.pointer(above));
                    proptest::prop_assert!(there.is_some(), "{} in {}", fault.pointer, body);
                }
            }
        }
    }
}

#[test]
fn a_call_is_told_from_another_by_all_that_it_says() {
    let mut it = TestClient::new(&["north"]);
    let drain: &dyn Fn(&mut TestClient, &str) -> Result<Reply, Problem> = &|it, target| {
        let call = Call {
            idempotency_key: Some("d".into()),
            ..it.build_call("POST", target, Value::Null)
        };
        it.decide("POST", &call)
    };
    assert!(drain(&mut it, "/v1/tenants/north/servers/a/drain").is_ok());
    assert_eq!(
        drain(&mut it, "/v1/tenants/north/servers/a/resume")
            .unwrap_err()
            .kind,
        "invalid"
    );
    // Another token's keys are its own.
    it.use_token("operator", None);
    assert!(drain(&mut it, "/v1/tenants/north/servers/a/resume").is_ok());
}
