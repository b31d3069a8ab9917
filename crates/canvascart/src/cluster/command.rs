//! `canvascart cluster`: how the instances of a running `serve` stand to each other, and what an operator does about it.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::restore::{Restore, keep};
use crate::admin::table::{cell, table};
use crate::admin::wire::{Wire, part};
use crate::admin::{UNREACHED, code_of, words};

const CLUSTER: &str = "/v1/cluster";
/// A backup, a directory or a configuration is of no use.
const OF_NO_USE: u8 = 5;
/// From one look to the next with `--watch`.
const LOOK: Duration = Duration::from_secs(1);

const CODES: &str = "Exit codes: 0 done, 2 wrong usage, 3 the instance can't be reached, 4 turned down, 5 a backup or a directory is of no use, 6 the token has no right to it, \
7 not there, 8 the service has failed, or no instance leads.

Any instance can be asked. The token comes from --token-file, or from CANVASCART_TOKEN.";

#[derive(clap::Args)]
#[command(after_help = CODES)]
pub struct Arguments {
    /// Where an instance's administration API is.
    #[arg(
        long,
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:7070"
    )]
    url: String,
    /// A file with an operator's token.
    #[arg(long, global = true, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// Prints answers as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Who leads, which version is in effect, who is fenced and why, and whom a change under way waits for.
    Status {
        /// Looks again each second, until it is ended.
        #[arg(long)]
        watch: bool,
    },
    /// The members.
    Members {
        /// Looks again each second, until it is ended.
        #[arg(long)]
        watch: bool,
    },
    /// How far the asked instance's start is: its phases, what it waits for, and for how long at most.
    Recovery {
        /// Looks again each second, until it is ended.
        #[arg(long)]
        watch: bool,
    },
    /// Removes a member that is gone for good. Where those that are cut off serve on, this says that its process has ended.
    Remove {
        /// Its name.
        name: String,
    },
    /// Keeps all that is agreed on in a file, while the service serves.
    Backup {
        /// The file to write; it is replaced whole.
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Begins a cluster anew where most of those who vote are lost for good: from the state directory of a survivor that does not run,
    /// or from a backup.
    Restore(Restore),
    /// Says that the asked instance's disk is its newest, where it doubts that and those who could tell are gone for good.
    Vouch,
    /// Lets another instance lead.
    StepDown {
        /// Which; any other with a vote without it.
        #[arg(long, value_name = "NAME")]
        to: Option<String>,
    },
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: Arguments) -> Result<u8, String> {
    if let Command::Restore(restore) = &arguments.command {
        return Ok(super::restore::restore(restore).map_or_else(
            |e| {
                eprintln!("canvascart: {e}");
                OF_NO_USE
            },
            |()| 0,
        ));
    }
    let token = crate::admin::token(arguments.token_file.as_deref())?;
    let wire = Wire::new(&arguments.url, token)?;
    let done = async {
        match &arguments.command {
            Command::Status { watch } => look(&wire, CLUSTER, arguments.json, *watch, status).await,
            Command::Members { watch } => {
                look(&wire, CLUSTER, arguments.json, *watch, members).await
            }
            Command::Recovery { watch } => {
                look(
                    &wire,
                    "/v1/cluster/recovery",
                    arguments.json,
                    *watch,
                    recovery,
                )
                .await
            }
            Command::Remove { name } => {
                let target = format!("/v1/cluster/members/{}", part(name));
                let body = call(&wire, "DELETE", &target, None).await?;
                tell(
                    arguments.json,
                    &body,
                    &format!("{name} is no member any more"),
                );
                Ok(())
            }
            Command::Backup { output } => {
                let body = call(&wire, "GET", "/v1/cluster/backup", None).await?;
                let words = keep(&body, output).map_err(|e| (OF_NO_USE, e))?;
                tell(arguments.json, &json!({ "backup": output }), &words);
                Ok(())
            }
            Command::Restore(_) => Ok(()), // it needs no service
            Command::Vouch => {
                let body = call(&wire, "POST", "/v1/cluster/vouch", None).await?;
                let words = match body["doubted"].as_bool() {
                    Some(true) => "it takes its disk for its newest, and votes",
                    _ => "it had no doubt of its disk",
                };
                tell(arguments.json, &body, words);
                Ok(())
            }
            Command::StepDown { to } => {
                let body = json!({ "to": to });
                let body = call(&wire, "POST", "/v1/cluster/step-down", Some(&body)).await?;
                tell(arguments.json, &body, "another instance is asked to lead");
                Ok(())
            }
        }
    };
    match crate::block_on(done)? {
        Ok(()) => Ok(0),
        Err((code, text)) => {
            eprintln!("canvascart: {text}");
            Ok(code)
        }
    }
}

type Ended = (u8, String);

fn tell(json: bool, body: &Value, words: &str) {
    if json {
        println!("{body}")
    } else {
        println!("{words}")
    }
}

async fn call(
    wire: &Wire,
    method: &str,
    target: &str,
    body: Option<&Value>,
) -> Result<Value, Ended> {
    let answer = wire
        .call(method, target, &[], body)
        .await
        .map_err(|e| (UNREACHED, e))?;
    if answer.status >= 400 {
        Err((code_of(answer.status), words(&answer.body)))
    } else {
        Ok(answer.body)
    }
}

async fn look(
    wire: &Wire,
    target: &str,
    json: bool,
    watch: bool,
    show: fn(&Value),
) -> Result<(), Ended> {
    loop {
        let body = call(wire, "GET", target, None).await?;
        if json {
            println!("{body}")
        } else {
            show(&body)
        }
        if !watch {
            return Ok(());
        }
        sleep(LOOK).await;
    }
}

fn status(body: &Value) {
    let here = &body["here"];
    let known = if body["leader"].is_null() {
        here
    } else {
        &body["leader"]
    };
    println!("cluster   {}", cell(&known["cluster"]));
    match known["leader"].as_str() {
        Some(name) => println!("leader    {name}, term {}", cell(&known["term"])),
        None => println!("leader    none is known: nothing can be changed"),
    }
    println!("version   {}", cell(&known["version"]));
    match &here["decides"] {
        Value::Null => println!(
            "{:<9} fenced: {}",
            cell(&here["name"]),
            cell(&here["fenced"])
        ),
        version => println!(
            "{:<9} decides under version {}",
            cell(&here["name"]),
            cell(version)
        ),
    }
    if here["unproven"] == true {
        println!("          votes for nobody: it does not know yet whether its disk is its newest");
    }
    if here["put-back"] == true {
        println!("          its disk was put back from a copy: it has joined anew");
    }
    if let Some(change) = known["change"].as_object() {
        let waits: Vec<String> = change["waits-for"]
            .as_array()
            .into_iter()
            .flatten()
            .map(cell)
            .collect();
        let waits = if waits.is_empty() {
            "nobody".into()
        } else {
            waits.join(", ")
        };
        println!(
            "change    {}: {}, waits for {waits}",
            cell(&change["id"]),
            cell(&change["phase"])
        );
    }
    members(body);
}

fn recovery(body: &Value) {
    let start = &body["start"];
    let now = start["phase"].as_str().unwrap_or_default();
    let row = |t: &Value| {
        vec![
            cell(&t["phase"]),
            format!("{} ms", cell(&t["ms"])),
            "-".into(),
        ]
    };
    let mut rows: Vec<Vec<String>> = start["took"]
        .as_array()
        .into_iter()
        .flatten()
        .map(row)
        .collect();
    let most = start["at-most-ms"].as_u64().zip(start["then"].as_str());
    let most = most.map_or(String::new(), |(ms, then)| {
        format!(", for {ms} ms at most; then {then}")
    });
    let for_ms = format!("{} ms so far", cell(&start["for-ms"]));
    rows.push(vec![
        now.into(),
        for_ms,
        format!("{}{most}", cell(&start["waits-for"])),
    ]);
    println!("{}", table(&["PHASE", "TOOK", "WAITS FOR"], &rows));
    let unsure: Vec<String> = start["unsure"]
        .as_array()
        .into_iter()
        .flatten()
        .map(cell)
        .collect();
    if !unsure.is_empty() {
        println!(
            "lists that were not known when it began to take requests: {}",
            unsure.join(", ")
        );
    }
    if let (Some(why), "serving") = (body["fenced"].as_str(), now) {
        println!("fenced since: {why}");
    }
}

fn members(body: &Value) {
    let known = if body["leader"].is_null() {
        &body["here"]
    } else {
        &body["leader"]
    };
    let leader = known["leader"].as_str();
    let row = |m: &Value| {
        let ms = |v: &Value| v.as_u64().map_or("-".into(), |ms| format!("{ms} ms ago"));
        let holds = match m["holds-ms"].as_i64() {
            None => "fenced".into(),
            Some(-1) => "until it says otherwise".into(),
            Some(ms) => format!("{ms} ms at most"),
        };
        let role = if m["name"].as_str() == leader {
            "leads"
        } else if m["votes"] == true {
            "votes"
        } else {
            "learns"
        };
        vec![
            cell(&m["name"]),
            cell(&m["id"]),
            cell(&m["zone"]),
            role.into(),
            cell(&m["version"]),
            ms(&m["heard-ms"]),
            holds,
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
