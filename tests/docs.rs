//! The pages for operators carry the tables that the code checks by.

use std::{fs, path::Path};

use bramleypier::{
    chart::charts::{target, vm},
    document::text,
    metrics, settings,
    timeline::Kind,
    util::{fields, names},
};

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

#[test]
fn operations_carries_the_tables() {
    let page = page("docs/OPERATIONS.md");
    let tables = [
        fields::markdown(settings::FIELDS),
        fields::markdown(text::FIELDS),
        metrics::markdown(),
        names::markdown::<Kind>("kind"),
        names::markdown::<vm::State>("state"),
        names::markdown::<target::State>("state"),
    ];
    for table in tables {
        assert!(
            page.contains(&table),
            "docs/OPERATIONS.md lacks or differs from:\n{table}"
        );
    }
}

#[test]
fn contributing_names_each_module() {
    let page = page("docs/CONTRIBUTING.md");
    for line in self::page("src/lib.rs").lines() {
        if let Some(module) = line.strip_prefix("pub mod ") {
            let name = module.trim_end_matches(';');
            assert!(
                page.contains(&format!("`{name}`")),
                "{name} is not in docs/CONTRIBUTING.md"
            );
        }
    }
}
