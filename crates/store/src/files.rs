//! File access of the store: a trait, so that tests can make any call fail, and its implementation
//! on the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

use rustix::fs::{flock, FlockOperation};

/// A directory whose files are created, appended to and removed, but never overwritten.
pub trait Files: Send {
    /// Lists the names and sizes in bytes of all files, sorted by name.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file. Fails if a file of this name exists.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn AppendFile>>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the content of a file durable, even if another process wrote it.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes all creations and removals of files durable.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Locks the directory against other processes until this value is dropped. Returns `false` if
    /// another process has locked it.
    fn lock(&mut self) -> io::Result<bool>;
    /// Returns a number derived from the creation time and the inode of a file, so each copy of the
    /// file has a different one; `None` if the system does not report the creation time.
    fn creation_id(&mut self, name: &str) -> io::Result<Option<u64>>;
}

/// A file that is open for appending.
pub trait AppendFile: Send {
    /// Appends bytes. They may be lost in a crash until [`AppendFile::sync`] succeeds.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory on the file system.
pub struct Directory {
    path: PathBuf,
    lock: Option<File>,
}

/// Name of the lock file, which is empty.
const LOCK_FILE: &str = "LOCK";

impl Directory {
    /// Uses the directory at `path`. The directory is created together with its first file.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Directory {
            path: path.into(),
            lock: None,
        }
    }
}

impl Files for Directory {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        let entries = match std::fs::read_dir(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(files),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let size = entry.metadata()?.len();
            files.extend(
                entry
                    .file_name()
                    .into_string()
                    .ok()
                    .map(|name| (name, size)),
            );
        }
        files.sort();
        Ok(files)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        std::fs::create_dir_all(&self.path)?;
        Ok(Box::new(
            OpenOptions::new()
                .create_new(true)
                .append(true)
                .open(self.path.join(name))?,
        ))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.path.join(name))?.sync_all()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn lock(&mut self) -> io::Result<bool> {
        std::fs::create_dir_all(&self.path)?;
        let path = self.path.join(LOCK_FILE);
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    fn creation_id(&mut self, name: &str) -> io::Result<Option<u64>> {
        use std::os::unix::fs::MetadataExt;
        let metadata = std::fs::metadata(self.path.join(name))?;
        let created = metadata
            .created()
            .ok()
            .and_then(|created| created.duration_since(UNIX_EPOCH).ok());
        Ok(created.map(|time| (time.as_nanos() as u64).rotate_left(17) ^ metadata.ino()))
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
