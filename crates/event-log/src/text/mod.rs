//! Formats entries as text for `eideryard records dump` and `eideryard records find`. Users search
//! this text, so its names are a stable interface. They are written here as strings and don't
//! follow the names of types and fields.

mod action;
mod event;
mod fleet;
mod host;
mod names;

use std::fmt::{self, Debug, Display, Formatter};

use crate::entry::EntryRef;

use action::ActionText;
use event::EventText;
use host::HostText;
pub use names::{outcome_name, phase_name};

/// Displays an entry on one line: its origin (`in` and `out` for events and actions of the decision
/// module, `host` for other events of the gateway) and its content.
pub struct EntryText<'a>(pub EntryRef<'a>);

impl Display for EntryText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            EntryRef::Event(event) => write!(f, "in {:?}", EventText(event)),
            EntryRef::Action(action) => write!(f, "out {:?}", ActionText(action)),
            EntryRef::Host(event) => write!(f, "host {:?}", HostText(event)),
        }
    }
}

/// A name whose `Debug` output has no quotes.
struct Bare(&'static str);

impl Debug for Bare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Formats a variant with fields as `NAME { FIELD: VALUE }`, with names that differ from Rust's.
fn write_struct(f: &mut Formatter<'_>, name: &str, fields: &[(&str, &dyn Debug)]) -> fmt::Result {
    let mut text = f.debug_struct(name);
    for (field, value) in fields {
        text.field(field, value);
    }
    text.finish()
}

/// Formats a variant with one unnamed field as `NAME(VALUE)`.
fn write_tuple(f: &mut Formatter<'_>, name: &str, value: &dyn Debug) -> fmt::Result {
    f.debug_tuple(name).field(value).finish()
}
