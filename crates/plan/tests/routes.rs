//! The route table against a matcher that looks at every route in turn, on tables and requests made at random.

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

type Asked = (usize, &'static str, String, Method, Vec<(&'static str, &'static str)>, Option<&'static str>);

fn asked() -> impl Strategy<Value = Asked> {
    let header = (select(&["x-a", "x-b"][..]), select(&["1", "2", "12"][..]));
    let query = option::of(select(&["x-a=1", "x-b=12&x-a=2", "x-a"][..]));
    (0usize..3, select(&HOSTS[..]), path(), method(), vec(header, 0..3), query)
}

fn with<T>(asked: &Asked, f: impl FnOnce(&RequestHead<'_>) -> T) -> T {
    let (listener, host, path, method, fields, query) = asked;
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let path = normalise(path, PathRules::default()).unwrap();
    f(&RequestHead { listener: *listener, host, path: &path, query: *query, method, headers: &headers })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// The index leaves out no route that would have been the first.
    #[test]
    fn the_first_route_that_matches_is_taken(routes in vec(route(), 0..12), asked in vec(asked(), 1..8)) {
        let table = RouteTable::new(routes, 3);
        for asked in &asked {
            with(asked, |target| {
                let naive = table.routes().iter().position(|r| r.mismatch(target).is_none());
                assert_eq!(table.find(target).map(|(at, _)| at), naive, "{asked:?}");
                assert_eq!(table.mismatches(target).len(), naive.unwrap_or(table.routes().len()));
            });
        }
    }

    /// A route that is said to be covered is never needed.
    #[test]
    fn a_covered_route_takes_nothing(earlier in route(), later in route(), asked in vec(asked(), 1..20)) {
        if earlier.covers(&later) {
            for asked in &asked {
                with(asked, |target| {
                    assert!(later.mismatch(target).is_some() || earlier.mismatch(target).is_none(), "{asked:?}");
                });
            }
        }
    }
}

/// A route with the conditions that tell which route covers which, drawn so that many do.
fn plain_route() -> impl Strategy<Value = Route> {
    (route(), any::<bool>()).prop_map(|(route, plain)| match plain {
        true => Route { headers: Vec::new(), query: Vec::new(), ..route },
        false => route,
    })
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// The covered routes, found by hosts and paths, are those that are found by trying each against all before it.
    #[test]
    fn covered_routes_are_those_of_a_search_through_all(
        routes in vec(plain_route(), 1..40),
        hosts in vec(select(&["[::1]", "*.a.org", "a.org", "[::ffff:1.2.3.4]", "*.org"][..]), 0..3),
    ) {
        let mut routes = routes;
        // One that names hosts of all kinds, in the middle and at the end.
        let named: Vec<_> = hosts.iter().map(|name| HostPattern::parse(name).unwrap()).collect();
        let middle = routes.len() / 2;
        let first = Route { hosts: named.clone(), headers: Vec::new(), query: Vec::new(), ..routes[0].clone() };
        routes.insert(middle, first.clone());
        routes.push(first);
        let expected: Vec<_> = (0..routes.len())
            .map(|k| routes[..k].iter().position(|earlier| earlier.covers(&routes[k])))
            .collect();
        prop_assert_eq!(RouteTable::new(routes, 3).covered(), expected);
    }
}

/// Seeking who covers whom grows like the table: eight times the routes take less than twenty times the work, where each against
/// all before it takes sixty-four times. The work is told by the routes themselves: how many others each is held against.
#[test]
fn the_search_for_covered_routes_grows_like_the_table() {
    let table = |count: usize| {
        let route = |k: usize| {
            let host = format!("s{}.a.org", k % (count / 16).max(1));
            let path = PathPattern::prefix(&format!("/part-{k}/x"), PathRules::default()).unwrap();
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
    let work = |count: usize| table(count).covered_with_comparisons().1;
    let (small, large) = (work(1_250), work(10_000));
    assert!(large <= 20 * (small + 1_250), "{small}, {large}");
}
