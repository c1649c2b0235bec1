//! File access of the writer, behind two narrow traits so that tests can make each call fail.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// The directory that segments are written to.
pub trait Disk: Send {
    /// Lists the names and sizes in bytes of all files in the directory.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Creates a file; fails if a file with this name exists.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>>;
    /// Removes the file with this name.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A segment file that is being written.
pub trait Segment: Send {
    /// Appends all bytes. A failed call may leave some of them in the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes, to remove what a failed append may have left.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// A directory of the file system. It is created if it doesn't exist.
pub struct Directory(pub PathBuf);

impl Disk for Directory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        std::fs::create_dir_all(&self.0)?;
        let mut files = Vec::new();
        for file in std::fs::read_dir(&self.0)? {
            let file = file?;
            let Ok(name) = file.file_name().into_string() else {
                continue;
            };
            let size = file.metadata().map_or(0, |data| data.len());
            files.push((name, size));
        }
        Ok(files)
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        std::fs::create_dir_all(&self.0)?;
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(self.0.join(name))?;
        Ok(Box::new(file))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }
}

impl Segment for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}
