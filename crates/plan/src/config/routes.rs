//! Compiles the routes of the configuration file to those of the plan.

use super::compile::{check_unique_names, classes_with_defaults, parse_header_name};
use super::model::{self, ConfigFile};
use super::validator::{Severity, Validator};
use crate::plan::Listener;
use crate::routes::rewrite::PathRewrite;
use crate::routes::{
    FieldMatch, FieldTest, HeaderEdits, HostPattern, PathPattern, PathRules, Redirect, Rewrite, Route,
    RouteAction, RouteTable,
};
use http::header::HeaderValue;
use http::Method;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

pub(super) fn build_routes(
    file: &ConfigFile,
    listeners: &[Listener],
    validator: &mut Validator<'_>,
) -> Vec<Option<Route>> {
    if file.route.is_empty() {
        validator.error("route", "at least one route is required");
    }
    check_unique_names(file.route.iter().map(|r| &r.name), "route", validator);
    let classes: Vec<_> = classes_with_defaults(file).into_iter().map(|c| c.name).collect();
    let tables = NameTables {
        listeners: NameTable::new("listener", file.listener.iter().map(|l| l.name.as_str())),
        classes: NameTable::new("class", classes.iter().map(String::as_str)),
        pools: NameTable::new("pool", file.pool.iter().map(|p| p.name.as_str())),
    };
    file.route
        .iter()
        .enumerate()
        .map(|(index, route)| build_route(route, index, &tables, listeners, validator))
        .collect()
}

/// The names in one list of tables, with the index of each. Of duplicates, the first counts.
struct NameTable<'f> {
    /// What the names stand for, for messages.
    subject: &'static str,
    indexes: HashMap<&'f str, usize>,
    all: Vec<&'f str>,
}

/// The names that routes refer to.
struct NameTables<'f> {
    listeners: NameTable<'f>,
    classes: NameTable<'f>,
    pools: NameTable<'f>,
}

impl<'f> NameTable<'f> {
    fn new(subject: &'static str, names: impl Iterator<Item = &'f str>) -> Self {
        let all: Vec<_> = names.collect();
        let mut indexes = HashMap::with_capacity(all.len());
        all.iter().enumerate().for_each(|(index, name)| {
            indexes.entry(*name).or_insert(index);
        });
        NameTable { subject, indexes, all }
    }

    /// The index of a name; reports an error at `key_path` if there is none.
    fn find(&self, name: &str, key_path: &str, validator: &mut Validator<'_>) -> Option<usize> {
        let found = self.indexes.get(name).copied();
        if found.is_none() {
            let message = format!("there is no {} `{name}`", self.subject);
            validator.report(Severity::Error, key_path, message, self.all.join(", "));
        }
        found
    }
}

fn build_route(
    route: &model::Route,
    index: usize,
    tables: &NameTables<'_>,
    listeners: &[Listener],
    validator: &mut Validator<'_>,
) -> Option<Route> {
    let key_path = |key: &str| format!("route[{index}].{key}");
    let listener_indexes: Vec<_> = route
        .listeners
        .iter()
        .enumerate()
        .filter_map(|(position, name)| {
            tables.listeners.find(name, &key_path(&format!("listeners[{position}]")), validator)
        })
        .collect();
    let rules = common_path_rules(&listener_indexes, listeners, index, route, validator);
    let path = build_path_pattern(route, rules, index, validator);
    let class =
        route.class.as_ref().and_then(|name| tables.classes.find(name, &key_path("class"), validator));
    let headers = build_field_matches(&route.headers, &key_path("headers"), true, validator);
    let query = build_field_matches(&route.query, &key_path("query"), false, validator);
    let outcomes = [route.pool.is_some(), route.redirect.is_some(), route.answer.is_some()];
    if outcomes.iter().filter(|is_set| **is_set).count() != 1 {
        let message = "exactly one of `pool`, `redirect` and `answer` must be set";
        validator.error(&format!("route[{index}]"), message);
        return None;
    }
    if route.pool.is_none() && route.rewrite.is_some() {
        validator.error(&key_path("rewrite"), "`rewrite` requires `pool`");
    }
    let action = match (&route.pool, &route.redirect, &route.answer) {
        (Some(name), ..) => {
            let pool = tables.pools.find(name, &key_path("pool"), validator)?;
            RouteAction::Forward { pool, rewrite: Box::new(build_rewrite(route, rules, index, validator)) }
        }
        (_, Some(redirect), _) => RouteAction::Redirect(Redirect::parse(&redirect.to, redirect.status).ok()?),
        (.., Some(answer)) => RouteAction::Answer {
            status: answer.status,
            content_type: HeaderValue::from_str(&answer.content_type).ok()?,
            body: answer.body.clone().into(),
        },
        _ => return None,
    };
    Some(Route {
        name: route.name.clone(),
        listeners: listener_indexes,
        hosts: route.hosts.iter().filter_map(|h| HostPattern::parse(h).ok()).collect(),
        path,
        methods: route.methods.iter().filter_map(|m| m.parse::<Method>().ok()).collect(),
        headers,
        query,
        class,
        action,
    })
}

/// The path rules of a route's listeners. If they differ, a path in the route has no single normal form, which is
/// an error.
fn common_path_rules(
    listener_indexes: &[usize],
    listeners: &[Listener],
    index: usize,
    route: &model::Route,
    validator: &mut Validator<'_>,
) -> PathRules {
    let indexes: Vec<_> =
        if listener_indexes.is_empty() { (0..listeners.len()).collect() } else { listener_indexes.to_vec() };
    let rules: Vec<_> = indexes.iter().map(|l| listeners[*l].paths).collect();
    let first = rules.first().copied().unwrap_or_default();
    if rules.iter().any(|r| *r != first) && (route.path.is_some() || route.path_prefix.is_some()) {
        let message = "its listeners normalise paths in different ways; use one route per listener";
        validator.error(&format!("route[{index}].listeners"), message);
    }
    first
}

fn build_path_pattern(
    route: &model::Route,
    rules: PathRules,
    index: usize,
    validator: &mut Validator<'_>,
) -> Option<PathPattern> {
    let key_path = |key: &str| format!("route[{index}].{key}");
    let conditions = [route.path.is_some(), route.path_prefix.is_some(), route.path_regex.is_some()];
    if conditions.iter().filter(|is_set| **is_set).count() > 1 {
        validator.error(
            &format!("route[{index}]"),
            "at most one of `path`, `path_prefix` and `path_regex` may be set",
        );
    }
    let (key, pattern) = match (&route.path, &route.path_prefix, &route.path_regex) {
        (Some(path), ..) => ("path", PathPattern::exact(path, rules).map_err(|e| e.to_string())),
        (_, Some(path), _) => ("path_prefix", PathPattern::prefix(path, rules).map_err(|e| e.to_string())),
        (.., Some(text)) => ("path_regex", PathPattern::regex(text).map_err(|e| e.to_string())),
        _ => return None,
    };
    pattern
        .map_err(|error| validator.error(&key_path(key), format!("no request can match this path: {error}")))
        .ok()
}

fn build_field_matches(
    list: &[model::FieldCondition],
    path: &str,
    are_headers: bool,
    validator: &mut Validator<'_>,
) -> Vec<FieldMatch> {
    let mut matches = Vec::new();
    for (index, field) in list.iter().enumerate() {
        let item_path = format!("{path}[{index}]");
        let tests =
            [field.is.is_some(), field.begins.is_some(), field.matches.is_some(), field.present.is_some()];
        if tests.iter().filter(|is_set| **is_set).count() != 1 {
            validator.error(&item_path, "exactly one of `is`, `begins`, `matches` and `present` must be set");
        }
        if are_headers && parse_header_name(&field.name).is_none() {
            validator
                .error(&format!("{item_path}.name"), format!("{:?} is not a valid header name", field.name));
        }
        let match_whole = |text: &String| {
            regex::Regex::new(&format!("^(?:{text})$")).ok().map(|regex| FieldTest::Matches(regex.into()))
        };
        let test = match (&field.is, &field.begins, &field.matches, field.present) {
            (Some(text), ..) => Some(FieldTest::Equals(text.clone())),
            (_, Some(text), ..) => Some(FieldTest::StartsWith(text.clone())),
            (_, _, Some(text), _) => match_whole(text),
            (.., Some(false)) => Some(FieldTest::Absent),
            _ => Some(FieldTest::Present),
        };
        let name = if are_headers { field.name.to_ascii_lowercase() } else { field.name.clone() };
        matches.extend(test.map(|test| FieldMatch { name, test }));
    }
    matches
}

fn build_rewrite(
    route: &model::Route,
    rules: PathRules,
    index: usize,
    validator: &mut Validator<'_>,
) -> Rewrite {
    let Some(rewrite) = &route.rewrite else { return Rewrite::default() };
    let key_path = |key: &str| format!("route[{index}].rewrite.{key}");
    let path_rewrites = [rewrite.path.is_some(), rewrite.prefix.is_some(), rewrite.regex.is_some()];
    if path_rewrites.iter().filter(|is_set| **is_set).count() > 1 {
        validator.error(
            &format!("route[{index}].rewrite"),
            "at most one of `path`, `prefix` and `regex` may be set",
        );
    }
    if rewrite.regex.is_some() != rewrite.with.is_some() {
        validator.error(&format!("route[{index}].rewrite"), "`regex` and `with` must be set together");
    }
    let from = route.path_prefix.as_deref().map(|p| PathPattern::prefix(p, rules));
    if rewrite.prefix.is_some() && from.is_none() {
        validator.error(&key_path("prefix"), "`rewrite.prefix` requires `path_prefix`");
    }
    let path = match (&rewrite.path, &rewrite.prefix, &rewrite.regex) {
        (Some(path), ..) => Some(PathRewrite::Replace(path.clone())),
        (_, Some(to), _) => match from {
            Some(Ok(PathPattern::Prefix(from))) => {
                Some(PathRewrite::Prefix { from, to: to.trim_end_matches('/').to_owned() })
            }
            _ => None,
        },
        (.., Some(find)) => {
            let with = rewrite.with.clone().unwrap_or_default();
            regex::Regex::new(find).ok().map(|find| PathRewrite::Regex { find: find.into(), with })
        }
        _ => None,
    };
    if let Some(PathRewrite::Regex { find, with }) = &path {
        for name in find_unknown_groups(find, with) {
            validator.error(&key_path("with"), format!("`regex` has no group `{name}`"));
        }
    }
    Rewrite {
        path,
        host: rewrite.host.as_ref().and_then(|h| HeaderValue::from_str(h).ok()),
        request: build_header_edits(&rewrite.request),
        response: build_header_edits(&rewrite.response),
    }
}

/// Capture groups that a replacement refers to but the expression lacks. Each would expand to an empty string.
fn find_unknown_groups(find: &regex::Regex, with: &str) -> Vec<String> {
    let named: BTreeSet<_> = find.capture_names().flatten().map(str::to_owned).collect();
    let is_known =
        |name: &str| named.contains(name) || name.parse::<usize>().is_ok_and(|n| n < find.captures_len());
    let mut unknown = Vec::new();
    let mut rest = with;
    while let Some(dollar) = rest.find('$') {
        rest = &rest[dollar + 1..];
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
        if !name.is_empty() && !is_known(name) {
            unknown.push(name.to_owned());
        }
    }
    unknown
}

fn build_header_edits(edits: &model::HeaderEdits) -> HeaderEdits {
    let parse_headers = |map: &BTreeMap<String, String>| {
        map.iter()
            .filter_map(|(n, v)| Some((parse_header_name(n)?, HeaderValue::from_str(v).ok()?)))
            .collect()
    };
    HeaderEdits {
        remove: edits.remove.iter().filter_map(|n| parse_header_name(n)).collect(),
        set: parse_headers(&edits.set),
        add: parse_headers(&edits.add),
    }
}

/// Warns about pools and classes that no route uses.
pub(super) fn warn_about_unused(file: &ConfigFile, validator: &mut Validator<'_>) {
    let referenced = |name: fn(&model::Route) -> Option<&String>| {
        file.route.iter().filter_map(name).collect::<HashSet<_>>()
    };
    let (pools, classes) = (referenced(|r| r.pool.as_ref()), referenced(|r| r.class.as_ref()));
    for (index, pool) in file.pool.iter().enumerate() {
        if !pools.contains(&pool.name) {
            let message = "no route uses this pool".to_owned();
            validator.report(Severity::Warning, &format!("pool[{index}].name"), message, String::new());
        }
    }
    for (index, class) in file.class.iter().enumerate() {
        if !classes.contains(&class.name) && class.methods.is_empty() && class.name != "write" {
            let message = "no route and no method uses this class".to_owned();
            validator.report(Severity::Warning, &format!("class[{index}].name"), message, String::new());
        }
    }
}

/// Warns about routes that are never taken because an earlier one matches all their requests.
pub(super) fn warn_about_unreachable(table: &RouteTable, validator: &mut Validator<'_>) {
    for (index, earlier) in table.covered().into_iter().enumerate() {
        if let Some(earlier) = earlier {
            let name = &table.routes()[earlier].name;
            let message = format!("never taken: the earlier route `{name}` matches all its requests");
            validator.report(Severity::Warning, &format!("route[{index}].name"), message, String::new());
        }
    }
}
