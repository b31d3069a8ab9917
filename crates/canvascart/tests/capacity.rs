//! `canvascart lab capacity`: invalid arguments, interruption, dying processes, and a guard that the cost of a tenant, a
//! change and a server is at most a fifth above the figures of docs/CAPACITY.md.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use ::lab::capacity::servers::{self, Tenancy};
use ::lab::capacity::tenants::{self, Care, Shape};
use ::lab::capacity::{Fit, Setting, Stop};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_canvascart");

fn capacity(arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["lab", "capacity"]).args(arguments);
    command
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("canvascart-capacity-{}-{name}", std::process::id()))
}

fn json(file: &Path) -> Value {
    let text = std::fs::read_to_string(file).expect("the figures file is readable");
    serde_json::from_str(&text).expect("the figures are JSON")
}

/// Waits for the service process of a sweep and returns its process id.
fn service_of(sweep: &mut Child) -> u32 {
    let children = format!("/proc/{0}/task/{0}/children", sweep.id());
    loop {
        let all = std::fs::read_to_string(&children).expect("the sweep runs");
        if let Some(child) = all.split_whitespace().next() {
            return child.parse().expect("a process id");
        }
        assert!(
            sweep
                .try_wait()
                .expect("the sweep's status is available")
                .is_none(),
            "the sweep has ended"
        );
        std::thread::yield_now();
    }
}

fn signal(signal_option: &str, id: u32) {
    let sent = Command::new("kill")
        .args([signal_option, &id.to_string()])
        .status()
        .expect("kill runs");
    assert!(sent.success());
}

#[test]
fn invalid_arguments_and_sizes_beyond_the_machine_are_rejected_before_anything_starts() {
    for (arguments, expected) in [
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
        let run = capacity(arguments).output().expect("the command runs");
        let text = output_text(&run);
        assert_eq!(run.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(
            expected.iter().all(|w| text.contains(w)),
            "{arguments:?}: {text}"
        );
        assert!(
            run.stdout.is_empty() && text.len() < 1024,
            "{arguments:?}: {text}"
        );
    }
}

#[test]
fn interrupted_sweep_ends_its_processes_and_reports_partial_figures() {
    for signal_option in ["-INT", "-TERM"] {
        let figures = file(signal_option);
        let mut sweep = capacity(&["tenants", "--small", "--sizes", "3,4,5,6", "--json"])
            .arg(&figures)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the sweep starts");
        let service = service_of(&mut sweep);
        signal(signal_option, sweep.id());
        let mut output = String::new();
        sweep
            .stdout
            .take()
            .expect("standard output is piped")
            .read_to_string(&mut output)
            .expect("the output is text");
        assert_eq!(
            sweep.wait().expect("the sweep ends").code(),
            Some(3),
            "{output}"
        );
        assert!(output.contains("partial"), "{output}");
        assert!(
            !Path::new(&format!("/proc/{service}")).exists(),
            "the service process is still running"
        );
        let json = json(&figures);
        assert_eq!(json["partial"], true, "{json}");
        assert_eq!(json["sweeps"][0]["partial"], true, "{json}");
        assert_eq!(
            json["sweeps"][0]["points"],
            serde_json::json!([]),
            "an incomplete measurement is reported"
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
fn dead_process_makes_its_row_void_instead_of_zero() {
    // A service that dies during its measurement; then the sweep is terminated.
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
    .expect("the sweep starts");
    signal("-KILL", service_of(&mut sweep));
    let mut log = BufReader::new(sweep.stderr.take().expect("standard error is piped")).lines();
    assert!(
        log.by_ref()
            .map_while(Result::ok)
            .any(|l| l.contains("a row is void")),
        "the void row was not logged"
    );
    signal("-TERM", sweep.id());
    log.for_each(drop);
    assert_eq!(sweep.wait().expect("the sweep ends").code(), Some(3));
    let output = json(&figures);
    let row = &output["sweeps"][0]["points"][0];
    assert!(
        row["void"].as_str().is_some_and(|why| !why.is_empty()),
        "{output}"
    );
    assert!(
        row["figures"].get("memory, MiB").is_none() && row["sizes"]["tenants"] == 3.0,
        "{output}"
    );
    // Services that never start: all rows of both builds are void, and no line is fitted.
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
    .expect("the command runs");
    let text = output_text(&run);
    assert_eq!(run.status.code(), Some(3), "{text}");
    let sweep = &json(&figures)["sweeps"][0];
    for points in [&sweep["points"], &sweep["beside"]["points"]] {
        let points = points.as_array().expect("the points are an array");
        assert!(
            points.len() == 4 && points.iter().all(|p| p["void"].is_string()),
            "{sweep}"
        );
    }
    assert!(
        sweep["lines"]
            .as_array()
            .expect("the lines are an array")
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

/// Maximum ratio of a measured cost to the documented cost.
const MAX_COST_RATIO: f64 = 1.2;

/// Returns the slope of a figure between two sizes.
fn slope(
    figure: &str,
    small: (f64, &BTreeMap<String, f64>),
    large: (f64, &BTreeMap<String, f64>),
) -> f64 {
    let point = |(size, figures): (f64, &BTreeMap<String, f64>)| (size, figures[figure]);
    Fit::of(&[point(small), point(large)])
        .expect("two sizes make a line")
        .slope
}

#[test]
fn state_per_tenant_and_bytes_per_change_are_at_most_a_fifth_above_the_documented_cost() {
    let setting = setting("stores");
    // KiB per tenant as documented in docs/CAPACITY.md: size of the state files, and bytes written for a single change.
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
            .expect("the measurement succeeds");
            figures
        });
        for (figure, documented) in [
            ("all of the state, KiB", state),
            ("a lone change and what follows, written, KiB", written),
        ] {
            let slope = slope(figure, (200.0, &small), (800.0, &large));
            assert!(large[figure] > 0.0, "{figure} was not measured");
            assert!(
                slope <= MAX_COST_RATIO * documented,
                "{shape:?}: {figure}: {slope:.3} per tenant, documented as {documented}"
            );
        }
    }
    std::fs::remove_dir_all(&setting.dir).expect("it is there");
}

#[test]
fn connections_per_server_are_at_most_a_fifth_above_the_documented_cost_and_no_request_is_lost() {
    let setting = setting("servers");
    let timing = servers::Care {
        rest: Duration::ZERO,
        span: Duration::from_millis(300),
    };
    let [small, large] = [72, 360].map(|servers| {
        let mut figures = BTreeMap::new();
        servers::measure(
            &setting.service,
            &servers::Size::of(Tenancy::Services, servers),
            &timing,
            &setting,
            &mut figures,
        )
        .expect("the measurement succeeds");
        figures
    });
    // docs/CAPACITY.md: 0.98 connections per server.
    let slope = slope("connections", (72.0, &small), (360.0, &large));
    assert!(
        slope > 0.5 && slope <= MAX_COST_RATIO * 0.98,
        "{slope:.3} connections per server"
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
