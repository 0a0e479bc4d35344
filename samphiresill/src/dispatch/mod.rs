//! The thread that owns this router's capacity decisions, and the handles of the request path.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use samphiresill_core::clock::Clock;
use samphiresill_core::name::{RequestId, TargetName, VmName};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;
use samphiresill_sched::message::{GrantId, Message, Observed};
use samphiresill_sched::node::{Action, Event, Node};
use samphiresill_sched::queue::SlotRequest;
use samphiresill_sched::topology::Topology;
use tokio::sync::oneshot;

/// Events that may wait for the thread; senders block beyond it.
const MAX_EVENTS: usize = 16_384;
/// Events that the thread takes in before it looks at the time again.
const MAX_BATCH: usize = 256;

/// `Post` sends the messages of the decisions to other routers.
pub trait Post: Send {
    /// Sends a message, or drops it when it cannot: the decisions bear a loss.
    fn send(&self, to: &VmName, message: Message);
}

enum Command {
    Submit(SlotRequest, oneshot::Sender<Decision>),
    Running(RequestId, Arc<AtomicU64>),
    Event(Event),
    Stop,
}

enum Decision {
    Granted { grant: GrantId, target: TargetName },
    Refused(Refusal),
}

/// `Gauges` are what the thread publishes of its state.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Requests that wait.
    pub waiting: AtomicUsize,
    /// Requests that run.
    pub running: AtomicUsize,
    /// Pools that this router schedules.
    pub pools: AtomicUsize,
}

/// `Dispatcher` is the request path's handle on the capacity decisions.
#[derive(Clone)]
pub struct Dispatcher {
    tx: Sender<Command>,
    gauges: Arc<Gauges>,
}

impl Dispatcher {
    /// Starts the thread.
    ///
    /// # Panics
    /// When the machine cannot start a thread.
    pub fn start(
        node: Node,
        clock: Arc<dyn Clock>,
        post: impl Post + 'static,
    ) -> (Self, JoinHandle<()>) {
        let (tx, rx) = crossbeam::channel::bounded(MAX_EVENTS);
        let gauges = Arc::new(Gauges::default());
        let worker = Worker {
            node,
            clock,
            post: Box::new(post),
            rx,
            callers: BTreeMap::new(),
            progress: BTreeMap::new(),
            gauges: Arc::clone(&gauges),
        };
        let thread = std::thread::Builder::new()
            .name("dispatch".into())
            .spawn(move || worker.run())
            .expect("the dispatch thread starts");
        (Self { tx, gauges }, thread)
    }

    /// Asks for a slot; the ticket resolves once there is one, or withdraws when it is dropped.
    #[must_use]
    pub fn submit(&self, work: SlotRequest) -> Ticket {
        let (reply, answer) = oneshot::channel();
        let request = work.request.clone();
        self.send(Command::Submit(work, reply));
        Ticket {
            dispatcher: self.clone(),
            request,
            answer,
            is_decided: false,
        }
    }

    /// Takes in a message of another router.
    pub fn receive(&self, from: VmName, message: Message) {
        self.send(Command::Event(Event::Receive(from, message)));
    }

    /// Takes a new configuration or view of the members.
    pub fn set_topology(&self, topology: Arc<Topology>) {
        self.send(Command::Event(Event::Topology(topology)));
    }

    /// What the thread publishes of its state.
    #[must_use]
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Ends the thread; what waits is refused.
    pub fn stop(&self) {
        self.send(Command::Stop);
    }

    fn send(&self, command: Command) {
        // The thread is gone only when the process ends.
        let _ = self.tx.send(command);
    }
}

/// `Ticket` waits for a slot.
pub struct Ticket {
    dispatcher: Dispatcher,
    request: RequestId,
    answer: oneshot::Receiver<Decision>,
    is_decided: bool,
}

impl Future for Ticket {
    type Output = Result<Slot, Refusal>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Poll::Ready(answer) = Pin::new(&mut self.answer).poll(cx) else {
            return Poll::Pending;
        };
        self.is_decided = true;
        Poll::Ready(match answer {
            Ok(Decision::Granted { grant, target }) => Ok(self.slot(grant, target)),
            Ok(Decision::Refused(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::RouterUnavailable),
        })
    }
}

impl Ticket {
    fn slot(&self, grant: GrantId, target: TargetName) -> Slot {
        let served = Arc::new(AtomicU64::new(0));
        let dispatcher = self.dispatcher.clone();
        dispatcher.send(Command::Running(self.request.clone(), Arc::clone(&served)));
        Slot {
            dispatcher,
            request: self.request.clone(),
            grant,
            target,
            served,
            observed: None,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        // A decision may be on its way; its slot then goes back unused.
        self.answer.close();
        if let Ok(Decision::Granted { grant, target }) = self.answer.try_recv() {
            drop(self.slot(grant, target));
        } else {
            self.dispatcher
                .send(Command::Event(Event::Withdraw(self.request.clone())));
        }
    }
}

/// `Slot` is the right to run one request on one target; it goes back when it is dropped.
pub struct Slot {
    dispatcher: Dispatcher,
    request: RequestId,
    grant: GrantId,
    target: TargetName,
    served: Arc<AtomicU64>,
    observed: Option<Observed>,
}

impl Slot {
    /// The target that the request may run on.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Identifies the slot.
    #[must_use]
    pub fn grant(&self) -> GrantId {
        self.grant
    }

    /// Counts service that the request has received.
    pub fn add_served(&self, amount: Tokens) {
        self.served.fetch_add(amount.0, Ordering::Relaxed);
    }

    /// Gives the slot back, with what the request showed of the target.
    pub fn finish(mut self, observed: Observed) {
        self.observed = Some(observed);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let served = Tokens(self.served.load(Ordering::Relaxed));
        let observed = self.observed.unwrap_or_default();
        let request = &self.request;
        self.dispatcher
            .send(Command::Event(Event::Progress(request.clone(), served)));
        self.dispatcher
            .send(Command::Event(Event::Finished(request.clone(), observed)));
    }
}

struct Worker {
    node: Node,
    clock: Arc<dyn Clock>,
    post: Box<dyn Post>,
    rx: Receiver<Command>,
    callers: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    progress: BTreeMap<RequestId, Arc<AtomicU64>>,
    gauges: Arc<Gauges>,
}

impl Worker {
    fn run(mut self) {
        let mut tick_at = Duration::ZERO;
        loop {
            let now = self.clock.monotonic();
            match self.rx.recv_timeout(tick_at.saturating_sub(now)) {
                Ok(command) => {
                    let rest: Vec<Command> = self.rx.try_iter().take(MAX_BATCH).collect();
                    for command in std::iter::once(command).chain(rest) {
                        if matches!(command, Command::Stop) {
                            return;
                        }
                        self.take(command);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.monotonic();
            if now >= tick_at {
                self.note_progress();
                self.handle(Event::Tick);
                tick_at = self
                    .node
                    .next_tick(now)
                    .max(now + Duration::from_micros(500));
            } else {
                tick_at = tick_at.min(self.node.next_tick(now));
            }
            self.publish();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Submit(work, reply) => {
                self.callers.insert(work.request.clone(), reply);
                self.handle(Event::Submit(work));
            }
            Command::Running(request, served) => drop(self.progress.insert(request, served)),
            Command::Event(event) => {
                match &event {
                    Event::Withdraw(request) => drop(self.callers.remove(request)),
                    Event::Finished(request, _) => drop(self.progress.remove(request)),
                    _ => {}
                }
                self.handle(event);
            }
            Command::Stop => {}
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(self.clock.monotonic(), event) {
            match action {
                Action::Send(to, message) => self.post.send(&to, message),
                Action::Start {
                    request,
                    grant,
                    target,
                } => {
                    self.answer(&request, Decision::Granted { grant, target });
                }
                Action::Refuse(request, refusal) => {
                    self.answer(&request, Decision::Refused(refusal));
                }
            }
        }
    }

    /// Gives a waiting caller its decision; a slot for a caller that is gone goes back.
    fn answer(&mut self, request: &RequestId, decision: Decision) {
        let is_grant = matches!(decision, Decision::Granted { .. });
        let caller = self.callers.remove(request);
        let is_taken = caller.is_some_and(|reply| reply.send(decision).is_ok());
        if is_grant && !is_taken {
            self.handle(Event::Finished(request.clone(), Observed::default()));
        }
    }

    fn note_progress(&mut self) {
        let running = self.progress.iter();
        let served = running.map(|(r, s)| (r.clone(), Tokens(s.load(Ordering::Relaxed))));
        for (request, served) in served.collect::<Vec<_>>() {
            self.handle(Event::Progress(request, served));
        }
    }

    fn publish(&self) {
        let (waiting, running) = self.node.load();
        self.gauges.waiting.store(waiting, Ordering::Relaxed);
        self.gauges.running.store(running, Ordering::Relaxed);
        self.gauges
            .pools
            .store(self.node.schedulers().len(), Ordering::Relaxed);
    }
}
