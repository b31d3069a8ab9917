//! Quantities in documents: a number with its unit, in one string. A number without a unit is an error, so that no reader
//! has to guess whether `5` means seconds.

use std::fmt;

use std::borrow::Cow;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};

/// Duration in ms; written `"250 ms"`, `"20 s"`, `"500 us"` or `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Milliseconds(pub f64);

/// Fraction of a whole, where 1 is all of it; written as a percentage, `"81 %"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Fraction(pub f64);

/// Rate per second; written `"390 /s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// Memory size in bytes; written `"64 KiB"` or `"1.5 MiB"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Bytes(pub f64);

/// Splits a text into its number and its unit.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !(c.is_ascii_digit() || matches!(c, '.' | '-' | '+')))
        .unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}

/// Parses a number with one of the units, each of which has a conversion factor. `quantity` names the quantity in errors.
fn parse_quantity(text: &str, quantity: &str, units: &[(&str, f64)]) -> Result<f64, String> {
    let names = || {
        units
            .iter()
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let (number, unit) = split_unit(text)
        .ok_or_else(|| format!("{quantity} needs a number and a unit ({})", names()))?;
    if unit.is_empty() {
        return Err(format!(
            "the unit is missing: {quantity} needs one of {}",
            names()
        ));
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(|| {
            format!(
                "\"{unit}\" is no unit of {quantity}: it needs one of {}",
                names()
            )
        })?;
    let value = number * factor;
    if !value.is_finite() || value < 0.0 {
        return Err(format!("{quantity} must be finite and not negative"));
    }
    Ok(value)
}

macro_rules! quantity {
    ($name:ident, $quantity:literal, $example:literal, $pattern:literal, $units:expr) => {
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
                parse_quantity(text, $quantity, &$units).map($name)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct Text;

                impl Visitor<'_> for Text {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                        write!(f, "{} with its unit in a string, such as {}", $quantity, $example)
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
    Milliseconds,
    "a duration",
    "\"250 ms\"",
    r"^ *[0-9]+(\.[0-9]+)? *(us|ms|s|min) *$",
    [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0)]
);
quantity!(
    Fraction,
    "a percentage",
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
    "a memory size",
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

/// Describes the quantity that a schema's pattern stands for; `None` for other patterns.
pub fn describe_pattern(pattern: &str) -> Option<&'static str> {
    let descriptions = [
        (
            "us|ms",
            "a duration with its unit in a string, such as \"250 ms\"",
        ),
        (
            "% *$",
            "a percentage with its unit in a string, such as \"81 %\"",
        ),
        (
            "/(s|min)",
            "a rate with its unit in a string, such as \"390 /s\"",
        ),
        (
            "KiB",
            "a memory size with its unit in a string, such as \"64 KiB\"",
        ),
    ];
    descriptions
        .iter()
        .find(|(part, _)| pattern.contains(part))
        .map(|(_, description)| *description)
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} /s", self.0)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mib = KIB * KIB;
        match self.0 {
            b if b >= mib && b % mib == 0.0 => write!(f, "{} MiB", b / mib),
            b if b >= KIB && b % KIB == 0.0 => write!(f, "{} KiB", b / KIB),
            b => write!(f, "{b} B"),
        }
    }
}

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0 >= 1000.0 {
            write!(f, "{} s", self.0 / 1000.0)
        } else {
            write!(f, "{} ms", self.0)
        }
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} %", (self.0 * 1e6).round() / 1e4)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantities_need_a_unit() {
        assert_eq!("250 ms".parse(), Ok(Milliseconds(250.0)));
        assert_eq!("1.5s".parse(), Ok(Milliseconds(1500.0)));
        assert_eq!("500 us".parse(), Ok(Milliseconds(0.5)));
        assert_eq!("81 %".parse(), Ok(Fraction(0.81)));
        assert_eq!("390 /s".parse(), Ok(Rate(390.0)));
        for (text, fragment) in [
            ("5", "unit is missing"),
            ("5 h", "no unit"),
            ("-5 s", "negative"),
            ("x", "number"),
        ] {
            let error = text.parse::<Milliseconds>().expect_err(text);
            assert!(error.contains(fragment), "{text}: {error}");
        }
        assert!("5 s".parse::<Fraction>().is_err());
        assert_eq!("1.5 MiB".parse(), Ok(Bytes(1_572_864.0)));
    }

    #[test]
    fn quantities_round_trip_through_text() {
        for text in ["250 ms", "2 s", "0.5 ms"] {
            assert_eq!(
                text.parse::<Milliseconds>().unwrap().to_string().parse(),
                text.parse::<Milliseconds>()
            );
        }
        for text in ["64 KiB", "3 MiB", "17 B", "2 GiB"] {
            assert_eq!(
                text.parse::<Bytes>().unwrap().to_string().parse(),
                text.parse::<Bytes>()
            );
        }
        assert_eq!("6.25 %".parse::<Fraction>().unwrap().to_string(), "6.25 %");
        assert_eq!("390 /s".parse::<Rate>().unwrap().to_string(), "390 /s");
    }
}
