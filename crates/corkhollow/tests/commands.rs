//! `check`, `explain` and `reference`, as an operator runs them.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder that is removed at the end of the test.
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

    /// Writes a file and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
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

fn run_corkhollow(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_corkhollow")).args(args).output().expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

const CONFIG: &str = r#"
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
fn check_reads_the_watched_files_that_the_file_names() {
    let folder = Folder::new();
    let config_path = folder.write_file("site.toml", CONFIG);
    let missing = run_corkhollow(&["check", &config_path]);
    assert!(!missing.status.success() && stderr(&missing).contains("boxes.toml"), "{}", stderr(&missing));
    folder.write_file("boxes.toml", "[[servers]]\naddress = \"127.0.0.1:x\"\n");
    let invalid = run_corkhollow(&["check", &config_path]);
    assert!(stderr(&invalid).contains("boxes.toml:2:11: error: servers[0].address"), "{}", stderr(&invalid));
    folder.write_file("boxes.toml", "[[servers]]\naddress = \"127.0.0.1:9001\"\n");
    let valid = run_corkhollow(&["check", &config_path]);
    assert!(valid.status.success(), "{}", stderr(&valid));
    assert!(stdout(&valid).contains("valid; listeners: 2, routes: 2, pools: 1"), "{}", stdout(&valid));
}

#[test]
fn check_prints_every_error_and_fails() {
    let folder = Folder::new();
    let config_path = folder
        .write_file("site.toml", &CONFIG.replace("watch = \"boxes.toml\"", "wach = 3\nmax_attempts = 0"));
    let output = run_corkhollow(&["check", &config_path]);
    assert_eq!(output.status.code(), Some(1));
    let errors = stderr(&output);
    assert!(
        errors.contains(&format!(
            "{config_path}:12:1: error: pool[0].wach: unknown key; did you mean `watch`?"
        )),
        "{errors}"
    );
    assert!(
        errors.contains(&format!("{config_path}:13:16: error: pool[0].max_attempts: 0 is out of range")),
        "{errors}"
    );
    let missing = run_corkhollow(&["check", "/nowhere/site.toml"]);
    assert!(!missing.status.success() && stderr(&missing).contains("cannot read /nowhere/site.toml"));
}

/// Equivalent spellings of a path match the same route, and routes are limited to their listeners.
#[test]
fn explain_prints_the_route_and_the_reason() {
    let folder = Folder::new();
    let config_path = folder.write_file("site.toml", CONFIG);
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
        let output = run_corkhollow(&["explain", &config_path, request]);
        assert!(
            output.status.success() && stdout(&output).contains(expected),
            "{request}: {}",
            stdout(&output)
        );
    }
    let with_options =
        run_corkhollow(&["explain", &config_path, "GET /admin", "--listener", "inner", "-H", "Host: b.org"]);
    assert!(
        stdout(&with_options).contains("host      b.org") && stdout(&with_options).contains("route     all"),
        "{}",
        stdout(&with_options)
    );
    for arguments in [
        &["explain", &config_path, "GET /", "--listener", "x"][..],
        &["explain", &config_path, "G T http://a b"],
    ] {
        assert!(!run_corkhollow(arguments).status.success(), "{arguments:?}");
    }
}

#[test]
fn help_and_reference_are_printed() {
    assert!(stdout(&run_corkhollow(&["--help"])).contains("SIGHUP"));
    assert!(stdout(&run_corkhollow(&["reference"])).contains("### `[[route]]`"));
}
