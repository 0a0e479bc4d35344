//! Compares the fairness of the production scheduler with baseline policies and an ideal queue, in
//! simulated time.

mod case;
mod deployment;
mod measure;
mod policy;
mod world;

use std::time::Duration;

use anyhow::Context;
use samphiresill_sched::options::Options;
use samphiresill_standins::options;
use serde::Serialize;

use case::{CASE_NAMES, Case, RUN_DURATION};
use deployment::{Deployment, MAX_COST_TOKENS};
use policy::Policy;
use policy::fixed::FixedPartition;
use policy::granted::GrantPolicy;
use policy::ideal::{ChargeBasis, FairQueue};
use world::Simulation;

/// Report intervals for which the production scheduler is run, in milliseconds.
const REPORT_INTERVALS_MS: [u64; 3] = [250, 1_000, 4_000];

/// `Line` is the result of one run, printed as one line.
#[derive(Debug, Serialize)]
struct Line {
    policy: String,
    deployment: &'static str,
    case: &'static str,
    seed: u64,
    gap: f64,
    gap_bound: f64,
    gap_ratio_to_ideal: f64,
    idle_share: f64,
    quick_wait_p50_ms: Option<f64>,
    quick_wait_p95_ms: Option<f64>,
    control_bytes_per_node_s: f64,
    control_messages_per_node_s: f64,
}

/// Runs the `fairness` command.
pub fn command(args: &[String]) -> anyhow::Result<()> {
    let mut spec = options::with_help();
    spec.optopt("", "deployment", "brandvold, amren or all (all)", "NAME");
    spec.optopt(
        "",
        "case",
        &format!("{} or all (all)", CASE_NAMES.join(", ")),
        "NAME",
    );
    spec.optopt(
        "",
        "policy",
        "run only policies whose names start with PREFIX",
        "PREFIX",
    );
    spec.optopt("", "seed", "first seed (1)", "N");
    spec.optopt("", "seeds", "number of seeds (1)", "N");
    spec.optflag("", "json", "print one JSON object per line");
    let Some(matches) = options::parse_args(
        &spec,
        args,
        "Usage: samphiresill-experiment fairness [OPTIONS]",
    )?
    else {
        return Ok(());
    };
    let seed: u64 = matches.opt_get_default("seed", 1).context("--seed")?;
    let seeds: u64 = matches.opt_get_default("seeds", 1).context("--seeds")?;
    let is_json = matches.opt_present("json");
    let prefix = matches.opt_str("policy").unwrap_or_default();
    if !is_json {
        print_header();
    }
    for deployment in deployments(matches.opt_str("deployment").as_deref())? {
        for case in cases(matches.opt_str("case").as_deref(), &deployment)? {
            for seed in seed..seed + seeds {
                run_case(&deployment, &case, seed, &prefix, is_json)?;
            }
        }
    }
    Ok(())
}

fn deployments(name: Option<&str>) -> anyhow::Result<Vec<Deployment>> {
    let names = match name {
        None | Some("all") => vec!["brandvold", "amren"],
        Some(name) => vec![name],
    };
    let find = |n: &str| {
        Deployment::by_name(n).with_context(|| format!("unknown deployment {n:?}; see --help"))
    };
    names.into_iter().map(find).collect()
}

fn cases(name: Option<&str>, deployment: &Deployment) -> anyhow::Result<Vec<Case>> {
    let names = match name {
        None | Some("all") => CASE_NAMES.to_vec(),
        Some(name) => vec![name],
    };
    let find = |n: &str| {
        Case::by_name(n, deployment).with_context(|| format!("unknown case {n:?}; see --help"))
    };
    names.into_iter().map(find).collect()
}

fn run_case(
    deployment: &Deployment,
    case: &Case,
    seed: u64,
    prefix: &str,
    is_json: bool,
) -> anyhow::Result<()> {
    let ideal = run(
        deployment,
        case,
        Box::new(FairQueue::new(deployment, ChargeBasis::Progress)),
        seed,
    );
    let ideal_gap = ideal.gap;
    let mut policies: Vec<Box<dyn Policy>> =
        vec![Box::new(FairQueue::new(deployment, ChargeBasis::Estimate))];
    for interval in REPORT_INTERVALS_MS {
        let opts = Options::with_interval(Duration::from_millis(interval));
        policies.push(Box::new(GrantPolicy::new(
            deployment,
            opts,
            case.message_fault_rate,
            seed,
        )));
    }
    policies.push(Box::new(FixedPartition::new(deployment, true)));
    policies.push(Box::new(FixedPartition::new(deployment, false)));
    let selected = policies
        .into_iter()
        .filter(|p| p.name().starts_with(prefix));
    if "ideal".starts_with(prefix) {
        print_line(&ideal, is_json)?;
    }
    for policy in selected {
        let mut line = run(deployment, case, policy, seed);
        line.gap_ratio_to_ideal = line.gap / ideal_gap;
        print_line(&line, is_json)?;
    }
    Ok(())
}

fn run(deployment: &Deployment, case: &Case, policy: Box<dyn Policy + '_>, seed: u64) -> Line {
    let name = policy.name();
    let (mut metrics, (bytes, messages)) = Simulation::new(deployment, case, policy, seed).run();
    let node_seconds = deployment.routers.len() as f64 * RUN_DURATION.as_secs_f64();
    Line {
        gap_bound: gap_bound(deployment, case, &name),
        policy: name,
        deployment: deployment.name,
        case: case.name,
        seed,
        gap: metrics.gap,
        gap_ratio_to_ideal: 1.0,
        idle_share: metrics.idle_share(),
        quick_wait_p50_ms: metrics.interactive_wait_ms(0.5),
        quick_wait_p95_ms: metrics.interactive_wait_ms(0.95),
        control_bytes_per_node_s: bytes as f64 / node_seconds,
        control_messages_per_node_s: messages as f64 / node_seconds,
    }
}

/// Returns the bound on the gap that the design implies, in tokens per unit of share.
///
/// An ideal queue is bounded by twice the cost of the largest request. The production scheduler
/// adds the service that the fleet can give before a report takes effect everywhere.
fn gap_bound(deployment: &Deployment, case: &Case, policy: &str) -> f64 {
    let smallest_share = deployment
        .shares
        .iter()
        .map(|(_, s)| s.as_f64())
        .fold(f64::MAX, f64::min);
    let ideal = 2.0 * MAX_COST_TOKENS as f64 / smallest_share;
    let interval = REPORT_INTERVALS_MS
        .iter()
        .find(|i| policy == format!("granted-{i}ms"));
    let Some(interval) = interval else {
        return ideal;
    };
    let max_rate_factor = case.rate_factors.iter().copied().fold(0.0, f64::max);
    // Service is accounted everywhere only after a report and then a summary have been sent and
    // delivered.
    let delay_s = 2.0 * *interval as f64 / 1_000.0 + 0.01;
    ideal + deployment.total_rate() * max_rate_factor * delay_s / smallest_share
}

fn print_header() {
    println!(
        "{:10} {:9} {:4} {:16} {:>8} {:>8} {:>6} {:>7} {:>8} {:>8} {:>8} {:>7}",
        "deployment",
        "case",
        "seed",
        "policy",
        "gap",
        "bound",
        "ratio",
        "idle %",
        "quick50",
        "quick95",
        "B/node/s",
        "msg/n/s"
    );
}

fn print_line(line: &Line, is_json: bool) -> anyhow::Result<()> {
    if is_json {
        println!("{}", serde_json::to_string(line)?);
        return Ok(());
    }
    let wait = |w: Option<f64>| w.map_or_else(|| "-".into(), |w| format!("{w:.0}"));
    println!(
        "{:10} {:9} {:4} {:16} {:8.0} {:8.0} {:6.2} {:7.3} {:>8} {:>8} {:8.0} {:7.1}",
        line.deployment,
        line.case,
        line.seed,
        line.policy,
        line.gap,
        line.gap_bound,
        line.gap_ratio_to_ideal,
        line.idle_share * 100.0,
        wait(line.quick_wait_p50_ms),
        wait(line.quick_wait_p95_ms),
        line.control_bytes_per_node_s,
        line.control_messages_per_node_s,
    );
    Ok(())
}
