//! The operator's file: what is parse_config, what is refused and where, and that what is printed is read again.

use corkhollow_plan::config::model::{self, ConfigFile};
use corkhollow_plan::config::schema::{KeyDefault, Kind, Table, CONFIG};
use corkhollow_plan::config::values::{ByteSize, Duration};
use corkhollow_plan::config::{parse_config, parse_server_list, reference, Diagnostic, Severity};
use corkhollow_plan::plan::Plan;
use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::{Host, Target};
use http::{HeaderMap, Method};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use std::path::Path;

const SMALL: &str = r#"
[[listener]]
name = "web"
address = "127.0.0.1:8080"

[[pool]]
name = "boxes"
servers = [{ address = "127.0.0.1:9001" }, { address = "[::1]:9002", weight = 2.0, backup = true }]

[[route]]
name = "all"
pool = "boxes"
"#;

fn faults(text: &str) -> Vec<Diagnostic> {
    match parse_config(text, Path::new("")) {
        Ok(checked) => checked.warnings,
        Err(faults) => faults,
    }
}

/// Each fault as it is printed, for a file made from the small one.
fn said(text: &str) -> String {
    faults(text).iter().map(|f| format!("{f}\n")).collect()
}

#[test]
fn a_small_file_is_enough() {
    let checked = parse_config(SMALL, Path::new("")).unwrap_or_else(|f| panic!("{f:?}"));
    assert_eq!(checked.warnings, []);
    let plan = checked.plan;
    assert_eq!(plan.classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>(), ["read", "write"]);
    for (method, class) in [("GET", 0), ("HEAD", 0), ("POST", 1), ("DELETE", 1), ("PROPFIND", 1)] {
        assert_eq!(plan.class_of(None, &method.parse().unwrap()), class, "{method}");
    }
}

#[test]
fn every_fault_is_named_with_its_place_and_what_is_allowed() {
    let text = r#"
[limits]
descriptors = 3
memory = "lots"

[[listener]]
name = "web"
adress = "127.0.0.1:8080"

[[class]]
name = "status"
effect = "unsave"
aim = "1s"

[[pool]]
name = "boxes"
max_attempts = "three"
servers = [{ address = "localhost:80" }]

[[route]]
name = "all"
pool = 7
methods = ["get"]
hosts = ["a b"]
path_regex = "(("
"#;
    let said = said(text);
    for expected in [
        "3:15: error: limits.descriptors: 3 is out of range; allowed: a whole number from 48 to 1000000",
        "4:10: error: limits.memory: `lots` is no number with one of the units",
        "8:1: error: listener[0].adress: unknown key; did you mean `address`?; allowed: name, address, via",
        "6:1: error: listener[0].address: `address` is missing; allowed: an IP address with a port",
        "12:10: error: class[0].effect: \"unsave\" is not known; did you mean \"unsafe\"?",
        "17:16: error: pool[0].max_attempts: this is a text; allowed: a whole number from 1 to 16",
        "18:24: error: pool[0].servers[0].address: \"localhost:80\" is no address with a port; allowed: an IP",
        "22:8: error: route[0].pool: this is a whole number; allowed: a name of letters",
        "23:12: error: route[0].methods[0]: \"get\" is no method that is served; allowed: a method in capitals",
        "24:10: error: route[0].hosts[0]: `a b` is no host name",
        "25:14: error: route[0].path_regex: ",
    ] {
        assert!(said.contains(expected), "not said: {expected}\n{said}");
    }
    assert_eq!(said.lines().count(), 11, "{said}");
}

#[test]
fn what_is_no_toml_is_named_with_its_place() {
    let said = said("[[listener]\nname = \"web\"\n");
    assert!(said.starts_with("1:"), "{said}");
    assert!(!faults("a = \n").is_empty() && !faults("\u{0}").is_empty());
}

/// What only shows when the whole file is seen.
#[test]
fn names_and_choices_are_checked() {
    let with = |more: &str| format!("{SMALL}\n{more}");
    let route = |body: &str| with(&format!("[[route]]\nname = \"r\"\n{body}"));
    for (text, expected) in [
        (String::new(), "listener: `listener` is missing"),
        (
            with("[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:1\""),
            "listener[0] has the name `web` too",
        ),
        (with("[[listener]]\nname = \"b\"\naddress = \"127.0.0.1:8080\""), "listener[0] has the address"),
        (with("[[pool]]\nname = \"p\""), "exactly one of `servers`, `watch` and `discovery`"),
        (
            with("[[pool]]\nname = \"p\"\nservers = []\nwatch = \"x\""),
            "exactly one of `servers`, `watch` and `discovery`",
        ),
        (route("pool = \"nowhere\""), "route[1].pool: there is no pool `nowhere`; allowed: boxes"),
        (route("pool = \"boxes\"\nclass = \"x\""), "there is no class `x`; allowed: read, write"),
        (route("pool = \"boxes\"\nlisteners = [\"x\"]"), "there is no listener `x`; allowed: web"),
        (route("path = \"/a\""), "exactly one of `pool`, `redirect` and `answer`"),
        (route("pool = \"boxes\"\nanswer = { status = 200 }"), "exactly one of `pool`, `redirect`"),
        (route("pool = \"boxes\"\npath = \"/a\"\npath_prefix = \"/b\""), "at most one of `path`,"),
        (route("pool = \"boxes\"\npath = \"/a%2Fb\""), "no request has this path"),
        (route("pool = \"boxes\"\nrewrite = { prefix = \"/x\" }"), "only a route with `path_prefix`"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"a\" }"), "`regex` and `with` belong together"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"(a)\", with = \"$2\" }"), "no group `2`"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"a\", with = \"${b}x\" }"), "no group `b`"),
        (
            route("pool = \"boxes\"\nrewrite = { request = { set = { Connection = \"x\" } } }"),
            "the program's own",
        ),
        (route("pool = \"boxes\"\nheaders = [{ name = \"x\" }]"), "exactly one of `is`, `begins`"),
        (route("pool = \"boxes\"\nheaders = [{ name = \"x y\", is = \"\" }]"), "is no header's name"),
        (route("redirect = { to = \"{port}\" }"), "`{port}` is not known in a redirect"),
        (route("redirect = { to = \"/\", status = 200 }"), "allowed: 301, 302, 303, 307, 308"),
        (route("answer = { status = 100 }"), "100 is out of range"),
        (
            with("[[class]]\nname = \"c\"\neffect = \"safe\"\naim = \"1m\""),
            "the aim is longer than the deadline",
        ),
        (
            with("[[class]]\nname = \"c\"\neffect = \"safe\"\ngroup = \"zone\""),
            "only classes of effect \"keyed\"",
        ),
        (
            with("[[class]]\nname = \"c\"\neffect = \"safe\"\nmethods = [\"PUT\", \"PUT\"]"),
            "class[0].methods[1]: class[0] is for PUT too",
        ),
        (with("[limits]\nreplay_buffer = \"100MB\""), "at most an eighth of `limits.memory`"),
        (with("[limits]\nmemory = \"1MB\""), "16MB or more"),
    ] {
        let said = said(&text);
        assert!(
            said.contains(": error: ") && said.contains(expected),
            "{text}\nnot said: {expected}\n{said}"
        );
    }
    let twins = "[{ address = \"127.0.0.1:1\" }, { address = \"127.0.0.1:1\" }]";
    let twice =
        SMALL.replace("[{ address = \"127.0.0.1:9001\" }, ", &format!("{}, ", &twins[..twins.len() - 1]));
    assert!(said(&twice).contains("pool[0].servers[0] has the name `127.0.0.1:1` too"), "{}", said(&twice));
}

/// What is probably not meant is said, and the file is used.
#[test]
fn warnings_do_not_forbid() {
    for (more, expected) in [
        ("[[pool]]\nname = \"p\"\nservers = []", "the pool has no servers"),
        ("[[pool]]\nname = \"p\"\nwatch = \"x\"", "no route leads to this pool"),
        ("[[class]]\nname = \"c\"\neffect = \"safe\"", "no route and no method leads to this class"),
        ("[[route]]\nname = \"late\"\npath = \"/a\"\nanswer = { status = 404 }", "route[1].name: never taken: route `all`"),
        (
            "[[pool]]\nname = \"p\"\nservers = [{ address = \"127.0.0.1:1\", name = \"a\" }, { address = \"127.0.0.1:1\", name = \"b\" }]",
            "has the address 127.0.0.1:1 too",
        ),
    ] {
        let checked = parse_config(&format!("{SMALL}\n{more}"), Path::new("")).unwrap_or_else(|f| panic!("{f:?}"));
        assert!(checked.warnings.iter().all(|f| f.severity == Severity::Warning));
        let said: String = checked.warnings.iter().map(|f| format!("{f}\n")).collect();
        assert!(said.contains(expected), "not said: {expected}\n{said}");
    }
}

fn explained(plan: &Plan, method: Method, host: &str, path: &str) -> String {
    let host = Host::parse(host).unwrap();
    let path = normalise(path, plan.listeners[0].paths).unwrap();
    let headers = HeaderMap::new();
    let target = Target {
        listener: 0,
        host: host.as_str(),
        path: &path,
        query: None,
        method: &method,
        headers: &headers,
    };
    plan.explain(&target).join("\n")
}

#[test]
fn a_request_is_explained() {
    let text = format!(
        "{}{}",
        SMALL.replace("[[route]]", "[[route]]\nname = \"api\"\nhosts = [\"*.a.org\"]\npath_prefix = \"/api\"\nmethods = [\"GET\"]\npool = \"boxes\"\nclass = \"read\"\n[route.rewrite]\nprefix = \"/\"\n[[route]]"),
        "path = \"/x\"\n"
    );
    let plan = parse_config(&text, Path::new("")).unwrap_or_else(|f| panic!("{f:?}")).plan;
    let api = explained(&plan, Method::GET, "WWW.A.Org:80", "/api/../api/v1");
    for line in
        ["route     api (number 1 of 2)", "class     read (named by the route): safe", "sent as   GET /v1"]
    {
        assert!(api.contains(line), "{api}");
    }
    let other = explained(&plan, Method::POST, "b.org", "/x");
    for line in ["passed    route api: it is for other hosts", "class     write (by the method): unsafe"] {
        assert!(other.contains(line), "{other}");
    }
    assert!(explained(&plan, Method::POST, "w.a.org", "/api").contains("405: only with GET"));
    assert!(explained(&plan, Method::GET, "b.org", "/y").contains("404"));
}

/// Walks the schema, and calls with the path of each table and its schema.
fn each_table(path: &str, table: &'static Table, f: &mut dyn FnMut(&str, &'static Table)) {
    f(path, table);
    for field in table.keys {
        if let Kind::Table(inner) | Kind::ArrayOfTables(inner) = field.kind {
            each_table(&format!("{path}/{}", field.name), inner, f);
        }
    }
}

/// The defaults that the schema names are those that hold.
#[test]
fn the_schemas_defaults_are_the_programs() {
    let minimal = |path: &str| match path {
        "/node"
        | "/operator"
        | "/limits"
        | "/tenants"
        | "/route/rewrite/request"
        | "/route/rewrite/response" => "",
        "/route/rewrite" => "",
        "/fleet" => "name = \"x\"\nnode = \"n\"\nlisten = \"127.0.0.1:1\"\n",
        "/listener" => "name = \"x\"\naddress = \"127.0.0.1:1\"\n",
        "/class" => "name = \"x\"\neffect = \"safe\"\n",
        "/tenants/tenant" => "name = \"x\"\nrate = 1.0\n",
        "/pool" => "name = \"x\"\n",
        "/pool/servers" => "address = \"127.0.0.1:1\"\n",
        "/pool/check" => "path = \"/x\"\n",
        "/route/headers" | "/route/query" => "name = \"x\"\n",
        "/route/redirect" => "to = \"/\"\n",
        "/route/answer" => "status = 200\n",
        "/route" => "name = \"x\"\n",
        other => panic!("no minimal table for {other}"),
    };
    fn printed<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) -> toml::Table {
        let value: T = toml::from_str(text).unwrap();
        toml::Table::try_from(&value).unwrap()
    }
    let mut compared = 0;
    each_table("", &CONFIG, &mut |path, table| {
        if path.is_empty() {
            return;
        }
        let text = minimal(path);
        let printed = match path {
            "/node" => printed::<model::Node>(text),
            "/operator" => printed::<model::Operator>(text),
            "/limits" => printed::<model::Limits>(text),
            "/fleet" => printed::<model::Fleet>(text),
            "/listener" => printed::<model::Listener>(text),
            "/class" => printed::<model::Class>(text),
            "/tenants" => printed::<model::Tenants>(text),
            "/tenants/tenant" => printed::<model::Tenant>(text),
            "/pool" => printed::<model::Pool>(text),
            "/pool/servers" => printed::<model::Server>(text),
            "/pool/check" => printed::<model::Check>(text),
            "/route" => printed::<model::Route>(text),
            "/route/headers" | "/route/query" => printed::<model::FieldCondition>(text),
            "/route/rewrite" => printed::<model::Rewrite>(text),
            "/route/rewrite/request" | "/route/rewrite/response" => printed::<model::HeaderEdits>(text),
            "/route/redirect" => printed::<model::Redirect>(text),
            "/route/answer" => printed::<model::Answer>(text),
            other => panic!("no model for {other}"),
        };
        for field in table.keys {
            let value = printed.get(field.name);
            match field.default {
                KeyDefault::Value(default) => {
                    let expected: toml::Table = toml::from_str(&format!("v = {default}")).unwrap();
                    assert_eq!(value, Some(&expected["v"]), "{path}/{}", field.name);
                    compared += 1;
                }
                KeyDefault::Required => assert!(value.is_some(), "{path}/{}", field.name),
                KeyDefault::Described(_) => {}
            }
        }
        for key in printed.keys() {
            assert!(table.keys.iter().any(|f| f.name == key), "{path}/{key} is not in the schema");
        }
    });
    assert!(compared > 30, "{compared}");
}

/// The operators' guide holds the reference as the code has it.
#[test]
fn the_guide_is_not_stale() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/configuration.md");
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let (begin, end) =
        ("<!-- reference: made by `corkhollow reference` -->\n\n", "<!-- end of the reference -->");
    let held = text.split_once(begin).and_then(|(_, rest)| rest.split_once(end)).map(|(held, _)| held);
    assert!(
        held == Some(&reference::render_markdown()),
        "run `corkhollow reference` and put what it prints into {}",
        path.display()
    );
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9_.-]{0,8}"
}

fn duration() -> impl Strategy<Value = Duration> {
    (1u64..100_000).prop_map(Duration::from_millis)
}

fn header_name() -> impl Strategy<Value = String> {
    select(&["x-a", "X-B", "accept"][..]).prop_map(str::to_owned)
}

fn field() -> impl Strategy<Value = model::FieldCondition> {
    (header_name(), 0..4, "[a-z]{0,4}").prop_map(|(name, kind, text)| model::FieldCondition {
        name,
        is: (kind == 0).then(|| text.clone()),
        begins: (kind == 1).then(|| text.clone()),
        matches: (kind == 2).then_some(text),
        present: (kind == 3).then_some(true),
    })
}

prop_compose! {
    fn server()(
        port in 1u16..,
        v6 in any::<bool>(),
        name in option::of(name()),
        weight in 0.01f64..100.0,
        zone in option::of(name()),
        backup in any::<bool>(),
    ) -> model::Server {
        let ip = if v6 { "[::1]" } else { "127.0.0.1" };
        let address = format!("{ip}:{port}").parse().unwrap();
        model::Server { address, name, weight, zone, kind: None, drain: false, backup }
    }
}

prop_compose! {
    fn edits()(
        remove in vec(header_name(), 0..2),
        set in btree_map(header_name(), "[ -~]{0,8}", 0..2),
        add in btree_map(header_name(), "[a-z]{0,8}", 0..2),
    ) -> model::HeaderEdits {
        model::HeaderEdits { remove, set, add }
    }
}

prop_compose! {
    fn route()(
        name in name(),
        hosts in vec(select(&["a.org", "*.b.org"][..]).prop_map(str::to_owned), 0..2),
        path in 0..4,
        methods in vec(select(&["GET", "PUT"][..]).prop_map(str::to_owned), 0..2),
        headers in vec(field(), 0..2),
        query in vec(field(), 0..2),
        end in 0..3,
        request in edits(),
        response in edits(),
        status in select(&[301u16, 302, 307][..]),
        body in ".{0,10}",
    ) -> model::Route {
        let text = |of: i32, text: &str| (path == of).then(|| text.to_owned());
        model::Route {
            name,
            hosts,
            methods,
            headers,
            query,
            path: text(1, "/a/b"),
            path_prefix: text(2, "/a"),
            path_regex: text(3, "/[a-z]+"),
            pool: (end == 0).then(|| "p".to_owned()),
            rewrite: (end == 0).then(|| model::Rewrite { request, response, ..Default::default() }),
            redirect: (end == 1).then(|| model::Redirect { to: "https://{host}{path}".into(), status }),
            answer: (end == 2).then(|| model::Answer { status: 404, body, content_type: "text/plain".into() }),
            ..Default::default()
        }
    }
}

prop_compose! {
    fn file()(
        zone in option::of(name()),
        zones in vec(name(), 0..2),
        drain_timeout in duration(),
        operator in any::<bool>(),
        memory in 16_000_000u64..1_000_000_000,
        names in proptest::collection::btree_set(name(), 1..4),
        via in option::of(name()),
        merge_slashes in any::<bool>(),
        aim in duration(),
        worth in 0.0f64..100.0,
        servers in vec(server(), 0..4),
        check in any::<bool>(),
        tenant in option::of(name()),
        mut route in vec(route(), 1..6),
    ) -> ConfigFile {
        let listener = names.into_iter().map(|name| model::Listener {
            name,
            address: "127.0.0.1:0".parse().unwrap(),
            via: via.clone(),
            forwarded: model::Forwarded::Both,
            trust_forwarded: false,
            request_id: "x-request-id".into(),
            merge_slashes,
            keep_escaped_slashes: false,
        });
        for (k, route) in route.iter_mut().enumerate() {
            route.name += &k.to_string();
        }
        let mut servers = servers;
        for (k, server) in servers.iter_mut().enumerate() {
            server.name = server.name.take().map(|n| format!("{n}{k}"));
            server.address.set_port(server.address.port() / 5 * 5 + k as u16);
        }
        let mut class = model::Class::new("own", model::Effect::Keyed, &["PUT"]);
        (class.aim, class.deadline, class.window, class.worth) = (aim, aim, aim, worth);
        let check = check.then(|| model::Check {
            path: "/up".into(), every: aim, timeout: aim, rise: 1, fall: 2, status: vec![200, 204],
        });
        ConfigFile {
            node: model::Node { zone, zones, drain_timeout },
            operator: model::Operator { listen: operator.then(|| "127.0.0.1:9100".parse().unwrap()) },
            fleet: operator.then(|| model::Fleet {
                seeds: vec!["127.0.0.1:7001".parse().unwrap()],
                ..toml::from_str("name = \"f\"\nnode = \"n\"\nlisten = \"127.0.0.1:7000\"").unwrap()
            }),
            limits: model::Limits { memory: ByteSize(memory), ..Default::default() },
            listener: listener.collect(),
            class: vec![class],
            tenants: tenant.map(|name| model::Tenants {
                tenant: vec![model::Tenant { name, rate: 5.0 }], ..Default::default()
            }),
            pool: vec![model::Pool { servers: Some(servers), check, ..toml::from_str("name = \"p\"").unwrap() }],
            route,
        }
    }
}

proptest! {
    /// What is printed is read again as the same, by the schema and by serde.
    #[test]
    fn a_printed_file_reads_the_same(file in file()) {
        let text = toml::to_string(&file).unwrap();
        let checked = parse_config(&text, Path::new("")).unwrap_or_else(|f| panic!("{f:?}\n{text}"));
        prop_assert_eq!(&checked.file, &file, "{}", text);
        prop_assert_eq!(toml::to_string(&checked.file).unwrap(), text);
    }

    /// No text makes it panic, and what is refused is refused with a reason.
    #[test]
    fn no_text_panics(text in "([\\[\\]={}\",.#a-z0-9\n ]|listener|route|pool|name|\\[\\[|\"a\"){0,60}") {
        if let Err(faults) = parse_config(&text, Path::new("")) {
            prop_assert!(faults.iter().any(|f| f.severity == Severity::Error));
        }
    }

    /// A sound file with a piece torn out or changed is read or refused, and each fault has a place in it.
    #[test]
    fn a_torn_file_is_refused_in_its_lines(at in 0usize..250, cut in 0usize..40, put in "[\\[\\]=\"a-z0-9\n]{0,3}") {
        let at = at.min(SMALL.len());
        let end = (at + cut).min(SMALL.len());
        let torn = format!("{}{put}{}", &SMALL[..at], &SMALL[end..]);
        let lines = torn.lines().count() + 1;
        for fault in faults(&torn) {
            prop_assert!(fault.line <= lines && fault.column >= 1, "{fault}");
        }
    }
}

/// A watched file may name the zones that the operator's file names, and no others.
#[test]
fn zones_of_a_watched_file_are_named_in_the_operators() {
    let plan =
        parse_config(&format!("[node]\nzone = \"a\"\nzones = [\"b\"]\n{SMALL}"), Path::new("")).unwrap().plan;
    let list =
        |zone: &str| format!("[[servers]]\naddress = \"127.0.0.1:1\"\nzone = \"{zone}\"\nkind = \"m2\"\n");
    let servers = parse_server_list(&list("b"), plan.zone, &plan.zones).unwrap();
    assert_eq!((servers[0].zone, servers[0].kind.as_deref()), (1, Some("m2")));
    let refused = parse_server_list(&list("c"), plan.zone, &plan.zones).unwrap_err();
    let said = refused[0].to_string();
    assert!(said.starts_with("3:8: error: servers[0].zone") && said.ends_with("allowed: a, b"), "{said}");
}
