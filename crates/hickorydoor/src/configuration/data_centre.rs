//! Data centres and whether they take new work.

use crate::id::DataCentreId;
use crate::id::RegionId;

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The data centre's id.
    pub id: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Set while operators have taken it out; it then gets no new work.
    pub out: bool,
}
