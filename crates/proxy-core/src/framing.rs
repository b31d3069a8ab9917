//! Rejects requests with ambiguous framing on a client connection, which two HTTP parsers could delimit differently
//! (request smuggling): a length together with a chunked coding, two lengths, bare line feeds, malformed chunk sizes.
//! The HTTP library is lenient with some of them.
//!
//! Tracks where requests begin and end, buffers at most one line and does no I/O.

/// The bytes of a line that are examined; the names and values that matter are shorter.
const MAX_LINE_BYTES: usize = 128;
/// The largest number of digits of a chunk size or a length.
const MAX_SIZE_DIGITS: usize = 15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// Remaining bytes of a body with a length.
    Body(u64),
    ChunkSize,
    /// Remaining bytes of a chunk, with the line end behind it.
    Chunk(u64),
    Trailer,
}

/// The framing state of one connection.
#[derive(Debug)]
pub struct FramingValidator {
    state: State,
    line: Vec<u8>,
    /// The last byte was a carriage return.
    after_carriage_return: bool,
    /// A line of the head has been seen.
    head_started: bool,
    length: Option<u64>,
    chunked: bool,
}

impl Default for FramingValidator {
    fn default() -> Self {
        FramingValidator {
            state: State::Head,
            line: Vec::new(),
            after_carriage_return: false,
            head_started: false,
            length: None,
            chunked: false,
        }
    }
}

impl FramingValidator {
    /// Processes bytes up to the end of the current request. Returns how many were consumed, and whether the request
    /// has ended with them.
    ///
    /// # Errors
    /// The framing is ambiguous or malformed; the connection can't be used any more.
    pub fn feed(&mut self, input: &[u8]) -> Result<(usize, bool), &'static str> {
        let mut bytes = input;
        while let Some((&byte, rest)) = bytes.split_first() {
            if let State::Body(remaining) | State::Chunk(remaining) = &mut self.state {
                let skip = usize::try_from(*remaining)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *remaining -= skip as u64;
                bytes = &bytes[skip..];
                match self.state {
                    State::Body(0) => {
                        self.state = State::Head;
                        return Ok((input.len() - bytes.len(), true));
                    }
                    State::Chunk(0) => self.state = State::ChunkSize,
                    _ => {}
                }
                continue;
            }
            bytes = rest;
            if self.after_carriage_return != (byte == b'\n') {
                return Err(if self.after_carriage_return {
                    "bare carriage return"
                } else {
                    "bare line feed"
                });
            }
            match byte {
                b'\r' => self.after_carriage_return = true,
                b'\n' => {
                    self.after_carriage_return = false;
                    let ended = self.end_line()?;
                    self.line.clear();
                    if ended {
                        return Ok((input.len() - bytes.len(), true));
                    }
                }
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(byte),
                _ => {}
            }
        }
        Ok((input.len(), false))
    }

    /// Returns whether the connection is between two requests.
    pub fn is_between_requests(&self) -> bool {
        self.state == State::Head && !self.in_head()
    }

    /// Returns whether a head has begun and is not complete.
    pub fn in_head(&self) -> bool {
        self.state == State::Head && (self.head_started || !self.line.is_empty())
    }

    /// Processes a complete line; returns whether the request has ended with it.
    fn end_line(&mut self) -> Result<bool, &'static str> {
        match self.state {
            State::Head if !self.line.is_empty() => {
                let first = !std::mem::replace(&mut self.head_started, true);
                if !first {
                    self.check_field()?;
                }
                Ok(false)
            }
            State::Head if self.head_started => {
                if self.chunked && self.length.is_some() {
                    return Err("both Content-Length and a chunked coding");
                }
                self.state = match self.length {
                    _ if self.chunked => State::ChunkSize,
                    Some(length @ 1..) => State::Body(length),
                    _ => State::Head,
                };
                (self.head_started, self.chunked, self.length) = (false, false, None);
                Ok(self.state == State::Head)
            }
            // Empty lines before a request are skipped.
            State::Head => Ok(false),
            State::ChunkSize => {
                let end = self
                    .line
                    .iter()
                    .position(|b| matches!(b, b';' | b' ' | b'\t'));
                let digits = &self.line[..end.unwrap_or(self.line.len())];
                let valid = (1..=MAX_SIZE_DIGITS).contains(&digits.len())
                    && digits.iter().all(u8::is_ascii_hexdigit);
                let text = std::str::from_utf8(digits).ok().filter(|_| valid);
                let size = text
                    .and_then(|t| u64::from_str_radix(t, 16).ok())
                    .ok_or("invalid chunk size")?;
                self.state = if size == 0 {
                    State::Trailer
                } else {
                    State::Chunk(size + 2)
                };
                Ok(false)
            }
            State::Trailer => {
                if self.line.is_empty() {
                    self.state = State::Head;
                }
                Ok(self.state == State::Head)
            }
            State::Body(_) | State::Chunk(_) => Ok(false),
        }
    }

    fn check_field(&mut self) -> Result<(), &'static str> {
        let Some(colon) = self.line.iter().position(|b| *b == b':') else {
            return Ok(());
        }; // the HTTP library rejects such a line
        let (name, value) = (&self.line[..colon], self.line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let valid = (1..=MAX_SIZE_DIGITS).contains(&value.len())
                && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| valid);
            let length = text
                .and_then(|t| t.parse().ok())
                .ok_or("invalid Content-Length")?;
            if self.length.replace(length).is_some() {
                return Err("more than one Content-Length");
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding")
            && (std::mem::replace(&mut self.chunked, true)
                || !value.eq_ignore_ascii_case(b"chunked"))
        {
            return Err("unsupported Transfer-Encoding");
        }
        Ok(())
    }
}
