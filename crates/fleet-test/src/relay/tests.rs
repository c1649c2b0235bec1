//! Tests of this module, on small inputs.

use super::*;
use tokio::task::LocalSet;

/// Each fault against an end that sends back what it gets.
#[test]
fn a_link_passes_holds_swallows_refuses_and_never_comes_up() {
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
        assert!(connect().await.is_err(), "nobody is at the other end");
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
        // A cut one way: what goes there arrives, what comes back waits; no new connection
        // comes up.
        relay.begin(1, Fault::Cut, Way::Back);
        assert!(timeout(short, echo(&mut stream, &mut bytes)).await.is_err());
        tokio::task::yield_now().await;
        assert!(
            timeout(short, connect()).await.is_err(),
            "a new connection comes up over a cut link"
        );
        assert!(relay.end(1) && !relay.end(1));
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(
            &bytes, b"okra",
            "what was held arrives when the cut is over"
        );
        // A stall lets connections come up.
        relay.begin(2, Fault::Stall, Way::Both);
        tokio::task::yield_now().await;
        let mut second = connect().await.unwrap();
        assert!(timeout(short, echo(&mut second, &mut bytes)).await.is_err());
        relay.end(2);
        second.read_exact(&mut bytes).await.unwrap();
        // What is swallowed never arrives, and the connection ends with the fault.
        relay.begin(3, Fault::Swallow, Way::There);
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
fn faults_on_one_link_add_up_and_each_ends_alone() {
    let by = Duration::from_millis(5);
    let all = [
        (1, Fault::Delay(by), Way::Both),
        (2, Fault::Cut, Way::There),
        (3, Fault::Throttle(100), Way::Back),
        (4, Fault::Delay(by), Way::Back),
        (5, Fault::Throttle(50), Way::Back),
    ];
    let state = combine_faults(&all, false, 0);
    assert!(state.there.holds && !state.back.holds && state.silent);
    assert_eq!(
        (state.there.delay, state.back.delay, state.back.rate),
        (by, 2 * by, Some(50))
    );
    assert!(!combine_faults(&all[2..], false, 0).silent);
}
