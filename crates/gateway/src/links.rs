//! The messages on links between gateways, for test programs that emulate a gateway at the other
//! end of a link.

pub use crate::fingerprints::classes_fingerprint;
pub use crate::replication::PeerMessage;
