//! The fleet in the settings: `#FleetOf` of an edge's, and `#Site`, the settings of `lilacpitch-site`.

use crate::edge::{schema, Log};
use crate::{de_duration, load, load_text, ConfigError, Loaded};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A site, as one process reaches it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SiteAt {
    /// Its name.
    pub name: String,
    /// The site above; empty for the root.
    pub parent: String,
    /// Where its processes are reached, in their order.
    pub processes: Vec<SocketAddr>,
}

/// What the whole fleet agrees on. Spans are nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Terms {
    /// A lease's length.
    #[serde(deserialize_with = "de_duration", rename = "lease")]
    pub lease_ns: u64,
    /// How much faster or slower clocks may run, as a share.
    pub clock_allowance: f64,
    /// Who has not applied an order for so long gets no further lease.
    #[serde(deserialize_with = "de_duration", rename = "straggler")]
    pub straggler_ns: u64,
    /// A summary older than this rules nothing out.
    #[serde(deserialize_with = "de_duration", rename = "settle")]
    pub settle_ns: u64,
    /// The gap between questions for summaries.
    #[serde(deserialize_with = "de_duration", rename = "poll")]
    pub poll_ns: u64,
    /// Wanted time of one process's answer.
    #[serde(deserialize_with = "de_duration", rename = "ask")]
    pub ask_ns: u64,
    /// How long the rows of a front without a lease are kept.
    #[serde(deserialize_with = "de_duration", rename = "rows_kept")]
    pub rows_kept_ns: u64,
}

/// A front's side of the fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct FleetOf {
    /// Its home site.
    pub home: String,
    /// All sites.
    pub sites: Vec<SiteAt>,
    /// The pool through which its callers are reached.
    pub pool: String,
    /// The file of keys.
    pub key_file: String,
    /// A call waits for a locate no longer than this share of its budget,
    pub locate_share: f64,
    /// and no longer than this, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "locate_longest")]
    pub locate_longest_ns: u64,
    /// Numbers whose answers are kept.
    pub cache: usize,
    /// Questions under way at once.
    pub questions: usize,
    /// Threads of the agent.
    pub threads: usize,
    /// What the fleet agrees on.
    pub terms: Terms,
}

/// Settings of one process of a site.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Site {
    /// The process's name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its place there.
    pub place: usize,
    /// Where links come in.
    pub listen: SocketAddr,
    /// Where its pages are read.
    #[serde(default)]
    pub pages: Option<SocketAddr>,
    /// Its folder.
    pub data: String,
    /// All sites.
    pub sites: Vec<SiteAt>,
    /// The file of keys.
    pub key_file: String,
    /// Shards of the register.
    pub shards: usize,
    /// Threads.
    pub threads: usize,
    /// Questions worked on at once.
    pub questions: usize,
    /// What the fleet agrees on.
    pub terms: Terms,
    /// Logging.
    pub log: Log,
}

type Wrong = (String, String);

impl FleetOf {
    pub(crate) fn check(&self, at: &str) -> Result<(), Wrong> {
        check_sites(&self.sites, at)?;
        check_terms(&self.terms, at)?;
        if !self.sites.iter().any(|site| site.name == self.home) {
            return Err((format!("{at}home"), format!("site {:?} is not among the sites", self.home)));
        }
        Ok(())
    }
}

fn check_sites(sites: &[SiteAt], at: &str) -> Result<(), Wrong> {
    let place = |index: usize, field: &str| format!("{at}sites[{index}].{field}");
    for (index, site) in sites.iter().enumerate() {
        if sites[..index].iter().any(|other| other.name == site.name) {
            return Err((place(index, "name"), format!("site {:?} is given twice", site.name)));
        }
        if site.processes.len() > 63 {
            return Err((place(index, "processes"), "more than 63 processes".into()));
        }
        // Upwards: the root is reached within as many steps as there are sites, or there is a ring.
        let mut above = site;
        for _ in 0..=sites.len() {
            if above.parent.is_empty() {
                break;
            }
            match sites.iter().find(|other| other.name == above.parent) {
                Some(parent) => above = parent,
                None => {
                    let what = format!("site {:?} is not among the sites", above.parent);
                    return Err((place(index, "parent"), what));
                }
            }
        }
        if !above.parent.is_empty() {
            return Err((place(index, "parent"), "goes round in a ring".into()));
        }
    }
    match sites.iter().filter(|site| site.parent.is_empty()).count() {
        1 => Ok(()),
        roots => Err((format!("{at}sites"), format!("{roots} sites without a parent, wanted one: the root"))),
    }
}

fn check_terms(terms: &Terms, at: &str) -> Result<(), Wrong> {
    let spans = [
        ("lease", terms.lease_ns),
        ("straggler", terms.straggler_ns),
        ("settle", terms.settle_ns),
        ("poll", terms.poll_ns),
        ("ask", terms.ask_ns),
    ];
    if let Some((field, _)) = spans.iter().find(|(_, ns)| *ns == 0) {
        return Err((format!("{at}terms.{field}"), "must be above 0".into()));
    }
    if terms.poll_ns > terms.settle_ns / 2 {
        let what = "is longer than half of settle: summaries would be too old before new ones come";
        return Err((format!("{at}terms.poll"), what.into()));
    }
    Ok(())
}

impl Site {
    /// Reads and checks a settings file; files and folders that it names are taken from its own folder.
    ///
    /// # Errors
    /// A file that is unreadable, or a field that is wrong, by place and cause.
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

    /// Reads and checks settings from a text that errors call `name`.
    ///
    /// # Errors
    /// A field that is missing or wrong, by place and cause.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Site>, ConfigError> {
        checked(load_text(&schema()?, "#Site", name, text)?)
    }
}

fn checked(loaded: Loaded<Site>) -> Result<Loaded<Site>, ConfigError> {
    let site = &loaded.value;
    let shared = check_sites(&site.sites, "").and_then(|()| check_terms(&site.terms, ""));
    shared.map_err(|(path, what)| loaded.error_at(&path, what))?;
    let Some(own) = site.sites.iter().find(|other| other.name == site.site) else {
        return Err(loaded.error_at("site", format!("site {:?} is not among the sites", site.site)));
    };
    if site.place >= own.processes.len() {
        let what = format!("site {:?} has {} processes", site.site, own.processes.len());
        return Err(loaded.error_at("place", what));
    }
    Ok(loaded)
}
