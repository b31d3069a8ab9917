//! Datagrams between proxies: short, unordered and possibly lost.

use std::io;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::config::PeerAddresses;
use crate::inbox::{Inbox, Input};
use crate::note;

const MAX_MESSAGE_BYTES: usize = 256; // the protocol's limit

/// The socket for messages to and from the other proxies.
pub struct Peers {
    socket: UdpSocket,
    addresses: PeerAddresses,
}

impl Peers {
    pub async fn bind(addresses: PeerAddresses) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Peers {
            socket: UdpSocket::bind(addresses.listen).await?,
            addresses,
        }))
    }

    /// Sends a message to all other proxies. A message that the socket can't take at once is dropped; datagrams may
    /// be lost anyway.
    pub fn broadcast(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            note!(
                "peers: not sending a message of {} bytes, which is over the limit",
                bytes.len()
            );
        } else if let Err(e) = self.socket.try_send_to(bytes, self.addresses.all) {
            note!("peers: {e}");
        }
    }

    /// Passes on messages of the other proxies; a datagram from an unknown address or over the size limit is dropped.
    pub async fn receive(self: Rc<Self>, inbox: Inbox) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => match self.addresses.peers.iter().position(|p| *p == from) {
                    Some(index) if size <= MAX_MESSAGE_BYTES => {
                        inbox.send(Input::Datagram {
                            from: index as u32,
                            bytes: buffer[..size].to_vec(),
                        });
                    }
                    _ => note!("peers: dropping a datagram of at least {size} bytes from {from}"),
                },
                // The socket may report the error of an earlier send here.
                Err(e) => {
                    note!("peers: {e}");
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }
}
