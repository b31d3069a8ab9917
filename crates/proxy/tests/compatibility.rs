//! Compatibility of the metrics' names on the operations listener, which operators' tools read.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::BTreeSet;

use sockets::*;

const RECORDED_NAMES: &str = include_str!("fixtures/figures.txt");

/// Returns the names of the metrics with their labels, without values.
fn names(text: &str) -> String {
    let name = |line: &str| Some(line.rsplit_once(' ')?.0.to_owned());
    let sorted: BTreeSet<String> = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(name)
        .collect();
    Vec::from_iter(sorted).join("\n") + "\n"
}

#[test]
fn metrics_have_the_recorded_names_and_labels() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-1"))
            .expect("an answer")
            .status(),
        200
    );
    let found = names(
        &proxy
            .call_operations("GET /_vars")
            .expect("the metrics")
            .text(),
    );
    assert_eq!(
        found, RECORDED_NAMES,
        "names of metrics differ; they are now:\n{found}"
    );
}
