//! Header fields in the least memory, for the time in which a request waits.
//!
//! A parsed [`HeaderMap`] takes a hundred bytes and more for each field, and its values keep the buffer that their
//! connection was read into. With many short fields that is tens of kilobytes for a head of one.

use corkhollow_plan::limits::HEADER_FIELD_BYTES;
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// Length of the length before each name and each value.
const LENGTH_BYTES: usize = size_of::<u16>();

/// Header fields in their order, in one block of memory: the length of the name, the name, the length of the value,
/// the value, and so on.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct StoredHeaders {
    bytes: Vec<u8>,
}

impl StoredHeaders {
    /// Copies all fields.
    pub fn new(headers: &HeaderMap) -> Self {
        let length = headers.iter().map(|(name, value)| stored_length(name, value)).sum();
        let mut stored = StoredHeaders { bytes: Vec::with_capacity(length) };
        headers.iter().for_each(|(name, value)| stored.push(name, value));
        stored
    }

    /// What the fields take in memory while their request is under way.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.len() + self.fields().count() * HEADER_FIELD_BYTES
    }

    /// Appends a field. One longer than 65,535 bytes is left out; no accepted head has any.
    pub fn push(&mut self, name: &HeaderName, value: &HeaderValue) {
        let lengths = (u16::try_from(name.as_str().len()), u16::try_from(value.len()));
        if let (Ok(name_length), Ok(value_length)) = lengths {
            self.bytes.reserve_exact(stored_length(name, value));
            self.bytes.extend(name_length.to_be_bytes());
            self.bytes.extend(name.as_str().as_bytes());
            self.bytes.extend(value_length.to_be_bytes());
            self.bytes.extend(value.as_bytes());
        }
    }

    /// The value of the first field of this name.
    pub fn get(&self, name: &HeaderName) -> Option<&[u8]> {
        self.fields()
            .find(|(stored_name, _)| *stored_name == name.as_str().as_bytes())
            .map(|(_, value)| value)
    }

    /// Whether there is a field of this name.
    pub fn contains(&self, name: &HeaderName) -> bool {
        self.get(name).is_some()
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &HeaderName) {
        if self.contains(name) {
            let mut headers = self.to_header_map();
            headers.remove(name);
            *self = StoredHeaders::new(&headers);
        }
    }

    /// The fields as a map.
    pub fn to_header_map(&self) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.fields().count());
        for (name, value) in self.fields() {
            if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name), HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        headers
    }

    /// Names and values.
    fn fields(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let mut rest = &self.bytes[..];
        std::iter::from_fn(move || Some((take_part(&mut rest)?, take_part(&mut rest)?)))
    }
}

impl std::fmt::Debug for StoredHeaders {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.to_header_map().fmt(f)
    }
}

fn stored_length(name: &HeaderName, value: &HeaderValue) -> usize {
    2 * LENGTH_BYTES + name.as_str().len() + value.len()
}

/// Takes a name or a value off the beginning.
fn take_part<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, behind) = rest.split_first_chunk::<LENGTH_BYTES>()?;
    let (part, behind) = behind.split_at_checked(usize::from(u16::from_be_bytes(*length)))?;
    *rest = behind;
    Some(part)
}
