//! The order in which long bodies get memory that is short.
use std::rc::Rc;

use proxy_core::memory_queue::{MemoryQueue, Place};

fn places<const N: usize>() -> (Rc<MemoryQueue>, [Place; N]) {
    let queue = Rc::<MemoryQueue>::default();
    let places = std::array::from_fn(|_| queue.place());
    (queue, places)
}

/// Guards against memory that is shared evenly, so that no body is completed.
#[test]
fn the_oldest_body_that_waits_has_the_turn() {
    let (queue, [first, second, third]) = places();
    assert!(queue.is_empty());
    assert!(third.has_turn(), "nobody waits");
    second.join();
    third.join();
    assert!(!queue.is_empty());
    assert!(first.has_turn() && second.has_turn() && !third.has_turn());
    assert!(second.is_first() && !first.is_first());
    first.join();
    assert!(first.is_first() && !second.has_turn());
    first.leave();
    assert!(second.is_first());
    drop(second);
    assert!(third.is_first());
}

/// Guards against a reserve that several bodies use up, so that none of them is completed.
#[test]
fn one_body_of_unknown_length_has_the_reserve_until_it_is_finished() {
    const RESERVE: usize = 1000;
    let (_queue, [first, second]) = places();
    let may_use_reserve = |place: &Place| place.may_use_reserve(usize::MAX, RESERVE);
    second.join();
    assert!(may_use_reserve(&second));
    first.join();
    assert!(may_use_reserve(&first), "it is older");
    assert!(!may_use_reserve(&second), "it is not first");
    assert!(may_use_reserve(&first));
    first.leave();
    assert!(second.is_first() && !may_use_reserve(&second));
    assert!(may_use_reserve(&first), "also when it does not wait");
    first.finish();
    assert!(may_use_reserve(&second));
}

/// Guards against a reserve of which one body uses a small part while others, which would fit beside it, are refused.
#[test]
fn bodies_that_fit_into_the_reserve_together_share_it() {
    const RESERVE: usize = 1000;
    let (_queue, [first, second, third, fourth]) = places();
    fourth.join();
    assert!(fourth.may_use_reserve(300, RESERVE));
    fourth.leave();
    second.join();
    assert!(second.may_use_reserve(400, RESERVE));
    second.leave();
    third.join();
    assert!(
        third.may_use_reserve(400, RESERVE),
        "it is older than the fourth"
    );
    assert!(!fourth.may_use_reserve(300, RESERVE));
    third.leave();
    first.join();
    assert!(first.may_use_reserve(2000, RESERVE), "it is the oldest");
    assert!(!second.may_use_reserve(400, RESERVE) && !third.may_use_reserve(400, RESERVE));
    first.finish();
    fourth.join();
    assert!(fourth.may_use_reserve(1000, RESERVE));
}

/// Guards against bodies that wait for each other.
#[test]
fn the_youngest_body_is_evicted_while_all_wait() {
    let (_queue, [first, second, third]) = places();
    first.join();
    second.join();
    assert!(!first.all_wait());
    third.join();
    assert!(first.all_wait());
    first.evict(false);
    assert!(third.take_eviction() && !third.take_eviction() && !third.is_waiting());
    assert!(!second.take_eviction() && second.is_waiting());
    drop(third);
    assert!(first.all_wait());
    first.evict(true);
    assert!(first.take_eviction() && !second.take_eviction());
    assert!(second.is_first());
}
