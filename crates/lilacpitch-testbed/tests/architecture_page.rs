//! The architecture page names only what exists: packages, files, modules and types.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = "docs/architecture.md";
/// Words in code font that are commands, keys or programs, not names in the sources.
const NOT_CODE: [&str; 4] = ["run", "node", "policy", "lilacpitch-wirehost"];
/// Keywords that declare a name in Rust.
const DECLARATIONS: [&str; 5] = ["struct ", "enum ", "trait ", "type ", "mod "];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the sources of all packages, without their tests.
fn sources() -> Vec<String> {
    let mut files = Vec::new();
    for package in fs::read_dir(repository().join("crates")).unwrap() {
        rust_files(&package.unwrap().path().join("src"), &mut files);
    }
    files.iter().map(|file| fs::read_to_string(file).unwrap()).collect()
}

/// Returns the words of a page in code font, outside of fenced blocks.
fn code_words(page: &str) -> BTreeSet<String> {
    let mut is_fenced = false;
    let mut words = BTreeSet::new();
    for line in page.lines() {
        if line.starts_with("```") {
            is_fenced = !is_fenced;
        } else if !is_fenced {
            words.extend(line.split('`').skip(1).step_by(2).map(String::from));
        }
    }
    words
}

fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

fn holds_word(text: &str, word: &str) -> bool {
    text.match_indices(word).any(|(at, _)| {
        let is_start = !text[..at].ends_with(is_word_character);
        let is_end = !text[at + word.len()..].starts_with(is_word_character);
        is_start && is_end
    })
}

fn declares(source: &str, name: &str) -> bool {
    DECLARATIONS.iter().any(|keyword| holds_word(source, &format!("{keyword}{name}")))
}

/// Returns whether `Enum::Variant` names a variant: a source that declares the enum contains the variant's
/// name.
fn has_variant(sources: &[String], name: &str) -> bool {
    let (owner, variant) = name.split_once("::").unwrap();
    let in_source =
        |source: &&String| holds_word(source, &format!("enum {owner}")) && holds_word(source, variant);
    sources.iter().any(|source| in_source(&source))
}

fn exists(sources: &[String], word: &str) -> bool {
    let is_package = word.starts_with("lilacpitch") && repository().join("crates").join(word).is_dir();
    let is_path = word.contains('/') && repository().join(word).exists();
    let is_variant = word.contains("::") && has_variant(sources, word);
    let is_declared = !word.contains("::") && sources.iter().any(|source| declares(source, word));
    is_package || is_path || is_variant || is_declared
}

#[test]
fn architecture_page_names_only_what_exists() {
    let page = fs::read_to_string(repository().join(PAGE)).unwrap();
    let sources = sources();
    let words: Vec<String> =
        code_words(&page).into_iter().filter(|word| !NOT_CODE.contains(&word.as_str())).collect();
    assert!(words.len() > 40, "the page has too few words in code font: {words:?}");
    let singular = |word: &str| word.strip_suffix('s').unwrap_or(word).to_string();
    let missing: Vec<&String> =
        words.iter().filter(|word| !exists(&sources, word) && !exists(&sources, &singular(word))).collect();
    assert!(missing.is_empty(), "{PAGE} names what does not exist: {missing:?}");
}

#[test]
fn detects_names_that_do_not_exist() {
    let sources = sources();
    for word in ["Brain", "crates/lilacpitch/src/brain.rs", "Action::Sent", "lilacpitch-lab", "EdgeCores"] {
        assert!(!exists(&sources, word), "{word}");
    }
}
