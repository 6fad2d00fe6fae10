//! Data centres and their service state.

use crate::id::DataCentreId;
use crate::id::RegionId;

/// A data centre that operators can take out of service as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Unique id, which the settings of each host name as its location.
    pub id: DataCentreId,
    /// Region that the data centre belongs to.
    pub region: RegionId,
    /// Whether operators have taken it out of service; its agents then get no new work.
    pub out: bool,
}
