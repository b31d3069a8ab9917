//! Rules on the source of the packages that `FINISHED` lists: short files, typed errors, tests in test files, lints
//! denied, and no cyclic imports between files. Clippy checks function length and names.
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages that these rules apply to; docs/ROADMAP.md lists the others.
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

/// Source text of each file by its module path from the package root, such as `node::lease`.
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

fn strip_comments(text: &str) -> String {
    let before_comment = |line: &str| line.split("//").next().unwrap_or("").to_owned();
    text.lines()
        .map(before_comment)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Returns the paths that follow a prefix such as `crate::`, with groups in braces expanded.
fn paths_after(prefix: &str, text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (at, _) in text.match_indices(prefix) {
        let before = text[..at].chars().next_back();
        if !before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == ':') {
            found.extend(parse_paths(&text[at + prefix.len()..]).0);
        }
    }
    found
}

/// Parses a path or a braced group of paths at the start of a text. Returns the paths and the number of bytes read.
fn parse_paths(text: &str) -> (Vec<String>, usize) {
    let is_path = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let length = text.find(|c| !is_path(c)).unwrap_or(text.len());
    let prefix = &text[..length];
    if !text[length..].starts_with('{') {
        return (vec![prefix.to_owned()], length);
    }
    let mut paths = Vec::new();
    let mut at = length + 1;
    while at < text.len() && !text[at..].starts_with('}') {
        let (inner, bytes_read) = parse_paths(&text[at..]);
        paths.extend(
            inner
                .iter()
                .filter(|path| !path.is_empty())
                .map(|path| format!("{prefix}{path}")),
        );
        at += bytes_read.max(1);
    }
    (paths, at + 1)
}

/// Returns the longest module path that is a prefix of this path.
fn module_of(path: &str, modules: &BTreeSet<&str>) -> Option<String> {
    let parts: Vec<&str> = path.split("::").collect();
    let prefix = |length: usize| parts[..length].join("::");
    (1..=parts.len())
        .rev()
        .map(prefix)
        .find(|module| modules.contains(module.as_str()))
}

/// Returns the modules that each module imports. The root is left out, as it declares and re-exports all others.
fn imports(sources: &Sources) -> BTreeMap<String, BTreeSet<String>> {
    let modules: BTreeSet<&str> = sources
        .keys()
        .map(String::as_str)
        .filter(|m| !is_root(m))
        .collect();
    let mut all = BTreeMap::new();
    for (module, text) in sources.iter().filter(|(module, _)| !is_root(module)) {
        let text = strip_comments(text);
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

/// Returns a message for each module that imports itself through other modules.
fn import_cycles(sources: &Sources) -> Vec<String> {
    let imports = imports(sources);
    let reachable = |from: &String| {
        let mut seen = BTreeSet::new();
        let mut pending = vec![from.clone()];
        while let Some(module) = pending.pop() {
            for next in &imports[&module] {
                if seen.insert(next.clone()) {
                    pending.push(next.clone());
                }
            }
        }
        seen
    };
    let in_cycle = |module: &&String| reachable(module).contains(*module);
    imports
        .keys()
        .filter(in_cycle)
        .map(|module| format!("{module} imports itself through others"))
        .collect()
}

fn violations(sources: &Sources) -> Vec<String> {
    let mut violations = import_cycles(sources);
    for (module, text) in sources {
        let lines = text.lines().count();
        if lines > MAX_LINES {
            violations.push(format!("{module} has {lines} lines"));
        }
        let code = strip_comments(text);
        if code.contains("#[cfg(test)]") || code.contains("#[cfg(all(test") {
            violations.push(format!("{module} has a test module"));
        }
        let without_whitespace: String = code.split_whitespace().collect();
        if without_whitespace
            .split("Result<")
            .skip(1)
            .any(is_string_error)
        {
            violations.push(format!("{module} has a String error"));
        }
        if is_root(module) {
            let missing = DENIED.iter().filter(|lint| !code.contains(**lint));
            violations.extend(missing.map(|lint| format!("{module} does not deny {lint}")));
        }
    }
    violations
}

/// Returns true if the type arguments after `Result<` end in `, String` at their own nesting depth.
fn is_string_error(rest: &str) -> bool {
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
fn finished_packages_follow_the_rules() {
    for package in FINISHED {
        let violations = violations(&sources(package));
        assert!(violations.is_empty(), "{package}: {violations:#?}");
    }
}

#[test]
fn each_rule_violation_is_detected() {
    let attribute = format!("#![deny({})]", DENIED.join(", "));
    let package_with =
        |text: &str| Sources::from([("lib".into(), attribute.clone()), ("a".into(), text.into())]);
    assert_eq!(
        violations(&package_with(
            "use std::fmt;\npub fn f() -> Result<Vec<String>, Error> {}"
        )),
        Vec::<String>::new()
    );
    let assert_violation = |sources: Sources, expected: &str| {
        let violations = violations(&sources);
        assert!(
            violations
                .iter()
                .any(|violation| violation.contains(expected)),
            "{expected}: {violations:?}"
        );
    };
    assert_violation(package_with(&"\n".repeat(MAX_LINES + 1)), "501 lines");
    assert_violation(package_with("#[cfg(test)]\nmod tests {}"), "a test module");
    assert_violation(
        package_with("fn f() -> Result<Vec<(u8, u8)>, String> {}"),
        "a String error",
    );
    assert_violation(
        package_with("fn f() -> Result<\n    (),\n    String,\n> {}"),
        "a String error",
    );
    assert_violation(
        Sources::from([("lib".into(), String::new())]),
        "does not deny clippy::too_many_lines",
    );
    let mut cycle = package_with("use crate::{b::X, c};");
    cycle.insert("b".into(), "use super::a::Y;".into());
    assert_violation(cycle, "a imports itself");
    let mut long_cycle = package_with("use crate::b::{self, c::{D, E}};");
    long_cycle.insert("b::c".into(), "use crate::d;".into());
    long_cycle.insert("b".into(), "mod c;".into());
    long_cycle.insert("d".into(), "pub fn f() { crate::a::g() }".into());
    assert_violation(long_cycle, "d imports itself");
}
