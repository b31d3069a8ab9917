//! Unit tests of the frontend.
use tokio::task::LocalSet;

use super::*;
use crate::clock::Clock;

/// An account that accepts connections but never permits reading them; it counts the polls that they take.
#[derive(Default)]
struct NeverReadable(Cell<u64>);

impl TenantAccount for NeverReadable {
    fn acquire_client_connection(&self) -> Result<(), f64> {
        Ok(())
    }
    fn release_client_connection(&self) {}
    fn begin_request(&self, _: u64) -> Result<(), f64> {
        Ok(())
    }
    fn end_request(&self, _: u64, _: f64) {}
    fn begin_work(&self) {
        self.0.set(self.0.get() + 1);
    }
    fn end_work(&self, _: bool) {}
    fn may_read(&self, _: &std::task::Waker) -> bool {
        false
    }
    fn may_accept(&self, _: &std::task::Waker) -> bool {
        true
    }
    fn acquire_endpoint_connection(&self, _: u64) -> bool {
        true
    }
    fn release_endpoint_connection(&self, _: u64) {}
}

struct NoPools(Rc<NeverReadable>);

impl Router for NoPools {
    fn pool(&self, _: &Uri, _: &HeaderMap, _: bool) -> Result<Rc<Pool>, RouteError> {
        Err(RouteError::Status(StatusCode::NOT_FOUND, "nothing"))
    }
    fn unassigned_account(&self) -> Option<Rc<dyn TenantAccount>> {
        Some(self.0.clone())
    }
    fn is_up(&self) -> bool {
        true
    }
    fn max_deadline(&self) -> Duration {
        Duration::ZERO
    }
    fn close_idle_connections(&self) {}
}

#[test]
fn connections_blocked_by_an_account_are_not_polled_in_a_loop_and_are_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = listen("127.0.0.1:0".parse().expect("valid address")).expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let account = Rc::new(NeverReadable::default());
        let lifecycle = Rc::new(SharedLifecycle::new(Clock::default(), false));
        let frontend = Frontend::new(
            NoPools(account.clone()),
            10,
            Rc::default(),
            lifecycle,
            BodyMemory::new(0, 0),
        );
        spawn_local(frontend.serve(listener, std::future::pending()));
        let client = TcpStream::connect(address)
            .await
            .expect("the frontend accepts");
        client.writable().await.expect("the connection is writable");
        client
            .try_write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("the request is sent");
        // A reset ends the connection as well, because the request was never read.
        timeout(Duration::from_secs(20), client.readable())
            .await
            .expect("the connection ends in time")
            .expect("readable socket");
        let read = client.try_read(&mut [0; 1]);
        assert!(
            matches!(read, Ok(0))
                || read.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset)
        );
        // The connection is checked every 25 ms after its idle timeout, not in a busy loop.
        assert!(account.0.get() < 1000, "{} polls", account.0.get());
    });
}
