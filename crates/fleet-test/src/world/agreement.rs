//! Waits for keepers, by their status files: that they vote at first, and that their replicas agree
//! at last.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use tokio::time::{sleep, Instant};

use super::World;
use crate::directories;
use crate::voters::{self, VoterGroup};

/// Keepers have so long to vote at first, and replicas to agree at last.
const AGREE_WITHIN: Duration = Duration::from_secs(30);
const LOOKS_EVERY: Duration = Duration::from_millis(50);

fn millis_since_epoch() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn written_at(status: &Value) -> Option<u64> {
    status["at_ms"].as_u64()
}

fn may_send(status: &Value) -> bool {
    status["votes"] == true && status["majority"] == true
}

/// Whether the keepers of one group sum up the same entries, as of the same second.
fn same_entries(statuses: &[Value]) -> bool {
    let summed = |status: &Value| {
        (
            status["print"].clone(),
            written_at(status).map(|at| at / 1000),
        )
    };
    statuses
        .windows(2)
        .all(|pair| summed(&pair[0]) == summed(&pair[1]))
}

impl World {
    /// What the members of each group say of themselves, of those that run.
    fn statuses(&self, groups: &[VoterGroup]) -> Vec<Vec<Value>> {
        let Some(programs) = &self.programs else {
            return Vec::new();
        };
        let running = self.processes.names();
        let of_group = |group: &VoterGroup| {
            let members = group.members.iter().filter(|name| running.contains(name));
            members
                .filter_map(|name| directories::status(&programs.directory, name))
                .collect()
        };
        groups.iter().map(of_group).collect()
    }

    fn voter_groups(&self) -> Vec<VoterGroup> {
        match self.programs {
            Some(_) => voters::groups(&self.scenario.gateways),
            None => Vec::new(),
        }
    }

    /// A fleet that begins for the first time takes keyed requests once its keepers vote; loads
    /// begin then. Nobody waits for a group that can't have a majority.
    pub(super) async fn keepers_vote(&mut self) -> io::Result<()> {
        let mut groups = self.voter_groups();
        groups.retain(VoterGroup::can_have_majority);
        let until = Instant::now() + AGREE_WITHIN;
        while !groups.is_empty() && Instant::now() < until {
            let statuses = self.statuses(&groups).concat();
            if !statuses.is_empty() && statuses.iter().all(may_send) {
                break;
            }
            sleep(LOOKS_EVERY).await;
        }
        self.look_for_crashes().await
    }

    /// Waits until the keepers of each group sum up the same entries.
    pub(super) async fn copies_agree(&mut self) -> io::Result<Option<u64>> {
        let groups = self.voter_groups();
        let (began, from) = (Instant::now(), millis_since_epoch());
        // What was written before says nothing of now.
        let is_new = |status: &Value| written_at(status) >= Some(from);
        while !groups.is_empty() && began.elapsed() < AGREE_WITHIN {
            let statuses = self.statuses(&groups);
            let some = statuses.iter().any(|group| !group.is_empty());
            let agree = |group: &Vec<Value>| group.iter().all(is_new) && same_entries(group);
            if some && statuses.iter().all(agree) {
                return Ok(Some(began.elapsed().as_millis() as u64));
            }
            sleep(LOOKS_EVERY).await;
        }
        Ok(None)
    }
}
