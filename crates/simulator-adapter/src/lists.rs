//! Endpoint lists, each sent as a `MANIFEST` line that states how many `ITEM` lines follow.

use std::collections::HashMap;

use eideryard::interface::{Endpoint, Phase};

use crate::error::AdapterError;
use crate::line::Line;

/// A list that has missing entries.
struct OpenList {
    number: u64,
    missing_entries: u64,
}

/// All endpoint lists received so far, by the ID that the simulator gave them.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<u64, Vec<Endpoint>>,
    open: Option<OpenList>,
}

impl EndpointLists {
    /// Returns whether entries of the list that was begun last are still missing.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Returns the entries of a list.
    pub fn get(&self, number: u64) -> Result<&[Endpoint], AdapterError> {
        let list = self.lists.get(&number);
        list.map(Vec::as_slice)
            .ok_or(AdapterError::UnknownList(number))
    }

    /// Handles the first line of a list. The list replaces an earlier list with the same ID.
    pub fn begin(&mut self, line: &Line<'_>) -> Result<(), AdapterError> {
        let number = line.required("ref")?;
        let missing_entries: u64 = line.required("members-list")?;
        self.lists.insert(number, Vec::new());
        self.open = (missing_entries > 0).then_some(OpenList {
            number,
            missing_entries,
        });
        Ok(())
    }

    /// Handles an entry of the list that was begun last.
    pub fn add_entry(&mut self, line: &Line<'_>) -> Result<(), AdapterError> {
        let Some(open) = &mut self.open else {
            return Err(AdapterError::UnexpectedEntry);
        };
        let endpoint = parse_endpoint(line)?;
        self.lists.entry(open.number).or_default().push(endpoint);
        open.missing_entries -= 1;
        if open.missing_entries == 0 {
            self.open = None;
        }
        Ok(())
    }
}

fn parse_endpoint(line: &Line<'_>) -> Result<Endpoint, AdapterError> {
    let phase = parse_phase(line)?;
    Ok(Endpoint {
        engine: line.required("engine")?,
        zone: line.value_or("campus", 0)?,
        kind: line.value_or("flavor", 0)?,
        cell: line.value_or("group", 0)?,
        phase,
        booted_at: line.value_or("boot-time-us", 0)?,
    })
}

fn parse_phase(line: &Line<'_>) -> Result<Phase, AdapterError> {
    match line.value_or("phase", 1u32)? {
        0 => Ok(Phase::Draining),
        1 => Ok(Phase::Ready),
        3 => Ok(Phase::Removed),
        other => Err(line.unknown_value("phase", &other)),
    }
}
