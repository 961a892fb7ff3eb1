//! Reads the JSON settings that a front gets at its start, for both the adapter and the front node.

use crate::interface::{Class, Idempotency, LoadReport, Nanos, Scope, Settings};
use serde_json::Value;
use std::fmt;

/// Largest absolute value of a figure in settings and load reports; as nanoseconds, three years.
const MAX_FIGURE: f64 = 1e17;

/// An error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path of keys.
    pub field: String,
    /// What is wrong with the field.
    pub what: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.what)
    }
}

impl std::error::Error for SettingsError {}

/// The error for a value of a server's load report that is not a finite number, or over 1e17.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportValueError {
    /// The value as reported, at most 40 characters of it.
    pub value: String,
}

impl fmt::Display for ReportValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a number: {}", self.value)
    }
}

impl std::error::Error for ReportValueError {}

fn invalid<T>(field: &str, what: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { field: field.to_string(), what: what.into() })
}

/// The settings of a front: those of its controller, and those of the program that embeds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// Settings of the controller.
    pub settings: Settings,
    /// Names of the values in a server's load report, in the order in which they are listed.
    pub report_fields: Vec<String>,
    /// Names of the classes; their positions are the class indices of calls.
    pub class_names: Vec<String>,
    /// Names of the zones; their positions are the zone indices of endpoints.
    pub zone_names: Vec<String>,
    /// Maximum number of open calls; further ones are rejected before they reach the controller.
    pub max_open: usize,
    /// Time after which an attempt to connect to a server is given up.
    pub connect_timeout_ns: Nanos,
    /// Time after a front learns that a server drains within which set-ups may still be sent to it.
    pub drain_grace_ns: Nanos,
}

impl Site {
    /// Reads the settings from JSON text.
    ///
    /// # Errors
    /// Text that is not JSON, or the field that is missing or wrong.
    pub fn read(text: &str) -> Result<Site, SettingsError> {
        match serde_json::from_str(text) {
            Ok(value) => Site::from_value(&value),
            Err(error) => invalid("info", format!("not JSON: {error}")),
        }
    }

    /// Reads the settings from a parsed JSON value.
    ///
    /// # Errors
    /// The field that is missing or wrong.
    pub fn from_value(root: &Value) -> Result<Site, SettingsError> {
        if !root.is_object() {
            return invalid("info", "not an object");
        }
        let fields = Fields(root);
        let class_values = fields.get("classes").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        let pools_by_class = fields.get("family_info.pools_by_class");
        let classes = class_values
            .iter()
            .enumerate()
            .map(|(index, class)| read_class(index, class, pools_by_class.and_then(|pools| pools.get(index))))
            .collect::<Result<Vec<_>, _>>()?;
        if classes.is_empty() {
            return invalid("classes", "no classes");
        }
        let tick_ns = fields.duration("tick_ns", 0.0)?;
        if tick_ns == 0 {
            return invalid("tick_ns", "must be above 0");
        }
        let settings = controller_settings(&fields, classes, tick_ns)?;
        Ok(Site {
            settings,
            report_fields: fields.strings("report.fields"),
            class_names: class_values.iter().map(|class| string(class.get("name"))).collect(),
            zone_names: fields.strings("dcs"),
            max_open: fields.number("permissions.max_open", f64::from(u32::MAX))?.max(1.0) as usize,
            connect_timeout_ns: fields.duration("permissions.connect_timeout_ns", 1e9)?,
            drain_grace_ns: fields.duration("rules.stop_sending_within_ns", 0.0)?,
        })
    }

    /// Reads the values of a server's load report that are used. `value_of` returns the text of a value by
    /// its index and name. Values below 0 mean that the server does not know them.
    ///
    /// # Errors
    /// The first value that is not a finite number, or over 1e17.
    pub fn report<'a>(
        &self,
        mut value_of: impl FnMut(usize, &str) -> Option<&'a str>,
    ) -> Result<LoadReport, ReportValueError> {
        let mut report = LoadReport::default();
        for (index, name) in self.report_fields.iter().enumerate() {
            let Some(text) = value_of(index, name) else { continue };
            let value = match text.parse::<f64>() {
                Ok(value) if value.abs() <= MAX_FIGURE => value,
                _ => return Err(ReportValueError { value: format!("{text:.40}") }),
            };
            if name == "free" && value >= 0.0 {
                report.free_capacity = Some(value);
            }
        }
        Ok(report)
    }
}

/// The settings object. Its fields are named by paths of keys, separated by dots.
struct Fields<'a>(&'a Value);

impl<'a> Fields<'a> {
    fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.0, |value, key| value.get(key))
    }

    fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        match self.get(path) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => match value.as_f64() {
                Some(number) if number.abs() <= MAX_FIGURE => Ok(number),
                Some(_) => invalid(path, format!("over {MAX_FIGURE:e}")),
                None => invalid(path, "not a number"),
            },
        }
    }

    fn duration(&self, path: &str, default: f64) -> Result<Nanos, SettingsError> {
        Ok(self.number(path, default)?.max(0.0) as Nanos)
    }

    fn flag(&self, path: &str, default: bool) -> Result<bool, SettingsError> {
        match self.get(path) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => value.as_bool().map_or_else(|| invalid(path, "not true or false"), Ok),
        }
    }

    fn strings(&self, path: &str) -> Vec<String> {
        let values = self.get(path).and_then(Value::as_array);
        values.into_iter().flatten().map(|value| string(Some(value))).collect()
    }
}

fn controller_settings(
    fields: &Fields,
    classes: Vec<Class>,
    tick_ns: Nanos,
) -> Result<Settings, SettingsError> {
    let home = fields.number("family_info.home_no", -1.0)?;
    let retry_after = fields.flag("permissions.retry_after", false)?;
    Ok(Settings {
        classes,
        home: (home >= 0.0).then_some(home as u32),
        resend_interval_ns: fields.duration("family_info.retransmit_ns", 0.0)?,
        release_ns: fields.duration("family_info.release_ns", 0.0)?,
        max_attempts: fields.number("permissions.max_attempts", 1.0)?.max(1.0) as u32,
        may_cancel: fields.flag("permissions.cancel", false)?,
        max_retry_after_ns: if retry_after {
            fields.duration("permissions.max_retry_after_ns", 0.0)?
        } else {
            0
        },
        must_subscribe: string(fields.get("discovery")) == "on_request",
        slow_start_floor: fields.number("rules.cold_from", 1.0)?.clamp(0.0, 1.0),
        slow_start_ns: fields.duration("rules.cold_ns", 0.0)?,
        overload_multiple: fields.number("rules.tip_multiple", 1.0)?.max(1.0),
        tick_ns,
    })
}

fn string(value: Option<&Value>) -> String {
    value.and_then(Value::as_str).unwrap_or("").to_string()
}

fn read_class(index: usize, class: &Value, pools: Option<&Value>) -> Result<Class, SettingsError> {
    let path = |key: &str| format!("classes[{index}].{key}");
    let number = |key: &str, default: f64| match class.get(key) {
        None | Some(Value::Null) => Ok(default),
        Some(value) => match value.as_f64() {
            Some(number) if number > MAX_FIGURE => invalid(&path(key), format!("over {MAX_FIGURE:e}")),
            Some(number) if number >= 0.0 => Ok(number),
            _ => invalid(&path(key), "not a number of 0 or more"),
        },
    };
    let scope = match string(class.get("dedup_scope")).as_str() {
        "zone" => Scope::Zone,
        "cell" => Scope::Number,
        _ => Scope::All,
    };
    let latency_objective_ns = number("aim_ns", 0.0)? as Nanos;
    if latency_objective_ns == 0 {
        return invalid(&path("aim_ns"), "must be above 0");
    }
    let pools = pools.and_then(Value::as_array).into_iter().flatten();
    Ok(Class {
        latency_objective_ns,
        deadline_ns: number("deadline_ns", latency_objective_ns as f64)? as Nanos,
        priority_weight: number("worth", 1.0)?,
        late_weight: number("late_worth", 0.0)?,
        idempotency: match string(class.get("repeat")).as_str() {
            "idempotency_key" => Idempotency::IdempotencyKey(scope),
            "non_idempotent" => Idempotency::NonIdempotent,
            "read_like" | "" => Idempotency::Idempotent,
            other => return invalid(&path("repeat"), format!("unknown value: {other:.40}")),
        },
        key_retention_ns: number("memory_span_ns", 0.0)? as Nanos,
        pools: pools.filter_map(Value::as_u64).map(|number| number as u32).collect(),
    })
}
