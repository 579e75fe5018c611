"""Each broken promise is found in a history that contains it."""

import dataclasses

import pytest

from tests.platform import faulty_worker
from tests.soak import promises

Run = faulty_worker.Run
Sent = promises.Sent
BUY = Sent("r1", "/buy/", "0.1", 1.0, 200, "w/r1", b"w/buy/r1")
MOVED = Sent("m1", "/moved/", "0.1", 9.0, 200, "w/m1", b"w/moved/m1")
RAN = Run("r1", "w", "shop", 1.1)
# Served after the last disruption.
CALM = Sent("c1", "/shop/", "0.1", 99.0, 200, "w/c1", b"w/shop/c1")
HISTORY = promises.History((CALM,), (), (), 5.0, 10.0, is_planned=False)


def make_history(
    sent: tuple[Sent, ...], runs: tuple[Run, ...], **fields: object
) -> promises.History:
    return dataclasses.replace(
        HISTORY,
        sent=(*HISTORY.sent, *sent),
        runs=runs,
        **fields,  # type: ignore[arg-type]
    )


@pytest.mark.parametrize(
    ("history", "rules"),
    [
        pytest.param(make_history((BUY,), (RAN,)), [], id="kept"),
        pytest.param(
            make_history((BUY,), (RAN, RAN)), ["TWICE"], id="ran twice"
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(BUY, path="/shop/", status=502),),
                (RAN, RAN),
            ),
            [],
            id="idempotent, ran twice",
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(BUY, status=503, signature=""),), (RAN,)
            ),
            ["REFUSED"],
            id="refused and ran",
        ),
        pytest.param(
            make_history((dataclasses.replace(BUY, signature="w/r2"),), (RAN,)),
            ["MIXED"],
            id="answer to another request",
        ),
        pytest.param(
            make_history((dataclasses.replace(BUY, body=b"w/b"),), (RAN,)),
            ["MIXED"],
            id="body cut off",
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(BUY, status=0),), (RAN,), is_planned=True
            ),
            ["LOST"],
            id="no answer in planned work",
        ),
        pytest.param(
            make_history((dataclasses.replace(BUY, status=0),), (RAN,)),
            [],
            id="no answer beside a kill",
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(BUY, sent_s=7.0),),
                (RAN,),
                departures=(promises.Departure("w", 4.9),),
            ),
            ["DRAIN"],
            id="used after its departure",
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(BUY, sent_s=6.8),),
                (RAN,),
                departures=(promises.Departure("w", 4.9),),
            ),
            [],
            id="used just after its departure",
        ),
        pytest.param(
            make_history(
                (dataclasses.replace(MOVED, sent_s=13.1),),
                (Run("m1", "w", "shop", 13.2),),
            ),
            ["CONFIG"],
            id="old route when calm",
        ),
        pytest.param(
            make_history(
                (MOVED, dataclasses.replace(MOVED, request_id="m2")),
                (Run("m2", "v", "stock", 8.0), Run("m1", "w", "shop", 9.1)),
            ),
            ["MIXED", "CONFIG"],
            id="old route came back",
        ),
        pytest.param(
            make_history(
                (
                    MOVED,
                    dataclasses.replace(MOVED, request_id="m2", process="0.0"),
                ),
                (Run("m2", "v", "stock", 8.0), Run("m1", "w", "shop", 9.1)),
            ),
            ["MIXED"],
            id="old route at another process",
        ),
        pytest.param(
            dataclasses.replace(
                HISTORY, sent=(dataclasses.replace(CALM, status=503),)
            ),
            ["RECOVER"],
            id="not served when calm",
        ),
    ],
)
def test_broken_promises_are_found(
    history: promises.History, rules: list[str]
) -> None:
    breaks = promises.find_breaks(history)
    assert [line.partition(":")[0] for line in breaks] == rules
