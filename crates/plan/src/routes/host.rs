//! Host names, in requests and in routes.

use std::borrow::Cow;

/// A host name in the one form in which hosts are compared: small letters, no port, no dot at the end. An IPv6
/// address keeps its brackets. Empty where a request names no host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host<'a>(Cow<'a, str>);

/// A host that cannot be one (RFC 3986, 3.2.2).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no host name")]
pub struct InvalidHost(pub String);

fn name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~' | b'!' | b'$' | b'&' | b'\'')
}

impl<'a> Host<'a> {
    /// Takes the host from an authority, as a `Host` header or an absolute target brings it.
    ///
    /// # Errors
    /// Where it holds user information, characters that no host has, an empty label or a port that is none.
    pub fn parse(authority: &'a str) -> Result<Self, InvalidHost> {
        let bad = || InvalidHost(authority.chars().take(80).collect());
        if authority.is_empty() {
            return Ok(Host(Cow::Borrowed("")));
        }
        let (name, port) = match authority.strip_prefix('[') {
            Some(rest) => {
                let end = rest.find(']').ok_or_else(bad)?;
                rest[..end].parse::<std::net::Ipv6Addr>().map_err(|_| bad())?;
                (&authority[..end + 2], &rest[end + 1..])
            }
            None => {
                let end = authority.find(':').unwrap_or(authority.len());
                (&authority[..end], &authority[end..])
            }
        };
        let digits = port.strip_prefix(':').unwrap_or(port);
        if !(port.is_empty() || port.starts_with(':')) || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(bad());
        }
        if !digits.is_empty() && digits.parse::<u16>().is_err() {
            return Err(bad());
        }
        let name = name.strip_suffix('.').unwrap_or(name);
        let literal = name.starts_with('[');
        if !literal && (!name.bytes().all(name_byte) || name.split('.').any(str::is_empty)) {
            return Err(bad());
        }
        Ok(Host(if name.bytes().any(|b| b.is_ascii_uppercase()) {
            Cow::Owned(name.to_ascii_lowercase())
        } else {
            Cow::Borrowed(name)
        }))
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Hosts that a route is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// This one.
    Exact(String),
    /// All below this one, at any depth, but not itself: `*.example.org`.
    Subdomains(String),
}

impl HostPattern {
    /// Reads `name` or `*.name`.
    ///
    /// # Errors
    /// Where the name is none, has a port, or holds `*` elsewhere.
    pub fn parse(text: &str) -> Result<Self, InvalidHost> {
        let (name, below) = text.strip_prefix("*.").map_or((text, false), |rest| (rest, true));
        let host = Host::parse(name)?;
        let port = if name.starts_with('[') { name.contains("]:") } else { name.contains(':') };
        if name.is_empty() || port {
            return Err(InvalidHost(text.to_owned()));
        }
        let name = host.0.into_owned();
        Ok(if below { HostPattern::Subdomains(name) } else { HostPattern::Exact(name) })
    }

    /// Whether a host is one of these.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Exact(name) => name == host,
            HostPattern::Subdomains(name) => {
                host.strip_suffix(name.as_str()).is_some_and(|front| front.len() > 1 && front.ends_with('.'))
            }
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
    fn hosts_come_in_one_form() {
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
    fn wildcards_stand_for_whole_labels() {
        let below = HostPattern::parse("*.Example.org").unwrap();
        for (host, hit) in [
            ("a.example.org", true),
            ("a.b.example.org", true),
            ("example.org", false),
            ("badexample.org", false),
            (".example.org", false),
        ] {
            assert_eq!(below.matches(host), hit, "{host}");
        }
        for text in ["*", "a.*", "*.", "a*.b", "a:80", "", "[::1]:80"] {
            assert!(HostPattern::parse(text).is_err(), "{text}");
        }
    }
}
