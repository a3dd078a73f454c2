//! What the node has done and has in hand, in the words of the text format of Prometheus (version 0.0.4).

use crate::events::EventLog;
use crate::request_tracker::{ClassMetrics, UnservedReason};
use corkhollow_balance::interface::{Ending, Refusal};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use std::sync::Arc;

/// The label that tells the class of requests.
const CLASS: &str = "service";
/// Rules that a process can see itself break: a request that was taken whole got no answer, or got it too late.
const DROPPED_REQUEST: &str = "dropped-request";
const LATE_ANSWER: &str = "late-answer";
/// The label that tells the pool.
const POOL: &str = "pool";
/// Upper ends of the histogram's parts, in seconds: from a server next door to the longest that clients wait.
const TIMES: [f64; 11] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];
/// How an attempt may end, as the page names it.
const ENDINGS: [(Ending, &str); 9] = [
    (Ending::Ok, "ok"),
    (Ending::Error, "error"),
    (Ending::Rejected, "rejected"),
    (Ending::Full, "full"),
    (Ending::TimedOut, "timed-out"),
    (Ending::ConnectFailed, "connect-failed"),
    (Ending::Reset, "reset"),
    (Ending::Cancelled, "cancelled"),
    (Ending::NotSent, "not-sent"),
];

/// What the decision module proposed or a connection was about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialPoint {
    /// To send an attempt or to give a final answer.
    Decision,
    /// To write an attempt's first byte.
    FirstByte,
}

impl DenialPoint {
    fn name(self) -> &'static str {
        match self {
            DenialPoint::Decision => "send",
            DenialPoint::FirstByte => "begin",
        }
    }
}

/// The place of an ending in [`ENDINGS`], which has all there are.
fn place(ending: Ending) -> usize {
    ENDINGS.iter().position(|(named, _)| *named == ending).unwrap_or(0)
}

/// All figures. Cheap to clone; written by the serving thread, read by any.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    succeeded: IntCounterVec,
    declined: IntCounterVec,
    aborted: IntCounterVec,
    unserved: IntCounterVec,
    answered: HistogramVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    retries_after: IntCounterVec,
    refusals: IntCounterVec,
    /// The last events of requests and connections.
    pub events: EventLog,
    hedges: IntCounterVec,
    denied: IntCounterVec,
    closes: IntCounterVec,
    violations: IntCounterVec,
    list_age: GaugeVec,
    /// Connections of clients.
    pub client_connections: UsageGauges,
    /// Connections to servers.
    pub server_connections: UsageGauges,
    /// Bytes of bodies.
    pub body_bytes: UsageGauges,
    /// Attempts of which a server's connection has the last byte.
    pub forwards: IntCounter,
    /// Requests taken and not ended.
    pub outstanding_requests: IntGauge,
    /// Servers in the list.
    pub discovered_servers: IntGauge,
    /// Servers in the list that get nothing now because of their failures.
    pub ejected_servers: IntGauge,
    /// Files that SIGHUP brought and that were taken.
    pub reloads_applied: IntCounter,
    /// Files that SIGHUP brought and that were turned down.
    pub reloads_rejected: IntCounter,
    /// Which file is in force.
    version: IntGaugeVec,
    /// How long the steps of the last change took, in seconds.
    steps: GaugeVec,
    /// Pools that it has touched.
    touched: IntGauge,
}

/// Where the attempts of one pool are counted.
#[derive(Clone, Debug)]
pub struct PoolMetrics {
    /// By the ending's place in [`ENDINGS`].
    attempts: [IntCounter; ENDINGS.len()],
    /// Attempts that follow one that has ended.
    retries: IntCounter,
    /// By the place of that one's ending in [`ENDINGS`].
    retries_after: [IntCounter; ENDINGS.len()],
    /// By the reason's place in [`Refusal::ALL`].
    refusals: [IntCounter; Refusal::ALL.len()],
    /// Attempts beside one that is still out.
    pub hedges: IntCounter,
    /// How long ago discovery has last told of servers, in seconds.
    pub list_age_seconds: Gauge,
    denied: IntCounterVec,
    /// The pool's name.
    pub pool: Arc<str>,
    /// Where events are kept.
    pub events: EventLog,
}

impl PoolMetrics {
    /// An attempt has ended so.
    pub fn count_attempt(&self, ending: Ending) {
        self.attempts[place(ending)].inc();
    }

    /// An attempt follows one that has ended so.
    pub fn count_retry(&self, ending: Ending) {
        self.retries.inc();
        self.retries_after[place(ending)].inc();
    }

    /// A request is refused for this reason.
    pub fn count_refusal(&self, reason: Refusal) {
        self.refusals[reason as usize].inc();
    }

    /// The rules have denied what was proposed, for this reason.
    pub fn count_denial(&self, proposed: DenialPoint, reason: &str) {
        self.denied.with_label_values(&[&self.pool, proposed.name(), reason]).inc();
    }
}

/// The node's view of its fleet.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    pub(crate) members: IntGaugeVec,
    pub(crate) changes: IntCounter,
    pub(crate) refuted: IntCounter,
    pub(crate) datagrams: IntCounterVec,
    pub(crate) bytes: IntCounterVec,
    pub(crate) refused: IntCounterVec,
    pub(crate) late: Gauge,
    pub(crate) latest: Gauge,
    pub(crate) settled: IntGauge,
    pub(crate) size: IntGauge,
}

/// Something that is held against a limit.
#[derive(Clone, Debug)]
pub struct UsageGauges {
    now: IntGauge,
    most: IntGauge,
}

impl UsageGauges {
    /// So much is held, of so much.
    pub fn set(&self, now: usize, most: usize) {
        self.now.set(now as i64);
        self.most.set(most as i64);
    }
}

impl Metrics {
    /// All at 0.
    ///
    /// # Errors
    /// Where two figures have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gw".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            listed(&registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let counter = |name: &str, help: &str| listed(&registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| listed(&registry, IntGauge::new(name, help)?);
        let held = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let most = gauge(&format!("{name}_most"), &format!("{help}, at most, of this process."))?;
            Ok(UsageGauges { now: gauge(name, &format!("{help}, now."))?, most })
        };
        let times = HistogramOpts::new(
            "answer_seconds",
            "From a request's last byte to its answer's first, if served.",
        );
        let version = Opts::new("config_version", "The file in force, by its digest: 1.");
        let steps = Opts::new("reload_seconds", "How long the steps of the last change of the file took.");
        let age = Opts::new("list_age_seconds", "Time since discovery last told of servers.");
        let violations =
            counters("rule_violations", "Rules that this process has seen itself break.", &["rule"])?;
        for rule in [DROPPED_REQUEST, LATE_ANSWER] {
            violations.with_label_values(&[rule]);
        }
        Ok(Metrics {
            violations,
            succeeded: counters("succeeded", "Requests served.", &[CLASS])?,
            declined: counters("declined", "Requests refused; trying again is harmless.", &[CLASS])?,
            aborted: counters("aborted", "Requests failed.", &[CLASS])?,
            unserved: counters("unserved", "Requests refused and failed, by reason.", &[CLASS, "reason"])?,
            answered: listed(&registry, HistogramVec::new(times.buckets(TIMES.to_vec()), &[CLASS])?)?,
            attempts: counters("attempts", "Attempts, by how they ended.", &[POOL, "ending"])?,
            retries: counters("retries", "Attempts that follow one that has ended.", &[POOL])?,
            retries_after: counters(
                "retries_after",
                "Attempts that follow one that has ended, by how that one did.",
                &[POOL, "ending"],
            )?,
            refusals: counters(
                "refusals",
                "Requests that the program refused, by reason.",
                &[POOL, "reason"],
            )?,
            events: EventLog::default(),
            hedges: counters("hedges", "Attempts beside one that is still out.", &[POOL])?,
            denied: counters(
                "denied",
                "Attempts and answers that the rules denied.",
                &[POOL, "at", "reason"],
            )?,
            closes: counters("client_closes", "Connections of clients that ended, by reason.", &["reason"])?,
            list_age: listed(&registry, GaugeVec::new(age, &[POOL])?)?,
            client_connections: held("client_connections", "Connections of clients")?,
            server_connections: held("server_connections", "Connections to servers")?,
            body_bytes: held("body_bytes", "Bytes of bodies")?,
            forwards: counter("forwards", "Attempts written whole to servers.")?,
            outstanding_requests: gauge("outstanding", "Requests taken and not ended.")?,
            discovered_servers: gauge("discovered", "Servers in the list.")?,
            ejected_servers: gauge("ejected", "Listed servers that are avoided for their failures.")?,
            reloads_applied: counter("sighup_applied", "Files that SIGHUP brought and that were taken.")?,
            reloads_rejected: counter(
                "sighup_rejected",
                "Files that SIGHUP brought and that were turned down.",
            )?,
            version: listed(&registry, IntGaugeVec::new(version, &["version"])?)?,
            steps: listed(&registry, GaugeVec::new(steps, &["step"])?)?,
            touched: gauge("reload_pools", "Pools that the last change of the file has touched.")?,
            registry,
        })
    }

    /// A client's connection has ended for this reason; whether that dropped a request that was taken whole and not answered.
    pub fn count_client_close(&self, reason: &str, dropped: bool) {
        self.closes.with_label_values(&[reason]).inc();
        if dropped {
            self.violations.with_label_values(&[DROPPED_REQUEST]).inc();
        }
    }

    /// An answer went out after its request's time and the slack that the rules give it.
    pub fn count_late_answer(&self) {
        self.violations.with_label_values(&[LATE_ANSWER]).inc();
    }

    /// This file is in force. Where it took another one's place: how long reading and checking, comparing and putting it in force
    /// took, in seconds, and how many pools that touched.
    pub fn set_active_config(&self, version: &str, change: Option<([f64; 3], usize)>) {
        self.version.reset();
        self.version.with_label_values(&[version]).set(1);
        let Some((times, touched)) = change else { return };
        for (step, time) in ["read", "compare", "swap"].into_iter().zip(times) {
            self.steps.with_label_values(&[step]).set(time);
        }
        self.touched.set(touched as i64);
    }

    /// Where requests of a class are counted; from here on the class is shown.
    pub fn for_class(&self, name: &str) -> ClassMetrics {
        ClassMetrics {
            succeeded: self.succeeded.with_label_values(&[name]),
            declined: self.declined.with_label_values(&[name]),
            aborted: self.aborted.with_label_values(&[name]),
            unserved: UnservedReason::ALL
                .map(|reason| self.unserved.with_label_values(&[name, reason.name()])),
            answered: self.answered.with_label_values(&[name]),
            outstanding: self.outstanding_requests.clone(),
        }
    }

    /// Where attempts of a pool are counted; from here on the pool is shown.
    pub fn for_pool(&self, name: &str) -> PoolMetrics {
        PoolMetrics {
            attempts: ENDINGS.map(|(_, ending)| self.attempts.with_label_values(&[name, ending])),
            retries: self.retries.with_label_values(&[name]),
            hedges: self.hedges.with_label_values(&[name]),
            list_age_seconds: self.list_age.with_label_values(&[name]),
            denied: self.denied.clone(),
            pool: name.into(),
            events: self.events.clone(),
            retries_after: ENDINGS.map(|(_, ending)| self.retries_after.with_label_values(&[name, ending])),
            refusals: Refusal::ALL.map(|reason| self.refusals.with_label_values(&[name, reason.name()])),
        }
    }

    /// Where the node's view of its fleet is shown; from here on it is.
    ///
    /// # Errors
    /// Where this was asked for before.
    pub fn for_fleet(&self) -> Result<FleetMetrics, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            listed(&self.registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let counter = |name: &str, help: &str| listed(&self.registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| listed(&self.registry, IntGauge::new(name, help)?);
        let seconds = |name: &str, help: &str| listed(&self.registry, Gauge::new(name, help)?);
        let members = Opts::new("fleet_members", "Members of the fleet, by what this node holds them for.");
        Ok(FleetMetrics {
            members: listed(&self.registry, IntGaugeVec::new(members, &["state"])?)?,
            changes: counter("fleet_changes", "Changes of a member's state, as this node saw them.")?,
            refuted: counter("fleet_refuted", "Accusations of this node that it has refuted.")?,
            datagrams: counters("fleet_datagrams", "Datagrams between nodes.", &["kind", "way"])?,
            bytes: counters("fleet_bytes", "Bytes of datagrams between nodes.", &["kind", "way"])?,
            refused: counters("fleet_refused", "Datagrams turned down, by reason.", &["reason"])?,
            late: seconds("fleet_late_seconds", "How late the node last was to its own timers.")?,
            latest: seconds("fleet_latest_seconds", "How late it was at the worst.")?,
            settled: gauge("fleet_settled", "1 while the view stands still and others have the same.")?,
            size: gauge("fleet_size", "Members that are there, itself included: what sums are divided by.")?,
        })
    }

    /// The page, and its content type.
    ///
    /// # Errors
    /// Where a figure cannot be written.
    pub fn render(&self) -> Result<(Vec<u8>, &'static str), prometheus::Error> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok((page, prometheus::TEXT_FORMAT))
    }
}

/// Puts a figure on the page.
fn listed<C: Collector + Clone + 'static>(registry: &Registry, figure: C) -> Result<C, prometheus::Error> {
    registry.register(Box::new(figure.clone()))?;
    Ok(figure)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn page(figures: &Metrics) -> String {
        String::from_utf8(figures.render().unwrap().0).unwrap()
    }

    /// A scraper must be able to tell 0 from a figure that is not there.
    #[test]
    fn all_figures_stand_there_from_the_start() {
        let figures = Metrics::new().unwrap();
        figures.for_class("a \"b\"\\");
        let pool = figures.for_pool("main");
        ENDINGS.iter().for_each(|(ending, _)| pool.count_attempt(*ending));
        figures.body_bytes.set(0, 7);
        let page = page(&figures);
        for name in [
            "succeeded{service=\"a \\\"b\\\"\\\\\"}",
            "declined{service=\"a \\\"b\\\"\\\\\"}",
            "aborted{service=\"a \\\"b\\\"\\\\\"}",
            "forwards",
            "outstanding",
            "discovered",
            "ejected",
            "sighup_applied",
            "sighup_rejected",
            "retries{pool=\"main\"}",
            "list_age_seconds{pool=\"main\"}",
            "client_connections",
            "server_connections_most",
            "body_bytes",
        ] {
            assert!(page.lines().any(|l| l == format!("gw_{name} 0")), "{name} is not in\n{page}");
        }
        assert!(page.contains("\ngw_body_bytes_most 7\n"));
        // Each ending has a place of its own.
        assert_eq!(page.lines().filter(|l| l.starts_with("gw_attempts{") && l.ends_with(" 1")).count(), 9);
    }
}
