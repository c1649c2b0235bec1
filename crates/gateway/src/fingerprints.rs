//! Fingerprints of settings, with which a gateway recognizes data from a process that has the same
//! settings.
//!
//! The fingerprints are part of two formats that other processes read: the checkpoint in the store
//! and the handshake between gateways. Each fingerprint is a hash of a text, so the names in that
//! text are fixed here, independently of the names of types and fields.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hasher;

use eideryard::interface::{
    Class, Discovery, Effect, MachineKind, RetryBudgetSettings, Scope, Settings, Tenant,
};
use siphasher::sip::SipHasher13;

#[cfg(test)]
mod tests;

/// The byte that is hashed after the text.
const END_OF_TEXT: u8 = 0xff;

/// Returns the fingerprint of all settings, for the checkpoint: SipHash-1-3 with a key of zeros.
pub fn settings_fingerprint(settings: &Settings) -> u64 {
    let text = format!("{:?}", SettingsText(settings));
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.write_u8(END_OF_TEXT);
    hasher.finish()
}

/// Returns the fingerprint of the classes that need intents, for the handshake: the first 8 bytes
/// of a BLAKE3 hash of their indices, effects, scopes and windows.
pub fn classes_fingerprint(classes: &[Class]) -> u64 {
    let mut lines = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        if class.effect != Effect::Idempotent {
            let effect = effect_name(class.effect);
            let scope = scope_name(class.scope);
            lines.push(format!("{index} {effect} {scope} {}", class.window));
        }
    }
    let hash = blake3::hash(lines.join("\n").as_bytes());
    let mut fingerprint = 0;
    for byte in &hash.as_bytes()[..8] {
        fingerprint = fingerprint << 8 | u64::from(*byte);
    }
    fingerprint
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "Safe",
        Effect::IdempotentWithKey => "Keyed",
        Effect::NonIdempotent => "Unsafe",
    }
}

fn scope_name(scope: Scope) -> &'static str {
    match scope {
        Scope::All => "All",
        Scope::Zone => "Zone",
        Scope::Cell => "Cell",
    }
}

fn discovery_name(discovery: Discovery) -> &'static str {
    match discovery {
        Discovery::Push => "Push",
        Discovery::Poll => "Ask",
    }
}

/// A name whose debug output has no quotes.
struct Bare(&'static str);

impl Debug for Bare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

struct SettingsText<'a>(&'a Settings);

impl Debug for SettingsText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let settings = self.0;
        let classes: Vec<ClassText<'_>> = settings.classes.iter().map(ClassText).collect();
        let tenants: Vec<TenantText<'_>> = settings.tenants.iter().map(TenantText).collect();
        let kinds: Vec<KindText<'_>> = settings.kinds.iter().map(KindText).collect();
        let budget = settings.retry_budget.as_ref().map(BudgetText);
        f.debug_struct("Settings")
            .field("classes", &classes)
            .field("tenants", &tenants)
            .field("kinds", &kinds)
            .field("peers", &settings.peers)
            .field("index", &settings.gateway_index)
            .field("zone", &settings.zone)
            .field("tick", &settings.tick)
            .field("discovery", &Bare(discovery_name(settings.discovery)))
            .field("note_period", &settings.progress_interval)
            .field("largest_share", &settings.largest_share)
            .field("max_attempts", &settings.max_attempts)
            .field("may_cancel", &settings.may_cancel)
            .field("may_duplicate", &settings.may_hedge)
            .field("may_probe", &settings.may_probe)
            .field("counts_by_probe", &settings.counts_by_probe)
            .field("may_advise", &settings.may_send_retry_after)
            .field("max_advice", &settings.max_retry_after)
            .field("fall_multiple", &settings.overload_multiple)
            .field("fall_window", &settings.overload_window)
            .field("start_capacity", &settings.start_capacity)
            .field("warm_within", &settings.warm_up_duration)
            .field("order_pause", &settings.ordering_delay)
            .field("attempt_budget", &budget)
            .field("ask_every", &settings.poll_interval)
            .field("over_share_worth", &settings.over_quota_weight)
            .field("cross_zone_tariff", &settings.cross_zone_tariff)
            .field("probe_tariff", &settings.probe_tariff)
            .finish()
    }
}

struct ClassText<'a>(&'a Class);

impl Debug for ClassText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let class = self.0;
        f.debug_struct("Class")
            .field("aim", &class.latency_objective)
            .field("aim_stretch", &class.latency_objective_per_work)
            .field("worth", &class.priority_weight)
            .field("effect", &Bare(effect_name(class.effect)))
            .field("scope", &Bare(scope_name(class.scope)))
            .field("window", &class.window)
            .field("ordered", &class.is_ordered)
            .field("zones_only", &class.zones_only)
            .field("kinds_only", &class.kinds_only)
            .field("threads", &class.threads)
            .field("is_load", &class.is_load)
            .field("waits_for_load", &class.waits_for_load)
            .finish()
    }
}

struct TenantText<'a>(&'a Tenant);

impl Debug for TenantText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenant")
            .field("quota_per_s", &self.0.quota_per_s)
            .finish()
    }
}

struct KindText<'a>(&'a MachineKind);

impl Debug for KindText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let kind = self.0;
        f.debug_struct("Kind")
            .field("cores", &kind.cores)
            .field("memory_mb", &kind.memory_mb)
            .finish()
    }
}

struct BudgetText<'a>(&'a RetryBudgetSettings);

impl Debug for BudgetText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let budget = self.0;
        f.debug_struct("AttemptBudget")
            .field("span", &budget.span)
            .field("ratio", &budget.ratio)
            .field("spare", &budget.spare)
            .finish()
    }
}
