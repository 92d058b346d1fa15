//! Settings that enable features: `[platform]` and `[features]`.

use mimosa_protocol::Features;

use crate::reader::Faults;
use crate::reader::TableReader;

/// The table `[platform]`: what the platform states about the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Names of the platform's contracts. The integration of the platform knows which features they
    /// enable.
    pub contracts: Vec<String>,
}

impl PlatformSettings {
    pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Self {
        let settings = Self {
            contracts: reader.list("contracts", faults),
        };
        reader.report_unknown_fields(faults);
        settings
    }
}

/// Reads the table `[features]`, which enables features without a platform.
pub(crate) fn read(mut reader: TableReader<'_, '_>, faults: &mut Faults) -> Features {
    let default = Features::default();
    let features = Features {
        endpoint_speeds: reader.or("endpoint_speeds", default.endpoint_speeds, faults),
        fair_shares: reader.or("fair_shares", default.fair_shares, faults),
        uneven_speeds: reader.or("uneven_speeds", default.uneven_speeds, faults),
        load_probes: reader.or("load_probes", default.load_probes, faults),
    };
    reader.report_unknown_fields(faults);
    features
}
