//! Decision logic of hickorydoor, a model-aware router for versions and cascades.
//!
//! The crate holds two reducers without sockets, clocks, threads or global randomness. A reducer
//! takes one event and the time, changes its state and returns the effects to carry out:
//!
//! ```
//! use hickorydoor::Entry;
//! use hickorydoor::EntryEvent;
//! use hickorydoor::EntrySettings;
//! use hickorydoor::TimeMs;
//! use hickorydoor::id::Incarnation;
//!
//! # fn main() -> Result<(), hickorydoor::id::IdError> {
//! let settings = EntrySettings::new(
//!     "entry-1".parse()?,
//!     Incarnation::new(1),
//!     "arauco-1".parse()?,
//!     "la-rioja".parse()?,
//! );
//! let mut entry = Entry::new(settings, 42, TimeMs::new(0));
//! let effects = entry.apply(EntryEvent::Tick, TimeMs::new(0));
//! // The first effect reads the configuration from the key-value service.
//! assert_eq!(effects.len(), 1);
//! # Ok(())
//! # }
//! ```
//!
//! [`Entry`] accepts callers' requests and places them; [`Agent`] stands beside one upstream and
//! gates it. They exchange [`EntryMessage`] and [`AgentMessage`], whose encoded form is in
//! [`wire`]. Operators' configuration is written as [`RawConfiguration`] and checked into a
//! [`Configuration`].

pub mod action_error;
pub mod admission;
pub mod agent;
mod agent_admission;
mod agent_attempt;
mod agent_billing;
mod agent_claims;
mod agent_config;
pub mod agent_effect;
pub mod agent_event;
mod agent_evidence;
mod agent_orders;
mod agent_pin;
mod agent_resume;
pub mod agent_settings;
pub mod answer_lengths;
pub mod backoff;
pub mod bill;
pub mod caller_request;
pub mod cascade;
pub mod cascade_policy;
pub mod change;
pub mod change_attempt;
pub mod change_outcome;
pub mod claim;
pub mod claim_table;
pub mod claim_verdict;
pub mod class;
pub mod cold_start;
pub mod config_diff;
pub mod config_log;
pub mod config_pull;
pub mod config_watch;
pub mod configuration;
mod configuration_edit;
pub mod customer;
pub mod data_centre;
pub mod defaults;
pub mod dispatch_fence;
pub mod entry;
mod entry_answer;
mod entry_billing;
mod entry_cascade;
mod entry_config;
pub mod entry_effect;
pub mod entry_event;
mod entry_guard;
mod entry_halt;
mod entry_limits;
mod entry_links;
mod entry_queue;
mod entry_rating;
mod entry_request;
mod entry_resume;
mod entry_rollout;
mod entry_session;
pub mod entry_settings;
mod entry_watch;
pub mod error;
pub mod evidence;
pub mod exception;
pub mod fair_queue;
pub mod gateway;
pub mod head;
pub mod host_record;
pub mod id;
pub mod item;
pub mod item_change;
pub mod key_digest;
pub mod keys;
pub mod kv_call;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod link_plan;
pub mod load_report;
pub mod member_table;
pub mod message;
pub mod model;
pub mod moving_time;
pub mod observation;
pub mod operator_action;
pub mod pass_rate;
pub mod placement;
pub mod prefix_memory;
pub mod quantity;
pub mod rating_drift;
pub mod rating_health;
pub mod rating_sampler;
mod raw_cascade;
mod raw_change_record;
pub mod raw_configuration;
mod raw_configuration_error;
mod raw_customer;
mod raw_customer_limits;
mod raw_data_centre;
mod raw_defaults;
mod raw_exception;
mod raw_item;
mod raw_model;
mod raw_operation;
mod raw_override;
mod raw_service;
mod raw_share;
mod raw_version;
pub mod recent_map;
pub mod refusal;
mod request_state;
pub mod retry_budget;
pub mod rollout_guard;
pub mod sequential_test;
pub mod serial_set;
pub mod service;
pub mod session_pin;
pub mod speed_estimate;
pub mod stored_configuration;
pub mod time;
pub mod upstream_score;
pub mod usage;
pub mod usage_store;
pub mod version_judge;
pub mod wire;
mod wire_agent;
mod wire_attempt;
mod wire_config;
mod wire_dispatch;
mod wire_entry;
mod wire_error;
mod wire_hello;
mod wire_load;
mod wire_pin;

pub use agent::Agent;
pub use agent_effect::AgentEffect;
pub use agent_event::AgentEvent;
pub use agent_settings::AgentSettings;
pub use caller_request::CallerRequest;
pub use class::Class;
pub use configuration::Configuration;
pub use entry::Entry;
pub use entry_effect::EntryEffect;
pub use entry_event::EntryEvent;
pub use entry_settings::EntrySettings;
pub use error::Category;
pub use key_digest::KeyDigest;
pub use message::AgentMessage;
pub use message::EntryMessage;
pub use raw_configuration::RawConfiguration;
pub use refusal::Refusal;
pub use time::DurationMs;
pub use time::TimeMs;
