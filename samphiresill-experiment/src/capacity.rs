//! Measures the unit costs that docs/CAPACITY.md is calculated from: message sizes, processing
//! times and membership traffic of the production code, in one process on the local machine.

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
    SchedulerInstanceId, Started,
};
use samphiresill_sched::options::Options;
use samphiresill_sched::scheduler::{Outgoing, Scheduler};
use samphiresill_sched::topology::Topology;
use samphiresill_standins::options;
use serde_json::json;

/// Numbers of customers for which scheduling decisions are timed.
const CUSTOMER_COUNTS: [usize; 4] = [10, 100, 1_000, 2_200];
/// Group sizes for which membership traffic is measured.
const MEMBER_COUNTS: [usize; 5] = [3, 9, 33, 100, 330];
/// Scheduling decisions timed for each number of customers.
const TIMED_DECISIONS: u32 = 300;

/// Runs the `capacity` command.
pub fn command(args: &[String], clock: &dyn Clock) -> anyhow::Result<()> {
    let mut spec = options::with_help();
    spec.optflag("j", "json", "print one JSON object per line");
    let Some(matches) = options::parse_args(
        &spec,
        args,
        "Usage: samphiresill-experiment capacity [--json]",
    )?
    else {
        return Ok(());
    };
    let is_json = matches.opt_present("json");
    let mut print_figure = |name: &str, size: usize, value: f64, unit: &str| {
        if is_json {
            println!(
                "{}",
                json!({"figure": name, "at": size, "value": value, "unit": unit})
            );
        } else {
            println!("{name:32} at {size:6}: {value:12.3} {unit}");
        }
    };
    measure_message_sizes(&mut print_figure)?;
    for customers in CUSTOMER_COUNTS {
        measure_decisions(clock, customers, &mut print_figure);
    }
    for members in MEMBER_COUNTS {
        measure_membership_traffic(clock, members, &mut print_figure)?;
    }
    for customers in [16, 2_200] {
        measure_configuration(clock, customers, &mut print_figure)?;
    }
    measure_topology(clock, &mut print_figure);
    Ok(())
}

/// `PrintFigure` prints one figure: its name, the input size that it was measured at, its value and
/// its unit.
type PrintFigure<'a> = &'a mut dyn FnMut(&str, usize, f64, &str);

fn sample_pool() -> PoolKey {
    PoolKey {
        domain: "region-1-domain-1".into(),
        work: "model-of-usual-name".into(),
    }
}

fn grant_id(seq: u64) -> GrantId {
    GrantId {
        run: SchedulerInstanceId(1_796_000_000_000 << 16),
        seq,
    }
}

fn encoded_len(message: &Message) -> anyhow::Result<f64> {
    Ok(postcard::to_stdvec(message).context("encoding")?.len() as f64)
}

fn empty_report() -> Report {
    Report {
        pool: sample_pool(),
        incarnation: 1_796_000_000_000,
        sent_at: Duration::from_hours(24),
        full: true,
        demand: Vec::new(),
        started: Vec::new(),
        progress: Vec::new(),
        released: Vec::new(),
        declined: Vec::new(),
        seen: Some((SchedulerInstanceId(1_796_000_000_000 << 16), 100_000)),
    }
}

/// Measures the encoded size of the scheduling messages and of each kind of entry in a report.
fn measure_message_sizes(print_figure: PrintFigure) -> anyhow::Result<()> {
    let base_len = encoded_len(&Message::Report(empty_report()))?;
    print_figure("report_bytes", 0, base_len, "bytes");
    let mut report = empty_report();
    report.demand.push(sample_demand(0));
    print_figure(
        "report_demand_bytes",
        1,
        encoded_len(&Message::Report(report))? - base_len,
        "bytes each",
    );
    let mut report = empty_report();
    report.progress.push(Progress {
        grant: grant_id(100_000),
        served: Tokens(2_000),
    });
    print_figure(
        "report_progress_bytes",
        1,
        encoded_len(&Message::Report(report))? - base_len,
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
    print_figure(
        "report_released_bytes",
        1,
        encoded_len(&Message::Report(report))? - base_len,
        "bytes each",
    );
    let mut report = empty_report();
    report.started.push(sample_started(1));
    print_figure(
        "report_started_bytes",
        1,
        encoded_len(&Message::Report(report))? - base_len,
        "bytes each",
    );
    let delivery = Delivery {
        grant: Grant {
            id: grant_id(100_000),
            pool: sample_pool(),
            scheduler: "router-vm-0123".into(),
            target: "target-0123".into(),
            customer: "customer-0123".into(),
            estimate: Tokens(2_000),
        },
        basis: Duration::from_hours(24),
        run: SchedulerInstanceId(1_796_000_000_000 << 16),
        order: 100_000,
    };
    print_figure(
        "grant_bytes",
        1,
        encoded_len(&Message::Grant(delivery))?,
        "bytes",
    );
    let mut scheduler = sample_scheduler(100);
    let next_summary = |scheduler: &mut Scheduler, now| {
        let outputs = scheduler.tick(now);
        outputs.into_iter().find_map(|o| match o {
            Outgoing::Pool(_, message @ Message::Summary { .. }) => Some(message),
            _ => None,
        })
    };
    report_demand(&mut scheduler, Duration::from_secs(10), 100, 50);
    let message = next_summary(&mut scheduler, Duration::from_secs(20))
        .context("the scheduler sent no summary")?;
    print_figure("summary_bytes", 100, encoded_len(&message)?, "bytes");
    Ok(())
}

fn sample_demand(number: usize) -> Demand {
    Demand {
        customer: format!("customer-{number:04}").into(),
        waiting: 200,
        estimate: Tokens(2_000),
        waited_ms: 4_000,
    }
}

fn sample_started(seq: u64) -> Started {
    Started {
        grant: grant_id(seq),
        target: "target-0123".into(),
        customer: "customer-0123".into(),
        estimate: Tokens(2_000),
    }
}

fn sample_document(customers: usize, targets: usize) -> Document {
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
        domain: sample_pool().domain,
        address: ([127, 0, 0, 1], 1 + n as u16).into(),
        serves: [sample_pool().work].into(),
        slots: 40,
        checks_fencing: false,
        draining: false,
    };
    Document {
        customers: (0..customers)
            .map(|n| (sample_demand(n).customer, customer.clone()))
            .collect(),
        models: [(sample_pool().work, model)].into(),
        services: BTreeMap::new(),
        evacuations: [].into(),
        targets: (0..targets)
            .map(|n| (format!("target-{n:04}").into(), target(n)))
            .collect(),
    }
}

fn sample_scheduler(customers: usize) -> Scheduler {
    let members: BTreeMap<VmName, DomainName> = [
        (VmName::from("vm-1"), sample_pool().domain),
        (VmName::from("vm-2"), DomainName::from("region-2-domain-1")),
    ]
    .into();
    let topology = Arc::new(Topology::new(&sample_document(customers, 10), members));
    let opts = Options::default();
    Scheduler::new(
        "vm-1".into(),
        sample_pool(),
        SchedulerInstanceId(1),
        opts,
        topology,
        Duration::ZERO,
    )
}

/// Delivers reports from 33 routers. Each lists up to `customers_per_router` of the `customers`
/// customers as having waiting requests.
fn report_demand(
    scheduler: &mut Scheduler,
    now: Duration,
    customers: usize,
    customers_per_router: usize,
) {
    for router in 0..33 {
        let mut report = empty_report();
        report.sent_at = now;
        let first_customer = router * customers / 33;
        report.demand = (0..customers_per_router.min(customers))
            .map(|n| sample_demand((first_customer + n) % customers))
            .collect();
        let vm = VmName::from(format!("router-{router:03}"));
        scheduler.receive_report(now, &vm, &report);
    }
}

/// Measures the time to process a released slot and issue the next grant, with all customers
/// backlogged.
fn measure_decisions(clock: &dyn Clock, customers: usize, print_figure: PrintFigure) {
    let mut scheduler = sample_scheduler(customers);
    let mut now = Duration::from_secs(10);
    report_demand(&mut scheduler, now, customers, customers.div_ceil(33) + 1);
    let vm = VmName::from("router-000");
    let start = clock.monotonic();
    for seq in 1..=u64::from(TIMED_DECISIONS) {
        now += Duration::from_millis(1);
        let mut report = empty_report();
        (report.sent_at, report.full) = (now, false);
        report.released.push(Released {
            grant: GrantId {
                run: SchedulerInstanceId(1),
                seq,
            },
            served: Tokens(2_000),
            observed: Observed::default(),
        });
        std::hint::black_box(scheduler.receive_report(now, &vm, &report));
    }
    let us_per_grant =
        clock.monotonic().saturating_sub(start).as_secs_f64() * 1e6 / f64::from(TIMED_DECISIONS);
    print_figure("decision_us", customers, us_per_grant, "us a grant");
}

/// Measures the bytes and messages that each member sends per second and the share of a processor
/// core that it uses, in a group whose messages are delivered without delay.
fn measure_membership_traffic(
    clock: &dyn Clock,
    count: usize,
    print_figure: PrintFigure,
) -> anyhow::Result<()> {
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
    let new_node = |n: usize| Membership::new(member(n), seeds.clone(), opts, n as u64);
    let mut nodes: BTreeMap<VmName, Membership> =
        (0..count).map(|n| (member(n).vm, new_node(n))).collect();
    let (mut bytes_sent, mut messages_sent, mut processing_time) = (0, 0, Duration::ZERO);
    let names: Vec<VmName> = nodes.keys().cloned().collect();
    // 1,600 steps of 50 ms simulate 80 s: 60 s of warm-up and 20 s that are measured.
    for step in 0..1_600u32 {
        let now = Duration::from_millis(50) * step;
        let is_measured = now >= Duration::from_mins(1);
        let start = clock.monotonic();
        let mut in_flight = Vec::new();
        for vm in &names {
            let outputs = nodes
                .get_mut(vm)
                .map(|node| node.tick(now))
                .unwrap_or_default();
            in_flight.extend(outputs.into_iter().map(|o| (vm.clone(), o)));
        }
        while let Some((from, output)) = in_flight.pop() {
            let Output::Send(to, message) = output else {
                continue;
            };
            if is_measured {
                bytes_sent += postcard::to_stdvec(&message)?.len();
                messages_sent += 1;
            }
            let Some(node) = nodes.get_mut(&to.vm) else {
                continue;
            };
            let outputs = node.receive(now, &from, message);
            in_flight.extend(outputs.into_iter().map(|o| (to.vm.clone(), o)));
        }
        if is_measured {
            processing_time += clock.monotonic().saturating_sub(start);
        }
    }
    let node_seconds = count as f64 * 20.0;
    print_figure(
        "membership_bytes",
        count,
        f64::from(bytes_sent as u32) / node_seconds,
        "bytes/node/s",
    );
    print_figure(
        "membership_messages",
        count,
        f64::from(messages_sent) / node_seconds,
        "messages/node/s",
    );
    let core_percent = processing_time.as_secs_f64() / node_seconds * 100.0;
    print_figure("membership_core", count, core_percent, "% of a core/node");
    Ok(())
}

/// Measures the size of a configuration snapshot and of a change, and the time to apply a change.
fn measure_configuration(
    clock: &dyn Clock,
    customers: usize,
    print_figure: PrintFigure,
) -> anyhow::Result<()> {
    let mut snapshot = Snapshot {
        document: sample_document(customers, 1_100),
        ..Snapshot::default()
    };
    let text = serde_json::to_string(&snapshot)?;
    print_figure("snapshot_bytes", customers, text.len() as f64, "bytes");
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
    print_figure(
        "change_bytes",
        customers,
        serde_json::to_string(&change)?.len() as f64,
        "bytes",
    );
    let start = clock.monotonic();
    for _ in 0..100 {
        snapshot = change::apply(&snapshot, &change)?;
    }
    print_figure(
        "change_us",
        customers,
        clock.monotonic().saturating_sub(start).as_secs_f64() * 1e4,
        "us a change",
    );
    Ok(())
}

/// Measures the time to rebuild the topology, which assigns pools to schedulers, after a change of
/// the membership or the configuration.
fn measure_topology(clock: &dyn Clock, print_figure: PrintFigure) {
    let mut document = sample_document(2_200, 0);
    let models = (0..11).map(|n| ServiceName::from(format!("model-{n}")));
    let template = document.models[&sample_pool().work].clone();
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
    print_figure(
        "topology_us",
        330,
        clock.monotonic().saturating_sub(start).as_secs_f64() * 1e6 / 20.0,
        "us a change",
    );
}
