//! Reads the JSON texts that gateways send to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `Null` if it is not JSON.
    pub fn parse(text: &str) -> Self {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value().unwrap_or(Self::Null)
    }

    /// Returns a field of an object; `Null` if there is none.
    pub fn field(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.accept(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            if !self.accept(b':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.accept(b'}') {
                return Some(Json::Object(fields));
            }
            if !self.accept(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut values = Vec::new();
        if self.accept(b']') {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.accept(b']') {
                return Some(Json::List(values));
            }
            if !self.accept(b',') {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if !self.accept(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(code.ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend(character.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
