//! Where a process stands between its start and its end.
use std::time::Duration;

use balancer::Millis;
use proxy_core::lifecycle::{Idle, Lifecycle, Phase};

fn serving(shared: bool) -> Lifecycle {
    let mut life = Lifecycle::new(shared);
    life.listed();
    life
}

fn used(since: Millis) -> Idle {
    Idle { since, used: true }
}

#[test]
fn it_is_up_from_its_list_to_a_drain_and_again_after() {
    let mut life = Lifecycle::new(false);
    assert!(!life.is_up() && life.accepts(0.0) && life.keeps());
    life.listed();
    assert!(life.is_up() && life.keeps() && !life.may_close(1e9, used(0.0)));
    assert!(life.lame_duck(10.0, true));
    assert_eq!(life.phase(), Phase::LameDuck);
    assert!(
        !life.is_up() && !life.keeps() && life.accepts(1e9),
        "the front still asks"
    );
    assert!(life.lame_duck(500.0, true), "said again");
    assert!(life.may_close(311.0, used(0.0)), "the first call counts");
    assert!(life.lame_duck(900.0, false));
    assert!(life.is_up() && life.keeps() && !life.may_close(1e9, used(0.0)));
    assert!(life.lame_duck(901.0, false), "off without on");
    assert!(life.is_up());
}

#[test]
fn idle_connections_close_within_a_second_and_those_in_use_do_not_cross() {
    let mut life = serving(false);
    life.lame_duck(1000.0, true);
    assert!(
        !life.may_close(1200.0, used(0.0)),
        "its client may be about to use it"
    );
    assert!(life.may_close(1300.0, used(0.0)));
    assert!(!life.may_close(1400.0, used(1200.0)));
    let fresh = Idle {
        since: 1100.0,
        used: false,
    };
    assert!(!life.may_close(2000.0, fresh) && life.may_close(2100.0, fresh));
}

#[test]
fn a_process_that_leaves_stays_away_whatever_is_said() {
    let mut life = serving(false);
    life.lame_duck(0.0, true);
    life.leave(100.0);
    life.leave(5000.0);
    assert_eq!(life.phase(), Phase::Leaving);
    assert!(
        life.accepts(599.0) && !life.accepts(600.0),
        "from the first signal"
    );
    assert!(life.may_close(300.0, used(0.0)), "from the drain");
    assert!(life.lame_duck(200.0, true), "that it does");
    assert!(!life.lame_duck(200.0, false), "it can't be called back");
    assert!(!life.is_up());
}

#[test]
fn on_a_shared_listener_only_one_that_can_serve_takes_connections() {
    let mut life = Lifecycle::new(true);
    assert!(!life.accepts(0.0));
    life.listed();
    assert!(life.accepts(0.0));
    life.lame_duck(1.0, true);
    assert!(life.accepts(2.0), "who else would tell the front?");
    life.leave(3.0);
    assert!(!life.accepts(3.0));
}

#[test]
fn a_drain_before_the_list_holds_when_it_comes() {
    let mut life = Lifecycle::new(false);
    life.lame_duck(1.0, true);
    life.listed();
    assert_eq!(life.phase(), Phase::LameDuck);
}

#[test]
fn whatever_is_idle_closes_before_a_request_on_it_could_be_lost() {
    let mut life = serving(false);
    life.leave(1000.0);
    for since in [900.0, 1400.0, 1600.0] {
        assert!(
            life.may_close(1650.0, used(since))
                && life.may_close(1650.0, Idle { since, used: false })
        );
    }
    assert!(
        !life.may_close(
            1640.0,
            Idle {
                since: 1400.0,
                used: false
            }
        ),
        "its first request may be on the way"
    );
    let mut lame = serving(false);
    lame.lame_duck(1000.0, true);
    assert!(
        !lame.may_close(1650.0, used(1400.0)),
        "nobody kills a drained process"
    );
}

#[test]
fn a_request_that_comes_late_has_its_answer_before_the_kill() {
    let ms = Duration::from_millis;
    let mut life = serving(false);
    assert_eq!(life.patience(1e6, ms(2000), ms(2000)), ms(2000));
    life.leave(1000.0);
    assert_eq!(
        life.patience(1550.0, ms(2000), ms(2000)),
        ms(2000),
        "it is not lost by the rule"
    );
    // A deadline of 300 ms: SIGKILL at 1,000 ms after SIGTERM, or later.
    assert_eq!(life.patience(1600.0, ms(300), ms(300)), ms(250));
    assert_eq!(life.patience(1900.0, ms(300), ms(300)), Duration::ZERO);
    // Longer deadlines count as 3 s.
    assert_eq!(life.patience(2000.0, ms(60_000), ms(60_000)), ms(2550));
}
