//! The properties file of the optional features.

use std::path::Path;
use std::time::Duration;

use settings::properties::{
    CaptureSettings, FaultInjectionSettings, FeatureSettings, MetricsFormat, MetricsSettings,
    Secret,
};

fn error(text: &str) -> String {
    FeatureSettings::parse("f", text)
        .expect_err(text)
        .to_string()
}

#[test]
fn a_file_of_comments_leaves_all_features_off() {
    assert_eq!(
        FeatureSettings::parse("f", "# a comment\r\n\n   # another\n"),
        Ok(FeatureSettings::default())
    );
}

#[test]
fn an_invalid_line_is_reported_with_file_line_and_key() {
    assert_eq!(error("\nno.such = 1\n"), "f:2: no.such: no such key");
    assert_eq!(error("b = 1\na = 1\n"), "f:1: b: no such key");
    assert_eq!(
        error("a.key = 1\n#\n a.key=2\n"),
        "f:3: a.key: already set in line 1"
    );
    assert!(error("a.key\n").starts_with("f:1: a.key: there is no value"));
    assert!(error("a.key = \n").starts_with("f:1: a.key: there is no value"));
}

#[test]
fn client_settings_are_read_and_have_defaults() {
    let parse = |text: &str| FeatureSettings::parse("f", text).expect(text).client;
    let default = parse("");
    assert_eq!(default.target, None);
    assert_eq!(default.lookup_deadline, Duration::from_millis(2500));
    assert_eq!(default.checkout_deadline, Duration::from_millis(2000));
    assert_eq!((default.max_attempts, default.mark_retries), (3, true));
    let parsed = parse(
        "client.target = 127.0.0.1:9000\nclient.deadline.lookup = 900 ms\n\
        client.deadline.checkout=800\nclient.max_tries = 1\nclient.mark_retries = false",
    );
    let expected = client::Settings {
        target: Some("127.0.0.1:9000".into()),
        lookup_deadline: Duration::from_millis(900),
        checkout_deadline: Duration::from_millis(800),
        max_attempts: 1,
        mark_retries: false,
    };
    assert_eq!(parsed, expected);
    for (line, fragment) in [
        ("client.target = 127.0.0.1", "HOST:PORT"),
        ("client.target = :9000", "HOST:PORT"),
        ("client.target = a b:9000", "HOST:PORT"),
        ("client.deadline.lookup = 0", "from 1 to"),
        ("client.deadline.checkout = 2 s", "from 1 to"),
        ("client.max_tries = 101", "from 1 to 100"),
        ("client.mark_retries = yes", "neither true nor false"),
    ] {
        let error = error(line);
        assert!(
            error.contains(fragment) && error.starts_with("f:1: client."),
            "{line}: {error}"
        );
    }
}

#[test]
fn capture_is_off_unless_enabled() {
    let parse = |text: &str| FeatureSettings::parse("f", text).expect(text).capture;
    assert_eq!(
        parse(""),
        CaptureSettings {
            enabled: false,
            directory: None
        }
    );
    let parsed = parse("capture.enabled = true\ncapture.dir = /var/lib/x y");
    assert_eq!(
        parsed,
        CaptureSettings {
            enabled: true,
            directory: Some("/var/lib/x y".into())
        }
    );
    assert!(error("capture.enabled = 1").contains("f:1: capture.enabled: '1' is neither"));
}

#[test]
fn fault_injection_is_off_without_a_secret_which_is_never_shown() {
    let parse = |text: &str| {
        FeatureSettings::parse("f", text)
            .expect(text)
            .fault_injection
    };
    assert_eq!(
        parse(""),
        FaultInjectionSettings {
            secret: None,
            port: None,
            max_duration: Duration::from_secs(300)
        }
    );
    let parsed = parse("drills.secret = open=sesame\ndrills.port = 9100\ndrills.max_seconds = 9");
    assert_eq!(
        (parsed.port, parsed.max_duration),
        (Some(9100), Duration::from_secs(9))
    );
    assert_eq!(
        parsed.secret.as_ref().map(Secret::bytes),
        Some(&b"open=sesame"[..])
    );
    assert!(!format!("{parsed:?}").contains("sesame"));
    assert!(!error("drills.secret = open sesame").contains("sesame"));
    for line in [
        "drills.port = 65536",
        "drills.port = -1",
        "drills.max_seconds = 0",
    ] {
        assert!(error(line).contains("not an integer from"), "{line}");
    }
}

#[test]
fn metrics_settings_are_read_and_have_defaults() {
    let parse = |text: &str| FeatureSettings::parse("f", text).expect(text).metrics;
    let default = parse("");
    assert!(!default.enabled && default.format == MetricsFormat::Statsd);
    assert_eq!(
        (default.flush_interval, default.max_datagram_bytes),
        (Duration::from_millis(1000), 1400)
    );
    assert_eq!((default.file, default.udp_address), (None, None));
    let parsed = parse(
        "figures.enabled = true\nfigures.format = influx\nfigures.flush_ms = 50\n\
        figures.batch_bytes = 512\nfigures.file = /var/log/x\nfigures.udp = 127.0.0.1:8125",
    );
    let expected = MetricsSettings {
        enabled: true,
        format: MetricsFormat::Influx,
        flush_interval: Duration::from_millis(50),
        max_datagram_bytes: 512,
        file: Some("/var/log/x".into()),
        udp_address: "127.0.0.1:8125".parse().ok(),
    };
    assert_eq!(parsed, expected);
    for (line, fragment) in [
        ("figures.format = graphite", "neither statsd nor influx"),
        ("figures.flush_ms = 0", "from 1 to"),
        ("figures.batch_bytes = 511", "from 512 to"),
        ("figures.udp = 127.0.0.1", "not an IP address with a port"),
        ("figures.udp = 127.0.0.1:0", "not an IP address with a port"),
    ] {
        assert!(error(line).contains(fragment), "{line}: {}", error(line));
    }
}

#[test]
fn an_unreadable_file_is_reported_by_name() {
    let error = FeatureSettings::read(Path::new("/no/such/file"))
        .expect_err("nothing there")
        .to_string();
    assert!(error.starts_with("/no/such/file: "), "{error}");
}
