//! Stand-ins for what is round a gateway, from the protocol's words, on loopback: engines, the bulletin,
//! clients.
//!
//! [`scripted`] has single ends of connections that a test moves by hand. [`world`] plays a [`scenario`]:
//! engines that run queries side by side on a stated number of cores ([`cores`]), a bulletin, clients,
//! and troubles at stated times, the same for the same seed as far as the machine's clock allows. What
//! clients were answered and engines have done is held against the rules in [`ledger`].

pub mod bulletin;
pub mod client;
pub mod cores;
pub mod engine;
pub mod ledger;
pub mod scenario;
pub mod scripted;
pub mod world;
