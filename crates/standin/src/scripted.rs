//! Single ends of connections, moved by hand: an engine's, the bulletin's, and a client's. Every wait
//! ends after [`PATIENCE`], so that nothing hangs.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

mod client;

pub use client::{call, forget, parse_answer, Answer, Client};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// An address that nobody listens on.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("a listening socket has an address")
}

fn patient(stream: TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// That a read failed since the gateway has closed the connection, not since nothing came.
fn assert_closed(error: &io::Error) {
    let silent = matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
    assert!(!silent, "the gateway keeps the connection: {error}");
}

// ---- Engines ----

pub struct Engine {
    pub listener: TcpListener,
}

/// One connection of a gateway to an engine.
pub struct EngineEnd {
    lines: BufReader<TcpStream>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    pub words: Vec<String>,
    pub payload: Vec<u8>,
}

impl Command {
    pub fn verb(&self) -> &str {
        &self.words[0]
    }

    pub fn id(&self) -> &str {
        &self.words[1]
    }

    /// A field of a `serve`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.words.get(2)?.split(',').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(own, _)| *own == name).map(|(_, value)| value)
    }
}

impl Engine {
    pub fn listen(address: &str) -> io::Result<Self> {
        Self::over(TcpListener::bind(address)?)
    }

    fn over(listener: TcpListener) -> io::Result<Self> {
        // It holds for what is accepted, too.
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Engine { listener })
    }

    /// One whose queue of new connections is full: a dial to it comes up only after [`Held::let_go`].
    pub fn held() -> io::Result<Held> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        // The system queues one connection more than it is told.
        socket.listen(0)?;
        let mut held = Held { engine: Engine::over(socket.into())?, filler: None };
        held.fill()?;
        Ok(held)
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a listening socket has an address")
    }

    /// Answers all that comes with so many pages of one kind, on threads of its own, until nobody has dialled
    /// for [`PATIENCE`].
    pub fn answer_all(self, pages: usize, page: String) {
        std::thread::spawn(move || {
            while let Ok(mut end) = self.accept() {
                let page = page.clone();
                std::thread::spawn(move || while end.answer_next(pages, &page).is_ok() {});
            }
        });
    }

    pub fn accept(&self) -> io::Result<EngineEnd> {
        let (stream, _) = self.listener.accept()?;
        Ok(EngineEnd { lines: BufReader::new(patient(stream)?) })
    }
}

/// An engine that holds back who dials it, and what fills its queue.
pub struct Held {
    pub engine: Engine,
    filler: Option<TcpStream>,
}

impl Held {
    /// From here on dials wait.
    pub fn fill(&mut self) -> io::Result<()> {
        self.filler = Some(TcpStream::connect(self.engine.address())?);
        Ok(())
    }

    /// The queue has room again.
    pub fn let_go(&mut self) -> io::Result<()> {
        self.filler = None;
        self.engine.listener.accept().map(|_| ())
    }
}

impl EngineEnd {
    /// The next command; an error of kind `UnexpectedEof` once the gateway has closed the connection.
    pub fn command(&mut self) -> io::Result<Command> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        let mut payload = Vec::new();
        if words[0] == "serve" {
            let length: usize = words[3].parse().map_err(io::Error::other)?;
            payload.resize(length + 2, 0);
            self.lines.read_exact(&mut payload)?;
            payload.truncate(length);
        }
        Ok(Command { words, payload })
    }

    pub fn answer(&mut self, id: &str, word: &str, fields: &str, payload: &str) -> io::Result<()> {
        let text = format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len());
        self.lines.get_mut().write_all(text.as_bytes())
    }

    /// Answers the next command, a query with so many pages.
    fn answer_next(&mut self, pages: usize, page: &str) -> io::Result<()> {
        let command = self.command()?;
        match command.verb() {
            "serve" => self.answer(command.id(), "OK", &format!("count={pages}"), page),
            "gauges" | "health" => self.answer(command.id(), "UP", "report=inflight:0", ""),
            "read" => self.answer(command.id(), "ROWS", &format!("pos={}", command.words[2]), page),
            _ => Ok(()),
        }
    }

    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.lines.get_mut().write_all(bytes)
    }

    /// Passes over commands until the gateway has closed the connection.
    pub fn until_closed(&mut self) {
        loop {
            if let Err(e) = self.command() {
                return assert_closed(&e);
            }
        }
    }
}

// ---- The bulletin ----

pub struct Bulletin {
    pub listener: TcpListener,
}

/// One response that is being streamed.
pub struct BulletinEnd {
    stream: TcpStream,
    /// The `Last-Event-ID` that the gateway sent.
    pub after: u64,
}

impl Bulletin {
    pub fn listen(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Bulletin { listener })
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a listening socket has an address")
    }

    pub fn accept(&self) -> io::Result<BulletinEnd> {
        let (stream, _) = self.listener.accept()?;
        let mut lines = BufReader::new(patient(stream)?);
        let mut after = 0;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? <= 2 {
                break;
            }
            if let Some(("Last-Event-ID", number)) = line.trim_end().split_once(": ") {
                after = number.parse().map_err(io::Error::other)?;
            }
        }
        let mut stream = lines.into_inner();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
        Ok(BulletinEnd { stream, after })
    }
}

impl BulletinEnd {
    pub fn event(&mut self, number: u64, data: &str) -> io::Result<()> {
        self.stream.write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes())
    }

    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn comment(&mut self) -> io::Result<()> {
        self.stream.write_all(b": still here\n\n")
    }

    /// Waits until the gateway has ended the connection.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
