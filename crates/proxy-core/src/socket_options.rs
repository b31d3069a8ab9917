//! Options of the sockets to clients and endpoints.

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
