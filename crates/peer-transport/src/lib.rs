//! TCP links between the gateways of a fleet, as configured in the operator's file.
//!
//! Every gateway dials each voter and sends its requests on that link; the voter replies on the
//! same link. Two voters therefore have two links between them. [`Hub`] is the host's interface: it
//! owns one thread, which owns all links. The message type is the host's, encoded with `postcard`.
//!
//! - [`hub`]: the host's queues and the thread behind them, with event loop, dialer and link table;
//! - [`link`]: one connection with its buffers;
//! - [`frame`]: checksummed frames of bounded length (no I/O);
//! - [`handshake`]: decides whether a peer is accepted (no I/O);
//! - [`failure_detector`]: derives the state of a peer from arrival times of frames (no I/O);
//! - [`limits`]: all bounds and timeouts.
//!
//! # Example
//!
//! Two gateways; the second one dials the first:
//!
//! ```
//! use eideryard_peer_transport::{Config, Handshake, Hub, PeerEvent, VoterAddress, VERSION};
//!
//! let handshake = |name: &str| Handshake {
//!     version: VERSION,
//!     fleet: "north".into(),
//!     name: name.into(),
//!     voters: vec!["g1".into()],
//!     classes_fingerprint: 0,
//!     identity: 1,
//!     start_number: 1,
//! };
//! let voter = Config {
//!     handshake: handshake("g1"),
//!     listen_address: Some("127.0.0.1:0".parse().unwrap()),
//!     voters: Vec::new(),
//!     seed: 1,
//! };
//! let voter: Hub<String> = Hub::start(voter, Box::new(|| ()))?;
//! let requester = Config {
//!     handshake: handshake("g2"),
//!     listen_address: None,
//!     voters: vec![VoterAddress {
//!         index: 0,
//!         name: "g1".into(),
//!         address: voter.local_address().unwrap(),
//!     }],
//!     seed: 2,
//! };
//! let mut requester: Hub<String> = Hub::start(requester, Box::new(|| ()))?;
//! let event = loop {
//!     match requester.try_recv() {
//!         Some(event) => break event,
//!         None => std::thread::sleep(std::time::Duration::from_millis(1)),
//!     }
//! };
//! assert!(matches!(event, PeerEvent::Connected { name, .. } if name == "g1"));
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod failure_detector;
pub mod frame;
pub mod handshake;
pub mod hub;
pub mod limits;
pub mod link;

pub use failure_detector::{FailureDetector, PeerState};
pub use frame::Frame;
pub use handshake::{Handshake, HandshakeError, VERSION};
pub use hub::{Config, Hub, Peer, PeerEvent, VoterAddress};

/// Microseconds: a duration, or a time since the start of the thread.
pub type Micros = u64;
