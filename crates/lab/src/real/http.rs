//! As much of HTTP/1.1 as the lab's clients, servers and list need: a message with its head and a body of known
//! length. It reads what the proxy writes and no more; a message that it can't read ends its connection.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a head and of a body, more than any of ours has.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 33 << 20;
const MAX_HEADERS: usize = 64;

/// A message that has been read whole.
#[derive(Debug, Default)]
pub struct Message {
    /// Method and target, or the status.
    pub start: StartLine,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

/// What a message begins with.
#[derive(Debug, Default, PartialEq, Eq)]
pub enum StartLine {
    /// Nothing has been read.
    #[default]
    None,
    /// A request's method and target.
    Request(String, String),
    /// An answer's status.
    Response(u16),
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Whether the connection ends with it.
    pub fn closes_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with what has been read ahead.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Why no message came.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended before its first byte.
    Ended,
    /// It ended or broke inside, or could not be read.
    Broken(io::Error),
}

impl Connection {
    /// A connection that is up.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // slower without, no worse
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        let began = !self.buffer.is_empty();
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) if began => Err(ReadError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(0) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
            Err(_) if !began => Err(ReadError::Ended),
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

    /// Reads one message; `request` tells which kind is expected.
    pub async fn read(&mut self, request: bool) -> Result<Message, ReadError> {
        let wrong =
            |e: &str| ReadError::Broken(io::Error::new(io::ErrorKind::InvalidData, e.to_owned()));
        loop {
            if let Some((mut message, head)) =
                parse(&self.buffer, request).map_err(|e| wrong(&e))?
            {
                let length = message
                    .header("content-length")
                    .map_or(Ok(0), str::parse::<usize>);
                let length = length.map_err(|_| wrong("the length is no number"))?;
                if length > MAX_BODY_BYTES {
                    return Err(wrong("the body is too long"));
                }
                while self.buffer.len() < head + length {
                    self.read_more().await?;
                }
                message.body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(message);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(wrong("the head is too long"));
            }
            self.read_more().await?;
        }
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// What the socket says.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns once the other side has closed or broken the connection; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Breaks the connection: the other side sees a reset.
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
    let own = |h: &httparse::Header| {
        (
            h.name.to_ascii_lowercase(),
            String::from_utf8_lossy(h.value).trim().to_owned(),
        )
    };
    let headers = headers.iter().map(own).collect();
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
    fn a_head_is_read_once_it_is_whole() {
        let text =
            b"POST /checkout?sid=1 HTTP/1.1\r\nX-Request-ID: r-1\r\nContent-Length: 2\r\n\r\nhi";
        for cut in 0..text.len() - 2 {
            let parsed = parse(&text[..cut], true).expect("a part of it is no error");
            assert!(parsed.is_none(), "cut at {cut}");
        }
        let (message, head) = parse(text, true).expect("good").expect("whole");
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
            .expect("good")
            .expect("whole");
        assert!(answer.closes_connection() && answer.start == StartLine::Response(503));
    }
}
