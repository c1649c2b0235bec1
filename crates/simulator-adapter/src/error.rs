//! Errors that end the adapter: malformed input, or standard input or output that fails.

use std::io;

use eideryard_settings::SettingsError;
use thiserror::Error;

/// An error that ends the adapter. Its text is one line, which names the place in the input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input can't be read.
    #[error("standard input can't be read: {0}")]
    Read(io::Error),
    /// Standard output can't be written.
    #[error("standard output can't be written: {0}")]
    Write(io::Error),
    /// A line contains bytes that are not UTF-8.
    #[error("a line of standard input is not valid UTF-8")]
    InvalidUtf8,
    /// A word after the verb is not a field.
    #[error("{verb}: expected a field of the form name=value, found '{part}'")]
    MalformedField {
        /// First word of the line.
        verb: String,
        /// The malformed word, as it appears in the input.
        part: String,
    },
    /// An item of a load report is malformed.
    #[error("{verb}: expected a load figure of the form name:value, found '{part}'")]
    MalformedReportValue {
        /// First word of the line.
        verb: String,
        /// The malformed item, as it appears in the input.
        part: String,
    },
    /// A required field is missing.
    #[error("{verb}: field '{name}' is missing")]
    MissingField {
        /// First word of the line.
        verb: String,
        /// Name of the field.
        name: String,
    },
    /// The value of a field has the wrong type.
    #[error("{verb}: field '{name}' has the value '{value}', which is not valid")]
    InvalidField {
        /// First word of the line.
        verb: String,
        /// Name of the field.
        name: String,
        /// The value, as it appears in the input.
        value: String,
    },
    /// A field has a value that the protocol doesn't define.
    #[error("{verb}: {field} {value} is not defined by the protocol")]
    UnknownValue {
        /// First word of the line.
        verb: String,
        /// What the field means, for the error text.
        field: &'static str,
        /// The value, as it appears in the input.
        value: String,
    },
    /// A list is followed by a different line before all of its entries have been sent.
    #[error("{verb}: expected ITEM, since the last MANIFEST still lacks entries")]
    IncompleteList {
        /// First word of the line.
        verb: String,
    },
    /// An entry follows a list that is already complete, or no list at all.
    #[error("ITEM: no MANIFEST lacks an entry")]
    UnexpectedEntry,
    /// A line refers to a list that was never sent.
    #[error("MEMBERS: no list {0} was sent by a MANIFEST")]
    UnknownList(u64),
    /// A batch begins inside another one.
    #[error("FRAME: the previous batch has not been ended by GO")]
    BatchNotEnded,
    /// A line that belongs in a batch comes before the batch's FRAME line.
    #[error("{verb}: outside of a batch, which begins with FRAME")]
    OutsideBatch {
        /// First word of the line.
        verb: String,
    },
    /// The input ends inside a batch.
    #[error("input ended inside batch {0}, before its GO")]
    EndedInsideBatch(u64),
    /// A line refers to a gateway that this process doesn't host.
    #[error("{verb}: no instance {instance} was added by ENLIST")]
    UnknownInstance {
        /// First word of the line.
        verb: String,
        /// ID of the gateway, field `who` of the line.
        instance: u64,
    },
    /// A request has a class that the settings of its gateway don't define.
    #[error("CALL: class {class} is not in the settings of instance {instance}")]
    UnknownClass {
        /// ID of the class, field `kind` of the line.
        class: usize,
        /// ID of the gateway, field `who` of the line.
        instance: u64,
    },
    /// The settings of a gateway are invalid.
    #[error("ENLIST: {0}")]
    Settings(#[from] SettingsError),
}
