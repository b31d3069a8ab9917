//! The text of the metrics.

use super::*;

#[test]
fn metrics_have_samples_with_escaped_labels() {
    let status = Status {
        name: "a".into(),
        leader: Some("a".into()),
        version: 7,
        deciding_version: Some(7),
        changes: [3, 1].into(),
        connections: [5, 600, 0, 2].into(),
        sent: [
            ("report".to_owned(), [4, 500].into()),
            ("append answer".to_owned(), [1, 100].into()),
        ]
        .into(),
        ..Status::default()
    };
    let tenant = TenantStatus {
        name: "a\"b\\".into(),
        active: true,
        ready: true,
        servers: [2, 3],
        discovery: None,
        former_pools: 0,
        sockets: 4,
        in_flight: 5,
        bytes: 6,
        loop_ms: 0.0,
        rejections: [1, 2, 3, 4, 5],
    };
    let activation = ActivationStatus {
        tenants: 33_000,
        active: 12,
        evictions: 3,
        deferrals: 4,
        ..ActivationStatus::default()
    };
    let text = render(Some((&status, [8, 9])), &activation, &[tenant]);
    for wanted in [
        "canvascart_cluster_version 7",
        "canvascart_cluster_leads 1",
        "canvascart_cluster_changes_total{end=\"given-up\"} 1",
        "canvascart_cluster_links_refused_total 2",
        "canvascart_cluster_messages_total{kind=\"report\"} 4",
        "canvascart_cluster_message_bytes_total{kind=\"append answer\"} 100",
        "canvascart_gate_refused_total 9",
        "canvascart_tenants 33000",
        "canvascart_tenants_resident 12",
        "canvascart_tenant_evictions_total 3",
        "canvascart_residency_refused_total 4",
        "canvascart_tenant_in_flight{tenant=\"a\\\"b\\\\\"} 5",
        "canvascart_tenant_refused_total{tenant=\"a\\\"b\\\\\",cause=\"time\"} 4",
    ] {
        assert!(text.lines().any(|l| l == wanted), "{wanted} in\n{text}");
    }
    assert!(
        super::render(None, &ActivationStatus::default(), &[])
            .lines()
            .all(|l| !l.contains("cluster"))
    );
}
