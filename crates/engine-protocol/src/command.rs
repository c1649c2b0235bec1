//! Commands of a gateway.

use std::fmt::Write;

/// The command that sends a query.
#[derive(Debug)]
pub struct ServeCommand<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Name of its class.
    pub class: &'a str,
    /// Milliseconds that its client waits.
    pub wait_ms: u64,
    /// Its key, by which an engine drops a repeat.
    pub key: Option<&'a str>,
    /// Memory in megabytes; 0: the engine's own choice.
    pub grant_mb: u64,
    /// Its rank; the highest runs first.
    pub rank: Option<u8>,
    /// The statement.
    pub statement: &'a [u8],
}

impl ServeCommand<'_> {
    /// Writes the command with its statement.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut line = format!(
            "serve {} profile={},max={}",
            self.id, self.class, self.wait_ms
        );
        // Writing to a string cannot fail.
        if let Some(key) = self.key {
            let _ = write!(line, ",replay={key}");
        }
        if self.grant_mb > 0 {
            let _ = write!(line, ",heap={}", self.grant_mb);
        }
        if let Some(rank) = self.rank {
            let _ = write!(line, ",order={rank}");
        }
        let _ = write!(line, " {}\r\n", self.statement.len());
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(self.statement);
        out.extend_from_slice(b"\r\n");
    }
}

/// Writes the command that cancels a query.
pub fn write_cancel(out: &mut Vec<u8>, id: &str) {
    out.extend_from_slice(format!("cancel {id}\r\n").as_bytes());
}

/// Writes the command that changes a running query's rank.
pub fn write_rank_update(out: &mut Vec<u8>, id: &str, rank: u8) {
    out.extend_from_slice(format!("weigh {id} {rank}\r\n").as_bytes());
}

/// Writes the command that asks for a page of a result, from 1.
pub fn write_read(out: &mut Vec<u8>, id: &str, page: usize) {
    out.extend_from_slice(format!("read {id} {page}\r\n").as_bytes());
}

/// Writes the command that lets an engine drop a result.
pub fn write_release(out: &mut Vec<u8>, id: &str) {
    out.extend_from_slice(format!("release {id}\r\n").as_bytes());
}

/// Writes the probe that brings the load report.
pub fn write_load_probe(out: &mut Vec<u8>, tag: &str) {
    out.extend_from_slice(format!("gauges {tag}\r\n").as_bytes());
}
