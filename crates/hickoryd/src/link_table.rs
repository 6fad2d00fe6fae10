//! The open links of a process.

use std::collections::HashMap;

use hickorydoor::id::HostId;

use crate::link::LinkQueue;

/// Tells the connections of one peer apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

#[derive(Debug)]
struct Link<M> {
    generation: Generation,
    queue: LinkQueue<M>,
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
    /// Adds a connection; it replaces an older one of the same peer.
    pub fn open(&mut self, peer: HostId, queue: LinkQueue<M>) -> Generation {
        let generation = Generation(self.next_generation);
        self.next_generation += 1;
        self.links.insert(peer, Link { generation, queue });
        generation
    }

    /// Whether this connection is the peer's newest.
    pub fn is_current(&self, peer: &HostId, generation: Generation) -> bool {
        self.links.get(peer).is_some_and(|link| link.generation == generation)
    }

    /// Forgets the peer's connection, which ends its task; returns whether there was one.
    pub fn close(&mut self, peer: &HostId) -> bool {
        self.links.remove(peer).is_some()
    }

    /// Queues a message; returns false when the link had to be given up.
    pub fn send(&mut self, peer: &HostId, message: M, size_bytes: usize) -> bool {
        let Some(link) = self.links.get(peer) else {
            return true;
        };
        if link.queue.push(message, size_bytes).is_ok() {
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
