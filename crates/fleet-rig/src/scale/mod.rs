//! Measures how the cost of a fleet grows with its size, and predicts the size that was not played.
//!
//! *Hollow* nodes run the cores that ship ([`decisions`], [`discovery`], [`replication`]) in this process,
//! without sockets. What they leave out (kernel, buffers, connections) is measured on *real* processes of the
//! program ([`processes`]). [`fit`] turns measurements into slopes and predictions, [`report`] prints them,
//! [`plots`] draws them, [`checks`] holds counts against what they must keep.
//!
//! Bounds: [`sizes::Sizes::check`] turns away what doesn't fit the machine before anything starts.

#![warn(missing_docs)]

pub mod checks;
pub mod decisions;
pub mod discovery;
pub mod fit;
pub mod measure;
pub mod plots;
pub mod processes;
pub mod replication;
pub mod report;
pub mod run;
pub mod sizes;
