//! What a host on sockets needs beside the balancer's settings.

use eideryard::interface::Micros;

use crate::{SettingsError, SettingsTree};

/// The path of the limit on connecting.
const DIAL_TIMEOUT_PATH: &str = "limits.dial-timeout-us";

/// Names that the protocol uses, in the order in which the balancer numbers them, and the limits of
/// connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of kinds of machine.
    pub kinds: Vec<String>,
    /// The longest that a client of any class waits.
    pub longest_wait: Micros,
    /// A connection that isn't up by then counts as refused.
    pub dial_timeout: Micros,
    /// Idle connections are closed after this time; 0: never.
    pub idle: Micros,
    /// Attempts that one connection carries at once.
    pub streams: usize,
}

/// Reads what a host on sockets needs. It can't serve without classes and a limit on connecting, so
/// these have to be given.
///
/// # Errors
///
/// The first key that is missing or whose value can't be used.
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
        idle: tree.number_or("limits.conn-idle-us", 0)?,
        streams: tree
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
