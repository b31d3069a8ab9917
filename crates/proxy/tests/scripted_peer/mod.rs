//! Peers that a test steers byte by byte: an agent of discovery, and servers. What comes to them waits in a queue until the
//! test takes it, and nothing is answered but by the test.
#![allow(dead_code)] // each test file uses its own part
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::sockets::{Discovery, LIMIT, Message, read_message};

/// A request as it came, on the connection that it came on.
pub struct Call {
    pub message: Message,
    pub at: Instant,
    /// The number of its connection.
    pub connection: usize,
    stream: TcpStream,
}

impl Call {
    /// Writes these bytes, if the other side is still there.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection in order.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both); // it may be closed by now
    }

    /// Resets the connection.
    pub fn reset(self) {
        reset(&self.stream);
        // Whoever reads it lets go of its copy, and the last close is the reset.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Begins the answer of a watch.
    pub fn begin(&mut self) -> bool {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// Sends bytes of a watch.
    pub fn tell(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Whether it is a watch that resumes after a version.
    pub fn resumes(&self) -> bool {
        self.message.first.contains("after=")
    }
}

/// A close of this socket, and of all its copies, resets the connection.
pub fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
}

/// Somebody who listens and takes requests.
pub struct Peer {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Peer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, tell) = (stream.expect("a connection"), tell.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                    while let Some(message) = read_message(&mut reader) {
                        let stream = stream.try_clone().expect("a handle");
                        let call = Call {
                            message,
                            at: Instant::now(),
                            connection,
                            stream,
                        };
                        if tell.send(call).is_err() {
                            return; // the test has ended
                        }
                    }
                });
            }
        });
        Peer { address, calls }
    }

    /// The next request.
    pub fn next(&self) -> Call {
        self.calls.recv_timeout(LIMIT).expect("a request")
    }

    /// The next request that is there by now.
    pub fn come(&self) -> Option<Call> {
        self.calls.try_recv().ok()
    }

    /// As a place of discovery, for a proxy's configuration.
    pub fn as_discovery(&self) -> Discovery {
        let mut discovery = Discovery::new();
        discovery.address = self.address;
        discovery
    }
}

/// Reads to the end; `Err` with what came where the connection was reset.
pub fn read_out(stream: &mut TcpStream) -> Result<Vec<u8>, Vec<u8>> {
    stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
    let mut all = Vec::new();
    match stream.read_to_end(&mut all) {
        Ok(_) => Ok(all),
        Err(_) => Err(all),
    }
}
