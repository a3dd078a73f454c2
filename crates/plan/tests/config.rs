//! Parsing the configuration file: defaults, diagnostics with their positions, and round trips.

use corkhollow_plan::config::model::{self, ConfigFile};
use corkhollow_plan::config::schema::{KeyDefault, Kind, Table, CONFIG};
use corkhollow_plan::config::values::{ByteSize, Duration};
use corkhollow_plan::config::{parse_config, parse_server_list, reference, Diagnostic, Severity};
use corkhollow_plan::plan::Plan;
use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::{Host, RequestHead};
use http::{HeaderMap, Method};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use std::path::Path;

const MINIMAL_CONFIG: &str = r#"
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

fn diagnose(text: &str) -> Vec<Diagnostic> {
    match parse_config(text, Path::new("")) {
        Ok(checked) => checked.warnings,
        Err(diagnostics) => diagnostics,
    }
}

/// All diagnostics as printed, one per line.
fn print_diagnostics(text: &str) -> String {
    diagnose(text).iter().map(|d| format!("{d}\n")).collect()
}

#[test]
fn minimal_config_gets_default_classes() {
    let checked = parse_config(MINIMAL_CONFIG, Path::new("")).unwrap_or_else(|d| panic!("{d:?}"));
    assert_eq!(checked.warnings, []);
    let plan = checked.plan;
    assert_eq!(plan.classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>(), ["read", "write"]);
    for (method, class) in [("GET", 0), ("HEAD", 0), ("POST", 1), ("DELETE", 1), ("PROPFIND", 1)] {
        assert_eq!(plan.class_of(None, &method.parse().unwrap()), class, "{method}");
    }
}

#[test]
fn every_error_has_a_position_and_the_allowed_values() {
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
    let printed = print_diagnostics(text);
    for expected in [
        "3:15: error: limits.descriptors: 3 is out of range; allowed: an integer from 48 to 1000000",
        "4:10: error: limits.memory: `lots` is not a whole number followed by one of the units",
        "8:1: error: listener[0].adress: unknown key; did you mean `address`?; allowed: name, address, via",
        "6:1: error: listener[0].address: `address` is missing; allowed: an IP address with a port",
        "12:10: error: class[0].effect: \"unsave\" is not known; did you mean \"unsafe\"?",
        "17:16: error: pool[0].max_attempts: this is a string; allowed: an integer from 1 to 16",
        "18:24: error: pool[0].servers[0].address: \"localhost:80\" is not an IP address with a port; allowed: an IP",
        "22:8: error: route[0].pool: this is an integer; allowed: a name of 1 to 64 letters",
        "23:12: error: route[0].methods[0]: \"get\" is not a supported method; allowed: a method in upper case",
        "24:10: error: route[0].hosts[0]: `a b` is no host name",
        "25:14: error: route[0].path_regex: ",
    ] {
        assert!(printed.contains(expected), "missing: {expected}\n{printed}");
    }
    assert_eq!(printed.lines().count(), 11, "{printed}");
}

#[test]
fn toml_syntax_errors_have_a_position() {
    let printed = print_diagnostics("[[listener]\nname = \"web\"\n");
    assert!(printed.starts_with("1:"), "{printed}");
    assert!(!diagnose("a = \n").is_empty() && !diagnose("\u{0}").is_empty());
}

/// Checks that involve more than one key.
#[test]
fn names_and_combinations_of_keys_are_checked() {
    let append = |more: &str| format!("{MINIMAL_CONFIG}\n{more}");
    let route = |body: &str| append(&format!("[[route]]\nname = \"r\"\n{body}"));
    for (text, expected) in [
        (String::new(), "listener: `listener` is missing"),
        (
            append("[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:1\""),
            "the name `web` is already used by listener[0]",
        ),
        (
            append("[[listener]]\nname = \"b\"\naddress = \"127.0.0.1:8080\""),
            "the address 127.0.0.1:8080 is already used by listener[0]",
        ),
        (append("[[pool]]\nname = \"p\""), "exactly one of `servers`, `watch` and `discovery` must be set"),
        (
            append("[[pool]]\nname = \"p\"\nservers = []\nwatch = \"x\""),
            "exactly one of `servers`, `watch` and `discovery` must be set",
        ),
        (route("pool = \"nowhere\""), "route[1].pool: there is no pool `nowhere`; allowed: boxes"),
        (route("pool = \"boxes\"\nclass = \"x\""), "there is no class `x`; allowed: read, write"),
        (route("pool = \"boxes\"\nlisteners = [\"x\"]"), "there is no listener `x`; allowed: web"),
        (route("path = \"/a\""), "exactly one of `pool`, `redirect` and `answer` must be set"),
        (route("pool = \"boxes\"\nanswer = { status = 200 }"), "exactly one of `pool`, `redirect`"),
        (route("pool = \"boxes\"\npath = \"/a\"\npath_prefix = \"/b\""), "at most one of `path`,"),
        (route("pool = \"boxes\"\npath = \"/a%2Fb\""), "no request can match this path"),
        (route("pool = \"boxes\"\nrewrite = { prefix = \"/x\" }"), "`rewrite.prefix` requires `path_prefix`"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"a\" }"), "`regex` and `with` must be set together"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"(a)\", with = \"$2\" }"), "no group `2`"),
        (route("pool = \"boxes\"\nrewrite = { regex = \"a\", with = \"${b}x\" }"), "no group `b`"),
        (
            route("pool = \"boxes\"\nrewrite = { request = { set = { Connection = \"x\" } } }"),
            "is a connection-level header, which the gateway sets itself",
        ),
        (route("pool = \"boxes\"\nheaders = [{ name = \"x\" }]"), "exactly one of `is`, `begins`"),
        (route("pool = \"boxes\"\nheaders = [{ name = \"x y\", is = \"\" }]"), "is not a valid header name"),
        (route("redirect = { to = \"{port}\" }"), "`{port}` is not known in a redirect"),
        (route("redirect = { to = \"/\", status = 200 }"), "allowed: 301, 302, 303, 307, 308"),
        (route("answer = { status = 100 }"), "100 is out of range"),
        (
            append("[[class]]\nname = \"c\"\neffect = \"safe\"\naim = \"1m\""),
            "the aim is longer than the deadline",
        ),
        (
            append("[[class]]\nname = \"c\"\neffect = \"safe\"\ngroup = \"zone\""),
            "only classes of effect \"keyed\"",
        ),
        (
            append("[[class]]\nname = \"c\"\neffect = \"safe\"\nmethods = [\"PUT\", \"PUT\"]"),
            "class[0].methods[1]: PUT already belongs to class[0]",
        ),
        (append("[limits]\nreplay_buffer = \"100MB\""), "at most an eighth of `limits.memory`"),
        (append("[limits]\nmemory = \"1MB\""), "16MB or more"),
    ] {
        let printed = print_diagnostics(&text);
        assert!(
            printed.contains(": error: ") && printed.contains(expected),
            "{text}\nmissing: {expected}\n{printed}"
        );
    }
    let duplicates = "[{ address = \"127.0.0.1:1\" }, { address = \"127.0.0.1:1\" }]";
    let with_duplicates = MINIMAL_CONFIG.replace(
        "[{ address = \"127.0.0.1:9001\" }, ",
        &format!("{}, ", &duplicates[..duplicates.len() - 1]),
    );
    assert!(
        print_diagnostics(&with_duplicates)
            .contains("the name `127.0.0.1:1` is already used by pool[0].servers[0]"),
        "{}",
        print_diagnostics(&with_duplicates)
    );
}

#[test]
fn warnings_do_not_reject_the_file() {
    for (more, expected) in [
        ("[[pool]]\nname = \"p\"\nservers = []", "the pool has no servers"),
        ("[[pool]]\nname = \"p\"\nwatch = \"x\"", "no route uses this pool"),
        ("[[class]]\nname = \"c\"\neffect = \"safe\"", "no route and no method uses this class"),
        ("[[route]]\nname = \"late\"\npath = \"/a\"\nanswer = { status = 404 }", "route[1].name: never taken: the earlier route `all` matches all its requests"),
        (
            "[[pool]]\nname = \"p\"\nservers = [{ address = \"127.0.0.1:1\", name = \"a\" }, { address = \"127.0.0.1:1\", name = \"b\" }]",
            "the address 127.0.0.1:1 is also that of pool[1].servers[0]",
        ),
    ] {
        let checked = parse_config(&format!("{MINIMAL_CONFIG}\n{more}"), Path::new("")).unwrap_or_else(|d| panic!("{d:?}"));
        assert!(checked.warnings.iter().all(|d| d.severity == Severity::Warning));
        let printed: String = checked.warnings.iter().map(|d| format!("{d}\n")).collect();
        assert!(printed.contains(expected), "missing: {expected}\n{printed}");
    }
}

fn explain(plan: &Plan, method: Method, host: &str, path: &str) -> String {
    let host = Host::parse(host).unwrap();
    let path = normalise(path, plan.listeners[0].paths).unwrap();
    let headers = HeaderMap::new();
    let target = RequestHead {
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
fn explain_names_route_class_and_rewritten_path() {
    let text = format!(
        "{}{}",
        MINIMAL_CONFIG.replace("[[route]]", "[[route]]\nname = \"api\"\nhosts = [\"*.a.org\"]\npath_prefix = \"/api\"\nmethods = [\"GET\"]\npool = \"boxes\"\nclass = \"read\"\n[route.rewrite]\nprefix = \"/\"\n[[route]]"),
        "path = \"/x\"\n"
    );
    let plan = parse_config(&text, Path::new("")).unwrap_or_else(|d| panic!("{d:?}")).plan;
    let api = explain(&plan, Method::GET, "WWW.A.Org:80", "/api/../api/v1");
    for line in
        ["route     api (number 1 of 2)", "class     read (named by the route): safe", "sent as   GET /v1"]
    {
        assert!(api.contains(line), "{api}");
    }
    let other = explain(&plan, Method::POST, "b.org", "/x");
    for line in ["passed    route api: it is for other hosts", "class     write (by the method): unsafe"] {
        assert!(other.contains(line), "{other}");
    }
    assert!(explain(&plan, Method::POST, "w.a.org", "/api").contains("405: only with GET"));
    assert!(explain(&plan, Method::GET, "b.org", "/y").contains("404"));
}

/// Calls `visit` with the path and the schema of each table, recursively.
fn visit_tables(path: &str, table: &'static Table, visit: &mut dyn FnMut(&str, &'static Table)) {
    visit(path, table);
    for key in table.keys {
        if let Kind::Table(inner) | Kind::ArrayOfTables(inner) = key.kind {
            visit_tables(&format!("{path}/{}", key.name), inner, visit);
        }
    }
}

#[test]
fn defaults_in_the_schema_match_those_of_the_model() {
    let required_keys = |path: &str| match path {
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
    fn serialize_defaults<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) -> toml::Table {
        let value: T = toml::from_str(text).unwrap();
        toml::Table::try_from(&value).unwrap()
    }
    let mut compared = 0;
    visit_tables("", &CONFIG, &mut |path, table| {
        if path.is_empty() {
            return;
        }
        let text = required_keys(path);
        let serialized = match path {
            "/node" => serialize_defaults::<model::Node>(text),
            "/operator" => serialize_defaults::<model::Operator>(text),
            "/limits" => serialize_defaults::<model::Limits>(text),
            "/fleet" => serialize_defaults::<model::Fleet>(text),
            "/listener" => serialize_defaults::<model::Listener>(text),
            "/class" => serialize_defaults::<model::Class>(text),
            "/tenants" => serialize_defaults::<model::Tenants>(text),
            "/tenants/tenant" => serialize_defaults::<model::Tenant>(text),
            "/pool" => serialize_defaults::<model::Pool>(text),
            "/pool/servers" => serialize_defaults::<model::Server>(text),
            "/pool/check" => serialize_defaults::<model::Check>(text),
            "/route" => serialize_defaults::<model::Route>(text),
            "/route/headers" | "/route/query" => serialize_defaults::<model::FieldCondition>(text),
            "/route/rewrite" => serialize_defaults::<model::Rewrite>(text),
            "/route/rewrite/request" | "/route/rewrite/response" => {
                serialize_defaults::<model::HeaderEdits>(text)
            }
            "/route/redirect" => serialize_defaults::<model::Redirect>(text),
            "/route/answer" => serialize_defaults::<model::Answer>(text),
            other => panic!("no model for {other}"),
        };
        for key in table.keys {
            let value = serialized.get(key.name);
            match key.default {
                KeyDefault::Value(default) => {
                    let expected: toml::Table = toml::from_str(&format!("v = {default}")).unwrap();
                    assert_eq!(value, Some(&expected["v"]), "{path}/{}", key.name);
                    compared += 1;
                }
                KeyDefault::Required => assert!(value.is_some(), "{path}/{}", key.name),
                KeyDefault::Described(_) => {}
            }
        }
        for name in serialized.keys() {
            assert!(table.keys.iter().any(|key| key.name == name), "{path}/{name} is not in the schema");
        }
    });
    assert!(compared > 30, "{compared}");
}

/// The configuration guide contains the generated reference.
#[test]
fn reference_in_the_guide_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/configuration.md");
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let (begin, end) =
        ("<!-- reference: made by `corkhollow reference` -->\n\n", "<!-- end of the reference -->");
    let current =
        text.split_once(begin).and_then(|(_, rest)| rest.split_once(end)).map(|(current, _)| current);
    assert!(
        current == Some(&reference::render_markdown()),
        "run `corkhollow reference` and copy its output into {}",
        path.display()
    );
}

fn any_name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9_.-]{0,8}"
}

fn any_duration() -> impl Strategy<Value = Duration> {
    (1u64..100_000).prop_map(Duration::from_millis)
}

fn any_header_name() -> impl Strategy<Value = String> {
    select(&["x-a", "X-B", "accept"][..]).prop_map(str::to_owned)
}

fn any_field_condition() -> impl Strategy<Value = model::FieldCondition> {
    (any_header_name(), 0..4, "[a-z]{0,4}").prop_map(|(name, kind, text)| model::FieldCondition {
        name,
        is: (kind == 0).then(|| text.clone()),
        begins: (kind == 1).then(|| text.clone()),
        matches: (kind == 2).then_some(text),
        present: (kind == 3).then_some(true),
    })
}

prop_compose! {
    fn any_server()(
        port in 1u16..,
        v6 in any::<bool>(),
        name in option::of(any_name()),
        weight in 0.01f64..100.0,
        zone in option::of(any_name()),
        backup in any::<bool>(),
    ) -> model::Server {
        let ip = if v6 { "[::1]" } else { "127.0.0.1" };
        let address = format!("{ip}:{port}").parse().unwrap();
        model::Server { address, name, weight, zone, kind: None, drain: false, backup }
    }
}

prop_compose! {
    fn any_header_edits()(
        remove in vec(any_header_name(), 0..2),
        set in btree_map(any_header_name(), "[ -~]{0,8}", 0..2),
        add in btree_map(any_header_name(), "[a-z]{0,8}", 0..2),
    ) -> model::HeaderEdits {
        model::HeaderEdits { remove, set, add }
    }
}

prop_compose! {
    fn any_route()(
        name in any_name(),
        hosts in vec(select(&["a.org", "*.b.org"][..]).prop_map(str::to_owned), 0..2),
        path_kind in 0..4,
        methods in vec(select(&["GET", "PUT"][..]).prop_map(str::to_owned), 0..2),
        headers in vec(any_field_condition(), 0..2),
        query in vec(any_field_condition(), 0..2),
        outcome in 0..3,
        request in any_header_edits(),
        response in any_header_edits(),
        status in select(&[301u16, 302, 307][..]),
        body in ".{0,10}",
    ) -> model::Route {
        let path_of_kind = |kind: i32, path: &str| (path_kind == kind).then(|| path.to_owned());
        model::Route {
            name,
            hosts,
            methods,
            headers,
            query,
            path: path_of_kind(1, "/a/b"),
            path_prefix: path_of_kind(2, "/a"),
            path_regex: path_of_kind(3, "/[a-z]+"),
            pool: (outcome == 0).then(|| "p".to_owned()),
            rewrite: (outcome == 0).then(|| model::Rewrite { request, response, ..Default::default() }),
            redirect: (outcome == 1).then(|| model::Redirect { to: "https://{host}{path}".into(), status }),
            answer: (outcome == 2).then(|| model::Answer { status: 404, body, content_type: "text/plain".into() }),
            ..Default::default()
        }
    }
}

prop_compose! {
    fn any_config_file()(
        zone in option::of(any_name()),
        zones in vec(any_name(), 0..2),
        drain_timeout in any_duration(),
        operator in any::<bool>(),
        memory in 16_000_000u64..1_000_000_000,
        names in proptest::collection::btree_set(any_name(), 1..4),
        via in option::of(any_name()),
        merge_slashes in any::<bool>(),
        aim in any_duration(),
        worth in 0.0f64..100.0,
        servers in vec(any_server(), 0..4),
        check in any::<bool>(),
        tenant in option::of(any_name()),
        mut route in vec(any_route(), 1..6),
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
        // The indexes make names and addresses unique; duplicates are rejected.
        for (index, route) in route.iter_mut().enumerate() {
            route.name += &index.to_string();
        }
        let mut servers = servers;
        for (index, server) in servers.iter_mut().enumerate() {
            server.name = server.name.take().map(|n| format!("{n}{index}"));
            let block = server.address.port().min(u16::MAX - 5) / 5 * 5;
            server.address.set_port(block + index as u16);
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
    #[test]
    fn serialized_config_parses_to_the_same_value(file in any_config_file()) {
        let text = toml::to_string(&file).unwrap();
        let checked = parse_config(&text, Path::new("")).unwrap_or_else(|d| panic!("{d:?}\n{text}"));
        prop_assert_eq!(&checked.file, &file, "{}", text);
        prop_assert_eq!(toml::to_string(&checked.file).unwrap(), text);
    }

    #[test]
    fn arbitrary_text_never_panics_and_is_rejected_only_with_an_error(text in "([\\[\\]={}\",.#a-z0-9\n ]|listener|route|pool|name|\\[\\[|\"a\"){0,60}") {
        if let Err(diagnostics) = parse_config(&text, Path::new("")) {
            prop_assert!(diagnostics.iter().any(|d| d.severity == Severity::Error));
        }
    }

    /// Replaces a piece of a valid file with random text.
    #[test]
    fn diagnostics_of_a_corrupted_file_lie_within_it(start in 0usize..250, length in 0usize..40, inserted in "[\\[\\]=\"a-z0-9\n]{0,3}") {
        let start = start.min(MINIMAL_CONFIG.len());
        let end = (start + length).min(MINIMAL_CONFIG.len());
        let corrupted = format!("{}{inserted}{}", &MINIMAL_CONFIG[..start], &MINIMAL_CONFIG[end..]);
        let lines = corrupted.lines().count() + 1;
        for diagnostic in diagnose(&corrupted) {
            prop_assert!(diagnostic.line <= lines && diagnostic.column >= 1, "{diagnostic}");
        }
    }
}

#[test]
fn watched_file_may_use_only_zones_of_the_config() {
    let plan =
        parse_config(&format!("[node]\nzone = \"a\"\nzones = [\"b\"]\n{MINIMAL_CONFIG}"), Path::new(""))
            .unwrap()
            .plan;
    let list =
        |zone: &str| format!("[[servers]]\naddress = \"127.0.0.1:1\"\nzone = \"{zone}\"\nkind = \"m2\"\n");
    let servers = parse_server_list(&list("b"), plan.zone, &plan.zones).unwrap();
    assert_eq!((servers[0].zone, servers[0].kind.as_deref()), (1, Some("m2")));
    let diagnostics = parse_server_list(&list("c"), plan.zone, &plan.zones).unwrap_err();
    let printed = diagnostics[0].to_string();
    assert!(
        printed.starts_with("3:8: error: servers[0].zone") && printed.ends_with("allowed: a, b"),
        "{printed}"
    );
}
