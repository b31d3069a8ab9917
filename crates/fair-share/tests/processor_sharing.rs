//! Processor sharing between tenants with unbounded, low, no and capped demand.

use fair_share::{ProcessorSharing, RateQuota, TenantId};

const A: TenantId = TenantId(0);
const B: TenantId = TenantId(1);

fn server(weights: &[f64]) -> ProcessorSharing {
    let mut server = ProcessorSharing::new(1.0);
    for (index, &weight) in weights.iter().enumerate() {
        server.set_quota(
            0.0,
            TenantId(index),
            RateQuota {
                weight,
                burst: 10.0,
                max_rate_ratio: 1.0,
            },
        );
    }
    server
}

/// Lets each tenant demand work at its interval in ms until `end`; returns the work admitted for each.
fn run_demands(server: &mut ProcessorSharing, intervals: &[f64], work: f64, end: f64) -> Vec<f64> {
    let mut done = vec![0.0; intervals.len()];
    let mut next = vec![0.0f64; intervals.len()];
    loop {
        let (index, at) = next
            .iter()
            .copied()
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap();
        if at >= end {
            return done;
        }
        next[index] += intervals[index];
        if server.admit(at, TenantId(index)).is_ok() {
            server.charge(at, TenantId(index), work);
            done[index] += work;
        }
    }
}

#[test]
fn greedy_tenants_share_the_whole_rate_by_weight() {
    let done = run_demands(&mut server(&[1.0, 3.0]), &[0.01, 0.01], 0.05, 4000.0);
    assert!(
        (done[0] / 1000.0 - 1.0).abs() < 0.02 && (done[1] / 3000.0 - 1.0).abs() < 0.02,
        "{done:?}"
    );
}

#[test]
fn an_unused_share_is_divided_among_the_others_by_weight() {
    // The third tenant demands a tenth of the rate; its share is a third.
    let done = run_demands(
        &mut server(&[1.0, 2.0, 1.5]),
        &[0.01, 0.01, 0.5],
        0.05,
        4000.0,
    );
    assert!((done[2] / 400.0 - 1.0).abs() < 0.01, "{done:?}");
    assert!(
        (done[0] / 1200.0 - 1.0).abs() < 0.03 && (done[1] / 2400.0 - 1.0).abs() < 0.03,
        "{done:?}"
    );
}

#[test]
fn an_idle_tenant_may_burst_and_gets_a_retry_time_beyond_it() {
    let mut server = server(&[1.0, 1.0]);
    run_demands(&mut server, &[0.01], 0.05, 1000.0);
    for _ in 0..90 {
        assert_eq!(server.admit(1000.0, B), Ok(()));
        server.charge(1000.0, B, 0.11);
    }
    server.charge(1000.0, B, 1.1);
    let wait = server.admit(1000.0, B).unwrap_err();
    assert!(
        (wait - 2.0).abs() < 0.1,
        "1 ms over, at half the rate: {wait}"
    );
    assert!(server.admit(1000.0 + wait + 0.1, B).is_ok());
}

#[test]
fn the_rate_cap_holds_while_other_tenants_are_idle() {
    let mut server = ProcessorSharing::new(1.0);
    server.set_quota(
        0.0,
        A,
        RateQuota {
            weight: 1.0,
            burst: 5.0,
            max_rate_ratio: 0.25,
        },
    );
    let done = run_demands(&mut server, &[0.01], 0.05, 4000.0);
    assert!((done[0] - 1005.0).abs() < 1.0, "{done:?}");
}

#[test]
fn the_backlog_of_a_rejected_flood_is_bounded_and_an_unknown_tenant_is_rejected() {
    let mut server = server(&[1.0, 1.0]);
    (0..100_000).for_each(|_| server.charge(0.0, A, 0.1));
    assert_eq!(server.backlog(A), 40.0);
    assert!(server.admit(41.0, A).is_ok());
    assert_eq!(server.admit(0.0, TenantId(9)), Err(f64::INFINITY));
    server.remove(A);
    assert_eq!((server.backlog(A), server.backlogged_weight()), (0.0, 0.0));
}
