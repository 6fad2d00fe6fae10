//! Choice of the cheaper models that a cascade runs first.
//!
//! A cascade releases the answer of a cheaper model if it is rated well enough, and otherwise
//! escalates to a more expensive one. The choice adapts to the ratings observed so far.

pub mod pass_rate;
pub mod policy;
pub mod rating_drift;
pub mod rating_health;
pub mod rating_sampler;
