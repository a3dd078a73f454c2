//! Stand-ins for the cases of the second review: clients, servers and discovery on loopback, and the control of the
//! gateway's process. Only the standard library is used.

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod http;
pub mod random;
pub mod record;
pub mod server;
pub mod sockets;

/// Whether the case plays its disruption: yes, unless the environment has `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with the status that a case reports: 0 if the rule held, 1 if it was broken.
pub fn finish(broken: bool) -> ! {
    gateway::kill_all();
    record::note(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
    std::process::exit(i32::from(broken))
}

/// Ends the process with status 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    gateway::kill_all();
    record::note(&format!("RESULT: the case could not run: {why}"));
    std::process::exit(2)
}

/// Ends the case with status 2 if it is still running after this time.
pub fn limit_time(limit: std::time::Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        cannot_run("out of time")
    });
}
