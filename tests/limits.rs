//! The operators read the decision module aloud: it has to stay short.

#[test]
fn the_module_stays_within_its_limits() {
    let text = include_str!("../src/balance.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!((300..=850).contains(&lines), "{lines} lines");
    let long: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(long.is_empty(), "too long: {long:?}");
    assert!(text.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}
