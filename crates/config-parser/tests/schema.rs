//! Validation reports all errors of a document at once, in messages of limited length however long the document is.

use std::collections::BTreeMap;
use std::fmt::Write;

use config_parser::units::{Bytes, Milliseconds};
use config_parser::{DocumentSchema, MAX_LISTED_ERRORS, ValidationError};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Shop {
    name: String,
    open_for: Milliseconds,
    room: Option<Bytes>,
    #[serde(default)]
    kind: Kind,
}

#[derive(Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    /// At a corner.
    #[default]
    Corner,
    /// One of many.
    Chain,
}

/// Enum without descriptions, for which the schema has another schema.
#[derive(Debug, Default, Deserialize, JsonSchema)]
enum Size {
    #[default]
    Small,
    Large,
}

/// One field for each kind of limit in a schema.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct Stock {
    #[schemars(length(min = 1, max = 10_000))]
    shelves: Option<Vec<Value>>,
    #[schemars(length(min = 2, max = 63))]
    label: Option<String>,
    #[schemars(regex(pattern = "^[a-z]+$"))]
    code: Option<String>,
    #[schemars(range(max = 5))]
    count: Option<i64>,
    #[schemars(extend("minProperties" = 1, "maxProperties" = 3))]
    owners: Option<BTreeMap<String, String>>,
    #[schemars(extend("propertyNames" = { "pattern": "^[a-z]+$" }))]
    prices: Option<BTreeMap<String, f64>>,
    #[schemars(extend("uniqueItems" = true))]
    tags: Option<Vec<String>>,
    spans: Option<Vec<Milliseconds>>,
    kind: Kind,
    size: Size,
    perhaps: Option<Kind>,
    address: Option<Address>,
}

/// Accepted by its schema, but rejected by its deserializer if it is no IP address.
#[derive(Debug, JsonSchema)]
#[schemars(transparent)]
struct Address(#[allow(dead_code, reason = "deserialized, never used")] String);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        match text.parse::<std::net::IpAddr>() {
            Ok(_) => Ok(Address(text)),
            Err(_) => Err(serde::de::Error::custom(format!(
                "\"{text}\" is no address of a host"
            ))),
        }
    }
}

/// Formats an error, and checks that its JSON encoding is under 1 KB.
fn format_error(error: &ValidationError) -> String {
    let written = json!({ "pointer": error.pointer, "detail": error.message }).to_string();
    let frame = json!({ "pointer": "", "detail": "" }).to_string().len();
    assert!(
        written.len() - frame < 1024,
        "{} bytes: {written}",
        written.len()
    );
    format!("{}: {}", error.pointer, error.message)
}

/// Returns the validation errors of a value, one line each.
fn value_errors(value: &Value) -> Vec<String> {
    let schema = DocumentSchema::for_type::<Stock>().unwrap();
    let listed = schema.deserialize::<Stock>(value).unwrap_err();
    assert!(listed.len() <= MAX_LISTED_ERRORS + 1, "{}", listed.len());
    listed.iter().map(format_error).collect()
}

/// Returns the error message of a TOML document, after checking its limits.
fn toml_errors(document: &str) -> String {
    let schema = DocumentSchema::for_type::<Stock>().unwrap();
    let error = schema
        .deserialize_toml::<Stock>("s.toml", document)
        .unwrap_err();
    let message = error.to_string();
    assert!(
        error.problems.len() <= MAX_LISTED_ERRORS + 1,
        "{}",
        error.problems.len()
    );
    for line in message.lines() {
        assert!(line.len() < 1024, "{} bytes: {line}", line.len());
    }
    message
}

#[test]
fn all_errors_are_reported_with_line_and_key() {
    let schema = DocumentSchema::for_type::<Shop>().unwrap();
    let (shop, _) = schema
        .deserialize_toml::<Shop>("s", "name = \"x\"\nopen-for = \"8 s\"")
        .unwrap();
    assert_eq!(
        (shop.name.as_str(), shop.open_for, shop.room, shop.kind),
        ("x", Milliseconds(8000.0), None, Kind::Corner)
    );
    let text = "open-for = \"8\"\nroom = 5\nkind = \"mall\"\nroof = true\n";
    let error = schema
        .deserialize_toml::<Shop>("shop.toml", text)
        .unwrap_err()
        .to_string();
    for part in [
        "shop.toml:1: name: it is missing",
        "shop.toml:1: open-for: \"8\" is not a duration with its unit",
        "shop.toml:2: room:",
        "shop.toml:3: kind: it must be one of \"corner\", \"chain\"",
        "shop.toml:4: roof: there is no such key",
    ] {
        assert!(error.contains(part), "{part}: {error}");
    }
    assert_eq!(error.lines().count(), 5, "{error}");
}

#[test]
fn a_length_outside_its_limits_is_reported_with_both() {
    let long = vec![json!({ "of": "x".repeat(1000) }); 20_000];
    assert_eq!(
        value_errors(&json!({ "shelves": long })),
        ["/shelves: it has 20000 entries, and at most 10000 are allowed"]
    );
    let shelves = format!("label = \"ab\"\nshelves = [{}]", "1,".repeat(20_000));
    assert_eq!(
        toml_errors(&shelves),
        "s.toml:2: shelves: it has 20000 entries, and at most 10000 are allowed"
    );
    let million = "x".repeat(1 << 20);
    for (value, expected) in [
        (
            json!({ "shelves": [] }),
            "/shelves: it has 0 entries, and at least 1 is needed",
        ),
        (
            json!({ "label": million }),
            "/label: it has 1048576 characters, and at most 63 are allowed",
        ),
        (
            json!({ "label": "é" }),
            "/label: it has 1 character, and at least 2 are needed",
        ),
        (
            json!({ "owners": {} }),
            "/owners: it has 0 keys, and at least 1 is needed",
        ),
        (
            json!({ "owners": { "a": "", "b": "", "c": "", "d": million } }),
            "/owners: it has 4 keys, and at most 3 are allowed",
        ),
    ] {
        assert_eq!(value_errors(&value), [expected]);
    }
    assert_eq!(
        toml_errors(&format!("label = \"{million}\"")),
        "s.toml:1: label: it has 1048576 characters, and at most 63 are allowed"
    );
}

#[test]
fn long_values_are_quoted_in_short() {
    let million = "x".repeat(1 << 20);
    let cut = format!("\"{}\"\u{2026} (1048576 characters)", "x".repeat(64));
    let huge = json!(vec![million.clone(); 3]);
    let prices: Value = [(million.to_uppercase(), json!(1))].into_iter().collect();
    for (value, expected) in [
        (
            json!({ "code": million.to_uppercase() }),
            format!(
                "/code: {} does not match \"^[a-z]+$\"",
                cut.replace('x', "X")
            ),
        ),
        (
            json!({ "code": "A" }),
            "/code: \"A\" does not match \"^[a-z]+$\"".to_owned(),
        ),
        (
            json!({ "spans": [million] }),
            format!("/spans/0: {cut} is not a duration with its unit"),
        ),
        (
            json!({ "count": million }),
            format!("/count: {cut} is not of types \"null\", \"integer\""),
        ),
        (
            json!({ "count": 1e300 }),
            "/count: 1e+300 is greater than the maximum of 5".to_owned(),
        ),
        (
            json!({ "kind": million }),
            "/kind: it must be one of \"corner\", \"chain\"".to_owned(),
        ),
        (
            json!({ "size": million }),
            "/size: it must be one of [\"Small\",\"Large\"]".to_owned(),
        ),
        (
            json!({ "perhaps": million }),
            format!("/perhaps: {cut} is not valid under any of the schemas"),
        ),
        (
            json!({ "label": huge }),
            "/label: a list of 3 entries is not of types \"null\", \"string\"".to_owned(),
        ),
        (
            json!({ "code": { "a": million } }),
            "/code: an object of 1 key is not of types".to_owned(),
        ),
        (
            json!({ "tags": huge }),
            "/tags: a list of 3 entries has non-unique elements".to_owned(),
        ),
        (
            json!({ "prices": prices }),
            "/prices: ".to_owned() + &cut.replace('x', "X"),
        ),
    ] {
        let errors = value_errors(&value);
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(
            errors[0].starts_with(&expected),
            "{expected}\n{}",
            errors[0]
        );
        assert!(
            !errors[0].contains(&"x".repeat(65)) && !errors[0].contains(&"X".repeat(65)),
            "{}",
            errors[0]
        );
    }
    for key in [
        "size", "kind", "perhaps", "spans", "count", "code", "address",
    ] {
        let message = toml_errors(&format!("{key} = \"{}\"", million.to_uppercase()));
        assert!(
            message.starts_with(&format!(
                "s.toml:1: {}",
                if key == "address" { "" } else { key }
            )),
            "{message}"
        );
        assert!(!message.contains(&"X".repeat(65)), "{message}");
    }
    // A deserializer's message keeps its end, which states the error.
    let rejected = value_errors(&json!({ "address": million }));
    assert!(
        rejected[0].ends_with("is no address of a host"),
        "{rejected:?}"
    );
    assert_eq!(
        value_errors(&json!({ "address": "y" })),
        [": \"y\" is no address of a host"]
    );
}

#[test]
fn messages_stay_short_in_any_script() {
    for c in ['\u{1}', '"', '\\', '~', '/', 'é', '語', '\u{1f600}'] {
        let long = c.to_string().repeat(100_000);
        let unknown: Value = [(long.clone(), json!(1))].into_iter().collect();
        let named = value_errors(&unknown);
        assert!(
            named[0].ends_with("\u{2026}: there is no such key"),
            "{named:?}"
        );
        for key in ["size", "kind", "code", "label", "count", "address"] {
            assert_eq!(value_errors(&json!({ key: long })).len(), 1, "{key}");
        }
    }
    let message = toml_errors(&format!("{} = 1", "k".repeat(1 << 20)));
    assert!(
        message.ends_with("k\u{2026}: there is no such key"),
        "{message}"
    );
    let duplicate = format!("{0} = 1\n{0} = 2", "k".repeat(1 << 20));
    for invalid in [duplicate, format!("[{0}]\na = {0}", "k".repeat(1 << 20))] {
        assert_eq!(toml_errors(&invalid).lines().count(), 1);
    }
}

#[test]
fn ten_thousand_errors_are_a_limited_list_and_a_count() {
    let unknown: Value = (0..10_000)
        .map(|i| (format!("k{i:05}"), json!("x".repeat(100))))
        .collect();
    let spans = json!({ "spans": vec!["x".repeat(1000); 10_000] });
    for value in [&unknown, &spans] {
        let errors = value_errors(value);
        assert_eq!(errors.len(), MAX_LISTED_ERRORS + 1);
        assert_eq!(
            errors[MAX_LISTED_ERRORS],
            format!(": and {} more", 10_000 - MAX_LISTED_ERRORS)
        );
    }
    assert_eq!(value_errors(&unknown)[0], "/k00000: there is no such key");

    let mut document = String::new();
    (0..10_000).for_each(|i| writeln!(document, "k{i:05} = 1").unwrap());
    let lines = toml_errors(&document);
    assert_eq!(
        lines.lines().next(),
        Some("s.toml:1: k00000: there is no such key")
    );
    assert_eq!(
        lines.lines().last().unwrap(),
        format!(
            "s.toml:{MAX_LISTED_ERRORS}: and {} more",
            10_000 - MAX_LISTED_ERRORS
        )
    );
    assert_eq!(lines.lines().count(), MAX_LISTED_ERRORS + 1);

    // Exactly the listed number of errors, and one more.
    for (n, last) in [
        (MAX_LISTED_ERRORS, "there is no such key"),
        (MAX_LISTED_ERRORS + 1, ": and 1 more"),
    ] {
        let some: Value = (0..n).map(|i| (format!("k{i}"), json!(1))).collect();
        let errors = value_errors(&some);
        assert_eq!(errors.len(), n);
        assert!(errors[n - 1].ends_with(last), "{}", errors[n - 1]);
    }
}

#[test]
fn problems_found_beyond_the_schema_have_the_same_limits() {
    let (_, positions) = config_parser::parse_toml("s.toml", "a = 1\nb = 2\n").unwrap();
    let problem = |i: usize| config_parser::Problem {
        line: if i == 9_999 { 1 } else { 2 },
        key: "b".repeat(i + 1),
        message: "w".repeat(10_000),
    };
    let message = positions
        .document_error((0..10_000).map(problem).collect())
        .to_string();
    assert!(message.lines().all(|line| line.len() < 1024), "{message}");
    assert!(message.starts_with("s.toml:1: bbb"), "{message}");
    assert!(
        message.ends_with(&format!(
            "s.toml:2: and {} more",
            10_000 - MAX_LISTED_ERRORS
        )),
        "{message}"
    );
}
