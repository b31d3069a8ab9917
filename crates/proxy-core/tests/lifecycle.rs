//! Lifecycle of a process: readiness, accepting, idle connections and timeouts during drain and shutdown.
use std::time::Duration;

use balancer::Millis;
use proxy_core::lifecycle::{IdleConnection, Lifecycle, Phase};

fn serving(shared: bool) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(shared);
    lifecycle.mark_list_received();
    lifecycle
}

fn used_connection(since: Millis) -> IdleConnection {
    IdleConnection { since, used: true }
}

#[test]
fn process_is_up_once_it_has_a_list_except_during_a_drain() {
    let mut lifecycle = Lifecycle::new(false);
    assert!(
        !lifecycle.is_up()
            && lifecycle.accepts_connections(0.0)
            && lifecycle.keeps_connections_alive()
    );
    lifecycle.mark_list_received();
    assert!(
        lifecycle.is_up()
            && lifecycle.keeps_connections_alive()
            && !lifecycle.should_close(1e9, used_connection(0.0))
    );
    assert!(lifecycle.set_lame_duck(10.0, true));
    assert_eq!(lifecycle.phase(), Phase::LameDuck);
    assert!(
        !lifecycle.is_up()
            && !lifecycle.keeps_connections_alive()
            && lifecycle.accepts_connections(1e9),
        "the load balancer still calls"
    );
    assert!(lifecycle.set_lame_duck(500.0, true), "repeated call");
    assert!(
        lifecycle.should_close(311.0, used_connection(0.0)),
        "the drain began at the first call"
    );
    assert!(lifecycle.set_lame_duck(900.0, false));
    assert!(
        lifecycle.is_up()
            && lifecycle.keeps_connections_alive()
            && !lifecycle.should_close(1e9, used_connection(0.0))
    );
    assert!(lifecycle.set_lame_duck(901.0, false), "no drain to end");
    assert!(lifecycle.is_up());
}

#[test]
fn idle_connections_close_within_a_second_and_not_while_in_use() {
    let mut lifecycle = serving(false);
    lifecycle.set_lame_duck(1000.0, true);
    assert!(
        !lifecycle.should_close(1200.0, used_connection(0.0)),
        "its client may be about to use it"
    );
    assert!(lifecycle.should_close(1300.0, used_connection(0.0)));
    assert!(!lifecycle.should_close(1400.0, used_connection(1200.0)));
    let fresh = IdleConnection {
        since: 1100.0,
        used: false,
    };
    assert!(!lifecycle.should_close(2000.0, fresh) && lifecycle.should_close(2100.0, fresh));
}

#[test]
fn shutdown_cannot_be_undone_by_ending_a_drain() {
    let mut lifecycle = serving(false);
    lifecycle.set_lame_duck(0.0, true);
    lifecycle.begin_shutdown(100.0);
    lifecycle.begin_shutdown(5000.0);
    assert_eq!(lifecycle.phase(), Phase::ShuttingDown);
    assert!(
        lifecycle.accepts_connections(599.0) && !lifecycle.accepts_connections(600.0),
        "counted from the first signal"
    );
    assert!(
        lifecycle.should_close(300.0, used_connection(0.0)),
        "counted from the drain"
    );
    assert!(lifecycle.set_lame_duck(200.0, true), "it already drains");
    assert!(
        !lifecycle.set_lame_duck(200.0, false),
        "shutdown can't be undone"
    );
    assert!(!lifecycle.is_up());
}

#[test]
fn on_a_shared_listener_only_a_process_with_a_list_accepts_connections() {
    let mut lifecycle = Lifecycle::new(true);
    assert!(!lifecycle.accepts_connections(0.0));
    lifecycle.mark_list_received();
    assert!(lifecycle.accepts_connections(0.0));
    lifecycle.set_lame_duck(1.0, true);
    assert!(
        lifecycle.accepts_connections(2.0),
        "the load balancer has to learn of the drain"
    );
    lifecycle.begin_shutdown(3.0);
    assert!(!lifecycle.accepts_connections(3.0));
}

#[test]
fn a_drain_that_begins_before_the_list_lasts_beyond_it() {
    let mut lifecycle = Lifecycle::new(false);
    lifecycle.set_lame_duck(1.0, true);
    lifecycle.mark_list_received();
    assert_eq!(lifecycle.phase(), Phase::LameDuck);
}

#[test]
fn all_idle_connections_close_before_a_request_on_them_could_be_lost() {
    let mut lifecycle = serving(false);
    lifecycle.begin_shutdown(1000.0);
    for since in [900.0, 1400.0, 1600.0] {
        assert!(
            lifecycle.should_close(1650.0, used_connection(since))
                && lifecycle.should_close(1650.0, IdleConnection { since, used: false })
        );
    }
    assert!(
        !lifecycle.should_close(
            1640.0,
            IdleConnection {
                since: 1400.0,
                used: false
            }
        ),
        "its first request may be on the way"
    );
    let mut lame = serving(false);
    lame.set_lame_duck(1000.0, true);
    assert!(
        !lame.should_close(1650.0, used_connection(1400.0)),
        "no SIGKILL follows a drain"
    );
}

#[test]
fn a_request_that_arrives_late_times_out_before_sigkill() {
    let ms = Duration::from_millis;
    let mut lifecycle = serving(false);
    assert_eq!(lifecycle.request_timeout(1e6, ms(2000), ms(2000)), ms(2000));
    lifecycle.begin_shutdown(1000.0);
    assert_eq!(
        lifecycle.request_timeout(1550.0, ms(2000), ms(2000)),
        ms(2000),
        "it arrived early enough"
    );
    // With a deadline of 300 ms, SIGKILL comes 1,000 ms after SIGTERM or later.
    assert_eq!(lifecycle.request_timeout(1600.0, ms(300), ms(300)), ms(250));
    assert_eq!(
        lifecycle.request_timeout(1900.0, ms(300), ms(300)),
        Duration::ZERO
    );
    // Longer deadlines count as 3 s.
    assert_eq!(
        lifecycle.request_timeout(2000.0, ms(60_000), ms(60_000)),
        ms(2550)
    );
}
