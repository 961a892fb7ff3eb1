//! Pins what day files mean: their schema as text, and the record, with all defaults, that comes out of a
//! minimal day and of one that uses every kind of trouble and every key. Day files that were written for an
//! earlier build must go on meaning the same, whatever the program's own types are called.

use lilacpitch_config::{load_text, Schema};
use lilacpitch_testbed::day::{Day, DAY_SCHEMA};
use serde_json::Value;

/// The record of a day after unification with the schema, as indented JSON.
fn concrete(text: &str) -> String {
    let schema = Schema::new("day.cue", DAY_SCHEMA).unwrap();
    let record = load_text::<Value>(&schema, "#Day", "pinned.cue", text).unwrap().value;
    serde_json::to_string_pretty(&record).unwrap() + "\n"
}

#[test]
fn schema_of_day_files_is_unchanged() {
    assert_eq!(DAY_SCHEMA, include_str!("data/day_schema.cue"));
}

#[test]
fn minimal_day_gets_the_pinned_defaults() {
    let text = include_str!("data/minimal_day.cue");
    assert_eq!(concrete(text), include_str!("data/minimal_day.json"));
    Day::from_text("minimal_day.cue", text).unwrap();
}

#[test]
fn day_with_every_key_and_kind_of_trouble_keeps_its_record() {
    let text = include_str!("data/full_day.cue");
    assert_eq!(concrete(text), include_str!("data/full_day.json"));
    Day::from_text("full_day.cue", text).unwrap();
}
