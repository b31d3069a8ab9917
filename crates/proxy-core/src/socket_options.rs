//! Options and state of the sockets to clients and endpoints.

use std::io;
use std::mem::MaybeUninit;

use rustix::event::{PollFd, PollFlags, Timespec};
use tokio::net::TcpStream;

/// The bytes that the system keeps before it sends them. With more, a peer that reads at 64 kB/s would leave no room for
/// a write for so long that it looks stalled.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// Sets the options of a connection. Without them it is slower, or its peer's progress is seen late, so that errors do
/// not matter.
pub fn set(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
}

/// What a peer has sent and nobody has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    None,
    Bytes,
    /// The peer has closed the connection, or it has failed.
    End,
}

/// Returns what can be read from a connection. The runtime may not have noticed it yet, so the socket itself is asked.
pub fn unread_input(stream: &TcpStream) -> UnreadInput {
    match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadInput::None,
        Ok(1..) => UnreadInput::Bytes,
        Ok(_) | Err(_) => UnreadInput::End,
    }
}

/// Returns whether a peer has ended its side of the connection, or the connection has failed, also if bytes before the
/// end are unread. The end is only seen once the system has received it.
pub fn has_ended(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let result = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    result.is_ok() && polled[0].revents().intersects(ended)
}

/// Returns the number of bytes that the system has received and nobody has read.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}
