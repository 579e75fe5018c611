"""Messages between daemons of different versions.

Fields are added at the end of a message: an older daemon ignores them, and a
newer one takes the default where an older daemon sent none.
"""

from collections.abc import Callable
import math
from typing import Any

import msgspec
import pytest
from returns import result

from kumquatridge.calls import body as call_body
from kumquatridge.encoding import call_codec
from kumquatridge.membership import messages
from kumquatridge.peers import messages as control_codec
from tests import calls_factory


def drop_last(fields: list[Any]) -> list[Any]:
    return fields[:-1]


def drop_two(fields: list[Any]) -> list[Any]:
    return fields[:-2]


def add_field(fields: list[Any]) -> list[Any]:
    return [*fields, {"later": 1}]


def change(data: bytes, edit: Callable[[list[Any]], list[Any]]) -> bytes:
    return msgspec.msgpack.encode(edit(msgspec.msgpack.decode(data)))


@pytest.mark.looptime
@pytest.mark.parametrize(
    "edit",
    [
        pytest.param(drop_last, id="from an older daemon"),
        pytest.param(add_field, id="from a newer daemon"),
    ],
)
async def test_call_of_another_version_is_decoded(
    edit: Callable[[list[Any]], list[Any]],
) -> None:
    call = calls_factory.make_call()
    data = change(call_codec.encode_call(call, "n1"), edit)
    match call_codec.decode_call(data, call_body.EMPTY, 1 << 20):
        case result.Success(received):
            assert received.sender == "n1"
            assert received.call.attempt == 1
            assert received.call.chain.root_id == call.chain.root_id
        case failure:
            pytest.fail(str(failure))


@pytest.mark.parametrize(
    ("edit", "age_ms", "doubt"),
    [
        pytest.param(drop_two, math.inf, "", id="from a daemon without signs"),
        pytest.param(drop_last, 20.0, "", id="from a daemon without doubts"),
        pytest.param(add_field, 20.0, "n2/1/1", id="from a newer daemon"),
    ],
)
def test_heartbeat_of_another_version_is_decoded(
    edit: Callable[[list[Any]], list[Any]], age_ms: float, doubt: str
) -> None:
    heartbeat = messages.Heartbeat("n1", (), (), True, 20.0, "n2/1/1")
    data = change(control_codec.encode(heartbeat), edit)
    decoded = control_codec.decode_request(data)
    assert decoded == messages.Heartbeat("n1", (), (), True, age_ms, doubt)
