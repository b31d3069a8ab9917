//! Tests of load reports in response headers.
use balancer::LoadReport;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use proxy_core::load_report::parse;

fn parse_value(value: &str) -> Option<LoadReport> {
    let mut headers = HeaderMap::new();
    headers.insert("x-server-load", HeaderValue::from_str(value).unwrap());
    parse(&headers)
}

#[test]
fn requests_in_flight_and_queued_are_read_by_either_name() {
    let report = |requests, waiting| {
        Some(LoadReport {
            in_flight: requests,
            queued: waiting,
        })
    };
    assert_eq!(
        parse_value(r#"{"inflight":7,"queue":2,"util":0.61}"#),
        report(Some(7.0), Some(2.0))
    );
    assert_eq!(
        parse_value(r#"{"pending":0,"busy_reqs":17.858}"#),
        report(Some(17.858), Some(0.0))
    );
    assert_eq!(
        parse_value(r#"{"failed_ps":0.5,"pending":3}"#),
        report(None, Some(3.0))
    );
}

#[test]
fn missing_and_malformed_reports_are_ignored() {
    assert_eq!(parse(&HeaderMap::new()), None);
    for invalid in [
        "",
        "7",
        "{}",
        r#"{"util":0.6}"#,
        r#"{"inflight":"many"}"#,
        r#"{"inflight":1"#,
        r#"{"queue":-1}"#,
    ] {
        assert_eq!(parse_value(invalid), None, "{invalid}");
    }
    assert_eq!(
        parse_value(r#"{"inflight":-3,"queue":4}"#),
        Some(LoadReport {
            in_flight: None,
            queued: Some(4.0)
        }),
        "an invalid field does not invalidate the other"
    );
}
