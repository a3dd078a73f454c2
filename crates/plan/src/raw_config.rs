//! Structural checks on the platform's configuration file as raw JSON. They keep a truncated or incomplete file from
//! replacing the configuration in force.

use serde_json::Value;

/// Keys that may be absent in any object.
const OPTIONAL_KEYS: [&str; 6] = ["known", "operator", "aimStretch", "passesDeadline", "fleet", "seed"];
/// Paths of keys that must be numbers above 0 if present; `*` stands for each item of a list.
const POSITIVE_NUMBERS: [&str; 2] = ["settings.classes.*.giveUpNs", "settings.caps.maxAttempts"];

/// A configuration file as JSON.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawConfig(Value);

impl RawConfig {
    /// Wraps the content of a file.
    pub fn new(value: Value) -> Self {
        RawConfig(value)
    }

    /// The path of the first key that `self` has and `other` lacks. In a list of objects, each new object must have the
    /// keys that all old objects have.
    pub fn missing_key(&self, other: &RawConfig) -> Option<String> {
        find_missing("", &self.0, &other.0)
    }

    /// The path of the first deadline or attempt limit that is not a number above 0.
    pub fn non_positive_number(&self) -> Option<String> {
        POSITIVE_NUMBERS.iter().find_map(|path| {
            let parts: Vec<_> = path.split('.').collect();
            find_non_positive("", &self.0, &parts)
        })
    }
}

fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn find_missing(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = child_path(path, key);
            match new.get(key) {
                _ if OPTIONAL_KEYS.contains(&key.as_str()) => None,
                Some(other) => find_missing(&path, value, other),
                None => Some(path),
            }
        }),
        (Value::Object(_), _) => Some(path.to_owned()),
        (Value::Array(old), Value::Array(new)) => {
            let objects: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let first = objects.first()?;
            let common = first.keys().filter(|key| objects.iter().all(|item| item.contains_key(*key)));
            let mut common = common.filter(|key| !OPTIONAL_KEYS.contains(&key.as_str()));
            common.find_map(|key| {
                let lacking = new.iter().position(|item| item.get(key).is_none());
                lacking.map(|index| child_path(path, &format!("{index}.{key}")))
            })
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

fn find_non_positive(path: &str, value: &Value, rest: &[&str]) -> Option<String> {
    let Some((key, rest)) = rest.split_first() else {
        let is_positive = value.as_f64().is_some_and(|n| n.is_finite() && n > 0.0);
        return (!is_positive).then(|| path.to_owned());
    };
    match (*key, value) {
        ("*", Value::Array(items)) => items
            .iter()
            .enumerate()
            .find_map(|(index, item)| find_non_positive(&child_path(path, &index.to_string()), item, rest)),
        // Missing keys are reported by `missing_key`.
        (key, value) => find_non_positive(&child_path(path, key), value.get(key)?, rest),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn complete_config() -> Value {
        json!({"listen": "a", "known": null, "settings": {"caps": {"maxAttempts": 3}, "zones": ["a"],
            "classes": [{"name": "a", "giveUpNs": 5, "aimStretch": 1}, {"name": "b", "giveUpNs": 7, "own": 1}]}})
    }

    #[test]
    fn the_first_missing_key_is_reported() {
        let old = RawConfig::new(complete_config());
        let without = |path: &str| {
            let mut new = complete_config();
            let (parent, key) = path.rsplit_once('/').unwrap();
            let object = new.pointer_mut(parent).unwrap().as_object_mut().unwrap();
            assert!(object.remove(key).is_some(), "{path}");
            old.missing_key(&RawConfig::new(new))
        };
        for (path, expected) in [
            ("/listen", Some("listen")),
            ("/settings", Some("settings")),
            ("/settings/caps/maxAttempts", Some("settings.caps.maxAttempts")),
            ("/settings/classes/1/giveUpNs", Some("settings.classes.1.giveUpNs")),
            ("/settings/classes/1/own", None),
            ("/settings/classes/0/aimStretch", None),
            ("/known", None),
        ] {
            assert_eq!(without(path).as_deref(), expected, "{path}");
        }
        let mut fewer_classes = complete_config();
        fewer_classes["settings"]["classes"].as_array_mut().unwrap().pop();
        fewer_classes["settings"]["more"] = json!(1);
        assert_eq!(
            old.missing_key(&RawConfig::new(fewer_classes)),
            None,
            "classes may be removed and keys added"
        );
        let mut text = complete_config();
        text["settings"]["classes"] = json!("none");
        assert_eq!(old.missing_key(&RawConfig::new(text)).as_deref(), Some("settings.classes"));
    }

    #[test]
    fn numbers_that_are_not_positive_are_reported() {
        assert_eq!(RawConfig::new(complete_config()).non_positive_number(), None);
        for invalid in [json!(0), json!(-5), json!("3"), json!(null), json!([3]), json!(true)] {
            let mut new = complete_config();
            new["settings"]["caps"]["maxAttempts"] = invalid.clone();
            assert_eq!(
                RawConfig::new(new).non_positive_number().as_deref(),
                Some("settings.caps.maxAttempts"),
                "{invalid}"
            );
            let mut new = complete_config();
            new["settings"]["classes"][1]["giveUpNs"] = invalid.clone();
            assert_eq!(
                RawConfig::new(new).non_positive_number().as_deref(),
                Some("settings.classes.1.giveUpNs"),
                "{invalid}"
            );
        }
        let mut new = complete_config();
        new["settings"]["caps"]["maxAttempts"] = json!(2.0);
        assert_eq!(RawConfig::new(new).non_positive_number(), None);
    }
}
