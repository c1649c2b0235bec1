//! File access of the store, as a trait, so that tests can make any call fail; and the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

use rustix::fs::{flock, FlockOperation};

/// A directory of files that are written once, by appending.
pub trait Files: Send {
    /// Names and sizes in bytes of all files, in order of names.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file; an error if it exists.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Log>>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the content of a file durable, whoever wrote it.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes creations and removals durable.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Locks the directory against other processes until this value is dropped. Returns whether no
    /// other process has it.
    fn lock(&mut self) -> io::Result<bool>;
    /// A number from a file's time of creation and inode, different for each copy of the file;
    /// `None` where the system does not report it.
    fn birth(&mut self, name: &str) -> io::Result<Option<u64>>;
}

/// A file that is appended to.
pub trait Log: Send {
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all that was appended durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
pub struct Directory {
    path: PathBuf,
    lock: Option<File>,
}

/// Name of the lock file, which is empty.
const LOCK_FILE: &str = "LOCK";

impl Directory {
    /// The directory at a path, which need not exist yet.
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
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(files),
            entries => entries?,
        };
        for file in entries {
            let file = file?;
            let size = file.metadata()?.len();
            files.extend(file.file_name().into_string().ok().map(|name| (name, size)));
        }
        files.sort();
        Ok(files)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Log>> {
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
            Err(e) => Err(e.into()),
        }
    }

    fn birth(&mut self, name: &str) -> io::Result<Option<u64>> {
        use std::os::unix::fs::MetadataExt;
        let metadata = std::fs::metadata(self.path.join(name))?;
        let created = metadata
            .created()
            .ok()
            .and_then(|created| created.duration_since(UNIX_EPOCH).ok());
        Ok(created.map(|age| (age.as_nanos() as u64).rotate_left(17) ^ metadata.ino()))
    }
}

impl Log for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
