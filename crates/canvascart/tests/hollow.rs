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
fn messages_and_bytes_of_hollow_members_are_those_of_real_ones_within_a_tenth() {
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
    for figure in ["messages out /s member", "bytes out /s member", "change messages", "change bytes"] {
        let (r, h) = (real.figures[figure], hollow.figures[figure]);
        let v = played.figures.get(figure).map_or("-".into(), |v| format!("{v:.1}"));
        println!("{figure}: real {r:.1}, hollow {h:.1}, in virtual time {v}");
    }
    for figure in ["messages out /s member", "bytes out /s member", "change messages", "change bytes"] {
        let (r, h) = (real.figures[figure], hollow.figures[figure]);
        assert!((h - r).abs() <= 0.1 * r, "{figure}: real {r:.1}, hollow {h:.1}");
    }
}
