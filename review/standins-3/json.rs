//! The JSON and base64 that the store needs.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Map(entries) => entries
                .iter()
                .find(|(known, _)| known == name)
                .map_or(&Self::Null, |(_, value)| value),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }
}

/// Parses what the gateways send; anything else is `Null`.
pub fn parse(text: &str) -> Json {
    let chars: Vec<char> = text.chars().collect();
    value(&chars, &mut 0)
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Json {
    skip(chars, at);
    match chars.get(*at) {
        Some('{') => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                skip(chars, at);
                if !matches!(chars.get(*at), Some('"')) {
                    *at += 1;
                    return Json::Map(entries);
                }
                let name = value(chars, at).text().to_owned();
                entries.push((name, value(chars, at)));
            }
        }
        Some('[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(chars, at);
                if matches!(chars.get(*at), Some(']') | None) {
                    *at += 1;
                    return Json::List(items);
                }
                items.push(value(chars, at));
            }
        }
        Some('"') => {
            *at += 1;
            let mut text = String::new();
            while let Some(c) = chars.get(*at) {
                *at += 1;
                match c {
                    '"' => break,
                    '\\' => {
                        text.extend(chars.get(*at));
                        *at += 1;
                    }
                    _ => text.push(*c),
                }
            }
            Json::Text(text)
        }
        _ => {
            let from = *at;
            while chars.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                *at += 1;
            }
            if *at == from {
                *at += 1;
            }
            let word: String = chars[from..(*at).min(chars.len())].iter().collect();
            word.parse().map_or(Json::Null, Json::Number)
        }
    }
}

/// Encodes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(DIGITS[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
