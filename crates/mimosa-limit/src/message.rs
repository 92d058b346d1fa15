//! Messages between entries and keepers. Each pair exchanges one report and one answer per
//! partition and heartbeat, whatever the number of accounts; idle accounts are left out.
//!
//! Messages may be lost, repeated and reordered: spent amounts are totals, reports and answers are
//! numbered and an old number is ignored, and anything unacknowledged is sent again.

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

use crate::micro_tokens::MicroTokens;

/// Number of partitions; each has one keeper per data centre.
pub const PARTITION_COUNT: u16 = 64;

quantity! {
    /// A group of accounts that share a keeper; below [`PARTITION_COUNT`].
    Partition(u16);
    /// Sequence number of a holder's reports to one keeper, from 1 in each incarnation.
    ReportNumber(u64);
    /// Sequence number of the slices of one keeper, from 1 in each epoch.
    SliceNumber(u64);
    /// Sequence number of a holder's refunds to one keeper, from 0 in each incarnation.
    RefundNumber(u64);
}

impl Partition {
    /// The partition of an account, by a hash that is the same on every instance.
    pub fn of(account: &AccountId) -> Self {
        let weight = rendezvous_weight("limit", account.as_str());
        Self((weight % u64::from(PARTITION_COUNT)) as u16)
    }
}

data! {
    /// A process that holds slices.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Holder {
        /// An entry of the keeper's data centre.
        Entry(InstanceId),
        /// The keeper of the same partition in another data centre.
        DataCentre(DataCentreId),
    }

    /// The share that a slice was allocated from, and when by that keeper's clock.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Origin {
        /// The data centre that owns the share.
        pub data_centre: DataCentreId,
        /// The epoch of the keeper that allocated from it; a keeper of another epoch ignores
        /// refunds.
        pub epoch: Epoch,
        /// When the slice was allocated: a refund corrects the bucket from this time on.
        pub since: Timestamp,
    }

    /// A holder's report to a keeper.
    pub struct Report {
        /// The partition of the accounts; the keeper of another partition ignores the report.
        pub partition: Partition,
        /// The entry, or the keeper of another data centre, that sends the report.
        pub holder: Holder,
        /// The incarnation of the holder: an entry's incarnation, or a keeper's epoch.
        pub incarnation: Incarnation,
        /// The newest epoch of the keeper that the holder knows. A keeper of a lower epoch gives up
        /// its role.
        pub epoch: Epoch,
        /// Sequence number of the report. The keeper ignores a number that is not above the last.
        pub number: ReportNumber,
        /// The accounts with demand or unacknowledged slice states; others are left out.
        pub accounts: Vec<AccountReport>,
        /// The number of the first refund listed; the others follow without gaps.
        pub first_refund: RefundNumber,
        /// Unacknowledged refunds, in order.
        pub refunds: Vec<Refund>,
    }

    /// A holder's slices and demand for one account.
    pub struct AccountReport {
        /// An account of the report's partition.
        pub account: AccountId,
        /// Tokens that the first waiting request needs beyond the available slices.
        pub head_shortfall: Tokens,
        /// Tokens that all waiting requests need beyond the available slices.
        pub shortfall: Tokens,
        /// Tokens requested ahead of expected demand.
        pub prefetch: Tokens,
        /// All slices of the account that the holder has not dropped yet.
        pub slices: Vec<SliceState>,
    }

    /// A holder's state of one slice.
    #[derive(Copy)]
    pub struct SliceState {
        /// The slice, in the keeper epoch of the report.
        pub number: SliceNumber,
        /// Total amount spent from it so far, so that a lost report does no harm.
        pub spent: MicroTokens,
        /// Whether the holder returned the slice: nothing more is spent from it.
        pub closed: bool,
    }

    /// The unused part of a charge.
    pub struct Refund {
        /// The account that was charged.
        pub account: AccountId,
        /// The origin of the slice that was charged.
        pub origin: Origin,
        /// The amount that was charged and not used.
        pub amount: MicroTokens,
    }

    /// A keeper's answer to a report.
    pub struct Answer {
        /// The partition of the report.
        pub partition: Partition,
        /// The keeper's data centre, by which a borrower finds the loans that the answer is about.
        pub data_centre: DataCentreId,
        /// The keeper's epoch. A holder ignores one below the highest that it knows, and drops the
        /// slices of an earlier one.
        pub epoch: Epoch,
        /// The report that it answers. The holder ignores it if it has the answer to this report or
        /// a later one.
        pub number: ReportNumber,
        /// The holder's incarnation in that report; another incarnation ignores the answer.
        pub incarnation: Incarnation,
        /// The next refund that the keeper expects; earlier ones are acknowledged.
        pub next_refund: RefundNumber,
        /// The accounts with new slices or unmet demand.
        pub accounts: Vec<AccountAnswer>,
    }

    /// A keeper's answer about one account.
    pub struct AccountAnswer {
        /// An account that the report named.
        pub account: AccountId,
        /// Slices that the report did not mention: new ones, and those whose answer was lost.
        pub slices: Vec<Grant>,
        /// Estimated time until the unmet demand can be served; zero if there is none.
        pub retry_after: Duration,
        /// The account's burst over all data centres: a request that costs more can never be
        /// admitted.
        pub burst: Tokens,
    }

    /// A slice: tokens that the holder may spend until one lease after it sent the report.
    pub struct Grant {
        /// Sequence number of the slice, by which later reports state what was spent from it.
        pub number: SliceNumber,
        /// The report whose sending time starts the lease.
        pub report: ReportNumber,
        /// The amount that may be spent from it.
        pub amount: MicroTokens,
        /// The share that it was allocated from; refunds repeat it.
        pub origin: Origin,
    }
}
