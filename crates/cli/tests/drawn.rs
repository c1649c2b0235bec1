//! Runs the program on randomly drawn settings: names, numbers of classes, effects, windows shorter
//! than connecting takes, deadlines of 100 ms to 20 s, no probes, reports or cancels, fleets of 1
//! to 300 gateways. Guards against settings with which a request gets no answer or the gateway
//! doesn't end cleanly.

mod common;

use common::scripted::Answer;
use common::{addresses, config, start_emulators, GatewayProcess};
use serde_json::{json, Value};

const SEEDS: u64 = 12;
const REQUESTS: u64 = 16;

fn pick<T: Copy>(rng: &mut fastrand::Rng, from: &[T]) -> T {
    from[rng.usize(..from.len())]
}

/// Draws settings. Returns the configuration and, for each class, its name, deadline in
/// milliseconds and whether it is keyed.
fn draw_settings(rng: &mut fastrand::Rng, base: Value) -> (Value, Vec<(String, u64, bool)>) {
    let mut configuration = base;
    let count = rng.usize(1..=6);
    let (mut grades, mut classes) = (Vec::new(), Vec::new());
    for number in 0..count {
        let name = format!("g{number}-{:04x}", rng.u16(..));
        let (effect, wait) = (
            pick(rng, &["pure", "token", "side_effect"]),
            pick(rng, &[100, 700, 5_000, 20_000]),
        );
        grades.push(json!({
            "name": name, "aim-us": wait * pick(rng, &[100, 500, 1_000]), "aim-stretch": 2.0, "value": rng.f64() * 10.0,
            "deadline-us": wait * 1000, "repeat": effect, "group": pick(rng, &["all", "zone", "cell"]),
            "window-us": pick(rng, &[50_000, 1_000_000, 15_000_000]), "sequential": effect == "token" && rng.bool(),
        }));
        classes.push((name, wait, effect == "token"));
    }
    let flags = |rng: &mut fastrand::Rng| (0..count).map(|_| rng.bool()).collect::<Vec<_>>();
    let threads: Vec<f64> = (0..count).map(|_| pick(rng, &[1.0, 2.0, 4.0])).collect();
    let settings = &mut configuration["settings"];
    settings["grades"] = json!(grades);
    settings["peers-total"] = json!(pick(rng, &[1, 3, 30, 300]));
    settings["extra"]["threads-by-class"] = json!(threads);
    settings["extra"]["is-load"] = json!(flags(rng));
    settings["extra"]["class-waits"] = json!(flags(rng));
    settings["extra"]["note-period-us"] = json!(pick(rng, &[0, 500_000, 2_000_000]));
    settings["limits"]["may-cancel"] = json!(rng.bool());
    settings["limits"]["may-duplicate"] = json!(rng.bool());
    settings["limits"]["probes"] = json!(rng.bool());
    settings["limits"]["retry-after"] = json!(rng.bool());
    settings["limits"]["max-attempts"] = json!(rng.u64(1..6));
    settings["limits"]["dial-timeout-us"] = json!(pick(rng, &[250_000, 2_000_000]));
    settings["rules"]["fall-us"] = json!(pick(rng, &[1_000_000, 3_000_000]));
    if rng.bool() {
        settings["rules"]["further-ratio"] = json!(0.1);
        settings["rules"]["ratio-span-us"] = json!(4_000_000);
        settings["rules"]["spare-attempts"] = json!(rng.u64(0..4));
    }
    settings["orgs"] = json!([{"name": "some", "quota-rps": pick(rng, &[0.5, 100.0])}]);
    (configuration, classes)
}

#[test]
fn any_settings_are_served_with_one_answer_each() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (bulletin, engines) = start_emulators(2);
        let (configuration, classes) =
            draw_settings(&mut rng, config(bulletin.address(), &addresses(&engines)));
        let gateway = GatewayProcess::start(&configuration);
        for engine in engines.into_iter() {
            engine.answer_all(1, "a\tb\tc\n".into());
        }
        let mut client = gateway.client();
        let mut served = vec![0; classes.len()];
        for number in 1..=REQUESTS {
            let class = number as usize % classes.len();
            let (name, wait, is_keyed) = &classes[class];
            let (id, wait) = (format!("{:016x}", seed << 32 | number), wait.to_string());
            let key = format!("{:032x}", u128::from(number));
            let work = if wait == "100" { "20.0" } else { "200.0" };
            let mut fields = vec![
                ("i", id.as_str()),
                ("d", &wait),
                ("t", "some"),
                ("h", work),
                ("ram", "20"),
            ];
            fields.extend(is_keyed.then_some(("k", key.as_str())));
            client
                .call(number, name, &fields, b"SELECT * FROM sales_3.orders")
                .unwrap();
            match client.answer().unwrap_or_else(|e| {
                panic!("seed {seed}, request {number} of {name}: {e}\n{configuration}")
            }) {
                Answer::Result { id, .. } if id == number => served[class] += 1,
                // A deadline of 100 ms may pass before the answer arrives.
                Answer::Error { id, .. } if id == number && wait == "100" => served[class] += 1,
                other => {
                    panic!("seed {seed}, request {number} of {name}: {other:?}\n{configuration}")
                }
            }
        }
        let request_count = REQUESTS.min(classes.len() as u64) as usize;
        assert!(
            served[..request_count.min(served.len())]
                .iter()
                .all(|count| *count > 0),
            "seed {seed}: {served:?}"
        );
        drop(client);
        let mut gateway = gateway;
        gateway.terminate();
        let (status, counters) = gateway.wait_for_exit();
        assert!(status.success(), "seed {seed}: {status}");
        assert_eq!(
            (counters["taken"], counters["open"], counters["lost"]),
            (REQUESTS, 0, 0),
            "seed {seed}"
        );
    }
}
