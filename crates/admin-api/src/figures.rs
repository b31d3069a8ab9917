//! Figures of this instance as Prometheus text: its part in the cluster, what its gate did, and how its tenants fare.

use std::fmt::Write as _;

use cluster_runtime::status::{MessageTotals, Status};
use multi_tenant::data_plane::{ActivationStatus, TenantStatus};

/// What an instance is told to have been turned away for, as [`TenantStatus::refused`] has it.
const CAUSES: [&str; 5] = ["sockets", "in-flight", "bytes", "time", "servers"];

/// A label's value, escaped.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

struct Text(String);

impl Text {
    /// A figure's kind and meaning, then its samples: labels, as they stand between braces, and values.
    fn put(
        &mut self,
        name: &str,
        kind: &str,
        help: &str,
        samples: impl IntoIterator<Item = (String, f64)>,
    ) {
        let _ = writeln!(
            self.0,
            "# HELP canvascart_{name} {help}\n# TYPE canvascart_{name} {kind}"
        ); // a string takes all
        for (labels, value) in samples {
            let braces = if labels.is_empty() {
                String::new()
            } else {
                format!("{{{labels}}}")
            };
            let _ = writeln!(self.0, "canvascart_{name}{braces} {value}");
        }
    }

    fn one(&mut self, name: &str, kind: &str, help: &str, value: f64) {
        self.put(name, kind, help, [(String::new(), value)]);
    }
}

fn flag(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

/// Tenants at rest and awake.
fn residency(text: &mut Text, r: &ActivationStatus) {
    text.one(
        "tenants",
        "gauge",
        "Tenants that may be asked for.",
        r.tenants as f64,
    );
    text.one(
        "tenants_resident",
        "gauge",
        "Tenants that are held in full.",
        r.active as f64,
    );
    text.one(
        "tenants_pinned",
        "gauge",
        "Of these, those whose lists are followed: they stay.",
        r.pinned as f64,
    );
    text.one(
        "tenants_waiting",
        "gauge",
        "Tenants that wait for a place among these.",
        r.waiting as f64,
    );
    text.one(
        "tenants_damaged",
        "gauge",
        "Tenants that can't be woken, as what is held of them is damaged.",
        r.damaged as f64,
    );
    text.one(
        "tenant_wakes_total",
        "counter",
        "Times that a tenant was woken.",
        r.activations as f64,
    );
    text.one(
        "tenant_rests_total",
        "counter",
        "Times that a tenant was put to rest.",
        r.deactivations as f64,
    );
    text.one(
        "tenant_evictions_total",
        "counter",
        "Of these, those for which another wanted the place.",
        r.evictions as f64,
    );
    text.one(
        "residency_refused_total",
        "counter",
        "Requests refused for want of a place.",
        r.deferrals as f64,
    );
}

/// All figures. The cluster's are there where this is one of its instances; `gate` is how many requests waited at the gate, and
/// how many it refused.
pub fn text(
    cluster: Option<(&Status, [u64; 2])>,
    resident: &ActivationStatus,
    tenants: &[TenantStatus],
) -> String {
    let mut text = Text(String::new());
    residency(&mut text, resident);
    if let Some((s, [waited, refused])) = cluster {
        let leads = s.leader.as_ref() == Some(&s.name);
        text.one(
            "cluster_version",
            "gauge",
            "The version in effect, as far as this instance knows.",
            s.version as f64,
        );
        text.one(
            "cluster_decides",
            "gauge",
            "1 while this instance may decide requests.",
            flag(s.deciding_version.is_some()),
        );
        text.one(
            "cluster_leads",
            "gauge",
            "1 while this instance leads.",
            flag(leads),
        );
        text.one(
            "cluster_leader_known",
            "gauge",
            "1 while this instance knows who leads.",
            flag(s.leader.is_some()),
        );
        text.one(
            "cluster_term",
            "counter",
            "The term of leading.",
            s.term as f64,
        );
        text.one(
            "cluster_applied",
            "counter",
            "How far the log is applied here.",
            s.applied as f64,
        );
        text.one(
            "cluster_members",
            "gauge",
            "Members of the cluster.",
            s.members.len() as f64,
        );
        let votes = s.members.iter().filter(|m| m.is_voter).count();
        text.one(
            "cluster_voters",
            "gauge",
            "Members with a vote.",
            votes as f64,
        );
        text.one(
            "cluster_change_under_way",
            "gauge",
            "1 while a change is being decided.",
            flag(s.change.is_some()),
        );
        let ends = ["in-effect", "given-up"].map(|end| format!("end=\"{end}\""));
        let help = "Changes whose end was heard of here since the start.";
        text.put(
            "cluster_changes_total",
            "counter",
            help,
            ends.into_iter()
                .zip([s.changes.activated as f64, s.changes.aborted as f64]),
        );
        let sent = |of: fn(&MessageTotals) -> u64| {
            s.sent
                .iter()
                .map(move |(kind, n)| (format!("kind=\"{}\"", escaped(kind)), of(n) as f64))
        };
        text.put(
            "cluster_messages_total",
            "counter",
            "Messages sent to other instances.",
            sent(|totals| totals.messages),
        );
        text.put(
            "cluster_message_bytes_total",
            "counter",
            "Bytes of these.",
            sent(|totals| totals.bytes),
        );
        text.one(
            "cluster_messages_dropped_total",
            "counter",
            "Messages that could not go in time.",
            s.connections.messages_dropped as f64,
        );
        text.one(
            "cluster_links_refused_total",
            "counter",
            "Links that were ended as rubbish came by them.",
            s.connections.connections_rejected as f64,
        );
        text.one(
            "gate_waited_total",
            "counter",
            "Requests that waited for a change to take hold.",
            waited as f64,
        );
        text.one(
            "gate_refused_total",
            "counter",
            "Requests that were refused, as nothing may be decided.",
            refused as f64,
        );
    }
    let of = |t: &TenantStatus| format!("tenant=\"{}\"", escaped(&t.name));
    let each = |f: fn(&TenantStatus) -> f64| tenants.iter().map(move |t| (of(t), f(t)));
    text.put(
        "tenant_in_flight",
        "gauge",
        "Requests in flight.",
        each(|t| t.in_flight as f64),
    );
    text.put(
        "tenant_sockets",
        "gauge",
        "Connections of clients.",
        each(|t| t.sockets as f64),
    );
    text.put(
        "tenant_servers",
        "gauge",
        "Servers that take new work.",
        each(|t| t.servers[0] as f64),
    );
    let refused = tenants.iter().flat_map(|t| {
        let causes = CAUSES.into_iter().zip(t.rejections);
        causes.map(move |(cause, n)| (format!("{},cause=\"{cause}\"", of(t)), n as f64))
    });
    text.put(
        "tenant_refused_total",
        "counter",
        "Times a tenant was turned away.",
        refused,
    );
    text.0
}

#[cfg(test)]
#[path = "../tests/unit/figures.rs"]
mod tests;
