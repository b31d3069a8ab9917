//! Stored state that is lost or old, among several processes: what comes back, under which number, and what is told of it.
mod together;

use std::path::Path;
use std::process::{Command, Output};

use lab::service::fleet::Fleet;
use together::{Directory, SOON, command, fleet, limit, set, voters};

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn number(fleet: &Fleet, asked: usize, of: usize) -> u64 {
    let status = fleet.status(asked).unwrap();
    let members = status["leader"]["members"].as_array().unwrap().clone();
    members
        .iter()
        .find(|m| m["name"] == fleet.name(of))
        .unwrap()["id"]
        .as_u64()
        .unwrap()
}

fn canvascart(arguments: &[&str]) -> Output {
    Command::new(&command()[0])
        .args(arguments)
        .output()
        .unwrap()
}

fn words(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

fn begin_anew(fleet: &Fleet, i: usize, more: &[&str]) -> Output {
    let config = fleet.config(i).display().to_string();
    canvascart(&[&["cluster", "restore", "--config", &config], more].concat())
}

#[test]
fn a_voters_disk_that_was_put_back_is_seen_and_comes_back_under_another_number() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let old = voters(&fleet).into_iter().find(|i| *i != leader).unwrap();
    let before = number(&fleet, leader, old);
    assert_eq!(set(&fleet, leader, 2001, "").0, 200);
    fleet.kill(old);
    let yesterday = directory.0.join("yesterday");
    copy(fleet.state(old), &yesterday);
    fleet.start(old).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        number(&fleet, leader, old),
        before,
        "its own disk is its own"
    );
    assert_eq!(set(&fleet, leader, 2002, "").0, 200);
    fleet.kill(old);
    std::fs::remove_dir_all(fleet.state(old)).unwrap();
    copy(&yesterday, fleet.state(old));
    std::fs::remove_file(fleet.state(old).join("alive")).unwrap(); // one of yesterday says nothing of today
    fleet.start(old).unwrap();
    assert!(!fleet.is_up(old), "it serves no old policy");
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, old), 2002);
    assert!(
        number(&fleet, leader, old) > before,
        "it never votes under its old number"
    );
    assert_eq!(fleet.status(old).unwrap()["here"]["put-back"], true);
    assert!(
        fleet
            .log(old)
            .contains("older than what this member has acknowledged"),
        "{}",
        fleet.log(old)
    );
    assert_eq!(set(&fleet, old, 2003, "").0, 200);
}

#[test]
fn most_voters_gone_for_good_a_cluster_begins_anew_from_a_survivor_and_refuses_those_of_before() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let votes = voters(&fleet);
    let rest: Vec<usize> = (0..5).filter(|i| !votes.contains(i)).collect();
    let (survivor, late) = (rest[0], rest[1]);
    for n in 2001..2004 {
        assert_eq!(set(&fleet, leader, n, "").0, 200);
    }
    fleet
        .wait("the survivor's version", |f| {
            f.status(survivor).unwrap()["here"]["decides"] == 4
        })
        .unwrap();
    let busy = begin_anew(&fleet, survivor, &["--yes"]);
    assert_eq!(busy.status.code(), Some(5), "it runs: {}", words(&busy));
    (0..5).for_each(|i| fleet.kill(i));
    votes
        .iter()
        .for_each(|i| std::fs::remove_dir_all(fleet.state(*i)).unwrap());
    let told = begin_anew(&fleet, survivor, &[]);
    assert!(
        words(&told).contains("4 before, 1000000 afterwards") && words(&told).contains("--yes"),
        "{told:?}"
    );
    assert_eq!(
        begin_anew(&fleet, survivor, &["--yes"]).status.code(),
        Some(0)
    );
    fleet.start(survivor).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        limit(&fleet, survivor),
        2003,
        "nothing that it knew is lost"
    );
    votes.iter().for_each(|i| fleet.start(*i).unwrap());
    fleet.ready().unwrap();
    assert_eq!(set(&fleet, votes[0], 2004, "").0, 200);
    assert!(votes.iter().all(|i| limit(&fleet, *i) == 2004));
    let status = fleet.status(survivor).unwrap();
    assert_eq!(
        status["here"]["version"], 1_000_001,
        "no version of before is used again: {status}"
    );
    // One with its old directory belongs to a cluster that is no more.
    fleet.start(late).unwrap();
    let told = |f: &Fleet| {
        f.status(late).unwrap()["here"]["fenced"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    fleet
        .wait("its word", |f| told(f).contains("as after a restore"))
        .unwrap();
    assert!(!fleet.is_up(late));
    fleet.kill(late);
    std::fs::remove_dir_all(fleet.state(late)).unwrap();
    fleet.start(late).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, late), 2004);
}

#[test]
fn all_disks_gone_a_backup_that_is_whole_brings_back_what_it_holds() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    assert_eq!(set(&fleet, 1, 2001, "").0, 200);
    let (file, token) = (directory.0.join("backup.json"), directory.0.join("token"));
    std::fs::write(&token, fleet.token().unwrap()).unwrap();
    let (file, token) = (file.display().to_string(), token.display().to_string());
    let url = format!("http://{}", fleet.admin(2).unwrap());
    let kept = canvascart(&[
        "cluster",
        "backup",
        "--url",
        &url,
        "--token-file",
        &token,
        "-o",
        &file,
    ]);
    assert_eq!(kept.status.code(), Some(0), "{}", words(&kept));
    assert_eq!(set(&fleet, 1, 2002, "").0, 200);
    (0..5).for_each(|i| fleet.kill(i));
    let used = begin_anew(&fleet, 0, &["--backup", &file, "--yes"]);
    assert!(
        used.status.code() == Some(5) && words(&used).contains("empty directory"),
        "{}",
        words(&used)
    );
    (0..5).for_each(|i| std::fs::remove_dir_all(fleet.state(i)).unwrap());
    let text = std::fs::read_to_string(&file).unwrap();
    for (bad, says) in [
        (text[..text.len() / 2].to_owned(), "no whole backup"),
        (
            text.replacen("in-flight", "in-fligth", 1),
            "sum does not fit",
        ),
        (
            text.replacen("\"canvascart-backup\":1", "\"canvascart-backup\":9", 1),
            "form is 9",
        ),
    ] {
        let spoilt = directory.0.join("spoilt.json").display().to_string();
        std::fs::write(&spoilt, bad).unwrap();
        let output = begin_anew(&fleet, 0, &["--backup", &spoilt, "--yes"]);
        assert!(
            output.status.code() == Some(5) && words(&output).contains(says),
            "{says}: {}",
            words(&output)
        );
        assert!(words(&output).contains("spoilt.json"), "{}", words(&output));
    }
    let done = begin_anew(&fleet, 0, &["--backup", &file, "--yes"]);
    assert_eq!(done.status.code(), Some(0), "{}", words(&done));
    (0..5).for_each(|i| fleet.start(i).unwrap());
    fleet.ready().unwrap();
    assert!(
        (0..5).all(|i| limit(&fleet, i) == 2001),
        "what came after the backup is lost, as it said"
    );
    assert_eq!(set(&fleet, 3, 2005, "").0, 200);
    assert_eq!(fleet.status(0).unwrap()["here"]["version"], 1_000_001);
}

#[test]
fn a_damaged_log_is_told_of_and_left_alone() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let hurt = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(hurt);
    let log = fleet.state(hurt).join("cluster.redb");
    let mut bytes = std::fs::read(&log).unwrap();
    for at in (0..bytes.len()).step_by(97) {
        bytes[at] ^= 0x5a;
    }
    std::fs::write(&log, &bytes).unwrap();
    let config = fleet.config(hurt).display().to_string();
    let ran = canvascart(&["serve", "--config", &config]);
    assert_eq!(ran.status.code(), Some(3), "{}", words(&ran));
    assert!(words(&ran).contains("cluster"), "{}", words(&ran));
    assert_eq!(std::fs::read(&log).unwrap(), bytes, "it is left as it was");
    assert_eq!(set(&fleet, leader, 2001, "").0, 200, "the others go on");
    std::fs::remove_dir_all(fleet.state(hurt)).unwrap();
    fleet.start(hurt).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, hurt), 2001);
}
