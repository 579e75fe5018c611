"""A context held by a scope is exited with the error that ended the scope."""

from collections.abc import AsyncIterator
import contextlib

import pytest

from kumquatridge import scopes


class ContextScope(scopes.Scope[str]):
    """Holds a context and records the error with which that is exited.

    `fails_at` names where an error is raised: "opening", in the "body" of the
    scope or "nowhere".
    """

    def __init__(self, fails_at: str) -> None:
        self._fails_at = fails_at
        self._inner = self._open_inner()
        self.exited_with = ""

    @contextlib.asynccontextmanager
    async def _open_inner(self) -> AsyncIterator[str]:
        try:
            yield "result"
        except ValueError as error:
            self.exited_with = str(error)
            raise
        else:
            self.exited_with = "no error"

    async def _open(self) -> str:
        result = await self._inner.__aenter__()
        if self._fails_at == "opening":
            raise ValueError(self._fails_at)
        return result

    async def _close(self, error: BaseException | None) -> None:
        await scopes.exit_context(self._inner, error)


@pytest.mark.parametrize("fails_at", ["nowhere", "opening", "body"])
async def test_error_is_passed_to_the_held_context(fails_at: str) -> None:
    scope = ContextScope(fails_at)
    is_failing = fails_at != "nowhere"
    expectation = (
        pytest.raises(ValueError) if is_failing else contextlib.nullcontext()
    )
    with expectation:
        async with scope as result:
            assert result == "result"
            if fails_at == "body":
                raise ValueError(fails_at)
    assert scope.exited_with == (fails_at if is_failing else "no error")
