//! A node that drives a balancer in tests.
#![allow(dead_code)]

use corkhollow_balance::interface::*;
use corkhollow_balance::Balancer;

pub const MS: Nanos = 1_000_000;

pub fn server(k: u8) -> ServerId {
    ServerId(u64::from(k))
}

pub fn servers(n: u8) -> Vec<Server> {
    (0..n).map(|k| Server::warm(server(k))).collect()
}

pub fn settings(effect: Effect) -> Settings {
    let mut settings = Settings::single_class(400 * MS, 800 * MS);
    settings.classes[0].effect = effect;
    settings.classes[0].window = 600 * MS;
    settings.max_attempts = 4;
    settings
}

pub struct TestNode {
    pub balancer: Balancer,
    pub now: Nanos,
    next: RequestId,
}

impl TestNode {
    pub fn new(settings: Settings, list: Vec<Server>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut test_node = TestNode { balancer, now: 1_000_000 * MS, next: 0 };
        test_node.list(ListKind::Full, list);
        test_node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut sink = Vec::new();
        self.balancer.handle(self.now, event, &mut sink);
        sink
    }

    pub fn list(&mut self, kind: ListKind, servers: Vec<Server>) -> Vec<Action> {
        self.handle(Event::List { kind, servers })
    }

    /// Submits a new request of class 0 that the client abandons after 800 ms.
    pub fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.request_with_hint(None)
    }

    /// Submits a new request of class 0 with a hint of its work.
    pub fn request_with_hint(&mut self, work_hint: Option<Nanos>) -> (RequestId, Vec<Action>) {
        let (id, request) = self.new_request();
        (id, self.handle(Event::Request(Request { work_hint, ..request })))
    }

    /// Creates a request without submitting it.
    pub fn new_request(&mut self) -> (RequestId, Request) {
        self.next += 1;
        (self.next, Request::new(self.next, self.now + 800 * MS))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        server: ServerId,
        attempt: u8,
        took: Nanos,
        ending: Ending,
    ) -> Vec<Action> {
        let finished = ending == Ending::Ok;
        self.handle(Event::Outcome {
            request,
            server,
            attempt,
            finished,
            took,
            ending,
            body_consumed: false,
            report: None,
        })
    }

    /// Submits a request and ends it as answered after `took`, without advancing the clock; returns its
    /// server.
    pub fn serve(&mut self, took: Nanos) -> Option<ServerId> {
        let (id, actions) = self.request();
        let server = sent(&actions, id)?;
        self.outcome(id, server, 0, took, Ending::Ok);
        Some(server)
    }
}

/// The server to which the request was sent, if it was.
pub fn sent(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}
