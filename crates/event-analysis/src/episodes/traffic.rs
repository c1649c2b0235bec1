//! Detects refusals, retries, floods of requests and latencies that are far above the baseline.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

use eideryard::interface::Micros;

use super::baseline::Baseline;
use super::episode_list::EpisodeList;
use super::window::{SecondSums, Window, WindowSums};
use super::{EpisodeKind, MAX_ADDRESSES};

/// Refusals, retries and request rates are a symptom above this multiple of the baseline.
const MIN_MULTIPLE: f64 = 3.0;
/// Minimum number of refusals or retries in a window for a symptom.
const MIN_COUNT: u32 = 8;
/// Refusals or retries are a symptom only above this share of all answers or attempts.
const MIN_SHARE: f64 = 0.05;
/// Latency is a symptom above this multiple of the baseline plus [`LATENCY_MARGIN_MS`].
const LATENCY_MULTIPLE: f64 = 2.0;
/// Margin that is added to the multiple of the baseline, so that small changes of a low latency are
/// not a symptom.
const LATENCY_MARGIN_MS: f64 = 100.0;
/// Percentile of latency that is compared with the baseline.
const LATENCY_PERCENTILE: f64 = 0.9;
/// Minimum number of latencies in a window for a comparison.
const MIN_LATENCIES: u32 = 10;
/// Minimum rate of a flood in requests a second.
const MIN_FLOOD_RATE: f64 = 20.0;
/// Minimum size of a flood as a fraction of all requests.
const MIN_FLOOD_SHARE: f64 = 0.4;

/// Compares the traffic of all gateways with its baselines, once a second.
#[derive(Default)]
pub(super) struct Traffic {
    second: SecondSums,
    window: Window,
    refusals: Baseline,
    retries: Baseline,
    tenants: BTreeMap<usize, Baseline>,
    addresses: HashMap<IpAddr, Baseline>,
    latency: BTreeMap<usize, Baseline>,
    /// Number of evaluated windows in which requests were received.
    seconds_with_traffic: u32,
}

impl Traffic {
    /// Returns the sums of the current second.
    pub fn second_mut(&mut self) -> &mut SecondSums {
        &mut self.second
    }

    /// Returns whether no request was received or ended in the last window.
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

    /// Compares the window that ends at `window_end` with the baselines. Values that are not a
    /// symptom are added to their baseline.
    pub fn evaluate(&mut self, window_end: Micros, episodes: &mut EpisodeList) {
        let sums = self.window.sums();
        evaluate_share(
            &mut self.refusals,
            EpisodeKind::Refusals,
            Share {
                count: sums.refused,
                total: sums.ended,
            },
            window_end,
            episodes,
        );
        evaluate_share(
            &mut self.retries,
            EpisodeKind::Retries,
            Share {
                count: sums.retries,
                total: sums.sent,
            },
            window_end,
            episodes,
        );
        let has_tenant_flood = self.evaluate_tenants(&sums, window_end, episodes);
        self.evaluate_addresses(&sums, has_tenant_flood, window_end, episodes);
        self.evaluate_latency(&sums, window_end, episodes);
        if sums.received > 0 {
            self.seconds_with_traffic = self.seconds_with_traffic.saturating_add(1);
        }
    }

    /// Detects floods from single tenants. Returns whether there is one.
    fn evaluate_tenants(
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
            let new_baseline = Baseline::of_new(self.seconds_with_traffic);
            let baseline = self.tenants.entry(tenant).or_insert(new_baseline);
            let Some(usual) = baseline_if_flood(baseline, count, sums) else {
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

    /// Detects floods from single client addresses. None is reported during a
    /// flood from a tenant, so that the same flood is not reported twice.
    fn evaluate_addresses(
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
            let new_baseline = Baseline::of_new(self.seconds_with_traffic);
            let baseline = self.addresses.entry(*address).or_insert(new_baseline);
            match baseline_if_flood(baseline, *count, sums) {
                None => baseline.add(rate),
                Some(_) if has_tenant_flood => {}
                Some(usual) => {
                    let kind = EpisodeKind::AddressFlood(*address);
                    episodes.add_symptom(kind, window_end, rate, usual);
                }
            }
        }
    }

    /// Detects classes that are slower than usual.
    fn evaluate_latency(
        &mut self,
        sums: &WindowSums,
        window_end: Micros,
        episodes: &mut EpisodeList,
    ) {
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

/// A count as a fraction of a total.
#[derive(Clone, Copy)]
struct Share {
    count: u32,
    total: u32,
}

/// Adds a symptom if a share is far above its baseline, or else adds the share to the baseline.
fn evaluate_share(
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

/// Returns the baseline of a tenant or address if its request rate is a flood compared with it.
fn baseline_if_flood(baseline: &Baseline, count: u32, sums: &WindowSums) -> Option<f64> {
    let usual = baseline.mean()?;
    let rate = f64::from(count) / sums.seconds;
    let is_flood = rate >= MIN_FLOOD_RATE
        && rate > MIN_MULTIPLE * usual
        && f64::from(count) >= MIN_FLOOD_SHARE * f64::from(sums.received);
    is_flood.then_some(usual)
}
