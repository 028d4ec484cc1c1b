//! Settings files: defaults, units, and errors of one line that name the file, the key and what is expected.

use std::sync::Arc;

use crate::{
    NodeSettings, SettingsReader,
    membership::key_files::CertificateAuthority,
    process::{
        node_settings::SETTING_KEYS,
        setting_unit::{parse_duration, parse_rate, parse_size},
    },
};

/// Settings file with the required keys only.
fn valid_text() -> String {
    let hash = "0".repeat(64);

    format!(
        "[host]\nname = a\nregion = r\ndata_centre = d\n\
         [listen]\ncallers = 127.0.0.1:7101\noperators = 127.0.0.1:7201\npeers = 127.0.0.1:7301\n\
         [platform]\nurl = http://127.0.0.1:7001\n\
         [keys]\ncertificate = cert.pem\nprivate_key = key.pem\nauthority = ca.pem\n\
         operator_key_hash = {hash}\nreceipt_key = receipt.key\n"
    )
}

/// Loads `text` as the file `a.ini` in a new folder that contains the key files. Returns the message of an error.
fn load_text(name: &str, text: &str) -> Result<NodeSettings, String> {
    let folder = std::env::temp_dir().join(format!("ragwortknot-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("failed to create the folder");
    let key_files = CertificateAuthority::generate()
        .and_then(|it| it.issue("a"))
        .expect("failed to generate keys");
    std::fs::write(folder.join("cert.pem"), &*key_files.certificate)
        .expect("failed to write a file");
    std::fs::write(folder.join("key.pem"), &*key_files.private_key)
        .expect("failed to write a file");
    std::fs::write(folder.join("ca.pem"), &*key_files.authority).expect("failed to write a file");
    std::fs::write(folder.join("receipt.key"), "secret").expect("failed to write a file");
    let path = folder.join("a.ini");
    std::fs::write(&path, text).expect("failed to write a file");
    let settings = NodeSettings::load(&path.to_string_lossy()).map_err(|it| it.to_string());
    std::fs::remove_dir_all(&folder).expect("failed to remove the folder");
    settings
}

#[test]
fn load_valid_file_with_defaults() {
    let settings = load_text("valid", &valid_text()).expect("a valid file was rejected");
    assert_eq!(settings.shard_count, 32);
    assert_eq!(settings.body_limit_bytes, 512 << 10);
}

#[test]
fn load_each_mistake() {
    // Text of the valid file, its replacement, and what the error must contain.
    let cases = [
        ("[host]", "[hast]", "[hast]: unknown section; expected one of host, listen"),
        ("region = r", "regoin = r", "[host] regoin: unknown key; expected one of name, region"),
        ("region = r", "", "[host] region: missing; expected the name of a region"),
        ("127.0.0.1:7101", "here", "callers = here: expected an address such as"),
        ("127.0.0.1:7201", "127.0.0.1:7101", "[listen] callers has the same address"),
        ("http://", "ftp://", "[platform] url = ftp://127.0.0.1:7001: expected an address"),
        ("cert.pem", "none.pem", "certificate = none.pem: the file can't be read"),
        ("operator_key_hash = 0", "operator_key_hash = ", "expected 64 hexadecimal digits"),
        ("[keys]", "call_timeout = 2\n[keys]", "call_timeout = 2: expected a time such as 2 s"),
        ("[keys]", "call_timeout = 2 KiB\n[keys]", "call_timeout = 2 KiB: expected a time"),
        ("[host]", "[limits]\nbody_size = 9 MiB\n[host]", "at most 700 KiB"),
        ("[host]", "[cluster]\nshards = 0\n[host]", "shards = 0: expected a number from 1"),
        (
            "[host]",
            "[cluster]\nsuspect_after = 500 ms\n[host]",
            "suspect_after = 500 ms: expected at least three times heartbeat_interval",
        ),
    ];

    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        let text = valid_text().replacen(from, to, 1);
        let error = load_text(&format!("mistake-{index}"), &text).expect_err(expected);
        assert!(error.contains(expected), "{error:?} does not contain {expected:?}");
        assert!(
            error.contains("a.ini") && !error.contains('\n'),
            "not one line with the file name: {error:?}"
        );
    }
}

#[test]
fn load_missing_file() {
    let error =
        NodeSettings::load("no/such/file.ini").expect_err("a missing file was loaded").to_string();
    assert!(error.starts_with("no/such/file.ini: can't be read"), "{error}");
}

#[test]
fn parse_each_unit() {
    assert_eq!(parse_duration("250 ms").map(|it| it.as_millis()), Some(250));
    assert_eq!(parse_duration("2 min").map(|it| it.as_secs()), Some(120));
    assert_eq!(parse_size("16 KiB"), Some(16_384));
    assert_eq!(parse_rate("50 /s"), Some(50));

    for invalid in ["", "5", "ms", "-1 s", "1.5 s", "5 sec", "99999999999999999999 s"] {
        assert_eq!(parse_duration(invalid), None, "parsed {invalid:?} as a duration");
        assert_eq!(parse_size(invalid), None, "parsed {invalid:?} as a size");
        assert_eq!(parse_rate(invalid), None, "parsed {invalid:?} as a rate");
    }
}

#[test]
fn setting_keys_are_all_documented() {
    let page = include_str!("../../docs/SETTINGS.md");

    for key in SETTING_KEYS {
        let default = key.default.map_or_else(|| "required".to_owned(), |it| format!("`{it}`"));
        let row = format!("| `{}` | `{}` | {} | {default} |", key.section, key.name, key.expected);
        assert!(page.contains(&row), "missing row in docs/SETTINGS.md: {row}");
    }
}

#[test]
fn parse_example_file() {
    let example = include_str!("../../examples/ub-1.ini");
    SettingsReader::parse(&Arc::from("ub-1.ini"), example, SETTING_KEYS)
        .expect("the example file contains an unknown key");
}
