//! Tests of the capacity sweeps: fits, tables, resource estimates, the stop signal and the timer rate of the decision module.

use lab::capacity::module::{self, Distribution};
use lab::capacity::{Beside, Fit, Machine, Needs, Point, Stop, Sweep, servers, tenants};

fn point(tenants: f64, mib: f64) -> Point {
    Point {
        sizes: [("tenants".to_owned(), tenants)].into(),
        figures: [("memory MiB".to_owned(), mib)].into(),
        void: None,
    }
}

#[test]
fn fit_computes_slope_base_residual_and_range() {
    let fit = Fit::of(&[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]).expect("there is a line");
    assert!(
        (fit.slope - 2.0).abs() < 1e-9 && (fit.base - 10.0).abs() < 1e-9 && fit.residual < 1e-9
    );
    assert_eq!((fit.range, fit.points), ([1.0, 4.0], 3));
    let at = fit.at(80.0);
    assert!((at.value - 170.0).abs() < 1e-9 && (at.times - 20.0).abs() < 1e-9);
    let bent = Fit::of(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)]).expect("there is a line");
    assert!((bent.residual - 2.0 / 27.0).abs() < 1e-9, "{bent:?}");
    assert_eq!(Fit::of(&[(1.0, 1.0)]), None);
    assert_eq!(Fit::of(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Fit::of(&[(1.0, 1.0), (2.0, f64::NAN)]), None);
}

#[test]
fn void_points_are_shown_and_excluded_from_fits() {
    let mut sweep = Sweep {
        name: "tenants".into(),
        command: "c".into(),
        ..Sweep::default()
    };
    sweep.points = vec![
        point(1.0, 1.0),
        point(2.0, 2.0),
        Point {
            void: Some("it died".into()),
            ..point(3.0, 0.0)
        },
    ];
    let fit = sweep
        .line("memory MiB", "tenants", 33_000.0)
        .expect("two points count");
    assert!((fit.slope - 1.0).abs() < 1e-9 && fit.points == 2);
    sweep.partial = true;
    let table = sweep.table();
    for part in [
        "void: it died",
        "partial",
        "over ten times",
        "at 33000: 33000",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
    assert_eq!(sweep.line("nothing", "tenants", 1.0), None);
    assert!(sweep.table().contains("nothing by tenants: too few points"));
}

#[test]
fn table_shows_a_second_build_beside_the_first_with_its_own_lines() {
    let mut sweep = Sweep {
        name: "tenants".into(),
        command: "c".into(),
        ..Sweep::default()
    };
    sweep.points = vec![point(1.0, 10.0), point(2.0, 20.0)];
    let points = vec![
        point(1.0, 5.0),
        Point {
            void: Some("it ended".into()),
            ..point(2.0, 0.0)
        },
        point(3.0, 7.0),
    ];
    sweep.beside = Some(Beside {
        command: "other".into(),
        points,
        lines: Vec::new(),
    });
    let fit = sweep
        .line("memory MiB", "tenants", 4.0)
        .expect("two points count");
    assert!(
        (fit.slope - 10.0).abs() < 1e-9,
        "the fit of the first build is returned: {fit:?}"
    );
    let table = sweep.table();
    for part in [
        "|  | beside |  | beside | beside |",
        "| memory MiB | 10 | 5 | 20 | 0 | 7 |",
        "void: it ended (tenants 2, beside)",
        "\nmemory MiB = 0 + 10 x tenants",
        "\nbeside: memory MiB = 4 + 1 x tenants",
        "beside: other",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
    assert!(!sweep.is_complete(), "a point is void");
}

#[test]
fn needs_grow_with_size_and_the_exceeded_resource_is_named() {
    let machine = Machine {
        processor: "p".into(),
        cores: 2,
        memory_mib: 8000.0,
        descriptors: 1024.0,
        disk_mib: 8000.0,
        system: "s".into(),
        load: 0.0,
    };
    let own = |n| tenants::Size::of(tenants::Shape::Own, n).needs();
    assert!(own(8000).memory_mib > own(1000).memory_mib && own(8000).disk_mib > own(1000).disk_mib);
    let shared = tenants::Size::of(tenants::Shape::Shared, 33_000);
    assert_eq!(
        (shared.services, shared.routes, shared.servers()),
        (680, 5300, 12_000),
        "the sizes of the target"
    );
    assert_eq!(own(100).or(own(200)), own(200));
    let beyond = |needs: Needs| needs.beyond(&machine);
    assert_eq!(
        beyond(Needs {
            memory_mib: 4000.0,
            processes: 300.0,
            descriptors: 1024.0,
            disk_mib: 4000.0
        }),
        None
    );
    for (needs, word) in [
        (
            Needs {
                memory_mib: 4001.0,
                ..Needs::default()
            },
            "MiB of memory",
        ),
        (
            Needs {
                processes: 301.0,
                ..Needs::default()
            },
            "processes",
        ),
        (
            Needs {
                descriptors: 1025.0,
                ..Needs::default()
            },
            "RLIMIT_NOFILE",
        ),
        (
            Needs {
                disk_mib: 4001.0,
                ..Needs::default()
            },
            "disk",
        ),
        (
            servers::Size::of(servers::Tenancy::Services, 12_000).needs(),
            "descriptors",
        ),
    ] {
        assert!(
            beyond(needs).is_some_and(|what| what.contains(word)),
            "{word}"
        );
    }
}

#[test]
fn stop_ends_waits_and_kills_registered_processes() {
    let stop = Stop::default();
    let start_process = || {
        std::process::Command::new("sleep")
            .arg("600")
            .spawn()
            .expect("it starts")
    };
    let (mut registered_before, mut registered_after, mut unregistered) =
        (start_process(), start_process(), start_process());
    let _watched = stop.watch(registered_before.id()).expect("it runs");
    drop(stop.watch(unregistered.id()).expect("it runs")); // ends the registration
    assert!(stop.check().is_ok());
    let waiting = stop.clone();
    let waiting_thread =
        std::thread::spawn(move || waiting.sleep(std::time::Duration::from_secs(600)));
    stop.stop();
    let ended = waiting_thread
        .join()
        .expect("it ends")
        .expect_err("it was stopped");
    assert_eq!(ended.kind(), std::io::ErrorKind::Interrupted);
    assert!(!registered_before.wait().expect("it has ended").success());
    let _late = stop.watch(registered_after.id()).expect("it runs");
    assert!(
        !registered_after
            .wait()
            .expect("a process registered after the stop is killed as well")
            .success()
    );
    assert!(
        unregistered
            .try_wait()
            .expect("its state can be read")
            .is_none(),
        "it is still running"
    );
    unregistered
        .kill()
        .and_then(|()| unregistered.wait())
        .expect("it is killed");
}

#[test]
fn decision_module_timers_stay_within_the_documented_rate() {
    // docs/CAPACITY.md: 50 scans of the servers per second, idle and under load, so that a proxy with all servers scans 50 times
    // their number per second. A higher timer rate would increase its idle CPU time.
    for (distribution, modules) in [
        (Distribution::One, [1.0, 1.0]),
        (Distribution::Services, [12.0, 45.0]),
    ] {
        let [small, large] = [200, 800].map(|servers| module::simulate(distribution, servers, 1));
        for (m, modules) in [small, large].iter().zip(modules) {
            assert!(
                m.timers
                    .iter()
                    .all(|timers| *timers <= 1.2 * 50.0 * modules),
                "{distribution:?}: {m:?}"
            );
            assert!(
                m.unsent == 0 && (m.requests - servers::REQUESTS_PER_SECOND).abs() < 1.0,
                "{distribution:?}: {m:?}"
            );
        }
        let slope = (large.scanned_servers[0] - small.scanned_servers[0]) / 600.0;
        assert!(
            slope <= 1.2 * 50.0 && slope > 0.0,
            "{distribution:?}: {slope} scans per second and server"
        );
    }
}
