"""Asks a daemon's operators' API."""

from typing import Any

import httpx

from kumquatridge import errors

TIMEOUT_S = 5.0


class OperatorApiError(errors.KumquatridgeError):
    """The operators' API gave no usable answer."""


def fetch(address: str, path: str, **parameters: str | int) -> Any:
    """Returns the JSON that a daemon answers.

    Raises:
      OperatorApiError: no daemon answers at the address, or it refuses.
    """
    answer = _request("GET", address, path, parameters)
    try:
        return answer.json()
    except ValueError as error:
        raise OperatorApiError(f"{answer.url}: no answer: {error}") from error


def remove(address: str, path: str) -> None:
    """Has a daemon remove what a path names.

    Raises:
      OperatorApiError: no daemon answers at the address, or it refuses.
    """
    _request("DELETE", address, path, {})


def _request(
    method: str, address: str, path: str, parameters: dict[str, str | int]
) -> httpx.Response:
    url = f"http://{address}{path}"
    try:
        answer = httpx.request(
            method, url, params=parameters, timeout=TIMEOUT_S
        )
        answer.raise_for_status()
    except httpx.InvalidURL as error:
        raise OperatorApiError(f"{address}: not an address: {error}") from error
    except httpx.HTTPStatusError as error:
        status = error.response.status_code
        reason = _find_reason(error.response)
        raise OperatorApiError(f"{url}: answered {status}{reason}") from error
    except httpx.HTTPError as error:
        raise OperatorApiError(f"{url}: no answer: {error}") from error
    return answer


def _find_reason(answer: httpx.Response) -> str:
    """Returns what the daemon gave as its reason, if anything."""
    try:
        body = answer.json()
    except ValueError:
        return ""
    match body:
        case {"detail": str(detail)}:
            return f": {detail}"
        case _:
            return ""
