//! Connections of a load: chosen, dialled, and read.

use super::*;

impl Load {
    /// The gateways that may be asked now, in the order in which they are tried.
    pub(super) fn choices(
        &self,
        wanted: Option<(SharedName, RetryTarget)>,
    ) -> Vec<(SharedName, SocketAddr)> {
        let doors = self.doors.borrow();
        let own = |name: &str| {
            self.spec
                .gateway
                .as_ref()
                .is_none_or(|gateway| gateway == name)
        };
        let mut doors: Vec<(SharedName, SocketAddr)> = doors
            .iter()
            .filter(|(name, _)| own(name))
            .map(|(name, at)| (name.as_str().into(), *at))
            .collect();
        rand::seq::SliceRandom::shuffle(&mut doors[..], &mut *self.rng.borrow_mut());
        match wanted {
            Some((gateway, RetryTarget::Same)) => doors.retain(|(name, _)| *name == gateway),
            // It is the last that is tried.
            Some((gateway, RetryTarget::Other)) => doors.sort_by_key(|(name, _)| *name == gateway),
            _ => {}
        }
        doors
    }

    /// A connection with room, to a gateway drawn anew; a gateway that can't be reached has not
    /// taken anything, and the next one is asked.
    pub(super) async fn line(
        self: &Rc<Self>,
        wanted: Option<(SharedName, RetryTarget)>,
    ) -> Option<Rc<Line>> {
        self.lines.borrow_mut().retain(|line| !line.ended.get());
        let choices = self.choices(wanted);
        let most = self.spec.connections.div_ceil(choices.len().max(1));
        let free = |line: &Rc<Line>| line.open.borrow().len() < MAX_OPEN;
        for (gateway, address) in choices {
            let own: Vec<Rc<Line>> = self
                .lines
                .borrow()
                .iter()
                .filter(|line| line.gateway == gateway)
                .cloned()
                .collect();
            if own.len() >= most {
                self.turn.set(self.turn.get() + 1);
                let from = self.turn.get() % own.len();
                let mut lines = own.iter().cycle().skip(from).take(own.len());
                match lines.find(|line| free(line)) {
                    Some(line) => return Some(line.clone()),
                    None => continue,
                }
            }
            let Ok(stream) = self.connect(address).await else {
                continue;
            };
            let (read, write) = stream.into_split();
            let line = Rc::new(Line {
                gateway,
                write: tokio::sync::Mutex::new(write),
                open: RefCell::new(BTreeMap::new()),
                next: Cell::new(0),
                ended: Cell::new(false),
                forgotten: RefCell::default(),
            });
            self.lines.borrow_mut().push(line.clone());
            let (own, theirs) = (self.clone(), line.clone());
            spawn_local(async move {
                // However it ended, nothing more comes.
                let _ = own.read(read, &theirs).await;
                theirs.end();
            });
            return Some(line);
        }
        None
    }

    pub(super) async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.spec.from, 0))?;
        let stream = timeout(CONNECTS_WITHIN, socket.connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    pub(super) async fn read(&self, mut read: OwnedReadHalf, line: &Line) -> io::Result<()> {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
        loop {
            let count = read.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&chunk[..count]);
            while let Some((answer, used)) = parse_answer(&bytes)? {
                bytes.drain(..used);
                self.answered(line, answer);
            }
        }
    }

    pub(super) fn answered(&self, line: &Line, answer: Answer) {
        let number = match &answer {
            Answer::Result { id, .. }
            | Answer::Part { id, .. }
            | Answer::Error { id, .. }
            | Answer::Health { id, .. } => *id,
        };
        let Some((id, rows, told)) = line.open.borrow_mut().remove(&number) else {
            if line.forgotten.borrow_mut().remove(&number) {
                return;
            }
            let what = format!("{}: an answer that nothing waits for", self.spec.name);
            let mut ledger = self.ledger.borrow_mut();
            let (load, gateway) = (self.name.clone(), line.gateway.clone());
            ledger.record_event(|| Event::UnexpectedAnswer { load, gateway });
            return ledger.record_violation(what);
        };
        let end = match answer {
            Answer::Result { body, .. } => {
                if body != pages(&id, rows).concat().into_bytes() {
                    let what = format!("{}: {id} got what no engine made for it", self.spec.name);
                    let mut ledger = self.ledger.borrow_mut();
                    ledger.record_event(|| Event::WrongResult { id: hex(&id) });
                    ledger.record_violation(what);
                }
                self.count(|answers| answers.served += 1);
                self.over(&id, TryOutcome::Served, None);
                End::Final
            }
            Answer::Error { word, fields, .. } if word == "TryLater" => {
                let wait = fields
                    .iter()
                    .find(|(name, _)| name == "w")
                    .and_then(|(_, value)| value.parse().ok());
                self.count(|answers| {
                    answers.refused += 1;
                    answers.advised += wait.is_some() as u64;
                });
                self.over(&id, TryOutcome::Refused, wait);
                End::Refused(wait)
            }
            _ => {
                self.count(|answers| answers.failed += 1);
                self.over(&id, TryOutcome::Failed, None);
                End::Final
            }
        };
        // Whoever waited for it may have given up.
        let _ = told.send(end);
    }
}
