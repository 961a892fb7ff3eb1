//! Settings of the fleet's location service: `#FleetOf` in a front's settings, and `#Site`, the settings of
//! `lilacpitch-site`.

use crate::edge::{schema, Log};
use crate::{de_duration, load, load_text, ConfigError, Loaded};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A site and the addresses of its processes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SiteAt {
    /// The site's name.
    pub name: String,
    /// Name of the parent site; empty for the root.
    pub parent: String,
    /// Addresses of its processes; the index of each is its `place`.
    pub processes: Vec<SocketAddr>,
}

/// Parameters that must be the same in the whole fleet. Durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Terms {
    /// Duration of a lease.
    #[serde(deserialize_with = "de_duration", rename = "lease")]
    pub lease_ns: u64,
    /// Largest drift of a clock from true time, as a share of the time elapsed.
    pub clock_allowance: f64,
    /// A lease holder that has not applied a command for this long gets no further lease.
    #[serde(deserialize_with = "de_duration", rename = "straggler")]
    pub straggler_ns: u64,
    /// Age after which a summary rules its site out of no locate, so that a record is found by every locate
    /// that begins this long after the record was acknowledged.
    #[serde(deserialize_with = "de_duration", rename = "settle")]
    pub settle_ns: u64,
    /// Interval between requests for summaries.
    #[serde(deserialize_with = "de_duration", rename = "poll")]
    pub poll_ns: u64,
    /// Time in which one process should answer a request.
    #[serde(deserialize_with = "de_duration", rename = "ask")]
    pub ask_ns: u64,
    /// How long the location records of a front are kept after it has stopped requesting leases.
    #[serde(deserialize_with = "de_duration", rename = "rows_kept")]
    pub rows_kept_ns: u64,
}

/// A front's settings of the fleet's location service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct FleetOf {
    /// The site that the front writes its records to and gets purges from.
    pub home: String,
    /// All sites of the fleet.
    pub sites: Vec<SiteAt>,
    /// The pool through which the front's callers are reached, as its records name it.
    pub pool: String,
    /// Path of the file of keys.
    pub key_file: String,
    /// Longest wait of a call for a locate, as a share of the call's budget.
    pub locate_share: f64,
    /// Longest wait of a call for a locate, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "locate_longest")]
    pub locate_longest_ns: u64,
    /// Most numbers whose locate results are cached.
    pub cache: usize,
    /// Most lookups and searches in flight at once.
    pub questions: usize,
    /// Worker threads of the front's agent in the fleet.
    pub threads: usize,
    /// Parameters that must be the same in the whole fleet.
    pub terms: Terms,
}

/// Settings of one process of a site.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Site {
    /// The process's name.
    pub name: String,
    /// The site that the process belongs to.
    pub site: String,
    /// Position of the process in its site, from 0.
    pub place: usize,
    /// The address that connections of fronts and other processes are accepted on.
    pub listen: SocketAddr,
    /// The address that the metrics and admin pages are served on, if they are.
    #[serde(default)]
    pub pages: Option<SocketAddr>,
    /// Path of the data folder.
    pub data: String,
    /// All sites of the fleet.
    pub sites: Vec<SiteAt>,
    /// Path of the file of keys.
    pub key_file: String,
    /// Number of shards of the site's record store.
    pub shards: usize,
    /// Threads that serve connections.
    pub threads: usize,
    /// Most queries for location records handled at once; more are rejected.
    pub questions: usize,
    /// Parameters that must be the same in the whole fleet.
    pub terms: Terms,
    /// Settings of the log.
    pub log: Log,
}

/// A field that breaks a rule.
pub(crate) struct FieldError {
    pub path: String,
    pub message: String,
}

impl FieldError {
    fn new(path: String, message: impl Into<String>) -> Self {
        FieldError { path, message: message.into() }
    }
}

impl FleetOf {
    /// Checks the rules that concern several fields. `prefix` is put before the paths in errors.
    pub(crate) fn check(&self, prefix: &str) -> Result<(), FieldError> {
        check_sites(&self.sites, prefix)?;
        check_terms(&self.terms, prefix)?;
        if !self.sites.iter().any(|site| site.name == self.home) {
            let message = format!("site {:?} is not among the sites", self.home);
            return Err(FieldError::new(format!("{prefix}home"), message));
        }
        Ok(())
    }
}

/// Checks that the sites form a tree with one root and that their names differ.
fn check_sites(sites: &[SiteAt], prefix: &str) -> Result<(), FieldError> {
    let path = |index: usize, field: &str| format!("{prefix}sites[{index}].{field}");
    for (index, site) in sites.iter().enumerate() {
        if sites[..index].iter().any(|other| other.name == site.name) {
            let message = format!("site {:?} is given twice", site.name);
            return Err(FieldError::new(path(index, "name"), message));
        }
        if site.processes.len() > 63 {
            return Err(FieldError::new(path(index, "processes"), "more than 63 processes"));
        }
        // The root is reached within as many steps as there are sites, unless the parents form a cycle.
        let mut ancestor = site;
        for _ in 0..=sites.len() {
            if ancestor.parent.is_empty() {
                break;
            }
            match sites.iter().find(|other| other.name == ancestor.parent) {
                Some(parent) => ancestor = parent,
                None => {
                    let message = format!("site {:?} is not among the sites", ancestor.parent);
                    return Err(FieldError::new(path(index, "parent"), message));
                }
            }
        }
        if !ancestor.parent.is_empty() {
            return Err(FieldError::new(path(index, "parent"), "is part of a cycle"));
        }
    }
    match sites.iter().filter(|site| site.parent.is_empty()).count() {
        1 => Ok(()),
        roots => {
            let message = format!("{roots} sites without a parent, wanted one: the root");
            Err(FieldError::new(format!("{prefix}sites"), message))
        }
    }
}

fn check_terms(terms: &Terms, prefix: &str) -> Result<(), FieldError> {
    let durations = [
        ("lease", terms.lease_ns),
        ("straggler", terms.straggler_ns),
        ("settle", terms.settle_ns),
        ("poll", terms.poll_ns),
        ("ask", terms.ask_ns),
    ];
    if let Some((field, _)) = durations.iter().find(|(_, ns)| *ns == 0) {
        return Err(FieldError::new(format!("{prefix}terms.{field}"), "must be above 0"));
    }
    if terms.poll_ns > terms.settle_ns / 2 {
        let message = "is longer than half of settle: summaries would expire before new ones arrive";
        return Err(FieldError::new(format!("{prefix}terms.poll"), message));
    }
    Ok(())
}

impl Site {
    /// Reads and checks a settings file. Relative paths in it are resolved against the file's own folder.
    ///
    /// # Errors
    /// The cause if the file cannot be read; the place and cause of each field that is missing or wrong.
    pub fn load(path: &Path) -> Result<Loaded<Site>, ConfigError> {
        let mut loaded = checked(load(&schema()?, "#Site", path)?)?;
        if let Some(folder) = path.parent() {
            let site = &mut loaded.value;
            for file in [&mut site.key_file, &mut site.data] {
                *file = folder.join(&*file).display().to_string();
            }
        }
        Ok(loaded)
    }

    /// Reads and checks settings from a text. Errors refer to the text as `name`.
    ///
    /// # Errors
    /// The place and cause of each field that is missing or wrong.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Site>, ConfigError> {
        checked(load_text(&schema()?, "#Site", name, text)?)
    }
}

/// Checks the rules that concern several fields.
fn checked(loaded: Loaded<Site>) -> Result<Loaded<Site>, ConfigError> {
    let site = &loaded.value;
    let shared = check_sites(&site.sites, "").and_then(|()| check_terms(&site.terms, ""));
    shared.map_err(|error| loaded.error_at(&error.path, error.message))?;
    let Some(own) = site.sites.iter().find(|other| other.name == site.site) else {
        return Err(loaded.error_at("site", format!("site {:?} is not among the sites", site.site)));
    };
    if site.place >= own.processes.len() {
        let message = format!("site {:?} has {} processes", site.site, own.processes.len());
        return Err(loaded.error_at("place", message));
    }
    Ok(loaded)
}
