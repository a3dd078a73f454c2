//! `corkhollow demo`: a small stand-in fleet, the program in front of it, a mild load, and a table to look at.

use super::Failure;
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

/// Servers of the fleet, each a little slower than the one before.
const SERVERS: u64 = 5;
const CLIENTS: u64 = 8;
/// Seconds after which a server drains, leaves, dies and comes back; then all begins anew.
const DRAIN_AT: u64 = 5;
const RETURN_AT: u64 = 10;
const DIE_AT: u64 = 13;
const REVIVE_AT: u64 = 18;
const ROUND: u64 = 22;
const DRAINS: usize = 1;
const DIES: usize = 3;
/// Lines of the program's log that are shown.
const LINES: usize = 6;
/// The table is drawn anew this often on a terminal, and printed this often elsewhere.
const DRAW: Duration = Duration::from_millis(250);
const PRINT: Duration = Duration::from_secs(2);

/// The program, its files, and what it said last; all gone when dropped.
struct Program {
    child: Child,
    folder: PathBuf,
    said: Arc<Mutex<VecDeque<String>>>,
    address: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs until Ctrl-C, SIGTERM or its terminal's end, or for as long as it was told.
pub fn demo(args: &DemoArgs) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(play(args))
}

async fn play(args: &DemoArgs) -> Result<(), Failure> {
    // From here on no signal ends the process before its program, its clients and its files are gone.
    let mut ends = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()]
        .into_iter()
        .map(signal)
        .collect::<Result<Vec<_>, _>>()?;
    let machine = |k| DemoServer::start(&format!("box-{k}"), Duration::from_millis(8 + 4 * k), k);
    let fleet = (1..=SERVERS).map(machine).collect::<Result<Vec<_>, _>>()?;
    let program = start(&fleet, args.port)?;
    let address = program.address.parse().map_err(|_| Failure::Request("it does not listen".to_owned()))?;
    let load = LoadGenerator::start(address, CLIENTS, Duration::from_millis(20), args.seed);
    let out = std::io::stdout();
    println!("The program listens on http://{}/ before {SERVERS} stand-in servers. Try:\n", program.address);
    println!("  curl -i http://{}/status          # a safe request, served by a box", program.address);
    println!("  curl -i -d ok http://{}/acknowledge   # an unsafe one: never sent twice", program.address);
    println!("  curl -i http://{}/about           # answered by a route", program.address);
    println!("\nIts file: {}    Ctrl-C ends it all.\n", program.folder.join("site.toml").display());
    let began = Instant::now();
    let terminal = out.is_terminal();
    let (mut printed, mut told, mut height) = (began, u64::MAX, 0);
    loop {
        let second = began.elapsed().as_secs();
        if second != told {
            told = second;
            happen(second % ROUND, &fleet, &program.folder)?;
        }
        if terminal || printed.elapsed() >= PRINT {
            printed = Instant::now();
            let table = table(&fleet, &load, second, &program);
            let up = if terminal && height > 0 { format!("\x1b[{height}A\x1b[J") } else { String::new() };
            height = table.lines().count();
            write!(out.lock(), "{up}{table}")?;
            out.lock().flush()?;
        }
        if args.seconds.is_some_and(|s| second >= s) {
            break;
        }
        tokio::select! {
            () = any(&mut ends) => break,
            () = tokio::time::sleep(DRAW) => {}
        }
    }
    let tally = load.stats.clone();
    load.stop();
    let count = |n: &std::sync::atomic::AtomicU64| n.load(SeqCst);
    println!(
        "\nended: {} requests, {} served, {} refused, {} failed",
        count(&tally.requests),
        count(&tally.successes),
        count(&tally.rejections),
        count(&tally.failures)
    );
    Ok(())
}

/// Waits for one of these signals.
async fn any(signals: &mut [Signal]) {
    poll_fn(|cx| match signals.iter_mut().any(|signal| signal.poll_recv(cx).is_ready()) {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await
}

fn start(fleet: &[Arc<DemoServer>], port: u16) -> Result<Program, Failure> {
    let folder = std::env::temp_dir().join(format!("corkhollow-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    list(fleet, &folder, None)?;
    std::fs::write(folder.join("site.toml"), SITE.replace("PORT", &port.to_string()))?;
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("run").arg("--config").arg(folder.join("site.toml")).arg("--until-stdin-ends");
    // It holds the other end of this pipe for as long as it lives: where it is killed, the program hears of that.
    command.stdin(Stdio::piped()).stderr(Stdio::piped());
    // A terminal's Ctrl-C goes to the whole group: the program has to outlive the clients, whom the demo ends first.
    let mut child = command.process_group(0).spawn()?;
    let stderr = child.stderr.take();
    let mut program = Program { child, folder, said: Arc::default(), address: String::new() };
    let mut lines = BufReader::new(stderr.ok_or_else(|| Failure::Request("no log".to_owned()))?).lines();
    for line in lines.by_ref() {
        let line = line?;
        if let Some((_, address)) = line.split_once(" listening on ") {
            program.address = address.to_owned();
            break;
        }
        eprintln!("{line}");
    }
    let said = program.said.clone();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let Ok(mut said) = said.lock() {
                said.push_back(line);
                if said.len() > LINES {
                    said.pop_front();
                }
            }
        }
    });
    if program.address.is_empty() {
        return Err(Failure::Request("the program did not start".to_owned()));
    }
    Ok(program)
}

const SITE: &str = r#"# What `corkhollow demo` runs. `corkhollow explain` tells where a request goes.
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

/// Writes the list that the program watches, whole or not at all.
fn list(fleet: &[Arc<DemoServer>], folder: &Path, draining: Option<usize>) -> std::io::Result<()> {
    let mut text = String::new();
    for (k, machine) in fleet.iter().enumerate() {
        let _ = writeln!(text, "[[servers]]\nname = {:?}\naddress = \"{}\"", machine.name, machine.address);
        if draining == Some(k) {
            text.push_str("drain = true\n");
        }
    }
    let (new, path) = (folder.join("boxes.new"), folder.join("boxes.toml"));
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

fn happen(second: u64, fleet: &[Arc<DemoServer>], folder: &Path) -> std::io::Result<()> {
    match second {
        DRAIN_AT => list(fleet, folder, Some(DRAINS))?,
        RETURN_AT => list(fleet, folder, None)?,
        DIE_AT => fleet[DIES].stop(),
        REVIVE_AT => drop(fleet[DIES].restart()),
        _ => {}
    }
    Ok(())
}

fn table(fleet: &[Arc<DemoServer>], load: &LoadGenerator, second: u64, program: &Program) -> String {
    let tally = &load.stats;
    let count = |n: &std::sync::atomic::AtomicU64| n.load(SeqCst);
    let (asked, served) = (count(&tally.requests), count(&tally.successes));
    let mean = count(&tally.success_micros) as f64 / 1000.0 / served.max(1) as f64;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{second:>4} s   requests {asked}   served {served}   refused {}   failed {}   mean {mean:.1} ms",
        count(&tally.rejections),
        count(&tally.failures),
    );
    let _ = writeln!(
        out,
        "  {:<8} {:<22} {:<9} {:>9} {:>8}",
        "server", "address", "state", "in flight", "served"
    );
    let round = second % ROUND;
    for (k, machine) in fleet.iter().enumerate() {
        let state = match () {
            () if !machine.is_up() => "dead",
            () if k == DRAINS && (DRAIN_AT..RETURN_AT).contains(&round) => "draining",
            () => "up",
        };
        let (in_flight, served) = (machine.in_flight(), machine.answered_count());
        let address = machine.address.to_string();
        let _ = writeln!(out, "  {:<8} {address:<22} {state:<9} {in_flight:>9} {served:>8}", machine.name);
    }
    if let Ok(said) = program.said.lock() {
        for line in said.iter() {
            let _ = writeln!(out, "  {line}");
        }
    }
    out
}
