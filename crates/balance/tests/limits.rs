//! The operators read the decision module aloud: it has to stay short, and `deploy/balancer.toml` has to name all of it.

use std::path::Path;

#[test]
fn the_module_stays_within_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let mut lines = 0;
    for entry in std::fs::read_dir(root.join("crates/balance/src/balancer")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        let path = format!("crates/balance/src/balancer/{name}");
        assert!(deploy.contains(&format!("\"{path}\"")), "`policy` does not name {path}");
        let text = std::fs::read_to_string(root.join(&path)).unwrap();
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
        let long: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(long.is_empty(), "{path}: too long: {long:?}");
    }
    assert!((300..=1200).contains(&lines), "{lines} lines");
}
