//! JSON objects out of a stream of bytes, however they are laid out: one a line, indented over many, several in one piece.
//! It follows where objects begin and end, keeps what has not ended, and does no I/O.

/// A part of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    /// An object, whole.
    Object(Vec<u8>),
    /// A line end between objects: whoever writes is still there.
    Beat,
}

/// What has come of a stream and has not been given out yet.
#[derive(Debug, Default)]
pub struct Objects {
    buffer: Vec<u8>,
    /// How far the buffer has been looked at.
    seen: usize,
    /// Objects and lists that are open at that place.
    depth: u32,
    /// Whether that place is inside a text, and behind a backslash there.
    text: bool,
    escaped: bool,
}

impl Objects {
    /// Bytes held.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next part, if one is whole.
    ///
    /// # Errors
    /// What comes is no object: nothing after it can be trusted.
    pub fn part(&mut self) -> Result<Option<Part>, String> {
        while let Some(&byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' if self.depth > 0 => self.text = !self.text,
                _ if self.text => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(Part::Object(self.take())));
                    }
                }
                b'\n' if self.depth == 0 => {
                    self.take();
                    return Ok(Some(Part::Beat));
                }
                b' ' | b'\t' | b'\r' if self.depth == 0 => {}
                _ if self.depth > 0 => {}
                _ => return Err(format!("no object, but '{}'", byte.escape_ascii())),
            }
        }
        Ok(None)
    }

    fn take(&mut self) -> Vec<u8> {
        let rest = self.buffer.split_off(self.seen);
        self.seen = 0;
        std::mem::replace(&mut self.buffer, rest)
    }
}
