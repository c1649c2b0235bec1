//! Tenant quotas: this gateway has a token bucket for each tenant, which holds at most the tokens
//! of one second, and at least one token.

use crate::interface::{Micros, Settings};

const MICROS_PER_SECOND: f64 = 1e6;

struct TokenBucket {
    /// This gateway's share of the tenant's quota, in requests per second.
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
}

/// Token buckets of all tenants, indexed by tenant ID.
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
                refilled_at: now,
            }
        };
        let tenants = settings.tenants.iter();
        TenantQuotas {
            buckets: tenants.map(|tenant| bucket(tenant.quota_per_s)).collect(),
        }
    }

    /// Takes a token and returns true, or returns false if the tenant is over its quota. A tenant
    /// that isn't in the settings has no quota.
    pub(super) fn try_take_token(&mut self, tenant: usize, now: Micros) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return true;
        };
        let elapsed = (now - bucket.refilled_at) as f64;
        let refilled = bucket.tokens + bucket.rate * elapsed / MICROS_PER_SECOND;
        bucket.tokens = refilled.min(bucket.rate.max(1.0));
        bucket.refilled_at = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }
}
