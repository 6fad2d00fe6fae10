//! Finds the lines of invalid fields in a configuration file.
//!
//! Parsed values do not carry their position in the text. The line of an invalid field is therefore
//! looked up by its path, which consists of the section, the id of the item, and the field names.

use hickorydoor::configuration::ConfigurationError;
use hickorydoor::configuration::item::ItemKey;
use hickorydoor::configuration::item::ItemKind;

/// Returns the line of a field, counted from 1. If the file omits the field, returns the line of
/// the innermost part of the path that the file contains.
pub fn line_of_field(text: &str, path: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = None;
    let mut range = 0..lines.len();
    let mut rest = path;
    while !rest.is_empty() {
        // Ids may contain dots, so the longest prefix that occurs in the text is the next part.
        let matched = path_prefixes(rest).find_map(|prefix| {
            let line = find_word(&lines[range.clone()], prefix)?;
            Some((prefix, range.start + line))
        });
        let Some((prefix, line)) = matched else {
            break;
        };
        found = Some(line);
        range = line..block_end(&lines, line);
        rest = rest[prefix.len()..].trim_start_matches('.');
    }
    found.map(|line| line + 1)
}

/// Returns the end of the block that starts at a line: the next line that is not indented further.
fn block_end(lines: &[&str], start: usize) -> usize {
    let depth = indentation(lines[start]);
    let is_key = !lines[start].trim_start().starts_with('-');
    let ends = |line: &&str| {
        // YAML allows the elements of a list at the same indentation as the key of the list.
        let is_list_element = is_key && line.trim_start().starts_with('-');
        let is_outside =
            indentation(line) < depth || (indentation(line) == depth && !is_list_element);
        is_outside && !words(line).all(str::is_empty)
    };
    let rest = &lines[start + 1..];
    rest.iter().position(ends).map_or(lines.len(), |index| start + 1 + index)
}

fn indentation(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

/// Returns the line of an inconsistency between items, counted from 1.
#[allow(
    clippy::match_wildcard_for_single_variants,
    reason = "inconsistencies without a place in the file have no line"
)]
pub fn line_of_inconsistency(text: &str, error: &ConfigurationError) -> Option<usize> {
    match error {
        ConfigurationError::MissingReference { from, to } => {
            line_of_reference(text, from, to.id.as_str())
        }
        ConfigurationError::DuplicateVersion { version } => last_line(text, version.as_str()),
        ConfigurationError::DuplicateKey { customer } => {
            line_of_field(text, &format!("customers.{customer}.key_digests"))
        }
        ConfigurationError::AmbiguousName { name } => {
            line_of_field(text, &format!("cascades.{name}"))
        }
        ConfigurationError::UnknownVersion { customer, version } => {
            let path = format!("customers.{customer}.versions.{version}");
            line_of_field(text, &path)
        }
        _ => None,
    }
}

fn line_of_reference(text: &str, from: &ItemKey, to: &str) -> Option<usize> {
    let section = match from.kind {
        ItemKind::Cascade => "cascades",
        ItemKind::Customer => "customers",
        ItemKind::Exception => "exceptions",
        _ => return None,
    };
    line_of_field(text, &format!("{section}.{}.{to}", from.id))
}

/// Returns the prefixes of a path that end before a dot or at its end, longest first.
fn path_prefixes(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.match_indices('.').map(|(index, _)| index);
    let ends: Vec<usize> = ends.chain([path.len()]).collect();
    ends.into_iter().rev().map(|end| &path[..end])
}

/// Returns the index of the first line that contains `word` as a key or a value.
fn find_word(lines: &[&str], word: &str) -> Option<usize> {
    lines.iter().position(|line| words(line).any(|candidate| candidate == word))
}

fn last_line(text: &str, word: &str) -> Option<usize> {
    let contains_word = |(_, line): &(usize, &str)| words(line).any(|candidate| candidate == word);
    text.lines().enumerate().filter(contains_word).last().map(|(index, _)| index + 1)
}

/// Splits a line without its comment into keys and scalar values.
fn words(line: &str) -> impl Iterator<Item = &str> {
    let content = line.split(" #").next().unwrap_or_default();
    let content = if content.trim_start().starts_with('#') { "" } else { content };
    let is_separator = |c: char| c.is_whitespace() || matches!(c, ',' | '{' | '}' | '[' | ']');
    content.split(is_separator).map(|word| word.trim_end_matches(':').trim_matches(['"', '\'']))
}
