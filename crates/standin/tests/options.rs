//! The stand-ins' options as command lines.

use standin::{cloud, engine};

#[test]
fn options_can_be_written_as_a_command_line() {
    let options = engine::Options::builder()
        .model("homily".to_owned())
        .slots(3)
        .build();
    let arguments = options.arguments();
    assert!(arguments.contains(&"--model=homily".to_owned()));
    assert!(arguments.contains(&"--slots=3".to_owned()));
    assert!(arguments.contains(&"--fencing=checked".to_owned()));
}

#[test]
fn switches_have_no_value() {
    let options = cloud::Options::builder().spawn_engines(true).build();
    assert!(options.arguments().contains(&"--spawn-engines".to_owned()));
    assert!(
        !cloud::Options::default()
            .arguments()
            .contains(&"--spawn-engines".to_owned())
    );
}
