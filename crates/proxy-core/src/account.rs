//! What a process of many tenants keeps of each: a seam that fronts and pools ask and tell. A proxy of one pool has none.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

use balancer::Millis;

/// One tenant's account of what all tenants share. Calls come from one thread, in the course of serving: none may block.
pub trait TenantAccount {
    /// A client has connected.
    ///
    /// # Errors
    /// There is no socket for it; the span in ms after which there may be one.
    fn acquire_client_connection(&self) -> Result<(), Millis>;

    /// A client's connection, once counted, is gone or another's.
    fn release_client_connection(&self);

    /// A request has come whose head and announced body take so many bytes.
    ///
    /// # Errors
    /// It is over the tenant's share; the span in ms after which it may not be.
    fn begin_request(&self, bytes: u64) -> Result<(), Millis>;

    /// A request that has begun has its final answer, after this span.
    fn end_request(&self, bytes: u64, duration: Millis);

    /// The event loop is about to work for the tenant. The account has its own clock for it.
    fn begin_work(&self);

    /// It has, for what was let in or to turn something away.
    fn end_work(&self, rejecting: bool);

    /// Whether a client's connection may be read now; otherwise the waker is called when it may be worth another look.
    fn may_read(&self, waker: &Waker) -> bool;

    /// Whether a client's connection may be taken up now; otherwise the waker is called as for reading.
    fn may_accept(&self, waker: &Waker) -> bool;

    /// An attempt is to go to this server, named by a number that all tenants use for it; `false` if others' shares of
    /// it leave no room. One that went is told of again when it has ended.
    fn acquire_endpoint_connection(&self, endpoint: u64) -> bool;

    /// An attempt at a server has ended.
    fn release_endpoint_connection(&self, endpoint: u64);
}

/// Waits until a tenant's next connection may be taken up.
pub async fn wait_to_accept(account: &Rc<dyn TenantAccount>) {
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
pub async fn run_accounted<F: Future>(account: Rc<dyn TenantAccount>, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        account.begin_work();
        let result = future.as_mut().poll(cx);
        account.end_work(false);
        result
    })
    .await
}
