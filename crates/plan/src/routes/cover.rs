//! Which routes are never taken, as an earlier one takes all their requests: found by what an earlier one must have for that,
//! so that the work grows like the table and not like its square.

use super::host::HostPattern;
use super::path::PathPattern;
use super::table::Route;
use std::collections::HashMap;

/// One host that a route is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum HostKey<'r> {
    Any,
    Exact(&'r str),
    Subdomains(&'r str),
}

/// What a route is for of paths.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PathKey<'r> {
    Any,
    Exact(&'r str),
    Prefix(&'r str),
    Regex(&'r str),
    /// All expressions: whether one matches a written path is known only when it is tried.
    Regexes,
}

/// Routes that may cover others, by one of their hosts and by their path; each list in the order of the table.
#[derive(Default)]
struct Covers<'r>(HashMap<(HostKey<'r>, PathKey<'r>), Vec<usize>>);

/// For each route, the first before it that takes all its requests, as far as [`Route::covers`] can tell.
/// And how many routes were held against each other for that, a measure of the work.
pub(super) fn covered(routes: &[Route]) -> (Vec<Option<usize>>, usize) {
    let mut covers = Covers::default();
    let mut held = 0;
    let covered = routes
        .iter()
        .enumerate()
        .map(|(at, route)| {
            let first = covers.first(routes, route, &mut held);
            // What is covered covers nothing that the one before it does not.
            if first.is_none() && route.headers.is_empty() && route.query.is_empty() {
                covers.add(at, route);
            }
            first
        })
        .collect();
    (covered, held)
}

impl<'r> Covers<'r> {
    fn add(&mut self, at: usize, route: &'r Route) {
        let hosts: Vec<_> = match route.hosts.is_empty() {
            true => vec![HostKey::Any],
            false => route.hosts.iter().map(own).collect(),
        };
        let paths: &[PathKey<'r>] = &match &route.path {
            None => vec![PathKey::Any],
            Some(PathPattern::Exact(path)) => vec![PathKey::Exact(path)],
            Some(PathPattern::Prefix(path)) => vec![PathKey::Prefix(path)],
            Some(PathPattern::Regex(regex)) => vec![PathKey::Regex(regex.as_str()), PathKey::Regexes],
        };
        for host in hosts {
            for path in paths {
                let list = self.0.entry((host, *path)).or_default();
                // A host may be named twice.
                if list.last() != Some(&at) {
                    list.push(at);
                }
            }
        }
    }

    fn first(&self, routes: &[Route], later: &'r Route, held: &mut usize) -> Option<usize> {
        let paths = wider_paths(later.path.as_ref());
        let lists = |hosts: Vec<HostKey<'r>>| -> Vec<&Vec<usize>> {
            let keys = hosts.into_iter().flat_map(|host| paths.iter().map(move |path| (host, *path)));
            keys.filter_map(|key| self.0.get(&key)).collect()
        };
        // Who covers it is for each of its hosts: the host for which there are fewest is enough.
        let each: Vec<_> = match later.hosts.is_empty() {
            true => vec![lists(vec![HostKey::Any])],
            false => later.hosts.iter().map(|host| lists(wider_hosts(host))).collect(),
        };
        let fewest =
            each.into_iter().min_by_key(|lists| lists.iter().map(|list| list.len()).sum::<usize>())?;
        let mut covers = |at: &usize| {
            *held += 1;
            routes[*at].covers(later)
        };
        let first = |list: &Vec<usize>| list.iter().copied().find(&mut covers);
        fewest.into_iter().filter_map(first).min()
    }
}

fn own(host: &HostPattern) -> HostKey<'_> {
    match host {
        HostPattern::Exact(name) => HostKey::Exact(name),
        HostPattern::Subdomains(name) => HostKey::Subdomains(name),
    }
}

/// Hosts that take in this one.
fn wider_hosts(host: &HostPattern) -> Vec<HostKey<'_>> {
    let mut hosts = vec![HostKey::Any, own(host)];
    let (HostPattern::Exact(name) | HostPattern::Subdomains(name)) = host;
    let mut rest = name.as_str();
    while let Some((_, parent)) = rest.split_once('.') {
        hosts.push(HostKey::Subdomains(parent));
        rest = parent;
    }
    hosts
}

/// Paths that take in this one.
fn wider_paths(path: Option<&PathPattern>) -> Vec<PathKey<'_>> {
    let mut paths = vec![PathKey::Any];
    match path {
        None => {}
        Some(PathPattern::Exact(path)) => {
            paths.extend([PathKey::Exact(path), PathKey::Regexes]);
            paths.extend(prefixes(path));
        }
        Some(PathPattern::Prefix(path)) => paths.extend(prefixes(path)),
        Some(PathPattern::Regex(regex)) => paths.push(PathKey::Regex(regex.as_str())),
    }
    paths
}

/// All that a path begins with and that ends with a segment, and the path itself.
fn prefixes(path: &str) -> impl Iterator<Item = PathKey<'_>> {
    let cuts = path.match_indices('/').map(|(at, _)| at).chain([path.len()]);
    cuts.map(|at| PathKey::Prefix(&path[..at]))
}
