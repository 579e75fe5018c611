"""Parsing of keys, their digests, and the table of keys of a home."""

import asyncio
import dataclasses

import pytest

from kumquatridge.benchmarks import key_calls
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.idempotency import key_table
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings

HOME = keys.HomeId("ordering.1", "boot")
# Two answers of 8 bytes are each within the limit, but not both together.
SETTINGS = key_settings.KeySettings(
    retention_ms=1000, max_keys=2, max_answer_bytes=10, max_stored_bytes=15
)


# `change` is a part of the issued key and the text that replaces it.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("secret", "change", "key_type"),
    [
        pytest.param("secret", ("", ""), keys.IssuedKey, id="issued key"),
        pytest.param("other", ("", ""), keys.ForgedKey, id="other secret"),
        pytest.param(
            "secret", (".boot.", ".b2."), keys.ForgedKey, id="changed home"
        ),
        pytest.param("secret", ("kq1.", "kq2."), keys.BareKey, id="bare key"),
    ],
)
async def test_keys_are_parsed_and_verified(
    secret: str, change: tuple[str, str], key_type: type[keys.Key]
) -> None:
    text = keys.KeyIssuer(HOME, "secret").issue().replace(*change)
    key = keys.KeyIssuer(HOME, secret).parse(text)
    assert isinstance(key, key_type)
    match key:
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
async def test_key_digest_covers_caller_service_key_and_credentials(
    change: dict[str, object],
) -> None:
    call = key_calls.make_call("key", "contact", None)
    changed_call = dataclasses.replace(call, **change)  # type: ignore[arg-type]
    assert keys.make_key_digest(call) != keys.make_key_digest(changed_call)


@pytest.mark.looptime
async def test_known_key_with_another_request_is_refused() -> None:
    table = key_table.KeyTable(SETTINGS)
    # "a" and "b" are digests of two requests with the same key.
    assert isinstance(table.claim("k", "a", may_run=True), key_table.Fresh)
    assert isinstance(table.claim("k", "a", may_run=True), key_table.Known)
    assert table.claim("k", "b", may_run=True) == key_table.Reused()


@pytest.mark.looptime
async def test_limits_drop_answers_early_but_keys_only_when_expired() -> None:
    table = key_table.KeyTable(SETTINGS)
    # "a", "b" and "c" are digests of keys; the digest of the request is empty.
    for key_digest in ("a", "b"):
        match table.claim(key_digest, "", may_run=True):
            case key_table.Fresh(entry):
                table.finish(entry, make_answer(8))
            case unexpected:
                pytest.fail(str(unexpected))
    # The answer to "a" was dropped for that to "b", but both keys are kept, so
    # that a third key must wait for the retention time of 1000 ms.
    assert table.stored_bytes == 8
    assert table.claim("c", "", may_run=True) == key_table.Full(1000)
    claim_of_dropped_answer = table.claim("a", "", may_run=True)
    assert isinstance(claim_of_dropped_answer, key_table.Known)
    assert (
        await claim_of_dropped_answer.entry.final_outcome
        == outcomes.Unknown(key_table.ANSWER_DROPPED)
    )
    # Longer than the retention time of 1 s, after which both keys expire.
    await asyncio.sleep(1.1)
    assert isinstance(table.claim("c", "", may_run=True), key_table.Fresh)
    assert len(table) == 1


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
            # 99 bytes, more than the limit of 10.
            outcomes.Completed(200, (), call_body.BufferedBody(b"x" * 99)),
            False,
            id="answer too large",
        ),
    ],
)
async def test_only_a_call_that_did_not_run_may_run_again(
    outcome: outcomes.Outcome, may_run_again: bool
) -> None:
    table = key_table.KeyTable(SETTINGS)
    claim = table.claim("a", "", may_run=True)
    assert isinstance(claim, key_table.Fresh)
    table.finish(claim.entry, outcome)
    second_claim = table.claim("a", "", may_run=True)
    assert isinstance(second_claim, key_table.Fresh) == may_run_again


def make_answer(length_bytes: int) -> outcomes.Completed:
    return outcomes.Completed(
        200, (), call_body.BufferedBody(b"x" * length_bytes)
    )
