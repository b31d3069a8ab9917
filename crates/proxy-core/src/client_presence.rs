//! Whether a request's client is still there. An attempt must not begin for a client that has left, and the end of its
//! stream may stand behind bytes that nobody has read yet.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::socket_options::{self, UnreadInput};

/// The interval of checks whether a client has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The longest wait for unread bytes to be received, during which an attempt occupies its endpoint.
pub const MAX_CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// The reason why it is not certain that a client is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The client has closed its connection, or ended its side of it.
    Left,
    /// Unread bytes may hide that it has.
    Unknown,
}

/// The socket of a request's client, as long as its connection lasts.
#[derive(Clone)]
pub struct ClientPresence(Weak<RefCell<TcpStream>>);

impl ClientPresence {
    pub fn new(socket: Weak<RefCell<TcpStream>>) -> Self {
        ClientPresence(socket)
    }

    fn socket(&self) -> Option<Rc<RefCell<TcpStream>>> {
        self.0.upgrade()
    }

    /// Checks whether the client is there.
    ///
    /// # Errors
    /// It has left, or that can't be known.
    pub fn check(&self) -> Result<(), Absence> {
        let socket = self.socket().ok_or(Absence::Left)?;
        let socket = socket.borrow();
        match socket_options::unread_input(&socket) {
            UnreadInput::None => Ok(()),
            UnreadInput::End => Err(Absence::Left),
            UnreadInput::Bytes if socket_options::has_ended(&socket) => Err(Absence::Left),
            UnreadInput::Bytes => Err(Absence::Unknown),
        }
    }

    /// Returns the number of bytes that the system has received and nobody has read.
    pub fn unread_bytes(&self) -> u64 {
        let socket = self.socket();
        socket.map_or(0, |socket| socket_options::unread_bytes(&socket.borrow()))
    }

    /// Waits until it is certain that the client is there or has left. Unread bytes are received meanwhile by the task of
    /// the connection; this takes no longer than until `deadline`.
    ///
    /// # Errors
    /// The client has left, or too many bytes are unread.
    pub async fn confirm(&self, deadline: Instant) -> Result<(), Absence> {
        match self.check() {
            // Boxed, so that attempts take no memory for a wait that is rare.
            Err(Absence::Unknown) => Box::pin(self.wait_until_known(deadline)).await,
            result => result,
        }
    }

    async fn wait_until_known(&self, deadline: Instant) -> Result<(), Absence> {
        let end = deadline.min(Instant::now() + MAX_CONFIRMATION_TIME);
        loop {
            match self.check() {
                Err(Absence::Unknown) if Instant::now() < end => sleep(CHECK_INTERVAL).await,
                result => return result,
            }
        }
    }
}
