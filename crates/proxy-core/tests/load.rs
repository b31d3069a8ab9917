//! Load reports in the heads of answers.
use balancer::LoadReport;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use proxy_core::load::told;

fn of(value: &str) -> Option<LoadReport> {
    let mut headers = HeaderMap::new();
    headers.insert("x-server-load", HeaderValue::from_str(value).unwrap());
    told(&headers)
}

#[test]
fn what_is_in_hand_and_what_waits_is_read_by_either_name() {
    let load = |in_hand, waiting| {
        Some(LoadReport {
            in_flight: in_hand,
            queued: waiting,
        })
    };
    assert_eq!(
        of(r#"{"inflight":7,"queue":2,"util":0.61}"#),
        load(Some(7.0), Some(2.0))
    );
    assert_eq!(
        of(r#"{"pending":0,"busy_reqs":17.858}"#),
        load(Some(17.858), Some(0.0))
    );
    assert_eq!(
        of(r#"{"failed_ps":0.5,"pending":3}"#),
        load(None, Some(3.0))
    );
}

#[test]
fn a_report_that_is_not_there_or_spoilt_tells_nothing() {
    assert_eq!(told(&HeaderMap::new()), None);
    for spoilt in [
        "",
        "7",
        "{}",
        r#"{"util":0.6}"#,
        r#"{"inflight":"many"}"#,
        r#"{"inflight":1"#,
        r#"{"queue":-1}"#,
    ] {
        assert_eq!(of(spoilt), None, "{spoilt}");
    }
    assert_eq!(
        of(r#"{"inflight":-3,"queue":4}"#),
        Some(LoadReport {
            in_flight: None,
            queued: Some(4.0)
        }),
        "one that is spoilt says nothing against the other"
    );
}
