//! Paths of requests, and path patterns of routes.
//!
//! The path of a request is normalised before it is matched (RFC 3986, 6.2.2): escapes of unreserved characters are
//! decoded, other escapes written in upper case, `.` and `..` segments removed, and runs of slashes merged. Ambiguous
//! paths, with an escaped slash, a backslash or a control character, are rejected.

use super::expression::Expression;
use std::borrow::Cow;

/// The treatment of paths that servers interpret in different ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathRules {
    /// Whether to merge runs of slashes.
    pub merge_slashes: bool,
    /// Whether to keep `%2F`, `%5C` and backslashes unchanged instead of rejecting the path.
    pub keep_escaped_slashes: bool,
}

impl Default for PathRules {
    fn default() -> Self {
        PathRules { merge_slashes: true, keep_escaped_slashes: false }
    }
}

/// Why a path is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPath {
    /// It does not begin with a slash.
    #[error("the path does not begin with `/`")]
    Relative,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("the path holds a `%` without two hexadecimal digits behind it")]
    Escape,
    /// It has a control character, plain or escaped.
    #[error("the path holds a control character")]
    Control,
    /// It has an escaped slash, or a backslash, plain or escaped.
    #[error("the path holds an escaped slash or a backslash")]
    Slash,
}

fn hex_digit(b: u8) -> Option<u8> {
    (b as char).to_digit(16).map(|d| d as u8)
}

fn is_unreserved(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~')
}

/// Normalises a path for matching and forwarding.
///
/// # Errors
/// See [`InvalidPath`].
pub fn normalise(raw: &str, rules: PathRules) -> Result<Cow<'_, str>, InvalidPath> {
    if !raw.starts_with('/') {
        return Err(InvalidPath::Relative);
    }
    if raw.bytes().any(|b| b.is_ascii_control()) {
        return Err(InvalidPath::Control);
    }
    let has_slash_run = rules.merge_slashes && raw.contains("//");
    if !has_slash_run && !raw.contains("/.") && !raw.bytes().any(|b| b == b'%' || b == b'\\') {
        return Ok(Cow::Borrowed(raw));
    }
    Ok(Cow::Owned(remove_dot_segments(&normalise_escapes(raw, rules)?, rules)))
}

fn normalise_escapes(raw: &str, rules: PathRules) -> Result<String, InvalidPath> {
    let mut normalised = String::with_capacity(raw.len());
    let mut rest = raw;
    while let Some(index) = rest.find(['%', '\\']) {
        normalised.push_str(&rest[..index]);
        if rest.as_bytes()[index] == b'\\' {
            if !rules.keep_escaped_slashes {
                return Err(InvalidPath::Slash);
            }
            normalised.push('\\');
            rest = &rest[index + 1..];
            continue;
        }
        let digits = rest.as_bytes().get(index + 1..index + 3).ok_or(InvalidPath::Escape)?;
        let (Some(high), Some(low)) = (hex_digit(digits[0]), hex_digit(digits[1])) else {
            return Err(InvalidPath::Escape);
        };
        let byte = high * 16 + low;
        match byte {
            b if b.is_ascii_control() => return Err(InvalidPath::Control),
            b'/' | b'\\' if !rules.keep_escaped_slashes => return Err(InvalidPath::Slash),
            b if is_unreserved(b) => normalised.push(b as char),
            b => normalised.push_str(&format!("%{b:02X}")),
        }
        rest = &rest[index + 3..];
    }
    normalised.push_str(rest);
    Ok(normalised)
}

/// Removes dot segments (RFC 3986, 5.2.4); `..` at the root has no effect.
fn remove_dot_segments(path: &str, rules: PathRules) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut segments = path[1..].split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    kept.pop();
                }
                if is_last {
                    kept.push("");
                }
            }
            "" if rules.merge_slashes && !is_last => {}
            other => kept.push(other),
        }
    }
    let mut joined = String::with_capacity(path.len());
    for segment in &kept {
        joined.push('/');
        joined.push_str(segment);
    }
    if joined.is_empty() {
        joined.push('/');
    }
    joined
}

/// A case-sensitive pattern for the paths of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum PathPattern {
    /// Exactly this path.
    Exact(String),
    /// This path and all below it: `/a` matches `/a`, `/a/` and `/a/b`, but not `/ab`.
    Prefix(String),
    /// Paths that match this expression as a whole.
    Regex(Expression),
}

impl PathPattern {
    /// A pattern for exactly this path, which is normalised first.
    ///
    /// # Errors
    /// If the path is invalid, so that no request can have it.
    pub fn exact(path: &str, rules: PathRules) -> Result<Self, InvalidPath> {
        Ok(PathPattern::Exact(normalise(path, rules)?.into_owned()))
    }

    /// A pattern for this path and all below it. Trailing slashes are ignored.
    ///
    /// # Errors
    /// As for [`PathPattern::exact`].
    pub fn prefix(path: &str, rules: PathRules) -> Result<Self, InvalidPath> {
        let path = normalise(path, rules)?;
        Ok(PathPattern::Prefix(path.trim_end_matches('/').to_owned()))
    }

    /// A pattern for paths that match a regular expression as a whole. Matching takes linear time.
    ///
    /// # Errors
    /// If the expression is invalid, or compiles to more than 1 MiB.
    pub fn regex(text: &str) -> Result<Self, regex::Error> {
        let anchored = format!("^(?:{text})$");
        regex::RegexBuilder::new(&anchored)
            .size_limit(1 << 20)
            .build()
            .map(|regex| PathPattern::Regex(regex.into()))
    }

    /// Whether the pattern matches a normalised path.
    pub fn matches(&self, path: &str) -> bool {
        match self {
            PathPattern::Exact(exact) => exact == path,
            PathPattern::Prefix(prefix) => path
                .strip_prefix(prefix.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            PathPattern::Regex(regex) => regex.is_match(path),
        }
    }

    /// The first segment that all matching paths have in common, if any.
    pub fn first_segment(&self) -> Option<&str> {
        match self {
            PathPattern::Exact(exact) => Some(first_segment(exact)),
            PathPattern::Prefix(prefix) if prefix.is_empty() => None,
            PathPattern::Prefix(prefix) => Some(first_segment(prefix)),
            PathPattern::Regex(_) => None,
        }
    }
}

/// The first segment of a path.
pub fn first_segment(path: &str) -> &str {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').next().unwrap_or(path)
}

impl std::fmt::Display for PathPattern {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PathPattern::Exact(exact) => write!(f, "path {exact}"),
            PathPattern::Prefix(prefix) if prefix.is_empty() => f.write_str("any path"),
            PathPattern::Prefix(prefix) => write!(f, "path {prefix} and below"),
            PathPattern::Regex(regex) => write!(f, "path matching {regex}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn normalise_by_default(raw: &str) -> Result<String, InvalidPath> {
        normalise(raw, PathRules::default()).map(Cow::into_owned)
    }

    #[test]
    fn paths_are_normalised() {
        for (raw, path) in [
            ("/", "/"),
            ("/a/b", "/a/b"),
            ("/a//b", "/a/b"),
            ("//a", "/a"),
            ("/a/./b", "/a/b"),
            ("/a/../b", "/b"),
            ("/a/..", "/"),
            ("/a/.", "/a/"),
            ("/../../a", "/a"),
            ("/..", "/"),
            ("/%61dmin", "/admin"),
            ("/a/%2e%2E/b", "/b"),
            ("/.%2e/b", "/b"),
            ("/a%c3%a9", "/a%C3%A9"),
            ("/a%20b", "/a%20b"),
            ("/%7euser", "/~user"),
            ("/...", "/..."),
            ("/a/", "/a/"),
            ("/a//", "/a/"),
            ("/a//..", "/"),
        ] {
            assert_eq!(normalise_by_default(raw).as_deref(), Ok(path), "{raw}");
        }
    }

    #[test]
    fn invalid_and_ambiguous_paths_are_rejected() {
        for (raw, error) in [
            ("a", InvalidPath::Relative),
            ("*", InvalidPath::Relative),
            ("/%", InvalidPath::Escape),
            ("/%4", InvalidPath::Escape),
            ("/%zz", InvalidPath::Escape),
            ("/%00", InvalidPath::Control),
            ("/a%0d%0ab", InvalidPath::Control),
            ("/a\0", InvalidPath::Control),
            ("/a%2Fb", InvalidPath::Slash),
            ("/a%2f..%2fb", InvalidPath::Slash),
            ("/a%5c..", InvalidPath::Slash),
            ("/a\\..\\b", InvalidPath::Slash),
        ] {
            assert_eq!(normalise_by_default(raw), Err(error), "{raw}");
        }
        let keep = PathRules { merge_slashes: false, keep_escaped_slashes: true };
        assert_eq!(normalise("/a%2fb//c", keep).unwrap(), "/a%2Fb//c");
    }

    #[test]
    fn prefixes_match_whole_segments_only() {
        let rules = PathRules::default();
        let prefix = PathPattern::prefix("/a/b/", rules).unwrap();
        for (path, expected) in
            [("/a/b", true), ("/a/b/", true), ("/a/b/c", true), ("/a/bc", false), ("/a", false)]
        {
            assert_eq!(prefix.matches(path), expected, "{path}");
        }
        assert!(PathPattern::prefix("/", rules).unwrap().matches("/anything"));
        let regex = PathPattern::regex("/a|/b[0-9]+").unwrap();
        for (path, expected) in [("/a", true), ("/b12", true), ("/ab", false), ("/x/a", false)] {
            assert_eq!(regex.matches(path), expected, "{path}");
        }
    }

    proptest! {
        /// A normalised path is unchanged when it is normalised again, and has no dot segments or slash runs.
        #[test]
        fn normalisation_is_idempotent(raw in "/([a-c./%\\\\]|%2[eEfF]|%6[1-3]|%5c|%[0-9a-f]{2}){0,24}") {
            for rules in [
                PathRules::default(),
                PathRules { merge_slashes: false, keep_escaped_slashes: true },
            ] {
                if let Ok(path) = normalise(&raw, rules) {
                    prop_assert_eq!(normalise(&path, rules).unwrap(), path.clone());
                    prop_assert!(path.starts_with('/'));
                    prop_assert!(path.split('/').all(|s| s != "." && s != ".."));
                    prop_assert!(!rules.merge_slashes || !path.contains("//"));
                }
            }
        }

        #[test]
        fn arbitrary_paths_do_not_panic(raw in ".{0,40}") {
            let _ = normalise_by_default(&raw);
        }
    }
}
