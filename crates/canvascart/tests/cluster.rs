//! Several processes of the program that act as one, with faults between them.
mod together;

use std::net::TcpListener;
use std::process::Command;
use std::time::{Duration, Instant};

use lab::net::Mode;
use lab::service::HttpConnection;
use lab::service::changes::{
    ChangeOutcome, DecisionLog, InjectedFault, RunOptions, boot_clock_us, find_version_regressions,
    run, start_server,
};
use lab::service::fleet::Fleet;
use serde_json::{Value, json};
use together::{Directory, SOON, command, fleet, limit, set, settled_voters, voters};

#[test]
fn a_change_at_any_instance_is_seen_at_each() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    for (i, n) in (0..5).zip(2001..) {
        let (status, body) = set(&fleet, i, n, "");
        assert_eq!(status, 200, "{body}");
        assert!(
            (0..5).all(|other| limit(&fleet, other) == n),
            "after change at {i}"
        );
    }
    let (first, again) = (
        set(&fleet, 1, 3000, "Idempotency-Key: k\r\n"),
        set(&fleet, 2, 3000, "Idempotency-Key: k\r\n"),
    );
    assert_eq!(
        first, again,
        "the same call at another instance is the same call"
    );
    let status = fleet.status(3).unwrap();
    assert_eq!(status["leader"]["members"].as_array().unwrap().len(), 5);
    // One of another zone gets its vote before the one that it replaces loses it.
    fleet
        .wait("three that vote", |f| voters(f).len() == 3)
        .unwrap();
    // The leader knows a member's version from its last report: a change is in effect before the next one.
    let same_version = |f: &Fleet| {
        let status = f.status(3).unwrap();
        let members = status["leader"]["members"].as_array().unwrap().clone();
        let version = &status["leader"]["version"];
        members.len() == 5 && members.iter().all(|m| m["version"] == *version)
    };
    let known = fleet.wait("all report one version", same_version);
    assert!(known.is_ok(), "{}", fleet.status(3).unwrap());
}

#[test]
fn one_that_stands_still_is_passed_after_its_lease_and_decides_nothing_when_it_wakes() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let still = (0..5).find(|i| *i != leader).unwrap();
    fleet.pause(still, true);
    let began = Instant::now();
    let (status, body) = set(&fleet, leader, 2001, "");
    assert_eq!(status, 200, "{body}");
    assert!(
        began.elapsed() > Duration::from_millis(500),
        "its lease ran: {:?}",
        began.elapsed()
    );
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    fleet.link(leader, still, Mode::Hold);
    fleet.pause(still, false);
    assert!(!fleet.is_up(still), "its lease has run out");
    fleet.link(leader, still, Mode::Pass);
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, still), 2001);
}

#[test]
fn a_drain_ends_new_work_within_a_second_though_the_change_has_to_wait() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    let old = DecisionLog::default();
    let (first, second) = (
        start_server(&old).unwrap(),
        start_server(&DecisionLog::default()).unwrap(),
    );
    for (name, at) in [("old", first), ("new", second)] {
        let body =
            json!({ "name": name, "address": at.to_string(), "size": 8, "warm": true }).to_string();
        let target = format!("/v1/tenants/a/servers/{name}");
        let (status, said) = fleet
            .admin_connection(0)
            .unwrap()
            .call("PUT", &target, "If-Match: *\r\n", &body)
            .unwrap();
        let (status, said) = match status {
            412 => fleet
                .admin_connection(0)
                .unwrap()
                .call("PUT", &target, "", &body)
                .unwrap(),
            _ => (status, said),
        };
        assert!(
            (200..300).contains(&status),
            "{status}: {}",
            String::from_utf8_lossy(&said)
        );
    }
    let leader = fleet.leader().unwrap();
    let still = (0..5).find(|i| *i != leader).unwrap();
    let asks = |fleet: &Fleet| {
        for i in (0..5).filter(|i| *i != still) {
            let mut line = HttpConnection::new(fleet.public(i).unwrap(), "X-Tenant-Id: a\r\n");
            (0..20).for_each(|_| assert_eq!(line.call("GET", "/lookup/1", "", "").unwrap().0, 200));
        }
    };
    asks(&fleet);
    assert!(!old.sorted().is_empty(), "it takes work");
    fleet.pause(still, true);
    let mut line = fleet.admin_connection(leader).unwrap();
    let (asked, told) = (boot_clock_us(), std::time::Instant::now());
    let drains = std::thread::spawn(move || {
        let called = line
            .call(
                "POST",
                "/v1/tenants/a/servers/old/drain",
                "If-Match: *\r\n",
                "",
            )
            .unwrap();
        (called, told.elapsed())
    });
    std::thread::sleep(Duration::from_millis(250));
    asks(&fleet);
    let late: Vec<_> = old
        .sorted()
        .into_iter()
        .filter(|d| d.at > asked + 250_000)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    let ((status, said), took) = drains.join().unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&said));
    assert!(
        took > Duration::from_millis(500),
        "the change waited for a lease: {took:?}"
    );
    fleet.pause(still, false);
}

#[test]
fn the_one_that_leads_dies_with_a_change_under_way_and_the_call_is_done_once() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
    // One is not heard, so that the change waits for its lease; then the one that leads goes.
    (0..5).for_each(|to| fleet.link(others[0], to, Mode::Hold));
    let mut line = fleet.admin_connection(others[1]).unwrap();
    let asked = std::thread::spawn(move || {
        let body = json!({ "in-flight": 2001 }).to_string();
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\nIdempotency-Key: once\r\n",
            &body,
        )
        .unwrap()
    });
    std::thread::sleep(Duration::from_millis(300));
    fleet.kill(leader);
    (0..5).for_each(|to| fleet.link(others[0], to, Mode::Pass));
    let (status, body) = asked.join().unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    assert!(others.iter().all(|i| limit(&fleet, *i) == 2001));
    let (status, again) = set(&fleet, others[2], 2001, "Idempotency-Key: once\r\n");
    assert_eq!(
        (status, serde_json::from_slice::<Value>(&body).unwrap()),
        (200, again)
    );
    fleet.start(leader).unwrap();
    fleet.ready().unwrap();
    let versions = fleet
        .admin_connection(leader)
        .unwrap()
        .json("GET", "/v1/versions", "", &Value::Null)
        .unwrap();
    assert_eq!(versions["items"].as_array().unwrap().len(), 2, "{versions}");
}

#[test]
fn a_call_waits_for_a_change_that_a_former_leader_began() {
    let directory = Directory::new();
    let mut fleet = fleet(
        &directory,
        5,
        &SOON.replace("2 s", "4 s").replace("8 s", "16 s"),
    );
    let votes = settled_voters(&fleet);
    let leader = fleet.leader().unwrap();
    let mut others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
    others.sort_by_key(|i| votes.contains(i)); // one without a vote is held back, so that another can lead
    fleet.isolate(others[0], Mode::Hold);
    let mut line = fleet.admin_connection(others[1]).unwrap();
    let first = std::thread::spawn(move || {
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\n",
            "{ \"in-flight\": 2001 }",
        )
        .unwrap()
        .0
    });
    let under_way = |f: &Fleet| {
        f.status(others[2])
            .is_ok_and(|s| !s["leader"]["change"].is_null())
    };
    fleet.wait("the change", under_way).unwrap();
    fleet.kill(leader);
    let led = |f: &Fleet| f.status(others[2]).unwrap()["leader"]["name"].is_string();
    fleet
        .wait("another leads", |f| led(f) && under_way(f))
        .unwrap_or_else(|e| panic!("{e}: {votes:?}, then {}", fleet.status(others[2]).unwrap()));
    assert_eq!(
        set(&fleet, others[2], 2002, "").0,
        200,
        "it was not turned down for the other"
    );
    assert_eq!(first.join().unwrap(), 200);
    assert!(others[1..].iter().all(|i| limit(&fleet, *i) == 2002));
    fleet.isolate(others[0], Mode::Pass);
    fleet.start(leader).unwrap();
    fleet.ready().unwrap();
}

#[test]
fn one_that_led_and_lost_what_it_proposed_takes_changes_when_it_leads_again() {
    let directory = Directory::new();
    // Its lease outlasts the choice of another leader: one that is not heard for a lease loses its vote.
    let terms = SOON.replace("2 s", "6 s").replace("8 s", "16 s");
    let fleet = fleet(&directory, 5, &terms);
    settled_voters(&fleet);
    let first = fleet.leader().unwrap();
    let other = (0..5).find(|i| *i != first).unwrap();
    fleet.isolate(first, Mode::Cut);
    let mut line = fleet.admin_connection(first).unwrap();
    let asked = std::thread::spawn(move || {
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\n",
            "{ \"in-flight\": 2001 }",
        )
        .unwrap()
    });
    fleet
        .wait("another leads", |f| {
            let leads = f
                .status(other)
                .ok()
                .and_then(|s| s["leader"]["name"].as_str().map(str::to_owned));
            leads.is_some_and(|name| name != f.name(first))
        })
        .unwrap();
    fleet.isolate(first, Mode::Pass);
    let (status, said) = asked.join().unwrap();
    assert_eq!(
        status,
        200,
        "the call was passed on: {}",
        String::from_utf8_lossy(&said)
    );
    let body = json!({ "to": fleet.name(first) }).to_string();
    fleet
        .wait("it leads again", |f| {
            let _ =
                f.admin_connection(other)
                    .unwrap()
                    .call("POST", "/v1/cluster/step-down", "", &body); // until it has caught up
            f.leader() == Some(first)
        })
        .unwrap_or_else(|e| panic!("{e}: {}", fleet.status(other).unwrap()));
    assert_eq!(set(&fleet, first, 2002, "").0, 200);
    assert_eq!(limit(&fleet, other), 2002);
}

#[test]
fn halves_that_both_get_changes_agree_once_they_are_joined() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let votes = voters(&fleet);
    // The one that leads stands alone with those that have no vote.
    let (few, most): (Vec<usize>, Vec<usize>) =
        (0..5).partition(|i| *i == leader || !votes.contains(i));
    let links = |mode| {
        for (a, b) in few.iter().flat_map(|a| most.iter().map(move |b| (*a, *b))) {
            fleet.link(a, b, mode);
            fleet.link(b, a, mode);
        }
    };
    links(Mode::Cut);
    let mut line = fleet.admin_connection(leader).unwrap();
    let asked = std::thread::spawn(move || {
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\n",
            "{ \"in-flight\": 2001 }",
        )
        .unwrap()
    });
    assert_eq!(
        set(&fleet, most[0], 2002, "").0,
        200,
        "most of those who vote go on"
    );
    fleet
        .wait("leases' ends", |f| few.iter().all(|i| !f.is_up(*i)))
        .unwrap();
    links(Mode::Pass);
    fleet.ready().unwrap();
    let (status, said) = asked.join().unwrap();
    assert_eq!(
        status,
        200,
        "it was asked for again at the other: {}",
        String::from_utf8_lossy(&said)
    );
    assert!(
        (0..5).all(|i| limit(&fleet, i) == 2001),
        "and so came after"
    );
    let versions = fleet
        .admin_connection(few[0])
        .unwrap()
        .json("GET", "/v1/versions", "", &Value::Null)
        .unwrap();
    assert_eq!(versions["items"].as_array().unwrap().len(), 3, "{versions}");
}

#[test]
fn one_that_lags_behind_a_log_that_was_shortened_goes_on_from_a_snapshot() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, &format!("{SOON}\nlog-entries = 16"));
    let leader = fleet.leader().unwrap();
    let lags = (0..5).find(|i| *i != leader).unwrap();
    fleet.isolate(lags, Mode::Cut);
    // Its own listeners change meanwhile.
    let (text, before) = (
        std::fs::read_to_string(fleet.config(lags)).unwrap(),
        fleet.public(lags),
    );
    let more = "[[listener]]\nname = \"more\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"header\"\n";
    std::fs::write(
        fleet.config(lags),
        text.replacen("[[listener]]", &format!("{more}[[listener]]"), 1),
    )
    .unwrap();
    let id = fleet.process_id(lags).unwrap().to_string();
    assert!(
        Command::new("kill")
            .args(["-s", "HUP", &id])
            .status()
            .unwrap()
            .success()
    );
    fleet
        .wait("the other listener", |f| f.public(lags) != before)
        .unwrap();
    for n in 2001..2041 {
        assert_eq!(set(&fleet, leader, n, "").0, 200);
    }
    fleet.isolate(lags, Mode::Pass);
    fleet.ready().unwrap(); // at that listener
    assert_eq!(limit(&fleet, lags), 2040);
    let log = fleet.log(lags);
    assert!(log.contains("restored from snapshot"), "{log}");
    let figures = fleet
        .admin_connection(lags)
        .unwrap()
        .call("GET", "/v1/figures", "", "")
        .unwrap();
    let figures = String::from_utf8(figures.1).unwrap();
    assert!(
        figures.contains("canvascart_cluster_decides 1") && figures.contains("tenant=\"a\""),
        "{figures}"
    );
}

#[test]
#[cfg(feature = "failpoints")]
fn a_voter_with_a_slow_disk_holds_no_change_up_for_long() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let slow = voters(&fleet).into_iter().find(|i| *i != leader).unwrap();
    fleet
        .set_failpoints(slow, "cluster-log=sleep(2000)")
        .unwrap();
    for n in 2001..2004 {
        let began = Instant::now();
        assert_eq!(set(&fleet, leader, n, "").0, 200);
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "a lease is waited for at most: {:?}",
            began.elapsed()
        );
    }
    fleet.set_failpoints(slow, "").unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, slow), 2003);
}

#[test]
#[cfg(feature = "failpoints")]
fn a_change_of_a_newer_program_is_given_up_with_who_can_not_read_it() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    fleet
        .set_failpoints(leader, "agreed-form=return(2)")
        .unwrap();
    let (status, body) = set(&fleet, leader, 2001, "");
    assert_eq!(
        (status, body["type"].as_str()),
        (409, Some("/problems/given-up")),
        "{body}"
    );
    let detail = body["detail"].as_str().unwrap();
    let older = (0..5)
        .find(|i| *i != leader && detail.contains(fleet.name(*i)))
        .unwrap();
    assert!(
        detail.contains("its form is 2, and it knows 1") && !detail.contains(fleet.name(leader)),
        "{detail}"
    );
    // The same call of one that writes what all can read.
    fleet.set_failpoints(leader, "").unwrap();
    assert_eq!(set(&fleet, older, 2001, "").0, 200);
    assert!((0..5).all(|i| limit(&fleet, i) == 2001));
}

/// Decisions of one instance under a planted fault while the others go over to another version, as the judge sees them.
#[cfg(feature = "failpoints")]
fn judged(fault: &str, cut: bool) -> usize {
    let directory = Directory::new();
    let ledger = DecisionLog::default();
    let (command, at) = (command(), start_server(&ledger).unwrap());
    let terms = RunOptions {
        command: &command,
        instances: 5,
        changes: 0,
        cluster: SOON,
        seed: 1,
        dir: &directory.0,
        injected_fault: InjectedFault::None,
    };
    let fleet = lab::service::changes::start_fleet(&terms, at).unwrap();
    let leader = fleet.leader().unwrap();
    let wrong = (0..5).find(|i| *i != leader).unwrap();
    if !fault.is_empty() {
        fleet.set_failpoints(wrong, fault).unwrap();
    }
    let ends = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|threads| {
        for i in [leader, wrong] {
            let (to, ends) = (fleet.public(i).unwrap(), &ends);
            threads.spawn(move || {
                let mut line = HttpConnection::new(to, "X-Tenant-Id: a\r\n");
                while !ends.load(std::sync::atomic::Ordering::Relaxed) {
                    let _ = line.call("GET", "/lookup/1", "", ""); // the server notes what it was decided under
                    std::thread::sleep(Duration::from_millis(1));
                }
            });
        }
        if cut {
            fleet.isolate(wrong, Mode::Cut);
        }
        assert_eq!(set(&fleet, leader, 2001, "").0, 200);
        std::thread::sleep(Duration::from_millis(600));
        ends.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    find_version_regressions(&ledger.sorted()).len()
}

#[test]
#[cfg(feature = "failpoints")]
fn the_judge_sees_an_instance_that_ignores_its_lease_or_tells_too_early_that_it_has_closed() {
    // It gives its right back with the first report after its lease, and that is a part of looking at it.
    assert!(judged("lease-ignored=return\nright-kept=return", true) > 0);
    assert!(
        judged(
            "closed-too-early=return\nclosed-late=sleep(400)\nright-kept=return",
            false
        ) > 0
    );
    assert_eq!((judged("", true), judged("", false)), (0, 0));
}

#[test]
fn where_the_cut_off_serve_a_change_is_given_up_and_told_by_whom() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, &format!("{SOON}\nwhen-cut-off = \"serve\""));
    let leader = fleet.leader().unwrap();
    let cut = (0..5).find(|i| *i != leader).unwrap();
    fleet.isolate(cut, Mode::Cut);
    let (status, body) = set(&fleet, leader, 2001, "");
    assert_eq!(
        (status, body["type"].as_str()),
        (409, Some("/problems/given-up")),
        "{body}"
    );
    assert!(
        body["detail"].as_str().unwrap().contains(fleet.name(cut)),
        "{body}"
    );
    assert!(fleet.is_up(cut), "it serves on");
    fleet.isolate(cut, Mode::Pass);
    let (status, body) = set(&fleet, cut, 2001, "");
    assert_eq!(status, 200, "{body}");
}

#[test]
fn an_empty_disk_comes_back_as_a_new_member_and_a_removed_one_is_refused() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let leader = fleet.leader().unwrap();
    let lost = (0..5).find(|i| *i != leader && *i != 0).unwrap();
    assert_eq!(set(&fleet, leader, 2001, "").0, 200);
    let id = |fleet: &Fleet| {
        let status = fleet.status(leader).unwrap();
        let members = status["leader"]["members"].as_array().unwrap().clone();
        members
            .iter()
            .find(|m| m["name"] == fleet.name(lost))
            .and_then(|m| m["id"].as_u64())
    };
    let before = id(&fleet).unwrap();
    fleet.kill(lost);
    std::fs::remove_dir_all(fleet.state(lost)).unwrap();
    fleet.start(lost).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, lost), 2001);
    assert!(
        id(&fleet).unwrap() > before,
        "it never votes with a forgotten vote"
    );

    let target = format!("/v1/cluster/members/{}", fleet.name(lost));
    fleet.isolate(lost, Mode::Cut);
    let (status, _) = fleet
        .admin_connection(leader)
        .unwrap()
        .call("DELETE", &target, "", "")
        .unwrap();
    assert_eq!(status, 200);
    assert_eq!(id(&fleet), None);
    fleet.isolate(lost, Mode::Pass);
    assert_eq!(set(&fleet, leader, 2002, "").0, 200);
    assert!(!fleet.is_up(lost), "it is no member any more");
}

#[test]
fn without_most_of_those_who_vote_nothing_changes_and_nobody_decides_beyond_a_lease() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SOON);
    let voters = voters(&fleet);
    let left = (0..5).find(|i| !voters.contains(i)).unwrap();
    voters[..2].iter().for_each(|i| fleet.kill(*i));
    assert!(fleet.is_up(left), "its lease runs");
    fleet.wait("its lease's end", |f| !f.is_up(left)).unwrap();
    voters[..2].iter().for_each(|i| fleet.start(*i).unwrap());
    fleet.ready().unwrap();
    assert_eq!(set(&fleet, left, 2001, "").0, 200);
}

#[test]
fn under_faults_by_chance_no_change_is_half_taken_and_the_judge_sees_one_that_is() {
    let (directory, command) = (Directory::new(), command());
    let mut terms = RunOptions {
        command: &command,
        instances: 5,
        changes: 8,
        cluster: SOON,
        seed: 5,
        dir: &directory.0,
        injected_fault: InjectedFault::None,
    };
    let played = run(&terms, |_| ()).unwrap();
    assert_eq!(played.violations, Vec::<String>::new());
    let done = played
        .changes
        .values()
        .filter(|k| matches!(k, Some(ChangeOutcome::Acknowledged(_))))
        .count();
    assert!(
        done >= 4 && played.decisions > 1000,
        "{done} of {:?}, {} decisions",
        played.changes,
        played.decisions
    );
    terms.changes = 3;
    terms.injected_fault = InjectedFault::LateDecisions;
    let played = run(&terms, |_| ()).unwrap();
    assert!(
        played.violations.iter().any(|b| b.contains("after")),
        "{played:?}"
    );
    assert!(find_version_regressions(&[]).is_empty());
}

#[test]
fn a_peer_that_sends_rubbish_is_closed_and_counted_and_bad_files_name_the_key() {
    use std::io::{Read as _, Write as _};
    let directory = Directory::new();
    let fleet = fleet(&directory, 1, SOON);
    let own = fleet.status(0).unwrap();
    let links = own["leader"]["members"][0]["address"]
        .as_str()
        .unwrap()
        .to_owned();
    for bytes in [
        vec![b'x'; 200],
        b"GET / HTTP/1.1\r\n\r\n".repeat(9),
        vec![0; 64],
    ] {
        let mut peer = std::net::TcpStream::connect(&links).unwrap();
        peer.write_all(&bytes).unwrap();
        peer.set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let mut answer = Vec::new();
        let _ = peer.read_to_end(&mut answer); // a reset is an end as well
        assert!(answer.is_empty());
    }
    fleet
        .wait("the counts", |f| {
            f.status(0).unwrap()["here"]["messages"][3] == 3
        })
        .unwrap();

    let text = std::fs::read_to_string(fleet.config(0)).unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    for (bad, says) in [
        (
            text.replace("lease = \"2 s\"", "lease = \"9 s\""),
            "cluster.deadline",
        ),
        (
            text.replace("change-lease = \"1500 ms\"", "change-lease = \"3 s\""),
            "cluster.change-lease",
        ),
        (text.replace("zone = \"z0\"", "zone = 4"), "cluster.zone"),
        (text.replace("[state]\n", "[state]\nnothing = 1\n"), "state"),
        (
            text.replace("instance = \"i00\"", "instance = \"I\""),
            "cluster.instance",
        ),
    ] {
        let file = directory.0.join("bad.toml");
        std::fs::write(&file, bad).unwrap();
        let ran = Command::new(&command()[0])
            .args(["serve", "--check", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&ran.stderr).into_owned();
        assert_eq!(ran.status.code(), Some(2), "{said}");
        assert!(
            said.contains(says) && said.contains("bad.toml:"),
            "{says}: {said}"
        );
    }
    let short = directory.0.join("short.key");
    std::fs::write(&short, "short").unwrap();
    let key = text.lines().find(|l| l.starts_with("key-file")).unwrap();
    let links = text.replace(
        key,
        &format!("key-file = {:?}", short.display().to_string()),
    );
    let port = text.replacen(
        "address = \"127.0.0.1:0\"\nzone",
        &format!("address = \"{}\"\nzone", taken.local_addr().unwrap()),
        1,
    );
    let state = format!("{:?}", directory.0.join("other").display().to_string());
    for (bad, says) in [(links, "16 bytes"), (port, "in use")] {
        let file = directory.0.join("bad.toml");
        let own = format!("{:?}", fleet.state(0).display().to_string());
        std::fs::write(&file, bad.replace(&own, &state)).unwrap();
        let ran = Command::new(&command()[0])
            .args(["serve", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&ran.stderr).into_owned();
        assert_eq!(ran.status.code(), Some(3), "{said}");
        assert!(said.contains(says), "{says}: {said}");
    }
}
