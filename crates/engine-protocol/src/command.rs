//! The encoder for the gateway's commands.

use std::fmt::Write;

/// The command that sends a query to an engine.
#[derive(Debug)]
pub struct ServeCommand<'a> {
    /// ID of the attempt; the engine's answers repeat this ID.
    pub id: &'a str,
    /// Name of the request's class.
    pub class: &'a str,
    /// Milliseconds until the client stops waiting.
    pub wait_ms: u64,
    /// The idempotency key, which lets the engine detect a repeated request; `None` if the request
    /// has none.
    pub key: Option<&'a str>,
    /// The memory grant in megabytes; if 0, the engine decides.
    pub grant_mb: u64,
    /// Rank in the engine's queue, where the highest rank runs first; `None` if the engine is not
    /// asked to order its queue.
    pub rank: Option<u8>,
    /// The statement to run.
    pub statement: &'a [u8],
}

impl ServeCommand<'_> {
    /// Appends the command and its statement to `out`.
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

/// Writes the command that changes the rank of a query that was already sent to the engine.
pub fn write_rank_update(out: &mut Vec<u8>, id: &str, rank: u8) {
    out.extend_from_slice(format!("weigh {id} {rank}\r\n").as_bytes());
}

/// Writes the command that requests a page of a result. Page 0 comes with the answer, so `page` is
/// at least 1.
pub fn write_read(out: &mut Vec<u8>, id: &str, page: usize) {
    out.extend_from_slice(format!("read {id} {page}\r\n").as_bytes());
}

/// Writes the command that allows the engine to drop a result.
pub fn write_release(out: &mut Vec<u8>, id: &str) {
    out.extend_from_slice(format!("release {id}\r\n").as_bytes());
}

/// Writes a probe, which the engine answers with a load report. The answer repeats `tag`.
pub fn write_load_probe(out: &mut Vec<u8>, tag: &str) {
    out.extend_from_slice(format!("gauges {tag}\r\n").as_bytes());
}
