//! `canvascart admin`: command-line client of the administration API.

pub(crate) mod api_client;
mod arguments;
pub(crate) mod table;

use std::io::Write as _;
use std::path::Path;
use std::time::Duration;

use config_parser::{DocumentError, KeyPositions, Problem, ValidationError};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};

use api_client::{ApiClient, ApiResponse, encode_path_segment};
pub use arguments::AdminArguments;
use arguments::{Class, Command, Effect, Role, Server, Tenant, Token};
use table::{cell, differences, table, time};

/// Exit code: something differs, or would change.
const DIFFERS: u8 = 1;
/// Exit code: the API can't be reached.
pub(crate) const UNREACHABLE: u8 = 3;
/// Exit code: the API rejected the call.
const REJECTED: u8 = 4;
/// Exit code: the change conflicts with a concurrent one.
const CONFLICT: u8 = 5;
/// Exit code: the token does not permit the call.
const FORBIDDEN: u8 = 6;
/// Exit code: the object does not exist.
const NOT_FOUND: u8 = 7;
/// Exit code: the service has failed.
const FAILED: u8 = 8;

/// Exit code of a failed command, and its message.
struct CommandError(u8, String);

impl From<String> for CommandError {
    fn from(text: String) -> Self {
        CommandError(crate::USAGE_ERROR, text)
    }
}

type CommandResult = Result<u8, CommandError>;

/// Column of a table: title, and function that formats the cell of an item.
type Column<'c> = (&'static str, &'c dyn Fn(&Value) -> String);

struct Admin {
    client: ApiClient,
    json: bool,
    dry_run: bool,
    if_match: Option<String>,
    idempotency_key: Option<String>,
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: AdminArguments) -> Result<u8, String> {
    let client = ApiClient::new(&arguments.url, read_token(arguments.token_file.as_deref())?)?;
    let admin = Admin {
        client,
        json: arguments.json,
        dry_run: arguments.dry_run,
        if_match: arguments.if_match,
        idempotency_key: arguments.idempotency_key,
    };
    match crate::block_on(admin.command(arguments.command))? {
        Ok(code) => Ok(code),
        Err(CommandError(crate::USAGE_ERROR, text)) => Err(text),
        Err(CommandError(code, text)) => {
            eprintln!("canvascart: {text}");
            Ok(code)
        }
    }
}

/// Reads the token from a file, or from the environment.
pub(crate) fn read_token(file: Option<&std::path::Path>) -> Result<String, String> {
    let token = match file {
        Some(file) => {
            std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?
        }
        None => std::env::var("CANVASCART_TOKEN")
            .map_err(|_| "no token: use --token-file, or set CANVASCART_TOKEN".to_owned())?,
    };
    Ok(token.trim().to_owned())
}

/// Returns the exit code for a status of 400 or above.
pub(crate) fn exit_code(status: u16) -> u8 {
    match status {
        401 | 403 => FORBIDDEN,
        404 | 410 => NOT_FOUND,
        412 => CONFLICT,
        500.. => FAILED,
        _ => REJECTED,
    }
}

/// Formats a problem document as text.
pub(crate) fn format_problem(problem: &Value) -> String {
    let mut text = format!("{}: {}", cell(&problem["title"]), cell(&problem["detail"]));
    for error in problem["errors"].as_array().into_iter().flatten() {
        text += &format!(
            "\n  {}: {}",
            cell(&error["pointer"]),
            cell(&error["detail"])
        );
    }
    text
}

impl Admin {
    async fn command(&self, command: Command) -> CommandResult {
        match command {
            Command::Status => self.status().await,
            Command::Tenant(command) => self.tenant(command).await,
            Command::Server(command) => self.server(command).await,
            Command::Class(command) => self.class(command).await,
            Command::Limits { tenant, set } => self.limits(&tenant, set).await,
            Command::Apply { file, prune } => self.apply(&file, prune).await,
            Command::Versions { tenant, most } => self.versions(tenant, most).await,
            Command::Diff { tenant, from, to } => self.diff(tenant, from, to).await,
            Command::Rollback { tenant, to } => self.rollback(tenant, to).await,
            Command::Audit { tenant, most } => self.audit(tenant, most).await,
            Command::Token(command) => self.token(command).await,
            Command::Watch { most } => self.watch(most).await,
        }
    }

    /// Calls the API; a status of 400 or above is an error.
    async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<ApiResponse, CommandError> {
        let response = self
            .client
            .call(method, target, headers, body)
            .await
            .map_err(|e| CommandError(UNREACHABLE, e))?;
        if response.status >= 400 {
            return Err(CommandError(
                exit_code(response.status),
                format_problem(&response.body),
            ));
        }
        Ok(response)
    }

    async fn get(&self, target: &str) -> Result<Value, CommandError> {
        Ok(self.call("GET", target, &[], None).await?.body)
    }

    /// Reads a list page by page, up to `max_items` items.
    async fn list(&self, target: &str, max_items: usize) -> Result<Vec<Value>, CommandError> {
        let mut items = Vec::new();
        let mut after = String::new();
        while items.len() < max_items {
            let limit = (max_items - items.len()).min(1000);
            let separator = if target.contains('?') { '&' } else { '?' };
            let page = self
                .get(&format!("{target}{separator}limit={limit}{after}"))
                .await?;
            items.extend(page["items"].as_array().cloned().unwrap_or_default());
            match page["next"].as_str() {
                Some(next) => after = format!("&after={}", encode_path_segment(next)),
                None => break,
            }
        }
        Ok(items)
    }

    /// Prints items as JSON, or as a table.
    fn print_list(&self, items: &[Value], columns: &[Column]) -> CommandResult {
        if self.json {
            return print(&pretty(&json!(items)));
        }
        let header: Vec<&str> = columns.iter().map(|(name, _)| *name).collect();
        let rows: Vec<Vec<String>> = items
            .iter()
            .map(|i| columns.iter().map(|(_, format)| format(i)).collect())
            .collect();
        print(&table(&header, &rows))
    }

    /// Makes a change and prints it. Unless --if-match is given, the ETag to replace is read from `current`.
    async fn change(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
        current: Option<&str>,
    ) -> CommandResult {
        let mut tag = self.if_match.clone();
        if let (None, Some(current)) = (&tag, current) {
            tag = match self.call("GET", current, &[], None).await {
                Ok(response) => response.etag,
                Err(CommandError(NOT_FOUND, _)) => None,
                Err(e) => return Err(e),
            };
        }
        let response = self.write(method, target, body, tag).await?;
        self.print_change(&response.body)
    }

    async fn write(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
        tag: Option<String>,
    ) -> Result<ApiResponse, CommandError> {
        let mut headers: Vec<(&str, &str)> = Vec::new();
        if let Some(tag) = &tag {
            headers.push(("if-match", tag));
        }
        if let Some(key) = &self.idempotency_key {
            headers.push(("idempotency-key", key));
        }
        let target = if self.dry_run {
            format!("{target}?dry-run=true")
        } else {
            target.to_owned()
        };
        self.call(method, &target, &headers, body).await
    }

    fn print_change(&self, written: &Value) -> CommandResult {
        let changed = written["changed"] == true;
        if self.json {
            print(&pretty(written))?;
        } else if changed {
            print(&differences(&written["differences"]))?;
            for tenant in written["tenants"].as_array().into_iter().flatten() {
                let label =
                    |key: &str, text: &'static str| if tenant[key] == true { text } else { "" };
                let effects = [
                    label("added", " added"),
                    label("removed", " removed"),
                    label("pool", " new-module"),
                    label("servers", " servers"),
                    label("limits", " limits"),
                ];
                let verb = if self.dry_run { "would be at" } else { "at" };
                print(&format!(
                    "{} {verb} revision {}:{}",
                    cell(&tenant["name"]),
                    tenant["rev"],
                    effects.concat()
                ))?;
            }
        } else {
            print("nothing changes")?;
        }
        Ok(if self.dry_run && changed { DIFFERS } else { 0 })
    }

    async fn status(&self) -> CommandResult {
        let status = self.get("/v1/status").await?;
        if self.json {
            return print(&pretty(&status));
        }
        if let Some(version) = status["version"].as_u64() {
            print(&format!("version {version}"))?;
        }
        if let Some(why) = status["read-only"].as_str() {
            print(&format!("read-only: {why}"))?;
        }
        let tenants = status["tenants"].as_array().cloned().unwrap_or_default();
        self.print_list(
            &tenants,
            &[
                ("TENANT", &|t| cell(&t["name"])),
                ("READY", &|t| cell(&t["ready"])),
                ("SERVERS", &|t| {
                    format!("{}/{}", t["servers"][0], t["servers"][1])
                }),
                ("SOCKETS", &|t| cell(&t["sockets"])),
                ("IN-FLIGHT", &|t| cell(&t["in-flight"])),
                ("LOOP-MS", &|t| {
                    format!("{:.0}", t["loop-ms"].as_f64().unwrap_or(0.0))
                }),
                ("REFUSED", &|t| cell(&t["refused"])),
            ],
        )
    }

    async fn tenant(&self, command: Tenant) -> CommandResult {
        let path = |name: &str| format!("/v1/tenants/{}", encode_path_segment(name));
        match command {
            Tenant::List => {
                let items = self.list("/v1/tenants", usize::MAX).await?;
                self.print_list(
                    &items,
                    &[
                        ("TENANT", &|t| cell(&t["name"])),
                        ("REV", &|t| cell(&t["rev"])),
                        ("CLASSES", &|t| cell(&t["classes"])),
                        ("SERVERS", &|t| cell(&t["servers"])),
                    ],
                )
            }
            Tenant::Show { name } => print(&pretty(&self.get(&path(&name)).await?)),
            Tenant::Put { name, file } => {
                let text = read_text(&file)?;
                let body =
                    serde_json::from_str(&text).map_err(|e| format!("{}:{e}", file.display()))?;
                self.change("PUT", &path(&name), Some(&body), Some(&path(&name)))
                    .await
            }
            Tenant::Remove { name } => {
                self.change("DELETE", &path(&name), None, Some(&path(&name)))
                    .await
            }
            Tenant::Pool { name } => {
                print(&pretty(&self.get(&format!("{}/pool", path(&name))).await?))
            }
        }
    }

    async fn server(&self, command: Server) -> CommandResult {
        let list = |tenant: &str| format!("/v1/tenants/{}/servers", encode_path_segment(tenant));
        let path =
            |tenant: &str, name: &str| format!("{}/{}", list(tenant), encode_path_segment(name));
        match command {
            Server::List { tenant } => {
                let items = self.list(&list(&tenant), usize::MAX).await?;
                self.print_list(
                    &items,
                    &[
                        ("SERVER", &|s| cell(&s["name"])),
                        ("ADDRESS", &|s| cell(&s["address"])),
                        ("STATE", &|s| cell(&s["state"])),
                        ("SIZE", &|s| cell(&s["size"])),
                        ("ZONE", &|s| cell(&s["zone"])),
                        ("KIND", &|s| cell(&s["kind"])),
                        ("CONNECTIONS", &|s| cell(&s["connections"])),
                    ],
                )
            }
            Server::Put {
                tenant,
                name,
                address,
                size,
                zone,
                kind,
                connections,
                warm,
            } => {
                let mut body = json!({ "address": address, "size": size });
                let optional = [
                    ("zone", zone.map(Value::from)),
                    ("kind", kind.map(Value::from)),
                    ("connections", connections.map(Value::from)),
                    ("warm", warm.then_some(Value::Bool(true))),
                ];
                for (key, value) in optional {
                    if let Some(value) = value {
                        body[key] = value;
                    }
                }
                self.change("PUT", &path(&tenant, &name), Some(&body), None)
                    .await
            }
            Server::Drain { tenant, name } => {
                self.change(
                    "POST",
                    &format!("{}/drain", path(&tenant, &name)),
                    None,
                    None,
                )
                .await
            }
            Server::Resume { tenant, name } => {
                self.change(
                    "POST",
                    &format!("{}/resume", path(&tenant, &name)),
                    None,
                    None,
                )
                .await
            }
            Server::Remove { tenant, name } => {
                self.change("DELETE", &path(&tenant, &name), None, None)
                    .await
            }
        }
    }

    async fn class(&self, command: Class) -> CommandResult {
        let list = |tenant: &str| format!("/v1/tenants/{}/classes", encode_path_segment(tenant));
        let path =
            |tenant: &str, name: &str| format!("{}/{}", list(tenant), encode_path_segment(name));
        match command {
            Class::List { tenant } => {
                let items = self.list(&list(&tenant), usize::MAX).await?;
                self.print_list(
                    &items,
                    &[
                        ("CLASS", &|c| cell(&c["name"])),
                        ("EFFECT", &|c| cell(&c["effect"])),
                        ("AIM", &|c| cell(&c["aim"])),
                        ("DEADLINE", &|c| cell(&c["deadline"])),
                        ("WORTH", &|c| cell(&c["worth"])),
                        ("LATE-WORTH", &|c| cell(&c["late-worth"])),
                    ],
                )
            }
            Class::Put {
                tenant,
                name,
                effect,
                aim,
                deadline,
                worth,
                late_worth,
            } => {
                let effect = match effect {
                    Effect::Safe => "safe",
                    Effect::Unsafe => "unsafe",
                };
                let body = json!({
                    "effect": effect, "aim": aim, "deadline": deadline, "worth": worth, "late-worth": late_worth,
                });
                self.change("PUT", &path(&tenant, &name), Some(&body), None)
                    .await
            }
            Class::Remove { tenant, name } => {
                self.change("DELETE", &path(&tenant, &name), None, None)
                    .await
            }
        }
    }

    async fn limits(&self, tenant: &str, set: Vec<(String, Option<String>)>) -> CommandResult {
        let path = format!("/v1/tenants/{}/limits", encode_path_segment(tenant));
        let current = self.call("GET", &path, &[], None).await?;
        if set.is_empty() {
            return print(&pretty(&current.body));
        }
        let mut body = current.body;
        for (key, value) in set {
            let Some(map) = body.as_object_mut() else {
                break;
            };
            match value {
                // A plain number is sent as a number, anything else as a string, such as a quantity with its unit.
                Some(text) => map.insert(
                    key,
                    serde_json::from_str(&text).unwrap_or(Value::String(text)),
                ),
                None => map.remove(&key),
            };
        }
        // The change replaces the limits that were read above.
        let tag = self.if_match.clone().or(current.etag);
        let response = self.write("PUT", &path, Some(&body), tag).await?;
        self.print_change(&response.body)
    }

    async fn apply(&self, file: &Path, prune: bool) -> CommandResult {
        let (mut document, positions) = read_tenants(file)?;
        let tenants = document.get_mut("tenant").map_or(json!([]), Value::take);
        let body = json!({ "tenant": tenants, "prune": prune });
        let mut headers: Vec<(&str, &str)> = Vec::new();
        if let Some(tag) = &self.if_match {
            headers.push(("if-match", tag));
        }
        if let Some(key) = &self.idempotency_key {
            headers.push(("idempotency-key", key));
        }
        let target = if self.dry_run {
            "/v1/apply?dry-run=true"
        } else {
            "/v1/apply"
        };
        let response = self
            .client
            .call("POST", target, &headers, Some(&body))
            .await;
        let response = response.map_err(|e| CommandError(UNREACHABLE, e))?;
        let errors = response.body["errors"]
            .as_array()
            .filter(|_| response.status >= 400);
        if let (Some(errors), Some(positions)) = (errors, positions) {
            // The service reports JSON pointers into the body; users need the lines of the file.
            let problem = |item: &Value| {
                let error = ValidationError {
                    pointer: cell(&item["pointer"]),
                    message: cell(&item["detail"]),
                };
                let key = error.key();
                Problem {
                    line: positions.line_of(&key),
                    key,
                    message: error.message,
                }
            };
            let error: DocumentError =
                positions.document_error(errors.iter().map(problem).collect());
            return Err(CommandError(exit_code(response.status), error.to_string()));
        }
        if response.status >= 400 {
            return Err(CommandError(
                exit_code(response.status),
                format_problem(&response.body),
            ));
        }
        self.print_change(&response.body)
    }

    async fn versions(&self, tenant: Option<String>, max_items: usize) -> CommandResult {
        let target = tenant.map_or("/v1/versions".into(), |t| {
            format!("/v1/tenants/{}/versions", encode_path_segment(&t))
        });
        let items = self.list(&target, max_items).await?;
        self.print_list(
            &items,
            &[
                ("VERSION", &|v| cell(&v["number"])),
                ("WHEN", &|v| time(&v["at-ms"])),
                ("BY", &|v| cell(&v["by"]["name"])),
                ("ACTION", &|v| cell(&v["action"])),
                ("DETAIL", &|v| cell(&v["detail"])),
                ("TENANTS", &|v| cell(&v["tenants"])),
            ],
        )
    }

    async fn diff(&self, tenant: Option<String>, from: u64, to: Option<u64>) -> CommandResult {
        let base = tenant.map_or("/v1/diff".into(), |t| {
            format!("/v1/tenants/{}/diff", encode_path_segment(&t))
        });
        let to = to.map_or(String::new(), |to| format!("&to={to}"));
        let compared = self.get(&format!("{base}?from={from}{to}")).await?;
        let differs = compared["differences"]
            .as_array()
            .is_some_and(|d| !d.is_empty());
        if self.json {
            print(&pretty(&compared))?;
        } else if differs {
            print(&differences(&compared["differences"]))?;
        }
        Ok(if differs { DIFFERS } else { 0 })
    }

    async fn rollback(&self, tenant: Option<String>, to: u64) -> CommandResult {
        let body = json!({ "to": to });
        match tenant {
            Some(tenant) => {
                let path = format!("/v1/tenants/{}", encode_path_segment(&tenant));
                self.change(
                    "POST",
                    &format!("{path}/rollback"),
                    Some(&body),
                    Some(&path),
                )
                .await
            }
            None => {
                self.change(
                    "POST",
                    "/v1/rollback",
                    Some(&body),
                    Some("/v1/tenants?limit=1"),
                )
                .await
            }
        }
    }

    async fn audit(&self, tenant: Option<String>, max_items: usize) -> CommandResult {
        let target = tenant.map_or("/v1/audit".into(), |t| {
            format!("/v1/audit?tenant={}", encode_path_segment(&t))
        });
        let items = self.list(&target, max_items).await?;
        self.print_list(
            &items,
            &[
                ("LINE", &|l| cell(&l["number"])),
                ("WHEN", &|l| time(&l["at-ms"])),
                ("BY", &|l| cell(&l["by"]["name"])),
                ("ACTION", &|l| cell(&l["action"])),
                ("TENANT", &|l| cell(&l["tenant"])),
                ("DETAIL", &|l| cell(&l["detail"])),
                ("VERSION", &|l| cell(&l["version"])),
            ],
        )
    }

    async fn token(&self, command: Token) -> CommandResult {
        let path = |id: &str| format!("/v1/tokens/{}", encode_path_segment(id));
        let created = match command {
            Token::List => {
                let items = self.list("/v1/tokens", usize::MAX).await?;
                return self.print_list(
                    &items,
                    &[
                        ("ID", &|t| cell(&t["id"])),
                        ("NAME", &|t| cell(&t["name"])),
                        ("ROLE", &|t| cell(&t["role"])),
                        ("TENANT", &|t| cell(&t["tenant"])),
                        ("CREATED", &|t| time(&t["created-ms"])),
                        ("EXPIRES", &|t| time(&t["expires-ms"])),
                        ("OVERLAP-UNTIL", &|t| time(&t["overlap-until-ms"])),
                    ],
                );
            }
            Token::Add {
                name,
                role,
                tenant,
                expires_in,
            } => {
                let role = match role {
                    Role::Operator => "operator",
                    Role::TenantAdmin => "tenant-admin",
                    Role::ReadOnly => "read-only",
                };
                let mut body = json!({ "name": name, "role": role });
                if let Some(tenant) = tenant {
                    body["tenant"] = tenant.into();
                }
                if let Some(seconds) = expires_in {
                    body["expires-in-s"] = seconds.into();
                }
                self.token_write("POST", "/v1/tokens", Some(&body)).await?
            }
            Token::Rotate { id, overlap } => {
                let body = json!({ "overlap-s": overlap });
                self.token_write("POST", &format!("{}/rotate", path(&id)), Some(&body))
                    .await?
            }
            Token::Revoke { id } => self.token_write("DELETE", &path(&id), None).await?,
        };
        match (self.json, created["token"].as_str()) {
            (true, _) => print(&pretty(&created)),
            (false, Some(token)) => print(token),
            (false, None) => print(&format!("token {} is revoked", cell(&created["id"]))),
        }
    }

    async fn token_write(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        if self.dry_run {
            return Err(CommandError(
                crate::USAGE_ERROR,
                "--dry-run does not apply to tokens".into(),
            ));
        }
        Ok(self.write(method, target, body, None).await?.body)
    }

    /// Prints the stream of events; reconnects when it breaks.
    async fn watch(&self, max_lines: Option<usize>) -> CommandResult {
        let (mut last_event_id, mut lines_left) = (None::<String>, max_lines.unwrap_or(usize::MAX));
        let mut connected = false;
        while lines_left > 0 {
            let headers: Vec<(&str, &str)> = last_event_id
                .iter()
                .map(|id| ("last-event-id", id.as_str()))
                .collect();
            let response = match self.client.send("GET", "/v1/events", &headers, None).await {
                Ok(response) => response,
                Err(e) if !connected => return Err(CommandError(UNREACHABLE, e)),
                Err(_) => {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    continue;
                }
            };
            if response.status() != 200 {
                let status = response.status().as_u16();
                let body = response
                    .into_body()
                    .collect()
                    .await
                    .map(|b| b.to_bytes())
                    .unwrap_or_default();
                let problem = serde_json::from_slice(&body).unwrap_or_default();
                return Err(CommandError(exit_code(status), format_problem(&problem)));
            }
            connected = true;
            let (mut body, mut text) = (response.into_body(), String::new());
            while let Some(Ok(frame)) = body.frame().await {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                text += &String::from_utf8_lossy(&data);
                while let Some(end) = text.find("\n\n") {
                    let event: String = text.drain(..end + 2).collect();
                    if self.print_event(&event, &mut last_event_id)? {
                        lines_left -= 1;
                    }
                    if lines_left == 0 {
                        return Ok(0);
                    }
                }
            }
        }
        Ok(0)
    }

    /// Prints an event and returns true, or returns false for a keep-alive comment.
    fn print_event(
        &self,
        event: &str,
        last_event_id: &mut Option<String>,
    ) -> Result<bool, CommandError> {
        let field = |name: &str| {
            event
                .lines()
                .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
        };
        let (Some(kind), Some(data)) = (field("event"), field("data")) else {
            return Ok(false);
        };
        if let Some(id) = field("id") {
            *last_event_id = Some(id.to_owned());
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        if self.json {
            print(&json!({ "event": kind, "data": data }).to_string())?;
            return Ok(true);
        }
        let join_tenants = |format: &dyn Fn(&Value) -> String| {
            let tenants = data["tenants"].as_array().into_iter().flatten();
            tenants.map(format).collect::<Vec<_>>().join(" ")
        };
        let line = match kind {
            "version" => format!(
                "{}  version {}  {}  by {}  {}",
                time(&data["at-ms"]),
                cell(&data["version"]),
                cell(&data["action"]),
                cell(&data["by"]["name"]),
                join_tenants(&|t| format!("{}@{}", cell(&t["name"]), t["rev"]))
            ),
            "status" => join_tenants(&|t| {
                format!(
                    "{}: servers {}/{} in-flight {}",
                    cell(&t["name"]),
                    t["servers"][0],
                    t["servers"][1],
                    t["in-flight"]
                )
            }),
            other => other.to_owned(),
        };
        print(&line)?;
        Ok(true)
    }
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Prints a line.
fn print(text: &str) -> CommandResult {
    // The reader may have closed the pipe, as `head` does.
    let written = writeln!(std::io::stdout(), "{text}");
    written
        .map(|()| 0)
        .map_err(|e| CommandError(crate::USAGE_ERROR, e.to_string()))
}

fn read_text(file: &Path) -> Result<String, CommandError> {
    let text = if file == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|e| CommandError(crate::USAGE_ERROR, format!("{}: {e}", file.display())))
}

/// Reads the tenants of a file: TOML with the positions of its keys, or JSON.
fn read_tenants(file: &Path) -> Result<(Value, Option<KeyPositions>), CommandError> {
    let (name, text) = (file.display().to_string(), read_text(file)?);
    if text.trim_start().starts_with('{') {
        let value = serde_json::from_str(&text).map_err(|e| format!("{name}:{}: {e}", e.line()))?;
        return Ok((value, None));
    }
    let (value, positions) = config_parser::parse_toml(&name, &text).map_err(|e| e.to_string())?;
    Ok((value, Some(positions)))
}
