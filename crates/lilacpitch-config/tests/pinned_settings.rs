//! Pins the format of settings files: the text of the schema, and the record with all defaults that results
//! from minimal files. Files written for an earlier build must keep their meaning when types of the program
//! are renamed.

use lilacpitch_config::{load_text, Edge, Pools, Schema, Site, EDGE_SCHEMA};
use serde_json::Value;

/// The record of a text after unification with a definition of the schema, as indented JSON.
fn concrete(definition: &str, text: &str) -> String {
    let schema = Schema::new("schema.cue", EDGE_SCHEMA).unwrap();
    let record = load_text::<Value>(&schema, definition, "minimal.cue", text).unwrap().value;
    serde_json::to_string_pretty(&record).unwrap() + "\n"
}

#[test]
fn schema_of_settings_and_pool_lists_is_unchanged() {
    assert_eq!(EDGE_SCHEMA, include_str!("data/schema.cue"));
}

#[test]
fn minimal_front_settings_get_the_pinned_defaults() {
    let text = include_str!("data/minimal_edge.cue");
    assert_eq!(concrete("#Edge", text), include_str!("data/minimal_edge.json"));
    Edge::from_text("minimal_edge.cue", text).unwrap();
}

#[test]
fn minimal_site_settings_get_the_pinned_defaults() {
    let text = include_str!("data/minimal_site.cue");
    assert_eq!(concrete("#Site", text), include_str!("data/minimal_site.json"));
    Site::from_text("minimal_site.cue", text).unwrap();
}

#[test]
fn minimal_pool_list_gets_the_pinned_defaults() {
    let text = include_str!("data/minimal_pools.cue");
    assert_eq!(concrete("#Pools", text), include_str!("data/minimal_pools.json"));
    Pools::from_text("minimal_pools.cue", text).unwrap();
}
