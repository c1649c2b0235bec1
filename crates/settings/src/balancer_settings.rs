//! Reads the balancer's settings by their keys in the operators' configuration.

use eideryard::interface::{
    Class, Discovery, Effect, MachineKind, RetryBudgetSettings, Scope, Settings, Tenant,
};

use crate::{SettingsError, SettingsTree};

/// Reads the balancer's settings. A missing key disables the feature that it configures, or removes
/// the limit that it sets.
///
/// # Errors
///
/// Names the first key whose value is invalid.
pub fn read_settings(tree: &SettingsTree) -> Result<Settings, SettingsError> {
    let retry_budget = read_retry_budget(tree)?;
    Ok(Settings {
        classes: read_classes(tree)?,
        tenants: read_tenants(tree)?,
        kinds: read_kinds(tree)?,
        peers: tree.number_or("peers-total", 1.0)?,
        gateway_index: tree.optional("self-index")?,
        zone: tree.number_or("az", 0)?,
        tick: tree.number_or("tick-us", 1_000)?,
        discovery: read_discovery(tree),
        progress_interval: tree.number_or("extra.note-period-us", 0)?,
        largest_share: tree.number_or("extra.largest-share", 1.0)?,
        max_attempts: tree.number_or("limits.max-attempts", usize::MAX)?,
        may_cancel: tree.flag("limits.may-cancel")?,
        may_hedge: tree.flag("limits.may-duplicate")?,
        may_probe: tree.flag("limits.probes")?,
        counts_by_probe: counts_by_probe(tree),
        may_send_retry_after: tree.flag("limits.retry-after")?,
        max_retry_after: tree.number_or("limits.max-retry-after-us", 0)?,
        overload_multiple: tree.number_or("rules.fall-multiple", f64::INFINITY)?,
        overload_window: tree.number_or("rules.fall-us", 0)?,
        start_capacity: tree.number_or("rules.start-capacity", 1.0)?,
        warm_up_duration: tree.number_or("rules.warm-within-us", 0)?,
        ordering_delay: tree.number_or("rules.order-pause-us", 0)?,
        retry_budget,
        poll_interval: tree.number_or("rules.ask-every-us", 0)?,
        over_quota_weight: tree.number_or("over-share-worth", 1.0)?,
        cross_zone_tariff: tree.number_or("tariffs.cross-zone", 0.0)?,
        probe_tariff: tree.number_or("tariffs.probe", 0.0)?,
    })
}

fn read_discovery(tree: &SettingsTree) -> Discovery {
    match tree.text("discovery") {
        Some("ask") => Discovery::Poll,
        _ => Discovery::Push,
    }
}

/// Returns whether engines report the number of queries in flight only in answers to probes.
fn counts_by_probe(tree: &SettingsTree) -> bool {
    tree.text("report.source") == Some("on_probe")
        && tree.list("report.fields").contains(&"concurrent")
}

fn read_retry_budget(tree: &SettingsTree) -> Result<Option<RetryBudgetSettings>, SettingsError> {
    let Some(ratio) = tree.optional::<f64>("rules.further-ratio")? else {
        return Ok(None);
    };
    Ok(Some(RetryBudgetSettings {
        span: tree.number_or("rules.ratio-span-us", 0)?,
        ratio,
        spare: tree.number_or("rules.spare-attempts", 0.0)?,
    }))
}

fn read_classes(tree: &SettingsTree) -> Result<Vec<Class>, SettingsError> {
    let count = tree.number_or("grades.count", 0usize)?;
    (0..count).map(|index| read_class(tree, index)).collect()
}

fn read_class(tree: &SettingsTree, index: usize) -> Result<Class, SettingsError> {
    let path = |name: &str| format!("grades.{index}.{name}");
    let deadline = tree.number_or(&path("deadline-us"), 0)?;
    Ok(Class {
        latency_objective: tree.number_or(&path("aim-us"), deadline)?,
        latency_objective_per_work: tree.number_or(&path("aim-stretch"), 0.0)?,
        priority_weight: tree.number_or(&path("value"), 1.0)?,
        effect: read_effect(tree, &path("repeat")),
        scope: read_scope(tree, &path("group")),
        window: tree.number_or(&path("window-us"), 0)?,
        is_ordered: tree.flag(&path("sequential"))?,
        zones_only: tree.indexes(&path("zones-only"), "zones")?,
        kinds_only: tree.indexes(&path("kinds-only"), "kinds")?,
        threads: tree.item("extra.threads-by-class", index)?.unwrap_or(1.0),
        is_load: tree.item_flag("extra.is-load", index)?,
        waits_for_load: tree.item_flag("extra.class-waits", index)?,
    })
}

fn read_effect(tree: &SettingsTree, path: &str) -> Effect {
    match tree.text(path) {
        Some("pure") => Effect::Idempotent,
        Some("token") => Effect::IdempotentWithKey,
        _ => Effect::NonIdempotent,
    }
}

fn read_scope(tree: &SettingsTree, path: &str) -> Scope {
    match tree.text(path) {
        Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        _ => Scope::Cell,
    }
}

fn read_tenants(tree: &SettingsTree) -> Result<Vec<Tenant>, SettingsError> {
    let count = tree.number_or("orgs.count", 0usize)?;
    let read_tenant = |index| {
        let path = format!("orgs.{index}.quota-rps");
        let quota_per_s = tree.number_or(&path, f64::INFINITY)?;
        Ok(Tenant { quota_per_s })
    };
    (0..count).map(read_tenant).collect()
}

/// Reads the machine kinds. If the settings name none, returns one kind with one core and unlimited
/// memory.
fn read_kinds(tree: &SettingsTree) -> Result<Vec<MachineKind>, SettingsError> {
    let count = tree.list("kinds").len().max(1);
    let read_kind = |index| {
        let cores = tree.item("extra.kind-cores", index)?;
        let memory_mb = tree.item("extra.kind-memory-mb", index)?;
        Ok(MachineKind {
            cores: cores.unwrap_or(1.0),
            memory_mb: memory_mb.unwrap_or(f64::INFINITY),
        })
    };
    (0..count).map(read_kind).collect()
}
