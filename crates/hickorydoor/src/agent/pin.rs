//! Pins of the sessions that this agent owns.
//!
//! A pin fixes the version that serves a session. Entries propose pins to the agents that own the
//! session.

use crate::agent::Agent;
use crate::id::HostId;
use crate::message::AgentMessage;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;

impl Agent {
    /// Stores a proposed pin if none is stored, if its generation is newer (the session has moved),
    /// or if it is confirmed and supersedes the stored one. Proposals that are not confirmed are
    /// answered with the pin stored afterwards.
    pub(crate) fn on_pin(
        &mut self,
        entry: &HostId,
        key: PinKey,
        pin: Option<Pin>,
        confirmed: bool,
    ) {
        let held = self.pins.get(key).cloned();
        let may_replace = |pin: &Pin| match &held {
            Some(held) => pin.generation > held.generation || (confirmed && pin.supersedes(held)),
            None => true,
        };
        let known = match pin.filter(may_replace) {
            Some(pin) => {
                self.pins.insert(key, pin);
                false
            }
            None => held.is_some(),
        };
        if !confirmed {
            let pin = self.pins.peek(key).cloned();
            self.send(entry, AgentMessage::PinReply { key, pin, known });
        }
    }
}
