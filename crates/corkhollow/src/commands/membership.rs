//! The running program's place in its fleet: joining, following the view, and handing the place on.

use super::run::StartError;
use corkhollow_engine::{log, LogLimiter};
use corkhollow_fleet::{Config, Extensions, GroupPosition, Timing};
use corkhollow_operate::{FleetHandover, Metrics};
use corkhollow_plan::plan::{self, Plan};
use corkhollow_proxy::active_plan::CurrentPlan;
use corkhollow_proxy::fleet::{Fleet, FleetCell};
use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Descriptors that the node of a fleet takes: its socket and what its thread waits with.
pub const DESCRIPTORS: usize = 6;
/// How often a process that comes to another's place looks whether that one has let go of the fleet's address.
const LOOK: Duration = Duration::from_millis(20);

/// What the program knows of its place.
#[derive(Clone, Default)]
pub struct Membership {
    /// The node, once it runs.
    pub place: FleetCell,
    /// What the pools go by; none where there is no fleet.
    pub group: Rc<Cell<Option<GroupPosition>>>,
}

/// What the fleet's node is told by a plan.
pub fn config(plan: &Plan, told: &plan::Fleet, address: SocketAddr) -> Result<Config, StartError> {
    let fault = |path: &std::path::Path, why: String| StartError::Key { path: path.to_owned(), why };
    let key = told.key_file.as_ref().map(|path| {
        let text = std::fs::read_to_string(path).map_err(|error| fault(path, error.to_string()))?;
        plan::Fleet::parse_key(&text).map_err(|why| fault(path, why))
    });
    Ok(Config {
        fleet: told.name.clone(),
        name: told.node.clone(),
        zone: plan.zones.get(usize::from(plan.zone)).cloned().unwrap_or_default(),
        address,
        seeds: told.seeds.clone(),
        key: key.transpose()?,
        timing: Timing {
            probe_interval: told.probe_every,
            probe_timeout: told.probe_timeout,
            suspicion_timeout: told.suspect_for,
        },
        max_datagram_bytes: told.max_datagram_bytes,
        extensions: Extensions::default(),
        initial_incarnation: 1,
    })
}

/// Where others reach a node.
fn reached(told: &plan::Fleet, socket: &UdpSocket) -> std::io::Result<SocketAddr> {
    Ok(told.advertise.unwrap_or(socket.local_addr()?))
}

impl Membership {
    /// Joins the fleet that the plan names, and counts by it from the first request on.
    pub async fn join(&self, plan: &Plan, metrics: &Metrics, seed: u64) -> Result<(), StartError> {
        let Some(told) = &plan.fleet else { return Ok(()) };
        let open = |error| StartError::Listen { address: told.listen, error };
        let socket = UdpSocket::bind(told.listen).map_err(open)?;
        let config = config(plan, told, reached(told, &socket).map_err(open)?)?;
        let mut fleet = start(config, socket, seed, metrics)?;
        let name = told.node.clone();
        fleet.wait_until_joined().await.map_err(|by| StartError::Name { name, by })?;
        let group = fleet.view().snapshot.group_position;
        self.group.set(Some(group));
        self.place.set(fleet);
        Ok(())
    }

    /// Takes another process's place in the fleet once that one has let go of it, and counts as that one did until then.
    pub async fn succeed(self, plan: Arc<Plan>, from: Option<FleetHandover>, metrics: Metrics, seed: u64) {
        let Some(told) = &plan.fleet else { return };
        let socket = loop {
            match UdpSocket::bind(told.listen) {
                Ok(socket) => break socket,
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        };
        let joined = async {
            let address = reached(told, &socket)?;
            let mut config = config(&plan, told, address)?;
            if let Some(from) = from {
                config.initial_incarnation = from.incarnation + 1;
                config.seeds.extend(from.members);
            }
            let mut fleet = start(config, socket, seed, &metrics)?;
            let name = told.node.clone();
            fleet.wait_until_joined().await.map_err(|by| StartError::Name { name, by })?;
            Ok::<_, StartError>(fleet)
        };
        match joined.await {
            Ok(fleet) => self.place.set(fleet),
            Err(why) => log(format_args!("fleet: not a member: {why}")),
        }
    }

    /// Lets the pools count by the view as it changes, for good.
    pub async fn follow(self, current: Rc<CurrentPlan>) {
        let mut pace = LogLimiter::new(100, 1.0);
        let mut fleet = loop {
            match self.place.get() {
                Some(fleet) => break fleet.clone(),
                None => tokio::time::sleep(LOOK).await,
            }
        };
        loop {
            let group = fleet.view().snapshot.group_position;
            if self.group.get() != Some(group) {
                self.regroup(&current, group, &mut pace).await;
            }
            if !fleet.changed().await {
                return;
            }
        }
    }

    /// Lets the pools count so.
    pub async fn regroup(&self, current: &CurrentPlan, group: GroupPosition, pace: &mut LogLimiter) {
        self.group.set(Some(group));
        match current.get().set_group_position(group).await {
            Ok(()) => pace.log(format_args!("fleet: counts as number {} of {}", group.ordinal, group.size)),
            Err(why) => pace.log(format_args!("fleet: {why}")),
        }
    }

    /// What a process that takes this one's place goes on with.
    pub fn handover(&self) -> Option<FleetHandover> {
        let view = self.place.get()?.view();
        let GroupPosition { ordinal, size } = view.snapshot.group_position;
        let (incarnation, members) = view.handover;
        Some(FleetHandover { ordinal, size, incarnation, members })
    }
}

/// What a new file says of the fleet, if all of it can be taken over.
pub fn reloaded(old: &Plan, new: &Plan) -> Result<Option<Config>, StartError> {
    match (&old.fleet, &new.fleet) {
        (None, None) => Ok(None),
        (Some(was), Some(told)) => match was.changed_fixed_key(told) {
            Some(key) => Err(StartError::Fixed { key: format!("fleet.{key}") }),
            // Its own address is for good, and not looked at again.
            None => config(new, told, told.advertise.unwrap_or(told.listen)).map(Some),
        },
        _ => Err(StartError::Fixed { key: "fleet".to_owned() }),
    }
}

fn start(config: Config, socket: UdpSocket, seed: u64, metrics: &Metrics) -> Result<Fleet, StartError> {
    let local = socket.local_addr()?;
    log(format_args!("fleet {}: {} hears datagrams at {local}", config.fleet, config.name));
    // Another life of the same node draws other numbers.
    let seed = seed ^ u64::from(std::process::id()).rotate_left(32);
    Ok(Fleet::start(config, socket, seed, Some(metrics.for_fleet()?))?)
}
