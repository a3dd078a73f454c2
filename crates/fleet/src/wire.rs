//! Datagram format: protocol version, fleet tag, header with the sender's record, any number of claims and,
//! if the fleet has a key, a truncated keyed BLAKE3 hash over all of it.

use crate::member::{Claim, MemberRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest datagram size that can be configured: within the MTU of Ethernet. Longer datagrams are rejected.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Smallest datagram size that can be configured: a gossip datagram still has room for a claim.
pub const MIN_DATAGRAM_BYTES: usize = 256;
/// First byte of each datagram.
const PROTOCOL_VERSION: u8 = 0xc1;
const FLEET_TAG_BYTES: usize = 8;
const MAC_BYTES: usize = 16;
/// Number of buckets of the member table whose digests nodes compare.
pub(crate) const DIGEST_BUCKETS: usize = 16;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("datagram exceeds the maximum size")]
    Oversized,
    /// It is truncated, cannot be decoded, or has values out of bounds.
    #[error("malformed datagram")]
    Malformed,
    /// Its tag is that of another fleet.
    #[error("datagram of another fleet")]
    OtherFleet,
    /// Its MAC does not match the fleet's key.
    #[error("datagram is not authenticated with the fleet's key")]
    WrongKey,
    /// Its sender is dead, has left, or has been replaced by another process; its claims about others were
    /// ignored.
    #[error("sender is no longer a member")]
    StaleSender,
    /// The member table has no room for a member that it names.
    #[error("member table is full")]
    TableFull,
}

impl DatagramError {
    /// All errors, in the order of their discriminants.
    pub const ALL: [DatagramError; 6] = [
        DatagramError::Oversized,
        DatagramError::Malformed,
        DatagramError::OtherFleet,
        DatagramError::WrongKey,
        DatagramError::StaleSender,
        DatagramError::TableFull,
    ];

    /// The label value in metrics.
    pub fn name(self) -> &'static str {
        ["oversized", "garbled", "fleet", "key", "stale", "full"][self as usize]
    }
}

/// The message of a datagram. Variants and fields are encoded by their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Probe: the target answers with an ack, any other node ignores it.
    Ping { seq: u32, target: String },
    /// Answer to a ping, direct or relayed.
    Ack { seq: u32 },
    /// Request to probe the target on behalf of the sender (SWIM's ping-req).
    PingRequest { seq: u32, target: String, address: SocketAddr },
    /// The target of an indirect probe has not answered the relaying member in time.
    Nack { seq: u32 },
    /// Claims only.
    Gossip,
    /// Request by a process that is not a member yet for all claims.
    Join,
    /// Digests of the sender's member table; the receiver answers with the claims of the buckets that differ,
    /// and with its own digests if `wants_digests`.
    Digests { digests: [u32; DIGEST_BUCKETS], wants_digests: bool },
    /// Claims in answer to a join or to digests.
    Records,
    /// The sender has the same name as the receiver, and has been up for this many nanoseconds.
    NameConflict { uptime: u64 },
}

/// Kind of a datagram, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramKind {
    /// Direct or relayed probe.
    Ping,
    /// Answer to a probe.
    Ack,
    /// Request for an indirect probe.
    PingRequest,
    /// Report that an indirect probe was not answered.
    Nack,
    /// Claims only.
    Gossip,
    /// Join request.
    Join,
    /// Digests of the member table.
    Digests,
    /// Claims in answer to a join request or to digests.
    Records,
    /// Report that two processes have the same name.
    NameConflict,
}

impl DatagramKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [DatagramKind; 9] = [
        DatagramKind::Ping,
        DatagramKind::Ack,
        DatagramKind::PingRequest,
        DatagramKind::Nack,
        DatagramKind::Gossip,
        DatagramKind::Join,
        DatagramKind::Digests,
        DatagramKind::Records,
        DatagramKind::NameConflict,
    ];

    /// The label value in metrics.
    pub fn name(self) -> &'static str {
        ["ping", "ack", "ping-for", "nack", "gossip", "join", "ask", "records", "conflict"][self as usize]
    }
}

impl Body {
    /// The kind of the datagram.
    pub fn kind(&self) -> DatagramKind {
        match self {
            Body::Ping { .. } => DatagramKind::Ping,
            Body::Ack { .. } => DatagramKind::Ack,
            Body::PingRequest { .. } => DatagramKind::PingRequest,
            Body::Nack { .. } => DatagramKind::Nack,
            Body::Gossip => DatagramKind::Gossip,
            Body::Join => DatagramKind::Join,
            Body::Digests { .. } => DatagramKind::Digests,
            Body::Records => DatagramKind::Records,
            Body::NameConflict { .. } => DatagramKind::NameConflict,
        }
    }
}

/// Header of every datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's record of itself.
    pub sender: MemberRecord,
    /// Digest of the sender's view.
    pub view_digest: u64,
    /// The message.
    pub body: Body,
}

/// A decoded datagram.
#[derive(Debug, PartialEq)]
pub struct Datagram {
    /// Sender and message.
    pub header: Header,
    /// Claims about members.
    pub claims: Vec<Claim>,
}

/// Encodes, authenticates and decodes the datagrams of one fleet.
#[derive(Clone)]
pub struct Codec {
    fleet_tag: [u8; FLEET_TAG_BYTES],
    key: Option<[u8; 32]>,
}

impl Codec {
    /// A codec for the named fleet; datagrams are authenticated if there is a key.
    pub fn new(fleet: &str, key: Option<[u8; 32]>) -> Self {
        let mut fleet_tag = [0; FLEET_TAG_BYTES];
        fleet_tag.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..FLEET_TAG_BYTES]);
        Codec { fleet_tag, key }
    }

    /// Maximum length before the MAC is appended, for a datagram of `datagram_bytes` in all.
    pub fn max_bytes_before_mac(&self, datagram_bytes: usize) -> usize {
        datagram_bytes - if self.key.is_some() { MAC_BYTES } else { 0 }
    }

    /// Encodes the start of a datagram, to which claims and then the MAC are appended.
    pub fn encode_header(&self, header: &Header) -> Vec<u8> {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(self.fleet_tag);
        // Encoding a valid header cannot fail.
        bytes.extend(postcard::to_stdvec(header).unwrap_or_default());
        bytes
    }

    /// Completes a datagram with its MAC if the fleet has a key.
    pub fn append_mac(&self, bytes: &mut Vec<u8>) {
        if let Some(key) = &self.key {
            let mac = blake3::keyed_hash(key, bytes);
            bytes.extend(&mac.as_bytes()[..MAC_BYTES]);
        }
    }

    /// Authenticates, decodes and validates a datagram.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversized);
        }
        let (version, rest) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        let (fleet_tag, mut rest) = rest.split_at_checked(FLEET_TAG_BYTES).ok_or(DatagramError::Malformed)?;
        if *version != PROTOCOL_VERSION {
            return Err(DatagramError::Malformed);
        }
        if fleet_tag != self.fleet_tag {
            return Err(DatagramError::OtherFleet);
        }
        if let Some(key) = &self.key {
            let mac_start = bytes
                .len()
                .checked_sub(MAC_BYTES)
                .filter(|start| *start > FLEET_TAG_BYTES)
                .ok_or(DatagramError::WrongKey)?;
            let expected = blake3::keyed_hash(key, &bytes[..mac_start]);
            // Constant time: all bytes are compared, wherever the first difference is.
            let difference =
                expected.as_bytes().iter().zip(&bytes[mac_start..]).fold(0, |sum, (a, b)| sum | (a ^ b));
            if difference != 0 {
                return Err(DatagramError::WrongKey);
            }
            rest = &rest[..rest.len() - MAC_BYTES];
        }
        let (header, mut rest) =
            postcard::take_from_bytes::<Header>(rest).map_err(|_| DatagramError::Malformed)?;
        let mut claims = Vec::new();
        while !rest.is_empty() {
            let (claim, remaining) =
                postcard::take_from_bytes::<Claim>(rest).map_err(|_| DatagramError::Malformed)?;
            claims.push(claim);
            rest = remaining;
        }
        let is_valid = header.sender.is_valid()
            && claims
                .iter()
                .all(|claim| claim.record.is_valid() && claim.reported_by.len() <= crate::MAX_NAME_BYTES);
        is_valid.then_some(Datagram { header, claims }).ok_or(DatagramError::Malformed)
    }
}
