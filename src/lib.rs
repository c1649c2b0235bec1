//! eideryard: a workload manager in front of analytic engines.
//!
//! [`balancer::Balancer`] makes every decision; [`interface`] holds the types that go in and out of
//! it.

pub mod balancer;
mod engines;
pub mod interface;
mod state;
