//! A small JSON reader, and base64, for the messages of the store.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, word: &str) -> Option<()> {
        self.space();
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.values(),
            b'"' => self.string().map(Json::Text),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'n' => self.eat("null").map(|()| Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.eat("{")?;
        let mut rows = Vec::new();
        if self.eat("}").is_some() {
            return Some(Json::Table(rows));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.eat(":")?;
            rows.push((key, self.value()?));
            if self.eat(",").is_none() {
                self.eat("}")?;
                return Some(Json::Table(rows));
            }
        }
    }

    fn values(&mut self) -> Option<Json> {
        self.eat("[")?;
        let mut values = Vec::new();
        if self.eat("]").is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.eat(",").is_none() {
                self.eat("]")?;
                return Some(Json::List(values));
            }
        }
    }

    /// Strings of the store's messages hold no other escapes than these.
    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(ALPHABET[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut word = 0_u32;
    let mut bits = 0;
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits & 255) as u8);
        }
    }
    bytes
}
