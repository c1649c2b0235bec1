//! Handshakes: what both ends of a link send first, and why a peer is rejected. No I/O.

use serde::{Deserialize, Serialize};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Version of the frames and of all that they carry. Gateways of different versions reject each
/// other.
pub const VERSION: u32 = 1;

/// How a gateway introduces itself. The order of fields is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`VERSION`] of the sender.
    pub version: u32,
    /// Name of its fleet.
    pub fleet: String,
    /// Its own name.
    pub name: String,
    /// Names of the fleet's voters in its operator's file, in the order of their names.
    pub voters: Vec<String>,
    /// Fingerprint of its request classes, since replicas refer to a class by its number.
    pub classes_fingerprint: u64,
    /// Identity of its store.
    pub identity: u64,
    /// How often a gateway was started with this store.
    pub start_number: u64,
}

/// Identity and start number under which a name was last accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownStart {
    /// Identity of the peer's store.
    pub identity: u64,
    /// The peer's start number.
    pub start_number: u64,
}

/// Why a peer is rejected. Its text is sent to the peer and logged at both ends.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HandshakeError {
    /// The versions differ.
    #[error("one speaks version {theirs}, the other {ours}: run the same program on both")]
    Version {
        /// This gateway's version.
        ours: u32,
        /// The peer's version.
        theirs: u32,
    },
    /// The fleets differ.
    #[error("one is of fleet '{theirs}', the other of '{ours}': see 'fleet' in both files")]
    Fleet {
        /// This gateway's fleet.
        ours: String,
        /// The peer's fleet.
        theirs: String,
    },
    /// Another gateway than the dialed voter answers.
    #[error("'{theirs}' answers at the address of keeper '{expected}': see its 'keeper' line")]
    Name {
        /// Name of the voter that was dialed.
        expected: String,
        /// Name of the gateway that answers.
        theirs: String,
    },
    /// Both have the same name.
    #[error("both call themselves '{0}': each gateway of a fleet needs a name of its own")]
    SameName(String),
    /// The lists of voters differ.
    #[error(
        "the files name different keepers, {} and {}: they must be the same in all of a fleet's",
        theirs.join(" "),
        ours.join(" ")
    )]
    Voters {
        /// This gateway's list.
        ours: Vec<String>,
        /// The peer's list.
        theirs: Vec<String>,
    },
    /// The request classes differ.
    #[error("their settings name different classes: a fleet's gateways need the same settings")]
    Classes,
    /// A later start of the peer's store was accepted before.
    #[error(
        "'{name}' says that this is its start {start_number}, but start {known} was heard: \
         an old copy or a second process"
    )]
    OutdatedStart {
        /// Name of the peer.
        name: String,
        /// The peer's start number.
        start_number: u64,
        /// The latest start number that was accepted.
        known: u64,
    },
}

/// Decides whether a peer is accepted.
///
/// `expected_name` is the name of the voter if this gateway dialed one; `known_start` is under what
/// the peer's name was last accepted.
pub fn check_handshake(
    ours: &Handshake,
    theirs: &Handshake,
    expected_name: Option<&str>,
    known_start: Option<KnownStart>,
) -> Result<(), HandshakeError> {
    if ours.version != theirs.version {
        return Err(HandshakeError::Version {
            ours: ours.version,
            theirs: theirs.version,
        });
    }
    if ours.fleet != theirs.fleet {
        return Err(HandshakeError::Fleet {
            ours: ours.fleet.clone(),
            theirs: theirs.fleet.clone(),
        });
    }
    if let Some(expected) = expected_name.filter(|expected| *expected != theirs.name) {
        return Err(HandshakeError::Name {
            expected: expected.into(),
            theirs: theirs.name.clone(),
        });
    }
    if ours.name == theirs.name {
        return Err(HandshakeError::SameName(ours.name.clone()));
    }
    if ours.voters != theirs.voters {
        return Err(HandshakeError::Voters {
            ours: ours.voters.clone(),
            theirs: theirs.voters.clone(),
        });
    }
    if ours.classes_fingerprint != theirs.classes_fingerprint {
        return Err(HandshakeError::Classes);
    }
    check_start(theirs, known_start)
}

fn check_start(theirs: &Handshake, known_start: Option<KnownStart>) -> Result<(), HandshakeError> {
    let Some(known) = known_start else {
        return Ok(());
    };
    // A new store begins to count its starts anew.
    if known.identity == theirs.identity && known.start_number > theirs.start_number {
        return Err(HandshakeError::OutdatedStart {
            name: theirs.name.clone(),
            start_number: theirs.start_number,
            known: known.start_number,
        });
    }
    Ok(())
}
