//! Memory of the process; a file of its own, as tests of one file share a process.

mod support;

use std::time::Duration;

use support::{FakeVm, Harness, Script, Step, request, run};

const SERVICE: &str = "desk";
const HEADERS: &str = "x-id: id-1\r\nx-key: key-1\r\nx-time-limit-ms: 2000\r\n";

/// streams whose callers do not read, as many as a VM has slots
const UNREAD_STREAMS: usize = 64;

/// most memory that the daemon may keep for one of them
const MAX_UNREAD_STREAM_BYTES: u64 = 1024 * 1024;

/// bytes that the kernel may keep for a connection of a VM and one of a caller, by their limits
fn kernel_buffers() -> u64 {
    let limit = |name: &str| {
        let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}"));
        let text = text.expect("the limits of TCP buffers");
        let max = text.split_whitespace().next_back().expect("three numbers");
        max.parse::<u64>().expect("a number")
    };
    2 * (limit("tcp_rmem") + limit("tcp_wmem"))
}

/// resident memory of this process, bytes
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: u64 = kib.expect("a size").parse().expect("a number");
    kib * 1024
}

#[test]
fn endless_streams_do_not_fill_the_memory_while_their_callers_do_not_read() {
    run(async {
        let harness = Harness::start().await;
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\n\r\n";
        let script = Script(vec![
            Step::Write(head.to_owned()),
            Step::Endless("data: 0123456789\n\n".repeat(5000), Duration::ZERO),
        ]);
        let vm = FakeVm::start("vm-1", SERVICE, script).await;
        harness.register(&[&vm]).await;
        let before = resident_bytes();
        let mut callers = Vec::new();
        for _ in 0..UNREAD_STREAMS {
            let mut caller = harness.connect().await;
            let text = request("POST", "/non-resumable/", HEADERS, "body");
            caller.send(&text).await;
            callers.push(caller);
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let kept = resident_bytes().saturating_sub(before);
        let written = vm.written();
        assert!(written > UNREAD_STREAMS as u64 * 100_000, "{written}");
        let limit = UNREAD_STREAMS as u64 * MAX_UNREAD_STREAM_BYTES;
        assert!(kept < limit, "{kept} bytes kept of {written}");
        assert!(written < limit + UNREAD_STREAMS as u64 * kernel_buffers());
    });
}
