//! Threads that write lines. Callers that queue lines never block: each kind of line has a bounded queue, which
//! drops its oldest lines when it is full.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay before a write to a full non-blocking descriptor is repeated.
const WOULD_BLOCK_DELAY: Duration = Duration::from_millis(10);

/// Queue of lines to write, in batches of complete lines. A batch is one write.
struct Queue {
    batches: VecDeque<Vec<u8>>,
    bytes: usize,
    max_bytes: usize,
    /// Lines dropped unwritten and not yet reported.
    dropped: u64,
}

impl Queue {
    /// Drops the oldest batches until the rest fits.
    fn drop_excess(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
            self.dropped += oldest.iter().filter(|b| **b == b'\n').count() as u64;
        }
    }
}

struct State {
    queues: Vec<Queue>,
    /// True while a batch is being written.
    writing: bool,
}

struct Shared {
    state: Mutex<State>,
    /// Maximum bytes of a batch that lines are appended to.
    batch: usize,
    lines_ready: Condvar,
    idle: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The queues hold complete lines even after a panic in another thread.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writer thread and its queues.
#[derive(Clone)]
pub struct LineWriter(Arc<Shared>);

impl LineWriter {
    /// Starts a thread that passes complete lines to `write`, those of the first queue first. `max_bytes` bounds each
    /// queue. `batch` bounds a write, except for a single line that is longer.
    pub fn start(
        name: &str,
        max_bytes: &[usize],
        batch: usize,
        mut write: impl FnMut(&[u8]) + Send + 'static,
    ) -> io::Result<Self> {
        let queue = |max_bytes: &usize| Queue {
            batches: VecDeque::new(),
            bytes: 0,
            max_bytes: *max_bytes,
            dropped: 0,
        };
        let state = Mutex::new(State {
            queues: max_bytes.iter().map(queue).collect(),
            writing: false,
        });
        let shared = Arc::new(Shared {
            state,
            batch,
            lines_ready: Condvar::new(),
            idle: Condvar::new(),
        });
        let writer = LineWriter(shared.clone());
        std::thread::Builder::new()
            .name(name.into())
            .spawn(move || {
                loop {
                    write(&shared.next());
                }
            })?;
        Ok(writer)
    }

    /// Queues complete lines. The thread writes them at its next wake-up.
    pub fn enqueue(&self, queue: usize, lines: &[u8]) {
        let mut state = self.0.lock();
        let queue = &mut state.queues[queue];
        queue.bytes += lines.len();
        match queue
            .batches
            .back_mut()
            .filter(|last| last.len() + lines.len() <= self.0.batch)
        {
            Some(last) => last.extend_from_slice(lines),
            None => {
                let mut batch = Vec::with_capacity(lines.len().max(self.0.batch));
                batch.extend_from_slice(lines);
                queue.batches.push_back(batch);
            }
        }
        queue.drop_excess();
    }

    /// Queues complete lines as a batch of their own.
    pub fn enqueue_batch(&self, queue: usize, lines: Vec<u8>) {
        let mut state = self.0.lock();
        let queue = &mut state.queues[queue];
        queue.bytes += lines.len();
        queue.batches.push_back(lines);
        queue.drop_excess();
    }

    pub fn wake(&self) {
        self.0.lines_ready.notify_one();
    }

    /// Returns the number of lines that a queue has dropped since the last call.
    pub fn take_dropped(&self, queue: usize) -> u64 {
        std::mem::take(&mut self.0.lock().queues[queue].dropped)
    }

    /// Waits until all lines are written or the timeout ends; returns true if all are written.
    pub fn finish(&self, timeout: Duration) -> bool {
        self.wake();
        let end = Instant::now() + timeout;
        let mut state = self.0.lock();
        while state.writing || state.queues.iter().any(|queue| !queue.batches.is_empty()) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.0.idle.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Shared {
    /// Waits for lines and returns the next batch.
    fn next(&self) -> Vec<u8> {
        let mut state = self.lock();
        state.writing = false;
        loop {
            if let Some(queue) = state
                .queues
                .iter_mut()
                .find(|queue| !queue.batches.is_empty())
            {
                let batch = queue.batches.pop_front().unwrap_or_default();
                queue.bytes -= batch.len();
                state.writing = true;
                return batch;
            }
            self.idle.notify_all();
            state = self
                .lines_ready
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Writes all bytes, also to a non-blocking descriptor: a partial line would merge with the next one.
pub fn write_fully(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(WOULD_BLOCK_DELAY),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::channel;

    use super::*;

    const LONG_TIMEOUT: Duration = Duration::from_secs(30);

    #[test]
    fn a_full_queue_drops_its_oldest_lines_and_counts_them() {
        let (gate, blocked) = channel::<()>();
        let (out, written) = channel();
        let write = move |bytes: &[u8]| {
            out.send(bytes.to_vec()).expect("the test listens");
            let _ = blocked.recv(); // blocks the thread until the sender is dropped
        };
        let writer = LineWriter::start("test", &[100, 8], 4, write).expect("a thread");
        writer.enqueue(1, b"first\n");
        writer.wake();
        assert_eq!(
            written.recv_timeout(LONG_TIMEOUT).expect("a write"),
            b"first\n"
        );
        for line in ["a\nb\n", "cc\n", "d\n", "e\n"] {
            writer.enqueue(1, line.as_bytes());
        }
        writer.enqueue(0, b"log\n");
        assert_eq!(
            (
                writer.take_dropped(1),
                writer.take_dropped(1),
                writer.take_dropped(0)
            ),
            (2, 0, 0)
        );
        assert!(
            !writer.finish(Duration::from_millis(1)),
            "the writer is blocked"
        );
        drop(gate);
        assert!(writer.finish(LONG_TIMEOUT));
        assert_eq!(
            written.recv_timeout(LONG_TIMEOUT).expect("the first queue"),
            b"log\n"
        );
        let rest: Vec<Vec<u8>> = written.try_iter().collect();
        assert_eq!(rest, [&b"cc\n"[..], b"d\ne\n"]);
    }

    #[test]
    fn a_batch_holds_whole_lines_within_its_size() {
        let (out, written) = channel();
        let write = move |bytes: &[u8]| out.send(bytes.to_vec()).expect("the test listens");
        let writer = LineWriter::start("test", &[100], 8, write).expect("a thread");
        for line in ["12\n", "345\n", "6\n", "789012\n"] {
            writer.enqueue(0, line.as_bytes());
        }
        writer.enqueue_batch(0, b"1234567890\n".to_vec());
        assert!(writer.finish(LONG_TIMEOUT));
        let all: Vec<Vec<u8>> = written.try_iter().collect();
        assert_eq!(
            all,
            [&b"12\n345\n"[..], b"6\n", b"789012\n", b"1234567890\n"]
        );
    }

    /// Accepts one byte at a time and returns `WouldBlock` at every other write.
    struct SlowWriter(Vec<u8>, bool);

    impl Write for SlowWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.1 = !self.1;
            if self.1 {
                return Err(ErrorKind::WouldBlock.into());
            }
            self.0.push(bytes[0]);
            Ok(1)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn partial_writes_are_repeated_until_the_line_is_complete() {
        let mut out = SlowWriter(Vec::new(), false);
        write_fully(&mut out, b"a line\n").expect("all bytes are written");
        assert_eq!(out.0, b"a line\n");
    }
}
