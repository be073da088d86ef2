//! Templates as files: parameters, imports, checks, and evaluations that fail.

use irisrouter_config::{
    load, parameters, Checked, Error, Problem, ReadError, TemplateError, Variables,
};
use schemars::JsonSchema;
use serde::Deserialize;
use std::io;
use std::path::Path;

/// Settings with a schema bound, an optional list, and a check across both fields.
#[derive(Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
struct Pond {
    #[schemars(range(min = 0.0))]
    depth_m: f64,
    #[serde(default)]
    fish: Vec<String>,
}

impl Checked for Pond {
    fn check(&self) -> Vec<Problem> {
        let dry = self.depth_m == 0.0 && !self.fish.is_empty();
        dry.then(|| Problem::new("/fish", "fish in a dry pond"))
            .into_iter()
            .collect()
    }
}

/// A directory with a template `a.jsonnet`.
struct TemplateDirectory(tempfile::TempDir);

impl TemplateDirectory {
    fn with(files: &[(&str, &str)]) -> Self {
        let dir = TemplateDirectory(tempfile::tempdir().expect("a folder"));
        files.iter().for_each(|(name, text)| {
            std::fs::write(dir.0.path().join(name), text).expect("a file")
        });
        dir
    }

    fn load(&self, variables: &[&str]) -> Result<Pond, Error> {
        let mut parsed = Variables::none();
        variables
            .iter()
            .for_each(|p| parsed.add(p).expect("a variable"));
        load(&self.0.path().join("a.jsonnet"), &parsed)
    }
}

#[test]
fn template_takes_parameters_and_imports() {
    let dir = TemplateDirectory::with(&[
        ("a.jsonnet", "local b = import 'b.libsonnet';\nfunction(depth=2, kind='carp') b + {depth_m: depth, fish: [kind]}"),
        ("b.libsonnet", "{depth_m: 1}"),
    ]);
    assert_eq!(
        dir.load(&[]).expect("settings"),
        Pond {
            depth_m: 2.0,
            fish: vec!["carp".into()]
        }
    );
    assert_eq!(
        dir.load(&["depth=3.5", "kind=a pike"]).expect("settings"),
        Pond {
            depth_m: 3.5,
            fish: vec!["a pike".into()]
        }
    );
    let parameters = parameters(&dir.0.path().join("a.jsonnet"));
    assert_eq!(parameters.expect("parameters"), ["depth", "kind"]);
    match dir.load(&["deep=3"]) {
        Err(Error::Variable { name, declared }) => {
            assert_eq!(name, "deep");
            assert_eq!(declared, ["depth", "kind"]);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn invalid_settings_are_reported_with_path_and_reason() {
    let problems = |text: &str| match TemplateDirectory::with(&[("a.jsonnet", text)]).load(&[]) {
        Err(Error::Invalid { problems, .. }) => problems,
        other => panic!("{other:?}"),
    };
    let found = problems("{depth_m: -1}");
    assert_eq!(found[0].path, "/depth_m");
    assert!(found[0].reason.contains("-1"), "{found:?}");
    assert!(problems("{depth_m: 1, frogs: 2}")[0]
        .reason
        .contains("frogs"));
    assert_eq!(
        problems("{depth_m: 1, fish: ['carp', 7]}")[0].path,
        "/fish/1"
    );
    assert_eq!(
        problems("{depth_m: 0, fish: ['carp']}"),
        [Problem::new("/fish", "fish in a dry pond")]
    );
    assert!(problems("[]")[0].path.is_empty());
}

#[test]
fn recursive_or_broken_template_is_an_error_and_does_not_end_the_process() {
    let evaluation_trace = |files: &[(&str, &str)]| match TemplateDirectory::with(files).load(&[]) {
        Err(Error::Template {
            source: TemplateError::Evaluation { trace },
            ..
        }) => trace,
        other => panic!("{other:?}"),
    };
    let import_loop_trace = evaluation_trace(&[
        ("a.jsonnet", "import 'b.jsonnet'"),
        ("b.jsonnet", "import 'a.jsonnet'"),
    ]);
    assert!(
        import_loop_trace.contains("recursion") || import_loop_trace.contains("stack"),
        "{import_loop_trace}"
    );
    let deep = evaluation_trace(&[("a.jsonnet", "local f(x) = 1 + f(x + 1); {depth_m: f(0)}")]);
    assert!(deep.contains("stack"), "{deep}");
    assert!(evaluation_trace(&[("a.jsonnet", "{depth_m: }")]).contains("a.jsonnet"));
    assert!(evaluation_trace(&[("a.jsonnet", "import 'missing.jsonnet'")]).contains("missing"));
    let missing = load::<Pond>(Path::new("no/such/file"), &Variables::none());
    assert!(
        matches!(
            missing,
            Err(Error::Unreadable {
                source: ReadError::System(_),
                ..
            })
        ),
        "{missing:?}"
    );
    assert!(matches!(
        load::<Pond>(Path::new("/dev/zero"), &Variables::none()),
        Err(Error::Unreadable {
            source: ReadError::NoFileOfAllowedSize,
            ..
        })
    ));
}

#[test]
fn variable_that_is_not_a_pair_is_rejected() {
    let mut parsed = Variables::none();
    assert!(
        parsed.add("gateways").is_err()
            && parsed.add("a b=1").is_err()
            && parsed.add("=1").is_err()
    );
    parsed.add("a=1").expect("a pair");
    parsed.add("a=x=y").expect("a pair");
    assert_eq!(parsed.to_string(), "a=x=y");
}

/// The texts must not change, because operators and scripts read them.
#[test]
fn errors_have_stable_texts() {
    let file = || "a.jsonnet".into();
    let unreadable = |source| Error::Unreadable {
        file: file(),
        source,
    };
    let in_template = |source| Error::Template {
        file: file(),
        source,
    };
    let no_json = serde_json::from_str::<serde_json::Value>("x").expect_err("no JSON");
    let declared = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let texts = [
        unreadable(ReadError::System(io::Error::other("gone"))),
        unreadable(ReadError::NoFileOfAllowedSize),
        unreadable(ReadError::Thread(io::Error::other("none left"))),
        in_template(TemplateError::Evaluation {
            trace: "at 1:2\n".into(),
        }),
        in_template(TemplateError::NoJson(no_json)),
        in_template(TemplateError::Panicked),
        Error::Variable {
            name: "x".into(),
            declared: declared(&[]),
        },
        Error::Variable {
            name: "x".into(),
            declared: declared(&["a", "b"]),
        },
        Error::Invalid {
            file: file(),
            problems: vec![Problem::new("", "one"), Problem::new("/a", "two")],
        },
    ]
    .map(|error| error.to_string());
    assert_eq!(
        texts,
        [
            "a.jsonnet: gone",
            "a.jsonnet: no file of 4194304 bytes at most",
            "a.jsonnet: no thread to evaluate it: none left",
            "a.jsonnet: at 1:2",
            "a.jsonnet: it manifests as no JSON: expected value at line 1 column 1",
            "a.jsonnet: the evaluation broke down",
            "variable x: the file declares none",
            "variable x: the file declares a, b",
            "a.jsonnet: not taken:\n  (the whole): one\n  /a: two",
        ]
    );
    let mut variables = Variables::none();
    let errors =
        ["gateways", "a b=1"].map(|pair| variables.add(pair).map_err(|error| error.to_string()));
    assert_eq!(errors[0], Err("'gateways' is not name=value".to_string()));
    assert_eq!(errors[1], Err("'a b' is no name of a variable".to_string()));
}
