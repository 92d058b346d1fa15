//! Identifiers: short lowercase names, and numbers that only increase.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Visitor;

use crate::error::Error;
use crate::error::Result;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Validates the syntax that all names share: ASCII lowercase letters, digits, `-`, `_` and `.`,
/// starting with a letter or a digit.
fn check_name(kind: &'static str, text: &str) -> Result<()> {
    let reason = if text.is_empty() {
        "it is empty"
    } else if text.len() > MAX_NAME_BYTES {
        "it is longer than 63 bytes"
    } else if !text.bytes().all(is_name_byte) {
        "only lowercase letters, digits, '-', '_' and '.' are allowed"
    } else if !text.as_bytes()[0].is_ascii_alphanumeric() {
        "it must start with a letter or a digit"
    } else {
        return Ok(());
    };
    Err(Error::BadName {
        kind,
        name: text.chars().take(80).collect(),
        reason,
    })
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
}

/// Deserializes a name without an intermediate `String`, as names occur in most frequent messages.
struct NameVisitor(&'static str);

impl Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the name of a {}", self.0)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> std::result::Result<Arc<str>, E> {
        check_name(self.0, text).map_err(E::custom)?;
        Ok(Arc::from(text))
    }
}

macro_rules! named_id {
    ($($(#[$meta:meta])* $name:ident, $kind:literal;)+) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name, which has 1 to [`MAX_NAME_BYTES`] bytes of ASCII.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.pad(&self.0)
                }
            }

            impl FromStr for $name {
                type Err = Error;

                fn from_str(text: &str) -> Result<Self> {
                    check_name($kind, text)?;
                    Ok(Self(Arc::from(text)))
                }
            }

            impl Serialize for $name {
                fn serialize<S: Serializer>(
                    &self,
                    serializer: S,
                ) -> std::result::Result<S::Ok, S::Error> {
                    serializer.serialize_str(&self.0)
                }
            }

            impl<'de> Deserialize<'de> for $name {
                fn deserialize<D: Deserializer<'de>>(
                    deserializer: D,
                ) -> std::result::Result<Self, D::Error> {
                    deserializer.deserialize_str(NameVisitor($kind)).map(Self)
                }
            }
        )+
    };
}

named_id! {
    /// Name of a client account, to which requests are attributed.
    AccountId, "client account";
    /// Public name of an API key. The secret is never stored.
    KeyId, "key";
    /// Name of a model or a plain HTTP service.
    ServiceId, "service";
    /// Name of a software version of a service.
    ServiceVersion, "service version";
    /// Name of a data centre that holds endpoints and instances.
    DataCentreId, "data centre";
    /// Name of a back end of one service.
    EndpointId, "endpoint";
    /// Name of a process of this system, such as an entry or a control instance.
    InstanceId, "instance";
    /// Name of a person or tool that is authorised to change the configuration.
    OperatorId, "operator";
}

quantity! {
    /// Distinguishes successive runs of a process; a restart takes a higher number.
    Incarnation(u64);
    /// Counts the successive holders of a role; messages with a lower epoch are rejected.
    Epoch(u64);
    /// Counts the accepted changes of the configuration.
    Revision(u64);
    /// Orders the commands to an engine: an engine that checks the token rejects a lower one.
    FencingToken(u64);
    /// Number that an operator assigns to an order; a resend of the order carries the same number.
    OrderNumber(u64);
}

/// A globally unique request ID of 128 random bits, displayed as 32 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
