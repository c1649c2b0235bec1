//! Names of segment files: `NAME.START.NUMBER.eyr`. They sort by gateway, start and number.

use std::path::Path;

use eideryard::interface::Micros;

const EXTENSION: &str = "eyr";

/// What the name of a segment file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentName {
    /// The gateway's name; characters that file names don't take are replaced.
    pub gateway: String,
    /// When the gateway started.
    pub epoch: Micros,
    /// The segment's number.
    pub segment: u64,
}

/// The name of a segment's file.
pub fn file_name(gateway: &str, epoch: Micros, segment: u64) -> String {
    let gateway = file_name_prefix(gateway);
    format!("{gateway}.{epoch:016x}.{segment:08}.{EXTENSION}")
}

/// What all file names of a gateway begin with, up to the first dot.
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

/// What a file's name says, if it is a segment's.
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
