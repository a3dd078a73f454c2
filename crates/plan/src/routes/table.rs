//! The table of routes: the first route whose conditions all hold is taken.
//!
//! An index by listener, host and first path segment leaves few routes to try. It only excludes routes that cannot
//! match, so the order of the file still decides.

use super::fields::FieldMatch;
use super::host::HostPattern;
use super::path::{first_segment, PathPattern};
use super::rewrite::{Redirect, Rewrite};
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::Method;
use std::collections::HashMap;

/// The parts of a request that routes are matched against.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The listener that received it, as an index into the plan's listeners.
    pub listener: usize,
    /// The normalised host ([`super::Host`]).
    pub host: &'a str,
    /// The normalised path ([`super::path::normalise`]), or `*`.
    pub path: &'a str,
    /// The query, unchanged.
    pub query: Option<&'a str>,
    /// The method.
    pub method: &'a Method,
    /// The headers.
    pub headers: &'a HeaderMap,
}

/// What a route does with its requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Forwards them to a server.
    Forward {
        /// The pool, as an index into the plan's pools.
        pool: usize,
        /// The changes to the request and its answer.
        rewrite: Box<Rewrite>,
    },
    /// Redirects the client.
    Redirect(Redirect),
    /// Returns a fixed answer.
    Answer {
        /// The status.
        status: u16,
        /// The media type of the body.
        content_type: HeaderValue,
        /// The body.
        body: Bytes,
    },
}

/// A route: conditions that must all hold, and an action.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Listeners, as indices into the plan's listeners; empty for all.
    pub listeners: Vec<usize>,
    /// Hosts; empty for all.
    pub hosts: Vec<HostPattern>,
    /// Paths; `None` for all.
    pub path: Option<PathPattern>,
    /// Methods; empty for all.
    pub methods: Vec<Method>,
    /// Conditions on headers.
    pub headers: Vec<FieldMatch>,
    /// Conditions on the query.
    pub query: Vec<FieldMatch>,
    /// The class of its requests, as an index into the plan's classes; `None` for the class of the method.
    pub class: Option<usize>,
    /// What to do with a request.
    pub action: RouteAction,
}

/// The first condition of a route that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The route is for other listeners.
    Listener,
    /// The route is for other hosts.
    Host,
    /// The route is for other paths.
    Path,
    /// The route is for other methods.
    Method,
    /// A condition on a header, as text.
    Header(String),
    /// A condition on the query, as text.
    Query(String),
}

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Mismatch::Listener => f.write_str("it is for other listeners"),
            Mismatch::Host => f.write_str("it is for other hosts"),
            Mismatch::Path => f.write_str("it is for other paths"),
            Mismatch::Method => f.write_str("it is for other methods"),
            Mismatch::Header(condition) => write!(f, "it requires that header {condition}"),
            Mismatch::Query(condition) => write!(f, "it requires that query parameter {condition}"),
        }
    }
}

impl Route {
    /// Why the route does not match a request; `None` if it does.
    pub fn mismatch(&self, head: &RequestHead<'_>) -> Option<Mismatch> {
        if !self.listeners.is_empty() && !self.listeners.contains(&head.listener) {
            return Some(Mismatch::Listener);
        }
        if !self.hosts.is_empty() && !self.hosts.iter().any(|h| h.matches(head.host)) {
            return Some(Mismatch::Host);
        }
        if self.path.as_ref().is_some_and(|p| !p.matches(head.path)) {
            return Some(Mismatch::Path);
        }
        if !self.methods.is_empty() && !self.methods.contains(head.method) {
            return Some(Mismatch::Method);
        }
        let values = |name: &str| head.headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
        if let Some(condition) = self.headers.iter().find(|h| !h.matches(values(&h.name))) {
            return Some(Mismatch::Header(condition.to_string()));
        }
        let query = head.query.unwrap_or_default();
        let condition = self.query.iter().find(|q| !q.matches_query(query))?;
        Some(Mismatch::Query(condition.to_string()))
    }

    /// The pool that requests are forwarded to, as an index into the plan's pools.
    pub fn pool(&self) -> Option<usize> {
        match self.action {
            RouteAction::Forward { pool, .. } => Some(pool),
            _ => None,
        }
    }

    /// Whether two routes are equal apart from their pool, class and listeners, whose indices may differ between plans.
    pub(crate) fn has_same_effect(&self, other: &Route) -> bool {
        let same_action = match (&self.action, &other.action) {
            (RouteAction::Forward { rewrite, .. }, RouteAction::Forward { rewrite: other_rewrite, .. }) => {
                rewrite == other_rewrite
            }
            (action, other_action) => action == other_action,
        };
        same_action
            && (&self.hosts, &self.path, &self.methods) == (&other.hosts, &other.path, &other.methods)
            && (&self.headers, &self.query) == (&other.headers, &other.query)
    }

    /// Whether this route matches every request that `later` matches. False if the conditions as written do not show it.
    pub fn covers(&self, later: &Route) -> bool {
        let listeners = self.listeners.is_empty()
            || (!later.listeners.is_empty() && later.listeners.iter().all(|l| self.listeners.contains(l)));
        let covers_host = |later_host: &HostPattern| {
            self.hosts.iter().any(|own| match later_host {
                HostPattern::Exact(name) => own.matches(name),
                HostPattern::Subdomains(name) => match own {
                    HostPattern::Subdomains(parent) => parent == name || own.matches(name),
                    HostPattern::Exact(_) => false,
                },
            })
        };
        let hosts = self.hosts.is_empty() || (!later.hosts.is_empty() && later.hosts.iter().all(covers_host));
        let path = match (&self.path, &later.path) {
            (None, _) => true,
            (Some(own), Some(PathPattern::Exact(path))) => own.matches(path),
            (Some(own @ PathPattern::Prefix(_)), Some(PathPattern::Prefix(path))) => own.matches(path),
            (Some(PathPattern::Regex(own)), Some(PathPattern::Regex(path))) => own.as_str() == path.as_str(),
            _ => false,
        };
        let methods = self.methods.is_empty()
            || (!later.methods.is_empty() && later.methods.iter().all(|m| self.methods.contains(m)));
        listeners && hosts && path && methods && self.headers.is_empty() && self.query.is_empty()
    }
}

/// The routes for one host, by first path segment.
#[derive(Clone, Debug, Default)]
struct Bucket {
    /// Routes that match any first segment.
    any: Vec<u32>,
    by_segment: HashMap<String, Vec<u32>>,
}

impl Bucket {
    fn add(&mut self, route_index: u32, path: Option<&PathPattern>) {
        match path.and_then(PathPattern::first_segment) {
            Some(segment) => self.by_segment.entry(segment.to_owned()).or_default().push(route_index),
            None => self.any.push(route_index),
        }
    }
}

/// The routes of one listener, by host.
#[derive(Clone, Debug, Default)]
struct ByHost {
    any: Bucket,
    exact: HashMap<String, Bucket>,
    /// By the host whose subdomains match.
    subdomains: HashMap<String, Bucket>,
}

/// All routes, in the order of the file.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    by_listener: Vec<ByHost>,
}

impl RouteTable {
    /// Builds the table for the given number of listeners.
    pub fn new(routes: Vec<Route>, listeners: usize) -> Self {
        let mut by_listener = vec![ByHost::default(); listeners];
        for (listener, by_host) in by_listener.iter_mut().enumerate() {
            for (index, route) in routes.iter().enumerate() {
                if !route.listeners.is_empty() && !route.listeners.contains(&listener) {
                    continue;
                }
                let (index, path) = (index as u32, route.path.as_ref());
                if route.hosts.is_empty() {
                    by_host.any.add(index, path);
                }
                for host in &route.hosts {
                    let bucket = match host {
                        HostPattern::Exact(name) => by_host.exact.entry(name.clone()).or_default(),
                        HostPattern::Subdomains(name) => by_host.subdomains.entry(name.clone()).or_default(),
                    };
                    bucket.add(index, path);
                }
            }
        }
        RouteTable { routes, by_listener }
    }

    /// For each route, the first earlier route that covers it ([`Route::covers`]).
    pub fn covered(&self) -> Vec<Option<usize>> {
        self.covered_with_comparisons().0
    }

    /// The same, with the number of pairs of routes that were compared, a measure of the cost.
    pub fn covered_with_comparisons(&self) -> (Vec<Option<usize>>, usize) {
        super::cover::covered(&self.routes)
    }

    /// The routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The first route that matches a request, with its index.
    pub fn find(&self, head: &RequestHead<'_>) -> Option<(usize, &Route)> {
        let by_host = self.by_listener.get(head.listener)?;
        let segment = first_segment(head.path);
        let mut lists: Vec<&[u32]> = Vec::with_capacity(6);
        collect(&mut lists, &by_host.any, segment);
        if let Some(bucket) = by_host.exact.get(head.host) {
            collect(&mut lists, bucket, segment);
        }
        if !by_host.subdomains.is_empty() {
            let mut rest = head.host;
            while let Some((_, parent)) = rest.split_once('.') {
                if let Some(bucket) = by_host.subdomains.get(parent) {
                    collect(&mut lists, bucket, segment);
                }
                rest = parent;
            }
        }
        // Each list is in the order of the file, so the smallest first element is the next route to try.
        loop {
            let next = lists.iter().filter_map(|l| l.first()).min().copied()?;
            let route = &self.routes[next as usize];
            if route.mismatch(head).is_none() {
                return Some((next as usize, route));
            }
            for list in &mut lists {
                if list.first() == Some(&next) {
                    *list = &list[1..];
                }
            }
        }
    }

    /// All routes before the one that matches a request, with the reason why each does not match.
    pub fn mismatches(&self, head: &RequestHead<'_>) -> Vec<(usize, Mismatch)> {
        self.routes
            .iter()
            .enumerate()
            .map_while(|(index, r)| r.mismatch(head).map(|mismatch| (index, mismatch)))
            .collect()
    }

    /// The methods with which the request would match a route.
    pub fn allowed_methods(&self, head: &RequestHead<'_>) -> Vec<Method> {
        let mut methods = Vec::new();
        for route in &self.routes {
            for method in route.methods.iter().filter(|m| !methods.contains(*m)).collect::<Vec<_>>() {
                if route.mismatch(&RequestHead { method, ..*head }).is_none() {
                    methods.push(method.clone());
                }
            }
        }
        methods
    }
}

/// Adds the routes of a bucket that may match a path with this first segment.
fn collect<'t>(lists: &mut Vec<&'t [u32]>, bucket: &'t Bucket, segment: &str) {
    if let Some(list) = bucket.by_segment.get(segment) {
        lists.push(list);
    }
    if !bucket.any.is_empty() {
        lists.push(&bucket.any);
    }
}
