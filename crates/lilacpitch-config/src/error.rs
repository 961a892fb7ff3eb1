//! Errors in settings files: file, line, column, field path, and what was found and wanted. They can also be
//! rendered with an excerpt of the source.

use crate::value::Span;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, such as `classes[0].aim`; empty if the mistake is not in a field.
    pub path: String,
    /// What was found and what was wanted.
    pub message: String,
    /// Its place in the file.
    pub span: Span,
}

/// All mistakes found in one file. Displays as one line per mistake; [`ConfigError::drawn`] adds the source.
#[derive(Debug)]
pub struct ConfigError(Box<Report>);

#[derive(Debug)]
struct Report {
    name: String,
    source: NamedSource<String>,
    lines: Vec<String>,
    labels: Vec<LabeledSpan>,
    problems: Vec<Problem>,
}

impl ConfigError {
    pub(crate) fn new(name: &str, text: &str, problems: Vec<Problem>) -> Self {
        let lines = problems.iter().map(|p| {
            let before = &text.as_bytes()[..p.span.start.min(text.len())];
            let line = 1 + before.iter().filter(|b| **b == b'\n').count();
            let column = 1 + before.iter().rev().take_while(|b| **b != b'\n').count();
            let path = if p.path.is_empty() { String::new() } else { format!("{}: ", p.path) };
            format!("{name}:{line}:{column}: {path}{}", p.message)
        });
        let labels = problems.iter().map(|p| {
            let (start, end) = (p.span.start.min(text.len()), p.span.end.min(text.len()));
            LabeledSpan::new(Some(p.message.clone()), start, end.saturating_sub(start))
        });
        ConfigError(Box::new(Report {
            name: name.into(),
            lines: lines.collect(),
            labels: labels.collect(),
            source: NamedSource::new(name, text.to_string()),
            problems,
        }))
    }

    /// An error about a file whose text could not be read; it has no line or column.
    pub(crate) fn unreadable(name: &str, cause: &str) -> Self {
        let problem = Problem { path: String::new(), message: cause.into(), span: Span::default() };
        let mut error = Self::new(name, "", vec![problem]);
        error.0.lines = vec![format!("{name}: {cause}")];
        error
    }

    /// All mistakes found.
    pub fn problems(&self) -> &[Problem] {
        &self.0.problems
    }

    /// Name of the file.
    pub fn file(&self) -> &str {
        &self.0.name
    }

    /// The mistakes with the source lines they are in, marked, for people to read.
    pub fn drawn(&self) -> String {
        let mut out = String::new();
        let theme = miette::GraphicalTheme::unicode_nocolor();
        let handler = miette::GraphicalReportHandler::new_themed(theme);
        match handler.render_report(&mut out, self) {
            Ok(()) => out,
            Err(_) => self.to_string(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.lines.join("\n"))
    }
}

impl std::error::Error for ConfigError {}

impl Diagnostic for ConfigError {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.0.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.0.labels.iter().cloned()))
    }
}
