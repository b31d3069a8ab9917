//! JSON objects out of a stream of bytes, however they are laid out: one a line, indented over many, several in one piece.
//! It follows where objects begin and end, keeps what has not ended, and does no I/O.

/// A part of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An object, whole.
    Object(Vec<u8>),
    /// A line end between objects: whoever writes is still there.
    Heartbeat,
}

/// What has come of a stream and has not been given out yet.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    buffer: Vec<u8>,
    /// How far the buffer has been looked at.
    scanned: usize,
    /// Objects and lists that are open at that place.
    depth: u32,
    /// Whether that place is inside a text, and behind a backslash there.
    in_string: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Bytes held.
    pub fn buffered(&self) -> usize {
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
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, String> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(StreamItem::Object(self.take_scanned())));
                    }
                }
                b'\n' if self.depth == 0 => {
                    self.take_scanned();
                    return Ok(Some(StreamItem::Heartbeat));
                }
                b' ' | b'\t' | b'\r' if self.depth == 0 => {}
                _ if self.depth > 0 => {}
                _ => return Err(format!("no object, but '{}'", byte.escape_ascii())),
            }
        }
        Ok(None)
    }

    fn take_scanned(&mut self) -> Vec<u8> {
        let rest = self.buffer.split_off(self.scanned);
        self.scanned = 0;
        std::mem::replace(&mut self.buffer, rest)
    }
}
