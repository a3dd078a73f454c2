//! The node's membership in its fleet: joining, following changes of the group, and the hand-over to a
//! successor.

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

/// File descriptors of a fleet member: its UDP socket and the runtime of its thread.
pub const FLEET_DESCRIPTORS: usize = 6;
/// How often a successor retries to bind the fleet's address, and how often it checks whether it is a member.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The node's membership, shared by the tasks of the process.
#[derive(Clone, Default)]
pub struct Membership {
    /// Empty until the node has joined.
    pub fleet: FleetCell,
    /// The group position that the pools use; none without a fleet.
    pub group: Rc<Cell<Option<GroupPosition>>>,
}

/// Builds the configuration of the fleet member from a plan.
pub fn member_config(plan: &Plan, settings: &plan::Fleet, address: SocketAddr) -> Result<Config, StartError> {
    let key_error =
        |path: &std::path::Path, reason: String| StartError::FleetKey { path: path.to_owned(), reason };
    let key = settings.key_file.as_ref().map(|path| {
        let text = std::fs::read_to_string(path).map_err(|error| key_error(path, error.to_string()))?;
        plan::Fleet::parse_key(&text).map_err(|reason| key_error(path, reason))
    });
    Ok(Config {
        fleet: settings.name.clone(),
        name: settings.node.clone(),
        zone: plan.zones.get(usize::from(plan.zone)).cloned().unwrap_or_default(),
        address,
        seeds: settings.seeds.clone(),
        key: key.transpose()?,
        timing: Timing {
            probe_interval: settings.probe_every,
            probe_timeout: settings.probe_timeout,
            suspicion_timeout: settings.suspect_for,
        },
        max_datagram_bytes: settings.max_datagram_bytes,
        extensions: Extensions::default(),
        initial_incarnation: 1,
    })
}

/// The address at which other members reach this node.
fn advertised_address(settings: &plan::Fleet, socket: &UdpSocket) -> std::io::Result<SocketAddr> {
    Ok(settings.advertise.unwrap_or(socket.local_addr()?))
}

impl Membership {
    /// Joins the plan's fleet, if it has one, and sets the group position before any request is served.
    pub async fn join(&self, plan: &Plan, metrics: &Metrics, seed: u64) -> Result<(), StartError> {
        let Some(settings) = &plan.fleet else { return Ok(()) };
        let bind_error = |error| StartError::Listen { address: settings.listen, error };
        let socket = UdpSocket::bind(settings.listen).map_err(bind_error)?;
        let config =
            member_config(plan, settings, advertised_address(settings, &socket).map_err(bind_error)?)?;
        let mut fleet = start_member(config, socket, seed, metrics)?;
        let name = settings.node.clone();
        fleet.wait_until_joined().await.map_err(|holder| StartError::NameTaken { name, holder })?;
        let group = fleet.view().snapshot.group_position;
        self.group.set(Some(group));
        self.fleet.set(fleet);
        Ok(())
    }

    /// Joins the fleet under the predecessor's name and address once the predecessor has released them. Until
    /// then the pools use the predecessor's group position.
    pub async fn join_as_successor(
        self,
        plan: Arc<Plan>,
        handover: Option<FleetHandover>,
        metrics: Metrics,
        seed: u64,
    ) {
        let Some(settings) = &plan.fleet else { return };
        let socket = loop {
            match UdpSocket::bind(settings.listen) {
                Ok(socket) => break socket,
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        let joined = async {
            let address = advertised_address(settings, &socket)?;
            let mut config = member_config(&plan, settings, address)?;
            if let Some(handover) = handover {
                config.initial_incarnation = handover.incarnation + 1;
                config.seeds.extend(handover.members);
            }
            let mut fleet = start_member(config, socket, seed, &metrics)?;
            let name = settings.node.clone();
            fleet.wait_until_joined().await.map_err(|holder| StartError::NameTaken { name, holder })?;
            Ok::<_, StartError>(fleet)
        };
        match joined.await {
            Ok(fleet) => self.fleet.set(fleet),
            Err(error) => log(format_args!("fleet: cannot join: {error}")),
        }
    }

    /// Updates the pools' group position as the fleet changes, until the fleet member ends.
    pub async fn follow_group(self, current_plan: Rc<CurrentPlan>) {
        let mut limiter = LogLimiter::new(100, 1.0);
        let mut fleet = loop {
            match self.fleet.get() {
                Some(fleet) => break fleet.clone(),
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        loop {
            let group = fleet.view().snapshot.group_position;
            if self.group.get() != Some(group) {
                self.set_group(&current_plan, group, &mut limiter).await;
            }
            if !fleet.changed().await {
                return;
            }
        }
    }

    /// Sets the group position of all pools of the current plan.
    pub async fn set_group(
        &self,
        current_plan: &CurrentPlan,
        group: GroupPosition,
        limiter: &mut LogLimiter,
    ) {
        self.group.set(Some(group));
        match current_plan.get().set_group_position(group).await {
            Ok(()) => {
                limiter.log(format_args!("fleet: this node is number {} of {}", group.ordinal, group.size))
            }
            Err(error) => limiter.log(format_args!("fleet: {error}")),
        }
    }

    /// What a successor needs to continue this membership; none before the node has joined.
    pub fn handover(&self) -> Option<FleetHandover> {
        let view = self.fleet.get()?.view();
        let GroupPosition { ordinal, size } = view.snapshot.group_position;
        let (incarnation, members) = view.handover;
        Some(FleetHandover { ordinal, size, incarnation, members })
    }
}

/// The fleet member's new configuration after a reload.
///
/// # Errors
/// If a key has changed that requires a restart, or the fleet key cannot be read.
pub fn reloaded_config(old: &Plan, new: &Plan) -> Result<Option<Config>, StartError> {
    match (&old.fleet, &new.fleet) {
        (None, None) => Ok(None),
        (Some(old_settings), Some(settings)) => match old_settings.changed_fixed_key(settings) {
            Some(key) => Err(StartError::RequiresRestart { key: format!("fleet.{key}") }),
            // A running member keeps its address, so this one is not used.
            None => member_config(new, settings, settings.advertise.unwrap_or(settings.listen)).map(Some),
        },
        _ => Err(StartError::RequiresRestart { key: "fleet".to_owned() }),
    }
}

fn start_member(
    config: Config,
    socket: UdpSocket,
    seed: u64,
    metrics: &Metrics,
) -> Result<Fleet, StartError> {
    let local_address = socket.local_addr()?;
    log(format_args!("fleet {}: {} receives datagrams at {local_address}", config.fleet, config.name));
    // Another process of the same node must draw other random numbers.
    let seed = seed ^ u64::from(std::process::id()).rotate_left(32);
    Ok(Fleet::start(config, socket, seed, Some(metrics.for_fleet()?))?)
}
