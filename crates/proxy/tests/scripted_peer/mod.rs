//! Peers that a test controls byte by byte, as discovery agent or as endpoint. Received requests are queued until the test
//! takes them, and only the test answers them.
#![allow(dead_code)] // each test file uses only a part
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::sockets::{Discovery, LIMIT, Message, read_message};

/// Received request with its connection.
pub struct ReceivedRequest {
    pub message: Message,
    /// Time of its arrival.
    pub at: Instant,
    /// Number of its connection, counted from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl ReceivedRequest {
    /// Writes bytes to the connection; returns false if it is closed.
    pub fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection without a reset.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both); // it may already be closed
    }

    /// Resets the connection.
    pub fn reset(self) {
        reset_on_close(&self.stream);
        // This ends the reading thread, which drops its handle; closing the last handle resets the connection.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Writes the head of the answer to a watch.
    pub fn start_watch(&mut self) -> bool {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// Writes bytes of a watch as one chunk.
    pub fn send_chunk(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Returns true if the request is a watch that resumes after a version.
    pub fn resumes(&self) -> bool {
        self.message.first.contains("after=")
    }
}

/// Makes closing the last handle of a socket reset the connection.
pub fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
}

/// Listening peer that queues the requests it receives.
pub struct ScriptedPeer {
    pub address: SocketAddr,
    requests: Receiver<ReceivedRequest>,
}

impl ScriptedPeer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, sender) = (stream.expect("a connection"), sender.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                    while let Some(message) = read_message(&mut reader) {
                        let stream = stream.try_clone().expect("a handle");
                        let request = ReceivedRequest {
                            message,
                            at: Instant::now(),
                            connection,
                            stream,
                        };
                        if sender.send(request).is_err() {
                            return; // the test has ended
                        }
                    }
                });
            }
        });
        ScriptedPeer { address, requests }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> ReceivedRequest {
        self.requests.recv_timeout(LIMIT).expect("a request")
    }

    /// Returns the next request if one has already arrived.
    pub fn try_next_request(&self) -> Option<ReceivedRequest> {
        self.requests.try_recv().ok()
    }

    /// Returns a discovery with this peer's address, for the configuration of a proxy.
    pub fn as_discovery(&self) -> Discovery {
        let mut discovery = Discovery::new();
        discovery.address = self.address;
        discovery
    }
}

/// Reads until the connection is closed; returns the received bytes as an error if it was reset.
pub fn read_until_closed(stream: &mut TcpStream) -> Result<Vec<u8>, Vec<u8>> {
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is set");
    let mut all = Vec::new();
    match stream.read_to_end(&mut all) {
        Ok(_) => Ok(all),
        Err(_) => Err(all),
    }
}
