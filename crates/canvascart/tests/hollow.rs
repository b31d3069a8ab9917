//! Hollow members say what real ones do.

mod together;

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use lab::capacity::Point;
use lab::capacity::members::{Play, in_virtual_time, of_processes, play, rules};
use together::{Directory, command};

/// What an entry of the log holds beside a change.
const AROUND: usize = 110;

#[test]
fn hollow_members_idle_and_change_as_real_ones_do() {
    let directory = Directory::new();
    let mut how = Play {
        command: Some(command()),
        rules: rules(),
        state_bytes: 1000,
        change_bytes: 0,
        periods: 6,
        changes: 10,
        peak: Duration::ZERO,
        hurt: false,
        side_by_side: false,
        dir: directory.0.clone(),
    };
    let (real, entry) = of_processes(&how, 12, 1).unwrap();
    how.change_bytes = entry.saturating_sub(AROUND);
    let mut hollow = Point::default();
    play(&how, 12, &mut hollow, &AtomicBool::new(false)).unwrap();
    let played = in_virtual_time(12, &how.rules, how.changes, 1).unwrap();
    for (figure, r) in &real.figures {
        let v = played
            .figures
            .get(figure)
            .map_or("-".into(), |v| format!("{v:.1}"));
        println!(
            "{figure}: real {r:.1}, hollow {:.1}, in virtual time {v}",
            hollow.figures[figure]
        );
    }
    let near = |figure: &str, part: f64| {
        let (r, h) = (real.figures[figure], hollow.figures[figure]);
        assert!(
            (h - r).abs() <= part * r,
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
        near(figure, 0.1);
    }
    // What a change carries is the same to all; what goes by how messages fall together, and so by how the machine's
    // cores are given out, is how many appends that takes, how many reports are answered while no change closes, and
    // how many reports a confirmation is for. Of real members alone one play differs from another by a quarter.
    for figure in ["change append", "change grant"] {
        near(figure, 1.0 / 3.0);
    }
    near("bytes a change's append", 0.2);
    for point in [&real, &hollow] {
        let of = |figure: &str| point.figures[figure];
        let others = 11.0;
        for (asked, answered) in [
            ("change append", "change append answer"),
            ("change confirmation", "change confirmation answer"),
        ] {
            assert!(
                (of(asked) - of(answered)).abs() <= 0.02 * of(asked),
                "{asked}: {point:?}"
            );
        }
        // The leader reports to itself without a message.
        let (reports, confirmations) = (
            of("change report") * 12.0 / others,
            of("change confirmation") / others,
        );
        assert!((1.0..=reports * 1.1).contains(&confirmations), "{point:?}");
        assert!(of("change grant") <= of("change report"), "{point:?}");
    }
}
