//! A port on loopback that stays ours: a process that is started later listens there, and again after a restart.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A port that is bound and not listened on. The system hands it to nobody who requests for any port, be it for a listener
/// or for an outgoing connection, while one who requests for it by number and allows reuse (SO_REUSEADDR, as servers do)
/// gets it (`inet_csk_bind_conflict` in Linux: two sockets that allow reuse conflict only where one listens).
pub struct ReservedPort {
    address: SocketAddr,
    _held: Socket,
}

impl ReservedPort {
    /// Takes any free port.
    ///
    /// # Errors
    /// None is free.
    pub fn reserve() -> io::Result<Self> {
        let held = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        held.set_reuse_address(true)?;
        held.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = held
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        Ok(ReservedPort {
            address,
            _held: held,
        })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests {
    use std::net::{TcpListener, TcpStream};

    use super::*;

    #[test]
    fn a_held_port_is_a_servers_again_and_again_and_nobody_elses() {
        let port = ReservedPort::reserve().unwrap();
        for _ in 0..3 {
            let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let taken = other.bind(&port.address().into()).unwrap_err();
            assert_eq!(taken.kind(), io::ErrorKind::AddrInUse);
            let refused = TcpStream::connect(port.address()).unwrap_err();
            assert_eq!(
                refused.kind(),
                io::ErrorKind::ConnectionRefused,
                "nobody listens yet"
            );
            let server = TcpListener::bind(port.address()).unwrap();
            let _client = TcpStream::connect(port.address()).unwrap();
            let (_stream, from) = server.accept().unwrap();
            assert!(from.ip().is_loopback());
        }
    }
}
