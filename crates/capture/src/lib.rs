//! The lines of a capture: what a proxy saw and what its module chose.
//!
//! | line | meaning |
//! | --- | --- |
//! | `h 1 seed=… node=… start=… segment=…` | opens a segment: the start's seed and Unix time in ms |
//! | `s {…}` | the settings object that the module was given |
//! | `l seq=41 at=12.5 whole hosts=2` | news of the list, `at` ms after the start; its servers follow |
//! | `b s-5be2a07c site=a class=m2 block=3 share=1 born=0 up` | a server |
//! | `r 9b1f03aa5c7e2d41 checkout biblio-estrie sid=7f3a dl=2000ms seq=41 -> s-5be2a07c 200` | a request |
//!
//! A request's decision names all attempts in order. One that was not served has its end behind it
//! (`s-a:full,s-b`), `-` stands for none, and `(front)` where the module was never asked.
//!
//! What comes from outside is cut to [`FIELD`] bytes and escaped with `%` and two hexadecimal digits, all but
//! letters, digits and `-._~`: no field can end its line or pass for another field.

use std::borrow::Cow;
use std::fmt::{self, Write as _};

use balancer::{EndpointState, Millis, Outcome, UpdateScope};

/// Bytes of a field from outside; the rest is cut, which `%~` marks.
pub const FIELD: usize = 128;
const CUT: &str = "%~";

/// Opens a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The seed of the module's chance.
    pub seed: u64,
    /// The proxy's name.
    pub node: String,
    /// When the proxy started: Unix time in ms.
    pub start: Millis,
    /// The segment's number since then.
    pub segment: u64,
}

/// News of the list; its servers follow, a line each.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Discovery's version.
    pub seq: Option<u64>,
    /// When it came, in ms since the start.
    pub at: Millis,
    /// How far it reaches.
    pub scope: UpdateScope,
    /// How many servers follow.
    pub hosts: usize,
}

/// A server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub site: Option<String>,
    /// Its kind of machine.
    pub class: Option<String>,
    /// Its cell.
    pub block: Option<u64>,
    /// Its rating.
    pub share: Option<f64>,
    /// When it last started: Unix time in ms, 0 for long ago.
    pub born: Millis,
    /// Its state.
    pub state: EndpointState,
}

/// A request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Record<'a> {
    /// Its id, as the client gave it.
    pub id: Cow<'a, str>,
    /// Its class.
    pub class: Cow<'a, str>,
    /// Its tenant, if there are tenants.
    pub tenant: Option<Cow<'a, str>>,
    /// What it is about.
    pub sid: Option<Cow<'a, str>>,
    /// The client's patience in ms.
    pub deadline: u64,
    /// The version of the list that it met.
    pub seq: Option<u64>,
    /// What was decided; `None` where the module was never asked.
    pub tried: Option<Vec<Tried<'a>>>,
    /// The answer's code; 499 where the client left before it.
    pub code: u16,
}

/// An attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Tried<'a> {
    /// Where to.
    pub server: Cow<'a, str>,
    /// How it ended; `None` where it was still out when the request ended.
    pub end: Option<Outcome>,
}

/// A line of a capture.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// `h`
    Head(Head),
    /// `s`, with the JSON text.
    Settings(String),
    /// `l`
    News(News),
    /// `b`
    Server(Server),
    /// `r`
    Record(Record<'static>),
}

const ENDS: [(Outcome, &str); 7] = [
    (Outcome::Error, "error"),
    (Outcome::Overloaded, "full"),
    (Outcome::TimedOut, "timeout"),
    (Outcome::ConnectFailed, "connect"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "moot"),
];
const OUT: &str = "out";
const FRONT: &str = "(front)";
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

fn word<T: PartialEq>(table: &[(T, &'static str)], value: &T) -> Option<&'static str> {
    table
        .iter()
        .find(|(v, _)| v == value)
        .map(|(_, word)| *word)
}

fn meant<T: Copy>(table: &[(T, &'static str)], word: &str) -> Option<T> {
    table
        .iter()
        .find(|(_, w)| *w == word)
        .map(|(value, _)| *value)
}

/// A field from outside, escaped; `None` is written as `-`.
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
        for &byte in text.as_bytes().iter().take(FIELD) {
            if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
                f.write_char(char::from(byte))?;
            } else {
                write!(f, "%{byte:02X}")?;
            }
        }
        if text.len() > FIELD {
            f.write_str(CUT)
        } else {
            Ok(())
        }
    }
}

/// Reads a field; the outer `None` says that it is none.
fn field(text: &str) -> Option<Option<String>> {
    match text {
        "" => return None,
        "-" => return Some(None),
        "%" => return Some(Some(String::new())),
        _ => {}
    }
    let text = text.strip_suffix(CUT).unwrap_or(text);
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || {
            rest.next()
                .and_then(|b| char::from(b).to_digit(16))
                .map(|d| d as u8)
        };
        bytes.push((digit()? << 4) | digit()?);
    }
    Some(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

/// A figure, `-` for none.
struct Figure<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for Figure<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.0 {
            Some(number) => number.fmt(f),
            None => f.write_char('-'),
        }
    }
}

fn figure<T: std::str::FromStr>(text: &str) -> Option<Option<T>> {
    if text == "-" {
        Some(None)
    } else {
        text.parse().ok().map(Some)
    }
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (node, start) = (Field(Some(&self.node)), self.start);
        write!(
            f,
            "h 1 seed={:016x} node={node} start={start} segment={}",
            self.seed, self.segment
        )
    }
}

impl fmt::Display for News {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let scope = word(&SCOPES, &self.scope).unwrap_or("changes");
        write!(
            f,
            "l seq={} at={:.3} {scope} hosts={}",
            Figure(self.seq),
            self.at,
            self.hosts
        )
    }
}

impl fmt::Display for Server {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (name, site) = (Field(Some(&self.name)), Field(self.site.as_deref()));
        let (class, block, share) = (
            Field(self.class.as_deref()),
            Figure(self.block),
            Figure(self.share),
        );
        let state = word(&STATES, &self.state).unwrap_or("gone");
        write!(
            f,
            "b {name} site={site} class={class} block={block} share={share} born={} {state}",
            self.born
        )
    }
}

impl fmt::Display for Record<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (id, class) = (Field(Some(&self.id)), Field(Some(&self.class)));
        let (tenant, sid) = (Field(self.tenant.as_deref()), Field(self.sid.as_deref()));
        write!(
            f,
            "r {id} {class} {tenant} sid={sid} dl={}ms seq={} -> ",
            self.deadline,
            Figure(self.seq)
        )?;
        write!(f, "{}", Decision(self))
    }
}

/// What a record says was decided and answered.
pub struct Decision<'a>(pub &'a Record<'a>);

impl fmt::Display for Decision<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.tried.as_deref() {
            None => f.write_str(FRONT)?,
            Some([]) => f.write_char('-')?,
            Some(tried) => {
                for (n, t) in tried.iter().enumerate() {
                    write!(
                        f,
                        "{}{}",
                        if n > 0 { "," } else { "" },
                        Field(Some(&t.server))
                    )?;
                    match t.end {
                        Some(Outcome::Served) => {}
                        Some(end) => write!(f, ":{}", word(&ENDS, &end).unwrap_or(OUT))?,
                        None => write!(f, ":{OUT}")?,
                    }
                }
            }
        }
        write!(f, " {:03}", self.0.code)
    }
}

impl Line {
    /// Reads a line; `None` where it is none of a capture's, or not whole.
    pub fn parse(line: &str) -> Option<Line> {
        let (kind, rest) = line.split_once(' ')?;
        if kind == "s" {
            return (rest.starts_with('{') && rest.ends_with('}'))
                .then(|| Line::Settings(rest.to_owned()));
        }
        let mut words = Words(rest.split(' '));
        let line = match kind {
            "h" => words.head().map(Line::Head),
            "l" => words.news().map(Line::News),
            "b" => words.server().map(Line::Server),
            "r" => words.record().map(Line::Record),
            _ => None,
        };
        line.filter(|_| words.0.next().is_none())
    }

    /// Whether a line begins as a capture's lines do.
    pub fn looks_alike(line: &str) -> bool {
        line.is_empty()
            || ["h 1 ", "s {", "l seq=", "b ", "r "].iter().any(|head| {
                let n = head.len().min(line.len());
                line.is_char_boundary(n) && line[..n] == head[..n]
            })
    }
}

struct Words<'a>(std::str::Split<'a, char>);

impl<'a> Words<'a> {
    fn named(&mut self, name: &str) -> Option<&'a str> {
        self.0.next()?.strip_prefix(name)?.strip_prefix('=')
    }

    fn head(&mut self) -> Option<Head> {
        self.0.next().filter(|version| *version == "1")?;
        Some(Head {
            seed: u64::from_str_radix(self.named("seed")?, 16).ok()?,
            node: field(self.named("node")?)??,
            start: self.named("start")?.parse().ok()?,
            segment: self.named("segment")?.parse().ok()?,
        })
    }

    fn news(&mut self) -> Option<News> {
        Some(News {
            seq: figure(self.named("seq")?)?,
            at: self.named("at")?.parse().ok()?,
            scope: meant(&SCOPES, self.0.next()?)?,
            hosts: self.named("hosts")?.parse().ok()?,
        })
    }

    fn server(&mut self) -> Option<Server> {
        Some(Server {
            name: field(self.0.next()?)??,
            site: field(self.named("site")?)?,
            class: field(self.named("class")?)?,
            block: figure(self.named("block")?)?,
            share: figure(self.named("share")?)?,
            born: self.named("born")?.parse().ok()?,
            state: meant(&STATES, self.0.next()?)?,
        })
    }

    fn record(&mut self) -> Option<Record<'static>> {
        let id = field(self.0.next()?)??;
        let class = field(self.0.next()?)??;
        let tenant = field(self.0.next()?)?;
        let sid = field(self.named("sid")?)?;
        let deadline = self.named("dl")?.strip_suffix("ms")?.parse().ok()?;
        let seq = figure(self.named("seq")?)?;
        self.0.next().filter(|arrow| *arrow == "->")?;
        let tried = match self.0.next()? {
            FRONT => None,
            "-" => Some(Vec::new()),
            list => Some(list.split(',').map(tried).collect::<Option<_>>()?),
        };
        let code = self.0.next().filter(|c| c.len() == 3)?.parse().ok()?;
        Some(Record {
            id: id.into(),
            class: class.into(),
            tenant: tenant.map(Cow::from),
            sid: sid.map(Cow::from),
            deadline,
            seq,
            tried,
            code,
        })
    }
}

fn tried(text: &str) -> Option<Tried<'static>> {
    let (server, end) = match text.split_once(':') {
        None => (text, Some(Outcome::Served)),
        Some((server, OUT)) => (server, None),
        Some((server, end)) => (server, Some(meant(&ENDS, end)?)),
    };
    Some(Tried {
        server: field(server)??.into(),
        end,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn same(line: &str) -> Line {
        let read = Line::parse(line).unwrap_or_else(|| panic!("{line}"));
        let written = match &read {
            Line::Head(l) => l.to_string(),
            Line::Settings(l) => format!("s {l}"),
            Line::News(l) => l.to_string(),
            Line::Server(l) => l.to_string(),
            Line::Record(l) => l.to_string(),
        };
        assert_eq!(written, line);
        read
    }

    #[test]
    fn each_line_is_read_as_it_was_written() {
        let line = "r 9b1f03aa5c7e2d41 checkout biblio-estrie sid=7f3a9c21e0b4d655 dl=2000ms seq=41 \
            -> s-5be2a07c 200";
        let Line::Record(record) = same(line) else {
            panic!("a record")
        };
        assert_eq!(
            (record.deadline, record.seq, record.code),
            (2000, Some(41), 200)
        );
        assert_eq!(record.tried.unwrap()[0].end, Some(Outcome::Served));
        same("r a lookup - sid=- dl=0ms seq=- -> - 503");
        same("r a lookup t sid=% dl=1ms seq=1 -> (front) 503");
        same("r a lookup t sid=%2D dl=1ms seq=1 -> s-a:full,s-b:reset,s-c:out 499");
        same("h 1 seed=00000000000000ff node=n3 start=1764583465123.5 segment=7");
        same("s {\"classes\":[]}");
        same("l seq=41 at=12.500 whole hosts=2");
        same("b s-5be2a07c site=a class=- block=3 share=1.5 born=0 draining");
    }

    #[test]
    fn no_field_can_forge_a_line_or_another_field() {
        let evil = "x\nr y lookup t sid=1 -> s-a 200,:%é";
        let record = Record {
            id: evil.into(),
            class: evil.into(),
            tenant: Some(evil.into()),
            sid: Some(evil.into()),
            deadline: 1,
            seq: None,
            tried: Some(vec![Tried {
                server: evil.into(),
                end: None,
            }]),
            code: 502,
        };
        let line = record.to_string();
        assert!(!line.contains('\n') && line.is_ascii());
        assert_eq!(Line::parse(&line), Some(Line::Record(record)));
    }

    #[test]
    fn a_long_field_is_cut_and_says_so() {
        let long = "x".repeat(FIELD + 1);
        let written = Field(Some(&long)).to_string();
        assert_eq!(written, "x".repeat(FIELD) + "%~");
        assert_eq!(field(&written), Some(Some("x".repeat(FIELD))));
        assert_eq!(Field(Some(&long[1..])).to_string(), &long[1..]);
    }

    #[test]
    fn a_line_cut_anywhere_is_no_line_but_looks_alike() {
        for line in [
            "r 9b checkout t sid=7f dl=2000ms seq=41 -> s-5b:full,s-c 200",
            "l seq=41 at=12.500 whole hosts=",
            "b s-5b site=a class=m2 block=3 share=1 born=0 draining",
            "h 1 seed=ff node=n3 start=17 segment=",
            "s {\"a\":1}",
        ] {
            for cut in 0..line.len() {
                assert!(Line::looks_alike(&line[..cut]), "{}", &line[..cut]);
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
                Line::parse(foreign).is_none() && !Line::looks_alike(foreign),
                "{foreign}"
            );
        }
    }
}
