//! Who is let in: what both ends of a link say first, and why one is turned away. Pure.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Of the frames and of all that they carry: two versions don't talk to each other.
pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    pub version: u32,
    pub fleet: String,
    pub name: String,
    /// Keepers of the fleet as this one's operator's file names them, in the order of their names.
    pub keepers: Vec<String>,
    /// Of the classes that copies are kept for: a key's class is a number in them.
    pub classes: u64,
    /// Its store's identity and the number of this start.
    pub identity: u64,
    pub start: u64,
}

/// Why a peer is turned away, as both ends say it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandshakeError {
    Version {
        own: u32,
        theirs: u32,
    },
    Fleet {
        own: String,
        theirs: String,
    },
    Name {
        expected: String,
        theirs: String,
    },
    Own(String),
    Keepers {
        own: Vec<String>,
        theirs: Vec<String>,
    },
    Classes,
    Older {
        name: String,
        start: u64,
        known: u64,
    },
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Version { own, theirs } => {
                write!(f, "one speaks version {theirs}, the other {own}: run the same program on both")
            }
            HandshakeError::Fleet { own, theirs } => {
                write!(f, "one is of fleet '{theirs}', the other of '{own}': see 'fleet' in both files")
            }
            HandshakeError::Name { expected, theirs } => {
                write!(f, "'{theirs}' answers at the address of keeper '{expected}': see its 'keeper' line")
            }
            HandshakeError::Own(name) => {
                write!(f, "both call themselves '{name}': each gateway of a fleet needs a name of its own")
            }
            HandshakeError::Keepers { own, theirs } => write!(
                f,
                "the files name different keepers, {} and {}: they must be the same in all of a fleet's",
                theirs.join(" "),
                own.join(" ")
            ),
            HandshakeError::Classes => {
                write!(f, "their settings name different classes: a fleet's gateways need the same settings")
            }
            HandshakeError::Older { name, start, known } => write!(
                f,
                "'{name}' says that this is its start {start}, but start {known} was heard: an old copy or a \
                 second process"
            ),
        }
    }
}

/// Whether one end takes the other. `expected`: the name of the keeper that was called; `known`:
/// identity and start under which this name was heard last.
pub fn takes(
    own: &Handshake,
    theirs: &Handshake,
    expected: Option<&str>,
    known: Option<(u64, u64)>,
) -> Result<(), HandshakeError> {
    if own.version != theirs.version {
        return Err(HandshakeError::Version {
            own: own.version,
            theirs: theirs.version,
        });
    }
    if own.fleet != theirs.fleet {
        return Err(HandshakeError::Fleet {
            own: own.fleet.clone(),
            theirs: theirs.fleet.clone(),
        });
    }
    if let Some(expected) = expected.filter(|expected| **expected != theirs.name) {
        return Err(HandshakeError::Name {
            expected: expected.into(),
            theirs: theirs.name.clone(),
        });
    }
    if own.name == theirs.name {
        return Err(HandshakeError::Own(own.name.clone()));
    }
    if own.keepers != theirs.keepers {
        return Err(HandshakeError::Keepers {
            own: own.keepers.clone(),
            theirs: theirs.keepers.clone(),
        });
    }
    if own.classes != theirs.classes {
        return Err(HandshakeError::Classes);
    }
    match known {
        Some((identity, start)) if identity == theirs.identity && start > theirs.start => {
            Err(HandshakeError::Older {
                name: theirs.name.clone(),
                start: theirs.start,
                known: start,
            })
        }
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(name: &str) -> Handshake {
        let keepers = ["g1", "g2", "g3"].map(str::to_string).to_vec();
        let (version, fleet, name) = (VERSION, "north".into(), name.into());
        Handshake {
            version,
            fleet,
            name,
            keepers,
            classes: 5,
            identity: 7,
            start: 3,
        }
    }

    #[test]
    fn every_difference_has_its_own_sentence_and_none_lets_in() {
        let own = hello("g1");
        assert_eq!(takes(&own, &hello("g2"), Some("g2"), Some((7, 3))), Ok(()));
        assert_eq!(
            takes(&own, &hello("g2"), None, Some((8, 9))),
            Ok(()),
            "a new store begins anew"
        );
        type Change = fn(&mut Handshake);
        let changes: [(&str, Change); 6] = [
            ("version", |hello| hello.version += 1),
            ("fleet", |hello| hello.fleet = "south".into()),
            ("answers at the address", |hello| hello.name = "g3".into()),
            ("different keepers", |hello| _ = hello.keepers.pop()),
            ("different classes", |hello| hello.classes += 1),
            ("an old copy or a second process", |hello| hello.start -= 1),
        ];
        for (word, change) in changes {
            let mut theirs = hello("g2");
            change(&mut theirs);
            let why = takes(&own, &theirs, Some("g2"), Some((7, 3)))
                .expect_err(word)
                .to_string();
            assert!(why.contains(word), "{why}");
        }
        let why = takes(&own, &hello("g1"), None, None)
            .expect_err("itself")
            .to_string();
        assert!(why.contains("a name of its own"), "{why}");
    }
}
