//! `corkhollow run`: runtime, listeners, signals, reload.

use super::membership::{self, Membership};
use super::reload::{first, Reloads, Target, Told};
use super::CommandError;
use crate::cli::RunArgs;
use crate::succession::{self, Neighbours};
use corkhollow_engine::{log, Clock, LogLimiter};
use corkhollow_fleet::Group;
use corkhollow_operate::{FleetHandover, Handover, Metrics, MetricsError, SharedLifecycle};
use corkhollow_plan::limits::Budget;
use corkhollow_plan::plan::Plan;
use corkhollow_plan::platform::{Config, ConfigError};
use corkhollow_proxy::active_plan::{ActivePlan, CurrentPlan, PoolError};
use corkhollow_proxy::background;
use corkhollow_proxy::fleet::FleetCell;
use corkhollow_proxy::http1::{ClientConnections, Service};
use corkhollow_proxy::operator::Operator;
use corkhollow_proxy::upstream::{Engines, PoolContext};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::timeout_at;

/// Connections that the kernel may hold for us while we are busy; it cuts this down to what it allows.
const BACKLOG: u32 = 4096;
/// How often metrics and readiness are brought up to date.
const WATCH: Duration = Duration::from_millis(50);
/// Beyond `MANY` servers they are counted at one look of `SELDOM` only, which is once a second: each is looked at for that.
const MANY: usize = 1_000;
const SELDOM: u32 = 20;
/// How often the share of the limits is settled anew.
const SHARE: Duration = Duration::from_millis(100);
/// How often a process that is about to be replaced writes down what it has learnt.
const TELL: Duration = Duration::from_millis(250);
/// How long a process that comes to another's place waits for what that one has learnt.
const LEARN_WITHIN: Duration = Duration::from_millis(500);
/// How often it looks.
const LOOK: Duration = Duration::from_millis(10);
/// How often tenants that have been idle for long are forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// How often a draining node looks for connections without a request.
const EMPTY: Duration = Duration::from_millis(20);

/// Why the program cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Pool(#[from] PoolError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("the socket that is handed down is bound to {address}, which is no listener's address")]
    Handed { address: SocketAddr },
    #[error("fleet: the name {name} is taken: the process at {by} has it and is there")]
    Name { name: String, by: SocketAddr },
    #[error("{}: {why}", path.display())]
    Key { path: PathBuf, why: String },
    #[error("`{key}` changes with a restart only")]
    Fixed { key: String },
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Metrics(#[from] MetricsError),
}

/// Serves until SIGTERM.
pub fn run(args: RunArgs) -> Result<(), CommandError> {
    if args.config.is_some() {
        give_memory_back();
    }
    if args.until_stdin_ends {
        end_with_stdin()?;
    }
    let handed = succession::handed().map_err(StartError::from)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::from)?;
    LocalSet::new().block_on(&runtime, start(args, handed))
}

/// Reads the configuration and serves by it. A SIGHUP that comes while it is read is kept: the file may be newer than what was
/// read. SIGTERM ends the process at once until then, as nothing has been taken yet.
async fn start(args: RunArgs, handed: Vec<std::net::TcpListener>) -> Result<(), CommandError> {
    let hang_up = signal(SignalKind::hangup()).map_err(StartError::from)?;
    let (told, plan) = match args.config {
        Some(path) => {
            let plan = first(&path, args.operator)?;
            (Told::File(path, args.operator), plan)
        }
        None => {
            let mut config = Config::load().map_err(StartError::from)?;
            config.operator = args.operator.or(config.operator);
            (Told::Platform(Box::new(config.shape.clone())), config.plan())
        }
    };
    background::silence_panic_messages();
    let neighbours = neighbours(&handed);
    Ok(serve(hang_up, told, plan, handed, neighbours).await?)
}

/// The C library gives free memory back to the system once there is more than this of it at an end. Left to itself it raises that to
/// twice the largest piece that was ever freed, which for a large file is tens of megabytes. It reads its settings when a process
/// starts, so the program starts itself again in its own place; where that fails, or the setting is there, it goes on as it is.
fn give_memory_back() {
    const SETTING: &str = "MALLOC_TRIM_THRESHOLD_";
    const MOST_FREE: &str = "1000000";
    let mut arguments = std::env::args_os();
    if let (None, Ok(program), Some(name)) =
        (std::env::var_os(SETTING), std::env::current_exe(), arguments.next())
    {
        let why = Command::new(program).arg0(name).args(arguments).env(SETTING, MOST_FREE).exec();
        log(format_args!("memory of large files is given back late: {why}"));
    }
}

/// Ends the process when its standard input ends. A process that dies, however it does, lets go of its pipes: this is how a
/// child hears of that.
fn end_with_stdin() -> Result<(), StartError> {
    let wait = || {
        // What is written there is nobody's; a pipe that breaks has ended too.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        log(format_args!("standard input has ended, and so does the program"));
        std::process::exit(0);
    };
    std::thread::Builder::new().name("stdin".to_owned()).spawn(wait)?;
    Ok(())
}

/// Finds the other processes on the sockets that this one has been handed. Without a folder to meet in, it is alone.
fn neighbours(handed: &[std::net::TcpListener]) -> Option<Neighbours> {
    // The smallest address stands for all: a process's sockets may come in any order.
    let address = handed.iter().filter_map(|socket| socket.local_addr().ok()).min()?;
    let folder = std::env::temp_dir();
    Neighbours::join(&folder, address)
        .inspect_err(|why| {
            let folder = folder.display();
            log(format_args!("other processes cannot be met in {folder}: {why}; begins cold, as if alone"));
        })
        .ok()
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| StartError::Listen { address, error })
}

/// Opens the operator's address.
fn listen_for_calls(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let open = || listen(address).map(TcpListener::into_std);
    open()?.map_err(|error| StartError::Listen { address, error })
}

/// A listener that takes connections.
struct Open {
    told: SocketAddr,
    stop: Rc<Notify>,
    accepting: JoinHandle<()>,
}

/// All listeners, by name.
#[derive(Default)]
pub struct Listeners {
    open: BTreeMap<String, Open>,
    /// Sockets of listeners that somebody else holds.
    handed: Vec<std::net::TcpListener>,
}

impl Listeners {
    /// Opens those of a plan that are not open yet; nothing is accepted before `start`.
    pub fn bind(&mut self, plan: &Plan) -> Result<Vec<(String, SocketAddr, TcpListener)>, StartError> {
        let open = &self.open;
        let new = plan.listeners.iter().filter(|l| open.get(&l.name).is_none_or(|o| o.told != l.address));
        let mut handed = std::mem::take(&mut self.handed);
        for socket in &handed {
            let address = socket.local_addr()?;
            if !plan.listeners.iter().any(|l| l.address == address) {
                return Err(StartError::Handed { address });
            }
        }
        let mut listen = |address| match handed
            .iter()
            .position(|socket| socket.local_addr().is_ok_and(|a| a == address))
        {
            Some(at) => Ok(TcpListener::from_std(handed.swap_remove(at))?),
            None => listen(address),
        };
        new.map(|l| Ok((l.name.clone(), l.address, listen(l.address)?))).collect()
    }

    /// Takes connections on new listeners, and none on those that a plan no longer has.
    pub fn start(
        &mut self,
        plan: &Plan,
        bound: Vec<(String, SocketAddr, TcpListener)>,
        clients: &Rc<ClientConnections>,
    ) -> std::io::Result<()> {
        let gone: Vec<_> = self
            .open
            .keys()
            .filter(|name| !plan.listeners.iter().any(|l| l.name == **name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(open) = self.open.remove(&name) {
                open.stop.notify_one();
            }
            clients.close_listener(&name);
            log(format_args!("listener {name} is closed"));
        }
        for (name, told, listener) in bound {
            let label = if plan.seed.is_some() { String::new() } else { format!("listener {name} ") };
            log(format_args!("{label}listening on {}", listener.local_addr()?));
            let stop = Rc::new(Notify::new());
            let accepting = spawn_local(clients.clone().accept(name.as_str().into(), listener, stop.clone()));
            if let Some(old) = self.open.insert(name, Open { told, stop, accepting }) {
                old.stop.notify_one();
            }
        }
        Ok(())
    }

    /// Takes no more: what the kernel has accepted is another process's.
    fn leave(self) {
        self.open.values().for_each(|open| open.accepting.abort());
    }

    /// Takes what the kernel has accepted by now, and then no more. Where there is no place for that, it waits for one until
    /// then.
    async fn close(self, until: tokio::time::Instant) {
        self.open.values().for_each(|open| open.stop.notify_one());
        for mut open in self.open.into_values() {
            if timeout_at(until, &mut open.accepting).await.is_err() {
                open.accepting.abort();
            }
        }
    }
}

async fn serve(
    mut hang_up: Signal,
    told: Told,
    plan: Plan,
    handed: Vec<std::net::TcpListener>,
    neighbours: Option<Neighbours>,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let neighbours = neighbours.map(Rc::new);
    let own = if plan.fleet.is_some() { membership::DESCRIPTORS } else { 0 };
    let budget = Budget::new(plan.limits.descriptors.saturating_sub(own), plan.limits.memory);
    let metrics = Metrics::new()?;
    let shared =
        PoolContext { clock, budget: budget.clone(), metrics: metrics.clone(), engines: Engines::default() };
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = plan.seed.unwrap_or(since.as_nanos() as u64 ^ u64::from(std::process::id()));
    let mut listeners = Listeners { handed, ..Listeners::default() };
    let bound = listeners.bind(&plan)?;
    let calls = plan.operator.map(listen_for_calls).transpose()?;
    let control = SharedLifecycle::default();
    let member = Membership::default();
    let succeeds = neighbours.as_ref().is_some_and(|n| n.now().has_predecessor);
    if !succeeds {
        tokio::select! {
            // Nothing has been taken yet.
            _ = terminate.recv() => return Ok(()),
            joined = member.join(&plan, &metrics, seed) => joined?,
        }
    }
    let site = ActivePlan::start(plan, &shared, seed, member.group.get())?;
    metrics.set_active_config(&site.plan.version.to_string(), None);
    let current = CurrentPlan::new(site.clone());
    let service = Rc::new(Service {
        current_plan: current.clone(),
        clock,
        budget: budget.clone(),
        lifecycle: control.clone(),
        request_id_counter: Cell::new(seed),
        metrics: metrics.clone(),
    });
    let clients = ClientConnections::new(service.clone());
    let changed = Arc::new(Notify::new());
    if let Some(calls) = calls {
        log(format_args!("operators call at {}", calls.local_addr()?));
        let (control, metrics, changed) = (control.clone(), metrics.clone(), changed.clone());
        let fleet = member.place.clone();
        Operator { control, metrics, clock, changed, fleet }.start(calls)?;
    }
    if let Some(neighbours) = &neighbours {
        budget.keep_to(neighbours.now().limit_share());
        tokio::select! {
            // Nothing has been taken yet.
            _ = terminate.recv() => return Ok(()),
            from = learn(neighbours, &site, clock, &control) => {
                if let Some(from) = &from {
                    let group = Group { ordinal: from.ordinal, size: from.size };
                    member.regroup(&current, group, &mut LogLimiter::new(1, 0.0)).await;
                }
                if succeeds {
                    if let Some(plan) = site.plan.share() {
                        spawn_local(member.clone().succeed(plan, from, metrics.clone(), seed));
                    }
                }
            }
        }
    }
    if site.plan.fleet.is_some() {
        spawn_local(member.clone().follow(current.clone()));
    }
    let open = Rc::new(Cell::new(neighbours.is_none()));
    spawn_local(watch(current.clone(), control.clone(), metrics.clone(), budget.clone(), open.clone()));
    spawn_local(tell_of_drains(member.place.clone(), control.clone()));
    if let Some(neighbours) = &neighbours {
        while !neighbours.now().accepts_connections(site.is_ready() && !control.lock().is_draining()) {
            tokio::select! {
                // Nothing has been taken yet.
                _ = terminate.recv() => return Ok(()),
                () = tokio::time::sleep(LOOK) => {}
            }
        }
        spawn_local(share(neighbours.clone(), budget.clone()));
        spawn_local(teach(neighbours.clone(), current.clone(), control.clone(), member.clone()));
    }
    listeners.start(&site.plan, bound, &clients)?;
    // It says yes when it takes clients, not before: the other process may end on that word.
    open.set(true);
    control.lock().set_servers_known(site.is_ready());
    drop(site);
    spawn_local(sweep(current.clone(), clients.clone()));
    spawn_local(empty(clients.clone(), control.clone(), clock, changed));

    let mut reloads = Reloads::new(told);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => reloads.begin(&current, &metrics),
            ready = reloads.compiled() => {
                let target = Target {
                    current: &current,
                    listeners: &mut listeners,
                    clients: &clients,
                    shared: &shared,
                    seed,
                    place: &member.place,
                    group: member.group.get(),
                };
                reloads.finish(ready, target, &metrics);
            }
        }
    }
    let succeeded = neighbours.is_some_and(|n| n.now().has_successor);
    control.lock().begin_shutdown(clock.now(), succeeded);
    let within = current.get().plan.drain_timeout;
    let (answered, gone) = control.lock().shutdown_deadlines(within).unwrap_or_default();
    shared.engines.set_shutdown_deadline(answered);
    if let (Some(fleet), true) = (member.place.get(), succeeded) {
        fleet.hand_over();
    }
    while control.lock().accepts_connections(clock.now()) && clock.now() < gone {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    match succeeded {
        true => listeners.leave(),
        false => listeners.close(clock.instant(answered)).await,
    }
    if let (Some(fleet), false) = (member.place.get(), succeeded) {
        // No new requests come: from here on the others may take its part.
        fleet.leave().await;
    }
    while close_idle(&clients, &control, clock) > 0 && clock.now() < gone {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Keeps the metrics and the node's readiness up to date, for good. It is not ready before its listeners are open.
async fn watch(
    current: Rc<CurrentPlan>,
    control: SharedLifecycle,
    metrics: Metrics,
    budget: Rc<Budget>,
    open: Rc<Cell<bool>>,
) {
    let (mut looks, mut listed) = (0u32, 0);
    loop {
        let site = current.get();
        control.lock().set_servers_known(open.get() && site.is_ready());
        if listed < MANY || looks.is_multiple_of(SELDOM) {
            let ejected;
            (listed, ejected) = site.server_counts();
            metrics.discovered_servers.set(listed as i64);
            metrics.ejected_servers.set(ejected as i64);
        }
        looks = looks.wrapping_add(1);
        for (held, (now, most)) in [
            (&metrics.client_connections, budget.clients()),
            (&metrics.server_connections, budget.servers()),
            (&metrics.body_bytes, budget.bytes()),
        ] {
            held.set(now, most);
        }
        tokio::time::sleep(WATCH).await;
    }
}

/// Keeps to this process's share of the limits, for good.
async fn share(neighbours: Rc<Neighbours>, budget: Rc<Budget>) {
    loop {
        budget.keep_to(neighbours.now().limit_share());
        tokio::time::sleep(SHARE).await;
    }
}

/// Writes down what this process has learnt while there is one that comes to its place, for good.
async fn teach(
    neighbours: Rc<Neighbours>,
    current: Rc<CurrentPlan>,
    control: SharedLifecycle,
    member: Membership,
) {
    let mut failed = false;
    loop {
        let newer = neighbours.now().has_successor;
        if newer {
            let drains = control.lock().is_draining();
            let handover = Handover { fleet: member.handover(), ..current.get().handover(drains) };
            let told = neighbours.tell(&handover);
            if let (Err(why), false) = (&told, failed) {
                log(format_args!("the process that comes to this one's place begins cold: {why}"));
            }
            failed = told.is_err();
        }
        tokio::time::sleep(if newer { TELL } else { SHARE }).await;
    }
}

/// Tells the fleet when the operator empties the node and when no longer, for good.
async fn tell_of_drains(place: FleetCell, control: SharedLifecycle) {
    loop {
        if let Some(fleet) = place.get() {
            let drains = control.lock().is_draining();
            if fleet.view().is_draining() != drains {
                fleet.set_draining(drains);
            }
        }
        tokio::time::sleep(WATCH).await;
    }
}

/// Waits until the pools know their servers, and takes over what the older process has learnt of them, if there is one and
/// it tells in time.
async fn learn(
    neighbours: &Neighbours,
    site: &ActivePlan,
    clock: Clock,
    control: &SharedLifecycle,
) -> Option<FleetHandover> {
    if !neighbours.now().has_predecessor {
        return None;
    }
    while neighbours.now().is_queued {
        tokio::time::sleep(LOOK).await;
    }
    neighbours.begin();
    loop {
        let told = neighbours.told(clock.now()).filter(|_| site.is_ready());
        if told.as_ref().is_some_and(|told| told.drains) {
            log(format_args!("begins drained, as the other process is; POST /-/resume ends that"));
            control.lock().drain(clock.now());
        }
        if let Some(told) = told {
            match site.restore_knowledge(&told) {
                0 => log(format_args!("begins cold: nothing that the other process knows holds here")),
                known => log(format_args!("begins with what is known of {known} servers")),
            }
            return told.fleet;
        }
        // One that has gone leaves its clients to this one, ready or not.
        if !neighbours.now().has_predecessor || (site.is_ready() && neighbours.age() > LEARN_WITHIN) {
            log(format_args!("begins cold: the other process has not told what it knows"));
            return None;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Closes connections that have no request, as far as the node's life wants that; the number of those that are left.
fn close_idle(clients: &ClientConnections, control: &SharedLifecycle, clock: Clock) -> usize {
    let before = control.lock().idle_close_cutoff(clock.now());
    clients.close_idle(before.unwrap_or(0))
}

/// Empties the node as long as its operator wants that, for good.
async fn empty(clients: Rc<ClientConnections>, control: SharedLifecycle, clock: Clock, changed: Arc<Notify>) {
    loop {
        while control.lock().allows_keep_alive() {
            changed.notified().await;
        }
        close_idle(&clients, &control, clock);
        tokio::time::sleep(EMPTY).await;
    }
}

/// Closes what stands still, for good.
async fn sweep(current: Rc<CurrentPlan>, clients: Rc<ClientConnections>) {
    let mut forgotten = tokio::time::Instant::now();
    loop {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            clients.close_slow_heads();
            current.get().pools.iter().for_each(|p| p.upstreams.abort_overdue_attempts());
        }
        clients.close_idle_and_stalled();
        current.get().pools.iter().for_each(|p| p.upstreams.close_expired_idle());
        if forgotten.elapsed() > FORGET {
            forgotten = tokio::time::Instant::now();
            current.get().pools.iter().for_each(|p| p.engine.forget_idle_tenants());
        }
    }
}
