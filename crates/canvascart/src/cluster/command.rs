//! `canvascart cluster`: status and administration of a cluster of `serve` instances.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::restore::{Restore, write_backup};
use crate::admin::api_client::{ApiClient, encode_path_segment};
use crate::admin::table::{cell, table};
use crate::admin::{UNREACHABLE, exit_code, format_problem};

const CLUSTER_PATH: &str = "/v1/cluster";
/// Exit code: a backup, a directory or a configuration can't be used.
const UNUSABLE_INPUT: u8 = 5;
/// Interval between updates with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

const EXIT_CODES: &str = "Exit codes: 0 done, 2 wrong usage, 3 the instance can't be reached, 4 rejected, 5 a backup or a directory can't be used, 6 not permitted for the token, \
7 not found, 8 the service has failed, or no instance leads.

Any instance can be asked. The token is read from --token-file or CANVASCART_TOKEN.";

#[derive(clap::Args)]
#[command(after_help = EXIT_CODES)]
pub struct ClusterArguments {
    /// URL of the administration API of an instance.
    #[arg(
        long,
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:7070"
    )]
    url: String,
    /// File that contains an operator token.
    #[arg(long, global = true, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// Prints responses as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Shows the leader, the version in effect, whether the instance is fenced and why, and the members that a pending change waits for.
    Status {
        /// Repeats each second until interrupted.
        #[arg(long)]
        watch: bool,
    },
    /// Lists the members.
    Members {
        /// Repeats each second until interrupted.
        #[arg(long)]
        watch: bool,
    },
    /// Shows the startup of the addressed instance: its phases, the condition it waits for, and the maximum wait.
    Recovery {
        /// Repeats each second until interrupted.
        #[arg(long)]
        watch: bool,
    },
    /// Removes a member that is lost for good. If partitioned members continue to serve, this confirms that its process has ended.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Writes the replicated state to a file while the service runs.
    Backup {
        /// Output file; it is replaced atomically.
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Starts a new cluster after the majority of the voters is lost for good: from the state directory of a surviving instance that
    /// is not running, or from a backup.
    Restore(Restore),
    /// Confirms that the state on the addressed instance's disk is current, if the instance can't verify it because the members that
    /// could are lost for good.
    Vouch,
    /// Transfers leadership to another instance.
    StepDown {
        /// Name of the new leader; any other voter by default.
        #[arg(long, value_name = "NAME")]
        to: Option<String>,
    },
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: ClusterArguments) -> Result<u8, String> {
    if let Command::Restore(restore) = &arguments.command {
        return Ok(super::restore::restore(restore).map_or_else(
            |e| {
                eprintln!("canvascart: {e}");
                UNUSABLE_INPUT
            },
            |()| 0,
        ));
    }
    let token = crate::admin::read_token(arguments.token_file.as_deref())?;
    let client = ApiClient::new(&arguments.url, token)?;
    let execution = async {
        match &arguments.command {
            Command::Status { watch } => {
                show(&client, CLUSTER_PATH, arguments.json, *watch, print_status).await
            }
            Command::Members { watch } => {
                show(&client, CLUSTER_PATH, arguments.json, *watch, print_members).await
            }
            Command::Recovery { watch } => {
                show(
                    &client,
                    "/v1/cluster/recovery",
                    arguments.json,
                    *watch,
                    print_recovery,
                )
                .await
            }
            Command::Remove { name } => {
                let target = format!("/v1/cluster/members/{}", encode_path_segment(name));
                let body = call(&client, "DELETE", &target, None).await?;
                print_result(
                    arguments.json,
                    &body,
                    &format!("{name} is no longer a member"),
                );
                Ok(())
            }
            Command::Backup { output } => {
                let body = call(&client, "GET", "/v1/cluster/backup", None).await?;
                let summary = write_backup(&body, output).map_err(|e| (UNUSABLE_INPUT, e))?;
                print_result(arguments.json, &json!({ "backup": output }), &summary);
                Ok(())
            }
            Command::Restore(_) => Ok(()), // handled above, without a running service
            Command::Vouch => {
                let body = call(&client, "POST", "/v1/cluster/vouch", None).await?;
                let message = match body["doubted"].as_bool() {
                    Some(true) => "the instance takes the state on its disk as current, and votes",
                    _ => "the instance did not need a confirmation",
                };
                print_result(arguments.json, &body, message);
                Ok(())
            }
            Command::StepDown { to } => {
                let body = json!({ "to": to });
                let body = call(&client, "POST", "/v1/cluster/step-down", Some(&body)).await?;
                print_result(arguments.json, &body, "leadership transfer requested");
                Ok(())
            }
        }
    };
    match crate::block_on(execution)? {
        Ok(()) => Ok(0),
        Err((code, text)) => {
            eprintln!("canvascart: {text}");
            Ok(code)
        }
    }
}

/// Exit code and message.
type CommandError = (u8, String);

fn print_result(json: bool, body: &Value, message: &str) {
    if json {
        println!("{body}")
    } else {
        println!("{message}")
    }
}

async fn call(
    client: &ApiClient,
    method: &str,
    target: &str,
    body: Option<&Value>,
) -> Result<Value, CommandError> {
    let response = client
        .call(method, target, &[], body)
        .await
        .map_err(|e| (UNREACHABLE, e))?;
    if response.status >= 400 {
        Err((exit_code(response.status), format_problem(&response.body)))
    } else {
        Ok(response.body)
    }
}

async fn show(
    client: &ApiClient,
    target: &str,
    json: bool,
    watch: bool,
    print: fn(&Value),
) -> Result<(), CommandError> {
    loop {
        let body = call(client, "GET", target, None).await?;
        if json {
            println!("{body}")
        } else {
            print(&body)
        }
        if !watch {
            return Ok(());
        }
        sleep(WATCH_INTERVAL).await;
    }
}

fn print_status(body: &Value) {
    let instance = &body["here"];
    let known = if body["leader"].is_null() {
        instance
    } else {
        &body["leader"]
    };
    println!("cluster   {}", cell(&known["cluster"]));
    match known["leader"].as_str() {
        Some(name) => println!("leader    {name}, term {}", cell(&known["term"])),
        None => println!("leader    none known: no changes are possible"),
    }
    println!("version   {}", cell(&known["version"]));
    match &instance["decides"] {
        Value::Null => println!(
            "{:<9} fenced: {}",
            cell(&instance["name"]),
            cell(&instance["fenced"])
        ),
        version => println!(
            "{:<9} decides under version {}",
            cell(&instance["name"]),
            cell(version)
        ),
    }
    if instance["unproven"] == true {
        println!("          does not vote: not yet verified that the state on its disk is current");
    }
    if instance["put-back"] == true {
        println!(
            "          its disk was restored from a copy: it has joined again as a new member"
        );
    }
    if let Some(change) = known["change"].as_object() {
        let waits_for: Vec<String> = change["waits-for"]
            .as_array()
            .into_iter()
            .flatten()
            .map(cell)
            .collect();
        let waits_for = if waits_for.is_empty() {
            "nobody".into()
        } else {
            waits_for.join(", ")
        };
        println!(
            "change    {}: {}, waits for {waits_for}",
            cell(&change["id"]),
            cell(&change["phase"])
        );
    }
    print_members(body);
}

fn print_recovery(body: &Value) {
    let start = &body["start"];
    let phase = start["phase"].as_str().unwrap_or_default();
    let row = |ended_phase: &Value| {
        vec![
            cell(&ended_phase["phase"]),
            format!("{} ms", cell(&ended_phase["ms"])),
            "-".into(),
        ]
    };
    let mut rows: Vec<Vec<String>> = start["took"]
        .as_array()
        .into_iter()
        .flatten()
        .map(row)
        .collect();
    let max_wait = start["at-most-ms"].as_u64().zip(start["then"].as_str());
    let max_wait = max_wait.map_or(String::new(), |(ms, then)| {
        format!(", for {ms} ms at most; then {then}")
    });
    let elapsed = format!("{} ms so far", cell(&start["for-ms"]));
    rows.push(vec![
        phase.into(),
        elapsed,
        format!("{}{max_wait}", cell(&start["waits-for"])),
    ]);
    println!("{}", table(&["PHASE", "TOOK", "WAITS FOR"], &rows));
    let unknown_lists: Vec<String> = start["unsure"]
        .as_array()
        .into_iter()
        .flatten()
        .map(cell)
        .collect();
    if !unknown_lists.is_empty() {
        println!(
            "lists that were unknown when it began to accept requests: {}",
            unknown_lists.join(", ")
        );
    }
    if let (Some(why), "serving") = (body["fenced"].as_str(), phase) {
        println!("fenced since: {why}");
    }
}

fn print_members(body: &Value) {
    let known = if body["leader"].is_null() {
        &body["here"]
    } else {
        &body["leader"]
    };
    let leader = known["leader"].as_str();
    let row = |member: &Value| {
        let ms = |v: &Value| v.as_u64().map_or("-".into(), |ms| format!("{ms} ms ago"));
        let decides_for = match member["holds-ms"].as_i64() {
            None => "fenced".into(),
            Some(-1) => "until it says otherwise".into(),
            Some(ms) => format!("{ms} ms at most"),
        };
        let role = if member["name"].as_str() == leader {
            "leads"
        } else if member["votes"] == true {
            "votes"
        } else {
            "learns"
        };
        vec![
            cell(&member["name"]),
            cell(&member["id"]),
            cell(&member["zone"]),
            role.into(),
            cell(&member["version"]),
            ms(&member["heard-ms"]),
            decides_for,
        ]
    };
    let rows: Vec<Vec<String>> = known["members"]
        .as_array()
        .into_iter()
        .flatten()
        .map(row)
        .collect();
    println!(
        "{}",
        table(
            &[
                "MEMBER",
                "ID",
                "ZONE",
                "ROLE",
                "VERSION",
                "HEARD",
                "DECIDES FOR"
            ],
            &rows
        )
    );
}
