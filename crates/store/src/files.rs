//! All that the store does with files, so that tests can let any of it fail.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::UNIX_EPOCH;

use rustix::fs::{flock, FlockOperation};

/// A directory of files that are written once, from the front to the back.
pub trait Files: Send {
    /// Names and sizes of the files that are there.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// A new file; it is an error where it is there already.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Log>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// What was read of a file is durable, whoever wrote it.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// What was created and removed is so for good.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Holds the directory against other processes, for as long as this value lives. False: another
    /// has it.
    fn lock(&mut self) -> io::Result<bool>;
    /// When a file was made and what it is known by: another for each copy of it; nothing where the
    /// system doesn't tell.
    fn birth(&mut self, name: &str) -> io::Result<Option<u64>>;
}

pub trait Log: Send {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// All that was appended is durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The real file system.
pub struct Directory {
    path: PathBuf,
    lock: Option<File>,
}

/// Held against other processes; it holds nothing.
const LOCK: &str = "LOCK";

impl Directory {
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
        let path = self.path.join(LOCK);
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
        let data = std::fs::metadata(self.path.join(name))?;
        let made = data
            .created()
            .ok()
            .and_then(|made| made.duration_since(UNIX_EPOCH).ok());
        Ok(made.map(|made| (made.as_nanos() as u64).rotate_left(17) ^ data.ino()))
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
