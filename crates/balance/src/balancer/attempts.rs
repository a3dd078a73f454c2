//! Attempts: sending, ending, retries, hedges and cancellation.

use super::slow_start::MAX_CATCH_UP_WINDOWS;
use super::{Attempt, Balancer, Pending, Sink};
use crate::interface::{Action, Effect, Ending, Group, Nanos, Refusal, RequestId};

impl Balancer {
    pub(super) fn send_attempt(&mut self, now: Nanos, id: RequestId, index: usize, sink: Sink) {
        let credit = self.score_unit(now);
        self.recent_sends.add(now, self.settings.ramp as f64, 1.0);
        self.first_send_at = self.first_send_at.min(now);
        let weight = self.pending.get(&id).map_or(1.0, |pending| self.request_weight(&pending.request));
        let pacing_start = self
            .next_send_due(now, index)
            .max(now as f64 - MAX_CATCH_UP_WINDOWS * self.settings.overload_window as f64);
        (self.servers[index].pacing_start, self.servers[index].pacing_jitter) = (pacing_start, 1.0);
        self.add_score(index, credit);
        let server_was_idle = self.servers[index].outstanding == 0;
        let is_outstanding = self.pending.get(&id).is_some_and(|pending| !pending.request.has_streaming_body);
        if is_outstanding {
            self.begin_work(now, index, weight);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            let attempt = Attempt {
                server: index,
                sent_at: now,
                credit,
                weight,
                is_open: true,
                is_outstanding,
                server_was_idle,
                took: 0,
            };
            pending.attempts.push(attempt);
            sink.push(Action::Send { request: id, server: self.servers[index].entry.id, timeout: 0 });
        }
    }

    /// Counts an attempt as outstanding once the server has the whole request: before that the server cannot
    /// answer, and its silence does not count against it.
    fn begin_work(&mut self, now: Nanos, index: usize, weight: f64) {
        let state = &mut self.servers[index];
        if state.outstanding == 0 {
            state.silent_since = now;
        }
        state.outstanding += 1;
        state.outstanding_weight += weight;
        state.weight_since_report += weight;
    }

    pub(super) fn body_written(&mut self, now: Nanos, id: RequestId, attempt: u8) {
        let attempt =
            self.pending.get_mut(&id).and_then(|pending| pending.attempts.get_mut(usize::from(attempt)));
        if let Some(attempt) = attempt.filter(|attempt| attempt.is_open && !attempt.is_outstanding) {
            attempt.is_outstanding = true;
            let (index, weight) = (attempt.server, attempt.weight);
            self.begin_work(now, index, weight);
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u8),
        finished: bool,
        took: Nanos,
        (ending, body_consumed): (Ending, bool),
        sink: Sink,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(usize::from(attempt)).filter(|attempt| attempt.is_open)
        else {
            return;
        };
        (attempt.is_open, attempt.took) = (false, took);
        let (attempt, request) = (*attempt, pending.request);
        let window = self.settings.classes[usize::from(request.class)].window;
        if !ending.never_ran() && pending.first_run.is_none() {
            pending.first_run = Some((self.servers[attempt.server].entry, attempt.sent_at + window));
        }
        if attempt.is_outstanding {
            self.end_work(attempt.server, attempt.weight);
        }
        // The end of an attempt at an earlier process says nothing of the server's present one.
        if attempt.sent_at >= self.servers[attempt.server].restart_listed_at {
            self.record_ending(now, attempt, &request, ending, sink);
        }
        match self.pending.get(&id) {
            Some(pending) if finished || pending.closed => self.close(id, sink),
            Some(pending) if pending.open_attempts() > 0 && now < pending.request.give_up_at => {}
            _ => self.retry_or_end(now, id, (ending, body_consumed), sink),
        }
    }

    /// Retries a request whose attempts have all ended without an answer, or ends it.
    pub(super) fn retry_or_end(
        &mut self,
        now: Nanos,
        id: RequestId,
        (ending, body_consumed): (Ending, bool),
        sink: Sink,
    ) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let class = usize::from(pending.request.class);
        let effect = self.settings.classes[class].effect;
        let may_have_run = pending.first_run.is_some();
        let never_ran = ending.never_ran();
        // A malformed request must not go from server to server and count as a failure of each.
        let is_rejected = ending == Ending::Rejected;
        let may_retry =
            !is_rejected && !body_consumed && self.may_retry(now, &pending, never_ran, may_have_run);
        let next = if may_retry { self.choose_server(now, &pending) } else { None };
        let all_drop_repeats = self.settings.classes[class].group == Group::All;
        let is_repeatable =
            !may_have_run || effect == Effect::Safe || (effect == Effect::Keyed && all_drop_repeats);
        if next.is_none() {
            pending.closed = true;
            if is_repeatable && !is_rejected && now < pending.request.give_up_at {
                self.refuse(id, self.class_states[class].typical_nanos, Refusal::AttemptsFailed, sink);
            } else {
                sink.push(Action::Fail { request: id });
            }
        }
        self.pending.insert(id, pending);
        let Some((index, _)) = next else { return self.close(id, sink) };
        self.retry_budget -= if never_ran { 0.0 } else { 1.0 };
        self.send_attempt(now, id, index, sink)
    }

    /// Whether a request whose last attempt ended, or may end now, may have another one.
    fn may_retry(&self, now: Nanos, pending: &Pending, never_ran: bool, may_have_run: bool) -> bool {
        let class = usize::from(pending.request.class);
        !pending.response_started
            && pending.attempts.len() < pending.max_attempts as usize
            && (!may_have_run || self.settings.classes[class].effect != Effect::Unsafe)
            && (never_ran || self.retry_budget >= 1.0)
            && now + (self.class_states[class].typical_nanos / 2.0) as Nanos <= pending.request.give_up_at
    }

    /// Whether another attempt of this request goes on, or would follow at once, if one that may have run
    /// ended now.
    pub fn would_retry(&mut self, now: Nanos, id: RequestId) -> bool {
        let Some(pending) = self.pending.remove(&id) else { return false };
        let has_another = pending.open_attempts() > 1;
        let would_retry = has_another
            || (self.may_retry(now, &pending, false, true) && self.choose_server(now, &pending).is_some());
        self.pending.insert(id, pending);
        would_retry
    }

    /// Sends a second attempt of a request that is slow to be answered, if the retry budget allows it.
    pub(super) fn hedge(&mut self, now: Nanos, id: RequestId, sink: Sink) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let has_one_open = !pending.closed
            && pending.open_attempts() == 1
            && pending.attempts.len() < pending.max_attempts as usize;
        let class = usize::from(pending.request.class);
        let left = (pending.arrived_at + self.settings.classes[class].aim).saturating_sub(now) as f64;
        let may_hedge = has_one_open && self.retry_budget >= 1.0 && now < pending.request.give_up_at;
        let next = may_hedge
            .then(|| self.choose_server(now, &pending))
            .flatten()
            .filter(|choice| self.expected_latency(class, choice.1) < left);
        self.pending.insert(id, pending);
        let Some((index, _)) = next else { return };
        self.retry_budget -= 1.0;
        self.send_attempt(now, id, index, sink);
    }

    /// Closes a request: cancels its open attempts, and forgets it once all of them have ended.
    pub(super) fn close(&mut self, id: RequestId, sink: Sink) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !pending.closed && self.settings.cancel && !pending.response_started {
            for (number, _) in pending.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_open) {
                sink.push(Action::Cancel { request: id, attempt: number as u8 });
            }
        }
        pending.closed = true;
        if pending.open_attempts() == 0 {
            self.pending.remove(&id);
        }
    }
}
