//! When a client gives up whose body is received late, in part or not at all.
use std::time::Duration;

use proxy_core::body_arrival::BodyArrival;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(2);
const LENGTH: u64 = 10 << 20;

fn after(begun: Instant, milliseconds: u64) -> Instant {
    begun + Duration::from_millis(milliseconds)
}

#[test]
fn the_time_counts_from_the_read_of_the_last_byte_if_the_body_was_never_paused() {
    let begun = Instant::now();
    let arrival = BodyArrival::new(Some(LENGTH), 100, TIMEOUT);
    assert_eq!(arrival.client_deadline(), None);
    assert_eq!(arrival.earliest_client_deadline(0), None);
    arrival.record(LENGTH - 100, after(begun, 300));
    assert!(arrival.is_whole());
    assert_eq!(arrival.client_deadline(), Some(after(begun, 300) + TIMEOUT));
    assert_eq!(arrival.last_byte_uncertainty(), Duration::ZERO);
}

/// Guards against a time that does not begin as long as nobody reads the last byte.
#[test]
fn the_time_counts_from_the_last_byte_that_the_system_holds_unread() {
    let begun = Instant::now();
    let arrival = BodyArrival::new(Some(LENGTH), 100, TIMEOUT);
    assert!(!arrival.record_unread(LENGTH - 1_000_000, begun));
    assert_eq!(arrival.client_deadline(), None);
    assert!(arrival.record_unread(LENGTH - 100, after(begun, 200)));
    assert!(arrival.record_unread(LENGTH - 100, after(begun, 900)));
    assert_eq!(arrival.client_deadline(), Some(after(begun, 200) + TIMEOUT));
    assert!(!arrival.is_whole());
}

/// Guards against the refusal of a body of which more is missing than its client can have written.
#[test]
fn a_paused_body_may_be_whole_only_if_the_client_can_have_written_the_rest() {
    let begun = Instant::now();
    let arrival = BodyArrival::new(Some(LENGTH), 100, TIMEOUT);
    arrival.pause(begun);
    assert_eq!(arrival.earliest_client_deadline(1_000_000), None);
    assert!(arrival.record_unread(1_000_000, after(begun, 500)));
    let earliest = arrival.earliest_client_deadline(LENGTH - 1_000_000);
    let earliest = earliest.expect("the rest may be written");
    assert!(earliest >= after(begun, 500) + TIMEOUT);
    assert!(earliest < after(begun, 1000) + TIMEOUT);
}

/// Guards against a client's time that begins anew with the last chunk, which the HTTP library holds when all else is read.
#[test]
fn a_body_whose_last_chunk_comes_right_after_it_was_caught_up_counts_from_its_pause() {
    let begun = Instant::now();
    for (pause_ms, is_from_pause) in [(5, true), (100, false)] {
        let arrival = BodyArrival::new(None, 100, TIMEOUT);
        arrival.pause(begun);
        arrival.record(1_000_000, after(begun, 800));
        arrival.record_caught_up(after(begun, 800));
        assert_eq!(arrival.earliest_client_deadline(0), None);
        arrival.record_end(after(begun, 800 + pause_ms));
        let deadline = arrival.client_deadline().expect("the body is whole");
        let is_early = deadline < after(begun, 500) + TIMEOUT;
        assert_eq!(is_early, is_from_pause, "{pause_ms} ms");
        assert!(deadline - arrival.last_byte_uncertainty() >= begun + TIMEOUT);
    }
}
