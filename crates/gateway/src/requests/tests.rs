//! Guards against requests with invalid fields or duplicate IDs that reach engines, and against
//! unbounded memory for IDs and statements.

use super::*;
use crate::deadlines::Deadline;

const ID: &str = "9b1f03aa5c7e2d41";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const FIELDS: [(&str, &str); 6] = [
    ("i", ID),
    ("d", "1500"),
    ("t", "acme"),
    ("h", "820.0"),
    ("ram", "96"),
    ("k", KEY),
];

fn names() -> Names {
    let strings = |list: &[&str]| list.iter().map(|word| word.to_string()).collect();
    Names {
        classes: strings(&["report", "load"]),
        requires_key: vec![false, true],
        tenants: strings(&["acme"]),
        zones: vec![],
        kinds: vec![],
        threads: vec![],
        max_wait: 4e6,
        max_work: 9e9,
        max_memory_mb: 16384.0,
    }
}

#[test]
fn fields_are_converted_to_their_units_and_invalid_ones_are_named() {
    let statement = b"COPY sales_17.orders";
    let call = Call::read(&names(), "load", &FIELDS, statement).unwrap();
    assert_eq!((call.class, call.tenant, call.wait), (1, 0, 1_500_000));
    assert_eq!(
        (call.work, call.memory_mb, call.group),
        (Some(820_000.0), Some(96.0), Some(17))
    );
    let long = "9b1f03aa5c7e2d410";
    let invalid_values = [
        ("i", &["", "a,b", "9b1f", long, "9b1f03aa5c7e2d4g"][..]),
        ("d", &["soon", "-1", "1e99", "NaN", "inf", "4001", ""]),
        ("t", &["nobody"]),
        ("h", &["NaN", "-0.5", "1e300", "9000001"]),
        ("ram", &["-4", "inf", "1e12"]),
        ("k", &["a=b", ID]),
    ];
    for (name, value) in invalid_values
        .iter()
        .flat_map(|(name, values)| values.iter().map(move |value| (name, *value)))
    {
        let fields =
            FIELDS.map(|(field, default)| (field, if field == *name { value } else { default }));
        assert_eq!(
            Call::read(&names(), "load", &fields, statement)
                .unwrap_err()
                .wire_word(),
            *name,
            "{value}"
        );
    }
    let read_without = |omitted: &str| {
        let fields: Vec<_> = FIELDS
            .into_iter()
            .filter(|(field, _)| *field != omitted)
            .collect();
        Call::read(&names(), "load", &fields, statement)
    };
    for name in ["i", "d", "t", "k"].iter() {
        assert_eq!(read_without(name).unwrap_err().wire_word(), *name);
    }
    for name in ["h", "ram"].iter() {
        assert!(read_without(name).is_ok());
    }
    assert_eq!(
        Call::read(&names(), "nonsense", &FIELDS, statement)
            .unwrap_err()
            .wire_word(),
        "class"
    );
    let duplicated = [&FIELDS[..], &[("d", "1500")]].concat();
    assert!(Call::read(&names(), "load", &duplicated, statement).is_err());
    for statement in [&b""[..], b"SELECT \xff", b"SELECT \0"] {
        assert_eq!(
            Call::read(&names(), "load", &FIELDS, statement)
                .unwrap_err()
                .wire_word(),
            "statement"
        );
    }
}

#[test]
fn limits_are_finite_if_the_settings_contain_none() {
    let tree = eideryard_settings::SettingsTree::from_pairs([
        ("grades.count", "1"),
        ("grades.0.name", "report"),
        ("limits.dial-timeout-us", "1000"),
    ]);
    let host = eideryard_settings::read_host_settings(&tree).unwrap();
    let names = Names::new(&eideryard_settings::read_settings(&tree).unwrap(), &host);
    for (name, value) in [
        ("d", "1e300"),
        ("h", "1e300"),
        ("h", "inf"),
        ("ram", "inf"),
        ("ram", "1e300"),
    ] {
        let fields =
            FIELDS.map(|(field, default)| (field, if field == name { value } else { default }));
        assert_eq!(
            Call::read(&names, "report", &fields, b"SELECT 1")
                .unwrap_err()
                .wire_word(),
            name,
            "{value}"
        );
    }
    assert!(Call::read(&names, "report", &FIELDS, b"SELECT 1").is_ok());
}

#[test]
fn id_is_accepted_once_and_remembered_ids_are_bounded() {
    let mut requests = Requests::new(1);
    let client = Table::new().insert(());
    let read = |id: &str| {
        let fields =
            FIELDS.map(|(field, default)| (field, if field == "i" { id } else { default }));
        Call::read(&names(), "load", &fields, b"COPY sales_17.orders").unwrap()
    };
    let first = requests.insert(client, 1, 0, 0, read(ID)).unwrap();
    assert_eq!(
        requests.insert(client, 2, 0, 0, read(ID)),
        Err(InsertError::DuplicateId),
        "the first request is open"
    );
    let mut deadlines = Deadlines::new();
    let mut finish = |requests: &mut Requests, key| {
        let request = requests.get_mut(key).unwrap();
        request.answer_state = AnswerState::Ended;
        request.timer = Some(deadlines.set(1, Deadline::BalancerTimer(1)));
        requests.release(key, &mut deadlines);
        assert_eq!(
            deadlines.next(),
            None,
            "the timer is cancelled with its request"
        );
    };
    finish(&mut requests, first);
    assert_eq!(
        requests.insert(client, 2, 0, 0, read(ID)),
        Err(InsertError::DuplicateId),
        "the first request was open recently"
    );
    for number in 0..3 * MAX_FINISHED_IDS {
        let key = requests
            .insert(client, 3, 0, 0, read(&format!("{number:016x}")))
            .unwrap();
        finish(&mut requests, key);
    }
    assert_eq!(
        (
            requests.table.len(),
            requests.ids.len(),
            requests.finished_ids.len()
        ),
        (0, MAX_FINISHED_IDS, MAX_FINISHED_IDS)
    );
}

#[test]
fn bytes_of_all_statements_are_bounded() {
    let mut requests = Requests::new(1);
    let client = Table::new().insert(());
    let long = vec![b' '; 50_000];
    let insert = |requests: &mut Requests, id: &str| {
        let fields =
            FIELDS.map(|(field, default)| (field, if field == "i" { id } else { default }));
        requests.insert(
            client,
            1,
            0,
            0,
            Call::read(&names(), "load", &fields, &long).unwrap(),
        )
    };
    let first = insert(&mut requests, "0000000000000001").unwrap();
    insert(&mut requests, "0000000000000002").unwrap();
    assert_eq!(
        insert(&mut requests, "0000000000000003"),
        Err(InsertError::StatementMemoryFull)
    );
    requests.get_mut(first).unwrap().answer_state = AnswerState::Ended;
    requests.release(first, &mut Deadlines::new());
    insert(&mut requests, "0000000000000003").unwrap();
}
