//! Emulated ("hollow") cluster members exchange the same traffic as member processes, so that capacity figures measured
//! with them hold for a real cluster.

mod cluster_fixture;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use cluster_fixture::{Directory, command};
use lab::capacity::Point;
use lab::capacity::members::{Options, measure, measure_in_virtual_time, measure_processes, rules};

/// Bytes of a log entry besides the change itself.
const ENTRY_OVERHEAD_BYTES: usize = 110;

#[test]
fn emulated_members_send_the_same_traffic_as_real_ones() {
    let directory = Directory::new();
    let mut settings = Options {
        command: Some(command()),
        rules: rules(),
        state_bytes: 1000,
        change_bytes: 0,
        periods: 6,
        changes: 10,
        peak: Duration::ZERO,
        with_failures: false,
        concurrent_sizes: false,
        dir: directory.0.clone(),
    };
    let (real, entry) = measure_processes(&settings, 12, 1).unwrap();
    settings.change_bytes = entry.saturating_sub(ENTRY_OVERHEAD_BYTES);
    let mut hollow = Point::default();
    measure(&settings, 12, &mut hollow, &AtomicBool::new(false)).unwrap();
    let simulated = measure_in_virtual_time(12, &settings.rules, settings.changes, 1).unwrap();
    for (figure, r) in &real.figures {
        let v = simulated
            .figures
            .get(figure)
            .map_or("-".into(), |v| format!("{v:.1}"));
        println!(
            "{figure}: real {r:.1}, hollow {:.1}, in virtual time {v}",
            hollow.figures[figure]
        );
    }
    let assert_close = |figure: &str, tolerance: f64| {
        let (r, h) = (real.figures[figure], hollow.figures[figure]);
        assert!(
            (h - r).abs() <= tolerance * r,
            "{figure}: real {r:.1}, hollow {h:.1}"
        );
    };
    for figure in [
        "messages out /s member",
        "bytes out /s member",
        "change report",
        "bytes a change's report",
        "bytes a change's grant",
        "bytes a change's append answer",
        "bytes a change's confirmation",
        "bytes a change's confirmation answer",
    ] {
        assert_close(figure, 0.1);
    }
    // The data of a change is the same in all setups. The number of appends for it, of reports answered while no change
    // closes, and of reports per confirmation depends on how messages are batched and thus on CPU scheduling. Runs of
    // real members alone differ from each other by a quarter.
    for figure in ["change append", "change grant"] {
        assert_close(figure, 1.0 / 3.0);
    }
    assert_close("bytes a change's append", 0.2);
    for point in [&real, &hollow] {
        let figure_value = |figure: &str| point.figures[figure];
        let followers = 11.0;
        for (request, reply) in [
            ("change append", "change append answer"),
            ("change confirmation", "change confirmation answer"),
        ] {
            assert!(
                (figure_value(request) - figure_value(reply)).abs() <= 0.02 * figure_value(request),
                "{request}: {point:?}"
            );
        }
        // The leader reports to itself without sending a message.
        let (reports, confirmations) = (
            figure_value("change report") * 12.0 / followers,
            figure_value("change confirmation") / followers,
        );
        assert!((1.0..=reports * 1.1).contains(&confirmations), "{point:?}");
        assert!(
            figure_value("change grant") <= figure_value("change report"),
            "{point:?}"
        );
    }
}
