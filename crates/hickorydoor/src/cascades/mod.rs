//! Which cheaper models are tried first, learned from the ratings of their answers.

pub mod pass_rate;
pub mod policy;
pub mod rating_drift;
pub mod rating_health;
pub mod rating_sampler;
