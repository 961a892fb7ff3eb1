//! Splits a text into tokens. As in CUE, the end of a line after a value or a closing bracket counts as a
//! comma.

use crate::error::Problem;
use crate::value::Span;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Token {
    /// A name; it may contain `#` and `_`.
    Ident(String),
    Str(String),
    Int(i64),
    Float(f64),
    /// Punctuation or an operator.
    Symbol(&'static str),
    /// The end of the text.
    End,
}

/// All symbols, each before those that are a prefix of it, since the first match is taken.
const SYMBOLS: [&str; 18] =
    ["...", "=~", "!~", ">=", "<=", "!=", ">", "<", "{", "}", "[", "]", ":", ",", "?", "|", "&", "*"];

/// Splits a text into tokens with their places. The last one is [`Token::End`].
pub(crate) fn tokenize(text: &str) -> Result<Vec<(Token, Span)>, Problem> {
    let (bytes, mut position, mut tokens) = (text.as_bytes(), 0, Vec::<(Token, Span)>::new());
    while position < bytes.len() {
        let start = position;
        let remaining = &text[position..];
        match bytes[position] {
            b'\n' => {
                position += 1;
                if tokens.last().is_some_and(|(token, _)| ends_value(token)) {
                    tokens.push((Token::Symbol(","), Span::new(start, start)));
                }
                continue;
            }
            b' ' | b'\t' | b'\r' => {
                position += 1;
                continue;
            }
            b'/' if remaining.starts_with("//") => {
                position += remaining.find('\n').unwrap_or(remaining.len());
                continue;
            }
            b'"' => {
                let (value, end) = string(text, position)?;
                position = end;
                tokens.push((Token::Str(value), Span::new(start, position)));
            }
            b'0'..=b'9' | b'-' | b'+' => {
                let ends_number = |c: char| !(c.is_ascii_alphanumeric() || c == '_' || c == '.');
                let mut end = position + 1 + remaining[1..].find(ends_number).unwrap_or(remaining.len() - 1);
                // An `e` may be followed by the sign of the exponent.
                if bytes[end - 1].eq_ignore_ascii_case(&b'e') && matches!(bytes.get(end), Some(b'-' | b'+')) {
                    end += 1 + text[end + 1..].find(ends_number).unwrap_or(text.len() - end - 1);
                }
                position = end;
                let span = Span::new(start, position);
                tokens.push((number(&text[start..position], span)?, span));
            }
            b if b.is_ascii_alphabetic() || b == b'_' || b == b'#' => {
                let ends_name = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
                position += 1 + remaining[1..].find(ends_name).unwrap_or(remaining.len() - 1);
                tokens.push((Token::Ident(text[start..position].to_string()), Span::new(start, position)));
            }
            _ => {
                let Some(symbol) = SYMBOLS.iter().find(|s| remaining.starts_with(**s)) else {
                    let character = remaining.chars().next();
                    let message = format!("{character:?} is outside of the supported subset of CUE");
                    return Err(problem(message, Span::new(start, start + 1)));
                };
                position += symbol.len();
                tokens.push((Token::Symbol(symbol), Span::new(start, position)));
            }
        }
    }
    let end = Span::new(text.len(), text.len());
    if tokens.last().is_some_and(|(token, _)| ends_value(token)) {
        tokens.push((Token::Symbol(","), end));
    }
    tokens.push((Token::End, end));
    Ok(tokens)
}

/// Whether the end of a line after the token counts as a comma.
fn ends_value(token: &Token) -> bool {
    match token {
        Token::Symbol(symbol) => matches!(*symbol, "}" | "]" | "..." | "?"),
        Token::End => false,
        _ => true,
    }
}

/// Parses an integer or a float; digits may be grouped with `_`.
fn number(text: &str, span: Span) -> Result<Token, Problem> {
    let ungrouped = text.replace('_', "");
    let digits = ungrouped.trim_start_matches(['-', '+']);
    let leading_zero = digits.len() > 1 && digits.starts_with('0') && digits.as_bytes()[1].is_ascii_digit();
    if !leading_zero && !text.ends_with('_') && digits.bytes().all(|b| b.is_ascii_digit()) {
        if let Ok(value) = ungrouped.parse() {
            return Ok(Token::Int(value));
        }
    } else if !leading_zero && digits.starts_with(|c: char| c.is_ascii_digit()) {
        if let Some(value) = ungrouped.parse::<f64>().ok().filter(|v| v.is_finite()) {
            return Ok(Token::Float(value));
        }
    }
    Err(problem(format!("{text} is not a 64-bit number"), span))
}

/// Parses the string literal whose opening quote is at `start`. Returns its value and the offset after its
/// closing quote.
fn string(text: &str, start: usize) -> Result<(String, usize), Problem> {
    let fail = |message: &str, end: usize| Err(problem(message.to_string(), Span::new(start, end)));
    if text[start..].starts_with("\"\"\"") {
        return fail("multi-line strings are outside of the supported subset of CUE", start + 3);
    }
    let mut value = String::new();
    let mut chars = text[start + 1..].char_indices();
    while let Some((offset, c)) = chars.next() {
        let position = start + 1 + offset;
        match c {
            '"' => return Ok((value, position + 1)),
            '\n' => return fail("string not closed on its line", position),
            '\\' => match chars.next().map(|(_, c)| c) {
                Some('n') => value.push('\n'),
                Some('t') => value.push('\t'),
                Some('r') => value.push('\r'),
                Some(c @ ('"' | '\\' | '/')) => value.push(c),
                Some('u') => {
                    let hex: String = chars.by_ref().take(4).map(|(_, c)| c).collect();
                    let code = u32::from_str_radix(&hex, 16).ok().filter(|_| hex.len() == 4);
                    let Some(c) = code.and_then(char::from_u32) else {
                        return fail("\\u must be followed by the four hex digits of a character", position);
                    };
                    value.push(c);
                }
                Some('(') => {
                    return fail("interpolation is outside of the supported subset of CUE", position + 2)
                }
                _ => return fail("unknown escape", position + 1),
            },
            c => value.push(c),
        }
    }
    fail("string not closed", text.len())
}

/// A mistake that belongs to no field.
pub(crate) fn problem(message: String, span: Span) -> Problem {
    Problem { path: String::new(), message, span }
}
