//! The report of an incident: one HTML page that needs nothing from elsewhere.
//!
//! [`summary`] states in sentences what the analysis found, [`plot`] draws, [`mod@page`] puts both
//! together, and [`format`](mod@format) writes times and numbers. Totals come from the logs' own
//! tallies, so that they equal the gateways' counters. The crate holds no state; the command line
//! writes the page to a file, and the console shows parts of the summary.
//!
//! # Example
//!
//! ```
//! use eideryard_event_analysis::View;
//!
//! let page = eideryard_report::page(&View::new());
//! assert!(page.contains("No trouble was found"));
//! ```

pub mod format;
pub mod page;
pub mod plot;
pub mod summary;

pub use page::page;
