//! The report of an incident: one HTML page that loads no other files.
//!
//! [`summary`] describes in sentences what the analysis found, [`plot`] draws SVG plots,
//! [`mod@page`] builds the page from both, and [`format`](mod@format) formats times and numbers.
//! Totals come from the tallies in the event logs, so they equal the gateways' counters. The
//! crate has no state; the command line writes the page to a file, and the console shows parts of
//! the summary.
//!
//! # Example
//!
//! ```
//! use eideryard_event_analysis::View;
//!
//! let page = eideryard_report::page(&View::new());
//! assert!(page.contains("No incident was found"));
//! ```

pub mod format;
pub mod page;
pub mod plot;
pub mod summary;

pub use page::page;
