//! Rewrites of requests and answers, and redirects.

use super::expression::Expression;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::uri::PathAndQuery;

/// Changes to headers, applied in this order: remove, set, add.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeaderEdits {
    /// Headers to remove, with all their values.
    pub remove: Vec<HeaderName>,
    /// Headers to set, replacing all their values.
    pub set: Vec<(HeaderName, HeaderValue)>,
    /// Values to add to those that a header has.
    pub add: Vec<(HeaderName, HeaderValue)>,
}

impl HeaderEdits {
    /// Applies the changes.
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

/// How a path is rewritten.
#[derive(Clone, Debug, PartialEq)]
pub enum PathRewrite {
    /// The whole path is replaced by this one.
    Replace(String),
    /// A prefix is replaced by another one.
    Prefix {
        /// The prefix of the route, without a trailing slash.
        from: String,
        /// The new prefix, without a trailing slash.
        to: String,
    },
    /// The first match of an expression is replaced.
    Regex {
        /// The expression to search for.
        find: Expression,
        /// The replacement, in which `$1` or `${name}` stands for a capture group.
        with: String,
    },
}

/// How a route changes requests before they are forwarded, and the answers to them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rewrite {
    /// The rewrite of the path.
    pub path: Option<PathRewrite>,
    /// The value of `Host` that replaces the client's.
    pub host: Option<HeaderValue>,
    /// The changes to the headers of the request.
    pub request: HeaderEdits,
    /// The changes to the headers of the answer.
    pub response: HeaderEdits,
}

/// The rewritten path is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rewritten path cannot stand in a request")]
pub struct InvalidRewrite;

impl Rewrite {
    /// The request target to send to a server, for a normalised path and the query.
    ///
    /// # Errors
    /// If the rewritten path is invalid.
    pub fn target(&self, path: &str, query: Option<&str>) -> Result<PathAndQuery, InvalidRewrite> {
        let mut target = match &self.path {
            None => path.to_owned(),
            Some(PathRewrite::Replace(replacement)) => replacement.clone(),
            Some(PathRewrite::Prefix { from, to }) => {
                let rest = path.strip_prefix(from.as_str()).unwrap_or(path);
                format!("{to}{rest}")
            }
            Some(PathRewrite::Regex { find, with }) => find.replace(path, with.as_str()).into_owned(),
        };
        if !target.starts_with('/') && target != "*" {
            target.insert(0, '/');
        }
        if let Some(query) = query {
            target.push('?');
            target.push_str(query);
        }
        PathAndQuery::try_from(target).map_err(|_| InvalidRewrite)
    }
}

/// A redirect to a location built from a template.
#[derive(Clone, Debug, PartialEq)]
pub struct Redirect {
    /// 301, 302, 303, 307 or 308.
    pub status: u16,
    location: Vec<TemplatePart>,
}

#[derive(Clone, Debug, PartialEq)]
enum TemplatePart {
    Text(String),
    Scheme,
    Host,
    Path,
    Query,
}

/// An invalid template, with the unknown or unclosed placeholder.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{{{0}}}` is not known in a redirect; {{scheme}}, {{host}}, {{path}} and {{query}} are")]
pub struct InvalidTemplate(String);

impl Redirect {
    /// Parses a template with the placeholders `{scheme}`, `{host}` (without port), `{path}` (normalised) and `{query}`
    /// (with the leading `?`; empty if there is no query) of the request.
    ///
    /// # Errors
    /// If a placeholder is unknown or not closed.
    pub fn parse(template: &str, status: u16) -> Result<Self, InvalidTemplate> {
        let mut location = Vec::new();
        let mut rest = template;
        while let Some(open) = rest.find('{') {
            if open > 0 {
                location.push(TemplatePart::Text(rest[..open].to_owned()));
            }
            let close = rest[open..].find('}').ok_or_else(|| InvalidTemplate(rest[open + 1..].to_owned()))?;
            let name = &rest[open + 1..open + close];
            location.push(match name {
                "scheme" => TemplatePart::Scheme,
                "host" => TemplatePart::Host,
                "path" => TemplatePart::Path,
                "query" => TemplatePart::Query,
                other => return Err(InvalidTemplate(other.to_owned())),
            });
            rest = &rest[open + close + 1..];
        }
        if !rest.is_empty() {
            location.push(TemplatePart::Text(rest.to_owned()));
        }
        Ok(Redirect { status, location })
    }

    /// The value of `Location` for a request; `None` if it is not a valid header value.
    pub fn location(&self, scheme: &str, host: &str, path: &str, query: Option<&str>) -> Option<HeaderValue> {
        let mut location = String::new();
        for part in &self.location {
            match part {
                TemplatePart::Text(text) => location.push_str(text),
                TemplatePart::Scheme => location.push_str(scheme),
                TemplatePart::Host => location.push_str(host),
                TemplatePart::Path => location.push_str(path),
                TemplatePart::Query => {
                    if let Some(query) = query {
                        location.push('?');
                        location.push_str(query);
                    }
                }
            }
        }
        // Two leading slashes would make the client take the first segment for a host.
        let location =
            if location.starts_with("//") { location.trim_start_matches('/').to_owned() } else { location };
        HeaderValue::try_from(location).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rewritten(path: PathRewrite, from: &str, query: Option<&str>) -> Result<String, InvalidRewrite> {
        Rewrite { path: Some(path), ..Rewrite::default() }.target(from, query).map(|t| t.to_string())
    }

    #[test]
    fn paths_are_rewritten() {
        let prefix = |to: &str| PathRewrite::Prefix { from: "/api".into(), to: to.into() };
        assert_eq!(rewritten(prefix("/v2"), "/api/x", Some("q=1")).unwrap(), "/v2/x?q=1");
        assert_eq!(rewritten(prefix(""), "/api", None).unwrap(), "/");
        assert_eq!(rewritten(prefix(""), "/api/x", None).unwrap(), "/x");
        let regex = |with: &str| PathRewrite::Regex {
            find: regex::Regex::new("^/u/([^/]+)").unwrap().into(),
            with: with.into(),
        };
        assert_eq!(rewritten(regex("/user/$1/home"), "/u/ann/x", None).unwrap(), "/user/ann/home/x");
        assert_eq!(rewritten(regex("/a b"), "/u/ann", None), Err(InvalidRewrite));
        assert_eq!(rewritten(PathRewrite::Replace("/one".into()), "/two", Some("a")).unwrap(), "/one?a");
        assert_eq!(Rewrite::default().target("*", None).unwrap().to_string(), "*");
    }

    #[test]
    fn a_redirect_fills_in_its_template_and_stays_on_the_host() {
        let location =
            |t: &str| Redirect::parse(t, 308).unwrap().location("http", "a.org", "/x", Some("q=1")).unwrap();
        assert_eq!(location("https://{host}{path}{query}"), "https://a.org/x?q=1");
        assert_eq!(location("{path}"), "/x");
        let relative =
            Redirect::parse("{path}", 302).unwrap().location("http", "a", "//evil.org/", None).unwrap();
        assert!(!relative.as_bytes().starts_with(b"//"), "{relative:?}");
        for invalid in ["{port}", "a{", "{host"] {
            assert!(Redirect::parse(invalid, 302).is_err(), "{invalid}");
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
        let values = |n: &str| headers.get_all(n).iter().cloned().collect::<Vec<_>>();
        assert_eq!(
            (values("a"), values("b"), values("c")),
            (vec![], vec![value("new")], vec![value("old"), value("more")])
        );
    }
}
