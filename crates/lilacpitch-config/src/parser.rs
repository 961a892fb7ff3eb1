//! Parses tokens into a syntax tree with the place of each expression. Names are not resolved and nothing is
//! unified yet.

use crate::error::Problem;
use crate::lexer::{problem, tokenize, Token};
use crate::value::Span;

/// Deepest nesting. Files nested deeper are rejected, so that none can overflow the stack.
const MAX_DEPTH: usize = 64;

/// An expression with its place in the text.
#[derive(Debug, Clone)]
pub(crate) struct Expr {
    pub kind: Kind,
    pub span: Span,
}

/// The kind of an expression, with its parts.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    /// Name of a type or a definition.
    Ident(String),
    Struct(Struct),
    /// Items, and the constraint on any that follow them; `None` if none may.
    List(Vec<Expr>, Option<Box<Expr>>),
    /// A comparison operator and its operand.
    Bound(&'static str, Box<Expr>),
    And(Vec<Expr>),
    /// Alternatives, each with whether it is marked as the default.
    Or(Vec<(bool, Expr)>),
}

/// A struct as written, or the top level of a file.
#[derive(Debug, Clone, Default)]
pub(crate) struct Struct {
    pub fields: Vec<Field>,
    /// Constraints on every field, whatever its name: `[string]: T`.
    pub patterns: Vec<Expr>,
    /// Whether it contains `...`, which allows fields that it does not name.
    pub open: bool,
}

/// A field of a struct as written.
#[derive(Debug, Clone)]
pub(crate) struct Field {
    pub name: String,
    pub span: Span,
    pub optional: bool,
    pub value: Expr,
}

/// Parses a file. `in_schema` marks its places as those of the schema, which errors about a settings file do
/// not point at.
pub(crate) fn parse(text: &str, in_schema: bool) -> Result<Struct, Problem> {
    let mut parser = Parser { tokens: tokenize(text)?, position: 0, depth: 0, in_schema };
    let root = parser.fields(&Token::End)?;
    Ok(root)
}

struct Parser {
    tokens: Vec<(Token, Span)>,
    position: usize,
    depth: usize,
    in_schema: bool,
}

impl Parser {
    fn peek(&self, ahead: usize) -> &Token {
        self.tokens.get(self.position + ahead).map_or(&Token::End, |(token, _)| token)
    }

    fn next_is(&self, symbol: &str) -> bool {
        matches!(self.peek(0), Token::Symbol(s) if *s == symbol)
    }

    /// Place of the next token.
    fn span(&self) -> Span {
        let last = self.position.min(self.tokens.len() - 1);
        let span = self.tokens[last].1;
        Span { in_schema: self.in_schema, ..span }
    }

    /// Consumes the next token if it is the symbol; returns whether it was.
    fn accept(&mut self, symbol: &str) -> bool {
        let accepted = self.next_is(symbol);
        self.position += usize::from(accepted);
        accepted
    }

    /// An error at the next token, which is not what was wanted.
    fn unexpected<T>(&self, wanted: &str) -> Result<T, Problem> {
        let found = match self.peek(0) {
            Token::End => "the end of the file".to_string(),
            Token::Symbol(",") => "the end of the line".to_string(),
            Token::Symbol(symbol) => format!("`{symbol}`"),
            Token::Ident(name) => format!("`{name}`"),
            Token::Str(text) => format!("{text:?}"),
            Token::Int(value) => value.to_string(),
            Token::Float(value) => value.to_string(),
        };
        Err(problem(format!("found {found}, wanted {wanted}"), self.span()))
    }

    /// Whether the next tokens begin a field: a name, optionally `?`, and a colon.
    fn field_begins(&self) -> bool {
        let label = matches!(self.peek(0), Token::Ident(_) | Token::Str(_));
        let colon = |ahead| matches!(self.peek(ahead), Token::Symbol(":"));
        label && (colon(1) || (matches!(self.peek(1), Token::Symbol("?")) && colon(2)))
    }

    /// Parses fields up to and including `end`.
    fn fields(&mut self, end: &Token) -> Result<Struct, Problem> {
        let mut record = Struct::default();
        loop {
            while self.accept(",") {}
            if self.peek(0) == end {
                self.position += 1;
                return Ok(record);
            }
            if self.accept("...") {
                record.open = true;
            } else if self.next_is("[") {
                self.position += 1;
                if !matches!(self.peek(0), Token::Ident(name) if name == "string") {
                    return self.unexpected("`string`: a pattern applies to fields of any name");
                }
                self.position += 1;
                if !self.accept("]") || !self.accept(":") {
                    return self.unexpected("`]:` after a pattern");
                }
                let value = self.value()?;
                record.patterns.push(value);
            } else {
                let field = self.field()?;
                record.fields.push(field);
            }
            if !self.next_is(",") && self.peek(0) != end {
                return self.unexpected("a comma or a new line after a field");
            }
        }
    }

    fn field(&mut self) -> Result<Field, Problem> {
        if !self.field_begins() {
            return self.unexpected("a field, as `name: value`");
        }
        let span = self.span();
        let (Token::Ident(name) | Token::Str(name)) = self.peek(0).clone() else {
            return self.unexpected("a field's name");
        };
        self.position += 1;
        let optional = self.accept("?");
        self.accept(":");
        let value = if self.field_begins() { self.nested()? } else { self.value()? };
        Ok(Field { name, span, optional, value })
    }

    /// Parses the rest of `a: b: 1`, where `b: 1` is a struct of one field.
    fn nested(&mut self) -> Result<Expr, Problem> {
        self.descend(|parser| {
            let span = parser.span();
            let field = parser.field()?;
            Ok(Expr { kind: Kind::Struct(Struct { fields: vec![field], ..Struct::default() }), span })
        })
    }

    /// Parses one level deeper with `parse`; fails beyond [`MAX_DEPTH`].
    fn descend<T>(&mut self, parse: impl FnOnce(&mut Self) -> Result<T, Problem>) -> Result<T, Problem> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(problem(format!("nested deeper than {MAX_DEPTH}"), self.span()));
        }
        let parsed = parse(self);
        self.depth -= 1;
        parsed
    }

    /// Parses a value: one or more alternatives separated by `|`.
    fn value(&mut self) -> Result<Expr, Problem> {
        self.descend(|parser| {
            let span = parser.span();
            let mut alternatives = vec![(parser.accept("*"), parser.conjunction()?)];
            while parser.accept("|") {
                alternatives.push((parser.accept("*"), parser.conjunction()?));
            }
            match (alternatives.len(), alternatives.pop()) {
                (1, Some((false, only))) => Ok(only),
                (_, Some(last)) => {
                    alternatives.push(last);
                    Ok(Expr { kind: Kind::Or(alternatives), span: span.to(parser.previous_span()) })
                }
                (_, None) => parser.unexpected("a value"),
            }
        })
    }

    /// Place of the token before the next one.
    fn previous_span(&self) -> Span {
        self.tokens[self.position.saturating_sub(1).min(self.tokens.len() - 1)].1
    }

    /// Parses one or more operands separated by `&`.
    fn conjunction(&mut self) -> Result<Expr, Problem> {
        let span = self.span();
        let mut operands = vec![self.operand()?];
        while self.accept("&") {
            operands.push(self.operand()?);
        }
        match (operands.len(), operands.pop()) {
            (1, Some(only)) => Ok(only),
            (_, last) => {
                operands.extend(last);
                Ok(Expr { kind: Kind::And(operands), span: span.to(self.previous_span()) })
            }
        }
    }

    /// Parses a literal, a name, a struct, a list or a bound.
    fn operand(&mut self) -> Result<Expr, Problem> {
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
            Token::Symbol("{") => {
                self.position += 1;
                let fields = self.descend(|parser| parser.fields(&Token::Symbol("}")))?;
                return Ok(Expr { kind: Kind::Struct(fields), span: span.to(self.previous_span()) });
            }
            Token::Symbol("[") => {
                self.position += 1;
                let kind = self.descend(Parser::list)?;
                return Ok(Expr { kind, span: span.to(self.previous_span()) });
            }
            Token::Symbol(operator @ (">=" | "<=" | ">" | "<" | "!=" | "=~" | "!~")) => {
                self.position += 1;
                let operand = self.descend(Parser::operand)?;
                let kind = Kind::Bound(operator, Box::new(operand));
                return Ok(Expr { kind, span: span.to(self.previous_span()) });
            }
            _ => return self.unexpected("a value"),
        };
        self.position += 1;
        Ok(Expr { kind, span })
    }

    /// Parses the items of a list up to and including its closing bracket.
    fn list(&mut self) -> Result<Kind, Problem> {
        let (mut items, mut further_items) = (Vec::new(), None);
        loop {
            while self.accept(",") {}
            if self.accept("]") {
                return Ok(Kind::List(items, further_items));
            }
            if further_items.is_some() {
                return self.unexpected("`]` after `...`");
            }
            if self.accept("...") {
                let span = self.span();
                let any_value = Expr { kind: Kind::Ident("_".into()), span };
                let unconstrained = self.next_is("]") || self.next_is(",");
                further_items = Some(Box::new(if unconstrained { any_value } else { self.value()? }));
            } else {
                items.push(self.value()?);
            }
            if !self.next_is(",") && !self.next_is("]") {
                return self.unexpected("a comma or `]` after an item");
            }
        }
    }
}
