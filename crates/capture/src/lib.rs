//! Line format of a capture: the requests of a proxy, the endpoint lists that it received, and its module's decisions.
//!
//! | line | meaning |
//! | --- | --- |
//! | `h 1 seed=… node=… start=… segment=…` | header of a segment: the start's random seed and its Unix time in ms |
//! | `s {…}` | settings object that the decision module was given |
//! | `l seq=41 at=12.5 whole hosts=2` | endpoint list update, `at` ms after the start; its endpoints follow |
//! | `b s-5be2a07c site=a class=m2 block=3 share=1 born=0 up` | endpoint |
//! | `r 9b1f03aa5c7e2d41 checkout biblio-estrie sid=7f3a dl=2000ms seq=41 -> s-5be2a07c 200` | request |
//!
//! A request's decision names all attempts in order. An attempt that was not served has its outcome appended
//! (`s-a:full,s-b`); `-` stands for no attempt, and `(front)` for a request that never reached the decision module.
//!
//! External values are truncated to [`MAX_FIELD_BYTES`] and escaped: every byte except letters, digits and `-._~` becomes
//! `%` with two hexadecimal digits. So no value can end its line or imitate another field.

use std::borrow::Cow;
use std::fmt::{self, Write as _};

use balancer::{EndpointState, Millis, Outcome, UpdateScope};

/// Maximum length of an external value, in bytes. `%~` marks a truncated one.
pub const MAX_FIELD_BYTES: usize = 128;
const TRUNCATION_MARK: &str = "%~";

/// Header of a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentHeader {
    /// Seed of the decision module's random generator.
    pub seed: u64,
    /// Name of the proxy.
    pub node: String,
    /// Start of the proxy: Unix time in ms.
    pub started_at: Millis,
    /// Number of the segment since the start.
    pub segment: u64,
}

/// Update of the endpoint list; its endpoints follow, one per line.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Version of the list, as discovery numbers it.
    pub version: Option<u64>,
    /// Time of its arrival, in ms since the start.
    pub received_at: Millis,
    /// Scope of the update.
    pub scope: UpdateScope,
    /// Number of the endpoints that follow.
    pub endpoint_count: usize,
}

/// Endpoint of a list update.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Name of the endpoint.
    pub name: String,
    /// Zone.
    pub zone: Option<String>,
    /// Machine type.
    pub machine_type: Option<String>,
    /// Cell.
    pub cell: Option<u64>,
    /// Capacity weight.
    pub weight: Option<f64>,
    /// Time of its last start: Unix time in ms, 0 if it started long ago.
    pub started_at: Millis,
    /// State in the list.
    pub state: EndpointState,
}

/// Finished request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord<'a> {
    /// Request id, as the client sent it.
    pub id: Cow<'a, str>,
    /// Request class.
    pub class: Cow<'a, str>,
    /// Tenant, if the proxy has tenants.
    pub tenant: Option<Cow<'a, str>>,
    /// Key of the request (`sid`).
    pub sid: Option<Cow<'a, str>>,
    /// Time that the client allows for the request, in ms.
    pub timeout_ms: u64,
    /// Version of the endpoint list when the request arrived.
    pub list_version: Option<u64>,
    /// Attempts that the module chose; `None` if the request never reached it.
    pub attempts: Option<Vec<AttemptRecord<'a>>>,
    /// Status code of the response; 499 if the client disconnected before it.
    pub status: u16,
}

/// Attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord<'a> {
    /// Name of the endpoint.
    pub endpoint: Cow<'a, str>,
    /// Outcome; `None` if the attempt was in flight when the request ended.
    pub outcome: Option<Outcome>,
}

/// Line of a capture.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// `h`
    Header(SegmentHeader),
    /// `s`, with its JSON text.
    Settings(String),
    /// `l`
    ListUpdate(ListUpdate),
    /// `b`
    Endpoint(EndpointRecord),
    /// `r`
    Request(RequestRecord<'static>),
}

const OUTCOMES: [(Outcome, &str); 7] = [
    (Outcome::Error, "error"),
    (Outcome::Overloaded, "full"),
    (Outcome::TimedOut, "timeout"),
    (Outcome::ConnectFailed, "connect"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "moot"),
];
const PENDING: &str = "out";
const NOT_DECIDED: &str = "(front)";
const SCOPES: [(UpdateScope, &str); 3] = [
    (UpdateScope::Full, "whole"),
    (UpdateScope::Delta, "changes"),
    (UpdateScope::Cached, "known"),
];
const STATES: [(EndpointState, &str); 3] = [
    (EndpointState::Up, "up"),
    (EndpointState::Draining, "draining"),
    (EndpointState::Removed, "gone"),
];

fn name_of<T: PartialEq>(table: &[(T, &'static str)], value: &T) -> Option<&'static str> {
    table
        .iter()
        .find(|(v, _)| v == value)
        .map(|(_, name)| *name)
}

fn value_of<T: Copy>(table: &[(T, &'static str)], name: &str) -> Option<T> {
    table
        .iter()
        .find(|(_, n)| *n == name)
        .map(|(value, _)| *value)
}

/// External value, which is displayed escaped; `None` is written as `-`.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a>(pub Option<&'a str>);

impl fmt::Display for Field<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Some(text) = self.0 else {
            return f.write_char('-');
        };
        match text {
            "" => return f.write_char('%'),
            "-" => return f.write_str("%2D"),
            _ => {}
        }
        for &byte in text.as_bytes().iter().take(MAX_FIELD_BYTES) {
            if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
                f.write_char(char::from(byte))?;
            } else {
                write!(f, "%{byte:02X}")?;
            }
        }
        if text.len() > MAX_FIELD_BYTES {
            f.write_str(TRUNCATION_MARK)
        } else {
            Ok(())
        }
    }
}

/// Parses a value written by [`Field`]: `Some(None)` for `-`, and `None` for an invalid text.
fn parse_field(text: &str) -> Option<Option<String>> {
    match text {
        "" => return None,
        "-" => return Some(None),
        "%" => return Some(Some(String::new())),
        _ => {}
    }
    let text = text.strip_suffix(TRUNCATION_MARK).unwrap_or(text);
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.bytes();
    while let Some(byte) = remaining.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut hex_digit = || {
            remaining
                .next()
                .and_then(|b| char::from(b).to_digit(16))
                .map(|digit| digit as u8)
        };
        bytes.push((hex_digit()? << 4) | hex_digit()?);
    }
    Some(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

/// Number, written as `-` if there is none.
struct NumberField<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for NumberField<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.0 {
            Some(number) => number.fmt(f),
            None => f.write_char('-'),
        }
    }
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Option<Option<T>> {
    if text == "-" {
        Some(None)
    } else {
        text.parse().ok().map(Some)
    }
}

impl fmt::Display for SegmentHeader {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (node, started_at) = (Field(Some(&self.node)), self.started_at);
        write!(
            f,
            "h 1 seed={:016x} node={node} start={started_at} segment={}",
            self.seed, self.segment
        )
    }
}

impl fmt::Display for ListUpdate {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let scope = name_of(&SCOPES, &self.scope).unwrap_or("changes");
        write!(
            f,
            "l seq={} at={:.3} {scope} hosts={}",
            NumberField(self.version),
            self.received_at,
            self.endpoint_count
        )
    }
}

impl fmt::Display for EndpointRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (name, zone) = (Field(Some(&self.name)), Field(self.zone.as_deref()));
        let (machine_type, cell, weight) = (
            Field(self.machine_type.as_deref()),
            NumberField(self.cell),
            NumberField(self.weight),
        );
        let state = name_of(&STATES, &self.state).unwrap_or("gone");
        write!(
            f,
            "b {name} site={zone} class={machine_type} block={cell} share={weight} born={} {state}",
            self.started_at
        )
    }
}

impl fmt::Display for RequestRecord<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (id, class) = (Field(Some(&self.id)), Field(Some(&self.class)));
        let (tenant, sid) = (Field(self.tenant.as_deref()), Field(self.sid.as_deref()));
        write!(
            f,
            "r {id} {class} {tenant} sid={sid} dl={}ms seq={} -> ",
            self.timeout_ms,
            NumberField(self.list_version)
        )?;
        write!(f, "{}", Decision(self))
    }
}

/// Attempts and status code of a request, as its line ends with them.
pub struct Decision<'a>(pub &'a RequestRecord<'a>);

impl fmt::Display for Decision<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.attempts.as_deref() {
            None => f.write_str(NOT_DECIDED)?,
            Some([]) => f.write_char('-')?,
            Some(attempts) => {
                for (index, attempt) in attempts.iter().enumerate() {
                    write!(
                        f,
                        "{}{}",
                        if index > 0 { "," } else { "" },
                        Field(Some(&attempt.endpoint))
                    )?;
                    match attempt.outcome {
                        Some(Outcome::Served) => {}
                        Some(outcome) => {
                            write!(f, ":{}", name_of(&OUTCOMES, &outcome).unwrap_or(PENDING))?
                        }
                        None => write!(f, ":{PENDING}")?,
                    }
                }
            }
        }
        write!(f, " {:03}", self.0.status)
    }
}

impl Line {
    /// Parses a line; `None` if it is not a complete line of a capture.
    pub fn parse(line: &str) -> Option<Line> {
        let (kind, rest) = line.split_once(' ')?;
        if kind == "s" {
            return (rest.starts_with('{') && rest.ends_with('}'))
                .then(|| Line::Settings(rest.to_owned()));
        }
        let mut fields = Fields(rest.split(' '));
        let line = match kind {
            "h" => fields.header().map(Line::Header),
            "l" => fields.list_update().map(Line::ListUpdate),
            "b" => fields.endpoint().map(Line::Endpoint),
            "r" => fields.request().map(Line::Request),
            _ => None,
        };
        line.filter(|_| fields.0.next().is_none())
    }

    /// Returns true if a line, which may be cut off, begins as a capture's lines do.
    pub fn has_line_prefix(line: &str) -> bool {
        line.is_empty()
            || ["h 1 ", "s {", "l seq=", "b ", "r "].iter().any(|prefix| {
                let length = prefix.len().min(line.len());
                line.is_char_boundary(length) && line[..length] == prefix[..length]
            })
    }
}

/// Space-separated fields of a line that have not been parsed yet.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn value_of_key(&mut self, key: &str) -> Option<&'a str> {
        self.0.next()?.strip_prefix(key)?.strip_prefix('=')
    }

    fn header(&mut self) -> Option<SegmentHeader> {
        self.0.next().filter(|version| *version == "1")?;
        Some(SegmentHeader {
            seed: u64::from_str_radix(self.value_of_key("seed")?, 16).ok()?,
            node: parse_field(self.value_of_key("node")?)??,
            started_at: self.value_of_key("start")?.parse().ok()?,
            segment: self.value_of_key("segment")?.parse().ok()?,
        })
    }

    fn list_update(&mut self) -> Option<ListUpdate> {
        Some(ListUpdate {
            version: parse_number(self.value_of_key("seq")?)?,
            received_at: self.value_of_key("at")?.parse().ok()?,
            scope: value_of(&SCOPES, self.0.next()?)?,
            endpoint_count: self.value_of_key("hosts")?.parse().ok()?,
        })
    }

    fn endpoint(&mut self) -> Option<EndpointRecord> {
        Some(EndpointRecord {
            name: parse_field(self.0.next()?)??,
            zone: parse_field(self.value_of_key("site")?)?,
            machine_type: parse_field(self.value_of_key("class")?)?,
            cell: parse_number(self.value_of_key("block")?)?,
            weight: parse_number(self.value_of_key("share")?)?,
            started_at: self.value_of_key("born")?.parse().ok()?,
            state: value_of(&STATES, self.0.next()?)?,
        })
    }

    fn request(&mut self) -> Option<RequestRecord<'static>> {
        let id = parse_field(self.0.next()?)??;
        let class = parse_field(self.0.next()?)??;
        let tenant = parse_field(self.0.next()?)?;
        let sid = parse_field(self.value_of_key("sid")?)?;
        let timeout_ms = self.value_of_key("dl")?.strip_suffix("ms")?.parse().ok()?;
        let list_version = parse_number(self.value_of_key("seq")?)?;
        self.0.next().filter(|arrow| *arrow == "->")?;
        let attempts = match self.0.next()? {
            NOT_DECIDED => None,
            "-" => Some(Vec::new()),
            list => Some(list.split(',').map(parse_attempt).collect::<Option<_>>()?),
        };
        let status = self.0.next().filter(|text| text.len() == 3)?.parse().ok()?;
        Some(RequestRecord {
            id: id.into(),
            class: class.into(),
            tenant: tenant.map(Cow::from),
            sid: sid.map(Cow::from),
            timeout_ms,
            list_version,
            attempts,
            status,
        })
    }
}

fn parse_attempt(text: &str) -> Option<AttemptRecord<'static>> {
    let (endpoint, outcome) = match text.split_once(':') {
        None => (text, Some(Outcome::Served)),
        Some((endpoint, PENDING)) => (endpoint, None),
        Some((endpoint, outcome)) => (endpoint, Some(value_of(&OUTCOMES, outcome)?)),
    };
    Some(AttemptRecord {
        endpoint: parse_field(endpoint)??.into(),
        outcome,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Parses a line, and checks that it is written the same again.
    fn round_trip(line: &str) -> Line {
        let parsed = Line::parse(line).unwrap_or_else(|| panic!("{line}"));
        let written = match &parsed {
            Line::Header(line) => line.to_string(),
            Line::Settings(line) => format!("s {line}"),
            Line::ListUpdate(line) => line.to_string(),
            Line::Endpoint(line) => line.to_string(),
            Line::Request(line) => line.to_string(),
        };
        assert_eq!(written, line);
        parsed
    }

    #[test]
    fn every_kind_of_line_round_trips() {
        let line = "r 9b1f03aa5c7e2d41 checkout biblio-estrie sid=7f3a9c21e0b4d655 dl=2000ms seq=41 \
            -> s-5be2a07c 200";
        let Line::Request(record) = round_trip(line) else {
            panic!("a record")
        };
        assert_eq!(
            (record.timeout_ms, record.list_version, record.status),
            (2000, Some(41), 200)
        );
        assert_eq!(record.attempts.unwrap()[0].outcome, Some(Outcome::Served));
        round_trip("r a lookup - sid=- dl=0ms seq=- -> - 503");
        round_trip("r a lookup t sid=% dl=1ms seq=1 -> (front) 503");
        round_trip("r a lookup t sid=%2D dl=1ms seq=1 -> s-a:full,s-b:reset,s-c:out 499");
        round_trip("h 1 seed=00000000000000ff node=n3 start=1764583465123.5 segment=7");
        round_trip("s {\"classes\":[]}");
        round_trip("l seq=41 at=12.500 whole hosts=2");
        round_trip("b s-5be2a07c site=a class=- block=3 share=1.5 born=0 draining");
    }

    #[test]
    fn an_external_value_cannot_end_its_line_or_imitate_another_field() {
        let hostile = "x\nr y lookup t sid=1 -> s-a 200,:%é";
        let record = RequestRecord {
            id: hostile.into(),
            class: hostile.into(),
            tenant: Some(hostile.into()),
            sid: Some(hostile.into()),
            timeout_ms: 1,
            list_version: None,
            attempts: Some(vec![AttemptRecord {
                endpoint: hostile.into(),
                outcome: None,
            }]),
            status: 502,
        };
        let line = record.to_string();
        assert!(!line.contains('\n') && line.is_ascii());
        assert_eq!(Line::parse(&line), Some(Line::Request(record)));
    }

    #[test]
    fn a_long_value_is_truncated_and_marked() {
        let long = "x".repeat(MAX_FIELD_BYTES + 1);
        let written = Field(Some(&long)).to_string();
        assert_eq!(written, "x".repeat(MAX_FIELD_BYTES) + "%~");
        assert_eq!(
            parse_field(&written),
            Some(Some("x".repeat(MAX_FIELD_BYTES)))
        );
        assert_eq!(Field(Some(&long[1..])).to_string(), &long[1..]);
    }

    #[test]
    fn a_truncated_line_is_not_parsed_but_has_the_prefix_of_a_line() {
        for line in [
            "r 9b checkout t sid=7f dl=2000ms seq=41 -> s-5b:full,s-c 200",
            "l seq=41 at=12.500 whole hosts=",
            "b s-5b site=a class=m2 block=3 share=1 born=0 draining",
            "h 1 seed=ff node=n3 start=17 segment=",
            "s {\"a\":1}",
        ] {
            for cut in 0..line.len() {
                assert!(Line::has_line_prefix(&line[..cut]), "{}", &line[..cut]);
                assert_eq!(Line::parse(&line[..cut]), None, "{}", &line[..cut]);
            }
        }
        for foreign in [
            "canvascart-proxy: n0 listens on 127.0.0.1:1",
            "canvascart.requests:1|c",
            "rr x",
            "r2 d2",
        ] {
            assert!(
                Line::parse(foreign).is_none() && !Line::has_line_prefix(foreign),
                "{foreign}"
            );
        }
    }
}
