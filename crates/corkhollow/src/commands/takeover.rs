//! What a process does for its successor, and what it takes over from its predecessor, on a listening socket
//! that they share.

use super::membership::Membership;
use crate::request_id_log::RequestIdLog;
use crate::succession::SuccessionLocks;
use corkhollow_engine::{log, Clock, SharedIds};
use corkhollow_operate::{FleetHandover, Handover, SharedLifecycle, Succession};
use corkhollow_plan::limits::Budget;
use corkhollow_proxy::active_plan::{ActivePlan, CurrentPlan};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// How often the process checks whether there is a predecessor or successor to share the limits with.
const SUCCESSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a process with a successor rewrites the handover.
const HANDOVER_WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a successor that is ready waits for the handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a successor checks for the handover, and whether it may accept connections.
pub const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Exchanges the ids of requests with the other process while both accept requests: an id that one of them has
/// claimed is rejected by the other.
#[derive(Default)]
pub struct RequestIdSharing {
    is_active: Cell<bool>,
}

impl RequestIdSharing {
    /// Joins the exchange that the predecessor has started.
    fn join(&self, locks: &SuccessionLocks, plan: &ActivePlan) {
        self.is_active.set(true);
        Self::log_error(set_shared_ids(plan, || RequestIdLog::open(&locks.request_ids_path)));
    }

    /// Starts an exchange if there is a successor, and ends it once there is no other process.
    fn update(&self, locks: &SuccessionLocks, succession: Succession, plan: &ActivePlan) {
        if succession.has_successor && !self.is_active.replace(true) {
            Self::log_error(self.start(locks, plan));
        } else if !succession.has_successor && !succession.has_predecessor && self.is_active.replace(false) {
            plan.pools.iter().for_each(|pool| pool.engine.set_shared_ids(None));
        }
    }

    fn start(&self, locks: &SuccessionLocks, plan: &ActivePlan) -> io::Result<()> {
        let pools = plan.pools.iter();
        let claimed: Vec<_> = pools.flat_map(|pool| pool.engine.rejected_request_ids()).collect();
        let mut created = Some(RequestIdLog::create(&locks.request_ids_path, &claimed)?);
        set_shared_ids(plan, || {
            created.take().map_or_else(|| RequestIdLog::open(&locks.request_ids_path), Ok)
        })
    }

    fn log_error(result: io::Result<()>) {
        if let Err(error) = result {
            log(format_args!("cannot exchange request ids with the other process: {error}"));
        }
    }
}

/// Gives each pool of the plan a log that `open` opens.
fn set_shared_ids(plan: &ActivePlan, mut open: impl FnMut() -> io::Result<RequestIdLog>) -> io::Result<()> {
    for pool in &plan.pools {
        let shared_ids: Box<dyn SharedIds> = Box::new(open()?);
        pool.engine.set_shared_ids(Some(shared_ids));
    }
    Ok(())
}

/// Adjusts the budget to this process's share of the node's limits.
pub async fn update_limit_share(locks: Rc<SuccessionLocks>, budget: Rc<Budget>) {
    loop {
        budget.set_limit_share(locks.succession().limit_share());
        tokio::time::sleep(SUCCESSION_CHECK_INTERVAL).await;
    }
}

/// Writes the handover periodically while there is a successor, and exchanges request ids with the other
/// process.
pub async fn write_handovers(
    locks: Rc<SuccessionLocks>,
    current_plan: Rc<CurrentPlan>,
    lifecycle: SharedLifecycle,
    membership: Membership,
    request_id_sharing: RequestIdSharing,
) {
    let mut last_failed = false;
    loop {
        let succession = locks.succession();
        // The successor reads the ids when it has the handover.
        request_id_sharing.update(&locks, succession, &current_plan.get());
        let has_successor = succession.has_successor;
        if has_successor {
            let is_draining = lifecycle.lock().is_draining();
            let handover =
                Handover { fleet: membership.handover(), ..current_plan.get().handover(is_draining) };
            let written = locks.write_handover(&handover);
            if let (Err(error), false) = (&written, last_failed) {
                log(format_args!("cannot write the handover: {error}; the successor starts cold"));
            }
            last_failed = written.is_err();
        }
        tokio::time::sleep(if has_successor { HANDOVER_WRITE_INTERVAL } else { SUCCESSION_CHECK_INTERVAL })
            .await;
    }
}

/// Waits for this process's turn if there is a predecessor, and then until the pools know their servers and
/// the handover has been read, or [`HANDOVER_TIMEOUT`] has passed. Returns the fleet part of the handover.
pub async fn take_over(
    locks: &SuccessionLocks,
    first_plan: &ActivePlan,
    clock: Clock,
    lifecycle: &SharedLifecycle,
    request_id_sharing: &RequestIdSharing,
) -> Option<FleetHandover> {
    if !locks.succession().has_predecessor {
        return None;
    }
    while locks.succession().is_queued {
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
    locks.start_turn();
    loop {
        let handover = locks.read_handover(clock.now()).filter(|_| first_plan.is_ready());
        if handover.as_ref().is_some_and(|handover| handover.drains) {
            log(format_args!("starting drained, as the predecessor is draining; POST /-/resume ends that"));
            lifecycle.lock().drain(clock.now());
        }
        if let Some(handover) = handover {
            request_id_sharing.join(locks, first_plan);
            match first_plan.import_knowledge(&handover) {
                0 => log(format_args!("starting cold: none of the predecessor's knowledge applies here")),
                known => log(format_args!("starting with the predecessor's knowledge of {known} servers")),
            }
            return handover.fleet;
        }
        // If the predecessor has exited, this process must serve its clients, ready or not.
        if !locks.succession().has_predecessor
            || (first_plan.is_ready() && locks.turn_age() > HANDOVER_TIMEOUT)
        {
            log(format_args!("starting cold: no handover from the predecessor"));
            return None;
        }
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
}
