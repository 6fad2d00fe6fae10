//! Which optional parts of load control a deployment uses.

/// Optional parts of load control, all off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadControl {
    /// Whether requests are refused that cannot start within their objective.
    pub refuses_late_starts: bool,
    /// Whether the scarce room of upstreams is divided among the gateways.
    pub divides_room: bool,
}
