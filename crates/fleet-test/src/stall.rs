//! Holds one thread of a process, as a call into a disk that hangs holds it: the others go on. By
//! the system's own means for that, tracing; the traced thread is never looked into. All calls come
//! from one thread.

use std::io;

use nix::sys::ptrace;
use nix::sys::wait::{waitpid, WaitPidFlag};
use nix::unistd::Pid;

/// A thread that is held until it is let go.
#[derive(Debug)]
pub struct Held {
    thread: Pid,
}

/// The thread of a process that has a name.
fn thread(process: u32, name: &str) -> io::Result<Option<Pid>> {
    for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let path = task?.path();
        let own = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        let number = path
            .file_name()
            .and_then(|name| name.to_str())
            .and_then(|name| name.parse().ok());
        if own.trim_end() == name {
            return Ok(number.map(Pid::from_raw));
        }
    }
    Ok(None)
}

impl Held {
    /// Nothing: the process has no such thread.
    pub fn hold(process: u32, name: &str) -> io::Result<Option<Held>> {
        let Some(thread) = thread(process, name)? else {
            return Ok(None);
        };
        ptrace::seize(thread, ptrace::Options::empty())?;
        ptrace::interrupt(thread)?;
        waitpid(thread, Some(WaitPidFlag::__WALL))?;
        Ok(Some(Held { thread }))
    }

    /// It goes on, unless its process has ended.
    pub fn let_go(self) {
        let _ = ptrace::detach(self.thread, None);
    }

    /// The same where its process may have been killed: the system tells the end of that only once
    /// the end of the held thread was heard of.
    pub fn let_go_or_ended(self) {
        if ptrace::detach(self.thread, None).is_err() {
            let _ = waitpid(self.thread, Some(WaitPidFlag::__WALL));
        }
    }
}
