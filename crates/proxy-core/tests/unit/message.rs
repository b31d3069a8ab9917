//! Unit tests of `message`.
use super::*;

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-own, close"),
        ("x-own", "1"),
        ("x-kept", "2"),
        ("te", "trailers"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    strip_hop_by_hop(&mut headers);
    assert_eq!(headers.len(), 1);
    assert!(headers.contains_key("x-kept"));
}
