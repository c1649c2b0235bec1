//! The status file of a gateway that belongs to a fleet. A separate thread replaces the file, so
//! the main loop never waits for the disk.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};

/// The name of the file in the store's directory.
pub const FILE_NAME: &str = "STATUS";
/// The file to which new content is written before it is renamed to [`FILE_NAME`].
const TEMPORARY_FILE_NAME: &str = "STATUS.next";
const THREAD_NAME: &str = "status";

/// Handle of the writing thread. The thread ends after this handle is dropped. The thread is not
/// joined, so that a hanging disk doesn't delay the shutdown.
pub struct StatusWriter {
    contents: SyncSender<String>,
}

impl StatusWriter {
    /// Starts the thread that writes the file in `directory`.
    pub fn start(directory: PathBuf) -> io::Result<Self> {
        let (contents, received) = sync_channel::<String>(1);
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || {
                for content in received {
                    if let Err(e) = replace_file(&directory, &content) {
                        tracing::debug!("the status file was not written: {e}");
                    }
                }
            })?;
        Ok(StatusWriter { contents })
    }

    /// Queues new content. The new content is discarded if other content is already queued.
    pub fn write(&self, content: String) {
        let _ = self.contents.try_send(content);
    }
}

/// Replaces the file atomically: readers see either the old content or the new one.
fn replace_file(directory: &Path, content: &str) -> io::Result<()> {
    let temporary = directory.join(TEMPORARY_FILE_NAME);
    std::fs::write(&temporary, content)?;
    std::fs::rename(&temporary, directory.join(FILE_NAME))
}
