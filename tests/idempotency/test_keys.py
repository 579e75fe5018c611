"""Keys, scopes and the memory of a home."""

import asyncio
import dataclasses

import pytest

from kumquatridge.benchmarks import key_calls
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import settings as key_settings

HOME = keys.HomeId("ordering.1", "boot")
SETTINGS = key_settings.KeySettings(
    retention_ms=1000, max_keys=2, max_answer_bytes=10, max_kept_bytes=15
)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("secret", "change", "kind"),
    [
        pytest.param("secret", ("", ""), keys.IssuedKey, id="issued"),
        pytest.param("other", ("", ""), keys.ForgedKey, id="other secret"),
        pytest.param("secret", (".boot.", ".b2."), keys.ForgedKey, id="home"),
        pytest.param("secret", ("kq1.", "kq2."), keys.BareKey, id="bare"),
    ],
)
async def test_keys_are_read(
    secret: str, change: tuple[str, str], kind: type[keys.Key]
) -> None:
    text = keys.KeyIssuer(HOME, "secret").issue().replace(*change)
    read = keys.KeyIssuer(HOME, secret).read(text)
    assert isinstance(read, kind)
    match read:
        case keys.IssuedKey(home, _):
            assert home == HOME
        case _:
            pass


@pytest.mark.looptime
@pytest.mark.parametrize(
    "change",
    [
        {"caller": "other"},
        {"service": "other"},
        {"idempotency_key": "other"},
        {"headers": (("Authorization", "other"),)},
    ],
    ids=str,
)
async def test_scopes_differ(change: dict[str, object]) -> None:
    call = key_calls.make_call("key", "contact", None)
    other = dataclasses.replace(call, **change)  # type: ignore[arg-type]
    assert keys.make_scope(call) != keys.make_scope(other)


@pytest.mark.looptime
async def test_other_body_is_refused() -> None:
    memory = key_memory.KeyMemory(SETTINGS)
    assert isinstance(memory.claim("k", "a", may_run=True), key_memory.Fresh)
    assert isinstance(memory.claim("k", "a", may_run=True), key_memory.Known)
    assert memory.claim("k", "b", may_run=True) == key_memory.Reused()


@pytest.mark.looptime
async def test_memory_is_bounded_and_never_forgets_early() -> None:
    memory = key_memory.KeyMemory(SETTINGS)
    for scope in ("a", "b"):
        match memory.claim(scope, "", may_run=True):
            case key_memory.Fresh(entry):
                memory.finish(entry, answer(8))
            case other:
                pytest.fail(str(other))
    assert memory.kept_bytes == 8
    assert memory.claim("c", "", may_run=True) == key_memory.Full(1000)
    dropped = memory.claim("a", "", may_run=True)
    assert isinstance(dropped, key_memory.Known)
    assert await dropped.entry.finished == outcomes.Unknown(
        key_memory.ANSWER_DROPPED
    )
    await asyncio.sleep(1.1)
    assert isinstance(memory.claim("c", "", may_run=True), key_memory.Fresh)
    assert len(memory) == 1


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("outcome", "may_run_again"),
    [
        pytest.param(
            outcomes.NotRun(refusals.NoInstance("s", 0)), True, id="not run"
        ),
        pytest.param(outcomes.Unknown("lost"), False, id="unknown"),
        pytest.param(outcomes.Failed("broke"), False, id="failed"),
        pytest.param(
            outcomes.Completed(200, (), call_body.BufferedBody(b"x" * 99)),
            False,
            id="answer too large",
        ),
    ],
)
async def test_what_may_run_again(
    outcome: outcomes.Outcome, may_run_again: bool
) -> None:
    memory = key_memory.KeyMemory(SETTINGS)
    claim = memory.claim("a", "", may_run=True)
    assert isinstance(claim, key_memory.Fresh)
    memory.finish(claim.entry, outcome)
    again = memory.claim("a", "", may_run=True)
    assert isinstance(again, key_memory.Fresh) == may_run_again


def answer(length_bytes: int) -> outcomes.Completed:
    return outcomes.Completed(
        200, (), call_body.BufferedBody(b"x" * length_bytes)
    )
