//! A gateway among peers of an earlier version, which a script plays by the handshake that they
//! sent.

mod common;

use common::*;
use eideryard_emulators::golden;
use std::io::{Read, Write};
use std::net::TcpStream;

/// First byte of a frame's body: a peer that is taken in gets a handshake, one that is rejected a
/// reason.
const HANDSHAKE: u8 = 0;
const REJECTED: u8 = 1;

/// What the gateway answers to a handshake.
fn answer(address: &str, handshake: &str) -> Vec<u8> {
    let bytes = std::fs::read(golden::path(handshake)).expect("a golden handshake");
    let mut stream = TcpStream::connect(address).expect("the gateway listens for peers");
    stream.write_all(&bytes).expect("the gateway reads");
    let mut head = [0; 8];
    stream.read_exact(&mut head).expect("an answer");
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).expect("a whole answer");
    body
}

#[test]
fn peers_of_an_earlier_version_are_taken_in_and_those_with_other_classes_rejected() {
    let (bulletin, engines) = stand_ins(1);
    let store = tempfile::tempdir().expect("a directory");
    let operator = format!(
        "store-dir \"{}\"\nfleet north {{\n  listen 127.0.0.1:0\n  keeper n0 127.0.0.1:9\n  \
         keeper g2 127.0.0.1:9\n  keeper g3 127.0.0.1:9\n}}\n",
        store.path().display()
    );
    let mut gateway =
        Running::launched(&config(bulletin.address(), &addresses(&engines)), &operator);
    let line = gateway.line_with("peers reach this gateway at ");
    let address = line.rsplit(' ').next().expect("an address").to_string();
    gateway.listens();
    assert_eq!(answer(&address, "handshake-g2.bin")[0], HANDSHAKE);
    let rejected = answer(&address, "handshake-other-classes.bin");
    assert_eq!(rejected[0], REJECTED);
    let reason = String::from_utf8_lossy(&rejected[2..]);
    assert!(reason.contains("different classes"), "{reason}");
    // The first handshake came again under the name of a keeper that has lost its link meanwhile.
    assert_eq!(answer(&address, "handshake-g2.bin")[0], HANDSHAKE);
}
