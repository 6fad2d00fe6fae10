//! Comparison of versions with their baselines, the decision to stop a version, and the versions of
//! sessions.

pub mod evidence;
pub mod full_pace;
pub mod guard;
pub mod outcome_table;
pub mod sequential_test;
pub mod session_pin;
pub mod version_comparison;
pub mod version_evaluator;
