//! Holds one thread of a process, as a call into a disk that hangs holds it: the others go on. By
//! the system's own means for that, tracing; the traced thread is never looked into. All calls come
//! from one thread.

use std::io;

use nix::sys::ptrace;
use nix::sys::wait::{waitpid, WaitPidFlag};
use nix::unistd::Pid;

/// A thread that is held until it is let go.
#[derive(Debug)]
pub struct StalledThread {
    thread: Pid,
}

/// The thread of a process that has a name.
fn find_thread(process: u32, name: &str) -> io::Result<Option<Pid>> {
    for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let path = task?.path();
        let comm = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        let thread_id = path
            .file_name()
            .and_then(|name| name.to_str())
            .and_then(|name| name.parse().ok());
        if comm.trim_end() == name {
            return Ok(thread_id.map(Pid::from_raw));
        }
    }
    Ok(None)
}

impl StalledThread {
    /// Nothing: the process has no such thread.
    pub fn stall(process: u32, name: &str) -> io::Result<Option<StalledThread>> {
        let Some(thread) = find_thread(process, name)? else {
            return Ok(None);
        };
        ptrace::seize(thread, ptrace::Options::empty())?;
        ptrace::interrupt(thread)?;
        waitpid(thread, Some(WaitPidFlag::__WALL))?;
        Ok(Some(StalledThread { thread }))
    }

    /// It goes on, unless its process has ended.
    pub fn resume(self) {
        let _ = ptrace::detach(self.thread, None);
    }

    /// The same where its process may have been killed: the system tells the end of that only once
    /// the end of the held thread was heard of.
    pub fn resume_or_reap(self) {
        if ptrace::detach(self.thread, None).is_err() {
            let _ = waitpid(self.thread, Some(WaitPidFlag::__WALL));
        }
    }
}
