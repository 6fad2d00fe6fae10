//! Ways to choose an upstream.

/// How an entry chooses among the upstreams that may run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// The lowest expected time among likely cache holders and random upstreams.
    #[default]
    ExpectedTime,
    /// The less loaded of two random upstreams.
    TwoChoices,
    /// The upstream with the fewest requests of this entry.
    LeastRequests,
    /// Each upstream in turn.
    RoundRobin,
    /// Any upstream.
    Random,
}
