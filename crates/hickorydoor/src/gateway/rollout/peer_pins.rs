//! Sessions that other gateways keep on the old version.

use std::collections::HashMap;

use crate::time::DurationMs;
use crate::time::TimeMs;

/// How long a session that another gateway pins stays pinned after the last digest that lists it.
const PEER_PIN_TTL_MS: DurationMs = DurationMs::new(1_500);

/// Hashes of the sessions that other gateways pin to the old version, with their expiry.
#[derive(Clone, Debug, Default)]
pub struct PeerPins(HashMap<u64, TimeMs>);

impl PeerPins {
    /// Returns whether another gateway pins this session.
    pub fn contains(&self, session: u64, now: TimeMs) -> bool {
        self.0.get(&session).is_some_and(|until| now < *until)
    }

    /// Returns the number of sessions, of which some may have expired.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Records the hashes of the sessions that another gateway pins.
    pub fn extend(&mut self, sessions: &[u64], now: TimeMs) {
        self.0.retain(|_, until| now < *until);
        self.0.extend(sessions.iter().map(|session| (*session, now + PEER_PIN_TTL_MS)));
    }
}
