//! Attempts: sent, ended, sent again, copied, called off.

use super::slow_start::EARLY;
use super::{Attempt, Balancer, Sink};
use crate::interface::{Action, Effect, Ending, Group, Nanos, Refusal, RequestId};

impl Balancer {
    pub(super) fn send(&mut self, now: Nanos, id: RequestId, i: usize, sink: Sink) {
        let credit = self.increment(now);
        self.sent.add(now, self.settings.ramp as f64, 1.0);
        self.begun = self.begun.min(now);
        let weight = self.pending.get(&id).map_or(1.0, |p| self.weight(&p.request));
        let from = self.due(now, i).max(now as f64 - EARLY * self.settings.overload_window as f64);
        (self.nodes[i].paced_from, self.nodes[i].jitter) = (from, 1.0);
        self.credit(i, credit);
        let alone = self.nodes[i].out == 0;
        let working = self.pending.get(&id).is_some_and(|p| !p.request.has_streaming_body);
        if working {
            self.works(now, i, weight);
        }
        if let Some(p) = self.pending.get_mut(&id) {
            let attempt = Attempt { node: i, at: now, credit, weight, open: true, working, alone, took: 0 };
            p.attempts.push(attempt);
            sink.push(Action::Send { request: id, server: self.nodes[i].server.id, timeout: 0 });
        }
    }

    /// A server begins with a request's last byte: what is still coming is no work, its silence says nothing.
    fn works(&mut self, now: Nanos, i: usize, weight: f64) {
        let node = &mut self.nodes[i];
        if node.out == 0 {
            node.silent_since = now;
        }
        node.out += 1;
        node.load += weight;
        node.sent_since += weight;
    }

    pub(super) fn written(&mut self, now: Nanos, id: RequestId, attempt: u8) {
        let attempt = self.pending.get_mut(&id).and_then(|p| p.attempts.get_mut(usize::from(attempt)));
        if let Some(a) = attempt.filter(|a| a.open && !a.working) {
            a.working = true;
            let (i, weight) = (a.node, a.weight);
            self.works(now, i, weight);
        }
    }

    pub(super) fn outcome(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u8),
        finished: bool,
        took: Nanos,
        (ending, body_consumed): (Ending, bool),
        sink: Sink,
    ) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.open) else { return };
        (a.open, a.took) = (false, took);
        let (a, request) = (*a, p.request);
        let window = self.settings.classes[usize::from(request.class)].window;
        if !ending.never_ran() && p.fence.is_none() {
            p.fence = Some((self.nodes[a.node].server, a.at + window));
        }
        if a.working {
            self.rests(a.node, a.weight);
        }
        self.judge(now, a, &request, ending, sink);
        match self.pending.get(&id) {
            Some(p) if finished || p.answered => self.close(id, sink),
            Some(p) if p.open() > 0 && now < p.request.give_up_at => {}
            _ => self.again(now, id, (ending, body_consumed), sink),
        }
    }

    /// Sends a request again whose attempts have all ended without an answer, or ends it.
    pub(super) fn again(
        &mut self,
        now: Nanos,
        id: RequestId,
        (ending, body_consumed): (Ending, bool),
        sink: Sink,
    ) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let class = usize::from(p.request.class);
        let effect = self.settings.classes[class].effect;
        let may_have_run = p.fence.is_some();
        let free = ending.never_ran();
        // One bad request must not be carried from server to server and count against each.
        let rejected = ending == Ending::Rejected;
        let allowed = !p.streaming
            && !rejected
            && !body_consumed
            && p.attempts.len() < p.most as usize
            && (!may_have_run || effect != Effect::Unsafe)
            && (free || self.budget >= 1.0)
            && now + (self.places[class].typical_nanos / 2.0) as Nanos <= p.request.give_up_at;
        let next = if allowed { self.choose(now, &p) } else { None };
        let all = self.settings.classes[class].group == Group::All;
        let harmless = !may_have_run || effect == Effect::Safe || (effect == Effect::Keyed && all);
        if next.is_none() {
            p.answered = true;
            if harmless && !rejected && now < p.request.give_up_at {
                self.refuse(id, self.places[class].typical_nanos, Refusal::AttemptsFailed, sink);
            } else {
                sink.push(Action::Fail { request: id });
            }
        }
        self.pending.insert(id, p);
        let Some((i, _)) = next else { return self.close(id, sink) };
        self.budget -= if free { 0.0 } else { 1.0 };
        self.send(now, id, i, sink)
    }

    /// A second copy for a request that is slow to come back, within the budget.
    pub(super) fn hedge(&mut self, now: Nanos, id: RequestId, sink: Sink) {
        let Some(p) = self.pending.remove(&id) else { return };
        let fits = !p.answered && p.open() == 1 && p.attempts.len() < p.most as usize;
        let class = usize::from(p.request.class);
        let left = (p.arrived + self.settings.classes[class].aim).saturating_sub(now) as f64;
        let may = fits && self.budget >= 1.0 && now < p.request.give_up_at;
        let next = may.then(|| self.choose(now, &p)).flatten().filter(|c| self.expected(class, c.1) < left);
        self.pending.insert(id, p);
        let Some((i, _)) = next else { return };
        self.budget -= 1.0;
        self.send(now, id, i, sink);
    }

    /// Nothing more is owed: calls off what is still out and forgets the request once all is in.
    pub(super) fn close(&mut self, id: RequestId, sink: Sink) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        if !p.answered && self.settings.cancel && !p.streaming {
            for (k, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.open) {
                sink.push(Action::Cancel { request: id, attempt: k as u8 });
            }
        }
        p.answered = true;
        if p.open() == 0 {
            self.pending.remove(&id);
        }
    }
}
