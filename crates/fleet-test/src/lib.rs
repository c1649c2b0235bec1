//! Starts several processes of the program, puts faults between them, and holds all that happened
//! against the rules. No part of the program.
//!
//! [`plan`] draws faults from a seed, or takes a scenario's; [`world`] plays them: gateways as
//! [`processes`] in [`directories`] of their own, every connection through a [`relay`] of
//! [`links`]. [`voters`] tells which gateways vote together, [`check`] judges the history of all
//! sides, and [`minimize`] drops the faults that a break does not need; all are pure, as [`plan`]
//! is. [`run`] joins them. [`simulated`] is a fleet of hundreds in virtual time, with the program's
//! own cores, [`owned`] the same for tasks and their owners, both on one [`timeline`]. [`scale`]
//! measures how costs grow with a fleet's size.
//!
//! Bounds: 12 gateways by default are the most that are started, the history is bounded in
//! `eideryard_emulators::history`, and what a link holds in [`relay`].

pub mod check;
pub mod classes;
pub mod cold_sum;
pub mod config;
pub mod directories;
pub mod links;
pub mod minimize;
pub mod owned;
pub mod plan;
pub mod processes;
pub mod relay;
pub mod run;
pub mod scale;
pub mod simulated;
pub mod stall;
pub mod timeline;
pub mod voters;
pub mod world;
