//! The rollout of a new version of a service, driven by gateways without persistent state.
//!
//! The phase of a rollout is a record in the store that any gateway may advance with a
//! compare-and-swap; a delay by rank prevents simultaneous writes.
//!
//! A version has to earn its completion. In the canary phase it gets a small share of the sessions,
//! and sessions keep their version. In the second half of the time the share is widened to what the
//! order allows, which [`ExposureBudget`] plans. Shortly before the deadline the version is
//! completed if its answers show that it is sound, rolled back if they show that it is not, and
//! otherwise gets more requests until they do. [`Schedule`] says when, and
//! [`VersionComparison`](crate::rollouts::version_comparison::VersionComparison) what the answers
//! show. A version whose answers show early that it is at fault is stopped at once.
//!
//! Each gateway counts the outcomes of its own attempts and learns those of the others from their
//! digests, so all of them decide on about the same numbers.

mod evidence;
mod exposure_budget;
mod order;
mod outcome;
mod peer_pins;
mod peer_rollout;
mod peer_view;
mod phase;
mod progress;
mod record;
mod schedule;
mod sent;
mod state;
mod step_writes;

pub use evidence::RolloutEvidence;
pub use exposure_budget::ExposureBudget;
pub use exposure_budget::canary_upstreams;
pub use order::RolloutOrder;
pub use outcome::RolloutOutcome;
pub use peer_rollout::PeerRollout;
pub use peer_view::PeerView;
pub use phase::RolloutPhase;
pub use progress::RolloutProgress;
pub use record::RolloutRecord;
pub use record::RolloutStep;
pub use schedule::Schedule;
pub use sent::Sent;
pub use state::Rollout;
