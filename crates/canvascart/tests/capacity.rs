//! `canvascart lab capacity`: what it refuses before anything starts, what it leaves when it is interrupted or a process dies, and
//! that what a tenant, a change and a server cost has not grown by a fifth over what docs/CAPACITY.md says.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_canvascart");

fn capacity(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["lab", "capacity"]).args(arguments);
    command
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("canvascart-capacity-{}-{name}", std::process::id()))
}

fn json(file: &Path) -> Value {
    let text = std::fs::read_to_string(file).expect("the figures are there");
    serde_json::from_str(&text).expect("they are JSON")
}

/// The service that a sweep runs, once there is one.
fn service_of(sweep: &mut Child) -> u32 {
    let children = format!("/proc/{0}/task/{0}/children", sweep.id());
    loop {
        let all = std::fs::read_to_string(&children).expect("the sweep runs");
        if let Some(child) = all.split_whitespace().next() {
            return child.parse().expect("a process");
        }
        assert!(sweep.try_wait().expect("it can be asked").is_none(), "it has ended");
        std::thread::yield_now();
    }
}

fn signal(how: &str, id: u32) {
    let sent = Command::new("kill").args([how, &id.to_string()]).status().expect("there is a kill");
    assert!(sent.success());
}

#[test]
fn what_makes_no_sense_or_goes_beyond_the_machine_is_refused_before_anything_starts() {
    for (arguments, words) in [
        (&["tenants", "--sizes", "0,1,2,3"][..], &["--sizes", "0"][..]),
        (&["tenants", "--sizes", "10,many,30,40"], &["--sizes", "many"]),
        (&["servers", "--sizes", "10,-20,30,40"], &["--sizes", "-20"]),
        (&["tenants", "--sizes", "10,20,30"], &["--sizes", "4 at least"]),
        (&["tenants", "--sizes", "10,20,20,30,5"], &["--sizes", "each more than"]),
        (&["all", "--sizes", "10,20,30,40"], &["--sizes", "name one sweep"]),
        (&["--sizes", "10,20,30,40"], &["--sizes", "name one sweep"]),
        (
            &["tenants", "--sizes", "1000,2000,4000,900000000"],
            &["--sizes", "MiB of memory", "half of this machine's"],
        ),
        (&["servers", "--sizes", "1000,2000,4000,100000000"], &["--sizes", "half of this machine's"]),
        (&["tenants", "--small", "--json", "/no/such/folder/figures.json"], &["--json", "/no/such/folder"]),
        (&["tenants", "--small", "--beside", " "], &["--beside", "no command"]),
    ] {
        let run = capacity(arguments).output().expect("it runs");
        let text = said(&run);
        assert_eq!(run.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(words.iter().all(|w| text.contains(w)), "{arguments:?}: {text}");
        assert!(run.stdout.is_empty() && text.len() < 1024, "{arguments:?}: {text}");
    }
}

#[test]
fn a_sweep_that_is_interrupted_ends_its_processes_and_says_that_it_is_partial() {
    for how in ["-INT", "-TERM"] {
        let figures = file(how);
        let mut sweep = capacity(&["tenants", "--small", "--sizes", "3,4,5,6", "--json"])
            .arg(&figures)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let service = service_of(&mut sweep);
        signal(how, sweep.id());
        let mut told = String::new();
        sweep.stdout.take().expect("it has an output").read_to_string(&mut told).expect("it is text");
        assert_eq!(sweep.wait().expect("it ends").code(), Some(3), "{told}");
        assert!(told.contains("partial"), "{told}");
        assert!(!Path::new(&format!("/proc/{service}")).exists(), "its service has ended");
        let json = json(&figures);
        assert_eq!(json["partial"], true, "{json}");
        assert_eq!(json["sweeps"][0]["partial"], true, "{json}");
        assert_eq!(json["sweeps"][0]["points"], serde_json::json!([]), "what was half measured is not there");
        assert!(json["machine"]["memory-mib"].as_f64().is_some_and(|m| m > 0.0), "{json}");
        std::fs::remove_file(figures).expect("it is there");
    }
}

#[test]
fn a_process_that_dies_makes_its_row_void_and_no_zero() {
    // One that dies while it is measured, and then the sweep's end.
    let figures = file("dies");
    let mut sweep = capacity(&["tenants", "--small", "--sizes", "3,4,5,6", "--log-format", "json", "--json"])
        .arg(&figures)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    signal("-KILL", service_of(&mut sweep));
    let mut log = BufReader::new(sweep.stderr.take().expect("it has a log")).lines();
    assert!(log.by_ref().map_while(Result::ok).any(|l| l.contains("a row is void")), "it says so");
    signal("-TERM", sweep.id());
    log.for_each(drop);
    assert_eq!(sweep.wait().expect("it ends").code(), Some(3));
    let told = json(&figures);
    let row = &told["sweeps"][0]["points"][0];
    assert!(row["void"].as_str().is_some_and(|why| !why.is_empty()), "{told}");
    assert!(row["figures"].get("memory, MiB").is_none() && row["sizes"]["tenants"] == 3.0, "{told}");
    // Ones that never come up: all rows are void, of either build, and there is no line.
    let run = capacity(&[
        "servers",
        "--sizes",
        "2,3,4,5",
        "--service",
        "false",
        "--beside",
        "/no/such/program",
        "--json",
    ])
    .arg(&figures)
    .output()
    .expect("it runs");
    let text = said(&run);
    assert_eq!(run.status.code(), Some(3), "{text}");
    let sweep = &json(&figures)["sweeps"][0];
    for points in [&sweep["points"], &sweep["beside"]["points"]] {
        let points = points.as_array().expect("there are rows");
        assert!(points.len() == 4 && points.iter().all(|p| p["void"].is_string()), "{sweep}");
    }
    assert!(sweep["lines"].as_array().expect("they are named").iter().all(|l| l["fit"].is_null()), "{sweep}");
    assert!(text.contains("void: ") && text.contains("too few points for a line"), "{text}");
    std::fs::remove_file(figures).expect("it is there");
}
