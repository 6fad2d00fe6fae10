//! Lines of fields in a configuration file.
//!
//! Checked values no longer know their position in the text, so the line of a faulty field is
//! looked up by its path: section, id of the item, and field names.

use hickorydoor::configuration::ConfigurationError;
use hickorydoor::configuration::item::ItemKey;
use hickorydoor::configuration::item::ItemKind;

/// The line of a field, from 1; the line of the nearest part of its path if it is not written.
pub fn line_of_field(text: &str, path: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = None;
    let mut range = 0..lines.len();
    let mut rest = path;
    while !rest.is_empty() {
        // Ids may contain dots, so the longest part that is found in the text is taken.
        let part = parts(rest).find_map(|part| {
            let line = find(&lines[range.clone()], part)?;
            Some((part, range.start + line))
        });
        let Some((part, line)) = part else {
            break;
        };
        found = Some(line);
        range = line..block_end(&lines, line);
        rest = rest[part.len()..].trim_start_matches('.');
    }
    found.map(|line| line + 1)
}

/// The end of the block that starts at a line: the next line that is not indented further.
fn block_end(lines: &[&str], start: usize) -> usize {
    let depth = indentation(lines[start]);
    let key = !lines[start].trim_start().starts_with('-');
    let ends = |line: &&str| {
        // The elements of a list may be indented as far as the list's key.
        let element = key && line.trim_start().starts_with('-');
        let shallow = indentation(line) < depth || (indentation(line) == depth && !element);
        shallow && !words(line).all(str::is_empty)
    };
    let rest = &lines[start + 1..];
    rest.iter().position(ends).map_or(lines.len(), |index| start + 1 + index)
}

fn indentation(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

/// The line of a contradiction between items.
#[allow(
    clippy::match_wildcard_for_single_variants,
    reason = "contradictions without a place in the file have no line"
)]
pub fn line_of_fault(text: &str, error: &ConfigurationError) -> Option<usize> {
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

/// The leading parts of a path that end at a dot, longest first.
fn parts(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.match_indices('.').map(|(index, _)| index);
    let ends: Vec<usize> = ends.chain([path.len()]).collect();
    ends.into_iter().rev().map(|end| &path[..end])
}

/// The first line that holds `word` as a key or a value.
fn find(lines: &[&str], word: &str) -> Option<usize> {
    lines.iter().position(|line| words(line).any(|known| known == word))
}

fn last_line(text: &str, word: &str) -> Option<usize> {
    let holds = |(_, line): &(usize, &str)| words(line).any(|known| known == word);
    text.lines().enumerate().filter(holds).last().map(|(index, _)| index + 1)
}

/// The keys and plain values of a line, without its comment.
fn words(line: &str) -> impl Iterator<Item = &str> {
    let content = line.split(" #").next().unwrap_or_default();
    let content = if content.trim_start().starts_with('#') { "" } else { content };
    let breaks = |c: char| c.is_whitespace() || matches!(c, ',' | '{' | '}' | '[' | ']');
    content.split(breaks).map(|word| word.trim_end_matches(':').trim_matches(['"', '\'']))
}
