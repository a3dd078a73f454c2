//! The state that a process hands over to its successor. Encoding: a line that names the format, the length
//! and the CRC-32 of the body (both `u32`, big endian), then the body in JSON.

use corkhollow_balance::Knowledge;
use serde::{Deserialize, Serialize};

/// First line; names the format and its version.
const HEADER: &[u8] = b"corkhollow-handover 1\n";
/// Length of everything before the body.
const PREFIX_BYTES: usize = HEADER.len() + 8;
/// Longest encoded hand-over.
pub const MAX_HANDOVER_BYTES: usize = 4 << 20;

/// State that a process hands over to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Whether the node is draining.
    #[serde(default)]
    pub drains: bool,
    /// View of the fleet, if the node is a member of one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetHandover>,
    /// State of each pool.
    pub pools: Vec<PoolHandover>,
}

/// Fleet membership that a successor assumes until it has joined the fleet itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHandover {
    /// Rank of the node among the present members, from 0.
    pub ordinal: u32,
    /// Number of present members, the node included.
    pub size: u32,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Addresses of the other members.
    pub members: Vec<std::net::SocketAddr>,
}

/// What the balancer of one pool has learnt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolHandover {
    /// Name of the pool.
    pub name: String,
    /// Names of the classes, in the order of [`Knowledge::classes`].
    pub classes: Vec<String>,
    /// Measurements of the pool's servers and classes.
    pub knowledge: Knowledge,
}

/// Why a hand-over cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Longer than [`MAX_HANDOVER_BYTES`].
    #[error("hand-over is {0} bytes long; the limit is {MAX_HANDOVER_BYTES}")]
    TooLong(usize),
    /// The first line does not name this format.
    #[error("hand-over has an unknown format")]
    UnknownFormat,
    /// Length or checksum do not match the body.
    #[error("hand-over is truncated or corrupt")]
    Damaged,
    /// The body cannot be written or read as JSON of this format.
    #[error("hand-over body: {0}")]
    Json(#[from] serde_json::Error),
}

impl Handover {
    /// Encodes the hand-over.
    ///
    /// # Errors
    /// If it would be longer than [`MAX_HANDOVER_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, HandoverError> {
        let body = serde_json::to_vec(self)?;
        let total_bytes = PREFIX_BYTES + body.len();
        let length = u32::try_from(body.len()).ok().filter(|_| total_bytes <= MAX_HANDOVER_BYTES);
        let length = length.ok_or(HandoverError::TooLong(total_bytes))?;
        let mut bytes = Vec::with_capacity(total_bytes);
        bytes.extend(HEADER);
        bytes.extend(length.to_be_bytes());
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Decodes a hand-over.
    ///
    /// # Errors
    /// If the bytes are not exactly one hand-over in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, HandoverError> {
        if bytes.len() > MAX_HANDOVER_BYTES {
            return Err(HandoverError::TooLong(bytes.len()));
        }
        let rest = bytes.strip_prefix(HEADER).ok_or(HandoverError::UnknownFormat)?;
        let (length, rest) = rest.split_first_chunk().ok_or(HandoverError::Damaged)?;
        let (checksum, body) = rest.split_first_chunk().ok_or(HandoverError::Damaged)?;
        let is_complete = u32::from_be_bytes(*length) as usize == body.len();
        if !is_complete || u32::from_be_bytes(*checksum) != crc32fast::hash(body) {
            return Err(HandoverError::Damaged);
        }
        Ok(serde_json::from_slice(body)?)
    }

    /// Shifts all timestamps so that the oldest one becomes `written_at`. The two processes may have started
    /// on different settings of the wall clock.
    pub fn rebased_to(mut self, written_at: u64) -> Self {
        let offset = self.oldest_written_at().map_or(0, |at| written_at.wrapping_sub(at) as i64);
        self.pools.iter_mut().for_each(|pool| pool.knowledge.shift(offset));
        self
    }

    /// Oldest time at which a pool's knowledge was exported, in nanoseconds since the Unix epoch; `None`
    /// without pools.
    pub fn oldest_written_at(&self) -> Option<u64> {
        self.pools.iter().map(|pool| pool.knowledge.at).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use corkhollow_balance::interface::ServerId;
    use corkhollow_balance::{ClassKnowledge, ServerKnowledge};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn handover(servers: u64, lag: f64) -> Handover {
        let server = |k| ServerKnowledge {
            id: ServerId(u64::MAX - k),
            started_at: k,
            lag,
            lag_at: 7,
            score: 0.1 * k as f64,
            consecutive_failures: 2,
            ejected_until: u64::MAX,
            failure_rate: 0.25,
            failure_rate_at: 9,
        };
        let classes = vec![ClassKnowledge { typical_nanos: 1.5e6, answer_count: 12.0, min_nanos: 0.5e6 }];
        let knowledge = Knowledge { at: 5, classes, servers: (0..servers).map(server).collect() };
        Handover {
            fleet: None,
            drains: servers % 2 == 1,
            pools: vec![PoolHandover {
                name: "pool \"ä\"".into(),
                classes: vec!["status".into()],
                knowledge,
            }],
        }
    }

    #[test]
    fn intact_bytes_decode_and_truncated_or_corrupt_ones_are_rejected() {
        let original = handover(3, 1.0 / 3.0);
        let bytes = original.encode().unwrap();
        assert_eq!(Handover::decode(&bytes).unwrap(), original);
        for at in 0..bytes.len() {
            assert!(Handover::decode(&bytes[..at]).is_err(), "cut at {at}");
            for bit in 0..8 {
                let mut flipped = bytes.clone();
                flipped[at] ^= 1 << bit;
                assert!(Handover::decode(&flipped).is_err(), "bit {bit} of byte {at}");
            }
        }
        let longer = [&bytes[..], b" "].concat();
        assert!(Handover::decode(&longer).is_err());
    }

    #[test]
    fn oversized_and_non_finite_values_are_rejected() {
        assert!(matches!(handover(60_000, 1.0).encode(), Err(HandoverError::TooLong(_))));
        assert!(matches!(Handover::decode(&vec![0; MAX_HANDOVER_BYTES + 1]), Err(HandoverError::TooLong(_))));
        // JSON has no NaN: serde_json writes null, which must not decode as a number.
        let bytes = handover(1, f64::NAN).encode().unwrap();
        assert!(matches!(Handover::decode(&bytes), Err(HandoverError::Json(_))));
    }

    proptest! {
        // A fixed seed: every run tests the same cases.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn arbitrary_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let framed = [HEADER, &(bytes.len() as u32).to_be_bytes(), &crc32fast::hash(&bytes).to_be_bytes(), &bytes].concat();
            prop_assert!(Handover::decode(&bytes).is_err());
            prop_assert!(Handover::decode(&framed).is_err(), "random bytes decoded as a hand-over");
        }

        #[test]
        fn finite_numbers_survive_encoding_exactly(servers in 0..40u64, lag in -1e9..1e9f64) {
            let original = handover(servers, lag);
            prop_assert_eq!(Handover::decode(&original.encode().unwrap()).unwrap(), original);
        }
    }
}
