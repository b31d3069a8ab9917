//! Unit tests of the write tracker.
use super::*;

fn started_tracker(body: usize) -> (WriteTracker, Rc<Endpoint>, Rc<CancelSignal>) {
    let endpoint = Endpoint::new("127.0.0.1:1".parse().expect("valid address"), 0.0);
    let cancel = Rc::new(CancelSignal::default());
    let tracker = WriteTracker::default();
    tracker.start(
        SendCondition {
            endpoint: endpoint.clone(),
            cancel: cancel.clone(),
            start_by: None,
        },
        body,
        None,
    );
    (tracker, endpoint, cancel)
}

#[test]
fn a_request_is_complete_with_its_last_byte_for_any_chunking() {
    let text = b"POST /x HTTP/1.1\r\nA: b\r\n\r\n\r\n\r\nbody";
    for cut in 1..text.len() {
        let (tracker, ..) = started_tracker(8);
        tracker.record_write(&text[..cut]);
        assert!(
            tracker.started.get() && !tracker.is_complete(),
            "cut at {cut}"
        );
        tracker.record_write(&text[cut..]);
        assert!(tracker.is_complete(), "cut at {cut}");
    }
}

#[test]
fn the_first_byte_needs_an_open_endpoint_and_an_unanswered_request() {
    let (tracker, endpoint, _) = started_tracker(0);
    endpoint.set_open(false);
    assert!(!tracker.may_write() && tracker.blocked.get());
    let (tracker, _, cancel) = started_tracker(0);
    cancel.cancel();
    assert!(!tracker.may_write());
    let (tracker, endpoint, _) = started_tracker(0);
    assert!(tracker.may_write());
    tracker.record_write(b"G");
    endpoint.set_open(false); // a request that has begun is completed
    assert!(tracker.may_write());
    assert!(
        !WriteTracker::default().may_write(),
        "nothing is written between requests"
    );
}
