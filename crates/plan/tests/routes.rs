//! The route table compared with a linear search, on random tables and requests.

use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::*;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

const HOSTS: [&str; 6] = ["a.org", "b.a.org", "c.b.a.org", "org", "x.net", ""];
const SEGMENTS: [&str; 4] = ["a", "b", "ab", ""];

fn path() -> impl Strategy<Value = String> {
    vec(select(&SEGMENTS[..]), 1..4).prop_map(|s| format!("/{}", s.join("/")))
}

fn host_pattern() -> impl Strategy<Value = HostPattern> {
    let names = &["a.org", "b.a.org", "*.a.org", "*.org", "*.b.a.org", "x.net"][..];
    select(names).prop_map(|name| HostPattern::parse(name).unwrap())
}

fn path_pattern() -> impl Strategy<Value = PathPattern> {
    let rules = PathRules::default();
    prop_oneof![
        path().prop_map(move |p| PathPattern::exact(&p, rules).unwrap()),
        path().prop_map(move |p| PathPattern::prefix(&p, rules).unwrap()),
        select(&["/a.*", "/(a|b)", ".*b", "/a/[ab]+"][..]).prop_map(|r| PathPattern::regex(r).unwrap()),
    ]
}

fn method() -> impl Strategy<Value = Method> {
    select(&[Method::GET, Method::POST, Method::PUT][..])
}

fn field() -> impl Strategy<Value = FieldMatch> {
    let test = prop_oneof![
        Just(FieldTest::Present),
        Just(FieldTest::Absent),
        select(&["1", "2"][..]).prop_map(|v| FieldTest::Equals(v.to_owned())),
        Just(FieldTest::StartsWith("1".to_owned())),
    ];
    (select(&["x-a", "x-b"][..]), test).prop_map(|(name, test)| FieldMatch { name: name.to_owned(), test })
}

prop_compose! {
    fn route()(
        listeners in vec(0usize..3, 0..2),
        hosts in vec(host_pattern(), 0..3),
        path in option::of(path_pattern()),
        methods in vec(method(), 0..2),
        headers in vec(field(), 0..2),
        query in vec(field(), 0..2),
    ) -> Route {
        let redirect = Redirect::parse("/", 302).unwrap();
        let action = RouteAction::Redirect(redirect);
        Route { name: String::new(), listeners, hosts, path, methods, headers, query, class: None, action }
    }
}

/// Listener, host, path, method, headers and query.
type RequestSpec =
    (usize, &'static str, String, Method, Vec<(&'static str, &'static str)>, Option<&'static str>);

fn request() -> impl Strategy<Value = RequestSpec> {
    let header = (select(&["x-a", "x-b"][..]), select(&["1", "2", "12"][..]));
    let query = option::of(select(&["x-a=1", "x-b=12&x-a=2", "x-a"][..]));
    (0usize..3, select(&HOSTS[..]), path(), method(), vec(header, 0..3), query)
}

fn with_head<T>(request: &RequestSpec, f: impl FnOnce(&RequestHead<'_>) -> T) -> T {
    let (listener, host, path, method, fields, query) = request;
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let path = normalise(path, PathRules::default()).unwrap();
    f(&RequestHead { listener: *listener, host, path: &path, query: *query, method, headers: &headers })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// The index never excludes the route that a linear search finds.
    #[test]
    fn the_first_route_that_matches_is_taken(routes in vec(route(), 0..12), requests in vec(request(), 1..8)) {
        let table = RouteTable::new(routes, 3);
        for request in &requests {
            with_head(request, |head| {
                let expected = table.routes().iter().position(|r| r.mismatch(head).is_none());
                assert_eq!(table.find(head).map(|(index, _)| index), expected, "{request:?}");
                assert_eq!(table.mismatches(head).len(), expected.unwrap_or(table.routes().len()));
            });
        }
    }

    #[test]
    fn a_route_matches_whatever_a_route_that_it_covers_matches(earlier in route(), later in route(), requests in vec(request(), 1..20)) {
        if earlier.covers(&later) {
            for request in &requests {
                with_head(request, |head| {
                    assert!(later.mismatch(head).is_some() || earlier.mismatch(head).is_none(), "{request:?}");
                });
            }
        }
    }
}

/// A route that often has no conditions on headers and the query, so that it can cover others.
fn often_covering_route() -> impl Strategy<Value = Route> {
    (route(), any::<bool>()).prop_map(|(route, can_cover)| match can_cover {
        true => Route { headers: Vec::new(), query: Vec::new(), ..route },
        false => route,
    })
}

proptest! {
    // A fixed seed makes the cases reproducible.
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn covered_routes_are_the_same_as_by_comparing_all_pairs(
        routes in vec(often_covering_route(), 1..40),
        hosts in vec(select(&["[::1]", "*.a.org", "a.org", "[::ffff:1.2.3.4]", "*.org"][..]), 0..3),
    ) {
        let mut routes = routes;
        // Adds the same route with hosts of all kinds in the middle and at the end.
        let patterns: Vec<_> = hosts.iter().map(|name| HostPattern::parse(name).unwrap()).collect();
        let middle = routes.len() / 2;
        let added = Route { hosts: patterns.clone(), headers: Vec::new(), query: Vec::new(), ..routes[0].clone() };
        routes.insert(middle, added.clone());
        routes.push(added);
        let expected: Vec<_> = (0..routes.len())
            .map(|index| routes[..index].iter().position(|earlier| earlier.covers(&routes[index])))
            .collect();
        prop_assert_eq!(RouteTable::new(routes, 3).covered(), expected);
    }
}

/// Guards against comparing all pairs: eight times the routes would then take sixty-four times the comparisons.
#[test]
fn the_search_for_covered_routes_takes_far_less_than_quadratic_work() {
    let table = |count: usize| {
        let route = |index: usize| {
            let host = format!("s{}.a.org", index % (count / 16).max(1));
            let path = PathPattern::prefix(&format!("/part-{index}/x"), PathRules::default()).unwrap();
            Route {
                name: String::new(),
                listeners: Vec::new(),
                hosts: vec![HostPattern::parse(&host).unwrap()],
                path: Some(path),
                methods: Vec::new(),
                headers: Vec::new(),
                query: Vec::new(),
                class: None,
                action: RouteAction::Redirect(Redirect::parse("/", 302).unwrap()),
            }
        };
        RouteTable::new((0..count).map(route).collect(), 1)
    };
    let comparisons = |count: usize| table(count).covered_with_comparisons().1;
    let (small, large) = (comparisons(1_250), comparisons(10_000));
    assert!(large <= 20 * (small + 1_250), "{small}, {large}");
}
