//! How an agent keeps pins of sessions whose home it is.

use crate::agent::Agent;
use crate::id::HostId;
use crate::message::AgentMessage;
use crate::rollouts::session_pin::Pin;
use crate::rollouts::session_pin::PinKey;

impl Agent {
    /// Stores a proposed pin if there is none or a move of the session, and replies what is held.
    pub(crate) fn on_pin(
        &mut self,
        entry: &HostId,
        key: PinKey,
        pin: Option<Pin>,
        confirmed: bool,
    ) {
        let held = self.pins.get(key).cloned();
        let replaces = |pin: &Pin| match &held {
            Some(held) => pin.generation > held.generation || (confirmed && pin.supersedes(held)),
            None => true,
        };
        let known = match pin.filter(replaces) {
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
