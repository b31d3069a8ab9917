//! Runs in virtual time: rules kept on all that ships, the same bytes for one seed, and the world's laws.
use std::sync::Arc;

use lab::ledger::Ledger;
use lab::oracle::check_rules;
use lab::scenario::Scenario;
use lab::score::{Score, score};
use lab::shipped;
use lab::sim::{Sim, SimResult};

fn play(text: &str, seed: u64) -> (Arc<Scenario>, SimResult) {
    let s = Arc::new(Scenario::parse("test", text).unwrap_or_else(|e| panic!("{e}")));
    let played = Sim::new(s.clone(), seed, None).run();
    (s, played)
}

fn scored(s: &Scenario, p: &SimResult) -> Score {
    let served: Vec<_> = p.served.iter().map(|(at, _)| *at).collect();
    score(s, &p.requests, &served, &p.ledger)
}

fn shown(ledger: &Ledger) -> String {
    format!("{ledger:?}")
}

#[test]
fn all_that_ships_keeps_the_rules() {
    for (name, text) in shipped::ALL {
        for seed in [1, 2] {
            let (s, played) = play(text, seed);
            let broken = check_rules(&played.ledger, &s.rules, &s.proxies);
            assert!(broken.is_empty(), "{name} under {seed}: {}", broken[0]);
            assert!(!played.requests.is_empty());
        }
    }
}

#[test]
fn one_seed_gives_the_same_run_on_any_thread_and_another_seed_another() {
    let text = shipped::text("reset-storm").unwrap();
    let first = shown(&play(text, 5).1.ledger);
    let others: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..3)
            .map(|_| scope.spawn(|| shown(&play(text, 5).1.ledger)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("it ends"))
            .collect()
    });
    assert!(others.iter().all(|other| *other == first));
    assert_ne!(shown(&play(text, 6).1.ledger), first);
}

#[test]
fn a_fault_changes_nothing_before_it_begins() {
    let quiet = shipped::text("hung-server")
        .unwrap()
        .split("\n[[fault]]")
        .next()
        .unwrap()
        .to_owned();
    let ((_, with), (_, without)) = (
        play(shipped::text("hung-server").unwrap(), 3),
        play(&quiet, 3),
    );
    let before = |p: &SimResult| {
        let early = p.ledger.client_attempts.iter().filter(|t| t.sent < 3000.0);
        early
            .map(|t| format!("{:?}", t.attempts.first().map(|a| (a.server, a.sent))))
            .collect::<Vec<_>>()
    };
    assert_eq!(before(&with), before(&without));
    assert_ne!(shown(&with.ledger), shown(&without.ledger));
}

#[test]
fn a_quiet_fleet_serves_nearly_all_and_an_overloaded_one_what_it_can() {
    let quiet = shipped::text("quiet").unwrap();
    let (s, p) = play(quiet, 1);
    let calm = scored(&s, &p);
    assert!(calm.whole.share > 0.99 && calm.refused < 0.01, "{calm:?}");
    let (s, p) = play(&quiet.replace("45 %", "200 %"), 1);
    let over = scored(&s, &p);
    assert!(
        over.whole.share > 0.3 && over.whole.share < 0.8 && over.refused > 0.2,
        "{over:?}"
    );
    assert!(check_rules(&p.ledger, &s.rules, &s.proxies).is_empty());
}

#[test]
fn a_fleet_of_many_servers_keeps_the_rules_through_a_deploy() {
    let text = shipped::text("deploy-81").unwrap();
    let text = text
        .replace("servers = 12", "servers = 200")
        .replace("count = 3", "count = 20");
    let text = text
        .replace("length = \"30 s\"", "length = \"8 s\"")
        .replace("for = \"18 s\"", "for = \"4 s\"");
    let (s, p) = play(&text.replace("at = \"4 s\"", "at = \"2 s\""), 1);
    let broken = check_rules(&p.ledger, &s.rules, &s.proxies);
    assert!(broken.is_empty(), "{} of {}", broken[0], broken.len());
    assert!(
        p.ledger.notifications.iter().filter(|t| !t.up).count() > 100 * 20,
        "drains were told"
    );
}

/// Attempts that were over for their proxies before their servers had done them.
fn worked_on(played: &SimResult) -> usize {
    let attempts = played
        .ledger
        .client_attempts
        .iter()
        .flat_map(|t| &t.attempts);
    attempts
        .filter(|a| {
            a.ended
                .zip(a.ran)
                .is_some_and(|((ended, _), ran)| ended < ran)
        })
        .count()
}

#[test]
fn what_breaks_in_mid_work_is_worked_off_unless_a_break_spares_it() {
    let text = shipped::text("reset-in-work").unwrap();
    let answers = shipped::text("reset-overload").unwrap();
    let spared = text.replace("cancels = \"nothing\"", "cancels = \"all\"");
    // In all three some are given up when their clients' time is over; beyond those only breaks leave work behind.
    let [during, before, spared] = [text, answers, &spared].map(|text| worked_on(&play(text, 1).1));
    assert!(
        during > 3 * before.max(spared),
        "{during} in mid-work, {before} at answers, {spared} spared"
    );
    assert!(during > 50, "{during}");
}

#[test]
fn a_large_fleet_keeps_the_rules_and_serves_most_through_a_release_and_a_restart() {
    for (name, least) in [("fleet-release", 0.85), ("fleet-restart", 0.9)] {
        let (s, p) = play(shipped::text(name).unwrap(), 1);
        let share = scored(&s, &p).whole.share;
        assert!(share > least, "{name}: {share}");
        assert!(
            check_rules(&p.ledger, &s.rules, &s.proxies).is_empty(),
            "{name}"
        );
    }
}
