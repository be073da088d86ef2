//! A table that assigns numbers to names.

/// A table of names. Each name has a number; numbers are assigned in the order in which names are added.
#[derive(Clone, Debug, Default)]
pub struct NameTable(Vec<String>);

impl NameTable {
    /// Returns the names in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Returns the number of a name, or `None` if the table does not have it.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|known| known == name)
    }

    /// Returns the number of a name. A name that the table does not have is added with the next number.
    pub fn find_or_insert(&mut self, name: &str) -> usize {
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
