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
    /// Takes the next bytes, up to the end of the request that they belong to; returns how many that are, and whether it
    /// has ended with them.
    ///
    /// # Errors
    /// What is wrong: the connection is of no use from here on.
    pub fn feed(&mut self, all: &[u8]) -> Result<(usize, bool), &'static str> {
        let mut bytes = all;
        while let Some((&byte, rest)) = bytes.split_first() {
            if let Place::Body(left) | Place::Chunk(left) = &mut self.place {
                let skip = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *left -= skip as u64;
                bytes = &bytes[skip..];
                match self.place {
                    Place::Body(0) => {
                        self.place = Place::Head;
                        return Ok((all.len() - bytes.len(), true));
                    }
                    Place::Chunk(0) => self.place = Place::Size,
                    _ => {}
                }
                continue;
            }
            bytes = rest;
            if self.returned != (byte == b'\n') {
                return Err(if self.returned {
                    "a carriage return alone"
                } else {
                    "a line feed alone"
                });
            }
            match byte {
                b'\r' => self.returned = true,
                b'\n' => {
                    self.returned = false;
                    let ended = self.line_ended()?;
                    self.line.clear();
                    if ended {
                        return Ok((all.len() - bytes.len(), true));
                    }
                }
                _ if self.line.len() < LINE => self.line.push(byte),
                _ => {}
            }
        }
        Ok((all.len(), false))
    }

    /// Whether it stands between two requests.
    pub fn is_between(&self) -> bool {
        self.place == Place::Head && !self.in_head()
    }

    /// Whether a head has begun and is not whole.
    pub fn in_head(&self) -> bool {
        self.place == Place::Head && (self.begun || !self.line.is_empty())
    }

    /// Whether the request has ended with that line.
    fn line_ended(&mut self) -> Result<bool, &'static str> {
        match self.place {
            Place::Head if !self.line.is_empty() => {
                let first = !std::mem::replace(&mut self.begun, true);
                if !first {
                    self.field()?;
                }
                Ok(false)
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
                Ok(self.place == Place::Head)
            }
            // Empty lines before a request are passed over.
            Place::Head => Ok(false),
            Place::Size => {
                let end = self
                    .line
                    .iter()
                    .position(|b| matches!(b, b';' | b' ' | b'\t'));
                let digits = &self.line[..end.unwrap_or(self.line.len())];
                let good = (1..=DIGITS).contains(&digits.len())
                    && digits.iter().all(u8::is_ascii_hexdigit);
                let text = std::str::from_utf8(digits).ok().filter(|_| good);
                let size = text
                    .and_then(|t| u64::from_str_radix(t, 16).ok())
                    .ok_or("no size of a chunk")?;
                self.place = if size == 0 {
                    Place::Trailer
                } else {
                    Place::Chunk(size + 2)
                };
                Ok(false)
            }
            Place::Trailer => {
                if self.line.is_empty() {
                    self.place = Place::Head;
                }
                Ok(self.place == Place::Head)
            }
            Place::Body(_) | Place::Chunk(_) => Ok(false),
        }
    }

    fn field(&mut self) -> Result<(), &'static str> {
        let Some(colon) = self.line.iter().position(|b| *b == b':') else {
            return Ok(());
        }; // the library says no
        let (name, value) = (&self.line[..colon], self.line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let good = (1..=DIGITS).contains(&value.len()) && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| good);
            let length = text.and_then(|t| t.parse().ok()).ok_or("no length")?;
            if self.length.replace(length).is_some() {
                return Err("two lengths");
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding")
            && (std::mem::replace(&mut self.chunked, true)
                || !value.eq_ignore_ascii_case(b"chunked"))
        {
            return Err("a coding that is not chunked alone");
        }
        Ok(())
    }
}
