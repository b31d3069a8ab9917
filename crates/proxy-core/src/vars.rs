//! Metrics of the operations listener in the Prometheus text format: counters since the start of the process, and gauges
//! of the present state. Requests are counted by result when they end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::request_end::EndReason;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Answered,
    Deferred,
    Errored,
    /// The client disconnected before its answer.
    Abandoned,
}

/// Counters of one class.
#[derive(Clone, Debug, Default)]
struct ClassCounters {
    name: String,
    accepted: u64,
    ended: [u64; 4],
}

/// Counters of a pool. A class that is removed from the settings keeps its counters.
#[derive(Default)]
pub struct Counters {
    class_counters: RefCell<Vec<ClassCounters>>,
    /// Attempts whose last byte has been written to an endpoint.
    attempts_sent: Cell<u64>,
    configurations_loaded: Cell<u64>,
    configurations_invalid: Cell<u64>,
    /// Requests that ended without a whole response, by the name of the reason.
    unserved: RefCell<BTreeMap<&'static str, u64>>,
    /// Client connections that the proxy closed, by the name of the reason.
    connections_closed: RefCell<BTreeMap<&'static str, u64>>,
}

/// The reason for which the proxy closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection was idle, or the process ends or is short of descriptors.
    Idle,
    /// The head of a request is late.
    HeadLate,
    /// The client takes nothing of its answer, or sends nothing.
    Stalled,
}

impl CloseReason {
    const ALL: [CloseReason; 3] = [
        CloseReason::Idle,
        CloseReason::HeadLate,
        CloseReason::Stalled,
    ];

    /// Returns the name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::HeadLate => "head-late",
            CloseReason::Stalled => "stalled",
        }
    }
}

/// Gauges of the present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests accepted and not yet ended.
    pub in_flight: usize,
    /// Endpoints in the list.
    pub listed_endpoints: usize,
    /// Listed endpoints that are ejected.
    pub ejected_endpoints: usize,
}

impl Counters {
    /// Registers the classes in the order of their ids; the counters of new ones start at 0.
    pub fn register_classes(&self, classes: &[String]) {
        let mut class_counters = self.class_counters.borrow_mut();
        for name in &classes[class_counters.len().min(classes.len())..] {
            class_counters.push(ClassCounters {
                name: name.clone(),
                ..ClassCounters::default()
            });
        }
    }

    /// Counts an accepted request.
    pub fn request_accepted(&self, class: usize) {
        if let Some(counters) = self.class_counters.borrow_mut().get_mut(class) {
            counters.accepted += 1;
        }
    }

    /// Counts the result of an accepted request.
    pub fn request_ended(&self, class: usize, end: RequestEnd) {
        if let Some(counters) = self.class_counters.borrow_mut().get_mut(class) {
            counters.ended[end as usize] += 1;
        }
    }

    /// Counts a request that ended without a whole response.
    pub fn request_unserved(&self, reason: EndReason) {
        *self.unserved.borrow_mut().entry(reason.name()).or_default() += 1;
    }

    /// Counts a client connection that the proxy closes.
    pub fn connection_closed(&self, reason: CloseReason) {
        let mut closed = self.connections_closed.borrow_mut();
        *closed.entry(reason.name()).or_default() += 1;
    }

    /// Counts an attempt that has been written completely.
    pub fn attempt_sent(&self) {
        self.attempts_sent.set(self.attempts_sent.get() + 1);
    }

    /// Counts a configuration file read at SIGHUP, by whether it is valid.
    pub fn configuration_read(&self, valid: bool) {
        let count = if valid {
            &self.configurations_loaded
        } else {
            &self.configurations_invalid
        };
        count.set(count.get() + 1);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn prometheus_text(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(2048);
        let class_counters = self.class_counters.borrow();
        let mut labelled = |name: &str, value: &dyn Fn(&ClassCounters) -> u64| {
            let _ = writeln!(text, "# TYPE {name} counter");
            for counters in class_counters.iter() {
                let _ = writeln!(
                    text,
                    "{name}{{group=\"{}\"}} {}",
                    escape_label(&counters.name),
                    value(counters)
                );
            }
        };
        labelled("node_answered", &|counters| {
            counters.ended[RequestEnd::Answered as usize]
        });
        labelled("node_deferred", &|counters| {
            counters.ended[RequestEnd::Deferred as usize]
        });
        labelled("node_errored", &|counters| {
            counters.ended[RequestEnd::Errored as usize]
        });
        labelled("node_abandoned", &|counters| {
            counters.ended[RequestEnd::Abandoned as usize]
        });
        labelled("node_taken", &|counters| counters.accepted);
        for (name, kind, value) in [
            ("node_sends", "counter", self.attempts_sent.get()),
            ("node_current", "gauge", gauges.in_flight as u64),
            ("node_cluster_size", "gauge", gauges.listed_endpoints as u64),
            (
                "node_cluster_unhealthy",
                "gauge",
                gauges.ejected_endpoints as u64,
            ),
            (
                "node_conf_loaded",
                "counter",
                self.configurations_loaded.get(),
            ),
            (
                "node_conf_invalid",
                "counter",
                self.configurations_invalid.get(),
            ),
        ] {
            let _ = write!(text, "# TYPE {name} {kind}\n{name} {value}\n");
        }
        let close_names = CloseReason::ALL.map(CloseReason::name);
        write_reasons(
            &mut text,
            "node_unserved",
            &EndReason::UNSERVED.map(EndReason::name),
            &self.unserved.borrow(),
        );
        write_reasons(
            &mut text,
            "node_connections_closed",
            &close_names,
            &self.connections_closed.borrow(),
        );
        text
    }
}

/// Appends a counter for each reason.
fn write_reasons(
    text: &mut String,
    name: &str,
    reasons: &[&str],
    counts: &BTreeMap<&'static str, u64>,
) {
    let _ = writeln!(text, "# TYPE {name} counter");
    for reason in reasons {
        let count = counts.get(reason).copied().unwrap_or_default();
        let _ = writeln!(text, "{name}{{reason=\"{reason}\"}} {count}");
    }
}

/// Escapes a label value for the Prometheus text format.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
#[path = "../tests/unit/vars.rs"]
mod tests;
