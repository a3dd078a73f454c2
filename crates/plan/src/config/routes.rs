//! Routes, from the file to the plan.

use super::compile::{header, unique, with_defaults};
use super::model::{self, ConfigFile};
use super::validator::{Severity, Validator};
use crate::plan::Listener;
use crate::routes::rewrite::PathRewrite;
use crate::routes::{
    FieldMatch, FieldTest, HeaderEdits, HostPattern, Outcome, PathPattern, PathRules, Redirect, Rewrite,
    Route, RouteTable,
};
use http::header::HeaderValue;
use http::Method;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

pub(super) fn routes(
    file: &ConfigFile,
    listeners: &[Listener],
    validator: &mut Validator<'_>,
) -> Vec<Option<Route>> {
    if file.route.is_empty() {
        validator.error("route", "there must be at least one route");
    }
    unique(file.route.iter().map(|r| &r.name), "route", validator);
    let classes: Vec<_> = with_defaults(file).into_iter().map(|c| c.name).collect();
    let names = Names {
        listeners: Named::new("listener", file.listener.iter().map(|l| l.name.as_str())),
        classes: Named::new("class", classes.iter().map(String::as_str)),
        pools: Named::new("pool", file.pool.iter().map(|p| p.name.as_str())),
    };
    file.route.iter().enumerate().map(|(k, r)| route(r, k, &names, listeners, validator)).collect()
}

/// Names of one kind, with the place of each; of two alike, the first's.
struct Named<'f> {
    what: &'static str,
    places: HashMap<&'f str, usize>,
    all: Vec<&'f str>,
}

/// All that routes name.
struct Names<'f> {
    listeners: Named<'f>,
    classes: Named<'f>,
    pools: Named<'f>,
}

impl<'f> Named<'f> {
    fn new(what: &'static str, names: impl Iterator<Item = &'f str>) -> Self {
        let all: Vec<_> = names.collect();
        let mut places = HashMap::with_capacity(all.len());
        all.iter().enumerate().for_each(|(at, name)| {
            places.entry(*name).or_insert(at);
        });
        Named { what, places, all }
    }

    /// The place of a name; notes where there is none.
    fn find(&self, name: &str, at: &str, validator: &mut Validator<'_>) -> Option<usize> {
        let found = self.places.get(name).copied();
        if found.is_none() {
            let message = format!("there is no {} `{name}`", self.what);
            validator.note(Severity::Error, at, message, self.all.join(", "));
        }
        found
    }
}

fn route(
    r: &model::Route,
    k: usize,
    names: &Names<'_>,
    listeners: &[Listener],
    validator: &mut Validator<'_>,
) -> Option<Route> {
    let at = |key: &str| format!("route[{k}].{key}");
    let own: Vec<_> = r
        .listeners
        .iter()
        .enumerate()
        .filter_map(|(n, name)| names.listeners.find(name, &at(&format!("listeners[{n}]")), validator))
        .collect();
    let rules = rules_of(&own, listeners, k, r, validator);
    let path = path(r, rules, k, validator);
    let class = r.class.as_ref().and_then(|name| names.classes.find(name, &at("class"), validator));
    let headers = fields(&r.headers, &at("headers"), true, validator);
    let query = fields(&r.query, &at("query"), false, validator);
    let told = [r.pool.is_some(), r.redirect.is_some(), r.answer.is_some()];
    if told.iter().filter(|t| **t).count() != 1 {
        let what = "exactly one of `pool`, `redirect` and `answer` says what becomes of a request";
        validator.error(&format!("route[{k}]"), what);
        return None;
    }
    if r.pool.is_none() && r.rewrite.is_some() {
        validator.error(&at("rewrite"), "only a route with `pool` rewrites");
    }
    let outcome = match (&r.pool, &r.redirect, &r.answer) {
        (Some(name), ..) => {
            let pool = names.pools.find(name, &at("pool"), validator)?;
            Outcome::Forward { pool, rewrite: Box::new(rewrite(r, rules, k, validator)) }
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
    validator: &mut Validator<'_>,
) -> PathRules {
    let all: Vec<_> = if own.is_empty() { (0..listeners.len()).collect() } else { own.to_vec() };
    let rules: Vec<_> = all.iter().map(|l| listeners[*l].paths).collect();
    let first = rules.first().copied().unwrap_or_default();
    if rules.iter().any(|r| *r != first) && (r.path.is_some() || r.path_prefix.is_some()) {
        let what = "its listeners read paths in different ways: give each a route of its own";
        validator.error(&format!("route[{k}].listeners"), what);
    }
    first
}

fn path(r: &model::Route, rules: PathRules, k: usize, validator: &mut Validator<'_>) -> Option<PathPattern> {
    let at = |key: &str| format!("route[{k}].{key}");
    let told = [r.path.is_some(), r.path_prefix.is_some(), r.path_regex.is_some()];
    if told.iter().filter(|t| **t).count() > 1 {
        validator.error(&format!("route[{k}]"), "at most one of `path`, `path_prefix` and `path_regex`");
    }
    let (key, built) = match (&r.path, &r.path_prefix, &r.path_regex) {
        (Some(path), ..) => ("path", PathPattern::exact(path, rules).map_err(|e| e.to_string())),
        (_, Some(path), _) => ("path_prefix", PathPattern::prefix(path, rules).map_err(|e| e.to_string())),
        (.., Some(text)) => ("path_regex", PathPattern::regex(text).map_err(|e| e.to_string())),
        _ => return None,
    };
    built.map_err(|what| validator.error(&at(key), format!("no request has this path: {what}"))).ok()
}

fn fields(
    list: &[model::FieldCondition],
    path: &str,
    headers: bool,
    validator: &mut Validator<'_>,
) -> Vec<FieldMatch> {
    let mut out = Vec::new();
    for (k, field) in list.iter().enumerate() {
        let at = format!("{path}[{k}]");
        let told =
            [field.is.is_some(), field.begins.is_some(), field.matches.is_some(), field.present.is_some()];
        if told.iter().filter(|t| **t).count() != 1 {
            validator.error(&at, "exactly one of `is`, `begins`, `matches` and `present`");
        }
        if headers && header(&field.name).is_none() {
            validator.error(&format!("{at}.name"), format!("{:?} is no header's name", field.name));
        }
        let whole = |text: &String| {
            regex::Regex::new(&format!("^(?:{text})$")).ok().map(|regex| FieldTest::Matches(regex.into()))
        };
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

fn rewrite(r: &model::Route, rules: PathRules, k: usize, validator: &mut Validator<'_>) -> Rewrite {
    let Some(w) = &r.rewrite else { return Rewrite::default() };
    let at = |key: &str| format!("route[{k}].rewrite.{key}");
    let told = [w.path.is_some(), w.prefix.is_some(), w.regex.is_some()];
    if told.iter().filter(|t| **t).count() > 1 {
        validator.error(&format!("route[{k}].rewrite"), "at most one of `path`, `prefix` and `regex`");
    }
    if w.regex.is_some() != w.with.is_some() {
        validator.error(&format!("route[{k}].rewrite"), "`regex` and `with` belong together");
    }
    let from = r.path_prefix.as_deref().map(|p| PathPattern::prefix(p, rules));
    if w.prefix.is_some() && from.is_none() {
        validator.error(&at("prefix"), "only a route with `path_prefix` has a prefix to rewrite");
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
            regex::Regex::new(find).ok().map(|find| PathRewrite::Regex { find: find.into(), with })
        }
        _ => None,
    };
    if let Some(PathRewrite::Regex { find, with }) = &path {
        for name in unknown_groups(find, with) {
            validator.error(&at("with"), format!("`regex` has no group `{name}`"));
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

fn edits(edits: &model::HeaderEdits) -> HeaderEdits {
    let pairs = |map: &BTreeMap<String, String>| {
        map.iter().filter_map(|(n, v)| Some((header(n)?, HeaderValue::from_str(v).ok()?))).collect()
    };
    HeaderEdits {
        remove: edits.remove.iter().filter_map(|n| header(n)).collect(),
        set: pairs(&edits.set),
        add: pairs(&edits.add),
    }
}

pub(super) fn warn_of_unused(file: &ConfigFile, validator: &mut Validator<'_>) {
    let named = |name: fn(&model::Route) -> Option<&String>| {
        file.route.iter().filter_map(name).collect::<HashSet<_>>()
    };
    let (pools, classes) = (named(|r| r.pool.as_ref()), named(|r| r.class.as_ref()));
    for (k, pool) in file.pool.iter().enumerate() {
        if !pools.contains(&pool.name) {
            let what = "no route leads to this pool".to_owned();
            validator.note(Severity::Warning, &format!("pool[{k}].name"), what, String::new());
        }
    }
    for (k, class) in file.class.iter().enumerate() {
        if !classes.contains(&class.name) && class.methods.is_empty() && class.name != "write" {
            let what = "no route and no method leads to this class".to_owned();
            validator.note(Severity::Warning, &format!("class[{k}].name"), what, String::new());
        }
    }
}

pub(super) fn warn_of_covered(table: &RouteTable, validator: &mut Validator<'_>) {
    for (k, earlier) in table.covered().into_iter().enumerate() {
        if let Some(earlier) = earlier {
            let name = &table.routes()[earlier].name;
            let what = format!("never taken: route `{name}` takes all its requests before");
            validator.note(Severity::Warning, &format!("route[{k}].name"), what, String::new());
        }
    }
}
