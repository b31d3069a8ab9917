//! What is wrong with a document is said at once, and in few words however long the document is.

use std::collections::BTreeMap;
use std::fmt::Write;

use config_parser::units::{Bytes, Span};
use config_parser::{Fault, Form, MOST_LISTED};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Shop {
    name: String,
    open_for: Span,
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

/// Choices without descriptions, which a schema writes in another way.
#[derive(Debug, Default, Deserialize, JsonSchema)]
enum Size {
    #[default]
    Small,
    Large,
}

/// Anything that a schema can bound.
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
    spans: Option<Vec<Span>>,
    kind: Kind,
    size: Size,
    perhaps: Option<Kind>,
    address: Option<Address>,
}

/// What the schema takes and the reader refuses.
#[derive(Debug, JsonSchema)]
#[schemars(transparent)]
struct Address(#[allow(dead_code, reason = "read, never used")] String);

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

/// A fault's text, which is under 1 KB also as JSON writes it.
fn text(fault: &Fault) -> String {
    let written = json!({ "pointer": fault.pointer, "detail": fault.what }).to_string();
    let frame = json!({ "pointer": "", "detail": "" }).to_string().len();
    assert!(
        written.len() - frame < 1024,
        "{} bytes: {written}",
        written.len()
    );
    format!("{}: {}", fault.pointer, fault.what)
}

/// All that is wrong with a value, one line each; asked of both readers.
fn faults(value: &Value) -> Vec<String> {
    let form = Form::of::<Stock>().unwrap();
    let listed = form.read::<Stock>(value).unwrap_err();
    assert!(listed.len() <= MOST_LISTED + 1, "{}", listed.len());
    listed.iter().map(text).collect()
}

/// What is said of a document in TOML: file and line are the only words beside the faults.
fn told(document: &str) -> String {
    let form = Form::of::<Stock>().unwrap();
    let error = form.read_toml::<Stock>("s.toml", document).unwrap_err();
    let words = error.to_string();
    assert!(
        error.problems.len() <= MOST_LISTED + 1,
        "{}",
        error.problems.len()
    );
    for line in words.lines() {
        assert!(line.len() < 1024, "{} bytes: {line}", line.len());
    }
    words
}

#[test]
fn everything_wrong_is_named_at_once_with_line_and_key() {
    let form = Form::of::<Shop>().unwrap();
    let (shop, _) = form
        .read_toml::<Shop>("s", "name = \"x\"\nopen-for = \"8 s\"")
        .unwrap();
    assert_eq!(
        (shop.name.as_str(), shop.open_for, shop.room, shop.kind),
        ("x", Span(8000.0), None, Kind::Corner)
    );
    let text = "open-for = \"8\"\nroom = 5\nkind = \"mall\"\nroof = true\n";
    let error = form
        .read_toml::<Shop>("shop.toml", text)
        .unwrap_err()
        .to_string();
    for part in [
        "shop.toml:1: name: it is missing",
        "shop.toml:1: open-for: \"8\" is not a span with its unit",
        "shop.toml:2: room:",
        "shop.toml:3: kind: it is one of \"corner\", \"chain\"",
        "shop.toml:4: roof: there is no such key",
    ] {
        assert!(error.contains(part), "{part}: {error}");
    }
    assert_eq!(error.lines().count(), 5, "{error}");
}

#[test]
fn what_is_too_long_or_too_short_is_told_by_its_length_and_the_limit() {
    let long = vec![json!({ "of": "x".repeat(1000) }); 20_000];
    assert_eq!(
        faults(&json!({ "shelves": long })),
        ["/shelves: it has 20000 entries, and at most 10000 are allowed"]
    );
    let shelves = format!("label = \"ab\"\nshelves = [{}]", "1,".repeat(20_000));
    assert_eq!(
        told(&shelves),
        "s.toml:2: shelves: it has 20000 entries, and at most 10000 are allowed"
    );
    let million = "x".repeat(1 << 20);
    for (value, fault) in [
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
        assert_eq!(faults(&value), [fault]);
    }
    assert_eq!(
        told(&format!("label = \"{million}\"")),
        "s.toml:1: label: it has 1048576 characters, and at most 63 are allowed"
    );
}

#[test]
fn of_a_long_value_there_is_a_short_quotation() {
    let million = "x".repeat(1 << 20);
    let cut = format!("\"{}\" and on (1048576 characters)", "x".repeat(64));
    let huge = json!(vec![million.clone(); 3]);
    let prices: Value = [(million.to_uppercase(), json!(1))].into_iter().collect();
    for (value, fault) in [
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
            format!("/spans/0: {cut} is not a span with its unit"),
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
            "/kind: it is one of \"corner\", \"chain\"".to_owned(),
        ),
        (
            json!({ "size": million }),
            "/size: it is one of [\"Small\",\"Large\"]".to_owned(),
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
        let told = faults(&value);
        assert_eq!(told.len(), 1, "{told:?}");
        assert!(told[0].starts_with(&fault), "{fault}\n{}", told[0]);
        assert!(
            !told[0].contains(&"x".repeat(65)) && !told[0].contains(&"X".repeat(65)),
            "{}",
            told[0]
        );
    }
    for key in [
        "size", "kind", "perhaps", "spans", "count", "code", "address",
    ] {
        let words = told(&format!("{key} = \"{}\"", million.to_uppercase()));
        assert!(
            words.starts_with(&format!(
                "s.toml:1: {}",
                if key == "address" { "" } else { key }
            )),
            "{words}"
        );
        assert!(!words.contains(&"X".repeat(65)), "{words}");
    }
    // The reader's own refusal keeps its end, which says what is wrong.
    let refused = faults(&json!({ "address": million }));
    assert!(
        refused[0].ends_with("is no address of a host"),
        "{refused:?}"
    );
    assert_eq!(
        faults(&json!({ "address": "y" })),
        [": \"y\" is no address of a host"]
    );
}

#[test]
fn the_text_stays_short_in_any_script() {
    for c in ['\u{1}', '"', '\\', '~', '/', 'é', '語', '\u{1f600}'] {
        let long = c.to_string().repeat(100_000);
        let unknown: Value = [(long.clone(), json!(1))].into_iter().collect();
        let named = faults(&unknown);
        assert!(
            named[0].ends_with("\u{2026}: there is no such key"),
            "{named:?}"
        );
        for key in ["size", "kind", "code", "label", "count", "address"] {
            assert_eq!(faults(&json!({ key: long })).len(), 1, "{key}");
        }
    }
    let words = told(&format!("{} = 1", "k".repeat(1 << 20)));
    assert!(
        words.ends_with("k\u{2026}: there is no such key"),
        "{words}"
    );
    let twice = format!("{0} = 1\n{0} = 2", "k".repeat(1 << 20));
    for no_toml in [twice, format!("[{0}]\na = {0}", "k".repeat(1 << 20))] {
        assert_eq!(told(&no_toml).lines().count(), 1);
    }
}

#[test]
fn ten_thousand_faults_are_a_few_lines_and_a_count() {
    let unknown: Value = (0..10_000)
        .map(|i| (format!("k{i:05}"), json!("x".repeat(100))))
        .collect();
    let spans = json!({ "spans": vec!["x".repeat(1000); 10_000] });
    for value in [&unknown, &spans] {
        let told = faults(value);
        assert_eq!(told.len(), MOST_LISTED + 1);
        assert_eq!(
            told[MOST_LISTED],
            format!(": and {} more", 10_000 - MOST_LISTED)
        );
    }
    assert_eq!(faults(&unknown)[0], "/k00000: there is no such key");

    let mut document = String::new();
    (0..10_000).for_each(|i| writeln!(document, "k{i:05} = 1").unwrap());
    let lines = told(&document);
    assert_eq!(
        lines.lines().next(),
        Some("s.toml:1: k00000: there is no such key")
    );
    assert_eq!(
        lines.lines().last().unwrap(),
        format!("s.toml:{MOST_LISTED}: and {} more", 10_000 - MOST_LISTED)
    );
    assert_eq!(lines.lines().count(), MOST_LISTED + 1);

    // Exactly as many as are listed, and one more.
    for (n, last) in [
        (MOST_LISTED, "there is no such key"),
        (MOST_LISTED + 1, ": and 1 more"),
    ] {
        let some: Value = (0..n).map(|i| (format!("k{i}"), json!(1))).collect();
        let told = faults(&some);
        assert_eq!(told.len(), n);
        assert!(told[n - 1].ends_with(last), "{}", told[n - 1]);
    }
}

#[test]
fn checks_beyond_the_schema_are_listed_within_the_same_bounds() {
    let (_, places) = config_parser::toml("s.toml", "a = 1\nb = 2\n").unwrap();
    let problem = |i: usize| config_parser::Problem {
        line: if i == 9_999 { 1 } else { 2 },
        key: "b".repeat(i + 1),
        what: "w".repeat(10_000),
    };
    let words = places
        .problems((0..10_000).map(problem).collect())
        .to_string();
    assert!(words.lines().all(|line| line.len() < 1024), "{words}");
    assert!(words.starts_with("s.toml:1: bbb"), "{words}");
    assert!(
        words.ends_with(&format!("s.toml:2: and {} more", 10_000 - MOST_LISTED)),
        "{words}"
    );
}
