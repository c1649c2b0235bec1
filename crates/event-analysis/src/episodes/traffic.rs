//! Detects refusals, retries, floods and latency that are far above what is usual.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

use eideryard::interface::Micros;

use super::baseline::Baseline;
use super::episode_list::EpisodeList;
use super::window::{SecondSums, Window, WindowSums};
use super::{EpisodeKind, MAX_ADDRESSES};

/// So many times the baseline is a symptom.
const MIN_MULTIPLE: f64 = 3.0;
/// Fewer refusals or retries in a window are none.
const MIN_COUNT: u32 = 8;
/// A smaller share of refusals or retries is none.
const MIN_SHARE: f64 = 0.05;
/// Latency is a symptom above this multiple of the baseline and this much more.
const LATENCY_MULTIPLE: f64 = 2.0;
const LATENCY_MARGIN_MS: f64 = 100.0;
/// The percentile of latency that is judged.
const LATENCY_PERCENTILE: f64 = 0.9;
/// Fewer latencies in a window prove nothing.
const MIN_LATENCIES: u32 = 10;
/// A flood has at least this many requests a second.
const MIN_FLOOD_RATE: f64 = 20.0;
/// A flood is at least this share of all requests.
const MIN_FLOOD_SHARE: f64 = 0.4;

/// Judges the traffic of all gateways second by second.
#[derive(Default)]
pub(super) struct Traffic {
    second: SecondSums,
    window: Window,
    refusals: Baseline,
    retries: Baseline,
    tenants: BTreeMap<usize, Baseline>,
    addresses: HashMap<IpAddr, Baseline>,
    latency: BTreeMap<usize, Baseline>,
    /// Seconds with requests that were judged.
    busy_seconds: u32,
}

impl Traffic {
    /// The sums of the current second.
    pub fn second_mut(&mut self) -> &mut SecondSums {
        &mut self.second
    }

    /// Whether no request was received or ended in the last window.
    pub fn is_quiet(&self) -> bool {
        self.window.is_quiet()
    }

    /// Drops the sums of the current second.
    pub fn skip_second(&mut self) {
        self.second = SecondSums::default();
    }

    /// Moves the current second into the window, which then ends at the end of that second.
    pub fn end_second(&mut self) {
        self.window.push(std::mem::take(&mut self.second));
    }

    /// Judges the window that ends now.
    pub fn judge(&mut self, window_end: Micros, episodes: &mut EpisodeList) {
        let sums = self.window.sums();
        judge_share(
            &mut self.refusals,
            EpisodeKind::Refusals,
            Share {
                count: sums.refused,
                total: sums.ended,
            },
            window_end,
            episodes,
        );
        judge_share(
            &mut self.retries,
            EpisodeKind::Retries,
            Share {
                count: sums.retries,
                total: sums.sent,
            },
            window_end,
            episodes,
        );
        let has_tenant_flood = self.judge_tenants(&sums, window_end, episodes);
        self.judge_addresses(&sums, has_tenant_flood, window_end, episodes);
        self.judge_latency(&sums, window_end, episodes);
        if sums.received > 0 {
            self.busy_seconds = self.busy_seconds.saturating_add(1);
        }
    }

    /// Returns whether a tenant floods.
    fn judge_tenants(
        &mut self,
        sums: &WindowSums,
        window_end: Micros,
        episodes: &mut EpisodeList,
    ) -> bool {
        let present = sums.tenants.keys().copied();
        let tenants: BTreeSet<usize> = present.chain(self.tenants.keys().copied()).collect();
        let mut has_flood = false;
        for tenant in tenants {
            let count = sums.tenants.get(&tenant).copied().unwrap_or(0);
            let rate = f64::from(count) / sums.seconds;
            let new = Baseline::of_new(self.busy_seconds);
            let baseline = self.tenants.entry(tenant).or_insert(new);
            let Some(usual) = flooded_baseline(baseline, count, sums) else {
                baseline.add(rate);
                continue;
            };
            has_flood = true;
            let kind = EpisodeKind::TenantFlood(tenant);
            let address = self.window.main_address(tenant, count);
            if let Some(index) = episodes.add_symptom(kind, window_end, rate, usual) {
                let episode = episodes.get_mut(index);
                episode.address = address.or(episode.address);
            }
        }
        has_flood
    }

    /// A flood that is one of a tenant is not also one of an address.
    fn judge_addresses(
        &mut self,
        sums: &WindowSums,
        has_tenant_flood: bool,
        window_end: Micros,
        episodes: &mut EpisodeList,
    ) {
        for (address, count) in &sums.addresses {
            if self.addresses.len() >= MAX_ADDRESSES && !self.addresses.contains_key(address) {
                continue;
            }
            let rate = f64::from(*count) / sums.seconds;
            let new = Baseline::of_new(self.busy_seconds);
            let baseline = self.addresses.entry(*address).or_insert(new);
            match flooded_baseline(baseline, *count, sums) {
                None => baseline.add(rate),
                Some(_) if has_tenant_flood => {}
                Some(usual) => {
                    let kind = EpisodeKind::AddressFlood(*address);
                    episodes.add_symptom(kind, window_end, rate, usual);
                }
            }
        }
    }

    fn judge_latency(&mut self, sums: &WindowSums, window_end: Micros, episodes: &mut EpisodeList) {
        for (class, sketch) in &sums.latency {
            if sketch.count() < MIN_LATENCIES {
                continue;
            }
            let Some(milliseconds) = sketch.percentile(LATENCY_PERCENTILE) else {
                continue;
            };
            let baseline = self.latency.entry(*class).or_default();
            let is_slow = |usual: &f64| milliseconds > LATENCY_MULTIPLE * usual + LATENCY_MARGIN_MS;
            match baseline.mean().filter(is_slow) {
                None => baseline.add(milliseconds),
                Some(usual) => {
                    let kind = EpisodeKind::Latency(*class);
                    episodes.add_symptom(kind, window_end, milliseconds, usual);
                }
            }
        }
    }
}

/// How many of a total.
#[derive(Clone, Copy)]
struct Share {
    count: u32,
    total: u32,
}

fn judge_share(
    baseline: &mut Baseline,
    kind: EpisodeKind,
    share: Share,
    window_end: Micros,
    episodes: &mut EpisodeList,
) {
    let value = f64::from(share.count) / f64::from(share.total.max(1));
    let usual = baseline.mean().unwrap_or(0.0);
    if share.count >= MIN_COUNT && value > (MIN_MULTIPLE * usual).max(MIN_SHARE) {
        episodes.add_symptom(kind, window_end, value, usual);
    } else if share.total > 0 {
        baseline.add(value);
    }
}

/// The baseline of a source of requests, if the source floods compared with it.
fn flooded_baseline(baseline: &Baseline, count: u32, sums: &WindowSums) -> Option<f64> {
    let usual = baseline.mean()?;
    let rate = f64::from(count) / sums.seconds;
    let is_flood = rate >= MIN_FLOOD_RATE
        && rate > MIN_MULTIPLE * usual
        && f64::from(count) >= MIN_FLOOD_SHARE * f64::from(sums.received);
    is_flood.then_some(usual)
}
