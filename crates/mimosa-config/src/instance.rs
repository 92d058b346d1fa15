//! Identity of a process.

use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;

use crate::reader::Faults;
use crate::reader::TableReader;

/// The table `[instance]`: identity of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique within the cluster.
    pub id: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Name of the cluster. Processes of other clusters are rejected.
    pub cluster: String,
}

impl InstanceSettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Option<Self> {
        let id = reader.required("id", faults);
        let data_centre = reader.required("data_centre", faults);
        let cluster = reader.required("cluster", faults);
        reader.report_unknown_fields(faults);
        Some(Self {
            id: id?,
            data_centre: data_centre?,
            cluster: cluster?,
        })
    }
}
