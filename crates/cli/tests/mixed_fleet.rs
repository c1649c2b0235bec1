//! Tests that a gateway accepts peers of an earlier version, whose handshakes are golden files: a
//! changed handshake would split a fleet during an upgrade.

mod common;

use common::*;
use eideryard_emulators::golden;
use std::io::{Read, Write};
use std::net::TcpStream;

/// First byte of the answer's body if the peer is accepted and gets a handshake. A rejected peer
/// gets the reason, with another first byte.
const HANDSHAKE: u8 = 0;
const REJECTED: u8 = 1;

/// Sends a golden handshake and returns the body of the gateway's answer.
fn answer_to_handshake(address: &str, handshake: &str) -> Vec<u8> {
    let bytes = std::fs::read(golden::path(handshake)).expect("a golden handshake");
    let mut stream = TcpStream::connect(address).expect("the gateway listens for peers");
    stream.write_all(&bytes).expect("the gateway reads");
    let mut head = [0; 8];
    stream.read_exact(&mut head).expect("an answer");
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).expect("the whole answer");
    body
}

#[test]
fn peers_of_an_earlier_version_are_accepted_and_those_with_other_classes_rejected() {
    let (bulletin, engines) = start_emulators(1);
    let store = tempfile::tempdir().expect("a directory");
    let operator = format!(
        "store-dir \"{}\"\nfleet north {{\n  listen 127.0.0.1:0\n  keeper n0 127.0.0.1:9\n  \
         keeper g2 127.0.0.1:9\n  keeper g3 127.0.0.1:9\n}}\n",
        store.path().display()
    );
    let mut gateway =
        GatewayProcess::spawn(&config(bulletin.address(), &addresses(&engines)), &operator);
    let line = gateway.wait_for_line("peers reach this gateway at ");
    let address = line.rsplit(' ').next().expect("an address").to_string();
    gateway.wait_until_listening();
    assert_eq!(
        answer_to_handshake(&address, "handshake-g2.bin")[0],
        HANDSHAKE
    );
    let rejected = answer_to_handshake(&address, "handshake-other-classes.bin");
    assert_eq!(rejected[0], REJECTED);
    let reason = String::from_utf8_lossy(&rejected[2..]);
    assert!(reason.contains("different classes"), "{reason}");
    // The first handshake is accepted again: it comes from a voter whose link has been lost
    // meanwhile.
    assert_eq!(
        answer_to_handshake(&address, "handshake-g2.bin")[0],
        HANDSHAKE
    );
}
