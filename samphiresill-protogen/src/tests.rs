//! Guards against committed code that was not regenerated after a change of the schema.

use std::fs;
use std::path::Path;

#[test]
fn generated_code_is_current() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../samphiresill-proto");
    let out_dir =
        std::env::temp_dir().join(format!("samphiresill-protogen-{}", std::process::id()));
    fs::create_dir_all(&out_dir).expect("create the output directory");
    super::generate(&crate_dir, &out_dir).expect("generate code from the schema");
    let file_name = "samphiresill.v1.rs";
    let generated = fs::read_to_string(out_dir.join(file_name)).expect("read the generated code");
    let committed = fs::read_to_string(crate_dir.join("src/generated").join(file_name))
        .expect("read the committed code");
    fs::remove_dir_all(&out_dir).expect("remove the output directory");
    assert!(
        generated == committed,
        "run `cargo run -p samphiresill-protogen` and commit the result"
    );
}
