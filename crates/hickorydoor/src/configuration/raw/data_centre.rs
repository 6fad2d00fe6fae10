//! Serialised form of data centres.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::data_centre::DataCentre;
use crate::id::DataCentreId;
use crate::id::RegionId;

/// Serialised [`DataCentre`]; every value is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDataCentre {
    /// Unique id.
    pub id: DataCentreId,
    /// Region that the data centre belongs to.
    pub region: RegionId,
    /// Whether it is taken out of service; `false` if the field is left out.
    #[serde(default)]
    pub out: bool,
}

impl From<&DataCentre> for RawDataCentre {
    fn from(data_centre: &DataCentre) -> Self {
        Self {
            id: data_centre.id.clone(),
            region: data_centre.region.clone(),
            out: data_centre.out,
        }
    }
}

impl From<RawDataCentre> for DataCentre {
    fn from(raw: RawDataCentre) -> Self {
        Self { id: raw.id, region: raw.region, out: raw.out }
    }
}
