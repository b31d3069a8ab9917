//! A state with a store in memory, and a client that calls it.
#![allow(dead_code)] // each test file uses a part of this module
use std::collections::BTreeMap;

use admin_api::operations::{Handler, OPERATIONS};
use admin_api::{AdminState, Call, Outcome, Principal, Problem, Reply, Role};
use config_store::{Retention, Store};
use multi_tenant::document::Service;
use redb::backends::InMemoryBackend;
use serde_json::{Value, json};

pub const NOW: u64 = 1_800_000_000_000;
/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 1 << 30;
/// Number of versions that the store keeps.
pub const KEEP: u64 = 6;

pub fn tenant(name: &str) -> Value {
    json!({
        "name": name,
        "hosts": [format!("{name}.example")],
        "class": [{ "name": "lookup", "effect": "safe", "aim": "300 ms", "deadline": "1 s" }],
        "server": [{ "name": "a", "address": "127.0.0.1:9001", "zone": "z1" }],
    })
}

pub fn file(names: &[&str]) -> Service {
    let own = names.contains(&"south");
    let mut listeners =
        vec![json!({ "name": "public", "address": "127.0.0.1:1", "tenant-by": "host" })];
    if own {
        let souths = json!({
            "name": "souths", "address": "127.0.0.1:2", "tenant-by": "listener", "tenant": "south",
        });
        listeners.push(souths);
    }
    let tenants: Vec<Value> = names.iter().map(|n| tenant(n)).collect();
    serde_json::from_value(json!({ "listener": listeners, "tenant": tenants })).unwrap()
}

pub struct TestClient {
    pub admin: AdminState,
    pub principal: Principal,
    tag: Option<String>,
    key: Option<String>,
    /// The directory of the token file, removed with the client.
    pub directory: TempDirectory,
}

pub struct TempDirectory(std::path::PathBuf);

impl TestClient {
    /// Creates a service with these tenants, and calls as its first operator.
    pub fn new(names: &[&str]) -> Self {
        TestClient::keeping(names, KEEP)
    }

    /// As [`TestClient::new`], with a store that keeps this number of versions.
    pub fn keeping(names: &[&str], versions: u64) -> Self {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("canvascart-admin-api-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let memory = || config_store::open_database(InMemoryBackend::new(), CACHE_BYTES);
        let keep = Retention {
            versions,
            ..Retention::default()
        };
        let (store, state) = Store::with_opener(Box::new(memory), keep).unwrap();
        let admin = AdminState::with_store(
            &file(names),
            Some(store),
            state,
            None,
            directory.clone(),
            NOW,
        )
        .unwrap();
        let token =
            std::fs::read_to_string(directory.join(admin_api::OPERATOR_TOKEN_FILE)).unwrap();
        let principal = admin
            .authenticate(Some(&format!("Bearer {}", token.trim())), NOW)
            .unwrap();
        assert_eq!(principal.role, Role::Operator);
        TestClient {
            admin,
            principal,
            tag: None,
            key: None,
            directory: TempDirectory(directory),
        }
    }

    /// Creates a token, and calls with it from here on.
    pub fn use_token(&mut self, role: &str, tenant: Option<&str>) {
        let operator = Principal {
            id: "test".into(),
            name: "test".into(),
            role: Role::Operator,
            tenant: None,
        };
        self.principal = operator;
        let mut body = json!({ "name": role, "role": role });
        if let Some(tenant) = tenant {
            body["tenant"] = tenant.into();
        }
        let made = self.ok("POST", "/v1/tokens", body);
        let token = format!("Bearer {}", made.body["token"].as_str().unwrap());
        self.principal = self.admin.authenticate(Some(&token), NOW).unwrap();
    }

    /// Sets the If-Match header of the next call.
    pub fn with_if_match(&mut self, tag: &str) -> &mut Self {
        self.tag = Some(tag.to_owned());
        self
    }

    /// Sets the Idempotency-Key header of the next call.
    pub fn with_key(&mut self, key: &str) -> &mut Self {
        self.key = Some(key.to_owned());
        self
    }

    pub fn build_call(&mut self, method: &str, target: &str, body: Value) -> Call {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let template = operation(method, path).path;
        let parts = template.split('/').zip(path.split('/'));
        let named = parts.filter_map(|(t, p)| Some((t.strip_prefix('{')?.strip_suffix('}')?, p)));
        Call {
            id: None,
            principal: self.principal.clone(),
            path: named.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            query: pairs
                .map(|(k, v)| (k.to_owned(), v.to_owned()))
                .collect::<BTreeMap<_, _>>(),
            if_match: self.tag.take(),
            if_none_match: None,
            idempotency_key: self.key.take(),
            target: format!("{method} {target}"),
            body,
            now_ms: NOW,
        }
    }

    /// Decides a call as the API does, without a plane that applies the change.
    pub fn decide(&mut self, method: &str, call: &Call) -> Result<Reply, Problem> {
        let path = call.target.split([' ', '?']).nth(1).unwrap();
        let operation = operation(method, path);
        call.principal.authorize(operation.permission)?;
        if operation.is_write()
            && let Some(reply) = self.admin.earlier_reply(call)?
        {
            return Ok(reply);
        }
        let Handler::State(decide) = operation.handler else {
            panic!("{path} is not decided by the state")
        };
        Ok(match decide(&mut self.admin, call)? {
            Outcome::Reply(reply) => reply,
            Outcome::Change(change) => change.1,
            Outcome::Propose(_) => panic!("there is no cluster"),
            Outcome::Status(ask) => Reply::ok(format!("{ask:?}")),
        })
    }

    pub fn call(&mut self, method: &str, target: &str, body: Value) -> Result<Reply, Problem> {
        let call = self.build_call(method, target, body);
        self.decide(method, &call)
    }

    pub fn ok(&mut self, method: &str, target: &str, body: Value) -> Reply {
        self.call(method, target, body)
            .unwrap_or_else(|p| panic!("{method} {target}: {p:?}"))
    }

    pub fn fails(&mut self, method: &str, target: &str, body: Value) -> Problem {
        match self.call(method, target, body) {
            Ok(reply) => panic!("{method} {target}: {reply:?}"),
            Err(problem) => problem,
        }
    }

    pub fn version(&self) -> u64 {
        self.admin.version()
    }

    /// Exports everything that the store holds.
    pub fn export(&self) -> String {
        let mut text = Vec::new();
        config_store::export(self.admin.store().unwrap(), &mut text).unwrap();
        String::from_utf8(text).unwrap()
    }
}

impl TempDirectory {
    pub fn path(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn operation(method: &str, path: &str) -> &'static admin_api::operations::Operation {
    let fits = |template: &str| {
        let (a, b): (Vec<_>, Vec<_>) = (template.split('/').collect(), path.split('/').collect());
        a.len() == b.len() && a.iter().zip(&b).all(|(t, p)| t.starts_with('{') || t == p)
    };
    let all = OPERATIONS
        .iter()
        .filter(|o| o.method == method && fits(o.path));
    all.min_by_key(|o| o.path.matches('{').count())
        .unwrap_or_else(|| panic!("{method} {path}"))
}

/// Replaces the part of a value at an index in traversal order.
pub fn mutate(value: &mut Value, index: usize, replacement: usize, seed: u64) {
    fn walk<'v>(value: &'v mut Value, left: &mut usize) -> Option<&'v mut Value> {
        if *left == 0 {
            return Some(value);
        }
        *left -= 1;
        match value {
            Value::Array(list) => list.iter_mut().find_map(|v| walk(v, left)),
            Value::Object(map) => map.values_mut().find_map(|v| walk(v, left)),
            _ => None,
        }
    }
    let mut left = index;
    if let Some(found) = walk(value, &mut left) {
        *found = match replacement {
            0 => Value::Null,
            1 => json!(seed),
            2 => json!(-1.5),
            3 => json!("south.example"),
            4 => json!([found.clone(), found.clone()]),
            5 => json!({ "name": found.clone() }),
            6 => json!("0 ms"),
            7 => json!("x".repeat(300)),
            _ => json!([]),
        };
    }
}
