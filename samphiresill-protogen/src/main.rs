//! Generates the code of the operators' procedures into `samphiresill-proto/src/generated`.

use std::path::Path;

use anyhow::Context;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../samphiresill-proto");
    generate(&root, &root.join("src/generated"))
}

/// Generates the code of the schema below `root` into the folder `out`.
fn generate(root: &Path, out: &Path) -> anyhow::Result<()> {
    let schema = root.join("proto");
    let descriptors = protox::compile([schema.join("samphiresill.proto")], [schema])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(descriptors)
        .with_context(|| format!("cannot write to {}", out.display()))
}

#[cfg(test)]
mod tests;
