//! Decides whether the result of a new request fits.

use super::stored_result::StoredResult;
use super::{Owner, ResultId, Spool};
use crate::limits::*;
use crate::Micros;

/// Why a result is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Larger than [`Budget::max_result_bytes`], so a retry can't succeed.
    TooLarge,
    /// All space is used, or claimed by results that are still being received.
    Full,
    /// Space is short, and the result would exceed the tenant's share; see [`TENANT_SHARE`].
    TenantsShare,
    /// Space is short, and the result would exceed the share of the client's address; see
    /// [`ADDRESS_SHARE`].
    AddressShare,
}

impl RejectReason {
    /// Returns the reason as it is sent to clients.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::TooLarge => "too-large",
            RejectReason::Full => "spool-full",
            RejectReason::TenantsShare => "tenants-share",
            RejectReason::AddressShare => "address-share",
        }
    }
}

/// The decision whether a new result may be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room once the host has dropped these results with [`Spool::drop_result`].
    Admitted {
        /// Results to drop, in this order.
        to_drop: Vec<ResultId>,
    },
    /// There is no room.
    Rejected {
        /// Why there is no room.
        reason: RejectReason,
        /// Microseconds from now until a retry may succeed, estimated from the rate at which space
        /// has been freed recently; `None` if no retry can succeed.
        retry_after: Option<Micros>,
    },
}

/// Why there is no room, and when a retry may succeed.
type Rejection = (RejectReason, Option<Micros>);

/// Results to drop for a new one, and the bytes that this frees.
#[derive(Default)]
struct Drops {
    results: Vec<ResultId>,
    bytes: u64,
}

/// The bytes by which a new result would exceed the shares of its owner.
#[derive(Clone, Copy)]
struct ShareExcess {
    tenant: u64,
    address: u64,
}

impl ShareExcess {
    fn is_none(self) -> bool {
        self.tenant == 0 && self.address == 0
    }

    /// Returns whether dropping a result of `stored_owner` would reduce the excess of `owner`.
    fn is_reduced_by(self, stored_owner: Owner, owner: Owner) -> bool {
        (stored_owner.tenant == owner.tenant && self.tenant > 0)
            || (stored_owner.address == owner.address && self.address > 0)
    }

    /// Subtracts a dropped result of `stored_owner` from the excess of `owner`.
    fn subtract(&mut self, bytes: u64, stored_owner: Owner, owner: Owner) {
        if stored_owner.tenant == owner.tenant {
            self.tenant = self.tenant.saturating_sub(bytes);
        }
        if stored_owner.address == owner.address {
            self.address = self.address.saturating_sub(bytes);
        }
    }
}

impl Spool {
    /// Decides whether a result of an expected size fits, before its request is sent to an engine.
    /// Changes nothing.
    pub fn admit(&self, owner: Owner, expected: u64, now: Micros) -> Admission {
        let drops = self
            .drops_for_shares(owner, expected, now)
            .and_then(|drops| self.drops_for_space(expected, drops, now));
        match drops {
            Ok(drops) => Admission::Admitted {
                to_drop: drops.results,
            },
            Err((reason, retry_after)) => Admission::Rejected {
                reason,
                retry_after,
            },
        }
    }

    /// Chooses results of the owner to drop so that the new result doesn't exceed the owner's
    /// shares. Shares apply only while space is short. The owner's own delivered results are
    /// dropped before its request is rejected.
    fn drops_for_shares(
        &self,
        owner: Owner,
        expected: u64,
        now: Micros,
    ) -> Result<Drops, Rejection> {
        if expected > self.budget.max_result_bytes {
            return Err((RejectReason::TooLarge, None));
        }
        let mut drops = Drops::default();
        let total = self.total(now);
        let wanted = self.claimed + expected;
        if !self.policy.enforces_shares || wanted as f64 <= SHARE_PRESSURE * total as f64 {
            return Ok(drops);
        }
        let mut excess = self.share_excess(owner, expected, total);
        let delivered = self
            .drop_candidates
            .iter()
            .take_while(|(is_undelivered, ..)| !is_undelivered);
        for (_, _, id) in delivered {
            if excess.is_none() {
                break;
            }
            let Some(stored) = self.results.get(id) else {
                continue;
            };
            if excess.is_reduced_by(stored.owner, owner) {
                excess.subtract(stored.bytes, stored.owner, owner);
                drops.results.push(*id);
                drops.bytes += stored.bytes;
            }
        }
        if excess.tenant > 0 {
            let retry_after = self.estimate_retry_after(excess.tenant);
            return Err((RejectReason::TenantsShare, Some(retry_after)));
        }
        if excess.address > 0 {
            let retry_after = self.estimate_retry_after(excess.address);
            return Err((RejectReason::AddressShare, Some(retry_after)));
        }
        Ok(drops)
    }

    /// Returns by how much a result of an expected size would exceed the shares of its owner.
    fn share_excess(&self, owner: Owner, expected: u64, total: u64) -> ShareExcess {
        let excess = |sum: Option<&u64>, share: f64| {
            let limit = (total as f64 * share) as u64;
            // An owner that claims no space may always store a single result.
            sum.map_or(0, |sum| (sum + expected).saturating_sub(limit))
        };
        ShareExcess {
            tenant: excess(self.claimed_by_tenant.get(&owner.tenant), TENANT_SHARE),
            address: excess(self.claimed_by_address.get(&owner.address), ADDRESS_SHARE),
        }
    }

    /// Adds results to `drops` until the new result fits.
    fn drops_for_space(
        &self,
        expected: u64,
        mut drops: Drops,
        now: Micros,
    ) -> Result<Drops, Rejection> {
        let total = self.total(now);
        let reserved = if expected <= SMALL_RESULT {
            0
        } else {
            (total as f64 * self.policy.reserve) as u64
        };
        let room = total.saturating_sub(reserved);
        let mut missing = (self.claimed + expected).saturating_sub(room + drops.bytes);
        let mut drop_candidates = self.drop_candidates.iter();
        let is_full = self.results.len() >= MAX_RESULTS;
        while missing > 0 || (is_full && drops.results.is_empty()) {
            let next = drop_candidates.next().and_then(|(is_undelivered, _, id)| {
                let stored = self.results.get(id)?;
                self.may_drop(stored, *is_undelivered, now)
                    .then_some((*id, stored.bytes))
            });
            let Some((id, bytes)) = next else {
                let retry_after = self.estimate_retry_after(missing);
                return Err((RejectReason::Full, Some(retry_after)));
            };
            if !drops.results.contains(&id) {
                drops.results.push(id);
                missing = missing.saturating_sub(bytes);
            }
        }
        Ok(drops)
    }

    /// Returns whether a result may be dropped for a new one: an undelivered result only after its
    /// retention time.
    fn may_drop(&self, stored: &StoredResult, is_undelivered: bool, now: Micros) -> bool {
        !is_undelivered || stored.touched_at + self.budget.unclaimed_retention <= now
    }

    /// Estimates how long it takes until the missing bytes are freed, from the recent rate at which
    /// space was freed.
    fn estimate_retry_after(&self, missing: u64) -> Micros {
        let wait = missing as f64 / self.drain_rate.max(1e-9);
        (wait as Micros).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
