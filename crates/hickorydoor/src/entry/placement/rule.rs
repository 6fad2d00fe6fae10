//! Rules by which an entry chooses among usable upstreams.

/// How an entry chooses among the usable upstreams for a request. The rules other than
/// `ExpectedTime` serve as baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// The lowest expected time among upstreams that probably have the prefix cached and random
    /// ones.
    #[default]
    ExpectedTime,
    /// The one of two random upstreams with fewer running and newly sent requests.
    TwoChoices,
    /// The upstream with the fewest requests in flight from this entry.
    LeastRequests,
    /// The usable upstreams in rotation.
    RoundRobin,
    /// A uniformly random upstream.
    Random,
}
