//! Tokens. As in CUE, a line's end after a value or a closing bracket counts as a comma.

use crate::error::Problem;
use crate::value::Span;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Token {
    /// A name, `#` and `_` included.
    Ident(String),
    Str(String),
    Int(i64),
    Float(f64),
    /// Punctuation and operators.
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 18] =
    ["...", "=~", "!~", ">=", "<=", "!=", ">", "<", "{", "}", "[", "]", ":", ",", "?", "|", "&", "*"];

pub(crate) fn tokens(text: &str) -> Result<Vec<(Token, Span)>, Problem> {
    let (bytes, mut at, mut out) = (text.as_bytes(), 0, Vec::<(Token, Span)>::new());
    while at < bytes.len() {
        let start = at;
        let rest = &text[at..];
        match bytes[at] {
            b'\n' => {
                at += 1;
                if out.last().is_some_and(|(token, _)| ends_a_value(token)) {
                    out.push((Token::Sign(","), Span::new(start, start)));
                }
                continue;
            }
            b' ' | b'\t' | b'\r' => {
                at += 1;
                continue;
            }
            b'/' if rest.starts_with("//") => {
                at += rest.find('\n').unwrap_or(rest.len());
                continue;
            }
            b'"' => {
                let (value, end) = string(text, at)?;
                at = end;
                out.push((Token::Str(value), Span::new(start, at)));
            }
            b'0'..=b'9' | b'-' | b'+' => {
                let more = |c: char| !(c.is_ascii_alphanumeric() || c == '_' || c == '.');
                let mut end = at + 1 + rest[1..].find(more).unwrap_or(rest.len() - 1);
                // An exponent's sign.
                if bytes[end - 1].eq_ignore_ascii_case(&b'e') && matches!(bytes.get(end), Some(b'-' | b'+')) {
                    end += 1 + text[end + 1..].find(more).unwrap_or(text.len() - end - 1);
                }
                at = end;
                out.push((figure(&text[start..at], Span::new(start, at))?, Span::new(start, at)));
            }
            b if b.is_ascii_alphabetic() || b == b'_' || b == b'#' => {
                let more = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
                at += 1 + rest[1..].find(more).unwrap_or(rest.len() - 1);
                out.push((Token::Ident(text[start..at].to_string()), Span::new(start, at)));
            }
            _ => {
                let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) else {
                    let what =
                        format!("{:?} is outside of the subset of CUE that is read", rest.chars().next());
                    return Err(problem(what, Span::new(start, start + 1)));
                };
                at += sign.len();
                out.push((Token::Sign(sign), Span::new(start, at)));
            }
        }
    }
    let end = Span::new(text.len(), text.len());
    if out.last().is_some_and(|(token, _)| ends_a_value(token)) {
        out.push((Token::Sign(","), end));
    }
    out.push((Token::End, end));
    Ok(out)
}

fn ends_a_value(token: &Token) -> bool {
    match token {
        Token::Sign(sign) => matches!(*sign, "}" | "]" | "..." | "?"),
        Token::End => false,
        _ => true,
    }
}

fn figure(text: &str, span: Span) -> Result<Token, Problem> {
    let plain = text.replace('_', "");
    let digits = plain.trim_start_matches(['-', '+']);
    let leading = digits.len() > 1 && digits.starts_with('0') && digits.as_bytes()[1].is_ascii_digit();
    if !leading && !text.ends_with('_') && digits.bytes().all(|b| b.is_ascii_digit()) {
        if let Ok(value) = plain.parse() {
            return Ok(Token::Int(value));
        }
    } else if !leading && digits.starts_with(|c: char| c.is_ascii_digit()) {
        if let Some(value) = plain.parse::<f64>().ok().filter(|v| v.is_finite()) {
            return Ok(Token::Float(value));
        }
    }
    Err(problem(format!("{text} is no number of 64 bits"), span))
}

fn string(text: &str, start: usize) -> Result<(String, usize), Problem> {
    let wrong = |what: &str, at: usize| Err(problem(what.to_string(), Span::new(start, at)));
    if text[start..].starts_with("\"\"\"") {
        return wrong("strings over several lines are outside of the subset of CUE that is read", start + 3);
    }
    let mut out = String::new();
    let mut chars = text[start + 1..].char_indices();
    while let Some((offset, c)) = chars.next() {
        let at = start + 1 + offset;
        match c {
            '"' => return Ok((out, at + 1)),
            '\n' => return wrong("string not closed on its line", at),
            '\\' => match chars.next().map(|(_, c)| c) {
                Some('n') => out.push('\n'),
                Some('t') => out.push('\t'),
                Some('r') => out.push('\r'),
                Some(c @ ('"' | '\\' | '/')) => out.push(c),
                Some('u') => {
                    let hex: String = chars.by_ref().take(4).map(|(_, c)| c).collect();
                    let code = u32::from_str_radix(&hex, 16).ok().filter(|_| hex.len() == 4);
                    let Some(c) = code.and_then(char::from_u32) else {
                        return wrong("\\u wants four hex digits that name a character", at);
                    };
                    out.push(c);
                }
                Some('(') => {
                    return wrong("interpolation is outside of the subset of CUE that is read", at + 2)
                }
                _ => return wrong("unknown escape", at + 1),
            },
            c => out.push(c),
        }
    }
    wrong("string not closed", text.len())
}

pub(crate) fn problem(what: String, span: Span) -> Problem {
    Problem { path: String::new(), what, span }
}
