//! A line-based configuration syntax: `directive value...`, blocks in braces, comments after `#`,
//! and `include FILE`.
//!
//! [`grammar`] splits text into statements, [`mod@include`] inserts included files, [`value`]
//! parses single values with their units, [`table`] checks statements against a table of directives
//! and returns typed settings, and [`mod@reference`] renders a table as Markdown. The operator's
//! file and the scenarios of the emulators are defined by such tables. The caller provides the
//! function that reads included files.
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

/// Parses a text and the files that it includes, and checks them against a table.
///
/// # Errors
///
/// Returns the location of the first syntax error or invalid setting, with the remedy.
pub fn read(
    file: &str,
    text: &str,
    table: &'static [Directive],
    open: &OpenInclude,
) -> Result<Vec<Setting>, ConfigError> {
    let statements = include::parse_with_includes(file, text, open)?;
    table::check(&statements, table)
}
