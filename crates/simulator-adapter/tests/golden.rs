//! The adapter's output for pseudo-random input stays the same byte for byte.

use std::fmt::Write as _;
use std::io::Write as _;
use std::process::{Command, Stdio};

use eideryard_emulators::golden;
use fastrand::Rng;

const SETTINGS: &str = "az=0 discovery=ask extra.bills=true extra.class-waits=false,true,false \
    extra.grants=true extra.is-load=false,false,true extra.kind-cores=8,12 extra.kind-memory-mb=8192.0,24576.0 \
    extra.largest-share=0.5 extra.note-period-us=500000 extra.threads-by-class=1,2,2 grades.count=3 \
    grades.0.aim-us=800000 grades.0.deadline-us=4000000 grades.0.group=all grades.0.repeat=pure \
    grades.0.value=1.0 grades.1.aim-us=1500000 grades.1.aim-stretch=1.5 grades.1.deadline-us=9000000 \
    grades.1.group=zone grades.1.repeat=token grades.1.window-us=5000000 grades.1.value=7.5 \
    grades.2.aim-us=2000000 grades.2.deadline-us=15000000 grades.2.group=cell grades.2.repeat=side_effect \
    grades.2.value=4.0 grades.2.sequential=true kinds=std,big limits.max-attempts=3 \
    limits.max-retry-after-us=500000 limits.may-cancel=true limits.retry-after=true limits.probes=true \
    orgs.count=2 orgs.0.quota-rps=20.0 orgs.1.quota-rps=5.0 report.fields=concurrent,load_share \
    rules.ask-every-us=1000000 rules.drain-grace-us=250000 rules.fall-multiple=2.0 rules.fall-us=1000000 \
    rules.further-ratio=0.2 rules.spare-attempts=5 rules.ratio-span-us=1000000 rules.order-pause-us=20000 \
    rules.start-capacity=0.3 rules.warm-within-us=15000000 over-share-worth=0.5 tariffs.cross-zone=0.02 \
    tariffs.probe=0.01 tick-us=5000 zones=here,there";

/// Time between two batches, in microseconds.
const BATCH: u64 = 20_000;

fn write_list(input: &mut String, rng: &mut Rng, who: u64, number: u64, now: u64) {
    let engines = 6;
    writeln!(input, "MANIFEST ref={number} members-list={engines}").unwrap();
    for engine in 0..engines {
        let phase = if rng.u8(0..8) == 0 { 0 } else { 1 };
        let booted = if rng.u8(0..4) == 0 {
            now.saturating_sub(rng.u64(0..9_000_000))
        } else {
            0
        };
        let (zone, kind, cell) = (engine % 2, engine / 3, engine / 2);
        writeln!(
            input,
            "ITEM engine={engine} campus={zone} flavor={kind} group={cell} phase={phase} boot-time-us={booted}"
        )
        .unwrap();
    }
    writeln!(
        input,
        "MEMBERS who={who} mode={} seq-no={number} ref={number}",
        rng.u8(0..3)
    )
    .unwrap();
}

fn write_call(input: &mut String, rng: &mut Rng, who: u64, id: u64, now: u64) {
    let (kind, org, schema) = (rng.u8(0..3), rng.u8(0..2), rng.u8(0..5));
    let (deadline, cost, memory) = (
        now + rng.u64(800_000..9_000_000),
        rng.u64(1_000..120_000),
        rng.u64(0..1500),
    );
    let key = rng.u8(0..6);
    writeln!(
        input,
        "CALL who={who} call={id} kind={kind} org={org} client-deadline-us={deadline} cost-us={cost} \
         ram-mb={memory} schema-no={schema} options=1 key=k{key}"
    )
    .unwrap();
}

/// Returns the ID of a randomly chosen request from the last six.
fn recent_request(rng: &mut Rng, ids: u64) -> u64 {
    rng.u64(ids.saturating_sub(6)..ids.max(1))
}

fn write_finished(input: &mut String, rng: &mut Rng, who: u64, ids: u64) {
    let outcomes = [
        "delivered",
        "delivered",
        "delivered",
        "app_error",
        "shed",
        "expired",
        "dial_failed",
        "dropped",
        "revoked",
        "unused",
    ];
    let rc = *rng.choice(&outcomes).unwrap();
    let (id, attempt, engine) = (recent_request(rng, ids), rng.u8(0..2), rng.u8(0..6));
    let complete = u8::from(rc == "delivered");
    let (spent, stats) = (
        rng.u64(1000..900_000),
        rng.u64(1..900) * 4096 + rng.u64(1..900),
    );
    writeln!(
        input,
        "FINISHED who={who} call={id} send-no={attempt} engine={engine} rc={rc} spent-us={spent} \
         complete={complete} stats={stats} report=concurrent:{},load_share:0.{}",
        rng.u8(0..30),
        rng.u8(0..10)
    )
    .unwrap();
}

/// Returns 300 batches for two gateways, one of which has many peers.
fn random_input() -> String {
    let (mut input, mut rng) = (String::new(), Rng::with_seed(45));
    let (mut ids, mut lists) = (0, 0);
    for turn in 0..300 {
        let now = 1_000_000 + turn * BATCH;
        writeln!(input, "FRAME wall-us={now} turn={turn}").unwrap();
        if turn == 0 {
            writeln!(
                input,
                "ENLIST who=1 init-seed=7 peers-total=3 self-index=1 {SETTINGS}"
            )
            .unwrap();
            writeln!(input, "ENLIST who=2 init-seed=8 peers-total=200 {SETTINGS}").unwrap();
        }
        for who in [1, 2] {
            if turn % 100 == 0 {
                write_list(&mut input, &mut rng, who, lists, now);
                lists += 1;
            }
            for _ in 0..rng.u8(0..2) {
                write_call(&mut input, &mut rng, who, ids, now);
                ids += 1;
            }
            match rng.u8(0..8) {
                0 => writeln!(
                    input,
                    "PROBE_DONE who={who} engine={} rc=delivered report=concurrent:{}",
                    rng.u8(0..6),
                    rng.u8(0..40)
                )
                .unwrap(),
                1 => writeln!(
                    input,
                    "HINT_UPDATE who={who} call={} send-no=0 what={} level=0.{}",
                    recent_request(&mut rng, ids),
                    rng.u8(1..4),
                    rng.u8(0..10)
                )
                .unwrap(),
                2 => writeln!(
                    input,
                    "TIMED_OUT_CLIENT who={who} call={}",
                    recent_request(&mut rng, ids)
                )
                .unwrap(),
                3 => writeln!(
                    input,
                    "ACK_FIRST who={who} call={}",
                    recent_request(&mut rng, ids)
                )
                .unwrap(),
                4 => writeln!(input, "ELAPSED who={who} tag=0").unwrap(),
                _ => write_finished(&mut input, &mut rng, who, ids),
            }
        }
        writeln!(input, "GO").unwrap();
    }
    input
}

#[test]
fn output_for_random_input_matches_the_golden_file() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_eideryard-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let writer = std::thread::spawn(move || stdin.write_all(random_input().as_bytes()));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("no panic").expect("the adapter reads");
    assert!(output.status.success());
    golden::check("adapter-output.txt", &output.stdout);
}
