//! Finds the paths that a Rust source uses, in imports (including grouped ones) and in code.
//!
//! It works on tokens instead of the whole grammar: a path begins with `crate`, `super` or `self`, and in the root file
//! of the layers also with the name of a child module.

/// A token of a source. Literals and comments produce no tokens, because they contain no paths.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    Identifier(String),
    /// `::`
    PathSeparator,
    Punctuation(char),
}

/// The path of a module or item from the root of the crate, such as `["net", "upstream", "Upstream"]`.
pub type Path = Vec<String>;

/// Returns the paths that `source` uses, each from the root of the crate. `module` is the path of the module that the
/// source defines, and `child_modules` are the child modules with whose names a path in it may begin.
pub fn used_paths(source: &str, module: &[String], child_modules: &[String]) -> Vec<Path> {
    let mut finder = PathFinder {
        tokens: tokens(source),
        position: 0,
        module: module.to_vec(),
        inline_modules: Vec::new(),
        depth: 0,
        paths: Vec::new(),
    };
    while finder.position < finder.tokens.len() {
        finder.step(child_modules);
    }
    finder.paths
}

struct PathFinder {
    tokens: Vec<Token>,
    position: usize,
    /// The module that contains the current position.
    module: Path,
    /// The brace depths at which the inline modules around the current position begin.
    inline_modules: Vec<usize>,
    depth: usize,
    paths: Vec<Path>,
}

impl PathFinder {
    /// Reads the next path, or the next token that is not part of a path.
    fn step(&mut self, child_modules: &[String]) {
        match self.tokens[self.position].clone() {
            Token::Identifier(name) if name == "mod" && self.enters_inline_module() => return,
            Token::Identifier(name) if self.begins_path(&name, child_modules) => {
                let prefix = if child_modules.contains(&name) {
                    self.module.clone()
                } else {
                    Path::new()
                };
                self.read_path(prefix);
                return;
            }
            Token::Punctuation('{') => self.depth += 1,
            Token::Punctuation('}') => {
                self.depth -= 1;
                if self.inline_modules.last() == Some(&self.depth) {
                    self.inline_modules.pop();
                    self.module.pop();
                }
            }
            _ => {}
        }
        self.position += 1;
    }

    /// Enters the inline module that begins at the current position. Returns `false` if none does.
    fn enters_inline_module(&mut self) -> bool {
        let Some(Token::Identifier(name)) = self.tokens.get(self.position + 1).cloned() else {
            return false;
        };
        if self.tokens.get(self.position + 2) != Some(&Token::Punctuation('{')) {
            return false;
        }
        self.module.push(name);
        self.inline_modules.push(self.depth);
        self.depth += 1;
        self.position += 3;
        true
    }

    fn begins_path(&self, name: &str, child_modules: &[String]) -> bool {
        let previous = self.position.checked_sub(1).map(|at| &self.tokens[at]);
        if previous == Some(&Token::PathSeparator) || self.is_visibility() {
            return false;
        }
        let followed = self.tokens.get(self.position + 1) == Some(&Token::PathSeparator);
        match name {
            "crate" | "super" => true,
            // Without a path separator, `self` is the receiver of a method.
            "self" => followed,
            _ => followed && child_modules.iter().any(|child| child == name),
        }
    }

    /// Returns whether the current token belongs to a `pub(crate)`, `pub(super)` or `pub(in ...)`.
    fn is_visibility(&self) -> bool {
        let before = &self.tokens[..self.position];
        let before = match before.split_last() {
            Some((Token::Identifier(last), rest)) if last == "in" => rest,
            _ => before,
        };
        let public = Token::Identifier("pub".to_string());
        before.ends_with(&[public, Token::Punctuation('(')])
    }

    /// Reads the rest of a path after `prefix`, with all branches of its groups.
    fn read_path(&mut self, mut prefix: Path) {
        loop {
            match self.tokens.get(self.position).cloned() {
                Some(Token::Identifier(name)) => self.append(&mut prefix, name),
                Some(Token::Punctuation('*')) => prefix.push("*".to_string()),
                Some(Token::Punctuation('{')) => return self.read_group(&prefix),
                // The path ends before any other token, as in `Vec::<u32>`.
                _ => break,
            }
            self.position += 1;
            if self.tokens.get(self.position) != Some(&Token::PathSeparator) {
                break;
            }
            self.position += 1;
        }
        self.paths.push(prefix);
    }

    fn append(&self, prefix: &mut Path, name: String) {
        match name.as_str() {
            "crate" => prefix.clear(),
            // At the beginning of a path, `self` is the current module. In a group it is the prefix of the group.
            "self" if prefix.is_empty() => prefix.clone_from(&self.module),
            "self" => {}
            "super" => {
                if prefix.is_empty() {
                    prefix.clone_from(&self.module);
                }
                prefix.pop();
            }
            _ => prefix.push(name),
        }
    }

    /// Reads the branches of a group, from its opening to its closing brace.
    fn read_group(&mut self, prefix: &Path) {
        self.position += 1;
        loop {
            match self.tokens.get(self.position) {
                None => return,
                Some(Token::Punctuation('}')) => {
                    self.position += 1;
                    return;
                }
                Some(Token::Punctuation(',')) => self.position += 1,
                Some(Token::Identifier(name)) if name == "as" => self.position += 2,
                Some(_) => self.read_path(prefix.clone()),
            }
        }
    }
}

fn tokens(source: &str) -> Vec<Token> {
    let characters: Vec<char> = source.chars().collect();
    let mut tokens = Vec::new();
    let mut position = 0;
    while position < characters.len() {
        let rest = &characters[position..];
        if let Some(length) = skipped_length(rest) {
            position += length;
        } else if is_identifier_part(rest[0]) {
            let part = rest.iter().take_while(|&&c| is_identifier_part(c));
            let name: String = part.collect();
            position += name.chars().count();
            tokens.push(Token::Identifier(name));
        } else if rest.starts_with(&[':', ':']) {
            position += 2;
            tokens.push(Token::PathSeparator);
        } else {
            position += 1;
            if !rest[0].is_whitespace() {
                tokens.push(Token::Punctuation(rest[0]));
            }
        }
    }
    tokens
}

fn is_identifier_part(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Returns the length in characters of the comment or literal with which `rest` begins, or `None` if it begins with
/// neither.
fn skipped_length(rest: &[char]) -> Option<usize> {
    match rest {
        ['/', '/', ..] => Some(length_until(rest, 2, &['\n'])),
        ['/', '*', ..] => Some(length_until(rest, 2, &['*', '/'])),
        ['"', ..] => Some(string_length(rest)),
        ['r', '"' | '#', ..] => raw_string_length(rest),
        ['b', 'r', '"' | '#', ..] => raw_string_length(&rest[1..]).map(|length| length + 1),
        ['\'', '\\', _, ..] => Some(length_until(rest, 3, &['\''])),
        ['\'', _, '\'', ..] => Some(3),
        _ => None,
    }
}

/// Returns the number of characters up to and including the first `end` at or after `start`.
fn length_until(rest: &[char], start: usize, end: &[char]) -> usize {
    let found = (start..rest.len()).find(|&at| rest[at..].starts_with(end));
    found.map_or(rest.len(), |at| at + end.len())
}

fn string_length(rest: &[char]) -> usize {
    let mut position = 1;
    while position < rest.len() && rest[position] != '"' {
        position += if rest[position] == '\\' { 2 } else { 1 };
    }
    position + 1
}

/// Returns the length of a raw string, or `None` if `rest` begins with a raw identifier (`r#name`).
fn raw_string_length(rest: &[char]) -> Option<usize> {
    let hashes = rest[1..].iter().take_while(|&&c| c == '#').count();
    if rest.get(1 + hashes) != Some(&'"') {
        return None;
    }
    let mut end = vec!['"'];
    end.extend(vec!['#'; hashes]);
    Some(length_until(rest, 2 + hashes, &end))
}
