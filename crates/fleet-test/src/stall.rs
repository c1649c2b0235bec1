//! Stops one thread of a process while the others go on, as a system call on a hanging disk does.
//! Uses ptrace only to stop the thread; its state is never read. All calls for one thread must come
//! from the same thread of the tracer, as ptrace requires.

use std::io;

use nix::sys::ptrace;
use nix::sys::wait::{waitpid, WaitPidFlag};
use nix::unistd::Pid;

/// A thread of another process that is stopped until it is resumed.
#[derive(Debug)]
pub struct StalledThread {
    thread: Pid,
}

/// Finds the first thread with this name, as the kernel shows it: at most 15 bytes.
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
    /// Stops the thread with this name and waits until it has stopped. `None` if the process has no
    /// such thread.
    pub fn stall(process: u32, name: &str) -> io::Result<Option<StalledThread>> {
        let Some(thread) = find_thread(process, name)? else {
            return Ok(None);
        };
        ptrace::seize(thread, ptrace::Options::empty())?;
        ptrace::interrupt(thread)?;
        waitpid(thread, Some(WaitPidFlag::__WALL))?;
        Ok(Some(StalledThread { thread }))
    }

    /// Resumes the thread; does nothing if its process has ended.
    pub fn resume(self) {
        let _ = ptrace::detach(self.thread, None);
    }

    /// Like [`Self::resume`], also if the process may have been killed: the system reports the end
    /// of a process only after the tracer has waited for the end of its traced thread.
    pub fn resume_or_reap(self) {
        if ptrace::detach(self.thread, None).is_err() {
            let _ = waitpid(self.thread, Some(WaitPidFlag::__WALL));
        }
    }
}
