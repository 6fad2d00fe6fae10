//! What a gateway knows of the upstreams.
//!
//! An [`Upstream`] combines its registration with what its answers say ([`UpstreamNotice`]), its
//! load, including the load that other gateways report, and its recent failures. Its
//! [`UpstreamRoom`] tells whether a request may be sent now ([`Availability`]); agents ask it too.
//! [`RoomLog`] tells when that changes.
//! [`DepartedRooms`] keeps it while its upstream is not registered. The [`UpstreamPool`] holds all of
//! them.

mod availability;
mod cold_share;
mod departed_rooms;
mod failure_score;
mod room_log;
mod upstream;
mod upstream_news;
mod upstream_notice;
mod upstream_pool;
mod upstream_room;

pub use availability::Availability;
pub use cold_share::cold_share;
pub use departed_rooms::DepartedRooms;
pub use failure_score::FailureScore;
pub use room_log::RoomChange;
pub use room_log::RoomLog;
pub use room_log::RoomState;
pub use upstream::PeerLoad;
pub use upstream::Registration;
pub use upstream::Upstream;
pub use upstream_news::PeerNotice;
pub use upstream_news::UpstreamNews;
pub use upstream_notice::UpstreamNotice;
pub use upstream_notice::parse_pause;
pub use upstream_pool::Departure;
pub use upstream_pool::UpstreamPool;
pub use upstream_room::UpstreamRoom;
