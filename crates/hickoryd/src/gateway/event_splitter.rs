//! Cuts a stream into its events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Longest event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with the bytes that end it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

/// A stream whose events cannot be cut apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitError {
    /// An event is longer than the limit.
    TooLong,
}

/// Collects bytes until they are whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// Fails if an event is too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = find_end(&self.buffer, self.searched) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(SplitError::TooLong);
            }
            self.searched = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        self.buffer.has_remaining()
    }
}

/// Index behind the blank line that ends the first event.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut index = from;
    while let Some(offset) = bytes[index..].iter().position(|byte| *byte == b'\n') {
        index += offset + 1;
        if bytes[index..].starts_with(b"\n") {
            return Some(index + 1);
        }
        if bytes[index..].starts_with(b"\r\n") {
            return Some(index + 2);
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
