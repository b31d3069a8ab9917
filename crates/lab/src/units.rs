//! Quantities as scenarios write them: a number with its unit, in one string. A number without its unit is an
//! error, so that no reader has to guess whether `5` means seconds.

use std::fmt;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use wharfhitch::Millis;

/// A span of time, in ms; written `"250 ms"`, `"20 s"`, `"500 us"` or `"2 min"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Span(pub Millis);

/// A part of a whole, 1 for all of it; written `"81 %"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// Something a second; written `"390 /s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// A number and the unit behind it.
fn split(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let end =
        text.find(|c: char| !(c.is_ascii_digit() || matches!(c, '.' | '-' | '+'))).unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}

/// Reads a number with one of the units; each unit has the factor that its numbers are multiplied by.
fn read(text: &str, what: &str, units: &[(&str, f64)]) -> Result<f64, String> {
    let names = || units.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    let (number, unit) =
        split(text).ok_or_else(|| format!("{what} is a number and its unit ({})", names()))?;
    if unit.is_empty() {
        return Err(format!("the unit is missing: {what} has one of {}", names()));
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
    ($name:ident, $what:literal, $example:literal, $units:expr) => {
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

quantity!(Span, "a span", "\"250 ms\"", [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0)]);
quantity!(Share, "a share", "\"81 %\"", [("%", 0.01)]);
quantity!(Rate, "a rate", "\"390 /s\"", [("/s", 1.0), ("/min", 1.0 / 60.0)]);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.0 >= 1000.0 { write!(f, "{} s", self.0 / 1000.0) } else { write!(f, "{} ms", self.0) }
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
        for (text, word) in
            [("5", "unit is missing"), ("5 h", "no unit"), ("-5 s", "negative"), ("x", "number")]
        {
            let error = text.parse::<Span>().expect_err(text);
            assert!(error.contains(word), "{text}: {error}");
        }
        assert!("5 s".parse::<Share>().is_err());
    }
}
