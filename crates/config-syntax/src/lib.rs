//! Line-based settings: `directive value...`, blocks in braces, comments behind `#`, `include
//! FILE`.
//!
//! [`grammar`] splits text into statements, [`mod@include`] follows included files, [`value`] reads
//! single values with their units, [`table`] checks statements against a table of directives and
//! gives typed settings, and [`mod@reference`] makes a page of a table. The operator's file and the
//! scenarios of the emulators are two such tables. Files are read by a function of the caller;
//! nothing is kept.
//!
//! ```
//! use eideryard_config_syntax::{open_include_file, read, Directive, ValueKind};
//!
//! const TABLE: &[Directive] = &[Directive::new(
//!     "budget",
//!     &[ValueKind::Size { least: 0, most: 1 << 30 }],
//!     "64MB",
//!     "Bytes at most.",
//! )];
//! let settings = read("example.conf", "budget 16MB", TABLE, &open_include_file)?;
//! assert_eq!(settings[0].values[0].number(), 16 << 20);
//! # Ok::<(), eideryard_config_syntax::ConfigError>(())
//! ```

pub mod error;
pub mod grammar;
pub mod include;
pub mod reference;
pub mod table;
pub mod value;

pub use error::{ConfigError, Location};
pub use include::{open_include_file, OpenInclude};
pub use reference::reference;
pub use table::{Directive, Setting};
pub use value::{Value, ValueKind};

/// Reads a text and all that it includes, and checks it against a table.
///
/// # Errors
///
/// The first place that can't be used, with the remedy.
pub fn read(
    file: &str,
    text: &str,
    table: &'static [Directive],
    open: &OpenInclude,
) -> Result<Vec<Setting>, ConfigError> {
    let statements = include::parse_with_includes(file, text, open)?;
    table::check(&statements, table)
}
