//! The gateway role: an entry that calls upstreams itself.
//!
//! It serves routes by host and path in front of plain services and model engines that register
//! themselves in a store. [`Gateway`] is the reducer over all [`GatewayEvent`]s; what it decides
//! comes back as [`GatewayEffect`]s. The way of a request is in `arrival`,
//! `dispatching` and `attempt_end`, and the decisions are in
//! modules of their own: [`placement`] picks upstream and model, [`rollout`] moves a service to a
//! new version, [`freshness`] knows how old the configuration is, [`retry_budget`] and
//! [`cold_share`] divide fleet-wide bounds among gateways without a message, and
//! [`peer_digest`] is what gateways tell each other.

mod active_call;
mod arrival;
mod attempt_end;
pub mod call;
pub mod catalog;
pub mod cold_share;
mod dispatching;
pub mod effect;
pub mod event;
pub mod failure_score;
pub mod freshness;
pub mod model_table;
pub mod peer_digest;
pub mod placement;
pub mod prompt_cache;
mod reducer;
pub mod refusal;
pub mod retry_budget;
pub mod rollout;
pub mod route;
pub mod settings;
pub mod size_table;
pub mod upstream;
pub mod upstream_pool;

pub use effect::GatewayEffect;
pub use event::GatewayEvent;
pub use reducer::Gateway;
pub use settings::GatewaySettings;
