//! Listening socket inherited from the platform, which passes it to every process so that upgrades lose no connection.
//!
//! An inherited descriptor is a plain number, and taking ownership of it requires `unsafe`. Instead, the process sends
//! the descriptor to itself over a socket pair and owns the duplicate that it receives.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

use nix::sys::socket::{ControlMessage, MsgFlags, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use socket2::{Socket, Type};

/// Returns a duplicate of an inherited listener; the inherited descriptor stays open.
///
/// # Errors
/// Returns an error if the descriptor isn't open or isn't a listening TCP socket.
pub fn listener(descriptor: RawFd) -> io::Result<TcpListener> {
    let socket = Socket::from(duplicate(descriptor)?);
    let invalid = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, what.to_owned());
    if socket.r#type()? != Type::STREAM || socket.local_addr()?.as_socket().is_none() {
        return Err(invalid("it is no TCP socket"));
    }
    if !socket.is_listener()? {
        return Err(invalid("it is a TCP socket that does not listen"));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Duplicates a descriptor by sending it over a socket pair.
fn duplicate(descriptor: RawFd) -> io::Result<OwnedFd> {
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
    let received = space.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    received.ok_or_else(|| io::Error::other("no descriptor was received over the socket pair"))
}

#[cfg(test)]
mod tests {
    use std::net::{TcpStream, UdpSocket};

    use super::*;

    #[test]
    fn a_listener_is_duplicated_and_the_inherited_one_stays_open() {
        let first = TcpListener::bind("127.0.0.1:0").expect("a port");
        let second = listener(first.as_raw_fd()).expect("a listener");
        let address = first.local_addr().expect("an address");
        assert_eq!(second.local_addr().expect("an address"), address);
        let _client = TcpStream::connect(address).expect("the socket listens");
        first
            .accept()
            .expect("the connection is in the queue of both");
        drop(second);
        let _client = TcpStream::connect(address).expect("the first still listens");
    }

    #[test]
    fn a_descriptor_that_is_no_listener_is_rejected_with_the_reason() {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listening = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream =
            TcpStream::connect(listening.local_addr().expect("an address")).expect("a stream");
        let (pair, _other) = UnixStream::pair().expect("a pair");
        let file = std::fs::File::open("/dev/null").expect("a file");
        for (descriptor, reason) in [
            (udp.as_raw_fd(), "no TCP"),
            (pair.as_raw_fd(), "no TCP"),
            (stream.as_raw_fd(), "does not listen"),
            (file.as_raw_fd(), ""),
            (9999, ""),
        ] {
            let error = listener(descriptor).expect_err("no listener").to_string();
            assert!(error.contains(reason), "{descriptor}: {error}");
        }
    }
}
