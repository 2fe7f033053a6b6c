//! Parsing of JSON with comments into typed values, with errors that name line and field.

use crate::error::{Error, Result};
use jsonc_parser::{
    CollectOptions, CommentCollectionStrategy, ParseOptions, ParseResult, ast::Value,
    common::Ranged, parse_to_ast,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

/// Parses JSON with comments into `T`; `file` is only used in error messages.
///
/// # Errors
///
/// Names the file, line and field, and what is accepted.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    let error_at = |line: usize, message: &str| {
        Error::invalid("read JSON", format!("{file}:{line}: {message}"))
    };
    let collect = CollectOptions { comments: CommentCollectionStrategy::Separate, tokens: false };
    let syntax_tree = parse_to_ast(text, &collect, &ParseOptions::default())
        .map_err(|e| error_at(e.line_display(), &e.kind().to_string()))?;
    let json = without_comments(text, &syntax_tree);
    let de = &mut serde_json::Deserializer::from_str(&json);
    let value = serde_path_to_error::deserialize(&mut *de).map_err(|e| {
        let path = e.path().clone();
        let message = e.into_inner().to_string();
        let reason = message.split(" at line ").next().unwrap_or_default();
        let line = line_of(text, syntax_tree.value.as_ref(), &path, reason);
        error_at(line, &format!("field `{path}`: {reason}"))
    })?;
    de.end().map_err(|e| error_at(e.line(), "text after the end"))?;
    Ok(value)
}

/// Replaces comments by spaces, which keeps the offsets of everything else.
fn without_comments(text: &str, syntax_tree: &ParseResult<'_>) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let comments =
        syntax_tree.comments.iter().flat_map(|map| map.values()).flat_map(|list| list.iter());
    for comment in comments {
        let range = comment.range();
        bytes[range.start..range.end].iter_mut().filter(|b| **b != b'\n').for_each(|b| *b = b' ');
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Returns the line of the deepest value on `path`, or of the field in it that `message` names.
///
/// The positions of `serde_json` are lost inside tagged enums, so the line is looked up in the
/// syntax tree.
fn line_of(text: &str, root: Option<&Value<'_>>, path: &Path, message: &str) -> usize {
    let mut value = root;
    for segment in path {
        let next = match (value, segment) {
            (Some(Value::Array(a)), Segment::Seq { index }) => a.elements.get(*index),
            (Some(Value::Object(o)), Segment::Map { key }) => o.get(key).map(|p| &p.value),
            _ => None,
        };
        if next.is_none() {
            break;
        }
        value = next;
    }
    let named_field = message.split('`').nth(1);
    let start = match (value, named_field) {
        (Some(Value::Object(o)), Some(name)) => {
            o.get(name).map_or(o.range.start, |p| p.range.start)
        }
        (Some(value), _) => value.range().start,
        (None, _) => 0,
    };
    text[..start].matches('\n').count() + 1
}
