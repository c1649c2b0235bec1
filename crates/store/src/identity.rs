//! The identity file, which tells a directory from a copy of it: it holds its own file's birth.

use std::io;

use crate::files::Files;

/// Name of the identity file.
const IDENTITY_FILE: &str = "IDENTITY";
/// Bytes of the numbers before the checksum.
const CHECKED_BYTES: usize = 24;

/// Identity of a store's incarnation.
#[derive(Clone, Copy)]
pub(crate) struct Identity {
    /// Random, drawn when the incarnation began.
    pub id: u64,
    /// Begin of the incarnation, in Unix milliseconds.
    pub since_ms: u64,
}

/// Reads the identity of a directory, if the file was written in this directory and is whole.
pub(crate) fn read(files: &mut dyn Files, names: &[String]) -> io::Result<Option<Identity>> {
    if !names.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let bytes = files.read(IDENTITY_FILE)?;
    let number = |at: usize| {
        let number = bytes.get(at..at + 8).and_then(|part| part.try_into().ok());
        number.map(u64::from_le_bytes)
    };
    let (Some(id), Some(since_ms), Some(birth), Some(checksum)) =
        (number(0), number(8), number(16), number(CHECKED_BYTES))
    else {
        return Ok(None);
    };
    // Where the system does not report births, a copy can't be told from its original.
    let is_original = files.birth(IDENTITY_FILE)?.is_none_or(|now| now == birth);
    let is_whole = u64::from(crc32fast::hash(&bytes[..CHECKED_BYTES])) == checksum;
    if is_original && is_whole {
        Ok(Some(Identity { id, since_ms }))
    } else {
        Ok(None)
    }
}

/// Writes a new identity file in place of the one that is there.
pub(crate) fn write(files: &mut dyn Files, names: &[String], identity: Identity) -> io::Result<()> {
    if names.iter().any(|name| name == IDENTITY_FILE) {
        files.remove(IDENTITY_FILE)?;
    }
    let mut file = files.create(IDENTITY_FILE)?;
    let birth = files.birth(IDENTITY_FILE)?.unwrap_or(0);
    let numbers = [identity.id, identity.since_ms, birth];
    let mut bytes = numbers.map(u64::to_le_bytes).concat();
    let checksum = u64::from(crc32fast::hash(&bytes));
    bytes.extend_from_slice(&checksum.to_le_bytes());
    file.append(&bytes)?;
    file.sync()?;
    files.sync_directory()
}
