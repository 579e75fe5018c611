"""Sharing the requests of a route among several services by weight.

Source: the smooth weighted round-robin of nginx, by which each share is met
over any short run of requests.
"""

from kumquatridge.settings import routes


class SplitChooser:
    """Chooses a destination of each route in turn, in proportion."""

    def __init__(self) -> None:
        self._credits: dict[str, tuple[routes.CompiledRoute, list[float]]] = {}

    def choose(self, route: routes.CompiledRoute) -> routes.Destination:
        """Returns the destination of the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0]
        credit = self._get_credit(route)
        total = 0.0
        for index, one in enumerate(destinations):
            credit[index] += one.weight
            total += one.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= total
        return destinations[best]

    def _get_credit(self, route: routes.CompiledRoute) -> list[float]:
        """Returns the credits, which start anew when the shares change."""
        name = route.route.name
        known = self._credits.get(name)
        if known is not None and known[0].route.shares == route.route.shares:
            return known[1]
        credit = [0.0] * len(route.destinations)
        self._credits[name] = (route, credit)
        return credit
