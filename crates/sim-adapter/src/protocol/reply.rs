//! Replies to the simulator, one line for each action of a proxy.

use std::fmt::{Arguments, Write as _};

use balancer::Millis;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;

use super::message::EMPTY_GOSSIP;

/// Last line of the replies to a batch.
pub const END_OF_REPLIES: &str = "EOR\n";
/// Text in place of the name of an endpoint that was never listed.
const UNKNOWN_ENDPOINT: &str = "-";
/// Recipient number of a message to all other proxies.
const ALL_PROXIES: i32 = -1;

/// Appends the replies of one proxy to those of a batch.
pub struct ReplyWriter<'a> {
    replies: &'a mut String,
    proxy: u64,
}

impl<'a> ReplyWriter<'a> {
    /// Creates a writer for a proxy.
    pub fn new(replies: &'a mut String, proxy: u64) -> Self {
        ReplyWriter { replies, proxy }
    }

    /// Returns the length of all replies in bytes, for [`ReplyWriter::truncate`].
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    /// Drops all replies after a length.
    pub fn truncate(&mut self, len: usize) {
        self.replies.truncate(len);
    }

    /// Forwards a request to an endpoint, with the timeout of the attempt.
    pub fn forward(&mut self, request: &str, endpoint: Option<&str>, timeout: Option<Millis>) {
        let proxy = self.proxy;
        let endpoint = endpoint.unwrap_or(UNKNOWN_ENDPOINT);
        self.write(format_args!(
            "SUBMIT_TO\ti={proxy}\trid={request}\tbackend={endpoint}"
        ));
        self.end_with_time("maxWait", timeout);
    }

    /// Rejects a request, with the time after which the client may retry.
    pub fn reject(&mut self, request: &str, retry_after: Option<Millis>) {
        let proxy = self.proxy;
        self.write(format_args!("TURN_AWAY\ti={proxy}\trid={request}"));
        self.end_with_time("retryAfter", retry_after);
    }

    /// Reports that a request failed.
    pub fn fail(&mut self, request: &str) {
        let proxy = self.proxy;
        self.write(format_args!("REPORT_FAILURE\ti={proxy}\trid={request}\n"));
    }

    /// Sets a timer.
    pub fn set_timer(&mut self, token: u64, at: Millis) {
        let proxy = self.proxy;
        self.write(format_args!(
            "WAKE_ME\ti={proxy}\tkeyBack={token}\tdueAt={at:.3}\n"
        ));
    }

    /// Sends a message to all other proxies.
    pub fn broadcast(&mut self, bytes: &[u8]) {
        let proxy = self.proxy;
        let text = if bytes.is_empty() {
            EMPTY_GOSSIP.to_owned()
        } else {
            BASE64.encode(bytes)
        };
        self.write(format_args!(
            "SAY\ti={proxy}\trecipient={ALL_PROXIES}\tmsg={text}\n"
        ));
    }

    /// Subscribes to endpoint list updates.
    pub fn subscribe(&mut self) {
        let proxy = self.proxy;
        self.write(format_args!("SUBSCRIBE\ti={proxy}\tactive=1\n"));
    }

    /// Fetches the complete endpoint list.
    pub fn fetch_endpoints(&mut self) {
        let proxy = self.proxy;
        self.write(format_args!("RELOAD\ti={proxy}\n"));
    }

    /// Reports that the decision module has panicked.
    pub fn exception(&mut self, message: &str) {
        let proxy = self.proxy;
        let message = message.replace(['\n', '\t', '\r'], " ");
        self.write(format_args!("EXCEPTION\ti={proxy}\tmessage={message}\n"));
    }

    /// Ends a line, with a time in it if there is one.
    fn end_with_time(&mut self, name: &str, time: Option<Millis>) {
        match time {
            Some(time) => self.write(format_args!("\t{name}={time:.3}\n")),
            None => self.write(format_args!("\n")),
        }
    }

    fn write(&mut self, text: Arguments) {
        // Writing to a string cannot fail.
        let _ = self.replies.write_fmt(text);
    }
}
