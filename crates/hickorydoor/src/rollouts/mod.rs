//! What is known of the behaviour of versions, and when one of them is stopped.

pub mod evidence;
pub mod guard;
pub mod sequential_test;
pub mod session_pin;
pub mod version_evaluator;
