//! The output of the command line.

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
        let errors = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{errors}");
        // Stderr is not a terminal: one line for each mistake, without a drawing of the source.
        assert_eq!(errors.matches("127.0.0.1:70000").count(), 1, "{errors}");
        assert!(errors.lines().all(|line| line.starts_with(path.to_str().unwrap())), "{errors}");
    }
}
