//! What a route changes in a request and in its answer, and where it sends a client instead.

use super::expression::Expression;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::uri::PathAndQuery;

/// Changes to headers, made in this order: removed, set, added.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeaderEdits {
    /// Taken out, all values.
    pub remove: Vec<HeaderName>,
    /// Put in the place of all values that there are.
    pub set: Vec<(HeaderName, HeaderValue)>,
    /// Put beside the values that there are.
    pub add: Vec<(HeaderName, HeaderValue)>,
}

impl HeaderEdits {
    /// Makes the changes.
    pub fn apply(&self, headers: &mut HeaderMap) {
        for name in &self.remove {
            headers.remove(name);
        }
        for (name, value) in &self.set {
            headers.insert(name, value.clone());
        }
        for (name, value) in &self.add {
            headers.append(name, value.clone());
        }
    }
}

/// How a path is written anew.
#[derive(Clone, Debug, PartialEq)]
pub enum PathRewrite {
    /// This path, whatever it was.
    Replace(String),
    /// The route's prefix gives way to another one.
    Prefix {
        /// Without a slash at its end.
        from: String,
        /// Without a slash at its end.
        to: String,
    },
    /// The first match gives way to a text in which `$1` or `${name}` stands for a group.
    Regex {
        /// What is looked for.
        find: Expression,
        /// What stands there instead.
        with: String,
    },
}

/// What a route changes in a request on its way to a server, and in the answer on its way back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rewrite {
    /// The path.
    pub path: Option<PathRewrite>,
    /// What the server is told as `Host`, in place of what the client said.
    pub host: Option<HeaderValue>,
    /// The request's headers.
    pub request: HeaderEdits,
    /// The answer's headers.
    pub response: HeaderEdits,
}

/// The rewritten path cannot stand in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rewritten path cannot stand in a request")]
pub struct InvalidRewrite;

impl Rewrite {
    /// The target that a server gets for a path in its one form and its query.
    ///
    /// # Errors
    /// Where a substitution makes something that is no path.
    pub fn target(&self, path: &str, query: Option<&str>) -> Result<PathAndQuery, InvalidRewrite> {
        let mut out = match &self.path {
            None => path.to_owned(),
            Some(PathRewrite::Replace(own)) => own.clone(),
            Some(PathRewrite::Prefix { from, to }) => {
                let rest = path.strip_prefix(from.as_str()).unwrap_or(path);
                format!("{to}{rest}")
            }
            Some(PathRewrite::Regex { find, with }) => find.replace(path, with.as_str()).into_owned(),
        };
        if !out.starts_with('/') && out != "*" {
            out.insert(0, '/');
        }
        if let Some(query) = query {
            out.push('?');
            out.push_str(query);
        }
        PathAndQuery::try_from(out).map_err(|_| InvalidRewrite)
    }
}

/// Sends the client elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Redirect {
    /// 301, 302, 303, 307 or 308.
    pub status: u16,
    to: Vec<Piece>,
}

#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Text(String),
    Scheme,
    Host,
    Path,
    Query,
}

/// A template that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{{{0}}}` is not known in a redirect; {{scheme}}, {{host}}, {{path}} and {{query}} are")]
pub struct InvalidTemplate(String);

impl Redirect {
    /// Reads a template: `{scheme}`, `{host}` (without port), `{path}` (in its one form) and `{query}` (with its
    /// `?`, or nothing) stand for what the request said.
    ///
    /// # Errors
    /// Where something else stands in braces, or a brace is not closed.
    pub fn parse(template: &str, status: u16) -> Result<Self, InvalidTemplate> {
        let mut to = Vec::new();
        let mut rest = template;
        while let Some(open) = rest.find('{') {
            if open > 0 {
                to.push(Piece::Text(rest[..open].to_owned()));
            }
            let close = rest[open..].find('}').ok_or_else(|| InvalidTemplate(rest[open + 1..].to_owned()))?;
            let name = &rest[open + 1..open + close];
            to.push(match name {
                "scheme" => Piece::Scheme,
                "host" => Piece::Host,
                "path" => Piece::Path,
                "query" => Piece::Query,
                other => return Err(InvalidTemplate(other.to_owned())),
            });
            rest = &rest[open + close + 1..];
        }
        if !rest.is_empty() {
            to.push(Piece::Text(rest.to_owned()));
        }
        Ok(Redirect { status, to })
    }

    /// Where a request is sent; none where that cannot stand in a header.
    pub fn location(&self, scheme: &str, host: &str, path: &str, query: Option<&str>) -> Option<HeaderValue> {
        let mut out = String::new();
        for piece in &self.to {
            match piece {
                Piece::Text(text) => out.push_str(text),
                Piece::Scheme => out.push_str(scheme),
                Piece::Host => out.push_str(host),
                Piece::Path => out.push_str(path),
                Piece::Query => {
                    if let Some(query) = query {
                        out.push('?');
                        out.push_str(query);
                    }
                }
            }
        }
        // Two slashes at the start would name another host.
        let out = if out.starts_with("//") { out.trim_start_matches('/').to_owned() } else { out };
        HeaderValue::try_from(out).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rewritten(path: PathRewrite, from: &str, query: Option<&str>) -> Result<String, InvalidRewrite> {
        Rewrite { path: Some(path), ..Rewrite::default() }.target(from, query).map(|t| t.to_string())
    }

    #[test]
    fn paths_are_written_anew() {
        let prefix = |to: &str| PathRewrite::Prefix { from: "/api".into(), to: to.into() };
        assert_eq!(rewritten(prefix("/v2"), "/api/x", Some("q=1")).unwrap(), "/v2/x?q=1");
        assert_eq!(rewritten(prefix(""), "/api", None).unwrap(), "/");
        assert_eq!(rewritten(prefix(""), "/api/x", None).unwrap(), "/x");
        let swap = |with: &str| PathRewrite::Regex {
            find: regex::Regex::new("^/u/([^/]+)").unwrap().into(),
            with: with.into(),
        };
        assert_eq!(rewritten(swap("/user/$1/home"), "/u/ann/x", None).unwrap(), "/user/ann/home/x");
        assert_eq!(rewritten(swap("/a b"), "/u/ann", None), Err(InvalidRewrite));
        assert_eq!(rewritten(PathRewrite::Replace("/one".into()), "/two", Some("a")).unwrap(), "/one?a");
        assert_eq!(Rewrite::default().target("*", None).unwrap().to_string(), "*");
    }

    #[test]
    fn a_redirect_keeps_what_it_is_told_to() {
        let to =
            |t: &str| Redirect::parse(t, 308).unwrap().location("http", "a.org", "/x", Some("q=1")).unwrap();
        assert_eq!(to("https://{host}{path}{query}"), "https://a.org/x?q=1");
        assert_eq!(to("{path}"), "/x");
        let outside =
            Redirect::parse("{path}", 302).unwrap().location("http", "a", "//evil.org/", None).unwrap();
        assert!(!outside.as_bytes().starts_with(b"//"), "{outside:?}");
        for bad in ["{port}", "a{", "{host"] {
            assert!(Redirect::parse(bad, 302).is_err(), "{bad}");
        }
    }

    #[test]
    fn headers_are_removed_set_and_added() {
        let name = HeaderName::from_static;
        let value = HeaderValue::from_static;
        let edits = HeaderEdits {
            remove: vec![name("a")],
            set: vec![(name("b"), value("new"))],
            add: vec![(name("c"), value("more"))],
        };
        let mut headers = HeaderMap::new();
        for n in ["a", "b", "b", "c"] {
            headers.append(name(n), value("old"));
        }
        edits.apply(&mut headers);
        let all = |n: &str| headers.get_all(n).iter().cloned().collect::<Vec<_>>();
        assert_eq!(
            (all("a"), all("b"), all("c")),
            (vec![], vec![value("new")], vec![value("old"), value("more")])
        );
    }
}
