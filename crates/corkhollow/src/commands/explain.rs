//! `corkhollow explain FILE REQUEST`.

use super::{load, CommandError};
use crate::cli::ExplainArgs;
use corkhollow_plan::plan::Plan;
use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::{Host, RequestHead};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use std::io::Write;

/// Prints how a request would be routed, and why.
pub fn explain(args: &ExplainArgs) -> Result<(), CommandError> {
    let plan = load(&args.file)?.plan;
    let lines = explain_request(&plan, args).map_err(CommandError::Message)?;
    let mut stdout = std::io::stdout().lock();
    for line in lines {
        writeln!(stdout, "{line}")?;
    }
    Ok(())
}

fn explain_request(plan: &Plan, args: &ExplainArgs) -> Result<Vec<String>, String> {
    let (method, url) = args.request.trim().rsplit_once(' ').unwrap_or(("GET", args.request.trim()));
    let method = Method::from_bytes(method.trim().as_bytes())
        .map_err(|_| format!("`{method}` is not an HTTP method"))?;
    let uri: Uri = url.parse().map_err(|error| format!("`{url}` is not a URL: {error}"))?;
    let mut headers = HeaderMap::new();
    for header in &args.headers {
        let (name, value) = header.split_once(':').ok_or_else(|| format!("header `{header}` has no `:`"))?;
        let invalid_value = |_| format!("header `{header}` has an invalid value");
        let name = HeaderName::try_from(name.trim()).map_err(|_| format!("`{name}` is not a header name"))?;
        headers.append(name, HeaderValue::try_from(value.trim()).map_err(invalid_value)?);
    }
    let host_header = headers.get(http::header::HOST).and_then(|value| value.to_str().ok());
    let authority = uri.authority().map(|a| a.as_str()).or(host_header).unwrap_or_default().to_owned();
    let host = Host::parse(&authority).map_err(|error| error.to_string())?;
    let listener = match &args.listener {
        Some(name) => {
            let names = || plan.listeners.iter().map(|l| l.name.as_str()).collect::<Vec<_>>().join(", ");
            let found = plan.listeners.iter().position(|l| l.name == *name);
            found.ok_or_else(|| format!("unknown listener `{name}`; the file has: {}", names()))?
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
            Err(error) => return Ok(vec![format!("answer    400: {error}")]),
        },
    };
    let target = RequestHead {
        listener,
        host: host.as_str(),
        path: &path,
        query: uri.query(),
        method: &method,
        headers: &headers,
    };
    Ok(plan.explain(&target))
}
