//! The adapter's binary on lines of the protocol: replies, exit codes, and one-line errors for
//! malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_eideryard-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter ends")
}

fn run_to_reply(input: &str) -> String {
    let output = run(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("text")
}

fn error_line(input: &str) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

const SETTINGS: &str = "az=0 colour=blue discovery=push extra.grants=true extra.kind-cores=8 \
    extra.kind-memory-mb=8192.0 extra.largest-share=0.5 extra.note-period-us=500000 extra.ranks-heeded=true \
    extra.threads-by-class=1 grades.count=1 grades.0.aim-us=800000 grades.0.deadline-us=4000000 \
    grades.0.group=all grades.0.repeat=pure grades.0.value=1.0 kinds=std limits.max-attempts=3 \
    limits.max-retry-after-us=500000 limits.may-cancel=true limits.retry-after=true peers-total=1 \
    rules.drain-grace-us=250000 rules.fall-multiple=2.0 rules.fall-us=1000000 rules.start-capacity=0.3 \
    rules.warm-within-us=15000000 self-index=0 tick-us=5000 zones=here";

fn enlist_lines(who: u32) -> String {
    format!(
        "ENLIST who={who} init-seed=7 {SETTINGS}\nMANIFEST ref=0 members-list=1\n\
         ITEM engine=11 campus=0 flavor=0 group=0 phase=1 heft=1 shade=green\nMEMBERS who={who} mode=1 seq-no=1 ref=0\n"
    )
}

fn call_line(who: u32, id: u64) -> String {
    format!(
        "CALL who={who} call={id} kind=0 org=0 client-deadline-us=5000000 cost-us=100000 ram-mb=400 schema-no=3 \
         options=1 mood=calm\n"
    )
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_a_clean_exit() {
    assert_eq!(
        run_to_reply("FRAME wall-us=8412250 turn=1\nGO\n"),
        "READY turn=1\n"
    );
    assert_eq!(run_to_reply(""), "");
}

#[test]
fn grant_precedes_the_send_of_a_call_and_unknown_fields_are_ignored() {
    let text = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=4\n{}{}GO\n",
        enlist_lines(3),
        call_line(3, 99)
    ));
    let grant = text
        .find("GRANT_AND_RANK who=3 call=99 memory-grant=500 importance=")
        .expect("a grant");
    let send = text
        .find("TRANSMIT who=3 call=99 engine=11 cut-at-us=4590000")
        .expect("a send");
    assert!(grant < send && text.ends_with("READY turn=4\n"), "{text}");
}

#[test]
fn failed_attempt_is_retried_and_an_answer_ends_the_request() {
    let text = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{}{}GO\nFRAME wall-us=1005000 turn=2\n\
         FINISHED who=3 call=99 send-no=0 engine=11 rc=app_error spent-us=5000 complete=0 report=load_share:0.5,odd:1\n\
         GO\nFRAME wall-us=1010000 turn=3\n\
         FINISHED who=3 call=99 send-no=1 engine=11 rc=delivered spent-us=5000 complete=1 stats=409700\n\
         FINISHED who=3 call=98 send-no=0 engine=11 rc=delivered spent-us=5000 complete=1\nGO\n",
        enlist_lines(3),
        call_line(3, 99)
    ));
    assert_eq!(text.matches("TRANSMIT").count(), 2, "{text}");
    assert!(text.ends_with("READY turn=3\n"));
}

#[test]
fn list_number_and_instance_may_be_reused_within_a_batch() {
    let second =
        "MANIFEST ref=0 members-list=1\nITEM engine=12 phase=1\nMEMBERS who=3 mode=0 seq-no=2 ref=0\n";
    let text = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{}TEARDOWN who=3\n{}{second}{}GO\n",
        enlist_lines(3),
        enlist_lines(3),
        call_line(3, 5)
    ));
    assert!(text.contains("TRANSMIT who=3 call=5 engine=12"), "{text}");
}

#[test]
fn instance_is_not_affected_by_another_one() {
    let alone = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{}{}GO\n",
        enlist_lines(3),
        call_line(3, 5)
    ));
    let with_other = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{}{}{}{}GO\n",
        enlist_lines(4),
        enlist_lines(3),
        call_line(4, 6),
        call_line(3, 5)
    ));
    let lines_of_instance_3 = |text: &str| {
        text.lines()
            .filter(|line| line.contains("who=3"))
            .map(str::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        lines_of_instance_3(&alone),
        lines_of_instance_3(&with_other)
    );
}

#[test]
fn malformed_input_ends_the_adapter_with_one_line_that_names_it() {
    let batch = |lines: &str| {
        format!(
            "FRAME wall-us=1000000 turn=1\n{}{lines}\nGO\n",
            enlist_lines(3)
        )
    };
    assert!(error_line(&batch("CALL who=3 call=x kind=0 client-deadline-us=1")).contains("'call'"));
    assert!(error_line(&batch("CALL who=3 call=1 kind=0")).contains("'client-deadline-us'"));
    assert!(error_line(&batch(
        "CALL who=3 call=1 kind=9 client-deadline-us=5000000"
    ))
    .contains("class 9"));
    assert!(
        error_line(&batch("CALL who=8 call=1 kind=0 client-deadline-us=1"))
            .contains("no instance 8")
    );
    assert!(error_line(&batch("CALL who=3 call"))
        .contains("expected a field of the form name=value, found 'call'"));
    assert!(error_line(&batch("MEMBERS who=3 mode=0 seq-no=1 ref=9")).contains("no list 9"));
    assert!(
        error_line(&batch("FINISHED who=3 call=1 send-no=0 engine=1 rc=odd")).contains("'odd'")
    );
    assert!(
        error_line(&batch("ENLIST who=5 init-seed=1 peers-total=many")).contains("peers-total")
    );
    assert!(error_line("GO\n").contains("outside of a batch"));
    assert!(error_line("FRAME wall-us=1 turn=1\n").contains("inside batch 1"));
    assert!(error_line("FRAME turn=1\n").contains("'wall-us'"));
    assert!(
        error_line(&batch("MANIFEST ref=0 members-list=2\nITEM engine=1"))
            .contains("lacks entries")
    );
}

#[test]
fn unknown_verbs_are_ignored() {
    let text = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{}WEATHER who=3 rain=1\nGO\n",
        enlist_lines(3)
    ));
    assert!(text.ends_with("READY turn=1\n"));
}

#[test]
fn engine_is_probed_if_the_share_is_below_one_query_and_malformed_answers_are_reported() {
    let enlist_many_peers = enlist_lines(3).replace(
        "peers-total=1",
        "peers-total=200 limits.probes=true tariffs.probe=0.01",
    );
    let probes = run_to_reply(&format!(
        "FRAME wall-us=1000000 turn=1\n{enlist_many_peers}{}GO\n",
        call_line(3, 7)
    ));
    assert!(
        probes.contains("PING who=3 engine=11\n") && !probes.contains("TRANSMIT"),
        "{probes}"
    );
    let input_with_answer = |line: &str| {
        format!(
            "FRAME wall-us=1000000 turn=1\n{enlist_many_peers}{}GO\nFRAME wall-us=1005000 turn=2\n{line}\nGO\n",
            call_line(3, 7)
        )
    };
    let sent = run_to_reply(&input_with_answer(
        "PROBE_DONE who=3 engine=11 rc=delivered spent-us=700 report=concurrent:2,mood:1",
    ));
    assert!(sent.contains("TRANSMIT who=3 call=7 engine=11"), "{sent}");
    // An answer from an engine that is no longer listed is ignored.
    let unknown = run_to_reply(&input_with_answer(
        "PROBE_DONE who=3 engine=99 rc=delivered spent-us=700",
    ));
    assert!(!unknown.contains("TRANSMIT"), "{unknown}");
    assert!(error_line(&input_with_answer(
        "PROBE_DONE who=3 engine=11 rc=marvellous"
    ))
    .contains("marvellous"));
    assert!(error_line(&input_with_answer("PROBE_DONE who=3 rc=delivered")).contains("engine"));
    assert!(error_line(&input_with_answer(
        "PROBE_DONE who=3 engine=11 rc=delivered report=concurrent"
    ))
    .contains("concurrent"));
    assert!(error_line(&input_with_answer(
        "PROBE_DONE who=3 engine=11 rc=delivered report=concurrent:x"
    ))
    .contains("'x'"));
}
