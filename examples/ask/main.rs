//! Sends a query to a gateway and prints the answer:
//! `cargo run --example ask -- 127.0.0.1:7000 report "SELECT * FROM sales_17.orders"`

use eideryard_emulators::scripted::{Answer, Client};
use std::time::{SystemTime, UNIX_EPOCH};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [gateway, class, statement] = &arguments[..] else {
        return Err("usage: ask GATEWAY CLASS STATEMENT".into());
    };
    let mut client = Client::connect(gateway.parse()?)?;
    // The id must be new with every request.
    let id = format!(
        "{:016x}",
        SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos() as u64
    );
    let fields = [
        ("i", id.as_str()),
        ("d", "5000"),
        ("t", "acme"),
        ("h", "80"),
        ("ram", "16"),
    ];
    client.call(1, class, &fields, statement.as_bytes())?;
    match client.answer()? {
        Answer::Result { body, .. } => print!("{}", String::from_utf8_lossy(&body)),
        other => println!("{other:?}"),
    }
    Ok(())
}
