//! What a process hands to the one that takes its place, as bytes: a line that names the form, the body's length and
//! CRC-32 (big endian), and the body in JSON.

use corkhollow_balance::Knowledge;
use serde::{Deserialize, Serialize};

/// The first line. Another version of the form has another one.
const FORM: &[u8] = b"corkhollow-handover 1\n";
const HEAD: usize = FORM.len() + 8;
/// The longest handover, in bytes.
pub const MAX_HANDOVER_BYTES: usize = 4 << 20;

/// What a process knows that the next one goes on with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Its operator empties the node.
    #[serde(default)]
    pub drains: bool,
    /// The fleet as it holds it, if it is a member of one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetHandover>,
    /// By pool.
    pub pools: Vec<PoolHandover>,
}

/// What a member of a fleet goes on with: until it is heard of itself, nothing else says how many there are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetHandover {
    /// Its number among those that are there.
    pub ordinal: u32,
    /// How many are there.
    pub size: u32,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where others are reached.
    pub members: Vec<std::net::SocketAddr>,
}

/// What one pool has learnt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolHandover {
    /// The pool's name.
    pub name: String,
    /// The names of the classes, in the order of [`Knowledge::classes`].
    pub classes: Vec<String>,
    /// What its decision module knew.
    pub knowledge: Knowledge,
}

/// Why bytes are no handover.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Over [`MAX_HANDOVER_BYTES`].
    #[error("of {0} bytes; allowed: up to {MAX_HANDOVER_BYTES}")]
    TooLong(usize),
    /// Another program's, or another version's.
    #[error("of another form")]
    UnknownFormat,
    /// Cut, longer than it says, or damaged.
    #[error("not whole")]
    Damaged,
    /// Whole, but not what this version writes.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl Handover {
    /// Writes it down.
    ///
    /// # Errors
    /// Where it would be longer than [`MAX_HANDOVER_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, HandoverError> {
        let body = serde_json::to_vec(self)?;
        let all = HEAD + body.len();
        let length = u32::try_from(body.len()).ok().filter(|_| all <= MAX_HANDOVER_BYTES);
        let length = length.ok_or(HandoverError::TooLong(all))?;
        let mut bytes = Vec::with_capacity(all);
        bytes.extend(FORM);
        bytes.extend(length.to_be_bytes());
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Reads one that is whole.
    ///
    /// # Errors
    /// Where the bytes are not exactly one handover of this form.
    pub fn decode(bytes: &[u8]) -> Result<Self, HandoverError> {
        if bytes.len() > MAX_HANDOVER_BYTES {
            return Err(HandoverError::TooLong(bytes.len()));
        }
        let rest = bytes.strip_prefix(FORM).ok_or(HandoverError::UnknownFormat)?;
        let (length, rest) = rest.split_first_chunk().ok_or(HandoverError::Damaged)?;
        let (sum, body) = rest.split_first_chunk().ok_or(HandoverError::Damaged)?;
        let whole = u32::from_be_bytes(*length) as usize == body.len();
        if !whole || u32::from_be_bytes(*sum) != crc32fast::hash(body) {
            return Err(HandoverError::Damaged);
        }
        Ok(serde_json::from_slice(body)?)
    }

    /// The same on another clock, on which the oldest of it was written down then. The two processes may have read a wall clock that was
    /// set in between, each at its start.
    pub fn rebased_to(mut self, written_at: u64) -> Self {
        let ahead = self.oldest_written_at().map_or(0, |at| written_at.wrapping_sub(at) as i64);
        self.pools.iter_mut().for_each(|pool| pool.knowledge.shift(ahead));
        self
    }

    /// When the oldest of it was written down, in nanoseconds since the Unix epoch; none where nothing was.
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
    fn whole_it_is_read_as_written_and_cut_or_flipped_anywhere_it_is_turned_down() {
        let told = handover(3, 1.0 / 3.0);
        let bytes = told.encode().unwrap();
        assert_eq!(Handover::decode(&bytes).unwrap(), told);
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
    fn what_is_too_long_or_no_number_is_not_handed_over() {
        assert!(matches!(handover(60_000, 1.0).encode(), Err(HandoverError::TooLong(_))));
        assert!(matches!(Handover::decode(&vec![0; MAX_HANDOVER_BYTES + 1]), Err(HandoverError::TooLong(_))));
        // JSON has no word for it, so that it can't come back as another figure.
        let bytes = handover(1, f64::NAN).encode().unwrap();
        assert!(matches!(Handover::decode(&bytes), Err(HandoverError::Json(_))));
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_bytes_are_read_or_turned_down(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let framed = [FORM, &(bytes.len() as u32).to_be_bytes(), &crc32fast::hash(&bytes).to_be_bytes(), &bytes].concat();
            prop_assert!(Handover::decode(&bytes).is_err());
            prop_assert!(Handover::decode(&framed).is_err(), "no JSON of this form is so short by chance");
        }

        #[test]
        fn every_finite_figure_comes_back_as_it_was(servers in 0..40u64, lag in -1e9..1e9f64) {
            let told = handover(servers, lag);
            prop_assert_eq!(Handover::decode(&told.encode().unwrap()).unwrap(), told);
        }
    }
}
