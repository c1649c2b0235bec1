//! A terminal console for event logs: shows the fleet at present, or at any time that the logs
//! cover.
//!
//! [`model`] owns the state of the console and handles keys, independently of a terminal. [`draw`]
//! draws a model on a screen of at least 80 by 24 characters. [`run()`] connects both to a terminal
//! and to the logs; the command line calls it.
//!
//! # Example
//!
//! ```
//! use eideryard_console::model::{Command, Key, Model, Page};
//! use eideryard_event_analysis::View;
//!
//! let view = View::new();
//! let mut model = Model::new();
//! assert_eq!(model.on_key(Key::NextPage, &view), Command::Nothing);
//! assert_eq!(model.page, Page::Classes);
//! assert_eq!(model.on_key(Key::Quit, &view), Command::Quit);
//! ```

pub mod draw;
pub mod model;
mod run;

pub use run::{run, ConsoleError};
