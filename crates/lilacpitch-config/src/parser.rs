//! The syntax tree: what stands in a file, with places, before anything is unified.

use crate::error::Problem;
use crate::lexer::{problem, tokens, Token};
use crate::value::Span;

/// Deepest nesting: deeper files are refused, so that no file exhausts the stack.
const MAX_DEPTH: usize = 64;

#[derive(Debug, Clone)]
pub(crate) struct Expr {
    pub kind: Kind,
    pub span: Span,
}

#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    /// A type or a definition.
    Ident(String),
    Struct(Struct),
    /// Items, and what more of them may follow.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// A bound: its sign and figure.
    Bound(&'static str, Box<Expr>),
    And(Vec<Expr>),
    /// Alternatives; the default is marked.
    Or(Vec<(bool, Expr)>),
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Struct {
    pub fields: Vec<Field>,
    /// For fields by any name.
    pub patterns: Vec<Expr>,
    /// Whether it was said to be open.
    pub open: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Field {
    pub name: String,
    pub span: Span,
    pub optional: bool,
    pub value: Expr,
}

/// Reads a file. `in_schema`: its places mean nothing to who reads an error about another file.
pub(crate) fn parse(text: &str, in_schema: bool) -> Result<Struct, Problem> {
    let mut parser = Parser { tokens: tokens(text)?, at: 0, depth: 0, in_schema };
    let root = parser.fields(&Token::End)?;
    Ok(root)
}

struct Parser {
    tokens: Vec<(Token, Span)>,
    at: usize,
    depth: usize,
    in_schema: bool,
}

impl Parser {
    fn peek(&self, ahead: usize) -> &Token {
        self.tokens.get(self.at + ahead).map_or(&Token::End, |(token, _)| token)
    }

    fn is(&self, sign: &str) -> bool {
        matches!(self.peek(0), Token::Sign(s) if *s == sign)
    }

    fn span(&self) -> Span {
        let last = self.at.min(self.tokens.len() - 1);
        let span = self.tokens[last].1;
        Span { in_schema: self.in_schema, ..span }
    }

    fn take(&mut self, sign: &str) -> bool {
        let there = self.is(sign);
        self.at += usize::from(there);
        there
    }

    fn wrong<T>(&self, wanted: &str) -> Result<T, Problem> {
        let found = match self.peek(0) {
            Token::End => "the end of the file".to_string(),
            Token::Sign(",") => "the end of the line".to_string(),
            Token::Sign(sign) => format!("`{sign}`"),
            Token::Ident(name) => format!("`{name}`"),
            Token::Str(text) => format!("{text:?}"),
            Token::Int(value) => value.to_string(),
            Token::Float(value) => value.to_string(),
        };
        Err(problem(format!("found {found}, wanted {wanted}"), self.span()))
    }

    /// Whether a field begins here: a name, perhaps `?`, and a colon.
    fn field_begins(&self) -> bool {
        let label = matches!(self.peek(0), Token::Ident(_) | Token::Str(_));
        let colon = |ahead| matches!(self.peek(ahead), Token::Sign(":"));
        label && (colon(1) || (matches!(self.peek(1), Token::Sign("?")) && colon(2)))
    }

    fn fields(&mut self, end: &Token) -> Result<Struct, Problem> {
        let mut out = Struct::default();
        loop {
            while self.take(",") {}
            if self.peek(0) == end {
                self.at += 1;
                return Ok(out);
            }
            if self.take("...") {
                out.open = true;
            } else if self.is("[") {
                self.at += 1;
                if !matches!(self.peek(0), Token::Ident(name) if name == "string") {
                    return self.wrong("`string`: patterns go by any name");
                }
                self.at += 1;
                if !self.take("]") || !self.take(":") {
                    return self.wrong("`]:` after a pattern");
                }
                let value = self.value()?;
                out.patterns.push(value);
            } else {
                let field = self.field()?;
                out.fields.push(field);
            }
            if !self.is(",") && self.peek(0) != end {
                return self.wrong("a comma or a new line after a field");
            }
        }
    }

    fn field(&mut self) -> Result<Field, Problem> {
        if !self.field_begins() {
            return self.wrong("a field, as `name: value`");
        }
        let span = self.span();
        let (Token::Ident(name) | Token::Str(name)) = self.peek(0).clone() else {
            return self.wrong("a field's name");
        };
        self.at += 1;
        let optional = self.take("?");
        self.take(":");
        let value = if self.field_begins() { self.nested()? } else { self.value()? };
        Ok(Field { name, span, optional, value })
    }

    /// `a: b: 1`, where `b: 1` is a struct of one field.
    fn nested(&mut self) -> Result<Expr, Problem> {
        self.deeper(|parser| {
            let span = parser.span();
            let field = parser.field()?;
            Ok(Expr { kind: Kind::Struct(Struct { fields: vec![field], ..Struct::default() }), span })
        })
    }

    fn deeper<T>(&mut self, read: impl FnOnce(&mut Self) -> Result<T, Problem>) -> Result<T, Problem> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(problem(format!("nested deeper than {MAX_DEPTH}"), self.span()));
        }
        let out = read(self);
        self.depth -= 1;
        out
    }

    fn value(&mut self) -> Result<Expr, Problem> {
        self.deeper(|parser| {
            let span = parser.span();
            let mut any = vec![(parser.take("*"), parser.conjunction()?)];
            while parser.take("|") {
                any.push((parser.take("*"), parser.conjunction()?));
            }
            match (any.len(), any.pop()) {
                (1, Some((false, one))) => Ok(one),
                (_, Some(last)) => {
                    any.push(last);
                    Ok(Expr { kind: Kind::Or(any), span: span.to(parser.before()) })
                }
                (_, None) => parser.wrong("a value"),
            }
        })
    }

    fn before(&self) -> Span {
        self.tokens[self.at.saturating_sub(1).min(self.tokens.len() - 1)].1
    }

    fn conjunction(&mut self) -> Result<Expr, Problem> {
        let span = self.span();
        let mut all = vec![self.one()?];
        while self.take("&") {
            all.push(self.one()?);
        }
        match (all.len(), all.pop()) {
            (1, Some(one)) => Ok(one),
            (_, last) => {
                all.extend(last);
                Ok(Expr { kind: Kind::And(all), span: span.to(self.before()) })
            }
        }
    }

    fn one(&mut self) -> Result<Expr, Problem> {
        let span = self.span();
        let token = self.peek(0).clone();
        let kind = match token {
            Token::Int(value) => Kind::Int(value),
            Token::Float(value) => Kind::Float(value),
            Token::Str(text) => Kind::Str(text),
            Token::Ident(name) => match name.as_str() {
                "null" => Kind::Null,
                "true" => Kind::Bool(true),
                "false" => Kind::Bool(false),
                _ => Kind::Ident(name),
            },
            Token::Sign("{") => {
                self.at += 1;
                let fields = self.deeper(|parser| parser.fields(&Token::Sign("}")))?;
                return Ok(Expr { kind: Kind::Struct(fields), span: span.to(self.before()) });
            }
            Token::Sign("[") => {
                self.at += 1;
                let kind = self.deeper(Parser::list)?;
                return Ok(Expr { kind, span: span.to(self.before()) });
            }
            Token::Sign(sign @ (">=" | "<=" | ">" | "<" | "!=" | "=~" | "!~")) => {
                self.at += 1;
                let figure = self.deeper(Parser::one)?;
                return Ok(Expr { kind: Kind::Bound(sign, Box::new(figure)), span: span.to(self.before()) });
            }
            _ => return self.wrong("a value"),
        };
        self.at += 1;
        Ok(Expr { kind, span })
    }

    fn list(&mut self) -> Result<Kind, Problem> {
        let (mut items, mut rest) = (Vec::new(), None);
        loop {
            while self.take(",") {}
            if self.take("]") {
                return Ok(Kind::List(items, rest));
            }
            if rest.is_some() {
                return self.wrong("`]` after `...`");
            }
            if self.take("...") {
                let span = self.span();
                let any = Expr { kind: Kind::Ident("_".into()), span };
                rest = Some(Box::new(if self.is("]") || self.is(",") { any } else { self.value()? }));
            } else {
                items.push(self.value()?);
            }
            if !self.is(",") && !self.is("]") {
                return self.wrong("a comma or `]` after an item");
            }
        }
    }
}
