//! Runs this node's membership in its fleet: the socket, the clock and the thread around
//! [`corkhollow_fleet::Node`]. With a thread of its own, requests and datagrams do not delay each other.

use corkhollow_engine::{log, LogLimiter};
use corkhollow_fleet::{
    Cause, Config, Event, Nanos, Node, NodeStatus, Outbox, Snapshot, Stats, MAX_DATAGRAM_BYTES,
};
use corkhollow_operate::FleetMetrics;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// Datagrams received before the node's timers are checked.
const MAX_DATAGRAMS_PER_TURN: usize = 512;
/// A changed view is published at most once in this time.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// An unchanged view is published this often.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_millis(250);

/// Burst and lines per second of the log of membership changes. The burst covers the start of a fleet of some
/// hundred nodes.
const CHANGE_LOG_LIMIT: (u32, f64) = (1_000, 5.0);

/// The node's view of its fleet at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// The members.
    pub snapshot: Snapshot,
    /// Whether the node is a member.
    pub status: NodeStatus,
    /// Counters of the protocol.
    pub stats: Stats,
    /// For a successor of this process: the node's incarnation and the addresses of other members.
    pub handover: (u64, Vec<SocketAddr>),
    /// When the view was taken.
    pub at: Instant,
}

impl View {
    /// Whether the node announces that it is being drained.
    pub fn is_draining(&self) -> bool {
        let own_record = self.snapshot.members.iter().find(|member| member.name == self.snapshot.node);
        own_record.is_some_and(|member| member.is_draining)
    }
}

/// The node's fleet handle, set once the node has joined. The successor of a process joins when that process
/// ends.
#[derive(Clone, Default)]
pub struct FleetCell(Arc<OnceLock<Fleet>>);

impl FleetCell {
    /// Sets the handle; has no effect if it is set already.
    pub fn set(&self, fleet: Fleet) {
        let _ = self.0.set(fleet);
    }

    /// The handle, if it is set.
    pub fn get(&self) -> Option<&Fleet> {
        self.0.get()
    }
}

/// A request to the thread of a node.
enum Command {
    Leave(oneshot::Sender<()>),
    HandOver,
    SetDraining(bool),
    Reconfigure(Box<Config>),
}

/// A handle to a running node of a fleet. Cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    view: watch::Receiver<View>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Fleet {
    /// Starts a node on a thread of its own, which runs until the node leaves or hands over.
    ///
    /// # Errors
    /// If the system is out of threads or file descriptors.
    pub fn start(
        config: Config,
        socket: UdpSocket,
        seed: u64,
        metrics: Option<FleetMetrics>,
    ) -> std::io::Result<Self> {
        socket.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let started_at = Instant::now();
        let node = Node::new(config, 0, seed);
        let (published, view) = watch::channel(current_view(&node, 0));
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let node_thread = NodeThread {
            node,
            started_at,
            published,
            published_at: started_at,
            metrics,
            log_limiter: LogLimiter::new(CHANGE_LOG_LIMIT.0, CHANGE_LOG_LIMIT.1),
        };
        let serve = move || runtime.block_on(node_thread.run(socket, command_receiver));
        std::thread::Builder::new().name("fleet".to_owned()).spawn(serve)?;
        Ok(Fleet { view, commands })
    }

    /// The view that was published last.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Waits until a new view is published; false if the node has ended.
    pub async fn changed(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Waits until the node has joined.
    ///
    /// # Errors
    /// The address of another process that uses the node's name.
    pub async fn wait_until_joined(&mut self) -> Result<(), SocketAddr> {
        loop {
            match self.view.borrow_and_update().status {
                NodeStatus::Joining => {}
                NodeStatus::Member | NodeStatus::Left => return Ok(()),
                NodeStatus::Refused { by } => return Err(by),
            }
            if !self.changed().await {
                return Ok(());
            }
        }
    }

    /// Announces that the node leaves; returns once the announcement is sent.
    pub async fn leave(&self) {
        let (acknowledge, acknowledged) = oneshot::channel();
        let _ = self.commands.send(Command::Leave(acknowledge));
        let _ = acknowledged.await;
    }

    /// Ends without an announcement, since a successor takes over the node's name and address.
    pub fn hand_over(&self) {
        let _ = self.commands.send(Command::HandOver);
    }

    /// Announces whether the node is being drained.
    pub fn set_draining(&self, is_draining: bool) {
        let _ = self.commands.send(Command::SetDraining(is_draining));
    }

    /// Applies those settings that can change while the node runs.
    pub fn reconfigure(&self, config: Config) {
        let _ = self.commands.send(Command::Reconfigure(Box::new(config)));
    }
}

fn current_view(node: &Node, now: Nanos) -> View {
    View {
        snapshot: node.snapshot(now),
        status: node.status(),
        stats: node.stats().clone(),
        handover: node.handover_state(),
        at: Instant::now(),
    }
}

/// A node with what its thread needs to run it.
struct NodeThread {
    node: Node,
    started_at: Instant,
    published: watch::Sender<View>,
    published_at: Instant,
    metrics: Option<FleetMetrics>,
    log_limiter: LogLimiter,
}

impl NodeThread {
    fn now(&self) -> Nanos {
        self.started_at.elapsed().as_nanos() as Nanos
    }

    async fn run(mut self, socket: UdpSocket, mut command_receiver: mpsc::UnboundedReceiver<Command>) {
        let socket = match tokio::net::UdpSocket::from_std(socket) {
            Ok(socket) => socket,
            Err(error) => return log(format_args!("fleet: {error}")),
        };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake_at = self.started_at
                + Duration::from_nanos(self.node.next_tick_at().min(self.now() + 3_600_000_000_000));
            let wake_at = wake_at.min(self.published_at + MAX_PUBLISH_INTERVAL);
            let command = tokio::select! {
                biased;
                command = command_receiver.recv() => match command {
                    Some(command) => Some(command),
                    // All handles are dropped.
                    None => return,
                },
                _ = socket.readable() => None,
                () = tokio::time::sleep_until(wake_at.into()) => None,
            };
            // Datagrams are handled before timers: after a pause of the process, they may hold the answers
            // whose timeouts are due.
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                // Other errors report earlier sends, such as ICMP unreachable, and are ignored.
                match socket.try_recv_from(&mut buffer) {
                    Ok((length, _)) => drop(self.node.handle(self.now(), &buffer[..length])),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            let mut leave_acknowledgement = None;
            match command {
                Some(Command::Leave(acknowledge)) => {
                    self.node.leave(self.now());
                    leave_acknowledgement = Some(acknowledge);
                }
                Some(Command::HandOver) => return,
                Some(Command::SetDraining(is_draining)) => self.node.set_draining(self.now(), is_draining),
                Some(Command::Reconfigure(config)) => self.node.reconfigure(self.now(), &config),
                None => {}
            }
            if self.now() >= self.node.next_tick_at() {
                self.node.tick(self.now());
            }
            self.flush_outbox(&socket);
            if let Some(acknowledge) = leave_acknowledgement {
                self.publish(true);
                let _ = acknowledge.send(());
                return;
            }
            self.publish(false);
        }
    }

    /// Sends the datagrams and logs the events that the node has produced.
    fn flush_outbox(&mut self, socket: &tokio::net::UdpSocket) {
        let Outbox { datagrams, events } = self.node.take_outbox();
        for (to, bytes) in datagrams {
            // A datagram that cannot be sent counts as lost; the protocol tolerates losses.
            let _ = socket.try_send_to(&bytes, to);
        }
        events.iter().for_each(|event| log_event(event, &mut self.log_limiter));
        if !events.is_empty() {
            self.publish(true);
        }
    }

    /// Publishes the view and updates the metrics: at once with `force`, otherwise at the publishing intervals.
    fn publish(&mut self, force: bool) {
        let age = self.published_at.elapsed();
        let has_changed = || {
            let published = self.published.borrow();
            published.status != self.node.status()
                || published.snapshot.view_digest != self.node.view_digest()
                || published.snapshot.is_settled != self.node.is_settled(self.now())
        };
        if !force && age < MAX_PUBLISH_INTERVAL && (age < MIN_PUBLISH_INTERVAL || !has_changed()) {
            return;
        }
        let view = current_view(&self.node, self.now());
        if let Some(metrics) = &self.metrics {
            metrics.update(&view.snapshot, &view.stats);
        }
        self.published_at = Instant::now();
        self.published.send_replace(view);
    }
}

/// Logs an event in one line.
fn log_event(event: &Event, log_limiter: &mut LogLimiter) {
    match event {
        Event::StateChanged { name, state, incarnation, cause } => {
            let state = state.name();
            log_limiter.log(format_args!(
                "fleet: {name} is {state} (incarnation {incarnation}): {}",
                CauseText(cause)
            ));
        }
        Event::Refuted { by, state, incarnation } => {
            let state = state.name();
            log_limiter.log(format_args!(
                "fleet: {by} reported this node as {state}; refuted (incarnation {incarnation})"
            ));
        }
        Event::Stalled(late) => {
            let ms = late / 1_000_000;
            log_limiter.log(format_args!(
                "fleet: this process was paused for {ms} ms; pending timeouts are extended"
            ));
        }
        Event::Joined(others) => log_limiter.log(format_args!("fleet: joined {others} other members")),
        Event::Refused(by) => {
            log_limiter
                .log(format_args!("fleet: refused: the process at {by} uses this node's name and is older"));
        }
    }
}

/// Describes a cause in the log.
struct CauseText<'c>(&'c Cause);

impl std::fmt::Display for CauseText<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Cause::HeardDirectly => f.write_str("received a message from it"),
            Cause::ReportedBy(by) => write!(f, "reported by {by}"),
            Cause::ProbeFailed { indirect_probes } => {
                write!(
                    f,
                    "no answer to this node's probe, nor to indirect probes by {indirect_probes} others"
                )
            }
            Cause::NotRefuted(accusers) => {
                write!(f, "suspicion by {} not refuted in time", accusers.join(", "))
            }
            Cause::SelfReported => f.write_str("announced by the node itself"),
        }
    }
}
