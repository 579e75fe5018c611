"""What a context that a step holds learns of the step's end."""

from collections.abc import AsyncIterator
import contextlib

import pytest

from kumquatridge import scopes


class Step(scopes.Scope[str]):
    """Holds one context; `fails_at` says where an error is raised."""

    def __init__(self, fails_at: str) -> None:
        self._fails_at = fails_at
        self._inner = self._open_inner()
        self.seen = ""

    @contextlib.asynccontextmanager
    async def _open_inner(self) -> AsyncIterator[str]:
        try:
            yield "result"
        except ValueError as error:
            self.seen = str(error)
            raise
        else:
            self.seen = "left"

    async def _open(self) -> str:
        result = await self._inner.__aenter__()
        if self._fails_at == "opening":
            raise ValueError(self._fails_at)
        return result

    async def _close(self, error: BaseException | None) -> None:
        await scopes.leave(self._inner, error)


@pytest.mark.parametrize("fails_at", ["nowhere", "opening", "body"])
async def test_error_reaches_what_is_held(fails_at: str) -> None:
    step = Step(fails_at)
    fails = fails_at != "nowhere"
    expected = pytest.raises(ValueError) if fails else contextlib.nullcontext()
    with expected:
        async with step as result:
            assert result == "result"
            if fails_at == "body":
                raise ValueError(fails_at)
    assert step.seen == (fails_at if fails else "left")
