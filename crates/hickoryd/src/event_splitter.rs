//! Cuts a stream of server-sent events at event boundaries.
//!
//! What is passed on can then be ended by an error event, or go on at another upstream, and never
//! holds half an event.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event; engines send a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that is longer than any engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

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

    /// Takes the next whole event with its closing blank line.
    ///
    /// # Errors
    /// Fails if an event is too long.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        if let Some(end) = event_end(&self.buffer, self.searched) {
            self.searched = 0;
            return Ok(Some(self.buffer.split_to(end).freeze()));
        }
        // The blank line may begin in the last bytes that were searched.
        self.searched = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Bytes of an event that has not ended.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }
}

/// Index behind the blank line that ends the first event.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
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

/// Id of an event, if it has a numeric one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
