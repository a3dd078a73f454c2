//! What the node has done and has in hand, in the words of the text format of Prometheus (version 0.0.4).

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The label that tells the class of requests.
const CLASS: &str = "service";

/// All figures. Cheap to clone; written by the serving thread, read by any.
#[derive(Clone, Debug)]
pub struct Figures {
    registry: Registry,
    succeeded: IntCounterVec,
    declined: IntCounterVec,
    aborted: IntCounterVec,
    /// Attempts of which a server's connection has the last byte.
    pub forwards: IntCounter,
    /// Requests taken and not ended.
    pub outstanding: IntGauge,
    /// Servers in the list.
    pub discovered: IntGauge,
    /// Servers in the list that get nothing now because of their failures.
    pub ejected: IntGauge,
    /// Files that SIGHUP brought and that were taken.
    pub applied: IntCounter,
    /// Files that SIGHUP brought and that were turned down.
    pub rejected: IntCounter,
}

/// Where the requests of one class are counted.
#[derive(Clone, Debug)]
pub struct ClassFigures {
    succeeded: IntCounter,
    declined: IntCounter,
    aborted: IntCounter,
    outstanding: IntGauge,
}

impl Figures {
    /// All at 0.
    ///
    /// # Errors
    /// Where two figures have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gw".to_owned()), None)?;
        let by_class = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let counter = IntCounterVec::new(Opts::new(name, help), &[CLASS])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counter = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Figures {
            succeeded: by_class("succeeded", "Requests served.")?,
            declined: by_class("declined", "Requests refused; trying again is harmless.")?,
            aborted: by_class("aborted", "Requests failed.")?,
            forwards: counter("forwards", "Attempts written whole to servers.")?,
            outstanding: gauge("outstanding", "Requests taken and not ended.")?,
            discovered: gauge("discovered", "Servers in the list.")?,
            ejected: gauge("ejected", "Listed servers that are avoided for their failures.")?,
            applied: counter("sighup_applied", "Files that SIGHUP brought and that were taken.")?,
            rejected: counter("sighup_rejected", "Files that SIGHUP brought and that were turned down.")?,
            registry,
        })
    }

    /// Where requests of a class are counted; from here on the class is shown.
    pub fn class(&self, name: &str) -> ClassFigures {
        ClassFigures {
            succeeded: self.succeeded.with_label_values(&[name]),
            declined: self.declined.with_label_values(&[name]),
            aborted: self.aborted.with_label_values(&[name]),
            outstanding: self.outstanding.clone(),
        }
    }

    /// The page, and its content type.
    ///
    /// # Errors
    /// Where a figure cannot be written.
    pub fn page(&self) -> Result<(Vec<u8>, &'static str), prometheus::Error> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok((page, prometheus::TEXT_FORMAT))
    }
}

/// One request under way. It is counted when this is dropped: as failed unless something better was said.
#[derive(Debug)]
pub struct Tally {
    class: ClassFigures,
    taken: bool,
    status: u16,
}

impl Tally {
    /// A request whose class is known.
    pub fn new(class: ClassFigures) -> Self {
        Tally { class, taken: false, status: 0 }
    }

    /// Its last byte has come.
    pub fn take(&mut self) {
        if !std::mem::replace(&mut self.taken, true) {
            self.class.outstanding.inc();
        }
    }

    /// It is answered with this status: a server's, or the program's own.
    pub fn answer(&mut self, status: u16, by_server: bool) {
        // A server that says that there is no such thing has served the request; the program that says so has not.
        self.status = if by_server && (400..=499).contains(&status) { 200 } else { status };
    }

    /// The answer has broken off.
    pub fn cut(&mut self) {
        self.status = 0;
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        if self.taken {
            self.class.outstanding.dec();
        }
        match self.status {
            429 | 503 => self.class.declined.inc(),
            200..=399 => self.class.succeeded.inc(),
            _ => self.class.aborted.inc(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn page(figures: &Figures) -> String {
        String::from_utf8(figures.page().unwrap().0).unwrap()
    }

    #[test]
    fn each_request_is_counted_once_by_how_it_ended() {
        let figures = Figures::new().unwrap();
        let class = figures.class("status");
        let mut open = Tally::new(class.clone());
        open.take();
        open.take();
        assert!(page(&figures).contains("\ngw_outstanding 1\n"));
        for status in [200, 200, 503, 429, 502, 404] {
            let mut tally = Tally::new(class.clone());
            tally.take();
            tally.answer(status, false);
        }
        let mut cut = Tally::new(class);
        cut.answer(200, true);
        cut.cut();
        drop(cut);
        Tally::new(figures.class("general")).answer(404, true);
        drop(open);
        let page = page(&figures);
        for line in [
            "gw_succeeded{service=\"status\"} 2",
            "gw_declined{service=\"status\"} 2",
            "gw_aborted{service=\"status\"} 4",
            "gw_succeeded{service=\"general\"} 1",
            "gw_outstanding 0",
        ] {
            assert!(page.lines().any(|l| l == line), "{line} is not in\n{page}");
        }
    }

    /// A scraper must be able to tell 0 from a figure that is not there.
    #[test]
    fn all_figures_stand_there_from_the_start() {
        let figures = Figures::new().unwrap();
        figures.class("a \"b\"\\");
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
        ] {
            assert!(page.lines().any(|l| l == format!("gw_{name} 0")), "{name} is not in\n{page}");
        }
    }
}
