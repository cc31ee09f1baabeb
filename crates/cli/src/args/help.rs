//! Examples and exit codes in the help text.

use bpaf::Doc;

const EXAMPLES: [&str; 9] = [
    "agateloom check examples/koe-no-kura.yaml",
    "agateloom apply declarations/ --objects http://10.1.0.2:7000",
    "agateloom apply koe-no-kura.yaml --expect 41",
    "agateloom get --output json",
    "agateloom preset use peak",
    "agateloom status --control 10.1.0.11:8081 --operator-key-file operator.key",
    "agateloom drain homily-models-3 --settings client.yaml",
    "agateloom trace 5f0c9d2a --settings client.yaml",
    "agateloom completion bash >> ~/.bash_completion",
];

const EXIT_CODES: [&str; 7] = [
    "0  done",
    "1  failed in another way",
    "2  the command line or the settings file is invalid",
    "3  the declaration has faults; nothing was changed",
    "4  another change came first; nothing was changed",
    "5  the platform or the daemon can't be reached; nothing was changed",
    "6  no response arrived; the change may have been made",
];

/// footer of the help text, with examples and exit codes
pub(super) fn footer() -> Doc {
    let mut doc = Doc::default();
    write_block(&mut doc, "Examples:", &EXAMPLES);
    // a separate paragraph would be omitted from the short help
    doc.text("\n \n ");
    write_block(&mut doc, "Exit codes:", &EXIT_CODES);
    doc
}

fn write_block(doc: &mut Doc, title: &str, lines: &[&str]) {
    doc.emphasis(title);
    for line in lines {
        // up to three leading spaces start a new line, four would start a block without indentation
        doc.text(&format!("\n   {line}"));
    }
}
