//! The table of routes: the first whose conditions all hold is taken.
//!
//! An index by listener, host and first path segment leaves few routes to look at; it only leaves out those that
//! cannot match, so that the order of the file decides as if there were none.

use super::fields::FieldMatch;
use super::host::HostPattern;
use super::path::{first_segment, PathPattern};
use super::rewrite::{Redirect, Rewrite};
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::Method;
use std::collections::HashMap;

/// What a request's head says to the routes.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The listener that it came to, as an index into the plan's.
    pub listener: usize,
    /// Its host in its one form ([`super::Host`]).
    pub host: &'a str,
    /// Its path in its one form ([`super::path::normalise`]), or `*`.
    pub path: &'a str,
    /// Its query, as it came.
    pub query: Option<&'a str>,
    /// Its method.
    pub method: &'a Method,
    /// Its headers.
    pub headers: &'a HeaderMap,
}

/// What becomes of a request on a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// It goes to a server.
    Forward {
        /// The pool, as an index into the plan's.
        pool: usize,
        /// What is changed on the way.
        rewrite: Box<Rewrite>,
    },
    /// The client is sent elsewhere.
    Redirect(Redirect),
    /// The program answers by itself.
    Answer {
        /// The status.
        status: u16,
        /// The type of the body.
        content_type: HeaderValue,
        /// The body.
        body: Bytes,
    },
}

/// One route: conditions, of which all have to hold, and what becomes of the request.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Listeners, as indices into the plan's; none for all.
    pub listeners: Vec<usize>,
    /// Hosts; none for all.
    pub hosts: Vec<HostPattern>,
    /// Paths; none for all.
    pub path: Option<PathPattern>,
    /// Methods; none for all.
    pub methods: Vec<Method>,
    /// Conditions on headers.
    pub headers: Vec<FieldMatch>,
    /// Conditions on the query.
    pub query: Vec<FieldMatch>,
    /// The class of its requests, as an index into the plan's; none goes by the method.
    pub class: Option<usize>,
    /// What becomes of the request.
    pub action: RouteAction,
}

/// The first condition of a route that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// It is for other listeners.
    Listener,
    /// It is for other hosts.
    Host,
    /// It is for other paths.
    Path,
    /// It is for other methods.
    Method,
    /// A condition on a header, in words.
    Header(String),
    /// A condition on the query, in words.
    Query(String),
}

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Mismatch::Listener => f.write_str("it is for other listeners"),
            Mismatch::Host => f.write_str("it is for other hosts"),
            Mismatch::Path => f.write_str("it is for other paths"),
            Mismatch::Method => f.write_str("it is for other methods"),
            Mismatch::Header(what) => write!(f, "it wants that header {what}"),
            Mismatch::Query(what) => write!(f, "it wants that query parameter {what}"),
        }
    }
}

impl Route {
    /// Why it does not take a request; none where it does.
    pub fn mismatch(&self, target: &RequestHead<'_>) -> Option<Mismatch> {
        if !self.listeners.is_empty() && !self.listeners.contains(&target.listener) {
            return Some(Mismatch::Listener);
        }
        if !self.hosts.is_empty() && !self.hosts.iter().any(|h| h.matches(target.host)) {
            return Some(Mismatch::Host);
        }
        if self.path.as_ref().is_some_and(|p| !p.matches(target.path)) {
            return Some(Mismatch::Path);
        }
        if !self.methods.is_empty() && !self.methods.contains(target.method) {
            return Some(Mismatch::Method);
        }
        let values = |name: &str| target.headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
        if let Some(missed) = self.headers.iter().find(|h| !h.matches(values(&h.name))) {
            return Some(Mismatch::Header(missed.to_string()));
        }
        let query = target.query.unwrap_or_default();
        let missed = self.query.iter().find(|q| !q.matches_query(query))?;
        Some(Mismatch::Query(missed.to_string()))
    }

    /// The pool that its requests go to, as an index into the plan's.
    pub fn pool(&self) -> Option<usize> {
        match self.action {
            RouteAction::Forward { pool, .. } => Some(pool),
            _ => None,
        }
    }

    /// Whether it does what another one does, but for its pool, its class and its listeners, which it names by their places.
    pub(crate) fn has_same_effect(&self, other: &Route) -> bool {
        let outcome = match (&self.action, &other.action) {
            (RouteAction::Forward { rewrite, .. }, RouteAction::Forward { rewrite: others, .. }) => {
                rewrite == others
            }
            (own, others) => own == others,
        };
        outcome
            && (&self.hosts, &self.path, &self.methods) == (&other.hosts, &other.path, &other.methods)
            && (&self.headers, &self.query) == (&other.headers, &other.query)
    }

    /// Whether every request that `later` takes is taken by this one too. False where that cannot be told from the
    /// conditions as they are written.
    pub fn covers(&self, later: &Route) -> bool {
        let listeners = self.listeners.is_empty()
            || (!later.listeners.is_empty() && later.listeners.iter().all(|l| self.listeners.contains(l)));
        let host = |theirs: &HostPattern| {
            self.hosts.iter().any(|own| match theirs {
                HostPattern::Exact(name) => own.matches(name),
                HostPattern::Subdomains(name) => match own {
                    HostPattern::Subdomains(wide) => wide == name || own.matches(name),
                    HostPattern::Exact(_) => false,
                },
            })
        };
        let hosts = self.hosts.is_empty() || (!later.hosts.is_empty() && later.hosts.iter().all(host));
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

/// Routes that can be told apart by their first path segment.
#[derive(Clone, Debug, Default)]
struct Bucket {
    /// Routes for any first segment.
    any: Vec<u32>,
    by_segment: HashMap<String, Vec<u32>>,
}

impl Bucket {
    fn add(&mut self, at: u32, path: Option<&PathPattern>) {
        match path.and_then(PathPattern::first_segment) {
            Some(segment) => self.by_segment.entry(segment.to_owned()).or_default().push(at),
            None => self.any.push(at),
        }
    }
}

/// Routes of one listener, by host.
#[derive(Clone, Debug, Default)]
struct ByHost {
    any: Bucket,
    exact: HashMap<String, Bucket>,
    below: HashMap<String, Bucket>,
}

/// All routes, in the order of the file.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    by_listener: Vec<ByHost>,
}

impl RouteTable {
    /// Builds the table for so many listeners.
    pub fn new(routes: Vec<Route>, listeners: usize) -> Self {
        let mut by_listener = vec![ByHost::default(); listeners];
        for (listener, by_host) in by_listener.iter_mut().enumerate() {
            for (at, route) in routes.iter().enumerate() {
                if !route.listeners.is_empty() && !route.listeners.contains(&listener) {
                    continue;
                }
                let (at, path) = (at as u32, route.path.as_ref());
                if route.hosts.is_empty() {
                    by_host.any.add(at, path);
                }
                for host in &route.hosts {
                    let bucket = match host {
                        HostPattern::Exact(name) => by_host.exact.entry(name.clone()).or_default(),
                        HostPattern::Subdomains(name) => by_host.below.entry(name.clone()).or_default(),
                    };
                    bucket.add(at, path);
                }
            }
        }
        RouteTable { routes, by_listener }
    }

    /// For each route, the first before it that takes all its requests, as far as [`Route::covers`] can tell.
    pub fn covered(&self) -> Vec<Option<usize>> {
        self.covered_with_comparisons().0
    }

    /// The same, and how many routes were held against each other for it: a measure of the work.
    pub fn covered_with_comparisons(&self) -> (Vec<Option<usize>>, usize) {
        super::cover::covered(&self.routes)
    }

    /// The routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The first route that takes the request, with its place in the file.
    pub fn find(&self, target: &RequestHead<'_>) -> Option<(usize, &Route)> {
        let by_host = self.by_listener.get(target.listener)?;
        let segment = first_segment(target.path);
        let mut lists: Vec<&[u32]> = Vec::with_capacity(6);
        collect(&mut lists, &by_host.any, segment);
        if let Some(bucket) = by_host.exact.get(target.host) {
            collect(&mut lists, bucket, segment);
        }
        if !by_host.below.is_empty() {
            let mut rest = target.host;
            while let Some((_, parent)) = rest.split_once('.') {
                if let Some(bucket) = by_host.below.get(parent) {
                    collect(&mut lists, bucket, segment);
                }
                rest = parent;
            }
        }
        // The lists are each in the order of the file: the least head is the next route to look at.
        loop {
            let next = lists.iter().filter_map(|l| l.first()).min().copied()?;
            let route = &self.routes[next as usize];
            if route.mismatch(target).is_none() {
                return Some((next as usize, route));
            }
            for list in &mut lists {
                if list.first() == Some(&next) {
                    *list = &list[1..];
                }
            }
        }
    }

    /// Every route that was tried before the one that took the request, and why it did not take it.
    pub fn mismatches(&self, target: &RequestHead<'_>) -> Vec<(usize, Mismatch)> {
        self.routes
            .iter()
            .enumerate()
            .map_while(|(at, r)| r.mismatch(target).map(|mismatch| (at, mismatch)))
            .collect()
    }

    /// The methods with which the request would find a route, where its own finds none.
    pub fn allowed_methods(&self, target: &RequestHead<'_>) -> Vec<Method> {
        let mut methods = Vec::new();
        for route in &self.routes {
            for method in route.methods.iter().filter(|m| !methods.contains(*m)).collect::<Vec<_>>() {
                if route.mismatch(&RequestHead { method, ..*target }).is_none() {
                    methods.push(method.clone());
                }
            }
        }
        methods
    }
}

fn collect<'t>(lists: &mut Vec<&'t [u32]>, bucket: &'t Bucket, segment: &str) {
    if let Some(list) = bucket.by_segment.get(segment) {
        lists.push(list);
    }
    if !bucket.any.is_empty() {
        lists.push(&bucket.any);
    }
}
