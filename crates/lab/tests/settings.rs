//! The settings that a real proxy reads are those that the module gets in virtual time.
use lab::scenario::Scenario;
use lab::shipped;
use settings::PlatformSettings;

#[test]
fn both_clocks_play_with_the_same_settings() {
    for (name, text) in shipped::ALL {
        let s = Scenario::parse(name, text).unwrap();
        for proxy in 0..s.proxies.count {
            let read = PlatformSettings::from_json(&lab::real::settings_json(&s, proxy)).settings;
            assert_eq!(
                format!("{read:?}"),
                format!("{:?}", lab::settings::of(&s, proxy)),
                "{name}"
            );
        }
    }
}
