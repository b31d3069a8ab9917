//! The module is printed and read on call: it stays short and narrow, and keeps to what it may know.
const MODULE: &str = include_str!("../src/choice.rs");

#[test]
fn the_module_stays_short_and_narrow() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines"); // what the operators run at most
    for (n, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {}: {} columns", n + 1, line.chars().count());
    }
}

#[test]
fn the_interface_is_named_at_the_top() {
    let head: String = MODULE.lines().take(8).collect();
    assert!(head.contains("src/interface.rs"));
}

/// Every file of the module, from the lowest up.
const FILES: [(&str, &str); 8] = [
    ("interface", include_str!("../src/interface.rs")),
    ("hash", include_str!("../src/hash.rs")),
    ("records", include_str!("../src/records.rs")),
    ("bands", include_str!("../src/bands.rs")),
    ("message", include_str!("../src/message.rs")),
    ("state", include_str!("../src/state.rs")),
    ("standing", include_str!("../src/standing.rs")),
    ("choice", MODULE),
];

#[test]
fn no_clock_thread_global_or_input() {
    for word in ["std::time", "std::thread", "std::io", "std::env", "static ", "println!", "unsafe {"] {
        for (file, text) in FILES {
            assert!(!text.contains(word), "{word} in {file}");
        }
    }
}

/// What stands below the decisions knows nothing of them, so that the policy file names all that decides.
#[test]
fn no_file_uses_one_above_it() {
    for (own, (file, text)) in FILES.iter().enumerate() {
        for (above, _) in &FILES[own + 1..] {
            assert!(!text.contains(&format!("crate::{above}")), "{file} uses {above}");
        }
    }
}
