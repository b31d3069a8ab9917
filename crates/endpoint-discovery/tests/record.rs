//! Encoding of records and keys in the store.
use endpoint_discovery::{EndpointRecord, EndpointState, KeySpace, range_end};

#[test]
fn unknown_fields_are_preserved_and_invalid_values_rejected() {
    let text = r#"{"v":3,"address":"127.0.0.1:9","rack":"r7","size":2.0,"nested":{"a":[1]}}"#;
    let record = EndpointRecord::parse(text.as_bytes()).unwrap();
    assert_eq!(
        (record.state, record.unknown_fields["rack"].as_str()),
        (EndpointState::Up, Some("r7"))
    );
    let again = EndpointRecord::parse(record.to_json().as_bytes()).unwrap();
    assert_eq!(record, again);
    for invalid in [
        "",
        "{}",
        "[]",
        r#"{"address":"x"}"#,
        r#"{"address":"127.0.0.1:9","size":0}"#,
        r#"{"v":0,"address":"127.0.0.1:9"}"#,
    ] {
        assert!(
            EndpointRecord::parse(invalid.as_bytes()).is_err(),
            "{invalid}"
        );
    }
    assert!(EndpointRecord::parse(&vec![b' '; 20_000]).is_err());
}

#[test]
fn only_endpoint_keys_of_the_pool_have_a_name() {
    let keys = KeySpace::new("/canvascart/", "north");
    assert_eq!(keys.endpoint_key("n1"), "/canvascart/north/servers/n1");
    assert_eq!(
        keys.endpoint_name(b"/canvascart/north/servers/n1"),
        Some("n1")
    );
    for other in [
        "/canvascart/north/servers/",
        "/canvascart/northern/servers/a",
        "/canvascart/north/servers/a/b",
        "/canvascart/north/control/release",
    ] {
        assert_eq!(keys.endpoint_name(other.as_bytes()), None, "{other}");
    }
    assert_eq!(keys.endpoint_name(b"/canvascart/north/servers/\xff"), None);
    assert_eq!(range_end("a/"), b"a0");
}
