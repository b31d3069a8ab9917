//! A client's connection: its times, its account, and its socket, which is read only while the account lets it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
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
}

impl Client {
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
        let first = if self.used.get() { begun + HEAD } else { self.since.get() + FIRST_HEAD };
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
        self.since.set(Instant::now());
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

/// A client's socket, which is read only while its account lets it.
pub struct Gated {
    pub stream: Rc<RefCell<TcpStream>>,
    pub client: Rc<Client>,
    pub guard: Guard,
}

impl AsyncRead for Gated {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        // The rest of a request that has been let in is read whatever the account says: it holds what the account lacks.
        let let_in = self.client.busy.get() && !self.client.turning_away.get();
        let waits = |account: &Rc<dyn Account>| !let_in && !account.may_read(cx.waker());
        if self.client.account.borrow().as_ref().is_some_and(waits) {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        if buf.filled().len() > before {
            // What it gets from here on would be read in two ways: the connection ends.
            if let Err(what) = self.guard.feed(&buf.filled()[before..]) {
                buf.set_filled(before);
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, what)));
            }
            let now = Instant::now();
            self.client.moved.set(now);
            if !self.client.busy.get() && self.client.begun.get().is_none() && self.guard.in_head() {
                self.client.begun.set(Some(now));
            }
        }
        read
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
        self: Pin<&mut Self>, cx: &mut Context, parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, parts);
        self.client.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
