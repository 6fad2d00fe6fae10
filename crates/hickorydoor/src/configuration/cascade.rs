//! Cascades: models of increasing price, tried in turn until an answer is good enough.

use crate::id::CascadeId;
use crate::id::ModelId;

/// An ordered list of models that share one public name.
#[derive(Clone, Debug, PartialEq)]
pub struct Cascade {
    /// Id that requests give as the model name; differs from every model id.
    pub id: CascadeId,
    /// Models in the order in which they are tried, cheapest first.
    pub steps: Vec<ModelId>,
    /// Lowest rating, from 0 to 1, at which the answer of a step is returned to the client.
    pub release_score: f64,
}
