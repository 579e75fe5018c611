"""Explanations of decisions for operators."""

import dataclasses

from kumquatridge.admission import levels
from kumquatridge.calls import refusals
from kumquatridge.telemetry import decisions


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """One decision about one call, made by the daemon of `instance`.

    `at_ms` is Unix time in milliseconds; `reason` is the code that counters
    and headers use; `text` describes the decision and its reason. `service` and
    `route` are those of the call.
    """

    at_ms: int
    instance: str
    root_id: str
    service: str
    route: str
    reason: str
    text: str


def explain(instance: str, decision: decisions.Decision) -> Explanation:
    """Returns the explanation of a decision that an instance made."""
    match decision:
        case decisions.RefusalDecision(refusal=refusal):
            reason = refusal.code
            text = (
                f"refused a call of importance {decision.importance}, "
                f"{decision.depth} calls below its root: "
                f"{describe_refusal(refusal)}"
            )
        case decisions.RetryDecision(reason=reason):
            text = f"tried another instance because of {reason}"
    return Explanation(
        decision.at_ms,
        instance,
        decision.root_id,
        decision.service,
        decision.route,
        reason,
        text,
    )


def describe_refusal(refusal: refusals.Refusal) -> str:
    """Returns the reason why a call was not run, as part of a sentence."""
    match refusal:
        case refusals.Overloaded(level, limit, retry_after_ms):
            return (
                f"only calls {_describe_level(level)} are admitted, "
                f"at most {limit} in progress; retry after {retry_after_ms} ms"
            )
        case refusals.QueueTimeout(waited_ms, _):
            return f"it timed out after {waited_ms} ms in the admission queue"
        case refusals.DeadlineExceeded(remaining_ms):
            return f"{remaining_ms} ms remained until its deadline"
        case refusals.Draining(instance):
            return f"{instance} is leaving"
        case refusals.NoInstance(service, _):
            return f"no instance of {service} is available for it"
        case refusals.UnknownService(service):
            return f"the settings tree has no service {service}"
        case refusals.Unreachable(instance):
            return f"no connection to {instance} could be opened"
        case refusals.Quarantined(fingerprint, retry_after_ms):
            return (
                f"calls with fingerprint {fingerprint} crashed workers; "
                f"retry after {retry_after_ms} ms"
            )
        case refusals.BodyTooLarge(length_bytes, limit_bytes):
            return f"its body has {length_bytes} bytes, limit {limit_bytes}"
        case refusals.RetriesExhausted(last_reason):
            return (
                f"retries exhausted; the last attempt failed with {last_reason}"
            )
        case refusals.ParentEnded():
            return "the inbound call that it belongs to has ended"
        case refusals.KeyReused():
            return "its idempotency key was used before for another request"
        case refusals.KeyMemoryFull(retry_after_ms):
            return (
                "the key table at the home of its idempotency key is full; "
                f"retry after {retry_after_ms} ms"
            )
        case refusals.NotHome(home, detail):
            return (
                "this daemon is not the home of its idempotency key, home "
                f"{home!r}: {detail}"
            )
        case refusals.WrongCredential(detail):
            return f"its sender failed authentication as a member: {detail}"
        case refusals.InvalidRequest(detail):
            return detail
        case refusals.MemoryFull(held_bytes, _):
            return (
                f"it would take {held_bytes} bytes, and the requests in "
                "progress leave no memory for it"
            )
        case refusals.NotReady():
            return "the daemon is starting and has no routes yet"
        case refusals.GateClosed(service, level, score, age_ms, _):
            return (
                f"its calls lead to {service}, whose gate admits roots with a "
                f"score of at least {level}, as reported {age_ms} ms ago; "
                f"this root has {score}"
            )
        case refusals.NoRoute(host):
            return f"no route matches its path at host {host!r}"
        case refusals.WorkerRefused(status, _):
            return (
                f"the worker reported that it did not run it: status {status}"
            )


def _describe_level(rank: int) -> str:
    """Returns which calls are admitted, as part of a sentence.

    `rank` is the lowest admitted rank; see `admission.levels`.
    """
    level = levels.AdmissionLevel.from_rank(rank)
    return (
        f"of importance {level.importance.name.lower()}, depth class "
        f"{level.depth_class} and root hash up to {level.threshold}, and above,"
    )
