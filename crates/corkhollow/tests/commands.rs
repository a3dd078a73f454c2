//! `check`, `explain` and `reference`, as an operator runs them.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("corkhollow-commands-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn put(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn corkhollow(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_corkhollow")).args(args).output().expect("the program runs")
}

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

const SITE: &str = r#"
[[listener]]
name = "web"
address = "127.0.0.1:8080"

[[listener]]
name = "inner"
address = "127.0.0.1:8081"

[[pool]]
name = "boxes"
watch = "boxes.toml"

[[route]]
name = "secret"
listeners = ["web"]
path_prefix = "/admin"
answer = { status = 403 }

[[route]]
name = "all"
pool = "boxes"
"#;

#[test]
fn check_follows_the_file_and_those_that_it_names() {
    let folder = Folder::new();
    let site = folder.put("site.toml", SITE);
    let missing = corkhollow(&["check", &site]);
    assert!(!missing.status.success() && err(&missing).contains("boxes.toml"), "{}", err(&missing));
    folder.put("boxes.toml", "[[servers]]\naddress = \"127.0.0.1:x\"\n");
    let bad = corkhollow(&["check", &site]);
    assert!(err(&bad).contains("boxes.toml:2:11: error: servers[0].address"), "{}", err(&bad));
    folder.put("boxes.toml", "[[servers]]\naddress = \"127.0.0.1:9001\"\n");
    let good = corkhollow(&["check", &site]);
    assert!(good.status.success(), "{}", err(&good));
    assert!(out(&good).contains("valid; listeners: 2, routes: 2, pools: 1"), "{}", out(&good));
}

#[test]
fn check_prints_every_fault_and_fails() {
    let folder = Folder::new();
    let site = folder.put("site.toml", &SITE.replace("watch = \"boxes.toml\"", "wach = 3\nmax_attempts = 0"));
    let output = corkhollow(&["check", &site]);
    assert_eq!(output.status.code(), Some(1));
    let said = err(&output);
    assert!(
        said.contains(&format!("{site}:12:1: error: pool[0].wach: unknown key; did you mean `watch`?")),
        "{said}"
    );
    assert!(
        said.contains(&format!("{site}:13:16: error: pool[0].max_attempts: 0 is out of range")),
        "{said}"
    );
    let nowhere = corkhollow(&["check", "/nowhere/site.toml"]);
    assert!(!nowhere.status.success() && err(&nowhere).contains("cannot read /nowhere/site.toml"));
}

/// No way of writing a path leads round a route, and the listener counts.
#[test]
fn explain_tells_the_route_and_why() {
    let folder = Folder::new();
    let site = folder.put("site.toml", SITE);
    for (request, expected) in [
        ("GET http://a.org:8080/admin/x", "route     secret"),
        ("GET http://a.org:8080/x/../admin", "route     secret"),
        ("GET http://a.org:8080//admin", "route     secret"),
        ("GET http://a.org:8080/%61dmin", "route     secret"),
        ("GET http://a.org:8080/admin%2Fx", "answer    400"),
        ("GET http://a.org:8080/administrator", "route     all"),
        ("POST http://a.org:8081/admin", "passed    route secret: it is for other listeners"),
        ("http://a.org:8080/x", "class     read (by the method): safe"),
    ] {
        let output = corkhollow(&["explain", &site, request]);
        assert!(output.status.success() && out(&output).contains(expected), "{request}: {}", out(&output));
    }
    let named = corkhollow(&["explain", &site, "GET /admin", "--listener", "inner", "-H", "Host: b.org"]);
    assert!(
        out(&named).contains("host      b.org") && out(&named).contains("route     all"),
        "{}",
        out(&named)
    );
    for bad in [&["explain", &site, "GET /", "--listener", "x"][..], &["explain", &site, "G T http://a b"]] {
        assert!(!corkhollow(bad).status.success(), "{bad:?}");
    }
}

#[test]
fn the_program_tells_of_itself() {
    assert!(out(&corkhollow(&["--help"])).contains("SIGHUP"));
    assert!(out(&corkhollow(&["reference"])).contains("### `[[route]]`"));
}
