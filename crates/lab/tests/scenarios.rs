//! Scenario files: problems are reported with file, line and key, and the shipped scenarios are valid.
use lab::scenario::Scenario;
use lab::shipped;

fn problems(change: impl Fn(&str) -> String) -> String {
    let text = change(shipped::text("evening").unwrap());
    Scenario::parse("f.toml", &text)
        .expect_err("the scenario is invalid")
        .to_string()
}

#[test]
fn shipped_scenarios_are_valid() {
    for (name, text) in shipped::ALL {
        let scenario = Scenario::parse(name, text);
        assert!(scenario.is_ok(), "{}", scenario.unwrap_err());
    }
}

#[test]
fn problems_are_reported_with_file_line_and_key() {
    for (from, to, word) in [
        (
            "length = \"20 s\"",
            "length = \"20\"",
            "f.toml:3: length: the unit is missing",
        ),
        (
            "length = \"20 s\"",
            "length = 20",
            "f.toml:3: length: invalid type: integer",
        ),
        (
            "servers = 12",
            "servers = 0",
            "f.toml:6: fleet.servers: 0 is not within 1 and 20000",
        ),
        (
            "servers = 12",
            "servers = 12\nserfers = 3",
            "f.toml:7: fleet.serfers: unknown field `serfers`",
        ),
        (
            "drain = \"2 s\"",
            "",
            ": fault.0.kind: RollingDeploy needs the key 'drain'",
        ),
        (
            "drain = \"2 s\"",
            "drain = \"2 s\"\nfactor = 2.0",
            ": fault.0.factor: it does not go with RollingDeploy",
        ),
        (
            "at = \"4 s\"",
            "at = \"40 s\"",
            ": fault.0.at: 40 s is not within 0 ms and 20 s",
        ),
        (
            "name = \"checkout\"",
            "name = \"lookup\"",
            ": class.1.name: \"lookup\" stands twice",
        ),
        (
            "share = \"30 %\"",
            "share = \"31 %\"",
            ": class: the shares add up to 101 %",
        ),
        (
            "level = \"60 %\"",
            "",
            "load: it has either a level or a rate",
        ),
        ("[load]", "[load", "f.toml:26:"),
    ] {
        let text = problems(|t| t.replacen(from, to, 1));
        assert!(text.contains(word), "{word}: {text}");
    }
}

#[test]
fn all_values_out_of_range_are_reported_at_once() {
    let text = problems(|t| {
        t.replace("servers = 12", "servers = 0")
            .replace("zipf = 0.9", "zipf = 9.0")
    });
    assert_eq!(text.lines().count(), 2, "{text}");
}
