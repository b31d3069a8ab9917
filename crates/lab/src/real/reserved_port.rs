//! Reserves a loopback port for a process that is started later, also across restarts of it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A port that is bound but not listened on. The kernel does not assign it to a listener or outgoing connection without
/// an explicit port, but a process that binds it explicitly with SO_REUSEADDR, as servers do, gets it
/// (`inet_csk_bind_conflict` in Linux: two sockets with SO_REUSEADDR conflict only if one of them listens).
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves any free port.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn reserve() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        Ok(ReservedPort {
            address,
            _socket: socket,
        })
    }

    /// Returns the address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests {
    use std::net::{TcpListener, TcpStream};

    use super::*;

    #[test]
    fn a_reserved_port_goes_only_to_a_listener_that_binds_it_explicitly() {
        let port = ReservedPort::reserve().unwrap();
        for _ in 0..3 {
            let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let taken = other.bind(&port.address().into()).unwrap_err();
            assert_eq!(taken.kind(), io::ErrorKind::AddrInUse);
            let refused = TcpStream::connect(port.address()).unwrap_err();
            assert_eq!(
                refused.kind(),
                io::ErrorKind::ConnectionRefused,
                "no process listens yet"
            );
            let server = TcpListener::bind(port.address()).unwrap();
            let _client = TcpStream::connect(port.address()).unwrap();
            let (_stream, from) = server.accept().unwrap();
            assert!(from.ip().is_loopback());
        }
    }
}
