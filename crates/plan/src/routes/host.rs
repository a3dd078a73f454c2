//! Host names of requests, and host patterns of routes.

use std::borrow::Cow;

/// A normalised host name: lower case, without port and trailing dot. An IPv6 address keeps its brackets. Empty if the
/// request names no host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host<'a>(Cow<'a, str>);

/// An invalid host (RFC 3986, 3.2.2).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no host name")]
pub struct InvalidHost(pub String);

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~' | b'!' | b'$' | b'&' | b'\'')
}

impl<'a> Host<'a> {
    /// Parses the host of an authority, as it is in a `Host` header or an absolute request target.
    ///
    /// # Errors
    /// If the authority has user information, an invalid character, an empty label or an invalid port.
    pub fn parse(authority: &'a str) -> Result<Self, InvalidHost> {
        let invalid = || InvalidHost(authority.chars().take(80).collect());
        if authority.is_empty() {
            return Ok(Host(Cow::Borrowed("")));
        }
        let (name, port) = match authority.strip_prefix('[') {
            Some(rest) => {
                let end = rest.find(']').ok_or_else(invalid)?;
                rest[..end].parse::<std::net::Ipv6Addr>().map_err(|_| invalid())?;
                (&authority[..end + 2], &rest[end + 1..])
            }
            None => {
                let end = authority.find(':').unwrap_or(authority.len());
                (&authority[..end], &authority[end..])
            }
        };
        let digits = port.strip_prefix(':').unwrap_or(port);
        if !(port.is_empty() || port.starts_with(':')) || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(invalid());
        }
        if !digits.is_empty() && digits.parse::<u16>().is_err() {
            return Err(invalid());
        }
        let name = name.strip_suffix('.').unwrap_or(name);
        let is_ipv6 = name.starts_with('[');
        if !is_ipv6 && (!name.bytes().all(is_name_byte) || name.split('.').any(str::is_empty)) {
            return Err(invalid());
        }
        Ok(Host(if name.bytes().any(|b| b.is_ascii_uppercase()) {
            Cow::Owned(name.to_ascii_lowercase())
        } else {
            Cow::Borrowed(name)
        }))
    }

    /// The normalised name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A pattern for the hosts of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// Exactly this host.
    Exact(String),
    /// All subdomains of this host at any depth, without the host itself: `*.example.org`.
    Subdomains(String),
}

impl HostPattern {
    /// Parses `name` or `*.name`.
    ///
    /// # Errors
    /// If the name is invalid, has a port, or has `*` in another place.
    pub fn parse(text: &str) -> Result<Self, InvalidHost> {
        let (name, is_wildcard) = text.strip_prefix("*.").map_or((text, false), |rest| (rest, true));
        let host = Host::parse(name)?;
        let has_port = if name.starts_with('[') { name.contains("]:") } else { name.contains(':') };
        if name.is_empty() || has_port {
            return Err(InvalidHost(text.to_owned()));
        }
        let name = host.0.into_owned();
        Ok(if is_wildcard { HostPattern::Subdomains(name) } else { HostPattern::Exact(name) })
    }

    /// Whether the pattern matches a normalised host.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Exact(name) => name == host,
            HostPattern::Subdomains(name) => host
                .strip_suffix(name.as_str())
                .is_some_and(|subdomain| subdomain.len() > 1 && subdomain.ends_with('.')),
        }
    }
}

impl std::fmt::Display for HostPattern {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HostPattern::Exact(name) => f.write_str(name),
            HostPattern::Subdomains(name) => write!(f, "*.{name}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hosts_are_normalised_and_invalid_ones_rejected() {
        for (text, name) in [
            ("example.org", "example.org"),
            ("EXAMPLE.Org:8080", "example.org"),
            ("example.org.", "example.org"),
            ("example.org.:80", "example.org"),
            ("example.org:", "example.org"),
            ("[2001:DB8::1]:443", "[2001:db8::1]"),
            ("127.0.0.1:9", "127.0.0.1"),
            ("", ""),
        ] {
            assert_eq!(Host::parse(text).unwrap().as_str(), name, "{text}");
        }
        for text in [
            "a b",
            "user@host",
            "a..b",
            ".a",
            ".",
            "a:b",
            "a:99999",
            "a:1:2",
            "[::1",
            "[x]",
            "[::1]9",
            "a/b",
            "é",
            "a,b",
        ] {
            assert!(Host::parse(text).is_err(), "{text}");
        }
    }

    #[test]
    fn wildcards_match_whole_labels_only() {
        let subdomains = HostPattern::parse("*.Example.org").unwrap();
        for (host, expected) in [
            ("a.example.org", true),
            ("a.b.example.org", true),
            ("example.org", false),
            ("badexample.org", false),
            (".example.org", false),
        ] {
            assert_eq!(subdomains.matches(host), expected, "{host}");
        }
        for text in ["*", "a.*", "*.", "a*.b", "a:80", "", "[::1]:80"] {
            assert!(HostPattern::parse(text).is_err(), "{text}");
        }
    }
}
