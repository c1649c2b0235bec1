//! A terminal console over records: the fleet now, or at any time that they hold.
//!
//! [`model`] is what is shown and how keys change it, without a terminal; [`draw`] puts a model on
//! a screen of 80 by 24 or more; [`run`] joins both to a terminal and to the records.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod draw;
pub mod model;
mod run;

pub use run::{run, ConsoleError};
