//! Tests of the delays between failing calls.
use std::collections::BTreeMap;
use std::time::Duration;

use proxy_core::backoff::{Backoff, MAX_DELAY};

/// Returns the times of the calls of a caller that is rejected at once each time, for five seconds.
fn call_times(seed: u64) -> Vec<Duration> {
    let (mut backoff, mut at, mut call_times) = (Backoff::new(seed), Duration::ZERO, Vec::new());
    while at < Duration::from_secs(5) {
        call_times.push(at);
        at += backoff.next_delay();
    }
    call_times
}

#[test]
fn rejected_callers_spread_their_retries() {
    let all: Vec<Vec<Duration>> = (0..48).map(|n| call_times(n * 0x9e37_79b9)).collect();
    assert!(
        all.iter().all(|c| (14..=28).contains(&c.len())),
        "callers neither retry too often nor stop"
    );
    // Without jitter all 48 callers would call in the same 25 ms. From the sixth call on at most a quarter may.
    let mut slots = BTreeMap::<u128, usize>::new();
    for call in all.iter().flat_map(|c| &c[5..]) {
        *slots.entry(call.as_millis() / 25).or_default() += 1;
    }
    assert!(slots.values().all(|n| *n <= 12), "{slots:?}");
    assert_ne!(all[0], all[1]);
    assert_eq!(
        call_times(7),
        call_times(7),
        "the seed is the only source of randomness"
    );
}

#[test]
fn delays_stay_within_their_bounds() {
    for seed in 0..200 {
        let mut backoff = Backoff::new(seed);
        let first: Duration = (0..3).map(|_| backoff.next_delay()).sum();
        assert!(first <= Duration::from_millis(75 + 150 + 300), "{first:?}");
        assert!((0..50).all(|_| backoff.next_delay() <= MAX_DELAY));
        backoff.reset();
        assert!(backoff.next_delay() <= Duration::from_millis(75));
    }
}
