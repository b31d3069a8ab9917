//! A session with the simulator: batches of messages in, the replies to each batch out.

use std::collections::BTreeMap;
use std::io::{BufRead, BufWriter, Lines, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use balancer::{Event, Millis};

use crate::error::{LineError, SessionError};
use crate::protocol::Fields;
use crate::protocol::message::{self, LineKind, MessageKind};
use crate::protocol::reply::{END_OF_REPLIES, ReplyWriter};
use crate::simulated_proxy::{ListItem, SimulatedProxy};

const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

struct Line {
    number: usize,
    text: String,
}

/// Session with the simulator, until the end of the input.
pub struct Session<R, W: Write> {
    lines: Lines<R>,
    /// Number of the line read last, from 1.
    line_number: usize,
    output: BufWriter<W>,
    proxies: BTreeMap<u64, SimulatedProxy>,
    /// Time of the current batch, if one has begun.
    batch_time: Option<Millis>,
    /// Replies to the current batch.
    replies: String,
}

impl<R: BufRead, W: Write> Session<R, W> {
    /// Creates a session without proxies.
    pub fn new(input: R, output: W) -> Self {
        Session {
            lines: input.lines(),
            line_number: 0,
            output: BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, output),
            proxies: BTreeMap::new(),
            batch_time: None,
            replies: String::new(),
        }
    }

    /// Processes batches until the input ends.
    ///
    /// # Errors
    /// The first line that is invalid, or an end within a batch.
    pub fn run(mut self) -> Result<(), SessionError> {
        while let Some(line) = self.next_line()? {
            self.process(&line)?;
        }
        if self.batch_time.is_some() {
            return Err(SessionError::UnfinishedBatch);
        }
        Ok(())
    }

    fn next_line(&mut self) -> Result<Option<Line>, SessionError> {
        let Some(text) = self.lines.next() else {
            return Ok(None);
        };
        self.line_number += 1;
        let number = self.line_number;
        match text {
            Ok(text) => Ok(Some(Line { number, text })),
            Err(error) => Err(SessionError::at_line(number)(error.into())),
        }
    }

    fn process(&mut self, line: &Line) -> Result<(), SessionError> {
        let at_line = SessionError::at_line(line.number);
        let (name, rest) = line
            .text
            .split_once('\t')
            .unwrap_or((line.text.trim_end(), ""));
        let fields = Fields::parse(rest).map_err(at_line)?;
        match LineKind::from_name(name) {
            LineKind::Ignored => Ok(()),
            LineKind::BatchStart => {
                self.batch_time = Some(message::batch_time(&fields).map_err(at_line)?);
                Ok(())
            }
            LineKind::BatchEnd => self.end_batch().map_err(at_line),
            LineKind::Message(kind) => {
                let Some(now) = self.batch_time else {
                    let message = name.to_owned();
                    return Err(at_line(LineError::OutsideBatch { message }));
                };
                self.process_message(now, line.number, kind, &fields)
            }
        }
    }

    /// Sends the replies to the current batch.
    fn end_batch(&mut self) -> Result<(), LineError> {
        self.batch_time.take().ok_or(LineError::BatchNotStarted)?;
        self.replies.push_str(END_OF_REPLIES);
        self.output.write_all(self.replies.as_bytes())?;
        self.output.flush()?;
        self.replies.clear();
        Ok(())
    }

    fn process_message(
        &mut self,
        now: Millis,
        line: usize,
        kind: MessageKind,
        fields: &Fields,
    ) -> Result<(), SessionError> {
        let at_line = SessionError::at_line(line);
        let id = message::proxy_id(fields).map_err(at_line)?;
        match kind {
            MessageKind::Start => {
                let proxy = SimulatedProxy::start(fields).map_err(at_line)?;
                self.proxies.insert(id, proxy);
                return Ok(());
            }
            MessageKind::Crash => {
                self.proxies.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        // The items are read even if the proxy is unknown: the next message comes after them.
        let items = match kind {
            MessageKind::EndpointUpdate => self.read_list(line, fields)?,
            _ => Vec::new(),
        };
        let Some(proxy) = self.proxies.get_mut(&id) else {
            return Ok(());
        };
        let mut reply = ReplyWriter::new(&mut self.replies, id);
        if kind == MessageKind::AttemptEnded
            && let Some(load) = proxy.load_report(fields).map_err(at_line)?
        {
            proxy.handle(now, load, &mut reply);
        }
        let event = match kind {
            MessageKind::EndpointUpdate => proxy.endpoint_update(line, fields, &items)?,
            _ => proxy.event(kind, fields).map_err(at_line)?,
        };
        if let Some(event) = event {
            handle_and_report_panic(proxy, now, event, &mut reply);
        }
        Ok(())
    }

    fn read_list(&mut self, line: usize, fields: &Fields) -> Result<Vec<ListItem>, SessionError> {
        let at_line = SessionError::at_line(line);
        let mut items = Vec::new();
        for _ in 0..message::list_length(fields).map_err(at_line)? {
            let Some(line) = self.next_line()? else {
                return Err(at_line(LineError::ListTruncated));
            };
            let item =
                message::list_item(&line.text).map_err(SessionError::at_line(line.number))?;
            items.push(ListItem {
                line: line.number,
                text: item.to_owned(),
            });
        }
        Ok(items)
    }
}

/// Handles an event. If the decision module panics, its replies to the event are replaced by one that reports the panic.
fn handle_and_report_panic(
    proxy: &mut SimulatedProxy,
    now: Millis,
    event: Event,
    reply: &mut ReplyWriter,
) {
    let len_before = reply.len();
    let handled = catch_unwind(AssertUnwindSafe(|| proxy.handle(now, event, reply)));
    let Err(cause) = handled else {
        return;
    };
    reply.truncate(len_before);
    let message = cause
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| cause.downcast_ref::<&str>().copied());
    reply.exception(message.unwrap_or("panic"));
}
