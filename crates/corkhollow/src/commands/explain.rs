//! `corkhollow explain FILE REQUEST`.

use super::{load, CommandError};
use crate::cli::ExplainArgs;
use corkhollow_plan::plan::Plan;
use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::{Host, Target};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use std::io::Write;

/// Tells where a request would go, and why.
pub fn explain(args: &ExplainArgs) -> Result<(), CommandError> {
    let plan = load(&args.file)?.plan;
    let lines = told(&plan, args).map_err(CommandError::Message)?;
    let mut out = std::io::stdout().lock();
    for line in lines {
        writeln!(out, "{line}")?;
    }
    Ok(())
}

fn told(plan: &Plan, args: &ExplainArgs) -> Result<Vec<String>, String> {
    let (method, url) = args.request.trim().rsplit_once(' ').unwrap_or(("GET", args.request.trim()));
    let method =
        Method::from_bytes(method.trim().as_bytes()).map_err(|_| format!("`{method}` is no method"))?;
    let uri: Uri = url.parse().map_err(|e| format!("`{url}` is no URL: {e}"))?;
    let mut headers = HeaderMap::new();
    for header in &args.headers {
        let (name, value) = header.split_once(':').ok_or_else(|| format!("`{header}` has no `:`"))?;
        let bad = |_| format!("`{header}` is no header");
        let name = HeaderName::try_from(name.trim()).map_err(|_| format!("`{name}` is no header's name"))?;
        headers.append(name, HeaderValue::try_from(value.trim()).map_err(bad)?);
    }
    let said = headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let authority = uri.authority().map(|a| a.as_str()).or(said).unwrap_or_default().to_owned();
    let host = Host::parse(&authority).map_err(|e| e.to_string())?;
    let listener = match &args.listener {
        Some(name) => {
            let names = || plan.listeners.iter().map(|l| l.name.as_str()).collect::<Vec<_>>().join(", ");
            let found = plan.listeners.iter().position(|l| l.name == *name);
            found.ok_or_else(|| format!("there is no listener `{name}`; there are {}", names()))?
        }
        None => {
            let port = uri.port_u16().unwrap_or(80);
            plan.listeners.iter().position(|l| l.address.port() == port).unwrap_or(0)
        }
    };
    let path = match uri.path() {
        "*" => "*".into(),
        raw => match normalise(raw, plan.listeners[listener].paths) {
            Ok(path) => path,
            Err(e) => return Ok(vec![format!("answer    400: {e}")]),
        },
    };
    let target = Target {
        listener,
        host: host.as_str(),
        path: &path,
        query: uri.query(),
        method: &method,
        headers: &headers,
    };
    Ok(plan.explain(&target))
}
