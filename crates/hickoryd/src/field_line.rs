//! Location of fields in YAML text, for error messages about settings.

/// Returns the line of the field with this dotted path, counted from 1, or the line of its nearest
/// parent that can be located.
///
/// Only block mappings have a line for each field. For a field inside `{...}`, the line of the
/// mapping is returned.
pub fn field_line(text: &str, path: &str) -> Option<usize> {
    let segments: Vec<&str> = path.split('.').collect();
    let mut stack: Vec<(usize, &str)> = Vec::new();
    let mut deepest = (0, None);
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
        let matches = stack.len() <= segments.len()
            && stack.iter().zip(&segments).all(|((_, key), segment)| key == segment);
        if matches && stack.len() > deepest.0 {
            deepest = (stack.len(), Some(index + 1));
        }
    }
    deepest.1
}
