//! How much of an upstream's room this gateway may use while room is scarce.
//!
//! Gateways decide at the same time, and each knows what the others have sent only from their last
//! digests. While an upstream has many free slots that does no harm. While it has few, all gateways
//! with queued requests would send to the same free slot, and a less urgent request at one gateway
//! would take the slot that a more urgent one waits for at another. The load that this part has to
//! handle is therefore one above the capacity of a service, from many gateways; it is at its hardest
//! where upstreams have few slots.
//!
//! Gateways say in their digests what waits at them ([`ServiceDemand`]). [`divide`] assigns the free
//! slots to these demands: the most urgent rank first, within a rank to the gateway that has the
//! fewest requests in flight, then to the one whose request has waited longest, then by a hash of the
//! host and the upstreams. Gateways with the same digests compute the same division, so that their
//! parts never add up to more than the room. A slot that has become free at a gateway since its last
//! digest is known to it alone: it uses the slot again, unless a more urgent request waits elsewhere
//! or it occupies more than its part of the service. What no demand needs is divided as well, so that
//! placement keeps a choice. An upstream's [`RoomShare`] holds the part of this gateway. A slot that
//! stays free although it is assigned is lent after a while, at a different time by each gateway.
//! [`DemandTable`] holds what other gateways report, and [`ScarcityLog`] tells when a service becomes
//! scarce.

mod assignments;
mod demand_table;
mod division;
mod room_share;
mod scarcity;
mod scarcity_log;
mod service_demand;
mod wire;

pub use assignments::Assignments;
pub use demand_table::DemandTable;
pub use division::Assignment;
pub use division::Claim;
pub use division::FreeRoom;
pub use division::assign;
pub use division::even_part;
pub use division::fair_part;
pub use room_share::Grant;
pub use room_share::Grants;
pub use room_share::RoomShare;
pub use scarcity::Objectives;
pub use scarcity::is_scarce;
pub use scarcity_log::ScarcityChange;
pub use scarcity_log::ScarcityLog;
pub use service_demand::RankDemand;
pub use service_demand::ServiceDemand;
pub use wire::WireServiceDemand;
