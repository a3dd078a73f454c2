//! What a file of the platform's configuration holds, apart from what it says: a file that has lost a part must not
//! take over.

use serde_json::Value;

/// Keys that may be absent, wherever they stand.
const OPTIONAL: [&str; 6] = ["known", "operator", "aimStretch", "passesDeadline", "fleet", "seed"];
/// Numbers above 0, by their path; `*` stands for each item of a list.
const NUMBERS: [&str; 2] = ["settings.classes.*.giveUpNs", "settings.caps.maxAttempts"];

/// The keys and values of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawConfig(Value);

impl RawConfig {
    /// What this holds.
    pub fn new(value: Value) -> Self {
        RawConfig(value)
    }

    /// The first key that this has and the other lacks, by its path. Of a list of objects each has to have what all
    /// objects of the old list have.
    pub fn missing_key(&self, other: &RawConfig) -> Option<String> {
        missing("", &self.0, &other.0)
    }

    /// A deadline or a number of attempts that is no number above 0, by its path.
    pub fn non_positive_number(&self) -> Option<String> {
        NUMBERS.iter().find_map(|path| {
            let parts: Vec<_> = path.split('.').collect();
            no_number("", &self.0, &parts)
        })
    }
}

fn under(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn missing(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = under(path, key);
            match new.get(key) {
                _ if OPTIONAL.contains(&key.as_str()) => None,
                Some(other) => missing(&path, value, other),
                None => Some(path),
            }
        }),
        (Value::Object(_), _) => Some(path.to_owned()),
        (Value::Array(old), Value::Array(new)) => {
            let all: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let first = all.first()?;
            let common = first.keys().filter(|key| all.iter().all(|item| item.contains_key(*key)));
            let mut common = common.filter(|key| !OPTIONAL.contains(&key.as_str()));
            common.find_map(|key| {
                let lacks = new.iter().position(|item| item.get(key).is_none());
                lacks.map(|k| under(path, &format!("{k}.{key}")))
            })
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

fn no_number(path: &str, value: &Value, rest: &[&str]) -> Option<String> {
    let Some((key, rest)) = rest.split_first() else {
        let number = value.as_f64().is_some_and(|n| n.is_finite() && n > 0.0);
        return (!number).then(|| path.to_owned());
    };
    match (*key, value) {
        ("*", Value::Array(items)) => {
            items.iter().enumerate().find_map(|(k, item)| no_number(&under(path, &k.to_string()), item, rest))
        }
        // What is absent is named elsewhere.
        (key, value) => no_number(&under(path, key), value.get(key)?, rest),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn whole() -> Value {
        json!({"listen": "a", "known": null, "settings": {"caps": {"maxAttempts": 3}, "zones": ["a"],
            "classes": [{"name": "a", "giveUpNs": 5, "aimStretch": 1}, {"name": "b", "giveUpNs": 7, "own": 1}]}})
    }

    #[test]
    fn what_has_gone_is_named() {
        let old = RawConfig::new(whole());
        let without = |path: &str| {
            let mut new = whole();
            let (above, key) = path.rsplit_once('/').unwrap();
            let holder = new.pointer_mut(above).unwrap().as_object_mut().unwrap();
            assert!(holder.remove(key).is_some(), "{path}");
            old.missing_key(&RawConfig::new(new))
        };
        for (path, named) in [
            ("/listen", Some("listen")),
            ("/settings", Some("settings")),
            ("/settings/caps/maxAttempts", Some("settings.caps.maxAttempts")),
            ("/settings/classes/1/giveUpNs", Some("settings.classes.1.giveUpNs")),
            ("/settings/classes/1/own", None),
            ("/settings/classes/0/aimStretch", None),
            ("/known", None),
        ] {
            assert_eq!(without(path).as_deref(), named, "{path}");
        }
        let mut fewer = whole();
        fewer["settings"]["classes"].as_array_mut().unwrap().pop();
        fewer["settings"]["more"] = json!(1);
        assert_eq!(old.missing_key(&RawConfig::new(fewer)), None, "classes may go and keys may come");
        let mut text = whole();
        text["settings"]["classes"] = json!("none");
        assert_eq!(old.missing_key(&RawConfig::new(text)).as_deref(), Some("settings.classes"));
    }

    #[test]
    fn only_numbers_above_0_are_numbers() {
        assert_eq!(RawConfig::new(whole()).non_positive_number(), None);
        for bad in [json!(0), json!(-5), json!("3"), json!(null), json!([3]), json!(true)] {
            let mut new = whole();
            new["settings"]["caps"]["maxAttempts"] = bad.clone();
            assert_eq!(
                RawConfig::new(new).non_positive_number().as_deref(),
                Some("settings.caps.maxAttempts"),
                "{bad}"
            );
            let mut new = whole();
            new["settings"]["classes"][1]["giveUpNs"] = bad.clone();
            assert_eq!(
                RawConfig::new(new).non_positive_number().as_deref(),
                Some("settings.classes.1.giveUpNs"),
                "{bad}"
            );
        }
        let mut new = whole();
        new["settings"]["caps"]["maxAttempts"] = json!(2.0);
        assert_eq!(RawConfig::new(new).non_positive_number(), None);
    }
}
