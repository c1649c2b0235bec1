//! The operators' settings, read for every host of the balancer.
//!
//! A [`SettingsTree`] holds settings by dotted path, whether they came as pairs or as nested JSON.
//! [`read_settings`] turns it into the balancer's [`Settings`](eideryard::interface::Settings),
//! [`read_host_settings`] into what a host on sockets needs beside them. The words of the
//! platform's settings stand in this package and nowhere else. Nothing here is decided, and no
//! state is kept.
//!
//! ```
//! use eideryard_settings::{read_settings, SettingsTree};
//!
//! let tree = SettingsTree::from_pairs([("peers-total", "3"), ("tick-us", "5000")]);
//! let settings = read_settings(&tree)?;
//! assert_eq!((settings.peers, settings.tick), (3.0, 5000));
//! # Ok::<(), eideryard_settings::SettingsError>(())
//! ```

mod balancer_settings;
mod error;
mod host_settings;
mod load_report;
mod number;
mod tree;

pub use balancer_settings::read_settings;
pub use error::SettingsError;
pub use host_settings::{read_host_settings, HostSettings};
pub use load_report::set_reported_value;
pub use tree::SettingsTree;
