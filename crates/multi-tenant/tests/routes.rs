//! Normalization of hosts.

use multi_tenant::routes::normalize_host;

#[test]
fn hosts_are_normalized_without_port_case_and_trailing_dot() {
    for (host, same) in [
        ("North.Example:8080", "north.example"),
        ("north.example.", "north.example"),
        (" north.example ", "north.example"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
        ("127.0.0.1:9", "127.0.0.1"),
    ] {
        assert_eq!(normalize_host(host), same);
    }
}
