//! Traffic capture: a line for each ended request and each update of the endpoint list, in an in-memory ring of segments.
//! Each segment begins with the state that a replay needs, so that the segments left after a wrap can be replayed alone.

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
use crate::log::{self, CAPTURE_QUEUE};
use crate::message::OutboundRequest;
use crate::note;

const SEGMENT_COUNT: usize = 4;
const SEGMENT_BYTES: usize = 192 << 10;
/// Total bytes of the ring.
const RING_BYTES: usize = SEGMENT_COUNT * SEGMENT_BYTES;
/// At shutdown the complete ring is queued for standard error at once, behind lines that are still queued.
const _: () = assert!(RING_BYTES + SEGMENT_BYTES <= log::CAPTURE_MAX_BYTES);
/// Maximum bytes of a segment's header. At least half of the segment is left for records; a longer list is truncated.
const MAX_HEADER_BYTES: usize = SEGMENT_BYTES / 2;
/// Maximum files of one proxy in `capture.dir`; the oldest are deleted.
const MAX_FILES: usize = 16;

/// Data of a request that has not ended.
pub struct PendingRecord {
    class: ClassId,
    tenant: Option<TenantId>,
    deadline: u64,
    seq: Option<u64>,
    attempts: Vec<(Rc<str>, Option<Outcome>)>,
}

impl PendingRecord {
    /// Records the outcome of an attempt.
    pub fn attempt_ended(&mut self, attempt: u32, outcome: Outcome) {
        if let Some(started) = self.attempts.get_mut(attempt as usize) {
            started.1 = Some(outcome);
        }
    }
}

/// Traffic capture of the proxy.
pub struct Capture {
    /// Names of the settings in effect.
    names: RefCell<Rc<Names>>,
    clock: Clock,
    writer: LineWriter,
    ring: RefCell<Ring>,
}

impl Capture {
    /// Creates the capture and allocates all its memory. `settings_json` is the settings object on one line.
    pub fn new(
        settings: &Settings,
        node: &str,
        seed: u64,
        settings_json: &str,
        names: Names,
        clock: Clock,
    ) -> Result<Self, String> {
        let writer = log::start_writer_thread()
            .map_err(|e| format!("cannot start the writer thread of standard error: {e}"))?
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
        let ring = RefCell::new(Ring::new(head, settings_json, files)?);
        let names = RefCell::new(Rc::new(names));
        Ok(Capture {
            names,
            clock,
            writer,
            ring,
        })
    }

    /// Updates the names after a change of the settings.
    pub fn update_names(&self, names: &Names) {
        self.names.replace(Rc::new(names.clone()));
    }

    /// Starts the record of a request. `timeout` is the time its client waits.
    pub fn start_record(
        &self,
        class: ClassId,
        tenant: Option<TenantId>,
        timeout: Duration,
    ) -> PendingRecord {
        let (seq, attempts) = (self.ring.borrow().seq, Vec::new());
        PendingRecord {
            class,
            tenant,
            deadline: timeout.as_millis() as u64,
            seq,
            attempts,
        }
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&self, pending: &mut PendingRecord, endpoint: EndpointId) {
        let ring = self.ring.borrow();
        // The endpoint is on the list or has just been removed.
        let name = ring
            .list
            .get(&endpoint)
            .map_or_else(|| Rc::from(""), |(name, _)| name.clone());
        pending.attempts.push((name, None));
    }

    /// Writes the record of a request that has ended.
    pub fn finish_record(&self, pending: &PendingRecord, message: &OutboundRequest, code: u16) {
        let attempts = pending.attempts.iter().map(|(name, end)| AttemptRecord {
            endpoint: Cow::from(&**name),
            outcome: *end,
        });
        let names = self.names.borrow().clone();
        self.write_record(&record(
            &names,
            pending,
            message,
            Some(attempts.collect()),
            code,
        ));
    }

    /// Writes the record of a request that the frontend rejected before it reached the decision module.
    pub fn record_rejected(&self, pending: &PendingRecord, message: &OutboundRequest, code: u16) {
        let names = self.names.borrow().clone();
        self.write_record(&record(&names, pending, message, None, code));
    }

    fn write_record(&self, record: &RequestRecord) {
        let line = format!("{record}\n").into_bytes();
        let mut ring = self.ring.borrow_mut();
        if !ring.ring_written || ring.files.is_some() {
            ring.append(self.clock.now(), &line);
        }
        if ring.ring_written {
            self.writer.enqueue(CAPTURE_QUEUE, &line);
            self.writer.wake();
        }
    }

    /// Writes an update of the endpoint list.
    pub fn list_updated(&self, scope: UpdateScope, version: Option<u64>, hosts: &[Host]) {
        let mut ring = self.ring.borrow_mut();
        let lines = ring.update_list(
            &ListUpdate {
                version,
                received_at: self.clock.now(),
                scope,
                endpoint_count: hosts.len(),
            },
            hosts,
        );
        if ring.ring_written {
            self.writer.enqueue(CAPTURE_QUEUE, lines.as_bytes());
            self.writer.wake();
        }
    }

    /// Queues the ring for standard error; records of requests that end later follow it there.
    pub fn write_ring(&self) {
        let mut ring = self.ring.borrow_mut();
        ring.ring_written = true;
        ring.seal();
        for segment in ring.take_segments().filter(|s| !s.is_empty()) {
            self.writer.enqueue_batch(CAPTURE_QUEUE, segment);
        }
        self.writer.wake();
    }

    /// Writes the last file, if files are written, and waits for it or for the timeout.
    pub fn finish(&self, timeout: Duration) {
        let mut ring = self.ring.borrow_mut();
        ring.seal();
        if let Some(files) = ring.files.take() {
            files.finish(timeout);
        }
        let lost = self.writer.take_dropped(CAPTURE_QUEUE);
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
    let id = message.headers.text("x-request-id").unwrap_or_default();
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
    /// Segments from the oldest to the current one.
    segments: VecDeque<Vec<u8>>,
    /// Current endpoint list: name and line of each endpoint.
    list: BTreeMap<EndpointId, (Rc<str>, String)>,
    seq: Option<u64>,
    /// True once the ring has been queued for standard error.
    ring_written: bool,
    files: Option<Files>,
}

impl Ring {
    fn new(head: SegmentHeader, settings_json: &str, files: Option<Files>) -> Result<Self, String> {
        let settings = format!("s {settings_json}\n");
        if settings.len() > MAX_HEADER_BYTES / 2 {
            return Err("capture: the settings are too long for a segment".into());
        }
        let allocate = || {
            let mut segment = vec![1; SEGMENT_BYTES]; // zeroed memory would not be backed by pages yet
            segment.clear();
            segment
        };
        let segments = (0..SEGMENT_COUNT).map(|_| allocate()).collect();
        let list = BTreeMap::new();
        let mut ring = Ring {
            head,
            settings,
            segments,
            list,
            seq: None,
            ring_written: false,
            files,
        };
        ring.write_header(0.0);
        Ok(ring)
    }

    /// Writes the header of the current segment.
    fn write_header(&mut self, now: Millis) {
        let Some(segment) = self.segments.back_mut() else {
            return;
        };
        segment.extend_from_slice(format!("{}\n{}", self.head, self.settings).as_bytes());
        if self.list.is_empty() {
            return;
        }
        let update = ListUpdate {
            version: self.seq,
            received_at: now,
            scope: UpdateScope::Full,
            endpoint_count: self.list.len(),
        };
        segment.extend_from_slice(format!("{update}\n").as_bytes());
        for (_, line) in self.list.values() {
            if segment.len() + line.len() > MAX_HEADER_BYTES {
                break;
            }
            segment.extend_from_slice(line.as_bytes());
        }
    }

    /// Reuses the oldest segment as the current one.
    fn wrap(&mut self, now: Millis) {
        self.seal();
        let mut oldest = self.segments.pop_front().unwrap_or_default();
        oldest.clear();
        self.segments.push_back(oldest);
        self.head.segment += 1;
        self.write_header(now);
    }

    /// Adds a line, in the next segment if it doesn't fit into the current one.
    fn append(&mut self, now: Millis, line: &[u8]) {
        if self
            .segments
            .back()
            .is_some_and(|s| s.len() + line.len() > SEGMENT_BYTES)
        {
            self.wrap(now);
        }
        if let Some(segment) = self.segments.back_mut() {
            segment.extend_from_slice(line);
        }
    }

    /// Applies an update of the list and returns its lines.
    fn update_list(&mut self, update: &ListUpdate, hosts: &[Host]) -> String {
        self.seq = update.version.or(self.seq);
        if matches!(update.scope, UpdateScope::Full | UpdateScope::Cached) {
            self.list.clear();
        }
        let mut lines = format!("{update}\n");
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
            .is_some_and(|s| s.len() + lines.len() > SEGMENT_BYTES)
        {
            self.wrap(update.received_at); // the header of the next segment has the new list
        } else {
            self.append(update.received_at, lines.as_bytes());
        }
        lines
    }

    /// Queues the current segment for its file.
    fn seal(&mut self) {
        if let (Some(files), Some(segment)) = (&self.files, self.segments.back()) {
            files.enqueue(self.head.segment, segment);
        }
    }

    /// Returns all segments: copies if files are still to be written, otherwise the segments themselves.
    fn take_segments(&mut self) -> impl Iterator<Item = Vec<u8>> {
        let keep = self.files.is_some();
        self.segments
            .iter_mut()
            .map(move |s| if keep { s.clone() } else { std::mem::take(s) })
    }
}

/// Thread that writes each segment to its own file, and its queue.
struct Files {
    segments: SyncSender<(u64, Vec<u8>)>,
    ended: Receiver<()>,
}

impl Files {
    fn start(dir: &Path, head: &SegmentHeader) -> Result<Self, String> {
        // One segment is queued while another is written; if segments come faster, they are lost.
        let (segments, queued) = sync_channel::<(u64, Vec<u8>)>(2);
        let (end, ended) = sync_channel(1);
        let (dir, prefix) = (
            dir.to_owned(),
            format!("canvascart-{}-", Field(Some(&head.node))),
        );
        let start = format!("{:015}", head.started_at.max(0.0) as u64);
        let write = move || {
            for (number, segment) in queued {
                let name = format!("{prefix}{start}-{number:06}.capture");
                let written =
                    std::fs::write(dir.join(&name), segment).and_then(|()| prune(&dir, &prefix));
                if let Err(e) = written {
                    note!("capture: {}: {e}", dir.join(&name).display());
                }
            }
            let _ = end.send(()); // the receiver may have given up
        };
        let thread = std::thread::Builder::new()
            .name("capture".into())
            .spawn(write);
        thread.map_err(|e| format!("cannot start the writer thread of capture.dir: {e}"))?;
        Ok(Files { segments, ended })
    }

    fn enqueue(&self, number: u64, segment: &[u8]) {
        if let Err(TrySendError::Full(_)) = self.segments.try_send((number, segment.to_vec())) {
            note!("capture: segment {number} is lost: capture.dir is too slow");
        }
    }

    fn finish(self, timeout: Duration) {
        drop(self.segments);
        if self.ended.recv_timeout(timeout).is_err() {
            note!("capture: capture.dir is too slow; its last file may be truncated");
        }
    }
}

/// Deletes this proxy's oldest files; file names sort by start time and segment number.
fn prune(dir: &Path, prefix: &str) -> std::io::Result<()> {
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .unwrap_or_default();
        if name.starts_with(prefix) && name.ends_with(".capture") {
            files.push(path);
        }
    }
    files.sort();
    let excess = files.len().saturating_sub(MAX_FILES);
    files[..excess].iter().try_for_each(std::fs::remove_file)
}

#[cfg(test)]
#[path = "../tests/unit/capture.rs"]
mod tests;
