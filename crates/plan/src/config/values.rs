//! Values that stand in the file as texts.

use crate::routes::path::{normalise, PathPattern, PathRules};
use crate::routes::{HostPattern, Redirect};
use corkhollow_balance::interface::Nanos;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

const NANOS: [(&str, u64); 4] =
    [("ms", 1_000_000), ("s", 1_000_000_000), ("m", 60_000_000_000), ("h", 3_600_000_000_000)];
const BYTES: [(&str, u64); 7] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];
/// A year in nanoseconds: far beyond any use, and times can be added to it.
const MOST: u64 = 31_536_000_000_000_000;

/// A whole number with its unit.
fn measured(text: &str, units: &[(&str, u64)], least: u64) -> Result<u64, String> {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let scale = units.iter().find(|(name, _)| *name == unit).map(|(_, scale)| *scale);
    let value = scale.zip(digits.parse::<u64>().ok()).and_then(|(scale, n)| n.checked_mul(scale));
    match value {
        Some(value) if value < least => Err(format!("`{text}` is too small")),
        Some(value) if value <= MOST => Ok(value),
        Some(_) => Err(format!("`{text}` is too large")),
        None => {
            let names: Vec<_> = units.iter().map(|u| u.0).collect();
            Err(format!("`{text}` is no number with one of the units {}", names.join(", ")))
        }
    }
}

fn worded(value: u64, units: &[(&str, u64)]) -> String {
    let fits = units.iter().filter(|(_, scale)| value.is_multiple_of(*scale));
    let (unit, scale) = fits.max_by_key(|(_, scale)| *scale).unwrap_or(&units[0]);
    format!("{}{unit}", value / scale)
}

/// A length of time: whole milliseconds, at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(pub Nanos);

impl Duration {
    /// Of so many milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Duration(ms * 1_000_000)
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

macro_rules! text_value {
    ($type:ident, $units:ident, $least:expr) => {
        impl std::str::FromStr for $type {
            type Err = String;
            fn from_str(text: &str) -> Result<Self, String> {
                measured(text, &$units, $least).map($type)
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&worded(self.0, &$units))
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

text_value!(Duration, NANOS, 1);
text_value!(ByteSize, BYTES, 0);

pub(super) fn any(_: &str) -> Result<(), String> {
    Ok(())
}

pub(super) fn duration(text: &str) -> Result<(), String> {
    text.parse::<Duration>().map(drop)
}

pub(super) fn size(text: &str) -> Result<(), String> {
    text.parse::<ByteSize>().map(drop)
}

pub(super) fn name(text: &str) -> Result<(), String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=64).contains(&text.len()) && text.chars().all(fits) {
        Ok(())
    } else {
        Err(format!("{text:?} is no name"))
    }
}

pub(super) fn address(text: &str) -> Result<(), String> {
    text.parse::<std::net::SocketAddr>().map(drop).map_err(|_| format!("{text:?} is no address with a port"))
}

pub(super) fn host(text: &str) -> Result<(), String> {
    HostPattern::parse(text).map(drop).map_err(|e| e.to_string())
}

pub(super) fn path(text: &str) -> Result<(), String> {
    if text.contains(['?', '#']) {
        return Err(format!("{text:?} holds more than a path"));
    }
    let lenient = PathRules { merge_slashes: false, keep_escaped_slashes: true };
    normalise(text, lenient).map_err(|e| e.to_string())?;
    http::uri::PathAndQuery::try_from(text).map(drop).map_err(|e| e.to_string())
}

pub(super) fn regex(text: &str) -> Result<(), String> {
    let worded = |e: regex::Error| e.to_string().lines().last().unwrap_or_default().to_owned();
    PathPattern::regex(text).map(drop).map_err(worded)
}

pub(super) fn method(text: &str) -> Result<(), String> {
    let capitals = text.chars().all(|c| !c.is_ascii_lowercase());
    if http::Method::from_bytes(text.as_bytes()).is_ok() && capitals && text != "CONNECT" {
        Ok(())
    } else {
        Err(format!("{text:?} is no method that is served"))
    }
}

/// Headers that belong to the connection, not to the message: the program's own.
const FRAMING: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "transfer-encoding", "upgrade"];

pub(super) fn header_name(text: &str) -> Result<(), String> {
    let name = http::HeaderName::try_from(text).map_err(|_| format!("{text:?} is no header's name"))?;
    if FRAMING.contains(&name.as_str()) {
        return Err(format!("{text:?} belongs to the connection and is the program's own"));
    }
    Ok(())
}

pub(super) fn header_value(text: &str) -> Result<(), String> {
    http::HeaderValue::from_str(text).map(drop).map_err(|_| format!("{text:?} cannot be a header's value"))
}

pub(super) fn template(text: &str) -> Result<(), String> {
    header_value(text)?;
    Redirect::parse(text, 302).map(drop).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn measures_are_read_and_written() {
        let cases = [("250ms", 250), ("2s", 2_000), ("5m", 300_000), ("1h", 3_600_000)];
        for (text, ms) in cases {
            assert_eq!(text.parse::<Duration>().unwrap(), Duration::from_millis(ms));
            assert_eq!(Duration::from_millis(ms).to_string(), text);
        }
        assert_eq!("64KiB".parse::<ByteSize>().unwrap(), ByteSize(65_536));
        assert_eq!(ByteSize(192_000_000).to_string(), "192MB");
        assert_eq!(ByteSize(0).to_string().parse::<ByteSize>().unwrap(), ByteSize(0));
        for bad in ["", "5", "s", "-1s", "1.5s", "0ms", "1 s", "99999999999999999999s", "9999999h"] {
            assert!(bad.parse::<Duration>().is_err(), "{bad}");
        }
    }

    #[test]
    fn the_programs_own_headers_cannot_be_set() {
        assert!(header_name("X-Own").is_ok());
        for bad in ["Content-Length", "transfer-encoding", "a b", ""] {
            assert!(header_name(bad).is_err(), "{bad}");
        }
        assert!(header_value("a\r\nb: c").is_err());
    }
}
