//! Settings that a host with network connections needs in addition to the balancer's.

use eideryard::interface::Micros;

use crate::{SettingsError, SettingsTree};

/// Dotted path of the time limit on establishing a connection.
const DIAL_TIMEOUT_PATH: &str = "limits.dial-timeout-us";

/// Names that requests and endpoint lists use, at the indices by which the balancer refers to them,
/// and limits on connections to engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Names of the request classes, indexed by class ID.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant ID.
    pub tenants: Vec<String>,
    /// Names of the zones, indexed by zone ID.
    pub zones: Vec<String>,
    /// Names of the machine kinds, indexed by kind ID.
    pub kinds: Vec<String>,
    /// Longest time that a client of any class waits for its answer.
    pub longest_wait: Micros,
    /// Time limit on establishing a connection; a connection that takes longer counts as refused.
    pub dial_timeout: Micros,
    /// Time after which idle connections are closed; 0: they stay open.
    pub idle_timeout: Micros,
    /// Maximum number of attempts in flight on one connection; at least 1.
    pub max_streams: usize,
}

/// Reads the settings of a host with network connections. Request classes and the time limit on
/// establishing a connection are required, since the host can't serve without them.
///
/// # Errors
///
/// Names the first key that is missing or whose value is invalid.
pub fn read_host_settings(tree: &SettingsTree) -> Result<HostSettings, SettingsError> {
    let class_count = tree.number_or("grades.count", 0usize)?;
    if class_count == 0 {
        return Err(SettingsError::missing("grades"));
    }
    let tenant_count = tree.number_or("orgs.count", 0usize)?;
    let class_path = |index| format!("grades.{index}.name");
    let tenant_path = |index| format!("orgs.{index}.name");
    Ok(HostSettings {
        classes: read_names(tree, (0..class_count).map(class_path))?,
        tenants: read_names(tree, (0..tenant_count).map(tenant_path))?,
        zones: tree.names("zones"),
        kinds: tree.names("kinds"),
        longest_wait: read_longest_wait(tree, class_count)?,
        dial_timeout: read_dial_timeout(tree)?,
        idle_timeout: tree.number_or("limits.conn-idle-us", 0)?,
        max_streams: tree
            .number_or("limits.streams-per-conn", usize::MAX)?
            .max(1),
    })
}

fn read_names(
    tree: &SettingsTree,
    paths: impl Iterator<Item = String>,
) -> Result<Vec<String>, SettingsError> {
    let read_name = |path: String| match tree.text(&path) {
        Some(name) => Ok(name.to_string()),
        None => Err(SettingsError::missing(&path)),
    };
    paths.map(read_name).collect()
}

fn read_longest_wait(tree: &SettingsTree, class_count: usize) -> Result<Micros, SettingsError> {
    let mut longest = 0;
    for index in 0..class_count {
        let deadline = tree.number_or(&format!("grades.{index}.deadline-us"), 0)?;
        longest = longest.max(deadline);
    }
    Ok(longest)
}

fn read_dial_timeout(tree: &SettingsTree) -> Result<Micros, SettingsError> {
    match tree.optional(DIAL_TIMEOUT_PATH)? {
        Some(timeout) if timeout > 0 => Ok(timeout),
        _ => Err(SettingsError::missing(DIAL_TIMEOUT_PATH)),
    }
}
