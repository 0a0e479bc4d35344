//! The committed code must be what the schema generates.

use std::fs;
use std::path::Path;

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../samphiresill-proto");
    let out = std::env::temp_dir().join(format!("samphiresill-protogen-{}", std::process::id()));
    fs::create_dir_all(&out).expect("a folder for the generated code");
    super::generate(&root, &out).expect("the schema compiles");
    let name = "samphiresill.v1.rs";
    let fresh = fs::read_to_string(out.join(name)).expect("generated code");
    let committed = fs::read_to_string(root.join("src/generated").join(name)).expect("committed");
    fs::remove_dir_all(&out).expect("the folder can be removed");
    assert!(
        fresh == committed,
        "run `cargo run -p samphiresill-protogen` and commit the result"
    );
}
