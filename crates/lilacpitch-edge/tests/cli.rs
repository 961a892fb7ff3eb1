//! What an operator sees of the command line.

use std::process::Command;

#[test]
fn reports_a_mistake_in_the_settings_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("edge.cue");
    std::fs::write(&path, "listen: \"127.0.0.1:70000\"\n").unwrap();
    for command in ["check", "run"] {
        let out = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .args([command, "--config"])
            .arg(&path)
            .output()
            .unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{said}");
        // Not to a terminal: a line a mistake, nothing drawn.
        assert_eq!(said.matches("127.0.0.1:70000").count(), 1, "{said}");
        assert!(said.lines().all(|line| line.starts_with(path.to_str().unwrap())), "{said}");
    }
}
