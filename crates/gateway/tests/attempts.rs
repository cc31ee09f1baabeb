//! What callers get, and what VMs see, when attempts fail one way or the other.

mod support;

use std::time::Duration;

use support::{Script, Step, Upstream, World, run};

/// two VMs of the service, the second one sound
async fn pair(world: &World, first: Script) -> (Upstream, Upstream) {
    let one = Upstream::start("vm-1", "desk", first).await;
    let other = Upstream::start("vm-2", "desk", Script::answer(200, "second")).await;
    world.register(&[&one, &other]).await;
    (one, other)
}

/// how often a script is met: requests until the first VM was chosen
async fn call_first(world: &World, one: &Upstream, path: &str) -> support::Answer {
    for turn in 0..50 {
        let before = one.seen().len();
        let answer = world.call("POST", path, &format!("id-{turn}")).await;
        if one.seen().len() > before {
            return answer;
        }
    }
    panic!("the first VM was never chosen: {path}, {:?}", one.seen());
}

#[test]
fn an_answer_is_passed_on_unchanged() {
    run(async {
        let world = World::start().await;
        let vm = Upstream::start("vm-1", "desk", Script::answer(201, "the answer")).await;
        world.register(&[&vm]).await;
        let answer = world.call("POST", "/once/a?b=c", "id-1").await;
        assert_eq!((answer.status, answer.body.as_str()), (201, "the answer"));
        assert!(answer.whole);
        assert_eq!(answer.header("x-seal"), Some("seal"));
        let seen = &vm.seen()[0];
        assert!(seen.starts_with("post /once/a?b=c http/1.1"), "{seen}");
        assert!(seen.contains("x-instance: vm-1") && seen.contains("x-workspace: workspace-1"));
        assert!(!seen.contains("key-1"), "the key went to the VM: {seen}");
    });
}

/// what the first VM does, the status that a request gets that may run once, and one
/// that may run again
fn table() -> Vec<(&'static str, Script, u16, u16)> {
    let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 100\r\n\r\nshort";
    let foreign = "HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 7\r\n\r\nforeign";
    let write = |text: &str| Script(vec![Step::Write(text.to_owned())]);
    vec![
        ("refuses before it runs", Script::not_run(), 200, 200),
        ("resets", Script(vec![Step::Reset]), 502, 200),
        ("closes", Script(vec![Step::Close]), 502, 200),
        (
            "sends no HTTP",
            write("garbage\r\n\r\n").then(Step::Close),
            502,
            200,
        ),
        ("cuts its answer", write(cut).then(Step::Close), 502, 200),
        ("answers another request", write(foreign), 502, 200),
        ("fails by itself", Script::answer(500, "failure"), 500, 200),
        ("is another VM", Script::answer(421, ""), 200, 200),
    ]
}

#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_run_twice() {
    for (name, script, once, safe) in table() {
        for (path, status) in [("/once/", once), ("/safe/", safe)] {
            run(async {
                let world = World::start().await;
                let (one, other) = pair(&world, script.clone()).await;
                let answer = call_first(&world, &one, path).await;
                assert_eq!(answer.status, status, "{name}, {path}");
                assert!(answer.whole, "{name}, {path}");
                let id = one.seen()[0].clone();
                let id = id
                    .lines()
                    .find(|line| line.starts_with("x-id"))
                    .expect("an id");
                let again = other.seen().iter().any(|head| head.contains(id));
                assert_eq!(
                    again,
                    status == 200,
                    "{name}, {path}: sent to the second VM"
                );
            });
        }
    }
}

#[test]
fn a_refused_request_says_that_it_did_not_run_and_when_to_come_back() {
    run(async {
        let world = World::start().await;
        let vm = Upstream::start("vm-1", "desk", Script::not_run()).await;
        world.register(&[&vm]).await;
        let answer = world.call("POST", "/once/", "id-1").await;
        assert_eq!(answer.status, 503);
        let wait: f64 = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a time");
        assert!(wait > 0.0 && wait < 10.0, "{wait}");
    });
}

#[test]
fn a_request_that_nobody_can_take_is_refused_at_once() {
    run(async {
        let world = World::start().await;
        let start = std::time::Instant::now();
        let answer = world.call("POST", "/once/", "id-1").await;
        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < Duration::from_millis(300));
    });
}

#[test]
fn a_vm_that_is_gone_costs_a_request_nothing_but_time() {
    run(async {
        let world = World::start().await;
        let gone = Upstream::start("vm-1", "desk", Script::answer(200, "gone")).await;
        let sound = Upstream::start("vm-2", "desk", Script::answer(200, "sound")).await;
        let mut entry = gone.clone();
        // a port on which nobody listens
        entry.vm.address.set_port(1);
        world.register(&[&entry, &sound]).await;
        for turn in 0..20 {
            let answer = world.call("POST", "/once/", &format!("id-{turn}")).await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "sound"));
        }
    });
}

#[test]
fn a_silent_vm_ends_a_request_at_its_time_and_not_before() {
    run(async {
        let world = World::start().await;
        let silent = Script(vec![Step::Wait(Duration::from_secs(20))]);
        let vm = Upstream::start("vm-1", "desk", silent).await;
        world.register(&[&vm]).await;
        let start = std::time::Instant::now();
        let answer = world.call("POST", "/once/", "id-1").await;
        assert_eq!(answer.status, 504);
        let took = start.elapsed();
        let time = Duration::from_millis(3000);
        assert!(
            took >= time && took < time + Duration::from_millis(400),
            "{took:?}"
        );
        world.until(|_| vm.left() == 1).await;
    });
}

#[test]
fn a_caller_that_leaves_ends_its_attempt() {
    run(async {
        let world = World::start().await;
        let slow = Script(vec![Step::Wait(Duration::from_secs(20))]);
        let vm = Upstream::start("vm-1", "desk", slow).await;
        world.register(&[&vm]).await;
        let mut caller = world.connect().await;
        let headers = "x-id: id-1\r\nx-key: key-1\r\n";
        caller
            .send(&support::request("POST", "/safe/", headers, "body"))
            .await;
        world.until(|_| vm.seen().len() == 1).await;
        drop(caller);
        let start = std::time::Instant::now();
        world.until(|_| vm.left() == 1).await;
        assert!(
            start.elapsed() < Duration::from_millis(400),
            "{:?}",
            start.elapsed()
        );
    });
}

#[test]
fn a_late_second_answer_reaches_nobody() {
    run(async {
        let world = World::start().await;
        let extra = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\n\r\nextra";
        let script = Script::answer(200, "first").then(Step::Write(extra.to_owned()));
        let vm = Upstream::start("vm-1", "desk", script).await;
        world.register(&[&vm]).await;
        for turn in 0..20 {
            let answer = world.call("POST", "/safe/", &format!("id-{turn}")).await;
            assert!(answer.status != 200 || answer.body == "first", "{answer:?}");
        }
    });
}
