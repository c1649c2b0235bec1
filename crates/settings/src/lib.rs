//! Reads the operators' settings for every host of the balancer.
//!
//! A [`SettingsTree`] maps dotted paths to settings, which are read from pairs or from nested JSON.
//! [`read_settings`] converts it into the balancer's [`Settings`](eideryard::interface::Settings),
//! [`read_host_settings`] into the additional settings of a host with network connections. This is
//! the only package that uses the keys and values of the operators' settings. It contains no policy
//! and no state.
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
