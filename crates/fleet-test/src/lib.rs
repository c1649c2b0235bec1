//! Starts several gateway processes, injects faults into them and the links between them, and
//! checks the recorded history against a set of rules. A test tool: gateways don't link it.
//!
//! [`plan`] draws faults from a seed or reads them from a scenario. [`world`] plays them: each
//! gateway is a process ([`processes`]) with its own directory ([`directories`]), and every
//! connection passes a [`relay`] that [`links`] controls. [`voters`] groups the gateways that vote
//! together, [`check`] checks the history of all parts, and [`minimize`] removes the faults that
//! are not needed to break a rule. These three and [`plan`] do no I/O. [`run`] combines them.
//! [`simulated`] runs the program's replication core for hundreds of gateways in virtual time, and
//! [`owned`] its lease core with tasks and owners; both use one [`timeline`]. [`scale`] measures
//! how costs grow with the size of the fleet.
//!
//! Bounds: the command line starts at most 12 gateways, `eideryard_emulators::history` limits the
//! length of the history, and [`relay`] the bytes in flight on a link.

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
