//! Names that are referred to by small numbers.

/// Names with numbers, given out in order of first mention.
#[derive(Clone, Debug, Default)]
pub struct NameTable(Vec<String>);

impl NameTable {
    /// The names, by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// The number of a name that has been mentioned.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|known| known == name)
    }

    /// The number of a name; a new one at its first mention.
    pub fn number(&mut self, name: &str) -> usize {
        self.find(name).unwrap_or_else(|| {
            self.0.push(name.to_string());
            self.0.len() - 1
        })
    }
}

impl From<Vec<String>> for NameTable {
    fn from(names: Vec<String>) -> Self {
        NameTable(names)
    }
}
