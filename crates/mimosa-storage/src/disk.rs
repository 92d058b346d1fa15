//! The file operations that the store uses.

use std::io;
use std::path::PathBuf;

/// A flat directory of files, which are addressed by name.
///
/// Written bytes are durable after [`Disk::sync`] on their file. The creation, renaming or removal
/// of a file is durable after [`Disk::sync_directory`].
pub trait Disk: Send {
    /// Returns the names of all files in ascending order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the size of a file in bytes.
    fn size(&self, name: &str) -> io::Result<u64>;

    /// Reads `len` bytes from an offset; fails with [`io::ErrorKind::UnexpectedEof`] if the file is
    /// shorter.
    fn read(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>>;

    /// Appends to a file and creates it if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes; durable after [`Disk::sync`].
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes all created, renamed and removed directory entries durable.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
}
