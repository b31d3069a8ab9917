//! Splits a byte stream into JSON objects, however they are laid out: one a line, indented over several lines, or
//! several in one chunk. Tracks object boundaries, buffers incomplete objects and does no I/O.

/// An item of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A complete object.
    Object(Vec<u8>),
    /// A line end between objects, which shows that the sender is still alive.
    Heartbeat,
}

/// Splitter state with the bytes that have not been returned yet.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    buffer: Vec<u8>,
    /// The number of buffered bytes that have been scanned.
    scanned: usize,
    /// Open objects and arrays at the scan position.
    depth: u32,
    /// True if the scan position is inside a string; `escaped` if it also follows a backslash.
    in_string: bool,
    escaped: bool,
}

impl ObjectSplitter {
    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete item.
    ///
    /// # Errors
    /// The input is not a JSON object; the rest of the stream can't be trusted.
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
                _ => {
                    return Err(format!(
                        "expected a JSON object, found '{}'",
                        byte.escape_ascii()
                    ));
                }
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
