//! Finds the line of a field in YAML text.

/// Line of the field with this dotted path, from 1, or of its nearest parent that has a line.
///
/// Only block mappings have a line for each field; a field inside `{...}` is found at the line of
/// the mapping.
pub fn field_line(text: &str, path: &str) -> Option<usize> {
    let wanted: Vec<&str> = path.split('.').collect();
    let mut stack: Vec<(usize, &str)> = Vec::new();
    let mut best = (0, None);
    for (index, line) in text.lines().enumerate() {
        let trimmed = line.trim_start();
        let Some((key, _)) = trimmed.split_once(':') else {
            continue;
        };
        if trimmed.starts_with('#') {
            continue;
        }
        let indent = line.len() - trimmed.len();
        stack.retain(|(depth, _)| *depth < indent);
        stack.push((indent, key.trim()));
        let matches = stack.len() <= wanted.len()
            && stack.iter().zip(&wanted).all(|((_, key), wanted)| key == wanted);
        if matches && stack.len() > best.0 {
            best = (stack.len(), Some(index + 1));
        }
    }
    best.1
}
