//! Checks that only the platform adapter contains names of the platform's protocol.

use std::fs;
use std::path::{Path, PathBuf};

/// Names that are specific to the platform, as opposed to common technical terms.
const PLATFORM_NAMES: &[&str] = &[
    "x-deadline-ms",
    "x-expect-instance",
    "x-not-executed",
    "x-prompt-prefix",
    "x-server-load",
    "x-server-stamp",
    "x-tenant",
    "x-token-usage",
    "completion-target-ms",
    "dead_lettered",
    "deregister",
    "gap-target-ms",
    "kv-capacity-tokens",
    "max-queue-s",
    "path-prefix",
    "rate-per-s",
    "target-latency-ms",
    "token-count",
    "weighted-services",
    "/config/replace",
    "/instances/",
    "/lots/",
    "/retire/",
    "fleetbench",
];

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("an entry").path();
        let is_tests = path.file_name().is_some_and(|name| name == "tests");
        if path.is_dir() && !is_tests {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_source_outside_the_adapter_contains_a_platform_name() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    rust_files(&root.join("src"), &mut files);
    rust_files(&root.join("crates"), &mut files);
    assert!(files.len() > 200, "{} files", files.len());
    for file in files {
        let text = fs::read_to_string(&file)
            .expect("the file is UTF-8 text")
            .to_lowercase();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{} contains {name}", file.display());
        }
    }
}
