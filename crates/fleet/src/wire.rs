//! Datagrams: a version, the fleet's tag, a head that tells of the sender, as many claims as fit, and, where the fleet has a
//! key, a keyed hash (BLAKE3) over all of it.

use crate::member::{Claim, MemberRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The largest datagram that may be set, in bytes: it crosses an Ethernet in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The smallest, in bytes. All of it works as well.
pub const MIN_DATAGRAM_BYTES: usize = 256;
/// The first byte. Another one is another protocol.
const VERSION: u8 = 0xc1;
const TAG: usize = 8;
const HASH: usize = 16;
/// Parts of the table that nodes compare by their digests.
pub(crate) const BUCKETS: usize = 16;

/// Why a datagram was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is longer than any that a node sends.
    #[error("longer than any datagram of a fleet")]
    Oversized,
    /// It is cut, garbled or out of bounds.
    #[error("not a datagram of this protocol")]
    Malformed,
    /// It is another fleet's.
    #[error("of another fleet")]
    OtherFleet,
    /// Its hash is not one of this fleet's key.
    #[error("not by this fleet's key")]
    WrongKey,
    /// Its sender has been given up or superseded, and what it says of others does not count.
    #[error("by a node that has been given up")]
    StaleSender,
    /// It names a member more than a node keeps.
    #[error("more members than a node keeps")]
    TableFull,
}

impl DatagramError {
    /// All of them.
    pub const ALL: [DatagramError; 6] = [
        DatagramError::Oversized,
        DatagramError::Malformed,
        DatagramError::OtherFleet,
        DatagramError::WrongKey,
        DatagramError::StaleSender,
        DatagramError::TableFull,
    ];

    /// Its word, for figures.
    pub fn name(self) -> &'static str {
        ["oversized", "garbled", "fleet", "key", "stale", "full"][self as usize]
    }
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// To the named member alone: answer.
    Ping { seq: u32, to: String },
    /// The answer.
    Ack { seq: u32 },
    /// Ping that member for me.
    PingRequest { seq: u32, to: String, address: SocketAddr },
    /// It has not answered me either, so far.
    Nack { seq: u32 },
    /// Claims only.
    Gossip,
    /// Who is there? The sender is not a member yet.
    Join,
    /// These are the digests of my table; tell me of the parts that differ.
    Digests { digests: [u32; BUCKETS], back: bool },
    /// What was asked for.
    Records,
    /// Another process has that name, and has been there for so long, in nanoseconds.
    NameConflict { uptime: u64 },
}

/// Kinds of datagrams, for figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramKind {
    /// Probes.
    Ping,
    /// Their answers.
    Ack,
    /// Requests for an indirect probe.
    PingRequest,
    /// Word that one has not been answered.
    Nack,
    /// Rumours.
    Gossip,
    /// Calls of newcomers.
    Join,
    /// Digests.
    Digests,
    /// Answers to them.
    Records,
    /// Words on a name that two processes claim.
    NameConflict,
}

impl DatagramKind {
    /// All of them.
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

    /// Its word, for figures.
    pub fn name(self) -> &'static str {
        ["ping", "ack", "ping-for", "nack", "gossip", "join", "ask", "records", "conflict"][self as usize]
    }
}

impl Body {
    /// Which kind it is.
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

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The sender, by its own word.
    pub from: MemberRecord,
    /// The digest of its view.
    pub view: u64,
    /// What it wants.
    pub body: Body,
}

/// A datagram that was read.
#[derive(Debug, PartialEq)]
pub struct Packet {
    /// Its head.
    pub head: Head,
    /// What it says of members.
    pub claims: Vec<Claim>,
}

/// How the datagrams of one fleet are sealed.
#[derive(Clone)]
pub struct Seal {
    tag: [u8; TAG],
    key: Option<[u8; 32]>,
}

impl Seal {
    /// That of this fleet, with its key if it has one.
    pub fn new(fleet: &str, key: Option<[u8; 32]>) -> Self {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::hash(fleet.as_bytes()).as_bytes()[..TAG]);
        Seal { tag, key }
    }

    /// How much of a datagram of this size is left for head and claims, counted from its first byte.
    pub fn room(&self, size: usize) -> usize {
        size - if self.key.is_some() { HASH } else { 0 }
    }

    /// Begins a datagram.
    pub fn open(&self, head: &Head) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.tag);
        // All of it is sound and small: it can be written.
        bytes.extend(postcard::to_stdvec(head).unwrap_or_default());
        bytes
    }

    /// Ends it.
    pub fn close(&self, bytes: &mut Vec<u8>) {
        if let Some(key) = &self.key {
            let hash = blake3::keyed_hash(key, bytes);
            bytes.extend(&hash.as_bytes()[..HASH]);
        }
    }

    /// Reads a datagram, whoever has sent it.
    pub fn read(&self, bytes: &[u8]) -> Result<Packet, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversized);
        }
        let (version, rest) = bytes.split_first().ok_or(DatagramError::Malformed)?;
        let (tag, mut rest) = rest.split_at_checked(TAG).ok_or(DatagramError::Malformed)?;
        if *version != VERSION {
            return Err(DatagramError::Malformed);
        }
        if tag != self.tag {
            return Err(DatagramError::OtherFleet);
        }
        if let Some(key) = &self.key {
            let end =
                bytes.len().checked_sub(HASH).filter(|end| *end > TAG).ok_or(DatagramError::WrongKey)?;
            let told = blake3::keyed_hash(key, &bytes[..end]);
            // Every byte is looked at, wherever the first difference is.
            let apart = told.as_bytes().iter().zip(&bytes[end..]).fold(0, |sum, (a, b)| sum | (a ^ b));
            if apart != 0 {
                return Err(DatagramError::WrongKey);
            }
            rest = &rest[..rest.len() - HASH];
        }
        let (head, mut rest) =
            postcard::take_from_bytes::<Head>(rest).map_err(|_| DatagramError::Malformed)?;
        let mut claims = Vec::new();
        while !rest.is_empty() {
            let (claim, after) =
                postcard::take_from_bytes::<Claim>(rest).map_err(|_| DatagramError::Malformed)?;
            claims.push(claim);
            rest = after;
        }
        let sound = head.from.is_valid()
            && claims
                .iter()
                .all(|claim| claim.record.is_valid() && claim.reported_by.len() <= crate::MAX_NAME_BYTES);
        sound.then_some(Packet { head, claims }).ok_or(DatagramError::Malformed)
    }
}
