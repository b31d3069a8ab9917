//! What the proxy reports at the operators' door: counts from the start of the process, and what is held now, as
//! Prometheus text. Requests are counted where they end.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Answered,
    Deferred,
    Errored,
    /// Its client left before its answer.
    Abandoned,
}

/// The counts of one class.
#[derive(Clone, Debug, Default)]
struct Group {
    name: String,
    taken: u64,
    ended: [u64; 4],
}

/// What is counted. A class that vanishes from the settings keeps its counts.
#[derive(Default)]
pub struct Counters {
    groups: RefCell<Vec<Group>>,
    /// Attempts whose last byte has been written to a server.
    sends: Cell<u64>,
    loaded: Cell<u64>,
    invalid: Cell<u64>,
}

/// What is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub in_flight: usize,
    /// Servers in the list.
    pub listed_endpoints: usize,
    /// Those of them that get nothing now.
    pub ejected_endpoints: usize,
}

impl Counters {
    /// The classes that there are, in the order of their numbers; new ones begin at 0.
    pub fn register_classes(&self, classes: &[String]) {
        let mut groups = self.groups.borrow_mut();
        for name in &classes[groups.len().min(classes.len())..] {
            groups.push(Group {
                name: name.clone(),
                ..Group::default()
            });
        }
    }

    /// A request of this class has been taken.
    pub fn request_accepted(&self, class: usize) {
        if let Some(group) = self.groups.borrow_mut().get_mut(class) {
            group.taken += 1;
        }
    }

    /// One that was taken has ended.
    pub fn request_ended(&self, class: usize, end: RequestEnd) {
        if let Some(group) = self.groups.borrow_mut().get_mut(class) {
            group.ended[end as usize] += 1;
        }
    }

    /// An attempt has been written whole.
    pub fn attempt_sent(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// A file has been read at SIGHUP, and taken or turned down.
    pub fn configuration_read(&self, taken: bool) {
        let count = if taken { &self.loaded } else { &self.invalid };
        count.set(count.get() + 1);
    }

    /// All of it as Prometheus text.
    pub fn prometheus_text(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(2048);
        let groups = self.groups.borrow();
        let mut labelled = |name: &str, value: &dyn Fn(&Group) -> u64| {
            let _ = writeln!(text, "# TYPE {name} counter");
            for group in groups.iter() {
                let _ = writeln!(
                    text,
                    "{name}{{group=\"{}\"}} {}",
                    escaped(&group.name),
                    value(group)
                );
            }
        };
        labelled("node_answered", &|g| g.ended[RequestEnd::Answered as usize]);
        labelled("node_deferred", &|g| g.ended[RequestEnd::Deferred as usize]);
        labelled("node_errored", &|g| g.ended[RequestEnd::Errored as usize]);
        labelled("node_abandoned", &|g| {
            g.ended[RequestEnd::Abandoned as usize]
        });
        labelled("node_taken", &|g| g.taken);
        for (name, kind, value) in [
            ("node_sends", "counter", self.sends.get()),
            ("node_current", "gauge", gauges.in_flight as u64),
            ("node_cluster_size", "gauge", gauges.listed_endpoints as u64),
            (
                "node_cluster_unhealthy",
                "gauge",
                gauges.ejected_endpoints as u64,
            ),
            ("node_conf_loaded", "counter", self.loaded.get()),
            ("node_conf_invalid", "counter", self.invalid.get()),
        ] {
            let _ = write!(text, "# TYPE {name} {kind}\n{name} {value}\n");
        }
        text
    }
}

/// A label's value, as the format writes it.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_there_from_the_start_and_keeps_its_counts() {
        let counts = Counters::default();
        counts.register_classes(&["lookup".into(), "a \"b\"\\\n".into()]);
        counts.request_accepted(0);
        counts.request_ended(0, RequestEnd::Deferred);
        counts.attempt_sent();
        counts.configuration_read(true);
        counts.configuration_read(false);
        counts.register_classes(&["lookup".into(), "a \"b\"\\\n".into(), "renewal".into()]);
        counts.request_accepted(7); // of no class
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
}
