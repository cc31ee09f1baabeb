//! Commands against the object API, with the stand-in in its place.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use crate::support::{Run, agateloom, example, write};
use standin::objects::{Options, Server};

fn apply(server: &Server, file: &str, more: &[&str]) -> Run {
    let file = example(file);
    let url = server.url();
    let mut arguments = vec!["--objects", &url, "apply", &file];
    arguments.extend_from_slice(more);
    agateloom(&arguments)
}

fn server() -> Server {
    Server::start(&Options::default()).expect("the stand-in")
}

#[test]
fn what_is_applied_can_be_read_and_applied_again() {
    let server = server();
    let url = server.url();
    assert_eq!(agateloom(&["get", "--objects", &url]).code, 1);
    let run = apply(&server, "koe-no-kura.yaml", &["--expect", "0"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("revision 1 "), "{}", run.out);

    let yaml = agateloom(&["get", "--objects", &url]);
    assert_eq!(yaml.code, 0, "{yaml:?}");
    assert!(yaml.out.starts_with("# revision 1 by mara"), "{}", yaml.out);
    let folder = tempfile::tempdir().expect("a folder");
    let file = write(folder.path(), "a.yaml", &yaml.out);
    let again = agateloom(&["apply", &file, "--objects", &url, "--output", "json"]);
    let applied: serde_json::Value = serde_json::from_str(&again.out).expect("JSON");
    assert_eq!(applied["revision"], 2);
    assert_eq!(
        agateloom(&["get", "--objects", &url]).out,
        yaml.out.replacen("1 by", "2 by", 1)
    );
}

#[test]
fn a_preset_is_chosen_by_name() {
    let server = server();
    let url = server.url();
    apply(&server, "thistlewood.yaml", &[]);
    let run = agateloom(&["preset", "use", "peak", "--objects", &url]);
    assert_eq!(run.code, 0, "{run:?}");
    let list = agateloom(&["preset", "list", "--objects", &url]);
    let marked = list.out.lines().filter(|line| line.starts_with('*'));
    assert!(marked.clone().count() > 0 && marked.clone().all(|line| line.contains("peak")));

    let run = agateloom(&["preset", "use", "quiet", "--objects", &url]);
    assert_eq!(run.code, 1);
    assert!(
        run.err.contains("ordinary, peak, maintenance"),
        "{}",
        run.err
    );
}

#[test]
fn a_change_against_an_older_revision_is_a_conflict() {
    let server = server();
    apply(&server, "koe-no-kura.yaml", &["--author", "sayo"]);
    apply(&server, "koe-no-kura.yaml", &["--author", "sayo"]);
    let run = apply(&server, "koe-no-kura.yaml", &["--expect", "1"]);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.err.contains("revision 2 by sayo"), "{}", run.err);
}

#[test]
fn a_lost_answer_is_settled() {
    let server = server();
    apply(&server, "koe-no-kura.yaml", &[]);
    let url = format!("{}/control/faults", server.url());
    let answer = attohttpc::post(url).text(r#"{"lose_answers":1}"#).send();
    assert!(answer.expect("the stand-in answers").is_success());
    let run = apply(&server, "koe-no-kura.yaml", &[]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("revision 2 "), "{}", run.out);
}

#[test]
fn an_unreachable_platform_ends_with_5() {
    let server = server();
    let url = server.url();
    drop(server);
    let file = example("koe-no-kura.yaml");
    let run = agateloom(&["apply", &file, "--objects", &url, "--timeout", "2"]);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("nothing was changed"), "{}", run.err);
}

/// answers reads with 404 and closes every change without an answer
fn lose_changes(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let mut head = [0; 4_096];
        let length = stream.read(&mut head).unwrap_or_default();
        if head[..length].starts_with(b"GET") {
            let body = r#"{"kind":"Status","status":"Failure","code":404}"#;
            let length = body.len();
            let answer =
                format!("HTTP/1.1 404 Not Found\r\nContent-Length: {length}\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

#[test]
fn a_change_that_is_never_answered_ends_with_6() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    thread::spawn(move || lose_changes(&listener));
    let run = agateloom(&["apply", &example("koe-no-kura.yaml"), "--objects", &url]);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.err.contains("may have been made"), "{}", run.err);
}

#[test]
fn a_wrong_token_is_told() {
    let options = Options::default().token("secret");
    let server = Server::start(&options).expect("the stand-in");
    let run = apply(&server, "koe-no-kura.yaml", &[]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("token"), "{}", run.err);
    let folder = tempfile::tempdir().expect("a folder");
    let file = write(folder.path(), "token", "secret\n");
    assert_eq!(
        apply(&server, "koe-no-kura.yaml", &["--token-file", &file]).code,
        0
    );
}
