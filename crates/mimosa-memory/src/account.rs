//! The account of all bytes that a process holds on behalf of others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;

use crate::eviction::HolderView;
use crate::eviction::eviction_order;
use crate::eviction::select_victims;
use crate::progress::Progress;

/// Part of a pool that an eviction releases at least, as a divisor, so that a flood does not cause a
/// scan of all holders for each step of each buffer.
const EVICTION_BATCH_DIVISOR: u64 = 16;

/// Sizes of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSizes {
    /// Bytes that holders of any size share.
    pub general: u64,
    /// Bytes reserved for small holders.
    pub reserved: u64,
    /// Largest number of bytes that a small holder has.
    pub small: u64,
    /// Largest number of bytes of holders that may use the last quarter of the reserved part, so that a
    /// flood of small holders leaves room for ordinary requests.
    pub tiny: u64,
    /// Time without progress after which a holder may be evicted.
    pub stall_time: Duration,
}

impl AccountSizes {
    /// Bytes of the reserved part that all small holders share.
    pub const fn reserved_for_small(&self) -> u64 {
        self.reserved - self.reserved / 4
    }

    /// Bytes of the whole account.
    pub const fn total(&self) -> u64 {
        self.general + self.reserved
    }
}

/// Identifies a holder within its account. Numbers are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// Who holds bytes.
#[derive(Clone, Debug)]
pub struct HolderInfo {
    /// The client account, if the client has one.
    pub owner: Option<AccountId>,
    /// Size that the client declared, which makes the holder large from the start; 0 if it is unknown.
    pub declared: u64,
    /// Progress of the client.
    pub progress: Arc<Progress>,
}

/// Answer to a request for bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are held now.
    Granted,
    /// The account is full. Ask again after these holders, evicted now, and those evicted earlier have
    /// released their bytes.
    Wait(Vec<HolderId>),
    /// The account is full, and no holder can be evicted.
    Refused,
}

/// What an account holds at present, and its counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held in the part for holders of any size.
    pub general: u64,
    /// Bytes held in the part reserved for small holders.
    pub reserved: u64,
    /// Number of holders.
    pub holders: usize,
    /// Holders evicted so far to make room.
    pub evicted: u64,
    /// Holders evicted so far because their client made no progress, whether or not there was room.
    pub stalled: u64,
    /// Requests for bytes refused so far.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pool {
    General,
    Reserved,
}

#[derive(Debug)]
struct Holder {
    info: HolderInfo,
    bytes: u64,
    pool: Pool,
    is_evicted: bool,
}

/// The account. It never grants more bytes than its sizes allow.
#[derive(Debug)]
pub struct Account {
    sizes: AccountSizes,
    holders: BTreeMap<HolderId, Holder>,
    usage: Usage,
    /// Bytes of evicted holders that are not yet released, in each pool.
    leaving: Usage,
    next_id: u64,
}

impl Account {
    /// An account that holds nothing.
    pub fn new(sizes: AccountSizes) -> Self {
        Self {
            sizes,
            holders: BTreeMap::new(),
            usage: Usage::default(),
            leaving: Usage::default(),
            next_id: 0,
        }
    }

    /// The sizes of the account.
    pub const fn sizes(&self) -> &AccountSizes {
        &self.sizes
    }

    /// What is held at present.
    pub fn usage(&self) -> Usage {
        Usage {
            holders: self.holders.len(),
            ..self.usage
        }
    }

    /// Adds a holder without bytes.
    pub fn add(&mut self, info: HolderInfo) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            info,
            bytes: 0,
            pool: Pool::Reserved,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Asks for `bytes` in all for a holder. Fewer bytes than it has are always granted. A holder that
    /// is unknown or evicted gets no more.
    pub fn resize(&mut self, now: Timestamp, id: HolderId, bytes: u64) -> Decision {
        let Some(holder) = self.holders.get(&id) else {
            return Decision::Refused;
        };
        let before = (holder.pool, holder.bytes);
        if bytes <= before.1 {
            self.set(id, before.0, bytes);
            return Decision::Granted;
        }
        if holder.is_evicted {
            return Decision::Refused;
        }
        let is_small = bytes.max(holder.info.declared) <= self.sizes.small;
        for pool in [Pool::Reserved, Pool::General] {
            if (is_small || pool == Pool::General) && self.needed(pool, before, bytes) == 0 {
                self.set(id, pool, bytes);
                return Decision::Granted;
            }
        }
        let decision = self.make_room(now, id, before, bytes, is_small);
        self.usage.refused += u64::from(decision == Decision::Refused);
        decision
    }

    /// Removes a holder and releases its bytes.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get(&id) {
            let pool = holder.pool;
            self.set(id, pool, 0);
            self.holders.remove(&id);
        }
    }

    /// Evicts all holders whose client made no progress for `time`, whether or not there is room.
    pub fn evict_stalled(&mut self, now: Timestamp, time: Duration) -> Vec<HolderId> {
        let stalled: Vec<HolderId> = self
            .holders
            .iter()
            .filter(|(_, each)| !each.is_evicted)
            .filter(|(_, each)| each.info.progress.stalled_with_room_for(now) >= time)
            .map(|(id, _)| *id)
            .collect();
        self.usage.stalled += stalled.len() as u64;
        self.evict(&stalled);
        stalled
    }

    /// Evicts the holder that is first in the order of [`eviction_order`], if any is stalled.
    pub fn evict_one(&mut self, now: Timestamp) -> Option<HolderId> {
        let views = self.views(now, None, None);
        let first = eviction_order(&views, self.sizes.stall_time).first()?.id;
        self.usage.evicted += 1;
        self.evict(&[first]);
        Some(first)
    }

    fn make_room(
        &mut self,
        now: Timestamp,
        id: HolderId,
        before: (Pool, u64),
        bytes: u64,
        is_small: bool,
    ) -> Decision {
        let mut can_wait = false;
        // The general part has the largest holders.
        for pool in [Pool::General, Pool::Reserved] {
            if pool == Pool::Reserved && !is_small {
                continue;
            }
            let needed = self.needed(pool, before, bytes);
            let leaving = self.leaving.of(pool);
            if leaving >= needed {
                can_wait = true;
                continue;
            }
            let missing = needed - leaving;
            if self.stalled_bytes(now, pool, id) < missing {
                continue;
            }
            let views = self.views(now, Some(pool), Some(id));
            let batch = self.size(pool) / EVICTION_BATCH_DIVISOR;
            let stall_time = self.sizes.stall_time;
            let mut victims = select_victims(&views, missing.max(batch), stall_time);
            if victims.is_empty() {
                victims = select_victims(&views, missing, stall_time);
            }
            if !victims.is_empty() {
                self.usage.evicted += victims.len() as u64;
                self.evict(&victims);
                return Decision::Wait(victims);
            }
        }
        match can_wait {
            true => Decision::Wait(Vec::new()),
            false => Decision::Refused,
        }
    }

    /// Bytes of the stalled holders of a pool that are not evicted yet, but for `except`. Most refusals
    /// of a flood end here, without an allocation.
    fn stalled_bytes(&self, now: Timestamp, pool: Pool, except: HolderId) -> u64 {
        self.holders
            .iter()
            .filter(|(id, each)| each.pool == pool && !each.is_evicted && **id != except)
            .filter(|(_, each)| each.info.progress.stalled_for(now) >= self.sizes.stall_time)
            .map(|(_, each)| each.bytes)
            .sum()
    }

    /// The holders that are not evicted yet, of one pool or both, but for `except`.
    fn views(
        &self,
        now: Timestamp,
        pool: Option<Pool>,
        except: Option<HolderId>,
    ) -> Vec<HolderView<'_>> {
        let in_pool = |each: &Holder| !each.is_evicted && pool.is_none_or(|pool| pool == each.pool);
        self.holders
            .iter()
            .filter(|(id, each)| in_pool(each) && Some(**id) != except)
            .map(|(id, each)| HolderView {
                id: *id,
                bytes: each.bytes,
                stalled_for: each.info.progress.stalled_for(now),
                owner: each.info.owner.as_ref(),
            })
            .collect()
    }

    fn evict(&mut self, ids: &[HolderId]) {
        for id in ids {
            if let Some(holder) = self.holders.get_mut(id)
                && !holder.is_evicted
            {
                holder.is_evicted = true;
                *self.leaving.of_mut(holder.pool) += holder.bytes;
            }
        }
    }

    /// Bytes missing in a pool for a holder that has `before` and asks for `bytes` in all.
    const fn needed(&self, pool: Pool, before: (Pool, u64), bytes: u64) -> u64 {
        let own = match (pool, before.0) {
            (Pool::General, Pool::General) | (Pool::Reserved, Pool::Reserved) => before.1,
            _ => 0,
        };
        let size = match pool {
            Pool::Reserved if bytes > self.sizes.tiny => self.sizes.reserved_for_small(),
            _ => self.size(pool),
        };
        (self.usage.of(pool) - own + bytes).saturating_sub(size)
    }

    const fn size(&self, pool: Pool) -> u64 {
        match pool {
            Pool::General => self.sizes.general,
            Pool::Reserved => self.sizes.reserved,
        }
    }

    fn set(&mut self, id: HolderId, pool: Pool, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            *self.usage.of_mut(holder.pool) -= holder.bytes;
            if holder.is_evicted {
                *self.leaving.of_mut(holder.pool) -= holder.bytes;
                *self.leaving.of_mut(pool) += bytes;
            }
            holder.pool = pool;
            holder.bytes = bytes;
            *self.usage.of_mut(pool) += bytes;
        }
    }
}

impl Usage {
    const fn of(&self, pool: Pool) -> u64 {
        match pool {
            Pool::General => self.general,
            Pool::Reserved => self.reserved,
        }
    }

    const fn of_mut(&mut self, pool: Pool) -> &mut u64 {
        match pool {
            Pool::General => &mut self.general,
            Pool::Reserved => &mut self.reserved,
        }
    }
}
