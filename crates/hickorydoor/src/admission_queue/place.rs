//! Places of requests in the queue.

use crate::admission_queue::customer_queue::Position;
use crate::admission_queue::rank::Rank;
use crate::id::CustomerId;

/// Where a request is in the queue.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub rank: Rank,
    pub customer: Option<CustomerId>,
    pub position: Position,
}
