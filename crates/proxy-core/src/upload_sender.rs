//! The part of an upload that one attempt sends: what has been received ahead, then the rest as it arrives.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::time::Instant;

use super::{Upload, invalid_data};
use crate::body_buffer::BufferedBody;
use crate::write_window::{self, WriteWindow};

/// Sends the rest of an upload with one attempt.
pub struct Sender {
    upload: Rc<Upload>,
    /// The window of the connection that sends the body.
    window: Rc<WriteWindow>,
    /// What has been received before the endpoint took it.
    ahead: RefCell<BufferedBody>,
}

impl Sender {
    pub(super) fn new(upload: Rc<Upload>) -> Self {
        Sender {
            upload,
            window: Rc::default(),
            ahead: RefCell::default(),
        }
    }

    /// Returns the announced length of the complete body.
    pub fn body_length(&self) -> Option<u64> {
        self.upload.arrival.length()
    }

    /// Returns the window of the connection that sends the body.
    pub fn window(&self) -> &Rc<WriteWindow> {
        &self.window
    }

    /// Returns an error if the request has its answer.
    pub fn check_aborted(&self) -> io::Result<()> {
        if self.upload.aborted.get() {
            return Err(invalid_data("the request is answered"));
        }
        Ok(())
    }

    /// Records that a part of the buffered beginning has been passed on, and whether it was the last.
    pub fn record_prefix(&self, bytes: usize, is_last: bool) {
        self.window.record_piece(bytes);
        self.upload.sent_at.set(Instant::now());
        if is_last {
            self.upload.record_passed_on();
        }
    }

    /// Passes on the next piece of the rest.
    pub fn poll_rest(&self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let upload = &self.upload;
        let data = match self.next_ahead() {
            Some(block) => block,
            None => match ready!(upload.poll_data_for_sender(cx)) {
                Some(Ok(data)) => write_window::compact(data),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => {
                    upload.record_passed_on();
                    return Poll::Ready(None);
                }
            },
        };
        self.window.record_piece(data.len());
        upload.sent_at.set(Instant::now());
        upload.partly_sent.set(true);
        upload.prefix.take();
        if self.ahead.borrow().is_end_stream() {
            upload.record_passed_on();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Takes the next block of what has been received ahead.
    fn next_ahead(&self) -> Option<Bytes> {
        let mut ahead = self.ahead.borrow_mut();
        if ahead.is_end_stream() {
            let mut buffer = self.upload.buffer.borrow_mut();
            *ahead = buffer.take_body();
            buffer.release_unused();
        }
        ahead.next_block()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.upload.senders.set(self.upload.senders.get() - 1);
        self.upload.sender_changed.notify_one();
    }
}
