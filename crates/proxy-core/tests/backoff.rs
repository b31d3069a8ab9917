//! Waits between calls that fail.
use std::collections::BTreeMap;
use std::time::Duration;

use proxy_core::backoff::{Backoff, MOST};

/// When a caller calls that is turned away at once each time, for five seconds.
fn calls(seed: u64) -> Vec<Duration> {
    let (mut backoff, mut at, mut calls) = (Backoff::new(seed), Duration::ZERO, Vec::new());
    while at < Duration::from_secs(5) {
        calls.push(at);
        at += backoff.wait();
    }
    calls
}

#[test]
fn callers_that_are_turned_away_together_come_back_apart_and_seldom() {
    let all: Vec<Vec<Duration>> = (0..48).map(|n| calls(n * 0x9e37_79b9)).collect();
    assert!(
        all.iter().all(|c| (14..=28).contains(&c.len())),
        "seldom, and not for ever"
    );
    // Without chance all 48 would call in the same 25 ms. From the sixth call on it is a quarter at most.
    let mut slots = BTreeMap::<u128, usize>::new();
    for call in all.iter().flat_map(|c| &c[5..]) {
        *slots.entry(call.as_millis() / 25).or_default() += 1;
    }
    assert!(slots.values().all(|n| *n <= 12), "{slots:?}");
    assert_ne!(all[0], all[1]);
    assert_eq!(calls(7), calls(7), "chance comes from the seed alone");
}

#[test]
fn no_wait_is_longer_than_what_the_six_seconds_allow_for() {
    for seed in 0..200 {
        let mut backoff = Backoff::new(seed);
        let first: Duration = (0..3).map(|_| backoff.wait()).sum();
        assert!(first <= Duration::from_millis(75 + 150 + 300), "{first:?}");
        assert!((0..50).all(|_| backoff.wait() <= MOST));
        backoff.reset();
        assert!(backoff.wait() <= Duration::from_millis(75));
    }
}
