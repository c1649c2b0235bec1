//! The identity file of a store. It contains the random number of the store's incarnation and the
//! file's own creation ID, so that a copied directory can be distinguished from the original.

use std::io;

use crate::files::Files;

/// Name of the identity file in the store's directory.
const IDENTITY_FILE: &str = "IDENTITY";
/// Number of bytes that the checksum covers: incarnation, time of its beginning, and creation ID.
const CHECKED_BYTES: usize = 24;

/// Identifies an incarnation of a store. A new incarnation begins when writes of the previous one
/// may be missing.
#[derive(Clone, Copy)]
pub(crate) struct Identity {
    /// Random number that was drawn when the incarnation began.
    pub id: u64,
    /// Time at which the incarnation began, in Unix milliseconds.
    pub since_ms: u64,
}

/// Reads the identity of a directory. Returns `None` if there is no identity file, if it is
/// damaged, or if it was copied from another directory.
pub(crate) fn read(files: &mut dyn Files, names: &[String]) -> io::Result<Option<Identity>> {
    if !names.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let bytes = files.read(IDENTITY_FILE)?;
    let number_at = |offset: usize| {
        let number = bytes
            .get(offset..offset + 8)
            .and_then(|part| part.try_into().ok());
        number.map(u64::from_le_bytes)
    };
    let (Some(id), Some(since_ms), Some(creation_id), Some(checksum)) = (
        number_at(0),
        number_at(8),
        number_at(16),
        number_at(CHECKED_BYTES),
    ) else {
        return Ok(None);
    };
    // If the system does not report creation IDs, a copy can't be distinguished from its original.
    let is_original = files
        .creation_id(IDENTITY_FILE)?
        .is_none_or(|current| current == creation_id);
    let is_intact = u64::from(crc32fast::hash(&bytes[..CHECKED_BYTES])) == checksum;
    if is_original && is_intact {
        Ok(Some(Identity { id, since_ms }))
    } else {
        Ok(None)
    }
}

/// Replaces the identity file, if there is one, with a new one and makes the new one durable.
pub(crate) fn write(files: &mut dyn Files, names: &[String], identity: Identity) -> io::Result<()> {
    if names.iter().any(|name| name == IDENTITY_FILE) {
        files.remove(IDENTITY_FILE)?;
    }
    let mut file = files.create(IDENTITY_FILE)?;
    let creation_id = files.creation_id(IDENTITY_FILE)?.unwrap_or(0);
    let numbers = [identity.id, identity.since_ms, creation_id];
    let mut bytes = numbers.map(u64::to_le_bytes).concat();
    let checksum = u64::from(crc32fast::hash(&bytes));
    bytes.extend_from_slice(&checksum.to_le_bytes());
    file.append(&bytes)?;
    file.sync()?;
    files.sync_directory()
}
