//! Explanation of a request's outcome, in sentences.

use crate::record::Record;

/// Explains the outcome of `request` and its cause. `records` are those that
/// [`crate::filter::Filter::Request`] selects.
#[must_use]
pub fn explain(request: &str, records: &[&Record]) -> String {
    let is_own = |r: &&&Record| r.field("request").as_deref() == Some(request);
    let own: Vec<&Record> = records.iter().filter(is_own).copied().collect();
    let Some(last) = own.last() else {
        return format!(
            "No log record names request {request}. Logging is rate-limited: look for \
             \"lines suppressed\".\n"
        );
    };
    let mut sentences = vec![format!(
        "Request {request} was handled by {}.",
        last.process
    )];
    sentences.extend(own.iter().map(|r| describe(r)));
    let others = records.iter().filter(|r| !is_own(r));
    let context: Vec<String> = others.filter_map(|r| describe_context(r, last)).collect();
    if !context.is_empty() {
        sentences.push("Related events:".to_owned());
        sentences.extend(context);
    }
    sentences.join("\n") + "\n"
}

fn describe(record: &Record) -> String {
    let text = |key: &str| record.field(key).unwrap_or_else(|| "?".to_owned());
    let number = |key: &str| {
        record
            .numeric_field(key)
            .map_or_else(|| "?".to_owned(), |n| format!("{n:.0}"))
    };
    match record.message.as_str() {
        "refused" => describe_refusal(record),
        "not admitted" => format!(
            "It was not admitted: {} (status {}), under configuration revision {}.",
            text("reason"),
            number("status"),
            number("revision")
        ),
        "refused, processor overloaded" => {
            "It was refused because the CPU of this router was too loaded to relay another stream."
                .to_owned()
        }
        "attempt failed" => format!(
            "An attempt on target {} failed ({}): {}. The request may have been executed {} times \
             so far; next step: {}.",
            text("target"),
            text("point"),
            text("cause"),
            number("runs"),
            text("verdict")
        ),
        "not served" => format!(
            "After {} ms it failed, and status {} was returned to the caller: {}.",
            number("ms"),
            number("status"),
            text("reason")
        ),
        "answered" => format!(
            "Target {} responded with status {} after {} ms.",
            text("target"),
            number("status"),
            number("ms")
        ),
        "stream ended" => describe_stream_end(record),
        other => format!("{other}: {}", record.format_fields()),
    }
}

fn describe_refusal(record: &Record) -> String {
    let number = |key: &str| record.numeric_field(key).unwrap_or(0.0);
    let reason = record.field("reason").unwrap_or_default();
    let cause = match reason.as_str() {
        "no target" => "no usable target was known for its service".to_owned(),
        "quarantined prompt part" => {
            "a part of its prompt has crashed engines, see \"prompt part quarantined\"".to_owned()
        }
        "no room" => "all slots or all memory of the engines were in use".to_owned(),
        _ => format!(
            "the best engine had {:.0} ms of prompts queued and a token interval of {:.1} ms, \
             against a desired interval of {:.1} ms",
            number("wait_ms"),
            number("token_interval_ms"),
            number("interval_target_ms")
        ),
    };
    let ratio = number("share_ratio");
    let customer = match reason.as_str() {
        "above share" => format!(
            " Its customer's recent service was {ratio:.2} times the max-min fair level, so \
             tighter limits applied."
        ),
        "wait too long" => {
            format!(" Its customer's recent service was {ratio:.2} times the max-min fair level.")
        }
        _ => String::new(),
    };
    format!(
        "It was refused after {:.0} ms in the queue ({reason}): {cause}.{customer} It was sent to \
         no target. The response set a retry delay of {:.0} ms.",
        number("queued_ms"),
        number("retry_after_ms")
    )
}

fn describe_stream_end(record: &Record) -> String {
    let number = |key: &str| record.numeric_field(key).unwrap_or(0.0);
    let end = record.field("end").unwrap_or_default();
    let outcome = if end == "complete" {
        "completed".to_owned()
    } else {
        format!("was interrupted: {end}")
    };
    let framing = match record.field("framing").as_deref() {
        Some("close") => " The target marked its end only by closing the connection.",
        _ => "",
    };
    format!(
        "Its stream from target {} {outcome}, after {:.0} events and {:.0} ms; the first event \
         arrived after {:.0} ms, with {:.0} ms expected.{framing}",
        record.field("target").unwrap_or_default(),
        number("events"),
        number("ms"),
        number("first_ms"),
        number("expected_ms")
    )
}

/// Describes a related event, with its time relative to the last record of the request. Returns
/// `None` for messages that do not help to explain a request.
fn describe_context(record: &Record, last: &Record) -> Option<String> {
    let seconds = (record.time - last.time).as_seconds_f64();
    let offset = if seconds < 0.0 {
        format!("{:.1} s before the end of the request", -seconds)
    } else {
        format!("{seconds:.1} s after the end of the request")
    };
    let target = record.field("target");
    let event = match record.message.as_str() {
        "target ejected" => format!("target {} was ejected", target?),
        "target readmitted" => format!("target {} was readmitted", target?),
        "target removed" => format!("target {} was removed from the directory", target?),
        "target listed" => format!(
            "target {} was listed as {}",
            target?,
            record.field("state")?
        ),
        "configuration in force" => {
            format!(
                "configuration revision {} came into force",
                record.field("to")?
            )
        }
        "target crashed" => format!("target {} crashed", target?),
        "failure domain of the target is unreachable" => {
            format!(
                "no target in the failure domain of {} accepted connections",
                target?
            )
        }
        "store unavailable" => "the store did not respond".to_owned(),
        "stopping" => "the router began to shut down".to_owned(),
        "started" => "the router started".to_owned(),
        "processor overloaded, out of the balancer's rotation" => {
            "the router's CPU was overloaded".to_owned()
        }
        _ => return None,
    };
    Some(format!(
        "- {offset}, logged by {}: {event}.",
        record.process
    ))
}
