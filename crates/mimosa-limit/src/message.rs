//! What entries and keepers say to each other. One report and one answer for each peer and
//! partition in a heartbeat, whatever the number of accounts; idle accounts are not named.
//!
//! Both may be lost, repeated and reordered: spent amounts are totals, reports and answers are
//! numbered and an old number is ignored, and what was not acknowledged is sent again.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;
use mimosa_protocol::hash::rendezvous_weight;
use mimosa_protocol::quantity;

use crate::amount::Amount;

/// Groups of accounts; each has one keeper in a data centre.
pub const PARTITION_COUNT: u16 = 64;

quantity! {
    /// A group of accounts that share a keeper.
    Partition(u16);
    /// Counts a holder's reports.
    ReportNumber(u64);
    /// Counts the slices of one keeper in one epoch.
    SliceNumber(u64);
    /// Counts a holder's refunds.
    RefundNumber(u64);
}

impl Partition {
    /// The partition of an account.
    pub fn of(account: &AccountId) -> Self {
        let weight = rendezvous_weight("limit", account.as_str());
        Self((weight % u64::from(PARTITION_COUNT)) as u16)
    }
}

data! {
    /// Who holds slices.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Holder {
        /// An entry of the keeper's data centre.
        Entry(InstanceId),
        /// The keeper of the same partition in another data centre.
        DataCentre(DataCentreId),
    }

    /// Whose share a slice was cut from, and when, by that keeper's clock.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Origin {
        /// The data centre that owns the share.
        pub data_centre: DataCentreId,
        /// The epoch of its keeper.
        pub epoch: Epoch,
        /// When it was cut.
        pub since: Timestamp,
    }

    /// A holder to a keeper.
    pub struct Report {
        /// Which keeper.
        pub partition: Partition,
        /// Who reports.
        pub holder: Holder,
        /// The holder's life: an entry's incarnation, or a keeper's epoch.
        pub incarnation: Incarnation,
        /// The epoch of the keeper as the holder knows it.
        pub epoch: Epoch,
        /// Which report.
        pub number: ReportNumber,
        /// The active accounts.
        pub lines: Vec<ReportLine>,
        /// The number of the first refund listed.
        pub first_refund: RefundNumber,
        /// Refunds that were not acknowledged, in order.
        pub refunds: Vec<Refund>,
    }

    /// A holder's part in one account.
    pub struct ReportLine {
        /// The account.
        pub account: AccountId,
        /// What the first waiting request needs beyond the slices in hand.
        pub head: Tokens,
        /// What all waiting requests need beyond the slices in hand.
        pub needed: Tokens,
        /// What is expected to be needed next.
        pub ahead: Tokens,
        /// The slices held.
        pub slices: Vec<SliceState>,
    }

    /// What became of a slice.
    #[derive(Copy)]
    pub struct SliceState {
        /// Which slice.
        pub number: SliceNumber,
        /// All that was started from it.
        pub spent: Amount,
        /// Whether the holder gave it up: nothing more is started from it.
        pub closed: bool,
    }

    /// A charge that was too large.
    pub struct Refund {
        /// The account.
        pub account: AccountId,
        /// What it was charged to.
        pub origin: Origin,
        /// The part that was not used.
        pub amount: Amount,
    }

    /// A keeper's answer to a report.
    pub struct Answer {
        /// Which keeper.
        pub partition: Partition,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Its epoch.
        pub epoch: Epoch,
        /// The report that it answers.
        pub number: ReportNumber,
        /// The holder's incarnation in that report.
        pub incarnation: Incarnation,
        /// The next refund that it expects; those before are done.
        pub next_refund: RefundNumber,
        /// The accounts with new slices, or for which something is lacking.
        pub lines: Vec<AnswerLine>,
    }

    /// A keeper's answer about one account.
    pub struct AnswerLine {
        /// The account.
        pub account: AccountId,
        /// Slices that the report did not mention.
        pub slices: Vec<Grant>,
        /// When what was needed and not given may be there.
        pub retry_after: Duration,
        /// The account's whole burst: a request that costs more is never inside the rate.
        pub burst: Tokens,
    }

    /// Tokens that the holder may start until a lease from the time of a report.
    pub struct Grant {
        /// Which slice.
        pub number: SliceNumber,
        /// The report from whose sending the lease runs.
        pub report: ReportNumber,
        /// How much.
        pub amount: Amount,
        /// What it was cut from.
        pub origin: Origin,
    }
}
