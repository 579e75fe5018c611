"""Decisions in words that an operator can act on."""

import dataclasses

from kumquatridge.admission import levels
from kumquatridge.calls import refusals
from kumquatridge.telemetry import decisions


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """One decision about one call.

    `at_ms` is the wall clock's time since the epoch; `reason` is the code
    used by counters and headers; `text` says what was decided and why.
    """

    at_ms: int
    instance: str
    root_id: str
    service: str
    route: str
    reason: str
    text: str


def explain(instance: str, decision: decisions.Decision) -> Explanation:
    """Puts a decision of an instance into words."""
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
    """Says why a call was not run."""
    match refusal:
        case refusals.Overloaded(level, limit, retry_after_ms):
            return (
                f"only calls {_describe_level(level)} are admitted, with at "
                f"most {limit} calls at once; retry after {retry_after_ms} ms"
            )
        case refusals.QueueTimeout(waited_ms, _):
            return f"it waited {waited_ms} ms in the queue"
        case refusals.DeadlineExceeded(remaining_ms):
            return f"{remaining_ms} ms were left before its deadline"
        case refusals.Draining(instance):
            return f"{instance} is leaving"
        case refusals.NoInstance(service, _):
            return f"no instance of {service} is known that may take it"
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
            return f"its body has {length_bytes} bytes of {limit_bytes} allowed"
        case refusals.RetriesExhausted(last_reason):
            return f"no retry is left after {last_reason}"
        case refusals.ParentEnded():
            return "the inbound call that it was to serve has ended"
        case refusals.KeyReused():
            return "its request key was used before with another request"
        case refusals.KeyMemoryFull(retry_after_ms):
            return (
                "the home of its request key remembers as many keys as it "
                f"may; retry after {retry_after_ms} ms"
            )
        case refusals.NotHome(home, detail):
            return f"not the home of its request key, but {home!r}: {detail}"
        case refusals.WrongCredential(detail):
            return f"its sender did not prove to be a member: {detail}"
        case refusals.InvalidRequest(detail):
            return detail
        case refusals.NotReady():
            return "the daemon has just started and knows no routes yet"
        case refusals.GateClosed(service, level, score, age_ms, _):
            return (
                f"its calls lead to {service}, which admits roots from "
                f"{level} on, as told {age_ms} ms ago; this one has {score}"
            )
        case refusals.NoRoute(host):
            return f"no route leads from its path at {host!r} to a service"
        case refusals.WorkerRefused(status, _):
            return f"the worker answered that it did not run it: {status}"


def _describe_level(rank: int) -> str:
    """Says which calls have at least a rank."""
    level = levels.AdmissionLevel.from_rank(rank)
    return (
        f"of importance {level.importance.name.lower()}, depth class "
        f"{level.depth_class} and root hash up to {level.threshold}, and above,"
    )
