//! Clusters whose stored state is lost, outdated or damaged: the state recovered, the member ids, and the reports.
mod cluster_fixture;

use std::path::Path;
use std::process::{Command, Output};

use cluster_fixture::{Directory, SHORT_LEASES, command, fleet, limit, set_limit, settled_voters};
use lab::service::fleet::Fleet;

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn member_id(fleet: &Fleet, at: usize, of: usize) -> u64 {
    let status = fleet.status(at).unwrap();
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

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

fn restore(fleet: &Fleet, i: usize, extra_arguments: &[&str]) -> Output {
    let config = fleet.config(i).display().to_string();
    canvascart(
        &[
            &["cluster", "restore", "--config", &config],
            extra_arguments,
        ]
        .concat(),
    )
}

/// Guards against a second vote: a voter with an older copy of its disk has forgotten votes that it gave.
#[test]
fn voter_with_an_outdated_disk_is_detected_and_rejoins_under_a_new_id() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let old = settled_voters(&fleet)
        .into_iter()
        .find(|i| *i != leader)
        .unwrap();
    let before = member_id(&fleet, leader, old);
    assert_eq!(set_limit(&fleet, leader, 2001, "").0, 200);
    fleet.kill(old);
    let old_copy = directory.0.join("old-copy");
    copy(fleet.state(old), &old_copy);
    fleet.start(old).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        member_id(&fleet, leader, old),
        before,
        "the member id changed although the disk is current"
    );
    assert_eq!(set_limit(&fleet, leader, 2002, "").0, 200);
    fleet.kill(old);
    std::fs::remove_dir_all(fleet.state(old)).unwrap();
    copy(&old_copy, fleet.state(old));
    std::fs::remove_file(fleet.state(old).join("alive")).unwrap(); // the `alive` file of the old copy is not valid now
    fleet.start(old).unwrap();
    assert!(!fleet.is_up(old), "the member serves the old configuration");
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, old), 2002);
    assert!(
        member_id(&fleet, leader, old) > before,
        "the member kept its old id: {}\nits log: {}\nthe leader's log: {}",
        fleet.status(old).unwrap(),
        fleet.log(old),
        fleet.log(leader)
    );
    assert_eq!(fleet.status(old).unwrap()["here"]["put-back"], true);
    assert!(
        fleet
            .log(old)
            .contains("older than what this member has acknowledged"),
        "{}",
        fleet.log(old)
    );
    assert_eq!(set_limit(&fleet, old, 2003, "").0, 200);
}

#[test]
fn cluster_is_restored_from_a_survivor_and_rejects_members_of_the_former_cluster() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let votes = settled_voters(&fleet);
    let non_voters: Vec<usize> = (0..5).filter(|i| !votes.contains(i)).collect();
    let (survivor, late) = (non_voters[0], non_voters[1]);
    for n in 2001..2004 {
        assert_eq!(set_limit(&fleet, leader, n, "").0, 200);
    }
    fleet
        .wait("the survivor to reach the version", |f| {
            f.status(survivor).unwrap()["here"]["decides"] == 4
        })
        .unwrap();
    let running = restore(&fleet, survivor, &["--yes"]);
    assert_eq!(
        running.status.code(),
        Some(5),
        "a running instance was restored: {}",
        output_text(&running)
    );
    (0..5).for_each(|i| fleet.kill(i));
    votes
        .iter()
        .for_each(|i| std::fs::remove_dir_all(fleet.state(*i)).unwrap());
    let preview = restore(&fleet, survivor, &[]);
    assert!(
        output_text(&preview).contains("4 before, 1000000 afterwards")
            && output_text(&preview).contains("--yes"),
        "{preview:?}"
    );
    assert_eq!(restore(&fleet, survivor, &["--yes"]).status.code(), Some(0));
    fleet.start(survivor).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        limit(&fleet, survivor),
        2003,
        "state of the survivor was lost"
    );
    votes.iter().for_each(|i| fleet.start(*i).unwrap());
    fleet.ready().unwrap();
    assert_eq!(set_limit(&fleet, votes[0], 2004, "").0, 200);
    assert!(votes.iter().all(|i| limit(&fleet, *i) == 2004));
    let status = fleet.status(survivor).unwrap();
    assert_eq!(
        status["here"]["version"], 1_000_001,
        "a version from before the restore is used again: {status}"
    );
    // An instance with its old directory belongs to the former cluster.
    fleet.start(late).unwrap();
    let fence_reason = |f: &Fleet| {
        f.status(late).unwrap()["here"]["fenced"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    fleet
        .wait("the reported reason", |f| {
            fence_reason(f).contains("as after a restore")
        })
        .unwrap();
    assert!(!fleet.is_up(late));
    fleet.kill(late);
    std::fs::remove_dir_all(fleet.state(late)).unwrap();
    fleet.start(late).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, late), 2004);
}

#[test]
fn cluster_is_restored_from_an_intact_backup_when_all_disks_are_lost() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    assert_eq!(set_limit(&fleet, 1, 2001, "").0, 200);
    let (file, token) = (directory.0.join("backup.json"), directory.0.join("token"));
    std::fs::write(&token, fleet.token().unwrap()).unwrap();
    let (file, token) = (file.display().to_string(), token.display().to_string());
    let url = format!("http://{}", fleet.admin(2).unwrap());
    let backup = canvascart(&[
        "cluster",
        "backup",
        "--url",
        &url,
        "--token-file",
        &token,
        "-o",
        &file,
    ]);
    assert_eq!(backup.status.code(), Some(0), "{}", output_text(&backup));
    assert_eq!(set_limit(&fleet, 1, 2002, "").0, 200);
    (0..5).for_each(|i| fleet.kill(i));
    let in_use = restore(&fleet, 0, &["--backup", &file, "--yes"]);
    assert!(
        in_use.status.code() == Some(5) && output_text(&in_use).contains("empty directory"),
        "{}",
        output_text(&in_use)
    );
    (0..5).for_each(|i| std::fs::remove_dir_all(fleet.state(i)).unwrap());
    let text = std::fs::read_to_string(&file).unwrap();
    for (bad, expected) in [
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
        let damaged_backup = directory.0.join("damaged.json").display().to_string();
        std::fs::write(&damaged_backup, bad).unwrap();
        let output = restore(&fleet, 0, &["--backup", &damaged_backup, "--yes"]);
        assert!(
            output.status.code() == Some(5) && output_text(&output).contains(expected),
            "{expected}: {}",
            output_text(&output)
        );
        assert!(
            output_text(&output).contains("damaged.json"),
            "{}",
            output_text(&output)
        );
    }
    let restored = restore(&fleet, 0, &["--backup", &file, "--yes"]);
    assert_eq!(
        restored.status.code(),
        Some(0),
        "{}",
        output_text(&restored)
    );
    (0..5).for_each(|i| fleet.start(i).unwrap());
    fleet.ready().unwrap();
    assert!(
        (0..5).all(|i| limit(&fleet, i) == 2001),
        "the state is not that of the backup"
    );
    assert_eq!(set_limit(&fleet, 3, 2005, "").0, 200);
    assert_eq!(fleet.status(0).unwrap()["here"]["version"], 1_000_001);
}

#[test]
fn damaged_log_is_reported_and_not_modified() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let damaged = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(damaged);
    let log = fleet.state(damaged).join("cluster.redb");
    let mut bytes = std::fs::read(&log).unwrap();
    for at in (0..bytes.len()).step_by(97) {
        bytes[at] ^= 0x5a;
    }
    std::fs::write(&log, &bytes).unwrap();
    let config = fleet.config(damaged).display().to_string();
    let run = canvascart(&["serve", "--config", &config]);
    assert_eq!(run.status.code(), Some(3), "{}", output_text(&run));
    assert!(
        output_text(&run).contains("cluster"),
        "{}",
        output_text(&run)
    );
    assert_eq!(
        std::fs::read(&log).unwrap(),
        bytes,
        "the damaged log was modified"
    );
    assert_eq!(
        set_limit(&fleet, leader, 2001, "").0,
        200,
        "the other instances stopped accepting changes"
    );
    std::fs::remove_dir_all(fleet.state(damaged)).unwrap();
    fleet.start(damaged).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, damaged), 2001);
}
