//! Waits for voters, by their status files: until they vote at the beginning of a run, and until
//! their replicas are equal at its end.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use tokio::time::{sleep, Instant};

use super::World;
use crate::directories;
use crate::voters::{self, VoterGroup};

/// Timeout of both waits.
const AGREE_WITHIN: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn millis_since_epoch() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn written_at(status: &Value) -> Option<u64> {
    status["at_ms"].as_u64()
}

fn is_voting(status: &Value) -> bool {
    status["votes"] == true && status["majority"] == true
}

/// Whether the status files of one group have equal fingerprints of entries, as of the same second:
/// entries expire, so fingerprints of different seconds differ.
fn are_replicas_equal(statuses: &[Value]) -> bool {
    let fingerprint = |status: &Value| {
        (
            status["print"].clone(),
            written_at(status).map(|at| at / 1000),
        )
    };
    statuses
        .windows(2)
        .all(|pair| fingerprint(&pair[0]) == fingerprint(&pair[1]))
}

impl World {
    /// The status files of the running members of each group.
    fn statuses(&self, groups: &[VoterGroup]) -> Vec<Vec<Value>> {
        let Some(programs) = &self.programs else {
            return Vec::new();
        };
        let running = self.processes.names();
        let read_group = |group: &VoterGroup| {
            let members = group.members.iter().filter(|name| running.contains(name));
            members
                .filter_map(|name| directories::status(&programs.directory, name))
                .collect()
        };
        groups.iter().map(read_group).collect()
    }

    fn voter_groups(&self) -> Vec<VoterGroup> {
        match self.programs {
            Some(_) => voters::groups(&self.scenario.gateways),
            None => Vec::new(),
        }
    }

    /// Waits until all voters vote: a new fleet serves keyed requests only then, and loads begin
    /// after this. Groups that can't have a majority are not waited for.
    pub(super) async fn wait_for_votes(&mut self) -> io::Result<()> {
        let mut groups = self.voter_groups();
        groups.retain(VoterGroup::can_have_majority);
        let until = Instant::now() + AGREE_WITHIN;
        while !groups.is_empty() && Instant::now() < until {
            let statuses = self.statuses(&groups).concat();
            if !statuses.is_empty() && statuses.iter().all(is_voting) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.collect_crashes().await
    }

    /// Waits until the replicas of each group of voters are equal; returns the time this took in
    /// milliseconds.
    pub(super) async fn wait_for_equal_replicas(&mut self) -> io::Result<Option<u64>> {
        let groups = self.voter_groups();
        let (began, from) = (Instant::now(), millis_since_epoch());
        // Status files from before the wait may be outdated.
        let is_new = |status: &Value| written_at(status) >= Some(from);
        while !groups.is_empty() && began.elapsed() < AGREE_WITHIN {
            let statuses = self.statuses(&groups);
            let has_status = statuses.iter().any(|group| !group.is_empty());
            let is_equal =
                |group: &Vec<Value>| group.iter().all(is_new) && are_replicas_equal(group);
            if has_status && statuses.iter().all(is_equal) {
                return Ok(Some(began.elapsed().as_millis() as u64));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }
}
