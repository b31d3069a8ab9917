//! Lines through what was measured.

use lab::capacity::{Fit, Point, Sweep};

fn point(tenants: f64, mib: f64) -> Point {
    Point {
        sizes: [("tenants".to_owned(), tenants)].into(),
        figures: [("memory MiB".to_owned(), mib)].into(),
        void: None,
    }
}

#[test]
fn a_line_has_slope_base_residual_and_range() {
    let fit = Fit::of(&[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]).expect("there is a line");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.base - 10.0).abs() < 1e-9 && fit.residual < 1e-9);
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
fn a_void_point_is_shown_and_has_no_part_in_a_line() {
    let mut sweep = Sweep { name: "tenants".into(), command: "c".into(), ..Sweep::default() };
    sweep.points =
        vec![point(1.0, 1.0), point(2.0, 2.0), Point { void: Some("it died".into()), ..point(3.0, 0.0) }];
    let fit = sweep.line("memory MiB", "tenants", 33_000.0).expect("two points count");
    assert!((fit.slope - 1.0).abs() < 1e-9 && fit.points == 2);
    sweep.partial = true;
    let table = sweep.table();
    for part in ["void: it died", "partial", "over ten times", "at 33000: 33000"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    assert_eq!(sweep.line("nothing", "tenants", 1.0), None);
    assert!(sweep.table().contains("nothing by tenants: too few points"));
}
