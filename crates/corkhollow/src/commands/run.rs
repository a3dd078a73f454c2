//! `corkhollow run`: startup, listeners, signals, periodic tasks and shutdown.

use super::membership::{self, Membership};
use super::reload::{load_first_plan, ConfigSource, ReloadTarget, Reloader};
use super::takeover::{self, RequestIdSharing, SUCCESSOR_POLL_INTERVAL};
use super::CommandError;
use crate::cli::RunArgs;
use crate::succession::{self, SuccessionLocks};
use corkhollow_engine::{log, Clock, LogLimiter};
use corkhollow_fleet::GroupPosition;
use corkhollow_operate::{Metrics, MetricsError, SharedLifecycle};
use corkhollow_plan::limits::Budget;
use corkhollow_plan::plan::Plan;
use corkhollow_plan::platform::{Config, ConfigError};
use corkhollow_proxy::active_plan::{ActivePlan, CurrentPlan, PoolError};
use corkhollow_proxy::background;
use corkhollow_proxy::fleet::FleetCell;
use corkhollow_proxy::http1::{ClientConnections, Service};
use corkhollow_proxy::operator::OperatorServer;
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

/// Requested length of the accept queue; the kernel caps it at `somaxconn`.
const LISTEN_BACKLOG: u32 = 4096;
/// How often metrics, readiness and the draining state shown to the fleet are updated.
const STATE_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// With this many servers or more, they are counted only at one state update in
/// [`UPDATES_PER_LARGE_COUNT`], since a count visits each server.
const MAX_SERVERS_COUNTED_EACH_UPDATE: usize = 1_000;
/// Number of state updates per count of many servers.
const UPDATES_PER_LARGE_COUNT: u32 = 20;
/// How often idle tenants are forgotten.
const TENANT_CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// How often a draining node closes idle connections.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Why the process cannot start, or cannot activate a new plan.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Pool(#[from] PoolError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("an inherited socket is bound to {address}, which is not the address of any listener")]
    UnknownInheritedSocket { address: SocketAddr },
    #[error("fleet: the name {name} is already used by the process at {holder}")]
    NameTaken { name: String, holder: SocketAddr },
    #[error("{}: {reason}", path.display())]
    FleetKey { path: PathBuf, reason: String },
    #[error("`{key}` can only change with a restart")]
    RequiresRestart { key: String },
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Metrics(#[from] MetricsError),
}

/// Serves until SIGTERM.
pub fn run(args: RunArgs) -> Result<(), CommandError> {
    if args.config.is_some() {
        lower_malloc_trim_threshold();
    }
    if args.until_stdin_ends {
        exit_when_stdin_ends()?;
    }
    let inherited = succession::inherited_listeners().map_err(StartError::from)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::from)?;
    LocalSet::new().block_on(&runtime, load_and_serve(args, inherited))
}

/// Reads the configuration and serves it. SIGHUP is handled from before the read on, so that a change of the
/// file during the read is not missed. SIGTERM still has its default action then, which ends a process that
/// serves nobody yet.
async fn load_and_serve(args: RunArgs, inherited: Vec<std::net::TcpListener>) -> Result<(), CommandError> {
    let hangup = signal(SignalKind::hangup()).map_err(StartError::from)?;
    let (source, plan) = match args.config {
        Some(path) => {
            let plan = load_first_plan(&path, args.operator)?;
            (ConfigSource::File(path, args.operator), plan)
        }
        None => {
            let mut config = Config::load().map_err(StartError::from)?;
            config.operator = args.operator.or(config.operator);
            (ConfigSource::Platform(Box::new(config.raw.clone())), config.plan())
        }
    };
    background::silence_panic_messages();
    let locks = join_succession(&inherited);
    Ok(serve(hangup, source, plan, inherited, locks).await?)
}

/// Sets glibc's trim threshold, unless it is set already. By default glibc raises the threshold to twice the
/// largest block ever freed, which for a large file is tens of megabytes that would not be returned to the
/// system. glibc reads the setting only at process start, so the program executes itself again; if that
/// fails, it continues as it is.
fn lower_malloc_trim_threshold() {
    const VARIABLE: &str = "MALLOC_TRIM_THRESHOLD_";
    const TRIM_THRESHOLD_BYTES: &str = "1000000";
    let mut arguments = std::env::args_os();
    if let (None, Ok(program), Some(name)) =
        (std::env::var_os(VARIABLE), std::env::current_exe(), arguments.next())
    {
        let error =
            Command::new(program).arg0(name).args(arguments).env(VARIABLE, TRIM_THRESHOLD_BYTES).exec();
        log(format_args!(
            "cannot restart with {VARIABLE} set: {error}; memory freed after reading large files may stay allocated"
        ));
    }
}

/// Exits the process when standard input ends. The kernel closes the pipe when the parent dies, however it
/// dies.
fn exit_when_stdin_ends() -> Result<(), StartError> {
    let wait = || {
        // The input is ignored, and a read error counts as its end.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        log(format_args!("standard input has ended; exiting"));
        std::process::exit(0);
    };
    std::thread::Builder::new().name("stdin".to_owned()).spawn(wait)?;
    Ok(())
}

/// Joins the processes that share the inherited sockets; none without such sockets, or if the lock files
/// cannot be used.
fn join_succession(inherited: &[std::net::TcpListener]) -> Option<SuccessionLocks> {
    // The smallest address identifies the whole set, as each process may inherit its sockets in another
    // order.
    let address = inherited.iter().filter_map(|socket| socket.local_addr().ok()).min()?;
    let folder = std::env::temp_dir();
    SuccessionLocks::join(&folder, address)
        .inspect_err(|error| {
            let folder = folder.display();
            log(format_args!(
                "cannot coordinate with other processes in {folder}: {error}; starting cold, as the only process"
            ));
        })
        .ok()
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| StartError::Listen { address, error })
}

fn listen_for_operators(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let open = || listen(address).map(TcpListener::into_std);
    open()?.map_err(|error| StartError::Listen { address, error })
}

/// A listener that accepts connections.
struct OpenListener {
    /// The address in the plan, which may have port 0.
    address: SocketAddr,
    stop: Rc<Notify>,
    accept_task: JoinHandle<()>,
}

/// The node's listeners.
#[derive(Default)]
pub struct Listeners {
    /// By listener name.
    open: BTreeMap<String, OpenListener>,
    /// Inherited sockets, until the first plan's listeners are bound.
    inherited: Vec<std::net::TcpListener>,
}

impl Listeners {
    /// Binds the plan's listeners that are not open yet. They accept nothing before [`Listeners::start`].
    pub fn bind(&mut self, plan: &Plan) -> Result<Vec<(String, SocketAddr, TcpListener)>, StartError> {
        let open = &self.open;
        let new = plan.listeners.iter().filter(|l| open.get(&l.name).is_none_or(|o| o.address != l.address));
        let mut inherited = std::mem::take(&mut self.inherited);
        for socket in &inherited {
            let address = socket.local_addr()?;
            if !plan.listeners.iter().any(|l| l.address == address) {
                return Err(StartError::UnknownInheritedSocket { address });
            }
        }
        let mut listen = |address| match inherited
            .iter()
            .position(|socket| socket.local_addr().is_ok_and(|a| a == address))
        {
            Some(index) => Ok(TcpListener::from_std(inherited.swap_remove(index))?),
            None => listen(address),
        };
        new.map(|l| Ok((l.name.clone(), l.address, listen(l.address)?))).collect()
    }

    /// Starts accepting on newly bound listeners, and closes those that are not in the plan any more.
    pub fn start(
        &mut self,
        plan: &Plan,
        bound: Vec<(String, SocketAddr, TcpListener)>,
        clients: &Rc<ClientConnections>,
    ) -> std::io::Result<()> {
        let removed: Vec<_> = self
            .open
            .keys()
            .filter(|name| !plan.listeners.iter().any(|l| l.name == **name))
            .cloned()
            .collect();
        for name in removed {
            if let Some(open) = self.open.remove(&name) {
                open.stop.notify_one();
            }
            clients.close_listener(&name);
            log(format_args!("listener {name} is closed"));
        }
        for (name, address, listener) in bound {
            let label = if plan.seed.is_some() { String::new() } else { format!("listener {name} ") };
            log(format_args!("{label}listening on {}", listener.local_addr()?));
            let stop = Rc::new(Notify::new());
            let accept_task =
                spawn_local(clients.clone().accept(name.as_str().into(), listener, stop.clone()));
            if let Some(old) = self.open.insert(name, OpenListener { address, stop, accept_task }) {
                old.stop.notify_one();
            }
        }
        Ok(())
    }

    /// Stops accepting at once and leaves connections in the backlog to the successor.
    fn abandon_backlog(self) {
        self.open.values().for_each(|open| open.accept_task.abort());
    }

    /// Accepts the connections that are in the backlog and then stops. Gives up at the deadline if the
    /// connection limit keeps it from accepting them.
    async fn accept_backlog(self, deadline: tokio::time::Instant) {
        self.open.values().for_each(|open| open.stop.notify_one());
        for mut open in self.open.into_values() {
            if timeout_at(deadline, &mut open.accept_task).await.is_err() {
                open.accept_task.abort();
            }
        }
    }
}

async fn serve(
    mut hangup: Signal,
    source: ConfigSource,
    plan: Plan,
    inherited: Vec<std::net::TcpListener>,
    locks: Option<SuccessionLocks>,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let clock = Clock::start();
    let locks = locks.map(Rc::new);
    let fleet_descriptors = if plan.fleet.is_some() { membership::FLEET_DESCRIPTORS } else { 0 };
    let descriptors = plan.limits.descriptors.saturating_sub(fleet_descriptors);
    let budget = Budget::new(descriptors, plan.limits.memory_bytes, plan.limits.read_buffer_bytes());
    let metrics = Metrics::new()?;
    let context =
        PoolContext { clock, budget: budget.clone(), metrics: metrics.clone(), engines: Engines::default() };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = plan.seed.unwrap_or(since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()));
    let mut listeners = Listeners { inherited, ..Listeners::default() };
    let bound = listeners.bind(&plan)?;
    let operator_listener = plan.operator.map(listen_for_operators).transpose()?;
    let lifecycle = SharedLifecycle::default();
    let membership = Membership::default();
    let is_successor = locks.as_ref().is_some_and(|l| l.succession().has_predecessor);
    if !is_successor {
        tokio::select! {
            // No connection has been accepted yet.
            _ = terminate.recv() => return Ok(()),
            joined = membership.join(&plan, &metrics, seed) => joined?,
        }
    }
    let first_plan = ActivePlan::start(plan, &context, seed, membership.group.get())?;
    metrics.set_active_config(&first_plan.plan.version.to_string(), None);
    let current_plan = CurrentPlan::new(first_plan.clone());
    let service = Rc::new(Service {
        current_plan: current_plan.clone(),
        clock,
        budget: budget.clone(),
        lifecycle: lifecycle.clone(),
        request_id_counter: Cell::new(seed),
        metrics: metrics.clone(),
    });
    let clients = ClientConnections::new(service.clone());
    let lifecycle_changed = Arc::new(Notify::new());
    if let Some(operator_listener) = operator_listener {
        log(format_args!("operators call at {}", operator_listener.local_addr()?));
        let (lifecycle, metrics, lifecycle_changed) =
            (lifecycle.clone(), metrics.clone(), lifecycle_changed.clone());
        let fleet = membership.fleet.clone();
        OperatorServer { lifecycle, metrics, clock, lifecycle_changed, fleet }.start(operator_listener)?;
    }
    let request_id_sharing = RequestIdSharing::default();
    if let Some(locks) = &locks {
        budget.set_limit_share(locks.succession().limit_share());
        tokio::select! {
            // No connection has been accepted yet.
            _ = terminate.recv() => return Ok(()),
            fleet_handover = takeover::take_over(locks, &first_plan, clock, &lifecycle, &request_id_sharing) => {
                if let Some(handover) = &fleet_handover {
                    let group = GroupPosition { ordinal: handover.ordinal, size: handover.size };
                    membership.set_group(&current_plan, group, &mut LogLimiter::new(1, 0.0)).await;
                }
                if is_successor {
                    if let Some(plan) = first_plan.plan.to_arc() {
                        spawn_local(membership.clone().join_as_successor(plan, fleet_handover, metrics.clone(), seed));
                    }
                }
            }
        }
    }
    if first_plan.plan.fleet.is_some() {
        spawn_local(membership.clone().follow_group(current_plan.clone()));
    }
    let is_listening = Rc::new(Cell::new(locks.is_none()));
    spawn_local(update_metrics_and_readiness(
        current_plan.clone(),
        lifecycle.clone(),
        metrics.clone(),
        budget.clone(),
        is_listening.clone(),
    ));
    spawn_local(report_draining_to_fleet(membership.fleet.clone(), lifecycle.clone()));
    if let Some(locks) = &locks {
        while !locks
            .succession()
            .accepts_connections(first_plan.is_ready() && !lifecycle.lock().is_draining())
        {
            tokio::select! {
                // No connection has been accepted yet.
                _ = terminate.recv() => return Ok(()),
                () = tokio::time::sleep(SUCCESSOR_POLL_INTERVAL) => {}
            }
        }
        spawn_local(takeover::update_limit_share(locks.clone(), budget.clone()));
        spawn_local(takeover::write_handovers(
            locks.clone(),
            current_plan.clone(),
            lifecycle.clone(),
            membership.clone(),
            request_id_sharing,
        ));
    }
    listeners.start(&first_plan.plan, bound, &clients)?;
    // The node must not report ready before it accepts connections: the predecessor may be terminated once it
    // does.
    is_listening.set(true);
    lifecycle.lock().set_servers_known(first_plan.is_ready());
    drop(first_plan);
    spawn_local(close_expired(current_plan.clone(), clients.clone()));
    spawn_local(close_idle_while_draining(clients.clone(), lifecycle.clone(), clock, lifecycle_changed));

    let mut reloader = Reloader::new(source);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reloader.start(&current_plan, &metrics),
            result = reloader.wait_compiled() => {
                let target = ReloadTarget {
                    current_plan: &current_plan,
                    listeners: &mut listeners,
                    clients: &clients,
                    context: &context,
                    seed,
                    fleet: &membership.fleet,
                    group: membership.group.get(),
                };
                reloader.finish(result, target, &metrics);
            }
        }
    }
    let has_successor = locks.is_some_and(|l| l.succession().has_successor);
    lifecycle.lock().begin_shutdown(clock.now(), has_successor);
    let drain_timeout = current_plan.get().plan.drain_timeout;
    let (answer_deadline, exit_deadline) =
        lifecycle.lock().shutdown_deadlines(drain_timeout).unwrap_or_default();
    context.engines.set_shutdown_deadline(answer_deadline);
    if let (Some(fleet), true) = (membership.fleet.get(), has_successor) {
        fleet.hand_over();
    }
    while lifecycle.lock().accepts_connections(clock.now()) && clock.now() < exit_deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    match has_successor {
        true => listeners.abandon_backlog(),
        false => listeners.accept_backlog(clock.instant(answer_deadline)).await,
    }
    if let (Some(fleet), false) = (membership.fleet.get(), has_successor) {
        // Only now: no new requests are accepted any more, so the other members may take over this node's
        // share.
        fleet.leave().await;
    }
    while close_idle(&clients, &lifecycle, clock) > 0 && clock.now() < exit_deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Keeps the metrics and the node's readiness up to date. The node is not ready before it accepts
/// connections.
async fn update_metrics_and_readiness(
    current_plan: Rc<CurrentPlan>,
    lifecycle: SharedLifecycle,
    metrics: Metrics,
    budget: Rc<Budget>,
    is_listening: Rc<Cell<bool>>,
) {
    let (mut updates, mut discovered) = (0u32, 0);
    loop {
        let active_plan = current_plan.get();
        lifecycle.lock().set_servers_known(is_listening.get() && active_plan.is_ready());
        if discovered < MAX_SERVERS_COUNTED_EACH_UPDATE || updates.is_multiple_of(UPDATES_PER_LARGE_COUNT) {
            let ejected;
            (discovered, ejected) = active_plan.server_counts();
            metrics.discovered_servers.set(discovered as i64);
            metrics.ejected_servers.set(ejected as i64);
        }
        updates = updates.wrapping_add(1);
        for (gauges, (used, limit)) in [
            (&metrics.client_connections, budget.client_usage()),
            (&metrics.server_connections, budget.server_usage()),
            (&metrics.body_bytes, budget.body_bytes_usage()),
        ] {
            gauges.set(used, limit);
        }
        tokio::time::sleep(STATE_UPDATE_INTERVAL).await;
    }
}

/// Tells the other members of the fleet whether the node is draining.
async fn report_draining_to_fleet(fleet: FleetCell, lifecycle: SharedLifecycle) {
    loop {
        if let Some(fleet) = fleet.get() {
            let is_draining = lifecycle.lock().is_draining();
            if fleet.view().is_draining() != is_draining {
                fleet.set_draining(is_draining);
            }
        }
        tokio::time::sleep(STATE_UPDATE_INTERVAL).await;
    }
}

/// Closes idle connections that the lifecycle does not allow any more; returns how many connections are still
/// open.
fn close_idle(clients: &ClientConnections, lifecycle: &SharedLifecycle, clock: Clock) -> usize {
    let cutoff = lifecycle.lock().idle_close_cutoff(clock.now());
    clients.close_idle(cutoff.unwrap_or(0))
}

/// Closes idle connections while the node drains.
async fn close_idle_while_draining(
    clients: Rc<ClientConnections>,
    lifecycle: SharedLifecycle,
    clock: Clock,
    lifecycle_changed: Arc<Notify>,
) {
    loop {
        while lifecycle.lock().allows_keep_alive() {
            lifecycle_changed.notified().await;
        }
        close_idle(&clients, &lifecycle, clock);
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}

/// Enforces the timeouts of connections and of abandoned attempts, and forgets idle tenants.
async fn close_expired(current_plan: Rc<CurrentPlan>, clients: Rc<ClientConnections>) {
    let mut tenants_cleaned_at = tokio::time::Instant::now();
    loop {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            clients.close_slow_heads();
            current_plan.get().pools.iter().for_each(|p| p.upstreams.abort_overdue_attempts());
        }
        clients.close_idle_and_stalled();
        current_plan.get().pools.iter().for_each(|p| p.upstreams.close_expired_idle());
        if tenants_cleaned_at.elapsed() > TENANT_CLEANUP_INTERVAL {
            tenants_cleaned_at = tokio::time::Instant::now();
            current_plan.get().pools.iter().for_each(|p| p.engine.forget_idle_tenants());
        }
    }
}
