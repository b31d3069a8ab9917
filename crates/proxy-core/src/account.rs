//! Accounting per tenant in a process that serves many tenants: the interface through which frontends and pools ask
//! for and report shared resources. A proxy with a single pool has none.

use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

use balancer::Millis;

/// Usage of the shared resources by one tenant. All calls come from one thread while requests are served, so none may
/// block.
pub trait TenantAccount {
    /// Counts a new client connection.
    ///
    /// # Errors
    /// No socket is available for it; the value is the time in ms after which there may be one.
    fn acquire_client_connection(&self) -> Result<(), Millis>;

    /// Releases a client connection that has closed or has moved to another tenant's account.
    fn release_client_connection(&self);

    /// Counts a request whose head and announced body take `bytes`.
    ///
    /// # Errors
    /// The tenant has used up its share; the value is the time in ms after which there may be room.
    fn begin_request(&self, bytes: u64) -> Result<(), Millis>;

    /// Releases a request after its final answer, `duration` after [`begin_request`](Self::begin_request).
    fn end_request(&self, bytes: u64, duration: Millis);

    /// Marks the start of event loop work for the tenant. The account measures the time itself.
    fn begin_work(&self);

    /// Marks the end of that work; `rejecting` is true if the work rejected a connection or a request
    /// instead of serving an admitted one.
    fn end_work(&self, rejecting: bool);

    /// Returns whether a client connection may be read now. Otherwise the waker is called when another check may
    /// succeed.
    fn may_read(&self, waker: &Waker) -> bool;

    /// Returns whether a client connection may be accepted now. Otherwise the waker is called as for reading.
    fn may_accept(&self, waker: &Waker) -> bool;

    /// Reserves a connection for an attempt at an endpoint, which all tenants identify by the same number. Returns
    /// `false` if the shares of other tenants leave no room. Each successful call is followed by
    /// [`release_endpoint_connection`](Self::release_endpoint_connection).
    fn acquire_endpoint_connection(&self, endpoint: u64) -> bool;

    /// Releases the reservation of an attempt that has ended.
    fn release_endpoint_connection(&self, endpoint: u64);
}

/// Waits until the tenant's next connection may be accepted.
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

/// Runs a future and charges each poll of it to an account.
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
