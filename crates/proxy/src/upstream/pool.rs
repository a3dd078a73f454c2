//! One pool at work: its engine, its connections, and whoever tells its servers.

use super::discovery::{Watcher, WatcherConfig};
use super::health_check;
use super::servers::ListedServer;
use super::upstreams::{UpstreamTransport, Upstreams};
use corkhollow_balance::interface::{
    ListKind, Nanos, Phase, Quotas, Server as ServerInfo, ServerId, Settings, SettingsError,
};
use corkhollow_engine::{log, Clock, Engine};
use corkhollow_fleet::Group;
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

/// A watched file is looked at this often.
const LOOK: Duration = Duration::from_millis(250);

/// What an agent has counts as told from the process's first moment, and it answers at once: requests wait this long for
/// its answer. Then it is silent, and the list of the earlier life has to do. A drain has as long.
const FIRST_LIST: Nanos = 250_000_000;

/// Without a word from discovery a pool serves by the list of its earlier life after this.
const READY_KNOWN: Duration = Duration::from_millis(700);

/// What all pools share.
#[derive(Clone)]
pub struct PoolContext {
    /// The program's clock.
    pub clock: Clock,
    /// What it may hold.
    pub budget: Rc<Budget>,
    /// What it has done.
    pub metrics: Metrics,
    /// The engines of all pools, those with them that no plan has any longer and that have requests under way.
    pub engines: Engines,
}

/// Engines that are at work.
#[derive(Clone, Default)]
pub struct Engines(Rc<RefCell<Vec<Weak<Engine>>>>);

impl Engines {
    fn add(&self, engine: &Rc<Engine>) {
        let mut all = self.0.borrow_mut();
        all.retain(|engine| engine.strong_count() > 0);
        all.push(Rc::downgrade(engine));
    }

    /// Answers all that is under way by then, for the node leaves.
    pub fn end_by(&self, at: Nanos) {
        self.0.borrow().iter().filter_map(Weak::upgrade).for_each(|engine| engine.set_shutdown_deadline(at));
    }
}

/// What all pools are told beside their own settings.
pub struct CommonSettings {
    /// The tenants' shares, one table for all.
    pub quotas: Quotas,
    /// What the node counts as, where that isn't told by the settings.
    pub group: Option<Group>,
}

impl CommonSettings {
    /// What a pool's decision module goes by.
    pub fn settings(&self, pool: &plan::Pool) -> Settings {
        let own = &pool.settings;
        let (ordinal, group_size) = match self.group {
            Some(Group { ordinal, size }) => (ordinal, size.max(ordinal + 1)),
            None => (own.ordinal, own.group_size),
        };
        Settings { tenant_quota: self.quotas.clone(), ordinal, group_size, ..own.clone() }
    }
}

/// See the module's documentation.
pub struct Pool {
    /// Its requests under way.
    pub engine: Rc<Engine>,
    /// Its connections.
    pub upstreams: Rc<Upstreams>,
    /// It has been told who its servers are.
    pub ready: Rc<watch::Sender<bool>>,
    /// What it was started with.
    told: Arc<plan::Pool>,
    /// Until when requests wait for the first list.
    waits_until: Nanos,
    roster: Rc<RefCell<Roster>>,
    discovery: Option<watch::Sender<SocketAddr>>,
    /// No new plan has it: its timers end with its last request.
    retired: Rc<Cell<bool>>,
    /// Whoever tells its servers.
    source: RefCell<Option<AbortHandle>>,
    checks: RefCell<Option<AbortHandle>>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.retired.set(true);
        for task in [self.source.take(), self.checks.take()].into_iter().flatten() {
            task.abort();
        }
    }
}

impl Pool {
    /// Starts a pool of a plan. The seed settles its random draws.
    ///
    /// # Errors
    /// Where the decision module cannot act on its settings.
    pub fn start(
        plan: &Plan,
        at: usize,
        shared: &PoolContext,
        seed: u64,
        terms: &CommonSettings,
    ) -> Result<Rc<Self>, SettingsError> {
        let told = plan.pools[at].clone();
        let (list_calls, calls) = mpsc::unbounded_channel();
        let upstreams = Upstreams::new(&told, &plan.limits, shared, list_calls);
        let (sender, metrics) =
            (Rc::new(UpstreamTransport(upstreams.clone())), shared.metrics.for_pool(&told.name));
        let engine = Engine::new(terms.settings(&told), seed, shared.clock, sender, metrics)?;
        shared.engines.add(&engine);
        let retired = Rc::new(Cell::new(false));
        spawn_local(engine.clone().run_timers(retired.clone()));
        let ready = Rc::new(watch::Sender::new(false));
        let mut discovery = None;
        let mut source = None;
        let pushed = matches!(told.source, Source::Discovery(_)) && !told.settings.must_subscribe;
        if let Source::Discovery(from) = &told.source {
            let (address, seen) = watch::channel(from.address);
            discovery = Some(address);
            if from.known.as_ref().is_some_and(|known| !known.hosts.is_empty()) {
                let ready = ready.clone();
                spawn_local(async move {
                    tokio::time::sleep(READY_KNOWN).await;
                    ready.send_replace(true);
                });
            }
            let must_subscribe = told.settings.must_subscribe;
            let following = WatcherConfig {
                zones: from.zones.clone(),
                kinds: from.kinds.clone(),
                must_subscribe,
                known: from.known.clone(),
                seed,
            };
            let watcher = Watcher::new(engine.clone(), upstreams.clone(), following, seen, ready.clone());
            source = Some(if must_subscribe {
                spawn_local(watcher.obey(calls)).abort_handle()
            } else {
                spawn_local(watcher.follow()).abort_handle()
            });
        }
        let roster = Rc::new(RefCell::new(Roster::new(
            told.settings.backup_zone,
            told.check.clone(),
            told.slow_start,
        )));
        let pool = Rc::new(Pool {
            engine,
            upstreams,
            ready,
            roster,
            discovery,
            retired,
            waits_until: if pushed { shared.clock.now() + FIRST_LIST } else { 0 },
            source: RefCell::new(source),
            checks: RefCell::default(),
            told,
        });
        pool.follow(plan, &pool.told.source);
        if let Some(settings) = &pool.told.check {
            let task = health_check::run(Rc::downgrade(&pool), settings.clone(), seed);
            pool.checks.replace(Some(spawn_local(task).abort_handle()));
        }
        Ok(pool)
    }

    /// Goes on under a new plan, told of what differs and no more. `predecessors`, and what is returned, are as [`Engine::retune`] has
    /// them; where the classes are the same, none is returned and their places stay.
    ///
    /// # Errors
    /// Where no node could act on the settings; all is as it was.
    pub fn update(
        &self,
        plan: &Plan,
        at: usize,
        differences: PoolDifferences,
        quotas: bool,
        terms: &CommonSettings,
        predecessors: impl FnOnce() -> Vec<Option<u16>>,
    ) -> Result<Option<Vec<u16>>, SettingsError> {
        let told = &plan.pools[at];
        let mut places = None;
        if differences.settings {
            places = Some(self.engine.update_settings(terms.settings(told), &predecessors())?);
        } else if quotas {
            self.engine.set_tenant_quotas(terms.quotas.clone())?;
        }
        if differences.timeouts {
            self.upstreams.set_timeouts(told);
        }
        if differences.source {
            match (&self.discovery, &told.source) {
                (Some(discovery), Source::Discovery(from)) => self.move_discovery(discovery, from.address),
                (_, source) => self.follow(plan, source),
            }
        }
        Ok(places)
    }

    fn move_discovery(&self, discovery: &watch::Sender<SocketAddr>, address: SocketAddr) {
        discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
    }

    fn follow(&self, plan: &Plan, source: &Source) {
        match source {
            Source::Static(servers) => self.replace(servers),
            Source::Watch(path) => {
                let look = WatchedFile { path: path.clone(), seen: None };
                let zones = (plan.zone, plan.zones.clone());
                let task = spawn_local(watch_file(self.updater(), look, zones)).abort_handle();
                // The old list stands until the new one is read.
                if let Some(old) = self.source.replace(Some(task)) {
                    old.abort();
                }
            }
            Source::Discovery(_) => {}
        }
    }

    fn updater(&self) -> ServerListUpdater {
        ServerListUpdater {
            engine: self.engine.clone(),
            upstreams: self.upstreams.clone(),
            roster: self.roster.clone(),
            ready: self.ready.clone(),
        }
    }

    fn replace(&self, servers: &[plan::Server]) {
        self.updater().replace(servers);
    }

    /// Waits until the pool has been told who its servers are, or its process is no longer new.
    pub async fn wait_for_servers(&self) {
        if !*self.ready.borrow() {
            let until = self.engine.clock().instant(self.waits_until);
            let _ = tokio::time::timeout_at(until, self.ready.subscribe().wait_for(|ready| *ready)).await;
        }
    }

    /// Who is to be checked, and where.
    pub fn to_check(&self) -> Vec<(String, SocketAddr)> {
        self.roster.borrow().servers_to_check()
    }

    /// Takes a check's result into account.
    pub fn checked(&self, name: &str, passed: bool) {
        let now = self.engine.clock().now();
        let changed = self.roster.borrow_mut().record_check(now, name, passed);
        if let Some(listed) = changed {
            let word = if listed.phase == Phase::Ready { "back" } else { "out" };
            log(format_args!("pool {}: checks take server {name} {word}", self.told.name));
            self.updater().tell(ListKind::Changes, vec![listed]);
        }
    }
}

/// What a list of servers is handed to.
struct ServerListUpdater {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    roster: Rc<RefCell<Roster>>,
    ready: Rc<watch::Sender<bool>>,
}

impl ServerListUpdater {
    fn replace(&self, servers: &[plan::Server]) {
        let listed = self.roster.borrow_mut().replace_list(self.engine.clock().now(), servers);
        self.tell(ListKind::Full, listed);
        self.ready.send_replace(true);
    }

    fn tell(&self, kind: ListKind, listed: Vec<RosterEntry>) {
        let entries = listed.into_iter().map(entry).collect();
        let servers = self.upstreams.apply_list(kind, entries);
        self.engine.on_server_list(kind, servers);
    }
}

fn entry(listed: RosterEntry) -> ListedServer {
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

/// A file and how it was when it was last read.
struct WatchedFile {
    path: PathBuf,
    seen: Option<(SystemTime, u64)>,
}

impl WatchedFile {
    fn changed(&mut self) -> bool {
        let meta = std::fs::metadata(&self.path).ok();
        let now = meta.and_then(|m| Some((m.modified().ok()?, m.len())));
        let changed = now.is_some() && now != self.seen;
        self.seen = now.or(self.seen);
        changed
    }
}

/// Reads the file whenever it changes, for good. One that cannot be used leaves the old list in force.
async fn watch_file(updater: ServerListUpdater, mut look: WatchedFile, (zone, zones): (u8, Vec<String>)) {
    loop {
        if look.changed() {
            match read_list(&look.path, zone, &zones) {
                Ok(servers) => updater.replace(&servers),
                Err(why) => log(format_args!("{}: not taken over: {why}", look.path.display())),
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn read_list(path: &Path, zone: u8, zones: &[String]) -> Result<Vec<plan::Server>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    parse_server_list(&text, zone, zones)
        .map_err(|faults| faults.first().map(ToString::to_string).unwrap_or_default())
}
