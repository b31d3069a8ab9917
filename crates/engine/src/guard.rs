//! Watches the bytes of a client's connection for requests whose extent two readers could see differently: both a length and a
//! chunked coding, two lengths, line feeds alone, chunk sizes that are none. The HTTP library is lenient with some of them.
//!
//! It follows where requests begin and end, keeps a line at the most, and does no I/O.

/// Bytes of a line that are looked at: names and values that matter are shorter.
const LINE: usize = 128;
/// Digits of a chunk's size.
const DIGITS: usize = 15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Head,
    /// So many bytes of a body with a length are left.
    Body(u64),
    Size,
    /// So many bytes of a chunk are left, with the line end behind them.
    Chunk(u64),
    Trailer,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Guard {
    place: Place,
    line: Vec<u8>,
    /// The last byte was a carriage return.
    returned: bool,
    /// A line of the head has been seen.
    begun: bool,
    length: Option<u64>,
    chunked: bool,
}

impl Default for Guard {
    fn default() -> Self {
        Guard {
            place: Place::Head,
            line: Vec::new(),
            returned: false,
            begun: false,
            length: None,
            chunked: false,
        }
    }
}

impl Guard {
    /// Takes the next bytes.
    ///
    /// # Errors
    /// What is wrong: the connection is of no use from here on.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), &'static str> {
        while let Some((&byte, rest)) = bytes.split_first() {
            if let Place::Body(left) | Place::Chunk(left) = &mut self.place {
                let skip = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= skip as u64;
                bytes = &bytes[skip..];
                match self.place {
                    Place::Body(0) => self.place = Place::Head,
                    Place::Chunk(0) => self.place = Place::Size,
                    _ => {}
                }
                continue;
            }
            bytes = rest;
            if self.returned != (byte == b'\n') {
                return Err(if self.returned { "a carriage return alone" } else { "a line feed alone" });
            }
            match byte {
                b'\r' => self.returned = true,
                b'\n' => {
                    self.returned = false;
                    self.line_ended()?;
                    self.line.clear();
                }
                _ if self.line.len() < LINE => self.line.push(byte),
                _ => {}
            }
        }
        Ok(())
    }

    /// Whether a head has begun and is not whole.
    pub fn in_head(&self) -> bool {
        self.place == Place::Head && (self.begun || !self.line.is_empty())
    }

    fn line_ended(&mut self) -> Result<(), &'static str> {
        match self.place {
            Place::Head if !self.line.is_empty() => {
                let first = !std::mem::replace(&mut self.begun, true);
                if first { Ok(()) } else { self.field() }
            }
            Place::Head if self.begun => {
                if self.chunked && self.length.is_some() {
                    return Err("both a length and a chunked coding");
                }
                self.place = match self.length {
                    _ if self.chunked => Place::Size,
                    Some(length @ 1..) => Place::Body(length),
                    _ => Place::Head,
                };
                (self.begun, self.chunked, self.length) = (false, false, None);
                Ok(())
            }
            // Empty lines before a request are passed over.
            Place::Head => Ok(()),
            Place::Size => {
                let end = self.line.iter().position(|b| matches!(b, b';' | b' ' | b'\t'));
                let digits = &self.line[..end.unwrap_or(self.line.len())];
                let good = (1..=DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
                let text = std::str::from_utf8(digits).ok().filter(|_| good);
                let size = text.and_then(|t| u64::from_str_radix(t, 16).ok()).ok_or("no size of a chunk")?;
                self.place = if size == 0 { Place::Trailer } else { Place::Chunk(size + 2) };
                Ok(())
            }
            Place::Trailer => {
                if self.line.is_empty() {
                    self.place = Place::Head;
                }
                Ok(())
            }
            Place::Body(_) | Place::Chunk(_) => Ok(()),
        }
    }

    fn field(&mut self) -> Result<(), &'static str> {
        let Some(colon) = self.line.iter().position(|b| *b == b':') else { return Ok(()) }; // the library says no
        let (name, value) = (&self.line[..colon], self.line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let good = (1..=DIGITS).contains(&value.len()) && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| good);
            let length = text.and_then(|t| t.parse().ok()).ok_or("no length")?;
            if self.length.replace(length).is_some() {
                return Err("two lengths");
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding")
            && (std::mem::replace(&mut self.chunked, true) || !value.eq_ignore_ascii_case(b"chunked"))
        {
            return Err("a coding that is not chunked alone");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\n\n\n\r\n:\
        POST /c HTTP/1.1\r\ntransfer-encoding:  Chunked \r\n\r\n5;x=\"y\"\r\n\n\r\n\n:\r\n0\r\nX: 1\r\n\r\n\
        GET /d HTTP/1.0\r\nContent-Length: 0\r\n\r\nGET /e HTTP/1.1\r\n\r\n";

    #[test]
    fn requests_are_followed_however_they_are_cut() {
        for cut in 1..GOOD.len() {
            let mut guard = Guard::default();
            assert_eq!(guard.feed(&GOOD.as_bytes()[..cut]), Ok(()), "cut at {cut}");
            assert_eq!(guard.feed(&GOOD.as_bytes()[cut..]), Ok(()), "cut at {cut}");
            assert!(guard.place == Place::Head && !guard.in_head());
        }
    }

    #[test]
    fn what_could_be_read_in_two_ways_is_seen_also_behind_good_requests() {
        for (text, wanted) in [
            ("GET / HTTP/1.1\nHost: x\r\n\r\n", "a line feed alone"),
            ("GET / HTTP/1.1\r\nHost: x\r\n\n", "a line feed alone"),
            ("GET / HTTP/1.1\r\nHost: x\ry: z\r\n\r\n", "a carriage return alone"),
            ("POST / HTTP/1.1\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\n", "two lengths"),
            ("POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n", "no length"),
            ("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", "no length"),
            (
                "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
                "both a length and a chunked coding",
            ),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
                "both a length and a chunked coding",
            ),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
                "a coding that is not chunked alone",
            ),
            ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5x\r\n", "no size of a chunk"),
            ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", "no size of a chunk"),
            ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", "no size of a chunk"),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
                "no size of a chunk",
            ),
        ] {
            for before in ["", GOOD] {
                let all = format!("{before}{text}");
                assert_eq!(Guard::default().feed(all.as_bytes()), Err(wanted), "{text}");
                let mut guard = Guard::default();
                let mut each = all.as_bytes().iter().map(|b| guard.feed(&[*b]));
                assert_eq!(each.find(Result::is_err), Some(Err(wanted)), "{text}, byte by byte");
            }
        }
    }
}
