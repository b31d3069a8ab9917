//! What members cost as there are more of them, in virtual time and so the same each time; and what sweeps refuse.

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use lab::capacity::members::{
    Needs, Options, Room, check_sizes, measure, measure_in_virtual_time, rules, sweep,
};
use lab::capacity::{Fit, Point, restarts};

fn hollow(command: Option<Vec<String>>, dir: &std::path::Path) -> Options {
    Options {
        command,
        rules: rules(),
        state_bytes: 100,
        change_bytes: 100,
        periods: 1,
        changes: 1,
        peak: Duration::ZERO,
        with_failures: false,
        concurrent_sizes: false,
        dir: dir.to_owned(),
    }
}

fn directory(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("canvascart-members-{name}-{}", std::process::id()))
}

#[test]
fn a_size_of_none_or_beyond_the_machine_is_refused_before_anything_starts() {
    let dir = directory("refused");
    let stop = AtomicBool::new(false);
    let refused = |sizes: &[usize], state_bytes| {
        let how = Options {
            state_bytes,
            ..hollow(Some(vec!["/nowhere/at/all".into()]), &dir)
        };
        let e = sweep(&how, sizes, &stop, |_| panic!("nothing was to be played")).unwrap_err();
        assert_eq!(e.kind(), std::io::ErrorKind::InvalidInput, "{e}");
        e.to_string()
    };
    assert!(refused(&[], 0).contains("no size"));
    assert!(refused(&[0], 0).contains("0 are no cluster"));
    assert!(
        refused(&[6, 20_000], 0).contains("20000"),
        "all sizes are looked at first"
    );
    let said = refused(&[900], 1 << 30);
    assert!(
        said.contains("900") && said.contains("half of the machine's"),
        "{said}"
    );
    // Sizes side by side may fit one by one, and not together.
    let room = Room::here(&dir).unwrap();
    let state_bytes = (room.memory / 48).min(room.disk / 36) as usize;
    let how = |concurrent_sizes| Options {
        state_bytes,
        concurrent_sizes,
        ..hollow(Some(vec!["/nowhere/at/all".into()]), &dir)
    };
    check_sizes(&how(false), &[6, 7, 8]).unwrap();
    let said = check_sizes(&how(true), &[6, 7, 8]).unwrap_err().to_string();
    assert!(
        said.contains("21 need") && said.contains("half of"),
        "{said}"
    );
    let entries = std::fs::read_dir(&dir).unwrap().count();
    assert_eq!(entries, 0, "no log of a member was made");
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn needs_are_held_against_each_limit() {
    let needs = Needs::of(900, 0, false);
    let room = Room {
        memory: needs.memory,
        disk: needs.disk,
        descriptors: needs.descriptors,
    };
    assert!(
        needs.fit(900, &room).is_ok() && needs.processes < 20,
        "{needs:?}"
    );
    for (less, word) in [
        (
            Room {
                memory: needs.memory - 1,
                ..room
            },
            "memory",
        ),
        (
            Room {
                disk: needs.disk - 1,
                ..room
            },
            "disk",
        ),
        (
            Room {
                descriptors: needs.descriptors - 1,
                ..room
            },
            "descriptors",
        ),
    ] {
        let said = needs.fit(900, &less).unwrap_err().to_string();
        assert!(said.contains(word) && said.contains("900"), "{said}");
    }
    let many = Needs {
        processes: 301,
        ..needs
    };
    assert!(
        many.fit(900, &room)
            .unwrap_err()
            .to_string()
            .contains("processes")
    );
}

#[test]
fn a_process_that_dies_makes_the_row_void() {
    let dir = directory("dies");
    let how = hollow(Some(vec!["true".into()]), &dir);
    let sweep = sweep(&how, &[6], &AtomicBool::new(false), |_| ()).unwrap();
    let why = sweep.points[0].void.clone().expect("the row is void");
    assert!(why.contains("has ended"), "{why}");
    assert!(
        sweep.lines.iter().all(|l| l.fit.is_none()),
        "a void row has no part in a line"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_sweep_that_is_stopped_is_partial_and_leaves_nothing_behind() {
    for concurrent_sizes in [false, true] {
        let dir = directory("stopped");
        let how = Options {
            concurrent_sizes,
            ..hollow(None, &dir)
        };
        let sweep = sweep(&how, &[4, 6], &AtomicBool::new(true), |_| ()).unwrap();
        assert!(sweep.partial && sweep.points.is_empty());
        assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 0);
        std::fs::remove_dir_all(&dir).unwrap();
    }
}

/// As the unit of time of all that members do; a small one, so that a test does not wait.
fn quick() -> cluster::rules::Rules {
    cluster::rules::Rules {
        lease: 2_000_000,
        change_lease: 1_500_000,
        ..rules()
    }
}

#[test]
fn sizes_side_by_side_stand_in_their_order_and_a_void_one_has_no_part() {
    let dir = directory("beside");
    let how = Options {
        rules: quick(),
        changes: 0,
        concurrent_sizes: true,
        ..hollow(None, &dir)
    };
    let mut told = 0;
    let sweep = sweep(&how, &[6, 4, 3], &AtomicBool::new(false), |_| told += 1).unwrap();
    let sizes: Vec<f64> = sweep.points.iter().map(|p| p.sizes["members"]).collect();
    assert_eq!((sizes, told), (vec![6.0, 4.0, 3.0], 1));
    assert!(
        sweep.is_complete() && sweep.points.iter().all(|p| p.figures["report /s"] > 0.0),
        "{sweep:?}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

/// By docs/CAPACITY.md: about one snapshot for each that comes back with nothing (one that is not answered in time goes again), and none
/// for any that has its disk.
#[test]
fn who_comes_back_with_its_disk_needs_no_snapshot_and_a_zone_with_empty_ones_needs_one_each() {
    const STATE: usize = 20_000;
    let dir = directory("restarts");
    let how = Options {
        rules: quick(),
        periods: 4,
        state_bytes: STATE,
        with_failures: true,
        ..hollow(None, &dir)
    };
    let sweep = restarts::sweep(&how, &[10], &AtomicBool::new(false), |_| ()).unwrap();
    assert!(sweep.is_complete(), "{sweep:?}");
    let of = |hit: &str, what: &str| sweep.points[0].figures[&format!("{hit} {what}")];
    for (hit, members) in [
        ("learners (1 %)", 1.0),
        ("a voter", 1.0),
        ("the leader", 1.0),
        ("a zone", 2.0),
    ] {
        assert_eq!(
            (of(hit, "members"), of(hit, "snapshots")),
            (members, 0.0),
            "{hit}"
        );
        assert!(of(hit, "all decide s") > 0.0, "{hit}");
    }
    let empty = "a zone, empty disks";
    let snapshots = of(empty, "snapshots");
    assert!(
        of(empty, "members") == 2.0 && (2.0..=4.0).contains(&snapshots),
        "{snapshots} snapshots for two"
    );
    let bytes = of(empty, "snapshot bytes") / snapshots;
    assert!(
        bytes > STATE as f64 && bytes < 1.2 * STATE as f64,
        "{bytes} for a state of {STATE}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

/// In virtual time the same is counted each time. A figure of docs/CAPACITY.md with a fifth more is the bound.
#[test]
fn messages_by_kind_grow_no_faster_than_the_page_says() {
    let points: Vec<Point> = [6, 12, 24]
        .into_iter()
        .map(|n| measure_in_virtual_time(n, &rules(), 3, 1).unwrap())
        .collect();
    let slope = |figure: &str| {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|p| (p.sizes["members"], p.figures[figure]))
            .collect();
        Fit::of(&points).unwrap().slope
    };
    for (figure, most) in BOUNDS {
        let slope = slope(figure);
        assert!(
            slope <= 1.2 * most && slope > 0.0,
            "{figure}: {slope:.3} a member, and {most} on the page"
        );
    }
}

/// Figures and their slopes by members, as docs/CAPACITY.md has them.
const BOUNDS: [(&str, f64); 4] = [
    ("messages out /s member", 0.835),
    ("bytes out /s member", 121.5),
    ("confirmation /s", 11.4),
    ("report /s", 0.382),
];

#[test]
fn hollow_members_on_threads_are_a_cluster_and_count_what_they_say() {
    let dir = directory("threads");
    let how = Options {
        rules: quick(),
        periods: 8,
        ..hollow(None, &dir)
    };
    let mut point = Point::default();
    measure(&how, 6, &mut point, &AtomicBool::new(false)).unwrap();
    let of = |name: &str| point.figures[name];
    // Each reports once in 0.75 to 1 of a fifth of its lease; the leader does not write to itself.
    let reports = of("report /s") / 5.0 * 0.4;
    assert!(
        (0.8..=1.5).contains(&reports),
        "{reports} reports of each in a period"
    );
    // A confirmation goes to the five others, and answers at least one report; so does each grant.
    assert!(of("grant /s") <= 1.05 * of("report /s") + 1.0, "{point:?}");
    assert!(
        of("confirmation /s") <= 1.05 * 5.0 * of("report /s") * 6.0 / 5.0 + 5.0,
        "{point:?}"
    );
    assert!(
        of("change messages") > 0.0 && of("change everywhere ms") > 0.0,
        "{point:?}"
    );
    let _ = std::fs::remove_dir_all(&dir);
}
