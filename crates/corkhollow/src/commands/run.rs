//! `corkhollow run`: runtime, signals, reload.

use super::Failure;
use crate::cli::RunArgs;
use corkhollow_engine::{log, Clock, Engine};
use corkhollow_plan::limits::Budget;
use corkhollow_plan::platform::{Config, ConfigError};
use corkhollow_proxy::http1::{Clients, Service};
use corkhollow_proxy::upstream::{Following, Sender, Upstreams, Watcher};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Connections that the kernel may hold for us while we are busy; it cuts this down to what it allows.
const BACKLOG: u32 = 4096;
/// From the start, a node with no word from discovery serves by the list in its configuration after this ...
const READY_KNOWN: Duration = Duration::from_millis(700);
/// At a planned restart new connections go on coming for a while, and SIGKILL follows the longest deadline.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
const LEAVE_WITHIN: Duration = Duration::from_millis(3600);

/// Why the program cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("settings: {0}")]
    Settings(#[from] corkhollow_balance::interface::SettingsError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: std::io::Error },
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Serves until SIGTERM.
pub fn run(args: RunArgs) -> Result<(), Failure> {
    if args.config.is_some() {
        return Err(Failure::Request("an operator's file is checked, and not yet served".to_owned()));
    }
    let config = Config::load().map_err(StartError::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, serve(config))?)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(config: Config) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let address = config.listen;
    let (discovery, discovery_seen) = watch::channel(config.discovery);
    let (push, known) =
        (!config.settings.must_subscribe, config.known.as_ref().is_some_and(|k| !k.hosts.is_empty()));
    let (list_calls, calls) = mpsc::unbounded_channel();
    let clock = Clock::start();
    let budget = Budget::new(config.limits.sockets, config.limits.memory_mb);
    let upstreams =
        Upstreams::new(config.conn_idle, config.connect_timeout, budget.clone(), clock, list_calls);
    let engine =
        Engine::new(config.settings.clone(), config.seed, clock, Rc::new(Sender(upstreams.clone())))?;
    let following = Following {
        zones: config.zones.clone(),
        kinds: config.kinds.clone(),
        must_subscribe: config.settings.must_subscribe,
        known: config.known.clone(),
        seed: config.seed,
    };
    let listener = listen(address).map_err(|error| StartError::Listen { address, error })?;
    log(format_args!("listening on {}", listener.local_addr()?));
    let ready = Rc::new(Cell::new(false));
    let watcher = Watcher::new(engine.clone(), upstreams.clone(), following, discovery_seen, ready.clone());
    if push {
        spawn_local(watcher.follow());
    } else {
        spawn_local(watcher.obey(calls));
    }
    spawn_local(engine.clone().run_timers());
    let leaving = Cell::new(false);
    let service = Rc::new(Service { config, engine, clock, budget, leaving, ready: ready.clone() });
    let clients = Clients::new(service.clone());
    let stop = Rc::new(Notify::new());
    let accepting = spawn_local(clients.clone().accept(listener, stop.clone()));
    spawn_local(async move {
        tokio::time::sleep(READY_KNOWN).await;
        ready.set(ready.get() || known);
    });
    spawn_local(sweep(upstreams, clients.clone()));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => reload(address, &discovery),
        }
    }
    let told = Instant::now();
    service.leaving.set(true);
    tokio::time::sleep(STILL_ACCEPT).await;
    stop.notify_one();
    let _ = accepting.await;
    while clients.close_idle() > 0 && told.elapsed() < LEAVE_WITHIN {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Takes over what a new configuration says of discovery; all else that it says counts from the next start. One
/// that cannot be read leaves the old one in force.
fn reload(listen: SocketAddr, discovery: &watch::Sender<SocketAddr>) {
    match Config::load() {
        Ok(config) if config.listen != listen => {
            log(format_args!("not reloaded: `listen` changes with a restart only"));
        }
        Ok(config) => {
            log(format_args!("reloaded: discovery at {}", config.discovery));
            discovery.send_if_modified(|old| std::mem::replace(old, config.discovery) != config.discovery);
        }
        Err(error) => log(format_args!("not reloaded: {error}")),
    }
}

async fn sweep(upstreams: Rc<Upstreams>, clients: Rc<Clients>) {
    loop {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            clients.cut_heads();
            upstreams.cut_lingering();
        }
        clients.sweep();
        upstreams.sweep();
    }
}
