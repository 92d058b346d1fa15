//! Secret keys, with a type that keeps them out of logs.

use std::fmt;

use crate::hash::Sha256Digest;

/// Prefix of a client's API key.
pub const CLIENT_KEY_PREFIX: &str = "msk-";
/// Prefix of an operator's key.
pub const OPERATOR_KEY_PREFIX: &str = "mso-";

/// A secret key in plain text. `Debug` redacts it, and `Display` is not implemented.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a key, prefix included.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Builds a key of the prefix and 48 hexadecimal digits.
    pub fn from_random(prefix: &str, random: &[u8; 24]) -> Self {
        let digits: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(format!("{prefix}{digits}"))
    }

    /// Returns the key in plain text. Only for handing a new key to its owner and for the
    /// `Authorization` header of a request.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }

    /// Returns the digest of the key, which is stored instead of the key.
    pub fn digest(&self) -> Sha256Digest {
        Sha256Digest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
