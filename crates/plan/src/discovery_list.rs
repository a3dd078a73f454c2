//! The list of servers as the platform's discovery sends it, and a reader for a stream of such lists.

use serde::Deserialize;
use std::net::SocketAddr;

/// The longest list accepted, about five times a list of 10,000 servers.
pub const MAX_LIST_BYTES: usize = 8 << 20;

/// A list of servers, or of changes to the last list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostList {
    /// Its sequence number.
    pub seq: u64,
    /// Whether it holds all servers, not only those that changed.
    #[serde(default)]
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<HostEntry>,
}

/// A server in a list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostEntry {
    /// Its name, the same for every node.
    pub host: String,
    /// The address at which this node reaches it.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: Option<String>,
    /// Its kind of machine.
    #[serde(default)]
    pub class: Option<String>,
    /// The cell whose servers share the idempotency keys that they have seen.
    #[serde(default)]
    pub block: Option<u16>,
    /// Whether it takes requests.
    pub health: Health,
    /// Its capacity relative to the other servers.
    #[serde(default)]
    pub share: Option<f32>,
    /// When its process last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub born_ms: Option<u64>,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It takes requests.
    Active,
    /// It finishes its open requests and takes no new ones.
    Leaving,
    /// It is gone.
    Left,
}

/// Why received bytes are no list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is longer than [`MAX_LIST_BYTES`].
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// It cannot be parsed.
    #[error("malformed list: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Splits a stream of bytes into lists. Each list is a JSON object on one or more lines; white space between lists is
/// the heartbeat.
#[derive(Debug, Default)]
pub struct ListReader {
    /// The bytes of the incomplete list.
    buffer: Vec<u8>,
    /// The number of objects and arrays that are open.
    depth: usize,
    /// Whether the last byte was inside of a string.
    in_string: bool,
    /// Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    /// The number of bytes that [`ListReader::check`] has found to be the beginning of a list.
    checked_bytes: usize,
}

impl ListReader {
    /// Whether a list has begun and is incomplete.
    pub fn is_mid_list(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads received bytes, and returns the lists that they complete.
    ///
    /// # Errors
    /// If the bytes cannot become a list. The reader cannot be used after that, since the start of the next list is
    /// unknown.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<HostList>, ListError> {
        let mut lists = Vec::new();
        for &byte in bytes {
            if !self.is_mid_list() && byte.is_ascii_whitespace() {
                continue;
            }
            self.buffer.push(byte);
            if self.ends_list(byte) {
                lists.push(serde_json::from_slice(&self.buffer)?);
                *self = ListReader::default();
            } else if self.buffer.len() > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
        }
        // A truncated list would otherwise swallow all lists after it. Checks only when the length has doubled, so that
        // a list in small chunks does not take quadratic time.
        if self.buffer.len() > 2 * self.checked_bytes {
            self.check()?;
        }
        Ok(lists)
    }

    /// Checks that the incomplete list can still become a valid one.
    ///
    /// # Errors
    /// If it cannot.
    pub fn check(&mut self) -> Result<(), ListError> {
        self.checked_bytes = self.buffer.len();
        match serde_json::from_slice::<HostList>(&self.buffer) {
            Err(error) if self.is_mid_list() && !error.is_eof() => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// Whether the list ends with this byte. Bytes that do not begin with an object or array end at once, so that
    /// parsing fails.
    fn ends_list(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            // JSON strings contain no raw line feeds: the list was truncated.
            b'\n' if self.in_string => return true,
            _ if self.in_string => {}
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
        let entry = r#"{"host":"s \\ \"{[ 1","dial":"127.0.0.1:1","health":"active"}"#;
        format!(r#"{{"seq":{seq},"whole":true,"hosts":[{entry},{entry}]}}"#)
    }

    fn indented(list: &str) -> String {
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(list).unwrap()).unwrap()
    }

    fn read(chunks: impl Iterator<Item = Vec<u8>>) -> Result<Vec<u64>, ListError> {
        let mut reader = ListReader::default();
        let mut sequence_numbers = Vec::new();
        for chunk in chunks {
            sequence_numbers.extend(reader.feed(&chunk)?.into_iter().map(|list| list.seq));
        }
        Ok(sequence_numbers)
    }

    #[test]
    fn a_truncated_list_does_not_swallow_the_next() {
        let complete = list(1);
        for length in 1..complete.len() {
            for end in ["\n", "\r\n\r\n"] {
                // One of the following lists must reveal the error.
                let chunks = [&complete[..length], end].into_iter().map(str::to_owned);
                let next = (2..8).map(|seq| list(seq) + "\n");
                let read = read(chunks.chain(next).map(String::into_bytes));
                assert!(read.is_err(), "truncated to {length}: {read:?}");
            }
        }
    }

    #[test]
    fn malformed_input_is_rejected_at_once() {
        for malformed in ["[]", "\u{1}", "7", "x", "]", "\"", "{\"seq\":1}", "{]", "null"] {
            let mut reader = ListReader::default();
            let result = reader.feed(malformed.as_bytes()).and_then(|_| reader.check());
            assert!(result.is_err() || malformed == "\"", "{malformed}");
        }
        let endless = vec![b'['; MAX_LIST_BYTES + 2];
        assert!(read([b"{\"hosts\":".to_vec(), endless].into_iter()).is_err());
    }

    proptest! {
        // A fixed seed makes the cases reproducible.
        #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// Lists on one or many lines, with heartbeats between them, are returned complete and in order, however the
        /// stream is split.
        #[test]
        fn lists_are_returned_complete_and_in_order(
            sent in proptest::collection::vec((any::<bool>(), "[ \r\n]{0,3}"), 0..5),
            lengths in proptest::collection::vec(1..400usize, 0..40),
            bytewise in any::<bool>(),
        ) {
            let mut text = String::new();
            for (seq, (many_lines, heartbeat)) in sent.iter().enumerate() {
                let one_line = list(seq as u64);
                text += &if *many_lines { indented(&one_line) } else { one_line };
                text += heartbeat;
            }
            let mut rest = text.as_bytes();
            let mut lengths = lengths.into_iter();
            let chunks = std::iter::from_fn(|| {
                let max_length = if bytewise { 1 } else { lengths.next().unwrap_or(usize::MAX) };
                let (chunk, next) = rest.split_at(max_length.min(rest.len()));
                rest = next;
                (!chunk.is_empty()).then(|| chunk.to_vec())
            });
            prop_assert_eq!(read(chunks).unwrap(), (0..sent.len() as u64).collect::<Vec<_>>());
        }
    }
}
