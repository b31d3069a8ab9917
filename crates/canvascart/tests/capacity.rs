//! `canvascart lab capacity`: what it refuses before anything starts, what it leaves when it is interrupted or a process dies, and
//! that what a tenant, a change and a server cost has not grown by a fifth over what docs/CAPACITY.md says.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use ::lab::capacity::servers::{self, Of};
use ::lab::capacity::tenants::{self, Care, Shape};
use ::lab::capacity::{Fit, Setting, Stop};
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
        assert!(
            sweep.try_wait().expect("it can be asked").is_none(),
            "it has ended"
        );
        std::thread::yield_now();
    }
}

fn signal(how: &str, id: u32) {
    let sent = Command::new("kill")
        .args([how, &id.to_string()])
        .status()
        .expect("there is a kill");
    assert!(sent.success());
}

#[test]
fn what_makes_no_sense_or_goes_beyond_the_machine_is_refused_before_anything_starts() {
    for (arguments, words) in [
        (
            &["tenants", "--sizes", "0,1,2,3"][..],
            &["--sizes", "0"][..],
        ),
        (
            &["tenants", "--sizes", "10,many,30,40"],
            &["--sizes", "many"],
        ),
        (&["servers", "--sizes", "10,-20,30,40"], &["--sizes", "-20"]),
        (
            &["tenants", "--sizes", "10,20,30"],
            &["--sizes", "4 at least"],
        ),
        (
            &["tenants", "--sizes", "10,20,20,30,5"],
            &["--sizes", "each more than"],
        ),
        (
            &["all", "--sizes", "10,20,30,40"],
            &["--sizes", "name one sweep"],
        ),
        (&["--sizes", "10,20,30,40"], &["--sizes", "name one sweep"]),
        (
            &["tenants", "--sizes", "1000,2000,4000,900000000"],
            &["--sizes", "MiB of memory", "half of this machine's"],
        ),
        (
            &["servers", "--sizes", "1000,2000,4000,100000000"],
            &["--sizes", "half of this machine's"],
        ),
        (
            &[
                "tenants",
                "--small",
                "--json",
                "/no/such/folder/figures.json",
            ],
            &["--json", "/no/such/folder"],
        ),
        (
            &["tenants", "--small", "--beside", " "],
            &["--beside", "no command"],
        ),
    ] {
        let run = capacity(arguments).output().expect("it runs");
        let text = said(&run);
        assert_eq!(run.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(
            words.iter().all(|w| text.contains(w)),
            "{arguments:?}: {text}"
        );
        assert!(
            run.stdout.is_empty() && text.len() < 1024,
            "{arguments:?}: {text}"
        );
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
        sweep
            .stdout
            .take()
            .expect("it has an output")
            .read_to_string(&mut told)
            .expect("it is text");
        assert_eq!(sweep.wait().expect("it ends").code(), Some(3), "{told}");
        assert!(told.contains("partial"), "{told}");
        assert!(
            !Path::new(&format!("/proc/{service}")).exists(),
            "its service has ended"
        );
        let json = json(&figures);
        assert_eq!(json["partial"], true, "{json}");
        assert_eq!(json["sweeps"][0]["partial"], true, "{json}");
        assert_eq!(
            json["sweeps"][0]["points"],
            serde_json::json!([]),
            "what was half measured is not there"
        );
        assert!(
            json["machine"]["memory-mib"]
                .as_f64()
                .is_some_and(|m| m > 0.0),
            "{json}"
        );
        std::fs::remove_file(figures).expect("it is there");
    }
}

#[test]
fn a_process_that_dies_makes_its_row_void_and_no_zero() {
    // One that dies while it is measured, and then the sweep's end.
    let figures = file("dies");
    let mut sweep = capacity(&[
        "tenants",
        "--small",
        "--sizes",
        "3,4,5,6",
        "--log-format",
        "json",
        "--json",
    ])
    .arg(&figures)
    .stdout(Stdio::null())
    .stderr(Stdio::piped())
    .spawn()
    .expect("it starts");
    signal("-KILL", service_of(&mut sweep));
    let mut log = BufReader::new(sweep.stderr.take().expect("it has a log")).lines();
    assert!(
        log.by_ref()
            .map_while(Result::ok)
            .any(|l| l.contains("a row is void")),
        "it says so"
    );
    signal("-TERM", sweep.id());
    log.for_each(drop);
    assert_eq!(sweep.wait().expect("it ends").code(), Some(3));
    let told = json(&figures);
    let row = &told["sweeps"][0]["points"][0];
    assert!(
        row["void"].as_str().is_some_and(|why| !why.is_empty()),
        "{told}"
    );
    assert!(
        row["figures"].get("memory, MiB").is_none() && row["sizes"]["tenants"] == 3.0,
        "{told}"
    );
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
        assert!(
            points.len() == 4 && points.iter().all(|p| p["void"].is_string()),
            "{sweep}"
        );
    }
    assert!(
        sweep["lines"]
            .as_array()
            .expect("they are named")
            .iter()
            .all(|l| l["fit"].is_null()),
        "{sweep}"
    );
    assert!(
        text.contains("void: ") && text.contains("too few points for a line"),
        "{text}"
    );
    std::fs::remove_file(figures).expect("it is there");
}

fn setting(name: &str) -> Setting {
    Setting {
        own: PROGRAM.into(),
        service: vec![PROGRAM.into()],
        beside: None,
        dir: file(name),
        stop: Stop::default(),
    }
}

/// A cost that has grown by more than this over what docs/CAPACITY.md says is a fault.
const FIFTH: f64 = 1.2;

/// The slope of a figure between two sizes.
fn slope(
    figure: &str,
    small: (f64, &BTreeMap<String, f64>),
    large: (f64, &BTreeMap<String, f64>),
) -> f64 {
    let of = |(size, figures): (f64, &BTreeMap<String, f64>)| (size, figures[figure]);
    Fit::of(&[of(small), of(large)])
        .expect("two sizes make a line")
        .slope
}

#[test]
fn what_a_tenant_stores_and_a_change_writes_is_within_a_fifth_of_what_the_page_says() {
    let setting = setting("stores");
    // KiB a tenant, by docs/CAPACITY.md: of the state's files, and written for a lone change.
    for (shape, state, written) in [(Shape::Own, 1.02, 0.707), (Shape::Shared, 3.20, 1.69)] {
        let [small, large] = [200, 800].map(|tenants| {
            let mut figures = BTreeMap::new();
            let size = tenants::Size::of(shape, tenants);
            tenants::measure(
                &setting.service,
                &size,
                &Care::COUNTS,
                &setting,
                &mut figures,
            )
            .expect("it is measured");
            figures
        });
        for (figure, page) in [
            ("all of the state, KiB", state),
            ("a lone change and what follows, written, KiB", written),
        ] {
            let slope = slope(figure, (200.0, &small), (800.0, &large));
            assert!(large[figure] > 0.0, "{figure} was measured");
            assert!(
                slope <= FIFTH * page,
                "{shape:?}: {figure}: {slope:.3} a tenant, {page} by the page"
            );
        }
    }
    std::fs::remove_dir_all(&setting.dir).expect("it is there");
}

#[test]
fn servers_are_connected_once_each_but_for_a_fifth_and_none_of_their_requests_is_lost() {
    let setting = setting("servers");
    let care = servers::Care {
        rest: Duration::ZERO,
        span: Duration::from_millis(300),
    };
    let [small, large] = [72, 360].map(|servers| {
        let mut figures = BTreeMap::new();
        servers::measure(
            &setting.service,
            &servers::Size::of(Of::Services, servers),
            &care,
            &setting,
            &mut figures,
        )
        .expect("it is measured");
        figures
    });
    // docs/CAPACITY.md: 0.98 connections a server.
    let slope = slope("connections", (72.0, &small), (360.0, &large));
    assert!(
        slope > 0.5 && slope <= FIFTH * 0.98,
        "{slope:.3} connections a server"
    );
    for figure in ["connected, requests not served", "144 a second, not served"] {
        assert!(
            small[figure] + large[figure] <= 0.0,
            "{figure}: {} and {}",
            small[figure],
            large[figure]
        );
    }
    std::fs::remove_dir_all(&setting.dir).expect("it is there");
}
