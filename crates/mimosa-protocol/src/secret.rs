//! Secrets that cannot be printed by accident.

use std::fmt;

use crate::hash::Sha256Digest;

/// Prefix of a caller's key.
pub const CALLER_KEY_PREFIX: &str = "msk-";
/// Prefix of an operator's key.
pub const OPERATOR_KEY_PREFIX: &str = "mso-";

/// A key as its holder sends it. `Debug` hides it and there is no `Display`.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Builds a secret from random bytes.
    pub fn from_random(prefix: &str, random: &[u8; 24]) -> Self {
        let digits: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(format!("{prefix}{digits}"))
    }

    /// The text, for the one answer that hands it to its holder.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// The digest that is stored in its place.
    pub fn digest(&self) -> Sha256Digest {
        Sha256Digest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
