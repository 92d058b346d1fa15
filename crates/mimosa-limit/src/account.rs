//! A keeper's state of one account: the token bucket of the data centre's share, and the slices
//! allocated from it.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;

use crate::bucket::TokenBucket;
use crate::held::SlicePart;
use crate::message::Grant;
use crate::message::Holder;
use crate::message::Origin;
use crate::message::Report;
use crate::message::ReportNumber;
use crate::message::SliceNumber;
use crate::micro_tokens::MicroTokens;

/// What a slice was allocated from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The data centre's own share.
    Own,
    /// A loan from another data centre.
    Loan(SlicePart),
}

/// A slice allocated to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The entry, or the keeper of another data centre, that may spend from the slice.
    pub holder: Holder,
    /// The incarnation of the holder that requested the slice; a later one cannot spend from it.
    pub incarnation: Incarnation,
    /// The report that requested it, whose sending time starts the lease at the holder.
    pub report: ReportNumber,
    /// The amount that the holder may spend from the slice in all.
    pub amount: MicroTokens,
    /// The amount that the holder reported as spent; at most `amount`.
    pub spent: MicroTokens,
    /// When the holder can no longer spend from it, by the keeper's clock; includes the lease
    /// margin.
    pub expires_at: Timestamp,
    /// What it was allocated from.
    pub source: Source,
    /// The origin that the holder names in refunds of charges to the slice.
    pub origin: Origin,
}

/// The part of a holder's demand that was not met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnmetDemand {
    /// The amount for the first waiting request, which is part of `shortfall`.
    pub head_shortfall: MicroTokens,
    /// The amount for all waiting requests.
    pub shortfall: MicroTokens,
    /// The amount for expected requests, beyond `shortfall`.
    pub prefetch: MicroTokens,
    /// When the holder first asked.
    pub since: Timestamp,
    /// When the holder last asked.
    pub updated_at: Timestamp,
}

/// A keeper's state of one account.
///
/// The bucket counts both unallocated tokens and tokens that holders may still spend, so that their
/// sum never exceeds the burst, and what is spent over a window stays within the bound.
#[derive(Clone, Debug)]
pub struct AccountState {
    /// Unallocated and allocated tokens together.
    pub bucket: TokenBucket,
    /// Slices allocated to holders.
    pub allocations: BTreeMap<SliceNumber, Allocation>,
    /// Demand that was not met, by holder.
    pub unmet: BTreeMap<Holder, UnmetDemand>,
    /// Unspent amount of the slices allocated from the own share.
    allocated: MicroTokens,
}

impl UnmetDemand {
    /// Subtracts a granted amount, from waiting requests first.
    pub fn fill(&mut self, granted: MicroTokens) {
        let shortfall = granted.min(self.shortfall);
        self.shortfall = self.shortfall.minus(shortfall);
        self.head_shortfall = self.head_shortfall.minus(shortfall).or_zero();
        self.prefetch = self.prefetch.minus(granted.minus(shortfall)).or_zero();
    }

    fn is_met(&self) -> bool {
        self.shortfall <= MicroTokens::ZERO && self.prefetch <= MicroTokens::ZERO
    }
}

impl Allocation {
    /// Whether the sender of a report holds it, in the same incarnation.
    pub fn is_held_by(&self, report: &Report) -> bool {
        self.holder == report.holder && self.incarnation == report.incarnation
    }

    /// The amount that the holder may still spend, as far as it has reported.
    pub fn remaining(&self) -> MicroTokens {
        self.amount.minus(self.spent).or_zero()
    }

    /// The grant that tells the holder about the slice.
    pub fn grant(&self, number: SliceNumber) -> Grant {
        Grant {
            number,
            report: self.report,
            amount: self.amount,
            origin: self.origin.clone(),
        }
    }
}

impl AccountState {
    /// Creates the state of an account without slices.
    pub fn new(bucket: TokenBucket) -> Self {
        Self {
            bucket,
            allocations: BTreeMap::new(),
            unmet: BTreeMap::new(),
            allocated: MicroTokens::ZERO,
        }
    }

    /// The unallocated amount of the own share.
    pub fn unallocated(&self) -> MicroTokens {
        self.bucket.level().minus(self.allocated).or_zero()
    }

    /// Adds an allocated slice. One from the own share lowers [`Self::unallocated`].
    pub fn add(&mut self, number: SliceNumber, allocation: Allocation) {
        if allocation.source == Source::Own {
            self.allocated = self.allocated.plus(allocation.amount);
        }
        self.allocations.insert(number, allocation);
    }

    /// Sets the total spent from a slice. Returns the newly spent part of a loan.
    pub fn spend(
        &mut self,
        now: Timestamp,
        number: SliceNumber,
        spent: MicroTokens,
    ) -> Option<SlicePart> {
        let allocation = self.allocations.get_mut(&number)?;
        let spent = spent.min(allocation.amount);
        let newly_spent = spent.minus(allocation.spent).or_zero();
        allocation.spent = allocation.spent.plus(newly_spent);
        match &allocation.source {
            Source::Own => {
                self.allocated = self.allocated.minus(newly_spent);
                self.bucket.charge(now, newly_spent);
                None
            }
            Source::Loan(part) => Some(SlicePart {
                amount: newly_spent,
                ..part.clone()
            }),
        }
    }

    /// Removes a slice that its holder returned. Returns the unspent part of a loan.
    pub fn release(&mut self, number: SliceNumber) -> Option<SlicePart> {
        let allocation = self.allocations.remove(&number)?;
        let remaining = allocation.remaining();
        match allocation.source {
            Source::Own => {
                self.allocated = self.allocated.minus(remaining);
                None
            }
            Source::Loan(part) => Some(SlicePart {
                amount: remaining,
                ..part
            }),
        }
    }

    /// Removes the slices whose lease has expired. The rest of each counts as spent: the holder may
    /// have spent it and failed before it could report it.
    pub fn expire(&mut self, now: Timestamp) -> Vec<SlicePart> {
        let expired: Vec<SliceNumber> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.expires_at <= now)
            .map(|(number, _)| *number)
            .collect();
        let mut parts = Vec::new();
        for number in expired {
            parts.extend(self.spend(now, number, MicroTokens::MAX));
            self.allocations.remove(&number);
        }
        parts
    }

    /// Replaces the unmet demand of a holder; removes it if the demand is met.
    pub fn set_unmet(&mut self, holder: &Holder, unmet: UnmetDemand) {
        if unmet.is_met() {
            self.unmet.remove(holder);
        } else {
            self.unmet.insert(holder.clone(), unmet);
        }
    }

    /// Whether entries of the data centre hold slices.
    pub fn has_entry_slices(&self) -> bool {
        self.allocations
            .values()
            .any(|allocation| matches!(allocation.holder, Holder::Entry(_)))
    }

    /// The unmet demand of entries, both shortfall and prefetch, that was updated within `max_age`.
    pub fn unmet_by_entries(&self, now: Timestamp, max_age: Duration) -> MicroTokens {
        self.unmet
            .iter()
            .filter(|(holder, _)| matches!(holder, Holder::Entry(_)))
            .filter(|(_, unmet)| now.since(unmet.updated_at) <= max_age)
            .fold(MicroTokens::ZERO, |sum, (_, unmet)| {
                sum.plus(unmet.shortfall).plus(unmet.prefetch)
            })
    }

    /// The head shortfall of the entries that have waited longer than `holder`.
    pub fn head_shortfall_before(
        &self,
        holder: &Holder,
        now: Timestamp,
        max_age: Duration,
    ) -> MicroTokens {
        let since = self.unmet.get(holder).map_or(now, |unmet| unmet.since);
        self.unmet
            .iter()
            .filter(|(other, _)| *other != holder && matches!(other, Holder::Entry(_)))
            .filter(|(other, unmet)| (unmet.since, *other) < (since, holder))
            .filter(|(_, unmet)| now.since(unmet.updated_at) <= max_age)
            .fold(MicroTokens::ZERO, |sum, (_, unmet)| {
                sum.plus(unmet.head_shortfall)
            })
    }

    /// Whether the state equals that of a new account with a full bucket.
    pub fn is_idle(&self) -> bool {
        self.allocations.is_empty() && self.bucket.is_full()
    }
}
