//! Clusters of several processes: configuration changes, leases and membership under process and network faults.
mod cluster_fixture;

use std::net::TcpListener;
use std::process::Command;
use std::time::{Duration, Instant};

use cluster_fixture::{
    Directory, SHORT_LEASES, command, fleet, limit, set_limit, settled_voters, voters,
};
use lab::net::Mode;
use lab::service::HttpConnection;
use lab::service::changes::{
    ChangeOutcome, DecisionLog, InjectedFault, RunOptions, boot_clock_us, find_version_regressions,
    run, start_server,
};
use lab::service::fleet::Fleet;
use serde_json::{Value, json};

#[test]
fn change_at_any_instance_is_visible_at_all() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    for (i, n) in (0..5).zip(2001..) {
        let (status, body) = set_limit(&fleet, i, n, "");
        assert_eq!(status, 200, "{body}");
        assert!(
            (0..5).all(|other| limit(&fleet, other) == n),
            "after the change at instance {i}"
        );
    }
    let (first, repeated) = (
        set_limit(&fleet, 1, 3000, "Idempotency-Key: k\r\n"),
        set_limit(&fleet, 2, 3000, "Idempotency-Key: k\r\n"),
    );
    assert_eq!(
        first, repeated,
        "an idempotency key was not recognized at another instance"
    );
    let status = fleet.status(3).unwrap();
    assert_eq!(status["leader"]["members"].as_array().unwrap().len(), 5);
    // A member of another zone gets its vote before the member that it replaces loses it.
    fleet
        .wait("three voters", |f| voters(f).len() == 3)
        .unwrap();
    // The leader knows a member's version from the member's last report, and a change takes effect before the next
    // report.
    let same_version = |f: &Fleet| {
        let status = f.status(3).unwrap();
        let members = status["leader"]["members"].as_array().unwrap().clone();
        let version = &status["leader"]["version"];
        members.len() == 5 && members.iter().all(|m| m["version"] == *version)
    };
    let same_version_reported = fleet.wait("all members to report the same version", same_version);
    assert!(
        same_version_reported.is_ok(),
        "{}",
        fleet.status(3).unwrap()
    );
}

/// Guards against decisions under an old version by an instance that was paused during a change.
#[test]
fn paused_instance_delays_a_change_for_its_lease_and_does_not_decide_when_resumed() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let paused = (0..5).find(|i| *i != leader).unwrap();
    fleet.pause(paused, true);
    let began = Instant::now();
    let (status, body) = set_limit(&fleet, leader, 2001, "");
    assert_eq!(status, 200, "{body}");
    assert!(
        began.elapsed() > Duration::from_millis(500),
        "the change did not wait for the lease of the paused instance: {:?}",
        began.elapsed()
    );
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    fleet.link(leader, paused, Mode::Hold);
    fleet.pause(paused, false);
    assert!(
        !fleet.is_up(paused),
        "the resumed instance decides although its lease has expired"
    );
    fleet.link(leader, paused, Mode::Pass);
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, paused), 2001);
}

#[test]
fn drain_ends_new_requests_within_a_second_while_the_change_waits_for_a_lease() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    let old = DecisionLog::default();
    let (first, second) = (
        start_server(&old).unwrap(),
        start_server(&DecisionLog::default()).unwrap(),
    );
    for (name, at) in [("old", first), ("new", second)] {
        let body =
            json!({ "name": name, "address": at.to_string(), "size": 8, "warm": true }).to_string();
        let target = format!("/v1/tenants/a/servers/{name}");
        let (status, response_body) = fleet
            .admin_connection(0)
            .unwrap()
            .call("PUT", &target, "If-Match: *\r\n", &body)
            .unwrap();
        let (status, response_body) = match status {
            412 => fleet
                .admin_connection(0)
                .unwrap()
                .call("PUT", &target, "", &body)
                .unwrap(),
            _ => (status, response_body),
        };
        assert!(
            (200..300).contains(&status),
            "{status}: {}",
            String::from_utf8_lossy(&response_body)
        );
    }
    let leader = fleet.leader().unwrap();
    let paused = (0..5).find(|i| *i != leader).unwrap();
    let send_lookups = |fleet: &Fleet| {
        for i in (0..5).filter(|i| *i != paused) {
            let mut line = HttpConnection::new(fleet.public(i).unwrap(), "X-Tenant-Id: a\r\n");
            (0..20).for_each(|_| assert_eq!(line.call("GET", "/lookup/1", "", "").unwrap().0, 200));
        }
    };
    send_lookups(&fleet);
    assert!(
        !old.sorted().is_empty(),
        "the server got no requests before the drain"
    );
    fleet.pause(paused, true);
    let mut line = fleet.admin_connection(leader).unwrap();
    let (asked_at, called_at) = (boot_clock_us(), std::time::Instant::now());
    let drain_call = std::thread::spawn(move || {
        let called = line
            .call(
                "POST",
                "/v1/tenants/a/servers/old/drain",
                "If-Match: *\r\n",
                "",
            )
            .unwrap();
        (called, called_at.elapsed())
    });
    std::thread::sleep(Duration::from_millis(250));
    send_lookups(&fleet);
    let late: Vec<_> = old
        .sorted()
        .into_iter()
        .filter(|d| d.at > asked_at + 250_000)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    let ((status, response_body), elapsed) = drain_call.join().unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&response_body));
    assert!(
        elapsed > Duration::from_millis(500),
        "the change did not wait for a lease: {elapsed:?}"
    );
    fleet.pause(paused, false);
}

/// Guards against a call that is lost, or applied again by its idempotency key, when the leader dies during the change.
#[test]
fn change_in_progress_is_applied_once_when_the_leader_dies() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
    // Messages of one instance are held, so that the change waits for its lease; then the leader is killed.
    (0..5).for_each(|to| fleet.link(others[0], to, Mode::Hold));
    let mut line = fleet.admin_connection(others[1]).unwrap();
    let pending_call = std::thread::spawn(move || {
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
    let (status, body) = pending_call.join().unwrap();
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    assert!(others.iter().all(|i| limit(&fleet, *i) == 2001));
    let (status, repeated) = set_limit(&fleet, others[2], 2001, "Idempotency-Key: once\r\n");
    assert_eq!(
        (status, serde_json::from_slice::<Value>(&body).unwrap()),
        (200, repeated)
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
fn call_waits_for_a_change_that_a_former_leader_began() {
    let directory = Directory::new();
    let mut fleet = fleet(
        &directory,
        5,
        &SHORT_LEASES.replace("2 s", "4 s").replace("8 s", "16 s"),
    );
    let votes = settled_voters(&fleet);
    let leader = fleet.leader().unwrap();
    let mut others: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
    others.sort_by_key(|i| votes.contains(i)); // an instance without a vote is isolated first, so that another can lead
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
    fleet
        .wait("the change to be in progress", under_way)
        .unwrap();
    fleet.kill(leader);
    let has_leader = |f: &Fleet| f.status(others[2]).unwrap()["leader"]["name"].is_string();
    fleet
        .wait("another leader", |f| has_leader(f) && under_way(f))
        .unwrap_or_else(|e| panic!("{e}: {votes:?}, then {}", fleet.status(others[2]).unwrap()));
    assert_eq!(
        set_limit(&fleet, others[2], 2002, "").0,
        200,
        "the change was rejected because of the earlier one"
    );
    assert_eq!(first.join().unwrap(), 200);
    assert!(others[1..].iter().all(|i| limit(&fleet, *i) == 2002));
    fleet.isolate(others[0], Mode::Pass);
    fleet.start(leader).unwrap();
    fleet.ready().unwrap();
}

/// Guards against a reelected leader that accepts no changes because its earlier proposal was lost.
#[test]
fn former_leader_whose_proposal_was_lost_accepts_changes_when_reelected() {
    let directory = Directory::new();
    // The lease is longer than an election, as a member that is not heard for the length of a lease loses its vote.
    let settings = SHORT_LEASES.replace("2 s", "6 s").replace("8 s", "16 s");
    let fleet = fleet(&directory, 5, &settings);
    settled_voters(&fleet);
    let first = fleet.leader().unwrap();
    let other = (0..5).find(|i| *i != first).unwrap();
    fleet.isolate(first, Mode::Cut);
    let mut line = fleet.admin_connection(first).unwrap();
    let pending_call = std::thread::spawn(move || {
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\n",
            "{ \"in-flight\": 2001 }",
        )
        .unwrap()
    });
    fleet
        .wait("another leader", |f| {
            let leads = f
                .status(other)
                .ok()
                .and_then(|s| s["leader"]["name"].as_str().map(str::to_owned));
            leads.is_some_and(|name| name != f.name(first))
        })
        .unwrap();
    fleet.isolate(first, Mode::Pass);
    let (status, response_body) = pending_call.join().unwrap();
    assert_eq!(
        status,
        200,
        "the call was not forwarded: {}",
        String::from_utf8_lossy(&response_body)
    );
    let body = json!({ "to": fleet.name(first) }).to_string();
    fleet
        .wait("the former leader to lead again", |f| {
            let _ =
                f.admin_connection(other)
                    .unwrap()
                    .call("POST", "/v1/cluster/step-down", "", &body); // repeated until the member has caught up
            f.leader() == Some(first)
        })
        .unwrap_or_else(|e| panic!("{e}: {}", fleet.status(other).unwrap()));
    assert_eq!(set_limit(&fleet, first, 2002, "").0, 200);
    assert_eq!(limit(&fleet, other), 2002);
}

#[test]
fn partitions_that_both_get_changes_agree_after_healing() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let votes = settled_voters(&fleet);
    // The leader is partitioned from the other voters, together with the members without a vote.
    let (minority, majority): (Vec<usize>, Vec<usize>) =
        (0..5).partition(|i| *i == leader || !votes.contains(i));
    let links = |mode| {
        for (a, b) in minority
            .iter()
            .flat_map(|a| majority.iter().map(move |b| (*a, *b)))
        {
            fleet.link(a, b, mode);
            fleet.link(b, a, mode);
        }
    };
    links(Mode::Cut);
    let mut line = fleet.admin_connection(leader).unwrap();
    let pending_call = std::thread::spawn(move || {
        line.call(
            "PUT",
            "/v1/tenants/a/limits",
            "If-Match: *\r\n",
            "{ \"in-flight\": 2001 }",
        )
        .unwrap()
    });
    assert_eq!(
        set_limit(&fleet, majority[0], 2002, "").0,
        200,
        "the majority of voters stopped accepting changes"
    );
    fleet
        .wait("the leases of the minority to expire", |f| {
            minority.iter().all(|i| !f.is_up(*i))
        })
        .unwrap();
    links(Mode::Pass);
    fleet.ready().unwrap();
    let (status, response_body) = pending_call.join().unwrap();
    assert_eq!(
        status,
        200,
        "the change was not retried at the new leader: {}",
        String::from_utf8_lossy(&response_body)
    );
    assert!(
        (0..5).all(|i| limit(&fleet, i) == 2001),
        "the retried change was not applied last"
    );
    let versions = fleet
        .admin_connection(minority[0])
        .unwrap()
        .json("GET", "/v1/versions", "", &Value::Null)
        .unwrap();
    assert_eq!(versions["items"].as_array().unwrap().len(), 3, "{versions}");
}

#[test]
fn member_behind_a_compacted_log_is_restored_from_a_snapshot() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, &format!("{SHORT_LEASES}\nlog-entries = 16"));
    let leader = fleet.leader().unwrap();
    let lagging = (0..5).find(|i| *i != leader).unwrap();
    fleet.isolate(lagging, Mode::Cut);
    // The listeners of the isolated instance change in the meantime.
    let (text, before) = (
        std::fs::read_to_string(fleet.config(lagging)).unwrap(),
        fleet.public(lagging),
    );
    let more = "[[listener]]\nname = \"more\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"header\"\n";
    std::fs::write(
        fleet.config(lagging),
        text.replacen("[[listener]]", &format!("{more}[[listener]]"), 1),
    )
    .unwrap();
    let id = fleet.process_id(lagging).unwrap().to_string();
    assert!(
        Command::new("kill")
            .args(["-s", "HUP", &id])
            .status()
            .unwrap()
            .success()
    );
    fleet
        .wait("the new listener", |f| f.public(lagging) != before)
        .unwrap();
    for n in 2001..2041 {
        assert_eq!(set_limit(&fleet, leader, n, "").0, 200);
    }
    fleet.isolate(lagging, Mode::Pass);
    fleet.ready().unwrap(); // checked at the new listener
    assert_eq!(limit(&fleet, lagging), 2040);
    let log = fleet.log(lagging);
    assert!(log.contains("restored from snapshot"), "{log}");
    let figures = fleet
        .admin_connection(lagging)
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
fn voter_with_a_slow_disk_delays_changes_by_a_lease_at_most() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let slow = settled_voters(&fleet)
        .into_iter()
        .find(|i| *i != leader)
        .unwrap();
    fleet
        .set_failpoints(slow, "cluster-log=sleep(2000)")
        .unwrap();
    for n in 2001..2004 {
        let began = Instant::now();
        assert_eq!(set_limit(&fleet, leader, n, "").0, 200);
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "the change waited for longer than a lease: {:?}",
            began.elapsed()
        );
    }
    fleet.set_failpoints(slow, "").unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, slow), 2003);
}

#[test]
#[cfg(feature = "failpoints")]
fn change_in_a_newer_format_is_given_up_and_names_the_member_that_cannot_read_it() {
    let directory = Directory::new();
    let fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    fleet
        .set_failpoints(leader, "agreed-form=return(2)")
        .unwrap();
    let (status, body) = set_limit(&fleet, leader, 2001, "");
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
    // The same call at an instance that writes a format that all members can read.
    fleet.set_failpoints(leader, "").unwrap();
    assert_eq!(set_limit(&fleet, older, 2001, "").0, 200);
    assert!((0..5).all(|i| limit(&fleet, i) == 2001));
}

/// Counts the violations that the judge finds when one instance runs with a fault while the others change their version.
#[cfg(feature = "failpoints")]
fn count_violations(fault: &str, cut: bool) -> usize {
    let directory = Directory::new();
    let ledger = DecisionLog::default();
    let (command, at) = (command(), start_server(&ledger).unwrap());
    let settings = RunOptions {
        command: &command,
        instances: 5,
        changes: 0,
        cluster: SHORT_LEASES,
        seed: 1,
        dir: &directory.0,
        injected_fault: InjectedFault::None,
    };
    let fleet = lab::service::changes::start_fleet(&settings, at).unwrap();
    let leader = fleet.leader().unwrap();
    let faulty = (0..5).find(|i| *i != leader).unwrap();
    if !fault.is_empty() {
        fleet.set_failpoints(faulty, fault).unwrap();
    }
    let stop = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|threads| {
        for i in [leader, faulty] {
            let (to, stop) = (fleet.public(i).unwrap(), &stop);
            threads.spawn(move || {
                let mut line = HttpConnection::new(to, "X-Tenant-Id: a\r\n");
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    let _ = line.call("GET", "/lookup/1", "", ""); // the server records the version of the decision
                    std::thread::sleep(Duration::from_millis(1));
                }
            });
        }
        if cut {
            fleet.isolate(faulty, Mode::Cut);
        }
        assert_eq!(set_limit(&fleet, leader, 2001, "").0, 200);
        std::thread::sleep(Duration::from_millis(600));
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    find_version_regressions(&ledger.sorted()).len()
}

#[test]
#[cfg(feature = "failpoints")]
fn judge_detects_an_instance_that_ignores_its_lease_or_reports_closing_too_early() {
    // `right-kept` is set as well, because an instance gives its right to decide back with the first report after its
    // lease, which is part of respecting the lease.
    assert!(count_violations("lease-ignored=return\nright-kept=return", true) > 0);
    assert!(
        count_violations(
            "closed-too-early=return\nclosed-late=sleep(400)\nright-kept=return",
            false
        ) > 0
    );
    assert_eq!(
        (count_violations("", true), count_violations("", false)),
        (0, 0)
    );
}

#[test]
fn change_is_given_up_and_names_the_isolated_instance_if_isolated_instances_serve() {
    let directory = Directory::new();
    let fleet = fleet(
        &directory,
        5,
        &format!("{SHORT_LEASES}\nwhen-cut-off = \"serve\""),
    );
    let leader = fleet.leader().unwrap();
    let cut = (0..5).find(|i| *i != leader).unwrap();
    fleet.isolate(cut, Mode::Cut);
    let (status, body) = set_limit(&fleet, leader, 2001, "");
    assert_eq!(
        (status, body["type"].as_str()),
        (409, Some("/problems/given-up")),
        "{body}"
    );
    assert!(
        body["detail"].as_str().unwrap().contains(fleet.name(cut)),
        "{body}"
    );
    assert!(fleet.is_up(cut), "the isolated instance stopped serving");
    fleet.isolate(cut, Mode::Pass);
    let (status, body) = set_limit(&fleet, cut, 2001, "");
    assert_eq!(status, 200, "{body}");
}

#[test]
fn instance_with_an_empty_disk_rejoins_as_a_new_member_and_a_removed_one_is_rejected() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let leader = fleet.leader().unwrap();
    let replaced_instance = (0..5).find(|i| *i != leader && *i != 0).unwrap();
    assert_eq!(set_limit(&fleet, leader, 2001, "").0, 200);
    let id = |fleet: &Fleet| {
        let status = fleet.status(leader).unwrap();
        let members = status["leader"]["members"].as_array().unwrap().clone();
        members
            .iter()
            .find(|m| m["name"] == fleet.name(replaced_instance))
            .and_then(|m| m["id"].as_u64())
    };
    let before = id(&fleet).unwrap();
    fleet.kill(replaced_instance);
    std::fs::remove_dir_all(fleet.state(replaced_instance)).unwrap();
    fleet.start(replaced_instance).unwrap();
    fleet.ready().unwrap();
    assert_eq!(limit(&fleet, replaced_instance), 2001);
    assert!(
        id(&fleet).unwrap() > before,
        "the member kept its old id although its vote was lost"
    );

    let target = format!("/v1/cluster/members/{}", fleet.name(replaced_instance));
    fleet.isolate(replaced_instance, Mode::Cut);
    let (status, _) = fleet
        .admin_connection(leader)
        .unwrap()
        .call("DELETE", &target, "", "")
        .unwrap();
    assert_eq!(status, 200);
    assert_eq!(id(&fleet), None);
    fleet.isolate(replaced_instance, Mode::Pass);
    assert_eq!(set_limit(&fleet, leader, 2002, "").0, 200);
    assert!(
        !fleet.is_up(replaced_instance),
        "the removed member still serves"
    );
}

#[test]
fn without_a_majority_of_voters_no_instance_decides_beyond_its_lease() {
    let directory = Directory::new();
    let mut fleet = fleet(&directory, 5, SHORT_LEASES);
    let voters = settled_voters(&fleet);
    let non_voter = (0..5).find(|i| !voters.contains(i)).unwrap();
    voters[..2].iter().for_each(|i| fleet.kill(*i));
    assert!(fleet.is_up(non_voter), "the lease has already expired");
    fleet
        .wait("the lease to expire", |f| !f.is_up(non_voter))
        .unwrap();
    voters[..2].iter().for_each(|i| fleet.start(*i).unwrap());
    fleet.ready().unwrap();
    assert_eq!(set_limit(&fleet, non_voter, 2001, "").0, 200);
}

#[test]
fn changes_are_atomic_under_random_faults_and_the_judge_detects_late_decisions() {
    let (directory, command) = (Directory::new(), command());
    let mut settings = RunOptions {
        command: &command,
        instances: 5,
        changes: 8,
        cluster: SHORT_LEASES,
        seed: 5,
        dir: &directory.0,
        injected_fault: InjectedFault::None,
    };
    let result = run(&settings, |_| ()).unwrap();
    assert_eq!(result.violations, Vec::<String>::new());
    let done = result
        .changes
        .values()
        .filter(|k| matches!(k, Some(ChangeOutcome::Acknowledged(_))))
        .count();
    assert!(
        done >= 4 && result.decisions > 1000,
        "{done} of {:?}, {} decisions",
        result.changes,
        result.decisions
    );
    settings.changes = 3;
    settings.injected_fault = InjectedFault::LateDecisions;
    let result = run(&settings, |_| ()).unwrap();
    assert!(
        result.violations.iter().any(|b| b.contains("after")),
        "{result:?}"
    );
    assert!(find_version_regressions(&[]).is_empty());
}

#[test]
fn invalid_peer_data_is_counted_and_invalid_settings_name_the_key() {
    use std::io::{Read as _, Write as _};
    let directory = Directory::new();
    let fleet = fleet(&directory, 1, SHORT_LEASES);
    let own = fleet.status(0).unwrap();
    let peer_address = own["leader"]["members"][0]["address"]
        .as_str()
        .unwrap()
        .to_owned();
    for bytes in [
        vec![b'x'; 200],
        b"GET / HTTP/1.1\r\n\r\n".repeat(9),
        vec![0; 64],
    ] {
        let mut peer = std::net::TcpStream::connect(&peer_address).unwrap();
        peer.write_all(&bytes).unwrap();
        peer.set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let mut answer = Vec::new();
        let _ = peer.read_to_end(&mut answer); // a reset also ends the connection
        assert!(answer.is_empty());
    }
    fleet
        .wait("the counters", |f| {
            f.status(0).unwrap()["here"]["messages"][3] == 3
        })
        .unwrap();

    let text = std::fs::read_to_string(fleet.config(0)).unwrap();
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    for (invalid_config, expected) in [
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
        std::fs::write(&file, invalid_config).unwrap();
        let run = Command::new(&command()[0])
            .args(["serve", "--check", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(2), "{stderr}");
        assert!(
            stderr.contains(expected) && stderr.contains("bad.toml:"),
            "{expected}: {stderr}"
        );
    }
    let short = directory.0.join("short.key");
    std::fs::write(&short, "short").unwrap();
    let key = text.lines().find(|l| l.starts_with("key-file")).unwrap();
    let short_key_config = text.replace(
        key,
        &format!("key-file = {:?}", short.display().to_string()),
    );
    let occupied_port_config = text.replacen(
        "address = \"127.0.0.1:0\"\nzone",
        &format!("address = \"{}\"\nzone", occupied.local_addr().unwrap()),
        1,
    );
    let state = format!("{:?}", directory.0.join("other").display().to_string());
    for (invalid_config, expected) in [
        (short_key_config, "16 bytes"),
        (occupied_port_config, "in use"),
    ] {
        let file = directory.0.join("bad.toml");
        let own = format!("{:?}", fleet.state(0).display().to_string());
        std::fs::write(&file, invalid_config.replace(&own, &state)).unwrap();
        let run = Command::new(&command()[0])
            .args(["serve", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(3), "{stderr}");
        assert!(stderr.contains(expected), "{expected}: {stderr}");
    }
}
