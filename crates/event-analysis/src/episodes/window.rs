//! Sums over single seconds, and over the sliding window of the last [`WINDOW_SECONDS`].

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;

use eideryard::interface::Micros;
use eideryard_event_log::AnswerKind;

use super::{MAX_ADDRESSES, WINDOW_SECONDS};
use crate::series::LatencySketch;

/// Sums over one second and all gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct SecondSums {
    received: u32,
    ended: u32,
    refused: u32,
    sent: u32,
    retries: u32,
    tenants: BTreeMap<usize, u32>,
    addresses: HashMap<IpAddr, u32>,
    /// Number of requests by tenant and client address.
    tenant_addresses: HashMap<(usize, IpAddr), u32>,
    latency: BTreeMap<usize, LatencySketch>,
}

impl SecondSums {
    pub fn add_received(&mut self, tenant: usize, address: Option<IpAddr>) {
        self.received += 1;
        *self.tenants.entry(tenant).or_default() += 1;
        let Some(address) = address else { return };
        if self.tenant_addresses.len() < MAX_ADDRESSES {
            *self.addresses.entry(address).or_default() += 1;
            *self.tenant_addresses.entry((tenant, address)).or_default() += 1;
        }
    }

    pub fn add_ended(&mut self, class: usize, kind: AnswerKind, duration: Option<Micros>) {
        self.ended += 1;
        match (kind, duration) {
            (AnswerKind::Refused, _) => self.refused += 1,
            (AnswerKind::Served, Some(duration)) => {
                self.latency.entry(class).or_default().add(duration);
            }
            _ => {}
        }
    }

    pub fn add_refused(&mut self) {
        self.ended += 1;
        self.refused += 1;
    }

    pub fn add_sent(&mut self, is_retry: bool) {
        self.sent += 1;
        self.retries += u32::from(is_retry);
    }
}

/// The sums for each of the last [`WINDOW_SECONDS`] seconds.
#[derive(Default)]
pub(super) struct Window {
    seconds: VecDeque<SecondSums>,
}

/// Sums over all seconds of a window.
#[derive(Default)]
pub(super) struct WindowSums {
    pub seconds: f64,
    pub received: u32,
    pub ended: u32,
    pub refused: u32,
    pub sent: u32,
    pub retries: u32,
    pub tenants: BTreeMap<usize, u32>,
    pub addresses: HashMap<IpAddr, u32>,
    pub latency: BTreeMap<usize, LatencySketch>,
}

impl Window {
    pub fn push(&mut self, second: SecondSums) {
        self.seconds.push_back(second);
        if self.seconds.len() > WINDOW_SECONDS {
            self.seconds.pop_front();
        }
    }

    /// Returns whether no request was received or ended within the window.
    pub fn is_quiet(&self) -> bool {
        self.seconds
            .iter()
            .all(|second| second.received + second.ended == 0)
    }

    pub fn sums(&self) -> WindowSums {
        let mut sums = WindowSums {
            seconds: self.seconds.len() as f64,
            ..WindowSums::default()
        };
        for second in &self.seconds {
            sums.received += second.received;
            sums.ended += second.ended;
            sums.refused += second.refused;
            sums.sent += second.sent;
            sums.retries += second.retries;
            for (tenant, count) in &second.tenants {
                *sums.tenants.entry(*tenant).or_default() += count;
            }
            for (address, count) in &second.addresses {
                *sums.addresses.entry(*address).or_default() += count;
            }
            for (class, sketch) in &second.latency {
                sums.latency.entry(*class).or_default().merge(sketch);
            }
        }
        sums
    }

    /// Returns the address that at least half of a tenant's `count` requests came from, if any.
    pub fn main_address(&self, tenant: usize, count: u32) -> Option<IpAddr> {
        let mut counts: BTreeMap<IpAddr, u32> = BTreeMap::new();
        for second in &self.seconds {
            for ((of_tenant, address), requests) in &second.tenant_addresses {
                if *of_tenant == tenant {
                    *counts.entry(*address).or_default() += requests;
                }
            }
        }
        let mut addresses = counts.into_iter();
        let main = addresses.find(|(_, requests)| 2 * requests >= count);
        main.map(|(address, _)| address)
    }
}
