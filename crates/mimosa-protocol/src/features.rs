//! Features that take effect only where a deployment asks for them.

/// The features that are enabled; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether requests for models are placed by the speed learned for each endpoint.
    pub endpoint_speeds: bool,
    /// The same, but only for services whose endpoints are found to differ in speed.
    pub uneven_speeds: bool,
    /// Whether gateways ask plain endpoints for their load before they select one. The calls cost
    /// connections and processor time at the endpoints, and platforms may charge them.
    pub load_probes: bool,
    /// Whether requests for models are queued by weighted fair shares of the accounts.
    pub fair_shares: bool,
}

impl Features {
    /// The features that are enabled in either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self {
            endpoint_speeds: self.endpoint_speeds || other.endpoint_speeds,
            uneven_speeds: self.uneven_speeds || other.uneven_speeds,
            load_probes: self.load_probes || other.load_probes,
            fair_shares: self.fair_shares || other.fair_shares,
        }
    }
}
