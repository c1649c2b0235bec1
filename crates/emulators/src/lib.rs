//! Emulators of the systems around a gateway, which speak its protocols on loopback: engines, the
//! bulletin (service discovery), clients.
//!
//! [`scripted`] contains single connections that a test controls step by step. The other modules
//! are the parts of a [`scenario`], which the package `fleet-test` plays: engines that run queries
//! concurrently on a given number of cores ([`cores`]), a bulletin, and clients. The answers to
//! clients and the work of engines are counted in a [`ledger`] and, if they are to be checked
//! afterwards, recorded in a [`history`].

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
