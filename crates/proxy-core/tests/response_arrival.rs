//! Whether a response whose length is not announced is still being written.
use std::time::Duration;

use proxy_core::response_arrival::{MAX_HOLD_TIME, ResponseArrival};
use tokio::time::Instant;

fn after(begun: Instant, milliseconds: u64) -> Instant {
    begun + Duration::from_millis(milliseconds)
}

/// Records pieces of this size every 10 ms and returns whether the response is progressing.
fn is_progressing_with(piece_bytes: usize, pieces: u64) -> bool {
    let begun = Instant::now();
    let arrival = ResponseArrival::default();
    arrival.begin(begun);
    for piece in 0..pieces {
        arrival.record(piece_bytes, after(begun, 10 * piece));
    }
    arrival.is_progressing()
}

#[test]
fn a_response_at_half_the_lowest_rate_is_progressing_and_a_slower_one_is_not() {
    assert!(is_progressing_with(640, 50), "64 kB/s");
    assert!(is_progressing_with(330, 50), "33 kB/s");
    assert!(!is_progressing_with(300, 50), "30 kB/s");
    assert!(!is_progressing_with(1, 50), "100 bytes a second");
    assert!(is_progressing_with(1, 5), "too few pieces to tell");
}

#[test]
fn a_pause_ends_the_progress_of_a_response_that_may_be_short() {
    for (bytes, is_ended) in [(0, false), (300, true), (2048, true), (2049, false)] {
        let begun = Instant::now();
        let arrival = ResponseArrival::default();
        arrival.begin(begun);
        if bytes > 0 {
            arrival.record(bytes, begun);
        }
        arrival.record_pause(after(begun, 199));
        assert!(arrival.is_progressing(), "{bytes} bytes");
        arrival.record_pause(after(begun, 201));
        assert_eq!(arrival.is_progressing(), !is_ended, "{bytes} bytes");
        arrival.record(10_000, after(begun, 210));
        assert!(arrival.is_progressing(), "{bytes} bytes and more");
    }
}

#[test]
fn a_response_is_held_back_for_a_second_unless_it_has_stopped() {
    let begun = Instant::now();
    let arrival = ResponseArrival::default();
    assert!(!arrival.is_hold_over(begun), "nothing has come");
    arrival.begin(begun);
    assert_eq!(arrival.next_check(), Some(begun + MAX_HOLD_TIME));
    assert!(!arrival.is_hold_over(begun));
    assert!(arrival.is_hold_over(begun + MAX_HOLD_TIME));
    arrival.record(300, begun);
    arrival.record_pause(after(begun, 300));
    assert!(!arrival.is_hold_over(begun + MAX_HOLD_TIME));
}
