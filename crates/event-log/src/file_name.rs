//! Names of segment files: `NAME.START.NUMBER.eyr`. They sort by gateway, start time and number.

use std::path::Path;

use eideryard::interface::Micros;

const EXTENSION: &str = "eyr";

/// The parts of a segment file's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentName {
    /// The gateway's name. Characters other than ASCII letters, digits, `_` and `-` are replaced by
    /// `_`.
    pub gateway: String,
    /// When the gateway started, in microseconds since the Unix epoch.
    pub epoch: Micros,
    /// The segment's number within this run of the gateway, from 1.
    pub segment: u64,
}

/// Builds the name of a segment's file.
pub fn file_name(gateway: &str, epoch: Micros, segment: u64) -> String {
    let gateway = file_name_prefix(gateway);
    format!("{gateway}.{epoch:016x}.{segment:08}.{EXTENSION}")
}

/// Returns the part of a gateway's file names before the first dot, equal in all of them.
pub(crate) fn file_name_prefix(gateway: &str) -> String {
    let replace = |character: char| {
        if character.is_ascii_alphanumeric() || character == '_' || character == '-' {
            character
        } else {
            '_'
        }
    };
    gateway.chars().map(replace).collect()
}

/// Parses a file's name; `None` if it isn't the name of a segment.
pub fn parse_file_name(path: &Path) -> Option<SegmentName> {
    let mut parts = path.file_name()?.to_str()?.split('.');
    let gateway = parts.next()?;
    let epoch = parts.next()?;
    let segment = parts.next()?;
    if parts.next() != Some(EXTENSION) || parts.next().is_some() {
        return None;
    }
    Some(SegmentName {
        gateway: gateway.to_string(),
        epoch: u64::from_str_radix(epoch, 16).ok()?,
        segment: segment.parse().ok()?,
    })
}
