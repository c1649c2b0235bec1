//! The status file of a gateway of a fleet: a thread of its own writes the latest content over the
//! file, so that the gateway's loop never waits for the disk.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};

/// Name of the file in the store's directory.
pub const FILE_NAME: &str = "STATUS";
/// Name under which new content is written before it replaces the file.
const TEMPORARY_FILE_NAME: &str = "STATUS.next";
const THREAD_NAME: &str = "status";

/// Handle of the thread. The thread ends when it is dropped; it isn't joined, so that a disk that
/// hangs doesn't hold up the shutdown.
pub struct StatusWriter {
    contents: SyncSender<String>,
}

impl StatusWriter {
    /// Starts the thread.
    pub fn start(directory: PathBuf) -> io::Result<Self> {
        let (contents, received) = sync_channel::<String>(1);
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || {
                for content in received {
                    if let Err(e) = replace_file(&directory, &content) {
                        tracing::debug!("status file: {e}");
                    }
                }
            })?;
        Ok(StatusWriter { contents })
    }

    /// Queues new content. It is dropped if the thread still writes earlier content.
    pub fn write(&self, content: String) {
        let _ = self.contents.try_send(content);
    }
}

/// Readers see either the content before or the new one.
fn replace_file(directory: &Path, content: &str) -> io::Result<()> {
    let temporary = directory.join(TEMPORARY_FILE_NAME);
    std::fs::write(&temporary, content)?;
    std::fs::rename(&temporary, directory.join(FILE_NAME))
}
