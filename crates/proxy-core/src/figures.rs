//! Figures for dashboards: requests, what is in flight and latencies, by class, tenant and answer code, as StatsD
//! or InfluxDB lines. Counters are summed and gauges read at each flush; a timer is one line a request.
//!
//! Threads write the lines out. Nothing here waits for them, and what they can't get rid of is bounded.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::fs::OpenOptions;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Request;
use settings::Names;
use settings::properties::{MetricsFormat as Format, MetricsSettings as Settings};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::inbox::STATUS_CLIENT_CLOSED;
use crate::line_writer::{LineWriter, write_whole};
use crate::log::{self, FIGURES, FIGURES_MOST as MOST};
use crate::message::class_name;
use crate::note;

/// From so many bytes on the threads get to work before the flush.
const EARLY: usize = 32 << 10;
/// Bytes of one write to a file.
const FILE_BATCH: usize = 8 << 10;
/// Between two lines of log about a file.
const COMPLAIN: Duration = Duration::from_secs(60);
/// Bytes of a tag's value.
const TAG: usize = 64;
/// The value for what the settings do not name.
const OTHER: &str = "other";

/// Which class and tenant: places in the names, `None` for what the settings do not name.
type Who = (Option<usize>, Option<usize>);

/// What a figure is tagged with.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    who: Who,
    code: u16,
    drill: Option<Rc<str>>,
}

#[derive(Default)]
struct State {
    /// Requests that have ended since the last flush.
    requests: BTreeMap<Series, u64>,
    /// Requests under way, for each class and tenant seen so far.
    inflight: BTreeMap<Who, u64>,
    /// Bytes since the threads were last woken.
    unwoken: usize,
    /// The last time stamp: InfluxDB takes points of one series and one time for one point.
    stamp: u128,
}

/// The proxy's figures.
pub struct MetricsExporter {
    format: Format,
    classes: RefCell<Vec<String>>,
    tenants: RefCell<Vec<String>>,
    flush: Duration,
    state: RefCell<State>,
    /// Where they go: a thread and its lane.
    outlets: Vec<(LineWriter, usize)>,
}

impl MetricsExporter {
    pub fn new(settings: &Settings, names: &Names) -> io::Result<Rc<Self>> {
        let targets =
            usize::from(settings.file.is_some()) + usize::from(settings.udp_address.is_some());
        let most = [MOST / targets.max(1)];
        let mut outlets = Vec::new();
        if let Some(file) = &settings.file {
            outlets.push((
                LineWriter::start("figures.file", &most, FILE_BATCH, to_file(file.clone()))?,
                0,
            ));
        }
        if let Some(to) = settings.udp_address {
            outlets.push((
                LineWriter::start(
                    "figures.udp",
                    &most,
                    settings.max_datagram_bytes,
                    to_udp(to)?,
                )?,
                0,
            ));
        }
        if outlets.is_empty() {
            outlets.push((log::behind_thread()?.clone(), FIGURES));
        }
        let escaped = |names: &[String]| all_tags(settings.format, names);
        Ok(Rc::new(MetricsExporter {
            format: settings.format,
            classes: RefCell::new(escaped(&names.classes)),
            tenants: RefCell::new(escaped(&names.tenants)),
            flush: settings.flush_interval,
            state: RefCell::default(),
            outlets,
        }))
    }

    /// The settings have changed, and with them the names.
    pub fn update_names(&self, names: &Names) {
        self.classes.replace(all_tags(self.format, &names.classes));
        self.tenants.replace(all_tags(self.format, &names.tenants));
    }

    /// A request has come in; `None` for what is none of a class's.
    pub fn start_request<B>(
        self: &Rc<Self>,
        request: &Request<B>,
        names: &Names,
    ) -> Option<InFlightRequest> {
        let uri = request.uri();
        if uri.path() == "/up" {
            return None;
        }
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let tenant = request
            .headers()
            .get("x-tenant-id")
            .and_then(|v| v.to_str().ok());
        let who = (
            place(&names.classes, class_name(uri)),
            tenant.and_then(|tenant| place(&names.tenants, tenant)),
        );
        *self.state.borrow_mut().inflight.entry(who).or_default() += 1;
        let (drill, ended) = (RefCell::default(), Cell::new(false));
        Some(InFlightRequest {
            figures: self.clone(),
            who,
            began: Instant::now(),
            drill,
            ended,
        })
    }

    fn end(&self, series: Series, took: Duration) {
        let mut state = self.state.borrow_mut();
        if let Some(inflight) = state.inflight.get_mut(&series.who) {
            *inflight -= 1;
        }
        let tags = self.tags(series.who, Some(&series));
        let ms = took.as_secs_f64() * 1000.0;
        self.put(
            &mut state,
            "canvascart.latency_ms",
            format_args!("{ms:.3}"),
            Kind::Timer,
            &tags,
        );
        *state.requests.entry(series).or_default() += 1;
        if state.unwoken >= EARLY {
            self.wake(&mut state);
        }
    }

    /// Sums the counters, reads the gauges and sends all on its way.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        for (series, count) in std::mem::take(&mut state.requests) {
            let tags = self.tags(series.who, Some(&series));
            self.put(
                &mut state,
                "canvascart.requests",
                format_args!("{count}"),
                Kind::Counter,
                &tags,
            );
        }
        let gauges: Vec<(Who, u64)> = state.inflight.iter().map(|(who, n)| (*who, *n)).collect();
        for (who, count) in gauges {
            let tags = self.tags(who, None);
            self.put(
                &mut state,
                "canvascart.inflight",
                format_args!("{count}"),
                Kind::Gauge,
                &tags,
            );
        }
        let dropped: u64 = self
            .outlets
            .iter()
            .map(|(outlet, lane)| outlet.take_dropped(*lane))
            .sum();
        if dropped > 0 {
            self.put(
                &mut state,
                "canvascart.figures_dropped",
                format_args!("{dropped}"),
                Kind::Counter,
                "",
            );
        }
        self.wake(&mut state);
    }

    /// Flushes for as long as the process runs.
    pub async fn follow(self: Rc<Self>) -> Infallible {
        let mut beat = interval(self.flush);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            beat.tick().await;
            self.flush();
        }
    }

    /// Flushes a last time, and waits until all is written, for so long at most.
    pub fn finish(&self, most: Duration) {
        self.flush();
        let end = Instant::now() + most;
        for (outlet, _) in &self.outlets {
            outlet.finish(end.saturating_duration_since(Instant::now()));
        }
    }

    fn wake(&self, state: &mut State) {
        state.unwoken = 0;
        self.outlets.iter().for_each(|(outlet, _)| outlet.wake());
    }

    /// The tags as the format writes them, without what separates them from the figure.
    fn tags(&self, who: Who, series: Option<&Series>) -> String {
        let name = |names: &'_ [String], place: Option<usize>| -> String {
            place
                .and_then(|p| names.get(p))
                .map_or(OTHER, String::as_str)
                .to_owned()
        };
        let class = name(&self.classes.borrow(), who.0);
        let tenant = name(&self.tenants.borrow(), who.1);
        let is = match self.format {
            Format::Statsd => ':',
            Format::Influx => '=',
        };
        let mut tags = format!("class{is}{class},tenant{is}{tenant}");
        if let Some(series) = series {
            tags += &format!(",code{is}{}", series.code);
            if let Some(drill) = &series.drill {
                tags += &format!(",drill{is}{}", tag(self.format, drill));
            }
        }
        tags
    }

    /// Hands a figure's line over.
    fn put(&self, state: &mut State, name: &str, value: fmt::Arguments, kind: Kind, tags: &str) {
        let line = match self.format {
            Format::Statsd => {
                let tags = if tags.is_empty() {
                    String::new()
                } else {
                    format!("|#{tags}")
                };
                format!("{name}:{value}|{}{tags}\n", kind.letter())
            }
            Format::Influx => {
                let comma = if tags.is_empty() { "" } else { "," };
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default()
                    .as_nanos();
                state.stamp = unix.max(state.stamp + 1);
                let whole = if matches!(kind, Kind::Timer) { "" } else { "i" };
                format!("{name}{comma}{tags} value={value}{whole} {}\n", state.stamp)
            }
        };
        state.unwoken += line.len();
        for (outlet, lane) in &self.outlets {
            outlet.put(*lane, line.as_bytes());
        }
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Counter,
    Gauge,
    Timer,
}

impl Kind {
    fn letter(self) -> &'static str {
        match self {
            Kind::Counter => "c",
            Kind::Gauge => "g",
            Kind::Timer => "ms",
        }
    }
}

/// A request under way. Where it is dropped before its end, its client has left.
pub struct InFlightRequest {
    figures: Rc<MetricsExporter>,
    who: Who,
    began: Instant,
    drill: RefCell<Option<Rc<str>>>,
    ended: Cell<bool>,
}

impl InFlightRequest {
    /// A drill acts on its answer.
    pub fn set_drill(&self, drill: &Rc<str>) {
        self.drill.replace(Some(drill.clone()));
    }

    /// It has this answer.
    pub fn end(&self, code: u16) {
        self.ended.set(true);
        let series = Series {
            who: self.who,
            code,
            drill: self.drill.take(),
        };
        self.figures.end(series, self.began.elapsed());
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(STATUS_CLIENT_CLOSED);
        }
    }
}

/// Names as the values of tags.
fn all_tags(format: Format, names: &[String]) -> Vec<String> {
    names.iter().map(|name| tag(format, name)).collect()
}

/// A tag's value: cut, and with nothing in it that the format gives a meaning.
fn tag(format: Format, text: &str) -> String {
    let mut value = String::new();
    for c in text.chars() {
        if value.len() >= TAG {
            break;
        }
        match (format, c) {
            (_, c) if c.is_control() || !c.is_ascii() || c == '\\' => value.push('_'),
            (Format::Statsd, ':' | '|' | '@' | '#' | ',' | ' ') => value.push('_'),
            (Format::Influx, ',' | '=' | ' ') => value.extend(['\\', c]),
            (_, c) => value.push(c),
        }
    }
    if value.is_empty() { "_".into() } else { value }
}

/// Adds lines to a file. It is opened anew for each write: a file that has been moved away is not written to.
fn to_file(file: PathBuf) -> impl FnMut(&[u8]) + Send {
    let mut complained: Option<Instant> = None;
    move |lines| {
        let written = OpenOptions::new().append(true).create(true).open(&file);
        let written = written.and_then(|mut file| write_whole(&mut file, lines));
        let quiet = complained.is_some_and(|at| at.elapsed() < COMPLAIN);
        if let Err(e) = written
            && !quiet
        {
            note!("figures: {}: {e}", file.display());
            complained = Some(Instant::now());
        }
    }
}

/// Sends lines as datagrams. Nobody may be there to take them, which is no concern of the proxy's.
fn to_udp(to: SocketAddr) -> io::Result<impl FnMut(&[u8]) + Send> {
    let from: IpAddr = match to {
        SocketAddr::V4(to) if to.ip().is_loopback() => Ipv4Addr::LOCALHOST.into(),
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((from, 0))?;
    Ok(move |lines: &[u8]| {
        let _ = socket.send_to(lines.trim_ascii_end(), to);
    })
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{Receiver, channel};

    use super::*;

    const LONG: Duration = Duration::from_secs(30);

    /// MetricsExporter that go out by a thread of the test's.
    fn figures_by(format: Format, outlet: LineWriter) -> (Rc<MetricsExporter>, Names) {
        let names = Names {
            classes: vec!["lookup".into(), "check out,x".into()],
            tenants: vec!["biblio-estrie".into()],
            ..Names::default()
        };
        let escaped = |names: &[String]| all_tags(format, names);
        let figures = Rc::new(MetricsExporter {
            format,
            classes: RefCell::new(escaped(&names.classes)),
            tenants: RefCell::new(escaped(&names.tenants)),
            flush: Duration::from_secs(1),
            state: RefCell::default(),
            outlets: vec![(outlet, 0)],
        });
        (figures, names)
    }

    /// Figures whose lines the test gets.
    fn figures(format: Format) -> (Rc<MetricsExporter>, Receiver<String>, Names) {
        let (out, lines) = channel();
        let write = move |bytes: &[u8]| {
            let _ = out.send(String::from_utf8(bytes.to_vec()).expect("text"));
        };
        let (figures, names) = figures_by(
            format,
            LineWriter::start("test", &[MOST], 1, write).expect("a thread"),
        );
        (figures, lines, names)
    }

    fn begin(
        figures: &Rc<MetricsExporter>,
        names: &Names,
        path: &str,
        tenant: &str,
    ) -> Option<InFlightRequest> {
        let request = Request::get(path)
            .header("x-tenant-id", tenant)
            .body(())
            .expect("a request");
        figures.start_request(&request, names)
    }

    fn all(figures: &MetricsExporter, lines: &Receiver<String>) -> Vec<String> {
        figures.finish(LONG);
        lines.try_iter().map(|l| l.trim_end().to_owned()).collect()
    }

    #[test]
    fn statsd_lines_sum_requests_and_read_what_is_in_flight() {
        let (figures, lines, names) = figures(Format::Statsd);
        for _ in 0..3 {
            begin(&figures, &names, "/lookup?sid=1", "biblio-estrie")
                .expect("a request")
                .end(200);
        }
        let open = begin(&figures, &names, "/lookup?sid=1", "biblio-estrie");
        let drilled = begin(&figures, &names, "/evil,code:1|c", "nobody").expect("a request");
        drilled.set_drill(&"lookup-abort".into());
        drilled.end(500);
        assert!(begin(&figures, &names, "/up", "nobody").is_none());
        let said = all(&figures, &lines);
        let tags = "class:lookup,tenant:biblio-estrie";
        let timers = said.iter().filter(|l| {
            l.starts_with("canvascart.latency_ms:") && l.ends_with(&format!("|ms|#{tags},code:200"))
        });
        assert_eq!(timers.count(), 3, "{said:?}");
        let other = "class:other,tenant:other";
        for wanted in [
            format!("canvascart.requests:3|c|#{tags},code:200"),
            format!("canvascart.requests:1|c|#{other},code:500,drill:lookup-abort"),
            format!("canvascart.inflight:1|g|#{tags}"),
            format!("canvascart.inflight:0|g|#{other}"),
        ] {
            assert!(said.contains(&wanted), "{wanted} in {said:?}");
        }
        assert_eq!(said.len(), 8, "{said:?}");
        drop(open); // the client leaves
        let said = all(&figures, &lines);
        assert!(
            said.contains(&format!("canvascart.requests:1|c|#{tags},code:499")),
            "{said:?}"
        );
        assert!(
            said.contains(&format!("canvascart.inflight:0|g|#{tags}")),
            "{said:?}"
        );
        assert!(
            !said.iter().any(|l| l.contains("code:200")),
            "counters begin anew: {said:?}"
        );
    }

    #[test]
    fn influx_points_are_escaped_and_each_has_a_time_of_its_own() {
        let (figures, lines, names) = figures(Format::Influx);
        for _ in 0..2 {
            let request = begin(&figures, &names, "/lookup", "biblio-estrie");
            request.expect("a request").end(200);
        }
        figures.end(
            Series {
                who: (Some(1), None),
                code: 503,
                drill: None,
            },
            Duration::from_millis(2),
        );
        let said = all(&figures, &lines);
        let of = |start: &str| {
            said.iter()
                .filter(|l| l.starts_with(start))
                .collect::<Vec<_>>()
        };
        assert_eq!(
            of("canvascart.latency_ms,class=lookup,tenant=biblio-estrie,code=200 value=").len(),
            2
        );
        assert_eq!(
            of("canvascart.requests,class=lookup,tenant=biblio-estrie,code=200 value=2i ").len(),
            1
        );
        let slow = "canvascart.latency_ms,class=check\\ out\\,x,tenant=other,code=503 value=2.000 ";
        assert_eq!(of(slow).len(), 1, "{said:?}");
        let stamps: std::collections::BTreeSet<&str> = said
            .iter()
            .filter_map(|l| l.rsplit_once(' '))
            .map(|(_, stamp)| stamp)
            .collect();
        assert_eq!(stamps.len(), said.len());
    }

    #[test]
    fn a_full_buffer_drops_the_oldest_and_says_how_many() {
        // The thread is held at its first line, so that the rest has to wait.
        let (gate, held) = channel::<()>();
        let (out, lines) = channel();
        let write = move |bytes: &[u8]| {
            let _ = out.send(String::from_utf8(bytes.to_vec()).expect("text"));
            let _ = held.recv();
        };
        let outlet = LineWriter::start("test", &[700], 1, write).expect("a thread");
        let (figures, names) = figures_by(Format::Statsd, outlet.clone());
        let end = |code| {
            begin(&figures, &names, "/lookup", "nobody")
                .expect("a request")
                .end(code)
        };
        end(200);
        outlet.wake();
        let first = lines.recv_timeout(LONG).expect("the first line");
        assert!(first.contains("code:200"), "{first}");
        (300..400).for_each(end);
        figures.flush();
        drop(gate);
        assert!(outlet.finish(LONG));
        let said: Vec<String> = lines.try_iter().collect();
        let (last, kept) = said.split_last().expect("lines");
        let dropped = last
            .strip_prefix("canvascart.figures_dropped:")
            .and_then(|l| l.strip_suffix("|c\n"));
        let dropped: u64 = dropped
            .unwrap_or_else(|| panic!("{said:?}"))
            .parse()
            .expect("a number");
        // A hundred timers, counters for those and the first, a gauge.
        let lost = dropped + outlet.take_dropped(0);
        assert_eq!(lost + kept.len() as u64, 100 + 101 + 1);
        assert!(
            kept.iter()
                .any(|l| l.starts_with("canvascart.requests:1|c|") && l.contains("code:399"))
        );
    }

    #[test]
    fn no_value_can_pass_for_another_tag() {
        assert_eq!(tag(Format::Statsd, "a,b:c|d#e@f g\n"), "a_b_c_d_e_f_g_");
        assert_eq!(tag(Format::Influx, "a,b=c d\\\n"), "a\\,b\\=c\\ d__");
        assert_eq!(tag(Format::Statsd, ""), "_");
        assert!(tag(Format::Influx, &",".repeat(1000)).len() <= TAG);
    }
}
