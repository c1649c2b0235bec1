//! Handshake: what both ends of a link send first, and the checks that reject a peer. No I/O.

use serde::{Deserialize, Serialize};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Version of the frame format and of all messages in frames. Gateways with different versions
/// reject each other.
pub const VERSION: u32 = 1;

/// What a gateway states about itself. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`VERSION`] of the sending program.
    pub version: u32,
    /// Name of the fleet, from the `fleet` directive of the operator's file.
    pub fleet: String,
    /// Name of the sending gateway, unique in the fleet.
    pub name: String,
    /// Names of all voters in the sender's operator's file, sorted.
    pub voters: Vec<String>,
    /// Fingerprint of the sender's request classes. Both ends must agree on it because replicas
    /// refer to a class by its index.
    pub classes_fingerprint: u64,
    /// Identity of the sender's store; a new, damaged or copied store gets a new random identity.
    pub identity: u64,
    /// Number of times that the gateway was started with this store, this start included.
    pub start_number: u64,
}

/// Store identity and start number in the last accepted handshake of a gateway with a given name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownStart {
    /// Identity of the peer's store.
    pub identity: u64,
    /// Number of times that the peer was started with that store, as stated in the handshake.
    pub start_number: u64,
}

/// Why a peer is rejected. The text is sent to the peer and logged at both ends, so it must make
/// sense from either side.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HandshakeError {
    /// The peer runs a different [`VERSION`].
    #[error("one speaks version {theirs}, the other {ours}: run the same program on both")]
    Version {
        /// This gateway's version.
        ours: u32,
        /// The peer's version.
        theirs: u32,
    },
    /// The peer belongs to another fleet.
    #[error("one is of fleet '{theirs}', the other of '{ours}': see 'fleet' in both files")]
    Fleet {
        /// This gateway's fleet.
        ours: String,
        /// The peer's fleet.
        theirs: String,
    },
    /// A gateway other than the dialed voter answered.
    #[error("'{theirs}' answers at the address of keeper '{expected}': see its 'keeper' line")]
    Name {
        /// Name of the voter that was dialed.
        expected: String,
        /// Name of the gateway that answered.
        theirs: String,
    },
    /// The peer has the same name as this gateway.
    #[error("both call themselves '{0}': each gateway of a fleet needs a name of its own")]
    SameName(String),
    /// The operator's files list different voters.
    #[error(
        "the files name different keepers, {} and {}: they must be the same in all of a fleet's",
        theirs.join(" "),
        ours.join(" ")
    )]
    Voters {
        /// Names of the voters in this gateway's file.
        ours: Vec<String>,
        /// Names of the voters in the peer's file.
        theirs: Vec<String>,
    },
    /// The fingerprints of the request classes differ.
    #[error("their settings name different classes: a fleet's gateways need the same settings")]
    Classes,
    /// A handshake with a higher start number for the same store has already been accepted.
    #[error(
        "'{name}' says that this is its start {start_number}, but start {latest} was heard: \
         an old copy or a second process"
    )]
    OutdatedStart {
        /// Name of the peer.
        name: String,
        /// The peer's start number.
        start_number: u64,
        /// The latest start number that was accepted.
        latest: u64,
    },
}

/// Checks the handshake of a peer against this gateway's own.
///
/// `expected_name` is the name of the dialed voter, or `None` if the peer opened the link.
/// `known_start` is the last accepted start of a gateway with the peer's name, if there was one.
///
/// # Errors
///
/// Returns the first difference because of which the peer is rejected.
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
    check_start_number(theirs, known_start)
}

fn check_start_number(
    theirs: &Handshake,
    known_start: Option<KnownStart>,
) -> Result<(), HandshakeError> {
    let Some(known) = known_start else {
        return Ok(());
    };
    // A store with a new identity may count its starts from 1 again.
    if known.identity == theirs.identity && known.start_number > theirs.start_number {
        return Err(HandshakeError::OutdatedStart {
            name: theirs.name.clone(),
            start_number: theirs.start_number,
            latest: known.start_number,
        });
    }
    Ok(())
}
