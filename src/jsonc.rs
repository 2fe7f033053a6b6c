//! JSON with comments: parsing into typed values with errors that name line and field.

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
/// Names the file, line and field, and what would have been accepted.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    let syntax =
        |line: usize, what: &str| Error::invalid("read JSON", format!("{file}:{line}: {what}"));
    let collect = CollectOptions { comments: CommentCollectionStrategy::Separate, tokens: false };
    let tree = parse_to_ast(text, &collect, &ParseOptions::default())
        .map_err(|e| syntax(e.line_display(), &e.kind().to_string()))?;
    let plain = without_comments(text, &tree);
    let de = &mut serde_json::Deserializer::from_str(&plain);
    let value = serde_path_to_error::deserialize(&mut *de).map_err(|e| {
        let path = e.path().clone();
        let message = e.into_inner().to_string();
        let what = message.split(" at line ").next().unwrap_or_default();
        let line = line_of(text, tree.value.as_ref(), &path, what);
        syntax(line, &format!("field `{path}`: {what}"))
    })?;
    de.end().map_err(|e| syntax(e.line(), "text after the end"))?;
    Ok(value)
}

/// Replaces comments by spaces, so that offsets stay as they are.
fn without_comments(text: &str, tree: &ParseResult<'_>) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let comments = tree.comments.iter().flat_map(|map| map.values()).flat_map(|list| list.iter());
    for comment in comments {
        let range = comment.range();
        bytes[range.start..range.end].iter_mut().filter(|b| **b != b'\n').for_each(|b| *b = b' ');
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Returns the line of the deepest value on `path`, or of the field that the message names in it.
///
/// Positions of the JSON parser do not reach into tagged enums, so the syntax tree is followed.
fn line_of(text: &str, root: Option<&Value<'_>>, path: &Path, message: &str) -> usize {
    let mut at = root;
    for segment in path {
        let next = match (at, segment) {
            (Some(Value::Array(a)), Segment::Seq { index }) => a.elements.get(*index),
            (Some(Value::Object(o)), Segment::Map { key }) => o.get(key).map(|p| &p.value),
            _ => None,
        };
        if next.is_none() {
            break;
        }
        at = next;
    }
    let named = message.split('`').nth(1);
    let start = match (at, named) {
        (Some(Value::Object(o)), Some(name)) => {
            o.get(name).map_or(o.range.start, |p| p.range.start)
        }
        (Some(value), _) => value.range().start,
        (None, _) => 0,
    };
    text[..start].matches('\n').count() + 1
}
