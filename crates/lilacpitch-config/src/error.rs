//! Errors that name file, line, field path, and what was found and wanted, with the line drawn.

use crate::value::Span;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;

/// One thing wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The field, as `classes[0].aim`; empty where none is concerned.
    pub path: String,
    /// What was found and wanted.
    pub what: String,
    /// Where, in bytes.
    pub span: Span,
}

/// Everything wrong in one file. Prints as one line a problem; `miette` draws it with the source.
#[derive(Debug)]
pub struct ConfigError(Box<Inner>);

#[derive(Debug)]
struct Inner {
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
            format!("{name}:{line}:{column}: {path}{}", p.what)
        });
        let labels = problems.iter().map(|p| {
            let (from, to) = (p.span.start.min(text.len()), p.span.end.min(text.len()));
            LabeledSpan::new(Some(p.what.clone()), from, to.saturating_sub(from))
        });
        ConfigError(Box::new(Inner {
            name: name.into(),
            lines: lines.collect(),
            labels: labels.collect(),
            source: NamedSource::new(name, text.to_string()),
            problems,
        }))
    }

    pub(crate) fn unread(name: &str, what: &str) -> Self {
        let problem = Problem { path: String::new(), what: what.into(), span: Span::default() };
        let mut error = Self::new(name, "", vec![problem]);
        error.0.lines = vec![format!("{name}: {what}")];
        error
    }

    /// What is wrong, one by one.
    pub fn problems(&self) -> &[Problem] {
        &self.0.problems
    }

    /// The file.
    pub fn file(&self) -> &str {
        &self.0.name
    }

    /// The problems with the source lines and carets, for people.
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
