//! Splits a stream of server-sent events at event boundaries.
//!
//! Callers receive complete events only. So a stream can end with an error event, or continue from
//! another upstream, after any of them.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event; engines send events of a few hundred bytes. Each open stream may buffer
/// one, on hosts with little memory.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers bytes and returns them as complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the part of the buffer that may contain the end of the first event.
    search_from: usize,
}

impl EventSplitter {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event with its closing blank line.
    ///
    /// # Errors
    /// Fails if the incomplete event in the buffer exceeds the maximum size.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        if let Some(end) = event_end(&self.buffer, self.search_from) {
            self.search_from = 0;
            return Ok(Some(self.buffer.split_to(end).freeze()));
        }
        // The blank line may start in the last three bytes that were searched.
        self.search_from = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Returns the bytes received so far of an incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }
}

/// Returns the index after the blank line that ends the first event.
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

/// Returns whether an event carries anything, which a comment does not.
pub fn is_progress(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| !line.trim_ascii().is_empty() && line[0] != b':')
}

/// Returns the id of an event, or `None` if it has no numeric one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
