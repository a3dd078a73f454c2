//! `corkhollow fleet`: prints the fleet as seen by one or more nodes.

use super::CommandError;
use crate::cli::FleetArgs;
use corkhollow_operate::FleetPage;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Limits connecting to a node, and each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Prints each node's view of the fleet and, for several nodes, whether the views are equal.
pub fn fleet(args: &FleetArgs) -> Result<(), CommandError> {
    let mut stdout = std::io::stdout().lock();
    let mut views = Vec::new();
    let mut unanswered = 0;
    for address in &args.operator {
        match fetch_page(*address) {
            Ok(page) => {
                print_page(&page, &mut stdout)?;
                views.push(page.view);
            }
            Err(reason) if args.operator.len() == 1 => {
                return Err(CommandError::Message(format!("{address}: {reason}")))
            }
            Err(reason) => {
                writeln!(stdout, "{address}: {reason}\n")?;
                unanswered += 1;
            }
        }
    }
    if args.operator.len() > 1 {
        views.sort();
        views.dedup();
        let comparison = if views.len() > 1 { "differ" } else { "are equal" };
        writeln!(stdout, "views {comparison}; nodes that did not answer: {unanswered}")?;
    }
    Ok(())
}

fn fetch_page(address: SocketAddr) -> Result<FleetPage, String> {
    let call = || {
        let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        write!(stream, "GET /-/fleet HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
        let mut response = Vec::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
        Ok(response)
    };
    let response = call().map_err(|error: std::io::Error| error.to_string())?;
    let head_length =
        response.windows(4).position(|window| window == b"\r\n\r\n").ok_or("not an HTTP response")?;
    let (head, body) = (String::from_utf8_lossy(&response[..head_length]), &response[head_length + 4..]);
    let status = head.split(' ').nth(1).unwrap_or_default();
    if status != "200" {
        return Err(format!("answered {status}: {}", String::from_utf8_lossy(body).trim()));
    }
    FleetPage::from_json(body).map_err(|error| format!("not a fleet page: {error}"))
}

fn print_page(page: &FleetPage, out: &mut impl Write) -> std::io::Result<()> {
    let settled = if page.settled { "settled" } else { "not settled" };
    let FleetPage { fleet, node, view, ordinal, size, .. } = page;
    writeln!(out, "fleet {fleet}, seen by {node}: number {ordinal} of {size}, view {view}, {settled}")?;
    if let Some(holder) = page.refused_by {
        writeln!(out, "not a member: the process at {holder} uses the same name")?;
    }
    let members = page.members.iter().map(|member| {
        let state = if member.drains { format!("{}, draining", member.state) } else { member.state.clone() };
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
    let header = ["node", "address", "zone", "state", "incarnation", "since"].map(str::to_owned);
    let rows: Vec<_> = std::iter::once(header).chain(members).collect();
    let widths: Vec<_> =
        (0..6).map(|column| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0)).collect();
    for row in &rows {
        let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    writeln!(out)
}
