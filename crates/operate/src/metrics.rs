//! The node's metrics, in the Prometheus text format (version 0.0.4).

use crate::events::EventLog;
use crate::request_tracker::{ClassMetrics, UnservedReason};
use corkhollow_balance::interface::{Ending, Refusal};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use std::sync::Arc;

/// Label for the class of requests.
const CLASS_LABEL: &str = "service";
/// Values of the label `rule`: a complete request was dropped without an answer, or was answered too late.
const RULE_DROPPED_REQUEST: &str = "dropped-request";
const RULE_LATE_ANSWER: &str = "late-answer";
/// Label for the pool.
const POOL_LABEL: &str = "pool";
/// Upper bounds of the buckets of the answer time histogram: from a server nearby to the longest client
/// timeouts.
const ANSWER_TIME_BUCKETS_SECONDS: [f64; 11] =
    [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];
/// All endings of attempts with their labels.
const ENDING_LABELS: [(Ending, &str); 9] = [
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

/// At which point the rules denied an attempt or an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialPoint {
    /// When the balancer proposed an attempt or a final answer.
    Decision,
    /// When the first byte of an attempt was about to be written.
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

/// Index of an ending in [`ENDING_LABELS`], which holds all endings.
fn ending_index(ending: Ending) -> usize {
    ENDING_LABELS.iter().position(|(listed_ending, _)| *listed_ending == ending).unwrap_or(0)
}

/// All metrics of a node. Clones share them; the serving thread writes, any thread reads.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    succeeded: IntCounterVec,
    declined: IntCounterVec,
    aborted: IntCounterVec,
    unserved: IntCounterVec,
    answer_seconds: HistogramVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    retries_after: IntCounterVec,
    refusals: IntCounterVec,
    /// Recent events of requests and connections.
    pub events: EventLog,
    hedges: IntCounterVec,
    denied: IntCounterVec,
    client_closes: IntCounterVec,
    rule_violations: IntCounterVec,
    list_age_seconds: GaugeVec,
    /// Open client connections.
    pub client_connections: UsageGauges,
    /// Open connections to servers.
    pub server_connections: UsageGauges,
    /// Buffered bytes of bodies.
    pub body_bytes: UsageGauges,
    /// Attempts written to a server's connection up to the last byte.
    pub forwards: IntCounter,
    /// Requests received and not yet ended.
    pub outstanding_requests: IntGauge,
    /// Servers in the lists of all pools.
    pub discovered_servers: IntGauge,
    /// Listed servers that are ejected as outliers.
    pub ejected_servers: IntGauge,
    /// Configurations applied on SIGHUP.
    pub reloads_applied: IntCounter,
    /// Configurations rejected on SIGHUP.
    pub reloads_rejected: IntCounter,
    /// 1 for the version of the active configuration.
    config_version: IntGaugeVec,
    /// Duration of the steps of the last reload.
    reload_seconds: GaugeVec,
    /// Pools that the last reload changed.
    reload_pools: IntGauge,
}

/// Metrics of one pool.
#[derive(Clone, Debug)]
pub struct PoolMetrics {
    /// Indexed by [`ending_index`].
    attempts: [IntCounter; ENDING_LABELS.len()],
    /// Attempts made after an earlier attempt of the request ended.
    retries: IntCounter,
    /// Indexed by [`ending_index`] of the earlier attempt.
    retries_after: [IntCounter; ENDING_LABELS.len()],
    /// Indexed by [`Refusal`].
    refusals: [IntCounter; Refusal::ALL.len()],
    /// Attempts made while another attempt of the request was running.
    pub hedges: IntCounter,
    /// Time since the last update from discovery.
    pub list_age_seconds: Gauge,
    denied: IntCounterVec,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Event log shared with [`Metrics`].
    pub events: EventLog,
}

impl PoolMetrics {
    /// Counts an attempt by its ending.
    pub fn count_attempt(&self, ending: Ending) {
        self.attempts[ending_index(ending)].inc();
    }

    /// Counts a retry after an attempt with this ending.
    pub fn count_retry(&self, ending: Ending) {
        self.retries.inc();
        self.retries_after[ending_index(ending)].inc();
    }

    /// Counts a request that was refused.
    pub fn count_refusal(&self, reason: Refusal) {
        self.refusals[reason as usize].inc();
    }

    /// Counts an attempt or answer that the rules denied.
    pub fn count_denial(&self, point: DenialPoint, reason: &str) {
        self.denied.with_label_values(&[&self.pool, point.name(), reason]).inc();
    }
}

/// Metrics of the node's view of its fleet.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    pub(crate) members: IntGaugeVec,
    pub(crate) changes: IntCounter,
    pub(crate) refuted: IntCounter,
    pub(crate) datagrams: IntCounterVec,
    pub(crate) bytes: IntCounterVec,
    pub(crate) refused: IntCounterVec,
    pub(crate) timer_lag_seconds: Gauge,
    pub(crate) max_timer_lag_seconds: Gauge,
    pub(crate) settled: IntGauge,
    pub(crate) size: IntGauge,
}

/// Gauges of a limited resource: its usage and its limit.
#[derive(Clone, Debug)]
pub struct UsageGauges {
    current: IntGauge,
    limit: IntGauge,
}

impl UsageGauges {
    /// Sets the usage and the limit.
    pub fn set(&self, current: usize, limit: usize) {
        self.current.set(current as i64);
        self.limit.set(limit as i64);
    }
}

impl Metrics {
    /// Registers all metrics, with value 0.
    ///
    /// # Errors
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gw".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help)?);
        let usage = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let limit = gauge(&format!("{name}_most"), &format!("{help}, at most, of this process."))?;
            Ok(UsageGauges { current: gauge(name, &format!("{help}, now."))?, limit })
        };
        let answer_seconds = HistogramOpts::new(
            "answer_seconds",
            "From a request's last byte to its answer's first, if served.",
        );
        let config_version = Opts::new("config_version", "The file in force, by its digest: 1.");
        let reload_seconds =
            Opts::new("reload_seconds", "How long the steps of the last change of the file took.");
        let list_age_seconds = Opts::new("list_age_seconds", "Time since discovery last told of servers.");
        let rule_violations =
            counters("rule_violations", "Rules that this process has seen itself break.", &["rule"])?;
        for rule in [RULE_DROPPED_REQUEST, RULE_LATE_ANSWER] {
            rule_violations.with_label_values(&[rule]);
        }
        Ok(Metrics {
            rule_violations,
            succeeded: counters("succeeded", "Requests served.", &[CLASS_LABEL])?,
            declined: counters("declined", "Requests refused; trying again is harmless.", &[CLASS_LABEL])?,
            aborted: counters("aborted", "Requests failed.", &[CLASS_LABEL])?,
            unserved: counters(
                "unserved",
                "Requests refused and failed, by reason.",
                &[CLASS_LABEL, "reason"],
            )?,
            answer_seconds: register(
                &registry,
                HistogramVec::new(
                    answer_seconds.buckets(ANSWER_TIME_BUCKETS_SECONDS.to_vec()),
                    &[CLASS_LABEL],
                )?,
            )?,
            attempts: counters("attempts", "Attempts, by how they ended.", &[POOL_LABEL, "ending"])?,
            retries: counters("retries", "Attempts that follow one that has ended.", &[POOL_LABEL])?,
            retries_after: counters(
                "retries_after",
                "Attempts that follow one that has ended, by how that one did.",
                &[POOL_LABEL, "ending"],
            )?,
            refusals: counters(
                "refusals",
                "Requests that the program refused, by reason.",
                &[POOL_LABEL, "reason"],
            )?,
            events: EventLog::default(),
            hedges: counters("hedges", "Attempts beside one that is still out.", &[POOL_LABEL])?,
            denied: counters(
                "denied",
                "Attempts and answers that the rules denied.",
                &[POOL_LABEL, "at", "reason"],
            )?,
            client_closes: counters(
                "client_closes",
                "Connections of clients that ended, by reason.",
                &["reason"],
            )?,
            list_age_seconds: register(&registry, GaugeVec::new(list_age_seconds, &[POOL_LABEL])?)?,
            client_connections: usage("client_connections", "Connections of clients")?,
            server_connections: usage("server_connections", "Connections to servers")?,
            body_bytes: usage("body_bytes", "Bytes of bodies")?,
            forwards: counter("forwards", "Attempts written whole to servers.")?,
            outstanding_requests: gauge("outstanding", "Requests taken and not ended.")?,
            discovered_servers: gauge("discovered", "Servers in the list.")?,
            ejected_servers: gauge("ejected", "Listed servers that are avoided for their failures.")?,
            reloads_applied: counter("sighup_applied", "Files that SIGHUP brought and that were taken.")?,
            reloads_rejected: counter(
                "sighup_rejected",
                "Files that SIGHUP brought and that were turned down.",
            )?,
            config_version: register(&registry, IntGaugeVec::new(config_version, &["version"])?)?,
            reload_seconds: register(&registry, GaugeVec::new(reload_seconds, &["step"])?)?,
            reload_pools: gauge("reload_pools", "Pools that the last change of the file has touched.")?,
            registry,
        })
    }

    /// Counts a closed client connection; `dropped` tells whether it lost a complete request without an
    /// answer.
    pub fn count_client_close(&self, reason: &str, dropped: bool) {
        self.client_closes.with_label_values(&[reason]).inc();
        if dropped {
            self.rule_violations.with_label_values(&[RULE_DROPPED_REQUEST]).inc();
        }
    }

    /// Counts an answer after the request's deadline and the slack that the rules allow.
    pub fn count_late_answer(&self) {
        self.rule_violations.with_label_values(&[RULE_LATE_ANSWER]).inc();
    }

    /// Sets the version of the active configuration. After a reload, `change` holds the durations in seconds
    /// of its steps (read, compare, swap) and the number of pools it changed.
    pub fn set_active_config(&self, version: &str, change: Option<([f64; 3], usize)>) {
        self.config_version.reset();
        self.config_version.with_label_values(&[version]).set(1);
        let Some((step_seconds, changed_pools)) = change else { return };
        for (step, seconds) in ["read", "compare", "swap"].into_iter().zip(step_seconds) {
            self.reload_seconds.with_label_values(&[step]).set(seconds);
        }
        self.reload_pools.set(changed_pools as i64);
    }

    /// Metrics of a class; creates its time series.
    pub fn for_class(&self, name: &str) -> ClassMetrics {
        ClassMetrics {
            succeeded: self.succeeded.with_label_values(&[name]),
            declined: self.declined.with_label_values(&[name]),
            aborted: self.aborted.with_label_values(&[name]),
            unserved: UnservedReason::ALL
                .map(|reason| self.unserved.with_label_values(&[name, reason.name()])),
            answer_seconds: self.answer_seconds.with_label_values(&[name]),
            outstanding: self.outstanding_requests.clone(),
        }
    }

    /// Metrics of a pool; creates its time series.
    pub fn for_pool(&self, name: &str) -> PoolMetrics {
        PoolMetrics {
            attempts: ENDING_LABELS.map(|(_, ending)| self.attempts.with_label_values(&[name, ending])),
            retries: self.retries.with_label_values(&[name]),
            hedges: self.hedges.with_label_values(&[name]),
            list_age_seconds: self.list_age_seconds.with_label_values(&[name]),
            denied: self.denied.clone(),
            pool: name.into(),
            events: self.events.clone(),
            retries_after: ENDING_LABELS
                .map(|(_, ending)| self.retries_after.with_label_values(&[name, ending])),
            refusals: Refusal::ALL.map(|reason| self.refusals.with_label_values(&[name, reason.name()])),
        }
    }

    /// Registers the fleet's metrics.
    ///
    /// # Errors
    /// If they are registered already.
    pub fn for_fleet(&self) -> Result<FleetMetrics, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&self.registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let counter = |name: &str, help: &str| register(&self.registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| register(&self.registry, IntGauge::new(name, help)?);
        let seconds = |name: &str, help: &str| register(&self.registry, Gauge::new(name, help)?);
        let members = Opts::new("fleet_members", "Members of the fleet, by what this node holds them for.");
        Ok(FleetMetrics {
            members: register(&self.registry, IntGaugeVec::new(members, &["state"])?)?,
            changes: counter("fleet_changes", "Changes of a member's state, as this node saw them.")?,
            refuted: counter("fleet_refuted", "Accusations of this node that it has refuted.")?,
            datagrams: counters("fleet_datagrams", "Datagrams between nodes.", &["kind", "way"])?,
            bytes: counters("fleet_bytes", "Bytes of datagrams between nodes.", &["kind", "way"])?,
            refused: counters("fleet_refused", "Datagrams turned down, by reason.", &["reason"])?,
            timer_lag_seconds: seconds(
                "fleet_late_seconds",
                "How late the node last was to its own timers.",
            )?,
            max_timer_lag_seconds: seconds("fleet_latest_seconds", "How late it was at the worst.")?,
            settled: gauge("fleet_settled", "1 while the view stands still and others have the same.")?,
            size: gauge("fleet_size", "Members that are there, itself included: what sums are divided by.")?,
        })
    }

    /// Renders all metrics; returns the text and its content type.
    ///
    /// # Errors
    /// If a metric cannot be encoded.
    pub fn render(&self) -> Result<(Vec<u8>, &'static str), prometheus::Error> {
        let mut output = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut output)?;
        Ok((output, prometheus::TEXT_FORMAT))
    }
}

/// Registers a metric and returns it.
fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C, prometheus::Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn render(metrics: &Metrics) -> String {
        String::from_utf8(metrics.render().unwrap().0).unwrap()
    }

    /// A scraper must be able to tell 0 from a missing metric.
    #[test]
    fn all_metrics_are_present_from_the_start() {
        let metrics = Metrics::new().unwrap();
        metrics.for_class("a \"b\"\\");
        let pool = metrics.for_pool("main");
        ENDING_LABELS.iter().for_each(|(ending, _)| pool.count_attempt(*ending));
        metrics.body_bytes.set(0, 7);
        let rendered = render(&metrics);
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
            assert!(
                rendered.lines().any(|line| line == format!("gw_{name} 0")),
                "{name} is not in\n{rendered}"
            );
        }
        assert!(rendered.contains("\ngw_body_bytes_most 7\n"));
        // Each ending has a time series of its own.
        assert_eq!(
            rendered.lines().filter(|l| l.starts_with("gw_attempts{") && l.ends_with(" 1")).count(),
            9
        );
    }
}
