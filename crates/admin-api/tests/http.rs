//! The API over a socket: the routes against the OpenAPI document, and misbehaving clients.
mod service;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use admin_api::operations::{OPERATIONS, openapi};
use admin_api::{Api, PlaneCommand};
use serde_json::{Value, json};
use service::{TestClient, tenant};

struct Served {
    address: SocketAddr,
    token: String,
    api: Arc<Api>,
    _directory: service::TempDirectory,
}

/// A response to a call.
#[derive(Debug)]
struct Response {
    status: u16,
    headers: Vec<(String, String)>,
    body: Value,
}

impl Response {
    fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map_or("", |(_, v)| v)
    }
}

impl Served {
    /// Starts an API whose commands are acknowledged by a fake plane.
    fn new(names: &[&str]) -> Self {
        let mut caller = TestClient::keeping(names, 1000);
        let made = caller.ok(
            "POST",
            "/v1/tokens",
            json!({ "name": "test", "role": "operator" }),
        );
        let token = made.body["token"].as_str().unwrap().to_owned();
        let TestClient {
            admin, directory, ..
        } = caller;
        let (api, mut commands) = Api::new(admin);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let served_api = api.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(served_api.serve(listener))
        });
        thread::spawn(move || {
            while let Some(command) = commands.blocking_recv() {
                match command {
                    PlaneCommand::ApplyChange(_, done) | PlaneCommand::ServeCatalog(_, done) => {
                        _ = done.send(Ok(()))
                    }
                    PlaneCommand::WithholdServers(_)
                    | PlaneCommand::AcceptRequests
                    | PlaneCommand::SetShare(..) => {}
                    PlaneCommand::ReportStartup(reply) => _ = reply.send((None, 0, Vec::new())),
                    PlaneCommand::ReportGate(reply) => _ = reply.send([0; 2]),
                    PlaneCommand::ReportActivationStatus(reply) => {
                        _ = reply.send(multi_tenant::data_plane::ActivationStatus::default())
                    }
                    PlaneCommand::CloseGate(done) | PlaneCommand::OpenGate(_, done) => {
                        _ = done.send(())
                    }
                    PlaneCommand::ReportStatus(name, reply) => {
                        let status = |name: String| multi_tenant::data_plane::TenantStatus {
                            name,
                            active: true,
                            ready: true,
                            servers: [1, 1],
                            discovery: None,
                            former_pools: 0,
                            sockets: 0,
                            in_flight: 0,
                            bytes: 0,
                            loop_ms: 0.0,
                            rejections: [0; 5],
                        };
                        let _ = reply.send(name.into_iter().map(status).collect());
                    }
                }
            }
        });
        Served {
            address,
            token,
            api,
            _directory: directory,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        stream
    }

    fn raw(&self, head: &str, body: &str) -> Response {
        let mut stream = self.connect();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
        read_response(&mut BufReader::new(stream))
    }

    fn call(&self, method: &str, target: &str, more: &str, body: &Value) -> Response {
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let json = if body.is_empty() {
            ""
        } else {
            "Content-Type: application/json\r\n"
        };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{json}{more}Content-Length: {}\r\n\r\n",
            self.token,
            body.len()
        );
        self.raw(&head, &body)
    }
}

fn read_response(stream: &mut impl BufRead) -> Response {
    let (mut status, mut headers) = (0, Vec::new());
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).unwrap();
        match line.trim_end() {
            "" => break,
            first if status == 0 => status = first.split(' ').nth(1).unwrap().parse().unwrap(),
            line => {
                let (name, value) = line.split_once(": ").unwrap();
                headers.push((name.to_lowercase(), value.to_owned()));
            }
        }
    }
    let length = headers
        .iter()
        .find(|(n, _)| n == "content-length")
        .map(|(_, v)| v.parse().unwrap());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).unwrap();
    Response {
        status,
        headers,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    }
}

/// Returns a validator for a schema of the document that resolves its references.
fn schema(document: &Value, schema: &Value) -> jsonschema::Validator {
    let whole = json!({ "components": document["components"], "allOf": [schema] });
    jsonschema::validator_for(&whole).unwrap()
}

#[test]
fn the_recorded_document_equals_the_served_one() {
    let kept: Value =
        serde_json::from_str(include_str!("../../../docs/admin-api.openapi.json")).unwrap();
    assert_eq!(
        kept,
        openapi(),
        "docs/admin-api.openapi.json is what `canvascart config openapi` prints"
    );
    let served = Served::new(&["north"]);
    let got = served.raw("GET /v1/openapi.json HTTP/1.1\r\nHost: x\r\n\r\n", "");
    assert_eq!((got.status, got.body), (200, kept));
}

/// Calls each operation of the document, and validates the response against the document.
#[test]
fn each_operation_responds_according_to_the_document() {
    let served = Served::new(&["north", "south"]);
    let document = openapi();
    let made = served.call(
        "POST",
        "/v1/tokens",
        "",
        &json!({ "name": "x", "role": "read-only" }),
    );
    let id = made.body["id"].as_str().unwrap().to_owned();
    let class = &tenant("north")["class"][0];
    let mut called = 0;
    // Operations that remove things come last.
    let mut all: Vec<_> = OPERATIONS
        .iter()
        .filter(|o| o.id != "events" && o.id != "openapi")
        .collect();
    all.sort_by_key(|o| (o.method == "DELETE", std::cmp::Reverse(o.path.len())));
    for operation in all {
        let target = operation
            .path
            .replace("{tenant}", "north")
            .replace("{token}", &id);
        let target = target
            .replace("{server}", "a")
            .replace("{class}", "lookup")
            .replace("{rev}", "1");
        let target = target.replace("{version}", "1");
        let query = if operation.id.starts_with("diff") {
            "?from=1"
        } else {
            ""
        };
        let body = match operation.id {
            "addTenant" => tenant("east"),
            "putTenant" => tenant("north"),
            "putLimits" => json!({ "weight": 2.0 }),
            "putRules" => json!({ "max-attempts": 2 }),
            "putHosts" => json!(["n.example"]),
            "putClass" => class.clone(),
            "putServer" => json!({ "address": "127.0.0.1:9" }),
            "rollbackTenant" | "rollback" => json!({ "to": 1 }),
            "apply" => json!({ "tenant": [tenant("north")] }),
            "addToken" => json!({ "name": "y", "role": "operator" }),
            "rotateToken" => json!({ "overlap-s": 1 }),
            _ => Value::Null,
        };
        // A tenant needs a class, so a second one is added before one is removed.
        if operation.id == "removeClass" {
            let mut two = class.clone();
            two["name"] = json!("second");
            served.call("PUT", "/v1/tenants/north/classes/second", "", &two);
        }
        let got = served.call(
            operation.method,
            &format!("{target}{query}"),
            "If-Match: *\r\n",
            &body,
        );
        called += 1;
        // Cluster operations are tested with a real cluster in canvascart's tests; here there is none.
        if operation.path.starts_with("/v1/cluster") {
            assert_eq!(
                (got.status, got.body["type"].as_str()),
                (404, Some("/problems/not-found"))
            );
            continue;
        }
        if operation.id == "figures" {
            assert_eq!(
                (got.status, got.header("content-type")),
                (200, "text/plain; version=0.0.4; charset=utf-8")
            );
            continue;
        }
        let described = &document["paths"][operation.path][operation.method.to_lowercase()];
        let response = &described["responses"][got.status.to_string()];
        assert!(response.is_object(), "{}: {got:?}", operation.id);
        let validator = schema(
            &document,
            &response["content"]["application/json"]["schema"],
        );
        let wrong: Vec<String> = validator
            .iter_errors(&got.body)
            .map(|e| e.to_string())
            .collect();
        assert!(
            wrong.is_empty(),
            "{}: {wrong:?} in {}",
            operation.id,
            got.body
        );
        assert_eq!(got.header("content-type"), "application/json");
        if !body.is_null() {
            let shape = &described["requestBody"]["content"]["application/json"]["schema"];
            assert!(schema(&document, shape).is_valid(&body), "{}", operation.id);
        }
    }
    assert_eq!(called + 2, OPERATIONS.len());
}

#[test]
fn requests_outside_the_document_are_rejected_with_a_problem_document() {
    let served = Served::new(&["north"]);
    let document = openapi();
    let problem = schema(&document, &document["components"]["schemas"]["Problem"]);
    let check = |got: &Response, status: u16, kind: &str| {
        assert_eq!(
            (got.status, got.body["type"].as_str()),
            (status, Some(format!("/problems/{kind}").as_str())),
            "{got:?}"
        );
        assert_eq!(got.header("content-type"), "application/problem+json");
        assert!(problem.is_valid(&got.body), "{got:?}");
    };
    for path in document["paths"].as_object().unwrap().keys() {
        for method in ["GET", "PUT", "POST", "DELETE", "PATCH"] {
            if document["paths"][path].get(method.to_lowercase()).is_none() {
                let got = served.call(method, &path.replace(['{', '}'], ""), "", &Value::Null);
                check(&got, 405, "wrong-method");
                assert!(!got.header("allow").is_empty());
            }
        }
    }
    check(
        &served.call("GET", "/v1/elsewhere", "", &Value::Null),
        404,
        "not-found",
    );
    check(
        &served.call("GET", "/v1/tenants?limt=3", "", &Value::Null),
        400,
        "malformed",
    );
    check(
        &served.call("GET", "/v1/tenants?limit=0", "", &Value::Null),
        400,
        "malformed",
    );
    check(
        &served.call("GET", "/v1/tenants?limit=1&limit=2", "", &Value::Null),
        400,
        "malformed",
    );
    check(
        &served.call(
            "GET",
            "/v1/tenants",
            "If-Match: a\r\nIf-Match: b\r\n",
            &Value::Null,
        ),
        400,
        "malformed",
    );
    check(
        &served.call("GET", "/v1/tenants", "", &json!({})),
        400,
        "malformed",
    );
    let none = served.raw("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n", "");
    check(&none, 401, "unauthorized");
    assert_eq!(none.header("www-authenticate"), "Bearer");
    let head = format!(
        "POST /v1/apply HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n",
        served.token
    );
    check(
        &served.raw(&format!("{head}Content-Length: 2\r\n\r\n"), "{}"),
        415,
        "not-json",
    );
    let json = format!("{head}Content-Type: application/json\r\n");
    check(
        &served.raw(&format!("{json}Content-Length: 1\r\n\r\n"), "{"),
        400,
        "malformed",
    );
    check(
        &served.raw(&format!("{json}Content-Length: 99999999\r\n\r\n"), ""),
        413,
        "too-large",
    );
    // The body of an unauthenticated request is not waited for.
    let stranger = "POST /v1/apply HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n";
    check(&served.raw(stranger, ""), 401, "unauthorized");
    let nested = "[".repeat(100_000);
    let deep = served.raw(
        &format!("{json}Content-Length: {}\r\n\r\n", nested.len()),
        &nested,
    );
    check(&deep, 400, "malformed");
}

#[test]
fn an_event_stream_sends_each_version_and_replays_missed_ones() {
    let served = Served::new(&["north", "south"]);
    let made = served.call(
        "POST",
        "/v1/tokens",
        "",
        &json!({ "name": "n", "role": "read-only", "tenant": "north" }),
    );
    let north_token = made.body["token"].as_str().unwrap().to_owned();
    let open = |token: &str, last: &str| {
        let mut stream = served.connect();
        let head = format!(
            "GET /v1/events HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n{last}\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        assert_eq!(read_response(&mut reader).status, 200);
        reader
    };
    let next = |reader: &mut BufReader<TcpStream>| -> (String, Value) {
        let mut id = String::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).unwrap();
            if let Some(text) = line.strip_prefix("id: ") {
                id = text.trim().to_owned();
            }
            if let Some(text) = line.strip_prefix("data: ").filter(|_| !id.is_empty()) {
                return (id, serde_json::from_str(text).unwrap());
            }
        }
    };
    let (mut all, mut north) = (open(&served.token, ""), open(&north_token, ""));
    let set_weight = |tenant: &str, weight: f64| {
        let path = format!("/v1/tenants/{tenant}/limits");
        assert_eq!(
            served
                .call("PUT", &path, "", &json!({ "weight": weight }))
                .status,
            200
        );
    };
    set_weight("south", 2.0);
    set_weight("north", 3.0);
    let (id, data) = next(&mut all);
    assert_eq!(
        (id.as_str(), &data["tenants"][0]["name"], &data["version"]),
        ("2", &json!("south"), &json!(2))
    );
    let (id, data) = next(&mut all);
    assert_eq!(
        (id.as_str(), &data["tenants"][0]["name"]),
        ("3", &json!("north"))
    );
    let (id, data) = next(&mut north);
    assert_eq!(
        (id.as_str(), &data["tenants"][0]["rev"], &data["version"]),
        ("2", &json!(2), &Value::Null)
    );
    drop((all, north));
    set_weight("south", 4.0);
    set_weight("north", 5.0);
    let mut again = open(&served.token, "Last-Event-ID: 3\r\n");
    assert_eq!([next(&mut again).0, next(&mut again).0], ["4", "5"]);
    assert_eq!(next(&mut open(&north_token, "Last-Event-ID: 2\r\n")).0, "3");
    // The number of event streams is limited, and closed streams make room again.
    let mut streams: Vec<_> = (0..64).map(|_| served.connect()).collect();
    let mut statuses = Vec::new();
    for stream in &mut streams {
        let head = format!(
            "GET /v1/events HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n",
            served.token
        );
        stream.write_all(head.as_bytes()).unwrap();
        statuses.push(read_response(&mut BufReader::new(stream)).status);
    }
    assert!(statuses.contains(&429), "{statuses:?}");
    drop((streams, again));
    let mut attempts = 0;
    while served.call("GET", "/v1/status", "", &Value::Null).status != 200 {
        attempts += 1;
        assert!(attempts < 100);
    }
}

#[test]
fn revoking_a_token_ends_its_event_stream() {
    let served = Served::new(&["north"]);
    let made = served.call(
        "POST",
        "/v1/tokens",
        "",
        &json!({ "name": "n", "role": "read-only" }),
    );
    let (id, token) = (
        made.body["id"].as_str().unwrap(),
        made.body["token"].as_str().unwrap(),
    );
    let mut stream = served.connect();
    let head = format!(
        "GET /v1/events HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {token}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    assert_eq!(read_response(&mut reader).status, 200);
    assert_eq!(
        served
            .call("DELETE", &format!("/v1/tokens/{id}"), "", &Value::Null)
            .status,
        200
    );
    served.call(
        "PUT",
        "/v1/tenants/north/limits",
        "",
        &json!({ "weight": 2.0 }),
    );
    // Comment lines are sent every 2 s while the stream is open.
    let (mut rest, end) = (String::new(), Instant::now() + Duration::from_secs(20));
    while reader.read_line(&mut rest).unwrap() > 0 {
        assert!(Instant::now() < end, "the stream is still open: {rest}");
    }
    assert!(!rest.contains("event: version"), "{rest}");
}

#[test]
fn incomplete_request_heads_do_not_block_other_clients() {
    let served = Served::new(&["north"]);
    let mut held: Vec<TcpStream> = (0..200).map(|_| served.connect()).collect();
    for stream in &mut held {
        stream
            .write_all(b"GET /v1/status HTTP/1.1\r\nHost:")
            .unwrap();
    }
    assert_eq!(
        served.call("GET", "/v1/status", "", &Value::Null).status,
        200
    );
    // A connection with an incomplete head is closed after the read timeout.
    let mut rest = Vec::new();
    let mut first = held.swap_remove(0);
    let _ = first.read_to_end(&mut rest); // closed, or reset
    assert!(served.api.admin_state().version() == 1);
}
