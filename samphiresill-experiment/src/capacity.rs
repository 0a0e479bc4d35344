//! Slopes for docs/CAPACITY.md: what each mechanism costs, measured on this machine with the
//! product's code and in one process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use samphiresill_contract::change::{self, Change, Operation, Snapshot};
use samphiresill_contract::document::Document;
use samphiresill_contract::object::{Customer, Kind, Model, Object, ObjectId, Target};
use samphiresill_core::clock::Clock;
use samphiresill_core::name::{DomainName, ServiceName, VmName};
use samphiresill_core::units::Tokens;
use samphiresill_member::member::{Health, Incarnation, Member};
use samphiresill_member::membership::{self, Membership, Output};
use samphiresill_sched::message::{
    Delivery, Demand, Grant, GrantId, Message, Observed, PoolKey, Progress, Released, Report,
    RunId, Started,
};
use samphiresill_sched::options::Options;
use samphiresill_sched::scheduler::{Outgoing, Scheduler};
use samphiresill_sched::topology::Topology;
use samphiresill_standins::options;
use serde_json::json;

/// Numbers of customers that decisions are timed with.
const CUSTOMERS: [usize; 4] = [10, 100, 1_000, 2_200];
/// Numbers of members that the membership's traffic is counted with.
const MEMBERS: [usize; 5] = [3, 9, 33, 100, 330];
/// Decisions that are timed for each number of customers.
const DECISIONS: u32 = 300;

/// Runs the command.
pub fn command(args: &[String], clock: &dyn Clock) -> anyhow::Result<()> {
    let mut spec = options::with_help();
    spec.optflag("j", "json", "print one JSON object a line");
    let Some(given) = options::parse_args(
        &spec,
        args,
        "Usage: samphiresill-experiment capacity [--json]",
    )?
    else {
        return Ok(());
    };
    let is_json = given.opt_present("json");
    let mut show = |name: &str, at: usize, value: f64, unit: &str| {
        if is_json {
            println!(
                "{}",
                json!({"figure": name, "at": at, "value": value, "unit": unit})
            );
        } else {
            println!("{name:32} at {at:6}: {value:12.3} {unit}");
        }
    };
    messages(&mut show)?;
    for customers in CUSTOMERS {
        decisions(clock, customers, &mut show);
    }
    for members in MEMBERS {
        membership_traffic(clock, members, &mut show)?;
    }
    for customers in [16, 2_200] {
        configuration(clock, customers, &mut show)?;
    }
    topology(clock, &mut show);
    Ok(())
}

/// Shows a figure: its name, the size it was measured at, its value and its unit.
type Show<'a> = &'a mut dyn FnMut(&str, usize, f64, &str);

fn pool() -> PoolKey {
    PoolKey {
        domain: "region-1-domain-1".into(),
        work: "model-of-usual-name".into(),
    }
}

fn grant_id(seq: u64) -> GrantId {
    GrantId {
        run: RunId(1_796_000_000_000 << 16),
        seq,
    }
}

fn bytes(message: &Message) -> anyhow::Result<f64> {
    Ok(postcard::to_stdvec(message).context("encoding")?.len() as f64)
}

fn empty_report() -> Report {
    Report {
        pool: pool(),
        incarnation: 1_796_000_000_000,
        sent_at: Duration::from_hours(24),
        full: true,
        demand: Vec::new(),
        started: Vec::new(),
        progress: Vec::new(),
        released: Vec::new(),
        declined: Vec::new(),
        seen: Some((RunId(1_796_000_000_000 << 16), 100_000)),
    }
}

/// Bytes of the capacity messages, and of each entry in them.
fn messages(show: Show) -> anyhow::Result<()> {
    let base = bytes(&Message::Report(empty_report()))?;
    show("report_bytes", 0, base, "bytes");
    let mut report = empty_report();
    report.demand.push(demand(0));
    show(
        "report_demand_bytes",
        1,
        bytes(&Message::Report(report))? - base,
        "bytes each",
    );
    let mut report = empty_report();
    report.progress.push(Progress {
        grant: grant_id(100_000),
        served: Tokens(2_000),
    });
    show(
        "report_progress_bytes",
        1,
        bytes(&Message::Report(report))? - base,
        "bytes each",
    );
    let mut report = empty_report();
    report.released.push(Released {
        grant: grant_id(100_000),
        served: Tokens(2_000),
        observed: Observed {
            first_token_ms: 900,
            between_tokens_us: 30_000,
            failed: false,
        },
    });
    show(
        "report_released_bytes",
        1,
        bytes(&Message::Report(report))? - base,
        "bytes each",
    );
    let mut report = empty_report();
    report.started.push(started(1));
    show(
        "report_started_bytes",
        1,
        bytes(&Message::Report(report))? - base,
        "bytes each",
    );
    let delivery = Delivery {
        grant: Grant {
            id: grant_id(100_000),
            pool: pool(),
            scheduler: "router-vm-0123".into(),
            target: "target-0123".into(),
            customer: "customer-0123".into(),
            estimate: Tokens(2_000),
        },
        basis: Duration::from_hours(24),
        run: RunId(1_796_000_000_000 << 16),
        order: 100_000,
    };
    show("grant_bytes", 1, bytes(&Message::Grant(delivery))?, "bytes");
    let mut scheduler = scheduler(100);
    let summary = |scheduler: &mut Scheduler, now| {
        let out = scheduler.tick(now);
        out.into_iter().find_map(|o| match o {
            Outgoing::Pool(_, message @ Message::Summary { .. }) => Some(message),
            _ => None,
        })
    };
    feed(&mut scheduler, Duration::from_secs(10), 100, 50);
    let message = summary(&mut scheduler, Duration::from_secs(20)).context("no summary")?;
    show("summary_bytes", 100, bytes(&message)?, "bytes");
    Ok(())
}

fn demand(number: usize) -> Demand {
    Demand {
        customer: format!("customer-{number:04}").into(),
        waiting: 200,
        estimate: Tokens(2_000),
        waited_ms: 4_000,
    }
}

fn started(seq: u64) -> Started {
    Started {
        grant: grant_id(seq),
        target: "target-0123".into(),
        customer: "customer-0123".into(),
        estimate: Tokens(2_000),
    }
}

fn document(customers: usize, targets: usize) -> Document {
    let customer = Customer {
        share: 1.into(),
        key_hashes: [].into(),
        max_waiting: 1_000,
    };
    let model = Model {
        first_token_ms: 1_400,
        between_tokens_ms: 42,
        quick_tokens: 256,
    };
    let target = |n: usize| Target {
        domain: pool().domain,
        address: ([127, 0, 0, 1], 1 + n as u16).into(),
        serves: [pool().work].into(),
        slots: 40,
        checks_fencing: false,
        draining: false,
    };
    Document {
        customers: (0..customers)
            .map(|n| (demand(n).customer, customer.clone()))
            .collect(),
        models: [(pool().work, model)].into(),
        services: BTreeMap::new(),
        targets: (0..targets)
            .map(|n| (format!("target-{n:04}").into(), target(n)))
            .collect(),
    }
}

fn scheduler(customers: usize) -> Scheduler {
    let members: BTreeMap<VmName, DomainName> = [
        (VmName::from("vm-1"), pool().domain),
        (VmName::from("vm-2"), DomainName::from("region-2-domain-1")),
    ]
    .into();
    let topology = Arc::new(Topology::new(&document(customers, 10), members));
    let opts = Options::default();
    Scheduler::new(
        "vm-1".into(),
        pool(),
        RunId(1),
        opts,
        topology,
        Duration::ZERO,
    )
}

/// Lets 33 routers report that requests of `customers` customers wait.
fn feed(scheduler: &mut Scheduler, now: Duration, customers: usize, each: usize) {
    for router in 0..33 {
        let mut report = empty_report();
        report.sent_at = now;
        let first = router * customers / 33;
        report.demand = (0..each.min(customers))
            .map(|n| demand((first + n) % customers))
            .collect();
        let vm = VmName::from(format!("router-{router:03}"));
        scheduler.receive_report(now, &vm, &report);
    }
}

/// Processor time of a release with the grant that follows, with all customers backlogged.
fn decisions(clock: &dyn Clock, customers: usize, show: Show) {
    let mut scheduler = scheduler(customers);
    let mut now = Duration::from_secs(10);
    feed(&mut scheduler, now, customers, customers.div_ceil(33) + 1);
    let vm = VmName::from("router-000");
    let start = clock.monotonic();
    for seq in 1..=u64::from(DECISIONS) {
        now += Duration::from_millis(1);
        let mut report = empty_report();
        (report.sent_at, report.full) = (now, false);
        report.released.push(Released {
            grant: GrantId { run: RunId(1), seq },
            served: Tokens(2_000),
            observed: Observed::default(),
        });
        std::hint::black_box(scheduler.receive_report(now, &vm, &report));
    }
    let each = clock.monotonic().saturating_sub(start).as_secs_f64() * 1e6 / f64::from(DECISIONS);
    show("decision_us", customers, each, "us a grant");
}

/// Bytes that one member sends in a second, in a group whose messages arrive at once.
fn membership_traffic(clock: &dyn Clock, count: usize, show: Show) -> anyhow::Result<()> {
    let member = |n: usize| Member {
        vm: format!("router-{n:03}").into(),
        domain: format!("region-{}-domain-{}", n % 4, n % 10).into(),
        address: ([10, 0, 0, 1], 8_000 + n as u16).into(),
        strength: 0,
        incarnation: Incarnation {
            start_ms: 1_796_000_000_000,
            refutations: 0,
        },
        health: Health::Alive,
    };
    let seeds: Vec<Member> = (0..3.min(count)).map(member).collect();
    let opts = membership::Options::default();
    let view = |n: usize| Membership::new(member(n), seeds.clone(), opts, n as u64);
    let mut views: BTreeMap<VmName, Membership> =
        (0..count).map(|n| (member(n).vm, view(n))).collect();
    let (mut bytes_sent, mut messages, mut busy) = (0, 0, Duration::ZERO);
    let names: Vec<VmName> = views.keys().cloned().collect();
    for step in 0..1_600u32 {
        let now = Duration::from_millis(50) * step;
        let is_counted = now >= Duration::from_mins(1);
        let start = clock.monotonic();
        let mut flying = Vec::new();
        for vm in &names {
            let out = views.get_mut(vm).map(|v| v.tick(now)).unwrap_or_default();
            flying.extend(out.into_iter().map(|o| (vm.clone(), o)));
        }
        while let Some((from, output)) = flying.pop() {
            let Output::Send(to, message) = output else {
                continue;
            };
            if is_counted {
                bytes_sent += postcard::to_stdvec(&message)?.len();
                messages += 1;
            }
            let Some(view) = views.get_mut(&to.vm) else {
                continue;
            };
            let out = view.receive(now, &from, message);
            flying.extend(out.into_iter().map(|o| (to.vm.clone(), o)));
        }
        if is_counted {
            busy += clock.monotonic().saturating_sub(start);
        }
    }
    let node_seconds = count as f64 * 20.0;
    show(
        "membership_bytes",
        count,
        f64::from(bytes_sent as u32) / node_seconds,
        "bytes/node/s",
    );
    show(
        "membership_messages",
        count,
        f64::from(messages) / node_seconds,
        "messages/node/s",
    );
    let core = busy.as_secs_f64() / node_seconds * 100.0;
    show("membership_core", count, core, "% of a core/node");
    Ok(())
}

/// Size of the configuration, and time to apply a change to it.
fn configuration(clock: &dyn Clock, customers: usize, show: Show) -> anyhow::Result<()> {
    let mut snapshot = Snapshot {
        document: document(customers, 1_100),
        ..Snapshot::default()
    };
    let text = serde_json::to_string(&snapshot)?;
    show("snapshot_bytes", customers, text.len() as f64, "bytes");
    let operation = Operation {
        id: ObjectId {
            kind: Kind::Customer,
            name: "customer-0001".into(),
        },
        value: Some(Object::Customer(Customer {
            share: 2.into(),
            key_hashes: [].into(),
            max_waiting: 10,
        })),
        expected: None,
    };
    let change = Change {
        change_id: "c".into(),
        operations: vec![operation],
    };
    show(
        "change_bytes",
        customers,
        serde_json::to_string(&change)?.len() as f64,
        "bytes",
    );
    let start = clock.monotonic();
    for _ in 0..100 {
        snapshot = change::apply(&snapshot, &change)?;
    }
    show(
        "change_us",
        customers,
        clock.monotonic().saturating_sub(start).as_secs_f64() * 1e4,
        "us a change",
    );
    Ok(())
}

/// Time to work out who schedules what, when a member or the configuration changes.
fn topology(clock: &dyn Clock, show: Show) {
    let mut document = document(2_200, 0);
    let models = (0..11).map(|n| ServiceName::from(format!("model-{n}")));
    let template = document.models[&pool().work].clone();
    document.models = models.map(|n| (n, template.clone())).collect();
    for n in 0..1_100 {
        let target = Target {
            domain: format!("domain-{}", n % 10).into(),
            address: ([127, 0, 0, 1], 1).into(),
            serves: [format!("model-{}", n % 11).into()].into(),
            slots: 40,
            checks_fencing: false,
            draining: false,
        };
        document
            .targets
            .insert(format!("target-{n:04}").into(), target);
    }
    let member = |n: usize| {
        (
            format!("vm-{n:03}").into(),
            format!("domain-{}", n % 10).into(),
        )
    };
    let members: BTreeMap<VmName, DomainName> = (0..330).map(member).collect();
    let start = clock.monotonic();
    for _ in 0..20 {
        std::hint::black_box(Topology::new(&document, members.clone()));
    }
    show(
        "topology_us",
        330,
        clock.monotonic().saturating_sub(start).as_secs_f64() * 1e6 / 20.0,
        "us a change",
    );
}
