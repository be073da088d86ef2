//! Checks the layers of `src/net`: a module may use lower layers and never a higher one. The list of layers is in
//! `src/net/mod.rs`, with the lowest layer first.

mod source_paths;

use source_paths::{used_paths, Path};
use std::fmt;
use std::fs;
use std::path::{Path as FilePath, PathBuf};

/// The file that contains the list of layers.
const ROOT_FILE: &str = "mod.rs";
/// The module whose child modules are the layers.
const ROOT_MODULE: &str = "net";

/// A use of a higher layer, or an import of the whole root module, which hides the layers that are used.
#[derive(Debug, PartialEq, Eq)]
struct Violation {
    file: String,
    /// The layer that is used, or `net` for an import of the whole root module.
    uses: String,
    path: Path,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.join("::");
        write!(f, "{} uses {} (as {path})", self.file, self.uses)
    }
}

/// A source file. Its name is the path relative to `src/net`.
struct SourceFile {
    name: String,
    source: String,
}

impl SourceFile {
    /// Returns the path of the module that the file defines.
    fn module(&self) -> Path {
        let stem = self.name.strip_suffix(".rs").unwrap_or(&self.name);
        let parts = stem.split('/').filter(|part| *part != "mod");
        std::iter::once(ROOT_MODULE)
            .chain(parts)
            .map(str::to_string)
            .collect()
    }
}

/// The layers, lowest first.
struct Layers(Vec<String>);

impl Layers {
    /// Parses the numbered list in the module documentation of the root file.
    fn parse(root_source: &str) -> Self {
        let documentation = root_source
            .lines()
            .filter_map(|line| line.strip_prefix("//! "));
        let mut layers = Vec::new();
        for line in documentation {
            let number = format!("{}. `", layers.len() + 1);
            let name = line
                .strip_prefix(&number)
                .and_then(|rest| rest.split('`').next());
            layers.extend(name.map(str::to_string));
        }
        Layers(layers)
    }

    /// Returns the height of a layer, or `None` if the name is not a layer, such as an item of the root file.
    fn height(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|layer| layer == name)
    }

    fn violations(&self, file: &SourceFile) -> Vec<Violation> {
        let module = file.module();
        // All layers may use the root file, so the root file may use none of them. It has no height.
        let height = module.get(1).and_then(|layer| self.height(layer));
        let child_modules: &[String] = if module.len() == 1 { &self.0 } else { &[] };
        let mut violations = Vec::new();
        for path in used_paths(&file.source, &module, child_modules) {
            let uses = match path.get(1) {
                _ if path.first().is_some_and(|first| first == "*") => ROOT_MODULE,
                _ if path.first().is_some_and(|first| first != ROOT_MODULE) => continue,
                None => ROOT_MODULE,
                Some(name) if name == "*" => ROOT_MODULE,
                Some(name) => match self.height(name) {
                    Some(used) if height.is_none_or(|current| used > current) => name,
                    _ => continue,
                },
            };
            violations.push(Violation {
                file: file.name.clone(),
                uses: uses.to_string(),
                path,
            });
        }
        violations
    }
}

fn net_directory() -> PathBuf {
    FilePath::new(env!("CARGO_MANIFEST_DIR")).join("src/net")
}

/// Returns all source files of `src/net`, sorted by name.
fn sources() -> Vec<SourceFile> {
    let root = net_directory();
    let mut directories = vec![root.clone()];
    let mut files = Vec::new();
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("a directory of src/net") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let name = path.strip_prefix(&root).expect("a path in src/net");
            files.push(SourceFile {
                name: name.to_str().expect("a name in UTF-8").to_string(),
                source: fs::read_to_string(&path).expect("a source"),
            });
        }
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    files
}

fn layers() -> Layers {
    let root_source = fs::read_to_string(net_directory().join(ROOT_FILE));
    Layers::parse(&root_source.expect("src/net/mod.rs"))
}

/// Returns what a file of this name with this source uses in violation of the layers.
fn violations_of(name: &str, source: &str) -> Vec<String> {
    let file = SourceFile {
        name: name.to_string(),
        source: source.to_string(),
    };
    let violations = layers().violations(&file);
    violations
        .into_iter()
        .map(|violation| violation.uses)
        .collect()
}

#[test]
fn list_of_layers_names_each_module_once() {
    let mut listed = layers().0;
    listed.sort();
    let source = fs::read_to_string(net_directory().join(ROOT_FILE)).expect("src/net/mod.rs");
    let mut declared: Vec<String> = source
        .lines()
        .filter_map(|line| {
            let module = line.strip_prefix("pub mod ");
            let package = line.strip_prefix("pub use irisrouter_pg as ");
            module.or(package)?.strip_suffix(';').map(str::to_string)
        })
        .collect();
    declared.sort();
    assert_eq!(listed, declared);
    let mut present: Vec<String> = sources()
        .iter()
        .filter_map(|file| file.module().get(1).cloned())
        .collect();
    present.push("pg".to_string());
    present.sort();
    present.dedup();
    assert_eq!(listed, present);
}

#[test]
fn no_layer_uses_a_higher_one() {
    let layers = layers();
    let files = sources();
    let violations: Vec<String> = files
        .iter()
        .flat_map(|file| layers.violations(file))
        .map(|violation| violation.to_string())
        .collect();
    assert!(
        violations.is_empty(),
        "a lower layer uses a higher one, which is removed by moving the type to the layer that owns it, or by a trait that \
         `lifecycle` connects: {violations:#?}"
    );
}

#[test]
fn import_of_a_higher_layer_is_reported_in_every_form() {
    let forms = [
        "use crate::net::lifecycle::startup;",
        "use crate::net::lifecycle;",
        "use crate::net::lifecycle::*;",
        "pub use crate::net::lifecycle as l;",
        "use crate::net::{log::log, lifecycle::{startup, reload}};",
        "use crate::{net::{lifecycle::startup}};",
        "use super::super::lifecycle::startup;",
        "use super::super::{lifecycle};",
        "fn f() { crate::net::lifecycle::startup::run() }",
        "fn f(x: &dyn Fn(crate::net::lifecycle::Part)) {}",
        "mod inner { use super::super::super::lifecycle::startup; }",
        "/* a comment */ const C: char = '\"'; use crate::net::lifecycle::startup; // \"",
    ];
    for form in forms {
        let found = violations_of("upstream/pool.rs", form);
        assert!(
            !found.is_empty() && found.iter().all(|uses| uses == "lifecycle"),
            "{form}: {found:?}"
        );
    }
    assert_eq!(
        violations_of("mod.rs", "pub use upstream::Upstream;"),
        ["upstream"]
    );
    assert_eq!(
        violations_of("mod.rs", "pub use self::upstream::Upstream;"),
        ["upstream"]
    );
    assert_eq!(
        violations_of("router_task.rs", "use super::cluster;"),
        ["cluster"]
    );
}

#[test]
fn import_of_the_whole_root_module_is_reported() {
    let forms = [
        "use crate::net;",
        "use crate::net::*;",
        "use crate::net::{self, Clock};",
        "use super::super::*;",
        "use crate as program;",
        "use crate::*;",
    ];
    for form in forms {
        assert_eq!(
            violations_of("upstream/pool.rs", form),
            [ROOT_MODULE],
            "{form}"
        );
    }
}

#[test]
fn use_of_a_lower_layer_or_the_same_layer_is_allowed() {
    let allowed = [
        "use crate::net::buffers::Pool;",
        "use crate::net::{duration, Clock};",
        "use crate::net::upstream::registry::{Registry, Upstream};",
        "use super::registry::Registry;",
        "mod inner { use super::super::registry::Registry; use super::Pool; }",
        "pub(super) struct A; pub(crate) struct B; pub(in crate::net) struct C;",
        "fn f(&self) { self.lifecycle.start(); self::helper(); }",
        "// use crate::net::lifecycle;\n/* use crate::net::lifecycle; */",
        "const TEXT: &str = \"use crate::net::lifecycle; \\\" crate::net::admin\";",
        "const RAW: &str = r#\"use crate::net::lifecycle; \" crate::net::admin\"#;",
        "use std::net::lifecycle; use irisrouter::routing::lifecycle;",
        "fn f<'a>(x: &'a str) -> char { '\\'' }",
    ];
    for source in allowed {
        assert_eq!(
            violations_of("upstream/pool.rs", source),
            [""; 0],
            "{source}"
        );
    }
}
