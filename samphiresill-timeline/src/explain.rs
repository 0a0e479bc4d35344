//! What became of a request, and why, in sentences.

use crate::line::Line;

/// What became of `request`, from the lines that [`crate::filter::Filter::Request`] selects.
#[must_use]
pub fn explain(request: &str, lines: &[&Line]) -> String {
    let is_own = |l: &&&Line| l.value("request").as_deref() == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).copied().collect();
    let Some(last) = own.last() else {
        return format!(
            "No line names request {request}. Lines are bounded: look for \"lines suppressed\".\n"
        );
    };
    let mut sentences = vec![format!(
        "Request {request} was handled by {}.",
        last.process
    )];
    sentences.extend(own.iter().map(|l| sentence(l)));
    let others = lines.iter().filter(|l| !is_own(l));
    let context: Vec<String> = others.filter_map(|l| context_line(l, last)).collect();
    if !context.is_empty() {
        sentences.push("Around that time:".to_owned());
        sentences.extend(context);
    }
    sentences.join("\n") + "\n"
}

fn sentence(line: &Line) -> String {
    let text = |name: &str| line.value(name).unwrap_or_else(|| "?".to_owned());
    let number = |name: &str| {
        line.number(name)
            .map_or_else(|| "?".to_owned(), |n| format!("{n:.0}"))
    };
    match line.text.as_str() {
        "refused" => refused(line),
        "not admitted" => format!(
            "It was not admitted: {} (status {}), under revision {} of the configuration.",
            text("reason"),
            number("status"),
            number("revision")
        ),
        "refused, processor overloaded" => {
            "It was refused, because this router's processor could not relay another stream."
                .to_owned()
        }
        "attempt failed" => format!(
            "An attempt at target {} failed ({}): {}. It may have run {} times so far; next: {}.",
            text("target"),
            text("point"),
            text("cause"),
            number("runs"),
            text("verdict")
        ),
        "not served" => format!(
            "After {} ms the caller was told status {}: {}.",
            number("ms"),
            number("status"),
            text("reason")
        ),
        "answered" => format!(
            "Target {} answered with status {} after {} ms.",
            text("target"),
            number("status"),
            number("ms")
        ),
        "stream ended" => stream_ended(line),
        other => format!("{other}: {}", line.all_values()),
    }
}

fn refused(line: &Line) -> String {
    let number = |name: &str| line.number(name).unwrap_or(0.0);
    let reason = line.value("reason").unwrap_or_default();
    let why = match reason.as_str() {
        "no target" => "no usable target of its service was known".to_owned(),
        "no room" => "all slots or all memory of the engines were taken".to_owned(),
        _ => format!(
            "the best engine had {:.0} ms of prompts ahead and made a token every {:.1} ms, where \
             {:.1} ms is the target",
            number("wait_ms"),
            number("token_interval_ms"),
            number("interval_target_ms")
        ),
    };
    let share = number("share_ratio");
    let customer = match reason.as_str() {
        "above share" => format!(
            " Its customer had {share:.2} of the fair level, so that tighter bounds applied to it."
        ),
        "wait too long" => format!(" Its customer was at {share:.2} of the fair level."),
        _ => String::new(),
    };
    format!(
        "It was refused after {:.0} ms in the queue ({reason}): {why}.{customer} It was sent to no \
         target. The caller was told to come back after {:.0} ms.",
        number("queued_ms"),
        number("retry_after_ms")
    )
}

fn stream_ended(line: &Line) -> String {
    let number = |name: &str| line.number(name).unwrap_or(0.0);
    let end = line.value("end").unwrap_or_default();
    let how = if end == "complete" {
        "ended normally".to_owned()
    } else {
        format!("was broken off: {end}")
    };
    format!(
        "Its stream from target {} {how}, after {:.0} events and {:.0} ms; the first came after \
         {:.0} ms, where {:.0} ms were expected.",
        line.value("target").unwrap_or_default(),
        number("events"),
        number("ms"),
        number("first_ms"),
        number("expected_ms")
    )
}

/// A related line as a sentence, with its time relative to the end of the request.
fn context_line(line: &Line, last: &Line) -> Option<String> {
    let seconds = (line.time - last.time).as_seconds_f64();
    let when = if seconds < 0.0 {
        format!("{:.1} s before its end", -seconds)
    } else {
        format!("{seconds:.1} s after its end")
    };
    let subject = line.value("target");
    let what = match line.text.as_str() {
        "target ejected" => format!("target {} was ejected", subject?),
        "target readmitted" => format!("target {} was used again", subject?),
        "target removed" => format!("target {} left the directory", subject?),
        "target listed" => format!("target {} was listed as {}", subject?, line.value("state")?),
        "configuration in force" => {
            format!(
                "revision {} of the configuration came into force",
                line.value("to")?
            )
        }
        "store unavailable" => "the store did not answer".to_owned(),
        "stopping" => "the router began to stop".to_owned(),
        "started" => "the router was started".to_owned(),
        "processor overloaded, out of the balancer's rotation" => {
            "the router's processor was overloaded".to_owned()
        }
        _ => return None,
    };
    Some(format!("- {when}, seen by {}: {what}.", line.process))
}
