//! The gateway role: an entry that calls upstreams itself, without agents.
//!
//! A gateway routes requests by host and path to plain services and model engines, which register
//! themselves in a store. [`Gateway`] is the reducer: it handles [`GatewayEvent`]s and returns
//! [`GatewayEffect`]s. A request passes through `arrival`, `queueing`, `dispatching` and
//! `attempt_end`, and waits in an [`admission_queue`](crate::admission_queue) if no upstream takes
//! it. The decisions have modules of their own: [`placement`] chooses upstream and model, with the
//! claims of routes ([`route_claims`]) and expected times ([`first_event_model`]), [`rollout`] moves
//! a service to a new version, [`freshness`] tracks the age of the configuration, and
//! [`retry_budget`] and [`upstreams::cold_share`] divide fleet-wide limits among gateways without
//! messages. Limits that upstreams name are kept by permits, which one gateway issues for each
//! upstream ([`rate_limits`]). Gateways exchange their load and evidence in a [`peer_digest`];
//! [`digest_pace`] says how often, and what has arrived waits in a [`peer_inbox`].
//! If the settings say so, requests that cannot start in time are refused on arrival
//! ([`start_estimate`]), and scarce room is divided by what waits at each gateway ([`headroom`]).
//! Prompt parts under which engines end are kept from them by a [`quarantine`]. A planned stop
//! ([`stopping`]) passes on only what can usually be finished.
//!
//! These terms are used throughout:
//!
//! - A call is a caller's request; an attempt is one try to run it on an upstream.
//! - The objective of a route is the longest time to the response, or to the first event of a
//!   stream, that is on time.
//! - Prefill is the processing of a prompt by an engine before it generates the first token.
//! - A cold upstream is not yet warmed up, such as after a restart, and has capacity for a bounded
//!   request rate only.
//! - A cascade tries the smallest model first and retries the request, usually with a larger one,
//!   if the confidence score of the answer is below a threshold.
//! - The target version is the one to which a rollout moves a service. In the canary phase, only a
//!   small share of the sessions uses it.

mod active_call;
mod arrival;
mod attempt_end;
pub mod call;
pub mod catalog;
mod collection_sizes;
mod containment;
pub mod data_centre_reach;
pub mod digest_pace;
mod dispatching;
pub mod effect;
mod estimate_errors;
pub mod event;
pub mod event_kind;
pub mod feed_wire;
pub mod first_event_model;
pub mod freshness;
pub mod headroom;
pub mod load_control;
pub mod member;
pub mod model_table;
mod peer_contact;
pub mod peer_digest;
pub mod peer_inbox;
pub mod peer_message;
mod peer_reports;
mod permit_exchange;
pub mod placement;
mod prefill_log;
pub mod prompt_cache;
pub mod quarantine;
mod queueing;
mod rank_shortage;
mod rank_work;
pub mod rate_limits;
mod reducer;
pub mod refusal;
pub mod retained_map;
pub mod retry_budget;
pub mod rollout;
mod rollout_outcomes;
mod room_sharing;
pub mod route;
pub mod route_claims;
mod route_durations;
pub mod settings;
pub mod size_table;
pub mod source_choice;
mod start_check;
pub mod start_estimate;
mod start_record;
mod stop;
pub mod stopping;
pub mod store_listing;
pub mod store_position;
mod store_view;
mod typical_times;
pub mod upstreams;
pub mod view_role;
pub mod view_timing;
mod waiting_calls;
mod work_rate;

pub use effect::GatewayEffect;
pub use event::GatewayEvent;
pub use event_kind::EventKind;
pub use reducer::Gateway;
pub use settings::GatewaySettings;
