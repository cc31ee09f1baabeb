//! Commands that use the object API, run against its stand-in.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use crate::support::{Run, example_path, run_tool, write_file};
use standin::objects::{Options, Server};

fn apply(server: &Server, file: &str, options: &[&str]) -> Run {
    let file = example_path(file);
    let url = server.url();
    let mut arguments = vec!["--objects", &url, "apply", &file];
    arguments.extend_from_slice(options);
    run_tool(&arguments)
}

fn start_server() -> Server {
    Server::start(&Options::default()).expect("start stand-in")
}

#[test]
fn an_applied_declaration_can_be_read_and_applied_again() {
    let server = start_server();
    let url = server.url();
    assert_eq!(run_tool(&["get", "--objects", &url]).code, 1);
    let run = apply(&server, "koe-no-kura.yaml", &["--expect", "0"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains("revision 1 "), "{}", run.stdout);

    let yaml = run_tool(&["get", "--objects", &url]);
    assert_eq!(yaml.code, 0, "{yaml:?}");
    assert!(
        yaml.stdout.starts_with("# revision 1 by mara"),
        "{}",
        yaml.stdout
    );
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_file(folder.path(), "a.yaml", &yaml.stdout);
    let again = run_tool(&["apply", &file, "--objects", &url, "--output", "json"]);
    let applied: serde_json::Value = serde_json::from_str(&again.stdout).expect("valid JSON");
    assert_eq!(applied["revision"], 2);
    assert_eq!(
        run_tool(&["get", "--objects", &url]).stdout,
        yaml.stdout.replacen("1 by", "2 by", 1)
    );
}

#[test]
fn preset_use_activates_a_declared_preset() {
    let server = start_server();
    let url = server.url();
    apply(&server, "thistlewood.yaml", &[]);
    let run = run_tool(&["preset", "use", "peak", "--objects", &url]);
    assert_eq!(run.code, 0, "{run:?}");
    let list = run_tool(&["preset", "list", "--objects", &url]);
    let marked = list.stdout.lines().filter(|line| line.starts_with('*'));
    assert!(marked.clone().count() > 0 && marked.clone().all(|line| line.contains("peak")));

    let run = run_tool(&["preset", "use", "quiet", "--objects", &url]);
    assert_eq!(run.code, 1);
    assert!(
        run.stderr.contains("ordinary, peak, maintenance"),
        "{}",
        run.stderr
    );
}

#[test]
fn a_change_to_an_older_revision_exits_with_4() {
    let server = start_server();
    apply(&server, "koe-no-kura.yaml", &["--author", "sayo"]);
    apply(&server, "koe-no-kura.yaml", &["--author", "sayo"]);
    let run = apply(&server, "koe-no-kura.yaml", &["--expect", "1"]);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.stderr.contains("revision 2 by sayo"), "{}", run.stderr);
}

#[test]
fn a_change_with_a_lost_response_is_confirmed() {
    let server = start_server();
    apply(&server, "koe-no-kura.yaml", &[]);
    let url = format!("{}/control/faults", server.url());
    let response = attohttpc::post(url).text(r#"{"lose_answers":1}"#).send();
    assert!(response.expect("response of the stand-in").is_success());
    let run = apply(&server, "koe-no-kura.yaml", &[]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains("revision 2 "), "{}", run.stdout);
}

#[test]
fn an_unreachable_platform_exits_with_5() {
    let server = start_server();
    let url = server.url();
    drop(server);
    let file = example_path("koe-no-kura.yaml");
    let run = run_tool(&["apply", &file, "--objects", &url, "--timeout", "2"]);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.stderr.contains("nothing was changed"), "{}", run.stderr);
}

/// responds to reads with 404 and closes the connection of every change without a response
fn drop_changes(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("accept connection");
        let mut head = [0; 4_096];
        let length = stream.read(&mut head).unwrap_or_default();
        if head[..length].starts_with(b"GET") {
            let body = r#"{"kind":"Status","status":"Failure","code":404}"#;
            let length = body.len();
            let response =
                format!("HTTP/1.1 404 Not Found\r\nContent-Length: {length}\r\n\r\n{body}");
            let _ = stream.write_all(response.as_bytes());
        }
    }
}

#[test]
fn a_change_without_a_response_exits_with_6() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let url = format!("http://{}", listener.local_addr().expect("local address"));
    thread::spawn(move || drop_changes(&listener));
    let run = run_tool(&[
        "apply",
        &example_path("koe-no-kura.yaml"),
        "--objects",
        &url,
    ]);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.stderr.contains("may have been made"), "{}", run.stderr);
}

#[test]
fn a_rejected_token_is_reported() {
    let options = Options::default().token("secret");
    let server = Server::start(&options).expect("start stand-in");
    let run = apply(&server, "koe-no-kura.yaml", &[]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.stderr.contains("token"), "{}", run.stderr);
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_file(folder.path(), "token", "secret\n");
    assert_eq!(
        apply(&server, "koe-no-kura.yaml", &["--token-file", &file]).code,
        0
    );
}
