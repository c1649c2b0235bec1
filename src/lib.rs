//! eideryard: a workload manager in front of analytic engines.
//!
//! [`balancer::Balancer`] makes every decision. [`interface`] defines the types of its input and
//! output. The other modules only store state for the balancer.

pub mod balancer;
mod engine_state;
mod engine_table;
mod hash;
pub mod interface;
mod request_state;
mod traffic;
