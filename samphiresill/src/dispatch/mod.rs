//! The thread that makes this router's capacity decisions, and the handle through which requests
//! obtain slots.

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

/// Capacity of the command queue; senders block while it is full.
const QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of further commands that are handled before the timers are checked again.
const MAX_BATCH: usize = 256;

/// `MessageSender` sends capacity messages to other routers.
pub trait MessageSender: Send {
    /// Sends a message or drops it. The capacity protocol tolerates lost messages.
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

/// `Gauges` expose the state of the dispatch thread.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Queued requests.
    pub waiting: AtomicUsize,
    /// Running requests.
    pub running: AtomicUsize,
    /// Pools that this router is the scheduler of.
    pub pools: AtomicUsize,
}

/// `Dispatcher` is a handle of the dispatch thread.
#[derive(Clone)]
pub struct Dispatcher {
    tx: Sender<Command>,
    gauges: Arc<Gauges>,
}

impl Dispatcher {
    /// Starts the dispatch thread.
    ///
    /// # Panics
    /// If the thread cannot be started.
    pub fn start(
        node: Node,
        clock: Arc<dyn Clock>,
        sender: impl MessageSender + 'static,
    ) -> (Self, JoinHandle<()>) {
        let (tx, rx) = crossbeam::channel::bounded(QUEUE_CAPACITY);
        let gauges = Arc::new(Gauges::default());
        let worker = Worker {
            node,
            clock,
            sender: Box::new(sender),
            rx,
            waiters: BTreeMap::new(),
            served_counters: BTreeMap::new(),
            gauges: Arc::clone(&gauges),
        };
        let thread = std::thread::Builder::new()
            .name("dispatch".into())
            .spawn(move || worker.run())
            .expect("the dispatch thread starts");
        (Self { tx, gauges }, thread)
    }

    /// Requests a slot. The returned future resolves once a slot is granted or refused; dropping it
    /// withdraws the request.
    #[must_use]
    pub fn submit(&self, slot_request: SlotRequest) -> PendingSlot {
        let (reply, decision) = oneshot::channel();
        let request = slot_request.request.clone();
        self.send(Command::Submit(slot_request, reply));
        PendingSlot {
            dispatcher: self.clone(),
            request,
            decision,
            is_decided: false,
        }
    }

    /// Handles a capacity message of another router.
    pub fn receive(&self, from: VmName, message: Message) {
        self.send(Command::Event(Event::Receive(from, message)));
    }

    /// Sets the topology, after a change of the configuration or the membership.
    pub fn set_topology(&self, topology: Arc<Topology>) {
        self.send(Command::Event(Event::Topology(topology)));
    }

    /// Returns the gauges of the dispatch thread.
    #[must_use]
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Stops the dispatch thread. Queued requests are refused with `RouterUnavailable`.
    pub fn stop(&self) {
        self.send(Command::Stop);
    }

    fn send(&self, command: Command) {
        // The receiver is closed only after the dispatch thread has been stopped, when the process
        // ends.
        let _ = self.tx.send(command);
    }
}

/// `PendingSlot` is a future that resolves to a slot or a refusal.
pub struct PendingSlot {
    dispatcher: Dispatcher,
    request: RequestId,
    decision: oneshot::Receiver<Decision>,
    is_decided: bool,
}

impl Future for PendingSlot {
    type Output = Result<Slot, Refusal>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Poll::Ready(decision) = Pin::new(&mut self.decision).poll(cx) else {
            return Poll::Pending;
        };
        self.is_decided = true;
        Poll::Ready(match decision {
            Ok(Decision::Granted { grant, target }) => Ok(self.slot(grant, target)),
            Ok(Decision::Refused(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::RouterUnavailable),
        })
    }
}

impl PendingSlot {
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

impl Drop for PendingSlot {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        // The slot may have been granted concurrently; it is then returned unused.
        self.decision.close();
        if let Ok(Decision::Granted { grant, target }) = self.decision.try_recv() {
            drop(self.slot(grant, target));
        } else {
            self.dispatcher
                .send(Command::Event(Event::Withdraw(self.request.clone())));
        }
    }
}

/// `Slot` is the permission to run one request on one target. It is returned when dropped.
pub struct Slot {
    dispatcher: Dispatcher,
    request: RequestId,
    grant: GrantId,
    target: TargetName,
    served: Arc<AtomicU64>,
    observed: Option<Observed>,
}

impl Slot {
    /// Returns the target that the request may run on.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Returns the ID of the grant that the slot belongs to.
    #[must_use]
    pub fn grant(&self) -> GrantId {
        self.grant
    }

    /// Adds to the amount of service that the request has received.
    pub fn add_served(&self, amount: Tokens) {
        self.served.fetch_add(amount.0, Ordering::Relaxed);
    }

    /// Returns the slot, with measurements of the target.
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
    sender: Box<dyn MessageSender>,
    rx: Receiver<Command>,
    waiters: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    served_counters: BTreeMap<RequestId, Arc<AtomicU64>>,
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
                        self.handle_command(command);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.monotonic();
            if now >= tick_at {
                self.report_progress();
                self.handle_event(Event::Tick);
                tick_at = self
                    .node
                    .next_tick(now)
                    .max(now + Duration::from_micros(500));
            } else {
                tick_at = tick_at.min(self.node.next_tick(now));
            }
            self.update_gauges();
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Submit(slot_request, reply) => {
                self.waiters.insert(slot_request.request.clone(), reply);
                self.handle_event(Event::Submit(slot_request));
            }
            Command::Running(request, served) => drop(self.served_counters.insert(request, served)),
            Command::Event(event) => {
                match &event {
                    Event::Withdraw(request) => drop(self.waiters.remove(request)),
                    Event::Finished(request, _) => drop(self.served_counters.remove(request)),
                    _ => {}
                }
                self.handle_event(event);
            }
            Command::Stop => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.node.handle(self.clock.monotonic(), event) {
            match action {
                Action::Send(to, message) => self.sender.send(&to, message),
                Action::Start {
                    request,
                    grant,
                    target,
                } => {
                    self.deliver(&request, Decision::Granted { grant, target });
                }
                Action::Refuse(request, refusal) => {
                    self.deliver(&request, Decision::Refused(refusal));
                }
            }
        }
    }

    /// Sends a decision to the waiting request. If it no longer waits, a granted slot is returned.
    fn deliver(&mut self, request: &RequestId, decision: Decision) {
        let is_grant = matches!(decision, Decision::Granted { .. });
        let waiter = self.waiters.remove(request);
        let is_delivered = waiter.is_some_and(|reply| reply.send(decision).is_ok());
        if is_grant && !is_delivered {
            self.handle_event(Event::Finished(request.clone(), Observed::default()));
        }
    }

    fn report_progress(&mut self) {
        let running = self.served_counters.iter();
        let served = running.map(|(r, s)| (r.clone(), Tokens(s.load(Ordering::Relaxed))));
        for (request, served) in served.collect::<Vec<_>>() {
            self.handle_event(Event::Progress(request, served));
        }
    }

    fn update_gauges(&self) {
        let (waiting, running) = self.node.load();
        self.gauges.waiting.store(waiting, Ordering::Relaxed);
        self.gauges.running.store(running, Ordering::Relaxed);
        self.gauges
            .pools
            .store(self.node.schedulers().len(), Ordering::Relaxed);
    }
}
