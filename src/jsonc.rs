//! JSON with comments: parsing into typed values with errors that name line and field.

use crate::error::{Error, Result};
use serde::de::DeserializeOwned;

/// Parses JSON with comments into `T`; `file` is only used in error messages.
///
/// # Errors
///
/// Names the file, line and field, and what would have been accepted.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    let plain =
        strip_comments(text).map_err(|e| Error::invalid("read settings", format!("{file}:{e}")))?;
    let de = &mut serde_json::Deserializer::from_str(&plain);
    let value = serde_path_to_error::deserialize(&mut *de).map_err(|e| {
        let path = e.path().to_string();
        let inner = e.into_inner();
        let what = inner.to_string();
        let what = what.split(" at line ").next().unwrap_or_default();
        Error::invalid("read settings", format!("{file}:{}: field `{path}`: {what}", inner.line()))
    })?;
    de.end().map_err(|e| {
        Error::invalid("read settings", format!("{file}:{}: text after the end", e.line()))
    })?;
    Ok(value)
}

/// Replaces comments by spaces, so that line numbers stay as they are.
fn strip_comments(text: &str) -> std::result::Result<String, String> {
    let collect = jsonc_parser::CollectOptions {
        comments: jsonc_parser::CommentCollectionStrategy::Separate,
        tokens: false,
    };
    let ast = jsonc_parser::parse_to_ast(text, &collect, &jsonc_parser::ParseOptions::default())
        .map_err(|e| format!("{}: {}", e.line_display(), e.kind()))?;
    let mut bytes = text.as_bytes().to_vec();
    let comments = ast.comments.iter().flat_map(|map| map.values()).flat_map(|list| list.iter());
    for comment in comments {
        let range = jsonc_parser::common::Ranged::range(comment);
        bytes[range.start..range.end].iter_mut().filter(|b| **b != b'\n').for_each(|b| *b = b' ');
    }
    String::from_utf8(bytes).map_err(|e| e.to_string())
}
