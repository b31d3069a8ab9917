//! `canvascart lab` through the command line: exit codes, errors, reports, the same bytes for one seed.
use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_canvascart")).arg("lab").args(arguments).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("canvascart-lab-{}-{name}", std::process::id()))
}

#[test]
fn the_shipped_scenarios_are_listed_and_good() {
    let list = said(&lab(&["list"]));
    assert!(list.lines().count() >= 12 && list.contains("evening"), "{list}");
    for line in list.lines() {
        let name = line.split_whitespace().next().unwrap();
        assert_eq!(lab(&["check", name]).status.code(), Some(0), "{name}");
    }
}

#[test]
fn a_run_says_by_its_exit_code_whether_the_rules_were_kept() {
    let kept = lab(&["sim", "shrink"]);
    assert!(kept.status.code() == Some(0) && said(&kept).contains("all rules kept"), "{}", said(&kept));
    let broken = lab(&["sim", "shrink", "--sabotage", "ignores-drains"]);
    assert!(broken.status.code() == Some(1) && said(&broken).contains("Drain at"), "{}", said(&broken));
}

#[test]
fn what_is_wrong_with_a_scenario_or_the_command_line_is_named() {
    let file = folder("bad.toml");
    std::fs::write(&file, "title = \"x\"\nlength = \"20\"\n").unwrap();
    let name = file.to_str().unwrap();
    for (arguments, word) in [
        (&["check", name][..], format!("{name}:2: length: the unit is missing")),
        (&["sim", "no-such"], "the shipped scenarios are quiet".into()),
        (&["sim", "evening", "--set", "load.level"], "a setting is written key=value".into()),
        (&["sim", "evening", "--set", "load.levels=3%"], "unknown field `levels`".into()),
        (&["sim", "evening", "--sabotage", "x"], "floods-newest".into()),
    ] {
        let run = lab(arguments);
        assert!(run.status.code() == Some(2) && said(&run).contains(&word), "{word}: {}", said(&run));
    }
    std::fs::remove_file(file).unwrap();
}

#[test]
fn a_report_holds_the_evidence_and_opens_alone() {
    let dir = folder("report");
    let run = lab(&["sim", "shrink", "--sabotage", "ignores-drains", "--out", dir.to_str().unwrap()]);
    assert_eq!(run.status.code(), Some(1));
    let read = |name: &str| std::fs::read_to_string(dir.join(name)).unwrap();
    let page = read("report.html");
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("src=") && !page.contains("href="), "nothing is fetched");
    let json: serde_json::Value = serde_json::from_str(&read("run.json")).unwrap();
    assert_eq!(json["broken"].as_array().unwrap().len(), read("broken.jsonl").lines().count());
    let tries = read("tries.jsonl");
    let asked = json["service"]["whole"]["asked"].as_u64().unwrap();
    assert!(tries.lines().count() as u64 >= asked);
    assert!(dir.join("latency-checkout.hdr").exists());
    // A report that can't be written is an exit code of its own.
    let nowhere = dir.join("run.json").join("x");
    assert_eq!(lab(&["sim", "shrink", "--out", nowhere.to_str().unwrap()]).status.code(), Some(3));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn one_seed_gives_the_same_bytes_however_many_runs_go_at_once() {
    let alone = lab(&["sim", "evening", "--seed", "3", "--json"]);
    let among = lab(&["sim", "evening", "--seed", "1", "--repeat", "4", "--json"]);
    let (alone, among) = (said(&alone), said(&among));
    assert_eq!(among.lines().filter(|l| !l.is_empty()).nth(2), alone.lines().next());
}

#[test]
fn settings_are_compared_seed_by_seed() {
    let run = lab(&["compare", "-", "load.level=150%", "quiet", "--repeat", "3", "--json"]);
    let differences: serde_json::Value = serde_json::from_str(&said(&run)).unwrap();
    let share = &differences[0];
    assert_eq!(share["figure"], "served share");
    assert!(share["difference"]["high"].as_f64().unwrap() < 0.0, "overload serves less: {share}");
    let same: serde_json::Value =
        serde_json::from_str(&said(&lab(&["compare", "-", "-", "quiet", "--repeat", "3", "--json"])))
            .unwrap();
    assert_eq!(same[0]["difference"]["mean"], 0.0);
}
