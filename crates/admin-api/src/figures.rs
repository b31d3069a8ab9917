//! Metrics of this instance as Prometheus text: its role in the cluster, its gate, and its tenants.

use std::fmt::Write as _;

use cluster_runtime::status::{MessageTotals, Status};
use multi_tenant::data_plane::{ActivationStatus, TenantStatus};

/// Causes of rejection, in the order of [`TenantStatus::rejections`].
const REJECTION_CAUSES: [&str; 5] = ["sockets", "in-flight", "bytes", "time", "servers"];

/// Escapes the value of a label.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

struct MetricsText(String);

impl MetricsText {
    /// Writes the type and the help text of a metric, then its samples: labels, as written between braces, and
    /// values.
    fn metric(
        &mut self,
        name: &str,
        kind: &str,
        help: &str,
        samples: impl IntoIterator<Item = (String, f64)>,
    ) {
        let _ = writeln!(
            self.0,
            "# HELP canvascart_{name} {help}\n# TYPE canvascart_{name} {kind}"
        ); // writing to a string never fails
        for (labels, value) in samples {
            let label_set = if labels.is_empty() {
                String::new()
            } else {
                format!("{{{labels}}}")
            };
            let _ = writeln!(self.0, "canvascart_{name}{label_set} {value}");
        }
    }

    fn single(&mut self, name: &str, kind: &str, help: &str, value: f64) {
        self.metric(name, kind, help, [(String::new(), value)]);
    }
}

fn bool_value(value: bool) -> f64 {
    f64::from(u8::from(value))
}

/// Writes the numbers of active, waiting and damaged tenants and the counters of activations.
fn write_activation_metrics(text: &mut MetricsText, activation: &ActivationStatus) {
    text.single(
        "tenants",
        "gauge",
        "Tenants that may be asked for.",
        activation.tenants as f64,
    );
    text.single(
        "tenants_resident",
        "gauge",
        "Tenants that are held in full.",
        activation.active as f64,
    );
    text.single(
        "tenants_pinned",
        "gauge",
        "Of these, those whose lists are followed: they stay.",
        activation.pinned as f64,
    );
    text.single(
        "tenants_waiting",
        "gauge",
        "Tenants that wait for a place among these.",
        activation.waiting as f64,
    );
    text.single(
        "tenants_damaged",
        "gauge",
        "Tenants that can't be woken, as what is held of them is damaged.",
        activation.damaged as f64,
    );
    text.single(
        "tenant_wakes_total",
        "counter",
        "Times that a tenant was woken.",
        activation.activations as f64,
    );
    text.single(
        "tenant_rests_total",
        "counter",
        "Times that a tenant was put to rest.",
        activation.deactivations as f64,
    );
    text.single(
        "tenant_evictions_total",
        "counter",
        "Of these, those for which another wanted the place.",
        activation.evictions as f64,
    );
    text.single(
        "residency_refused_total",
        "counter",
        "Requests refused for want of a place.",
        activation.deferrals as f64,
    );
}

/// Returns all metrics. `cluster` is present on a member of a cluster: its status, and the numbers of requests that
/// waited at the gate and that the gate rejected.
pub fn render(
    cluster: Option<(&Status, [u64; 2])>,
    activation: &ActivationStatus,
    tenants: &[TenantStatus],
) -> String {
    let mut text = MetricsText(String::new());
    write_activation_metrics(&mut text, activation);
    if let Some((status, [waited, rejected])) = cluster {
        let leads = status.leader.as_ref() == Some(&status.name);
        text.single(
            "cluster_version",
            "gauge",
            "The version in effect, as far as this instance knows.",
            status.version as f64,
        );
        text.single(
            "cluster_decides",
            "gauge",
            "1 while this instance may decide requests.",
            bool_value(status.deciding_version.is_some()),
        );
        text.single(
            "cluster_leads",
            "gauge",
            "1 while this instance leads.",
            bool_value(leads),
        );
        text.single(
            "cluster_leader_known",
            "gauge",
            "1 while this instance knows who leads.",
            bool_value(status.leader.is_some()),
        );
        text.single(
            "cluster_term",
            "counter",
            "The term of leading.",
            status.term as f64,
        );
        text.single(
            "cluster_applied",
            "counter",
            "How far the log is applied here.",
            status.applied as f64,
        );
        text.single(
            "cluster_members",
            "gauge",
            "Members of the cluster.",
            status.members.len() as f64,
        );
        let votes = status.members.iter().filter(|m| m.is_voter).count();
        text.single(
            "cluster_voters",
            "gauge",
            "Members with a vote.",
            votes as f64,
        );
        text.single(
            "cluster_change_under_way",
            "gauge",
            "1 while a change is being decided.",
            bool_value(status.change.is_some()),
        );
        let outcomes = ["in-effect", "given-up"].map(|outcome| format!("end=\"{outcome}\""));
        let help = "Changes whose end was heard of here since the start.";
        text.metric(
            "cluster_changes_total",
            "counter",
            help,
            outcomes.into_iter().zip([
                status.changes.activated as f64,
                status.changes.aborted as f64,
            ]),
        );
        let sent = |total: fn(&MessageTotals) -> u64| {
            status
                .sent
                .iter()
                .map(move |(kind, n)| (format!("kind=\"{}\"", escape_label(kind)), total(n) as f64))
        };
        text.metric(
            "cluster_messages_total",
            "counter",
            "Messages sent to other instances.",
            sent(|totals| totals.messages),
        );
        text.metric(
            "cluster_message_bytes_total",
            "counter",
            "Bytes of these.",
            sent(|totals| totals.bytes),
        );
        text.single(
            "cluster_messages_dropped_total",
            "counter",
            "Messages that could not go in time.",
            status.connections.messages_dropped as f64,
        );
        text.single(
            "cluster_links_refused_total",
            "counter",
            "Links that were ended as rubbish came by them.",
            status.connections.connections_rejected as f64,
        );
        text.single(
            "gate_waited_total",
            "counter",
            "Requests that waited for a change to take hold.",
            waited as f64,
        );
        text.single(
            "gate_refused_total",
            "counter",
            "Requests that were refused, as nothing may be decided.",
            rejected as f64,
        );
    }
    let label = |tenant: &TenantStatus| format!("tenant=\"{}\"", escape_label(&tenant.name));
    let each = |value: fn(&TenantStatus) -> f64| {
        tenants
            .iter()
            .map(move |tenant| (label(tenant), value(tenant)))
    };
    text.metric(
        "tenant_in_flight",
        "gauge",
        "Requests in flight.",
        each(|t| t.in_flight as f64),
    );
    text.metric(
        "tenant_sockets",
        "gauge",
        "Connections of clients.",
        each(|t| t.sockets as f64),
    );
    text.metric(
        "tenant_servers",
        "gauge",
        "Servers that take new work.",
        each(|t| t.servers[0] as f64),
    );
    let rejected = tenants.iter().flat_map(|tenant| {
        let causes = REJECTION_CAUSES.into_iter().zip(tenant.rejections);
        causes.map(move |(cause, n)| (format!("{},cause=\"{cause}\"", label(tenant)), n as f64))
    });
    text.metric(
        "tenant_refused_total",
        "counter",
        "Times a tenant was turned away.",
        rejected,
    );
    text.0
}

#[cfg(test)]
#[path = "../tests/unit/figures.rs"]
mod tests;
