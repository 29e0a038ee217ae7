//! No identifier contains a withdrawn term. `docs/withdrawn-terms.txt` lists the terms
//! with their replacements, and says how an identifier is split into words.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders with Rust sources, relative to the root of the repository.
const SOURCE_FOLDERS: [&str; 4] = ["crates", "src", "tests", "fuzz"];

/// A withdrawn term, as lowercase words, and the term to use instead.
struct WithdrawnTerm {
    words: Vec<String>,
    replacement: String,
}

fn withdrawn_terms(list: &str) -> Vec<WithdrawnTerm> {
    let entries = list
        .lines()
        .filter(|line| !line.starts_with('#') && !line.trim().is_empty());
    entries
        .map(|line| {
            let (words, replacement) = line.split_once(':').expect("an entry is `words: wanted`");
            WithdrawnTerm {
                words: words.split_whitespace().map(str::to_lowercase).collect(),
                replacement: replacement.trim().to_owned(),
            }
        })
        .collect()
}

fn rust_sources(folder: &Path, sources: &mut Vec<PathBuf>) {
    let entries = fs::read_dir(folder).expect("a folder of sources");
    for path in entries.map(|entry| entry.expect("an entry").path()) {
        if path.is_dir() {
            rust_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}

/// Length in bytes of the literal (string or character) or comment at the start of `text`.
fn skipped_length(text: &str) -> Option<usize> {
    let until = |end: &str, from: usize| {
        text[from..]
            .find(end)
            .map_or(text.len(), |at| from + at + end.len())
    };
    if text.starts_with("//") {
        return Some(until("\n", 2));
    }
    if text.starts_with("/*") {
        return Some(until("*/", 2));
    }
    if let Some(raw) = text.strip_prefix('r') {
        let hashes = raw.len() - raw.trim_start_matches('#').len();
        if raw[hashes..].starts_with('"') {
            return Some(until(&format!("\"{}", "#".repeat(hashes)), hashes + 2));
        }
    }
    if text.starts_with('"') {
        return Some(quoted_length(text, '"'));
    }
    let is_character = text.starts_with("'\\") || text.chars().nth(2) == Some('\'');
    (text.starts_with('\'') && is_character).then(|| quoted_length(text, '\''))
}

/// Length in bytes of a quoted literal; escaped quotes don't end it.
fn quoted_length(text: &str, quote: char) -> usize {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            c if c == quote => return at + c.len_utf8(),
            _ => {}
        }
    }
    text.len()
}

/// All identifiers with their line numbers.
fn identifiers(source: &str) -> Vec<(usize, &str)> {
    let mut found = Vec::new();
    let mut at = 0;
    while let Some(c) = source[at..].chars().next() {
        let rest = &source[at..];
        if let Some(length) = skipped_length(rest) {
            at += length;
        } else if c.is_alphabetic() || c == '_' {
            let length = rest
                .find(|c: char| !c.is_alphanumeric() && c != '_')
                .unwrap_or(rest.len());
            found.push((at, &rest[..length]));
            at += length;
        } else {
            at += c.len_utf8();
        }
    }
    let line_of = |at: usize| source[..at].matches('\n').count() + 1;
    found
        .into_iter()
        .map(|(at, name)| (line_of(at), name))
        .collect()
}

/// The words of an identifier, split at `_` and at changes of case.
fn words(identifier: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut before_is_lower = false;
    for c in identifier.chars() {
        if c == '_' || c.is_uppercase() && before_is_lower {
            words.push(String::new());
        }
        before_is_lower = c.is_lowercase() || c.is_ascii_digit();
        if c != '_' {
            words.last_mut().expect("a word").extend(c.to_lowercase());
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

#[test]
fn identifiers_carry_no_withdrawn_term() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = fs::read_to_string(root.join("docs/withdrawn-terms.txt")).expect("the list");
    let terms = withdrawn_terms(&list);
    assert!(!terms.is_empty(), "the list names terms");
    let mut sources = Vec::new();
    for folder in SOURCE_FOLDERS {
        rust_sources(&root.join(folder), &mut sources);
    }
    let mut found = Vec::new();
    for path in &sources {
        let source = fs::read_to_string(path).expect("a source");
        for (line, identifier) in identifiers(&source) {
            let words = words(identifier);
            let matched = terms.iter().find(|term| {
                words
                    .windows(term.words.len())
                    .any(|part| part == term.words)
            });
            if let Some(term) = matched {
                let path = path.strip_prefix(root).expect("below the root").display();
                found.push(format!(
                    "{path}:{line}: {identifier}; use {}",
                    term.replacement
                ));
            }
        }
    }
    assert!(
        found.is_empty(),
        "{} withdrawn terms:\n{}",
        found.len(),
        found.join("\n")
    );
}

#[test]
fn identifiers_are_split_at_underscores_and_changes_of_case() {
    assert_eq!(words("STOOD_STILL_MS"), ["stood", "still", "ms"]);
    assert_eq!(words("stoodStill"), ["stood", "still"]);
    assert_eq!(words("FailureDetector2"), ["failure", "detector2"]);
}

#[test]
fn literals_and_comments_are_no_identifiers() {
    let source = "let a = \"x\\\"y\"; // z\nlet b = r#\"q\"#; let c = 'd'; fn e<'f>() {}";
    let names: Vec<&str> = identifiers(source)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(names, ["let", "a", "let", "b", "let", "c", "fn", "e", "f"]);
    assert_eq!(identifiers("\n\nx"), [(3, "x")]);
}
