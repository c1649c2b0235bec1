//! The report of an incident: one HTML page without anything from elsewhere. [`story`] says in
//! words what the folded records show, [`plot`] draws, [`mod@page`] puts both together. What is
//! counted comes from the records' tallies only, so the page's totals are the gateways' own.

#![expect(missing_docs, reason = "public items are still to be described")]

pub mod page;
pub mod plot;
pub mod story;

pub use page::page;
