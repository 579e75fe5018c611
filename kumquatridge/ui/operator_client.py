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
    url = f"http://{address}{path}"
    try:
        answer = httpx.get(url, params=parameters, timeout=TIMEOUT_S)
        answer.raise_for_status()
        return answer.json()
    except httpx.InvalidURL as error:
        raise OperatorApiError(f"{address}: not an address: {error}") from error
    except httpx.HTTPStatusError as error:
        status = error.response.status_code
        raise OperatorApiError(f"{url}: answered {status}") from error
    except (httpx.HTTPError, ValueError) as error:
        raise OperatorApiError(f"{url}: no answer: {error}") from error
