//! Quotas of tenants: a token bucket for each on this gateway, one second deep.

use crate::interface::{Micros, Settings};

const MICROS_PER_SECOND: f64 = 1e6;

struct TokenBucket {
    /// This gateway's part of the quota, in requests a second.
    rate: f64,
    tokens: f64,
    filled_at: Micros,
}

/// Token buckets of all tenants, by their numbers.
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(settings: &Settings, now: Micros) -> Self {
        let bucket = |quota_per_s: f64| {
            let rate = quota_per_s / settings.peers;
            TokenBucket {
                rate,
                tokens: rate,
                filled_at: now,
            }
        };
        let tenants = settings.tenants.iter();
        TenantQuotas {
            buckets: tenants.map(|tenant| bucket(tenant.quota_per_s)).collect(),
        }
    }

    /// Takes a token if there is one; false: the tenant is over its quota.
    pub(super) fn try_take(&mut self, tenant: usize, now: Micros) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return true;
        };
        let elapsed = (now - bucket.filled_at) as f64;
        let refilled = bucket.tokens + bucket.rate * elapsed / MICROS_PER_SECOND;
        bucket.tokens = refilled.min(bucket.rate.max(1.0));
        bucket.filled_at = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }
}
