//! Cascades: cheaper models before dearer ones.

use crate::id::CascadeId;
use crate::id::ModelId;

/// A cascade of models.
#[derive(Clone, Debug, PartialEq)]
pub struct Cascade {
    /// The cascade's id, used by callers as a model name.
    pub id: CascadeId,
    /// The models in the order in which they are tried, cheapest first.
    pub steps: Vec<ModelId>,
    /// Lowest rating with which a step's answer is released.
    pub release_score: f64,
}
