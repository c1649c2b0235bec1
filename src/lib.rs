//! eideryard: a workload manager in front of analytic engines.
//!
//! [`balancer::Balancer`] makes every decision; [`interface`] holds the types that go in and out of
//! it. The other modules hold state and decide nothing.

pub mod balancer;
mod engine_state;
mod engine_table;
mod hash;
pub mod interface;
mod request_state;
mod traffic;
