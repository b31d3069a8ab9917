//! Metrics export for dashboards: requests, requests in flight and latencies, by class, tenant and status code, as StatsD
//! or InfluxDB lines. A flush writes the counters' sums and the gauges; each request writes its timer at its end.
//!
//! Writer threads send the lines. Nothing here blocks on them, and their queues are bounded.

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
use crate::line_writer::{LineWriter, write_fully};
use crate::log::{self, METRICS_MAX_BYTES, METRICS_QUEUE};
use crate::message::class_name;
use crate::note;

/// Number of queued bytes at which the writer threads are woken before the next flush.
const EARLY_WAKE_BYTES: usize = 32 << 10;
/// Maximum bytes of one write to a file.
const FILE_BATCH_BYTES: usize = 8 << 10;
/// Minimum interval between two log lines about write errors of a file.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum bytes of a tag value.
const MAX_TAG_BYTES: usize = 64;
/// Tag value for classes and tenants that the settings don't name.
const OTHER_TAG_VALUE: &str = "other";

/// Class and tenant: indices into the names, `None` for a name that the settings don't have.
type ClassAndTenant = (Option<usize>, Option<usize>);

/// Tags of a metric.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    class_and_tenant: ClassAndTenant,
    code: u16,
    drill: Option<Rc<str>>,
}

#[derive(Default)]
struct State {
    /// Ended requests since the last flush.
    requests: BTreeMap<Series, u64>,
    /// Requests in flight, for each class and tenant seen so far.
    inflight: BTreeMap<ClassAndTenant, u64>,
    /// Bytes queued since the threads were last woken.
    unwoken_bytes: usize,
    /// Last timestamp. Timestamps are unique, as InfluxDB merges points of one series with the same timestamp.
    last_timestamp: u128,
}

/// Exporter of the proxy's metrics.
pub struct MetricsExporter {
    format: Format,
    classes: RefCell<Vec<String>>,
    tenants: RefCell<Vec<String>>,
    flush_interval: Duration,
    state: RefCell<State>,
    /// Writer threads, each with its queue.
    writers: Vec<(LineWriter, usize)>,
}

impl MetricsExporter {
    pub fn new(settings: &Settings, names: &Names) -> io::Result<Rc<Self>> {
        let targets =
            usize::from(settings.file.is_some()) + usize::from(settings.udp_address.is_some());
        let max_bytes = [METRICS_MAX_BYTES / targets.max(1)];
        let mut writers = Vec::new();
        if let Some(file) = &settings.file {
            writers.push((
                LineWriter::start(
                    "figures.file",
                    &max_bytes,
                    FILE_BATCH_BYTES,
                    file_writer(file.clone()),
                )?,
                0,
            ));
        }
        if let Some(to) = settings.udp_address {
            writers.push((
                LineWriter::start(
                    "figures.udp",
                    &max_bytes,
                    settings.max_datagram_bytes,
                    udp_writer(to)?,
                )?,
                0,
            ));
        }
        if writers.is_empty() {
            writers.push((log::start_writer_thread()?.clone(), METRICS_QUEUE));
        }
        let values = |names: &[String]| tag_values(settings.format, names);
        Ok(Rc::new(MetricsExporter {
            format: settings.format,
            classes: RefCell::new(values(&names.classes)),
            tenants: RefCell::new(values(&names.tenants)),
            flush_interval: settings.flush_interval,
            state: RefCell::default(),
            writers,
        }))
    }

    /// Updates the names after a change of the settings.
    pub fn update_names(&self, names: &Names) {
        self.classes
            .replace(tag_values(self.format, &names.classes));
        self.tenants
            .replace(tag_values(self.format, &names.tenants));
    }

    /// Starts to measure a request; `None` for a health check.
    pub fn start_request<B>(
        self: &Rc<Self>,
        request: &Request<B>,
        names: &Names,
    ) -> Option<InFlightRequest> {
        let uri = request.uri();
        if uri.path() == "/up" {
            return None;
        }
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let tenant = request
            .headers()
            .get("x-tenant-id")
            .and_then(|v| v.to_str().ok());
        let class_and_tenant = (
            index(&names.classes, class_name(uri)),
            tenant.and_then(|tenant| index(&names.tenants, tenant)),
        );
        *self
            .state
            .borrow_mut()
            .inflight
            .entry(class_and_tenant)
            .or_default() += 1;
        let (drill, ended) = (RefCell::default(), Cell::new(false));
        Some(InFlightRequest {
            exporter: self.clone(),
            class_and_tenant,
            started: Instant::now(),
            drill,
            ended,
        })
    }

    fn end(&self, series: Series, latency: Duration) {
        let mut state = self.state.borrow_mut();
        if let Some(inflight) = state.inflight.get_mut(&series.class_and_tenant) {
            *inflight -= 1;
        }
        let tags = self.tags(series.class_and_tenant, Some(&series));
        let ms = latency.as_secs_f64() * 1000.0;
        self.enqueue_metric(
            &mut state,
            "canvascart.latency_ms",
            format_args!("{ms:.3}"),
            Kind::Timer,
            &tags,
        );
        *state.requests.entry(series).or_default() += 1;
        if state.unwoken_bytes >= EARLY_WAKE_BYTES {
            self.wake(&mut state);
        }
    }

    /// Queues the sums of the counters and the gauges, and wakes the writer threads.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        for (series, count) in std::mem::take(&mut state.requests) {
            let tags = self.tags(series.class_and_tenant, Some(&series));
            self.enqueue_metric(
                &mut state,
                "canvascart.requests",
                format_args!("{count}"),
                Kind::Counter,
                &tags,
            );
        }
        let gauges: Vec<(ClassAndTenant, u64)> = state
            .inflight
            .iter()
            .map(|(class_and_tenant, n)| (*class_and_tenant, *n))
            .collect();
        for (class_and_tenant, count) in gauges {
            let tags = self.tags(class_and_tenant, None);
            self.enqueue_metric(
                &mut state,
                "canvascart.inflight",
                format_args!("{count}"),
                Kind::Gauge,
                &tags,
            );
        }
        let dropped: u64 = self
            .writers
            .iter()
            .map(|(writer, queue)| writer.take_dropped(*queue))
            .sum();
        if dropped > 0 {
            self.enqueue_metric(
                &mut state,
                "canvascart.figures_dropped",
                format_args!("{dropped}"),
                Kind::Counter,
                "",
            );
        }
        self.wake(&mut state);
    }

    /// Flushes periodically until the process ends.
    pub async fn flush_periodically(self: Rc<Self>) -> Infallible {
        let mut ticks = interval(self.flush_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.flush();
        }
    }

    /// Flushes a last time, and waits until all lines are written or the timeout ends.
    pub fn finish(&self, timeout: Duration) {
        self.flush();
        let end = Instant::now() + timeout;
        for (writer, _) in &self.writers {
            writer.finish(end.saturating_duration_since(Instant::now()));
        }
    }

    fn wake(&self, state: &mut State) {
        state.unwoken_bytes = 0;
        self.writers.iter().for_each(|(writer, _)| writer.wake());
    }

    /// Returns the tags in the output format, without the separator before them.
    fn tags(&self, class_and_tenant: ClassAndTenant, series: Option<&Series>) -> String {
        let name = |names: &'_ [String], index: Option<usize>| -> String {
            index
                .and_then(|i| names.get(i))
                .map_or(OTHER_TAG_VALUE, String::as_str)
                .to_owned()
        };
        let class = name(&self.classes.borrow(), class_and_tenant.0);
        let tenant = name(&self.tenants.borrow(), class_and_tenant.1);
        let separator = match self.format {
            Format::Statsd => ':',
            Format::Influx => '=',
        };
        let mut tags = format!("class{separator}{class},tenant{separator}{tenant}");
        if let Some(series) = series {
            tags += &format!(",code{separator}{}", series.code);
            if let Some(drill) = &series.drill {
                tags += &format!(",drill{separator}{}", tag_value(self.format, drill));
            }
        }
        tags
    }

    /// Formats a metric and queues its line.
    fn enqueue_metric(
        &self,
        state: &mut State,
        name: &str,
        value: fmt::Arguments,
        kind: Kind,
        tags: &str,
    ) {
        let line = match self.format {
            Format::Statsd => {
                let tags = if tags.is_empty() {
                    String::new()
                } else {
                    format!("|#{tags}")
                };
                format!("{name}:{value}|{}{tags}\n", kind.statsd_type())
            }
            Format::Influx => {
                let comma = if tags.is_empty() { "" } else { "," };
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default()
                    .as_nanos();
                state.last_timestamp = unix.max(state.last_timestamp + 1);
                let integer_suffix = if matches!(kind, Kind::Timer) { "" } else { "i" };
                format!(
                    "{name}{comma}{tags} value={value}{integer_suffix} {}\n",
                    state.last_timestamp
                )
            }
        };
        state.unwoken_bytes += line.len();
        for (writer, queue) in &self.writers {
            writer.enqueue(*queue, line.as_bytes());
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
    fn statsd_type(self) -> &'static str {
        match self {
            Kind::Counter => "c",
            Kind::Gauge => "g",
            Kind::Timer => "ms",
        }
    }
}

/// Request in flight. It counts as abandoned by its client if it is dropped before its end.
pub struct InFlightRequest {
    exporter: Rc<MetricsExporter>,
    class_and_tenant: ClassAndTenant,
    started: Instant,
    drill: RefCell<Option<Rc<str>>>,
    ended: Cell<bool>,
}

impl InFlightRequest {
    /// Records the drill that affects the answer.
    pub fn set_drill(&self, drill: &Rc<str>) {
        self.drill.replace(Some(drill.clone()));
    }

    /// Records the end of the request with its status code.
    pub fn end(&self, code: u16) {
        self.ended.set(true);
        let series = Series {
            class_and_tenant: self.class_and_tenant,
            code,
            drill: self.drill.take(),
        };
        self.exporter.end(series, self.started.elapsed());
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(STATUS_CLIENT_CLOSED);
        }
    }
}

/// Returns names as tag values.
fn tag_values(format: Format, names: &[String]) -> Vec<String> {
    names.iter().map(|name| tag_value(format, name)).collect()
}

/// Returns a text as a tag value: truncated, and without characters that have a meaning in the format.
fn tag_value(format: Format, text: &str) -> String {
    let mut value = String::new();
    for c in text.chars() {
        if value.len() >= MAX_TAG_BYTES {
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

/// Appends lines to a file. The file is opened for each write, so that after a log rotation the lines go to the new
/// file instead of the renamed one.
fn file_writer(file: PathBuf) -> impl FnMut(&[u8]) + Send {
    let mut last_logged: Option<Instant> = None;
    move |lines| {
        let written = OpenOptions::new().append(true).create(true).open(&file);
        let written = written.and_then(|mut file| write_fully(&mut file, lines));
        let recently_logged = last_logged.is_some_and(|at| at.elapsed() < ERROR_LOG_INTERVAL);
        if let Err(e) = written
            && !recently_logged
        {
            note!("figures: {}: {e}", file.display());
            last_logged = Some(Instant::now());
        }
    }
}

/// Sends lines as UDP datagrams. Errors are ignored, as the receiver may be absent.
fn udp_writer(to: SocketAddr) -> io::Result<impl FnMut(&[u8]) + Send> {
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

    const LONG_TIMEOUT: Duration = Duration::from_secs(30);

    /// Creates an exporter with this writer.
    fn exporter_with(format: Format, writer: LineWriter) -> (Rc<MetricsExporter>, Names) {
        let names = Names {
            classes: vec!["lookup".into(), "check out,x".into()],
            tenants: vec!["biblio-estrie".into()],
            ..Names::default()
        };
        let values = |names: &[String]| tag_values(format, names);
        let exporter = Rc::new(MetricsExporter {
            format,
            classes: RefCell::new(values(&names.classes)),
            tenants: RefCell::new(values(&names.tenants)),
            flush_interval: Duration::from_secs(1),
            state: RefCell::default(),
            writers: vec![(writer, 0)],
        });
        (exporter, names)
    }

    /// Creates an exporter whose lines the test receives.
    fn exporter(format: Format) -> (Rc<MetricsExporter>, Receiver<String>, Names) {
        let (out, lines) = channel();
        let write = move |bytes: &[u8]| {
            let _ = out.send(String::from_utf8(bytes.to_vec()).expect("text"));
        };
        let (exporter, names) = exporter_with(
            format,
            LineWriter::start("test", &[METRICS_MAX_BYTES], 1, write).expect("a thread"),
        );
        (exporter, lines, names)
    }

    fn start_request(
        exporter: &Rc<MetricsExporter>,
        names: &Names,
        path: &str,
        tenant: &str,
    ) -> Option<InFlightRequest> {
        let request = Request::get(path)
            .header("x-tenant-id", tenant)
            .body(())
            .expect("a request");
        exporter.start_request(&request, names)
    }

    fn all_lines(exporter: &MetricsExporter, lines: &Receiver<String>) -> Vec<String> {
        exporter.finish(LONG_TIMEOUT);
        lines.try_iter().map(|l| l.trim_end().to_owned()).collect()
    }

    #[test]
    fn statsd_counters_are_summed_and_gauges_show_requests_in_flight() {
        let (exporter, lines, names) = exporter(Format::Statsd);
        for _ in 0..3 {
            start_request(&exporter, &names, "/lookup?sid=1", "biblio-estrie")
                .expect("a request")
                .end(200);
        }
        let open = start_request(&exporter, &names, "/lookup?sid=1", "biblio-estrie");
        let drilled =
            start_request(&exporter, &names, "/evil,code:1|c", "nobody").expect("a request");
        drilled.set_drill(&"lookup-abort".into());
        drilled.end(500);
        assert!(start_request(&exporter, &names, "/up", "nobody").is_none());
        let written = all_lines(&exporter, &lines);
        let tags = "class:lookup,tenant:biblio-estrie";
        let timers = written.iter().filter(|l| {
            l.starts_with("canvascart.latency_ms:") && l.ends_with(&format!("|ms|#{tags},code:200"))
        });
        assert_eq!(timers.count(), 3, "{written:?}");
        let other = "class:other,tenant:other";
        for expected in [
            format!("canvascart.requests:3|c|#{tags},code:200"),
            format!("canvascart.requests:1|c|#{other},code:500,drill:lookup-abort"),
            format!("canvascart.inflight:1|g|#{tags}"),
            format!("canvascart.inflight:0|g|#{other}"),
        ] {
            assert!(written.contains(&expected), "{expected} in {written:?}");
        }
        assert_eq!(written.len(), 8, "{written:?}");
        drop(open); // the client disconnects
        let written = all_lines(&exporter, &lines);
        assert!(
            written.contains(&format!("canvascart.requests:1|c|#{tags},code:499")),
            "{written:?}"
        );
        assert!(
            written.contains(&format!("canvascart.inflight:0|g|#{tags}")),
            "{written:?}"
        );
        assert!(
            !written.iter().any(|l| l.contains("code:200")),
            "counters start at 0 again: {written:?}"
        );
    }

    #[test]
    fn influx_points_are_escaped_and_have_unique_timestamps() {
        let (exporter, lines, names) = exporter(Format::Influx);
        for _ in 0..2 {
            let request = start_request(&exporter, &names, "/lookup", "biblio-estrie");
            request.expect("a request").end(200);
        }
        exporter.end(
            Series {
                class_and_tenant: (Some(1), None),
                code: 503,
                drill: None,
            },
            Duration::from_millis(2),
        );
        let written = all_lines(&exporter, &lines);
        let starting_with = |start: &str| {
            written
                .iter()
                .filter(|l| l.starts_with(start))
                .collect::<Vec<_>>()
        };
        assert_eq!(
            starting_with(
                "canvascart.latency_ms,class=lookup,tenant=biblio-estrie,code=200 value="
            )
            .len(),
            2
        );
        assert_eq!(
            starting_with(
                "canvascart.requests,class=lookup,tenant=biblio-estrie,code=200 value=2i "
            )
            .len(),
            1
        );
        let slow = "canvascart.latency_ms,class=check\\ out\\,x,tenant=other,code=503 value=2.000 ";
        assert_eq!(starting_with(slow).len(), 1, "{written:?}");
        let timestamps: std::collections::BTreeSet<&str> = written
            .iter()
            .filter_map(|l| l.rsplit_once(' '))
            .map(|(_, timestamp)| timestamp)
            .collect();
        assert_eq!(timestamps.len(), written.len());
    }

    #[test]
    fn a_full_queue_drops_its_oldest_lines_and_reports_their_number() {
        // The writer thread blocks at its first line, so that the rest is queued.
        let (gate, blocked) = channel::<()>();
        let (out, lines) = channel();
        let write = move |bytes: &[u8]| {
            let _ = out.send(String::from_utf8(bytes.to_vec()).expect("text"));
            let _ = blocked.recv();
        };
        let writer = LineWriter::start("test", &[700], 1, write).expect("a thread");
        let (exporter, names) = exporter_with(Format::Statsd, writer.clone());
        let end = |code| {
            start_request(&exporter, &names, "/lookup", "nobody")
                .expect("a request")
                .end(code)
        };
        end(200);
        writer.wake();
        let first = lines.recv_timeout(LONG_TIMEOUT).expect("the first line");
        assert!(first.contains("code:200"), "{first}");
        (300..400).for_each(end);
        exporter.flush();
        drop(gate);
        assert!(writer.finish(LONG_TIMEOUT));
        let written: Vec<String> = lines.try_iter().collect();
        let (last, kept) = written.split_last().expect("lines");
        let dropped = last
            .strip_prefix("canvascart.figures_dropped:")
            .and_then(|l| l.strip_suffix("|c\n"));
        let dropped: u64 = dropped
            .unwrap_or_else(|| panic!("{written:?}"))
            .parse()
            .expect("a number");
        // 100 timers, counters of these requests and of the first one, and a gauge.
        let lost = dropped + writer.take_dropped(0);
        assert_eq!(lost + kept.len() as u64, 100 + 101 + 1);
        assert!(
            kept.iter()
                .any(|l| l.starts_with("canvascart.requests:1|c|") && l.contains("code:399"))
        );
    }

    #[test]
    fn a_value_cannot_be_mistaken_for_another_tag() {
        assert_eq!(
            tag_value(Format::Statsd, "a,b:c|d#e@f g\n"),
            "a_b_c_d_e_f_g_"
        );
        assert_eq!(tag_value(Format::Influx, "a,b=c d\\\n"), "a\\,b\\=c\\ d__");
        assert_eq!(tag_value(Format::Statsd, ""), "_");
        assert!(tag_value(Format::Influx, &",".repeat(1000)).len() <= MAX_TAG_BYTES);
    }
}
