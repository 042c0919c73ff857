//! Checks that every name which leaves the process still occurs in the sources, letter for letter.
//!
//! `docs/external-names.txt` lists the names of peer messages, stored state, settings, headers, metrics, log fields and
//! the like. A rename of one of them would break a peer, a client, stored data or an operator's tool without a compile
//! error.

use proc_macro2::{Delimiter, TokenStream, TokenTree};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use syn::visit::Visit;

/// The part of the sources in which the names of a section must occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Fields and variants of types that serde reads or writes. The section lists all of those in its folder.
    Serialized,
    /// String literals, or their parts between punctuation and blanks.
    Text,
    /// Identifiers in the log macros.
    LogField,
    /// Keys of a TOML file.
    Key,
}

/// A heading of the list, and the names below it.
struct Section {
    kind: Kind,
    /// The folder or file of the sources, relative to the root of the repository.
    path: String,
    names: Vec<String>,
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads the list: `[kind] path: description` is a heading, `#` starts a comment, every other line is a name.
fn read_list() -> Vec<Section> {
    let path = repository_root().join("docs/external-names.txt");
    let text = std::fs::read_to_string(path).expect("the list of external names can be read");
    let mut sections: Vec<Section> = Vec::new();
    for line in text.lines() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        if let Some((kind, rest)) = line
            .strip_prefix('[')
            .and_then(|line| line.split_once("] "))
        {
            let kind = match kind {
                "serialized" => Kind::Serialized,
                "text" => Kind::Text,
                "log field" => Kind::LogField,
                "key" => Kind::Key,
                _ => panic!("unknown kind of section: {line}"),
            };
            let path = rest.split(':').next().unwrap_or(rest).to_owned();
            let names = Vec::new();
            sections.push(Section { kind, path, names });
        } else {
            let section = sections.last_mut().expect("a heading comes before a name");
            section.names.push(line.to_owned());
        }
    }
    sections
}

/// The source files at a path, except tests.
fn source_files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path)
        .unwrap_or_else(|error| panic!("{} can be read: {error}", path.display()));
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("a folder's entry can be read").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let is_test = name == "tests.rs" || name == "tests";
        if path.is_dir() && !is_test {
            files.extend(source_files(&path));
        } else if name.ends_with(".rs") && !is_test {
            files.push(path);
        }
    }
    files
}

/// The names in the sources that a section of this kind may list.
fn names_in_sources(kind: Kind, path: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in source_files(&repository_root().join(path)) {
        let text = std::fs::read_to_string(&file).expect("a source file can be read");
        match kind {
            Kind::Serialized => {
                let syntax = syn::parse_file(&text).expect("a source file is valid Rust");
                SerializedNames { names: &mut names }.visit_file(&syntax);
            }
            Kind::Text => {
                let tokens = text.parse().expect("a source file is valid Rust");
                collect_texts(tokens, &mut names);
            }
            Kind::LogField => {
                let tokens = text.parse().expect("a source file is valid Rust");
                collect_log_fields(tokens, &mut names);
            }
            Kind::Key => {
                let keys = text.lines().filter_map(|line| line.split_once('='));
                names.extend(keys.map(|(key, _)| key.trim().to_owned()));
            }
        }
    }
    names
}

/// Collects the outer names of fields and variants of types that derive `Serialize` or `Deserialize`.
struct SerializedNames<'a> {
    names: &'a mut BTreeSet<String>,
}

impl SerializedNames<'_> {
    fn add_fields(&mut self, fields: &syn::Fields, rule: Option<&str>) {
        let named = fields.iter().filter(|field| field.ident.is_some());
        for field in named {
            let attributes = SerdeAttributes::read(&field.attrs);
            if attributes.skipped {
                continue;
            }
            let name = field.ident.as_ref().map(ToString::to_string);
            let own_name = name.map(|name| rename_field(&name, rule));
            self.names.extend(attributes.rename.or(own_name));
        }
    }
}

impl<'ast> Visit<'ast> for SerializedNames<'_> {
    fn visit_item_struct(&mut self, item: &'ast syn::ItemStruct) {
        if is_serialized(&item.attrs) {
            let rule = SerdeAttributes::read(&item.attrs).rename_all;
            self.add_fields(&item.fields, rule.as_deref());
        }
    }

    fn visit_item_enum(&mut self, item: &'ast syn::ItemEnum) {
        if !is_serialized(&item.attrs) {
            return;
        }
        let rule = SerdeAttributes::read(&item.attrs).rename_all;
        for variant in &item.variants {
            let own_name = rename_variant(&variant.ident.to_string(), rule.as_deref());
            let attributes = SerdeAttributes::read(&variant.attrs);
            self.names.insert(attributes.rename.unwrap_or(own_name));
            self.add_fields(&variant.fields, None);
        }
    }
}

/// The serde attributes of an item that affect names.
#[derive(Default)]
struct SerdeAttributes {
    rename: Option<String>,
    rename_all: Option<String>,
    skipped: bool,
}

impl SerdeAttributes {
    fn read(attributes: &[syn::Attribute]) -> SerdeAttributes {
        let mut read = SerdeAttributes::default();
        for attribute in attributes.iter().filter(|a| a.path().is_ident("serde")) {
            attribute
                .parse_nested_meta(|meta| {
                    let value: Option<syn::LitStr> = match meta.value() {
                        Ok(value) => Some(value.parse()?),
                        Err(_) => None,
                    };
                    let value = value.map(|text| text.value());
                    if meta.path.is_ident("rename") {
                        read.rename = value;
                    } else if meta.path.is_ident("rename_all") {
                        read.rename_all = value;
                    } else if meta.path.is_ident("skip") {
                        read.skipped = true;
                    }
                    Ok(())
                })
                .expect("serde attributes are words or `word = \"text\"` pairs");
        }
        read
    }
}

fn is_serialized(attributes: &[syn::Attribute]) -> bool {
    let mut found = false;
    for attribute in attributes.iter().filter(|a| a.path().is_ident("derive")) {
        attribute
            .parse_nested_meta(|meta| {
                let name = meta.path.segments.last().map(|part| part.ident.to_string());
                found |= matches!(name.as_deref(), Some("Serialize" | "Deserialize"));
                Ok(())
            })
            .expect("a derive attribute is a list of paths");
    }
    found
}

/// The outer name of a field under serde's `rename_all`.
fn rename_field(name: &str, rule: Option<&str>) -> String {
    match rule {
        None | Some("snake_case" | "lowercase") => name.to_owned(),
        Some("camelCase") => {
            let mut renamed = String::new();
            for (index, word) in name.split('_').enumerate() {
                let (first, rest) = word.split_at(word.len().min(1));
                if index == 0 {
                    renamed.push_str(first);
                } else {
                    renamed.push_str(&first.to_uppercase());
                }
                renamed.push_str(rest);
            }
            renamed
        }
        Some(other) => panic!("rename_all = {other:?} is not known to this test"),
    }
}

/// The outer name of a variant under serde's `rename_all`.
fn rename_variant(name: &str, rule: Option<&str>) -> String {
    match rule {
        None => name.to_owned(),
        Some("lowercase") => name.to_lowercase(),
        Some("snake_case") => {
            let mut renamed = String::new();
            for letter in name.chars() {
                if letter.is_uppercase() && !renamed.is_empty() {
                    renamed.push('_');
                }
                renamed.extend(letter.to_lowercase());
            }
            renamed
        }
        Some(other) => panic!("rename_all = {other:?} is not known to this test"),
    }
}

/// Collects string and byte string literals, each in full (with line feeds as `\n`) and in parts. Skips
/// documentation and test modules.
fn collect_texts(tokens: TokenStream, names: &mut BTreeSet<String>) {
    let tokens: Vec<TokenTree> = tokens.into_iter().collect();
    for (index, token) in tokens.iter().enumerate() {
        match token {
            TokenTree::Literal(literal) => {
                let text = match syn::Lit::new(literal.clone()) {
                    syn::Lit::Str(text) => text.value(),
                    syn::Lit::ByteStr(bytes) => String::from_utf8_lossy(&bytes.value()).into(),
                    _ => continue,
                };
                let is_part = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.');
                let parts = text.split(|c| !is_part(c)).map(str::to_owned);
                names.extend(parts.filter(|part| !part.is_empty()));
                names.insert(text.replace('\n', "\\n"));
            }
            TokenTree::Group(group) => {
                let content = group.stream();
                if !is_documentation(&content) && !follows_mod_tests(&tokens[..index]) {
                    collect_texts(content, names);
                }
            }
            TokenTree::Ident(_) | TokenTree::Punct(_) => {}
        }
    }
}

fn is_documentation(tokens: &TokenStream) -> bool {
    let mut tokens = tokens.clone().into_iter();
    let named_doc = matches!(tokens.next(), Some(TokenTree::Ident(name)) if name == "doc");
    named_doc && matches!(tokens.next(), Some(TokenTree::Punct(sign)) if sign.as_char() == '=')
}

fn follows_mod_tests(before: &[TokenTree]) -> bool {
    let [.., TokenTree::Ident(keyword), TokenTree::Ident(name)] = before else {
        return false;
    };
    keyword == "mod" && name == "tests"
}

/// Collects the identifiers in the arguments of log macros, among which are the log fields.
fn collect_log_fields(tokens: TokenStream, names: &mut BTreeSet<String>) {
    let tokens: Vec<TokenTree> = tokens.into_iter().collect();
    for (index, token) in tokens.iter().enumerate() {
        let TokenTree::Group(group) = token else {
            continue;
        };
        let macro_name = match &tokens[..index] {
            [.., TokenTree::Ident(name), TokenTree::Punct(sign)] if sign.as_char() == '!' => {
                name.to_string()
            }
            _ => String::new(),
        };
        let is_log_macro = matches!(&*macro_name, "error" | "warn" | "info" | "debug" | "trace");
        if is_log_macro && group.delimiter() == Delimiter::Parenthesis {
            collect_identifiers(group.stream(), names);
        } else {
            collect_log_fields(group.stream(), names);
        }
    }
}

fn collect_identifiers(tokens: TokenStream, names: &mut BTreeSet<String>) {
    for token in tokens {
        match token {
            TokenTree::Ident(name) => {
                names.insert(name.to_string());
            }
            TokenTree::Group(group) => collect_identifiers(group.stream(), names),
            TokenTree::Punct(_) | TokenTree::Literal(_) => {}
        }
    }
}

#[test]
fn every_listed_external_name_occurs_in_its_sources() {
    let sections = read_list();
    assert!(!sections.is_empty(), "the list has no section");
    let mut missing = String::new();
    for section in &sections {
        let found = names_in_sources(section.kind, &section.path);
        assert!(
            !section.names.is_empty(),
            "the section of {} lists no name",
            section.path
        );
        for name in section.names.iter().filter(|name| !found.contains(*name)) {
            let kind = section.kind;
            writeln!(missing, "{}: {name:?} ({kind:?}) is missing", section.path)
                .expect("writing to a string does not fail");
        }
    }
    assert!(
        missing.is_empty(),
        "external names that no longer occur in the sources:\n{missing}"
    );
}

#[test]
fn every_serialized_name_in_the_sources_is_listed() {
    let sections = read_list();
    let serialized = sections
        .iter()
        .filter(|section| section.kind == Kind::Serialized);
    for section in serialized {
        for name in names_in_sources(Kind::Serialized, &section.path) {
            let listed = section.names.contains(&name);
            assert!(
                listed,
                "{}: {name:?} is not in docs/external-names.txt",
                section.path
            );
        }
    }
}
