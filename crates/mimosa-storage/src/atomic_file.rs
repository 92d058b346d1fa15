//! Files that are replaced atomically: identity, state and snapshot.
//!
//! ```text
//! magic [u8; 4] | format version u16 | length u64 | checksum u32 | content
//! ```

use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::disk::Disk;

const MAGIC: &[u8; 4] = b"MSWF";
const FORMAT_VERSION: u16 = 1;
const HEADER_BYTES: usize = 18;

/// Suffix of files that are not completely written yet.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

/// Replaces a file atomically: writes and syncs a temporary file, renames it over the old one and
/// syncs the directory.
pub(crate) fn replace(disk: &mut dyn Disk, name: &str, content: &[u8]) -> Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let fail = |disk: &dyn Disk, action: &'static str, source| Error::File {
        action,
        path: disk.path(name),
        source,
    };
    disk.append(&temporary, &encode(content))
        .map_err(|source| fail(disk, "write", source))?;
    disk.sync(&temporary)
        .map_err(|source| fail(disk, "sync", source))?;
    disk.rename(&temporary, name)
        .map_err(|source| fail(disk, "rename", source))?;
    disk.sync_directory()
        .map_err(|source| fail(disk, "sync the folder of", source))
}

/// Reads and validates a file and returns its content, without the header.
pub(crate) fn read(disk: &dyn Disk, name: &str) -> Result<Vec<u8>> {
    let fail = |source| Error::File {
        action: "read",
        path: disk.path(name),
        source,
    };
    let size = disk.size(name).map_err(fail)?;
    let len = usize::try_from(size).expect("files fit into the address space");
    let bytes = disk.read(name, 0, len).map_err(fail)?;
    decode(bytes).map_err(|reason| damaged(disk, name, 0, reason))
}

/// Creates the error of a corrupt file, with instructions for the only safe repair.
pub(crate) fn damaged(
    disk: &dyn Disk,
    name: &str,
    offset: u64,
    reason: impl Into<String>,
) -> Error {
    let path = disk.path(name);
    let folder = path.parent().map_or_else(
        || path.display().to_string(),
        |folder| folder.display().to_string(),
    );
    Error::Damaged {
        offset,
        reason: reason.into(),
        repair: format!(
            "move {folder} away and start again with an empty folder: the replica joins under a \
             new incarnation and copies the state from the others; never delete single files"
        ),
        path,
    }
}

fn encode(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

fn decode(mut bytes: Vec<u8>) -> std::result::Result<Vec<u8>, String> {
    if bytes.len() < HEADER_BYTES || &bytes[..4] != MAGIC {
        return Err("this is not a file of the store".to_owned());
    }
    let version = u16::from_le_bytes([bytes[4], bytes[5]]);
    if version != FORMAT_VERSION {
        return Err(format!(
            "format version {version} is not {FORMAT_VERSION}, which this program reads"
        ));
    }
    let content = bytes.split_off(HEADER_BYTES);
    let len = bytes[6..14].try_into().map_or(0, u64::from_le_bytes);
    let sum = bytes[14..18].try_into().map_or(0, u32::from_le_bytes);
    if len != content.len() as u64 || crc32fast::hash(&content) != sum {
        return Err("the checksum does not match".to_owned());
    }
    Ok(content)
}
