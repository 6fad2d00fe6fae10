//! Datagrams of other gateways that have arrived and are not handled yet.
//!
//! A process that is short of processor time handles what callers are owed first, so datagrams may
//! have to wait. Messages about permits come first, since a request waits for each. A digest replaces
//! the one before of its sender, so that at most one of each waits, and keeps its turn.

use std::collections::HashMap;
use std::collections::VecDeque;

use prost::Message;

use crate::gateway::peer_digest::DigestError;

/// Maximum number of messages about permits that wait; the oldest are dropped, as their senders
/// repeat them.
const MAX_PERMITS: usize = 256;
/// Maximum number of senders whose digests wait.
const MAX_SENDERS: usize = 1_024;

/// The fields of a datagram that tell whether it replaces another one.
#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireEnvelope {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(bytes = "vec", optional, tag = "9")]
    permit: Option<Vec<u8>>,
}

/// What became of a datagram that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filed {
    /// It waits.
    Kept,
    /// It waits in place of an older digest of its sender, or of the oldest message about a permit.
    Replaced,
    /// It was dropped: a newer digest of its sender waits already, or too many do.
    Dropped,
}

#[derive(Clone, Debug)]
struct WaitingDigest {
    version: (u64, u64),
    datagram: Vec<u8>,
}

/// Datagrams that wait.
#[derive(Clone, Debug, Default)]
pub struct PeerInbox {
    permits: VecDeque<Vec<u8>>,
    digests: HashMap<String, WaitingDigest>,
    /// Senders of the digests, in the order in which the first of each arrived.
    order: VecDeque<String>,
}

impl PeerInbox {
    /// Adds a datagram.
    ///
    /// # Errors
    /// Returns an error if it is not a valid message.
    pub fn push(&mut self, datagram: &[u8]) -> Result<Filed, DigestError> {
        let envelope = WireEnvelope::decode(datagram).map_err(DigestError::Decode)?;
        if envelope.permit.is_some() {
            let is_full = self.permits.len() >= MAX_PERMITS;
            if is_full {
                self.permits.pop_front();
            }
            self.permits.push_back(datagram.to_vec());
            return Ok(if is_full { Filed::Replaced } else { Filed::Kept });
        }
        let version = (envelope.incarnation, envelope.sequence);
        if let Some(waiting) = self.digests.get_mut(&envelope.host) {
            if version <= waiting.version {
                return Ok(Filed::Dropped);
            }
            *waiting = WaitingDigest { version, datagram: datagram.to_vec() };
            return Ok(Filed::Replaced);
        }
        if self.digests.len() >= MAX_SENDERS {
            return Ok(Filed::Dropped);
        }
        self.order.push_back(envelope.host.clone());
        let waiting = WaitingDigest { version, datagram: datagram.to_vec() };
        self.digests.insert(envelope.host, waiting);
        Ok(Filed::Kept)
    }

    /// Returns the datagram to handle next.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        if let Some(permit) = self.permits.pop_front() {
            return Some(permit);
        }
        let host = self.order.pop_front()?;
        self.digests.remove(&host).map(|waiting| waiting.datagram)
    }

    /// Returns the number of datagrams that wait.
    pub fn len(&self) -> usize {
        self.permits.len() + self.digests.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
