//! `corkhollow demo`: runs the gateway in front of a few simulated servers under a light load, and shows a
//! live table.

use super::CommandError;
use crate::cli::DemoArgs;
use corkhollow_test_support::{DemoServer, LoadGenerator};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::future::poll_fn;
use std::io::{BufRead, BufReader, IsTerminal, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Number of simulated servers; each is a little slower than the one before.
const SERVER_COUNT: u64 = 5;
const CLIENT_COUNT: u64 = 8;
/// The events of one cycle, in seconds from its start.
const DRAIN_AT_SECS: u64 = 5;
const UNDRAIN_AT_SECS: u64 = 10;
const STOP_AT_SECS: u64 = 13;
const RESTART_AT_SECS: u64 = 18;
const CYCLE_SECS: u64 = 22;
const DRAINED_SERVER_INDEX: usize = 1;
const STOPPED_SERVER_INDEX: usize = 3;
/// Number of the gateway's latest log lines in the table.
const MAX_LOG_LINES: usize = 6;
/// How often the table is redrawn on a terminal.
const REDRAW_INTERVAL: Duration = Duration::from_millis(250);
/// How often the table is printed if standard output is not a terminal.
const PRINT_INTERVAL: Duration = Duration::from_secs(2);

/// The gateway's process. Dropping it kills the process and removes its files.
struct GatewayProcess {
    child: Child,
    folder: PathBuf,
    recent_log: Arc<Mutex<VecDeque<String>>>,
    address: String,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs until SIGINT, SIGTERM or SIGHUP, or for `--seconds`.
pub fn demo(args: &DemoArgs) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_demo(args))
}

async fn run_demo(args: &DemoArgs) -> Result<(), CommandError> {
    // Handles signals from here on, so that the gateway, the clients and the files are cleaned up before the
    // exit.
    let mut end_signals = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()]
        .into_iter()
        .map(signal)
        .collect::<Result<Vec<_>, _>>()?;
    let start_server = |k| DemoServer::start(&format!("box-{k}"), Duration::from_millis(8 + 4 * k), k);
    let servers = (1..=SERVER_COUNT).map(start_server).collect::<Result<Vec<_>, _>>()?;
    let gateway = start_gateway(&servers, args.port)?;
    let address = gateway
        .address
        .parse()
        .map_err(|_| CommandError::Message("the gateway logged an invalid listen address".to_owned()))?;
    let load = LoadGenerator::start(address, CLIENT_COUNT, Duration::from_millis(20), args.seed);
    let stdout = std::io::stdout();
    println!(
        "The gateway listens on http://{}/ in front of {SERVER_COUNT} simulated servers. Try:\n",
        gateway.address
    );
    println!("  curl -i http://{}/status          # a safe request, answered by a server", gateway.address);
    println!(
        "  curl -i -d ok http://{}/acknowledge   # an unsafe request: never sent twice",
        gateway.address
    );
    println!("  curl -i http://{}/about           # answered by the gateway itself", gateway.address);
    println!("\nIts file: {}    Press Ctrl-C to stop.\n", gateway.folder.join("site.toml").display());
    let started_at = Instant::now();
    let is_terminal = stdout.is_terminal();
    let (mut printed_at, mut last_second, mut table_height) = (started_at, u64::MAX, 0);
    loop {
        let second = started_at.elapsed().as_secs();
        if second != last_second {
            last_second = second;
            apply_scheduled_event(second % CYCLE_SECS, &servers, &gateway.folder)?;
        }
        if is_terminal || printed_at.elapsed() >= PRINT_INTERVAL {
            printed_at = Instant::now();
            let table = render_table(&servers, &load, second, &gateway);
            let clear_table = if is_terminal && table_height > 0 {
                format!("\x1b[{table_height}A\x1b[J")
            } else {
                String::new()
            };
            table_height = table.lines().count();
            write!(stdout.lock(), "{clear_table}{table}")?;
            stdout.lock().flush()?;
        }
        if args.seconds.is_some_and(|limit| second >= limit) {
            break;
        }
        tokio::select! {
            () = any_signal(&mut end_signals) => break,
            () = tokio::time::sleep(REDRAW_INTERVAL) => {}
        }
    }
    let stats = load.stats.clone();
    load.stop();
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(SeqCst);
    println!(
        "\nended: {} requests, {} served, {} refused, {} failed",
        count(&stats.requests),
        count(&stats.successes),
        count(&stats.rejections),
        count(&stats.failures)
    );
    Ok(())
}

/// Waits until one of the signals is received.
async fn any_signal(signals: &mut [Signal]) {
    poll_fn(|cx| match signals.iter_mut().any(|signal| signal.poll_recv(cx).is_ready()) {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await
}

fn start_gateway(servers: &[Arc<DemoServer>], port: u16) -> Result<GatewayProcess, CommandError> {
    let folder = std::env::temp_dir().join(format!("corkhollow-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    write_server_list(servers, &folder, None)?;
    std::fs::write(folder.join("site.toml"), CONFIG.replace("PORT", &port.to_string()))?;
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("run").arg("--config").arg(folder.join("site.toml")).arg("--until-stdin-ends");
    // If the demo is killed, this pipe closes and the gateway exits.
    command.stdin(Stdio::piped()).stderr(Stdio::piped());
    // Its own process group, so that a terminal's Ctrl-C does not stop it before the clients have finished.
    let mut child = command.process_group(0).spawn()?;
    let stderr = child.stderr.take();
    let mut gateway = GatewayProcess { child, folder, recent_log: Arc::default(), address: String::new() };
    let mut lines =
        BufReader::new(stderr.ok_or_else(|| {
            CommandError::Message("standard error of the gateway is not available".to_owned())
        })?)
        .lines();
    for line in lines.by_ref() {
        let line = line?;
        if let Some((_, address)) = line.split_once(" listening on ") {
            gateway.address = address.to_owned();
            break;
        }
        eprintln!("{line}");
    }
    let recent_log = gateway.recent_log.clone();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let Ok(mut recent_log) = recent_log.lock() {
                recent_log.push_back(line);
                if recent_log.len() > MAX_LOG_LINES {
                    recent_log.pop_front();
                }
            }
        }
    });
    if gateway.address.is_empty() {
        return Err(CommandError::Message("the gateway did not start".to_owned()));
    }
    Ok(gateway)
}

const CONFIG: &str = r#"# Configuration of `corkhollow demo`. `corkhollow explain` shows how a request is routed.
[[listener]]
name = "demo"
address = "127.0.0.1:PORT"
forwarded = "x-forwarded"

[[class]]
name = "status"
effect = "safe"
aim = "250ms"
deadline = "2s"
worth = 5.0

[[class]]
name = "acknowledge"
effect = "unsafe"
aim = "600ms"
deadline = "2s"
worth = 10.0

[[pool]]
name = "boxes"
watch = "boxes.toml"
check = { path = "/up", every = "500ms", rise = 1, fall = 2 }

[[route]]
name = "about"
path = "/about"
answer = { status = 200, body = "corkhollow demo\n" }

[[route]]
name = "acknowledge"
path_prefix = "/acknowledge"
methods = ["POST"]
class = "acknowledge"
pool = "boxes"

[[route]]
name = "rest"
class = "status"
methods = ["GET", "HEAD"]
pool = "boxes"
"#;

/// Atomically replaces the server list that the gateway watches.
fn write_server_list(
    servers: &[Arc<DemoServer>],
    folder: &Path,
    draining: Option<usize>,
) -> std::io::Result<()> {
    let mut text = String::new();
    for (index, server) in servers.iter().enumerate() {
        let _ = writeln!(text, "[[servers]]\nname = {:?}\naddress = \"{}\"", server.name, server.address);
        if draining == Some(index) {
            text.push_str("drain = true\n");
        }
    }
    let (draft, path) = (folder.join("boxes.new"), folder.join("boxes.toml"));
    std::fs::write(&draft, text)?;
    std::fs::rename(draft, path)
}

/// Drains, stops or restarts a server if that is due at this second of the cycle.
fn apply_scheduled_event(second: u64, servers: &[Arc<DemoServer>], folder: &Path) -> std::io::Result<()> {
    match second {
        DRAIN_AT_SECS => write_server_list(servers, folder, Some(DRAINED_SERVER_INDEX))?,
        UNDRAIN_AT_SECS => write_server_list(servers, folder, None)?,
        STOP_AT_SECS => servers[STOPPED_SERVER_INDEX].stop(),
        RESTART_AT_SECS => drop(servers[STOPPED_SERVER_INDEX].restart()),
        _ => {}
    }
    Ok(())
}

fn render_table(
    servers: &[Arc<DemoServer>],
    load: &LoadGenerator,
    second: u64,
    gateway: &GatewayProcess,
) -> String {
    let stats = &load.stats;
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(SeqCst);
    let (asked, served) = (count(&stats.requests), count(&stats.successes));
    let mean = count(&stats.success_micros) as f64 / 1000.0 / served.max(1) as f64;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{second:>4} s   requests {asked}   served {served}   refused {}   failed {}   mean {mean:.1} ms",
        count(&stats.rejections),
        count(&stats.failures),
    );
    let _ = writeln!(
        out,
        "  {:<8} {:<22} {:<9} {:>9} {:>8}",
        "server", "address", "state", "in flight", "served"
    );
    let cycle_second = second % CYCLE_SECS;
    for (index, server) in servers.iter().enumerate() {
        let state = match () {
            () if !server.is_up() => "dead",
            () if index == DRAINED_SERVER_INDEX
                && (DRAIN_AT_SECS..UNDRAIN_AT_SECS).contains(&cycle_second) =>
            {
                "draining"
            }
            () => "up",
        };
        let (in_flight, served) = (server.in_flight(), server.answered_count());
        let address = server.address.to_string();
        let _ = writeln!(out, "  {:<8} {address:<22} {state:<9} {in_flight:>9} {served:>8}", server.name);
    }
    if let Ok(recent_log) = gateway.recent_log.lock() {
        for line in recent_log.iter() {
            let _ = writeln!(out, "  {line}");
        }
    }
    out
}
