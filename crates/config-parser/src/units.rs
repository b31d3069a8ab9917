//! Quantities as documents write them: a number with its unit, in one string. A number without its unit is an
//! error, so that no reader has to guess whether `5` means seconds.

use std::fmt;

use std::borrow::Cow;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};

/// A span of time, in ms; written `"250 ms"`, `"20 s"`, `"500 us"` or `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Span(pub f64);

/// A part of a whole, 1 for all of it; written `"81 %"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// Something a second; written `"390 /s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// An amount of memory, in bytes; written `"64 KiB"` or `"1.5 MiB"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Bytes(pub f64);

/// A number and the unit behind it.
fn split(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !(c.is_ascii_digit() || matches!(c, '.' | '-' | '+')))
        .unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}

/// Reads a number with one of the units; each unit has the factor that its numbers are multiplied by.
fn read(text: &str, what: &str, units: &[(&str, f64)]) -> Result<f64, String> {
    let names = || {
        units
            .iter()
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let (number, unit) =
        split(text).ok_or_else(|| format!("{what} is a number and its unit ({})", names()))?;
    if unit.is_empty() {
        return Err(format!(
            "the unit is missing: {what} has one of {}",
            names()
        ));
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(|| format!("\"{unit}\" is no unit of {what}: it has one of {}", names()))?;
    let value = number * factor;
    if !value.is_finite() || value < 0.0 {
        return Err(format!("{what} is not negative"));
    }
    Ok(value)
}

macro_rules! quantity {
    ($name:ident, $what:literal, $example:literal, $pattern:literal, $units:expr) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
                output.collect_str(self)
            }
        }

        impl JsonSchema for $name {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": $pattern })
            }
        }

        impl std::str::FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                read(text, $what, &$units).map($name)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct Text;

                impl Visitor<'_> for Text {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                        write!(f, "{} with its unit in a string, such as {}", $what, $example)
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }
                }

                input.deserialize_str(Text)
            }
        }
    };
}

quantity!(
    Span,
    "a span",
    "\"250 ms\"",
    r"^ *[0-9]+(\.[0-9]+)? *(us|ms|s|min) *$",
    [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0)]
);
quantity!(
    Share,
    "a share",
    "\"81 %\"",
    r"^ *[0-9]+(\.[0-9]+)? *% *$",
    [("%", 0.01)]
);
quantity!(
    Rate,
    "a rate",
    "\"390 /s\"",
    r"^ *[0-9]+(\.[0-9]+)? */(s|min) *$",
    [("/s", 1.0), ("/min", 1.0 / 60.0)]
);
quantity!(
    Bytes,
    "an amount of memory",
    "\"64 KiB\"",
    r"^ *[0-9]+(\.[0-9]+)? *(B|KiB|MiB|GiB) *$",
    [
        ("B", 1.0),
        ("KiB", KIB),
        ("MiB", KIB * KIB),
        ("GiB", KIB * KIB * KIB)
    ]
);

const KIB: f64 = 1024.0;

/// What a quantity's pattern in a schema means, in words.
pub fn meaning(pattern: &str) -> Option<&'static str> {
    let all = [
        (
            "us|ms",
            "a span with its unit in a string, such as \"250 ms\"",
        ),
        (
            "% *$",
            "a share with its unit in a string, such as \"81 %\"",
        ),
        (
            "/(s|min)",
            "a rate with its unit in a string, such as \"390 /s\"",
        ),
        (
            "KiB",
            "an amount of memory with its unit in a string, such as \"64 KiB\"",
        ),
    ];
    all.iter()
        .find(|(part, _)| pattern.contains(part))
        .map(|(_, words)| *words)
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} /s", self.0)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mega = KIB * KIB;
        match self.0 {
            b if b >= mega && b % mega == 0.0 => write!(f, "{} MiB", b / mega),
            b if b >= KIB && b % KIB == 0.0 => write!(f, "{} KiB", b / KIB),
            b => write!(f, "{b} B"),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0 >= 1000.0 {
            write!(f, "{} s", self.0 / 1000.0)
        } else {
            write!(f, "{} ms", self.0)
        }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} %", (self.0 * 1e6).round() / 1e4)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantities_need_their_units() {
        assert_eq!("250 ms".parse(), Ok(Span(250.0)));
        assert_eq!("1.5s".parse(), Ok(Span(1500.0)));
        assert_eq!("500 us".parse(), Ok(Span(0.5)));
        assert_eq!("81 %".parse(), Ok(Share(0.81)));
        assert_eq!("390 /s".parse(), Ok(Rate(390.0)));
        for (text, word) in [
            ("5", "unit is missing"),
            ("5 h", "no unit"),
            ("-5 s", "negative"),
            ("x", "number"),
        ] {
            let error = text.parse::<Span>().expect_err(text);
            assert!(error.contains(word), "{text}: {error}");
        }
        assert!("5 s".parse::<Share>().is_err());
        assert_eq!("1.5 MiB".parse(), Ok(Bytes(1_572_864.0)));
    }

    #[test]
    fn what_is_written_reads_the_same_again() {
        for text in ["250 ms", "2 s", "0.5 ms"] {
            assert_eq!(
                text.parse::<Span>().unwrap().to_string().parse(),
                text.parse::<Span>()
            );
        }
        for text in ["64 KiB", "3 MiB", "17 B", "2 GiB"] {
            assert_eq!(
                text.parse::<Bytes>().unwrap().to_string().parse(),
                text.parse::<Bytes>()
            );
        }
        assert_eq!("6.25 %".parse::<Share>().unwrap().to_string(), "6.25 %");
        assert_eq!("390 /s".parse::<Rate>().unwrap().to_string(), "390 /s");
    }
}
