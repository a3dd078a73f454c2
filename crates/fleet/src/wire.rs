//! Datagrams: a version, the fleet's tag, a head that tells of the sender, as many claims as fit, and, where the fleet has a
//! key, a keyed hash (BLAKE3) over all of it.

use crate::member::{Claim, Record};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The largest datagram that may be set, in bytes: it crosses an Ethernet in one piece.
pub const LARGEST_DATAGRAM: usize = 1400;
/// The smallest, in bytes. All of it works as well.
pub const SMALLEST_DATAGRAM: usize = 256;
/// The first byte. Another one is another protocol.
const VERSION: u8 = 0xc1;
const TAG: usize = 8;
const HASH: usize = 16;
/// Parts of the table that nodes compare by their digests.
pub(crate) const BUCKETS: usize = 16;

/// Why a datagram was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// It is longer than any that a node sends.
    #[error("longer than any datagram of a fleet")]
    Oversized,
    /// It is cut, garbled or out of bounds.
    #[error("not a datagram of this protocol")]
    Garbled,
    /// It is another fleet's.
    #[error("of another fleet")]
    Fleet,
    /// Its hash is not one of this fleet's key.
    #[error("not by this fleet's key")]
    Key,
    /// Its sender has been given up or superseded, and what it says of others does not count.
    #[error("by a node that has been given up")]
    Stale,
    /// It names a member more than a node keeps.
    #[error("more members than a node keeps")]
    Full,
}

impl Refusal {
    /// All of them.
    pub const ALL: [Refusal; 6] =
        [Refusal::Oversized, Refusal::Garbled, Refusal::Fleet, Refusal::Key, Refusal::Stale, Refusal::Full];

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
    PingFor { seq: u32, to: String, address: SocketAddr },
    /// It has not answered me either, so far.
    Nack { seq: u32 },
    /// Claims only.
    Gossip,
    /// Who is there? The sender is not a member yet.
    Join,
    /// These are the digests of my table; tell me of the parts that differ.
    Ask { digests: [u32; BUCKETS], back: bool },
    /// What was asked for.
    Records,
    /// Another process has that name, and has been there for so long, in nanoseconds.
    Conflict { uptime: u64 },
}

/// Kinds of datagrams, for figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Probes.
    Ping,
    /// Their answers.
    Ack,
    /// Requests for an indirect probe.
    PingFor,
    /// Word that one has not been answered.
    Nack,
    /// Rumours.
    Gossip,
    /// Calls of newcomers.
    Join,
    /// Digests.
    Ask,
    /// Answers to them.
    Records,
    /// Words on a name that two processes claim.
    Conflict,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 9] = [
        Kind::Ping,
        Kind::Ack,
        Kind::PingFor,
        Kind::Nack,
        Kind::Gossip,
        Kind::Join,
        Kind::Ask,
        Kind::Records,
        Kind::Conflict,
    ];

    /// Its word, for figures.
    pub fn name(self) -> &'static str {
        ["ping", "ack", "ping-for", "nack", "gossip", "join", "ask", "records", "conflict"][self as usize]
    }
}

impl Body {
    /// Which kind it is.
    pub fn kind(&self) -> Kind {
        match self {
            Body::Ping { .. } => Kind::Ping,
            Body::Ack { .. } => Kind::Ack,
            Body::PingFor { .. } => Kind::PingFor,
            Body::Nack { .. } => Kind::Nack,
            Body::Gossip => Kind::Gossip,
            Body::Join => Kind::Join,
            Body::Ask { .. } => Kind::Ask,
            Body::Records => Kind::Records,
            Body::Conflict { .. } => Kind::Conflict,
        }
    }
}

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The sender, by its own word.
    pub from: Record,
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
    pub fn read(&self, bytes: &[u8]) -> Result<Packet, Refusal> {
        if bytes.len() > LARGEST_DATAGRAM {
            return Err(Refusal::Oversized);
        }
        let (version, rest) = bytes.split_first().ok_or(Refusal::Garbled)?;
        let (tag, mut rest) = rest.split_at_checked(TAG).ok_or(Refusal::Garbled)?;
        if *version != VERSION {
            return Err(Refusal::Garbled);
        }
        if tag != self.tag {
            return Err(Refusal::Fleet);
        }
        if let Some(key) = &self.key {
            let end = bytes.len().checked_sub(HASH).filter(|end| *end > TAG).ok_or(Refusal::Key)?;
            let told = blake3::keyed_hash(key, &bytes[..end]);
            // Every byte is looked at, wherever the first difference is.
            let apart = told.as_bytes().iter().zip(&bytes[end..]).fold(0, |sum, (a, b)| sum | (a ^ b));
            if apart != 0 {
                return Err(Refusal::Key);
            }
            rest = &rest[..rest.len() - HASH];
        }
        let (head, mut rest) = postcard::take_from_bytes::<Head>(rest).map_err(|_| Refusal::Garbled)?;
        let mut claims = Vec::new();
        while !rest.is_empty() {
            let (claim, after) = postcard::take_from_bytes::<Claim>(rest).map_err(|_| Refusal::Garbled)?;
            claims.push(claim);
            rest = after;
        }
        let sound = head.from.is_sound()
            && claims.iter().all(|claim| claim.record.is_sound() && claim.by.len() <= crate::LONGEST_NAME);
        sound.then_some(Packet { head, claims }).ok_or(Refusal::Garbled)
    }
}
