//! Simulation in virtual time: shipped scenarios violate no rule, runs are reproducible, and faults act as configured.
use std::sync::Arc;

use lab::ledger::Ledger;
use lab::oracle::check_rules;
use lab::scenario::Scenario;
use lab::score::{Score, score};
use lab::shipped;
use lab::sim::{Sim, SimResult};

fn simulate(text: &str, seed: u64) -> (Arc<Scenario>, SimResult) {
    let s = Arc::new(Scenario::parse("test", text).unwrap_or_else(|e| panic!("{e}")));
    let played = Sim::new(s.clone(), seed, None).run();
    (s, played)
}

fn score_of(s: &Scenario, p: &SimResult) -> Score {
    let served: Vec<_> = p.served.iter().map(|(at, _)| *at).collect();
    score(s, &p.requests, &served, &p.ledger)
}

fn debug_text(ledger: &Ledger) -> String {
    format!("{ledger:?}")
}

#[test]
fn shipped_scenarios_violate_no_rule() {
    for (name, text) in shipped::ALL {
        for seed in [1, 2] {
            let (s, played) = simulate(text, seed);
            let broken = check_rules(&played.ledger, &s.rules, &s.proxies);
            assert!(broken.is_empty(), "{name} under {seed}: {}", broken[0]);
            assert!(!played.requests.is_empty());
        }
    }
}

#[test]
fn same_seed_gives_the_same_run_on_any_thread_and_another_seed_differs() {
    let text = shipped::text("reset-storm").unwrap();
    let first = debug_text(&simulate(text, 5).1.ledger);
    let others: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..3)
            .map(|_| scope.spawn(|| debug_text(&simulate(text, 5).1.ledger)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("the run ends"))
            .collect()
    });
    assert!(others.iter().all(|other| *other == first));
    assert_ne!(debug_text(&simulate(text, 6).1.ledger), first);
}

#[test]
fn a_fault_has_no_effect_before_it_begins() {
    let quiet = shipped::text("hung-server")
        .unwrap()
        .split("\n[[fault]]")
        .next()
        .unwrap()
        .to_owned();
    let ((_, with), (_, without)) = (
        simulate(shipped::text("hung-server").unwrap(), 3),
        simulate(&quiet, 3),
    );
    let before = |p: &SimResult| {
        let early = p.ledger.client_attempts.iter().filter(|t| t.sent < 3000.0);
        early
            .map(|t| format!("{:?}", t.attempts.first().map(|a| (a.server, a.sent))))
            .collect::<Vec<_>>()
    };
    assert_eq!(before(&with), before(&without));
    assert_ne!(debug_text(&with.ledger), debug_text(&without.ledger));
}

#[test]
fn a_lightly_loaded_fleet_serves_nearly_all_requests_and_an_overloaded_one_a_part() {
    let quiet = shipped::text("quiet").unwrap();
    let (s, p) = simulate(quiet, 1);
    let calm = score_of(&s, &p);
    assert!(calm.whole.share > 0.99 && calm.refused < 0.01, "{calm:?}");
    let (s, p) = simulate(&quiet.replace("45 %", "200 %"), 1);
    let over = score_of(&s, &p);
    assert!(
        over.whole.share > 0.3 && over.whole.share < 0.8 && over.refused > 0.2,
        "{over:?}"
    );
    assert!(check_rules(&p.ledger, &s.rules, &s.proxies).is_empty());
}

#[test]
fn a_deploy_of_many_servers_violates_no_rule() {
    let text = shipped::text("deploy-81").unwrap();
    let text = text
        .replace("servers = 12", "servers = 200")
        .replace("count = 3", "count = 20");
    let text = text
        .replace("length = \"30 s\"", "length = \"8 s\"")
        .replace("for = \"18 s\"", "for = \"4 s\"");
    let (s, p) = simulate(&text.replace("at = \"4 s\"", "at = \"2 s\""), 1);
    let broken = check_rules(&p.ledger, &s.rules, &s.proxies);
    assert!(broken.is_empty(), "{} of {}", broken[0], broken.len());
    assert!(
        p.ledger.notifications.iter().filter(|t| !t.up).count() > 100 * 20,
        "proxies were notified of drains"
    );
}

/// Counts attempts that servers completed after the proxies knew their outcome.
fn completed_too_late(played: &SimResult) -> usize {
    let attempts = played
        .ledger
        .client_attempts
        .iter()
        .flat_map(|t| &t.attempts);
    attempts
        .filter(|a| {
            a.ended
                .zip(a.completed_at)
                .is_some_and(|((ended, _), ran)| ended < ran)
        })
        .count()
}

#[test]
fn servers_complete_attempts_whose_connection_broke_unless_they_support_cancellation() {
    let text = shipped::text("reset-in-work").unwrap();
    let answers = shipped::text("reset-overload").unwrap();
    let spared = text.replace("cancels = \"nothing\"", "cancels = \"all\"");
    // In all three runs some attempts are cancelled at their client's timeout; beyond these, servers complete attempts
    // late only because their connections broke.
    let [during, before, spared] =
        [text, answers, &spared].map(|text| completed_too_late(&simulate(text, 1).1));
    assert!(
        during > 3 * before.max(spared),
        "{during} if broken during processing, {before} at the response, {spared} with cancellation"
    );
    assert!(during > 50, "{during}");
}

#[test]
fn a_large_fleet_serves_most_requests_through_a_release_and_a_restart() {
    for (name, min_share) in [("fleet-release", 0.85), ("fleet-restart", 0.9)] {
        let (s, p) = simulate(shipped::text(name).unwrap(), 1);
        let share = score_of(&s, &p).whole.share;
        assert!(share > min_share, "{name}: {share}");
        assert!(
            check_rules(&p.ledger, &s.rules, &s.proxies).is_empty(),
            "{name}"
        );
    }
}
