//! A client's connection: its times, its account, and its socket, which is read only while the account lets it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::account::Account;
use crate::guard::Guard;

/// A request must be whole this long after its first byte, and as much later as its body takes: a client may take 2 s for
/// its head.
const HEAD: Duration = Duration::from_millis(2500);
/// And a connection's first one this long after the connection came: a peer that sends no proper request is owed an
/// error or a close within 3 s.
const FIRST_HEAD: Duration = Duration::from_millis(2800);
/// A connection may stand idle for so long; it has to be 2 s at least.
pub const IDLE: Duration = Duration::from_millis(2500);

/// What is known of a connection.
pub struct Client {
    pub busy: Cell<bool>,
    /// It has had an answer. Before that its first request may be on the way at any moment.
    pub used: Cell<bool>,
    pub since: Cell<Instant>,
    /// When the head that is coming in began.
    pub begun: Cell<Option<Instant>>,
    /// When something was last read or written.
    pub moved: Cell<Instant>,
    pub close: Notify,
    /// On whose account it is, in a process of many tenants.
    pub account: RefCell<Option<Rc<dyn Account>>>,
    /// Its latest request was turned away: what is still done for it is work of that kind.
    pub turning_away: Cell<bool>,
    /// Requests that have been read to their end, and those that have their answer.
    ended: Cell<u64>,
    answered: Cell<u64>,
    /// What came behind a request that has no answer yet.
    ahead: RefCell<Vec<u8>>,
    /// Who is to look again once there is an answer.
    reader: RefCell<Option<Waker>>,
    /// More came behind it than is kept: the connection ends with its answer.
    overrun: Cell<bool>,
}

impl Client {
    /// A connection that has just come.
    pub fn new(account: Option<Rc<dyn Account>>) -> Self {
        Client {
            busy: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            begun: Cell::new(None),
            moved: Cell::new(Instant::now()),
            close: Notify::new(),
            account: RefCell::new(account),
            turning_away: Cell::new(false),
            ended: Cell::new(0),
            answered: Cell::new(0),
            ahead: RefCell::default(),
            reader: RefCell::default(),
            overrun: Cell::new(false),
        }
    }

    /// Whether nothing is known to have come that has not been read.
    pub fn is_caught_up(&self) -> bool {
        self.ahead.borrow().is_empty()
    }

    /// Whether more came behind a request than is kept.
    pub fn is_overrun(&self) -> bool {
        self.overrun.get()
    }

    /// When the connection has to be looked at again, if nothing happens until then.
    pub fn due(&self) -> Instant {
        match self.begun.get() {
            _ if self.busy.get() => Instant::now() + IDLE,
            Some(begun) => self.whole_by(begun),
            None => self.since.get().max(self.moved.get()) + IDLE,
        }
    }

    /// When a request that began then has to be whole, whatever time its body's length takes left out.
    pub fn whole_by(&self, begun: Instant) -> Instant {
        let first = if self.used.get() {
            begun + HEAD
        } else {
            self.since.get() + FIRST_HEAD
        };
        first.min(begun + HEAD)
    }

    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.moved.set(Instant::now());
        }
    }

    /// Its request has its answer.
    pub fn rest(&self) {
        self.busy.set(false);
        self.answered.set(self.answered.get() + 1);
        self.since.set(Instant::now());
        if let Some(reader) = self.reader.take().filter(|_| !self.is_caught_up()) {
            reader.wake();
        }
    }

    /// Puts the connection on the account of the tenant that its latest request names.
    pub fn belongs_to(&self, account: &Rc<dyn Account>) -> Result<(), f64> {
        let mut own = self.account.borrow_mut();
        if own.as_ref().is_some_and(|o| Rc::ptr_eq(o, account)) {
            return Ok(());
        }
        account.connect()?;
        if let Some(old) = own.replace(account.clone()) {
            old.disconnect();
        }
        Ok(())
    }

    /// Runs the connection's future and puts each turn on the account that it has then.
    pub async fn work<F: Future>(&self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Some(account) = &*self.account.borrow() {
                account.works();
            }
            let turn = future.as_mut().poll(cx);
            if let Some(account) = &*self.account.borrow() {
                account.worked(self.turning_away.get());
            }
            turn
        })
        .await
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        if let Some(account) = self.account.get_mut() {
            account.disconnect();
        }
    }
}

/// Bytes behind a request that are kept while it has no answer.
const AHEAD: usize = 64 << 10;
/// Reads of bytes that are not served, in one turn.
pub const READS: usize = 4;

/// A client's socket, which is read only while its account lets it. The HTTP library gets one request at a time: with bytes of
/// a further one in its hands it would no longer look whether the client is still there.
pub struct Gated {
    pub stream: Rc<RefCell<TcpStream>>,
    pub client: Rc<Client>,
    pub guard: Guard,
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        // The rest of a request that has been let in is read whatever the account says: it holds what the account lacks.
        let let_in = self.client.busy.get() && !self.client.turning_away.get();
        let waits = |account: &Rc<dyn Account>| !let_in && !account.may_read(cx.waker());
        if self.client.account.borrow().as_ref().is_some_and(waits) {
            return Poll::Pending;
        }
        if self.client.ended.get() > self.client.answered.get() {
            return self.look_ahead(cx);
        }
        let before = buf.filled().len();
        let kept = std::mem::take(&mut *self.client.ahead.borrow_mut());
        let read = if kept.is_empty() && self.client.overrun.get() {
            return Poll::Ready(Ok(())); // what comes now has a gap before it
        } else if kept.is_empty() {
            Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
        } else {
            let now = kept.len().min(buf.remaining());
            buf.put_slice(&kept[..now]);
            self.client
                .ahead
                .borrow_mut()
                .extend_from_slice(&kept[now..]);
            Poll::Ready(Ok(()))
        };
        if buf.filled().len() > before {
            match self.guard.feed(&buf.filled()[before..]) {
                // What it gets from here on would be read in two ways: the connection ends.
                Err(what) => {
                    buf.set_filled(before);
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, what)));
                }
                Ok((taken, ended)) => {
                    self.client
                        .ahead
                        .borrow_mut()
                        .splice(..0, buf.filled()[before + taken..].iter().copied());
                    buf.set_filled(before + taken);
                    self.client
                        .ended
                        .set(self.client.ended.get() + u64::from(ended));
                }
            }
            let now = Instant::now();
            self.client.moved.set(now);
            if !self.client.busy.get() && self.client.begun.get().is_none() && self.guard.in_head()
            {
                self.client.begun.set(Some(now));
            }
        }
        read
    }
}

impl Gated {
    /// Reads what comes behind a request that has no answer yet. Its client's end is all that is told of it.
    fn look_ahead(&self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut bytes = [0; 4 << 10];
        for _ in 0..READS {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.client.moved.set(Instant::now());
                    let mut ahead = self.client.ahead.borrow_mut();
                    let room = AHEAD.saturating_sub(ahead.len()).min(buf.filled().len());
                    ahead.extend_from_slice(&buf.filled()[..room]);
                    self.client
                        .overrun
                        .set(self.client.overrun.get() || room < buf.filled().len());
                }
                Poll::Pending => {
                    self.client.reader.replace(Some(cx.waker().clone()));
                    return Poll::Pending;
                }
                end => return end,
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for Gated {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        self.client.wrote(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, parts);
        self.client.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
