//! Rules on the source of the packages that `FINISHED` lists: short files, typed errors, tests in test files, lints
//! denied, and no two files that import each other. Function length and names are clippy's part.
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages under these rules; docs/ROADMAP.md lists the others.
const FINISHED: [&str; 10] = [
    "balancer",
    "cluster",
    "cluster-runtime",
    "startup",
    "config-store",
    "endpoint-discovery",
    "fair-share",
    "tenant-activation",
    "settings",
    "sim-adapter",
];

const MAX_LINES: usize = 500;

const DENIED: [&str; 5] = [
    "clippy::too_many_lines",
    "clippy::too_many_arguments",
    "clippy::many_single_char_names",
    "clippy::type_complexity",
    "clippy::struct_excessive_bools",
];

/// Module path from the package's root, such as `node::lease`, and the file's text.
type Sources = BTreeMap<String, String>;

fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

fn sources(package: &str) -> Sources {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(package)
        .join("src");
    let module = |path: &Path| {
        let relative = path.strip_prefix(&root).unwrap().with_extension("");
        let parts: Vec<&str> = relative.iter().map(|part| part.to_str().unwrap()).collect();
        parts.join("::").trim_end_matches("::mod").to_owned()
    };
    let text = |path: &PathBuf| (module(path), std::fs::read_to_string(path).unwrap());
    source_files(&root).iter().map(text).collect()
}

fn is_root(module: &str) -> bool {
    module == "lib" || module == "main"
}

fn code(text: &str) -> String {
    let before_comment = |line: &str| line.split("//").next().unwrap_or("").to_owned();
    text.lines()
        .map(before_comment)
        .collect::<Vec<_>>()
        .join("\n")
}

/// The paths that follow a prefix such as `crate::`, with groups in braces expanded.
fn paths_after(prefix: &str, text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (at, _) in text.match_indices(prefix) {
        let before = text[..at].chars().next_back();
        if !before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == ':') {
            found.extend(expanded(&text[at + prefix.len()..]).0);
        }
    }
    found
}

/// One path, or a group of them, from the beginning of a text; and how many bytes it takes.
fn expanded(text: &str) -> (Vec<String>, usize) {
    let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let length = text.find(|c| !is_path(c)).unwrap_or(text.len());
    let head = &text[..length];
    if !text[length..].starts_with('{') {
        return (vec![head.to_owned()], length);
    }
    let mut paths = Vec::new();
    let mut at = length + 1;
    while at < text.len() && !text[at..].starts_with('}') {
        let (inner, taken) = expanded(&text[at..]);
        paths.extend(
            inner
                .iter()
                .filter(|path| !path.is_empty())
                .map(|path| format!("{head}{path}")),
        );
        at += taken.max(1);
    }
    (paths, at + 1)
}

/// The longest module that a path begins with.
fn module_of(path: &str, modules: &BTreeSet<&str>) -> Option<String> {
    let parts: Vec<&str> = path.split("::").collect();
    let prefix = |length: usize| parts[..length].join("::");
    (1..=parts.len())
        .rev()
        .map(prefix)
        .find(|module| modules.contains(module.as_str()))
}

/// The modules that each module imports, the root left out: it declares and re-exports.
fn imports(sources: &Sources) -> BTreeMap<String, BTreeSet<String>> {
    let modules: BTreeSet<&str> = sources
        .keys()
        .map(String::as_str)
        .filter(|m| !is_root(m))
        .collect();
    let mut all = BTreeMap::new();
    for (module, text) in sources.iter().filter(|(module, _)| !is_root(module)) {
        let text = code(text);
        let parent = module
            .rsplit_once("::")
            .map_or(String::new(), |(parent, _)| format!("{parent}::"));
        let absolute = paths_after("crate::", &text);
        let relative = paths_after("super::", &text)
            .into_iter()
            .map(|path| format!("{parent}{path}"));
        let targets = absolute
            .into_iter()
            .chain(relative)
            .filter_map(|path| module_of(&path, &modules));
        all.insert(
            module.clone(),
            targets.filter(|target| target != module).collect(),
        );
    }
    all
}

/// Pairs of modules that reach each other through their imports.
fn circles(sources: &Sources) -> Vec<String> {
    let imports = imports(sources);
    let reached = |from: &String| {
        let mut seen = BTreeSet::new();
        let mut open = vec![from.clone()];
        while let Some(module) = open.pop() {
            for next in &imports[&module] {
                if seen.insert(next.clone()) {
                    open.push(next.clone());
                }
            }
        }
        seen
    };
    let in_circle = |module: &&String| reached(module).contains(*module);
    imports
        .keys()
        .filter(in_circle)
        .map(|module| format!("{module} imports itself through others"))
        .collect()
}

fn faults(sources: &Sources) -> Vec<String> {
    let mut faults = circles(sources);
    for (module, text) in sources {
        let lines = text.lines().count();
        if lines > MAX_LINES {
            faults.push(format!("{module} has {lines} lines"));
        }
        let code = code(text);
        if code.contains("#[cfg(test)]") || code.contains("#[cfg(all(test") {
            faults.push(format!("{module} has a test module"));
        }
        let packed: String = code.split_whitespace().collect();
        if packed.split("Result<").skip(1).any(string_error) {
            faults.push(format!("{module} has an error that is a text"));
        }
        if is_root(module) {
            let missing = DENIED.iter().filter(|lint| !code.contains(**lint));
            faults.extend(missing.map(|lint| format!("{module} does not deny {lint}")));
        }
    }
    faults
}

/// Whether what follows `Result<` ends in `, String>` at its own depth.
fn string_error(rest: &str) -> bool {
    let mut depth = 0;
    for (at, c) in rest.char_indices() {
        match c {
            '<' | '(' | '[' => depth += 1,
            ')' | ']' => depth -= 1,
            '>' if rest[..at].ends_with('-') => {}
            '>' if depth == 0 => return rest[..at].trim_end_matches(',').ends_with(",String"),
            '>' => depth -= 1,
            _ => {}
        }
    }
    false
}

#[test]
fn finished_packages_keep_the_rules() {
    for package in FINISHED {
        let faults = faults(&sources(package));
        assert!(faults.is_empty(), "{package}: {faults:#?}");
    }
}

#[test]
fn each_broken_rule_is_seen() {
    let attribute = format!("#![deny({})]", DENIED.join(", "));
    let sound =
        |text: &str| Sources::from([("lib".into(), attribute.clone()), ("a".into(), text.into())]);
    assert_eq!(
        faults(&sound(
            "use std::fmt;\npub fn f() -> Result<Vec<String>, Error> {}"
        )),
        Vec::<String>::new()
    );
    let found = |sources: Sources, word: &str| {
        let faults = faults(&sources);
        assert!(
            faults.iter().any(|fault| fault.contains(word)),
            "{word}: {faults:?}"
        );
    };
    found(sound(&"\n".repeat(MAX_LINES + 1)), "501 lines");
    found(sound("#[cfg(test)]\nmod tests {}"), "a test module");
    found(
        sound("fn f() -> Result<Vec<(u8, u8)>, String> {}"),
        "error that is a text",
    );
    found(
        sound("fn f() -> Result<\n    (),\n    String,\n> {}"),
        "error that is a text",
    );
    found(
        Sources::from([("lib".into(), String::new())]),
        "does not deny clippy::too_many_lines",
    );
    let mut circle = sound("use crate::{b::X, c};");
    circle.insert("b".into(), "use super::a::Y;".into());
    found(circle, "a imports itself");
    let mut three = sound("use crate::b::{self, c::{D, E}};");
    three.insert("b::c".into(), "use crate::d;".into());
    three.insert("b".into(), "mod c;".into());
    three.insert("d".into(), "pub fn f() { crate::a::g() }".into());
    found(three, "d imports itself");
}
