//! Tests of the relay.

use super::*;
use tokio::task::LocalSet;

/// Tests each fault with a server that echoes what it receives.
#[test]
fn a_link_forwards_holds_drops_resets_and_refuses() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let (mut read, mut write) = stream.split();
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                });
            }
        });
        let relay = Relay::start().unwrap();
        let connect = || TcpStream::connect(relay.address);
        tokio::task::yield_now().await;
        assert!(connect().await.is_err(), "the link has no target");
        relay.set_target(Some(target));
        tokio::task::yield_now().await;
        let mut stream = connect().await.unwrap();
        let mut bytes = [0; 4];
        async fn echo(stream: &mut TcpStream, bytes: &mut [u8; 4]) -> io::Result<()> {
            stream.write_all(b"okra").await?;
            stream.read_exact(bytes).await.map(|_| ())
        }
        echo(&mut stream, &mut bytes).await.unwrap();
        let short = Duration::from_millis(150);
        // A cut of one direction: bytes there arrive, bytes back wait, and no new connection is
        // established.
        relay.begin(1, Fault::Cut, LinkDirection::Reverse);
        assert!(timeout(short, echo(&mut stream, &mut bytes)).await.is_err());
        tokio::task::yield_now().await;
        assert!(
            timeout(short, connect()).await.is_err(),
            "a new connection was established over a cut link"
        );
        assert!(relay.end(1) && !relay.end(1));
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"okra", "held bytes arrive when the cut ends");
        // A stall lets connections be established.
        relay.begin(2, Fault::Stall, LinkDirection::Both);
        tokio::task::yield_now().await;
        let mut second = connect().await.unwrap();
        assert!(timeout(short, echo(&mut second, &mut bytes)).await.is_err());
        relay.end(2);
        second.read_exact(&mut bytes).await.unwrap();
        // Swallowed bytes never arrive, and the connection is reset when the fault ends.
        relay.begin(3, Fault::Swallow, LinkDirection::Forward);
        assert!(timeout(short, echo(&mut second, &mut bytes)).await.is_err());
        relay.end(3);
        assert!(second.read_exact(&mut bytes).await.is_err());
        relay.reset();
        assert!(stream.read_exact(&mut bytes).await.is_err());
        relay.set_target(None);
        tokio::task::yield_now().await;
        assert!(connect().await.is_err());
    });
}

#[test]
fn faults_of_one_link_are_combined() {
    let by = Duration::from_millis(5);
    let all = [
        (1, Fault::Delay(by), LinkDirection::Both),
        (2, Fault::Cut, LinkDirection::Forward),
        (3, Fault::Throttle(100), LinkDirection::Reverse),
        (4, Fault::Delay(by), LinkDirection::Reverse),
        (5, Fault::Throttle(50), LinkDirection::Reverse),
    ];
    let state = combine_faults(&all, false, 0);
    assert!(state.there.is_held && !state.back.is_held && state.is_silent);
    assert_eq!(
        (state.there.delay, state.back.delay, state.back.rate),
        (by, 2 * by, Some(50))
    );
    assert!(!combine_faults(&all[2..], false, 0).is_silent);
}
