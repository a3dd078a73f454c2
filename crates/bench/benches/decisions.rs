//! What it takes to choose a server, by the size of the fleet: the decision module beside the selections of others.
//!
//! All play the same draw: half a request for each server is out, and with each new one an older one ends that the
//! same seed picks. The module is told of each end and of its timers, as in service; what `tower`'s p2c does for an end
//! is counted too. The selections of `pingora-load-balancing` know no load and have nothing to be told.

use corkhollow_balance::interface::{
    Action, Ending, Event, ListKind, Nanos, Request, RequestId, Server, ServerId, Settings,
};
use corkhollow_balance::Balancer;
use pingora_load_balancing::selection::{BackendIter, BackendSelection, Consistent, Random, RoundRobin};
use pingora_load_balancing::LoadBalancer;
use rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::convert::Infallible;
use std::future::{pending, Pending};
use std::task::{Context, Poll, Waker};
use tower::balance::p2c::Balance;
use tower::discover::ServiceList;
use tower::load::{CompleteOnResponse, PendingRequests};
use tower::Service;

const FLEETS: [usize; 4] = [50, 200, 2_000, 20_000];
const SEED: u64 = 17;
/// How long a server takes over a request.
const WORK: Nanos = 50_000_000;

fn main() {
    divan::main();
}

/// What is out; which of it ends next is drawn.
struct Out<T> {
    all: Vec<T>,
    most: usize,
    draw: rand_pcg::Pcg64,
}

impl<T> Out<T> {
    fn new(servers: usize) -> Self {
        Out { all: Vec::new(), most: servers / 2, draw: rand_pcg::Pcg64::seed_from_u64(SEED) }
    }

    fn add(&mut self, one: T) -> Option<T> {
        self.all.push(one);
        let at = self.draw.next_u64() as usize % self.all.len();
        (self.all.len() > self.most).then(|| self.all.swap_remove(at))
    }
}

/// A node in small: the module, its timers, and requests that are out.
struct Node {
    balancer: Balancer,
    now: Nanos,
    step: Nanos,
    next: RequestId,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Nanos, u32)>>,
    out: Out<(RequestId, ServerId, Nanos)>,
    sent: Option<ServerId>,
}

impl Node {
    fn new(servers: usize) -> Self {
        let settings = Settings::single_class(400_000_000, 800_000_000);
        let mut node = Node {
            balancer: Balancer::new(settings, SEED).expect("sound settings"),
            now: 1_000_000_000_000,
            // So that as many are out as each takes of the time.
            step: 2 * WORK / servers as Nanos,
            next: 0,
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            out: Out::new(servers),
            sent: None,
        };
        let servers = (0..servers as u64).map(|k| Server::warm(ServerId(spread(k)))).collect();
        node.feed(Event::List { kind: ListKind::Full, servers });
        node
    }

    fn feed(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { server, .. } => self.sent = Some(server),
                Action::StartTimer { after, token } => self.timers.push(Reverse((self.now + after, token))),
                Action::Refuse { .. } | Action::Fail { .. } => panic!("a sound fleet takes all"),
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn decide(&mut self) -> ServerId {
        self.now += self.step;
        while let Some(&Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= self.now) {
            self.timers.pop();
            self.feed(Event::Timer { token });
        }
        self.next += 1;
        let request = self.next;
        self.feed(Event::Request(Request::new(request, self.now + 800_000_000)));
        let server = self.sent.take().expect("it was sent");
        if let Some((request, server, _)) = self.out.add((request, server, self.now)) {
            // Which one ends is drawn; how long it took is the same for all, so that none passes for slow.
            self.feed(Event::Outcome {
                request,
                server,
                attempt: 0,
                finished: true,
                took: WORK,
                ending: Ending::Ok,
                spent: false,
                report: None,
            });
        }
        server
    }
}

/// Spreads ids over all bits, as names do in service.
fn spread(k: u64) -> u64 {
    let mut x = k.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 29;
    x.wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 5_000)]
fn corkhollow(bencher: divan::Bencher<'_, '_>, servers: usize) {
    let mut node = Node::new(servers);
    (0..servers * 4).for_each(|_| {
        node.decide();
    });
    bencher.bench_local(|| node.decide());
}

/// The whole list once more, with nothing new in it: a reload, or discovery that has come back.
#[divan::bench(args = FLEETS, sample_count = 20)]
fn corkhollow_whole_list(bencher: divan::Bencher<'_, '_>, servers: usize) {
    let mut node = Node::new(servers);
    let list: Vec<_> = (0..servers as u64).map(|k| Server::warm(ServerId(spread(k)))).collect();
    bencher.bench_local(|| node.feed(Event::List { kind: ListKind::Full, servers: list.clone() }));
}

/// A service that is always ready and whose answers come when they are dropped.
struct Ready;

impl Service<()> for Ready {
    type Response = ();
    type Error = Infallible;
    type Future = Pending<Result<(), Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (): ()) -> Self::Future {
        pending()
    }
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 5_000)]
fn tower_p2c(bencher: divan::Bencher<'_, '_>, servers: usize) {
    let services = (0..servers).map(|_| PendingRequests::new(Ready, CompleteOnResponse::default()));
    let mut balance = Balance::new(ServiceList::new::<()>(services));
    let mut out = Out::new(servers);
    let mut context = Context::from_waker(Waker::noop());
    let mut decide = || {
        assert!(matches!(balance.poll_ready(&mut context), Poll::Ready(Ok(()))));
        out.add(balance.call(()))
    };
    (0..servers * 4).for_each(|_| drop(decide()));
    bencher.bench_local(decide);
}

fn pingora<S>(bencher: divan::Bencher<'_, '_>, servers: usize)
where
    S: BackendSelection + 'static,
    S::Iter: BackendIter,
{
    let address = |k: usize| format!("10.{}.{}.{}:80", k >> 16, (k >> 8) & 255, k & 255);
    let balancer = LoadBalancer::<S>::try_from_iter((0..servers).map(address)).expect("addresses");
    let mut draw = rand_pcg::Pcg64::seed_from_u64(SEED);
    bencher.bench_local(|| balancer.select(&draw.next_u64().to_le_bytes(), 8).expect("one is there"));
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 5_000)]
fn pingora_round_robin(bencher: divan::Bencher<'_, '_>, servers: usize) {
    pingora::<RoundRobin>(bencher, servers);
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 5_000)]
fn pingora_random(bencher: divan::Bencher<'_, '_>, servers: usize) {
    pingora::<Random>(bencher, servers);
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 5_000)]
fn pingora_consistent(bencher: divan::Bencher<'_, '_>, servers: usize) {
    pingora::<Consistent>(bencher, servers);
}
