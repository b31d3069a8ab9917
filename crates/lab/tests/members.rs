//! Tests of the member sweeps: checks of the sizes, void and partial results, snapshots after restarts, and the growth of
//! traffic in virtual time, which is deterministic.

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
fn invalid_or_oversized_member_counts_are_rejected_before_start() {
    let dir = directory("refused");
    let stop = AtomicBool::new(false);
    let rejection = |sizes: &[usize], state_bytes| {
        let options = Options {
            state_bytes,
            ..hollow(Some(vec!["/nowhere/at/all".into()]), &dir)
        };
        let e = sweep(&options, sizes, &stop, |_| {
            panic!("no measurement must start")
        })
        .unwrap_err();
        assert_eq!(e.kind(), std::io::ErrorKind::InvalidInput, "{e}");
        e.to_string()
    };
    assert!(rejection(&[], 0).contains("no size"));
    assert!(rejection(&[0], 0).contains("0 are no cluster"));
    assert!(
        rejection(&[6, 20_000], 0).contains("20000"),
        "all sizes are checked first"
    );
    let message = rejection(&[900], 1 << 30);
    assert!(
        message.contains("900") && message.contains("half of the machine's"),
        "{message}"
    );
    // Concurrent sizes may each fit, but exceed the machine together.
    let room = Room::here(&dir).unwrap();
    let state_bytes = (room.memory / 48).min(room.disk / 36) as usize;
    let options = |concurrent_sizes| Options {
        state_bytes,
        concurrent_sizes,
        ..hollow(Some(vec!["/nowhere/at/all".into()]), &dir)
    };
    check_sizes(&options(false), &[6, 7, 8]).unwrap();
    let message = check_sizes(&options(true), &[6, 7, 8])
        .unwrap_err()
        .to_string();
    assert!(
        message.contains("21 need") && message.contains("half of"),
        "{message}"
    );
    let entries = std::fs::read_dir(&dir).unwrap().count();
    assert_eq!(entries, 0, "no log of a member was created");
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn needs_are_checked_against_each_limit() {
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
        let message = needs.fit(900, &less).unwrap_err().to_string();
        assert!(
            message.contains(word) && message.contains("900"),
            "{message}"
        );
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
fn exited_process_makes_the_point_void() {
    let dir = directory("dies");
    let options = hollow(Some(vec!["true".into()]), &dir);
    let sweep = sweep(&options, &[6], &AtomicBool::new(false), |_| ()).unwrap();
    let why = sweep.points[0].void.clone().expect("the point is void");
    assert!(why.contains("has ended"), "{why}");
    assert!(
        sweep.lines.iter().all(|l| l.fit.is_none()),
        "a void point is excluded from fits"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn stopped_sweep_is_partial_and_leaves_no_files() {
    for concurrent_sizes in [false, true] {
        let dir = directory("stopped");
        let options = Options {
            concurrent_sizes,
            ..hollow(None, &dir)
        };
        let sweep = sweep(&options, &[4, 6], &AtomicBool::new(true), |_| ()).unwrap();
        assert!(sweep.partial && sweep.points.is_empty());
        assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 0);
        std::fs::remove_dir_all(&dir).unwrap();
    }
}

/// Rules with a short lease, on which the timing of members is based, so that tests are fast.
fn short_lease_rules() -> cluster::rules::Rules {
    cluster::rules::Rules {
        lease: 2_000_000,
        change_lease: 1_500_000,
        ..rules()
    }
}

#[test]
fn concurrent_sizes_are_reported_in_order() {
    let dir = directory("beside");
    let options = Options {
        rules: short_lease_rules(),
        changes: 0,
        concurrent_sizes: true,
        ..hollow(None, &dir)
    };
    let mut report_count = 0;
    let sweep = sweep(&options, &[6, 4, 3], &AtomicBool::new(false), |_| {
        report_count += 1
    })
    .unwrap();
    let sizes: Vec<f64> = sweep.points.iter().map(|p| p.sizes["members"]).collect();
    assert_eq!((sizes, report_count), (vec![6.0, 4.0, 3.0], 1));
    assert!(
        sweep.is_complete() && sweep.points.iter().all(|p| p.figures["report /s"] > 0.0),
        "{sweep:?}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

/// docs/CAPACITY.md: about one snapshot for each member that restarts with an empty disk (a snapshot that is not acknowledged in
/// time is sent again), and none for a member that keeps its disk.
#[test]
fn only_members_restarted_with_empty_disks_receive_snapshots() {
    const STATE: usize = 20_000;
    let dir = directory("restarts");
    let options = Options {
        rules: short_lease_rules(),
        periods: 4,
        state_bytes: STATE,
        with_failures: true,
        ..hollow(None, &dir)
    };
    let sweep = restarts::sweep(&options, &[10], &AtomicBool::new(false), |_| ()).unwrap();
    assert!(sweep.is_complete(), "{sweep:?}");
    let figure = |target: &str, what: &str| sweep.points[0].figures[&format!("{target} {what}")];
    for (target, members) in [
        ("learners (1 %)", 1.0),
        ("a voter", 1.0),
        ("the leader", 1.0),
        ("a zone", 2.0),
    ] {
        assert_eq!(
            (figure(target, "members"), figure(target, "snapshots")),
            (members, 0.0),
            "{target}"
        );
        assert!(figure(target, "all decide s") > 0.0, "{target}");
    }
    let empty = "a zone, empty disks";
    let snapshots = figure(empty, "snapshots");
    assert!(
        figure(empty, "members") == 2.0 && (2.0..=4.0).contains(&snapshots),
        "{snapshots} snapshots for two"
    );
    let bytes = figure(empty, "snapshot bytes") / snapshots;
    assert!(
        bytes > STATE as f64 && bytes < 1.2 * STATE as f64,
        "{bytes} for a state of {STATE}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Counts in virtual time are deterministic. The bound is 1.2 times the slope in docs/CAPACITY.md.
#[test]
fn traffic_grows_within_the_documented_slopes() {
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
    for (figure, max) in BOUNDS {
        let slope = slope(figure);
        assert!(
            slope <= 1.2 * max && slope > 0.0,
            "{figure}: {slope:.3} a member, and {max} on the page"
        );
    }
}

/// Figures and their slopes per member from docs/CAPACITY.md.
const BOUNDS: [(&str, f64); 4] = [
    ("messages out /s member", 0.835),
    ("bytes out /s member", 121.5),
    ("confirmation /s", 11.4),
    ("report /s", 0.382),
];

#[test]
fn hollow_members_on_threads_form_a_cluster_and_count_messages() {
    let dir = directory("threads");
    let options = Options {
        rules: short_lease_rules(),
        periods: 8,
        ..hollow(None, &dir)
    };
    let mut point = Point::default();
    measure(&options, 6, &mut point, &AtomicBool::new(false)).unwrap();
    let of = |name: &str| point.figures[name];
    // Each member reports once per 0.75 to 1 times a fifth of its lease; the leader sends no report to itself.
    let reports = of("report /s") / 5.0 * 0.4;
    assert!(
        (0.8..=1.5).contains(&reports),
        "{reports} reports of each in a period"
    );
    // A confirmation is sent to the five other members and responds to at least one report; so does a grant.
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
