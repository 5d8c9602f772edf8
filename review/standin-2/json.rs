//! The little of JSON that the store and the servers need.

use std::fmt::Write as _;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(bytes: &[u8]) -> Self {
        let text: Vec<char> = String::from_utf8_lossy(bytes).chars().collect();
        Parser { text: &text, at: 0 }.value().unwrap_or(Self::Null)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(entries) => entries.iter().find(|it| it.0 == name).map_or(&NULL, |it| &it.1),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

/// Writes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            c if (c as u32) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", c as u32);
            }
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'a> {
    text: &'a [char],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<char> {
        while self.text.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        let found = self.peek()? == wanted;
        self.at += usize::from(found);
        found.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => {
                self.take('{')?;
                let mut entries = Vec::new();
                while self.take('}').is_none() {
                    let Some(Json::Text(name)) = self.value() else {
                        return None;
                    };
                    self.take(':')?;
                    entries.push((name, self.value()?));
                    let _ = self.take(',');
                }
                Some(Json::Table(entries))
            }
            '[' => {
                self.take('[')?;
                let mut items = Vec::new();
                while self.take(']').is_none() {
                    items.push(self.value()?);
                    let _ = self.take(',');
                }
                Some(Json::List(items))
            }
            '"' => self.string(),
            _ => {
                let begin = self.at;
                let is_word = |it: &char| it.is_ascii_alphanumeric() || "+-.".contains(*it);
                while self.text.get(self.at).is_some_and(is_word) {
                    self.at += 1;
                }
                let word: String = self.text[begin..self.at].iter().collect();
                match word.as_str() {
                    "" => None,
                    "null" => Some(Json::Null),
                    "true" | "false" => Some(Json::Flag(word == "true")),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<Json> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.text.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(Json::Text(text)),
                '\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'b' => text.push('\u{8}'),
                        'f' => text.push('\u{c}'),
                        'u' => {
                            let digits: String = self.text.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                c => text.push(c),
            }
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
