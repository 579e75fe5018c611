"""Client of the operators' API of a daemon."""

from typing import Any

import httpx

from kumquatridge import errors

# Of the connection, and of each read of the answer.
TIMEOUT_S = 5.0


class OperatorApiError(errors.KumquatridgeError):
    """The operators' API did not answer, or answered with an error."""


def fetch(address: str, path: str, **parameters: str | int) -> Any:
    """Returns the decoded JSON that a daemon answers to a GET request.

    Raises:
      OperatorApiError: no daemon answers at the address within `TIMEOUT_S`, the
        answer has an error status or is not JSON.
    """
    answer = _request("GET", address, path, parameters)
    try:
        return answer.json()
    except ValueError as error:
        raise OperatorApiError(
            f"{answer.url}: answer is not JSON: {error}"
        ) from error


def delete(address: str, path: str) -> None:
    """Sends a DELETE request for a path to a daemon.

    Raises:
      OperatorApiError: no daemon answers at the address within `TIMEOUT_S`, or
        the answer has an error status.
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
        raise OperatorApiError(
            f"{address}: invalid address, expected host:port: {error}"
        ) from error
    except httpx.HTTPStatusError as error:
        status = error.response.status_code
        detail_suffix = _get_detail_suffix(error.response)
        raise OperatorApiError(
            f"{url}: answered {status}{detail_suffix}"
        ) from error
    except httpx.HTTPError as error:
        raise OperatorApiError(f"{url}: no answer: {error}") from error
    return answer


def _get_detail_suffix(answer: httpx.Response) -> str:
    """Returns ": " and the `detail` of an error answer, "" if it has none."""
    try:
        body = answer.json()
    except ValueError:
        return ""
    match body:
        case {"detail": str(detail)}:
            return f": {detail}"
        case _:
            return ""
