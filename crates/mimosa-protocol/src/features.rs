//! Features that take effect only where a deployment asks for them.

/// The features that are enabled; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether load is distributed by the speed learned for each endpoint.
    pub endpoint_speeds: bool,
    /// Whether requests for models are queued by weighted fair shares of the accounts.
    pub fair_shares: bool,
    /// Whether load overflows between data centres by forecast shares.
    pub overflow: bool,
}

impl Features {
    /// The features that are enabled in either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self {
            endpoint_speeds: self.endpoint_speeds || other.endpoint_speeds,
            fair_shares: self.fair_shares || other.fair_shares,
            overflow: self.overflow || other.overflow,
        }
    }
}
