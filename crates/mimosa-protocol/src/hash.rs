//! Hashes for placement and for stored secrets.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sha256Digest(pub [u8; 32]);

impl Sha256Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Compares two digests in constant time.
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Sha256Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Weight of a candidate for a role in rendezvous hashing; the candidate with the highest weight is
/// chosen.
pub fn rendezvous_weight(role: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(role.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}
