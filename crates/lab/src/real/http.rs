//! Minimal HTTP/1.1 for the lab's clients, servers and list: messages with a head and a body of known length. It
//! supports only what the proxy sends; an unreadable message ends the connection.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size limits of a message, above the size of any message used here.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 33 << 20;
const MAX_HEADERS: usize = 64;

/// A complete message.
#[derive(Debug, Default)]
pub struct Message {
    /// Method and target of a request, or status of a response.
    pub start: StartLine,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Start line of a message.
#[derive(Debug, Default, PartialEq, Eq)]
pub enum StartLine {
    /// Nothing read yet.
    #[default]
    None,
    /// Method and target of a request.
    Request(String, String),
    /// Status of a response.
    Response(u16),
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns whether the connection is closed after this message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with a read buffer.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Reason why no message was read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection was closed before the first byte of a message.
    Closed,
    /// The connection broke within a message, or the message could not be read.
    Broken(io::Error),
}

impl Connection {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // without it the connection is only slower
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        let started = !self.buffer.is_empty();
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) if started => Err(ReadError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(_) if !started => Err(ReadError::Closed),
            Err(e) => Err(ReadError::Broken(e)),
        }
    }

    /// Waits for the first byte of the next message.
    pub async fn wait_for_data(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() {
            self.read_more().await
        } else {
            Ok(())
        }
    }

    /// Reads one message; `request` tells whether a request or a response is expected.
    pub async fn read(&mut self, request: bool) -> Result<Message, ReadError> {
        let invalid =
            |e: &str| ReadError::Broken(io::Error::new(io::ErrorKind::InvalidData, e.to_owned()));
        loop {
            if let Some((mut message, head)) =
                parse(&self.buffer, request).map_err(|e| invalid(&e))?
            {
                let length = message
                    .header("content-length")
                    .map_or(Ok(0), str::parse::<usize>);
                let length = length.map_err(|_| invalid("Content-Length is not a number"))?;
                if length > MAX_BODY_BYTES {
                    return Err(invalid("body exceeds the size limit"));
                }
                while self.buffer.len() < head + length {
                    self.read_more().await?;
                }
                message.body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(message);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("head exceeds the size limit"));
            }
            self.read_more().await?;
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// Returns errors of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns once the peer has closed or reset the connection; data received meanwhile is buffered.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

fn parse(bytes: &[u8], request: bool) -> Result<Option<(Message, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (status, start, headers) = if request {
        let mut r = httparse::Request::new(&mut headers);
        let status = r.parse(bytes).map_err(|e| e.to_string())?;
        let start = StartLine::Request(r.method.unwrap_or("").into(), r.path.unwrap_or("").into());
        (status, start, r.headers)
    } else {
        let mut r = httparse::Response::new(&mut headers);
        let status = r.parse(bytes).map_err(|e| e.to_string())?;
        (status, StartLine::Response(r.code.unwrap_or(0)), r.headers)
    };
    let httparse::Status::Complete(head) = status else {
        return Ok(None);
    };
    let convert = |h: &httparse::Header| {
        (
            h.name.to_ascii_lowercase(),
            String::from_utf8_lossy(h.value).trim().to_owned(),
        )
    };
    let headers = headers.iter().map(convert).collect();
    Ok(Some((
        Message {
            start,
            headers,
            body: Vec::new(),
        },
        head,
    )))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_is_parsed_once_it_is_complete() {
        let text =
            b"POST /checkout?sid=1 HTTP/1.1\r\nX-Request-ID: r-1\r\nContent-Length: 2\r\n\r\nhi";
        for cut in 0..text.len() - 2 {
            let parsed = parse(&text[..cut], true).expect("an incomplete head is no error");
            assert!(parsed.is_none(), "cut at {cut}");
        }
        let (message, head) = parse(text, true)
            .expect("valid message")
            .expect("complete message");
        assert_eq!(
            message.start,
            StartLine::Request("POST".into(), "/checkout?sid=1".into())
        );
        assert_eq!(
            (message.header("x-request-id"), head),
            (Some("r-1"), text.len() - 2)
        );
        assert!(parse(b"\x16\x03\x01", true).is_err());
        let (answer, _) = parse(b"HTTP/1.1 503 x\r\nConnection: close\r\n\r\n", false)
            .expect("valid message")
            .expect("complete message");
        assert!(answer.closes_connection() && answer.start == StartLine::Response(503));
    }
}
