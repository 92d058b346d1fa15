//! A directory of the file system, locked against use by a second process.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::disk::Disk;

/// Name of the lock file. The file remains when the process ends; the operating system releases the
/// lock on it.
pub const LOCK_FILE: &str = "lock";

/// A directory that is locked by this process. Dropping it releases the lock.
pub struct OsDisk {
    directory: PathBuf,
    handles: BTreeMap<String, File>,
    /// Keeps the directory locked until it is dropped.
    _lock: File,
}

impl OsDisk {
    /// Locks a directory and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if another process has locked the directory, [`Error::File`] if creating
    /// or locking it fails.
    pub fn open(directory: impl AsRef<Path>) -> Result<Self> {
        let directory = directory.as_ref().to_path_buf();
        create_directory(&directory).map_err(|source| Error::File {
            action: "create",
            path: directory.clone(),
            source,
        })?;
        let lock = lock(&directory)?;
        Ok(Self {
            directory,
            handles: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.handles.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(name))?;
            self.handles.insert(name.to_owned(), file);
        }
        Ok(self.handles.get_mut(name).expect("inserted above"))
    }
}

impl Disk for OsDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names: Vec<String> = fs::read_dir(&self.directory)?
            .map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()))
            .collect::<io::Result<_>>()?;
        names.retain(|name| name != LOCK_FILE);
        names.sort();
        Ok(names)
    }

    fn size(&self, name: &str) -> io::Result<u64> {
        fs::metadata(self.path(name)).map(|metadata| metadata.len())
    }

    fn read(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.path(name))?;
        file.seek(SeekFrom::Start(offset))?;
        let mut buf = vec![0; len];
        file.read_exact(&mut buf)?;
        Ok(buf)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.handle(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.handles.remove(from);
        self.handles.remove(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.handles.remove(name);
        fs::remove_file(self.path(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }
}

/// Creates a directory and makes its entry in the parent directory durable.
fn create_directory(directory: &Path) -> io::Result<()> {
    if directory.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(directory)?;
    match directory.parent() {
        Some(parent) if parent.is_dir() => File::open(parent)?.sync_all(),
        _ => Ok(()),
    }
}

fn lock(directory: &Path) -> Result<File> {
    let path = directory.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(|source| Error::File {
            action: "create",
            path: path.clone(),
            source,
        })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Refused {
            what: format!("opening {}", directory.display()),
            reason: "another process holds its lock".to_owned(),
            help: Some("stop the other process, or give this one its own data folder".to_owned()),
        }),
        Err(TryLockError::Error(source)) => Err(Error::File {
            action: "lock",
            path,
            source,
        }),
    }
}
