//! From the file to the plan: names are resolved, and what only shows when the whole is seen is checked.

use super::model::{self, File};
use super::reader::{Reader, Severity};
use crate::plan::{
    Check, Dialect, Discovery, Fleet, Limits, Listener, Plan, Pool, RequestClass, Server, Source, Tenants,
};
use crate::routes::rewrite::PathRewrite;
use crate::routes::{
    FieldMatch, FieldTest, HeaderEdits, HostPattern, Outcome, PathPattern, PathRules, Redirect, Rewrite,
    Route, RouteTable,
};
use corkhollow_balance::interface::{Class, Effect, Group, Settings};
use http::header::{HeaderName, HeaderValue};
use http::Method;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Builds the plan; none where something in it could not be resolved. Faults go to the reader.
pub(super) fn compile(file: &File, folder: &Path, reader: &mut Reader<'_>) -> Option<Plan> {
    let zones = zones(file);
    if zones.len() > 127 {
        reader.error("pool", "more than 126 zones");
    }
    let zone = zones.iter().position(|z| Some(z) == file.node.zone.as_ref()).unwrap_or(0) as u8;
    let fleet = fleet(file, folder, reader);
    let listeners = listeners(file, reader);
    let classes = classes(file, reader);
    let tenants = tenants(file, reader)?;
    let limits = limits(file, reader);
    let told = |p: &model::Pool| settings(p, &classes, &tenants, zone, zones.len());
    let pools: Vec<_> =
        file.pool.iter().enumerate().map(|(k, p)| pool(p, k, told(p), &zones, folder, reader)).collect();
    unique(file.pool.iter().map(|p| &p.name), "pool", reader);
    let routes = routes(file, &listeners, reader);
    let (drain_timeout, operator) = (file.node.drain_timeout.0, file.operator.listen);
    if reader.failed() {
        return None;
    }
    warn_of_unused(file, reader);
    let routes = RouteTable::new(routes.into_iter().flatten().collect(), listeners.len());
    warn_of_covered(&routes, reader);
    Some(Plan {
        zone,
        zones,
        drain_timeout,
        operator,
        fleet,
        limits,
        listeners,
        classes,
        tenants,
        pools,
        routes,
        seed: None,
    })
}

/// More than this multiple of its present capacity, for so long, pushes a cold server over.
const TIP: (f64, u64) = (3.0, 2_000_000_000);
/// The ramp also sets how fast the module forgets; so where servers are warm from the start.
const MEMORY: u64 = 10_000_000_000;
/// The longest advice on when to come back.
const LONGEST_ADVICE: u64 = 30_000_000_000;

/// What a pool's decision module is told.
fn settings(
    pool: &model::Pool,
    classes: &[RequestClass],
    tenants: &Tenants,
    zone: u8,
    zones: usize,
) -> Settings {
    let longest = classes.iter().map(|c| c.class.give_up).max().unwrap_or(1);
    Settings {
        classes: classes.iter().map(|c| c.class.clone()).collect(),
        tenant_quota: tenants.shares.iter().map(|(_, rate)| *rate).collect(),
        over_share_worth: tenants.over_share_worth,
        zone,
        max_attempts: pool.max_attempts,
        second_copies: pool.second_copies,
        slots: f64::from(pool.concurrency),
        max_retry_after: longest.min(LONGEST_ADVICE),
        cold_from: pool.cold_from,
        ramp: pool.cold_ramp.map_or(MEMORY, |r| r.0),
        tip_multiple: TIP.0,
        fall: TIP.1,
        // Behind all zones comes one of their backups each.
        backup_zone: if pool.discovery.is_some() { u8::MAX } else { zones.min(127) as u8 },
        ..Settings::single_class(1, longest)
    }
}

/// Names go along in every datagram.
const LONGEST_FLEET_NAME: usize = 32;

fn fleet(file: &File, folder: &Path, reader: &mut Reader<'_>) -> Option<Fleet> {
    let told = file.fleet.as_ref()?;
    let [every, timeout, suspect] = [told.probe_every.0, told.probe_timeout.0, told.suspect_for.0];
    if told.node.len() > LONGEST_FLEET_NAME {
        reader.error("fleet.node", "a node's name in a fleet has at most 32 characters");
    }
    if file.node.zone.as_ref().is_some_and(|zone| zone.len() > LONGEST_FLEET_NAME) {
        reader.error("node.zone", "in a fleet the name of a node's zone has at most 32 characters");
    }
    if told.advertise.is_none() && told.listen.ip().is_unspecified() {
        reader.error("fleet.listen", "others cannot reach this address; `advertise` says where they do");
    }
    let reachable = |address: &std::net::SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    if told.advertise.is_some_and(|address| !reachable(&address)) {
        reader.error("fleet.advertise", "others cannot reach this address");
    }
    for (k, _) in told.seeds.iter().enumerate().filter(|(_, seed)| !reachable(seed)) {
        reader.error(&format!("fleet.seeds[{k}]"), "nobody can be reached at this address");
    }
    if !(50_000_000..=60_000_000_000).contains(&every) {
        reader.error("fleet.probe_every", "out of range: 50ms to 1m");
    }
    if timeout >= every {
        reader.error("fleet.probe_timeout", "must be shorter than `probe_every`");
    }
    if suspect < 2 * every {
        reader.error("fleet.suspect_for", "must be at least twice `probe_every`");
    }
    Some(Fleet {
        name: told.name.clone(),
        node: told.node.clone(),
        listen: told.listen,
        advertise: told.advertise,
        seeds: told.seeds.clone(),
        key_file: told.key_file.as_ref().map(|path| folder.join(path)),
        probe_every: every,
        probe_timeout: timeout,
        suspect_for: suspect,
        datagram: told.datagram_bytes,
    })
}

/// All zones that are named; the first is the program's own.
fn zones(file: &File) -> Vec<String> {
    let mut zones = vec![file.node.zone.clone().unwrap_or_default()];
    let named = file.pool.iter().flat_map(|p| p.servers.iter().flatten()).filter_map(|s| s.zone.clone());
    for zone in file.node.zones.iter().cloned().chain(named) {
        if !zones.contains(&zone) {
            zones.push(zone);
        }
    }
    zones
}

fn unique<'n>(names: impl Iterator<Item = &'n String>, list: &str, reader: &mut Reader<'_>) {
    let mut first = BTreeMap::new();
    for (k, name) in names.enumerate() {
        if let Some(earlier) = first.insert(name, k) {
            first.insert(name, earlier);
            reader
                .error(&format!("{list}[{k}].name"), format!("{list}[{earlier}] has the name `{name}` too"));
        }
    }
}

fn listeners(file: &File, reader: &mut Reader<'_>) -> Vec<Listener> {
    if file.listener.is_empty() {
        reader.error("listener", "there must be at least one listener");
    }
    unique(file.listener.iter().map(|l| &l.name), "listener", reader);
    let mut taken = BTreeMap::new();
    for (k, l) in file.listener.iter().enumerate().filter(|(_, l)| l.address.port() != 0) {
        if let Some(earlier) = taken.insert(l.address, k) {
            let what = format!("listener[{earlier}] has the address {} too", l.address);
            reader.error(&format!("listener[{k}].address"), what);
        }
    }
    let build = |l: &model::Listener| Listener {
        name: l.name.clone(),
        address: l.address,
        dialect: Dialect::Http,
        via: l.via.as_ref().and_then(|name| HeaderValue::try_from(format!("1.1 {name}")).ok()),
        x_forwarded: matches!(l.forwarded, model::Forwarded::XForwarded | model::Forwarded::Both),
        forwarded: matches!(l.forwarded, model::Forwarded::Forwarded | model::Forwarded::Both),
        trust_forwarded: l.trust_forwarded,
        request_id: header(&l.request_id).unwrap_or(HeaderName::from_static("x-request-id")),
        paths: PathRules { merge_slashes: l.merge_slashes, keep_escaped_slashes: l.keep_escaped_slashes },
    };
    file.listener.iter().map(build).collect()
}

fn limits(file: &File, reader: &mut Reader<'_>) -> Limits {
    let l = &file.limits;
    for (name, value, least, most) in [
        ("memory", l.memory.0, 16_000_000, u64::MAX),
        ("header_bytes", l.header_bytes.0, 8 << 10, 1 << 20),
        ("replay_buffer", l.replay_buffer.0, 0, l.memory.0 / 8),
    ] {
        if value < least || value > most {
            let allowed = match name {
                "memory" => "16MB or more",
                "header_bytes" => "8KiB to 1MiB",
                _ => "at most an eighth of `limits.memory`",
            };
            let what = "the size is out of range".to_owned();
            reader.note(Severity::Error, &format!("limits.{name}"), what, allowed.to_owned());
        }
    }
    Limits {
        descriptors: l.descriptors,
        memory: l.memory.0,
        replay_buffer: l.replay_buffer.0,
        header_bytes: l.header_bytes.0 as usize,
        header_timeout: l.header_timeout.0,
        idle_timeout: l.idle_timeout.0,
        stall_timeout: l.stall_timeout.0,
    }
}

const READS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

/// The file's classes, and behind them the two that stand for what they leave open.
fn with_defaults(file: &File) -> Vec<model::Class> {
    let mut classes = file.class.clone();
    for (name, effect, methods) in
        [("read", model::Effect::Safe, &READS[..]), ("write", model::Effect::Unsafe, &[][..])]
    {
        if !classes.iter().any(|c| c.name == name) {
            classes.push(model::Class::new(name, effect, methods));
        }
    }
    // The last one stands for all methods that no class names.
    if let Some(at) = classes.iter().position(|c| c.name == "write") {
        let write = classes.remove(at);
        classes.push(write);
    }
    classes
}

fn classes(file: &File, reader: &mut Reader<'_>) -> Vec<RequestClass> {
    unique(file.class.iter().map(|c| &c.name), "class", reader);
    let mut by_method: BTreeMap<&str, usize> = BTreeMap::new();
    for (k, class) in file.class.iter().enumerate() {
        let at = |key: &str| format!("class[{k}].{key}");
        if class.aim > class.deadline {
            reader.error(&at("aim"), format!("the aim is longer than the deadline, {}", class.deadline));
        }
        if class.effect != model::Effect::Keyed {
            if class.group != model::Group::All {
                reader.error(&at("group"), "only classes of effect \"keyed\" have a group");
            }
        } else if class.window < class.deadline {
            let what = "a repeat may come after the window; the module sends none then".to_owned();
            reader.note(Severity::Warning, &at("window"), what, format!("at least {}", class.deadline));
        }
        for (n, method) in class.methods.iter().enumerate() {
            if let Some(earlier) = by_method.insert(method, k) {
                let what = format!("class[{earlier}] is for {method} too");
                reader.error(&at(&format!("methods[{n}]")), what);
            }
        }
    }
    if with_defaults(file).len() > 255 {
        reader.error("class", "more than 253 classes");
    }
    let methods = |c: &model::Class| c.methods.iter().filter_map(|m| m.parse().ok()).collect();
    let build = |c: model::Class| RequestClass {
        class: Class {
            aim: c.aim.0,
            give_up: c.deadline.0,
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match c.effect {
                model::Effect::Safe => Effect::Safe,
                model::Effect::Keyed => Effect::Keyed,
                model::Effect::Unsafe => Effect::Unsafe,
            },
            group: if c.group == model::Group::Zone { Group::Zone } else { Group::All },
            window: c.window.0,
            stream: false,
        },
        methods: methods(&c),
        name: c.name,
    };
    with_defaults(file).into_iter().map(build).collect()
}

fn tenants(file: &File, reader: &mut Reader<'_>) -> Option<Tenants> {
    let tenants = file.tenants.clone().unwrap_or_default();
    unique(tenants.tenant.iter().map(|t| &t.name), "tenants.tenant", reader);
    Some(Tenants {
        header: header(&tenants.header)?,
        shares: tenants.tenant.iter().map(|t| (t.name.clone(), t.rate)).collect(),
        over_share_worth: tenants.over_share_worth,
    })
}

fn pool(
    pool: &model::Pool,
    k: usize,
    settings: Settings,
    zones: &[String],
    folder: &Path,
    reader: &mut Reader<'_>,
) -> Pool {
    let at = |key: &str| format!("pool[{k}].{key}");
    let told = [pool.servers.is_some(), pool.watch.is_some(), pool.discovery.is_some()];
    if told.iter().filter(|t| **t).count() != 1 {
        let what = "exactly one of `servers`, `watch` and `discovery` says who its servers are";
        reader.error(&format!("pool[{k}]"), what);
    }
    let source = match (&pool.servers, &pool.watch, pool.discovery) {
        (_, Some(path), _) => Source::Watch(folder.join(path)),
        (_, _, Some(address)) => Source::Discovery(Box::new(Discovery {
            address,
            zones: zones.to_vec(),
            kinds: Vec::new(),
            known: None,
        })),
        (list, ..) => {
            let list = list.as_deref().unwrap_or_default();
            if pool.servers.is_some() && list.is_empty() {
                let what = "the pool has no servers: all its requests are refused".to_owned();
                reader.note(Severity::Warning, &at("servers"), what, String::new());
            }
            Source::Static(servers(list, &at("servers"), settings.zone, zones, reader))
        }
    };
    Pool {
        name: pool.name.clone(),
        source,
        dialect: Dialect::Http,
        settings,
        connect_timeout: pool.connect_timeout.0,
        idle_timeout: pool.idle_timeout.0,
        max_connections: pool.max_connections,
        max_waiting: pool.max_waiting,
        cold: pool.cold_ramp.is_some(),
        check: pool.check.as_ref().map(|c| Check {
            path: c.path.clone(),
            every: c.every.0,
            timeout: c.timeout.0,
            rise: c.rise,
            fall: c.fall,
            status: c.status.clone(),
        }),
    }
}

/// The servers of one list. Two of one name are an error; two of one address share a machine, which is worth a word.
pub(super) fn servers(
    list: &[model::Server],
    path: &str,
    zone: u8,
    zones: &[String],
    reader: &mut Reader<'_>,
) -> Vec<Server> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    let mut out = Vec::with_capacity(list.len());
    for (k, server) in list.iter().enumerate() {
        let name = server.identity();
        if let Some(earlier) = names.insert(name.clone(), k) {
            reader.error(&format!("{path}[{k}]"), format!("{path}[{earlier}] has the name `{name}` too"));
        } else if let Some(earlier) = addresses.insert(server.address, k) {
            let what =
                format!("{path}[{earlier}] has the address {} too: each gets a full share", server.address);
            reader.note(Severity::Warning, &format!("{path}[{k}].address"), what, String::new());
        }
        let own = match &server.zone {
            None => Some(zone),
            Some(name) => zones.iter().position(|z| z == name).map(|at| at as u8),
        };
        if own.is_none() {
            let allowed = zones.iter().filter(|z| !z.is_empty()).cloned().collect::<Vec<_>>().join(", ");
            let what = "the operator's file names no such zone".to_owned();
            reader.note(Severity::Error, &format!("{path}[{k}].zone"), what, allowed);
        }
        out.push(Server {
            name,
            address: server.address,
            weight: server.weight,
            zone: own.unwrap_or(zone),
            kind: server.kind.clone(),
            drain: server.drain,
            backup: server.backup,
        });
    }
    out
}

fn header(name: &str) -> Option<HeaderName> {
    HeaderName::try_from(name).ok()
}

fn routes(file: &File, listeners: &[Listener], reader: &mut Reader<'_>) -> Vec<Option<Route>> {
    if file.route.is_empty() {
        reader.error("route", "there must be at least one route");
    }
    unique(file.route.iter().map(|r| &r.name), "route", reader);
    let classes: Vec<_> = with_defaults(file).into_iter().map(|c| c.name).collect();
    file.route.iter().enumerate().map(|(k, r)| route(r, k, file, listeners, &classes, reader)).collect()
}

/// The place of a name; notes where there is none.
fn find(
    name: &str,
    all: &mut dyn Iterator<Item = &String>,
    what: &str,
    at: &str,
    reader: &mut Reader<'_>,
) -> Option<usize> {
    let names: Vec<_> = all.cloned().collect();
    let found = names.iter().position(|n| n == name);
    if found.is_none() {
        let message = format!("there is no {what} `{name}`");
        reader.note(Severity::Error, at, message, names.join(", "));
    }
    found
}

fn route(
    r: &model::Route,
    k: usize,
    file: &File,
    listeners: &[Listener],
    classes: &[String],
    reader: &mut Reader<'_>,
) -> Option<Route> {
    let at = |key: &str| format!("route[{k}].{key}");
    let own: Vec<_> = r
        .listeners
        .iter()
        .enumerate()
        .filter_map(|(n, name)| {
            let mut all = file.listener.iter().map(|l| &l.name);
            find(name, &mut all, "listener", &at(&format!("listeners[{n}]")), reader)
        })
        .collect();
    let rules = rules_of(&own, listeners, k, r, reader);
    let path = path(r, rules, k, reader);
    let class =
        r.class.as_ref().and_then(|name| find(name, &mut classes.iter(), "class", &at("class"), reader));
    let headers = fields(&r.headers, &at("headers"), true, reader);
    let query = fields(&r.query, &at("query"), false, reader);
    let told = [r.pool.is_some(), r.redirect.is_some(), r.answer.is_some()];
    if told.iter().filter(|t| **t).count() != 1 {
        let what = "exactly one of `pool`, `redirect` and `answer` says what becomes of a request";
        reader.error(&format!("route[{k}]"), what);
        return None;
    }
    if r.pool.is_none() && r.rewrite.is_some() {
        reader.error(&at("rewrite"), "only a route with `pool` rewrites");
    }
    let outcome = match (&r.pool, &r.redirect, &r.answer) {
        (Some(name), ..) => {
            let mut all = file.pool.iter().map(|p| &p.name);
            let pool = find(name, &mut all, "pool", &at("pool"), reader)?;
            Outcome::Forward { pool, rewrite: Box::new(rewrite(r, rules, k, reader)) }
        }
        (_, Some(redirect), _) => Outcome::Redirect(Redirect::parse(&redirect.to, redirect.status).ok()?),
        (.., Some(answer)) => Outcome::Answer {
            status: answer.status,
            content_type: HeaderValue::from_str(&answer.content_type).ok()?,
            body: answer.body.clone().into(),
        },
        _ => return None,
    };
    Some(Route {
        name: r.name.clone(),
        listeners: own,
        hosts: r.hosts.iter().filter_map(|h| HostPattern::parse(h).ok()).collect(),
        path,
        methods: r.methods.iter().filter_map(|m| m.parse::<Method>().ok()).collect(),
        headers,
        query,
        class,
        outcome,
    })
}

/// How the paths of a route's listeners are read. A written path has one form only if they all agree.
fn rules_of(
    own: &[usize],
    listeners: &[Listener],
    k: usize,
    r: &model::Route,
    reader: &mut Reader<'_>,
) -> PathRules {
    let all: Vec<_> = if own.is_empty() { (0..listeners.len()).collect() } else { own.to_vec() };
    let rules: Vec<_> = all.iter().map(|l| listeners[*l].paths).collect();
    let first = rules.first().copied().unwrap_or_default();
    if rules.iter().any(|r| *r != first) && (r.path.is_some() || r.path_prefix.is_some()) {
        let what = "its listeners read paths in different ways: give each a route of its own";
        reader.error(&format!("route[{k}].listeners"), what);
    }
    first
}

fn path(r: &model::Route, rules: PathRules, k: usize, reader: &mut Reader<'_>) -> Option<PathPattern> {
    let at = |key: &str| format!("route[{k}].{key}");
    let told = [r.path.is_some(), r.path_prefix.is_some(), r.path_regex.is_some()];
    if told.iter().filter(|t| **t).count() > 1 {
        reader.error(&format!("route[{k}]"), "at most one of `path`, `path_prefix` and `path_regex`");
    }
    let (key, built) = match (&r.path, &r.path_prefix, &r.path_regex) {
        (Some(path), ..) => ("path", PathPattern::exact(path, rules).map_err(|e| e.to_string())),
        (_, Some(path), _) => ("path_prefix", PathPattern::prefix(path, rules).map_err(|e| e.to_string())),
        (.., Some(text)) => ("path_regex", PathPattern::regex(text).map_err(|e| e.to_string())),
        _ => return None,
    };
    built.map_err(|what| reader.error(&at(key), format!("no request has this path: {what}"))).ok()
}

fn fields(list: &[model::Field], path: &str, headers: bool, reader: &mut Reader<'_>) -> Vec<FieldMatch> {
    let mut out = Vec::new();
    for (k, field) in list.iter().enumerate() {
        let at = format!("{path}[{k}]");
        let told =
            [field.is.is_some(), field.begins.is_some(), field.matches.is_some(), field.present.is_some()];
        if told.iter().filter(|t| **t).count() != 1 {
            reader.error(&at, "exactly one of `is`, `begins`, `matches` and `present`");
        }
        if headers && header(&field.name).is_none() {
            reader.error(&format!("{at}.name"), format!("{:?} is no header's name", field.name));
        }
        let whole = |text: &String| regex::Regex::new(&format!("^(?:{text})$")).ok().map(FieldTest::Matches);
        let test = match (&field.is, &field.begins, &field.matches, field.present) {
            (Some(text), ..) => Some(FieldTest::Is(text.clone())),
            (_, Some(text), ..) => Some(FieldTest::Begins(text.clone())),
            (_, _, Some(text), _) => whole(text),
            (.., Some(false)) => Some(FieldTest::Absent),
            _ => Some(FieldTest::Present),
        };
        let name = if headers { field.name.to_ascii_lowercase() } else { field.name.clone() };
        out.extend(test.map(|test| FieldMatch { name, test }));
    }
    out
}

fn rewrite(r: &model::Route, rules: PathRules, k: usize, reader: &mut Reader<'_>) -> Rewrite {
    let Some(w) = &r.rewrite else { return Rewrite::default() };
    let at = |key: &str| format!("route[{k}].rewrite.{key}");
    let told = [w.path.is_some(), w.prefix.is_some(), w.regex.is_some()];
    if told.iter().filter(|t| **t).count() > 1 {
        reader.error(&format!("route[{k}].rewrite"), "at most one of `path`, `prefix` and `regex`");
    }
    if w.regex.is_some() != w.with.is_some() {
        reader.error(&format!("route[{k}].rewrite"), "`regex` and `with` belong together");
    }
    let from = r.path_prefix.as_deref().map(|p| PathPattern::prefix(p, rules));
    if w.prefix.is_some() && from.is_none() {
        reader.error(&at("prefix"), "only a route with `path_prefix` has a prefix to rewrite");
    }
    let path = match (&w.path, &w.prefix, &w.regex) {
        (Some(path), ..) => Some(PathRewrite::Whole(path.clone())),
        (_, Some(to), _) => match from {
            Some(Ok(PathPattern::Prefix(from))) => {
                Some(PathRewrite::Prefix { from, to: to.trim_end_matches('/').to_owned() })
            }
            _ => None,
        },
        (.., Some(find)) => {
            let with = w.with.clone().unwrap_or_default();
            regex::Regex::new(find).ok().map(|find| PathRewrite::Regex { find, with })
        }
        _ => None,
    };
    if let Some(PathRewrite::Regex { find, with }) = &path {
        for name in unknown_groups(find, with) {
            reader.error(&at("with"), format!("`regex` has no group `{name}`"));
        }
    }
    Rewrite {
        path,
        host: w.host.as_ref().and_then(|h| HeaderValue::from_str(h).ok()),
        request: edits(&w.request),
        response: edits(&w.response),
    }
}

/// Groups that a replacement names and its expression does not have: each would silently stand for nothing.
fn unknown_groups(find: &regex::Regex, with: &str) -> Vec<String> {
    let named: BTreeSet<_> = find.capture_names().flatten().map(str::to_owned).collect();
    let known =
        |name: &str| named.contains(name) || name.parse::<usize>().is_ok_and(|n| n < find.captures_len());
    let mut unknown = Vec::new();
    let mut rest = with;
    while let Some(at) = rest.find('$') {
        rest = &rest[at + 1..];
        if let Some(after) = rest.strip_prefix('$') {
            rest = after;
            continue;
        }
        let name = match rest.strip_prefix('{') {
            Some(inner) => inner.split('}').next().unwrap_or_default(),
            None => {
                let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(rest.len());
                &rest[..end]
            }
        };
        if !name.is_empty() && !known(name) {
            unknown.push(name.to_owned());
        }
    }
    unknown
}

fn edits(edits: &model::Edits) -> HeaderEdits {
    let pairs = |map: &BTreeMap<String, String>| {
        map.iter().filter_map(|(n, v)| Some((header(n)?, HeaderValue::from_str(v).ok()?))).collect()
    };
    HeaderEdits {
        remove: edits.remove.iter().filter_map(|n| header(n)).collect(),
        set: pairs(&edits.set),
        add: pairs(&edits.add),
    }
}

fn warn_of_unused(file: &File, reader: &mut Reader<'_>) {
    for (k, pool) in file.pool.iter().enumerate() {
        if !file.route.iter().any(|r| r.pool.as_ref() == Some(&pool.name)) {
            let what = "no route leads to this pool".to_owned();
            reader.note(Severity::Warning, &format!("pool[{k}].name"), what, String::new());
        }
    }
    for (k, class) in file.class.iter().enumerate() {
        let named = file.route.iter().any(|r| r.class.as_ref() == Some(&class.name));
        if !named && class.methods.is_empty() && class.name != "write" {
            let what = "no route and no method leads to this class".to_owned();
            reader.note(Severity::Warning, &format!("class[{k}].name"), what, String::new());
        }
    }
}

fn warn_of_covered(table: &RouteTable, reader: &mut Reader<'_>) {
    let routes = table.routes();
    for (k, later) in routes.iter().enumerate() {
        if let Some(earlier) = routes[..k].iter().find(|earlier| earlier.covers(later)) {
            let what = format!("never taken: route `{}` takes all its requests before", earlier.name);
            reader.note(Severity::Warning, &format!("route[{k}].name"), what, String::new());
        }
    }
}
