//! Of what the module keeps to itself.
use tokio::task::LocalSet;

use super::*;
use crate::clock::Clock;

/// An account that takes connections and never lets them be read; it counts the turns that are spent on them.
#[derive(Default)]
struct Shut(Cell<u64>);

impl Account for Shut {
    fn connect(&self) -> Result<(), f64> {
        Ok(())
    }
    fn disconnect(&self) {}
    fn begin(&self, _: u64) -> Result<(), f64> {
        Ok(())
    }
    fn end(&self, _: u64, _: f64) {}
    fn works(&self) {
        self.0.set(self.0.get() + 1);
    }
    fn worked(&self, _: bool) {}
    fn may_read(&self, _: &std::task::Waker) -> bool {
        false
    }
    fn may_accept(&self, _: &std::task::Waker) -> bool {
        true
    }
    fn visit(&self, _: u64) -> bool {
        true
    }
    fn leave(&self, _: u64) {}
}

struct Nowhere(Rc<Shut>);

impl Router for Nowhere {
    fn pool(&self, _: &Uri, _: &HeaderMap, _: bool) -> Result<Rc<Pool>, Missing> {
        Err(Missing::Plain(StatusCode::NOT_FOUND, "nothing"))
    }
    fn strangers(&self) -> Option<Rc<dyn Account>> {
        Some(self.0.clone())
    }
    fn is_up(&self) -> bool {
        true
    }
    fn longest(&self) -> Duration {
        Duration::ZERO
    }
    fn make_room(&self) {}
}

#[test]
fn bytes_that_an_account_holds_back_cost_no_turns_and_do_not_keep_a_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let account = Rc::new(Shut::default());
        let life = Rc::new(SharedLifecycle::new(Clock::default(), false));
        let front = Frontend::new(Nowhere(account.clone()), 10, Rc::default(), life);
        spawn_local(front.serve(listener, std::future::pending()));
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
