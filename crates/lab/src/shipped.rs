//! Scenarios included with the lab. None contains figures from recorded traffic.

/// Name and text of each scenario.
pub const ALL: [(&str, &str); 23] = [
    ("quiet", include_str!("../scenarios/quiet.toml")),
    ("evening", include_str!("../scenarios/evening.toml")),
    ("deploy-81", include_str!("../scenarios/deploy-81.toml")),
    ("shrink", include_str!("../scenarios/shrink.toml")),
    ("proxy-kill", include_str!("../scenarios/proxy-kill.toml")),
    (
        "proxy-restart",
        include_str!("../scenarios/proxy-restart.toml"),
    ),
    ("reset-storm", include_str!("../scenarios/reset-storm.toml")),
    (
        "torn-answers",
        include_str!("../scenarios/torn-answers.toml"),
    ),
    (
        "lost-answers",
        include_str!("../scenarios/lost-answers.toml"),
    ),
    ("slow-server", include_str!("../scenarios/slow-server.toml")),
    ("hung-server", include_str!("../scenarios/hung-server.toml")),
    (
        "refused-connects",
        include_str!("../scenarios/refused-connects.toml"),
    ),
    ("stale-list", include_str!("../scenarios/stale-list.toml")),
    ("partition", include_str!("../scenarios/partition.toml")),
    ("launch", include_str!("../scenarios/launch.toml")),
    (
        "reset-overload",
        include_str!("../scenarios/reset-overload.toml"),
    ),
    (
        "fleet-release",
        include_str!("../scenarios/fleet-release.toml"),
    ),
    (
        "fleet-restart",
        include_str!("../scenarios/fleet-restart.toml"),
    ),
    (
        "reset-in-work",
        include_str!("../scenarios/reset-in-work.toml"),
    ),
    ("upgrade", include_str!("../scenarios/upgrade.toml")),
    ("drain", include_str!("../scenarios/drain.toml")),
    ("retune", include_str!("../scenarios/retune.toml")),
    (
        "large-bodies",
        include_str!("../scenarios/large-bodies.toml"),
    ),
];

/// Returns the text of an included scenario.
pub fn text(name: &str) -> Option<&'static str> {
    ALL.iter().find(|(n, _)| *n == name).map(|(_, text)| *text)
}
