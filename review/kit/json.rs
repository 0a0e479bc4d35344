//! A reader of JSON, for the transactions that gateways send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Value {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn list(&self, field: &str) -> &[Value] {
        match self.field(field) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, field: &str) -> &str {
        match self.field(field) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, field: &str) -> f64 {
        match self.field(field) {
            Some(Self::Number(number)) => *number,
            _ => -1.0,
        }
    }

    fn field(&self, field: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(field),
            _ => None,
        }
    }
}

/// Parses a document; `None` if it is not JSON. Escapes other than of single characters are kept as
/// they are: no key or value that is sent here has any.
pub fn parse(text: &str) -> Option<Value> {
    let mut rest = text.trim_start();
    value(&mut rest)
}

fn value(rest: &mut &str) -> Option<Value> {
    *rest = rest.trim_start();
    match rest.chars().next()? {
        '{' => {
            let mut fields = BTreeMap::new();
            *rest = rest[1..].trim_start();
            while !rest.starts_with('}') {
                let name = string(rest)?;
                *rest = rest.trim_start().strip_prefix(':')?;
                fields.insert(name, value(rest)?);
                *rest = rest.trim_start();
                *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
            }
            *rest = &rest[1..];
            Some(Value::Object(fields))
        }
        '[' => {
            let mut list = Vec::new();
            *rest = rest[1..].trim_start();
            while !rest.starts_with(']') {
                list.push(value(rest)?);
                *rest = rest.trim_start();
                *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
            }
            *rest = &rest[1..];
            Some(Value::List(list))
        }
        '"' => string(rest).map(Value::Text),
        _ => {
            let end = rest.find([',', ']', '}', ' ', '\n']).unwrap_or(rest.len());
            let (word, after) = rest.split_at(end);
            *rest = after;
            Some(word.parse().map_or(Value::Other, Value::Number))
        }
    }
}

fn string(rest: &mut &str) -> Option<String> {
    let inner = rest.trim_start().strip_prefix('"')?;
    let mut text = String::new();
    let mut chars = inner.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => {
                *rest = &inner[index + 1..];
                return Some(text);
            }
            '\\' => text.push(chars.next()?.1),
            c => text.push(c),
        }
    }
    None
}
