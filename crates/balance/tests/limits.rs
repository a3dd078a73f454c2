//! Limits on the files of the decision module: each stays short, and `deploy/balancer.toml` names all of
//! them.

use std::path::Path;

/// Maximum number of non-blank lines of a file.
const MAX_LINES: usize = 250;

#[test]
fn files_stay_within_their_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    for entry in std::fs::read_dir(root.join("crates/balance/src/balancer")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        let path = format!("crates/balance/src/balancer/{name}");
        assert!(deploy.contains(&format!("\"{path}\"")), "`policy` does not name {path}");
        let text = std::fs::read_to_string(root.join(&path)).unwrap();
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!((1..=MAX_LINES).contains(&lines), "{path}: {lines} lines");
        let long: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(long.is_empty(), "{path}: too long: {long:?}");
    }
}
