//! Why the adapter ends: input that is malformed, or a stream that fails.

use std::io;

use eideryard_settings::SettingsError;
use thiserror::Error;

/// An error that ends the adapter, as one line of text.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input can't be read.
    #[error("reading standard input: {0}")]
    Read(io::Error),
    /// Standard output can't be written.
    #[error("writing standard output: {0}")]
    Write(io::Error),
    /// A line is no text.
    #[error("a line is not UTF-8 text")]
    NotUtf8,
    /// A part of a line has no name.
    #[error("{verb}: '{part}' is not name=value")]
    NotAField {
        /// First word of the line.
        verb: String,
        /// The part as written.
        part: String,
    },
    /// A part of a load report has no name.
    #[error("{verb}: '{part}' is not name:value")]
    NotAFigure {
        /// First word of the line.
        verb: String,
        /// The part as written.
        part: String,
    },
    /// A field has to be there and is not.
    #[error("{verb}: field '{name}' is missing")]
    MissingField {
        /// First word of the line.
        verb: String,
        /// Name of the field.
        name: String,
    },
    /// A field's value can't be used.
    #[error("{verb}: field '{name}' has the value '{value}', which is not valid")]
    InvalidField {
        /// First word of the line.
        verb: String,
        /// Name of the field.
        name: String,
        /// The value as written.
        value: String,
    },
    /// A field has a value that the protocol doesn't name.
    #[error("{verb}: {field} {value} is unknown")]
    UnknownValue {
        /// First word of the line.
        verb: String,
        /// What the value stands for.
        field: &'static str,
        /// The value as written.
        value: String,
    },
    /// Something else than an entry follows a list that is not whole.
    #[error("{verb}: a list still lacks entries")]
    ListNotWhole {
        /// First word of the line.
        verb: String,
    },
    /// An entry belongs to no list.
    #[error("ITEM: no list awaits an entry")]
    NoListAwaitsEntry,
    /// A list was never sent.
    #[error("MEMBERS: no list {0}")]
    UnknownList(u64),
    /// A batch begins within another one.
    #[error("FRAME: the batch before it has no GO")]
    BatchNotEnded,
    /// A line stands outside of a batch.
    #[error("{verb}: outside of a batch")]
    OutsideBatch {
        /// First word of the line.
        verb: String,
    },
    /// The input ends inside a batch.
    #[error("input ended inside batch {0}")]
    EndedInsideBatch(u64),
    /// A line is about a gateway that this process doesn't host.
    #[error("{verb}: no instance {instance}")]
    UnknownInstance {
        /// First word of the line.
        verb: String,
        /// Number of the gateway.
        instance: u64,
    },
    /// A request is of a class that the settings don't name.
    #[error("CALL: class {class} is unknown to instance {instance}")]
    UnknownClass {
        /// Number of the class.
        class: usize,
        /// Number of the gateway.
        instance: u64,
    },
    /// A gateway's settings can't be used.
    #[error("ENLIST: {0}")]
    Settings(#[from] SettingsError),
}
