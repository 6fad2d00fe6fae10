//! The open links of a process.

use std::collections::HashMap;

use hickorydoor::id::HostId;

use crate::link::LinkQueue;
use crate::link_report::LinkReport;

/// Size of messages that carry no bytes of a request or answer, for the queue limit.
const SMALL_MESSAGE_BYTES: usize = 256;

/// Tells the connections of one peer apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

#[derive(Debug)]
struct Link<M> {
    generation: Generation,
    queue: LinkQueue<M>,
}

/// What a report changes for the reducer.
#[derive(Debug)]
pub enum LinkChange<In> {
    /// A peer is linked.
    Up(HostId),
    /// A peer sent a message.
    Message(HostId, In),
    /// A peer's link is lost.
    Down(HostId),
}

/// The open links of a process, one for each peer.
#[derive(Debug)]
pub struct LinkTable<M> {
    links: HashMap<HostId, Link<M>>,
    next_generation: u64,
}

impl<M> Default for LinkTable<M> {
    fn default() -> Self {
        Self { links: HashMap::new(), next_generation: 0 }
    }
}

impl<M> LinkTable<M> {
    /// Takes a report; those of connections that were replaced change nothing.
    pub fn take<In>(&mut self, report: LinkReport<M, In>) -> Option<LinkChange<In>> {
        match report {
            LinkReport::Opened { peer, queue, opened } => {
                let generation = self.open(peer.clone(), queue);
                // If the link's task is gone, its loss is noticed when the next message is sent.
                let _ = opened.send(generation);
                Some(LinkChange::Up(peer))
            }
            LinkReport::Message { peer, generation, message } => {
                let current = self.is_current(&peer, generation);
                current.then_some(LinkChange::Message(peer, message))
            }
            LinkReport::Lost { peer, generation } => {
                let current = self.is_current(&peer, generation);
                current.then(|| {
                    self.close(&peer);
                    LinkChange::Down(peer)
                })
            }
        }
    }

    /// Adds a connection; it replaces an older one of the same peer.
    fn open(&mut self, peer: HostId, queue: LinkQueue<M>) -> Generation {
        let generation = Generation(self.next_generation);
        self.next_generation += 1;
        self.links.insert(peer, Link { generation, queue });
        generation
    }

    /// Whether this connection is the peer's newest.
    fn is_current(&self, peer: &HostId, generation: Generation) -> bool {
        self.links.get(peer).is_some_and(|link| link.generation == generation)
    }

    /// Forgets the peer's connection, which ends its task; returns whether there was one.
    pub fn close(&mut self, peer: &HostId) -> bool {
        self.links.remove(peer).is_some()
    }

    /// Queues a message with the bytes of a request or answer that it carries; returns false when
    /// the link had to be given up.
    pub fn send(&mut self, peer: &HostId, message: M, carried_bytes: usize) -> bool {
        let Some(link) = self.links.get(peer) else {
            return true;
        };
        if link.queue.push(message, SMALL_MESSAGE_BYTES + carried_bytes).is_ok() {
            return true;
        }
        self.links.remove(peer);
        false
    }

    /// Links that are open.
    pub fn len(&self) -> usize {
        self.links.len()
    }
}
