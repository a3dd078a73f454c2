//! Paths, in requests and in routes.
//!
//! A request's path is put into one form before any route sees it (RFC 3986, 6.2.2): escapes of unreserved
//! characters are undone, other escapes written in capitals, `.` and `..` segments taken out, runs of slashes made
//! one. What could still be read in two ways is turned away: an escaped slash or backslash, or NUL.

use super::expression::Expression;
use std::borrow::Cow;

/// What is made of paths that some servers read in one way and some in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathRules {
    /// Runs of slashes become one.
    pub merge_slashes: bool,
    /// `%2F`, `%5C` and a plain backslash pass as they are, instead of being turned away.
    pub keep_escaped_slashes: bool,
}

impl Default for PathRules {
    fn default() -> Self {
        PathRules { merge_slashes: true, keep_escaped_slashes: false }
    }
}

/// Why a path is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPath {
    /// It does not begin with a slash.
    #[error("the path does not begin with `/`")]
    Relative,
    /// `%` without two hexadecimal digits.
    #[error("the path holds a `%` without two hexadecimal digits behind it")]
    Escape,
    /// NUL, plain or escaped, or another control character.
    #[error("the path holds a control character")]
    Control,
    /// An escaped slash or a backslash.
    #[error("the path holds an escaped slash or a backslash")]
    Slash,
}

fn hex(b: u8) -> Option<u8> {
    (b as char).to_digit(16).map(|d| d as u8)
}

fn unreserved(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~')
}

/// Puts a path into the form in which paths are compared and passed on.
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
    let doubled = rules.merge_slashes && raw.contains("//");
    if !doubled && !raw.contains("/.") && !raw.bytes().any(|b| b == b'%' || b == b'\\') {
        return Ok(Cow::Borrowed(raw));
    }
    Ok(Cow::Owned(without_dots(&unescape(raw, rules)?, rules)))
}

fn unescape(raw: &str, rules: PathRules) -> Result<String, InvalidPath> {
    let mut out = String::with_capacity(raw.len());
    let mut rest = raw;
    while let Some(at) = rest.find(['%', '\\']) {
        out.push_str(&rest[..at]);
        if rest.as_bytes()[at] == b'\\' {
            if !rules.keep_escaped_slashes {
                return Err(InvalidPath::Slash);
            }
            out.push('\\');
            rest = &rest[at + 1..];
            continue;
        }
        let digits = rest.as_bytes().get(at + 1..at + 3).ok_or(InvalidPath::Escape)?;
        let (Some(high), Some(low)) = (hex(digits[0]), hex(digits[1])) else {
            return Err(InvalidPath::Escape);
        };
        let byte = high * 16 + low;
        match byte {
            b if b.is_ascii_control() => return Err(InvalidPath::Control),
            b'/' | b'\\' if !rules.keep_escaped_slashes => return Err(InvalidPath::Slash),
            b if unreserved(b) => out.push(b as char),
            b => out.push_str(&format!("%{b:02X}")),
        }
        rest = &rest[at + 3..];
    }
    out.push_str(rest);
    Ok(out)
}

/// RFC 3986, 5.2.4; what climbs above the root stays there.
fn without_dots(path: &str, rules: PathRules) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut segments = path[1..].split('/').peekable();
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    kept.pop();
                }
                if last {
                    kept.push("");
                }
            }
            "" if rules.merge_slashes && !last => {}
            other => kept.push(other),
        }
    }
    let mut out = String::with_capacity(path.len());
    for segment in &kept {
        out.push('/');
        out.push_str(segment);
    }
    if out.is_empty() {
        out.push('/');
    }
    out
}

/// Paths that a route is for. Letters count as they are, small or capital.
#[derive(Clone, Debug, PartialEq)]
pub enum PathPattern {
    /// This path and no other.
    Exact(String),
    /// This path and all below it: `/a` stands for `/a`, `/a/` and `/a/b`, not for `/ab`.
    Prefix(String),
    /// The whole path matches.
    Regex(Expression),
}

impl PathPattern {
    /// This path, put into the form of requests' paths.
    ///
    /// # Errors
    /// Where no request's path can ever be this one.
    pub fn exact(path: &str, rules: PathRules) -> Result<Self, InvalidPath> {
        Ok(PathPattern::Exact(normalise(path, rules)?.into_owned()))
    }

    /// This path and all below; a slash at its end does not count.
    ///
    /// # Errors
    /// As for [`PathPattern::exact`].
    pub fn prefix(path: &str, rules: PathRules) -> Result<Self, InvalidPath> {
        let path = normalise(path, rules)?;
        Ok(PathPattern::Prefix(path.trim_end_matches('/').to_owned()))
    }

    /// A regular expression for the whole path; it takes time in proportion to the path's length.
    ///
    /// # Errors
    /// Where it is no regular expression, or compiles to more than 1 MiB.
    pub fn regex(text: &str) -> Result<Self, regex::Error> {
        let whole = format!("^(?:{text})$");
        regex::RegexBuilder::new(&whole)
            .size_limit(1 << 20)
            .build()
            .map(|regex| PathPattern::Regex(regex.into()))
    }

    /// Whether a path in its one form is one of these.
    pub fn matches(&self, path: &str) -> bool {
        match self {
            PathPattern::Exact(own) => own == path,
            PathPattern::Prefix(own) => {
                path.strip_prefix(own.as_str()).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
            PathPattern::Regex(regex) => regex.is_match(path),
        }
    }

    /// The first segment that every matching path has, where there is one.
    pub fn first_segment(&self) -> Option<&str> {
        match self {
            PathPattern::Exact(own) => Some(first_segment(own)),
            PathPattern::Prefix(own) if own.is_empty() => None,
            PathPattern::Prefix(own) => Some(first_segment(own)),
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
            PathPattern::Exact(own) => write!(f, "path {own}"),
            PathPattern::Prefix(own) if own.is_empty() => f.write_str("any path"),
            PathPattern::Prefix(own) => write!(f, "path {own} and below"),
            PathPattern::Regex(regex) => write!(f, "path matching {regex}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn norm(raw: &str) -> Result<String, InvalidPath> {
        normalise(raw, PathRules::default()).map(Cow::into_owned)
    }

    #[test]
    fn paths_come_in_one_form() {
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
            assert_eq!(norm(raw).as_deref(), Ok(path), "{raw}");
        }
    }

    #[test]
    fn what_can_be_read_in_two_ways_is_turned_away() {
        for (raw, fault) in [
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
            assert_eq!(norm(raw), Err(fault), "{raw}");
        }
        let keep = PathRules { merge_slashes: false, keep_escaped_slashes: true };
        assert_eq!(normalise("/a%2fb//c", keep).unwrap(), "/a%2Fb//c");
    }

    #[test]
    fn prefixes_end_at_segments() {
        let rules = PathRules::default();
        let prefix = PathPattern::prefix("/a/b/", rules).unwrap();
        for (path, hit) in
            [("/a/b", true), ("/a/b/", true), ("/a/b/c", true), ("/a/bc", false), ("/a", false)]
        {
            assert_eq!(prefix.matches(path), hit, "{path}");
        }
        assert!(PathPattern::prefix("/", rules).unwrap().matches("/anything"));
        let regex = PathPattern::regex("/a|/b[0-9]+").unwrap();
        for (path, hit) in [("/a", true), ("/b12", true), ("/ab", false), ("/x/a", false)] {
            assert_eq!(regex.matches(path), hit, "{path}");
        }
    }

    proptest! {
        /// No way of writing a path leads round the one form: it is its own form, and has nothing left to undo.
        #[test]
        fn the_one_form_is_final(raw in "/([a-c./%\\\\]|%2[eEfF]|%6[1-3]|%5c|%[0-9a-f]{2}){0,24}") {
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
        fn no_path_panics(raw in ".{0,40}") {
            let _ = norm(&raw);
        }
    }
}
