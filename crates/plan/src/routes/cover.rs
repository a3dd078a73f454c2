//! Finds routes that are never taken because an earlier route covers them. An index by host and path limits the
//! comparisons to routes that may cover another one, so that the cost does not grow with the square of the table.

use super::host::HostPattern;
use super::path::PathPattern;
use super::table::Route;
use std::collections::HashMap;

/// The index key of a host pattern.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum HostKey<'r> {
    Any,
    Exact(&'r str),
    Subdomains(&'r str),
}

/// The index key of a path pattern.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PathKey<'r> {
    Any,
    Exact(&'r str),
    Prefix(&'r str),
    Regex(&'r str),
    /// All expressions, for lookups by an exact path, which any expression may match.
    AnyRegex,
}

/// The routes that may cover others, by each of their hosts and by their path, in the order of the table.
#[derive(Default)]
struct CoverIndex<'r>(HashMap<(HostKey<'r>, PathKey<'r>), Vec<usize>>);

/// For each route, the first earlier route that covers it ([`Route::covers`]). Also returns the number of pairs of
/// routes that were compared, a measure of the cost.
pub(super) fn covered(routes: &[Route]) -> (Vec<Option<usize>>, usize) {
    let mut index = CoverIndex::default();
    let mut comparisons = 0;
    let covered = routes
        .iter()
        .enumerate()
        .map(|(position, route)| {
            let first = index.first_covering(routes, route, &mut comparisons);
            // A covered route covers nothing that the route before it does not cover.
            if first.is_none() && route.headers.is_empty() && route.query.is_empty() {
                index.add(position, route);
            }
            first
        })
        .collect();
    (covered, comparisons)
}

impl<'r> CoverIndex<'r> {
    fn add(&mut self, position: usize, route: &'r Route) {
        let hosts: Vec<_> = match route.hosts.is_empty() {
            true => vec![HostKey::Any],
            false => route.hosts.iter().map(host_key).collect(),
        };
        let paths: &[PathKey<'r>] = &match &route.path {
            None => vec![PathKey::Any],
            Some(PathPattern::Exact(path)) => vec![PathKey::Exact(path)],
            Some(PathPattern::Prefix(path)) => vec![PathKey::Prefix(path)],
            Some(PathPattern::Regex(regex)) => vec![PathKey::Regex(regex.as_str()), PathKey::AnyRegex],
        };
        for host in hosts {
            for path in paths {
                let list = self.0.entry((host, *path)).or_default();
                // A route may name a host twice.
                if list.last() != Some(&position) {
                    list.push(position);
                }
            }
        }
    }

    fn first_covering(&self, routes: &[Route], later: &'r Route, comparisons: &mut usize) -> Option<usize> {
        let paths = covering_paths(later.path.as_ref());
        let lists = |hosts: Vec<HostKey<'r>>| -> Vec<&Vec<usize>> {
            let keys = hosts.into_iter().flat_map(|host| paths.iter().map(move |path| (host, *path)));
            keys.filter_map(|key| self.0.get(&key)).collect()
        };
        // A covering route covers each of the hosts, so the host with the fewest candidates is enough.
        let candidates: Vec<_> = match later.hosts.is_empty() {
            true => vec![lists(vec![HostKey::Any])],
            false => later.hosts.iter().map(|host| lists(covering_hosts(host))).collect(),
        };
        let fewest =
            candidates.into_iter().min_by_key(|lists| lists.iter().map(|list| list.len()).sum::<usize>())?;
        let mut covers = |position: &usize| {
            *comparisons += 1;
            routes[*position].covers(later)
        };
        let first = |list: &Vec<usize>| list.iter().copied().find(&mut covers);
        fewest.into_iter().filter_map(first).min()
    }
}

fn host_key(host: &HostPattern) -> HostKey<'_> {
    match host {
        HostPattern::Exact(name) => HostKey::Exact(name),
        HostPattern::Subdomains(name) => HostKey::Subdomains(name),
    }
}

/// The keys of all host patterns that cover this one.
fn covering_hosts(host: &HostPattern) -> Vec<HostKey<'_>> {
    let mut hosts = vec![HostKey::Any, host_key(host)];
    let (HostPattern::Exact(name) | HostPattern::Subdomains(name)) = host;
    let mut rest = name.as_str();
    while let Some((_, parent)) = rest.split_once('.') {
        hosts.push(HostKey::Subdomains(parent));
        rest = parent;
    }
    hosts
}

/// The keys of all path patterns that may cover this one.
fn covering_paths(path: Option<&PathPattern>) -> Vec<PathKey<'_>> {
    let mut paths = vec![PathKey::Any];
    match path {
        None => {}
        Some(PathPattern::Exact(path)) => {
            paths.extend([PathKey::Exact(path), PathKey::AnyRegex]);
            paths.extend(prefixes(path));
        }
        Some(PathPattern::Prefix(path)) => paths.extend(prefixes(path)),
        Some(PathPattern::Regex(regex)) => paths.push(PathKey::Regex(regex.as_str())),
    }
    paths
}

/// The prefixes of a path that end with a whole segment, including the path itself.
fn prefixes(path: &str) -> impl Iterator<Item = PathKey<'_>> {
    let lengths = path.match_indices('/').map(|(index, _)| index).chain([path.len()]);
    lengths.map(|length| PathKey::Prefix(&path[..length]))
}
