//! Unit tests of `vars`.
use super::*;

#[test]
fn each_class_has_counters_from_the_start_and_keeps_them() {
    let counts = Counters::default();
    counts.register_classes(&["lookup".into(), "a \"b\"\\\n".into()]);
    counts.request_accepted(0);
    counts.request_ended(0, RequestEnd::Deferred);
    counts.attempt_sent();
    counts.configuration_read(true);
    counts.configuration_read(false);
    counts.register_classes(&["lookup".into(), "a \"b\"\\\n".into(), "renewal".into()]);
    counts.request_accepted(7); // no such class
    let text = counts.prometheus_text(Gauges {
        in_flight: 3,
        listed_endpoints: 9,
        ejected_endpoints: 1,
    });
    for line in [
        "# TYPE node_answered counter",
        "node_answered{group=\"lookup\"} 0",
        "node_deferred{group=\"lookup\"} 1",
        "node_errored{group=\"a \\\"b\\\"\\\\\\n\"} 0",
        "node_answered{group=\"renewal\"} 0",
        "node_taken{group=\"lookup\"} 1",
        "node_sends 1",
        "node_current 3",
        "node_cluster_size 9",
        "node_cluster_unhealthy 1",
        "node_conf_loaded 1",
        "node_conf_invalid 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
    assert!(
        text.lines()
            .all(|l| l.starts_with("# TYPE node_") || l.starts_with("node_")),
        "{text}"
    );
}
