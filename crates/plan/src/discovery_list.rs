//! The list of servers as the platform's discovery words it.

use serde::Deserialize;
use std::net::SocketAddr;

/// The longest list; one of 10,000 servers has a fifth of that.
pub const MAX_LIST_BYTES: usize = 8 << 20;

/// One line of discovery.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// All servers, not only those that changed.
    #[serde(default)]
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<HostEntry>,
}

/// One server, as discovery words it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostEntry {
    /// The same at every node.
    pub host: String,
    /// Where it listens for this node.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: Option<String>,
    /// Its kind of machine.
    #[serde(default)]
    pub class: Option<String>,
    /// Its group of shared key memory.
    #[serde(default)]
    pub block: Option<u16>,
    /// Where it stands in its life.
    pub health: Health,
    /// Its listed size.
    #[serde(default)]
    pub share: Option<f32>,
    /// When its process last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: Option<u64>,
}

/// Where a server stands in its life, in discovery's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Takes work.
    Active,
    /// Finishes what it has, wants nothing new.
    Leaving,
    /// Gone.
    Left,
}

/// What comes is no list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is longer than any list.
    #[error("a list of over {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// It cannot be read as one.
    #[error("a list that cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Lists out of a stream of bytes, cut anywhere: one JSON object behind the other, on one line or on many, white space
/// (the heartbeat) between them.
#[derive(Debug, Default)]
pub struct ListReader {
    /// The list that has begun.
    held: Vec<u8>,
    /// Objects and arrays that are open in it.
    depth: usize,
    text: bool,
    escaped: bool,
    /// How much of it is known to be the beginning of a list.
    checked: usize,
}

impl ListReader {
    /// A list has begun and is not whole.
    pub fn is_mid_list(&self) -> bool {
        !self.held.is_empty()
    }

    /// Takes what has come, and gives the lists that are whole with it.
    ///
    /// # Errors
    /// Where it can't become a list. The reader is of no further use then: nobody knows where the next one begins.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<HostList>, ListError> {
        let mut lists = Vec::new();
        for &byte in bytes {
            if !self.is_mid_list() && byte.is_ascii_whitespace() {
                continue;
            }
            self.held.push(byte);
            if self.ends(byte) {
                lists.push(serde_json::from_slice(&self.held)?);
                *self = ListReader::default();
            } else if self.held.len() > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
        }
        // What was cut short and goes on with the next list would swallow that one, and all behind it. Looked at in
        // steps that double, or a list in small pieces would cost the square of its length.
        if self.held.len() > 2 * self.checked {
            self.check()?;
        }
        Ok(lists)
    }

    /// Whether what has come of a list can still become one.
    ///
    /// # Errors
    /// Where it can't.
    pub fn check(&mut self) -> Result<(), ListError> {
        self.checked = self.held.len();
        match serde_json::from_slice::<HostList>(&self.held) {
            Err(error) if self.is_mid_list() && !error.is_eof() => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// Whether the list ends with this byte. What is no object from its first byte on ends at once, and is turned down.
    fn ends(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.text => self.escaped = true,
            b'"' => self.text = !self.text,
            // JSON has no line ends in texts: this one was cut short.
            b'\n' if self.text => return true,
            _ if self.text => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        self.depth == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn list(seq: u64) -> String {
        let host = r#"{"host":"s \\ \"{[ 1","dial":"127.0.0.1:1","health":"active"}"#;
        format!(r#"{{"seq":{seq},"whole":true,"hosts":[{host},{host}]}}"#)
    }

    fn indented(list: &str) -> String {
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(list).unwrap()).unwrap()
    }

    fn read(pieces: impl Iterator<Item = Vec<u8>>) -> Result<Vec<u64>, ListError> {
        let mut reader = ListReader::default();
        let mut seen = Vec::new();
        for piece in pieces {
            seen.extend(reader.feed(&piece)?.into_iter().map(|list| list.seq));
        }
        Ok(seen)
    }

    #[test]
    fn a_list_that_was_cut_short_does_not_swallow_the_next() {
        let whole = list(1);
        for cut in 1..whole.len() {
            for end in ["\n", "\r\n\r\n"] {
                // Whatever it is cut behind, one of the next lists shows it.
                let pieces = [&whole[..cut], end].into_iter().map(str::to_owned);
                let next = (2..8).map(|seq| list(seq) + "\n");
                let read = read(pieces.chain(next).map(String::into_bytes));
                assert!(read.is_err(), "cut at {cut}: {read:?}");
            }
        }
    }

    #[test]
    fn what_is_no_list_is_told_at_once() {
        for nonsense in ["[]", "\u{1}", "7", "x", "]", "\"", "{\"seq\":1}", "{]", "null"] {
            let mut reader = ListReader::default();
            let told = reader.feed(nonsense.as_bytes()).and_then(|_| reader.check());
            assert!(told.is_err() || nonsense == "\"", "{nonsense}");
        }
        let endless = vec![b'['; MAX_LIST_BYTES + 2];
        assert!(read([b"{\"hosts\":".to_vec(), endless].into_iter()).is_err());
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// On one line or on many, with heartbeats between, cut anywhere: all come out, in their order.
        #[test]
        fn lists_come_whole(
            told in proptest::collection::vec((any::<bool>(), "[ \r\n]{0,3}"), 0..5),
            cuts in proptest::collection::vec(1..400usize, 0..40),
            bytewise in any::<bool>(),
        ) {
            let mut text = String::new();
            for (seq, (many, beat)) in told.iter().enumerate() {
                let one = list(seq as u64);
                text += &if *many { indented(&one) } else { one };
                text += beat;
            }
            let mut rest = text.as_bytes();
            let mut cuts = cuts.into_iter();
            let pieces = std::iter::from_fn(|| {
                let most = if bytewise { 1 } else { cuts.next().unwrap_or(usize::MAX) };
                let (piece, next) = rest.split_at(most.min(rest.len()));
                rest = next;
                (!piece.is_empty()).then(|| piece.to_vec())
            });
            prop_assert_eq!(read(pieces).unwrap(), (0..told.len() as u64).collect::<Vec<_>>());
        }
    }
}
