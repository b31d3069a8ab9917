//! The clients' listening socket where the platform holds it and every process inherits it, as an upgrade needs.
//!
//! An inherited descriptor is a bare number, and to own it takes `unsafe`. So it is sent to this process itself over a
//! pair of sockets: the system hands out a new descriptor of the same socket, which the receiving side owns.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

use nix::sys::socket::{ControlMessage, MsgFlags, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use socket2::{Socket, Type};

/// The listener that a descriptor names, which stays open as it is.
///
/// # Errors
/// What is wrong with the descriptor: there is none, or it is no listening TCP socket.
pub fn listener(descriptor: RawFd) -> io::Result<TcpListener> {
    let socket = Socket::from(own(descriptor)?);
    let is = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, what.to_owned());
    if socket.r#type()? != Type::STREAM || socket.local_addr()?.as_socket().is_none() {
        return Err(is("it is no TCP socket"));
    }
    if !socket.is_listener()? {
        return Err(is("it is a TCP socket that does not listen"));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// A descriptor of this process's own for what another one names.
fn own(descriptor: RawFd) -> io::Result<OwnedFd> {
    let (from, to) = UnixStream::pair()?;
    let sent = [ControlMessage::ScmRights(&[descriptor])];
    sendmsg::<()>(
        from.as_raw_fd(),
        &[IoSlice::new(&[0])],
        &sent,
        MsgFlags::empty(),
        None,
    )?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut space = RecvAncillaryBuffer::new(&mut space);
    recvmsg(
        &to,
        &mut [IoSliceMut::new(&mut [0])],
        &mut space,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let own = space.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    own.ok_or_else(|| io::Error::other("the system has kept the descriptor"))
}

#[cfg(test)]
mod tests {
    use std::net::{TcpStream, UdpSocket};

    use super::*;

    #[test]
    fn a_listener_is_had_by_its_number_and_the_first_stays_open() {
        let first = TcpListener::bind("127.0.0.1:0").expect("a port");
        let second = listener(first.as_raw_fd()).expect("a listener");
        let address = first.local_addr().expect("an address");
        assert_eq!(second.local_addr().expect("an address"), address);
        let _client = TcpStream::connect(address).expect("somebody listens");
        first.accept().expect("not taken by the other");
        drop(second);
        let _client = TcpStream::connect(address).expect("the first still listens");
    }

    #[test]
    fn what_is_no_listener_is_named() {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listening = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream =
            TcpStream::connect(listening.local_addr().expect("an address")).expect("a stream");
        let (pair, _other) = UnixStream::pair().expect("a pair");
        let file = std::fs::File::open("/dev/null").expect("a file");
        for (descriptor, word) in [
            (udp.as_raw_fd(), "no TCP"),
            (pair.as_raw_fd(), "no TCP"),
            (stream.as_raw_fd(), "does not listen"),
            (file.as_raw_fd(), ""),
            (9999, ""),
        ] {
            let error = listener(descriptor).expect_err("no listener").to_string();
            assert!(error.contains(word), "{descriptor}: {error}");
        }
    }
}
