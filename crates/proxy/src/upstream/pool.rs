//! A running pool: its engine, its connections, and the task that keeps its server list up to date.

use super::discovery::{Watcher, WatcherConfig};
use super::health_check;
use super::servers::ListedServer;
use super::upstreams::{UpstreamTransport, Upstreams};
use corkhollow_balance::interface::{
    ListKind, Nanos, Phase, Quotas, Server as ServerInfo, ServerId, Settings, SettingsError,
};
use corkhollow_engine::{log, Clock, Engine};
use corkhollow_fleet::GroupPosition;
use corkhollow_operate::Metrics;
use corkhollow_plan::change::PoolDifferences;
use corkhollow_plan::config::parse_server_list;
use corkhollow_plan::limits::Budget;
use corkhollow_plan::plan::{self, Plan, Source};
use corkhollow_plan::roster::{Roster, RosterEntry};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};

/// How often a watched file is checked for changes.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long requests wait after the start for the first list from a discovery agent that pushes lists.
/// What the agent has counts as notified from the first moment of a process, and it answers at once unless it is
/// silent: then the cached list is used. A new drain must be obeyed within the same time.
const FIRST_LIST_TIMEOUT: Nanos = 250_000_000;

/// A pool with a cached list is ready after this time, even without an answer from discovery.
const CACHED_LIST_READY_DELAY: Duration = Duration::from_millis(700);

/// What all pools of a process share.
#[derive(Clone)]
pub struct PoolContext {
    /// The process's clock.
    pub clock: Clock,
    /// Limits on connections and memory.
    pub budget: Rc<Budget>,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The engines of all pools, including removed pools that still have open requests.
    pub engines: Engines,
}

/// All engines that are still referenced.
#[derive(Clone, Default)]
pub struct Engines(Rc<RefCell<Vec<Weak<Engine>>>>);

impl Engines {
    fn add(&self, engine: &Rc<Engine>) {
        let mut all = self.0.borrow_mut();
        all.retain(|engine| engine.strong_count() > 0);
        all.push(Rc::downgrade(engine));
    }

    /// Makes every engine answer its open requests by the given time, for the shutdown of the process.
    pub fn set_shutdown_deadline(&self, deadline: Nanos) {
        self.0
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .for_each(|engine| engine.set_shutdown_deadline(deadline));
    }
}

/// Settings that are the same for all pools.
pub struct CommonSettings {
    /// The tenants' quotas.
    pub quotas: Quotas,
    /// The node's position in its fleet; overrides the pool's settings.
    pub group: Option<GroupPosition>,
}

impl CommonSettings {
    /// The settings of a pool's decision module.
    pub fn settings(&self, pool: &plan::Pool) -> Settings {
        let settings = &pool.settings;
        let (ordinal, group_size) = match self.group {
            Some(GroupPosition { ordinal, size }) => (ordinal, size.max(ordinal + 1)),
            None => (settings.ordinal, settings.group_size),
        };
        Settings { tenant_quota: self.quotas.clone(), ordinal, group_size, ..settings.clone() }
    }
}

/// A running pool.
pub struct Pool {
    /// Decides on the pool's requests and tracks those that are open.
    pub engine: Rc<Engine>,
    /// The servers and the connections to them.
    pub upstreams: Rc<Upstreams>,
    /// Whether the pool has a server list to route requests with.
    pub ready: Rc<watch::Sender<bool>>,
    /// The configuration that the pool was started with.
    config: Arc<plan::Pool>,
    /// Until when requests wait for the first list.
    first_list_deadline: Nanos,
    roster: Rc<RefCell<Roster>>,
    /// The configured address of discovery, for the watcher.
    discovery_address: Option<watch::Sender<SocketAddr>>,
    /// The pool was dropped: the engine's timers end with its last request.
    retired: Rc<Cell<bool>>,
    /// The task that keeps the server list up to date.
    source_task: RefCell<Option<AbortHandle>>,
    check_task: RefCell<Option<AbortHandle>>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.retired.set(true);
        for task in [self.source_task.take(), self.check_task.take()].into_iter().flatten() {
            task.abort();
        }
    }
}

impl Pool {
    /// Starts the plan's pool with the given index. All random choices derive from the seed.
    ///
    /// # Errors
    /// If the decision module rejects the settings.
    pub fn start(
        plan: &Plan,
        index: usize,
        shared: &PoolContext,
        seed: u64,
        common: &CommonSettings,
    ) -> Result<Rc<Self>, SettingsError> {
        let config = plan.pools[index].clone();
        let (discovery_calls, calls) = mpsc::unbounded_channel();
        let upstreams = Upstreams::new(&config, &plan.limits, shared, discovery_calls);
        let (sender, metrics) =
            (Rc::new(UpstreamTransport(upstreams.clone())), shared.metrics.for_pool(&config.name));
        let engine = Engine::new(common.settings(&config), seed, shared.clock, sender, metrics)?;
        shared.engines.add(&engine);
        let retired = Rc::new(Cell::new(false));
        spawn_local(engine.clone().run_timers(retired.clone()));
        let ready = Rc::new(watch::Sender::new(false));
        let mut discovery_address = None;
        let mut source_task = None;
        let is_pushed = matches!(config.source, Source::Discovery(_)) && !config.settings.must_subscribe;
        if let Source::Discovery(from) = &config.source {
            let (address_sender, address_updates) = watch::channel(from.address);
            discovery_address = Some(address_sender);
            if from.known.as_ref().is_some_and(|known| !known.hosts.is_empty()) {
                let ready = ready.clone();
                spawn_local(async move {
                    tokio::time::sleep(CACHED_LIST_READY_DELAY).await;
                    ready.send_replace(true);
                });
            }
            let must_subscribe = config.settings.must_subscribe;
            let watcher_config = WatcherConfig {
                zones: from.zones.clone(),
                kinds: from.kinds.clone(),
                must_subscribe,
                known: from.known.clone(),
                seed,
            };
            let watcher = Watcher::new(
                engine.clone(),
                upstreams.clone(),
                watcher_config,
                address_updates,
                ready.clone(),
            );
            source_task = Some(if must_subscribe {
                spawn_local(watcher.follow_on_demand(calls)).abort_handle()
            } else {
                spawn_local(watcher.follow_pushed()).abort_handle()
            });
        }
        let roster = Rc::new(RefCell::new(Roster::new(
            config.settings.backup_zone,
            config.check.clone(),
            config.slow_start,
        )));
        let pool = Rc::new(Pool {
            engine,
            upstreams,
            ready,
            roster,
            discovery_address,
            retired,
            first_list_deadline: if is_pushed { shared.clock.now() + FIRST_LIST_TIMEOUT } else { 0 },
            source_task: RefCell::new(source_task),
            check_task: RefCell::default(),
            config,
        });
        pool.start_source(plan, &pool.config.source);
        if let Some(settings) = &pool.config.check {
            let task = health_check::run(Rc::downgrade(&pool), settings.clone(), seed);
            pool.check_task.replace(Some(spawn_local(task).abort_handle()));
        }
        Ok(pool)
    }

    /// Applies what differs in a new plan. For `predecessors` and the returned class indexes see
    /// [`Engine::update_settings`]; `None` if the class indexes stay the same.
    ///
    /// # Errors
    /// If the decision module rejects the settings; nothing has changed then.
    pub fn update(
        &self,
        plan: &Plan,
        index: usize,
        differences: PoolDifferences,
        quotas_changed: bool,
        common: &CommonSettings,
        predecessors: impl FnOnce() -> Vec<Option<u16>>,
    ) -> Result<Option<Vec<u16>>, SettingsError> {
        let config = &plan.pools[index];
        let mut class_indexes = None;
        if differences.settings {
            class_indexes = Some(self.engine.update_settings(common.settings(config), &predecessors())?);
        } else if quotas_changed {
            self.engine.set_tenant_quotas(common.quotas.clone())?;
        }
        if differences.timeouts {
            self.upstreams.set_timeouts(config);
        }
        if differences.source {
            match (&self.discovery_address, &config.source) {
                (Some(address_sender), Source::Discovery(from)) => {
                    self.set_discovery_address(address_sender, from.address)
                }
                (_, source) => self.start_source(plan, source),
            }
        }
        Ok(class_indexes)
    }

    fn set_discovery_address(&self, address_sender: &watch::Sender<SocketAddr>, address: SocketAddr) {
        address_sender.send_if_modified(|old| std::mem::replace(old, address) != address);
    }

    fn start_source(&self, plan: &Plan, source: &Source) {
        match source {
            Source::Static(servers) => self.replace(servers),
            Source::Watch(path) => {
                let file = WatchedFile { path: path.clone(), last_read: None };
                let zones = (plan.zone, plan.zones.clone());
                let task = spawn_local(watch_file(self.list_updater(), file, zones)).abort_handle();
                // The old list stays in use until the new one is read.
                if let Some(old) = self.source_task.replace(Some(task)) {
                    old.abort();
                }
            }
            Source::Discovery(_) => {}
        }
    }

    fn list_updater(&self) -> ServerListUpdater {
        ServerListUpdater {
            engine: self.engine.clone(),
            upstreams: self.upstreams.clone(),
            roster: self.roster.clone(),
            ready: self.ready.clone(),
        }
    }

    fn replace(&self, servers: &[plan::Server]) {
        self.list_updater().replace(servers);
    }

    /// Waits for the first server list, at most until the deadline for it.
    pub async fn wait_for_servers(&self) {
        if !*self.ready.borrow() {
            let until = self.engine.clock().instant(self.first_list_deadline);
            let _ = tokio::time::timeout_at(until, self.ready.subscribe().wait_for(|ready| *ready)).await;
        }
    }

    /// Names and addresses of the servers to check.
    pub fn servers_to_check(&self) -> Vec<(String, SocketAddr)> {
        self.roster.borrow().servers_to_check()
    }

    /// Records the result of a health check, and applies and logs a change of the server's state.
    pub fn record_check(&self, name: &str, passed: bool) {
        let now = self.engine.clock().now();
        let changed = self.roster.borrow_mut().record_check(now, name, passed);
        if let Some(listed) = changed {
            let state = if listed.phase == Phase::Ready { "healthy" } else { "unhealthy" };
            log(format_args!("pool {}: health checks mark server {name} {state}", self.config.name));
            self.list_updater().apply(ListKind::Changes, vec![listed]);
        }
    }
}

/// Applies new server lists to a pool.
struct ServerListUpdater {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    roster: Rc<RefCell<Roster>>,
    ready: Rc<watch::Sender<bool>>,
}

impl ServerListUpdater {
    fn replace(&self, servers: &[plan::Server]) {
        let listed = self.roster.borrow_mut().replace_list(self.engine.clock().now(), servers);
        self.apply(ListKind::Full, listed);
        self.ready.send_replace(true);
    }

    fn apply(&self, kind: ListKind, listed: Vec<RosterEntry>) {
        let entries = listed.into_iter().map(listed_server).collect();
        let servers = self.upstreams.apply_list(kind, entries);
        self.engine.on_server_list(kind, servers);
    }
}

fn listed_server(listed: RosterEntry) -> ListedServer {
    ListedServer {
        host: listed.name,
        address: listed.address,
        server: ServerInfo {
            zone: listed.zone,
            kind: listed.kind,
            phase: listed.phase,
            size: listed.weight as f32,
            started_at: listed.started_at,
            ..ServerInfo::warm(ServerId(0))
        },
    }
}

/// A file with its modification time and size when it was last read.
struct WatchedFile {
    path: PathBuf,
    last_read: Option<(SystemTime, u64)>,
}

impl WatchedFile {
    fn has_changed(&mut self) -> bool {
        let meta = std::fs::metadata(&self.path).ok();
        let current = meta.and_then(|meta| Some((meta.modified().ok()?, meta.len())));
        let has_changed = current.is_some() && current != self.last_read;
        self.last_read = current.or(self.last_read);
        has_changed
    }
}

/// Reads the file whenever it changes, without end. An invalid file leaves the previous list in use.
async fn watch_file(updater: ServerListUpdater, mut file: WatchedFile, (zone, zones): (u8, Vec<String>)) {
    loop {
        if file.has_changed() {
            match read_server_list(&file.path, zone, &zones) {
                Ok(servers) => updater.replace(&servers),
                Err(error) => {
                    log(format_args!("{}: rejected, keeping the previous list: {error}", file.path.display()))
                }
            }
        }
        tokio::time::sleep(FILE_CHECK_INTERVAL).await;
    }
}

fn read_server_list(path: &Path, zone: u8, zones: &[String]) -> Result<Vec<plan::Server>, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    parse_server_list(&text, zone, zones)
        .map_err(|diagnostics| diagnostics.first().map(ToString::to_string).unwrap_or_default())
}
