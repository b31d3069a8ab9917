//! What a process of many tenants keeps of each: a seam that fronts and pools ask and tell. A proxy of one pool has none.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

use balancer::Millis;

/// One tenant's account of what all tenants share. Calls come from one thread, in the course of serving: none may block.
pub trait Account {
    /// A client has connected.
    ///
    /// # Errors
    /// There is no socket for it; the span in ms after which there may be one.
    fn connect(&self) -> Result<(), Millis>;

    /// A client's connection, once counted, is gone or another's.
    fn disconnect(&self);

    /// A request has come whose head and announced body take so many bytes.
    ///
    /// # Errors
    /// It is over the tenant's share; the span in ms after which it may not be.
    fn begin(&self, bytes: u64) -> Result<(), Millis>;

    /// A request that has begun has its final answer, after this span.
    fn end(&self, bytes: u64, held: Millis);

    /// The event loop is about to work for the tenant. The account has its own clock for it.
    fn works(&self);

    /// It has, for what was let in or to turn something away.
    fn worked(&self, turning_away: bool);

    /// Whether a client's connection may be read now; otherwise the waker is called when it may be worth another look.
    fn may_read(&self, waker: &Waker) -> bool;

    /// Whether a client's connection may be taken up now; otherwise the waker is called as for reading.
    fn may_accept(&self, waker: &Waker) -> bool;

    /// An attempt is to go to this server, named by a number that all tenants use for it; `false` if others' shares of
    /// it leave no room. One that went is told of again when it has ended.
    fn visit(&self, server: u64) -> bool;

    /// An attempt at a server has ended.
    fn leave(&self, server: u64);
}

/// Waits until a tenant's next connection may be taken up.
pub async fn turn(account: &Rc<dyn Account>) {
    poll_fn(|cx| {
        if account.may_accept(cx.waker()) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Runs a future and tells an account of each turn of it.
pub async fn on<F: Future>(account: Rc<dyn Account>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        account.works();
        let turn = future.as_mut().poll(cx);
        account.worked(false);
        turn
    })
    .await
}
