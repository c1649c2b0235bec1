//! Measures how the cost of a fleet grows with its size, and predicts the size that was not played.
//!
//! *Hollow* nodes run the cores that ship ([`decisions`], [`discovery`], [`replication`]) in this
//! process, without sockets. What they leave out (kernel, buffers, connections) is measured on
//! *real* processes of the program ([`processes`], [`control`], [`voters`]), and [`together`] puts
//! both into one fleet. [`fit`] turns measurements into slopes and predictions, [`report`] prints
//! them, [`plots`] draws them, [`checks`] holds counts against what they must keep.
//!
//! Bounds: [`sizes::Sizes::check`] turns away what doesn't fit the machine before anything starts.

pub mod checks;
pub mod clients;
pub mod control;
pub mod decisions;
pub mod discovery;
pub mod discovery_server;
pub mod fit;
mod hollow_sweeps;
pub mod measure;
pub mod node;
pub mod plots;
pub mod processes;
mod real_sweeps;
pub mod replication;
pub mod report;
pub mod run;
mod shared_sweeps;
pub mod sizes;
pub mod together;
mod voter_sweeps;
pub mod voters;
