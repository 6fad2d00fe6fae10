//! Numbers of attempts during a rollout.

/// Numbers of attempts since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sent {
    /// Attempts on the new version.
    pub to_target: f64,
    /// Attempts on both versions.
    pub all: f64,
}
