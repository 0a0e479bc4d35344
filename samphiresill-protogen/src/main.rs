//! Generates the Rust code of the operators' gRPC API into `samphiresill-proto/src/generated`.

use std::path::Path;

use anyhow::Context;

fn main() -> anyhow::Result<()> {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../samphiresill-proto");
    generate(&crate_dir, &crate_dir.join("src/generated"))
}

/// Generates the code for the schema in the crate at `crate_dir` into the directory `out_dir`.
fn generate(crate_dir: &Path, out_dir: &Path) -> anyhow::Result<()> {
    let schema_dir = crate_dir.join("proto");
    let descriptors = protox::compile([schema_dir.join("samphiresill.proto")], [schema_dir])?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds(descriptors)
        .with_context(|| format!("cannot write generated code to {}", out_dir.display()))
}

#[cfg(test)]
mod tests;
