//! Guards against different settings of a real proxy and of the decision module in virtual time.
use lab::scenario::Scenario;
use lab::shipped;
use settings::PlatformSettings;

#[test]
fn real_and_virtual_time_runs_use_the_same_settings() {
    for (name, text) in shipped::ALL {
        let s = Scenario::parse(name, text).unwrap();
        for proxy in 0..s.proxies.count {
            let read = PlatformSettings::from_json(&lab::real::settings_json(&s, proxy)).settings;
            assert_eq!(
                format!("{read:?}"),
                format!("{:?}", lab::settings::for_proxy(&s, proxy)),
                "{name}"
            );
        }
    }
}
