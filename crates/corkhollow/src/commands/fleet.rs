//! `corkhollow fleet`: what nodes hold of their fleet, as a table.

use super::CommandError;
use crate::cli::FleetArgs;
use corkhollow_operate::FleetPage;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A node that does not answer within this is not waited for.
const WITHIN: Duration = Duration::from_secs(3);
/// More than any page of a fleet.
const LONGEST: u64 = 4 << 20;

/// Asks each node and prints what it holds; then whether all hold the same.
pub fn fleet(args: &FleetArgs) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    let mut views = Vec::new();
    let mut silent = 0;
    for address in &args.operator {
        match ask(*address) {
            Ok(page) => {
                print(&page, &mut out)?;
                views.push(page.view);
            }
            Err(why) if args.operator.len() == 1 => {
                return Err(CommandError::Message(format!("{address}: {why}")))
            }
            Err(why) => {
                writeln!(out, "{address}: {why}\n")?;
                silent += 1;
            }
        }
    }
    if args.operator.len() > 1 {
        views.sort();
        views.dedup();
        let equal = if views.len() > 1 { "differ" } else { "are equal" };
        writeln!(out, "views {equal}; nodes that did not answer: {silent}")?;
    }
    Ok(())
}

fn ask(address: SocketAddr) -> Result<FleetPage, String> {
    let call = || {
        let mut stream = TcpStream::connect_timeout(&address, WITHIN)?;
        stream.set_read_timeout(Some(WITHIN))?;
        stream.set_write_timeout(Some(WITHIN))?;
        write!(stream, "GET /-/fleet HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
        let mut answer = Vec::new();
        stream.take(LONGEST).read_to_end(&mut answer)?;
        Ok(answer)
    };
    let answer = call().map_err(|error: std::io::Error| error.to_string())?;
    let head = answer.windows(4).position(|four| four == b"\r\n\r\n").ok_or("no answer in HTTP")?;
    let (head, body) = (String::from_utf8_lossy(&answer[..head]), &answer[head + 4..]);
    let status = head.split(' ').nth(1).unwrap_or_default();
    if status != "200" {
        return Err(format!("answered {status}: {}", String::from_utf8_lossy(body).trim()));
    }
    FleetPage::from_json(body).map_err(|error| format!("not a fleet's page: {error}"))
}

fn print(page: &FleetPage, out: &mut impl Write) -> std::io::Result<()> {
    let settled = if page.settled { "settled" } else { "not settled" };
    let FleetPage { fleet, node, view, ordinal, size, .. } = page;
    writeln!(out, "fleet {fleet}, seen by {node}: number {ordinal} of {size}, view {view}, {settled}")?;
    if let Some(by) = page.refused_by {
        writeln!(out, "not a member: the process at {by} has its name")?;
    }
    let lines = page.members.iter().map(|member| {
        let state = if member.drains { format!("{}, drains", member.state) } else { member.state.clone() };
        let since = format!("{}.{} s", member.since_ms / 1_000, member.since_ms / 100 % 10);
        [
            member.node.clone(),
            member.address.to_string(),
            member.zone.clone(),
            state,
            member.incarnation.to_string(),
            since,
        ]
    });
    let head = ["node", "address", "zone", "state", "incarnation", "since"].map(str::to_owned);
    let rows: Vec<_> = std::iter::once(head).chain(lines).collect();
    let widths: Vec<_> =
        (0..6).map(|k| rows.iter().map(|row| row[k].chars().count()).max().unwrap_or(0)).collect();
    for row in &rows {
        let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    writeln!(out)
}
