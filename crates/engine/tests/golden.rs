//! Reasons as metrics and the events page show them.

use corkhollow_balance::interface::Refusal;
use corkhollow_engine::rules::Denial;

#[test]
fn reasons_keep_their_names() {
    let denials = [
        "request-over",
        "out-of-time",
        "too-many-attempts",
        "body-spent",
        "another-attempt-open",
        "may-have-run",
        "window-over",
        "other-group",
        "server-not-ready",
        "refusal-not-harmless",
    ];
    assert_eq!(Denial::ALL.map(Denial::name), denials);
    assert_eq!(Refusal::ALL.map(Refusal::name), ["no-server", "too-slow", "attempts-failed"]);
}
