//! Stand-ins for what is round a gateway, from the protocol's words, on loopback: engines, the
//! bulletin, clients.
//!
//! [`scripted`] has single ends of connections that a test moves by hand. The others are the parts
//! of a [`scenario`], which the package `fleet-test` plays: engines that run queries side by side
//! on a stated number of cores ([`cores`]), a bulletin, clients. What clients were answered and
//! engines have done is counted in [`ledger`] and, where it is held against rules, kept in a
//! [`history`].

pub mod bulletin;
pub mod client;
pub mod cores;
pub mod engine;
pub mod golden;
pub mod history;
pub mod ledger;
pub mod reserved_address;
pub mod scenario;
pub mod scripted;
