//! Of what the module keeps to itself.
use tokio::task::LocalSet;

use super::*;
use crate::clock::Clock;

/// An account that takes connections and never lets them be read; it counts the turns that are spent on them.
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
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let account = Rc::new(NeverReadable::default());
        let lifecycle = Rc::new(SharedLifecycle::new(Clock::default(), false));
        let frontend = Frontend::new(NoPools(account.clone()), 10, Rc::default(), lifecycle);
        spawn_local(frontend.serve(listener, std::future::pending()));
        let client = TcpStream::connect(address).await.expect("it accepts");
        client.writable().await.expect("it is up");
        client
            .try_write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("it is sent");
        // A reset is an end, too: what it sent was never read.
        timeout(Duration::from_secs(20), client.readable())
            .await
            .expect("its end")
            .expect("a socket");
        let read = client.try_read(&mut [0; 1]);
        assert!(
            matches!(read, Ok(0))
                || read.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset)
        );
        // A look each 25 ms from its idle time on, and not one after the other.
        assert!(account.0.get() < 1000, "{} turns", account.0.get());
    });
}
