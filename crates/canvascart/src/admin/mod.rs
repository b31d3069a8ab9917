//! `canvascart admin`: the administration API from the command line.

mod arguments;
pub(crate) mod table;
pub(crate) mod wire;

use std::io::Write as _;
use std::path::Path;
use std::time::Duration;

use config_parser::{DocumentError, KeyPositions, Problem, ValidationError};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};

pub use arguments::Arguments;
use arguments::{Class, Command, Effect, Role, Server, Tenant, Token};
use table::{cell, differences, table, time};
use wire::{Answer, Wire, part};

/// It differs, or something would change.
const DIFFERS: u8 = 1;
/// The API can't be reached.
pub(crate) const UNREACHED: u8 = 3;
/// It turned the call down.
const TURNED_DOWN: u8 = 4;
/// Somebody else has changed it meanwhile.
const LOST_UPDATE: u8 = 5;
/// The token has no right to it.
const NO_RIGHT: u8 = 6;
/// There is no such thing.
const NOT_THERE: u8 = 7;
/// The service has failed.
const FAILED: u8 = 8;

/// Why a command ended, for people, and its exit code.
struct Ended(u8, String);

impl From<String> for Ended {
    fn from(text: String) -> Self {
        Ended(crate::USAGE_ERROR, text)
    }
}

type Outcome = Result<u8, Ended>;

/// A column of a table: its head, and what it shows of a member.
type Column<'c> = (&'static str, &'c dyn Fn(&Value) -> String);

struct Admin {
    wire: Wire,
    json: bool,
    dry_run: bool,
    if_match: Option<String>,
    idempotency_key: Option<String>,
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: Arguments) -> Result<u8, String> {
    let wire = Wire::new(&arguments.url, token(arguments.token_file.as_deref())?)?;
    let admin = Admin {
        wire,
        json: arguments.json,
        dry_run: arguments.dry_run,
        if_match: arguments.if_match,
        idempotency_key: arguments.idempotency_key,
    };
    match crate::block_on(admin.command(arguments.command))? {
        Ok(code) => Ok(code),
        Err(Ended(crate::USAGE_ERROR, text)) => Err(text),
        Err(Ended(code, text)) => {
            eprintln!("canvascart: {text}");
            Ok(code)
        }
    }
}

/// The token of a file, or of the environment.
pub(crate) fn token(file: Option<&std::path::Path>) -> Result<String, String> {
    let token = match file {
        Some(file) => {
            std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?
        }
        None => std::env::var("CANVASCART_TOKEN")
            .map_err(|_| "no token: give --token-file, or CANVASCART_TOKEN".to_owned())?,
    };
    Ok(token.trim().to_owned())
}

/// The exit code of an answer that turned a call down.
pub(crate) fn code_of(status: u16) -> u8 {
    match status {
        401 | 403 => NO_RIGHT,
        404 | 410 => NOT_THERE,
        412 => LOST_UPDATE,
        500.. => FAILED,
        _ => TURNED_DOWN,
    }
}

/// A problem document in words.
pub(crate) fn words(problem: &Value) -> String {
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
    async fn command(&self, command: Command) -> Outcome {
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

    /// Calls; an answer that turns the call down ends the command.
    async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Answer, Ended> {
        let answer = self
            .wire
            .call(method, target, headers, body)
            .await
            .map_err(|e| Ended(UNREACHED, e))?;
        if answer.status >= 400 {
            return Err(Ended(code_of(answer.status), words(&answer.body)));
        }
        Ok(answer)
    }

    async fn get(&self, target: &str) -> Result<Value, Ended> {
        Ok(self.call("GET", target, &[], None).await?.body)
    }

    /// All members of a list, page after page, `most` at most.
    async fn list(&self, target: &str, most: usize) -> Result<Vec<Value>, Ended> {
        let mut all = Vec::new();
        let mut after = String::new();
        while all.len() < most {
            let limit = (most - all.len()).min(1000);
            let join = if target.contains('?') { '&' } else { '?' };
            let page = self
                .get(&format!("{target}{join}limit={limit}{after}"))
                .await?;
            all.extend(page["items"].as_array().cloned().unwrap_or_default());
            match page["next"].as_str() {
                Some(next) => after = format!("&after={}", part(next)),
                None => break,
            }
        }
        Ok(all)
    }

    /// Prints members of a list: as JSON, or in columns.
    fn print_list(&self, all: &[Value], columns: &[Column]) -> Outcome {
        if self.json {
            return print(&pretty(&json!(all)));
        }
        let head: Vec<&str> = columns.iter().map(|(name, _)| *name).collect();
        let rows: Vec<Vec<String>> = all
            .iter()
            .map(|m| columns.iter().map(|(_, of)| of(m)).collect())
            .collect();
        print(&table(&head, &rows))
    }

    /// Carries a change out. `current` is where the tag of what it replaces is to be had.
    async fn change(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
        current: Option<&str>,
    ) -> Outcome {
        let mut tag = self.if_match.clone();
        if let (None, Some(current)) = (&tag, current) {
            tag = match self.call("GET", current, &[], None).await {
                Ok(answer) => answer.etag,
                Err(Ended(NOT_THERE, _)) => None,
                Err(e) => return Err(e),
            };
        }
        let answer = self.write(method, target, body, tag).await?;
        self.print_change(&answer.body)
    }

    async fn write(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
        tag: Option<String>,
    ) -> Result<Answer, Ended> {
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

    fn print_change(&self, written: &Value) -> Outcome {
        let changed = written["changed"] == true;
        if self.json {
            print(&pretty(written))?;
        } else if changed {
            print(&differences(&written["differences"]))?;
            for t in written["tenants"].as_array().into_iter().flatten() {
                let flag = |key: &str, text: &'static str| if t[key] == true { text } else { "" };
                let effect = [
                    flag("added", " added"),
                    flag("removed", " removed"),
                    flag("pool", " new-module"),
                    flag("servers", " servers"),
                    flag("limits", " limits"),
                ];
                let would = if self.dry_run { "would be at" } else { "at" };
                print(&format!(
                    "{} {would} revision {}:{}",
                    cell(&t["name"]),
                    t["rev"],
                    effect.concat()
                ))?;
            }
        } else {
            print("nothing changes")?;
        }
        Ok(if self.dry_run && changed { DIFFERS } else { 0 })
    }

    async fn status(&self) -> Outcome {
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

    async fn tenant(&self, command: Tenant) -> Outcome {
        let path = |name: &str| format!("/v1/tenants/{}", part(name));
        match command {
            Tenant::List => {
                let all = self.list("/v1/tenants", usize::MAX).await?;
                self.print_list(
                    &all,
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
                let text = text_of(&file)?;
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

    async fn server(&self, command: Server) -> Outcome {
        let list = |tenant: &str| format!("/v1/tenants/{}/servers", part(tenant));
        let path = |tenant: &str, name: &str| format!("{}/{}", list(tenant), part(name));
        match command {
            Server::List { tenant } => {
                let all = self.list(&list(&tenant), usize::MAX).await?;
                self.print_list(
                    &all,
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
                let more = [
                    ("zone", zone.map(Value::from)),
                    ("kind", kind.map(Value::from)),
                    ("connections", connections.map(Value::from)),
                    ("warm", warm.then_some(Value::Bool(true))),
                ];
                for (key, value) in more {
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

    async fn class(&self, command: Class) -> Outcome {
        let list = |tenant: &str| format!("/v1/tenants/{}/classes", part(tenant));
        let path = |tenant: &str, name: &str| format!("{}/{}", list(tenant), part(name));
        match command {
            Class::List { tenant } => {
                let all = self.list(&list(&tenant), usize::MAX).await?;
                self.print_list(
                    &all,
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

    async fn limits(&self, tenant: &str, set: Vec<(String, Option<String>)>) -> Outcome {
        let path = format!("/v1/tenants/{}/limits", part(tenant));
        let now = self.call("GET", &path, &[], None).await?;
        if set.is_empty() {
            return print(&pretty(&now.body));
        }
        let mut body = now.body;
        for (key, value) in set {
            let Some(map) = body.as_object_mut() else {
                break;
            };
            match value {
                // A number is one, and all else is a quantity with its unit.
                Some(text) => map.insert(
                    key,
                    serde_json::from_str(&text).unwrap_or(Value::String(text)),
                ),
                None => map.remove(&key),
            };
        }
        // What was read is what it replaces.
        let tag = self.if_match.clone().or(now.etag);
        let answer = self.write("PUT", &path, Some(&body), tag).await?;
        self.print_change(&answer.body)
    }

    async fn apply(&self, file: &Path, prune: bool) -> Outcome {
        let (mut document, places) = read_tenants(file)?;
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
        let answer = self.wire.call("POST", target, &headers, Some(&body)).await;
        let answer = answer.map_err(|e| Ended(UNREACHED, e))?;
        let errors = answer.body["errors"]
            .as_array()
            .filter(|_| answer.status >= 400);
        if let (Some(errors), Some(places)) = (errors, places) {
            // The service names places in the body; people have the file.
            let one = |e: &Value| {
                let fault = ValidationError {
                    pointer: cell(&e["pointer"]),
                    message: cell(&e["detail"]),
                };
                let key = fault.key();
                Problem {
                    line: places.line_of(&key),
                    key,
                    message: fault.message,
                }
            };
            let error: DocumentError = places.document_error(errors.iter().map(one).collect());
            return Err(Ended(code_of(answer.status), error.to_string()));
        }
        if answer.status >= 400 {
            return Err(Ended(code_of(answer.status), words(&answer.body)));
        }
        self.print_change(&answer.body)
    }

    async fn versions(&self, tenant: Option<String>, most: usize) -> Outcome {
        let target = tenant.map_or("/v1/versions".into(), |t| {
            format!("/v1/tenants/{}/versions", part(&t))
        });
        let all = self.list(&target, most).await?;
        self.print_list(
            &all,
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

    async fn diff(&self, tenant: Option<String>, from: u64, to: Option<u64>) -> Outcome {
        let base = tenant.map_or("/v1/diff".into(), |t| {
            format!("/v1/tenants/{}/diff", part(&t))
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

    async fn rollback(&self, tenant: Option<String>, to: u64) -> Outcome {
        let body = json!({ "to": to });
        match tenant {
            Some(tenant) => {
                let path = format!("/v1/tenants/{}", part(&tenant));
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

    async fn audit(&self, tenant: Option<String>, most: usize) -> Outcome {
        let target = tenant.map_or("/v1/audit".into(), |t| {
            format!("/v1/audit?tenant={}", part(&t))
        });
        let all = self.list(&target, most).await?;
        self.print_list(
            &all,
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

    async fn token(&self, command: Token) -> Outcome {
        let path = |id: &str| format!("/v1/tokens/{}", part(id));
        let made = match command {
            Token::List => {
                let all = self.list("/v1/tokens", usize::MAX).await?;
                return self.print_list(
                    &all,
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
        match (self.json, made["token"].as_str()) {
            (true, _) => print(&pretty(&made)),
            (false, Some(token)) => print(token),
            (false, None) => print(&format!("token {} is revoked", cell(&made["id"]))),
        }
    }

    async fn token_write(
        &self,
        method: &str,
        target: &str,
        body: Option<&Value>,
    ) -> Result<Value, Ended> {
        if self.dry_run {
            return Err(Ended(crate::USAGE_ERROR, "tokens have no --dry-run".into()));
        }
        Ok(self.write(method, target, body, None).await?.body)
    }

    /// Follows the stream of events, also across breaks.
    async fn watch(&self, most: Option<usize>) -> Outcome {
        let (mut last, mut left) = (None::<String>, most.unwrap_or(usize::MAX));
        let mut reached = false;
        while left > 0 {
            let headers: Vec<(&str, &str)> = last
                .iter()
                .map(|id| ("last-event-id", id.as_str()))
                .collect();
            let response = match self.wire.send("GET", "/v1/events", &headers, None).await {
                Ok(response) => response,
                Err(e) if !reached => return Err(Ended(UNREACHED, e)),
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
                return Err(Ended(code_of(status), words(&problem)));
            }
            reached = true;
            let (mut body, mut text) = (response.into_body(), String::new());
            while let Some(Ok(frame)) = body.frame().await {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                text += &String::from_utf8_lossy(&data);
                while let Some(end) = text.find("\n\n") {
                    let event: String = text.drain(..end + 2).collect();
                    if self.print_event(&event, &mut last)? {
                        left -= 1;
                    }
                    if left == 0 {
                        return Ok(0);
                    }
                }
            }
        }
        Ok(0)
    }

    /// Prints an event, unless it is only a sign of life; tells whether it did.
    fn print_event(&self, event: &str, last: &mut Option<String>) -> Result<bool, Ended> {
        let field = |name: &str| {
            event
                .lines()
                .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
        };
        let (Some(kind), Some(data)) = (field("event"), field("data")) else {
            return Ok(false);
        };
        if let Some(id) = field("id") {
            *last = Some(id.to_owned());
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        if self.json {
            print(&json!({ "event": kind, "data": data }).to_string())?;
            return Ok(true);
        }
        let names = |of: &dyn Fn(&Value) -> String| {
            let all = data["tenants"].as_array().into_iter().flatten();
            all.map(of).collect::<Vec<_>>().join(" ")
        };
        let line = match kind {
            "version" => format!(
                "{}  version {}  {}  by {}  {}",
                time(&data["at-ms"]),
                cell(&data["version"]),
                cell(&data["action"]),
                cell(&data["by"]["name"]),
                names(&|t| format!("{}@{}", cell(&t["name"]), t["rev"]))
            ),
            "status" => names(&|t| {
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

/// Prints a text and ends its line.
fn print(text: &str) -> Outcome {
    // Who reads may have had enough, as head has.
    let written = writeln!(std::io::stdout(), "{text}");
    written
        .map(|()| 0)
        .map_err(|e| Ended(crate::USAGE_ERROR, e.to_string()))
}

fn text_of(file: &Path) -> Result<String, Ended> {
    let text = if file == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|e| Ended(crate::USAGE_ERROR, format!("{}: {e}", file.display())))
}

/// Tenants of a file: TOML with the places of its keys, or JSON.
fn read_tenants(file: &Path) -> Result<(Value, Option<KeyPositions>), Ended> {
    let (name, text) = (file.display().to_string(), text_of(file)?);
    if text.trim_start().starts_with('{') {
        let value = serde_json::from_str(&text).map_err(|e| format!("{name}:{}: {e}", e.line()))?;
        return Ok((value, None));
    }
    let (value, places) = config_parser::parse_toml(&name, &text).map_err(|e| e.to_string())?;
    Ok((value, Some(places)))
}
