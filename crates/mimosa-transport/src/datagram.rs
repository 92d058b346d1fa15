//! UDP packets with one message each.
//!
//! ```text
//! checksum u32 | cluster tag u32 | message as postcard bytes
//! ```
//!
//! Numbers are little-endian. The checksum is a CRC-32 of all bytes after it. A packet that is
//! corrupt, too large or from another cluster is reported as [`Received::Rejected`]; it is not an
//! error of the socket.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use mimosa_protocol::Error;
use mimosa_protocol::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error as ThisError;
use tokio::net::UdpSocket;

/// Maximum packet size including the header. Packets of this size pass common links without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the checksum and the cluster tag, in bytes.
pub const HEADER_BYTES: usize = 8;

/// Identifies a cluster, to separate clusters that share a network. The tag is not secret and
/// protects only against misconfiguration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClusterTag(pub u32);

impl ClusterTag {
    /// Computes the tag from the name of a cluster.
    pub fn of(cluster: &str) -> Self {
        Self(crc32fast::hash(cluster.as_bytes()))
    }
}

impl fmt::Display for ClusterTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Why a packet was rejected.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum PacketError {
    /// The packet is shorter than [`HEADER_BYTES`].
    #[error("the packet is shorter than its header of {HEADER_BYTES} bytes")]
    TooShort,
    /// The packet is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the packet is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The packet has the tag of another cluster.
    #[error("the packet belongs to cluster {0}")]
    OtherCluster(ClusterTag),
    /// The payload is not a message of the expected type.
    #[error("the packet holds no message of this version")]
    Undecodable,
}

/// Encodes a message as one packet.
///
/// # Errors
///
/// [`Error::BadMessage`] if the packet would exceed [`MAX_DATAGRAM_BYTES`].
pub fn encode(tag: ClusterTag, message: &impl Serialize) -> Result<Vec<u8>> {
    let mut buf = vec![0; HEADER_BYTES];
    buf[4..].copy_from_slice(&tag.0.to_le_bytes());
    let mut buf = postcard::to_extend(message, buf).map_err(|e| Error::BadMessage {
        reason: e.to_string(),
    })?;
    if buf.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::BadMessage {
            reason: format!(
                "a packet of {} bytes exceeds the maximum of {MAX_DATAGRAM_BYTES}",
                buf.len()
            ),
        });
    }
    let checksum = crc32fast::hash(&buf[4..]);
    buf[..4].copy_from_slice(&checksum.to_le_bytes());
    Ok(buf)
}

/// Decodes one packet.
///
/// # Errors
///
/// [`PacketError`] with the first check that failed.
pub fn decode<T: DeserializeOwned>(tag: ClusterTag, packet: &[u8]) -> Result<T, PacketError> {
    if packet.len() > MAX_DATAGRAM_BYTES {
        return Err(PacketError::TooLong);
    }
    let (checksum, rest) = packet.split_first_chunk().ok_or(PacketError::TooShort)?;
    let (seen, body) = rest.split_first_chunk().ok_or(PacketError::TooShort)?;
    if crc32fast::hash(rest) != u32::from_le_bytes(*checksum) {
        return Err(PacketError::Checksum);
    }
    let seen = ClusterTag(u32::from_le_bytes(*seen));
    if seen != tag {
        return Err(PacketError::OtherCluster(seen));
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(PacketError::Undecodable),
    }
}

/// A received packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Received<T> {
    /// A valid packet.
    Message {
        /// Source address of the packet; not authenticated.
        from: SocketAddr,
        /// The decoded message.
        message: T,
    },
    /// An invalid packet.
    Rejected {
        /// Source address of the packet; not authenticated.
        from: SocketAddr,
        /// The failed check.
        reason: PacketError,
    },
}

/// A UDP socket for the packets of one cluster.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    tag: ClusterTag,
}

impl Socket {
    /// Binds a socket; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Network`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, tag: ClusterTag) -> Result<Self> {
        UdpSocket::bind(address)
            .await
            .map(|socket| Self { socket, tag })
            .map_err(|source| network("bind", address, source))
    }

    /// Returns the address that the socket is bound to, with the port that was selected for port 0.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends one message and returns the size of the packet in bytes.
    ///
    /// # Errors
    ///
    /// [`Error::BadMessage`] if the message is too large, [`Error::Network`] if sending fails.
    pub async fn send(&self, to: SocketAddr, message: &impl Serialize) -> Result<usize> {
        let buf = encode(self.tag, message)?;
        self.socket
            .send_to(&buf, to)
            .await
            .map_err(|source| network("send to", to, source))
    }

    /// Waits for one packet.
    ///
    /// # Errors
    ///
    /// [`Error::Network`] if the socket fails. The error that reports an unreachable destination of
    /// an earlier packet is ignored.
    pub async fn receive<T: DeserializeOwned>(&self) -> Result<Received<T>> {
        // One byte more than the maximum, so that a truncated packet is detected as too long.
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((length, from)) => return Ok(self.decode(from, &buf[..length])),
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(source) => return Err(network("receive from", "any peer", source)),
            }
        }
    }

    fn decode<T: DeserializeOwned>(&self, from: SocketAddr, packet: &[u8]) -> Received<T> {
        match decode(self.tag, packet) {
            Ok(message) => Received::Message { from, message },
            Err(reason) => Received::Rejected { from, reason },
        }
    }
}

fn network(action: &'static str, peer: impl fmt::Display, source: io::Error) -> Error {
    Error::Network {
        action,
        peer: peer.to_string(),
        source,
    }
}
