//! Values that are strings in the configuration file, and checks of their format.

use crate::routes::path::{normalise, PathPattern, PathRules};
use crate::routes::{HostPattern, Redirect};
use corkhollow_balance::interface::Nanos;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Units of durations, in nanoseconds.
const DURATION_UNITS: [(&str, u64); 4] =
    [("ms", 1_000_000), ("s", 1_000_000_000), ("m", 60_000_000_000), ("h", 3_600_000_000_000)];
/// Units of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 7] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];
/// Upper limit for durations, in nanoseconds (one year), and for sizes, in bytes. Sums of a few values do not
/// overflow.
const MAX_NANOS_OR_BYTES: u64 = 31_536_000_000_000_000;

/// Parses a whole number followed by a unit.
fn parse_with_unit(text: &str, units: &[(&str, u64)], min: u64) -> Result<u64, String> {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let scale = units.iter().find(|(name, _)| *name == unit).map(|(_, scale)| *scale);
    let value = scale.zip(digits.parse::<u64>().ok()).and_then(|(scale, n)| n.checked_mul(scale));
    match value {
        Some(value) if value < min => Err(format!("`{text}` is too small")),
        Some(value) if value <= MAX_NANOS_OR_BYTES => Ok(value),
        Some(_) => Err(format!("`{text}` is too large")),
        None => {
            let names: Vec<_> = units.iter().map(|u| u.0).collect();
            Err(format!("`{text}` is not a whole number followed by one of the units {}", names.join(", ")))
        }
    }
}

/// Formats a value in the largest unit that divides it.
fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let divisors = units.iter().filter(|(_, scale)| value.is_multiple_of(*scale));
    let (unit, scale) = divisors.max_by_key(|(_, scale)| *scale).unwrap_or(&units[0]);
    format!("{}{unit}", value / scale)
}

/// A duration of at least one millisecond, in nanoseconds; a whole number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(pub Nanos);

impl Duration {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Duration(ms * 1_000_000)
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

/// Implements parsing, formatting and serde as a string with a unit.
macro_rules! impl_value_with_unit {
    ($type:ident, $units:ident, $min:expr) => {
        impl std::str::FromStr for $type {
            type Err = String;
            fn from_str(text: &str) -> Result<Self, String> {
                parse_with_unit(text, &$units, $min).map($type)
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&format_with_unit(self.0, &$units))
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

impl_value_with_unit!(Duration, DURATION_UNITS, 1);
impl_value_with_unit!(ByteSize, SIZE_UNITS, 0);

pub(super) fn check_any(_: &str) -> Result<(), String> {
    Ok(())
}

pub(super) fn check_duration(text: &str) -> Result<(), String> {
    text.parse::<Duration>().map(drop)
}

pub(super) fn check_size(text: &str) -> Result<(), String> {
    text.parse::<ByteSize>().map(drop)
}

pub(super) fn check_name(text: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=64).contains(&text.len()) && text.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(format!("{text:?} is not a valid name"))
    }
}

pub(super) fn check_address(text: &str) -> Result<(), String> {
    text.parse::<std::net::SocketAddr>()
        .map(drop)
        .map_err(|_| format!("{text:?} is not an IP address with a port"))
}

pub(super) fn check_host(text: &str) -> Result<(), String> {
    HostPattern::parse(text).map(drop).map_err(|e| e.to_string())
}

pub(super) fn check_path(text: &str) -> Result<(), String> {
    if text.contains(['?', '#']) {
        return Err(format!("{text:?} has a query or a fragment; only a path is allowed"));
    }
    let lenient_rules = PathRules { merge_slashes: false, keep_escaped_slashes: true };
    normalise(text, lenient_rules).map_err(|e| e.to_string())?;
    http::uri::PathAndQuery::try_from(text).map(drop).map_err(|e| e.to_string())
}

pub(super) fn check_regex(text: &str) -> Result<(), String> {
    // The last line holds the reason; those before it quote the expression.
    let last_line = |e: regex::Error| e.to_string().lines().last().unwrap_or_default().to_owned();
    PathPattern::regex(text).map(drop).map_err(last_line)
}

pub(super) fn check_method(text: &str) -> Result<(), String> {
    let has_no_lowercase = text.chars().all(|c| !c.is_ascii_lowercase());
    if http::Method::from_bytes(text.as_bytes()).is_ok() && has_no_lowercase && text != "CONNECT" {
        Ok(())
    } else {
        Err(format!("{text:?} is not a supported method"))
    }
}

/// Connection-level headers, which the gateway sets itself.
const CONNECTION_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "transfer-encoding", "upgrade"];

pub(super) fn check_header_name(text: &str) -> Result<(), String> {
    let name =
        http::HeaderName::try_from(text).map_err(|_| format!("{text:?} is not a valid header name"))?;
    if CONNECTION_HEADERS.contains(&name.as_str()) {
        return Err(format!("{text:?} is a connection-level header, which the gateway sets itself"));
    }
    Ok(())
}

pub(super) fn check_header_value(text: &str) -> Result<(), String> {
    http::HeaderValue::from_str(text).map(drop).map_err(|_| format!("{text:?} is not a valid header value"))
}

pub(super) fn check_location_template(text: &str) -> Result<(), String> {
    check_header_value(text)?;
    Redirect::parse(text, 302).map(drop).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_and_sizes_are_parsed_and_formatted() {
        let cases = [("250ms", 250), ("2s", 2_000), ("5m", 300_000), ("1h", 3_600_000)];
        for (text, ms) in cases {
            assert_eq!(text.parse::<Duration>().unwrap(), Duration::from_millis(ms));
            assert_eq!(Duration::from_millis(ms).to_string(), text);
        }
        assert_eq!("64KiB".parse::<ByteSize>().unwrap(), ByteSize(65_536));
        assert_eq!(ByteSize(192_000_000).to_string(), "192MB");
        assert_eq!(ByteSize(0).to_string().parse::<ByteSize>().unwrap(), ByteSize(0));
        for invalid in ["", "5", "s", "-1s", "1.5s", "0ms", "1 s", "99999999999999999999s", "9999999h"] {
            assert!(invalid.parse::<Duration>().is_err(), "{invalid}");
        }
    }

    #[test]
    fn connection_level_headers_cannot_be_set() {
        assert!(check_header_name("X-Own").is_ok());
        for invalid in ["Content-Length", "transfer-encoding", "a b", ""] {
            assert!(check_header_name(invalid).is_err(), "{invalid}");
        }
        assert!(check_header_value("a\r\nb: c").is_err());
    }
}
