//! What the proxy reports at the operators' door: counts from the start of the process, and what is held now, as
//! Prometheus text. Requests are counted where they end.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
pub struct Counts {
    groups: RefCell<Vec<Group>>,
    /// Attempts whose last byte has been written to a server.
    sends: Cell<u64>,
    loaded: Cell<u64>,
    invalid: Cell<u64>,
}

/// What is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Requests taken and not ended.
    pub current: usize,
    /// Servers in the list.
    pub listed: usize,
    /// Those of them that get nothing now.
    pub avoided: usize,
}

impl Counts {
    /// The classes that there are, in the order of their numbers; new ones begin at 0.
    pub fn name(&self, classes: &[String]) {
        let mut groups = self.groups.borrow_mut();
        for name in &classes[groups.len().min(classes.len())..] {
            groups.push(Group {
                name: name.clone(),
                ..Group::default()
            });
        }
    }

    /// A request of this class has been taken.
    pub fn took(&self, class: usize) {
        if let Some(group) = self.groups.borrow_mut().get_mut(class) {
            group.taken += 1;
        }
    }

    /// One that was taken has ended.
    pub fn ended(&self, class: usize, end: End) {
        if let Some(group) = self.groups.borrow_mut().get_mut(class) {
            group.ended[end as usize] += 1;
        }
    }

    /// An attempt has been written whole.
    pub fn sent(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// A file has been read at SIGHUP, and taken or turned down.
    pub fn read(&self, taken: bool) {
        let count = if taken { &self.loaded } else { &self.invalid };
        count.set(count.get() + 1);
    }

    /// All of it as Prometheus text.
    pub fn text(&self, held: Held) -> String {
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
        labelled("node_answered", &|g| g.ended[End::Answered as usize]);
        labelled("node_deferred", &|g| g.ended[End::Deferred as usize]);
        labelled("node_errored", &|g| g.ended[End::Errored as usize]);
        labelled("node_abandoned", &|g| g.ended[End::Abandoned as usize]);
        labelled("node_taken", &|g| g.taken);
        for (name, kind, value) in [
            ("node_sends", "counter", self.sends.get()),
            ("node_current", "gauge", held.current as u64),
            ("node_cluster_size", "gauge", held.listed as u64),
            ("node_cluster_unhealthy", "gauge", held.avoided as u64),
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
        let counts = Counts::default();
        counts.name(&["lookup".into(), "a \"b\"\\\n".into()]);
        counts.took(0);
        counts.ended(0, End::Deferred);
        counts.sent();
        counts.read(true);
        counts.read(false);
        counts.name(&["lookup".into(), "a \"b\"\\\n".into(), "renewal".into()]);
        counts.took(7); // of no class
        let text = counts.text(Held {
            current: 3,
            listed: 9,
            avoided: 1,
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
