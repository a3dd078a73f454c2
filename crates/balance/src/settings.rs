//! Parses settings from `path=value` pairs: the adapter receives them as lines, the node flattens its JSON
//! file to the same paths. Unknown paths are ignored; errors name the missing or invalid path.

use crate::interface::{Class, Effect, Group, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Setting values by path.
#[derive(Clone, Debug, Default)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// Parses `path=value` lines.
    pub fn from_lines(bytes: &[u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8: {e}"))?;
        let mut pairs = Pairs::default();
        for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let (key, value) =
                line.split_once('=').ok_or_else(|| format!("line {}: no `=` in `{line}`", n + 1))?;
            pairs.set(key.trim(), value.trim());
        }
        Ok(pairs)
    }

    /// Sets a value; replaces an earlier one.
    pub fn set(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_owned(), value.to_owned());
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("`{key}` is missing"))
    }

    /// The value at a path.
    pub fn get<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("`{key}` has the invalid value `{text}`"))
    }

    fn get_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, String> {
        if self.0.contains_key(key) {
            self.get(key)
        } else {
            Ok(default)
        }
    }

    fn list_len(&self, list: &str) -> Result<usize, String> {
        let n: usize = self.get_or(&format!("{list}.count"), 0)?;
        if n > self.0.len() {
            return Err(format!("`{list}.count` is {n}, more than there are lines"));
        }
        Ok(n)
    }

    fn index(&self, key: &str, list_len: usize) -> Result<usize, String> {
        let n: usize = self.get(key)?;
        if n < list_len {
            Ok(n)
        } else {
            Err(format!("`{key}` is {n}, but its list has {list_len} entries"))
        }
    }
}

fn parse_choice<T: Copy>(pairs: &Pairs, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
    let text = pairs.text(key)?;
    let found = choices.iter().find(|(name, _)| *name == text);
    found.map(|(_, value)| *value).ok_or_else(|| format!("`{key}` has the unknown value `{text}`"))
}

fn parse_class(pairs: &Pairs, index: usize) -> Result<Class, String> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let effects = [("pure", Effect::Safe), ("token", Effect::Keyed), ("side_effect", Effect::Unsafe)];
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    let effect = parse_choice(pairs, &key("effect"), &effects)?;
    let is_keyed = effect == Effect::Keyed;
    Ok(Class {
        aim: pairs.get(&key("aimNs"))?,
        give_up: pairs.get(&key("giveUpNs"))?,
        worth: pairs.get(&key("worth"))?,
        late_worth: pairs.get_or(&key("lateWorth"), 0.0)?,
        effect,
        group: if is_keyed { parse_choice(pairs, &key("group"), &groups)? } else { Group::All },
        window: if is_keyed { pairs.get(&key("windowNs"))? } else { 0 },
        stream: pairs.get_or(&key("stream"), false)?,
    })
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // The names are sufficient.
pub enum ReportField {
    Concurrent,
    Queued,
    Utilisation,
    ServiceMs,
    Rate,
    ErrorRate,
    Unknown,
}

impl ReportField {
    /// The value with this name on the wire.
    pub fn from_name(name: &str) -> Self {
        match name {
            "concurrent" => ReportField::Concurrent,
            "depth" => ReportField::Queued,
            "load_share" => ReportField::Utilisation,
            "mean_ms" => ReportField::ServiceMs,
            "tps" => ReportField::Rate,
            "err_ps" => ReportField::ErrorRate,
            _ => ReportField::Unknown,
        }
    }
}

/// Parses the settings and the order of the values in load reports.
///
/// # Errors
/// Names the first missing or invalid path.
pub fn parse(pairs: &Pairs) -> Result<(Settings, Vec<ReportField>), String> {
    let classes =
        (0..pairs.list_len("classes")?).map(|index| parse_class(pairs, index)).collect::<Result<_, _>>()?;
    let tenant_quota = (0..pairs.list_len("tenants")?)
        .map(|index| pairs.get(&format!("tenants.{index}.quotaPerS")))
        .collect::<Result<Vec<f64>, String>>()?;
    let zones = pairs.text("zones")?.split(',').count();
    let is_silent = pairs.get_or("report.via", String::new())? == "silent";
    let names = if is_silent { String::new() } else { pairs.get_or("report.names", String::new())? };
    let retry_after = pairs.get_or("caps.retryAfter", false)?;
    let settings = Settings {
        classes,
        tenant_quota: tenant_quota.into(),
        over_share_worth: pairs.get_or("overShareWorth", 1.0)?,
        worth_by_work: pairs.get_or("countedBy", String::new())? == "work",
        zone: pairs.index("zone", zones.min(256))? as u8,
        ordinal: pairs.get("ordinal")?,
        group_size: pairs.get("groupSize")?,
        must_subscribe: parse_choice(pairs, "registryMode", &[("automatic", false), ("subscribe", true)])?,
        max_attempts: pairs.get("caps.maxAttempts")?,
        second_copies: pairs.get("caps.secondCopies")?,
        cancel: pairs.get("caps.cancelling")?,
        probes: pairs.get("caps.mayProbe")?,
        peers: pairs.get("caps.peers")?,
        retry_after,
        max_retry_after: if retry_after { pairs.get("caps.maxRetryAfterNs")? } else { 0 },
        cold_from: pairs.get("guarantees.coldFrom")?,
        ramp: pairs.get("guarantees.rampTimeNs")?,
        tip_multiple: pairs.get("guarantees.tipMultiple")?,
        overload_window: pairs.get("guarantees.fallNs")?,
        sizes_known: pairs.get_or("weightSource", String::from("none"))? != "none",
        warm_keys: pairs.get_or("familyInfo.warmKeys", false)?,
        cross_price: pairs.get_or("prices.crossZone", 0.0)?,
        slots: 1.0,
        backup_zone: u8::MAX,
    };
    settings.validate().map_err(|e| e.to_string())?;
    Ok((settings, names.split(',').map(ReportField::from_name).collect()))
}
