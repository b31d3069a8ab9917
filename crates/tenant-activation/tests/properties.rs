//! However tenants ask: never more residents than places, nobody with work is put out, everybody gets a turn, all is bounded.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tenant_activation::{Admission, Millis, ResidentSet, Terms};

const TERMS: Terms = Terms {
    most: 8,
    rest_after: 5_000.0,
    least_stay: 250.0,
    hold: 2_000.0,
    most_waiting: 32,
};

#[derive(Clone, Debug)]
enum Step {
    Ask(u16),
    /// Something of a resident's is under way, for so many ms.
    Work(u16, u16),
    Pass(u16),
    Rest,
    Forget(u16),
    Pin(u16),
    Unpin(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..60u16).prop_map(Step::Ask),
        3 => (0..60u16, 1..2000u16).prop_map(|(who, ms)| Step::Work(who, ms)),
        4 => (1..1500u16).prop_map(Step::Pass),
        1 => Just(Step::Rest),
        1 => (0..60u16).prop_map(Step::Forget),
        1 => (0..60u16).prop_map(Step::Pin),
        1 => (0..60u16).prop_map(Step::Unpin),
    ]
}

proptest! {
    #[test]
    fn the_bound_holds_and_nobody_with_work_is_put_out(steps in prop::collection::vec(step(), 1..400)) {
        let mut set = ResidentSet::new(TERMS);
        let (mut now, mut here, mut pinned) = (0.0, BTreeSet::new(), BTreeSet::new());
        let mut busy: BTreeMap<u16, Millis> = BTreeMap::new();
        let mut since: BTreeMap<u16, Millis> = BTreeMap::new();
        for step in steps {
            let works = |who: &u16, now: Millis| busy.get(who).is_some_and(|until| *until > now);
            match step {
                Step::Ask(who) => {
                    let had = here.contains(&who) || pinned.contains(&who);
                    match set.ask(now, &who, |other| !works(other, now)) {
                        Ok(Admission::Resident) => prop_assert!(had),
                        Ok(Admission::Woken) => prop_assert!(!had && here.insert(who)),
                        Ok(Admission::InPlaceOf(other)) => {
                            prop_assert!(!had && here.remove(&other) && here.insert(who));
                            prop_assert!(!works(&other, now), "{other} had work");
                            prop_assert!(now - since[&other] >= TERMS.least_stay, "{other} had just come");
                        }
                        Err(wait) => {
                            prop_assert!(!had && wait.span >= 1.0 && wait.span <= 10_000.0);
                            // Each place has somebody in it, or somebody before it in the line who was told to come.
                            prop_assert!(here.len() + set.waiting() > set.places(), "nobody is in its way");
                        }
                    }
                    if !had && here.contains(&who) {
                        since.insert(who, now);
                    }
                }
                Step::Work(who, ms) => {
                    if here.contains(&who) {
                        busy.insert(who, now + f64::from(ms));
                    }
                }
                Step::Pass(ms) => now += f64::from(ms),
                Step::Rest => {
                    for who in set.rest(now, 4, |other| !works(other, now)) {
                        prop_assert!(here.remove(&who) && !works(&who, now));
                    }
                }
                Step::Forget(who) => {
                    set.forget(&who);
                    here.remove(&who);
                    pinned.remove(&who);
                    busy.remove(&who);
                }
                Step::Pin(who) => {
                    set.pin(&who);
                    here.remove(&who);
                    pinned.insert(who);
                }
                Step::Unpin(who) => {
                    set.unpin(now, &who);
                    if pinned.remove(&who) {
                        here.insert(who);
                        since.insert(who, now);
                    }
                }
            }
            prop_assert_eq!(set.len(), here.len() + pinned.len());
            prop_assert!(here.iter().chain(&pinned).all(|who| set.has(who)));
            prop_assert!(set.waiting() <= TERMS.most_waiting);
        }
    }

    /// With nobody pinned and each resident idle at some moment of each 300 ms, who comes back when told has a place after as many
    /// stays as there are tenants before it for each place, and one more, whatever those do that never wait as told.
    #[test]
    fn each_that_comes_back_as_told_gets_a_place_in_time(
        seed in 0..u64::MAX, patient in 1..24usize, greedy in 1..40usize, most in 1..6usize
    ) {
        let terms = Terms { most, most_waiting: 256, ..TERMS };
        let mut set = ResidentSet::new(terms);
        let mut state = seed | 1;
        let mut draw = move |n: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % n
        };
        let mut due: BTreeMap<usize, (Millis, Millis)> = (0..patient).map(|who| (who, (0.0, 0.0))).collect();
        let mut served = BTreeSet::new();
        let works = |who: &usize, now: Millis| (now as u64 + *who as u64 * 37) % 300 < 200;
        // Each turn of the line: it has stayed, its work ends, and its tenant comes, at most.
        let turn = terms.least_stay + 300.0;
        let ahead = (patient + greedy).div_ceil(most) as f64 + 1.0;
        let bound = ahead * (turn + terms.hold) + 10_000.0;
        let mut now = 0.0;
        while now < bound && served.len() < patient {
            // Others ask all the time, in whatever order, and stay as long as they are let.
            for _ in 0..8 {
                let who = 1000 + draw(greedy as u64) as usize;
                let _ = set.ask(now, &who, |other| !works(other, now));
            }
            for (who, (at, _)) in &mut due {
                if *at > now || served.contains(who) {
                    continue;
                }
                match set.ask(now, who, |other| !works(other, now)) {
                    Ok(_) => _ = served.insert(*who),
                    // As told, or a little later.
                    Err(wait) => *at = now + wait.span + draw(200) as f64,
                }
            }
            now += 10.0;
            prop_assert!(set.len() <= most);
        }
        prop_assert_eq!(served.len(), patient, "after {} ms", bound);
    }
}

#[test]
fn who_is_idle_longest_goes_first_and_the_first_that_asked_comes_first() {
    let terms = Terms { most: 2, ..TERMS };
    let mut set = ResidentSet::new(terms);
    let idle = |_: &&str| true;
    assert_eq!(set.ask(0.0, &"a", idle), Ok(Admission::Woken));
    assert_eq!(set.ask(1.0, &"b", idle), Ok(Admission::Woken));
    assert_eq!(set.ask(2.0, &"a", idle), Ok(Admission::Resident));
    // Both have just come.
    let first = set.ask(10.0, &"c", idle).unwrap_err();
    assert!(first.in_line && first.span >= 240.0, "{first:?}");
    assert_eq!(
        set.ask(11.0, &"c", idle).unwrap_err().span,
        first.span,
        "its turn is the same"
    );
    set.ask(20.0, &"d", idle).unwrap_err();
    set.ask(30.0, &"e", idle).unwrap_err();
    assert_eq!((set.waiting(), set.counts().refused), (3, 4));
    // One more than there are places for: two stand before it, whether they are here or not.
    assert_eq!(set.ask(300.0, &"e", idle).map_err(|w| w.in_line), Err(true));
    assert_eq!(set.ask(300.0, &"d", idle), Ok(Admission::InPlaceOf("b")));
    assert_eq!(set.ask(300.0, &"c", idle), Ok(Admission::InPlaceOf("a")));
    assert_eq!(set.waiting(), 1);
    // One with something under way stays however long it is idle otherwise.
    assert_eq!(
        set.ask(700.0, &"e", |who| *who != "d"),
        Ok(Admission::InPlaceOf("c"))
    );
    assert_eq!(set.rest(9_000.0, 9, |who| *who != "d"), ["e"]);
    assert_eq!(set.rest(9_100.0, 9, idle), [""; 0], "it was seen in use");
    assert_eq!(set.rest(14_001.0, 9, idle), ["d"]);
    assert_eq!(
        (
            set.counts().wakes,
            set.counts().rests,
            set.counts().evictions
        ),
        (5, 5, 3)
    );
}

#[test]
fn a_turn_that_nobody_comes_for_is_the_next_ones() {
    let mut set = ResidentSet::new(Terms { most: 1, ..TERMS });
    let idle = |_: &u32| true;
    assert_eq!(set.ask(0.0, &0, idle), Ok(Admission::Woken));
    let told = set.ask(1.0, &1, idle).unwrap_err().span;
    set.ask(2.0, &2, idle).unwrap_err();
    // The first never comes: its turn is kept for a while after the time that it was told, and no longer.
    let kept = 1.0 + told + TERMS.hold;
    assert!(
        set.ask(kept, &2, idle).is_err(),
        "it is the first one's still"
    );
    assert_eq!(set.ask(kept + 1.0, &2, idle), Ok(Admission::InPlaceOf(0)));
    assert!(
        set.ask(kept + 2.0, &1, idle).unwrap_err().in_line,
        "it stands at the end now"
    );
}

#[test]
fn pinned_ones_leave_an_eighth_of_the_places_to_others() {
    let mut set = ResidentSet::new(TERMS);
    (100..120).for_each(|who| set.pin(&who));
    assert_eq!((set.len(), set.pinned(), set.places()), (20, 20, 1));
    assert_eq!(set.ask(0.0, &1, |_| true), Ok(Admission::Woken));
    assert_eq!(set.ask(300.0, &2, |_| true), Ok(Admission::InPlaceOf(1)));
    assert!(
        set.rest(1e6, 99, |_| true) == [2] && set.len() == 20,
        "those stay whatever happens"
    );
    (100..115).for_each(|who| set.unpin(1e6, &who));
    // Fewer places than there are residents: the oldest go with the next look.
    assert_eq!((set.places(), set.len()), (3, 20));
    assert_eq!(set.rest(1e6, 99, |_| true).len(), 12);
}
