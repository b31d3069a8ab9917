//! Capture: a line for each request that has ended and each news of the list, in a ring of segments in memory.
//! Each segment opens with what a replay needs, so that what is left of a wrapped ring can be replayed alone.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use ::capture::{AttemptRecord, EndpointRecord, Field, ListUpdate, RequestRecord, SegmentHeader};
use balancer::{ClassId, EndpointId, EndpointState, Millis, Outcome, TenantId, UpdateScope};
use settings::properties::CaptureSettings as Settings;
use settings::{Names, stable_hash};

use crate::clock::Clock;
use crate::hosts::Host;
use crate::line_writer::LineWriter;
use crate::log::{self, CAPTURE};
use crate::message::OutboundRequest;
use crate::note;

const SEGMENTS: usize = 4;
const SEGMENT: usize = 192 << 10;
/// Bytes of the whole ring.
const RING: usize = SEGMENTS * SEGMENT;
/// At the end all of it goes to standard error at once, behind what is still on its way there.
const _: () = assert!(RING + SEGMENT <= log::CAPTURE_MOST);
/// A segment's opening leaves at least half of it for records: of a longer list the rest is left out.
const OPENING: usize = SEGMENT / 2;
/// Files of one proxy in `capture.dir`; the oldest ones go.
const FILES: usize = 16;

/// What is known of a request until it ends.
pub struct PendingRecord {
    class: ClassId,
    tenant: Option<TenantId>,
    deadline: u64,
    seq: Option<u64>,
    tried: Vec<(Rc<str>, Option<Outcome>)>,
}

impl PendingRecord {
    /// Notes how an attempt ended.
    pub fn attempt_ended(&mut self, attempt: u32, outcome: Outcome) {
        if let Some(tried) = self.tried.get_mut(attempt as usize) {
            tried.1 = Some(outcome);
        }
    }
}

/// The proxy's capture.
pub struct Capture {
    /// Those of the settings in service.
    names: RefCell<Rc<Names>>,
    clock: Clock,
    outlet: LineWriter,
    ring: RefCell<Ring>,
}

impl Capture {
    /// Takes all its memory now; `given` is the settings object in one line of JSON.
    pub fn new(
        settings: &Settings,
        node: &str,
        seed: u64,
        given: &str,
        names: Names,
        clock: Clock,
    ) -> Result<Self, String> {
        let outlet = log::behind_thread()
            .map_err(|e| format!("the thread of standard error: {e}"))?
            .clone();
        let head = SegmentHeader {
            seed,
            node: node.to_owned(),
            started_at: clock.unix_start(),
            segment: 0,
        };
        let files = settings
            .directory
            .as_deref()
            .map(|dir| Files::start(dir, &head))
            .transpose()?;
        let ring = RefCell::new(Ring::new(head, given, files)?);
        let names = RefCell::new(Rc::new(names));
        Ok(Capture {
            names,
            clock,
            outlet,
            ring,
        })
    }

    /// The settings have changed, and with them the names.
    pub fn update_names(&self, names: &Names) {
        self.names.replace(Rc::new(names.clone()));
    }

    /// A request has come in.
    pub fn start_record(
        &self,
        class: ClassId,
        tenant: Option<TenantId>,
        patience: Duration,
    ) -> PendingRecord {
        let (seq, tried) = (self.ring.borrow().seq, Vec::new());
        PendingRecord {
            class,
            tenant,
            deadline: patience.as_millis() as u64,
            seq,
            tried,
        }
    }

    /// An attempt goes out.
    pub fn attempt_started(&self, pending: &mut PendingRecord, backend: EndpointId) {
        let ring = self.ring.borrow();
        // What is sent to is on the list, or has just left it.
        let name = ring
            .list
            .get(&backend)
            .map_or_else(|| Rc::from(""), |(name, _)| name.clone());
        pending.tried.push((name, None));
    }

    /// A request has ended.
    pub fn finish_record(&self, pending: &PendingRecord, message: &OutboundRequest, code: u16) {
        let tried = pending.tried.iter().map(|(name, end)| AttemptRecord {
            endpoint: Cow::from(&**name),
            outcome: *end,
        });
        let names = self.names.borrow().clone();
        self.put(&record(
            &names,
            pending,
            message,
            Some(tried.collect()),
            code,
        ));
    }

    /// The front end has turned a request away that the module never saw.
    pub fn record_rejected(&self, pending: &PendingRecord, message: &OutboundRequest, code: u16) {
        let names = self.names.borrow().clone();
        self.put(&record(&names, pending, message, None, code));
    }

    fn put(&self, record: &RequestRecord) {
        let line = format!("{record}\n").into_bytes();
        let mut ring = self.ring.borrow_mut();
        if !ring.told || ring.files.is_some() {
            ring.put(self.clock.now(), &line);
        }
        if ring.told {
            self.outlet.put(CAPTURE, &line);
            self.outlet.wake();
        }
    }

    /// The list has changed.
    pub fn list_updated(&self, scope: UpdateScope, version: Option<u64>, hosts: &[Host]) {
        let mut ring = self.ring.borrow_mut();
        let lines = ring.news(
            &ListUpdate {
                version,
                received_at: self.clock.now(),
                scope,
                endpoint_count: hosts.len(),
            },
            hosts,
        );
        if ring.told {
            self.outlet.put(CAPTURE, lines.as_bytes());
            self.outlet.wake();
        }
    }

    /// Hands the ring to the thread that writes it to standard error; what ends from here on follows it there.
    pub fn tell(&self) {
        let mut ring = self.ring.borrow_mut();
        ring.told = true;
        ring.seal();
        for segment in ring.take().filter(|s| !s.is_empty()) {
            self.outlet.put_piece(CAPTURE, segment);
        }
        self.outlet.wake();
    }

    /// Writes the last file, if there are files, and waits for it for so long at most.
    pub fn finish(&self, most: Duration) {
        let mut ring = self.ring.borrow_mut();
        ring.seal();
        if let Some(files) = ring.files.take() {
            files.finish(most);
        }
        let lost = self.outlet.take_dropped(CAPTURE);
        if lost > 0 {
            note!("capture: {lost} lines lost");
        }
    }
}

fn record<'a>(
    names: &'a Names,
    pending: &'a PendingRecord,
    message: &'a OutboundRequest,
    attempts: Option<Vec<AttemptRecord<'a>>>,
    status: u16,
) -> RequestRecord<'a> {
    let id = message
        .headers
        .get("x-request-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    RequestRecord {
        id: id.into(),
        class: names
            .classes
            .get(pending.class.0)
            .map_or("", String::as_str)
            .into(),
        tenant: pending
            .tenant
            .and_then(|t| names.tenants.get(t.0))
            .map(|t| t.as_str().into()),
        sid: message.sid().map(Cow::from),
        timeout_ms: pending.deadline,
        list_version: pending.seq,
        attempts,
        status,
    }
}

fn server(host: &Host) -> EndpointRecord {
    EndpointRecord {
        name: host.host.clone(),
        zone: host.site.clone(),
        machine_type: host.class.clone(),
        cell: host.block,
        weight: host.share,
        started_at: host.born_ms,
        state: host.state(),
    }
}

struct Ring {
    head: SegmentHeader,
    settings: String,
    /// Oldest first; the last one is written to.
    segments: VecDeque<Vec<u8>>,
    /// The present list: a server's name and its line.
    list: BTreeMap<EndpointId, (Rc<str>, String)>,
    seq: Option<u64>,
    /// Standard error has had the ring.
    told: bool,
    files: Option<Files>,
}

impl Ring {
    fn new(head: SegmentHeader, given: &str, files: Option<Files>) -> Result<Self, String> {
        let settings = format!("s {given}\n");
        if settings.len() > OPENING / 2 {
            return Err("capture: the settings are too long for a segment".into());
        }
        let touched = || {
            let mut segment = vec![1; SEGMENT]; // zeros would come as pages that are not there yet
            segment.clear();
            segment
        };
        let segments = (0..SEGMENTS).map(|_| touched()).collect();
        let list = BTreeMap::new();
        let mut ring = Ring {
            head,
            settings,
            segments,
            list,
            seq: None,
            told: false,
            files,
        };
        ring.open(0.0);
        Ok(ring)
    }

    /// Writes the opening of the newest segment.
    fn open(&mut self, now: Millis) {
        let Some(segment) = self.segments.back_mut() else {
            return;
        };
        segment.extend_from_slice(format!("{}\n{}", self.head, self.settings).as_bytes());
        if self.list.is_empty() {
            return;
        }
        let news = ListUpdate {
            version: self.seq,
            received_at: now,
            scope: UpdateScope::Full,
            endpoint_count: self.list.len(),
        };
        segment.extend_from_slice(format!("{news}\n").as_bytes());
        for (_, line) in self.list.values() {
            if segment.len() + line.len() > OPENING {
                break;
            }
            segment.extend_from_slice(line.as_bytes());
        }
    }

    /// Lets the oldest segment go and begins a new one.
    fn wrap(&mut self, now: Millis) {
        self.seal();
        let mut oldest = self.segments.pop_front().unwrap_or_default();
        oldest.clear();
        self.segments.push_back(oldest);
        self.head.segment += 1;
        self.open(now);
    }

    /// Adds a line; into the next segment if it does not fit into this one.
    fn put(&mut self, now: Millis, line: &[u8]) {
        if self
            .segments
            .back()
            .is_some_and(|s| s.len() + line.len() > SEGMENT)
        {
            self.wrap(now);
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.extend_from_slice(line);
        }
    }

    /// Notes the new list, and returns the lines that tell of the change.
    fn news(&mut self, news: &ListUpdate, hosts: &[Host]) -> String {
        self.seq = news.version.or(self.seq);
        if matches!(news.scope, UpdateScope::Full | UpdateScope::Cached) {
            self.list.clear();
        }
        let mut lines = format!("{news}\n");
        for host in hosts {
            let (id, line) = (
                EndpointId(stable_hash(&host.host)),
                format!("{}\n", server(host)),
            );
            lines.push_str(&line);
            match host.state() {
                EndpointState::Removed => self.list.remove(&id),
                EndpointState::Up | EndpointState::Draining => {
                    self.list.insert(id, (host.host.as_str().into(), line))
                }
            };
        }
        if self
            .segments
            .back()
            .is_some_and(|s| s.len() + lines.len() > SEGMENT)
        {
            self.wrap(news.received_at); // its opening holds the new list
        } else {
            self.put(news.received_at, lines.as_bytes());
        }
        lines
    }

    /// Gives the newest segment to the files.
    fn seal(&mut self) {
        if let (Some(files), Some(segment)) = (&self.files, self.segments.back()) {
            files.put(self.head.segment, segment);
        }
    }

    /// All segments. Where there are files they go on, else their memory goes too.
    fn take(&mut self) -> impl Iterator<Item = Vec<u8>> {
        let keep = self.files.is_some();
        self.segments
            .iter_mut()
            .map(move |s| if keep { s.clone() } else { std::mem::take(s) })
    }
}

/// The thread that writes segments to files of their own, and what it is given.
struct Files {
    segments: SyncSender<(u64, Vec<u8>)>,
    ended: Receiver<()>,
}

impl Files {
    fn start(dir: &Path, head: &SegmentHeader) -> Result<Self, String> {
        // One waits while one is written; whatever comes faster than that is lost.
        let (segments, given) = sync_channel::<(u64, Vec<u8>)>(2);
        let (end, ended) = sync_channel(1);
        let (dir, prefix) = (
            dir.to_owned(),
            format!("canvascart-{}-", Field(Some(&head.node))),
        );
        let start = format!("{:015}", head.started_at.max(0.0) as u64);
        let write = move || {
            for (number, segment) in given {
                let name = format!("{prefix}{start}-{number:06}.capture");
                let written =
                    std::fs::write(dir.join(&name), segment).and_then(|()| prune(&dir, &prefix));
                if let Err(e) = written {
                    note!("capture: {}: {e}", dir.join(&name).display());
                }
            }
            let _ = end.send(()); // nobody may wait any more
        };
        let thread = std::thread::Builder::new()
            .name("capture".into())
            .spawn(write);
        thread.map_err(|e| format!("the thread of capture.dir: {e}"))?;
        Ok(Files { segments, ended })
    }

    fn put(&self, number: u64, segment: &[u8]) {
        if let Err(TrySendError::Full(_)) = self.segments.try_send((number, segment.to_vec())) {
            note!("capture: segment {number} is lost, capture.dir is too slow");
        }
    }

    fn finish(self, most: Duration) {
        drop(self.segments);
        if self.ended.recv_timeout(most).is_err() {
            note!("capture: capture.dir is too slow, its last file may be cut");
        }
    }
}

/// Removes this proxy's oldest files; their names sort by start and number.
fn prune(dir: &Path, prefix: &str) -> std::io::Result<()> {
    let mut own: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .unwrap_or_default();
        if name.starts_with(prefix) && name.ends_with(".capture") {
            own.push(path);
        }
    }
    own.sort();
    let spare = own.len().saturating_sub(FILES);
    own[..spare].iter().try_for_each(std::fs::remove_file)
}

#[cfg(test)]
mod tests {
    use ::capture::Line;

    use super::*;

    fn ring() -> Ring {
        let head = SegmentHeader {
            seed: 255,
            node: "n0".into(),
            started_at: 17.0,
            segment: 0,
        };
        Ring::new(head, "{}", None).expect("short settings")
    }

    fn host(name: &str, health: &str) -> Host {
        Host {
            host: name.into(),
            dial: "127.0.0.1:1".parse().ok(),
            site: None,
            class: None,
            block: None,
            health: health.into(),
            share: None,
            born_ms: 0.0,
        }
    }

    fn news(ring: &mut Ring, seq: u64, scope: UpdateScope, hosts: &[Host]) {
        ring.news(
            &ListUpdate {
                version: Some(seq),
                received_at: 0.0,
                scope,
                endpoint_count: hosts.len(),
            },
            hosts,
        );
    }

    fn lines(segment: &[u8]) -> Vec<Line> {
        let text = std::str::from_utf8(segment).expect("text");
        text.lines()
            .map(|l| Line::parse(l).unwrap_or_else(|| panic!("{l}")))
            .collect()
    }

    #[test]
    fn its_memory_is_there_from_the_start_and_stays_as_it_is() {
        let mut ring = ring();
        let before: Vec<usize> = ring.segments.iter().map(Vec::capacity).collect();
        assert_eq!(before.iter().sum::<usize>(), RING);
        for n in 0..30_000 {
            ring.put(
                0.0,
                format!("r {n:016} lookup t sid=- dl=1ms seq=- -> - 503\n").as_bytes(),
            );
        }
        assert!(ring.head.segment > SEGMENTS as u64, "it has wrapped");
        let after: Vec<usize> = ring.segments.iter().map(Vec::capacity).collect();
        assert_eq!(after, before);
    }

    #[test]
    fn a_ring_that_wraps_keeps_the_newest_and_each_segment_stands_alone() {
        let mut ring = ring();
        news(
            &mut ring,
            1,
            UpdateScope::Full,
            &[host("s-0", "up"), host("s-1", "up")],
        );
        news(
            &mut ring,
            2,
            UpdateScope::Delta,
            &[host("s-1", "removed"), host("s-2", "draining")],
        );
        let mut count = 0;
        while ring.head.segment < 6 {
            count += 1;
            ring.put(
                0.0,
                format!("r {count} lookup t sid=- dl=1ms seq=2 -> - 503\n").as_bytes(),
            );
        }
        let all: Vec<Vec<Line>> = ring.segments.iter().map(|s| lines(s)).collect();
        assert_eq!(all.len(), SEGMENTS);
        let mut ids = Vec::new();
        for (n, segment) in all.iter().enumerate() {
            let Line::Header(head) = &segment[0] else {
                panic!("a head")
            };
            assert_eq!((head.seed, head.segment), (255, n as u64 + 3));
            assert_eq!(segment[1], Line::Settings("{}".into()));
            let Line::ListUpdate(news) = &segment[2] else {
                panic!("the list")
            };
            assert_eq!(
                (news.version, news.scope, news.endpoint_count),
                (Some(2), UpdateScope::Full, 2)
            );
            let Line::Endpoint(last) = &segment[4] else {
                panic!("a server")
            };
            assert_eq!(
                (last.name.as_str(), last.state),
                ("s-2", EndpointState::Draining)
            );
            ids.extend(segment[5..].iter().map(|l| match l {
                Line::Request(r) => r.id.parse::<u64>().expect("a number"),
                other => panic!("{other:?}"),
            }));
        }
        assert_eq!(ids.last(), Some(&count), "the newest is there");
        assert!(
            ids.windows(2).all(|w| w[1] == w[0] + 1),
            "none is missing in between"
        );
    }

    #[test]
    fn a_list_too_long_for_an_opening_leaves_room_for_records() {
        let mut ring = ring();
        let many: Vec<Host> = (0..10_000).map(|n| host(&format!("s-{n}"), "up")).collect();
        news(&mut ring, 1, UpdateScope::Full, &many);
        assert!(
            ring.segments.iter().all(|s| s.len() <= OPENING),
            "the rest is left out"
        );
        ring.put(0.0, b"r a lookup t sid=- dl=1ms seq=1 -> - 503\n");
        assert!(matches!(
            lines(ring.segments.back().expect("one")).last(),
            Some(Line::Request(_))
        ));
    }
}
