//! Table of the open links of a process.

use std::collections::HashMap;

use hickorydoor::id::HostId;

use crate::link::LinkQueue;
use crate::link_report::LinkReport;

/// Estimated size of a message without the request or response body that it carries. It counts
/// towards the queue limit of a link.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

/// Number of a connection, which distinguishes it from earlier connections of the same peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

#[derive(Debug)]
struct Link<M> {
    generation: Generation,
    queue: LinkQueue<M>,
}

/// Change of a link that the reducer must be notified of.
#[derive(Debug)]
pub enum LinkChange<In> {
    /// A connection to this peer was opened.
    Up(HostId),
    /// This peer sent a message on its current connection.
    Message(HostId, In),
    /// The current connection to this peer ended.
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
    /// Applies a report. Reports about connections that were replaced or closed are ignored.
    pub fn apply<In>(&mut self, report: LinkReport<M, In>) -> Option<LinkChange<In>> {
        match report {
            LinkReport::Opened { peer, queue, generation_sender } => {
                let generation = self.open(peer.clone(), queue);
                // If the task of the link has ended already, the next message to the peer fails.
                let _ = generation_sender.send(generation);
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

    /// Adds a connection, which replaces an older one of the same peer.
    fn open(&mut self, peer: HostId, queue: LinkQueue<M>) -> Generation {
        let generation = Generation(self.next_generation);
        self.next_generation += 1;
        self.links.insert(peer, Link { generation, queue });
        generation
    }

    fn is_current(&self, peer: &HostId, generation: Generation) -> bool {
        self.links.get(peer).is_some_and(|link| link.generation == generation)
    }

    /// Removes the connection to a peer, which ends its task. Returns false if there was none.
    pub fn close(&mut self, peer: &HostId) -> bool {
        self.links.remove(peer).is_some()
    }

    /// Queues a message, whose request or response body has `carried_bytes`. Returns false if the
    /// link was removed because its queue was full or its task had ended. A message to a peer
    /// without a link is dropped.
    pub fn send(&mut self, peer: &HostId, message: M, carried_bytes: usize) -> bool {
        let Some(link) = self.links.get(peer) else {
            return true;
        };
        if link.queue.push(message, MESSAGE_OVERHEAD_BYTES + carried_bytes).is_ok() {
            return true;
        }
        self.links.remove(peer);
        false
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }
}
