//! What links among gateways carry, for programs that stand in for a gateway at the other end of a
//! link.

pub use crate::fingerprints::classes_fingerprint;
pub use crate::replication::PeerMessage;
