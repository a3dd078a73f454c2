//! The node's place in its fleet: the socket, the clock and the thread around [`corkhollow_fleet::Node`]. Neither the load of
//! requests nor a flood of datagrams holds the other up.

use corkhollow_engine::{log, LogLimiter};
use corkhollow_fleet::{
    Cause, Config, Event, Nanos, Node, NodeStatus, Outbox, Snapshot, Stats, MAX_DATAGRAM_BYTES,
};
use corkhollow_operate::FleetMetrics;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// Datagrams that are taken in before the node looks to its own timers.
const AT_ONCE: usize = 512;
/// How often the view is shown anew, at the least and at the most.
const SHOW_WITHIN: Duration = Duration::from_millis(20);
const SHOW_EVERY: Duration = Duration::from_millis(250);

/// Lines on changes at once, as many as a fleet of some hundreds makes when it meets, and then a second.
const LINES: (u32, f64) = (1_000, 5.0);

/// The view as it was at some moment.
#[derive(Clone, Debug)]
pub struct View {
    /// The view.
    pub snapshot: Snapshot,
    /// Where the node stands.
    pub standing: NodeStatus,
    /// What it has done and seen.
    pub stats: Stats,
    /// For a process that takes its place: its incarnation, and where others are reached.
    pub handover: (u64, Vec<SocketAddr>),
    /// When that was.
    pub at: Instant,
}

impl View {
    /// Whether the others are told that the node is being emptied.
    pub fn is_draining(&self) -> bool {
        let own = self.snapshot.members.iter().find(|member| member.name == self.snapshot.node);
        own.is_some_and(|member| member.is_draining)
    }
}

/// Where the node's place in its fleet is found once it has one: a process that takes another's place gets it when that one ends.
#[derive(Clone, Default)]
pub struct FleetCell(Arc<OnceLock<Fleet>>);

impl FleetCell {
    /// It has one from here on.
    pub fn set(&self, fleet: Fleet) {
        let _ = self.0.set(fleet);
    }

    /// The node, if it runs.
    pub fn get(&self) -> Option<&Fleet> {
        self.0.get()
    }
}

enum Command {
    Leave(oneshot::Sender<()>),
    HandOver,
    Drain(bool),
    Reconfigure(Box<Config>),
}

/// A node that runs. Cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    view: watch::Receiver<View>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Fleet {
    /// Runs a node on a thread of its own, for good or until it leaves.
    ///
    /// # Errors
    /// Where the system has no thread or no descriptor left.
    pub fn start(
        config: Config,
        socket: UdpSocket,
        seed: u64,
        metrics: Option<FleetMetrics>,
    ) -> std::io::Result<Self> {
        socket.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let start = Instant::now();
        let node = Node::new(config, 0, seed);
        let (shown, view) = watch::channel(show(&node, 0));
        let (commands, told) = mpsc::unbounded_channel();
        let member =
            Member { node, start, shown, shown_at: start, metrics, pace: LogLimiter::new(LINES.0, LINES.1) };
        let serve = move || runtime.block_on(member.run(socket, told));
        std::thread::Builder::new().name("fleet".to_owned()).spawn(serve)?;
        Ok(Fleet { view, commands })
    }

    /// The view as it was last shown.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Waits until the view is shown anew; false where the node has ended.
    pub async fn changed(&mut self) -> bool {
        self.view.changed().await.is_ok()
    }

    /// Waits until it knows whether its name is free.
    ///
    /// # Errors
    /// Where another process has it: where that one is reached.
    pub async fn wait_until_joined(&mut self) -> Result<(), SocketAddr> {
        loop {
            match self.view.borrow_and_update().standing {
                NodeStatus::Joining => {}
                NodeStatus::Member | NodeStatus::Left => return Ok(()),
                NodeStatus::Refused { by } => return Err(by),
            }
            if !self.changed().await {
                return Ok(());
            }
        }
    }

    /// Says that it leaves; returns once that is said.
    pub async fn leave(&self) {
        let (done, said) = oneshot::channel();
        let _ = self.commands.send(Command::Leave(done));
        let _ = said.await;
    }

    /// Ends without a word: another process takes its place under its name and at its address.
    pub fn hand_over(&self) {
        let _ = self.commands.send(Command::HandOver);
    }

    /// The operator empties the node, or no longer.
    pub fn set_draining(&self, drains: bool) {
        let _ = self.commands.send(Command::Drain(drains));
    }

    /// Goes by what of this can change.
    pub fn reconfigure(&self, config: Config) {
        let _ = self.commands.send(Command::Reconfigure(Box::new(config)));
    }
}

fn show(node: &Node, now: Nanos) -> View {
    View {
        snapshot: node.snapshot(now),
        standing: node.status(),
        stats: node.stats().clone(),
        handover: node.handover_state(),
        at: Instant::now(),
    }
}

struct Member {
    node: Node,
    start: Instant,
    shown: watch::Sender<View>,
    shown_at: Instant,
    metrics: Option<FleetMetrics>,
    pace: LogLimiter,
}

impl Member {
    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    async fn run(mut self, socket: UdpSocket, mut told: mpsc::UnboundedReceiver<Command>) {
        let socket = match tokio::net::UdpSocket::from_std(socket) {
            Ok(socket) => socket,
            Err(error) => return log(format_args!("fleet: {error}")),
        };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.start
                + Duration::from_nanos(self.node.next_tick_at().min(self.now() + 3_600_000_000_000));
            let due = due.min(self.shown_at + SHOW_EVERY);
            let command = tokio::select! {
                biased;
                command = told.recv() => match command {
                    Some(command) => Some(command),
                    // Nobody holds it any longer.
                    None => return,
                },
                _ = socket.readable() => None,
                () = tokio::time::sleep_until(due.into()) => None,
            };
            // What has come counts before any timer: the process may have stood still.
            for _ in 0..AT_ONCE {
                // What a network says of an address is no datagram.
                match socket.try_recv_from(&mut buffer) {
                    Ok((length, _)) => drop(self.node.handle(self.now(), &buffer[..length])),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            let mut left = None;
            match command {
                Some(Command::Leave(done)) => {
                    self.node.leave(self.now());
                    left = Some(done);
                }
                Some(Command::HandOver) => return,
                Some(Command::Drain(drains)) => self.node.set_draining(self.now(), drains),
                Some(Command::Reconfigure(config)) => self.node.reconfigure(self.now(), &config),
                None => {}
            }
            if self.now() >= self.node.next_tick_at() {
                self.node.tick(self.now());
            }
            self.carry_out(&socket);
            if let Some(done) = left {
                self.show(true);
                let _ = done.send(());
                return;
            }
            self.show(false);
        }
    }

    fn carry_out(&mut self, socket: &tokio::net::UdpSocket) {
        let Outbox { datagrams, events } = self.node.take_outbox();
        for (to, bytes) in datagrams {
            // One that the system does not take is lost, as others are on their way.
            let _ = socket.try_send_to(&bytes, to);
        }
        events.iter().for_each(|event| tell(event, &mut self.pace));
        if !events.is_empty() {
            self.show(true);
        }
    }

    fn show(&mut self, now: bool) {
        let since = self.shown_at.elapsed();
        let differs = || {
            let last = self.shown.borrow();
            last.standing != self.node.status()
                || last.snapshot.view_digest != self.node.view_digest()
                || last.snapshot.is_settled != self.node.is_settled(self.now())
        };
        if !now && since < SHOW_EVERY && (since < SHOW_WITHIN || !differs()) {
            return;
        }
        let view = show(&self.node, self.now());
        if let Some(metrics) = &self.metrics {
            metrics.update(&view.snapshot, &view.stats);
        }
        self.shown_at = Instant::now();
        self.shown.send_replace(view);
    }
}

/// One line a change, with its cause.
fn tell(event: &Event, pace: &mut LogLimiter) {
    match event {
        Event::StateChanged { name, state, incarnation, cause } => {
            let state = state.name();
            pace.log(format_args!("fleet: {name} is {state} (incarnation {incarnation}): {}", Words(cause)));
        }
        Event::Refuted { by, state, incarnation } => {
            let state = state.name();
            pace.log(format_args!(
                "fleet: {by} held this node for {state}; it objects (incarnation {incarnation})"
            ));
        }
        Event::Stalled(late) => {
            let ms = late / 1_000_000;
            pace.log(format_args!(
                "fleet: this process stood still for {ms} ms; what it waited for is put off"
            ));
        }
        Event::Joined(others) => pace.log(format_args!("fleet: member beside {others} others")),
        Event::Refused(by) => {
            pace.log(format_args!(
                "fleet: the process at {by} has this node's name and has been there for longer"
            ));
        }
    }
}

struct Words<'c>(&'c Cause);

impl std::fmt::Display for Words<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Cause::HeardDirectly => f.write_str("heard from it"),
            Cause::ReportedBy(by) => write!(f, "told by {by}"),
            Cause::ProbeFailed { indirect_probes } => {
                write!(f, "it answered neither this node's probe nor {indirect_probes} others")
            }
            Cause::NotRefuted(accusers) => write!(f, "it did not object to {}", accusers.join(", ")),
            Cause::SelfReported => f.write_str("it said so"),
        }
    }
}
