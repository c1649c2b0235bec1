//! Measures how the cost of a fleet grows with its size, and predicts the cost of sizes that were
//! not measured.
//!
//! *Hollow* gateways run the production libraries ([`decisions`], [`discovery`], [`replication`])
//! in this process, without sockets. What they leave out (kernel, buffers, connections) is measured
//! on *real* processes of the program ([`processes`], [`control`], [`voters`]), and [`mixed`]
//! runs both kinds in one fleet. [`fit`] turns measurements into slopes and predictions, [`report`]
//! prints them, [`plots`] draws them, and [`checks`] compares counts with their limits.
//!
//! Bounds: [`sizes::Sizes::check`] rejects sizes that don't fit the machine before anything starts.

pub mod checks;
pub mod clients;
pub mod control;
pub mod decisions;
pub mod discovery;
pub mod discovery_server;
pub mod fit;
mod hollow_sweeps;
pub mod measure;
pub mod mixed;
pub mod node;
pub mod plots;
pub mod processes;
mod real_sweeps;
pub mod replication;
pub mod report;
pub mod run;
mod shared_sweeps;
pub mod sizes;
mod voter_sweeps;
pub mod voters;
