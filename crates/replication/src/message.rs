//! What gateways say to each other about copies.

use serde::{Deserialize, Serialize};

use crate::drains::Drain;
use crate::entry::{Origin, ReplicaView, WireRecord};

/// Why a keeper doesn't answer a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimRejection {
    /// It came back without all that it had, and has not caught up.
    CatchingUp,
    /// Its table of copies is full: it forgets nothing early.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// I am about to send this; what do you know of the key?
    Claim {
        number: u64,
        key: Vec<u8>,
        origin: Origin,
        record: WireRecord,
    },
    /// It is durable here, and this is what others may have done.
    Claimed {
        number: u64,
        seen: Vec<ReplicaView>,
    },
    NotNow {
        number: u64,
        why: ClaimRejection,
    },
    /// News of an own key; no vote is asked.
    Update {
        key: Vec<u8>,
        origin: Origin,
        record: WireRecord,
    },
    Updated {
        key: Vec<u8>,
        version: u32,
    },
    /// A keeper's summary, one print for each range of keys: send me what you have in those that
    /// differ.
    Ask {
        number: u64,
        prints: Vec<u64>,
    },
    /// A part of it. `last`: that was all; `votes`: the one who answers has all that it ever
    /// acknowledged.
    Part {
        number: u64,
        entries: Vec<Entry>,
        last: bool,
        votes: bool,
    },
    /// Ask again after this time.
    Later {
        number: u64,
        ms: u64,
    },
    /// What lists said of engines: news for whoever hears it.
    Drains {
        drains: Vec<Drain>,
    },
    /// What the teller has learned, as a checkpoint, and how old that is.
    Hints {
        lessons: Vec<u8>,
        age: u64,
    },
    /// Whether this keeper votes: said when a link comes up and whenever it changes.
    Stands {
        votes: bool,
    },
}

/// A key with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub key: Vec<u8>,
    pub records: Vec<(Origin, WireRecord)>,
}
