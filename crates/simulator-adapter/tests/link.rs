//! Runs the adapter on hand-written batches and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings of a node in a fleet of two, with one class and one plan.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"unknown":[1],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":3},"classes":[{"name":"read","aimUs":800000,"deadlineUs":3000000,"lateValue":0.0,"worth":3.0,"repeat":"read_like"}],"packages":[{"name":"p","rate":1.0,"storeSize":4.0,"price":1.0}],"rules":{"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter exits at the first invalid line, so the pipe may close before all input is written.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

fn first_batch() -> String {
    format!(
        "frame\tnowUs=1000000\nregister\tlist=0\titems=1\nitem\tserver=51\tcampus=a\tfamilyType=k\tbay=0\t\
         readiness=Ready\tcapacityHint=1\nhello\ti=3\trandomSeed=-7\tsetup={SETTINGS}\n\
         update\ti=3\tkind=Persisted\tgen=1\tlist=0\neof_batch\n"
    )
}

/// A request to the instance that [`first_batch`] starts.
const REQUEST: &str =
    "knock\ti=3\tcall=rq_a\tpackage=p\tclientId=9\tquotaUnits=1\tbase=0\tsetSize=2\tttlUs=900000\tgrade=read\n";

#[test]
fn a_failed_attempt_is_retried() {
    let input = format!(
        "{}frame\tnowUs=1002000\n{REQUEST}eof_batch\nframe\tnowUs=1050000\nfinished\ti=3\tcall=rq_a\tshot=0\t\
         server=51\tending=301\tdelaySeenUs=48000\ttelemetry=strange:1\nelapsed\ti=3\tnonce=0\neof_batch\n\
         frame\tnowUs=1060000\nteardown\ti=3\neof_batch\n",
        first_batch()
    );
    let output = run(&input);
    let text = String::from_utf8(output.stdout).expect("the replies are UTF-8");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(text.matches("finished\n").count(), 4);
    assert_eq!(
        text.matches("send\ti=3\tcall=rq_a\tserver=51\n").count(),
        2,
        "the request is sent again after an error\n{text}"
    );
    assert!(
        text.contains("tell\ti=3\taddressee=*\tblob=02"),
        "no message to all peers in the replies:\n{text}"
    );
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_success() {
    let output = run("frame\tnowUs=5\neof_batch\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"finished\n");
    assert!(run("").status.success());
}

#[test]
fn errors_name_the_line_and_field_of_invalid_input() {
    let after = |line: &str| format!("{}frame\tnowUs=1002000\n{line}\neof_batch\n", first_batch());
    let cases = [
        (after("knok\ti=3"), "line 8", "knok"),
        (
            after(&REQUEST.trim_end().replace("\tttlUs=900000", "")),
            "line 8",
            "ttlUs",
        ),
        (
            after(&REQUEST.trim_end().replace("ttlUs=900000", "ttlUs=-4")),
            "line 8",
            "ttlUs",
        ),
        (
            after(&REQUEST.trim_end().replace("package=p", "package=q")),
            "line 8",
            "package",
        ),
        (
            after(&REQUEST.trim_end().replace("i=3", "i=4")),
            "line 8",
            "field i",
        ),
        (
            after("update\ti=3\tkind=Complete\tgen=2\tlist=9"),
            "line 8",
            "list",
        ),
        (
            after("whisper\ti=3\toriginPeer=1\tblob=0g"),
            "line 8",
            "blob",
        ),
        (
            after("finished\ti=3\tcall=rq_a\tshot=0\tserver=51\tending=99\tdelaySeenUs=1"),
            "line 8",
            "ending",
        ),
        (
            after("hello\ti=5\trandomSeed=1\tsetup={\"balancers\":2}"),
            "line 8",
            "field setup",
        ),
        (
            first_batch().replace("\"rate\":1.0", "\"rate\":-1.0"),
            "line 4",
            "setup",
        ),
        (
            first_batch().replace("readiness=Ready", "readiness=Ripe"),
            "line 3",
            "readiness",
        ),
        (
            first_batch().replace("eof_batch\n", ""),
            "line 6",
            "eof_batch",
        ),
        (
            "frame\tnowUs=1000".to_owned(),
            "line 1",
            "line is truncated",
        ),
        ("frame\n".to_owned(), "line 1", "nowUs"),
        ("elapsed\ti=1\n".to_owned(), "line 1", "frame"),
    ];
    for (input, line, field) in cases {
        let output = run(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{input}\n{error}");
        assert!(
            error.contains(line) && error.contains(field),
            "{line:?} or {field:?} is missing in the error: {error}"
        );
        assert_eq!(error.lines().count(), 1, "the error is one line: {error}");
    }
}
