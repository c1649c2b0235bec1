//! The status file of a gateway of a fleet: a thread of its own writes the latest text over the
//! file, so that the loop never waits for it. What it is too slow for is left out.

use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, SyncSender};

/// Its name in the store's directory.
pub const NAME: &str = "STATUS";

pub struct Status {
    sender: SyncSender<String>,
}

impl Status {
    pub fn start(directory: PathBuf) -> std::io::Result<Self> {
        let (sender, texts) = sync_channel::<String>(1);
        let thread = std::thread::Builder::new().name("status".into());
        thread.spawn(move || {
            let (own, next) = (directory.join(NAME), directory.join("STATUS.next"));
            for text in texts {
                // Who reads it sees the text before or this one, never a part.
                let written =
                    std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, &own));
                if let Err(e) = written {
                    tracing::debug!("status file: {e}");
                }
            }
        })?;
        Ok(Status { sender })
    }

    pub fn tell(&self, text: String) {
        let _ = self.sender.try_send(text);
    }
}
